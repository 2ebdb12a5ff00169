"""Endpoints that name a limit get no more requests than it allows."""

import time
from typing import Final
import unittest

import anyio

from eelgrassgate.batches import records
from eelgrassgate.standins import endpoint
from tests import site as site_lib
from tests import test_batches

LIMIT_PER_S: Final = 2.0
LASTS_S: Final = 4.0
# What an endpoint may get in that time: one and a half times its limit, and
# five requests.
MAX_REQUESTS: Final = round(LASTS_S * LIMIT_PER_S * 1.5) + 5
INTERVAL_S: Final = 0.04
MAX_REFUSAL_S: Final = 0.2


class OnlineTest(unittest.IsolatedAsyncioTestCase):
    async def send_all(self, site: site_lib.Site) -> list[int]:
        """Send requests for `LASTS_S` and return their statuses."""
        statuses: list[int] = []

        async def send(number: int) -> None:
            started_at = time.monotonic()
            response = await site_lib.call(
                site.address, "/plain/a", request_id=f"r{number}"
            )
            statuses.append(response.status)
            if response.status == 503:
                self.assertLess(time.monotonic() - started_at, MAX_REFUSAL_S)
                self.assertGreater(float(response.headers[b"retry-after"]), 0)

        async with anyio.create_task_group() as tasks:
            for number in range(round(LASTS_S / INTERVAL_S)):
                tasks.start_soon(send, number)
                await anyio.sleep(INTERVAL_S)
        return statuses

    async def test_endpoint_gets_no_more_requests_than_its_limit(
        self,
    ) -> None:
        async with site_lib.open_site() as site:
            first = site.endpoints[0]
            first.behavior = endpoint.Behavior(limit_per_s=LIMIT_PER_S)
            statuses = await self.send_all(site)
            self.assertEqual(set(statuses), {200})
            self.assertLessEqual(len(first.runs), MAX_REQUESTS)
            self.assertGreater(len(first.runs), LIMIT_PER_S)

    async def test_request_beyond_all_limits_is_refused_at_once(self) -> None:
        async with site_lib.open_site() as site:
            for one in site.endpoints:
                one.behavior = endpoint.Behavior(limit_per_s=LIMIT_PER_S)
            statuses = await self.send_all(site)
            self.assertEqual(set(statuses), {200, 503})
            for one in site.endpoints:
                self.assertLessEqual(len(one.runs), MAX_REQUESTS)
                self.assertGreater(len(one.runs), LIMIT_PER_S)


class BatchTest(unittest.IsolatedAsyncioTestCase):
    async def test_items_count_against_the_limit(self) -> None:
        async with test_batches.open_harness() as harness:
            first = harness.endpoints[0]
            first.behavior = endpoint.Behavior(limit_per_s=LIMIT_PER_S)
            started_at = time.monotonic()
            await test_batches.submit(harness.store, 120)
            found = await harness.read_all()
            took_s = time.monotonic() - started_at
            states = {one.state for one in found.values()}
            self.assertEqual(states, {records.COMPLETED})
            self.assertLessEqual(
                len(first.runs), round(took_s * LIMIT_PER_S * 1.5) + 5
            )
