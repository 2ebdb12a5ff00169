"""A simulated endpoint of the platform, with fault injection.

Like a model engine, it responds with a stream of numbered events and a
checksum of the request in a header. `Behavior` selects the faults.
"""

import enum
import hashlib
from typing import Final

import anyio
from anyio import abc
import msgspec

from eelgrassgate.http1 import downstream

OK_STATUS: Final = 200
MISDIRECTED_STATUS: Final = 421
UNAVAILABLE_STATUS: Final = 503
RESET_DELAY_S: Final = 0.05


class UnframedEnd(enum.Enum):
    """How the connection ends after a response without length and chunks.

    Attributes:
        CLOSE: It is closed after the last event.
        CLOSE_WITHIN_EVENT: It is closed within the event that follows
            `Behavior.abort_after_events`.
        RESET: It is reset after `Behavior.abort_after_events`.
    """

    CLOSE = "close"
    CLOSE_WITHIN_EVENT = "close_within_event"
    RESET = "reset"


class Behavior(msgspec.Struct):
    """How an endpoint responds to requests.

    Attributes:
        events: Number of events of a response.
        event_delay_s: Delay before each event.
        status: HTTP status of a response.
        is_overloaded: Whether requests are rejected as not executed.
        abort_after_events: Number of events after which the response is
            aborted, in the middle of the next event.
        is_unresponsive: Whether requests run and get no response.
        is_unsigned: Whether responses lack the checksum.
        has_late_response: Whether a late response to another request
            precedes the next response.
        late_headers: Header lines of that late response.
        copied_refusals: Number of requests that are rejected as not executed;
            a copy of the last refusal precedes the next response.
        endless: Bytes to send first, and bytes to send then again and again
            until the caller closes; None for complete responses.
        endless_delay_s: Delay before each of the repeated bytes.
        limit_per_s: The limit that responses name, in requests a second; None
            for none.
        unframed_end: How a response without length and chunks ends; None for
            framed responses.
        is_draining: Whether all responses state that the endpoint drains.
        crashing_part: Id of the prompt part under which the endpoint ends as
            soon as it has sent the head of its response; None for none.
        crashing_body: Body of a request under which it ends likewise; None
            for none.
        raw: Bytes to send instead of a response, after which the connection
            ends as `unframed_end` says; None for none.
    """

    events: int = 4
    event_delay_s: float = 0.0
    status: int = OK_STATUS
    is_overloaded: bool = False
    abort_after_events: int | None = None
    is_unresponsive: bool = False
    is_unsigned: bool = False
    has_late_response: bool = False
    late_headers: bytes = b""
    copied_refusals: int = 0
    endless: tuple[bytes, bytes] | None = None
    endless_delay_s: float = 0.0
    limit_per_s: float | None = None
    unframed_end: UnframedEnd | None = None
    is_draining: bool = False
    crashing_part: str | None = None
    crashing_body: bytes | None = None
    raw: bytes | None = None


class Run(msgspec.Struct):
    """A request that ran.

    Attributes:
        incoming: The request.
        first: Number of the first event of the response.
        status: HTTP status of the response.
        is_ended: Whether the response was sent completely.
    """

    incoming: downstream.IncomingRequest
    first: int
    status: int = OK_STATUS
    is_ended: bool = False

    @property
    def id(self) -> str:
        """The request's id."""
        return (self.incoming.get(b"request-id") or b"").decode()

    @property
    def parts(self) -> list[str]:
        """The ids of all parts of the request's prompt."""
        prefix = (self.incoming.get(b"prompt-prefix") or b"").decode()
        return [part.partition(":")[0] for part in prefix.split(",")]


class Endpoint:
    """A simulated endpoint.

    Attributes:
        behavior: How it responds.
        runs: The requests that ran.
        address: `host:port`, once it is served.
        endless_calls: Number of endless responses being sent.
        endless_bytes: Bytes of endless responses sent so far.
        has_crashed: Whether it has ended by a request.
    """

    def __init__(self, name: str) -> None:
        """Create an endpoint without faults."""
        self.name = name
        self.behavior = Behavior()
        self.runs: list[Run] = []
        self.address = ""
        self.endless_calls = 0
        self.endless_bytes = 0
        self.has_crashed = False
        self._crash = anyio.Event()
        self._refusal_copy = b""

    async def serve(
        self, *, task_status: abc.TaskStatus[None] = anyio.TASK_STATUS_IGNORED
    ) -> None:
        """Serve on a free loopback port until it crashes or is cancelled."""
        listener = downstream.Listener(
            downstream.Limits, self._handle, lambda: False
        )
        async with anyio.create_task_group() as tasks:
            await tasks.start(listener.run)
            port = await tasks.start(listener.serve, "127.0.0.1:0")
            self.address = f"127.0.0.1:{port}"
            task_status.started()
            await self._crash.wait()
            self.has_crashed = True
            tasks.cancel_scope.cancel()

    async def _handle(
        self,
        incoming: downstream.IncomingRequest,
        responder: downstream.Responder,
    ) -> None:
        behavior = self.behavior
        call = incoming.get(b"request-id") or b""
        common = [(b"server-leaving", b"1")] if behavior.is_draining else []
        expected = incoming.get(b"expect-instance")
        if expected is not None and expected.decode() != self.name:
            await responder.reply(MISDIRECTED_STATUS, common)
            return
        if behavior.copied_refusals:
            behavior.copied_refusals -= 1
            refusal = [*common, (b"request-id", call), (b"not-executed", b"1")]
            self._refusal_copy = (
                b"HTTP/1.1 503 Unavailable\r\n"
                + _write_headers(refusal)
                + b"content-length: 0\r\n\r\n"
            )
            await responder.reply(UNAVAILABLE_STATUS, refusal)
            return
        if behavior.is_overloaded:
            await responder.reply(
                UNAVAILABLE_STATUS, [*common, (b"not-executed", b"1")]
            )
            return
        if behavior.endless is not None:
            await self._send_endless(*behavior.endless, responder)
            return
        copy, self._refusal_copy = self._refusal_copy, b""
        await responder.send_raw(copy)
        first = int(incoming.get(b"last-event-id") or b"0") + 1
        run = Run(incoming, first, behavior.status)
        self.runs.append(run)
        if behavior.is_unresponsive:
            await anyio.sleep_forever()
        if behavior.raw is not None:
            await responder.send_raw(behavior.raw)
            await self._end_connection(responder)
            return
        headers = [*common, (b"request-id", call)]
        if not behavior.is_unsigned:
            headers.append((b"response-signature", _sign(incoming.body)))
        if behavior.limit_per_s is not None:
            headers.append((b"server-limit", b"%.3f" % behavior.limit_per_s))
        if behavior.status != OK_STATUS:
            run.is_ended = True
            await responder.reply(behavior.status, headers)
            return
        if behavior.has_late_response:
            behavior.has_late_response = False
            await responder.send_raw(
                b"HTTP/1.1 200 OK\r\nrequest-id: another\r\n"
                + behavior.late_headers
                + b"content-length: 4\r\n\r\nlate"
            )
        if behavior.unframed_end is not None:
            await self._send_unframed(run, headers, responder)
            return
        await responder.begin(OK_STATUS, headers)
        is_crashing = incoming.body == behavior.crashing_body or (
            behavior.crashing_part in run.parts
        )
        if is_crashing:
            self._crash.set()
            await anyio.sleep_forever()
        for number in range(first, behavior.events + 1):
            await anyio.sleep(behavior.event_delay_s)
            if (
                behavior.abort_after_events is not None
                and number > behavior.abort_after_events
            ):
                await responder.send(b"id: %d\nda" % number)
                responder.is_closing = True
                return
            await responder.send(write_event(number))
        await responder.finish()
        run.is_ended = True

    async def _send_unframed(
        self,
        run: Run,
        headers: list[tuple[bytes, bytes]],
        responder: downstream.Responder,
    ) -> None:
        """Send a response that ends with its connection."""
        behavior = self.behavior
        lines = _write_headers(headers)
        await responder.send_raw(b"HTTP/1.1 200 OK\r\n" + lines + b"\r\n")
        last = behavior.events
        if behavior.unframed_end is not UnframedEnd.CLOSE:
            last = behavior.abort_after_events or 0
        for number in range(run.first, last + 1):
            await anyio.sleep(behavior.event_delay_s)
            await responder.send_raw(write_event(number))
        if behavior.unframed_end is UnframedEnd.CLOSE_WITHIN_EVENT:
            await responder.send_raw(b"id: %d\nda" % (last + 1))
        await self._end_connection(responder)
        run.is_ended = behavior.unframed_end is UnframedEnd.CLOSE

    async def _end_connection(self, responder: downstream.Responder) -> None:
        if self.behavior.unframed_end is UnframedEnd.RESET:
            # Lets the caller read what was sent.
            await anyio.sleep(RESET_DELAY_S)
            await responder.reset()
        responder.is_closing = True

    async def _send_endless(
        self, start: bytes, repeated: bytes, responder: downstream.Responder
    ) -> None:
        """Send bytes until the caller closes its connection.

        Raises:
            downstream.ClientDisconnectedError: The caller closed it.
        """
        self.endless_calls += 1
        try:
            await responder.send_raw(start)
            while True:
                await responder.send_raw(repeated)
                self.endless_bytes += len(repeated)
                await anyio.sleep(self.behavior.endless_delay_s)
        finally:
            self.endless_calls -= 1


def write_event(number: int) -> bytes:
    """Return the encoded event `number`."""
    return b"id: %d\ndata: word-%d\n\n" % (number, number)


def write_stream(events: int) -> bytes:
    """Return the encoded stream of `events` events."""
    return b"".join(write_event(number) for number in range(1, events + 1))


def _write_headers(headers: list[tuple[bytes, bytes]]) -> bytes:
    return b"".join(b"%b: %b\r\n" % header for header in headers)


def _sign(body: bytes) -> bytes:
    return hashlib.sha256(body).hexdigest()[:8].encode()


def create_endpoint(name: str) -> Endpoint:
    """Create an endpoint with the instance name `name`."""
    return Endpoint(name)
