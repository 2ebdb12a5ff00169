"""How processes know of each other, and reach the store through peers."""

from collections.abc import AsyncIterator
import contextlib
import functools
from typing import Any
from typing import Final
import unittest

import anyio
import msgspec
from starlette import applications
from starlette import requests
from starlette import responses
from starlette import routing

from eelgrassgate import outcomes
from eelgrassgate.peering import failures
from eelgrassgate.peering import loads
from eelgrassgate.peering import registry
from eelgrassgate.peering import relay
from eelgrassgate.peering import reports
from eelgrassgate.platform import kv
from eelgrassgate.standins import kv as kv_standin
from eelgrassgate.store import base
from eelgrassgate.store import faulty
from eelgrassgate.store import memory
from eelgrassgate.store import mirror
from tests import loopback

PATIENCE_S: Final = 5.0
# Nothing listens there; a connection is refused at once.
DEAD: Final = "127.0.0.1:9"


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
    """Members as a test wants them."""

    def __init__(self, *members: registry.Member) -> None:
        self.members_by_name = {one.name: one for one in members}

    def drop_lapsed(self, is_heard: Any) -> None:
        """Their entries never lapse."""


def make_reports(
    name: str, *members: registry.Member
) -> tuple[reports.Reports, loads.Loads]:
    directory: Any = Directory(*members)
    table = loads.create_loads()
    own = directory.members_by_name[name]
    made = reports.create_reports(
        own, directory, table, failures.create_failures(), lambda: True
    )
    return made, table


def make_report(name: str, number: int = 1, **fields: Any) -> reports.Report:
    values: dict[str, Any] = {
        "incarnation": 1,
        "uptime_s": 10.0,
        "online_by_endpoint": {},
        "batch_by_endpoint": {},
        "spent_by_workspace": {},
        **fields,
    }
    return reports.Report(name=name, number=number, **values)


class LoadsTest(unittest.TestCase):
    def test_totals(self) -> None:
        table = loads.create_loads()
        with table.hold("e", outcomes.RequestClass.ONLINE):
            table.set_peer("a", {"e": 2}, {"e": 1})
            table.set_peer("b", {}, {"e": 3, "f": 1})
            self.assertEqual(table.get("e"), 7)
            self.assertEqual(table.get_of("e", outcomes.RequestClass.BATCH), 4)
            table.set_peer("a", {"e": 1}, {})
            self.assertEqual(table.get("e"), 5)
            self.assertEqual(table.get_own(), ({"e": 1}, {}))
        table.set_peer("a", {}, {})
        table.set_peer("b", {}, {})
        self.assertEqual((table.get("e"), table.get("f")), (0, 0))


class FailuresTest(unittest.TestCase):
    def setUp(self) -> None:
        self.now = 100.0
        self.seen = failures.create_failures(
            lambda peer: peer == "near", lambda: self.now
        )

    def test_what_counts(self) -> None:
        for name, own, near, far, wanted in (
            ("nothing seen", None, None, None, 0.0),
            ("one failure", (1, 1), None, None, 1 / 4),
            ("failures told by others", (0, 1), (2, 3), (1, 3), 3 / 10),
            ("it fails callers of this zone", (2, 2), None, (0, 40), 2 / 5),
            ("it fails callers elsewhere", (0, 40), None, (5, 5), 5 / 48),
        ):
            with self.subTest(name):
                self.setUp()
                for peer, told in (("near", near), ("far", far)):
                    self.seen.set_peer(peer, {"e": told} if told else {})
                for number in range(own[1] if own else 0):
                    has_failed = bool(own and number < own[0])
                    self.seen.note("e", has_failed=has_failed)
                self.now += 0.2
                self.assertAlmostEqual(
                    self.seen.get_part("e"), wanted, delta=0.02
                )

    def test_failures_fade_and_are_told_only_while_suspected(self) -> None:
        self.seen.note("sound", has_failed=False)
        self.seen.note("e", has_failed=True)
        self.assertEqual(self.seen.list_suspects(), {"e": (1.0, 1.0)})
        self.now += failures.HALF_LIFE_S
        self.assertEqual(self.seen.list_suspects(), {"e": (0.5, 0.5)})
        self.now += 3 * failures.HALF_LIFE_S
        self.assertEqual(self.seen.list_suspects(), {})
        # Others need the runs of those who saw no failure, too.
        self.seen.set_peer("near", {"sound": (1.0, 1.0)})
        self.assertIn("sound", self.seen.list_suspects())
        self.seen.set_peer("near", {})
        self.assertEqual(self.seen.list_suspects(), {})

    def test_endpoints_that_are_gone_are_forgotten(self) -> None:
        self.seen.note("e", has_failed=True)
        self.seen.keep({})
        self.now += 0.2
        self.assertEqual(self.seen.get_part("e"), 0.0)


class ReportsTest(unittest.IsolatedAsyncioTestCase):
    def test_an_older_report_changes_nothing(self) -> None:
        own, table = make_reports("a", make_member("a"), make_member("b"))
        own.take(make_report("b", 5, online_by_endpoint={"e": 4}), b"")
        own.take(make_report("b", 4, online_by_endpoint={"e": 9}), b"")
        self.assertEqual(table.get("e"), 4)
        # After a restart numbers begin anew.
        own.take(make_report("b", 1, incarnation=2), b"")
        self.assertEqual(table.get("e"), 0)

    async def test_those_not_heard_are_heard_through_others(self) -> None:
        ports = loopback.find_free_ports(3)
        members = [
            make_member(name, port=port, relay_port=port + 1)
            for name, port in zip("abc", ports, strict=True)
        ]
        # The datagrams of `a` to `c` go nowhere, and the other way round.
        lost = {"a": "c", "c": "a"}
        made: dict[str, tuple[reports.Reports, loads.Loads]] = {}
        for name in "abc":
            seen = [
                make_member(one.name, port=9)
                if lost.get(name) == one.name
                else one
                for one in members
            ]
            made[name] = make_reports(name, *seen)
        async with anyio.create_task_group() as tasks:
            for own, _ in made.values():
                tasks.start_soon(own.run)
            with (
                anyio.fail_after(PATIENCE_S),
                made["a"][1].hold("e", outcomes.RequestClass.ONLINE),
            ):
                while not made["c"][1].get("e"):
                    await anyio.sleep(0.02)
                self.assertTrue(made["c"][0].is_heard("a"))
                # One that is heard through others is no way to the store.
                self.assertEqual(
                    made["c"][0].get_relays(), (members[1].relay_address,)
                )
            tasks.cancel_scope.cancel()


class DirectoryTest(unittest.IsolatedAsyncioTestCase):
    async def test_members_whose_leases_ended_in_an_outage(self) -> None:
        store = memory.create_memory_store(progress_s=0.02)
        watched = mirror.create_mirror(store, registry.MEMBERS, gap_s=0.01)
        directory = registry.create_directory(watched)
        heard = {"a", "b"}
        for name in "abc":
            entry = base.Write(
                f"{registry.MEMBERS}{name}",
                msgspec.json.encode(make_member(name)),
            )
            await store.commit(base.Transaction((), (entry,)))
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(watched.run)
            with anyio.fail_after(PATIENCE_S):
                while len(directory.members_by_name) < 3:
                    await anyio.sleep(0.01)
                # The entries of two lapse; one of them is still heard.
                for name in "bc":
                    gone = base.Delete(f"{registry.MEMBERS}{name}")
                    await store.commit(base.Transaction((), (gone,)))
                while len(watched.records_by_key) > 1:
                    await anyio.sleep(0.01)
            directory.drop_lapsed(heard.__contains__)
            self.assertEqual(set(directory.members_by_name), {"a", "b"})
            heard.discard("b")
            directory.drop_lapsed(heard.__contains__)
            self.assertEqual(set(directory.members_by_name), {"a"})
            tasks.cancel_scope.cancel()


class _Setup:
    """The key-value service, with a process that relays to it."""

    def __init__(self) -> None:
        self.back = faulty.create_faulty_store(memory.create_memory_store())
        self.address = ""
        self.relay_address = ""


@contextlib.asynccontextmanager
async def open_relay() -> AsyncIterator[_Setup]:
    setup = _Setup()
    (port,) = loopback.find_free_ports(1)
    setup.relay_address = f"127.0.0.1:{port}"
    async with loopback.serve(kv_standin.create_app(setup.back)) as url:
        setup.address = url.removeprefix("http://")
        async with anyio.create_task_group() as tasks:
            passer = relay.create_relay(setup.address)
            tasks.start_soon(passer.run, setup.relay_address)
            await anyio.wait_all_tasks_blocked()
            yield setup
            tasks.cancel_scope.cancel()


# A configuration is to be in force within 3 s.
MOVED_S: Final = 3.0
# Longer than that, and short enough for the test to end.
SILENT_S: Final = 4.0
WRITE: Final = base.Transaction(
    (base.Expect("a", 0),), (base.Write("a", b"1"),)
)


class RelayTest(unittest.IsolatedAsyncioTestCase):
    async def test_all_calls_go_through_a_relay(self) -> None:
        async with open_relay() as setup:
            store = kv.create_kv_store(DEAD, watch_wait_s=0.05)
            store.set_relays(lambda: (setup.relay_address,))
            with anyio.fail_after(PATIENCE_S):
                lease = (await store.grant_lease(5.0)).unwrap()
                self.assertFalse(store.has_answered())
                self.assertTrue((await store.keep_lease(lease.lease)).unwrap())
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

    async def test_what_a_failed_call_tells(self) -> None:
        for name, address, script, fault in (
            ("no way at all", DEAD, {}, base.Fault.NOT_DONE),
            (
                "the store is down",
                "",
                {"is_down": True},
                base.Fault.NOT_DONE,
            ),
            (
                "the answer is lost",
                "",
                {"lost_replies": 2},
                base.Fault.UNKNOWN,
            ),
        ):
            with self.subTest(name):
                async with open_relay() as setup:
                    for field, value in script.items():
                        setattr(setup.back.script, field, value)
                    store = kv.create_kv_store(address or setup.address)
                    relays = (DEAD,) if address else (setup.relay_address,)
                    store.set_relays(functools.partial(tuple, relays))
                    with anyio.fail_after(PATIENCE_S):
                        answer = await store.commit(WRITE)
                    self.assertEqual(answer.failure().fault, fault)
                    await store.close()

    async def test_a_watch_ends_when_the_store_is_lost(self) -> None:
        async with open_relay() as setup:
            store = kv.create_kv_store(setup.address)
            followed = mirror.create_mirror(store, "a")
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(followed.run)
                with anyio.fail_after(PATIENCE_S):
                    while not followed.is_connected:
                        await anyio.sleep(0.01)
                    setup.back.script.is_down = True
                    (await store.read("a")).failure()
                    while followed.is_connected:
                        await anyio.sleep(0.01)
                    setup.back.script.is_down = False
                    while not followed.is_connected:
                        await anyio.sleep(0.01)
                tasks.cancel_scope.cancel()
            await store.close()

    async def test_a_watch_moves_to_a_peer_when_the_store_falls_silent(
        self,
    ) -> None:
        for name, is_known_first in (
            ("the peer is known when the watch begins", True),
            ("the peer is known later", False),
        ):
            with self.subTest(name):
                await self.run_silence(is_known_first=is_known_first)

    async def run_silence(self, *, is_known_first: bool) -> None:
        relays: list[str] = []
        async with open_relay() as setup:
            direct = _Gate(kv_standin.create_app(setup.back))
            async with loopback.serve(direct) as url:
                store = kv.create_kv_store(url.removeprefix("http://"))
                store.set_relays(lambda: tuple(relays))
                if is_known_first:
                    relays.append(setup.relay_address)
                followed = mirror.create_mirror(store, "a")
                async with anyio.create_task_group() as tasks:
                    tasks.start_soon(followed.run)
                    with anyio.fail_after(PATIENCE_S):
                        while not followed.is_connected:
                            await anyio.sleep(0.01)
                        # The watch has begun.
                        await anyio.sleep(0.1)
                    relays[:] = [setup.relay_address]
                    direct.is_silent = True
                    # Connections stay open, so nothing but a call shows it.
                    (await store.read("b")).unwrap()
                    (await setup.back.commit(WRITE)).unwrap()
                    with anyio.fail_after(MOVED_S):
                        while "a" not in followed.records_by_key:
                            await anyio.sleep(0.01)
                    tasks.cancel_scope.cancel()
                await store.close()


class WatchTest(unittest.IsolatedAsyncioTestCase):
    async def test_a_change_that_an_empty_answer_passed_over(self) -> None:
        """History is dropped after a second in which nothing was told."""

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
            with anyio.move_on_after(MOVED_S):
                async for answer in store.watch("op/", 41):
                    found.append(answer.unwrap())
                    if len(found) > 5:
                        break
            self.assertIsInstance(found[-1], base.Compacted)
            await store.close()


class _Gate:
    """An application that stops answering, but keeps connections open."""

    def __init__(self, app: Any) -> None:
        self._app = app
        self.is_silent = False

    async def __call__(self, scope: Any, receive: Any, send: Any) -> None:
        async def send_late(message: Any) -> None:
            if self.is_silent and scope["type"] == "http":
                await anyio.sleep(SILENT_S)
            await send(message)

        await self._app(scope, receive, send_late)
