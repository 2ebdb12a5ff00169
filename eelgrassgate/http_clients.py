"""HTTP clients whose servers may send anything, without end."""

from collections.abc import Iterable
import re
import socket
import ssl
from typing import Any
from typing import Final

import httpcore
import httpx

# What is parsed at once, without giving way to other tasks.
READ_SIZE_BYTES: Final = 16_384
# Bound on what is queued for a slow reader; the kernel doubles it.
RECEIVE_BUFFER_BYTES: Final = 131_072
# Bound on the interim responses before a response; a server that works for a
# minute may send one every second.
MAX_INTERIM_RESPONSES: Final = 64
_INTERIM_START: Final = re.compile(rb"HTTP/\d\.\d 1")
_HEAD_END: Final = re.compile(rb"\n\r?\n")
_START_BYTES: Final = len(b"HTTP/1.1 1")

SocketOption = tuple[int, int, int]


class _Stream(httpcore.AsyncNetworkStream):
    """A connection that fails after too many interim responses."""

    def __init__(self, stream: httpcore.AsyncNetworkStream) -> None:
        self._stream = stream
        self._head = bytearray()
        self._is_counting = True
        self._interim_responses = 0

    async def read(self, max_bytes: int, timeout: float | None = None) -> bytes:
        size = min(max_bytes, READ_SIZE_BYTES)
        data = await self._stream.read(size, timeout)
        if self._is_counting:
            self._count(data)
        return data

    def _count(self, data: bytes) -> None:
        """Count interim responses until another response begins."""
        self._head += data
        while len(self._head) >= _START_BYTES:
            if not _INTERIM_START.match(self._head):
                self._is_counting = False
                self._head.clear()
                return
            end = _HEAD_END.search(self._head)
            if end is None:
                # The parser bounds the size of a head.
                return
            del self._head[: end.end()]
            self._interim_responses += 1
            if self._interim_responses > MAX_INTERIM_RESPONSES:
                raise httpcore.RemoteProtocolError("too many interim responses")

    async def write(self, buffer: bytes, timeout: float | None = None) -> None:
        if not self._is_counting:
            # The next request on the connection.
            self._is_counting = True
            self._interim_responses = 0
        await self._stream.write(buffer, timeout)

    async def aclose(self) -> None:
        await self._stream.aclose()

    async def start_tls(
        self,
        ssl_context: ssl.SSLContext,
        server_hostname: str | None = None,
        timeout: float | None = None,
    ) -> httpcore.AsyncNetworkStream:
        return _Stream(
            await self._stream.start_tls(ssl_context, server_hostname, timeout)
        )

    def get_extra_info(self, info: str) -> Any:
        return self._stream.get_extra_info(info)


class _Backend(httpcore.AnyIOBackend):
    """Opens connections."""

    async def connect_tcp(
        self,
        host: str,
        port: int,
        timeout: float | None = None,
        local_address: str | None = None,
        socket_options: Iterable[Any] | None = None,
    ) -> httpcore.AsyncNetworkStream:
        return _Stream(
            await super().connect_tcp(
                host, port, timeout, local_address, socket_options
            )
        )


class _Transport(httpx.AsyncHTTPTransport):
    """A transport over `_Backend`."""

    def __init__(
        self,
        tls: ssl.SSLContext,
        limits: httpx.Limits,
        socket_options: Iterable[SocketOption],
    ) -> None:
        super().__init__(verify=tls, trust_env=False)
        self._pool = httpcore.AsyncConnectionPool(
            ssl_context=tls,
            max_connections=limits.max_connections,
            max_keepalive_connections=limits.max_keepalive_connections,
            keepalive_expiry=limits.keepalive_expiry,
            socket_options=(
                (socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES),
                *socket_options,
            ),
            network_backend=_Backend(),
        )


async def _refuse_encoding(response: httpx.Response) -> None:
    """Fail if a body is compressed, which none was asked to be.

    A few bytes could become more than fits into memory.
    """
    encoding = response.headers.get("content-encoding", "identity")
    if encoding.strip().lower() != "identity":
        raise httpx.RemoteProtocolError(f"unexpected encoding: {encoding}")


def create_client(
    url: str,
    *,
    timeout: httpx.Timeout,
    limits: httpx.Limits,
    tls: ssl.SSLContext | None = None,
    socket_options: Iterable[SocketOption] = (),
) -> httpx.AsyncClient:
    """Create a client.

    Args:
        url: Base URL.
        timeout: Timeouts of the phases of a call.
        limits: Limits on connections.
        tls: How servers are verified; None if no connection is encrypted.
        socket_options: Level, name and value of each option.
    """
    if tls is None:
        # Unlike a default context, loads no certificates, which is slow.
        tls = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
    return httpx.AsyncClient(
        base_url=url,
        transport=_Transport(tls, limits, socket_options),
        timeout=timeout,
        trust_env=False,
        headers={"accept-encoding": "identity"},
        event_hooks={"response": [_refuse_encoding]},
    )
