"""A small stand-in of the users' endpoints, with faults on demand.

It answers as a model engine: a stream of numbered events for each request,
with a checksum in the head. `Script` says what goes wrong.
"""

import hashlib
from typing import Final

import anyio
from anyio import abc
import msgspec

from eelgrassgate.http1 import downstream

OK: Final = 200
MISDIRECTED: Final = 421
UNAVAILABLE: Final = 503


class Behavior(msgspec.Struct):
    """How requests are answered from now on.

    Attributes:
        events: How many events an answer has.
        gap_s: Pause before each event.
        status: The status of an answer.
        is_full: Whether requests are refused as not run.
        cut_after: Break off after so many events, in the middle of the next.
        is_silent: Whether requests run and are never answered.
        is_unsigned: Whether answers lack their checksum.
        is_unnumbered_late: Whether a late answer to another request comes
            before the right one.
    """

    events: int = 4
    event_delay_s: float = 0.0
    status: int = OK
    is_overloaded: bool = False
    abort_after_events: int | None = None
    is_unresponsive: bool = False
    is_unsigned: bool = False
    has_late_response: bool = False


class Run(msgspec.Struct):
    """One request that ran.

    Attributes:
        incoming: The request as it arrived.
        first: Number of its first event.
        status: The status of its answer.
        is_ended: Whether it ended by itself.
    """

    incoming: downstream.Incoming
    first: int
    status: int = OK
    is_ended: bool = False

    @property
    def id(self) -> str:
        """The request's id."""
        return (self.incoming.get(b"request-id") or b"").decode()


class Endpoint:
    """One endpoint.

    Attributes:
        script: How it answers.
        runs: What ran.
        address: `host:port`, once it is served.
    """

    def __init__(self, name: str) -> None:
        """Create an endpoint that answers well."""
        self.name = name
        self.behavior = Behavior()
        self.runs: list[Run] = []
        self.address = ""

    async def serve(
        self, *, task_status: abc.TaskStatus[None] = anyio.TASK_STATUS_IGNORED
    ) -> None:
        """Serve on a free loopback port until cancelled."""
        listener = downstream.Listener(
            downstream.Limits, self._handle, lambda: False
        )
        async with anyio.create_task_group() as tasks:
            await tasks.start(listener.run)
            port = await tasks.start(listener.serve, "127.0.0.1:0")
            self.address = f"127.0.0.1:{port}"
            task_status.started()
            await anyio.sleep_forever()

    async def _handle(
        self, incoming: downstream.Incoming, responder: downstream.Responder
    ) -> None:
        behavior = self.behavior
        call = incoming.get(b"request-id") or b""
        expected = incoming.get(b"expect-instance")
        if expected is not None and expected.decode() != self.name:
            await responder.reply(MISDIRECTED)
            return
        if behavior.is_overloaded:
            await responder.reply(UNAVAILABLE, [(b"not-executed", b"1")])
            return
        first = int(incoming.get(b"last-event-id") or b"0") + 1
        run = Run(incoming, first, behavior.status)
        self.runs.append(run)
        if behavior.is_unresponsive:
            await anyio.sleep_forever()
        headers = [(b"request-id", call)]
        if not behavior.is_unsigned:
            headers.append((b"response-signature", _sign(incoming.body)))
        if behavior.status != OK:
            run.is_ended = True
            await responder.reply(behavior.status, headers)
            return
        if behavior.has_late_response:
            behavior.has_late_response = False
            await responder.send_raw(
                b"HTTP/1.1 200 OK\r\nrequest-id: another\r\n"
                b"content-length: 4\r\n\r\nlate"
            )
        await responder.begin(OK, headers)
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


def write_event(number: int) -> bytes:
    """Return the event of that number."""
    return b"id: %d\ndata: word-%d\n\n" % (number, number)


def write_stream(events: int) -> bytes:
    """Return a whole stream."""
    return b"".join(write_event(number) for number in range(1, events + 1))


def _sign(body: bytes) -> bytes:
    return hashlib.sha256(body).hexdigest()[:8].encode()


def create_endpoint(name: str) -> Endpoint:
    """Create an endpoint that answers to `name`."""
    return Endpoint(name)
