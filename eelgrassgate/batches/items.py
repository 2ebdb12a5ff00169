"""Runs one item at one endpoint, from where it stopped before."""

from collections.abc import Callable
import enum
from typing import Final

import msgspec

from eelgrassgate import deadlines
from eelgrassgate.gateway import calls
from eelgrassgate.gateway import catalog
from eelgrassgate.http1 import events
from eelgrassgate.http1 import idle_timeout
from eelgrassgate.http1 import upstream

# An endpoint that says nothing for so long is left; the first event may wait
# for a few requests ahead.
SILENCE_S: Final = 2.5
OK: Final = 200
UNPROCESSABLE: Final = 422
SERVER_ERROR: Final = 500


class Outcome(enum.Enum):
    """How a run ended."""

    COMPLETE = "complete"
    FAILED = "failed"
    IMPOSSIBLE = "impossible"
    NOT_RUN = "not_run"
    NOT_SENT = "not_sent"
    BROKEN = "broken"


class Progress(msgspec.Struct):
    """What is known of one item's output.

    Attributes:
        item: The item.
        texts: Data of the events so far, in order.
        last_event: Id of the last one, empty before the first.
        failures: How many runs ended in the endpoint's own failure.
        ran_s: Seconds for which it has run so far.
        failed_at: Endpoints that have failed it.
    """

    item: calls.BatchItem
    texts: list[str] = []
    last_event: str = ""
    failures: int = 0
    ran_s: float = 0.0
    failed_at: set[str] = set()


async def run(
    pool: upstream.Pool,
    dialect: calls.Dialect,
    endpoint: catalog.Endpoint,
    host: str,
    workspace: str,
    deadline: float,
    progress: Progress,
    note_heard: Callable[[], None],
) -> tuple[Outcome, str]:
    """Run an item to its end or until the run breaks; adds to `progress`.

    When the waiting task is cancelled, the endpoint sees the connection
    close, and `progress` holds what has arrived.

    Returns:
        How it ended, and why.
    """
    call = _make_call(progress.item, host, deadline)
    attempt = calls.Attempt(
        endpoint.id, workspace, deadline, progress.last_event or None
    )
    request = dialect.write_attempt(call, attempt)
    try:
        async with pool.use(endpoint.address) as connection:
            connection.on_receive = note_heard
            with idle_timeout.fail_when_idle(SILENCE_S) as note:
                await connection.start(
                    request,
                    lambda head: (
                        dialect.read_response_info(head, call.id).is_for_request
                    ),
                )
                return await _read(dialect, connection, note, progress)
    except upstream.ExchangeError as error:
        outcome = Outcome.BROKEN if error.was_sent else Outcome.NOT_SENT
        return outcome, str(error)
    except TimeoutError:
        return Outcome.BROKEN, "silent"


def _make_call(item: calls.BatchItem, host: str, deadline: float) -> calls.Call:
    headers = [(b"host", host.encode("latin-1"))]
    headers.append((b"request-id", item.id.encode("latin-1")))
    headers.extend(
        (name.lower().encode("latin-1"), value.encode("latin-1"))
        for name, value in item.headers.items()
    )
    return calls.Call(
        item.id,
        b"POST",
        item.path.encode("latin-1"),
        host,
        item.path.partition("?")[0],
        None,
        tuple(headers),
        item.body,
        deadline,
    )


async def _read(
    dialect: calls.Dialect,
    connection: upstream.Connection,
    note: Callable[[float], None],
    progress: Progress,
) -> tuple[Outcome, str]:
    """Read an answer.

    Raises:
        upstream.ExchangeError: It broke off.
    """
    head = connection.head
    verdict = dialect.read_response_info(head, progress.item.id)
    if verdict.has_not_run:
        await _drain(connection)
        return Outcome.NOT_RUN, f"status {head.status}"
    if head.status != OK or not verdict.is_signed:
        await _drain(connection)
        if head.status == UNPROCESSABLE:
            return Outcome.IMPOSSIBLE, "status 422"
        if head.status == SERVER_ERROR:
            return Outcome.FAILED, "status 500"
        return Outcome.BROKEN, f"status {head.status}"
    splitter = events.Splitter()
    async for part in connection.iterate():
        note(SILENCE_S)
        for event in splitter.feed(part):
            if not _is_next(progress.last_event, event.id):
                return Outcome.BROKEN, f"event {event.id} is out of order"
            progress.last_event = event.id or progress.last_event
            if event.data is not None:
                progress.texts.append(event.data)
    if splitter.has_partial_event():
        return Outcome.BROKEN, "the stream ended in an event"
    return Outcome.COMPLETE, ""


def _is_next(known: str, event: str) -> bool:
    """Tell whether an event follows the last one without a gap."""
    if not (known.isdigit() and event.isdigit()):
        return True
    return int(event) == int(known) + 1


async def _drain(connection: upstream.Connection) -> None:
    async for _ in connection.iterate():
        pass


def compute_deadline(kept_until: float, wall: float) -> float:
    """Return the local instant at which an item is given up.

    Args:
        kept_until: Wall-clock instant in seconds.
        wall: The present wall-clock instant.
    """
    return deadlines.after(max(0.0, kept_until - wall))
