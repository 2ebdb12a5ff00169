import itertools
import random
import unittest

import anyio
import msgspec
from returns import result

from eelgrassgate import messages
from eelgrassgate import settings
from eelgrassgate.config import edit
from eelgrassgate.config import fleet as fleet_lib
from eelgrassgate.config import records
from eelgrassgate.config import replica as replica_lib
from eelgrassgate.config import snapshot as snapshot_lib
from eelgrassgate.config import state
from eelgrassgate.keys import digest
from eelgrassgate.store import base
from eelgrassgate.store import faulty
from eelgrassgate.store import memory

RATE = fleet_lib.Rate(per_second=1, burst=1)
WORKSPACE_RECORD = records.encode_value(fleet_lib.Workspace(rate=RATE))
EDITS = itertools.count()
KEY = "eg-one"
KEY_RECORD = records.encode_value(
    fleet_lib.Key(digest=digest.compute_digest(KEY), workspace="desk")
)


class FakePeer:
    """Records the messages sent to a peer."""

    def __init__(self, name: str, zone: str = "a") -> None:
        self.hello = messages.Hello(
            instance=name,
            incarnation=1,
            service="entry",
            zone=zone,
            region="r",
        )
        self.sent: list[messages.AnyMessage] = []

    def send(self, message: messages.AnyMessage) -> bool:
        self.sent.append(message)
        return True


async def set_records(
    store: faulty.FaultyStore, **values_by_id: bytes | None
) -> None:
    changes = {k.replace("__", "/"): v for k, v in values_by_id.items()}
    done = await edit.edit(
        store,
        f"edit-{next(EDITS)}",
        lambda _: result.Success(edit.Plan(changes)),
    )
    done.unwrap()


def create(
    store: faulty.FaultyStore, clock: list[float], name: str = "one"
) -> replica_lib.Replica:
    return replica_lib.create_replica(
        store,
        settings.Place(instance=name, zone="a", region="r"),
        lambda: (),
        clock=lambda: clock[0],
        generator=random.Random(1),
    )


class ReplicaTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self) -> None:
        self.clock = [100.0]
        self.memory = memory.create_memory_store()
        self.store = faulty.create_faulty_store(self.memory)
        self.replica = create(self.store, self.clock)

    async def wait_for(self, revision: int) -> None:
        with anyio.fail_after(5):
            while self.replica.revision < revision:
                await anyio.sleep(0.005)

    async def test_watch_delivers_changes_and_removed_keys(self) -> None:
        updates: list[state.Update] = []
        self.replica.subscribe(updates.append)
        await set_records(
            self.store, workspaces__desk=WORKSPACE_RECORD, keys__k=KEY_RECORD
        )
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self.replica.run)
            await self.wait_for(1)
            active_key = self.replica.keys.find(KEY)
            assert active_key is not None
            self.assertEqual(active_key.workspace, "desk")
            self.assertEqual(self.replica.confirmed_at, 100.0)
            await set_records(self.store, keys__k=None)
            await self.wait_for(2)
            tasks.cancel_scope.cancel()
        self.assertIsNone(self.replica.keys.find(KEY))
        self.assertEqual(
            [update.removed_digests for update in updates],
            [frozenset(), frozenset((digest.compute_digest(KEY),))],
        )

    async def test_broken_watch_needs_no_full_read(self) -> None:
        many = {f"keys__k{n}": KEY_RECORD for n in range(200)}
        await set_records(self.store, workspaces__desk=WORKSPACE_RECORD, **many)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self.replica.run)
            await self.wait_for(1)
            read_before = self.store.counts.bytes_read
            tasks.cancel_scope.cancel()
        with anyio.move_on_after(0.3):
            await self.replica.run()
        reread = self.store.counts.bytes_read - read_before
        self.assertLess(reread, 0.02 * read_before)

    async def test_compacted_history_is_read_again(self) -> None:
        await set_records(self.store, workspaces__desk=WORKSPACE_RECORD)
        self.replica.state.apply_snapshot(
            (await snapshot_lib.read(self.store)).unwrap()
        )
        for _ in range(3):
            await self.memory.commit(
                base.Transaction((), (base.Write("/other", b""),))
            )
        self.memory.compact(self.memory.revision)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self.replica.run)
            with anyio.fail_after(5):
                while self.store.counts.watches_opened < 2:
                    await anyio.sleep(0.01)
            await set_records(self.store, keys__k=KEY_RECORD)
            await self.wait_for(2)
            tasks.cancel_scope.cancel()

    async def test_undecodable_head_does_not_confirm(self) -> None:
        write = base.Write(records.HEAD_KEY, b"{")
        await self.memory.commit(base.Transaction((), (write,)))
        with anyio.move_on_after(0.3):
            await self.replica.run()
        self.assertEqual(self.replica.confirmed_at, float("-inf"))

    async def test_older_states_are_never_applied(self) -> None:
        await set_records(
            self.store, workspaces__desk=WORKSPACE_RECORD, keys__k=KEY_RECORD
        )
        old = (await snapshot_lib.read(self.store)).unwrap()
        await set_records(self.store, keys__k=None)
        new = (await snapshot_lib.read(self.store)).unwrap()
        for steps in itertools.product(("old", "new", "peer"), repeat=3):
            with self.subTest(steps):
                copy = state.ConfigState()
                behind = state.ConfigState()
                behind.apply_snapshot(old)
                highest = 0
                for step in steps:
                    if step == "peer":
                        copy.apply_push(behind.build_push(0))
                    else:
                        copy.apply_snapshot(old if step == "old" else new)
                    self.assertGreaterEqual(copy.revision, highest)
                    highest = copy.revision
                if "new" in steps:
                    self.assertIsNone(copy.keys.find(KEY))

    async def test_deltas_from_peers_match_the_store(self) -> None:
        generator = random.Random(7)
        ahead, behind = state.ConfigState(), state.ConfigState()
        for step in range(120):
            name = f"w{generator.randrange(9)}"
            value = WORKSPACE_RECORD if generator.random() < 0.6 else None
            await set_records(self.store, **{f"workspaces__{name}": value})
            ahead.apply_snapshot((await snapshot_lib.read(self.store)).unwrap())
            if step % generator.randrange(1, 9) == 0:
                behind.apply_push(ahead.build_push(behind.revision))
                self.assertEqual(behind.fleet, ahead.fleet)
                self.assertEqual(behind.digest, ahead.digest)
        head = (await snapshot_lib.read(self.store)).unwrap().head
        self.assertEqual(ahead.digest, head.digest)

    async def test_one_key_transfers_one_chunk(self) -> None:
        many = {f"keys__k{n}": KEY_RECORD for n in range(3000)}
        await set_records(self.store, workspaces__desk=WORKSPACE_RECORD, **many)
        whole = self.store.counts.bytes_written
        await set_records(self.store, keys__k7=None)
        self.assertLess(self.store.counts.bytes_written - whole, whole / 25)
        copy = state.ConfigState()
        copy.apply_snapshot((await snapshot_lib.read(self.store)).unwrap())
        await set_records(self.store, keys__k8=None)
        copy.apply_snapshot((await snapshot_lib.read(self.store)).unwrap())
        push = copy.build_push(2)
        self.assertEqual([r.key for r in push.records], ["keys/k8"])
        self.assertLess(len(messages.encode(push)), 100)

    def test_acks_confirm_the_revision(self) -> None:
        # Name, peer's revision, when the heartbeat was sent (s), the age in the
        # ack (ms), and the expected instant of the confirmation (s). The own
        # revision is 5 and the clock shows 100.
        cases = (
            ("fresh", 5, 99.5, 200, 99.3),
            ("heartbeat sent before a pause", 5, 40.0, 200, 39.8),
            ("peer is behind", 3, 99.5, 200, 99.3),
            ("peer is ahead", 6, 99.5, 200, float("-inf")),
            ("peer was never confirmed", 5, 99.5, None, float("-inf")),
            ("clock of another process", 5, 500.0, 0, 100.0),
        )
        for name, revision, sent_at, age_ms, confirmed_at in cases:
            with self.subTest(name):
                replica = create(self.store, self.clock)
                replica.state.revision = 5
                peer = FakePeer("two")
                replica.connect(peer)
                replica.receive(
                    peer,
                    messages.HeartbeatAck(
                        sent_ms=int(sent_at * 1000),
                        config_revision=revision,
                        config_age_ms=age_ms,
                    ),
                )
                self.assertAlmostEqual(replica.confirmed_at, confirmed_at)

    async def test_peer_ahead_is_pulled_from_once(self) -> None:
        await set_records(self.store, workspaces__desk=WORKSPACE_RECORD)
        other = create(self.store, self.clock, "two")
        other.state.apply_snapshot(
            (await snapshot_lib.read(self.store)).unwrap()
        )
        to_other, to_own = FakePeer("two"), FakePeer("one")
        self.replica.connect(to_other)
        heartbeat = messages.Heartbeat(sent_ms=0, config_revision=1)
        self.replica.receive(to_other, heartbeat)
        self.replica.receive(to_other, heartbeat)
        self.assertEqual(to_other.sent, [messages.PullConfig(revision=0)])
        other.receive(to_own, messages.PullConfig(revision=0))
        self.replica.receive(to_other, to_own.sent[0])
        self.assertIn("desk", self.replica.fleet.workspaces)

    def test_invalid_records_are_not_applied_partially(self) -> None:
        copy = state.ConfigState()
        entry = records.Entry(msgspec.Raw(WORKSPACE_RECORD), 1)
        invalid = records.Entry(msgspec.Raw(b'{"later":1}'), 1)
        chunk = records.Chunk({"workspaces/desk": entry, "models/x": invalid})
        head = records.Head(revision=1)
        self.assertFalse(copy.apply_chunks(head, {"c": chunk}))
        self.assertEqual((copy.revision, copy.fleet), (0, fleet_lib.Fleet()))
