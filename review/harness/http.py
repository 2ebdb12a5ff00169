"""Minimal HTTP/1.1 for the stand-ins: raw bytes, no hidden retries."""

import asyncio
from collections.abc import Mapping
import dataclasses

Headers = list[tuple[str, str]]


@dataclasses.dataclass(frozen=True)
class Request:
    """A request as it was read from a connection."""

    method: str
    target: str
    headers: Headers
    body: bytes

    def get(self, name: str) -> str | None:
        """Return the first value of a header."""
        return next(iter(self.get_all(name)), None)

    def get_all(self, name: str) -> list[str]:
        """Return all values of a header."""
        return [value for key, value in self.headers if key == name.lower()]


@dataclasses.dataclass(frozen=True)
class Response:
    """A response; `status` is 0 if there was none."""

    status: int
    headers: Headers
    body: bytes
    is_complete: bool

    def get(self, name: str) -> str | None:
        """Return the first value of a header."""
        for key, value in self.headers:
            if key == name.lower():
                return value
        return None


NO_RESPONSE = Response(0, [], b"", False)


def _parse_headers(lines: list[bytes]) -> Headers:
    headers = []
    for line in lines:
        name, _, value = line.decode("latin-1").partition(":")
        headers.append((name.strip().lower(), value.strip()))
    return headers


async def _read_head(reader: asyncio.StreamReader) -> tuple[str, Headers]:
    head = await reader.readuntil(b"\r\n\r\n")
    first, *lines = head[:-4].split(b"\r\n")
    return first.decode("latin-1"), _parse_headers(lines)


async def _read_chunks(reader: asyncio.StreamReader) -> bytes:
    parts = []
    while True:
        size = int((await reader.readline()).split(b";")[0], 16)
        parts.append(await reader.readexactly(size))
        await reader.readline()
        if not size:
            return b"".join(parts)


async def _read_body(
    reader: asyncio.StreamReader, headers: Headers, *, until_end: bool
) -> bytes:
    fields = dict(headers)
    if "chunked" in fields.get("transfer-encoding", ""):
        return await _read_chunks(reader)
    if "content-length" in fields:
        return await reader.readexactly(int(fields["content-length"]))
    return await reader.read() if until_end else b""


async def read_request(reader: asyncio.StreamReader) -> Request:
    """Read a request; raises `EOFError` at the end of the connection."""
    first, headers = await _read_head(reader)
    method, target, _ = first.split(" ")
    body = await _read_body(reader, headers, until_end=False)
    return Request(method, target, headers, body)


def write_response(
    status: int, headers: Mapping[str, str], body: bytes = b""
) -> bytes:
    """Return the bytes of a response with a length."""
    lines = [f"HTTP/1.1 {status} Status"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


async def send(
    address: str,
    method: str,
    target: str,
    headers: Mapping[str, str],
    body: bytes = b"",
    timeout_s: float = 5.0,
) -> Response:
    """Send a request on a new connection and return its response."""
    host, _, port = address.rpartition(":")
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(host, int(port))
            lines = [f"{method} {target} HTTP/1.1"]
            lines += [f"{name}: {value}" for name, value in headers.items()]
            lines.append(f"Content-Length: {len(body)}")
            head = "\r\n".join(lines) + "\r\n\r\n"
            writer.write(head.encode("latin-1") + body)
            await writer.drain()
            first, found = await _read_head(reader)
            status = int(first.split(" ")[1])
            content = await _read_body(reader, found, until_end=True)
            return Response(status, found, content, True)
    except (OSError, EOFError, TimeoutError, ValueError):
        return NO_RESPONSE
    finally:
        if writer is not None:
            writer.close()
