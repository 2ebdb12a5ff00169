"""Limits on the size of responses that are read with `httpx`."""

from collections.abc import AsyncIterator
from typing import Final

import anyio.lowlevel
import httpx

# Bound on a response that is read as a whole, such as an error.
MAX_BODY_BYTES: Final = 1_048_576
# Bound on one line, or event, of a response that is read by these.
MAX_LINE_BYTES: Final = 1_048_576
LINE_ENDS: Final = (b"\n",)
# Blank lines.
EVENT_ENDS: Final = (b"\n\n", b"\n\r\n", b"\r\r")


class TooLargeError(httpx.RemoteProtocolError):
    """A response, or one line or event of it, exceeds its limit."""


class _PartLimit(httpx.AsyncByteStream):
    """A response body that fails if a line or an event is too long."""

    def __init__(
        self,
        stream: httpx.AsyncByteStream,
        ends: tuple[bytes, ...],
        max_bytes: int,
    ) -> None:
        self._stream = stream
        self._ends = ends
        self._max_bytes = max_bytes

    async def __aiter__(self) -> AsyncIterator[bytes]:
        overlap = max(map(len, self._ends)) - 1
        size = 0
        last = b""
        async for chunk in self._stream:
            last += chunk
            end = max(last.rfind(one) for one in self._ends)
            size = size + len(chunk) if end < 0 else len(last) - end
            if size > self._max_bytes:
                raise TooLargeError(
                    f"a line or event exceeds {self._max_bytes} bytes"
                )
            last = last[len(last) - overlap :] if overlap else b""
            yield chunk
            await anyio.lowlevel.checkpoint()

    async def aclose(self) -> None:
        await self._stream.aclose()


def limit_parts(
    response: httpx.Response,
    ends: tuple[bytes, ...] = LINE_ENDS,
    max_bytes: int = MAX_LINE_BYTES,
) -> None:
    """Make reading a response fail if one of its lines or events is too long.

    Reading then raises `TooLargeError`.

    Args:
        response: A streamed response whose body has not been read.
        ends: What ends a line or event.
        max_bytes: Limit of one, counted in whole chunks.
    """
    assert isinstance(response.stream, httpx.AsyncByteStream)
    response.stream = _PartLimit(response.stream, ends, max_bytes)


async def read_body(
    response: httpx.Response, max_bytes: int = MAX_BODY_BYTES
) -> bytes:
    """Return the whole body of a streamed response.

    Raises:
        TooLargeError: The body exceeds the limit.
        httpx.HTTPError: The connection failed.
    """
    parts: list[bytes] = []
    size = 0
    async for chunk in response.aiter_bytes():
        size += len(chunk)
        if size > max_bytes:
            raise TooLargeError(f"the body exceeds {max_bytes} bytes")
        parts.append(chunk)
        await anyio.lowlevel.checkpoint()
    return b"".join(parts)
