"""What the store keeps of batch jobs.

Batch processes follow what is open, under `OPEN`; all else is read when it is
needed, so that the number of calls does not grow with that of processes.
"""

from typing import Final
import urllib.parse

import msgspec

from eelgrassgate.gateway import calls

OPEN: Final = "eelgrassgate/open/"
OPEN_JOBS: Final = f"{OPEN}jobs/"
ENDS: Final = f"{OPEN}ends/"
CLAIMS: Final = f"{OPEN}claims/"
JOBS: Final = "eelgrassgate/bulk/jobs/"
HEADS: Final = "eelgrassgate/bulk/heads/"
ITEMS: Final = "eelgrassgate/bulk/items/"
RESULTS: Final = "eelgrassgate/bulk/results/"

# Keys hold at most 200 bytes; the longest prefix and a part number fit.
MAX_ID_CHARS: Final = 120
# A value holds 1 MiB as base64 text.
PART_BYTES: Final = 700_000

COMPLETED: Final = "completed"
DEAD_LETTER: Final = "dead_letter"


class Job(msgspec.Struct, frozen=True):
    """An accepted job; never changed.

    Attributes:
        id: The caller's id of it.
        workspace: Whose it is.
        host: The host that it was sent to.
        path: The path that it was sent to; leads to its route.
        total: How many items it has.
        parts: How many values hold its items.
        due: Wall-clock instant in seconds until which it is wanted.
        kept_until: Wall-clock instant in seconds after which items may be
            given up.
    """

    id: str
    workspace: str
    host: str
    path: str
    total: int
    parts: int
    due: float
    kept_until: float


class Head(msgspec.Struct, frozen=True):
    """How far a job's results are listed.

    Attributes:
        ends: For each value of results, the position after its last one.
        commit: Id of the commit that wrote this record.
        is_closed: Whether every item is listed.
    """

    ends: tuple[int, ...] = ()
    commit: str = ""
    is_closed: bool = False

    def count(self) -> int:
        """Return how many results are listed."""
        return self.ends[-1] if self.ends else 0


class Result(msgspec.Struct, frozen=True, array_like=True):
    """How one item ended.

    Attributes:
        id: The item's id.
        state: `COMPLETED` or `DEAD_LETTER`.
        text: The data of all events in order, joined by line feeds.
    """

    id: str
    state: str
    text: str = ""


_ITEMS_DECODER: Final = msgspec.msgpack.Decoder(list[calls.BatchItem])
_RESULTS_DECODER: Final = msgspec.msgpack.Decoder(list[Result])


def quote(job: str) -> str:
    """Return a job's id as part of a key."""
    return urllib.parse.quote(job, safe="")


def get_items_key(job: str, part: int) -> str:
    """Return the key of one part of a job's items."""
    return f"{ITEMS}{quote(job)}/{part}"


def get_results_key(job: str, part: int) -> str:
    """Return the key of one part of a job's results."""
    return f"{RESULTS}{quote(job)}/{part}"


def split_items(items: tuple[calls.BatchItem, ...]) -> list[bytes]:
    """Encode items into values of at most `PART_BYTES`, in order."""
    parts: list[bytes] = []
    group: list[calls.BatchItem] = []
    size = 0
    for item in items:
        item_size = len(msgspec.msgpack.encode(item))
        if group and size + item_size > PART_BYTES:
            parts.append(msgspec.msgpack.encode(group))
            group, size = [], 0
        group.append(item)
        size += item_size
    parts.append(msgspec.msgpack.encode(group))
    return parts


def decode_items(value: bytes) -> list[calls.BatchItem]:
    """Decode one part of a job's items.

    Raises:
        msgspec.MsgspecError: The value was not written by this system.
    """
    return _ITEMS_DECODER.decode(value)


def decode_results(value: bytes) -> list[Result]:
    """Decode one part of a job's results.

    Raises:
        msgspec.MsgspecError: The value was not written by this system.
    """
    return _RESULTS_DECODER.decode(value)


def decode_head(value: bytes) -> Head:
    """Decode a head.

    Raises:
        msgspec.MsgspecError: The value was not written by this system.
    """
    return msgspec.json.decode(value, type=Head)


def decode_job(value: bytes) -> Job:
    """Decode a job.

    Raises:
        msgspec.MsgspecError: The value was not written by this system.
    """
    return msgspec.json.decode(value, type=Job)
