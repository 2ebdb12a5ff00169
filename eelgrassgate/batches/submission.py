"""Accepts and cancels jobs, each in one transaction of the store."""

import enum
import time
from typing import Final

import anyio
import msgspec
from returns import result

from eelgrassgate import deadlines
from eelgrassgate import logs
from eelgrassgate.batches import records
from eelgrassgate.batches import stored_items
from eelgrassgate.gateway import calls
from eelgrassgate.gateway import catalog
from eelgrassgate.store import base

RETRY_DELAY_S: Final = 0.15
# Writes known to have failed after which the request fails, so that the caller
# retries at another instance: the store may reject only this one.
MAX_REJECTED_WRITES: Final = 2
# Time reserved for the response after the last attempt.
RESPONSE_MARGIN_S: Final = 0.1


class SubmitResult(msgspec.Struct, frozen=True):
    """Result of submitting a job.

    Attributes:
        job: The job as it is stored.
        outcome: `CONFLICT` if another workspace has a job with that id.
        open_revision: Revision at which this call opened the job; 0 if the
            job already existed, and may have been cancelled since.
    """

    job: records.Job
    outcome: "Outcome"
    open_revision: int = 0


class Outcome(enum.Enum):
    """Outcome of a write to the store.

    Attributes:
        REJECTED: The store found the write invalid, for example too large, and
            will do so whenever it is repeated.
    """

    DONE = "done"
    REJECTED = "rejected"
    NOT_DONE = "not_done"
    UNKNOWN = "unknown"
    CONFLICT = "conflict"


async def submit(
    store: base.Store,
    call: calls.Call,
    route: catalog.Route,
    workspace: str,
    items: stored_items.Splitter,
    config_version: int,
    region: str = "",
) -> SubmitResult:
    """Store a job and open it; repeating a submission is also `DONE`.

    Args:
        store: The store.
        call: The request that submits the job.
        route: The route of the request.
        workspace: The workspace that owns the job.
        items: The job's items.
        config_version: Version of the configuration that has the route.
        region: Region of this gateway.
    """
    now = time.time()
    parts = items.finish()
    job = records.Job(
        call.id,
        workspace,
        call.host,
        call.path,
        items.total,
        len(parts),
        now + route.completion_s,
        now + route.retention_s,
        config_version,
        region,
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
    transaction = base.Transaction((base.Precondition(key, 0),), tuple(changes))
    outcome, commit = await _commit(store, transaction, call)
    if commit is None:
        return SubmitResult(job, outcome)
    if commit.is_done:
        return SubmitResult(job, outcome, commit.revision)
    for record in commit.found:
        if record.key == key:
            try:
                known = records.decode_job(record.value)
            except msgspec.MsgspecError as error:
                logs.log_message("job:invalid", job=call.id, reason=str(error))
                return SubmitResult(job, Outcome.UNKNOWN)
            is_same = known.workspace == workspace
            outcome = Outcome.DONE if is_same else Outcome.CONFLICT
            return SubmitResult(known, outcome)
    return SubmitResult(job, Outcome.UNKNOWN)


async def cancel(store: base.Store, call: calls.Call, job: str) -> Outcome:
    """Record the cancellation of a job; repeating it is also `DONE`."""
    key = f"{records.CANCELLATIONS}{records.quote(job)}"
    transaction = base.Transaction((), (base.Write(key, b"{}"),))
    outcome, _ = await _commit(store, transaction, call)
    return outcome


async def _commit(
    store: base.Store, transaction: base.Transaction, call: calls.Call
) -> tuple[Outcome, base.Commit | None]:
    """Commit, retrying until the outcome is known or the deadline passes."""
    outcome = Outcome.NOT_DONE
    rejections = 0
    with anyio.move_on_after(
        deadlines.compute_remaining(call.deadline) - RESPONSE_MARGIN_S
    ):
        while True:
            # If the deadline cancels this call, it may still be applied.
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
            if failure.is_rejected:
                return Outcome.REJECTED, None
            if failure.fault is base.Fault.NOT_DONE:
                outcome = before
                rejections += 1
                if rejections >= MAX_REJECTED_WRITES and (
                    outcome is Outcome.NOT_DONE
                ):
                    break
            await anyio.sleep(RETRY_DELAY_S)
    return outcome, None
