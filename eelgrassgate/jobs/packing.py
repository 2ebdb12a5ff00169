"""Encoding and compression of chunks of items and outcomes.

The bounds on raw bytes ensure that a chunk fits into one value of the store
even if it is incompressible.
"""

from collections.abc import Sequence
from typing import Final

import msgspec
import zstandard

from eelgrassgate.jobs import records

MAX_CHUNK_BYTES: Final = 880_000
MAX_INPUT_CHUNK_BYTES: Final = 300_000
MAX_LINE_BYTES: Final = 800_000
MAX_VALUE_BYTES: Final = 900_000
COMPRESSION_LEVEL: Final = 3
MAX_RAW_BYTES: Final = 64_000_000

_ITEMS: Final = msgspec.msgpack.Decoder(tuple[records.Item, ...])
_OUTCOMES: Final = msgspec.msgpack.Decoder(tuple[records.Outcome, ...])


def pack(parts: Sequence[records.Item] | Sequence[records.Outcome]) -> bytes:
    """Pack items or outcomes into the bytes of one chunk."""
    return compress(msgspec.msgpack.encode(parts))


def unpack_items(data: bytes) -> tuple[records.Item, ...]:
    """Unpack a chunk of items."""
    return _ITEMS.decode(decompress(data))


def unpack_outcomes(data: bytes) -> tuple[records.Outcome, ...]:
    """Unpack a chunk of outcomes."""
    return _OUTCOMES.decode(decompress(data))


def compress(data: bytes) -> bytes:
    """Compress bytes."""
    return zstandard.ZstdCompressor(level=COMPRESSION_LEVEL).compress(data)


def decompress(data: bytes) -> bytes:
    """Decompress bytes.

    Raises:
        zstandard.ZstdError: The data is malformed, or the result exceeds
            `MAX_RAW_BYTES`.
    """
    # The limit of the decompressor does not apply to a size in the header.
    size = zstandard.frame_content_size(data)
    if size > MAX_RAW_BYTES:
        raise zstandard.ZstdError(f"{size} bytes exceed {MAX_RAW_BYTES}")
    return zstandard.ZstdDecompressor().decompress(
        data, max_output_size=MAX_RAW_BYTES
    )
