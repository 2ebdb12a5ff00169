"""Decides which items run where, and which give way to online requests.

Plain decisions over counts, without a network. The load that they answer:
online requests come in waves of seconds, up to five times as many at the
crest as between; items take seconds each and are due much later, so they run
between the crests and go on later where they stopped.
"""

from collections.abc import Callable
from collections.abc import Iterable
from typing import Final

import msgspec

from eelgrassgate import outcomes
from eelgrassgate.gateway import catalog
from eelgrassgate.gateway import placement as placement_lib
from eelgrassgate.peering import loads

# Slots of each endpoint left to the online requests that arrive while reports
# travel.
SPARE_SLOTS: Final = 1
# Items that one process starts at one endpoint of another zone for each round
# of reports; the processes there don't know of them yet.
AWAY_STARTS: Final = 1


class Rank(msgspec.Struct, frozen=True, order=True):
    """Which item comes first: those still in time, then those due first."""

    is_late: bool
    due: float
    started: float


def rank(due: float, started: float, now: float) -> Rank:
    """Return an item's rank among those that wait.

    Args:
        due: Wall-clock instant until which its job is wanted.
        started: When the job was taken on, for equal ones.
        now: The present wall-clock instant.
    """
    return Rank(due < now, due, started)


def find_room(
    placement: placement_lib.Placement,
    table: loads.Loads,
    service: str,
    avoid: frozenset[str] = frozenset(),
    *,
    may_use: Callable[[catalog.Endpoint], bool] = lambda endpoint: True,
) -> catalog.Endpoint | None:
    """Return the nearest endpoint with a slot to spare, the emptiest first."""
    best: catalog.Endpoint | None = None
    best_cost = 0.0
    for endpoint in placement.get_endpoints(service):
        if endpoint.id in avoid or placement.is_resting(endpoint.id):
            continue
        used = table.get(endpoint.id)
        if used + SPARE_SLOTS >= endpoint.slots or not may_use(endpoint):
            continue
        cost = placement.estimate_distance(endpoint.zone)
        cost += used / endpoint.slots
        if best is None or cost < best_cost:
            best, best_cost = endpoint, cost
    return best


def count_excess(table: loads.Loads, endpoint: catalog.Endpoint) -> int:
    """Return how many items must give way at an endpoint."""
    batch = table.get_of(endpoint.id, outcomes.Class.BATCH)
    return min(batch, max(0, table.get(endpoint.id) - endpoint.slots))


def choose_owner(
    job: str, members: Iterable[str], weigh: Callable[[str, str], int]
) -> list[str]:
    """Return members in the order in which they are to take on a job."""
    return sorted(members, key=lambda name: weigh(name, job), reverse=True)
