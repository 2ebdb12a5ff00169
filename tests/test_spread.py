import random
import unittest

from eelgrassgate import messages
from eelgrassgate import settings
from eelgrassgate.config import fleet as fleet_lib
from eelgrassgate.config import replica as replica_lib
from eelgrassgate.config import reports
from eelgrassgate.instances import base as instances
from eelgrassgate.keys import rollout
from eelgrassgate.store import faulty
from eelgrassgate.store import memory

LIMITS = fleet_lib.Limits(unconfirmed_serving_s=20, outage_serving_s=1000)
MEMBERS = {"a1": "a", "a2": "a", "b1": "b"}
COMMITTED_AT = 50.0


def report(
    zone: str, members: dict[str, str] | None = None, **revisions: int
) -> reports.ZoneReport:
    rows = {
        name: reports.InstanceRevision(revision)
        for name, revision in revisions.items()
    }
    members = MEMBERS if members is None else members
    return reports.ZoneReport(zone, next(iter(rows)), rows, members)


# Name, reports, in force, pending, bound in seconds.
CASES = (
    ("no instance", (), (), (), 20),
    (
        "everywhere",
        (report("a", a1=7, a2=8), report("b", b1=7)),
        ("a1", "a2", "b1"),
        (),
        20,
    ),
    (
        "pending in one zone",
        (report("a", a1=7, a2=7), report("b", b1=6)),
        ("a1", "a2"),
        ("b1",),
        20,
    ),
    (
        "complete in no zone",
        (report("a", a1=7, a2=6), report("b", b1=6)),
        ("a1",),
        ("a2", "b1"),
        1000,
    ),
    (
        "complete zone unknown to the other zone",
        (report("a", a1=7, a2=7), report("b", {"b1": "b"}, b1=6)),
        ("a1", "a2"),
        ("b1",),
        1000,
    ),
)


class FakePeer:
    def __init__(self, name: str, incarnation: int = 1) -> None:
        self.hello = messages.Hello(
            instance=name,
            incarnation=incarnation,
            service="entry",
            zone="a",
            region="r",
        )

    def send(self, message: messages.AnyMessage) -> bool:
        return isinstance(message, messages.PullConfig)


class SpreadTest(unittest.TestCase):
    def test_cases(self) -> None:
        for name, found, in_force, pending, bound_s in CASES:
            with self.subTest(name):
                measured = rollout.compute_rollout(
                    found, 7, LIMITS, COMMITTED_AT
                )
                self.assertEqual(measured.in_force, in_force)
                self.assertEqual(measured.pending, pending)
                end = COMMITTED_AT + bound_s + rollout.CLOCK_MARGIN_S
                self.assertEqual(measured.stale_until, end)
                self.assertEqual(measured.is_done(end - 0.1), not pending)
                self.assertTrue(measured.is_done(end))


class ReporterTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self) -> None:
        self.store = faulty.create_faulty_store(memory.create_memory_store())
        self.known = [instances.Instance("a9", "entry", "", "a", "r")]
        self.replica = replica_lib.create_replica(
            self.store,
            settings.Place(instance="a1", zone="a", region="r"),
            lambda: tuple(self.known),
            generator=random.Random(1),
        )

    async def read(self) -> dict[str, int]:
        (found,) = (await reports.read_all(self.store)).unwrap()
        return {n: row.revision for n, row in found.rows_by_name.items()}

    def beat(self, peer: FakePeer, revision: int) -> None:
        beat = messages.Heartbeat(sent_ms=0, config_revision=revision)
        self.replica.receive(peer, beat)

    async def test_rows_follow_heartbeats_and_outlive_connections(self) -> None:
        peer = FakePeer("a9")
        self.replica.connect(peer)
        self.replica.state.revision = 4
        self.beat(peer, 3)
        await self.replica.reporter.write()
        self.assertEqual(await self.read(), {"a1": 4, "a9": 3})
        self.replica.disconnect(peer)
        self.replica.state.revision = 5
        await self.replica.reporter.write()
        self.assertEqual(await self.read(), {"a1": 5, "a9": 3})
        again = FakePeer("a9", incarnation=2)
        self.replica.connect(again)
        self.beat(again, 2)
        await self.replica.reporter.write()
        self.assertEqual(await self.read(), {"a1": 5, "a9": 2})
        self.replica.disconnect(again)
        self.known.clear()
        await self.replica.reporter.write()
        self.assertEqual(await self.read(), {"a1": 5})

    async def test_unchanged_report_is_not_written(self) -> None:
        for _ in range(5):
            await self.replica.reporter.write()
        self.assertEqual(self.store.counts.writes, 1)

    async def test_lost_reply_is_resolved_by_a_read(self) -> None:
        self.store.faults.lost_replies = 1
        for _ in range(3):
            await self.replica.reporter.write()
        self.assertEqual(self.store.counts.writes, 1)
        self.assertEqual(await self.read(), {"a1": 0, "a9": 0})
