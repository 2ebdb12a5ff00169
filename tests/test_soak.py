"""Runs the soak with a few fixed seeds, including all that once failed.

For a longer run: `python -m tests.soak --seeds 50`.
"""

import os
from typing import Final
import unittest

import anyio

from tests.soak import scenario

# Seeds that once violated a guarantee, each with its cause.
REGRESSION_SEEDS: Final[tuple[int, ...]] = ()
# Kills all processes, stops one and disrupts the store at overlapping times.
DEFAULT_SEEDS: Final = (1,)
# Loopback networks are 127.N.0.0; concurrent runs take different values of N.
FIRST_NETWORK: Final = 100
NETWORK_COUNT: Final = 100


class SoakTest(unittest.TestCase):
    def test_seeds(self) -> None:
        network = FIRST_NETWORK + os.getpid() % NETWORK_COUNT
        for seed in (*DEFAULT_SEEDS, *REGRESSION_SEEDS):
            with self.subTest(seed=seed):
                report = anyio.run(scenario.run_scenario, seed, network)
                self.assertEqual(report.violations, [], report)
                self.assertGreater(report.completed, 0)
