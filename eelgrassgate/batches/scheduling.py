"""Decides which items run where, and which give way to online requests.

Plain decisions over counts, without a network. The load that they answer:
online requests come in waves of seconds, up to five times as many at the
crest as between; items take seconds each and are due much later, so they run
between the crests and go on later where they stopped.
"""

from collections.abc import Callable
from collections.abc import Collection
from collections.abc import Iterable
from collections.abc import Mapping
from typing import Final

import msgspec

from eelgrassgate import outcomes
from eelgrassgate.gateway import catalog
from eelgrassgate.gateway import placement as placement_lib
from eelgrassgate.peering import loads

# Slots of each endpoint left free, so that the next online request finds one;
# an item that gives way is read anew elsewhere, for some 40 ms of the endpoint.
SPARE_SLOTS: Final = 1
# Slots left free in a crest of online requests; an item that starts in a
# smaller gap gives way again before it has made much.
CREST_SPARE_SLOTS: Final = 3
# Online requests in hand at one endpoint from which on it is in a crest, as a
# part of its slots.
CREST_PART: Final = 0.5
# One process starts an item at one endpoint once in so long, in which all have
# heard of the last one; else several fill the same slot and stop again.
NEAR_START_EVERY_S: Final = 0.05
AWAY_START_EVERY_S: Final = 0.35
# How many slots emptier an endpoint must be for its distance, so that another
# zone is worth two slots.
SLOTS_PER_S: Final = 130.0
# Seconds that an item runs, before any has been seen whole.
FIRST_ITEM_S: Final = 5.0
ITEM_SMOOTHING: Final = 0.1
# An item that has run for long may end at any moment.
LEAST_LEFT_S: Final = 0.5


class Rank(msgspec.Struct, frozen=True, order=True):
    """Which item comes first: those that can be in time, due first."""

    is_late: bool
    due: float


def rank(due: float, left_s: float, now: float) -> Rank:
    """Return an item's rank among those that wait.

    One that can't be in time any more would make others late as well, so it
    waits for those that can.

    Args:
        due: Wall-clock instant until which its job is wanted.
        left_s: Seconds for which it has to run yet.
        now: The present wall-clock instant.
    """
    return Rank(now + left_s > due, due)


class RunTimes:
    """How long whole items run, as seen lately."""

    def __init__(self) -> None:
        """Start with a guess."""
        self._item_s = FIRST_ITEM_S

    def note(self, item_s: float) -> None:
        """Take the time that a whole item ran, all its runs together."""
        self._item_s += ITEM_SMOOTHING * (item_s - self._item_s)

    def estimate_left(self, ran_s: float) -> float:
        """Return how long an item that has run for `ran_s` runs yet."""
        return max(LEAST_LEFT_S, self._item_s - ran_s)


def get_spare(table: loads.Loads, endpoint: catalog.Endpoint) -> int:
    """Return how many slots of an endpoint are to be left free."""
    online = table.get_of(endpoint.id, outcomes.RequestClass.ONLINE)
    is_crest = online >= CREST_PART * endpoint.slots
    return CREST_SPARE_SLOTS if is_crest else SPARE_SLOTS


def find_room(
    placement: placement_lib.Placement,
    table: loads.Loads,
    service: str,
    *,
    may_use: Callable[[catalog.Endpoint], bool] = lambda endpoint: True,
    avoid: Collection[str] = (),
) -> catalog.Endpoint | None:
    """Return an endpoint with a slot to spare: empty and near.

    Endpoints that fail many runs are passed over while any other lives, even
    one without room: an item can wait, but ends after a few failures.

    Args:
        placement: Knows the endpoints.
        table: What they have in hand.
        service: Whose endpoints.
        may_use: Tells whether an item may start at an endpoint now.
        avoid: Endpoints that have failed the item.
    """
    best: catalog.Endpoint | None = None
    best_cost = 0.0
    endpoints = placement.get_endpoints(service)
    sound = [
        one
        for one in endpoints
        if one.id not in avoid and not placement.is_failing(one.id)
    ]
    for endpoint in sound or endpoints:
        if placement.is_resting(endpoint.id):
            continue
        used = table.get(endpoint.id)
        spare = get_spare(table, endpoint)
        if used + spare >= endpoint.slots or not may_use(endpoint):
            continue
        cost = used + SLOTS_PER_S * placement.estimate_distance(endpoint.zone)
        if best is None or cost < best_cost:
            best, best_cost = endpoint, cost
    return best


def count_excess(table: loads.Loads, endpoint: catalog.Endpoint) -> int:
    """Return how many items must give way at an endpoint."""
    batch = table.get_of(endpoint.id, outcomes.RequestClass.BATCH)
    return min(batch, max(0, table.get(endpoint.id) - endpoint.slots))


def count_own_part(
    excess: int,
    own: int,
    batch_by_peer: Mapping[str, int],
    rank_own: int,
    rank: Callable[[str], int],
) -> int:
    """Return how many of the items that give way are this process's.

    All processes with items at an endpoint come to the same parts, so that
    not each of them stops an item for the same online request.

    Args:
        excess: How many give way in all.
        own: How many items this process has there.
        batch_by_peer: How many each other process has.
        rank_own: This process's rank; the lowest gives way first.
        rank: Returns the rank of another.
    """
    before = sum(
        count for name, count in batch_by_peer.items() if rank(name) < rank_own
    )
    return max(0, min(own, excess - before))


def choose_owner(
    job: str, members: Iterable[str], weigh: Callable[[str, str], int]
) -> list[str]:
    """Return members in the order in which they are to take on a job."""
    return sorted(members, key=lambda name: weigh(name, job), reverse=True)
