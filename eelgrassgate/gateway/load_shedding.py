"""Load shedding: refuses online requests that would miss their objective.

Load peaks last a few seconds, during which more requests arrive than all
endpoints can start in time. A request that queues is late and delays those
behind it; a request that is refused immediately can be retried after the peak.
"""

from collections.abc import Callable
import random
from typing import Final

# Longest expected wait as a fraction of the latency objective. The rest is
# spent on the network and on prompt processing, and covers the error of the
# expectation, since load reports are late. In a simulated peak of four thirds
# of the capacity, 24% of all requests were late with 0.8, 17% with 0.5 and 9%
# with 0.3, with which more than 2% were refused twice.
MAX_WAIT_OBJECTIVES: Final = 0.5
# Retry delays don't grow beyond those of a caller with this much time left.
MAX_REMAINING_S: Final = 10.0
# Callers obey a retry delay of up to a third of the time that they have left.
MAX_RETURN_FRACTION: Final = 0.98 / 3.0
# Part of that time before which no refused caller returns. Peaks last longer
# than most callers would wait, so that early returns are refused again.
FIRST_RETURN_FRACTION: Final = 0.36
# The golden ratio spreads any number of successive places evenly.
PLACE_STEP: Final = 0.618034
# Retries are spread over this time where the caller's deadline doesn't say for
# how long it waits; callers that retry at the same time would be refused again.
RETRY_SPREAD_S: Final = 1.2
# Least time after which callers return to a service without endpoints.
MIN_ABSENCE_S: Final = 0.2
# Assumed time for which a large request holds its memory, before any has ended.
INITIAL_HOLD_S: Final = 1.0
# Weight of each request in the mean of that time.
HOLD_WEIGHT: Final = 0.1
# Bounds on the delay until memory is expected to be free; later returns would
# fall behind the time limits of most callers.
MIN_MEMORY_DELAY_S: Final = 0.1
MAX_MEMORY_DELAY_S: Final = 3.0
# Callers with the same delay are spread over this time.
MEMORY_SPREAD_S: Final = 0.3


class ReturnPlaces:
    """Assigns the times at which refused callers return.

    Successive callers get places that are spread evenly over the later part of
    the time in which they return at all.
    """

    def __init__(self, draw: Callable[[], float]) -> None:
        """Start at a random place, so that gateways differ."""
        self._position = draw()

    def assign(self, earliest_s: float, remaining_s: float) -> float:
        """Return the retry delay of the next refused request in seconds.

        Args:
            earliest_s: Seconds until the request could be accepted.
            remaining_s: Seconds until the caller's deadline.
        """
        latest_s = min(remaining_s, MAX_REMAINING_S) * MAX_RETURN_FRACTION
        first_s = max(earliest_s, latest_s * FIRST_RETURN_FRACTION)
        last_s = latest_s
        if first_s >= latest_s:
            # The caller may return later than it usually does.
            last_s = first_s + RETRY_SPREAD_S
        self._position = (self._position + PLACE_STEP) % 1.0
        return first_s + self._position * (last_s - first_s)


def compute_retry_delay(
    wait_s: float,
    limit_wait_s: float,
    objective_s: float,
    remaining_s: float,
    places: ReturnPlaces,
) -> float | None:
    """Return the retry delay of a request to refuse; None to accept it.

    Args:
        wait_s: Expected wait for the first event beyond that of an idle
            typical endpoint, in seconds.
        limit_wait_s: Seconds until a limit allows the request; 0 if now.
        objective_s: Latency objective of the first byte in seconds.
        remaining_s: Seconds until the caller's deadline.
        places: Assigns retry delays.
    """
    max_wait_s = min(objective_s * MAX_WAIT_OBJECTIVES, remaining_s)
    if not limit_wait_s and wait_s <= max_wait_s:
        return None
    return places.assign(max(wait_s, limit_wait_s), remaining_s)


def compute_absence_delay(
    draw: Callable[[], float] = random.random,
) -> float:
    """Return the retry delay while a service has no endpoint.

    Spread, so that the first new endpoint does not get all retries at once.

    Args:
        draw: Returns a random number between 0 and 1.
    """
    return MIN_ABSENCE_S + draw() * RETRY_SPREAD_S


class MemoryReturns:
    """Spreads the return of requests that were refused for want of memory.

    A request that is refused is given the next place in a queue that moves on
    as fast as large requests have given memory back.
    """

    def __init__(self) -> None:
        """Initialize without any request seen."""
        self._hold_s = INITIAL_HOLD_S
        self._free_at = 0.0

    def record_hold(self, hold_s: float) -> None:
        """Record for how long a large request held its memory."""
        self._hold_s += (hold_s - self._hold_s) * HOLD_WEIGHT

    def compute_delay(
        self, share: float, now: float, draw: Callable[[], float]
    ) -> float:
        """Return the retry delay of a request.

        Args:
            share: The memory that it takes as a share of the budget.
            now: Monotonic time.
            draw: Returns a random number between 0 and 1.
        """
        earliest = now + MIN_MEMORY_DELAY_S
        latest = now + MAX_MEMORY_DELAY_S
        self._free_at = max(self._free_at, earliest) + share * self._hold_s
        self._free_at = min(self._free_at, latest)
        return self._free_at - now + draw() * MEMORY_SPREAD_S


def create_return_places(
    draw: Callable[[], float] = random.random,
) -> ReturnPlaces:
    """Create the places of one process.

    Args:
        draw: Returns a random number between 0 and 1.
    """
    return ReturnPlaces(draw)
