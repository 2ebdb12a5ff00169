"""Resident memory of a gateway process whose callers send large requests."""

import pathlib
import tempfile
from typing import Final
import unittest

from bench import memory_load

MEMORY_MB: Final = memory_load.MEMORY_MB
LOADS_BY_NAME: Final = {one.name: one for one in memory_load.list_loads()}


class MemoryOfRequestsTest(unittest.IsolatedAsyncioTestCase):
    async def run_load(self, name: str) -> memory_load.Row:
        with tempfile.TemporaryDirectory() as folder:
            row = await memory_load.run_load(
                LOADS_BY_NAME[name], pathlib.Path(folder)
            )
        self.assertEqual(row.ended, ())
        self.assertLess(row.gateway_peak_mb, MEMORY_MB, row)
        self.assertEqual(set(row.small_answers), {"200"}, row)
        return row

    async def test_large_requests_stay_within_the_memory_limit(self) -> None:
        row = await self.run_load("requests-150-4000k")
        self.assertLessEqual(set(row.answers), {"200", "503"}, row)
        self.assertGreater(row.answers["200"], 20, row)

    async def test_large_requests_in_chunks_stay_within_the_memory_limit(
        self,
    ) -> None:
        row = await self.run_load("chunked-150-4000k")
        self.assertLessEqual(set(row.answers), {"200", "408", "503"}, row)

    async def test_trickled_requests_stay_within_the_memory_limit(self) -> None:
        row = await self.run_load("trickled-150-4190k")
        self.assertLessEqual(set(row.answers), {"408", "503"}, row)

    async def test_unread_responses_stay_within_the_memory_limit(self) -> None:
        row = await self.run_load("unread-200-6000k")
        self.assertEqual(row.answers, {"200": 200})


if __name__ == "__main__":
    unittest.main()
