"""Processes whose clients exceed the limits.

Guards against clients that make a process grow without a bound, end, or refuse
ordinary callers afterwards. The settings give little memory and few
descriptors, so that small crowds show a missing bound.
"""

import pathlib
import tempfile
from typing import Final
import unittest

from bench import memory_load

# A gateway takes about 40 MB at rest. 140 clients took 70 MB more before what a
# connection may hold was bounded.
MEMORY_MB: Final = 100
CLIENTS: Final = 140
# Gives callers 160 connections; other listeners and files need the others.
FILE_DESCRIPTORS: Final = 600
LOADS: Final = memory_load.list_client_loads(CLIENTS)


class ClientLimitsTest(unittest.IsolatedAsyncioTestCase):
    async def check_load(self, load: memory_load.Load) -> None:
        with tempfile.TemporaryDirectory() as folder:
            row = await memory_load.run_load(
                load, pathlib.Path(folder), MEMORY_MB, FILE_DESCRIPTORS
            )
        self.assertEqual(row.ended, ())
        self.assertLess(row.gateway_peak_mb, MEMORY_MB, row)
        self.assertLess(row.gateway_descriptors, FILE_DESCRIPTORS, row)
        self.assertEqual(row.answer_after, "200", row)

    async def test_clients_leave_a_process_within_its_limits(self) -> None:
        for load in LOADS:
            with self.subTest(load.name):
                await self.check_load(load)

    async def test_readiness_clients_leave_descriptors_to_callers(self) -> None:
        (load,) = [one for one in LOADS if one.name == "pipelined-readiness"]
        await self.check_load(
            memory_load.Load(load.name, FILE_DESCRIPTORS + 100, load.send)
        )


if __name__ == "__main__":
    unittest.main()
