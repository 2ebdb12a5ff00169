"""Store calls whose lost replies are resolved."""

from collections.abc import Callable
from typing import Final
from typing import TypeVar

from returns import result

from eelgrassgate import outcomes
from eelgrassgate.jobs import runtimes
from eelgrassgate.store import base

TRIES: Final = 6
FIRST_DELAY_S: Final = 0.05
LONGEST_DELAY_S: Final = 2.0
RETRY_AFTER_S: Final = 2.0

_T = TypeVar("_T")


def get_delay(attempt: int) -> float:
    """Return the longest delay in seconds before a retry, from 0 on."""
    return min(LONGEST_DELAY_S, FIRST_DELAY_S * 2.0 ** min(attempt, 16))


async def commit(
    store: base.Store,
    runtime: runtimes.Runtime,
    transaction: base.Transaction,
    key: str,
    is_ours: Callable[[base.Record], bool],
    tries: int = TRIES,
) -> result.Result[base.Commit, base.StoreError]:
    """Make a transaction and find out whether it took effect.

    The transaction must expect a revision of `key` and change it, so that it
    can take effect once only, whenever a lost one arrives. After a lost reply
    the same transaction is sent again: it takes effect, or the store shows
    the present records, and `is_ours` tells whether `key` is of our making.

    Returns:
        The commit, or a failure that is `NOT_DONE` only if that is certain.
    """
    is_doubtful = False
    for attempt in range(tries):
        answer = await store.commit(transaction)
        if isinstance(answer, result.Success):
            done = answer.unwrap()
            return result.Success(
                _judge(done, key, is_ours) if is_doubtful else done
            )
        if answer.failure().fault is base.Fault.UNKNOWN:
            is_doubtful = True
        if attempt + 1 < tries:
            await runtime.sleep(runtime.spread(get_delay(attempt)))
    fault = base.Fault.UNKNOWN if is_doubtful else base.Fault.NOT_DONE
    return result.Failure(base.StoreError(fault, answer.failure().message))


def _judge(
    done: base.Commit, key: str, is_ours: Callable[[base.Record], bool]
) -> base.Commit:
    if done.is_done:
        return done
    for record in done.found:
        if record.key == key and is_ours(record):
            return base.Commit(True, record.revision)
    return done


async def read(
    store: base.Store,
    runtime: runtimes.Runtime,
    key: str,
    tries: int = TRIES,
) -> result.Result[base.Record | None, base.StoreError]:
    """Read a key, with a few tries."""
    for attempt in range(tries):
        answer = await store.read(key)
        if isinstance(answer, result.Success):
            break
        if attempt + 1 < tries:
            await runtime.sleep(runtime.spread(get_delay(attempt)))
    return answer


def refuse(error: base.StoreError) -> outcomes.Refusal:
    """Return the refusal of a request that failed at the store."""
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
    """Return the refusal of a request for which nothing was changed."""
    return outcomes.refuse(
        outcomes.Code.STORE_UNAVAILABLE,
        f"the key-value service did not answer: {error.message}",
        RETRY_AFTER_S,
    )
