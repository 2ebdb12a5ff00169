"""Mirrors that follow those of the watchers of their region."""

from collections.abc import AsyncIterator
from collections.abc import Awaitable
from collections.abc import Callable
import contextlib
from typing import Any
from typing import Final
import unittest
import zlib

import anyio
import msgspec

from eelgrassgate import deadlines
from eelgrassgate.gateway import discovery
from eelgrassgate.gateway import metrics as metrics_lib
from eelgrassgate.gateway import node as node_lib
from eelgrassgate.http1 import downstream
from eelgrassgate.peering import shared_watches
from eelgrassgate.platform import documents
from eelgrassgate.store import base
from eelgrassgate.store import causes
from eelgrassgate.store import faulty
from eelgrassgate.store import memory
from eelgrassgate.store import mirror
from tests import test_config_sync

TIMEOUT_S: Final = 15.0
# A draining endpoint gets no new request from this time on.
MAX_DRAIN_S: Final = 3.0
NODES: Final = 5
PREFIX: Final = documents.ENDPOINT_PREFIX


class Fleet:
    """Nodes of one region that can be ended one by one."""

    def __init__(self, tasks: Any) -> None:
        self._tasks = tasks
        self._scopes: dict[str, anyio.CancelScope] = {}
        self.backend = memory.create_memory_store()
        self.stores: list[Any] = []
        self.nodes: list[node_lib.Node] = []

    def start(self) -> None:
        """Start nodes, in place of those that were ended."""
        self.stores = [
            test_config_sync.make_store(self.backend) for _ in range(NODES)
        ]
        self.nodes = test_config_sync.make_nodes(
            [("z1", one) for one in self.stores]
        )
        for one in self.nodes:
            self._tasks.start_soon(self._run, one)

    async def _run(self, node: node_lib.Node) -> None:
        with anyio.CancelScope() as scope:
            self._scopes[node.member.name] = scope
            await node.run()

    def end(self, node: node_lib.Node) -> None:
        self._scopes[node.member.name].cancel()
        self.nodes.remove(node)

    async def wait_until_settled(self) -> None:
        """Wait until all but the watchers follow them."""
        with anyio.fail_after(TIMEOUT_S):
            while len(self.list_watchers()) > 2:
                await anyio.sleep(0.02)

    def list_watchers(self) -> list[node_lib.Node]:
        return [
            one
            for one in self.nodes
            if one.shared_watches.count_following() < 2
        ]

    def list_watchers_stores(self) -> list[Any]:
        found = self.list_watchers()
        return [
            store
            for node, store in zip(self.nodes, self.stores, strict=True)
            if node in found
        ]

    async def write(self, name: str, state: str) -> None:
        entry = {
            "service": "engine",
            "address": "127.0.0.1:9",
            "zone": "z1",
            "slots": 8,
            "state": state,
            "born": 1,
            "sequence": 1,
            "cold-remaining-ms": 0,
            "version": "1",
        }
        change = base.Write(f"{PREFIX}{name}", msgspec.json.encode(entry))
        await self.commit(change)

    async def commit(self, change: base.Write | base.Delete) -> None:
        (await self.backend.commit(base.Transaction((), (change,)))).unwrap()

    def count_not(self, is_met: Callable[[discovery.Discovery], bool]) -> int:
        return sum(not is_met(one.discovery) for one in self.nodes)


@contextlib.asynccontextmanager
async def run_fleet() -> AsyncIterator[Fleet]:
    async with anyio.create_task_group() as tasks:
        fleet = Fleet(tasks)
        await test_config_sync.write_config(fleet.backend, 1)
        await fleet.write("e", "ready")
        fleet.start()
        await fleet.wait_until_settled()
        yield fleet
        tasks.cancel_scope.cancel()


def is_draining(found: discovery.Discovery) -> bool:
    return (
        "e" in found.endpoints_by_id and found.endpoints_by_id["e"].is_draining
    )


def reply_with(node: node_lib.Node, status: int, body: bytes) -> None:
    async def handle(
        incoming: downstream.IncomingRequest, responder: downstream.Responder
    ) -> None:
        await responder.reply(status, (), body)

    node.relay.mirrors_handler = handle


def freeze(node: node_lib.Node) -> None:
    async def handle(
        incoming: downstream.IncomingRequest, responder: downstream.Responder
    ) -> None:
        await anyio.sleep_forever()

    node.relay.mirrors_handler = handle


async def do_nothing(fleet: Fleet) -> None:
    pass


async def freeze_one(fleet: Fleet) -> None:
    freeze(fleet.list_watchers()[0])


async def freeze_both(fleet: Fleet) -> None:
    for one in fleet.list_watchers():
        freeze(one)


async def silence_one(fleet: Fleet) -> None:
    fleet.list_watchers_stores()[0].faults.is_watch_silent = True


async def cut_store_of_one(fleet: Fleet) -> None:
    fleet.list_watchers_stores()[0].faults.is_down = True


async def end_one(fleet: Fleet) -> None:
    fleet.end(fleet.list_watchers()[0])


async def end_both(fleet: Fleet) -> None:
    for one in fleet.list_watchers():
        fleet.end(one)


async def lose_history(fleet: Fleet) -> None:
    """Compact the store while the watchers don't read it."""
    stores = fleet.list_watchers_stores()
    for one in stores:
        one.faults.delay_s = 0.5
    for _ in range(50):
        await fleet.write("other", "ready")
    fleet.backend.compact(fleet.backend._revision)
    for one in stores:
        one.faults.delay_s = 0.0


async def answer_garbage(fleet: Fleet) -> None:
    for one in fleet.list_watchers():
        reply_with(one, 200, b"\x93\x01")


async def answer_too_much(fleet: Fleet) -> None:
    size = shared_watches.MAX_RESPONSE_BYTES + 1
    for one in fleet.list_watchers():
        reply_with(one, 200, b"\x00" * size)


async def answer_not_found(fleet: Fleet) -> None:
    """Answer as a version without shared watches does."""
    for one in fleet.list_watchers():
        reply_with(one, 404, b"")


async def restart_all(fleet: Fleet) -> None:
    for one in list(fleet.nodes):
        fleet.end(one)
    fleet.start()


# What happens, how, and how long before the endpoint begins to drain: polls
# that a watcher held when it failed end after `shared_watches.HOLD_S`.
AFTER_POLLS_S: Final = shared_watches.HOLD_S + 0.1
FAULTS: Final[
    tuple[tuple[str, Callable[[Fleet], Awaitable[None]], float], ...]
] = (
    ("no fault", do_nothing, 0.0),
    ("a watcher is frozen", freeze_one, AFTER_POLLS_S),
    ("both watchers are frozen", freeze_both, AFTER_POLLS_S),
    ("a watcher lags, as its watch is silent", silence_one, 0.0),
    ("the store is away for a watcher only", cut_store_of_one, 0.0),
    ("a watcher is gone", end_one, 0.0),
    ("both watchers are gone", end_both, 0.0),
    ("the history is lost", lose_history, 0.0),
    ("answers are malformed", answer_garbage, AFTER_POLLS_S),
    ("answers are too large", answer_too_much, AFTER_POLLS_S),
    ("watchers know no shared watches", answer_not_found, AFTER_POLLS_S),
    ("all are restarted", restart_all, 0.0),
)


class MetricsTest(unittest.TestCase):
    def test_calls_and_ages_are_shown(self) -> None:
        """Guards against a cost or a late mirror that nothing shows."""
        metrics = metrics_lib.create_metrics()
        calls = causes.create_call_counts()
        metrics.observe_store_calls(calls.by_cause)
        metrics.observe_mirrors(lambda: 2, {PREFIX: lambda: 1.5})
        calls.count(causes.Operation.WATCH, PREFIX)
        text = metrics.render().decode()
        for line in (
            'store_calls_total{operation="watch",part="servers"} 1.0',
            "eelgrassgate_followed_mirrors 2.0",
            'eelgrassgate_mirror_age_seconds{prefix="servers/"} 1.5',
        ):
            self.assertIn(line, text)


class FaultTest(unittest.IsolatedAsyncioTestCase):
    async def test_drain_reaches_all_processes_in_time(self) -> None:
        """Guards against a process that waits for a watcher that fails."""
        for name, inject, before_s in FAULTS:
            with self.subTest(name):
                late = await self._measure_late(inject, before_s)
                self.assertEqual(late, 0)

    async def _measure_late(
        self, inject: Callable[[Fleet], Awaitable[None]], before_s: float
    ) -> int:
        """Return how many processes learn too late that an endpoint drains."""
        async with run_fleet() as fleet:
            # At another phase of the watches.
            await anyio.sleep(0.3)
            await inject(fleet)
            await anyio.sleep(before_s)
            await fleet.write("e", "draining")
            until = deadlines.after(MAX_DRAIN_S)
            while fleet.count_not(is_draining):
                if deadlines.is_past(until):
                    break
                await anyio.sleep(0.02)
            return fleet.count_not(is_draining)

    async def test_silent_watchers_are_not_followed(self) -> None:
        """Guards against trust in watches that the store does not answer."""
        async with run_fleet() as fleet:
            silent = fleet.list_watchers()
            for one in fleet.list_watchers_stores():
                one.faults.is_watch_silent = True
            await anyio.sleep(4.5)
            followers = [one for one in fleet.nodes if one not in silent]
            for state in ("draining", "ready"):
                await fleet.write("e", state)
                await anyio.sleep(MAX_DRAIN_S - 1.0)
                for one in followers:
                    found = one.discovery.endpoints_by_id["e"]
                    self.assertEqual(found.is_draining, state == "draining")

    async def test_late_watcher_is_left_for_the_other_one(self) -> None:
        """Guards against own watches although one watcher is current."""
        async with run_fleet() as fleet:
            late = fleet.list_watchers()[0].shared_watches
            build = late._build_update

            def build_late(
                position: Any, now: float
            ) -> shared_watches.EncodedUpdate:
                return msgspec.structs.replace(build(position, now), age_s=10.0)

            late._build_update = build_late  # type: ignore[method-assign]
            for _ in range(50):
                self.assertEqual(len(fleet.list_watchers()), 2)
                await anyio.sleep(0.1)

    async def test_only_watchers_watch_the_store(self) -> None:
        """Guards against watches whose number grows with the fleet."""
        async with run_fleet() as fleet:
            await anyio.sleep(1.5)
            followers = [
                store
                for node, store in zip(fleet.nodes, fleet.stores, strict=True)
                if node.shared_watches.count_following()
            ]
            self.assertEqual(len(followers), NODES - 2)
            reads = [one.counts.reads for one in followers]
            watches = [one.counts.watches_opened for one in followers]
            await anyio.sleep(5.0)
            self.assertEqual(reads, [one.counts.reads for one in followers])
            self.assertEqual(
                watches, [one.counts.watches_opened for one in followers]
            )

    async def test_moment_in_which_no_process_reports_the_store(self) -> None:
        """Guards against full reads of all processes when the store is slow.

        A call that takes 0.25 s counts as one that does not reach the store.
        """
        async with run_fleet() as fleet:
            await anyio.sleep(1.5)
            reads = [one.counts.reads for one in fleet.stores]
            has_store = False
            for one in fleet.nodes:
                sources: tuple[Any, ...] = (one.shared_watches, one.reports)
                sources[0]._has_store = lambda: has_store
                sources[1]._is_store_reachable = lambda: has_store
            await anyio.sleep(1.0)
            has_store = True
            await anyio.sleep(1.0)
            self.assertEqual(reads, [one.counts.reads for one in fleet.stores])
            await fleet.wait_until_settled()

    async def test_entries_that_expired_in_an_outage(self) -> None:
        """Guards against the loss of endpoints whose entry is back in time.

        One that is still missing then must go.
        """
        async with run_fleet() as fleet:
            await fleet.write("lost", "ready")
            await anyio.sleep(2.0)
            for one in fleet.stores:
                one.faults.is_down = True
            for name in ("e", "lost"):
                await fleet.commit(base.Delete(f"{PREFIX}{name}"))
            await anyio.sleep(4.5)
            for one in fleet.stores:
                one.faults.is_down = False
            returned_at = deadlines.now()
            missing = 0
            while not deadlines.is_past(returned_at + 5.0):
                if deadlines.is_past(returned_at + 1.5):
                    await fleet.write("e", "ready")
                missing += fleet.count_not(
                    lambda one: "e" in one.endpoints_by_id
                )
                await anyio.sleep(0.05)
            self.assertEqual(missing, 0)
            kept = fleet.count_not(
                lambda one: "lost" not in one.endpoints_by_id
            )
            self.assertEqual(kept, 0)


def make_update(
    changes: tuple[base.Change, ...],
    revision: int,
    *,
    is_complete: bool = False,
    settled: int | None = None,
    is_connected: bool = True,
) -> mirror.Update:
    return mirror.Update(
        changes,
        is_complete,
        revision,
        max((one.revision for one in changes), default=0),
        revision if settled is None else settled,
        is_connected,
        0.0,
        deadlines.now(),
    )


class _Switch:
    """Sharing in which the test decides whether the mirror watches."""

    def __init__(self) -> None:
        self.must_watch = True

    def is_watcher(self, mirror: mirror.Mirror) -> bool:
        return self.must_watch

    async def follow(self, mirror: mirror.Mirror) -> None:
        while not self.must_watch:
            await anyio.sleep(0.01)


class SwitchTest(unittest.IsolatedAsyncioTestCase):
    async def test_watch_starts_at_what_a_peer_confirmed(self) -> None:
        """Guards against a full read, or a step back, at each switch."""
        store = faulty.create_faulty_store(
            memory.create_memory_store(progress_interval_s=0.02)
        )
        switch = _Switch()
        watched = mirror.create_mirror(
            store, "", batch_delay_s=0.0, sharing=switch
        )
        seen: list[base.Change] = []
        watched.subscribe(seen.extend)
        for name, is_lost, reads in (
            ("confirmed by a peer", False, 1),
            ("the history is lost", True, 2),
        ):
            with self.subTest(name):
                async with anyio.create_task_group() as tasks:
                    tasks.start_soon(watched.run)
                    await self._wait(lambda: watched.revision > 0)
                    switch.must_watch = False
                    await anyio.sleep(0.2)
                    settled = watched.settled_revision
                    for value in (b"1", None, b"3"):
                        await self._set("a", value, store)
                    record = (await store.read("a")).unwrap()
                    assert record is not None
                    change = base.Change("a", b"3", record.revision)
                    update = make_update(
                        (change,), record.revision, settled=settled
                    )
                    self.assertTrue(watched.apply_update(update))
                    if is_lost:
                        store._inner.compact(record.revision)  # type: ignore
                    seen.clear()
                    before = store.counts.reads
                    switch.must_watch = True
                    await self._set("b", b"4", store)
                    await self._wait(lambda: bool(seen))
                    self.assertEqual([one.key for one in seen], ["b"])
                    self.assertEqual(store.counts.reads - before, reads - 1)
                    await self._set("b", None, store)
                    tasks.cancel_scope.cancel()

    async def _set(
        self, key: str, value: bytes | None, store: base.Store
    ) -> None:
        change: base.Write | base.Delete = base.Delete(key)
        if value is not None:
            change = base.Write(key, value)
        (await store.commit(base.Transaction((), (change,)))).unwrap()

    async def _wait(self, is_met: Callable[[], bool]) -> None:
        with anyio.fail_after(TIMEOUT_S):
            while not is_met():
                await anyio.sleep(0.01)


def make_encoded(
    changes: Any, prefix: str = "p/", packed: bytes | None = None
) -> shared_watches.EncodedUpdate:
    if packed is None:
        packed = zlib.compress(msgspec.msgpack.encode(changes))
    return shared_watches.EncodedUpdate(
        prefix, 1, packed, False, 9, 9, 9, True, 5.0, 0.5
    )


class NewsTest(unittest.TestCase):
    def test_malformed_changes_are_refused(self) -> None:
        """Guards against state from a peer's error, and against its size."""
        good = [("p/a", b"1", 2), ("p/b", None, 3)]
        update = shared_watches._read_update(make_encoded(good), 0.0)
        self.assertEqual([one.key for one in update.changes], ["p/a", "p/b"])
        whole = zlib.compress(msgspec.msgpack.encode(good))
        size = shared_watches.MAX_CHANGES_BYTES + 1
        for name, encoded in (
            ("a key of another prefix", make_encoded([("q/a", b"1", 2)])),
            ("a negative revision", make_encoded([("p/a", b"1", -2)])),
            ("a value of another type", make_encoded([("p/a", 7, 2)])),
            ("not a list", make_encoded(7)),
            ("not compressed", make_encoded((), packed=b"\x90")),
            ("truncated", make_encoded((), packed=whole[:-1])),
            ("too large", make_encoded((), packed=zlib.compress(b" " * size))),
        ):
            with (
                self.subTest(name),
                self.assertRaises(
                    (shared_watches.InvalidResponseError, msgspec.MsgspecError)
                ),
            ):
                shared_watches._read_update(encoded, 0.0)

    def test_response_that_is_read_late_confirms_nothing_newer(self) -> None:
        """Guards against a frozen process that trusts an old response."""
        now = deadlines.now()
        for name, sent_at, expected in (
            ("read at once", now, now - 0.5),
            ("read a minute later", now - 60.0, now - 60.5),
            ("a wait longer than since the poll", now + 60.0, now - 0.5),
        ):
            with self.subTest(name):
                update = shared_watches._read_update(make_encoded(()), sent_at)
                self.assertAlmostEqual(update.confirmed_at, expected, delta=0.2)


class UpdateTest(unittest.IsolatedAsyncioTestCase):
    """A mirror that has "a" and "b" of 2 and 4; "c" was deleted at 5."""

    async def asyncSetUp(self) -> None:
        self.mirror = mirror.create_mirror(memory.create_memory_store(), "")
        self.mirror.apply_update(
            make_update(
                (
                    base.Change("a", b"2", 2),
                    base.Change("b", b"4", 4),
                    base.Change("c", None, 5),
                ),
                6,
            )
        )

    async def test_state_never_goes_backwards(self) -> None:
        a, b = base.Change("a", b"2", 2), base.Change("b", b"4", 4)
        old_b, old_c = base.Change("b", b"1", 1), base.Change("c", b"3", 3)
        new_c = base.Change("c", b"7", 7)
        for name, update, expected in (
            ("older", make_update((), 4, is_complete=True), "ab"),
            ("a newer value is known", make_update((a, old_b), 9), "ab"),
            ("the deletion is known", make_update((old_c,), 9), "ab"),
            ("set after the deletion", make_update((new_c,), 9), "abc"),
            ("deleted", make_update((a,), 9, is_complete=True), "a"),
            (
                "set after what is settled",
                make_update((a,), 9, is_complete=True, settled=3),
                "ab",
            ),
            (
                "not connected",
                make_update((a,), 9, is_complete=True, is_connected=False),
                "ab",
            ),
            ("equal", make_update((a, b), 9, is_complete=True), "ab"),
        ):
            with self.subTest(name):
                await self.asyncSetUp()
                self.mirror.apply_update(update)
                found = self.mirror.records_by_key
                self.assertEqual("".join(sorted(found)), expected)
                if "b" in found:
                    self.assertEqual(found["b"].value, b"4")

    async def test_connection_is_that_of_the_watcher(self) -> None:
        """Guards against endpoints that are removed right after an outage."""
        self.assertTrue(self.mirror.is_connected)
        lost = make_update((), 9, is_connected=False)
        self.assertFalse(self.mirror.apply_update(lost))
        self.assertFalse(self.mirror.is_connected)
        regained_at = deadlines.now()
        self.assertTrue(self.mirror.apply_update(make_update((), 9)))
        self.assertGreaterEqual(self.mirror.connected_since, regained_at)
        # A short loss of the watcher's, between two polls.
        again = msgspec.structs.replace(
            make_update((), 10), connected_since=regained_at + 7.0
        )
        self.assertTrue(self.mirror.apply_update(again))
        self.assertEqual(self.mirror.connected_since, regained_at + 7.0)

    async def test_changes_since_a_version(self) -> None:
        """Guards against changes that a follower misses."""
        version = self.mirror.version
        changes = tuple(
            base.Change(key, None, 10)
            for key in map(str, range(mirror.MAX_KEPT_DELETIONS + 1))
        )
        self.assertEqual(self.mirror.list_changes(version), ())
        found = self.mirror.list_changes(0)
        assert found is not None
        self.assertEqual({one.key for one in found}, set("abc"))
        self.mirror.apply_update(make_update(changes, 10))
        self.assertIsNone(self.mirror.list_changes(version))
        self.assertEqual(len(self.mirror.list_all()), 2)
