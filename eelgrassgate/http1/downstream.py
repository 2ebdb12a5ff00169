"""Server connections: buffered requests and streamed responses."""

from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Sequence
import functools
import http
from typing import Any
from typing import Final

import anyio
from anyio import abc
import h11
import msgspec

from eelgrassgate import binding
from eelgrassgate import deadlines
from eelgrassgate import logs
from eelgrassgate.http1 import sockets

READ_SIZE_BYTES: Final = 65_536
# Maximum number of bytes read ahead while a request is handled.
MAX_READ_AHEAD_BYTES: Final = 65_536
# Listen backlog; callers reconnect in bursts after a restart.
BACKLOG: Final = 1024
ACCEPT_RETRY_DELAY_S: Final = 0.05
# How long, and how often, to check for connections that are not accepted yet.
ACCEPT_PENDING_TIMEOUT_S: Final = 0.25
ACCEPT_POLL_INTERVAL_S: Final = 0.005
# How often a drain checks for idle connections.
DRAIN_POLL_INTERVAL_S: Final = 0.05
# A connection is closed if the client does not read for this long.
WRITE_TIMEOUT_S: Final = 10.0
# A response that is ready is written for this long after a cancellation.
SHIELD_S: Final = 0.25


class Limits(msgspec.Struct, frozen=True):
    """Size and time limits for requests.

    Attributes:
        header_bytes: Maximum size of a request's head.
        body_bytes: Maximum size of a request's body.
        header_timeout_s: Time to receive a head after its first byte.
        idle_timeout_s: Time that a connection may stay idle.
    """

    header_bytes: int = 16_384
    body_bytes: int = 4_194_304
    header_timeout_s: float = 5.0
    idle_timeout_s: float = 15.0


class IncomingRequest(msgspec.Struct, frozen=True):
    """A complete request.

    Attributes:
        method: The HTTP method.
        target: The request target: path and query.
        headers: The headers, with names in lower case.
        body: The request body.
        received_at: Monotonic time at which the end of the body was received.
    """

    method: bytes
    target: bytes
    headers: tuple[tuple[bytes, bytes], ...]
    body: bytes
    received_at: float

    def get(self, name: bytes) -> bytes | None:
        """Return the value of a header; None if it is absent."""
        for key, value in self.headers:
            if key == name:
                return value
        return None


class ClientDisconnectedError(Exception):
    """The client closed the connection or stopped reading."""


class Responder:
    """Writes one response.

    Attributes:
        status: Status of the response; 0 before it is sent.
        begun_at: Monotonic time when the head was sent; 0 before.
        is_closing: Whether to close the connection after the response.
    """

    def __init__(
        self,
        connection: h11.Connection,
        stream: abc.SocketStream,
        must_close: Callable[[], bool],
    ) -> None:
        """Initialize for the request that was just read.

        `must_close` is asked when the head is sent, so that a response that
        begins during a shutdown also announces the close.
        """
        self._http = connection
        self._stream = stream
        self._must_close = must_close
        self._has_disconnected = False
        self.status = 0
        self.begun_at = 0.0
        self.is_closing = False

    def has_disconnected(self) -> bool:
        """Return whether the client has closed the connection."""
        return self._has_disconnected

    def record_disconnect(self) -> None:
        """Record that the client has closed the connection."""
        self._has_disconnected = True

    @property
    def has_begun(self) -> bool:
        """Whether the head of the response has been sent."""
        return bool(self.status)

    def _record_begin(self, status: int) -> None:
        self.status = status
        self.begun_at = deadlines.now()

    async def begin(
        self,
        status: int,
        headers: Sequence[tuple[bytes, bytes]],
        length: int | None = None,
    ) -> None:
        """Send the head; without a length the body is sent chunked."""
        head = self._build_head(status, headers, length)
        self._record_begin(status)
        await self._write_shielded(self._http.send(head))

    def _build_head(
        self,
        status: int,
        headers: Sequence[tuple[bytes, bytes]],
        length: int | None,
    ) -> h11.Response:
        sent = list(headers)
        if length is not None:
            sent.append((b"content-length", b"%d" % length))
        self.is_closing = self.is_closing or self._must_close()
        if self.is_closing:
            sent.append((b"connection", b"close"))
        return h11.Response(
            status_code=status, headers=sent, reason=_get_reason(status)
        )

    async def send(self, data: bytes) -> None:
        """Send part of the body."""
        await self._write(self._http.send(h11.Data(data=data)))

    async def finish(self) -> None:
        """Send the end of the body, which completes the response."""
        await self._write(self._http.send(h11.EndOfMessage()))

    async def send_raw(self, data: bytes) -> None:
        """Send raw bytes outside of HTTP framing; for stand-ins only."""
        await self._write(data)

    async def reset(self) -> None:
        """Reset the connection; for stand-ins only."""
        await sockets.reset(self._stream)

    async def reply(
        self,
        status: int,
        headers: Sequence[tuple[bytes, bytes]] = (),
        body: bytes = b"",
    ) -> None:
        """Send a complete response with a single write."""
        head = self._build_head(status, headers, len(body))
        self._record_begin(status)
        data = self._http.send(head) or b""
        if body:
            data += self._http.send(h11.Data(data=body)) or b""
        data += self._http.send(h11.EndOfMessage()) or b""
        await self._write_shielded(data)

    async def _write_shielded(self, data: bytes | None) -> None:
        """Write although the handler is cancelled.

        h11 counts the bytes as sent, so no other response could follow. Once
        they are in the buffer of the connection, only waiting for a client that
        does not read can be cancelled.
        """
        with anyio.move_on_after(SHIELD_S, shield=True) as scope:
            await self._write(data)
        if scope.cancelled_caught:
            await self._send(b"")

    async def _write(self, data: bytes | None) -> None:
        if data:
            await self._send(data)

    async def _send(self, data: bytes) -> None:
        """Add data to the buffer and wait until the buffer is empty."""
        try:
            with anyio.fail_after(WRITE_TIMEOUT_S):
                await self._stream.send(data)
        except (
            OSError,
            anyio.BrokenResourceError,
            anyio.ClosedResourceError,
            TimeoutError,
        ) as error:
            self.record_disconnect()
            raise ClientDisconnectedError from error


Handler = Callable[[IncomingRequest, Responder], Awaitable[None]]


class Connection:
    """One client's connection."""

    def __init__(
        self,
        stream: abc.SocketStream,
        read_limits: Callable[[], Limits],
        handle: Handler,
        is_closing: Callable[[], bool],
    ) -> None:
        """Wrap an accepted stream; see `Listener.serve`."""
        self._stream = stream
        self._read_limits = read_limits
        self._handle = handle
        self._is_closing = is_closing
        limits = read_limits()
        self._http = h11.Connection(
            h11.SERVER, max_incomplete_event_size=limits.header_bytes
        )
        self._read_ahead = bytearray()
        self._has_received_eof = False
        self._is_closed = False
        self.is_idle = True

    async def run(self) -> None:
        """Serve requests until the client or a drain closes the connection."""
        try:
            while True:
                incoming = await self._read_request()
                if incoming is None or not await self._handle_request(incoming):
                    return
        except h11.RemoteProtocolError as error:
            await self._reply_error(error.error_status_hint)
        except (ClientDisconnectedError, OSError, anyio.BrokenResourceError):
            return
        except anyio.ClosedResourceError:
            return
        except Exception:
            # A bug in handling one connection must not stop the process.
            logs.log_exception("connection failed")
        finally:
            self.is_idle = False
            is_cut = self._is_cut_without_framing()
            close = sockets.reset if is_cut else sockets.abort
            await close(self._stream)

    def _is_cut_without_framing(self) -> bool:
        """Return whether an orderly close would make a response look whole.

        A body that is sent to an HTTP/1.0 client ends with its connection.
        """
        is_cut = self._http.our_state in {h11.SEND_BODY, h11.ERROR}
        return is_cut and self._http.their_http_version == b"1.0"

    async def _reply_error(self, status: int) -> None:
        """Respond with an error to a request that can't be read."""
        logs.log_message("request unreadable", status=status)
        if self._http.our_state not in {h11.IDLE, h11.SEND_RESPONSE}:
            return
        responder = Responder(self._http, self._stream, self._is_closing)
        responder.is_closing = True
        try:
            await responder.reply(status)
        except (ClientDisconnectedError, h11.LocalProtocolError):
            return

    async def _read_request(self) -> IncomingRequest | None:
        """Read a request; returns None if the connection must be closed."""
        limits = self._read_limits()
        self.is_idle = not self._read_ahead and not self._http.trailing_data[0]
        with anyio.move_on_after(limits.idle_timeout_s) as scope:
            event = await self._next_event()
            while event is None:
                # The first byte of a head starts the header timeout.
                self.is_idle = False
                scope.deadline = min(
                    scope.deadline,
                    anyio.current_time() + limits.header_timeout_s,
                )
                event = await self._next_event()
            if not isinstance(event, h11.Request):
                return None
            return await self._read_body(event, limits)
        if not self.is_idle:
            await self._reply_error(http.HTTPStatus.REQUEST_TIMEOUT)
        return None

    async def _read_body(
        self, request: h11.Request, limits: Limits
    ) -> IncomingRequest | None:
        if self._http.they_are_waiting_for_100_continue:
            informational = h11.InformationalResponse(
                status_code=100, headers=[]
            )
            await self._stream.send(self._http.send(informational) or b"")
        parts: list[bytes] = []
        size = 0
        while True:
            event = await self._next_event()
            if isinstance(event, h11.Data):
                size += len(event.data)
                if size > limits.body_bytes:
                    await self._reply_error(
                        http.HTTPStatus.REQUEST_ENTITY_TOO_LARGE
                    )
                    return None
                parts.append(bytes(event.data))
            elif isinstance(event, h11.EndOfMessage):
                break
            elif event is not None:
                return None
        return IncomingRequest(
            request.method,
            request.target,
            tuple(request.headers),
            b"".join(parts),
            deadlines.now(),
        )

    async def _next_event(self) -> object:
        """Return the next event, or None after reading more data."""
        event = self._http.next_event()
        if event is not h11.NEED_DATA:
            return event
        if self._read_ahead:
            data = bytes(self._read_ahead)
            self._read_ahead.clear()
        elif self._has_received_eof:
            data = b""
        else:
            try:
                data = await self._stream.receive(READ_SIZE_BYTES)
            except anyio.EndOfStream:
                data = b""
        if self._is_closed:
            # The data arrived while the connection was being closed; the client
            # sees that its request was not accepted.
            logs.log_message("request dropped on close", bytes=len(data))
            raise anyio.ClosedResourceError
        self._http.receive_data(data)
        return None

    async def _handle_request(self, incoming: IncomingRequest) -> bool:
        """Handle a request; returns whether to keep the connection."""
        self.is_idle = False
        responder = Responder(self._http, self._stream, self._is_closing)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(
                self._watch_disconnect, responder, tasks.cancel_scope
            )
            try:
                await self._handle(incoming, responder)
            except ClientDisconnectedError:
                responder.is_closing = True
            except Exception:
                # A bug in handling one request must not stop the process.
                await self._reply_internal_error(incoming, responder)
            tasks.cancel_scope.cancel()
        if self._http.our_state is not h11.DONE or responder.is_closing:
            return False
        if self._http.their_state is not h11.DONE:
            return False
        self._http.start_next_cycle()
        return True

    async def _reply_internal_error(
        self, incoming: IncomingRequest, responder: Responder
    ) -> None:
        """Respond to a request whose handler failed; it may have run."""
        logs.log_exception(
            "internal error", target=incoming.target.decode("latin-1")
        )
        responder.is_closing = True
        if responder.has_begun:
            return
        try:
            await responder.reply(http.HTTPStatus.INTERNAL_SERVER_ERROR)
        except (ClientDisconnectedError, h11.LocalProtocolError):
            # Nothing more can be sent on this connection.
            return

    async def _watch_disconnect(
        self, responder: Responder, scope: anyio.CancelScope
    ) -> None:
        """Cancel the handler when the client disconnects."""
        while len(self._read_ahead) < MAX_READ_AHEAD_BYTES:
            try:
                data = await self._stream.receive(READ_SIZE_BYTES)
            except (
                anyio.EndOfStream,
                anyio.BrokenResourceError,
                anyio.ClosedResourceError,
                OSError,
            ):
                self._has_received_eof = True
                responder.record_disconnect()
                scope.cancel()
                return
            self._read_ahead.extend(data)

    async def close(self) -> None:
        """Close an idle connection; a request in transit is dropped."""
        self._is_closed = True
        await sockets.abort(self._stream)


def _get_reason(status: int) -> bytes:
    try:
        return http.HTTPStatus(status).phrase.encode()
    except ValueError:
        return b"Unknown"


class Listener:
    """Accepts connections and tracks the open ones.

    Attributes:
        is_listening: Whether connections are accepted.
    """

    def __init__(
        self,
        read_limits: Callable[[], Limits],
        handle: Handler,
        is_closing: Callable[[], bool],
    ) -> None:
        """Initialize; `is_closing` requests `Connection: close`."""
        self._read_limits = read_limits
        self._handle = handle
        self._is_closing = is_closing
        self._connections: set[Connection] = set()
        self._listeners: Sequence[abc.Listener[Any]] = ()
        self.is_listening = False

    def count_active(self) -> int:
        """Return the number of connections with a request in flight."""
        return sum(not one.is_idle for one in self._connections)

    def count_connections(self) -> int:
        """Return the number of open connections."""
        return len(self._connections)

    def get_connections(self) -> tuple["Connection", ...]:
        """Return the open connections."""
        return tuple(self._connections)

    async def drain(self, deadline: float) -> int:
        """Close idle connections and wait for the others to finish.

        Must be called after accepting has stopped.

        Args:
            deadline: Monotonic time at which to stop waiting.

        Returns:
            The number of requests still in flight.
        """
        # Gives a connection that was just accepted time to start reading.
        await anyio.sleep(DRAIN_POLL_INTERVAL_S)
        while self._connections and not deadlines.is_past(deadline):
            for connection in list(self._connections):
                if connection.is_idle:
                    await connection.close()
            await anyio.sleep(DRAIN_POLL_INTERVAL_S)
        return self.count_active()

    async def serve(
        self,
        address: str,
        give_up_at: float = 0.0,
        *,
        task_status: abc.TaskStatus[int] = anyio.TASK_STATUS_IGNORED,
    ) -> None:
        """Accept connections at `host:port` until cancelled.

        Reports the port through `task_status`. Connections that are open on
        cancellation continue in the task group of `run`.

        Args:
            address: The address.
            give_up_at: Monotonic time until which an address that is taken is
                tried again; by default it is tried once.
            task_status: Receives the port.

        Raises:
            binding.AddressUnavailableError: The address is taken.
        """
        host, _, port = address.rpartition(":")
        opener = functools.partial(
            anyio.create_tcp_listener,
            local_host=host,
            local_port=int(port),
            backlog=BACKLOG,
        )
        async with await binding.open_socket(
            opener, address, give_up_at
        ) as listener:
            self._listeners = listener.listeners
            self.is_listening = True
            try:
                await self._accept_forever(listener, task_status)
            finally:
                self.is_listening = False

    async def _accept_forever(
        self,
        listener: abc.Listener[abc.SocketStream],
        task_status: abc.TaskStatus[int],
    ) -> None:
        task_status.started(listener.extra(abc.SocketAttribute.local_port))
        while True:
            try:
                await listener.serve(self._serve_one, self.tasks)
            except* OSError as errors:
                # Out of descriptors, or the client reset before `accept`.
                logs.log_message("accept failed", reason=str(errors.exceptions))
            await anyio.sleep(ACCEPT_RETRY_DELAY_S)

    async def accept_pending(self) -> None:
        """Wait until `serve` has accepted the connections that are queued.

        They would be reset when it stops listening.
        """
        with anyio.move_on_after(ACCEPT_PENDING_TIMEOUT_S):
            is_empty = False
            while not is_empty:
                is_empty = not any(map(sockets.is_readable, self._listeners))
                # A connection that was just accepted is lost if `serve` is
                # cancelled before it has received it.
                await anyio.sleep(ACCEPT_POLL_INTERVAL_S)

    async def run(
        self, *, task_status: abc.TaskStatus[None] = anyio.TASK_STATUS_IGNORED
    ) -> None:
        """Run the connections' task group until cancelled."""
        async with anyio.create_task_group() as tasks:
            self.tasks = tasks
            task_status.started()
            await anyio.sleep_forever()

    async def _serve_one(self, stream: abc.SocketStream) -> None:
        try:
            sockets.set_options(stream)
        except OSError as error:
            logs.log_message("accept failed", reason=str(error))
            await sockets.abort(stream)
            return
        connection = Connection(
            stream, self._read_limits, self._handle, self._is_closing
        )
        self._connections.add(connection)
        try:
            await connection.run()
        except Exception:
            # It would end all connections.
            logs.log_exception("connection failed")
        finally:
            self._connections.discard(connection)
