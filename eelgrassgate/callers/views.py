"""Files and batches as the objects that client libraries expect."""

from typing import Final

import msgspec

from eelgrassgate.jobs import records

OUTPUT_PREFIX: Final = "file-output-"
ERROR_PREFIX: Final = "file-error-"


class File(msgspec.Struct, frozen=True):
    """The `file` object."""

    id: str
    bytes: int
    created_at: int
    filename: str
    object: str = "file"
    purpose: str = "batch"
    status: str = "processed"
    expires_at: int | None = None


class RequestCounts(msgspec.Struct, frozen=True):
    """Number of items of a batch by outcome."""

    total: int
    completed: int
    failed: int


class Batch(msgspec.Struct, frozen=True):
    """The `batch` object."""

    id: str
    endpoint: str
    input_file_id: str
    status: str
    created_at: int
    expires_at: int
    completion_window: str
    request_counts: RequestCounts
    output_file_id: str | None
    error_file_id: str | None
    completed_at: int | None
    cancelled_at: int | None
    metadata: dict[str, str]
    object: str = "batch"


class BatchList(msgspec.Struct, frozen=True):
    """A page of batches."""

    data: tuple[Batch, ...]
    has_more: bool
    first_id: str | None
    last_id: str | None
    object: str = "list"


def parse_job_id(file: str) -> str:
    """Return the job id in an output or error file id, or an empty string."""
    for prefix in (OUTPUT_PREFIX, ERROR_PREFIX):
        if file.startswith(prefix):
            return file.removeprefix(prefix)
    return ""


def is_error_file(file: str) -> bool:
    """Return whether a file id is that of an error file."""
    return file.startswith(ERROR_PREFIX)


def build_file(record: records.FileRecord) -> File:
    """Return the object of an uploaded file."""
    return File(
        id=record.file,
        bytes=record.bytes,
        created_at=int(record.created),
        filename=f"{record.file}.jsonl",
        expires_at=int(record.kept_until),
    )


def build_result_file(file: str, view: records.JobView) -> File:
    """Return the object of an output or error file, with 0 for its size."""
    return File(
        id=file,
        bytes=0,
        created_at=int(view.record.created),
        filename=f"{file}.jsonl",
        purpose="batch_output",
        expires_at=int(view.record.kept_until),
    )


def build_batch(view: records.JobView) -> Batch:
    """Return the object of a batch."""
    record = view.record
    ended = int(record.ended) or None
    is_cancelled = view.state is records.State.CANCELLED
    completed = view.done - view.failed
    has_errors = bool(view.failed) or is_cancelled
    return Batch(
        id=record.job,
        endpoint=record.endpoint,
        input_file_id=record.file,
        status=view.state.value,
        created_at=int(record.created),
        expires_at=int(record.due),
        completion_window=f"{int(record.due - record.created)}s",
        request_counts=RequestCounts(record.items, completed, view.failed),
        output_file_id=OUTPUT_PREFIX + record.job if completed else None,
        error_file_id=ERROR_PREFIX + record.job if has_errors else None,
        completed_at=None if is_cancelled else ended,
        cancelled_at=ended if is_cancelled else None,
        metadata=record.metadata,
    )


def build_batch_list(batches: list[Batch], limit: int) -> BatchList:
    """Return the first `limit` batches; `has_more` if there are others."""
    page = tuple(batches[:limit])
    return BatchList(
        data=page,
        has_more=len(batches) > limit,
        first_id=page[0].id if page else None,
        last_id=page[-1].id if page else None,
    )
