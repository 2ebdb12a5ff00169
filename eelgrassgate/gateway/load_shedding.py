"""Load shedding: refuses online requests that would miss their objective.

Load peaks last a few seconds, during which more requests arrive than all
endpoints can start in time. A request that queues is late and delays those
behind it; a request that is refused immediately can be retried after the peak.
"""

from collections.abc import Callable
import random
from typing import Final

# Longest wait for a slot as a fraction of the latency objective; the rest is
# spent on the network and on prompt processing.
MAX_WAIT_OBJECTIVES: Final = 0.8
# Retries are spread over this time after a slot is expected to be free; callers
# that retry at the same time within a peak would be refused again.
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


def compute_retry_delay(
    wait_s: float,
    limit_wait_s: float,
    objective_s: float,
    draw: Callable[[], float] = random.random,
) -> float | None:
    """Return the retry delay of a request to refuse; None to accept it.

    Args:
        wait_s: Expected wait for a slot in seconds.
        limit_wait_s: Seconds until a limit allows the request; 0 if now.
        objective_s: Latency objective of the first byte in seconds.
        draw: Returns a random number between 0 and 1.
    """
    if not limit_wait_s and wait_s <= objective_s * MAX_WAIT_OBJECTIVES:
        return None
    return max(wait_s, limit_wait_s) + draw() * RETRY_SPREAD_S


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
