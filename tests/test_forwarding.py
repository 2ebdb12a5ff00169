"""Responses of a gateway to callers when endpoints fail."""

import time
from typing import Any
from typing import Final
import unittest

import anyio
import msgspec

from eelgrassgate.gateway import catalog
from eelgrassgate.standins import endpoint
from eelgrassgate.store import base
from eelgrassgate.store import faulty
from eelgrassgate.store import memory
from tests import site as site_lib

TIMING_TOLERANCE_S: Final = 0.5
COMPLETE_BODY: Final = endpoint.write_stream(4)
BATCH_BODY: Final = msgspec.json.encode(
    {
        "items": [
            {
                "id": "i1",
                "path": "/batch/1",
                "headers": {},
                "body": "",
                "tokens": 1,
            }
        ]
    }
)


class Case(msgspec.Struct, frozen=True):
    """A fault at every endpoint or only at the first one that is chosen.

    Attributes:
        name: Description of the fault.
        path: Path of the request.
        fault: Fields of the first endpoint's behavior.
        status: Expected status; 0 for a connection that ends early.
        runs: Expected total number of runs.
        is_complete: Whether the response is expected to be complete.
        is_everywhere: Whether every endpoint has the fault.
    """

    name: str
    path: str
    fault: dict[str, Any]
    status: int
    runs: int
    is_complete: bool = True
    is_everywhere: bool = False


CASES: Final = (
    Case("no fault", "/plain/a", {}, 200, 1),
    Case("refused once", "/plain/a", {"is_overloaded": True}, 200, 1),
    Case(
        "refused once, not idempotent",
        "/twice/a",
        {"is_overloaded": True},
        200,
        1,
    ),
    Case("refused, one attempt", "/once/a", {"is_overloaded": True}, 503, 0),
    Case(
        "refused everywhere",
        "/plain/a",
        {"is_overloaded": True},
        503,
        0,
        True,
        True,
    ),
    Case(
        "no response, idempotent", "/plain/a", {"is_unresponsive": True}, 200, 2
    ),
    Case("no response, stream", "/short/a", {"is_unresponsive": True}, 504, 1),
    Case("no checksum, idempotent", "/plain/a", {"is_unsigned": True}, 200, 2),
    Case(
        "no checksum, not idempotent", "/twice/a", {"is_unsigned": True}, 502, 1
    ),
    Case("500, idempotent", "/plain/a", {"status": 500}, 200, 2),
    Case("500 everywhere", "/plain/a", {"status": 500}, 500, 2, True, True),
    Case("500, not idempotent", "/twice/a", {"status": 500}, 500, 1),
    Case(
        "incomplete, idempotent", "/plain/a", {"abort_after_events": 2}, 200, 2
    ),
    Case(
        "incomplete, stream",
        "/stream/a",
        {"abort_after_events": 2},
        200,
        1,
        False,
    ),
    Case(
        "incomplete, resumable",
        "/resumable/a",
        {"abort_after_events": 2},
        200,
        2,
    ),
    Case(
        "incomplete from the start, resumable",
        "/resumable/a",
        {"abort_after_events": 0},
        200,
        2,
    ),
    Case(
        "no response, resumable",
        "/resumable/a",
        {"is_unresponsive": True},
        200,
        2,
    ),
    Case(
        "late response first", "/plain/a", {"has_late_response": True}, 200, 1
    ),
)


class FaultTest(unittest.IsolatedAsyncioTestCase):
    async def test_faults(self) -> None:
        for case in CASES:
            with self.subTest(case.name):
                await self.run_case(case)

    async def run_case(self, case: Case) -> None:
        async with site_lib.open_site() as site:
            first, second = site.endpoints
            site.loads.set_peer_counts("other", {second.name: 4}, {})
            for one in site.endpoints if case.is_everywhere else [first]:
                one.behavior = endpoint.Behavior(**case.fault)
            response = await site_lib.call(site.address, case.path)
            self.assertEqual(response.status, case.status)
            self.assertEqual(response.is_complete, case.is_complete)
            self.assertEqual(site.count_runs(), case.runs)
            if case.status == 200 and case.is_complete:
                self.assertEqual(response.body, COMPLETE_BODY)
                self.assertIn(b"response-signature", response.headers)
            elif case.status in {502, 503, 504}:
                self.assertNotIn(b"response-signature", response.headers)

    async def test_a_copied_refusal_hides_no_run(self) -> None:
        # A second attempt at an endpoint that had refused the request took a
        # copy of that refusal for its response; the caller was told that the
        # request had not run, and it ran.
        async with site_lib.open_site() as site:
            site.catalog = site_lib.make_catalog(
                [
                    site_lib.make_route(
                        "/twice/", catalog.Kind.NON_IDEMPOTENT, max_attempts=3
                    )
                ]
            )
            for one in site.endpoints:
                one.behavior = endpoint.Behavior(copied_refusals=1)
            response = await site_lib.call(site.address, "/twice/a")
            self.assertEqual((response.status, site.count_runs()), (503, 0))
            self.assertIn(b"retry-after", response.headers)
            response = await site_lib.call(
                site.address, "/twice/a", request_id="r2"
            )
            self.assertEqual((response.status, site.count_runs()), (200, 1))

    async def test_timeout_is_reported_promptly(self) -> None:
        async with site_lib.open_site() as site:
            for one in site.endpoints:
                one.behavior = endpoint.Behavior(is_unresponsive=True)
            started_at = time.monotonic()
            response = await site_lib.call(site.address, "/short/a")
            self.assertEqual(response.status, 504)
            self.assertLess(
                time.monotonic() - started_at, 0.4 + TIMING_TOLERANCE_S
            )

    async def test_timeout_of_a_route_is_not_applied_to_its_jobs(
        self,
    ) -> None:
        route = site_lib.make_route(
            "/batch/", catalog.Kind.BATCH, timeout_s=0.4
        )
        store = faulty.create_faulty_store(memory.create_memory_store())
        # Longer than the timeout and than the caller's patience.
        store.faults.delay_s = 8.0
        async with site_lib.open_site() as site:
            site.catalog = site_lib.make_catalog([route])
            site.batches.submissions = store
            started_at = time.monotonic()
            response = await site_lib.call(
                site.address, "/batch/1", body=BATCH_BODY
            )
            took_s = time.monotonic() - started_at
        self.assertEqual(response.status, 504)
        self.assertLess(took_s, 0.4 + TIMING_TOLERANCE_S)

    async def test_jobs_that_can_not_be_stored_are_refused_for_good(
        self,
    ) -> None:
        # They were answered 503, for which their callers came back.
        path = msgspec.json.encode("x" * base.MAX_VALUE_BYTES)
        long_item = BATCH_BODY.replace(b'"i1"', b'"' + b"i" * 8_001 + b'"')
        too_large = BATCH_BODY.replace(b'"/batch/1"', path)
        for name, request_id, body, status in (
            ("longest id", "x" * 160, BATCH_BODY, 202),
            ("too long id", "x" * 161, BATCH_BODY, 400),
            ("id too long once it is quoted", "/" * 60, BATCH_BODY, 400),
            ("too large item", "r1", too_large, 413),
            ("too long id of an item", "r1", long_item, 400),
        ):
            with self.subTest(name):
                async with site_lib.open_site() as site:
                    response = await site_lib.call(
                        site.address,
                        "/batch/1",
                        body=body,
                        request_id=request_id,
                    )
                    self.assertEqual(response.status, status)

    async def test_wait_for_the_configuration_extends_the_timeout(
        self,
    ) -> None:
        async with site_lib.open_site() as site:
            for one in site.endpoints:
                one.behavior = endpoint.Behavior(is_unresponsive=True)
            site.load_delay_s = 1.2
            site.catalog = catalog.EMPTY

            async def load() -> None:
                await anyio.sleep(1.0)
                route = site_lib.make_route(
                    "/slow/", catalog.Kind.STREAM, timeout_s=1.5
                )
                site.catalog = site_lib.make_catalog([route])

            async with anyio.create_task_group() as tasks:
                tasks.start_soon(load)
                started_at = time.monotonic()
                response = await site_lib.call(site.address, "/slow/a")
                took_s = time.monotonic() - started_at
        self.assertEqual(response.status, 504)
        self.assertLess(took_s, 1.5 + TIMING_TOLERANCE_S)

    async def test_endpoint_without_response_is_suspected(self) -> None:
        async with site_lib.open_site("e1") as site:
            site.endpoints[0].behavior = endpoint.Behavior(is_unresponsive=True)
            with anyio.move_on_after(0.7):
                await site_lib.call(site.address, "/stream/a")
            with anyio.fail_after(TIMING_TOLERANCE_S):
                while not site.failures.get_failure_rate("e1"):
                    await anyio.sleep(0.01)

    async def test_disconnect_is_propagated_to_the_endpoint(self) -> None:
        async with site_lib.open_site("e1") as site:
            one = site.endpoints[0]
            one.behavior = endpoint.Behavior(events=1000, event_delay_s=0.02)
            with anyio.move_on_after(0.2):
                await site_lib.call(site.address, "/stream/a")
            with anyio.fail_after(TIMING_TOLERANCE_S):
                while site.loads.count_in_flight("e1"):
                    await anyio.sleep(0.01)
            self.assertFalse(one.runs[0].is_ended)


class HeaderTest(unittest.IsolatedAsyncioTestCase):
    async def test_forwarded_headers(self) -> None:
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
            incoming = site.endpoints[0].runs[0].incoming
            self.assertEqual(incoming.method, b"POST")
            self.assertEqual(incoming.target, b"/plain/a?b=c")
            self.assertEqual(incoming.body, b"exact \x00 bytes")
            self.assertEqual(incoming.get(b"tenant"), b"desk")
            self.assertEqual(incoming.get(b"expect-instance"), b"e1")
            self.assertEqual(incoming.get(b"request-id"), b"r1")
            self.assertEqual(incoming.get(b"x-kept"), b"1")
            self.assertIsNone(incoming.get(b"x-dropped"))
            self.assertIsNone(incoming.get(b"authorization"))
            self.assertLessEqual(
                int(incoming.get(b"time-remaining") or b"0"), 900
            )

    async def test_misdirected_request_is_retried(self) -> None:
        async with site_lib.open_site() as site:
            first, second = site.endpoints
            site.loads.set_peer_counts("other", {second.name: 4}, {})
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
            response = await site_lib.call(site.address, "/twice/a")
            self.assertEqual(response.status, 200)
            self.assertEqual(len(second.runs), 1)


class RefusalTest(unittest.IsolatedAsyncioTestCase):
    async def test_refusals(self) -> None:
        for name, path, key, status in (
            ("no route", "/nowhere/a", site_lib.KEY, 404),
            ("no key", "/plain/a", "", 401),
            ("unknown key", "/plain/a", "stolen", 401),
            ("open route", "/open/a", "", 200),
        ):
            with self.subTest(name):
                async with site_lib.open_site() as site:
                    response = await site_lib.call(
                        site.address,
                        path,
                        headers={"Authorization": f"Bearer {key}".strip()},
                    )
                    self.assertEqual(response.status, status)
                    self.assertEqual(site.count_runs(), int(status == 200))

    async def test_requests_without_configuration_are_refused(self) -> None:
        async with site_lib.open_site() as site:
            site.catalog = catalog.EMPTY
            response = await site_lib.call(site.address, "/plain/a")
            self.assertEqual(response.status, 503)
            self.assertIn(b"retry-after", response.headers)

    async def test_requests_wait_for_the_first_configuration(self) -> None:
        async with site_lib.open_site() as site:
            site.load_delay_s = 0.2
            current, site.catalog = site.catalog, catalog.EMPTY

            async def load() -> None:
                await anyio.sleep(0.1)
                site.catalog = current

            async with anyio.create_task_group() as tasks:
                tasks.start_soon(load)
                response = await site_lib.call(site.address, "/plain/a")
            self.assertEqual(response.status, 200)

    async def test_rate_limit(self) -> None:
        async with site_lib.open_site() as site:
            site.catalog = site_lib.make_catalog(rate_per_s=1.0, burst=18.0)
            site.rates.configure(site.catalog)
            statuses = [
                (await site_lib.call(site.address, "/plain/a")).status
                for _ in range(11)
            ]
            # Buckets start with half of the burst.
            self.assertEqual(statuses, [*[200] * 9, 429, 429])
            self.assertEqual(site.count_runs(), 9)

    async def test_full_endpoints_cause_a_refusal(self) -> None:
        async with site_lib.open_site() as site:
            site.loads.set_peer_counts("other", {"e1": 40, "e2": 40}, {})
            response = await site_lib.call(site.address, "/stream/a")
            self.assertEqual(response.status, 503)
            self.assertGreater(float(response.headers[b"retry-after"]), 0.3)
            self.assertEqual(site.count_runs(), 0)
