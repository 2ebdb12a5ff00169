"""Decides what follows from the end of one try of an item."""

import enum
from typing import Final

from eelgrassgate import outcomes
from eelgrassgate.jobs import dispatch
from eelgrassgate.jobs import records

FIRST_DELAY_S: Final = 0.5
LONGEST_DELAY_S: Final = 30.0
LOST_TRIES: Final = 8
RETRIED_STATUSES: Final = frozenset({408, 425, 429})
FIRST_SERVER_ERROR: Final = 500

PERMANENT_CODES: Final = frozenset(
    {
        outcomes.Code.BAD_REQUEST,
        outcomes.Code.BODY_TOO_LARGE,
        outcomes.Code.NOT_FOUND,
        outcomes.Code.UNKNOWN_MODEL,
    }
)


class Verdict(enum.Enum):
    """What to do after a try.

    `DONE` and `FAILED` end the item. The others try it again: `AGAIN` counts
    against the item, `LOST` counts towards a larger bound since the endpoint
    may be to blame, `WAIT` does not count. `STALE` means that the owner has
    been replaced.
    """

    DONE = "done"
    FAILED = "failed"
    AGAIN = "again"
    LOST = "lost"
    WAIT = "wait"
    STALE = "stale"


def judge(tried: dispatch.ItemResult, is_repeatable: bool) -> Verdict:
    """Judge the end of one try."""
    refusal = tried.refusal
    if refusal is None:
        return _judge_status(tried.status, is_repeatable)
    if refusal.code is outcomes.Code.STALE_FENCE:
        return Verdict.STALE
    if refusal.ran is outcomes.RunStatus.UNKNOWN:
        return _judge_unknown(tried, is_repeatable)
    if refusal.code in PERMANENT_CODES:
        return Verdict.FAILED
    if tried.is_endpoint_ill:
        return Verdict.WAIT
    if refusal.code is outcomes.Code.ENDPOINT_FAILED:
        return Verdict.AGAIN
    return Verdict.WAIT


def _judge_status(status: int, is_repeatable: bool) -> Verdict:
    if not is_repeatable:
        return Verdict.DONE
    if status >= FIRST_SERVER_ERROR or status in RETRIED_STATUSES:
        return Verdict.AGAIN
    return Verdict.DONE


def _judge_unknown(tried: dispatch.ItemResult, is_repeatable: bool) -> Verdict:
    if not is_repeatable:
        return Verdict.FAILED
    return Verdict.LOST if tried.is_endpoint_ill else Verdict.AGAIN


class Tally:
    """Counts the tries of one item."""

    def __init__(self, item_tries: int) -> None:
        """Allow an item so many tries that count against it."""
        self._item_tries = item_tries
        self._failures = 0
        self._again = 0
        self._lost = 0
        self.tries = 0
        self.avoid: frozenset[str] = frozenset()

    def has_more(self, verdict: Verdict, endpoint: str) -> bool:
        """Count a try that did not end the item; tell whether to go on."""
        self._failures += 1
        self._again += verdict is Verdict.AGAIN
        self._lost += verdict is Verdict.LOST
        if endpoint:
            self.avoid |= {endpoint}
        return self._again < self._item_tries and self._lost < LOST_TRIES

    def compute_delay(self, refusal: outcomes.Refusal | None) -> float:
        """Return the longest delay in seconds before the next try."""
        power = min(self._failures - 1, 16)
        delay = min(LONGEST_DELAY_S, FIRST_DELAY_S * 2.0**power)
        asked = refusal.retry_after_s if refusal else None
        return max(delay, min(asked or 0.0, LONGEST_DELAY_S))


def make_outcome(
    index: int, custom_id: str, tried: dispatch.ItemResult
) -> records.Outcome:
    """Return an item's outcome from its last try."""
    refusal = tried.refusal
    if refusal is None:
        return records.Outcome(
            index,
            custom_id,
            tried.status,
            tried.body,
            endpoint=tried.endpoint,
        )
    return records.Outcome(
        index,
        custom_id,
        0,
        b"",
        refusal.code.value,
        refusal.message,
        refusal.ran,
        tried.endpoint,
    )


def make_unknown(index: int, custom_id: str, message: str) -> records.Outcome:
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
