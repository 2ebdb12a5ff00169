"""What the store keeps of files and jobs."""

import enum
from typing import TypeVar

import msgspec

from eelgrassgate import outcomes


class State(enum.Enum):
    """A job's state, as callers see it.

    `VALIDATING` and `FINALIZING` are derived on reading: no owner has
    committed yet, or all items are done and the record is about to be closed.
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
        workspace: Whose it is.
        created: Wall-clock instant in seconds.
        kept_until: Wall-clock instant in seconds until which it stays.
        bytes: Its size as it was sent.
        items: How many items it holds.
        digest: Digest of its content.
        path: The longest path that all items' paths lie under.
        starts: The index of each chunk's first item.
        has_one_path: Whether all items call just `path`.
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
    """One item of a file; its index follows from its place."""

    custom_id: str
    method: str
    url: str
    body: bytes


class Job(msgspec.Struct, frozen=True):
    """A batch job.

    Attributes:
        job: The job's id.
        workspace: Whose it is.
        file: The input file's id.
        endpoint: The path that its items call, or a prefix of it.
        items: How many items it has.
        created: Wall-clock instant in seconds.
        due: Wall-clock instant in seconds until which it is wanted.
        kept_until: Wall-clock instant in seconds until which its results
            stay readable; counted from its end once it has ended.
        is_repeatable: Whether its items may run more than once.
        same: The digest by which it is recognised when sent again.
        content: Digest of what was asked for.
        state: The state; never a derived one in the store.
        ended: Wall-clock instant in seconds, 0 before.
        metadata: What the caller attached.
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
    """What owners need to see of an open job."""

    workspace: str
    job: str
    due: float
    is_cancelled: bool = False


class Same(msgspec.Struct, frozen=True):
    """Leads from a digest to the job that it made."""

    job: str
    created: float
    content: str


class Member(msgspec.Struct, frozen=True):
    """An instance that can own slots; bound to its lease."""

    instance: str
    incarnation: str


class Owner(msgspec.Struct, frozen=True):
    """A slot's owner; bound to its lease, fenced by the key's revision."""

    instance: str
    incarnation: str
    claim: str


class LedgerRecord(msgspec.Struct, frozen=True):
    """Which items of a job are done.

    Attributes:
        commit: Id of the commit that wrote this record.
        chunks: How many result chunks there are.
        done: How many items are done.
        failed: How many of these ended in an error.
        done_bits: One bit for each item that is done, compressed.
        started_bits: For items that run at most once, one bit for each that
            may have started, compressed.
    """

    commit: str
    chunks: int
    done: int
    failed: int
    done_bits: bytes
    started_bits: bytes = b""


class Outcome(msgspec.Struct, frozen=True, array_like=True):
    """How one item ended: an answer, or an error of its own.

    Attributes:
        index: The item's index in the file.
        custom_id: The caller's name for it.
        status: The answer's HTTP status, 0 without an answer.
        body: The answer's body.
        code: For an error, the machine-readable code.
        message: For an error, one sentence.
        ran: For an error, whether the item may have run.
        endpoint: Which endpoint answered.
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
        """Tell whether it belongs among the errors."""
        return bool(self.code) or self.status >= 400


class JobView(msgspec.Struct, frozen=True):
    """A job as it is shown to callers: record, state and counts."""

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
        msgspec.MsgspecError: The record was not written by this system.
    """
    return msgspec.json.decode(data, type=kind)
