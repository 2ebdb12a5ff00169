"""Items of a job as values of the store.

A value holds several items, or one item without its body, which then fills the
values after it.
"""

from collections.abc import Awaitable
from collections.abc import Callable
from typing import Final

import msgspec

from eelgrassgate import decoding
from eelgrassgate.batches import records
from eelgrassgate.gateway import calls


class LargeItem(msgspec.Struct, frozen=True):
    """An item without its body, and the number of values that hold that."""

    item: calls.BatchItem
    pieces: int


_DECODER: Final = msgspec.msgpack.Decoder(list[calls.BatchItem] | LargeItem)
_BODY_DECODER: Final = msgspec.msgpack.Decoder(bytes)


class Splitter:
    """Encodes items, in order, into values of `records.MAX_PART_BYTES`.

    Attributes:
        parts: The values, without the items added last; see `finish`.
        total: Number of items.
        size: Number of bytes of all items.
    """

    def __init__(self) -> None:
        """Create a splitter without items; see `create_splitter`."""
        self.parts: list[bytes] = []
        self.total = 0
        self.size = 0
        self._group: list[msgspec.Raw] = []
        self._group_bytes = 0

    def add(self, item: calls.BatchItem) -> None:
        """Add an item."""
        encoded = msgspec.msgpack.encode(item)
        item_bytes = len(encoded)
        self.total += 1
        self.size += item_bytes
        if self._group_bytes + item_bytes > records.MAX_PART_BYTES:
            self._end_group()
        if item_bytes > records.MAX_PART_BYTES:
            del encoded
            self.parts.extend(_split_large_item(item))
            return
        self._group.append(msgspec.Raw(encoded))
        self._group_bytes += item_bytes

    def finish(self) -> list[bytes]:
        """Return all values."""
        self._end_group()
        return self.parts

    def _end_group(self) -> None:
        if self._group:
            self.parts.append(msgspec.msgpack.encode(self._group))
        self._group, self._group_bytes = [], 0


def _split_large_item(item: calls.BatchItem) -> list[bytes]:
    pieces = [
        item.body[start : start + records.MAX_PART_BYTES]
        for start in range(0, len(item.body), records.MAX_PART_BYTES)
    ]
    head = LargeItem(msgspec.structs.replace(item, body=b""), len(pieces))
    return list(map(msgspec.msgpack.encode, (head, *pieces)))


def decode_part(value: bytes) -> list[calls.BatchItem] | LargeItem:
    """Decode a value that starts with an item.

    Raises:
        msgspec.MsgspecError: The value is malformed.
    """
    return decoding.decode(_DECODER, value)


async def read_group(
    job: records.Job, part: int, read: Callable[[str], Awaitable[bytes]]
) -> tuple[list[calls.BatchItem], int]:
    """Read the items that start in one value.

    Args:
        job: The job.
        part: Number of the value.
        read: Returns the value of a key.

    Returns:
        The items and the number of the value after the last that holds them.

    Raises:
        msgspec.MsgspecError: A value is malformed.
    """
    value = await read(records.get_items_key(job.id, part))
    found = decode_part(value)
    part += 1
    if isinstance(found, list):
        return found, part
    body = bytearray()
    for _ in range(found.pieces):
        value = await read(records.get_items_key(job.id, part))
        body += decoding.decode(_BODY_DECODER, value)
        part += 1
    return [msgspec.structs.replace(found.item, body=bytes(body))], part


def create_splitter() -> Splitter:
    """Create a splitter without items."""
    return Splitter()
