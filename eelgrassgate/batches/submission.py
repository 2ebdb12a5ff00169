"""Accepts jobs and ends them, each by one transaction of the store."""

import enum
import time
from typing import Final

import anyio
import msgspec
from returns import result

from eelgrassgate import deadlines
from eelgrassgate import logs
from eelgrassgate.batches import records
from eelgrassgate.gateway import calls
from eelgrassgate.gateway import catalog
from eelgrassgate.store import base

# Pause before a write is tried again.
RETRY_S: Final = 0.15
# Writes that certainly did nothing before the caller is sent elsewhere; the
# store may refuse this instance and serve the others.
MOST_REFUSALS: Final = 2
# Time left to answer after the last try.
ANSWER_S: Final = 0.1


class Accepted(msgspec.Struct, frozen=True):
    """What became of a job that was handed in.

    Attributes:
        job: The job as it is kept.
        outcome: `CONFLICT` if another workspace has a job of that id.
        opened_at: The revision at which this call opened it; 0 if it was
            there already, and may have been ended since.
    """

    job: records.Job
    outcome: "Outcome"
    opened_at: int = 0


class Outcome(enum.Enum):
    """How a write for a caller ended."""

    DONE = "done"
    NOT_DONE = "not_done"
    UNKNOWN = "unknown"
    CONFLICT = "conflict"


async def submit(
    store: base.Store,
    call: calls.Call,
    route: catalog.Route,
    workspace: str,
    items: tuple[calls.BatchItem, ...],
) -> Accepted:
    """Keep a job whole, once; a repeat of it is `DONE` again."""
    now = time.time()
    parts = records.split_items(items)
    job = records.Job(
        call.id,
        workspace,
        call.host,
        call.path,
        len(items),
        len(parts),
        now + route.completion_s,
        now + route.retention_s,
    )
    key = f"{records.JOBS}{records.quote(call.id)}"
    changes = [
        base.Write(records.get_items_key(call.id, number), part)
        for number, part in enumerate(parts)
    ]
    value = msgspec.json.encode(job)
    changes.append(base.Write(key, value))
    open_key = f"{records.OPEN_JOBS}{records.quote(call.id)}"
    changes.append(base.Write(open_key, value))
    transaction = base.Transaction((base.Expect(key, 0),), tuple(changes))
    outcome, commit = await _commit(store, transaction, call)
    if commit is None:
        return Accepted(job, outcome)
    if commit.is_done:
        return Accepted(job, outcome, commit.revision)
    for record in commit.found:
        if record.key == key:
            known = records.decode_job(record.value)
            is_same = known.workspace == workspace
            outcome = Outcome.DONE if is_same else Outcome.CONFLICT
            return Accepted(known, outcome)
    return Accepted(job, Outcome.UNKNOWN)


async def end(store: base.Store, call: calls.Call, job: str) -> Outcome:
    """Note that a job is ended; again is `DONE` as well."""
    key = f"{records.ENDS}{records.quote(job)}"
    transaction = base.Transaction((), (base.Write(key, b"{}"),))
    outcome, _ = await _commit(store, transaction, call)
    return outcome


async def _commit(
    store: base.Store, transaction: base.Transaction, call: calls.Call
) -> tuple[Outcome, base.Commit | None]:
    """Commit until it is known to be done or not, or the caller's time ends."""
    outcome = Outcome.NOT_DONE
    refusals = 0
    with anyio.move_on_after(
        deadlines.compute_remaining(call.deadline) - ANSWER_S
    ):
        while True:
            # A cancelled call may still take effect.
            before, outcome = outcome, Outcome.UNKNOWN
            answer = await store.commit(transaction)
            if isinstance(answer, result.Success):
                return Outcome.DONE, answer.unwrap()
            failure = answer.failure()
            logs.log_message(
                "job write failed",
                id=call.id,
                fault=failure.fault.value,
                reason=failure.message,
            )
            if failure.fault is base.Fault.NOT_DONE:
                outcome = before
                refusals += 1
                if refusals >= MOST_REFUSALS and (outcome is Outcome.NOT_DONE):
                    break
            await anyio.sleep(RETRY_S)
    return outcome, None
