"""Decoding of bytes from other processes, which may hold anything."""

from typing import TypeVar

import msgspec

_T = TypeVar("_T")


def decode(
    decoder: msgspec.json.Decoder[_T] | msgspec.msgpack.Decoder[_T],
    data: bytes,
) -> _T:
    """Decode a value.

    Raises:
        msgspec.MsgspecError: The data is malformed, has another type or is
            nested too deeply.
    """
    try:
        return decoder.decode(data)
    except RecursionError as error:
        raise msgspec.DecodeError("nested too deeply") from error
