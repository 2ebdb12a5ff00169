"""Decides whether an item is retried after an attempt."""

import enum
from typing import Final

from eelgrassgate import outcomes
from eelgrassgate.jobs import dispatch
from eelgrassgate.jobs import records

MIN_BACKOFF_S: Final = 0.5
MAX_BACKOFF_S: Final = 30.0
MAX_LOST_ATTEMPTS: Final = 8
RETRIED_STATUSES: Final = frozenset({408, 425, 429})
MIN_SERVER_ERROR_STATUS: Final = 500

PERMANENT_CODES: Final = frozenset(
    {
        outcomes.Code.BAD_REQUEST,
        outcomes.Code.BODY_TOO_LARGE,
        outcomes.Code.NOT_FOUND,
        outcomes.Code.UNKNOWN_MODEL,
    }
)


class RetryDecision(enum.Enum):
    """What to do after an attempt.

    `DONE` and `FAILED` end the item. `RETRY` counts against the item's retry
    limit. `RETRY_LOST` counts against a larger limit, since the endpoint may
    be the cause. `RETRY_UNCOUNTED` does not count. `STALE_FENCE` means that
    another instance owns the slot.
    """

    DONE = "done"
    FAILED = "failed"
    RETRY = "again"
    RETRY_LOST = "lost"
    RETRY_UNCOUNTED = "wait"
    STALE_FENCE = "stale"


def decide_retry(
    item_result: dispatch.ItemResult, is_repeatable: bool
) -> RetryDecision:
    """Decide whether to retry an item after an attempt."""
    refusal = item_result.refusal
    if refusal is None:
        return _classify_status(item_result.status, is_repeatable)
    if refusal.code is outcomes.Code.STALE_FENCE:
        return RetryDecision.STALE_FENCE
    if refusal.ran is outcomes.RunStatus.UNKNOWN:
        return _classify_unknown(item_result, is_repeatable)
    if refusal.code in PERMANENT_CODES:
        return RetryDecision.FAILED
    if item_result.is_endpoint_fault:
        return RetryDecision.RETRY_UNCOUNTED
    if refusal.code is outcomes.Code.ENDPOINT_FAILED:
        return RetryDecision.RETRY
    return RetryDecision.RETRY_UNCOUNTED


def _classify_status(status: int, is_repeatable: bool) -> RetryDecision:
    if not is_repeatable:
        return RetryDecision.DONE
    if status >= MIN_SERVER_ERROR_STATUS or status in RETRIED_STATUSES:
        return RetryDecision.RETRY
    return RetryDecision.DONE


def _classify_unknown(
    item_result: dispatch.ItemResult, is_repeatable: bool
) -> RetryDecision:
    if not is_repeatable:
        return RetryDecision.FAILED
    return (
        RetryDecision.RETRY_LOST
        if item_result.is_endpoint_fault
        else RetryDecision.RETRY
    )


class RetryBudget:
    """Counts the attempts of one item.

    Attributes:
        attempts: Number of attempts so far.
        avoid: Endpoints of attempts that did not end the item.
    """

    def __init__(self, item_tries: int) -> None:
        """Allow `item_tries` attempts that end in `RETRY`."""
        self._item_tries = item_tries
        self._failures = 0
        self._again = 0
        self._lost = 0
        self.attempts = 0
        self.avoid: frozenset[str] = frozenset()

    def record_failure(self, decision: RetryDecision, endpoint: str) -> bool:
        """Count a failed attempt; return False if no retry is left."""
        self._failures += 1
        self._again += decision is RetryDecision.RETRY
        self._lost += decision is RetryDecision.RETRY_LOST
        if endpoint:
            self.avoid |= {endpoint}
        return self._again < self._item_tries and self._lost < MAX_LOST_ATTEMPTS

    def compute_backoff(self, refusal: outcomes.Refusal | None) -> float:
        """Return the maximum delay in seconds before the next attempt."""
        power = min(self._failures - 1, 16)
        delay = min(MAX_BACKOFF_S, MIN_BACKOFF_S * 2.0**power)
        requested_s = refusal.retry_after_s if refusal else None
        return max(delay, min(requested_s or 0.0, MAX_BACKOFF_S))


def make_outcome(
    index: int, custom_id: str, item_result: dispatch.ItemResult
) -> records.Outcome:
    """Return an item's outcome from its last attempt."""
    refusal = item_result.refusal
    if refusal is None:
        return records.Outcome(
            index,
            custom_id,
            item_result.status,
            item_result.body,
            endpoint=item_result.endpoint,
        )
    return records.Outcome(
        index,
        custom_id,
        0,
        b"",
        refusal.code.value,
        refusal.message,
        refusal.ran,
        item_result.endpoint,
    )


def make_unknown_outcome(
    index: int, custom_id: str, message: str
) -> records.Outcome:
    """Return the outcome of an item that may or may not have run."""
    return records.Outcome(
        index,
        custom_id,
        0,
        b"",
        outcomes.Code.ENDPOINT_LOST.value,
        message,
        outcomes.RunStatus.UNKNOWN,
    )
