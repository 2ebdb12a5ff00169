"""Limits on the size of responses that are read with `httpx`."""

from collections.abc import AsyncIterator
from typing import Final

import anyio.lowlevel
import httpx

# Bound on a response that is read as a whole, such as an error.
MAX_BODY_BYTES: Final = 1_048_576
# Bound on one line of a response that is read line by line.
MAX_LINE_BYTES: Final = 1_048_576


class TooLargeError(httpx.RemoteProtocolError):
    """A response, or one line of it, exceeds its limit."""


class _LineLimit(httpx.AsyncByteStream):
    """A response body that fails if a line is too long."""

    def __init__(self, stream: httpx.AsyncByteStream, max_bytes: int) -> None:
        self._stream = stream
        self._max_bytes = max_bytes

    async def __aiter__(self) -> AsyncIterator[bytes]:
        size = 0
        async for chunk in self._stream:
            last_end = chunk.rfind(b"\n")
            size = size + len(chunk) if last_end < 0 else len(chunk) - last_end
            if size > self._max_bytes:
                raise TooLargeError(f"a line exceeds {self._max_bytes} bytes")
            yield chunk
            await anyio.lowlevel.checkpoint()

    async def aclose(self) -> None:
        await self._stream.aclose()


def limit_lines(
    response: httpx.Response, max_bytes: int = MAX_LINE_BYTES
) -> None:
    """Make reading a response fail if one of its lines is too long.

    Reading then raises `TooLargeError`.

    Args:
        response: A streamed response whose body has not been read.
        max_bytes: Limit of a line, counted in whole chunks.
    """
    assert isinstance(response.stream, httpx.AsyncByteStream)
    response.stream = _LineLimit(response.stream, max_bytes)


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
