"""Decoding of bytes from other processes, which may hold anything."""

from typing import Annotated
from typing import Final
from typing import TypeVar

import msgspec

MAX_COUNT: Final = 2**63 - 1
MAX_AMOUNT: Final = 1e12

# Non-negative numbers that can be added, converted and encoded again. The
# bounds also exclude infinity and NaN.
Count = Annotated[int, msgspec.Meta(ge=0, le=MAX_COUNT)]
Amount = Annotated[float, msgspec.Meta(ge=0.0, le=MAX_AMOUNT)]

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
