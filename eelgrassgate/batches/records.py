"""Keys and values of batch jobs in the store.

Batch processes watch only the keys under `OPEN`. All other keys are read on
demand, so that the number of store calls does not grow with the number of
processes.
"""

from collections.abc import Iterable
import sys
from typing import Annotated
from typing import Final
import urllib.parse

import msgspec

from eelgrassgate import decoding

OPEN: Final = "eelgrassgate/open/"
OPEN_JOBS: Final = f"{OPEN}jobs/"
CANCELLATIONS: Final = f"{OPEN}ends/"
CLAIMS: Final = f"{OPEN}claims/"
JOBS: Final = "eelgrassgate/bulk/jobs/"
HEADS: Final = "eelgrassgate/bulk/heads/"
ITEMS: Final = "eelgrassgate/bulk/items/"
RESULTS: Final = "eelgrassgate/bulk/results/"

# Bound on a quoted job id. Keys are limited to 200 bytes, including the longest
# prefix and a part number.
MAX_QUOTED_ID_BYTES: Final = 160
# Bound on an item's id, which is stored with its result.
MAX_ITEM_ID_BYTES: Final = 8_000
# Values are limited to 1 MiB of base64 text.
MAX_PART_BYTES: Final = 700_000
# Bound on the output of one item as JSON, so that its result fits into a value
# and into a page.
MAX_TEXT_BYTES: Final = 650_000

# Bounds on numbers in stored values; sums of them fit into 64 bits, and times
# in seconds can be converted to milliseconds.
MAX_COUNT: Final = 2**53
MAX_WALL_TIME_S: Final = 1e12

COMPLETED: Final = "completed"
DEAD_LETTER: Final = "dead_letter"

_Count = Annotated[int, msgspec.Meta(ge=0, le=MAX_COUNT)]
_WallTime = Annotated[float, msgspec.Meta(ge=0, le=MAX_WALL_TIME_S)]


class Job(msgspec.Struct, frozen=True):
    """An accepted job; immutable.

    Attributes:
        id: The id that the caller chose.
        workspace: The workspace that owns the job.
        host: The host of the request that submitted it.
        path: The path of the request that submitted it; selects the route.
        total: Number of items.
        parts: Number of store values that hold the items.
        due: Wall-clock time in seconds by which the job should complete.
        kept_until: Wall-clock time in seconds after which items that have not
            ended become dead letters.
        config_version: Version of the configuration by which it was accepted.
        region: Region of the gateway that accepted it; empty if unknown.
    """

    id: str
    workspace: str
    host: str
    path: str
    total: _Count
    parts: _Count
    due: _WallTime
    kept_until: _WallTime
    config_version: _Count = 0
    region: str = ""


class Head(msgspec.Struct, frozen=True):
    """Index of a job's committed results.

    Attributes:
        ends: For each value of results, the position after its last result.
        commit: Id of the commit that wrote this record.
        is_closed: Whether the results of all items are committed.
    """

    ends: tuple[_Count, ...] = ()
    commit: str = ""
    is_closed: bool = False

    def count(self) -> int:
        """Return the number of committed results."""
        return self.ends[-1] if self.ends else 0


class Result(msgspec.Struct, frozen=True, array_like=True):
    """Final result of one item.

    Attributes:
        id: The item's id.
        state: `COMPLETED` or `DEAD_LETTER`.
        text: Data of all events in order, joined by line feeds; empty for a
            dead letter.
    """

    id: str
    state: str
    text: str = ""


_RESULTS_DECODER: Final = msgspec.msgpack.Decoder(list[Result])
_HEAD_DECODER: Final = msgspec.json.Decoder(Head)
_JOB_DECODER: Final = msgspec.json.Decoder(Job)


def measure_text(text: str) -> int:
    """Return the size of part of an output in bytes, as JSON."""
    return len(msgspec.json.encode(text))


def measure_result(one: Result) -> int:
    """Return the size of a result in bytes, as JSON.

    No encoding of it in a stored value or in a response is longer, but for a
    few bytes.
    """
    return len(msgspec.json.encode(one))


def count_memory(found: Iterable[Result]) -> int:
    """Return how many bytes of memory the texts of results take."""
    return sum(sys.getsizeof(one.text) for one in found)


def take_results(found: Iterable[Result], max_bytes: int) -> list[Result]:
    """Return the first results, up to a size; at least one if there is any."""
    taken: list[Result] = []
    size = 0
    for one in found:
        size += measure_result(one)
        if taken and size > max_bytes:
            break
        taken.append(one)
    return taken


def quote(job: str) -> str:
    """Return a job id percent-encoded as one segment of a key."""
    return urllib.parse.quote(job, safe="")


def is_storable_id(job: str) -> bool:
    """Return whether a job id fits into the keys of the job."""
    return 0 < len(quote(job)) <= MAX_QUOTED_ID_BYTES


def is_storable_item_id(item: str) -> bool:
    """Return whether an item id fits into a result, also of a dead letter."""
    return len(item.encode()) <= MAX_ITEM_ID_BYTES


def get_items_key(job: str, part: int) -> str:
    """Return the key of one part of a job's items."""
    return f"{ITEMS}{quote(job)}/{part}"


def get_results_key(job: str, part: int) -> str:
    """Return the key of one part of a job's results."""
    return f"{RESULTS}{quote(job)}/{part}"


def get_job(key: str) -> str:
    """Return the job id in the key of a part of its items or results."""
    quoted = key.removeprefix(ITEMS).removeprefix(RESULTS).rpartition("/")[0]
    return urllib.parse.unquote(quoted)


def decode_results(value: bytes) -> list[Result]:
    """Decode one part of a job's results.

    Raises:
        msgspec.MsgspecError: The value is malformed.
    """
    return decoding.decode(_RESULTS_DECODER, value)


def decode_head(value: bytes) -> Head:
    """Decode the index of a job's results.

    Raises:
        msgspec.MsgspecError: The value is malformed.
    """
    return decoding.decode(_HEAD_DECODER, value)


def decode_job(value: bytes) -> Job:
    """Decode a job record.

    Raises:
        msgspec.MsgspecError: The value is malformed.
    """
    return decoding.decode(_JOB_DECODER, value)
