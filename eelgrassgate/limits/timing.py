"""Durations and limits of the rate limiter, and clock arithmetic."""

import time
from typing import Final

SHARD_COUNT: Final = 64
MAX_HOMES: Final = 64
MIN_LOAN_S: Final = 2.5
LOAN_REQUEST_INTERVALS: Final = 3.0
MIN_LOAN_REQUEST_INTERVAL_S: Final = 0.5
MEMBERS_PER_LOAN_REQUEST_INTERVAL: Final = 50
GRANT_TTL_S: Final = 1.5
RETURN_BEFORE_EXPIRY_S: Final = 0.5
MAX_CLOCK_DRIFT: Final = 0.001
ROUNDING_S: Final = 0.002
HOME_CHOICE_INTERVAL_S: Final = 0.5
PEER_TIMEOUT_S: Final = 3.5
TICK_S: Final = 0.05
DRAIN_POLL_INTERVAL_S: Final = 0.01
MAX_WAIT_S: Final = 0.15
TOKEN_REQUEST_TIMEOUT_S: Final = 0.25
PREFETCH_HORIZON_S: Final = 0.5
MIN_PREFETCH_DEMAND_PER_S: Final = 2.0
DEMAND_TIME_CONSTANT_S: Final = 1.0
IDLE_TIMEOUT_S: Final = 10.0
DEFAULT_RETRY_AFTER_S: Final = 1.0
MS_PER_S: Final = 1000.0


def read_clock() -> float:
    """Return seconds on a monotonic clock that includes system suspend."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def compute_loan_request_interval(members: int) -> float:
    """Return the seconds between two loan requests of a home."""
    return MIN_LOAN_REQUEST_INTERVAL_S * max(
        1.0, members / MEMBERS_PER_LOAN_REQUEST_INTERVAL
    )


def compute_loan(members: int) -> float:
    """Return the duration of a loan in seconds, by the lender's clock."""
    return max(
        MIN_LOAN_S,
        LOAN_REQUEST_INTERVALS * compute_loan_request_interval(members),
    )


def shorten_for_drift(seconds: float) -> float:
    """Return a duration that ends before `seconds` pass on another clock.

    Each clock may drift by `MAX_CLOCK_DRIFT`, and a time loses up to a
    millisecond when it is sent as whole milliseconds.
    """
    return seconds * (1.0 - 2.0 * MAX_CLOCK_DRIFT) - ROUNDING_S


def lengthen_for_drift(seconds: float) -> float:
    """Return a duration that ends after `seconds` pass on another clock."""
    return seconds * (1.0 + 2.0 * MAX_CLOCK_DRIFT) + ROUNDING_S
