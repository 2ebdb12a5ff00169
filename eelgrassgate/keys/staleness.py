"""Decides whether an instance may serve with its copy of the configuration.

An instance that cannot confirm that its configuration is the newest may still
accept a key that has been withdrawn. It continues to serve for a limited time,
and for much longer while the whole fleet appears to have lost the store.
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

MAX_ACK_AGE_S: Final = 5.0
MAX_CONFIRMATION_AGE_S: Final = 10.0


class State(enum.Enum):
    """How recently an instance's configuration was confirmed."""

    CONFIRMED = "confirmed"
    UNCONFIRMED = "unconfirmed"
    STORE_OUTAGE = "store_outage"
    EXPIRED = "lapsed"


class ServingDecision(msgspec.Struct, frozen=True):
    """Whether requests that need a key may run on this instance.

    Attributes:
        state: How recently the configuration was confirmed.
        serving_ends_at: The instant at which serving ends without a further
            confirmation.
    """

    state: State
    serving_ends_at: float

    @property
    def can_serve(self) -> bool:
        """Whether requests that need a key may run now."""
        return self.state is not State.EXPIRED


class StalenessChecker:
    """Checks one instance; see `create_staleness_checker`."""

    def __init__(
        self,
        replica: replica_lib.Replica,
        place: settings.Place,
        list_instances: replica_lib.ListInstances,
        clock: Callable[[], float],
    ) -> None:
        """Create a checker of `replica`."""
        self._replica = replica
        self._place = place
        self._list_instances = list_instances
        self._clock = clock

    def decide(self) -> ServingDecision:
        """Return the current decision; cheap enough for every request."""
        now = self._clock()
        confirmed_at = self._replica.confirmed_at
        limits = self._replica.fleet.limits
        deadline = confirmed_at + limits.unconfirmed_serving_s
        if now - confirmed_at <= min(
            MAX_CONFIRMATION_AGE_S, limits.unconfirmed_serving_s
        ):
            return ServingDecision(State.CONFIRMED, deadline)
        outage_deadline = confirmed_at + limits.outage_serving_s
        if now < outage_deadline and self._is_store_unreachable(now):
            return ServingDecision(State.STORE_OUTAGE, outage_deadline)
        if now < deadline:
            return ServingDecision(State.UNCONFIRMED, deadline)
        return ServingDecision(State.EXPIRED, deadline)

    def _is_store_unreachable(self, now: float) -> bool:
        """Return whether the rest of the fleet has lost the store as well.

        In each zone at least half of the known members must have acknowledged
        a heartbeat recently. Each of these must itself lack a recent
        confirmation and have no newer revision. A zone in which fewer members
        respond may still reach the store.
        """
        known = self._list_instances()
        others = frozenset(self._iterate_others(known))
        if not others:
            return False
        total_by_zone: dict[str, int] = {self._place.zone: 1}
        cut_off_by_zone: dict[str, int] = {self._place.zone: 1}
        for name, zone in others:
            total_by_zone[zone] = total_by_zone.get(zone, 0) + 1
            peer_state = self._replica.peers.find(name)
            if peer_state is None or now - peer_state.acked_at > MAX_ACK_AGE_S:
                continue
            if not self._is_cut_off(peer_state, now):
                return False
            cut_off_by_zone[zone] = cut_off_by_zone.get(zone, 0) + 1
        return all(
            2 * cut_off_by_zone.get(zone, 0) >= total
            for zone, total in total_by_zone.items()
        )

    def _iterate_others(
        self, known: Iterable[instances.Instance]
    ) -> Iterable[tuple[str, str]]:
        """Yield the name and the zone of each other member."""
        for instance in known:
            if instance.name != self._place.instance:
                yield instance.name, instance.zone
        for peer_state in self._replica.peers.list_all():
            yield peer_state.peer.hello.instance, peer_state.peer.hello.zone

    def _is_cut_off(self, peer_state: peers_lib.PeerState, now: float) -> bool:
        if peer_state.revision > self._replica.revision:
            return False
        return now - peer_state.confirmed_at > MAX_CONFIRMATION_AGE_S


def create_staleness_checker(
    replica: replica_lib.Replica,
    place: settings.Place,
    list_instances: replica_lib.ListInstances,
    clock: Callable[[], float] = deadlines.now,
) -> StalenessChecker:
    """Create the check of whether an instance may serve.

    Args:
        replica: The instance's copy of the configuration.
        place: The instance's name, zone and region.
        list_instances: Returns the entries of the platform's instance list.
        clock: Returns the time in seconds, like `deadlines.now`.
    """
    return StalenessChecker(replica, place, list_instances, clock)
