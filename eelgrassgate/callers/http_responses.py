"""Converts endpoint responses to HTTP, buffered or streamed."""

from collections.abc import AsyncIterator
from collections.abc import Awaitable
from collections.abc import Callable
import contextlib
from typing import Final

import anyio
from starlette import requests
from starlette import responses

from eelgrassgate import deadlines
from eelgrassgate import messages
from eelgrassgate import outcomes
from eelgrassgate.callers import base
from eelgrassgate.callers import errors

EVENT_TYPE: Final = "text/event-stream"
MIN_ERROR_STATUS: Final = 400
# Nginx's status for a connection that the client closed; it is never sent.
CLIENT_CLOSED_REQUEST_STATUS: Final = 499


class Meter:
    """Records latencies and refusals of requests."""

    def __init__(self, recorder: base.Recorder) -> None:
        """Create a meter that reports to `recorder`."""
        self._recorder = recorder

    async def measure(
        self,
        principal: base.Principal,
        klass: outcomes.RequestClass,
        stream: AsyncIterator[base.ResponseMessage],
    ) -> AsyncIterator[base.ResponseMessage]:
        """Yield the messages of `stream`; record latencies and refusals."""
        start = last = deadlines.now()
        has_first = False
        async with contextlib.aclosing(stream):  # type: ignore[type-var]
            async for message in stream:
                now = deadlines.now()
                if isinstance(message, messages.Data):
                    name = "between_tokens" if has_first else "first_token"
                    self._record_time(name, principal, klass, now - last)
                    has_first = True
                    last = now
                elif isinstance(message, messages.Refused):
                    name = f"refused.{message.refusal.code.value}"
                    self._recorder.count(name, principal.workspace)
                elif isinstance(message, messages.End):
                    self._record_time("whole", principal, klass, now - start)
                yield message

    def _record_time(
        self,
        name: str,
        principal: base.Principal,
        klass: outcomes.RequestClass,
        seconds: float,
    ) -> None:
        self._recorder.time(name, principal.workspace, klass, seconds)


async def collect(
    request: requests.Request,
    stream: AsyncIterator[base.ResponseMessage],
    *,
    is_repeatable: bool = True,
) -> responses.Response:
    """Return the buffered response; cancel if the client disconnects."""
    response: responses.Response | None = None

    async def run_collect() -> None:
        nonlocal response
        response = await _collect_messages(stream, is_repeatable=is_repeatable)

    await _run_while_connected(request, run_collect)
    return response or responses.Response(
        status_code=CLIENT_CLOSED_REQUEST_STATUS
    )


async def stream_events(
    stream: AsyncIterator[base.ResponseMessage],
) -> responses.Response:
    """Return server-sent events, or an error if the first message is one."""
    head = await anext(stream)
    if isinstance(head, messages.Refused):
        return errors.create_response(head.refusal)
    if isinstance(head, messages.Head) and head.status >= MIN_ERROR_STATUS:
        return await _collect_messages(stream, head=head)
    return responses.StreamingResponse(
        _frame_events(stream), media_type=EVENT_TYPE
    )


async def _frame_events(
    stream: AsyncIterator[base.ResponseMessage],
) -> AsyncIterator[bytes]:
    async with contextlib.aclosing(stream):  # type: ignore[type-var]
        async for message in stream:
            if isinstance(message, messages.Data):
                yield b"data: " + message.data + b"\n\n"
            elif isinstance(message, messages.Refused):
                yield b"data: " + errors.encode(message.refusal) + b"\n\n"


async def _collect_messages(
    stream: AsyncIterator[base.ResponseMessage],
    *,
    head: messages.Head | None = None,
    is_repeatable: bool = True,
) -> responses.Response:
    data: list[bytes] = []
    async with contextlib.aclosing(stream):  # type: ignore[type-var]
        async for message in stream:
            if isinstance(message, messages.Refused):
                return errors.create_response(
                    message.refusal, is_repeatable=is_repeatable
                )
            if isinstance(message, messages.Head):
                head = message
            elif isinstance(message, messages.Data):
                data.append(message.data)
    if head is None:
        refusal = outcomes.refuse_unknown(
            outcomes.Code.ENDPOINT_FAILED,
            "The endpoint's response had no status.",
        )
        return errors.create_response(refusal, is_repeatable=is_repeatable)
    return responses.Response(
        b"".join(data), head.status, media_type=head.content_type
    )


async def _run_while_connected(
    request: requests.Request, work: Callable[[], Awaitable[None]]
) -> None:
    async with anyio.create_task_group() as tasks:

        async def watch() -> None:
            while True:
                message = await request.receive()
                if message["type"] == "http.disconnect":
                    tasks.cancel_scope.cancel()
                    return

        tasks.start_soon(watch)
        await work()
        tasks.cancel_scope.cancel()
