"""Runs the soak with a few fixed seeds, including all that once failed.

For a longer run: `python -m tests.soak --seeds 50`.
"""

import os
import signal
from typing import Any
from typing import Final
import unittest
from unittest import mock

import anyio

from tests.soak import faults
from tests.soak import scenario

# Seeds that once violated a guarantee, each with its cause.
REGRESSION_SEEDS: Final[tuple[int, ...]] = ()
# Kills all processes, stops one and disrupts the store at overlapping times.
DEFAULT_SEEDS: Final = (1,)
# Loopback networks are 127.N.0.0; concurrent runs take different values of N.
FIRST_NETWORK: Final = 100
NETWORK_COUNT: Final = 100


class ReplacedDaemon:
    """A daemon that an overlapping fault replaces after two signals.

    Attributes:
        signalled: Ids of the processes that got a signal.
    """

    def __init__(self) -> None:
        self.pid = 1
        self.signalled: list[int] = []

    def is_running(self) -> bool:
        return bool(self.signalled)

    def handles_signals(self) -> bool:
        return self.pid == 1

    def start(self) -> None:
        self.pid = 1

    def send_signal(self, number: signal.Signals) -> None:
        self.signalled.append(self.pid)
        if len(self.signalled) == 2:
            self.pid = 2


class FaultsTest(unittest.IsolatedAsyncioTestCase):
    async def test_no_signal_reaches_a_process_before_it_handles_signals(
        self,
    ) -> None:
        daemon = ReplacedDaemon()
        replaced: Any = daemon
        rng = mock.Mock()
        rng.randint.return_value = 5
        rng.uniform.return_value = 0.0
        await faults.start_amid_signals(replaced, rng)
        self.assertEqual(daemon.signalled, [1, 1])


class SoakTest(unittest.TestCase):
    def test_seeds(self) -> None:
        network = FIRST_NETWORK + os.getpid() % NETWORK_COUNT
        for seed in (*DEFAULT_SEEDS, *REGRESSION_SEEDS):
            with self.subTest(seed=seed):
                report = anyio.run(scenario.run_scenario, seed, network)
                self.assertEqual(report.violations, [], report)
                self.assertGreater(report.completed, 0)
