"""Chooses batch attempts to preempt, and limits batch admission.

Only attempts that can be completed later are preempted: those that the
endpoint can resume, and those that may run more than once.
"""

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Iterator
import itertools
import math
from typing import Final

import msgspec

PREEMPTION_PAUSE_S: Final = 0.02
MAX_START_PAUSE_S: Final = 0.1
PEAK_RETENTION_S: Final = 5.0
BURST_WINDOW_S: Final = 0.05
MAX_RESERVE_FRACTION: Final = 0.5


class RunningBatch(msgspec.Struct, frozen=True):
    """A batch attempt in the endpoint.

    Attributes:
        attempt_id: The attempt's id.
        has_first_token: Whether its first token has arrived.
        tokens: Number of tokens received.
        due: Instant at which its job is due.
        can_resume: Whether it can be resumed after its last token.
        is_repeatable: Whether it may run again from the start.
    """

    attempt_id: str
    has_first_token: bool
    tokens: int
    due: float
    can_resume: bool
    is_repeatable: bool

    @property
    def is_preemptible(self) -> bool:
        """Whether it can be completed after a preemption."""
        return self.can_resume or self.is_repeatable

    @property
    def is_lossless(self) -> bool:
        """Whether its preemption discards no tokens."""
        return self.can_resume or (
            self.is_repeatable and not self.has_first_token
        )


def choose_victims(
    running: Iterable[RunningBatch], needed: int
) -> Iterator[str]:
    """Yield the ids of the attempts to preempt to free `needed` places.

    Attempts without a first token come first, since they may be queued inside
    the endpoint ahead of an online attempt. Attempts that can be resumed
    follow, the latest due first, and then those with the fewest tokens to
    lose.
    """
    candidates = sorted(
        (each for each in running if each.is_preemptible), key=_compute_rank
    )
    return (each.attempt_id for each in itertools.islice(candidates, needed))


def _compute_rank(each: RunningBatch) -> tuple[bool, bool, int, float]:
    lost = 0 if each.can_resume else each.tokens
    return (each.has_first_token, not each.can_resume, lost, -each.due)


class BatchThrottle:
    """Limits batch admission to leave room for online attempts."""

    def __init__(self, clock: Callable[[], float]) -> None:
        """Create a throttle that has seen no online attempt."""
        self._clock = clock
        self._throttled_until = -math.inf
        self._burst_started_at = -math.inf
        self._burst = 0
        self._peak_burst = 0
        self._peak_at = -math.inf

    def record_arrival(self) -> None:
        """Record the arrival of an online attempt."""
        now = self._clock()
        if now - self._burst_started_at > BURST_WINDOW_S:
            self._burst_started_at = now
            self._burst = 0
        self._burst += 1
        if (
            self._burst >= self._peak_burst
            or now - self._peak_at > PEAK_RETENTION_S
        ):
            self._peak_burst = self._burst
            self._peak_at = now

    def record_preemption(self) -> None:
        """Record a preemption, which pauses batch admission briefly."""
        self._throttled_until = max(
            self._throttled_until, self._clock() + PREEMPTION_PAUSE_S
        )

    def record_start(self, token_interval_s: float) -> None:
        """Record the start of an attempt.

        The next batch attempt waits for the endpoint's next step.

        Args:
            token_interval_s: The typical time between two tokens.
        """
        until = self._clock() + min(token_interval_s, MAX_START_PAUSE_S)
        self._throttled_until = max(self._throttled_until, until)

    def is_throttled(self) -> bool:
        """Return whether batch admission is paused."""
        return self._clock() < self._throttled_until

    def get_throttled_until(self) -> float:
        """Return the instant at which batch admission resumes."""
        return self._throttled_until

    def compute_reserve(self, window: int, lossless: int) -> int:
        """Return the number of places that batch leaves free.

        Args:
            window: Maximum number of attempts in the endpoint.
            lossless: Number of running attempts whose preemption discards no
                tokens.
        """
        if self._clock() - self._peak_at > PEAK_RETENTION_S:
            return 0
        max_reserve = int(window * MAX_RESERVE_FRACTION)
        return max(0, min(self._peak_burst - lossless, max_reserve))
