"""Decides which items run where, and which are preempted by online requests.

Pure functions over counts, without I/O. The workload that they are made for:
online requests arrive in bursts that last seconds, with up to five times as
many requests at the peak as between bursts. Items run for seconds each and
are due much later, so they run between bursts, and a preempted item later
resumes where it stopped.
"""

from collections.abc import Callable
from collections.abc import Collection
from collections.abc import Mapping
from typing import Final

import msgspec

from eelgrassgate import outcomes
from eelgrassgate.gateway import catalog
from eelgrassgate.gateway import placement as placement_lib
from eelgrassgate.peering import loads

# Slots of each endpoint kept free for the next online request. Preempting an
# item instead costs about 40 ms of endpoint time, because the endpoint where
# the item resumes reads its input again.
SPARE_SLOTS: Final = 1
# Slots kept free during a peak of online requests. An item started with fewer
# free slots would be preempted before making much progress.
PEAK_SPARE_SLOTS: Final = 3
# Fraction of an endpoint's slots in use by online requests from which the
# endpoint counts as at peak.
PEAK_ONLINE_FRACTION: Final = 0.5
# Minimum interval between starts of one process at one endpoint, long enough
# for load reports about the last start to arrive. Otherwise several processes
# would start items in the same slot and preempt them again. The shorter
# interval is for the one process that is preferred for the endpoint.
PREFERRED_START_INTERVAL_S: Final = 0.05
OTHER_START_INTERVAL_S: Final = 0.35
# Converts the distance to an endpoint in seconds into a number of used slots.
# With this factor another availability zone costs as much as two slots.
SLOTS_PER_DISTANCE_S: Final = 130.0
# Initial estimate of an item's run time, before any item has completed.
INITIAL_ITEM_S: Final = 5.0
ITEM_SMOOTHING_FACTOR: Final = 0.1
# Lower bound of the estimate, for items that have run longer than estimated.
MIN_REMAINING_S: Final = 0.5

# Delay before an item runs again after a run that did not complete it.
RETRY_DELAY_S: Final = 0.2
# Factor of that delay for each endpoint that ended under the item; the item
# may be the cause.
ENDED_DELAY_FACTOR: Final = 5.0
# Jobs have 18 s to end after their last caller has left; an item that waits
# must run again within that time.
MAX_RETRY_DELAY_S: Final = 12.0


class Rank(msgspec.Struct, frozen=True, order=True):
    """Sort key of waiting items: those not late first, then by due time."""

    is_late: bool
    due: float


def rank_item(due: float, remaining_s: float, now: float) -> Rank:
    """Return the rank of a waiting item.

    An item that can no longer complete on time is ranked after those that
    can, so that it does not make them late as well.

    Args:
        due: Wall-clock time in seconds by which its job should complete.
        remaining_s: Estimated remaining run time in seconds.
        now: Current wall-clock time in seconds.
    """
    return Rank(now + remaining_s > due, due)


def compute_retry_delay(ended_endpoints: int) -> float:
    """Return the delay in seconds before an item runs again.

    Args:
        ended_endpoints: Number of endpoints in a row that ended under it.
    """
    delay_s = RETRY_DELAY_S
    for _ in range(ended_endpoints):
        delay_s *= ENDED_DELAY_FACTOR
        if delay_s >= MAX_RETRY_DELAY_S:
            return MAX_RETRY_DELAY_S
    return delay_s


class RunTimeEstimator:
    """Estimates run times of items by an exponential moving average."""

    def __init__(self) -> None:
        """Start with `INITIAL_ITEM_S` as the estimate."""
        self._item_s = INITIAL_ITEM_S

    def observe(self, item_s: float) -> None:
        """Add the total run time of a completed item, over all its runs."""
        self._item_s += ITEM_SMOOTHING_FACTOR * (item_s - self._item_s)

    def estimate_remaining(self, run_time_s: float) -> float:
        """Return the remaining time of an item that ran for `run_time_s`."""
        return max(MIN_REMAINING_S, self._item_s - run_time_s)


def get_spare_slots(load_table: loads.Loads, endpoint: catalog.Endpoint) -> int:
    """Return how many slots of an endpoint to keep free.

    One without online requests always has room for an item.
    """
    online = load_table.count_in_flight_of_class(
        endpoint.id, outcomes.RequestClass.ONLINE
    )
    if online >= PEAK_ONLINE_FRACTION * endpoint.slots:
        return PEAK_SPARE_SLOTS
    return min(SPARE_SLOTS, max(0, endpoint.slots - 1))


def choose_endpoint(
    placement: placement_lib.Placement,
    load_table: loads.Loads,
    service: str,
    *,
    can_use: Callable[[catalog.Endpoint], bool] = lambda endpoint: True,
    avoid: Collection[str] = (),
    regions: frozenset[str] | None = None,
) -> catalog.Endpoint | None:
    """Return the least loaded and nearest endpoint with room for an item.

    Endpoints that fail many runs are skipped while there is any other, even
    one that is full: an item can wait, but becomes a dead letter after a few
    failures. Endpoints that name a limit get items only if all do.

    Args:
        placement: The known endpoints and their health.
        load_table: Requests in flight by endpoint.
        service: The service whose endpoints are considered.
        can_use: Returns whether an item can start at an endpoint now.
        avoid: Ids of endpoints where the item has failed.
        regions: Regions that the item may use; None for all.
    """
    best: catalog.Endpoint | None = None
    best_cost = 0.0
    endpoints = placement.get_endpoints(service, regions)
    healthy = [
        one
        for one in endpoints
        if one.id not in avoid and not placement.is_failing(one.id)
    ]
    for endpoint in healthy or endpoints:
        if placement.find_reason(endpoint, regions) is not None:
            continue
        used = load_table.count_in_flight(endpoint.id)
        spare = get_spare_slots(load_table, endpoint)
        if used + spare >= endpoint.slots or not can_use(endpoint):
            continue
        cost = used + SLOTS_PER_DISTANCE_S * placement.estimate_distance_cost(
            endpoint.zone
        )
        if best is None or cost < best_cost:
            best, best_cost = endpoint, cost
    return best


def count_excess(load_table: loads.Loads, endpoint: catalog.Endpoint) -> int:
    """Return how many items must be preempted at an endpoint."""
    batch = load_table.count_in_flight_of_class(
        endpoint.id, outcomes.RequestClass.BATCH
    )
    return min(
        batch, max(0, load_table.count_in_flight(endpoint.id) - endpoint.slots)
    )


def count_own_share(
    excess: int,
    own: int,
    batch_by_peer: Mapping[str, int],
    own_rank: int,
    compute_rank: Callable[[str], int],
) -> int:
    """Return how many of the preempted items this process must stop.

    All processes with items at an endpoint compute the same shares, so that
    only one of them stops an item for each excess online request.

    Args:
        excess: Number of items to preempt in total.
        own: Number of items of this process at the endpoint.
        batch_by_peer: Number of items of each other process.
        own_rank: This process's rank; the lowest is preempted first.
        compute_rank: Returns the rank of another process.
    """
    before = sum(
        count
        for name, count in batch_by_peer.items()
        if compute_rank(name) < own_rank
    )
    return max(0, min(own, excess - before))
