"""Streams a job's results and errors, one line for each item."""

from collections.abc import AsyncIterator
from collections.abc import Callable
from collections.abc import Iterator
from typing import Any
from typing import Final

import msgspec
from returns import result

from eelgrassgate import outcomes
from eelgrassgate.jobs import bulk
from eelgrassgate.jobs import calls
from eelgrassgate.jobs import files
from eelgrassgate.jobs import keys
from eelgrassgate.jobs import ledgers
from eelgrassgate.jobs import packing
from eelgrassgate.jobs import records
from eelgrassgate.jobs import runtimes
from eelgrassgate.store import base

CANCELLED_MESSAGE: Final = "the job was cancelled before this item was done"


async def stream_results(
    store: base.Store,
    job: records.Job,
    *,
    runtime: runtimes.Runtime = runtimes.SYSTEM,
) -> AsyncIterator[bytes]:
    """Yield the lines of items that were answered, a chunk at a time.

    May be called while the job runs; then it yields what is committed.

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

    For a cancelled job this includes those that never ran.

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
    source = bulk.create_store_bulk(store)
    ledger = await _read_ledger(store, job, runtime)
    for chunk in range(ledger.chunks):
        key = keys.format_result(job.workspace, job.job, chunk)
        data = await files.read_chunk(source, runtime, key)
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
    source = bulk.create_store_bulk(store)
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
        items = await files.read_items(source, runtime, file, chunk)
        yield b"".join(_format_cancelled(job, start, items, ledger))


def _format_cancelled(
    job: records.Job,
    start: int,
    items: tuple[records.Item, ...],
    ledger: ledgers.Ledger,
) -> Iterator[bytes]:
    # Where items may be repeated it is not kept which of them have started.
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
    answer = await calls.read(store, runtime, key)
    if not isinstance(answer, result.Success):
        raise files.ReadError(key, answer.failure())
    found = answer.unwrap()
    if found is None:
        return records.LedgerRecord("", 0, 0, 0, b"")
    return records.decode(found.value, records.LedgerRecord)


def format_line(job: str, outcome: records.Outcome) -> bytes:
    """Return an item's end as a line of a result or error file."""
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
    """Return JSON as it is and everything else as text."""
    try:
        msgspec.json.decode(body)
    except (msgspec.DecodeError, UnicodeDecodeError):
        return body.decode("utf-8", "replace")
    return msgspec.Raw(body) if b"\n" not in body else msgspec.json.decode(body)
