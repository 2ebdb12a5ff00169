"""Measures one response of an endpoint for the estimator."""

from collections.abc import Callable
from typing import Final

from eelgrassgate.capacity import estimator as estimator_lib

# Time over which the seconds between events are averaged. Several events arrive
# in it, and a long response tells of a slowdown before it ends.
SAMPLE_S: Final = 0.15
# A caller that takes longer to accept data slows the response down, not the
# endpoint.
MAX_SEND_S: Final = 0.005


class Observer:
    """Records the first event and the pace of one response."""

    __slots__ = (
        "_clock",
        "_endpoint",
        "_estimator",
        "_has_begun",
        "_is_stream",
        "_level",
        "_sample_events",
        "_sample_from",
        "_sent_at",
    )

    def __init__(
        self,
        estimator: estimator_lib.Estimator,
        endpoint: str,
        level: int | None,
        is_stream: bool,
        clock: Callable[[], float],
    ) -> None:
        """Initialize when a request is sent; see `create_observer`."""
        self._estimator = estimator
        self._endpoint = endpoint
        self._level = level
        self._is_stream = is_stream
        self._clock = clock
        self._sent_at = clock()
        self._has_begun = False
        self._sample_from = 0.0
        self._sample_events = 0

    def record_events(self, count: int) -> None:
        """Record complete events of a stream, or a part of another body."""
        now = self._clock()
        if not self._has_begun:
            self._has_begun = True
            self._sample_from = now
            if self._level is not None:
                self._estimator.observe_first_event(
                    self._endpoint,
                    now - self._sent_at,
                    self._level,
                    is_stream=self._is_stream,
                )
            return
        self._sample_events += count
        took_s = now - self._sample_from
        if self._is_stream and took_s >= SAMPLE_S:
            self._estimator.observe_pace(
                self._endpoint, took_s / self._sample_events, is_stream=True
            )
            self._sample_from = now
            self._sample_events = 0

    def record_sent(self, received_at: float) -> None:
        """Record that the caller accepted what arrived at `received_at`."""
        now = self._clock()
        if now > received_at + MAX_SEND_S:
            self._sample_from = now
            self._sample_events = 0

    def record_end(self) -> None:
        """Record a complete response that was not a stream."""
        if self._level is not None:
            self._estimator.observe_pace(
                self._endpoint, self._clock() - self._sent_at, is_stream=False
            )


def create_observer(
    estimator: estimator_lib.Estimator,
    endpoint: str,
    level: int | None,
    clock: Callable[[], float],
    *,
    is_stream: bool,
) -> Observer:
    """Create the observer of a response whose request is being sent.

    Args:
        estimator: Gets the observations.
        endpoint: Id of the endpoint.
        level: Level of load at the endpoint; None if the request waits for a
            slot or crosses a slow link, so that the time to the first event
            does not tell the endpoint's speed.
        clock: Returns seconds on a monotonic clock.
        is_stream: Whether the response is a stream of events.
    """
    return Observer(estimator, endpoint, level, is_stream, clock)
