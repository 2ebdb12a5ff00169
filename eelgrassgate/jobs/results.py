"""Streams the result and error files of a job, one line per item."""

from collections.abc import AsyncIterator
from collections.abc import Callable
from collections.abc import Iterator
from typing import Any
from typing import Final

import msgspec
from returns import result

from eelgrassgate import outcomes
from eelgrassgate.jobs import chunk_stores
from eelgrassgate.jobs import files
from eelgrassgate.jobs import keys
from eelgrassgate.jobs import ledgers
from eelgrassgate.jobs import packing
from eelgrassgate.jobs import records
from eelgrassgate.jobs import runtimes
from eelgrassgate.jobs import store_calls
from eelgrassgate.store import base

CANCELLED_MESSAGE: Final = "the job was cancelled before this item was done"


async def stream_results(
    store: base.Store,
    job: records.Job,
    *,
    runtime: runtimes.Runtime = runtimes.SYSTEM,
) -> AsyncIterator[bytes]:
    """Yield the lines of successful items, one chunk at a time.

    While the job is running, it yields the lines committed so far.

    Raises:
        files.ReadError: The results could not be read.
    """
    async for block in _stream(
        store, job, runtime, lambda outcome: not outcome.is_failed()
    ):
        yield block


async def stream_errors(
    store: base.Store,
    job: records.Job,
    *,
    runtime: runtimes.Runtime = runtimes.SYSTEM,
) -> AsyncIterator[bytes]:
    """Yield the lines of items that ended in an error.

    For a cancelled job this includes the items that never ran.

    Raises:
        files.ReadError: The results could not be read.
    """
    async for block in _stream(store, job, runtime, records.Outcome.is_failed):
        yield block
    if job.state is records.State.CANCELLED:
        async for block in _stream_cancelled(store, job, runtime):
            yield block


async def _stream(
    store: base.Store,
    job: records.Job,
    runtime: runtimes.Runtime,
    is_wanted: Callable[[records.Outcome], bool],
) -> AsyncIterator[bytes]:
    chunk_store = chunk_stores.create_chunk_store(store)
    ledger = await _read_ledger(store, job, runtime)
    for chunk in range(ledger.chunks):
        key = keys.format_result(job.workspace, job.job, chunk)
        data = await files.read_chunk(chunk_store, runtime, key)
        found = packing.unpack_outcomes(data)
        block = b"".join(
            format_line(job.job, outcome)
            for outcome in found
            if is_wanted(outcome)
        )
        if block:
            yield block


async def _stream_cancelled(
    store: base.Store, job: records.Job, runtime: runtimes.Runtime
) -> AsyncIterator[bytes]:
    chunk_store = chunk_stores.create_chunk_store(store)
    found = await files.find_file(
        store, job.workspace, job.file, runtime=runtime
    )
    if not isinstance(found, result.Success):
        raise files.ReadError(job.file, None)
    file = found.unwrap()
    ledger = ledgers.create_ledger(
        job.items, await _read_ledger(store, job, runtime)
    )
    for chunk, start in enumerate(file.starts):
        items = await files.read_items(chunk_store, runtime, file, chunk)
        yield b"".join(_format_cancelled(job, start, items, ledger))


def _format_cancelled(
    job: records.Job,
    start: int,
    items: tuple[records.Item, ...],
    ledger: ledgers.Ledger,
) -> Iterator[bytes]:
    # For repeatable items the ledger does not record which have started.
    ran = (
        outcomes.RunStatus.UNKNOWN
        if job.is_repeatable
        else outcomes.RunStatus.NOT_RUN
    )
    for index, item in enumerate(items, start):
        if not ledger.is_done(index):
            yield format_line(
                job.job,
                records.Outcome(
                    index,
                    item.custom_id,
                    0,
                    b"",
                    outcomes.Code.CANCELLED.value,
                    CANCELLED_MESSAGE,
                    ran,
                ),
            )


async def _read_ledger(
    store: base.Store, job: records.Job, runtime: runtimes.Runtime
) -> records.LedgerRecord:
    key = keys.format_ledger(job.workspace, job.job)
    answer = await store_calls.read(store, runtime, key)
    if not isinstance(answer, result.Success):
        raise files.ReadError(key, answer.failure())
    found = answer.unwrap()
    if found is None:
        return records.LedgerRecord("", 0, 0, 0, b"")
    return records.decode(found.value, records.LedgerRecord)


def format_line(job: str, outcome: records.Outcome) -> bytes:
    """Return an outcome as a line of a result or error file."""
    response = None
    error = None
    if outcome.status:
        response = {
            "status_code": outcome.status,
            "request_id": f"{job}/{outcome.index}",
            "body": _embed(outcome.body),
        }
    if outcome.code:
        error = {
            "code": outcome.code,
            "message": outcome.message,
            "ran": outcome.ran.value,
        }
    line: bytes = msgspec.json.encode(
        {
            "id": f"{job}_{outcome.index}",
            "custom_id": outcome.custom_id,
            "response": response,
            "error": error,
        }
    )
    return line + b"\n"


def _embed(body: bytes) -> Any:
    """Return a JSON body without line breaks, any other body as text."""
    try:
        msgspec.json.decode(body)
    except (msgspec.DecodeError, UnicodeDecodeError):
        return body.decode("utf-8", "replace")
    return msgspec.Raw(body) if b"\n" not in body else msgspec.json.decode(body)
