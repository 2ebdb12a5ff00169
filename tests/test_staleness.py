import random
import unittest

import msgspec

from eelgrassgate import messages
from eelgrassgate import settings
from eelgrassgate.config import replica as replica_lib
from eelgrassgate.instances import base as instances
from eelgrassgate.keys import staleness
from eelgrassgate.store import memory

State = staleness.State
NOW = 10_000.0
PLACE = settings.Place(instance="own", zone="a", region="r")


class OtherMember(msgspec.Struct, frozen=True):
    """Another member's zone, last acknowledgement and last confirmation."""

    zone: str
    acked_ago: float | None = 0.5
    confirmed_ago: float | None = 100.0
    revision: int = 5
    is_listed: bool = True


CUT_OFF = OtherMember("a")
OTHER_ZONE_CUT_OFF = OtherMember("b")
UNREACHABLE = OtherMember("a", acked_ago=None)
OTHER_ZONE_UNREACHABLE = OtherMember("b", acked_ago=None)

# name, seconds since own confirmation, others, expected state
CASES = (
    ("recently confirmed", 1, (), State.CONFIRMED),
    ("alone, briefly without store", 15, (), State.UNCONFIRMED),
    ("alone, without store for longer", 25, (), State.EXPIRED),
    ("never confirmed", float("inf"), (OTHER_ZONE_CUT_OFF,), State.EXPIRED),
    (
        "store outage for all",
        300,
        (CUT_OFF, OTHER_ZONE_CUT_OFF),
        State.STORE_OUTAGE,
    ),
    ("store outage for a day", 90_000, (CUT_OFF,), State.EXPIRED),
    ("region partition", 300, (CUT_OFF, OTHER_ZONE_UNREACHABLE), State.EXPIRED),
    (
        "region partition, first seconds",
        12,
        (OTHER_ZONE_UNREACHABLE,),
        State.UNCONFIRMED,
    ),
    (
        "only this instance has lost the store",
        300,
        (OtherMember("b", confirmed_ago=1.0), CUT_OFF),
        State.EXPIRED,
    ),
    (
        "store outage, a crashed member is still listed",
        300,
        (CUT_OFF, UNREACHABLE, OTHER_ZONE_CUT_OFF),
        State.STORE_OUTAGE,
    ),
    (
        "store outage, most of a zone is unreachable",
        300,
        (OTHER_ZONE_CUT_OFF, OTHER_ZONE_UNREACHABLE, OTHER_ZONE_UNREACHABLE),
        State.EXPIRED,
    ),
    (
        "a peer has a newer revision",
        300,
        (CUT_OFF, OtherMember("b", revision=6)),
        State.EXPIRED,
    ),
    (
        "after a pause, all acknowledgements are old",
        300,
        (
            OtherMember("a", acked_ago=300, confirmed_ago=300),
            OtherMember("b", acked_ago=300, confirmed_ago=300),
        ),
        State.EXPIRED,
    ),
    (
        "an unlisted member that is connected counts",
        300,
        (OtherMember("b", is_listed=False, confirmed_ago=2.0),),
        State.EXPIRED,
    ),
)


class FakePeer:
    def __init__(self, name: str, zone: str) -> None:
        self.hello = messages.Hello(
            instance=name, incarnation=1, service="entry", zone=zone, region=""
        )

    def send(self, message: messages.AnyMessage) -> bool:
        return isinstance(message, messages.PullConfig)


class StalenessCheckerTest(unittest.TestCase):
    def test_states(self) -> None:
        for name, confirmed_ago, others, state in CASES:
            with self.subTest(name):
                checker = build_checker(confirmed_ago, others)
                decision = checker.decide()
                self.assertEqual(decision.state, state)
                self.assertEqual(
                    decision.can_serve, decision.serving_ends_at > NOW
                )


def build_checker(
    confirmed_ago: float, others: tuple[OtherMember, ...]
) -> staleness.StalenessChecker:
    known = tuple(
        instances.Instance(f"i{n}", "entry", "", other.zone, "r")
        for n, other in enumerate(others)
        if other.is_listed
    )
    replica = replica_lib.create_replica(
        memory.create_memory_store(),
        PLACE,
        lambda: known,
        clock=lambda: NOW,
        generator=random.Random(1),
    )
    replica.state.revision = 5
    for n, other in enumerate(others):
        if other.acked_ago is not None:
            receive_ack(replica, f"i{n}", other)
    replica.state.confirmed_at = NOW - confirmed_ago
    return staleness.create_staleness_checker(
        replica, PLACE, lambda: known, clock=lambda: NOW
    )


def receive_ack(
    replica: replica_lib.Replica, name: str, other: OtherMember
) -> None:
    assert other.acked_ago is not None
    peer = FakePeer(name, other.zone)
    replica.connect(peer)
    age_ms = None
    if other.confirmed_ago is not None:
        age_ms = int((other.confirmed_ago - other.acked_ago) * 1000)
    replica.receive(
        peer,
        messages.HeartbeatAck(
            sent_ms=int((NOW - other.acked_ago) * 1000),
            config_revision=other.revision,
            config_age_ms=age_ms,
        ),
    )
