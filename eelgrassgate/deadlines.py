"""Deadlines on the local monotonic clock.

A deadline is a float in seconds on `time.monotonic`. Messages carry the
remaining milliseconds instead, since processes don't share a clock.
"""

import time
from typing import Final

NEVER: Final = float("inf")
MS_PER_S: Final = 1000.0


def now() -> float:
    """Return the current time in seconds on the monotonic clock."""
    return time.monotonic()


def after(seconds: float) -> float:
    """Return the deadline `seconds` from now."""
    return now() + seconds


def is_past(deadline: float) -> bool:
    """Return whether `deadline` has passed."""
    return now() >= deadline


def compute_remaining(deadline: float) -> float:
    """Return the seconds left until `deadline`, 0 once it has passed."""
    return max(0.0, deadline - now())


def to_ms(seconds: float) -> int | None:
    """Return whole milliseconds; None for an infinite time."""
    return None if seconds == NEVER else round(seconds * MS_PER_S)


def encode(deadline: float) -> int | None:
    """Return the milliseconds left, or None for `NEVER`."""
    if deadline == NEVER:
        return None
    return int(compute_remaining(deadline) * MS_PER_S)


def decode(remaining_ms: int | None) -> float:
    """Return the local deadline for `remaining_ms` of a received message."""
    if remaining_ms is None:
        return NEVER
    return after(remaining_ms / MS_PER_S)
