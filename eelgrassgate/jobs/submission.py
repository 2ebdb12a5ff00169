"""Creates, shows, lists and cancels jobs; needs no ownership of their slots."""

from collections.abc import AsyncIterator
from typing import Final

import msgspec
from returns import result
import xxhash

from eelgrassgate import outcomes
from eelgrassgate.config import fleet
from eelgrassgate.jobs import files
from eelgrassgate.jobs import keys
from eelgrassgate.jobs import records
from eelgrassgate.jobs import runtimes
from eelgrassgate.jobs import store_calls
from eelgrassgate.store import base

ID_PREFIX: Final = "batch_"
DEDUPLICATION_WINDOW_S: Final = 3600.0
EXPIRY_KIND: Final = "job"
DEFAULT_PAGE_JOBS: Final = 100
CANCEL_TIMEOUT_S: Final = 20.0
CANCEL_POLL_INTERVAL_S: Final = 0.25
MAX_CONFLICT_ATTEMPTS: Final = 8


class JobRequest(msgspec.Struct, frozen=True):
    """A request to create a job.

    Attributes:
        workspace: The workspace of the caller's key.
        file: The input file's id.
        endpoint: The path that all items call, or a prefix of it.
        window_s: Completion window in seconds.
        is_repeatable: Whether calls of `endpoint` may run more than once. It
            has effect only if all items call exactly `endpoint`, because a
            prefix may include calls that must not be repeated.
        idempotency_key: The caller's `Idempotency-Key`, empty for none.
        metadata: Metadata set by the caller.
    """

    workspace: str
    file: str
    endpoint: str
    window_s: float = 86_400.0
    is_repeatable: bool = True
    idempotency_key: str = ""
    metadata: dict[str, str] = {}


async def create_job(
    store: base.Store,
    request: JobRequest,
    limits: fleet.Limits,
    *,
    runtime: runtimes.Runtime = runtimes.SYSTEM,
) -> result.Result[records.Job, outcomes.Refusal]:
    """Create a job, or return the one that the same request created before.

    Requests are the same if they have the same `Idempotency-Key` in a
    workspace, for as long as the job is kept. Without a key they are the same
    if workspace, content, endpoint, metadata and window are equal, within
    `DEDUPLICATION_WINDOW_S` and regardless of the input file's id. Once this
    returns a job, the job is accepted.

    Returns:
        The job, or a refusal: `NOT_FOUND` if there is no such file,
        `BAD_REQUEST` if items of the file do not call the endpoint,
        `CONFLICT` if the key was used for another request, or
        `STORE_UNAVAILABLE`, whose `ran` tells whether the job may have been
        accepted.
    """
    found = await files.find_file(
        store, request.workspace, request.file, runtime=runtime
    )
    if not isinstance(found, result.Success):
        return result.Failure(found.failure())
    file = found.unwrap()
    if not f"{file.path}/".startswith(request.endpoint.rstrip("/") + "/"):
        message = f"not all lines of the file call {request.endpoint}"
        return result.Failure(
            outcomes.refuse(outcomes.Code.BAD_REQUEST, message)
        )
    for _ in range(MAX_CONFLICT_ATTEMPTS):
        answer = await _try_create(store, request, file, limits, runtime)
        if answer is not None:
            return answer
    return result.Failure(
        outcomes.refuse(
            outcomes.Code.CONFLICT, "too many concurrent requests", 1.0
        )
    )


def _compute_content_digest(
    request: JobRequest, file: records.FileRecord
) -> str:
    parts = (
        request.workspace,
        request.endpoint,
        file.digest,
        sorted(request.metadata.items()),
        request.window_s,
    )
    return xxhash.xxh3_128_hexdigest(msgspec.msgpack.encode(parts))


def _compute_deduplication_id(request: JobRequest, content: str) -> str:
    if not request.idempotency_key:
        return "content-" + content
    return "key-" + xxhash.xxh3_128_hexdigest(request.idempotency_key.encode())


async def _try_create(
    store: base.Store,
    request: JobRequest,
    file: records.FileRecord,
    limits: fleet.Limits,
    runtime: runtimes.Runtime,
) -> result.Result[records.Job, outcomes.Refusal] | None:
    """Create a job; None if a concurrent change made the commit fail."""
    content = _compute_content_digest(request, file)
    deduplication_id = _compute_deduplication_id(request, content)
    deduplication_key = keys.format_deduplication(
        request.workspace, deduplication_id
    )
    file_key = keys.format_file(file.workspace, file.file)
    known = await store_calls.read(store, runtime, deduplication_key)
    if not isinstance(known, result.Success):
        return result.Failure(store_calls.refuse_read(known.failure()))
    before = known.unwrap()
    if before is not None:
        earlier = records.decode(before.value, records.DeduplicationRecord)
        if _is_duplicate(request, earlier, runtime):
            return await _return_existing(
                store, request, earlier, content, runtime
            )
    stored = await store_calls.read(store, runtime, file_key)
    if not isinstance(stored, result.Success):
        return result.Failure(store_calls.refuse_read(stored.failure()))
    current = stored.unwrap()
    if current is None:
        return result.Failure(
            outcomes.refuse(outcomes.Code.NOT_FOUND, f"no file {file.file}")
        )
    job = _make_job(request, file, deduplication_id, content, limits, runtime)
    extended = msgspec.structs.replace(
        records.decode(current.value, records.FileRecord),
        kept_until=max(file.kept_until, job.kept_until),
    )
    deduplication = records.DeduplicationRecord(job.job, job.created, content)
    opened = records.OpenJob(job.workspace, job.job, job.due)
    transaction = base.Transaction(
        (
            base.Precondition(
                deduplication_key, before.revision if before else 0
            ),
            base.Precondition(file_key, current.revision),
        ),
        (
            base.Write(deduplication_key, records.encode(deduplication)),
            base.Write(file_key, records.encode(extended)),
            base.Write(
                keys.format_record(job.workspace, job.job),
                records.encode(job),
            ),
            base.Write(keys.format_open(job.job), records.encode(opened)),
            base.Write(
                keys.format_expiry(
                    job.kept_until, EXPIRY_KIND, job.workspace, job.job
                ),
                b"",
            ),
        ),
    )
    answer = await store_calls.commit(
        store,
        runtime,
        transaction,
        deduplication_key,
        lambda record: (
            records.decode(record.value, records.DeduplicationRecord).job
            == job.job
        ),
    )
    if not isinstance(answer, result.Success):
        return result.Failure(store_calls.refuse(answer.failure()))
    return result.Success(job) if answer.unwrap().is_done else None


def _make_job(
    request: JobRequest,
    file: records.FileRecord,
    deduplication_id: str,
    content: str,
    limits: fleet.Limits,
    runtime: runtimes.Runtime,
) -> records.Job:
    created = runtime.wall()
    due = created + request.window_s
    return records.Job(
        ID_PREFIX + runtime.make_id(),
        request.workspace,
        file.file,
        request.endpoint,
        file.items,
        created,
        due,
        due + limits.result_retention_s,
        request.is_repeatable and _is_exact_endpoint(request, file),
        deduplication_id,
        content,
        metadata=request.metadata,
    )


def _is_exact_endpoint(request: JobRequest, file: records.FileRecord) -> bool:
    """Return whether all items call exactly the endpoint."""
    return file.has_one_path and file.path == request.endpoint.rstrip("/")


def _is_duplicate(
    request: JobRequest,
    earlier: records.DeduplicationRecord,
    runtime: runtimes.Runtime,
) -> bool:
    if request.idempotency_key:
        return True
    return runtime.wall() - earlier.created < DEDUPLICATION_WINDOW_S


async def _return_existing(
    store: base.Store,
    request: JobRequest,
    earlier: records.DeduplicationRecord,
    content: str,
    runtime: runtimes.Runtime,
) -> result.Result[records.Job, outcomes.Refusal]:
    if earlier.content != content:
        return result.Failure(
            outcomes.refuse(
                outcomes.Code.CONFLICT,
                "the Idempotency-Key was used for another job",
            )
        )
    view = await show_job(
        store, request.workspace, earlier.job, runtime=runtime
    )
    return view.map(lambda found: found.record)


async def show_job(
    store: base.Store,
    workspace: str,
    job: str,
    *,
    runtime: runtimes.Runtime = runtimes.SYSTEM,
) -> result.Result[records.JobView, outcomes.Refusal]:
    """Return a job with its state and counts; costs two reads."""
    answer = await store_calls.read(
        store, runtime, keys.format_record(workspace, job)
    )
    if not isinstance(answer, result.Success):
        return result.Failure(store_calls.refuse_read(answer.failure()))
    found = answer.unwrap()
    if found is None:
        return result.Failure(
            outcomes.refuse(outcomes.Code.NOT_FOUND, f"no batch {job}")
        )
    return await _make_view(store, found, runtime)


async def _make_view(
    store: base.Store, found: base.Record, runtime: runtimes.Runtime
) -> result.Result[records.JobView, outcomes.Refusal]:
    record = records.decode(found.value, records.Job)
    answer = await store_calls.read(
        store, runtime, keys.format_ledger(record.workspace, record.job)
    )
    if not isinstance(answer, result.Success):
        return result.Failure(store_calls.refuse_read(answer.failure()))
    stored = answer.unwrap()
    if stored is None:
        return result.Success(
            records.JobView(record, _derive_state(record, None), 0, 0)
        )
    ledger = records.decode(stored.value, records.LedgerRecord)
    return result.Success(
        records.JobView(
            record, _derive_state(record, ledger), ledger.done, ledger.failed
        )
    )


def _derive_state(
    record: records.Job, ledger: records.LedgerRecord | None
) -> records.State:
    if record.state is not records.State.IN_PROGRESS:
        return record.state
    if ledger is None:
        return records.State.VALIDATING
    if ledger.done >= record.items:
        return records.State.FINALIZING
    return records.State.IN_PROGRESS


async def list_jobs(
    store: base.Store,
    workspace: str,
    *,
    after: str = "",
    limit: int = DEFAULT_PAGE_JOBS,
    runtime: runtimes.Runtime = runtimes.SYSTEM,
) -> AsyncIterator[result.Result[records.JobView, outcomes.Refusal]]:
    """Yield a workspace's jobs in order of their ids, at most `limit`.

    Stops after yielding a failure.

    Args:
        store: The store.
        workspace: The workspace that owns the jobs.
        after: The id after which to start; empty to start with the first.
        limit: Maximum number of jobs to yield.
        runtime: Clock, sleep and randomness.
    """
    answer = await store.read_range(
        keys.format_records(workspace),
        after=keys.format_record(workspace, after) if after else "",
        limit=limit,
    )
    if not isinstance(answer, result.Success):
        yield result.Failure(store_calls.refuse_read(answer.failure()))
        return
    for found in answer.unwrap().records:
        view = await _make_view(store, found, runtime)
        yield view
        if not isinstance(view, result.Success):
            return


async def cancel_job(
    store: base.Store,
    workspace: str,
    job: str,
    *,
    wait_s: float = CANCEL_TIMEOUT_S,
    runtime: runtimes.Runtime = runtimes.SYSTEM,
) -> result.Result[records.JobView, outcomes.Refusal]:
    """Cancel a job and wait until none of its items can start any more.

    Only the job's owner, under its fence, or a successor that has fenced the
    former owner at the agents, ends the job. So after a success no item
    starts. A job that had already ended is returned unchanged.

    Returns:
        The job in an ended state, or a refusal: `NOT_FOUND`,
        `STORE_UNAVAILABLE`, or `CONFLICT` with `UNKNOWN` if the cancellation
        is recorded but was not confirmed within `wait_s` seconds.
    """
    deadline = runtime.now() + wait_s
    marked = await _mark_cancelled(store, workspace, job, runtime)
    if not isinstance(marked, result.Success):
        return result.Failure(marked.failure())
    while True:
        view = await show_job(store, workspace, job, runtime=runtime)
        shown = view.value_or(None)
        if shown and shown.record.state in records.ENDED:
            return view
        if runtime.now() >= deadline:
            break
        await runtime.sleep(CANCEL_POLL_INTERVAL_S)
    return result.Failure(
        outcomes.Refusal(
            outcomes.Code.CONFLICT,
            "the cancellation is recorded but not yet confirmed; try again",
            outcomes.RunStatus.UNKNOWN,
            store_calls.RETRY_AFTER_S,
        )
    )


async def _mark_cancelled(
    store: base.Store, workspace: str, job: str, runtime: runtimes.Runtime
) -> result.Result[None, outcomes.Refusal]:
    key = keys.format_record(workspace, job)
    for _ in range(MAX_CONFLICT_ATTEMPTS):
        answer = await store_calls.read(store, runtime, key)
        if not isinstance(answer, result.Success):
            return result.Failure(store_calls.refuse_read(answer.failure()))
        found = answer.unwrap()
        if found is None:
            return result.Failure(
                outcomes.refuse(outcomes.Code.NOT_FOUND, f"no batch {job}")
            )
        record = records.decode(found.value, records.Job)
        if record.state is not records.State.IN_PROGRESS:
            return result.Success(None)
        done = await store_calls.commit(
            store, runtime, _make_cancel(found, record), key, _is_cancelled
        )
        if not isinstance(done, result.Success):
            return result.Failure(store_calls.refuse(done.failure()))
        if done.unwrap().is_done:
            return result.Success(None)
    return result.Failure(
        outcomes.refuse(
            outcomes.Code.CONFLICT, "the job was changed concurrently", 1.0
        )
    )


def _make_cancel(found: base.Record, record: records.Job) -> base.Transaction:
    cancelling = msgspec.structs.replace(record, state=records.State.CANCELLING)
    opened = records.OpenJob(record.workspace, record.job, record.due, True)
    return base.Transaction(
        (base.Precondition(found.key, found.revision),),
        (
            base.Write(found.key, records.encode(cancelling)),
            base.Write(keys.format_open(record.job), records.encode(opened)),
        ),
    )


def _is_cancelled(found: base.Record) -> bool:
    state = records.decode(found.value, records.Job).state
    return state in {records.State.CANCELLING, records.State.CANCELLED}
