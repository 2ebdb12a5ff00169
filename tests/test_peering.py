"""Tests reports, membership and relaying between processes."""

from collections.abc import AsyncIterator
import contextlib
import functools
import math
from typing import Any
from typing import Final
import unittest

import anyio
from anyio import abc
import msgspec
from starlette import applications
from starlette import requests
from starlette import responses
from starlette import routing

from eelgrassgate import deadlines
from eelgrassgate import memory_budget
from eelgrassgate import outcomes
from eelgrassgate.batches import daemon as batch_daemon
from eelgrassgate.peering import datagrams
from eelgrassgate.peering import failures
from eelgrassgate.peering import loads
from eelgrassgate.peering import registry
from eelgrassgate.peering import relay
from eelgrassgate.peering import reports
from eelgrassgate.platform import kv
from eelgrassgate.quarantine import quarantine
from eelgrassgate.standins import kv as kv_standin
from eelgrassgate.store import base
from eelgrassgate.store import faulty
from eelgrassgate.store import memory
from eelgrassgate.store import mirror
from eelgrassgate.store import relay_regions
from tests import loopback
from tests import site as site_lib

TEST_TIMEOUT_S: Final = 5.0
# Address without a listener; connections are refused.
UNUSED_ADDRESS: Final = "127.0.0.1:9"


def make_member(
    name: str,
    *,
    port: int = 1,
    relay_port: int = 2,
    role: registry.Role = registry.Role.GATEWAY,
) -> registry.Member:
    return registry.Member(
        name,
        role,
        "z1",
        "r1",
        f"127.0.0.1:{port}",
        f"127.0.0.1:{relay_port}",
        1,
    )


class Directory:
    """Stub directory with fixed members."""

    def __init__(self, *members: registry.Member) -> None:
        self.members_by_name = {one.name: one for one in members}

    def remove_expired(self, is_alive: Any) -> None:
        """Do nothing; entries never expire."""


def make_reports(
    name: str, *members: registry.Member
) -> tuple[reports.Reports, loads.Loads]:
    directory: Any = Directory(*members)
    table = loads.create_loads()
    own = directory.members_by_name[name]
    exchange = reports.create_reports(
        own,
        directory,
        table,
        failures.create_failures(),
        quarantine.create_quarantine(),
        lambda: True,
    )
    return exchange, table


def make_report(name: str, number: int = 1, **fields: Any) -> reports.Report:
    values: dict[str, Any] = {
        "incarnation": 1,
        "uptime_s": 10.0,
        "online_by_endpoint": {},
        "batch_by_endpoint": {},
        "admitted_by_workspace": {},
        **fields,
    }
    return reports.Report(name=name, number=number, **values)


class LoadsTest(unittest.TestCase):
    def test_totals(self) -> None:
        table = loads.create_loads()
        with table.track("e", outcomes.RequestClass.ONLINE):
            table.set_peer_counts("a", {"e": 2}, {"e": 1})
            table.set_peer_counts("b", {}, {"e": 3, "f": 1})
            self.assertEqual(table.count_in_flight("e"), 7)
            self.assertEqual(
                table.count_in_flight_of_class(
                    "e", outcomes.RequestClass.BATCH
                ),
                4,
            )
            table.set_peer_counts("a", {"e": 1}, {})
            self.assertEqual(table.count_in_flight("e"), 5)
            self.assertEqual(table.get_own_counts(), ({"e": 1}, {}))
        table.set_peer_counts("a", {}, {})
        table.set_peer_counts("b", {}, {})
        self.assertEqual(
            (table.count_in_flight("e"), table.count_in_flight("f")), (0, 0)
        )


class DatagramTest(unittest.IsolatedAsyncioTestCase):
    async def test_waiting_datagrams_are_read_together(self) -> None:
        limit = datagrams.MAX_BATCH
        for name, count, sizes in (
            ("one", 1, [1]),
            ("as many as one read takes", limit, [limit]),
            ("more than one read takes", limit + 6, [limit, 6]),
        ):
            with self.subTest(name):
                (port,) = loopback.find_free_ports(1)
                receiver = datagrams.create_datagram_socket("127.0.0.1", port)
                sender = datagrams.create_datagram_socket("127.0.0.1", 0)
                async with receiver, sender:
                    for number in range(count):
                        sender.send(b"%d" % number, "127.0.0.1", port)
                    received: list[bytes] = []
                    with anyio.fail_after(TEST_TIMEOUT_S):
                        for size in sizes:
                            batch = await receiver.receive_batch()
                            self.assertEqual(len(batch), size)
                            received += [data for data, _ in batch]
                self.assertEqual(received, [b"%d" % n for n in range(count)])


class FailuresTest(unittest.TestCase):
    def setUp(self) -> None:
        self.now = 100.0
        self.failures = failures.create_failures(
            lambda peer: peer == "near", lambda: self.now
        )

    def test_failure_rate(self) -> None:
        for name, own, near, far, expected in (
            ("no runs", None, None, None, 0.0),
            ("one failure", (1, 1), None, None, 1 / 4),
            ("failures reported by peers", (0, 1), (2, 3), (1, 3), 3 / 10),
            ("requests of this zone fail", (2, 2), None, (0, 40), 2 / 5),
            ("requests of other zones fail", (0, 40), None, (5, 5), 5 / 48),
        ):
            with self.subTest(name):
                self.setUp()
                for peer, reported in (("near", near), ("far", far)):
                    self.failures.set_peer_failures(
                        peer, {"e": reported} if reported else {}
                    )
                for number in range(own[1] if own else 0):
                    has_failed = bool(own and number < own[0])
                    self.failures.record_run("e", has_failed=has_failed)
                self.now += 0.2
                self.assertAlmostEqual(
                    self.failures.get_failure_rate("e"), expected, delta=0.02
                )

    def test_counts_decay_and_are_reported_only_while_suspected(self) -> None:
        self.failures.record_run("sound", has_failed=False)
        self.failures.record_run("e", has_failed=True)
        self.assertEqual(self.failures.get_suspect_counts(), {"e": (1.0, 1.0)})
        self.now += failures.HALF_LIFE_S
        self.assertEqual(self.failures.get_suspect_counts(), {"e": (0.5, 0.5)})
        self.now += 3 * failures.HALF_LIFE_S
        self.assertEqual(self.failures.get_suspect_counts(), {})
        # Peers also need the runs of processes without failures.
        self.failures.set_peer_failures("near", {"sound": (1.0, 1.0)})
        self.assertIn("sound", self.failures.get_suspect_counts())
        self.failures.set_peer_failures("near", {})
        self.assertEqual(self.failures.get_suspect_counts(), {})

    def test_removed_endpoints_are_discarded(self) -> None:
        self.failures.record_run("e", has_failed=True)
        self.failures.retain_endpoints({})
        self.now += 0.2
        self.assertEqual(self.failures.get_failure_rate("e"), 0.0)


class ReceivedLimits(reports.ReportListener):
    """Keeps the limits of the last report."""

    def __init__(self) -> None:
        self.limits_by_endpoint: dict[str, tuple[int, float | None]] = {}

    def handle_report(self, report: reports.Report) -> None:
        self.limits_by_endpoint = report.limits_by_endpoint


class ReportsTest(unittest.IsolatedAsyncioTestCase):
    def test_older_reports_are_ignored(self) -> None:
        exchange, table = make_reports("a", make_member("a"), make_member("b"))
        exchange.handle_report(
            make_report("b", 5, online_by_endpoint={"e": 4}), b""
        )
        exchange.handle_report(
            make_report("b", 4, online_by_endpoint={"e": 9}), b""
        )
        self.assertEqual(table.count_in_flight("e"), 4)
        # Sequence numbers restart with a new incarnation.
        exchange.handle_report(make_report("b", 1, incarnation=2), b"")
        self.assertEqual(table.count_in_flight("e"), 0)

    async def test_quarantine_and_limits_reach_other_processes(self) -> None:
        ports = loopback.find_free_ports(2)
        members = [
            make_member(name, port=port, relay_port=port + 1)
            for name, port in zip("ab", ports, strict=True)
        ]
        quarantines = [quarantine.create_quarantine() for _ in members]
        received = ReceivedLimits()
        async with anyio.create_task_group() as tasks:
            for own, kept in zip(members, quarantines, strict=True):
                directory: Any = Directory(*members)
                exchange = reports.create_reports(
                    own,
                    directory,
                    loads.create_loads(),
                    failures.create_failures(),
                    kept,
                    lambda: True,
                )
                exchange.set_limits_source(lambda: {"e": (1, 2.5)})
                exchange.subscribe(received)
                tasks.start_soon(exchange.run)
            for number in range(4):
                sent_at = deadlines.now()
                quarantines[number % 2].record_end(
                    f"e{number}",
                    quarantine.Run(f"r{number}", ("p",), sent_at, False),
                )
                await anyio.sleep(0.4)
            with anyio.fail_after(TEST_TIMEOUT_S):
                while not all(
                    kept.find_quarantined(("p",)) for kept in quarantines
                ):
                    await anyio.sleep(0.02)
            tasks.cancel_scope.cancel()
        self.assertEqual(received.limits_by_endpoint, {"e": (1, 2.5)})

    async def test_new_process_gets_a_report_at_once(self) -> None:
        exchange, _ = make_reports("a", make_member("a"))
        directory: Any = exchange._directory
        sent_to: list[int] = []

        class Socket:
            def send(self, data: bytes, host: str, port: int) -> None:
                sent_to.append(port)

        socket: Any = Socket()
        sent: Any = {}
        for name, member, ports in (
            ("nobody else", None, []),
            ("first start", make_member("b", port=7), [7]),
            ("no change since", None, []),
            (
                "another start",
                msgspec.structs.replace(
                    make_member("b", port=8), incarnation=2
                ),
                [8],
            ),
        ):
            with self.subTest(name):
                sent_to.clear()
                if member is not None:
                    directory.members_by_name["b"] = member
                exchange._send_due(socket, sent)
                self.assertEqual(sent_to, ports)

    async def test_missing_reports_are_forwarded_by_peers(self) -> None:
        ports = loopback.find_free_ports(3)
        members = [
            make_member(name, port=port, relay_port=port + 1)
            for name, port in zip("abc", ports, strict=True)
        ]
        # Datagrams between `a` and `c` are lost in both directions.
        lost_peer_by_name = {"a": "c", "c": "a"}
        reports_by_name: dict[str, tuple[reports.Reports, loads.Loads]] = {}
        for name in "abc":
            visible_members = [
                make_member(one.name, port=9)
                if lost_peer_by_name.get(name) == one.name
                else one
                for one in members
            ]
            reports_by_name[name] = make_reports(name, *visible_members)
        async with anyio.create_task_group() as tasks:
            for exchange, _ in reports_by_name.values():
                tasks.start_soon(exchange.run)
            with (
                anyio.fail_after(TEST_TIMEOUT_S),
                reports_by_name["a"][1].track(
                    "e", outcomes.RequestClass.ONLINE
                ),
            ):
                while not reports_by_name["c"][1].count_in_flight("e"):
                    await anyio.sleep(0.02)
                self.assertTrue(reports_by_name["c"][0].is_alive("a"))
                # A peer that is not directly reachable is not used as a relay.
                self.assertEqual(
                    reports_by_name["c"][0].get_relays(),
                    (members[1].relay_address,),
                )
                # Nor is one outside the regions of the call.
                for region, count in (("r1", 1), ("r9", 0)):
                    with relay_regions.restrict(frozenset({region})):
                        self.assertEqual(
                            len(reports_by_name["c"][0].get_relays()), count
                        )
            tasks.cancel_scope.cancel()


class DirectoryTest(unittest.IsolatedAsyncioTestCase):
    async def test_gateways_renew_half_as_often_as_batch_processes(
        self,
    ) -> None:
        batch = registry.LEASE_TERMS_BY_ROLE[registry.Role.BATCH]
        gateway = registry.LEASE_TERMS_BY_ROLE[registry.Role.GATEWAY]
        self.assertLessEqual(
            2.0 * batch.renew_interval_s, gateway.renew_interval_s
        )
        for role, terms in registry.LEASE_TERMS_BY_ROLE.items():
            with self.subTest(role=role):
                # Three renewals may fail.
                self.assertLess(3.0 * terms.renew_interval_s, terms.ttl_s)
                store = memory.create_memory_store()
                registration = registry.create_registration(
                    store, make_member("a", role=role)
                )
                async with anyio.create_task_group() as tasks:
                    tasks.start_soon(registration.run)
                    with anyio.fail_after(TEST_TIMEOUT_S):
                        while not registration.lease:
                            await anyio.sleep(0.01)
                    tasks.cancel_scope.cancel()
                kept = (await store.renew_lease(registration.lease)).unwrap()
                assert kept is not None
                self.assertEqual(kept.ttl_s, terms.ttl_s)

    async def test_members_whose_leases_expired_in_an_outage(self) -> None:
        store = memory.create_memory_store(progress_interval_s=0.02)
        watched = mirror.create_mirror(
            store, registry.MEMBERS_PREFIX, batch_delay_s=0.01
        )
        directory = registry.create_directory(watched)
        alive = {"a", "b"}
        for name in "abc":
            entry = base.Write(
                f"{registry.MEMBERS_PREFIX}{name}",
                msgspec.json.encode(make_member(name)),
            )
            await store.commit(base.Transaction((), (entry,)))
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(watched.run)
            with anyio.fail_after(TEST_TIMEOUT_S):
                while len(directory.members_by_name) < 3:
                    await anyio.sleep(0.01)
                # Two entries expire; one of the processes is still alive.
                for name in "bc":
                    gone = base.Delete(f"{registry.MEMBERS_PREFIX}{name}")
                    await store.commit(base.Transaction((), (gone,)))
                while len(watched.records_by_key) > 1:
                    await anyio.sleep(0.01)
            directory.remove_expired(alive.__contains__)
            self.assertEqual(set(directory.members_by_name), {"a", "b"})
            alive.discard("b")
            directory.remove_expired(alive.__contains__)
            self.assertEqual(set(directory.members_by_name), {"a"})
            tasks.cancel_scope.cancel()


class _Setup:
    """A key-value service and a relay to it."""

    def __init__(self) -> None:
        self.backend = faulty.create_faulty_store(memory.create_memory_store())
        self.address = ""
        self.relay_address = ""


@contextlib.asynccontextmanager
async def open_relay(
    budget: memory_budget.Budget | None = None,
) -> AsyncIterator[_Setup]:
    setup = _Setup()
    (port,) = loopback.find_free_ports(1)
    setup.relay_address = f"127.0.0.1:{port}"
    async with loopback.serve(kv_standin.create_app(setup.backend)) as url:
        setup.address = url.removeprefix("http://")
        async with anyio.create_task_group() as tasks:
            relay_server = relay.create_relay(
                setup.address, budget or site_lib.make_budget()
            )
            tasks.start_soon(relay_server.run, setup.relay_address)
            await anyio.wait_all_tasks_blocked()
            yield setup
            tasks.cancel_scope.cancel()


# A configuration must be applied within 3 s.
MAX_FAILOVER_S: Final = 3.0
# Longer than `MAX_FAILOVER_S`, but short enough for the test to end.
RESPONSE_DELAY_S: Final = 4.0
WRITE: Final = base.Transaction(
    (base.Precondition("a", 0),), (base.Write("a", b"1"),)
)


class RelayTest(unittest.IsolatedAsyncioTestCase):
    async def test_all_calls_can_be_relayed(self) -> None:
        async with open_relay() as setup:
            store = kv.create_kv_store(UNUSED_ADDRESS, long_poll_s=0.05)
            store.set_relays(lambda: (setup.relay_address,))
            with anyio.fail_after(TEST_TIMEOUT_S):
                lease = (await store.grant_lease(5.0)).unwrap()
                self.assertFalse(store.is_directly_reachable())
                self.assertTrue((await store.renew_lease(lease.lease)).unwrap())
                self.assertTrue((await store.commit(WRITE)).unwrap().is_done)
                self.assertFalse((await store.commit(WRITE)).unwrap().is_done)
                record = (await store.read("a")).unwrap()
                assert record is not None
                self.assertEqual(record.value, b"1")
                page = (await store.read_range("")).unwrap()
                self.assertEqual(len(page.records), 1)
                watch: Any = store.watch("a", 1)
                changes = (await anext(watch)).unwrap()
                self.assertEqual(changes.changes[0].value, b"1")
                await watch.aclose()
                (await store.revoke_lease(lease.lease)).unwrap()
            await store.close()

    async def test_faults_of_failed_calls(self) -> None:
        for name, address, script, fault in (
            (
                "neither store nor relay reachable",
                UNUSED_ADDRESS,
                {},
                base.Fault.NOT_DONE,
            ),
            (
                "the store is down",
                "",
                {"is_down": True},
                base.Fault.NOT_DONE,
            ),
            (
                "the response is lost",
                "",
                {"lost_replies": 2},
                base.Fault.UNKNOWN,
            ),
        ):
            with self.subTest(name):
                async with open_relay() as setup:
                    for field, value in script.items():
                        setattr(setup.backend.faults, field, value)
                    store = kv.create_kv_store(address or setup.address)
                    relays = (
                        (UNUSED_ADDRESS,) if address else (setup.relay_address,)
                    )
                    store.set_relays(functools.partial(tuple, relays))
                    with anyio.fail_after(TEST_TIMEOUT_S):
                        answer = await store.commit(WRITE)
                    self.assertEqual(answer.failure().fault, fault)
                    await store.close()

    async def test_watch_reconnects_after_a_store_outage(self) -> None:
        async with open_relay() as setup:
            store = kv.create_kv_store(setup.address)
            followed = mirror.create_mirror(store, "a")
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(followed.run)
                with anyio.fail_after(TEST_TIMEOUT_S):
                    while not followed.is_connected:
                        await anyio.sleep(0.01)
                    setup.backend.faults.is_down = True
                    (await store.read("a")).failure()
                    while followed.is_connected:
                        await anyio.sleep(0.01)
                    setup.backend.faults.is_down = False
                    while not followed.is_connected:
                        await anyio.sleep(0.01)
                tasks.cancel_scope.cancel()
            await store.close()

    async def test_watch_fails_over_to_a_relay_when_the_store_hangs(
        self,
    ) -> None:
        for name, is_known_first in (
            ("the relay is known when the watch starts", True),
            ("the relay is known later", False),
        ):
            with self.subTest(name):
                await self.run_failover(is_known_first=is_known_first)

    async def run_failover(self, *, is_known_first: bool) -> None:
        relays: list[str] = []
        async with open_relay() as setup:
            direct = _ResponseDelay(kv_standin.create_app(setup.backend))
            async with loopback.serve(direct) as url:
                store = kv.create_kv_store(url.removeprefix("http://"))
                store.set_relays(lambda: tuple(relays))
                if is_known_first:
                    relays.append(setup.relay_address)
                followed = mirror.create_mirror(store, "a")
                async with anyio.create_task_group() as tasks:
                    tasks.start_soon(followed.run)
                    with anyio.fail_after(TEST_TIMEOUT_S):
                        while not followed.is_connected:
                            await anyio.sleep(0.01)
                        # Gives the watch time to start.
                        await anyio.sleep(0.1)
                    relays[:] = [setup.relay_address]
                    direct.is_delayed = True
                    # Connections stay open, so only a call detects the fault.
                    (await store.read("b")).unwrap()
                    (await setup.backend.commit(WRITE)).unwrap()
                    with anyio.fail_after(MAX_FAILOVER_S):
                        while "a" not in followed.records_by_key:
                            await anyio.sleep(0.01)
                    tasks.cancel_scope.cancel()
                await store.close()

    async def test_calls_wait_for_silent_relays_in_turn(self) -> None:
        async with open_relay() as setup, open_silent_server() as silent:
            # Two more addresses of the same server.
            relays = (silent, silent.replace("127.0.0.1", "127.0.0.2"))
            store = kv.create_kv_store(UNUSED_ADDRESS)
            store.set_relays(lambda: (*relays, setup.relay_address))
            with anyio.move_on_after(1.0) as scope:
                (await store.read("a")).unwrap()
            await store.close()
        self.assertFalse(scope.cancelled_caught)

    async def test_watch_stays_with_a_relay_that_lost_the_store(self) -> None:
        async with open_relay() as setup, open_silent_server() as silent:
            relays = [silent]
            (await setup.backend.commit(WRITE)).unwrap()
            store = kv.create_kv_store(UNUSED_ADDRESS)
            store.set_relays(lambda: tuple(relays))
            watch: Any = store.watch("a", 1)
            (await store.read_range("a")).failure()
            relays[:] = [silent, setup.relay_address]
            store._failed_until_by_relay.clear()
            store._direct_retry_at = math.inf
            async with anyio.create_task_group() as tasks:
                found: list[Any] = []

                async def step() -> None:
                    found.append(await anext(watch))

                tasks.start_soon(step)
                await anyio.sleep(0.2)
                # Its reports say that it reaches the store no longer.
                relays.remove(silent)
                with anyio.move_on_after(1.0):
                    while not found:
                        await anyio.sleep(0.01)
                tasks.cancel_scope.cancel()
            await store.close()
        self.assertEqual(len(found), 1)


@contextlib.asynccontextmanager
async def open_silent_server() -> AsyncIterator[str]:
    """Yield the address of a server that accepts and never responds."""

    async def ignore(stream: abc.SocketStream) -> None:
        await anyio.sleep_forever()

    async with (
        await anyio.create_tcp_listener(local_port=0) as listener,
        anyio.create_task_group() as tasks,
    ):
        tasks.start_soon(listener.serve, ignore)
        port = listener.extra(abc.SocketAttribute.local_port)
        yield f"127.0.0.1:{port}"
        tasks.cancel_scope.cancel()


class WatchTest(unittest.IsolatedAsyncioTestCase):
    async def test_watch_that_nothing_reaches_is_trusted(self) -> None:
        """Only this one connection is silent; all other calls are answered."""
        backend = memory.create_memory_store()
        standin = kv_standin.create_app(backend)
        silenced: list[bool] = []

        async def app(scope: Any, receive: Any, send: Any) -> None:
            if scope.get("path") == "/kv-watch" and not silenced:
                silenced.append(True)
                await anyio.sleep_forever()
            await standin(scope, receive, send)

        async with loopback.serve(app) as url:
            store = kv.create_kv_store(url.removeprefix("http://"))
            followed = mirror.create_mirror(
                store, "a", max_wait_s=batch_daemon.OPEN_MAX_WAIT_S
            )
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(followed.run)
                with anyio.fail_after(TEST_TIMEOUT_S):
                    while not silenced:
                        await anyio.sleep(0.01)
                (await backend.commit(WRITE)).unwrap()
                with anyio.move_on_after(MAX_FAILOVER_S):
                    while "a" not in followed.records_by_key:
                        await anyio.sleep(0.01)
                tasks.cancel_scope.cancel()
            await store.close()
        self.assertIn("a", followed.records_by_key)

    async def test_change_skipped_by_an_empty_response(self) -> None:
        """A watch must not resume at the revision of an empty response.

        Up to a second before it compacts its history, the store may omit
        changes; a watch that resumed there would never receive them.
        """

        async def watch(request: requests.Request) -> responses.Response:
            if int(request.query_params["after"]) < 40:
                return responses.Response(status_code=410)
            nothing = {"events": [], "store-revision": 50}
            if is_dropped and int(request.query_params["after"]) < 50:
                return responses.Response(status_code=410)
            is_dropped.append(True)
            await anyio.sleep(0.05)
            return responses.JSONResponse(nothing)

        async def read_range(request: requests.Request) -> responses.Response:
            return responses.JSONResponse({"items": [], "store-revision": 51})

        is_dropped: list[bool] = []
        app = applications.Starlette(
            routes=[
                routing.Route("/kv-watch", watch),
                routing.Route("/kv-range", read_range),
            ]
        )
        async with loopback.serve(app) as url:
            store = kv.create_kv_store(url.removeprefix("http://"))
            found: list[object] = []
            with anyio.move_on_after(MAX_FAILOVER_S):
                async for answer in store.watch("op/", 41):
                    found.append(answer.unwrap())
                    if len(found) > 5:
                        break
            self.assertIsInstance(found[-1], base.Compacted)
            await store.close()


class _ResponseDelay:
    """ASGI middleware that can delay responses but keeps connections open."""

    def __init__(self, app: Any) -> None:
        self._app = app
        self.is_delayed = False

    async def __call__(self, scope: Any, receive: Any, send: Any) -> None:
        async def send_late(message: Any) -> None:
            if self.is_delayed and scope["type"] == "http":
                await anyio.sleep(RESPONSE_DELAY_S)
            await send(message)

        await self._app(scope, receive, send_late)
