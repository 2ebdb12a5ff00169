"""Connections that hold at most one received piece.

The streams of `anyio` queue all that a socket holds in one pass of the event
loop, several megabytes from a fast peer, before a reader gets any of it.
"""

import asyncio
import contextlib
import socket
from typing import cast
from typing import Final

import anyio
from anyio import abc
import anyio.lowlevel

PIECE_BYTES: Final = 65_536


class _Protocol(asyncio.BufferedProtocol):
    """Stops reading with each piece.

    Attributes:
        received: The received piece, empty if there is none.
        piece_bytes: Maximum size of the next piece.
        is_over: Whether the peer or the connection has ended.
        error: The error with which the connection ended.
        is_readable: Set while there is a piece or the end.
        is_writable: Set while nothing waits to be sent.
    """

    def __init__(self) -> None:
        self.received = b""
        self.is_over = False
        self.error: Exception | None = None
        self.is_readable = asyncio.Event()
        self.is_writable = asyncio.Event()
        self.is_writable.set()
        self.piece_bytes = PIECE_BYTES
        self._buffer = bytearray()
        self._transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(asyncio.Transport, transport)
        self._transport.set_write_buffer_limits(0)
        self._transport.pause_reading()

    def connection_lost(self, exc: Exception | None) -> None:
        self.error = exc
        self.is_over = True
        self.is_readable.set()
        self.is_writable.set()

    def get_buffer(self, sizehint: int) -> bytearray:
        self._buffer = bytearray(self.piece_bytes)
        return self._buffer

    def buffer_updated(self, nbytes: int) -> None:
        assert self._transport is not None
        self._transport.pause_reading()
        self.received = bytes(memoryview(self._buffer)[:nbytes])
        self._buffer = bytearray()
        self.is_readable.set()

    def eof_received(self) -> bool:
        self.is_over = True
        self.is_readable.set()
        return True

    def pause_writing(self) -> None:
        self.is_writable.clear()

    def resume_writing(self) -> None:
        self.is_writable.set()


class Stream(abc.SocketStream):
    """A TCP connection."""

    def __init__(
        self, transport: asyncio.Transport, protocol: _Protocol
    ) -> None:
        """Wrap an open connection; see `connect`."""
        self._transport = transport
        self._protocol = protocol
        self._is_closed = False

    @property
    def _raw_socket(self) -> socket.socket:
        return cast(socket.socket, self._transport.get_extra_info("socket"))

    def has_received(self) -> bool:
        """Return whether there is data that was not taken."""
        return bool(self._protocol.received)

    async def receive(self, max_bytes: int = PIECE_BYTES) -> bytes:
        """Return received data.

        Raises:
            anyio.EndOfStream: The peer has ended the stream.
            anyio.BrokenResourceError: The connection failed.
            anyio.ClosedResourceError: The connection was closed here.
        """
        protocol = self._protocol
        if protocol.is_readable.is_set() or self._transport.is_closing():
            await anyio.lowlevel.checkpoint()
        else:
            protocol.piece_bytes = max_bytes
            self._transport.resume_reading()
            try:
                await protocol.is_readable.wait()
            finally:
                if not self._transport.is_closing():
                    self._transport.pause_reading()
        if self._is_closed:
            raise anyio.ClosedResourceError
        if not protocol.received:
            if protocol.error is not None:
                raise anyio.BrokenResourceError from protocol.error
            raise anyio.EndOfStream
        found = protocol.received[:max_bytes]
        protocol.received = protocol.received[max_bytes:]
        if not protocol.received and not protocol.is_over:
            protocol.is_readable.clear()
        return found

    def write(self, item: bytes) -> None:
        """Begin to send data; `flush` waits until it is sent.

        Raises:
            anyio.BrokenResourceError: The connection failed.
            anyio.ClosedResourceError: The connection was closed here.
        """
        self._check_open()
        self._transport.write(item)

    async def flush(self) -> None:
        """Wait until all that was written was handed to the system.

        Raises the exceptions of `write`.
        """
        await self._protocol.is_writable.wait()
        self._check_open()

    async def send(self, item: bytes) -> None:
        """Send data; returns when all of it was handed to the system.

        Raises:
            anyio.BrokenResourceError: The connection failed.
            anyio.ClosedResourceError: The connection was closed here.
        """
        await anyio.lowlevel.checkpoint()
        self.write(item)
        await self.flush()

    def _check_open(self) -> None:
        if self._is_closed:
            raise anyio.ClosedResourceError
        if self._transport.is_closing():
            raise anyio.BrokenResourceError from self._protocol.error

    def fileno(self) -> int:
        """Return the descriptor; less than 0 once the connection is closed."""
        # Cheaper than `extra`.
        return self._raw_socket.fileno()

    def count_unsent(self) -> int:
        """Return how many bytes were not yet handed to the system."""
        return self._transport.get_write_buffer_size()

    async def send_eof(self) -> None:
        """Tell the peer that nothing more is sent."""
        with contextlib.suppress(OSError, RuntimeError):
            # The connection may have failed meanwhile.
            self._transport.write_eof()

    async def aclose(self) -> None:
        """Close immediately and discard unsent data."""
        self._is_closed = True
        self._transport.abort()
        await anyio.lowlevel.checkpoint()


async def connect(host: str, port: int) -> Stream:
    """Connect to an address.

    Raises:
        OSError: The connection was refused, or there is no such address.
    """
    loop = asyncio.get_running_loop()
    transport, protocol = await loop.create_connection(_Protocol, host, port)
    return Stream(transport, protocol)


async def wrap(accepted: socket.socket) -> Stream:
    """Return the stream of an accepted connection, which isn't read yet.

    Raises:
        OSError: The connection was closed meanwhile.
    """
    loop = asyncio.get_running_loop()
    transport, protocol = await loop.connect_accepted_socket(
        _Protocol, accepted
    )
    return Stream(transport, protocol)
