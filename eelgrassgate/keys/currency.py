"""Whether an instance may serve by the configuration that it holds.

An instance that cannot confirm that its configuration is the newest may hold
a key that was withdrawn elsewhere. It goes on for a bounded time; for much
longer while evidence shows that the whole fleet is cut off from the store.
"""

from collections.abc import Callable
from collections.abc import Iterable
import enum
from typing import Final

import msgspec

from eelgrassgate import deadlines
from eelgrassgate import settings
from eelgrassgate.config import peers as peers_lib
from eelgrassgate.config import replica as replica_lib
from eelgrassgate.instances import base as instances

ANSWER_FRESH_S: Final = 5.0
CONFIRMED_FRESH_S: Final = 10.0


class State(enum.Enum):
    """How current an instance's configuration is known to be."""

    CONFIRMED = "confirmed"
    UNCONFIRMED = "unconfirmed"
    STORE_OUTAGE = "store_outage"
    LAPSED = "lapsed"


class Verdict(msgspec.Struct, frozen=True):
    """Whether requests that need a key may run here.

    Attributes:
        state: How current the configuration is known to be.
        until: The instant at which serving ends if nothing changes.
    """

    state: State
    until: float

    @property
    def may_serve(self) -> bool:
        """Whether requests that need a key may run now."""
        return self.state is not State.LAPSED


class Currency:
    """Decides for one instance; see `create_currency`."""

    def __init__(
        self,
        replica: replica_lib.Replica,
        place: settings.Place,
        list_known: replica_lib.ListInstances,
        clock: Callable[[], float],
    ) -> None:
        """Decide on the state of `replica`."""
        self._replica = replica
        self._place = place
        self._list_known = list_known
        self._clock = clock

    def decide(self) -> Verdict:
        """Decide as of now; cheap enough for each request."""
        now = self._clock()
        confirmed_at = self._replica.confirmed_at
        limits = self._replica.fleet.limits
        bound = confirmed_at + limits.unconfirmed_serving_s
        if now - confirmed_at <= min(
            CONFIRMED_FRESH_S, limits.unconfirmed_serving_s
        ):
            return Verdict(State.CONFIRMED, bound)
        outage_bound = confirmed_at + limits.outage_serving_s
        if now < outage_bound and self._is_store_out(now):
            return Verdict(State.STORE_OUTAGE, outage_bound)
        if now < bound:
            return Verdict(State.UNCONFIRMED, bound)
        return Verdict(State.LAPSED, bound)

    def _is_store_out(self, now: float) -> bool:
        """Tell whether the fleet's other members are cut off as well.

        In each zone at least half of the known members must answer, and every
        one that answers must itself lack a fresh confirmation and hold
        nothing newer. A zone that does not answer may reach the store.
        """
        known = self._list_known()
        others = frozenset(self._iterate_others(known))
        if not others:
            return False
        total_by_zone: dict[str, int] = {self._place.zone: 1}
        cut_off_by_zone: dict[str, int] = {self._place.zone: 1}
        for name, zone in others:
            total_by_zone[zone] = total_by_zone.get(zone, 0) + 1
            seen = self._replica.peers.find(name)
            if seen is None or now - seen.acked_at > ANSWER_FRESH_S:
                continue
            if not self._is_cut_off(seen, now):
                return False
            cut_off_by_zone[zone] = cut_off_by_zone.get(zone, 0) + 1
        return all(
            2 * cut_off_by_zone.get(zone, 0) >= total
            for zone, total in total_by_zone.items()
        )

    def _iterate_others(
        self, known: Iterable[instances.Instance]
    ) -> Iterable[tuple[str, str]]:
        """Yield the name and zone of each other member."""
        for instance in known:
            if instance.name != self._place.instance:
                yield instance.name, instance.zone
        for seen in self._replica.peers.list_all():
            yield seen.peer.hello.instance, seen.peer.hello.zone

    def _is_cut_off(self, seen: peers_lib.PeerState, now: float) -> bool:
        if seen.revision > self._replica.revision:
            return False
        return now - seen.confirmed_at > CONFIRMED_FRESH_S


def create_currency(
    replica: replica_lib.Replica,
    place: settings.Place,
    list_known: replica_lib.ListInstances,
    clock: Callable[[], float] = deadlines.now,
) -> Currency:
    """Create the judge of an instance's right to serve.

    Args:
        replica: The instance's copy of the configuration.
        place: Where the instance runs.
        list_known: Returns the entries of the platform's instance list.
        clock: Tells the time in seconds, as `deadlines.now`.
    """
    return Currency(replica, place, list_known, clock)
