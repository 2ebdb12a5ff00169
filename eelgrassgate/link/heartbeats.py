"""Heartbeat intervals and timeouts of a connection.

An active connection sends heartbeats often, so that its loss is detected while
callers still wait for responses on it. An idle connection sends them rarely,
since most connections of a large fleet are idle most of the time.
"""

from typing import Final

ACTIVE_INTERVAL_S: Final = 0.5
IDLE_INTERVAL_S: Final = 1.5
IDLE_AFTER_S: Final = 5.0
ACTIVE_TIMEOUT_S: Final = 2.0
IDLE_TIMEOUT_INTERVALS: Final = 3.0
MS_PER_S: Final = 1000.0


class HeartbeatSchedule:
    """The heartbeat schedule of one connection, set by the connecting side."""

    def __init__(self, now: float) -> None:
        """Create the schedule of an idle connection."""
        self._active_until = now

    def record_send(self, now: float) -> bool:
        """Record a sent message; return whether the connection was idle."""
        was_idle = self.is_idle(now)
        self._active_until = now + IDLE_AFTER_S
        return was_idle

    def is_idle(self, now: float) -> bool:
        """Return whether nothing was sent for `IDLE_AFTER_S`."""
        return now >= self._active_until

    def get_interval_s(self, now: float) -> float:
        """Return the time until the next heartbeat."""
        return IDLE_INTERVAL_S if self.is_idle(now) else ACTIVE_INTERVAL_S


def compute_timeout_s(interval_s: float) -> float:
    """Return the time without messages after which a connection is lost.

    Args:
        interval_s: The connection's heartbeat interval.
    """
    if interval_s <= ACTIVE_INTERVAL_S:
        return ACTIVE_TIMEOUT_S
    return IDLE_TIMEOUT_INTERVALS * interval_s
