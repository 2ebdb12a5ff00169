"""Estimates how many attempts an endpoint runs without queueing them.

The estimate adapts to measurements. In-time first tokens, several in a row
once the window has been decreased, show that the endpoint sustains the number
of attempts running at that moment. The limit exceeds the sustained number by
at least one: the extra attempt is ready inside the endpoint when a place
becomes free, and probes for more capacity. Late first tokens, slow tokens, and
waiting requests in the endpoint's load report decrease the window.
"""

from collections.abc import Callable
from typing import Final

INITIAL_LIMIT: Final = 8
PROBE_HEADROOM: Final = 1
RAMP_UP_FRACTION: Final = 0.25
LATE_BASELINES: Final = 2.0
LATE_TOKEN_INTERVALS: Final = 2.0
SLOW_INTERVAL_RATIO: Final = 4.0
DECREASE_FACTOR: Final = 0.9
IN_TIME_STREAK: Final = 8
LATE_STREAK: Final = 3
VERY_LATE_FACTOR: Final = 3.0
MIN_PROBE_PAUSE_S: Final = 1.0
MAX_PROBE_PAUSE_S: Final = 30.0
PROBE_PAUSE_FACTOR: Final = 2.0
FULL_REPORT_TTL_S: Final = 30.0
SPARE_REPORT_TTL_S: Final = 3.0
BASELINE_DRIFT: Final = 0.002
INTERVAL_EWMA_WEIGHT: Final = 0.05


class Window:
    """The concurrency limit of one endpoint."""

    def __init__(self, max_limit: int, clock: Callable[[], float]) -> None:
        """Create a window with a low initial limit.

        Args:
            max_limit: Upper bound of the limit.
            clock: The monotonic clock.
        """
        self._max_limit = max_limit
        self._clock = clock
        self._sustained = min(INITIAL_LIMIT, max_limit)
        self._has_decreased = False
        self._first_token_baseline_s: float | None = None
        self._token_interval_s: float | None = None
        self._interval_baseline_s: float | None = None
        self._in_time_streak = 0
        self._late_streak = 0
        self._probe_pause_s = MIN_PROBE_PAUSE_S
        self._probe_at = 0.0
        self._reported_capacity: int | None = None
        self._full_report_until = 0.0
        self._spare_report_until = 0.0

    @property
    def sustained(self) -> int:
        """The number of attempts that the endpoint runs without queueing."""
        return self._sustained

    @property
    def limit(self) -> int:
        """The maximum number of attempts in the endpoint now."""
        headroom = PROBE_HEADROOM
        if not self._has_decreased:
            headroom = max(
                PROBE_HEADROOM, int(self._sustained * RAMP_UP_FRACTION)
            )
        return min(self._max_limit, self._sustained + headroom)

    @property
    def token_interval_s(self) -> float:
        """The typical time between two tokens, 0 if unknown."""
        return self._token_interval_s or 0.0

    def is_late(self, waited_s: float) -> bool:
        """Return whether a first token this late indicates queueing."""
        if self._first_token_baseline_s is None:
            return False
        return (
            waited_s
            > LATE_BASELINES * self._first_token_baseline_s
            + LATE_TOKEN_INTERVALS * self.token_interval_s
        )

    def observe_first_token(self, waited_s: float, running: int) -> None:
        """Record the time to a first token.

        Args:
            waited_s: Seconds since the attempt was sent.
            running: Number of attempts in the endpoint, including this one.
        """
        self._first_token_baseline_s = _update_minimum(
            self._first_token_baseline_s, waited_s
        )
        if self.is_late(waited_s):
            self._handle_late(waited_s, running)
            return
        self._late_streak = 0
        if running > self._sustained and self._clock() >= self._probe_at:
            self._handle_in_time(running)

    def observe_token_interval(self, token_interval_s: float) -> None:
        """Record the time between two tokens of one stream."""
        if self._token_interval_s is None or self._interval_baseline_s is None:
            self._token_interval_s = self._interval_baseline_s = (
                token_interval_s
            )
            return
        self._token_interval_s += INTERVAL_EWMA_WEIGHT * (
            token_interval_s - self._token_interval_s
        )
        self._interval_baseline_s = _update_minimum(
            self._interval_baseline_s, self._token_interval_s
        )
        if self._is_slow():
            self._decrease(int(self._sustained * DECREASE_FACTOR))

    def observe_load_report(self, running: int, waiting: int) -> None:
        """Record the endpoint's load report, which lags behind its load."""
        if not waiting:
            self._spare_report_until = self._clock() + SPARE_REPORT_TTL_S
            self._sustained = min(
                self._max_limit, max(self._sustained, running)
            )
            return
        previous = self._reported_capacity
        self._reported_capacity = max(1, running)
        self._full_report_until = self._clock() + FULL_REPORT_TTL_S
        if previous is not None and max(previous, running) <= self._sustained:
            self._reported_capacity = max(previous, running)
            self._decrease(self._reported_capacity)

    def _handle_in_time(self, running: int) -> None:
        """Handle an in-time first token.

        After a decrease, a single one does not raise the window, because it may
        be due to chance.
        """
        if self._is_known_full(running):
            return
        self._in_time_streak += 1
        streak = IN_TIME_STREAK if self._has_decreased else 1
        if self._in_time_streak >= streak and not self._is_slow():
            self._in_time_streak = 0
            self._probe_pause_s = MIN_PROBE_PAUSE_S
            self._sustained = min(running, self._max_limit)

    def _handle_late(self, waited_s: float, running: int) -> None:
        """Handle a late first token.

        A single one may be due to a long prompt, so several in a row are needed
        to decrease the window. If more attempts run than the endpoint sustains,
        this one may have waited for a place, and only a very late first token
        counts. While a load report is recent, late first tokens do not decrease
        the window.
        """
        exceeds_sustained = running > self._sustained
        if exceeds_sustained:
            self._has_decreased = True
            self._pause_probing()
        if exceeds_sustained and not self.is_late(waited_s / VERY_LATE_FACTOR):
            return
        self._late_streak += 1
        has_recent_report = self._clock() < max(
            self._spare_report_until, self._full_report_until
        )
        if self._late_streak >= LATE_STREAK and not has_recent_report:
            self._decrease(self._sustained - 1)

    def _is_known_full(self, running: int) -> bool:
        """Return whether a recent load report showed a lower capacity."""
        if (
            self._reported_capacity is None
            or self._clock() >= self._full_report_until
        ):
            return False
        return running > self._reported_capacity

    def _is_slow(self) -> bool:
        if self._token_interval_s is None or self._interval_baseline_s is None:
            return False
        return (
            self._token_interval_s
            > SLOW_INTERVAL_RATIO * self._interval_baseline_s
        )

    def _pause_probing(self) -> None:
        self._in_time_streak = 0
        now = self._clock()
        if now < self._probe_at:
            return
        self._probe_at = now + self._probe_pause_s
        next_pause_s = self._probe_pause_s * PROBE_PAUSE_FACTOR
        self._probe_pause_s = min(MAX_PROBE_PAUSE_S, next_pause_s)

    def _decrease(self, sustained: int) -> None:
        self._has_decreased = True
        self._late_streak = 0
        self._sustained = max(1, sustained)
        self._interval_baseline_s = self._token_interval_s
        self._pause_probing()


def _update_minimum(minimum: float | None, value: float) -> float:
    """Return the running minimum, which drifts up to forget old values."""
    if minimum is None:
        return value
    return min(minimum * (1.0 + BASELINE_DRIFT), value)
