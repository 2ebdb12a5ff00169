"""Clients that exceed the limits of a process.

Each function opens one connection, does for a few seconds what its name says,
and closes the connection. `bench.memory_load` and tests run many at once.
"""

import asyncio
from collections.abc import AsyncIterator
from collections.abc import Callable
import contextlib
import itertools
import socket
import time
from typing import Final

import msgspec

# How long a client keeps its connection.
HOLD_S: Final = 4.0
# Small, so that responses that aren't read stay with the process.
RECEIVE_BUFFER_BYTES: Final = 4_096
# How much clients send at most; more than the process and the kernel keep of a
# connection.
PIPELINED_BYTES: Final = 3_000_000
BODY_BYTES: Final = 12_000_000
PIECE_BYTES: Final = 65_536
ANNOUNCED_BYTES: Final = 1_000_000_000
HEAD_PIECE_BYTES: Final = 400
SLOW_READ_INTERVAL_S: Final = 1.0
# Connections that one client opens one after the other.
MAX_OPENED: Final = 200


class Target(msgspec.Struct, frozen=True):
    """What clients address.

    Attributes:
        ip: Address of the process.
        port: Port of the listener.
        host: The requested host.
        path: The requested path.
        key: The API key.
    """

    ip: str
    port: int
    host: str
    path: str
    key: str

    def write_head(self, number: int, fields: str = "") -> bytes:
        """Return the head of a request.

        Args:
            number: Makes the request's id unique.
            fields: Further header fields, each with a line end.
        """
        method = "POST" if fields else "GET"
        return (
            f"{method} {self.path} HTTP/1.1\r\nHost: {self.host}\r\n"
            f"Request-Id: c{number}-{time.monotonic_ns()}\r\n"
            f"Authorization: Bearer {self.key}\r\nTime-Remaining: 10000\r\n"
            f"{fields}\r\n"
        ).encode()


@contextlib.asynccontextmanager
async def _connect(target: Target) -> AsyncIterator[socket.socket]:
    """Yield a connection; errors and the end of the hold time end the block.

    Raises:
        OSError: The process did not accept the connection.
    """
    loop = asyncio.get_running_loop()
    with socket.socket() as client:
        client.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES
        )
        client.setblocking(False)
        async with asyncio.timeout(HOLD_S):
            await loop.sock_connect(client, (target.ip, target.port))
        with contextlib.suppress(OSError):
            async with asyncio.timeout(HOLD_S):
                yield client


async def _wait() -> None:
    await asyncio.sleep(HOLD_S)


async def send_without_reading(target: Target, number: int) -> None:
    """Send requests one behind the other and read no response."""
    loop = asyncio.get_running_loop()
    requests = target.write_head(number) * 200
    async with _connect(target) as client:
        for _ in range(PIPELINED_BYTES // len(requests)):
            await loop.sock_sendall(client, requests)
        await _wait()


async def read_slowly(target: Target, number: int) -> None:
    """Send requests one behind the other; read one byte per second."""
    loop = asyncio.get_running_loop()
    requests = target.write_head(number) * 200

    async def send(client: socket.socket) -> None:
        for _ in range(PIPELINED_BYTES // len(requests)):
            await loop.sock_sendall(client, requests)

    async with _connect(target) as client:
        sending = asyncio.create_task(send(client))
        try:
            while True:
                await asyncio.sleep(SLOW_READ_INTERVAL_S)
                await loop.sock_recv(client, 1)
        finally:
            sending.cancel()
            await asyncio.gather(sending, return_exceptions=True)


async def announce_body(target: Target, number: int) -> None:
    """Announce a body far over the limit, and send part of it."""
    head = target.write_head(number, f"Content-Length: {ANNOUNCED_BYTES}\r\n")
    await _send_body(target, head, lambda piece: piece)


async def send_chunks(target: Target, number: int) -> None:
    """Send a body far over the limit in chunks."""
    head = target.write_head(number, "Transfer-Encoding: chunked\r\n")
    await _send_body(
        target, head, lambda piece: b"%x\r\n%b\r\n" % (len(piece), piece)
    )


async def _send_body(
    target: Target, head: bytes, frame: Callable[[bytes], bytes]
) -> None:
    loop = asyncio.get_running_loop()
    piece = frame(bytes(PIECE_BYTES))
    async with _connect(target) as client:
        await loop.sock_sendall(client, head)
        for _ in range(BODY_BYTES // PIECE_BYTES):
            await loop.sock_sendall(client, piece)
        await _wait()


async def send_endless_head(target: Target, number: int) -> None:
    """Send header fields without an end, in small pieces."""
    loop = asyncio.get_running_loop()
    async with _connect(target) as client:
        await loop.sock_sendall(client, target.write_head(number)[:-2])
        for field in itertools.count():
            line = f"X-{field}: ".encode() + b"x" * HEAD_PIECE_BYTES + b"\r\n"
            await loop.sock_sendall(client, line)
            await asyncio.sleep(HOLD_S / 30.0)


async def open_and_close(target: Target, number: int) -> None:
    """Open and close connections, every other one with a request."""
    loop = asyncio.get_running_loop()
    ends_at = time.monotonic() + HOLD_S
    for opened in range(MAX_OPENED):
        if time.monotonic() >= ends_at:
            return
        with contextlib.suppress(OSError):
            async with _connect(target) as client:
                if opened % 2:
                    await loop.sock_sendall(client, target.write_head(number))
