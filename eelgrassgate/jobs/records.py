"""Records of files and jobs in the store."""

import enum
from typing import TypeVar

import msgspec

from eelgrassgate import decoding
from eelgrassgate import outcomes


class State(enum.Enum):
    """A job's state, as callers see it.

    `VALIDATING` and `FINALIZING` are never stored but derived on reads.
    `VALIDATING` means that no owner has committed yet, `FINALIZING` that all
    items are done and the job's record is not updated yet.
    """

    VALIDATING = "validating"
    IN_PROGRESS = "in_progress"
    FINALIZING = "finalizing"
    COMPLETED = "completed"
    CANCELLING = "cancelling"
    CANCELLED = "cancelled"
    FAILED = "failed"


ENDED = frozenset({State.COMPLETED, State.CANCELLED, State.FAILED})


class FileRecord(msgspec.Struct, frozen=True):
    """An uploaded file; written after all of its chunks.

    Attributes:
        file: The file's id.
        workspace: The workspace that owns the file.
        created: Wall-clock time of creation in seconds.
        kept_until: Wall-clock time in seconds after which it is deleted.
        bytes: Size in bytes as uploaded.
        items: Number of items.
        digest: Digest of the uploaded bytes.
        path: Longest common path of all items.
        starts: Index of the first item of each chunk.
        has_one_path: Whether the path of every item is exactly `path`.
    """

    file: str
    workspace: str
    created: float
    kept_until: float
    bytes: int
    items: int
    digest: str
    path: str
    starts: tuple[int, ...]
    has_one_path: bool = False


class Item(msgspec.Struct, frozen=True, array_like=True):
    """One item of a file; its index is its position in the file."""

    custom_id: str
    method: str
    url: str
    body: bytes


class Job(msgspec.Struct, frozen=True):
    """A batch job.

    Attributes:
        job: The job's id.
        workspace: The workspace that owns the job.
        file: The input file's id.
        endpoint: The path that its items call, or a prefix of it.
        items: Number of items.
        created: Wall-clock time of creation in seconds.
        due: Wall-clock time in seconds by which it should complete.
        kept_until: Wall-clock time in seconds until which its results stay
            readable; extended by the result retention when the job ends.
        is_repeatable: Whether its items may run more than once.
        same: Deduplication id by which a repeated request finds the job.
        content: Digest of the request's content.
        state: The stored state; never a derived one.
        ended: Wall-clock time of its end in seconds, 0 before that.
        metadata: Metadata set by the caller.
    """

    job: str
    workspace: str
    file: str
    endpoint: str
    items: int
    created: float
    due: float
    kept_until: float
    is_repeatable: bool
    same: str
    content: str
    state: State = State.IN_PROGRESS
    ended: float = 0.0
    metadata: dict[str, str] = {}


class OpenJob(msgspec.Struct, frozen=True):
    """The data of an open job that owners watch."""

    workspace: str
    job: str
    due: float
    is_cancelled: bool = False


class DeduplicationRecord(msgspec.Struct, frozen=True):
    """Maps a deduplication id to the job that was created for it."""

    job: str
    created: float
    content: str


class Member(msgspec.Struct, frozen=True):
    """An instance that can own slots; expires with its lease."""

    instance: str
    incarnation: str


class Owner(msgspec.Struct, frozen=True):
    """A slot's owner; expires with its lease, fenced by the key's revision."""

    instance: str
    incarnation: str
    claim: str


class LedgerRecord(msgspec.Struct, frozen=True):
    """Progress of a job by item.

    Attributes:
        commit: Id of the commit that wrote this record.
        chunks: Number of result chunks.
        done: Number of items that are done.
        failed: Number of done items that ended in an error.
        done_bits: Compressed bitmap of the items that are done.
        started_bits: For items that run at most once, compressed bitmap of
            those that may have started.
    """

    commit: str
    chunks: int
    done: int
    failed: int
    done_bits: bytes
    started_bits: bytes = b""


class Outcome(msgspec.Struct, frozen=True, array_like=True):
    """Final outcome of one item: a response or an error.

    Attributes:
        index: The item's index in the file.
        custom_id: The id that the caller gave the item.
        status: HTTP status of the response, 0 if there is none.
        body: Body of the response.
        code: Machine-readable code of the error, empty if there is none.
        message: Human-readable message of the error.
        ran: For an error, whether the item may have run.
        endpoint: The endpoint that responded.
    """

    index: int
    custom_id: str
    status: int
    body: bytes
    code: str = ""
    message: str = ""
    ran: outcomes.RunStatus = outcomes.RunStatus.NOT_RUN
    endpoint: str = ""

    def is_failed(self) -> bool:
        """Return whether the item is listed in the error file."""
        return bool(self.code) or self.status >= 400


class JobView(msgspec.Struct, frozen=True):
    """A job as shown to callers: its record, derived state and counts."""

    record: Job
    state: State
    done: int
    failed: int


_T = TypeVar("_T")


def encode(record: msgspec.Struct) -> bytes:
    """Encode a record for the store."""
    return msgspec.json.encode(record)


def decode(data: bytes, kind: type[_T]) -> _T:
    """Decode a record from the store.

    Raises:
        msgspec.MsgspecError: The record is malformed.
    """
    return decoding.decode(msgspec.json.Decoder(kind), data)
