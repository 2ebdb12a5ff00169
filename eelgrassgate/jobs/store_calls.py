"""Store calls with retries that resolve lost replies."""

from collections.abc import Callable
from typing import Final
from typing import TypeVar

from returns import result

from eelgrassgate import outcomes
from eelgrassgate.jobs import runtimes
from eelgrassgate.store import base

MAX_ATTEMPTS: Final = 6
MIN_BACKOFF_S: Final = 0.05
MAX_BACKOFF_S: Final = 2.0
RETRY_AFTER_S: Final = 2.0

_T = TypeVar("_T")


def compute_backoff(attempt: int) -> float:
    """Return the maximum delay in seconds before retry `attempt`, from 0."""
    return min(MAX_BACKOFF_S, MIN_BACKOFF_S * 2.0 ** min(attempt, 16))


async def commit(
    store: base.Store,
    runtime: runtimes.Runtime,
    transaction: base.Transaction,
    key: str,
    is_own_write: Callable[[base.Record], bool],
    max_attempts: int = MAX_ATTEMPTS,
) -> result.Result[base.Commit, base.StoreError]:
    """Commit a transaction and determine whether it was applied.

    The transaction must expect a revision of `key` and change `key`, so that
    it is applied at most once, even if a delayed request arrives later. After
    a lost reply the same transaction is sent again. Either it is applied, or
    the store returns the current records, and `is_own_write` returns whether
    this transaction wrote the current record of `key`.

    Returns:
        The commit, or a failure that is `NOT_DONE` only if the transaction
        was certainly not applied.
    """
    is_uncertain = False
    for attempt in range(max_attempts):
        answer = await store.commit(transaction)
        if isinstance(answer, result.Success):
            done = answer.unwrap()
            return result.Success(
                _resolve_reply(done, key, is_own_write)
                if is_uncertain
                else done
            )
        if answer.failure().fault is base.Fault.UNKNOWN:
            is_uncertain = True
        if attempt + 1 < max_attempts:
            await runtime.sleep(runtime.add_jitter(compute_backoff(attempt)))
    fault = base.Fault.UNKNOWN if is_uncertain else base.Fault.NOT_DONE
    return result.Failure(base.StoreError(fault, answer.failure().message))


def _resolve_reply(
    done: base.Commit, key: str, is_own_write: Callable[[base.Record], bool]
) -> base.Commit:
    if done.is_done:
        return done
    for record in done.found:
        if record.key == key and is_own_write(record):
            return base.Commit(True, record.revision)
    return done


async def read(
    store: base.Store,
    runtime: runtimes.Runtime,
    key: str,
    max_attempts: int = MAX_ATTEMPTS,
) -> result.Result[base.Record | None, base.StoreError]:
    """Read a key, with a limited number of retries."""
    for attempt in range(max_attempts):
        answer = await store.read(key)
        if isinstance(answer, result.Success):
            break
        if attempt + 1 < max_attempts:
            await runtime.sleep(runtime.add_jitter(compute_backoff(attempt)))
    return answer


def refuse(error: base.StoreError) -> outcomes.Refusal:
    """Return the refusal of a request whose write to the store failed."""
    ran = (
        outcomes.RunStatus.NOT_RUN
        if error.fault is base.Fault.NOT_DONE
        else outcomes.RunStatus.UNKNOWN
    )
    return outcomes.Refusal(
        outcomes.Code.STORE_UNAVAILABLE,
        "the key-value service did not answer",
        ran,
        RETRY_AFTER_S,
    )


def refuse_read(error: base.StoreError) -> outcomes.Refusal:
    """Return the refusal of a request that failed without any change."""
    return outcomes.refuse(
        outcomes.Code.STORE_UNAVAILABLE,
        f"the key-value service did not answer: {error.message}",
        RETRY_AFTER_S,
    )
