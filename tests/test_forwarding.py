"""What a caller gets through a gateway when endpoints fail."""

import time
from typing import Any
from typing import Final
import unittest

import anyio
import msgspec

from eelgrassgate.gateway import catalog
from eelgrassgate.standins import endpoint
from tests import site as site_lib

SLACK_S: Final = 0.5
WHOLE: Final = endpoint.write_stream(4)


class Case(msgspec.Struct, frozen=True):
    """One fault at every endpoint or at the first one that is asked.

    Attributes:
        name: What goes wrong.
        path: Where the caller calls.
        fault: What the first endpoint does.
        status: What the caller sees; 0 for a connection that ends early.
        runs: How many runs there are in all.
        is_whole: Whether the answer is whole.
        is_everywhere: Whether every endpoint has the fault.
    """

    name: str
    path: str
    fault: dict[str, Any]
    status: int
    runs: int
    is_whole: bool = True
    is_everywhere: bool = False


CASES: Final = (
    Case("calm", "/plain/a", {}, 200, 1),
    Case("full once", "/plain/a", {"is_overloaded": True}, 200, 1),
    Case(
        "full once, may not repeat", "/twice/a", {"is_overloaded": True}, 200, 1
    ),
    Case("full, one attempt", "/once/a", {"is_overloaded": True}, 503, 0),
    Case(
        "full everywhere",
        "/plain/a",
        {"is_overloaded": True},
        503,
        0,
        True,
        True,
    ),
    Case("silent, idempotent", "/plain/a", {"is_unresponsive": True}, 200, 2),
    Case("silent stream", "/short/a", {"is_unresponsive": True}, 504, 1),
    Case("unsigned, idempotent", "/plain/a", {"is_unsigned": True}, 200, 2),
    Case("unsigned, not idempotent", "/twice/a", {"is_unsigned": True}, 502, 1),
    Case("500, idempotent", "/plain/a", {"status": 500}, 200, 2),
    Case("500 everywhere", "/plain/a", {"status": 500}, 500, 2, True, True),
    Case("500, not idempotent", "/twice/a", {"status": 500}, 500, 1),
    Case("cut, idempotent", "/plain/a", {"abort_after_events": 2}, 200, 2),
    Case("cut, stream", "/stream/a", {"abort_after_events": 2}, 200, 1, False),
    Case("cut, resumable", "/resumable/a", {"abort_after_events": 2}, 200, 2),
    Case(
        "cut at once, resumable",
        "/resumable/a",
        {"abort_after_events": 0},
        200,
        2,
    ),
    Case(
        "silent, resumable", "/resumable/a", {"is_unresponsive": True}, 200, 2
    ),
    Case("late answer first", "/plain/a", {"has_late_response": True}, 200, 1),
)


class FaultTest(unittest.IsolatedAsyncioTestCase):
    async def test_faults(self) -> None:
        for case in CASES:
            with self.subTest(case.name):
                await self.run_case(case)

    async def run_case(self, case: Case) -> None:
        async with site_lib.open_site() as site:
            first, second = site.endpoints
            site.loads.set_peer("other", {second.name: 4}, {})
            for one in site.endpoints if case.is_everywhere else [first]:
                one.behavior = endpoint.Behavior(**case.fault)
            answer = await site_lib.call(site.address, case.path)
            self.assertEqual(answer.status, case.status)
            self.assertEqual(answer.is_whole, case.is_whole)
            self.assertEqual(site.count_runs(), case.runs)
            if case.status == 200 and case.is_whole:
                self.assertEqual(answer.body, WHOLE)
                self.assertIn(b"response-signature", answer.headers)
            elif case.status in {502, 503, 504}:
                self.assertNotIn(b"response-signature", answer.headers)

    async def test_a_timeout_is_answered_at_once(self) -> None:
        async with site_lib.open_site() as site:
            for one in site.endpoints:
                one.behavior = endpoint.Behavior(is_unresponsive=True)
            began = time.monotonic()
            answer = await site_lib.call(site.address, "/short/a")
            self.assertEqual(answer.status, 504)
            self.assertLess(time.monotonic() - began, 0.4 + SLACK_S)

    async def test_an_endpoint_that_never_answers_is_suspected(self) -> None:
        async with site_lib.open_site("e1") as site:
            site.endpoints[0].behavior = endpoint.Behavior(is_unresponsive=True)
            with anyio.move_on_after(0.7):
                await site_lib.call(site.address, "/stream/a")
            with anyio.fail_after(SLACK_S):
                while not site.failures.get_part("e1"):
                    await anyio.sleep(0.01)

    async def test_an_endpoint_sees_when_the_caller_leaves(self) -> None:
        async with site_lib.open_site("e1") as site:
            one = site.endpoints[0]
            one.behavior = endpoint.Behavior(events=1000, event_delay_s=0.02)
            with anyio.move_on_after(0.2):
                await site_lib.call(site.address, "/stream/a")
            with anyio.fail_after(SLACK_S):
                while site.loads.get("e1"):
                    await anyio.sleep(0.01)
            self.assertFalse(one.runs[0].is_ended)


class HeaderTest(unittest.IsolatedAsyncioTestCase):
    async def test_what_an_endpoint_is_told(self) -> None:
        async with site_lib.open_site("e1") as site:
            await site_lib.call(
                site.address,
                "/plain/a?b=c",
                headers={
                    "Tenant": "another",
                    "Expect-Instance": "another",
                    "X-Kept": "1",
                    "X-Dropped": "1",
                    "Connection": "keep-alive, X-Dropped",
                },
                body=b"exact \x00 bytes",
                remaining_ms=900,
            )
            got = site.endpoints[0].runs[0].incoming
            self.assertEqual(got.method, b"POST")
            self.assertEqual(got.target, b"/plain/a?b=c")
            self.assertEqual(got.body, b"exact \x00 bytes")
            self.assertEqual(got.get(b"tenant"), b"desk")
            self.assertEqual(got.get(b"expect-instance"), b"e1")
            self.assertEqual(got.get(b"request-id"), b"r1")
            self.assertEqual(got.get(b"x-kept"), b"1")
            self.assertIsNone(got.get(b"x-dropped"))
            self.assertIsNone(got.get(b"authorization"))
            self.assertLessEqual(int(got.get(b"time-remaining") or b"0"), 900)

    async def test_a_moved_address_is_not_used(self) -> None:
        async with site_lib.open_site() as site:
            first, second = site.endpoints
            site.loads.set_peer("other", {second.name: 4}, {})
            first.name, known = "reborn", first.name
            site.placement.set_endpoints(
                {
                    known: catalog.Endpoint(
                        known, "engine", first.address, "z1", 8
                    ),
                    "e2": catalog.Endpoint(
                        "e2", "engine", second.address, "z1", 8
                    ),
                }
            )
            answer = await site_lib.call(site.address, "/twice/a")
            self.assertEqual(answer.status, 200)
            self.assertEqual(len(second.runs), 1)


class GateTest(unittest.IsolatedAsyncioTestCase):
    async def test_refusals(self) -> None:
        for name, path, key, status in (
            ("no route", "/nowhere/a", site_lib.KEY, 404),
            ("no key", "/plain/a", "", 401),
            ("unknown key", "/plain/a", "stolen", 401),
            ("open route", "/open/a", "", 200),
        ):
            with self.subTest(name):
                async with site_lib.open_site() as site:
                    answer = await site_lib.call(
                        site.address,
                        path,
                        headers={"Authorization": f"Bearer {key}".strip()},
                    )
                    self.assertEqual(answer.status, status)
                    self.assertEqual(site.count_runs(), int(status == 200))

    async def test_nothing_is_served_before_a_configuration(self) -> None:
        async with site_lib.open_site() as site:
            site.catalog = catalog.EMPTY
            answer = await site_lib.call(site.address, "/plain/a")
            self.assertEqual(answer.status, 503)
            self.assertIn(b"retry-after", answer.headers)

    async def test_who_comes_while_a_gateway_starts_is_served(self) -> None:
        async with site_lib.open_site() as site:
            site.loading_s = 0.2
            present, site.catalog = site.catalog, catalog.EMPTY

            async def load() -> None:
                await anyio.sleep(0.1)
                site.catalog = present

            async with anyio.create_task_group() as tasks:
                tasks.start_soon(load)
                answer = await site_lib.call(site.address, "/plain/a")
            self.assertEqual(answer.status, 200)

    async def test_beyond_the_rate(self) -> None:
        async with site_lib.open_site() as site:
            site.catalog = site_lib.make_catalog(rate_per_s=1.0, burst=4.0)
            site.rates.configure(site.catalog)
            statuses = [
                (await site_lib.call(site.address, "/plain/a")).status
                for _ in range(6)
            ]
            # Half of the burst is there at the start.
            self.assertEqual(statuses, [200, 200, 429, 429, 429, 429])
            self.assertEqual(site.count_runs(), 2)

    async def test_a_full_fleet_refuses_at_once(self) -> None:
        async with site_lib.open_site() as site:
            site.loads.set_peer("other", {"e1": 40, "e2": 40}, {})
            answer = await site_lib.call(site.address, "/stream/a")
            self.assertEqual(answer.status, 503)
            self.assertGreater(float(answer.headers[b"retry-after"]), 0.3)
            self.assertEqual(site.count_runs(), 0)
