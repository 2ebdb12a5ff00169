"""A short part of the soak, and every seed that it ever failed with.

By hand: `python -m tests.soak --seeds 50`.
"""

import os
from typing import Final
import unittest

import anyio

from tests.soak import play as play_lib

# Seeds that once broke a promise, each with its cause.
REGRESSIONS: Final[tuple[int, ...]] = ()
# Kills all processes, stops one and harms the store, one over the other.
USUAL: Final = (1,)
# Loopback networks 127.N.0.0; runs beside each other take different ones.
FIRST_NETWORK: Final = 100
NETWORKS: Final = 100


class SoakTest(unittest.TestCase):
    def test_seeds(self) -> None:
        network = FIRST_NETWORK + os.getpid() % NETWORKS
        for seed in (*USUAL, *REGRESSIONS):
            with self.subTest(seed=seed):
                report = anyio.run(play_lib.play, seed, network)
                self.assertEqual(report.findings, [], report)
                self.assertGreater(report.served, 0)
