import random
import unittest

import msgspec

from eelgrassgate import messages
from eelgrassgate import settings
from eelgrassgate.config import replica as replica_lib
from eelgrassgate.instances import base as instances
from eelgrassgate.keys import currency
from eelgrassgate.store import memory

State = currency.State
NOW = 10_000.0
PLACE = settings.Place(instance="own", zone="a", region="r")


class Other(msgspec.Struct, frozen=True):
    """A known member: where, and when it answered and was confirmed."""

    zone: str
    answered_ago: float | None = 0.5
    confirmed_ago: float | None = 100.0
    revision: int = 5
    is_listed: bool = True


CUT_OFF = Other("a")
FAR_CUT_OFF = Other("b")
GONE = Other("a", answered_ago=None)
FAR_GONE = Other("b", answered_ago=None)

# name, seconds since own confirmation, others, expected state
CASES = (
    ("just confirmed", 1, (), State.CONFIRMED),
    ("alone, cut off for a moment", 15, (), State.UNCONFIRMED),
    ("alone, cut off for long", 25, (), State.LAPSED),
    ("never confirmed", float("inf"), (FAR_CUT_OFF,), State.LAPSED),
    ("store out for all", 300, (CUT_OFF, FAR_CUT_OFF), State.STORE_OUTAGE),
    ("store out for a day", 90_000, (CUT_OFF,), State.LAPSED),
    ("region split", 300, (CUT_OFF, FAR_GONE), State.LAPSED),
    ("region split, first seconds", 12, (FAR_GONE,), State.UNCONFIRMED),
    (
        "only this one is cut off",
        300,
        (Other("b", confirmed_ago=1.0), CUT_OFF),
        State.LAPSED,
    ),
    (
        "store out, one member died and is still listed",
        300,
        (CUT_OFF, GONE, FAR_CUT_OFF),
        State.STORE_OUTAGE,
    ),
    (
        "store out, most of a zone is unreachable",
        300,
        (FAR_CUT_OFF, FAR_GONE, FAR_GONE),
        State.LAPSED,
    ),
    (
        "a peer holds something newer",
        300,
        (CUT_OFF, Other("b", revision=6)),
        State.LAPSED,
    ),
    (
        "paused: all answers are from before",
        300,
        (
            Other("a", answered_ago=300, confirmed_ago=300),
            Other("b", answered_ago=300, confirmed_ago=300),
        ),
        State.LAPSED,
    ),
    (
        "an unlisted member that is connected counts",
        300,
        (Other("b", is_listed=False, confirmed_ago=2.0),),
        State.LAPSED,
    ),
)


class FakePeer:
    def __init__(self, name: str, zone: str) -> None:
        self.hello = messages.Hello(
            instance=name, incarnation=1, service="entry", zone=zone, region=""
        )

    def send(self, message: messages.AnyMessage) -> bool:
        return isinstance(message, messages.PullConfig)


class CurrencyTest(unittest.TestCase):
    def test_cases(self) -> None:
        for name, confirmed_ago, others, state in CASES:
            with self.subTest(name):
                judge = build(confirmed_ago, others)
                verdict = judge.decide()
                self.assertEqual(verdict.state, state)
                self.assertEqual(verdict.may_serve, verdict.until > NOW)


def build(confirmed_ago: float, others: tuple[Other, ...]) -> currency.Currency:
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
        if other.answered_ago is not None:
            take_answer(replica, f"i{n}", other)
    replica.state.confirmed_at = NOW - confirmed_ago
    return currency.create_currency(
        replica, PLACE, lambda: known, clock=lambda: NOW
    )


def take_answer(replica: replica_lib.Replica, name: str, other: Other) -> None:
    assert other.answered_ago is not None
    peer = FakePeer(name, other.zone)
    replica.connect(peer)
    age_ms = None
    if other.confirmed_ago is not None:
        age_ms = int((other.confirmed_ago - other.answered_ago) * 1000)
    replica.receive(
        peer,
        messages.HeartbeatAck(
            sent_ms=int((NOW - other.answered_ago) * 1000),
            config_revision=other.revision,
            config_age_ms=age_ms,
        ),
    )
