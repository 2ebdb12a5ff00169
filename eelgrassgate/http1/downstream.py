"""Server connections: buffered requests and streamed responses."""

from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Sequence
import enum
import functools
import http
import socket
import types
from typing import Any
from typing import Final
from typing import Protocol

import anyio
from anyio import abc
import anyio.lowlevel
import h11
import msgspec

from eelgrassgate import binding
from eelgrassgate import deadlines
from eelgrassgate import logs
from eelgrassgate.http1 import pacing
from eelgrassgate.http1 import sockets
from eelgrassgate.http1 import streams
from eelgrassgate.http1 import turns

# Size of reads of heads and small bodies. It bounds what is held of a request
# that has no account yet: a head within the default limit, or many small
# requests that were sent one behind the other.
READ_SIZE_BYTES: Final = 16_384
# Size of reads of bodies, whose memory is charged.
BODY_READ_BYTES: Final = 65_536
# Size of reads of large bodies, of which few are read at a time.
LARGE_READ_BYTES: Final = 262_144
# Memory for a body of unknown length is reserved in steps of this size.
RESERVE_STEP_BYTES: Final = 262_144
# Bounds on what is read of a request after its refusal. Closing before the
# client has sent all would reset the connection, and the client might not see
# the response.
MAX_DISCARDED_BYTES: Final = 8_388_608
DISCARD_TIMEOUT_S: Final = 5.0
# Maximum number of bytes that are read ahead while a request is handled: one
# request that was sent behind it.
MAX_READ_AHEAD_BYTES: Final = 16_384
# How often to check for the end of a connection that is read no further.
DISCONNECT_POLL_INTERVAL_S: Final = 0.25
# The next request is not handled while the client's system has not accepted
# more than this of earlier responses.
MAX_UNREAD_BYTES: Final = 16_384
# How often to check whether a client reads its responses.
UNREAD_POLL_INTERVAL_S: Final = 0.1
# A connection is closed after this many responses in a row that name no
# resource or no known key. Clients with a wrong setting only have to connect
# again.
MAX_UNPRODUCTIVE: Final = 64
UNPRODUCTIVE: Final = frozenset(
    {
        http.HTTPStatus.UNAUTHORIZED,
        http.HTTPStatus.NOT_FOUND,
        http.HTTPStatus.METHOD_NOT_ALLOWED,
    }
)
# Listen backlog; callers reconnect in bursts after a restart.
BACKLOG: Final = 1024
ACCEPT_RETRY_DELAY_S: Final = 0.05
# Bound on open connections where the settings name none.
MAX_CONNECTIONS: Final = 2_000
# Number of connections that are accepted in one iteration of the event loop.
MAX_ACCEPTED_AT_ONCE: Final = 64
# Number of connections that are closed at once to make room for others: idle
# ones, and those that wait for their clients.
MAX_IDLE_CLOSED_AT_ONCE: Final = 16
MAX_STALLED_CLOSED_AT_ONCE: Final = 64
# How long, and how often, to check for connections that are not accepted yet.
ACCEPT_PENDING_TIMEOUT_S: Final = 0.25
ACCEPT_POLL_INTERVAL_S: Final = 0.005
# Passes of the event loop within which a connection that has left the queue is
# passed to its task, with room to spare.
ACCEPT_PASSES: Final = 20
# How often a drain checks for idle connections.
DRAIN_POLL_INTERVAL_S: Final = 0.05
# A connection is closed if the client does not read for this long.
WRITE_TIMEOUT_S: Final = 10.0
# While connections wait to be accepted, those are closed that have waited for
# their client for this long: for the rest of a head, or to read a response.
MIN_STALL_S: Final = 1.0
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


Headers = tuple[tuple[bytes, bytes], ...]


class Refusal(msgspec.Struct, frozen=True):
    """A response to a request that is not read to its end."""

    status: int
    headers: Headers = ()
    reason: str = ""


class RequestAccount(Protocol):
    """The memory of one request."""

    async def reserve(self, size: int) -> Refusal | None:
        """Reserve memory for `size` more bytes of the body.

        Waits a short time while memory is short.

        Returns:
            The refusal to send if there is no memory; else None.
        """
        ...

    def release_body(self) -> None:
        """Give back the memory of the body."""
        ...

    def close(self) -> None:
        """Give back all memory of the request."""
        ...


class RequestHead(msgspec.Struct, frozen=True):
    """The head of a request.

    Attributes:
        method: The HTTP method.
        target: The request target: path and query.
        headers: The headers, with names in lower case.
    """

    method: bytes
    target: bytes
    headers: Headers

    def get(self, name: bytes) -> bytes | None:
        """Return the value of a header; None if it is absent."""
        for key, value in self.headers:
            if key == name:
                return value
        return None


class Admission(Protocol):
    """Decides whether the bodies of requests are read."""

    def open(self, head: RequestHead) -> RequestAccount:
        """Open the account of a request whose head was read."""
        ...


class _NoAccount:
    """The account of a request that is always admitted."""

    async def reserve(self, size: int) -> Refusal | None:
        """Reserve nothing."""
        return None

    def release_body(self) -> None:
        """Give back nothing."""

    def close(self) -> None:
        """Give back nothing."""


class _AdmitAll:
    """Admits all requests."""

    def open(self, head: RequestHead) -> RequestAccount:
        """Return an account without memory."""
        return _NO_ACCOUNT


_TOO_LARGE: Final = Refusal(http.HTTPStatus.REQUEST_ENTITY_TOO_LARGE)
_NO_ACCOUNT: Final = _NoAccount()
ADMIT_ALL: Final = _AdmitAll()


class Body:
    """The body of a request, kept until it isn't needed any more.

    Attributes:
        data: The bytes; empty after the release.
    """

    __slots__ = ("_account", "data")

    def __init__(
        self, data: bytes, account: RequestAccount = _NO_ACCOUNT
    ) -> None:
        """Keep `data`, whose memory was reserved in `account`."""
        self.data = data
        self._account = account

    def release(self) -> None:
        """Drop the bytes and give their memory back."""
        self.data = b""
        self._account.release_body()


class IncomingRequest(RequestHead, frozen=True):
    """A complete request.

    Attributes:
        content: Holds the request body.
        received_at: Monotonic time at which the end of the body was received.
    """

    content: Body
    received_at: float

    @property
    def body(self) -> bytes:
        """The request body; empty once it was released."""
        return self.content.data


class CloseReason(enum.Enum):
    """Why a connection is closed that its client could still use."""

    UNREAD = "unread"
    UNPRODUCTIVE = "unproductive"
    CROWDED = "crowded"


class _RefusedError(Exception):
    """A request that is refused before it was read to its end."""

    def __init__(self, refusal: Refusal) -> None:
        """Initialize with the response to send."""
        super().__init__(refusal.status)
        self.refusal = refusal


class ClientDisconnectedError(Exception):
    """The client closed the connection or stopped reading."""


class _Stall:
    """Tells since when a connection has waited for its client.

    Used as a context, in which the connection can do nothing else.

    Attributes:
        began_at: Monotonic time since which the client has neither sent nor
            read anything; `NEVER` while nothing waits for it.
        is_over: Whether the client has read nothing for `WRITE_TIMEOUT_S`.
    """

    def __init__(self) -> None:
        """Initialize for a connection that waits for nothing."""
        self.began_at = deadlines.NEVER
        self.is_over = False

    def __enter__(self) -> None:
        """Begin to wait for the client."""
        self.began_at = deadlines.now()

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: types.TracebackType | None,
    ) -> None:
        """End the wait."""
        self.began_at = deadlines.NEVER

    def check(self, has_progress: bool) -> None:
        """Begin anew if the client has made progress.

        Raises:
            TimeoutError: It has made none for `WRITE_TIMEOUT_S`.
        """
        if has_progress:
            self.began_at = deadlines.now()
        elif deadlines.is_past(self.began_at + WRITE_TIMEOUT_S):
            self.is_over = True
            raise TimeoutError("the client doesn't read")


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
        stream: streams.Stream,
        must_close: Callable[[], bool],
        stall: "_Stall",
    ) -> None:
        """Initialize for the request that was just read.

        `must_close` is asked when the head is sent, so that a response that
        begins during a shutdown also announces the close.
        """
        self._http = connection
        self._stream = stream
        self._must_close = must_close
        self._stall = stall
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
        """Add data to the buffer and wait until the buffer is empty.

        Fails once the client has read nothing for `WRITE_TIMEOUT_S`.
        """
        try:
            await anyio.lowlevel.checkpoint()
            self._stream.write(data)
            with anyio.move_on_after(MIN_STALL_S):
                await self._stream.flush()
                return
            with self._stall:
                await self._wait_until_sent()
        except (
            OSError,
            anyio.BrokenResourceError,
            anyio.ClosedResourceError,
            TimeoutError,
        ) as error:
            self.record_disconnect()
            raise ClientDisconnectedError from error

    async def _wait_until_sent(self) -> None:
        """Wait until the buffer is empty.

        Raises:
            TimeoutError: The client has read nothing for `WRITE_TIMEOUT_S`.
        """
        while True:
            left = _count_left(self._stream)
            with anyio.move_on_after(UNREAD_POLL_INTERVAL_S):
                await self._stream.flush()
                return
            self._stall.check(_count_left(self._stream) < left)


def _count_left(stream: streams.Stream) -> int:
    """Return how much of the responses the client has no room for."""
    return stream.count_unsent() + sockets.count_unacknowledged(stream)


Handler = Callable[[IncomingRequest, Responder], Awaitable[None]]


class Connection:
    """One client's connection."""

    def __init__(
        self,
        stream: streams.Stream,
        read_limits: Callable[[], Limits],
        handle: Handler,
        is_closing: Callable[[], bool],
        admission: Admission,
        pacer: pacing.Pacer,
        unproductive_turns: turns.Turns,
        record_close: Callable[[CloseReason], None],
    ) -> None:
        """Wrap an accepted stream; see `Listener.serve`."""
        self._unproductive_turns = unproductive_turns
        self._record_close = record_close
        self._admission = admission
        self._account: RequestAccount = _NO_ACCOUNT
        self._pacer = pacer
        self._stream = stream
        self._read_limits = read_limits
        self._handle = handle
        self._is_closing = is_closing
        self._header_bytes = read_limits().header_bytes
        self._http = h11.Connection(
            h11.SERVER, max_incomplete_event_size=self._header_bytes
        )
        # Whether a large body is being read.
        self._is_large = False
        # Whether the body of a request is being read.
        self._is_reading_body = False
        self._read_ahead = bytearray()
        # Number of responses in a row that were of no use to the client.
        self._unproductive = 0
        self._stall = _Stall()
        self._has_received_eof = False
        self._is_closed = False
        self.is_idle = True

    async def run(self) -> None:
        """Serve requests until the client or a drain closes the connection."""
        try:
            while await self._serve_request():
                pass
        except (
            ClientDisconnectedError,
            OSError,
            anyio.BrokenResourceError,
            anyio.ClosedResourceError,
        ) as error:
            if not self.is_idle:
                logs.log_message(
                    "connection broken", reason=type(error).__name__
                )
        except Exception:
            # A bug in handling one connection must not stop the process.
            logs.log_exception("connection failed")
        finally:
            if self._stall.is_over:
                self._record_close(CloseReason.UNREAD)
            elif self._unproductive > MAX_UNPRODUCTIVE:
                self._record_close(CloseReason.UNPRODUCTIVE)
            self._log_unread()
            self.is_idle = False
            is_cut = self._is_cut_without_framing()
            close = sockets.reset if is_cut else sockets.abort
            await close(self._stream)

    def _log_unread(self) -> None:
        """Log bytes that are dropped with the connection.

        They may be a request that crosses the close.
        """
        unread = sockets.count_unread(self._stream)
        unparsed = self._count_unparsed()
        if unread or unparsed:
            logs.log_message(
                "connection closed unread",
                unread=unread,
                unparsed=unparsed,
                is_idle=self.is_idle,
            )

    @property
    def stalled_since(self) -> float:
        """Monotonic time since which the client holds up the connection.

        `NEVER` if it doesn't, or the connection is idle.
        """
        return self._stall.began_at

    def is_unused(self) -> bool:
        """Return whether the connection is idle and no request has arrived."""
        return self.is_idle and not sockets.is_readable(self._stream)

    async def _serve_request(self) -> bool:
        """Read and handle a request; returns whether to keep the connection."""
        try:
            if self._unproductive:
                # Requests that were sent ahead would be handled in bursts.
                await self._unproductive_turns.take()
            incoming = await self._read_request()
            if incoming is None or not await self._handle_request(incoming):
                return False
            # The memory of the request also covers what is read ahead.
            return await self._wait_until_read()
        except _RefusedError as error:
            refusal = error.refusal
        except h11.RemoteProtocolError as error:
            refusal = Refusal(error.error_status_hint)
        finally:
            self._account.close()
            self._account = _NO_ACCOUNT
        await self._refuse(refusal)
        return False

    def _create_responder(self) -> Responder:
        return Responder(
            self._http, self._stream, self._must_close, self._stall
        )

    def _must_close(self) -> bool:
        return self._unproductive >= MAX_UNPRODUCTIVE or self._is_closing()

    async def _wait_until_read(self) -> bool:
        """Wait until the client has made room for another response.

        Returns:
            Whether it has; if not, the connection is to be closed.
        """
        left = sockets.count_unacknowledged(self._stream)
        if left <= MAX_UNREAD_BYTES:
            return True
        with self._stall:
            while left > MAX_UNREAD_BYTES:
                await anyio.sleep(UNREAD_POLL_INTERVAL_S)
                before = left
                left = sockets.count_unacknowledged(self._stream)
                try:
                    self._stall.check(left < before)
                except TimeoutError:
                    return False
        return True

    def _is_cut_without_framing(self) -> bool:
        """Return whether an orderly close would make a response look whole.

        A body that is sent to an HTTP/1.0 client ends with its connection.
        """
        is_cut = self._http.our_state in {h11.SEND_BODY, h11.ERROR}
        return is_cut and self._http.their_http_version == b"1.0"

    async def _refuse(self, refusal: Refusal) -> None:
        """Respond to a request that is not read to its end."""
        logs.log_message(
            "request unreadable", status=refusal.status, reason=refusal.reason
        )
        if self._http.our_state not in {h11.IDLE, h11.SEND_RESPONSE}:
            return
        if await self._reply_refusal(refusal):
            await self._discard_rest()

    async def _reply_refusal(self, refusal: Refusal) -> bool:
        """Respond with a refusal; returns whether it was sent."""
        responder = self._create_responder()
        responder.is_closing = True
        try:
            await responder.reply(refusal.status, refusal.headers)
        except (ClientDisconnectedError, h11.LocalProtocolError):
            return False
        return True

    async def _discard_rest(self) -> None:
        """Let the client read the last response before the close.

        Nothing is owed to it any more, so the connection counts as idle.
        """
        self.is_idle = True
        # Drops what was received of the request.
        self._http = h11.Connection(h11.SERVER)
        left = MAX_DISCARDED_BYTES
        with anyio.move_on_after(DISCARD_TIMEOUT_S):
            await self._stream.send_eof()
            while left > 0:
                try:
                    data = await self._pacer.receive(
                        self._stream, BODY_READ_BYTES
                    )
                except (
                    anyio.EndOfStream,
                    anyio.BrokenResourceError,
                    anyio.ClosedResourceError,
                    OSError,
                ):
                    return
                left -= len(data)

    async def _read_request(self) -> IncomingRequest | None:
        """Read a request; returns None if the connection must be closed."""
        self.is_idle = not self._read_ahead and not self._http.trailing_data[0]
        data = b""
        if self.is_idle:
            received = await self._wait_for_request()
            if received is None:
                return None
            data = received
            self.is_idle = False
        # Those in force when the request begins.
        limits = self._read_limits()
        self._set_header_limit(limits.header_bytes)
        if data:
            self._http.receive_data(data)
        with anyio.move_on_after(limits.header_timeout_s):
            event = await self._next_event()
            if event is None:
                with self._stall:
                    while event is None:
                        event = await self._next_event()
            if not isinstance(event, h11.Request):
                return None
            return await self._read_body(event, limits)
        raise _RefusedError(Refusal(http.HTTPStatus.REQUEST_TIMEOUT))

    async def _wait_for_request(self) -> bytes | None:
        """Return the first bytes of a request.

        Returns None if there are none within the idle timeout, which may change
        during the wait, or the client has closed the connection.
        """
        started_at = deadlines.now()
        while True:
            expires_at = started_at + self._read_limits().idle_timeout_s
            if deadlines.is_past(expires_at):
                return None
            with anyio.move_on_after(deadlines.compute_remaining(expires_at)):
                return await self._receive() or None

    def _set_header_limit(self, header_bytes: int) -> None:
        if header_bytes == self._header_bytes:
            return
        self._header_bytes = header_bytes
        pending, _ = self._http.trailing_data
        self._http = h11.Connection(
            h11.SERVER, max_incomplete_event_size=header_bytes
        )
        if pending:
            self._http.receive_data(pending)

    async def _read_body(
        self, request: h11.Request, limits: Limits
    ) -> IncomingRequest | None:
        head = RequestHead(
            request.method, request.target, tuple(request.headers)
        )
        self._account = account = self._admission.open(head)
        reserved = _read_length(head)
        if reserved > limits.body_bytes:
            raise _RefusedError(_TOO_LARGE)
        await self._reserve(reserved)
        if self._http.they_are_waiting_for_100_continue:
            informational = h11.InformationalResponse(
                status_code=100, headers=[]
            )
            await self._stream.send(self._http.send(informational) or b"")
        body = bytearray()
        self._is_reading_body = True
        while True:
            event = await self._next_event()
            if isinstance(event, h11.Data):
                size = len(body) + len(event.data)
                if size > limits.body_bytes:
                    raise _RefusedError(_TOO_LARGE)
                while size > reserved:
                    await self._reserve(RESERVE_STEP_BYTES)
                    reserved += RESERVE_STEP_BYTES
                body += event.data
                self._is_large = size > pacing.UNPACED_BYTES
            elif isinstance(event, h11.EndOfMessage):
                break
            elif event is not None:
                return None
        self._is_large = False
        self._is_reading_body = False
        return IncomingRequest(
            head.method,
            head.target,
            head.headers,
            Body(bytes(body), account),
            deadlines.now(),
        )

    async def _reserve(self, size: int) -> None:
        """Reserve memory for the body.

        Raises:
            _RefusedError: Memory is short.
        """
        refusal = await self._account.reserve(size)
        if refusal is not None:
            raise _RefusedError(refusal)

    async def _next_event(self) -> object:
        """Return the next event, or None after reading more data."""
        event = self._http.next_event()
        if event is not h11.NEED_DATA:
            return event
        self._http.receive_data(await self._receive())
        return None

    async def _receive(self) -> bytes:
        """Return the next bytes; none at the end of the stream."""
        if self._read_ahead:
            data = bytes(self._read_ahead)
            self._read_ahead.clear()
        elif self._has_received_eof:
            data = b""
        else:
            try:
                data = await self._receive_from_stream()
            except anyio.EndOfStream:
                data = b""
        if self._is_closed:
            # The data arrived while the connection was being closed; the client
            # sees that its request was not accepted.
            logs.log_message("request dropped on close", bytes=len(data))
            raise anyio.ClosedResourceError
        return data

    async def _receive_from_stream(self) -> bytes:
        if self._is_large:
            return await self._pacer.receive(self._stream, LARGE_READ_BYTES)
        return await self._stream.receive(
            BODY_READ_BYTES if self._is_reading_body else READ_SIZE_BYTES
        )

    async def _handle_request(self, incoming: IncomingRequest) -> bool:
        """Handle a request; returns whether to keep the connection."""
        self.is_idle = False
        responder = self._create_responder()
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
        if responder.status in UNPRODUCTIVE:
            self._unproductive += 1
        else:
            self._unproductive = 0
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
        while True:
            left = MAX_READ_AHEAD_BYTES - self._count_unparsed()
            try:
                if left > 0:
                    data = await self._stream.receive(left)
                else:
                    data = b""
                    await self._wait_until_closed()
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

    def _count_unparsed(self) -> int:
        return len(self._read_ahead) + len(self._http.trailing_data[0])

    async def _wait_until_closed(self) -> None:
        """Wait until the client disconnects, without reading.

        Raises:
            anyio.EndOfStream: It has disconnected.
        """
        while not sockets.has_peer_closed(self._stream):
            await anyio.sleep(DISCONNECT_POLL_INTERVAL_S)
        raise anyio.EndOfStream

    async def close(self) -> None:
        """Close an idle connection; a request in transit is dropped."""
        self._is_closed = True
        await sockets.abort(self._stream)


def _read_length(head: RequestHead) -> int:
    """Return the length of a body; 0 if its head doesn't tell."""
    if head.get(b"transfer-encoding") is not None:
        return 0
    # h11 has checked that it is a number.
    return int(head.get(b"content-length") or b"0")


def _get_reason(status: int) -> bytes:
    try:
        return http.HTTPStatus(status).phrase.encode()
    except ValueError:
        return b"Unknown"


class Listener:
    """Accepts connections and tracks the open ones.

    Attributes:
        is_listening: Whether connections are accepted.
        closed_by_reason: Number of connections that were closed although their
            clients could still use them.
    """

    def __init__(
        self,
        read_limits: Callable[[], Limits],
        handle: Handler,
        is_closing: Callable[[], bool],
        admission: Admission = ADMIT_ALL,
        max_connections: int = MAX_CONNECTIONS,
        min_stall_s: float = MIN_STALL_S,
    ) -> None:
        """Initialize; `is_closing` requests `Connection: close`.

        No connections beyond `max_connections` are accepted. For those that
        wait, idle ones are closed, or else those that have waited for their
        clients for `min_stall_s`.
        """
        self._min_stall_s = min_stall_s
        self._max_connections = max_connections
        self._admission = admission
        self._pacer = pacing.create_pacer()
        self._unproductive_turns = turns.create_turns()
        self._read_limits = read_limits
        self._handle = handle
        self._is_closing = is_closing
        # In the order in which they were accepted.
        self._connections: dict[Connection, None] = {}
        # Number of accepted connections that aren't among them yet.
        self._opening = 0
        self._listeners: Sequence[abc.Listener[Any]] = ()
        self.is_listening = False
        self.closed_by_reason = dict.fromkeys(CloseReason, 0)

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
        while self._count_open() and not deadlines.is_past(deadline):
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
            for one in self._listeners:
                sockets.bound_receive_buffer(one)
            self.is_listening = True
            task_status.started(listener.extra(abc.SocketAttribute.local_port))
            try:
                async with anyio.create_task_group() as tasks:
                    for one in self._listeners:
                        tasks.start_soon(
                            self._accept,
                            one.extra(abc.SocketAttribute.raw_socket),
                        )
            finally:
                self.is_listening = False

    async def _accept(self, listening: Any) -> None:
        """Accept connections, many in one iteration of the event loop.

        They would wait long if large bodies were handled in between.
        """
        while True:
            await anyio.wait_readable(listening)
            for _ in range(MAX_ACCEPTED_AT_ONCE):
                if self._count_open() >= self._max_connections:
                    await self._close_idle()
                    break
                try:
                    accepted = sockets.accept(listening)
                except BlockingIOError:
                    break
                except OSError as error:
                    # Out of descriptors, or the client reset before `accept`.
                    logs.log_message("accept failed", reason=str(error))
                    await self._close_idle()
                    break
                self._opening += 1
                self.tasks.start_soon(self._open, accepted)

    def _record_close(self, reason: CloseReason) -> None:
        self.closed_by_reason[reason] += 1
        logs.log_message("connection closed", reason=reason.value)

    def _count_open(self) -> int:
        return len(self._connections) + self._opening

    async def _close_idle(self) -> None:
        """Close connections to make room for others.

        Those that are idle, in the order in which they were accepted; without
        any, those that have waited longest for their clients.
        """
        unused = [one for one in self._connections if one.is_unused()]
        del unused[MAX_IDLE_CLOSED_AT_ONCE:]
        if not unused:
            stalled_before = deadlines.now() - self._min_stall_s
            unused = sorted(
                (
                    one
                    for one in self._connections
                    if one.stalled_since <= stalled_before
                ),
                key=lambda one: one.stalled_since,
            )[:MAX_STALLED_CLOSED_AT_ONCE]
        for connection in unused:
            self._record_close(CloseReason.CROWDED)
            await connection.close()
        await anyio.sleep(ACCEPT_RETRY_DELAY_S)

    async def _open(self, accepted: socket.socket) -> None:
        """Serve an accepted connection."""
        try:
            stream = await sockets.wrap(accepted)
        except OSError as error:
            logs.log_message("accept failed", reason=str(error))
            return
        finally:
            self._opening -= 1
        await self._serve_one(stream)

    async def accept_pending(self) -> None:
        """Wait until `serve` has accepted the connections that are queued.

        They would be reset when it stops listening.
        """
        with anyio.move_on_after(ACCEPT_PENDING_TIMEOUT_S):
            while any(map(sockets.is_readable, self._listeners)):
                await anyio.sleep(ACCEPT_POLL_INTERVAL_S)
            # The last one has left the queue but may not have its task yet.
            for _ in range(ACCEPT_PASSES):
                await anyio.lowlevel.checkpoint()

    async def run(
        self, *, task_status: abc.TaskStatus[None] = anyio.TASK_STATUS_IGNORED
    ) -> None:
        """Run the connections' task group until cancelled."""
        async with anyio.create_task_group() as tasks:
            self.tasks = tasks
            task_status.started()
            await anyio.sleep_forever()

    async def _serve_one(self, stream: streams.Stream) -> None:
        try:
            sockets.set_options(stream)
        except OSError as error:
            logs.log_message("accept failed", reason=str(error))
            await sockets.abort(stream)
            return
        connection = Connection(
            stream,
            self._read_limits,
            self._handle,
            self._is_closing,
            self._admission,
            self._pacer,
            self._unproductive_turns,
            self._record_close,
        )
        self._connections[connection] = None
        try:
            await connection.run()
        except Exception:
            # It would end all connections.
            logs.log_exception("connection failed")
        finally:
            del self._connections[connection]
