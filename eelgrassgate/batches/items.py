"""Runs one item at one endpoint, resuming after its last received event."""

from collections.abc import Callable
import enum
from typing import Final

import msgspec

from eelgrassgate import deadlines
from eelgrassgate.batches import records
from eelgrassgate.gateway import calls
from eelgrassgate.gateway import catalog
from eelgrassgate.gateway import draining as draining_lib
from eelgrassgate.gateway import endpoint_limits as endpoint_limits_lib
from eelgrassgate.http1 import downstream
from eelgrassgate.http1 import events
from eelgrassgate.http1 import upstream

# Time without data after which a run is abandoned. Must cover the wait for the
# first event, which queues behind a few requests at the endpoint.
IDLE_TIMEOUT_S: Final = 2.5
# Bound on the bytes that one run of an item may send.
MAX_OUTPUT_BYTES: Final = 4_194_304
# An event id beyond this is no count of events.
MAX_NUMBER_DIGITS: Final = 18
OK: Final = 200
UNPROCESSABLE: Final = 422
INTERNAL_SERVER_ERROR_STATUS: Final = 500


class Outcome(enum.Enum):
    """Result of one run of an item.

    Attributes:
        COMPLETE: The complete output was received.
        FAILED: The endpoint responded with status 500.
        IMPOSSIBLE: The endpoint responded with status 422, or HTTP can't
            express the item; it is not retried.
        NOT_RUN: The endpoint responded that it did not run the item.
        NOT_SENT: The endpoint was unreachable; nothing was sent.
        WITHDRAWN: The endpoint began to drain before anything was sent.
        BROKEN: The response was incomplete or invalid; a retry may succeed.
    """

    COMPLETE = "complete"
    FAILED = "failed"
    IMPOSSIBLE = "impossible"
    NOT_RUN = "not_run"
    NOT_SENT = "not_sent"
    WITHDRAWN = "withdrawn"
    BROKEN = "broken"


class Progress(msgspec.Struct):
    """Output of one item so far, across all of its runs.

    Attributes:
        item: The item.
        event_data: Data of the events received so far, in order.
        last_event: Id of the last event received, empty before the first.
        failures: Number of runs that failed with status 500.
        run_time_s: Total run time so far in seconds.
        failed_endpoints: Ids of the endpoints whose runs failed with status
            500.
        ended_endpoints: Number of endpoints in a row that ended before they
            had produced output for the item.
        prompt_parts: The item's `calls.Call.prompt_parts`.
        output_bytes: Size of `event_data` as JSON.
        oversized_runs: Number of runs whose output was too large.
        part: Number of the stored value in which the item starts.
        place: Its place among the items that start there.
        held_bytes: Memory that the item is charged for.
        is_loaded: Whether `item` has its headers and its body.
    """

    item: calls.BatchItem
    event_data: list[str] = []
    last_event: str = ""
    failures: int = 0
    run_time_s: float = 0.0
    failed_endpoints: set[str] = set()
    ended_endpoints: int = 0
    prompt_parts: tuple[str, ...] | None = None
    output_bytes: int = 0
    oversized_runs: int = 0
    part: int = 0
    place: int = 0
    held_bytes: int = 0
    is_loaded: bool = True

    def discard_oversized(self) -> None:
        """Drop an output too large for a result; the next run starts anew.

        It may be a fault of the endpoint.
        """
        self.discard_output()
        self.oversized_runs += 1

    def discard_output(self) -> None:
        """Drop the output so far; the next run starts anew."""
        self.event_data = []
        self.last_event = ""
        self.output_bytes = 0


async def run(
    pool: upstream.Pool,
    dialect: calls.Dialect,
    endpoint: catalog.Endpoint,
    host: str,
    workspace: str,
    deadline: float,
    progress: Progress,
    record_activity: Callable[[], None],
    endpoint_limits: endpoint_limits_lib.EndpointLimits,
    draining: draining_lib.DrainingEndpoints,
) -> tuple[Outcome, str]:
    """Run an item until it ends or the run fails; updates `progress`.

    Cancelling the calling task closes the connection to the endpoint;
    `progress` keeps the events received until then.

    Returns:
        The outcome and its reason.
    """

    def check_head(head: upstream.Head) -> bool:
        info = dialect.read_response_info(head, progress.item.id)
        if info.is_draining:
            # Late responses to other requests count as well.
            draining.record_response(endpoint)
        return info.is_for_request

    sent_at = deadlines.now()
    try:
        call = _build_call(dialect, progress.item, host, deadline)
        attempt = calls.Attempt(
            endpoint.id, workspace, deadline, progress.last_event or None
        )
        request = dialect.write_attempt(call, attempt)
        with draining.watch(endpoint) as end_watch:
            async with pool.use(endpoint.address, call.id) as connection:
                connection.on_receive = record_activity
                end_watch()
                connection.stall_deadline = deadlines.after(IDLE_TIMEOUT_S)
                await connection.start(request, check_head)
                info = dialect.read_response_info(connection.head, call.id)
                if not info.is_misdirected:
                    endpoint_limits.record_response(
                        endpoint.id, info.limit_per_s, sent_at
                    )
                return await _read_response(info, connection, progress)
    except upstream.InvalidRequestError as error:
        return Outcome.IMPOSSIBLE, str(error)
    except upstream.ExchangeError as error:
        if error.was_sent:
            return Outcome.BROKEN, str(error)
        endpoint_limits.record_unreachable(
            endpoint,
            has_ended=isinstance(error.__cause__, ConnectionRefusedError),
        )
        return Outcome.NOT_SENT, str(error)
    except draining_lib.EndpointDrainingError as error:
        return Outcome.WITHDRAWN, str(error)
    except upstream.StalledError:
        return Outcome.BROKEN, "idle timeout"


def read_prompt_parts(
    dialect: calls.Dialect, item: calls.BatchItem
) -> tuple[str, ...]:
    """Return `calls.Call.prompt_parts` of an item."""
    try:
        return dialect.read_prompt_parts(_encode_headers(item))
    except upstream.InvalidRequestError:
        return ()


def _encode_headers(item: calls.BatchItem) -> upstream.Headers:
    return tuple(
        (_encode(name.lower()), _encode(value))
        for name, value in item.headers.items()
    )


def _encode(text: str) -> bytes:
    try:
        return text.encode("latin-1")
    except UnicodeEncodeError as error:
        raise upstream.InvalidRequestError(str(error)) from error


def _build_call(
    dialect: calls.Dialect, item: calls.BatchItem, host: str, deadline: float
) -> calls.Call:
    headers = (
        (b"host", _encode(host)),
        (b"request-id", _encode(item.id)),
        *dialect.filter_item_headers(_encode_headers(item)),
    )
    return calls.Call(
        item.id,
        b"POST",
        _encode(item.path),
        host,
        item.path.partition("?")[0],
        None,
        headers,
        downstream.Body(item.body),
        deadline,
        dialect.read_prompt_parts(headers),
    )


async def _read_response(
    info: calls.ResponseInfo,
    connection: upstream.Connection,
    progress: Progress,
) -> tuple[Outcome, str]:
    """Read a response and append its events to `progress`.

    Raises:
        upstream.ExchangeError: The connection failed before the response
            was complete.
        upstream.StalledError: The endpoint exceeded the idle timeout.
    """
    head = connection.head
    if info.has_not_run:
        await connection.discard_body()
        return Outcome.NOT_RUN, f"status {head.status}"
    if head.status != OK or not info.is_signed:
        await connection.discard_body()
        if head.status == UNPROCESSABLE:
            return Outcome.IMPOSSIBLE, "status 422"
        if head.status == INTERNAL_SERVER_ERROR_STATUS:
            return Outcome.FAILED, "status 500"
        return Outcome.BROKEN, f"status {head.status}"
    splitter = events.Splitter()
    received_bytes = 0
    async for part in connection.iterate(events.MAX_PART_BYTES):
        received_bytes += len(part)
        if received_bytes > MAX_OUTPUT_BYTES:
            return Outcome.BROKEN, f"output exceeds {MAX_OUTPUT_BYTES} bytes"
        try:
            complete_events = splitter.feed(part)
        except events.EventTooLargeError as error:
            return Outcome.BROKEN, str(error)
        if complete_events:
            connection.stall_deadline = deadlines.after(IDLE_TIMEOUT_S)
        for event in complete_events:
            if not _is_text(event):
                return Outcome.BROKEN, "event is no valid text"
            if not _is_next_event(progress.last_event, event.id):
                return Outcome.BROKEN, f"event {event.id} is out of order"
            if event.data is not None:
                size = records.measure_text(event.data)
                if progress.output_bytes + size > records.MAX_TEXT_BYTES:
                    progress.discard_oversized()
                    return Outcome.BROKEN, "output is too large for a result"
                progress.output_bytes += size
                progress.event_data.append(event.data)
            progress.last_event = event.id or progress.last_event
    if not progress.last_event and not progress.event_data:
        return Outcome.BROKEN, "stream ended before the first event"
    if splitter.has_partial_event():
        return Outcome.BROKEN, "stream ended within an event"
    return Outcome.COMPLETE, ""


def _is_text(event: events.Event) -> bool:
    """Return whether an event can be stored, and its id sent in a header."""
    text = event.id + (event.data or "")
    try:
        text.encode()
    except UnicodeEncodeError:
        return False
    return event.id.isprintable() and event.id == event.id.strip()


def _is_next_event(last_id: str, event_id: str) -> bool:
    """Return whether an event id follows the last one without a gap.

    Ids that are not decimal numbers are not checked.
    """
    last = _parse_number(last_id)
    number = _parse_number(event_id)
    return last is None or number is None or number == last + 1


def _parse_number(event_id: str) -> int | None:
    """Return an event id as a number; None if it is none of a usual size."""
    if len(event_id) > MAX_NUMBER_DIGITS or not event_id.isascii():
        return None
    return int(event_id) if event_id.isdigit() else None


def compute_deadline(kept_until: float, wall_time: float) -> float:
    """Return the deadline of an item on the monotonic clock.

    Args:
        kept_until: Wall-clock deadline in seconds.
        wall_time: Current wall-clock time in seconds.
    """
    return deadlines.after(max(0.0, kept_until - wall_time))
