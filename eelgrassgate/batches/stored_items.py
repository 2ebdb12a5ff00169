"""Items of a job as values of the store.

A value holds several items, or one item without its body, which then fills the
values after it.
"""

from collections.abc import AsyncIterator
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


def split_items(items: tuple[calls.BatchItem, ...]) -> list[bytes]:
    """Encode items, in order, into values of `records.MAX_PART_BYTES`."""
    parts: list[bytes] = []
    group: list[calls.BatchItem] = []
    size = 0
    for item in items:
        item_size = len(msgspec.msgpack.encode(item))
        if group and size + item_size > records.MAX_PART_BYTES:
            parts.append(msgspec.msgpack.encode(group))
            group, size = [], 0
        if item_size > records.MAX_PART_BYTES:
            parts.extend(_split_large_item(item))
            continue
        group.append(item)
        size += item_size
    if group:
        parts.append(msgspec.msgpack.encode(group))
    return parts


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


async def iterate_items(
    job: records.Job, read: Callable[[str], Awaitable[bytes]]
) -> AsyncIterator[calls.BatchItem]:
    """Yield a job's items in order.

    Args:
        job: The job.
        read: Returns the value of a key.

    Raises:
        msgspec.MsgspecError: A value is malformed.
    """
    part = 0
    while part < job.parts:
        value = await read(records.get_items_key(job.id, part))
        found = decode_part(value)
        part += 1
        if isinstance(found, list):
            for item in found:
                yield item
            continue
        body = b""
        for _ in range(found.pieces):
            value = await read(records.get_items_key(job.id, part))
            body += decoding.decode(_BODY_DECODER, value)
            part += 1
        yield msgspec.structs.replace(found.item, body=body)
