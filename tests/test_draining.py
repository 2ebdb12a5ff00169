"""Endpoints whose responses state that they drain get no new requests."""

from collections.abc import Callable
import time
from typing import Any
from typing import Final
import unittest
from unittest import mock

import anyio
from anyio import abc

from eelgrassgate.batches import records
from eelgrassgate.gateway import catalog
from eelgrassgate.gateway import draining as draining_lib
from eelgrassgate.http1 import sockets
from eelgrassgate.standins import endpoint
from tests import site as site_lib
from tests import test_batches

TIMEOUT_S: Final = 5.0
MAX_REFUSAL_S: Final = 0.2
KINDS: Final = ("/plain/a", "/twice/a", "/stream/a", "/resumable/a", "/once/a")
LATE_MARK: Final = b"server-leaving: 1\r\n"
CONNECT_S: Final = 1.0


def make_endpoint(name: str = "e1", **fields: Any) -> catalog.Endpoint:
    return catalog.Endpoint(name, "engine", "a:1", "z1", 8, **fields)


def prefer_first(site: site_lib.Site) -> None:
    """Make the first endpoint the choice of each request that may use it."""
    others = {one.name: 4 for one in site.endpoints[1:]}
    site.loads.set_peer_counts("other", others, {})


def forget_failures(site: site_lib.Site) -> None:
    """Let the first endpoint be the choice again although it has failed."""
    first = site.endpoints[0]
    site.failures.retain_endpoints({})
    site.placement.record_success(make_endpoint(first.name))


async def wait(is_met: Callable[[], bool]) -> None:
    with anyio.fail_after(TIMEOUT_S):
        while not is_met():
            await anyio.sleep(0.01)


class DelayedConnect:
    """Delays connections to one address.

    Attributes:
        is_connecting: Set as soon as one is being opened.
    """

    def __init__(self, address: str) -> None:
        self.is_connecting = anyio.Event()
        self._address = address
        self._connect = sockets.connect

    async def connect(self, address: str, timeout_s: float) -> abc.SocketStream:
        if address == self._address:
            self.is_connecting.set()
            await anyio.sleep(CONNECT_S)
        return await self._connect(address, timeout_s)


class OnlineTest(unittest.IsolatedAsyncioTestCase):
    async def send_kinds(self, site: site_lib.Site) -> None:
        """Send a request of each kind, which the last endpoint serves."""
        for path in KINDS:
            forget_failures(site)
            before = len(site.endpoints[-1].runs)
            response = await site_lib.call(site.address, path)
            self.assertEqual((path, response.status), (path, 200))
            self.assertEqual(len(site.endpoints[-1].runs), before + 1, path)

    async def test_each_response_counts(self) -> None:
        for name, path, fault in (
            ("success", "/plain/a", {"is_draining": True}),
            ("not idempotent", "/twice/a", {"is_draining": True}),
            ("stream", "/stream/a", {"is_draining": True}),
            ("refusal", "/plain/a", {"is_overloaded": True}),
            ("last refusal", "/once/a", {"is_overloaded": True}),
            ("failure", "/plain/a", {"status": 500}),
            ("failure that is forwarded", "/once/a", {"status": 500}),
            ("no checksum", "/plain/a", {"is_unsigned": True}),
            ("incomplete", "/plain/a", {"abort_after_events": 1}),
            ("truncated stream", "/stream/a", {"abort_after_events": 1}),
            (
                "late response",
                "/plain/a",
                {
                    "is_draining": False,
                    "has_late_response": True,
                    "late_headers": LATE_MARK,
                },
            ),
        ):
            with self.subTest(name):
                async with site_lib.open_site() as site:
                    prefer_first(site)
                    first = site.endpoints[0]
                    fields: dict[str, Any] = {"is_draining": True, **fault}
                    first.behavior = endpoint.Behavior(**fields)
                    await site_lib.call(site.address, path)
                    runs = len(first.runs)
                    # Only the responses so far had the mark.
                    first.behavior = endpoint.Behavior()
                    await self.send_kinds(site)
                    self.assertEqual(len(first.runs), runs)

    async def test_response_counts_after_the_caller_has_left(self) -> None:
        async with site_lib.open_site() as site:
            prefer_first(site)
            first = site.endpoints[0]
            first.behavior = endpoint.Behavior(
                is_draining=True, events=1_000, event_delay_s=0.02
            )
            with anyio.move_on_after(0.2):
                await site_lib.call(site.address, "/stream/a")
            first.behavior = endpoint.Behavior()
            await self.send_kinds(site)
            self.assertEqual(len(first.runs), 1)

    async def test_head_of_a_stream_counts_while_it_goes_on(self) -> None:
        async with site_lib.open_site() as site:
            prefer_first(site)
            first = site.endpoints[0]
            first.behavior = endpoint.Behavior(
                is_draining=True, event_delay_s=0.2
            )
            found: list[site_lib.Response] = []

            async def stream() -> None:
                found.append(await site_lib.call(site.address, "/stream/a"))

            async with anyio.create_task_group() as tasks:
                tasks.start_soon(stream)
                await wait(lambda: bool(first.runs))
                await anyio.sleep(0.1)
                await self.send_kinds(site)
                self.assertFalse(first.runs[0].is_ended)
            self.assertEqual(found[0].body, endpoint.write_stream(4))
            self.assertEqual(len(first.runs), 1)

    async def test_misdirected_response_with_the_mark_counts(self) -> None:
        async with site_lib.open_site() as site:
            prefer_first(site)
            first = site.endpoints[0]
            first.name, known = "another", first.name
            first.behavior = endpoint.Behavior(is_draining=True)
            await site_lib.call(site.address, "/plain/a")
            first.name, first.behavior = known, endpoint.Behavior()
            await self.send_kinds(site)
            self.assertEqual(first.runs, [])

    async def test_retry_and_resumption_avoid_the_endpoint(self) -> None:
        for name, path, fault in (
            ("retry after a failure", "/plain/a", {"status": 500}),
            ("retry after a refusal", "/twice/a", {"is_overloaded": True}),
            ("resumption", "/resumable/a", {"abort_after_events": 2}),
        ):
            with self.subTest(name):
                async with site_lib.open_site() as site:
                    prefer_first(site)
                    first, second = site.endpoints
                    first.behavior = endpoint.Behavior(is_draining=True)
                    await site_lib.call(site.address, "/plain/a")
                    first.behavior = endpoint.Behavior()
                    second.behavior = endpoint.Behavior(**fault)
                    forget_failures(site)
                    await site_lib.call(site.address, path)
                    self.assertEqual(len(first.runs), 1)

    async def test_stream_in_flight_is_not_resumed_at_the_endpoint(
        self,
    ) -> None:
        async with site_lib.open_site() as site:
            first, second = site.endpoints
            site.loads.set_peer_counts("other", {"e1": 4}, {})
            second.behavior = endpoint.Behavior(
                abort_after_events=2, event_delay_s=0.1
            )
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(site_lib.call, site.address, "/resumable/a")
                await wait(lambda: bool(second.runs))
                prefer_first(site)
                first.behavior = endpoint.Behavior(is_draining=True)
                await site_lib.call(site.address, "/plain/a")
                first.behavior = endpoint.Behavior()
            self.assertEqual(len(first.runs), 1)
            self.assertEqual(len(second.runs), 2)

    async def test_next_requests_of_a_connection(self) -> None:
        """Requests that wait on a connection, sent before the mark was read."""
        async with site_lib.open_site() as site:
            prefer_first(site)
            first, second = site.endpoints
            first.behavior = endpoint.Behavior(is_draining=True)
            host, _, port = site.address.rpartition(":")
            request = (
                f"POST /plain/a HTTP/1.1\r\nHost: {site_lib.HOST}\r\n"
                f"Authorization: Bearer {site_lib.KEY}\r\n"
                "Request-Id: r%d\r\nContent-Length: 0\r\n\r\n"
            )
            received = b""
            with anyio.fail_after(TIMEOUT_S):
                async with await anyio.connect_tcp(host, int(port)) as stream:
                    await stream.send((request % 1 + request % 2).encode())
                    while received.count(b"HTTP/1.1 200 OK") < 2:
                        received += await stream.receive()
                    await stream.send((request % 3).encode())
                    while received.count(b"HTTP/1.1 200 OK") < 3:
                        received += await stream.receive()
            self.assertEqual([one.id for one in first.runs], ["r1"])
            self.assertEqual([one.id for one in second.runs], ["r2", "r3"])

    async def test_request_that_is_connecting_goes_elsewhere(self) -> None:
        for path in KINDS:
            with self.subTest(path):
                async with site_lib.open_site() as site:
                    await self.drain_while_connecting(site, path)

    async def drain_while_connecting(
        self, site: site_lib.Site, path: str
    ) -> None:
        prefer_first(site)
        first, second = site.endpoints
        delayed = DelayedConnect(first.address)
        responses: list[site_lib.Response] = []

        async def send() -> None:
            responses.append(await site_lib.call(site.address, path))

        with mock.patch.object(sockets, "connect", delayed.connect):
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(send)
                await delayed.is_connecting.wait()
                started_at = time.monotonic()
                site.placement.draining.record_response(
                    catalog.Endpoint("e1", "engine", first.address, "z1", 8)
                )
        self.assertLess(time.monotonic() - started_at, CONNECT_S / 2)
        self.assertEqual([one.status for one in responses], [200])
        self.assertEqual((len(first.runs), len(second.runs)), (0, 1))
        self.assertEqual(site.failures.get_failure_rate("e1"), 0.0)

    async def test_entries_do_not_lift_it(self) -> None:
        async with site_lib.open_site() as site:
            prefer_first(site)
            first = site.endpoints[0]
            first.behavior = endpoint.Behavior(is_draining=True)
            await site_lib.call(site.address, "/plain/a")
            first.behavior = endpoint.Behavior()
            # Without a word of the store, with the entry as before, and with
            # one that was missing.
            await self.send_kinds(site)
            site.register_endpoints()
            await self.send_kinds(site)
            site.placement.set_endpoints({})
            site.register_endpoints()
            await self.send_kinds(site)
            self.assertEqual(len(first.runs), 1)

    async def test_address_is_used_again_at_once(self) -> None:
        for name, started in (("e3", 0), ("e1", 2)):
            with self.subTest(name):
                async with site_lib.open_site("e1") as site:
                    one = site.endpoints[0]
                    one.behavior = endpoint.Behavior(is_draining=True)
                    await site_lib.call(site.address, "/plain/a")
                    one.name, one.behavior = name, endpoint.Behavior()
                    site.placement.set_endpoints(
                        {
                            name: catalog.Endpoint(
                                name,
                                "engine",
                                one.address,
                                "z1",
                                8,
                                started=started,
                            )
                        }
                    )
                    await self.send_kinds(site)

    async def test_request_is_refused_at_once_if_all_drain(self) -> None:
        async with site_lib.open_site() as site:
            for one in site.endpoints:
                one.behavior = endpoint.Behavior(is_draining=True)
            for _ in site.endpoints:
                await site_lib.call(site.address, "/plain/a")
            runs = site.count_runs()
            self.assertEqual([len(one.runs) for one in site.endpoints], [1, 1])
            delays = []
            for _ in range(20):
                for path in KINDS:
                    started_at = time.monotonic()
                    response = await site_lib.call(site.address, path)
                    took_s = time.monotonic() - started_at
                    self.assertEqual(response.status, 503)
                    self.assertLess(took_s, MAX_REFUSAL_S)
                    delays.append(float(response.headers[b"retry-after"]))
            self.assertEqual(site.count_runs(), runs)
            # Returns are spread over a second.
            self.assertGreaterEqual(min(delays), 0.2)
            for start in (0.2, 0.6, 1.0):
                self.assertTrue(
                    any(start <= one < start + 0.4 for one in delays)
                )

    async def test_forwarded_responses_are_counted(self) -> None:
        async with site_lib.open_site("e1") as site:
            one = site.endpoints[0]
            one.behavior = endpoint.Behavior(is_draining=True)
            response = await site_lib.call(site.address, "/plain/a")
            self.assertEqual(response.headers[b"server-leaving"], b"1")
            await site_lib.call(site.address, "/plain/a")
            shown = site.metrics.render()
            self.assertIn(b"eelgrassgate_draining_responses_total 1.0", shown)


class BatchTest(unittest.IsolatedAsyncioTestCase):
    async def test_items_go_elsewhere(self) -> None:
        for name, fault in (
            ("success", {}),
            ("refusal", {"is_overloaded": True}),
            ("failure", {"status": 500}),
            ("incomplete", {"abort_after_events": 2}),
            ("late", {"has_late_response": True, "late_headers": LATE_MARK}),
        ):
            with self.subTest(name):
                async with test_batches.open_harness() as harness:
                    first, second = harness.endpoints
                    fields: dict[str, Any] = {
                        "is_draining": "late_headers" not in fault,
                        **fault,
                    }
                    first.behavior = endpoint.Behavior(**fields)
                    harness.loads.set_peer_counts("other", {second.name: 4}, {})
                    await test_batches.submit(harness.store, 1)
                    await harness.wait(
                        lambda harness=harness: bool(  # type: ignore[misc]
                            harness.placement.draining.count()
                        )
                    )
                    first.behavior = endpoint.Behavior()
                    runs = len(first.runs)
                    found = await harness.read_all()
                    states = {one.state for one in found.values()}
                    self.assertEqual(states, {records.COMPLETED})
                    await harness.pool.close()
                    self.assertEqual(len(first.runs), runs)

    async def test_items_in_flight_go_on(self) -> None:
        async with test_batches.open_harness() as harness:
            first = harness.endpoints[0]
            first.behavior = endpoint.Behavior(
                is_draining=True, event_delay_s=0.1
            )
            await test_batches.submit(harness.store, 12)
            found = await harness.read_all()
            self.assertEqual(
                {one.text for one in found.values()}, {test_batches.TEXT}
            )
            self.assertTrue(all(one.is_ended for one in first.runs))
            self.assertLess(len(first.runs), 4)

    async def test_item_that_is_connecting_goes_elsewhere(self) -> None:
        async with test_batches.open_harness() as harness:
            first, second = harness.endpoints
            where = catalog.Endpoint("e", "engine", first.address, "z1", 8)
            harness.loads.set_peer_counts("other", {second.name: 4}, {})
            delayed = DelayedConnect(first.address)
            with mock.patch.object(sockets, "connect", delayed.connect):
                await test_batches.submit(harness.store, 1)
                await delayed.is_connecting.wait()
                harness.placement.draining.record_response(where)
                await harness.read_all()
            self.assertEqual((len(first.runs), len(second.runs)), (0, 1))
            self.assertFalse(harness.placement.is_in_backoff("e"))


class Clock:
    def __init__(self) -> None:
        self.now = 100.0

    def __call__(self) -> float:
        return self.now


class DrainingEndpointsTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self) -> None:
        self.clock = Clock()
        self.draining = draining_lib.create_draining_endpoints(self.clock)

    def register(self, *endpoints: catalog.Endpoint) -> None:
        self.draining.set_endpoints({one.id: one for one in endpoints})

    async def test_entry_and_response_count_alike(self) -> None:
        for is_entry in (False, True):
            with self.subTest(is_entry=is_entry):
                self.setUp()
                one = make_endpoint(started=1)
                self.register(make_endpoint(started=1, is_draining=is_entry))
                if not is_entry:
                    self.draining.record_response(one)
                self.clock.now += 2.0
                self.register(one)
                self.assertTrue(self.draining.is_draining(one))
                self.assertEqual(self.draining.get_age_ms(one), 2_000)
                with (
                    self.assertRaises(draining_lib.EndpointDrainingError),
                    self.draining.watch(one) as end_watch,
                ):
                    end_watch()

    def test_it_is_known_by_id_and_start(self) -> None:
        old = make_endpoint(started=1)
        self.register(old, make_endpoint("e2", started=1))
        self.draining.record_response(old)
        for one, expected in (
            (old, True),
            (make_endpoint(started=2), False),
            (make_endpoint("e2", started=1), False),
        ):
            self.assertEqual(self.draining.is_draining(one), expected)

    def test_it_ends_a_while_after_the_entry(self) -> None:
        one = make_endpoint()
        self.register(one)
        self.draining.record_response(one)
        self.clock.now += 1_000.0
        self.register(one)
        self.assertTrue(self.draining.is_draining(one))
        self.register()
        self.assertEqual(self.draining.count(), 0)
        self.clock.now += draining_lib.KEEP_UNREGISTERED_S - 1.0
        self.register()
        self.assertTrue(self.draining.is_draining(one))
        self.clock.now += 1.0
        self.register()
        self.assertFalse(self.draining.is_draining(one))

    def test_it_is_bounded_by_the_endpoints(self) -> None:
        for number in range(5_000):
            self.clock.now += 0.1
            self.draining.record_response(make_endpoint(f"e{number}"))
        known = sum(
            self.draining.is_draining(make_endpoint(f"e{number}"))
            for number in range(5_000)
        )
        self.assertLessEqual(known, draining_lib.KEEP_UNREGISTERED_S * 10 + 1)

    def test_listeners_are_called_once_for_each_endpoint(self) -> None:
        calls = mock.Mock()
        self.draining.subscribe(calls)
        self.register(make_endpoint(), make_endpoint("e2"))
        self.draining.record_response(make_endpoint())
        self.draining.record_response(make_endpoint())
        self.register(make_endpoint(is_draining=True), make_endpoint("e2"))
        calls.assert_called_once_with()
