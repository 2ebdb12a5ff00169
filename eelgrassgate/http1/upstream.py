"""Client connections that tell what is known of a failed exchange."""

from collections.abc import AsyncIterator
from collections.abc import Callable
import contextlib
from typing import Final

import anyio
from anyio import abc
import h11
import msgspec

from eelgrassgate import deadlines
from eelgrassgate.http1 import sockets

Headers = tuple[tuple[bytes, bytes], ...]

READ_BYTES: Final = 65_536
# Kept connections are given up this long before the peer said it would.
IDLE_MARGIN_S: Final = 1.0
# Idle time that is safe where the peer names none.
IDLE_S: Final = 4.0
# Idle connections kept to one address; a few requests run at once there.
IDLE_PER_ADDRESS: Final = 16


class Request(msgspec.Struct, frozen=True):
    """A request to send, whole."""

    method: bytes
    target: bytes
    headers: Headers
    body: bytes


class Head(msgspec.Struct, frozen=True):
    """The head of a response; header names are in lower case."""

    status: int
    headers: Headers

    def get(self, name: bytes) -> bytes | None:
        """Return a header's value."""
        for key, value in self.headers:
            if key == name:
                return value
        return None


class ExchangeError(Exception):
    """An exchange that broke off.

    Attributes:
        was_sent: Whether any byte of the request may have reached the peer.
    """

    def __init__(self, message: str, was_sent: bool) -> None:
        """Create with what is known."""
        super().__init__(message)
        self.was_sent = was_sent


_BROKEN: Final = (
    OSError,
    h11.RemoteProtocolError,
    anyio.BrokenResourceError,
    anyio.ClosedResourceError,
)

IsOurs = Callable[[Head], bool]


def _ignore() -> None:
    """Stand where nobody asks when bytes came."""


class Connection:
    """One client connection; runs one exchange at a time."""

    def __init__(self, stream: abc.SocketStream, address: str) -> None:
        """Wrap an open stream."""
        self.address = address
        self.idle_until = 0.0
        self.is_reusable = False
        self.on_receive: Callable[[], None] = _ignore
        self._stream = stream
        self._http = h11.Connection(h11.CLIENT)
        self.head = Head(0, ())

    async def start(self, request: Request, is_ours: IsOurs) -> None:
        """Send a request and read the head of its response.

        Responses for which `is_ours` is false are late ones to an earlier
        request and are dropped.

        Raises:
            ExchangeError: The connection failed before the head.
        """
        self.is_reusable = False
        failure: ExchangeError | None = None
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._send, request)
            try:
                await self._read_head(request, is_ours)
            except _BROKEN as error:
                failure = _break(error)
            # The peer may answer before it has read a long body; it gets no
            # more of it, and the connection is not used again.
            tasks.cancel_scope.cancel()
        if failure is not None:
            raise failure

    async def _send(self, request: Request) -> None:
        head = h11.Request(
            method=request.method,
            target=request.target,
            headers=list(request.headers),
        )
        data = self._http.send(head) or b""
        if request.body:
            data += self._http.send(h11.Data(data=request.body)) or b""
        data += self._http.send(h11.EndOfMessage()) or b""
        try:
            await self._stream.send(data)
        except _BROKEN:
            # Whoever reads the response learns of it, if there is none.
            return
        self.is_reusable = True

    async def _read_head(self, request: Request, is_ours: IsOurs) -> None:
        while True:
            event = await self._next()
            if isinstance(event, h11.InformationalResponse):
                continue
            if not isinstance(event, h11.Response):
                raise h11.RemoteProtocolError("no response")
            self.head = Head(event.status_code, tuple(event.headers))
            if is_ours(self.head):
                return
            await self._skip(request)

    async def _skip(self, request: Request) -> None:
        """Drop a whole response and wait for the next on the connection."""
        while not isinstance(await self._next(), h11.EndOfMessage):
            pass
        left, is_closed = self._http.trailing_data
        if is_closed:
            raise h11.RemoteProtocolError("closed after another's response")
        # The request is out already; a new state machine is told so.
        self._http = h11.Connection(h11.CLIENT)
        self._http.send(
            h11.Request(
                method=request.method,
                target=request.target,
                headers=list(request.headers),
            )
        )
        if request.body:
            self._http.send(h11.Data(data=request.body))
        self._http.send(h11.EndOfMessage())
        if left:
            self._http.receive_data(left)

    async def _next(self) -> object:
        while True:
            event = self._http.next_event()
            if event is not h11.NEED_DATA:
                return event
            try:
                data = await self._stream.receive(READ_BYTES)
            except anyio.EndOfStream:
                data = b""
            self.on_receive()
            self._http.receive_data(data)

    async def iterate(self) -> AsyncIterator[bytes]:
        """Yield the body; ends only where the response is complete.

        Raises:
            ExchangeError: The response broke off.
        """
        while True:
            try:
                event = await self._next()
            except _BROKEN as error:
                raise _break(error) from error
            if isinstance(event, h11.Data):
                yield bytes(event.data)
            elif isinstance(event, h11.EndOfMessage):
                self._settle()
                return
            else:
                raise ExchangeError("the response broke off", True)

    def _settle(self) -> None:
        """Note whether the connection may serve another exchange."""
        is_done = self._http.our_state is h11.DONE
        is_done = is_done and self._http.their_state is h11.DONE
        left, _ = self._http.trailing_data
        self.is_reusable = self.is_reusable and is_done and not left
        if self.is_reusable:
            self._http.start_next_cycle()
            kept_s = _read_keep_alive(self.head)
            self.idle_until = deadlines.after(kept_s)
            self.is_reusable = kept_s > 0.0

    def is_fresh(self) -> bool:
        """Tell whether an idle connection can be used once more."""
        if deadlines.is_past(self.idle_until):
            return False
        return not sockets.has_input(self._stream)

    async def close(self) -> None:
        """Close at once; a peer at work on the request sees it."""
        self.is_reusable = False
        await sockets.abort(self._stream)


def _break(error: Exception) -> ExchangeError:
    return ExchangeError(str(error) or type(error).__name__, True)


def _read_keep_alive(head: Head) -> float:
    """Return how long in seconds an idle connection may be kept."""
    value = head.get(b"keep-alive") or b""
    for part in value.split(b","):
        name, _, seconds = part.strip().partition(b"=")
        if name.lower() == b"timeout" and seconds.isdigit():
            return max(0.0, int(seconds) - IDLE_MARGIN_S)
    return IDLE_S


class Pool:
    """Kept connections by address."""

    def __init__(self, connect_timeout_s: float) -> None:
        """Create an empty pool; see `create_pool`."""
        self._connect_timeout_s = connect_timeout_s
        self._idle_by_address: dict[str, list[Connection]] = {}
        self.opened = 0

    @contextlib.asynccontextmanager
    async def use(
        self, address: str, *, needs_new: bool = False
    ) -> AsyncIterator[Connection]:
        """Give a connection for one exchange; keep it if it can be reused.

        Raises:
            ExchangeError: No connection could be made; nothing was sent.
        """
        connection = await self._take(address, needs_new)
        try:
            yield connection
        finally:
            connection.on_receive = _ignore
            if connection.is_reusable and connection.idle_until:
                self._keep(connection)
            else:
                await connection.close()

    async def _take(self, address: str, needs_new: bool) -> Connection:
        idle = self._idle_by_address.get(address, [])
        while idle and not needs_new:
            connection = idle.pop()
            if connection.is_fresh():
                connection.idle_until = 0.0
                return connection
            await connection.close()
        try:
            stream = await sockets.connect(address, self._connect_timeout_s)
        except OSError as error:
            raise ExchangeError(str(error), False) from error
        self.opened += 1
        return Connection(stream, address)

    def _keep(self, connection: Connection) -> None:
        idle = self._idle_by_address.setdefault(connection.address, [])
        idle.append(connection)

    async def sweep(self) -> None:
        """Close connections that were idle too long or too many."""
        for address, idle in list(self._idle_by_address.items()):
            kept = [
                connection
                for connection in idle[-IDLE_PER_ADDRESS:]
                if not deadlines.is_past(connection.idle_until)
            ]
            dropped = [one for one in idle if one not in kept]
            idle[:] = kept
            if not kept:
                del self._idle_by_address[address]
            for connection in dropped:
                await connection.close()

    async def drop(self, address: str) -> None:
        """Close idle connections to an address that is not to be used."""
        for connection in self._idle_by_address.pop(address, []):
            await connection.close()

    async def close(self) -> None:
        """Close all idle connections."""
        for address in list(self._idle_by_address):
            await self.drop(address)


def create_pool(connect_timeout_s: float) -> Pool:
    """Create a pool.

    Args:
        connect_timeout_s: Longest that making a connection may take.
    """
    return Pool(connect_timeout_s)
