"""Answers from endpoints as HTTP responses, whole or streamed."""

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
FIRST_ERROR_STATUS: Final = 400
# Nobody reads it: the caller has left.
LEFT_STATUS: Final = 499


class Meter:
    """Records the times of answers."""

    def __init__(self, recorder: base.Recorder) -> None:
        """Create a meter that writes to `recorder`."""
        self._recorder = recorder

    async def measure(
        self,
        held: base.Principal,
        klass: outcomes.Class,
        parts: AsyncIterator[base.Answer],
    ) -> AsyncIterator[base.Answer]:
        """Yield `parts`, recording when they arrive."""
        start = last = deadlines.now()
        has_first = False
        async with contextlib.aclosing(parts):  # type: ignore[type-var]
            async for part in parts:
                now = deadlines.now()
                if isinstance(part, messages.Data):
                    name = "between_tokens" if has_first else "first_token"
                    self._time(name, held, klass, now - last)
                    has_first = True
                    last = now
                elif isinstance(part, messages.Refused):
                    name = f"refused.{part.refusal.code.value}"
                    self._recorder.count(name, held.workspace)
                elif isinstance(part, messages.End):
                    self._time("whole", held, klass, now - start)
                yield part

    def _time(
        self,
        name: str,
        held: base.Principal,
        klass: outcomes.Class,
        seconds: float,
    ) -> None:
        self._recorder.time(name, held.workspace, klass, seconds)


async def collect(
    request: requests.Request,
    parts: AsyncIterator[base.Answer],
    *,
    is_repeatable: bool = True,
) -> responses.Response:
    """Return the whole answer, or a refusal; stop if the caller leaves."""
    response: responses.Response | None = None

    async def gather() -> None:
        nonlocal response
        response = await _gather(parts, is_repeatable=is_repeatable)

    await _run_while_present(request, gather)
    return response or responses.Response(status_code=LEFT_STATUS)


async def stream_events(
    parts: AsyncIterator[base.Answer],
) -> responses.Response:
    """Return a stream of events, or a refusal if there is no first part."""
    head = await anext(parts)
    if isinstance(head, messages.Refused):
        return errors.create_response(head.refusal)
    if isinstance(head, messages.Head) and head.status >= FIRST_ERROR_STATUS:
        return await _gather(parts, head=head)
    return responses.StreamingResponse(
        _frame_events(parts), media_type=EVENT_TYPE
    )


async def _frame_events(
    parts: AsyncIterator[base.Answer],
) -> AsyncIterator[bytes]:
    async with contextlib.aclosing(parts):  # type: ignore[type-var]
        async for part in parts:
            if isinstance(part, messages.Data):
                yield b"data: " + part.data + b"\n\n"
            elif isinstance(part, messages.Refused):
                yield b"data: " + errors.encode(part.refusal) + b"\n\n"


async def _gather(
    parts: AsyncIterator[base.Answer],
    *,
    head: messages.Head | None = None,
    is_repeatable: bool = True,
) -> responses.Response:
    data: list[bytes] = []
    async with contextlib.aclosing(parts):  # type: ignore[type-var]
        async for part in parts:
            if isinstance(part, messages.Refused):
                return errors.create_response(
                    part.refusal, is_repeatable=is_repeatable
                )
            if isinstance(part, messages.Head):
                head = part
            elif isinstance(part, messages.Data):
                data.append(part.data)
    if head is None:
        refusal = outcomes.lose(
            outcomes.Code.ENDPOINT_FAILED, "The answer had no head."
        )
        return errors.create_response(refusal, is_repeatable=is_repeatable)
    return responses.Response(
        b"".join(data), head.status, media_type=head.content_type
    )


async def _run_while_present(
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
