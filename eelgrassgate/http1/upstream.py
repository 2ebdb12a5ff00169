"""Client connections that report whether a failed request was sent."""

from collections.abc import AsyncIterator
from collections.abc import Callable
import contextlib
from typing import Final

import anyio
from anyio import abc
import h11
import msgspec
import xxhash

from eelgrassgate import deadlines
from eelgrassgate import logs
from eelgrassgate.http1 import pacing
from eelgrassgate.http1 import sockets
from eelgrassgate.http1 import turns as turns_lib

Headers = tuple[tuple[bytes, bytes], ...]

READ_SIZE_BYTES: Final = 65_536
# Heads are parsed at once, with all that was received of them.
HEAD_READ_SIZE_BYTES: Final = 8_192
# Idle connections are closed this long before the peer's announced timeout.
KEEP_ALIVE_MARGIN_S: Final = 1.0
# Idle timeout for peers that don't announce one.
DEFAULT_KEEP_ALIVE_S: Final = 4.0
# Maximum number of idle connections per address, which serves only a few
# concurrent requests.
MAX_IDLE_PER_ADDRESS: Final = 16
# Bound on what is read before the head of the response and dropped: interim
# responses and late responses to earlier requests.
MAX_SKIPPED_BYTES: Final = 262_144
# Bound on their number; a server that works for a minute may send an interim
# response every second.
MAX_SKIPPED_RESPONSES: Final = 64
# Bounds on reading a body that is not needed. Reading it only saves a new
# connection.
MAX_DISCARDED_BYTES: Final = 65_536
DISCARD_TIMEOUT_S: Final = 0.2
# Bounds the memory of `Connection.request_hashes`.
MAX_REQUESTS: Final = 1_000
# Bound on a response that is read as a whole; several of the largest values of
# the key-value service.
MAX_RESPONSE_BYTES: Final = 8_388_608
# Work of a reader in one turn, and what one parsed part of a response counts:
# its cost is that of as many bytes of a body.
MAX_TURN_BYTES: Final = 65_536
EVENT_COST_BYTES: Final = 1_024
SUCCESS_STATUSES: Final = range(200, 300)


class Request(msgspec.Struct, frozen=True):
    """A complete request to send."""

    method: bytes
    target: bytes
    headers: Headers
    body: bytes


class Head(msgspec.Struct, frozen=True):
    """The head of a response; header names are in lower case."""

    status: int
    headers: Headers

    def get(self, name: bytes) -> bytes | None:
        """Return the value of a header; None if it is absent."""
        for key, value in self.headers:
            if key == name:
                return value
        return None

    def get_length(self) -> int:
        """Return the stated length of the body; 0 if none is stated."""
        length = self.get(b"content-length") or b""
        # int() fails on thousands of digits.
        return int(length[:15]) if length.isdigit() else 0


class ExchangeError(Exception):
    """An exchange that failed.

    Attributes:
        was_sent: Whether the peer may have received part of the request.
    """

    def __init__(self, message: str, was_sent: bool) -> None:
        """Initialize with a message."""
        super().__init__(message)
        self.was_sent = was_sent


class InvalidRequestError(ExchangeError):
    """A request that HTTP can't express, so that nothing was sent."""

    def __init__(self, message: str) -> None:
        """Initialize with a message."""
        super().__init__(message, False)


class StalledError(Exception):
    """The peer sent nothing useful until `Connection.stall_deadline`."""


_CONNECTION_ERRORS: Final = (
    OSError,
    h11.RemoteProtocolError,
    anyio.BrokenResourceError,
    anyio.ClosedResourceError,
)

ResponseFilter = Callable[[Head], bool]


def _do_nothing() -> None:
    """Do nothing; the default for `on_receive`."""


class Connection:
    """One client connection; runs one exchange at a time.

    Attributes:
        on_receive: Called whenever data is received.
        stall_deadline: Monotonic time at which the peer counts as stalled. Only
            waiting for data ends then, so the user of the connection moves it
            whenever the exchange has made progress.
        head: Head of the current response.
        request_hashes: Hashes of the ids of the requests that were sent on it,
            which callers choose the length of. A late copy of
            a response to an earlier request can only be told from the response
            to the current one if their ids differ.
    """

    def __init__(
        self,
        stream: abc.SocketStream,
        address: str,
        turns: turns_lib.Turns,
        pacer: pacing.Pacer | None = None,
    ) -> None:
        """Wrap an open stream to `address`."""
        self._pacer = pacer or pacing.create_pacer()
        self.address = address
        self.idle_until = 0.0
        self.is_reusable = False
        self.on_receive: Callable[[], None] = _do_nothing
        self.stall_deadline = deadlines.NEVER
        self._stream = stream
        self._http = h11.Connection(h11.CLIENT)
        self._turns = turns
        self._turn_bytes = 0
        self._received_bytes = 0
        self.head = Head(0, ())
        self.request_hashes: set[int] = set()

    async def start(
        self, request: Request, is_expected: ResponseFilter
    ) -> None:
        """Send a request and read the head of its response.

        Responses for which `is_expected` returns False are late responses to
        an earlier request and are discarded.

        Raises:
            InvalidRequestError: The request can't be sent.
            ExchangeError: The connection failed before the head was received.
            StalledError: `stall_deadline` passed before.
        """
        self.is_reusable = False
        try:
            parts = _write_request(self._http, request)
        except h11.LocalProtocolError as error:
            raise InvalidRequestError(str(error)) from error
        failure: ExchangeError | StalledError | None = None
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._send, parts)
            try:
                await self._read_head(request, is_expected)
            except _CONNECTION_ERRORS as error:
                failure = _convert_error(error)
            except StalledError as error:
                failure = error
            # The peer may respond before it has read the whole body. Sending
            # stops then, and the connection is not reused.
            tasks.cancel_scope.cancel()
        if failure is not None:
            raise failure

    async def _send(self, parts: list[bytes]) -> None:
        try:
            if sum(map(len, parts)) <= pacing.UNPACED_BYTES:
                await self._stream.send(b"".join(parts))
            else:
                await self._send_pieces(parts)
        except _CONNECTION_ERRORS:
            # Reading the response reports the failure if there is none.
            return
        self.is_reusable = True

    async def _send_pieces(self, parts: list[bytes]) -> None:
        """Send much data without a copy of it all."""
        for part in parts:
            view = memoryview(part)
            for start in range(0, len(part), pacing.PIECE_BYTES):
                await self._pacer.wait_turn()
                piece = view[start : start + pacing.PIECE_BYTES]
                await self._stream.send(bytes(piece))

    async def _read_head(
        self, request: Request, is_expected: ResponseFilter
    ) -> None:
        limit = self._received_bytes + MAX_SKIPPED_BYTES
        for _ in range(MAX_SKIPPED_RESPONSES + 1):
            event = await self._next_event(limit)
            if isinstance(event, h11.InformationalResponse):
                continue
            if not isinstance(event, h11.Response):
                raise h11.RemoteProtocolError("no response received")
            self.head = Head(event.status_code, tuple(event.headers))
            if is_expected(self.head):
                return
            await self._discard_response(request, limit)
        raise h11.RemoteProtocolError("too many responses before the response")

    async def _discard_response(self, request: Request, limit: int) -> None:
        """Discard a response and prepare for the next on the connection."""
        while not isinstance(await self._next_event(limit), h11.EndOfMessage):
            pass
        trailing_data, is_closed = self._http.trailing_data
        if is_closed:
            raise h11.RemoteProtocolError(
                "connection closed after a late response"
            )
        # A new h11 connection expects to send a request before it reads a
        # response. The request was sent already, so its bytes are discarded.
        self._http = h11.Connection(h11.CLIENT)
        _write_request(self._http, request)
        if trailing_data:
            self._http.receive_data(trailing_data)

    async def _next_event(self, limit: int | None = None) -> object:
        """Return the next event.

        Args:
            limit: Number of bytes that the connection may have received; None
                within a body.
        """
        read_size = READ_SIZE_BYTES if limit is None else HEAD_READ_SIZE_BYTES
        while True:
            event = self._http.next_event()
            if event is not h11.NEED_DATA:
                await self._record_work(EVENT_COST_BYTES)
                return event
            if limit is not None and self._received_bytes > limit:
                raise h11.RemoteProtocolError("too many bytes and no response")
            data = await self._receive(read_size)
            self._received_bytes += len(data)
            self.on_receive()
            await self._record_work(len(data))
            self._http.receive_data(data)

    async def _record_work(self, size: int) -> None:
        """Count work of the current turn; take another one if it is over."""
        self._turn_bytes += size
        if self._turn_bytes >= MAX_TURN_BYTES:
            self._turn_bytes = 0
            await self._turns.take()

    async def _receive(self, max_bytes: int) -> bytes:
        """Return received data; empty at the end of the stream.

        Raises:
            StalledError: `stall_deadline` passed.
        """
        wait_s = deadlines.compute_remaining(self.stall_deadline)
        with anyio.move_on_after(wait_s):
            try:
                return await self._stream.receive(max_bytes)
            except anyio.EndOfStream:
                return b""
        raise StalledError("no progress")

    async def iterate(
        self, max_part_bytes: int = READ_SIZE_BYTES
    ) -> AsyncIterator[bytes]:
        """Yield the body; ends only when the response is complete.

        Gives way to other tasks between parts that arrived together.

        A success without a length whose connection ends before the first byte
        of the body counts as incomplete.

        Raises:
            ExchangeError: The response is incomplete.
            StalledError: `stall_deadline` passed.
        """
        has_body = False
        while True:
            try:
                event = await self._next_event()
            except _CONNECTION_ERRORS as error:
                raise _convert_error(error) from error
            if isinstance(event, h11.Data):
                has_body = True
                data = bytes(event.data)
                yield data[:max_part_bytes]
                for start in range(max_part_bytes, len(data), max_part_bytes):
                    await self._turns.take()
                    yield data[start : start + max_part_bytes]
            elif isinstance(event, h11.EndOfMessage):
                # Only a body without a length ends with its connection.
                _, is_closed = self._http.trailing_data
                is_success = self.head.status in SUCCESS_STATUSES
                if is_closed and is_success and not has_body:
                    raise ExchangeError("connection ended before a body", True)
                self._finish_exchange()
                return
            else:
                raise ExchangeError("response is incomplete", True)

    async def read_body(self, max_bytes: int = MAX_RESPONSE_BYTES) -> bytes:
        """Return the whole body.

        Raises:
            ExchangeError: The response is incomplete or too large.
        """
        parts: list[bytes] = []
        size = 0
        async for part in self.iterate():
            size += len(part)
            if size > max_bytes:
                raise ExchangeError(f"body exceeds {max_bytes} bytes", True)
            parts.append(part)
        return b"".join(parts)

    async def discard_body(self) -> None:
        """Read the rest of a short response, so that its connection is reused.

        The connection is not reused if the body is long, late or broken.
        """
        self.stall_deadline = deadlines.NEVER
        with anyio.move_on_after(DISCARD_TIMEOUT_S):
            try:
                await self.read_body(MAX_DISCARDED_BYTES)
            except ExchangeError as error:
                logs.log_message(
                    "response body dropped",
                    address=self.address,
                    status=self.head.status,
                    reason=str(error),
                )

    def _finish_exchange(self) -> None:
        """Determine whether the connection can be reused."""
        is_done = self._http.our_state is h11.DONE
        is_done = is_done and self._http.their_state is h11.DONE
        trailing_data, _ = self._http.trailing_data
        self.is_reusable = self.is_reusable and is_done and not trailing_data
        if self.is_reusable:
            self._http.start_next_cycle()
            keep_alive_s = _read_keep_alive(self.head)
            self.idle_until = deadlines.after(keep_alive_s)
            self.is_reusable = keep_alive_s > 0.0

    def is_usable(self) -> bool:
        """Return whether an idle connection can be reused."""
        if deadlines.is_past(self.idle_until):
            return False
        return not sockets.is_readable(self._stream)

    async def close(self) -> None:
        """Close immediately, which also tells the peer to stop its work."""
        self.is_reusable = False
        await sockets.abort(self._stream)


def _write_request(connection: h11.Connection, request: Request) -> list[bytes]:
    """Return the bytes of a request in parts; its body is not copied.

    Raises:
        h11.LocalProtocolError: HTTP can't express the request.
    """
    head = h11.Request(
        method=request.method,
        target=request.target,
        headers=list(request.headers),
    )
    parts = [connection.send(head) or b""]
    if request.body:
        data = h11.Data(data=request.body)
        parts += connection.send_with_data_passthrough(data) or ()
    parts.append(connection.send(h11.EndOfMessage()) or b"")
    return parts


def _convert_error(error: Exception) -> ExchangeError:
    return ExchangeError(str(error) or type(error).__name__, True)


def _read_keep_alive(head: Head) -> float:
    """Return for how many seconds an idle connection may be kept."""
    value = head.get(b"keep-alive") or b""
    for part in value.split(b","):
        name, _, seconds = part.strip().partition(b"=")
        if name.lower() == b"timeout" and seconds.isdigit():
            # Unlike int(), float() takes any number of digits.
            return max(0.0, float(seconds) - KEEP_ALIVE_MARGIN_S)
    return DEFAULT_KEEP_ALIVE_S


class Pool:
    """Connection pool by address.

    Attributes:
        opened: Number of connections opened so far.
        pacer: Grants turns to large bodies, of requests and of responses.
    """

    def __init__(self, connect_timeout_s: float) -> None:
        """Initialize an empty pool; see `create_pool`."""
        self._connect_timeout_s = connect_timeout_s
        self._turns = turns_lib.create_turns()
        self.pacer = pacing.create_pacer()
        self._idle_by_address: dict[str, list[Connection]] = {}
        self.opened = 0

    @contextlib.asynccontextmanager
    async def use(
        self, address: str, request_id: str | None = None
    ) -> AsyncIterator[Connection]:
        """Acquire a connection for one exchange and release it afterwards.

        Args:
            address: `host:port` of the peer.
            request_id: The id by which the peer's responses are told apart.
                The connection has not carried a request with this id before.
                None if the peer's responses have no ids.

        Raises:
            ExchangeError: Connecting failed; nothing was sent.
        """
        request_hash = None
        if request_id is not None:
            request_hash = xxhash.xxh3_64_intdigest(request_id.encode())
        connection = await self._acquire(address, request_hash)
        if request_hash is not None:
            connection.request_hashes.add(request_hash)
        try:
            yield connection
        finally:
            connection.on_receive = _do_nothing
            connection.stall_deadline = deadlines.NEVER
            # A late response to a request without an id fits any request.
            is_spent = (
                request_id == ""
                or len(connection.request_hashes) >= MAX_REQUESTS
            )
            can_reuse = connection.is_reusable and not is_spent
            if can_reuse and connection.idle_until:
                self._release(connection)
            else:
                await connection.close()

    async def _acquire(
        self, address: str, request_hash: int | None
    ) -> Connection:
        idle = self._idle_by_address.get(address, [])
        candidates = [
            one for one in idle if request_hash not in one.request_hashes
        ]
        for connection in reversed(candidates):
            if connection not in idle:
                # Taken or closed while another one was being closed.
                continue
            idle.remove(connection)
            if connection.is_usable():
                connection.idle_until = 0.0
                return connection
            await connection.close()
        try:
            stream = await sockets.connect(address, self._connect_timeout_s)
        except OSError as error:
            raise ExchangeError(str(error), False) from error
        self.opened += 1
        return Connection(stream, address, self._turns, self.pacer)

    def _release(self, connection: Connection) -> None:
        idle = self._idle_by_address.setdefault(connection.address, [])
        idle.append(connection)

    async def sweep(self) -> None:
        """Close idle connections that expired or exceed the limit."""
        for address, idle in list(self._idle_by_address.items()):
            kept = [
                connection
                for connection in idle[-MAX_IDLE_PER_ADDRESS:]
                if not deadlines.is_past(connection.idle_until)
            ]
            dropped = [one for one in idle if one not in kept]
            idle[:] = kept
            if not kept:
                del self._idle_by_address[address]
            for connection in dropped:
                await connection.close()

    async def close_address(self, address: str) -> None:
        """Close idle connections to an address."""
        for connection in self._idle_by_address.pop(address, []):
            await connection.close()

    async def close(self) -> None:
        """Close all idle connections."""
        for address in list(self._idle_by_address):
            await self.close_address(address)


def create_pool(connect_timeout_s: float) -> Pool:
    """Create a pool.

    Args:
        connect_timeout_s: Timeout for opening a connection.
    """
    return Pool(connect_timeout_s)
