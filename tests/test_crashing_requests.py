"""Requests that crash the endpoints which run them."""

from typing import Final
import unittest

import anyio

from eelgrassgate.gateway import calls
from eelgrassgate.standins import endpoint
from tests import site as site_lib
from tests import test_batches

PART: Final = "c4a5"
# Requests with a part may reach endpoints until five have ended, and three
# times more while all gateways learn of it.
MAX_RUNS: Final = 5 + 3
BODY: Final = b"crash"
# A request may reach three endpoints, and three more after they have ended.
MAX_RUNS_OF_REQUEST: Final = 3 + 3
NAMES: Final = "abcdefghijklmnop"


def count_crashing_runs(endpoints: list[endpoint.Endpoint]) -> int:
    return sum(PART in run.parts for one in endpoints for run in one.runs)


class OnlineTest(unittest.IsolatedAsyncioTestCase):
    async def test_requests_do_not_crash_one_endpoint_after_the_other(
        self,
    ) -> None:
        async with site_lib.open_site(*NAMES) as site:
            for one in site.endpoints:
                one.behavior = endpoint.Behavior(crashing_part=PART)
            for number in range(8):
                crashing = await site_lib.call(
                    site.address,
                    "/resumable/a",
                    headers={"Prompt-Prefix": f"a0:9,{PART}:9,{number}:9"},
                    request_id=f"crashing-{number}",
                )
                self.assertNotEqual(crashing.status, 200)
                sound = await site_lib.call(
                    site.address,
                    "/resumable/a",
                    headers={
                        "Prompt-Prefix": f"a0:9,b{number % 2}:9,{number}:9"
                    },
                    request_id=f"sound-{number}",
                )
                self.assertEqual(sound.status, 200)
            self.assertLessEqual(count_crashing_runs(site.endpoints), MAX_RUNS)

    async def test_one_request_does_not_crash_one_endpoint_after_the_other(
        self,
    ) -> None:
        for path in ("/stream/a", "/resumable/a", "/plain/a"):
            with self.subTest(path):
                async with site_lib.open_site(*NAMES) as site:
                    for one in site.endpoints:
                        one.behavior = endpoint.Behavior(crashing_body=BODY)
                    statuses = [
                        (
                            await site_lib.call(
                                site.address,
                                path,
                                headers={"Prompt-Prefix": "a0:9,b0:9"},
                                body=body,
                                request_id=f"r{number}",
                            )
                        ).status
                        for number, body in enumerate([BODY, b"sound"] * 8)
                    ]
                bodies = [
                    run.incoming.body
                    for one in site.endpoints
                    for run in one.runs
                ]
                self.assertLessEqual(bodies.count(BODY), MAX_RUNS_OF_REQUEST)
                self.assertEqual(statuses[-2:], [503, 200])
                self.assertEqual(statuses[1::2], [200] * 8)


class BatchTest(unittest.IsolatedAsyncioTestCase):
    async def test_items_do_not_crash_one_endpoint_after_the_other(
        self,
    ) -> None:
        items = tuple(
            calls.BatchItem(
                f"i{number}",
                f"/batch/{number}",
                {"Prompt-Prefix": f"{part}:9,{number}:9"},
                b"q",
            )
            for number, part in enumerate((PART, "b0", PART, "b1", PART))
        )
        async with test_batches.open_harness(slots=2, names=NAMES) as harness:
            for one in harness.endpoints:
                one.behavior = endpoint.Behavior(crashing_part=PART)
            await test_batches.submit(harness.store, items=items)
            await anyio.sleep(6.0)
            completed = {
                run.id
                for one in harness.endpoints
                for run in one.runs
                if run.is_ended
            }
            self.assertEqual(completed, {"i1", "i3"})
            self.assertLessEqual(
                count_crashing_runs(harness.endpoints), MAX_RUNS
            )
