"""Adapter for model engines with an OpenAI-compatible HTTP interface."""

from collections.abc import AsyncGenerator
from collections.abc import AsyncIterator
import contextlib
from typing import Final
from typing import TypeVar

import anyio
import httpx
import httpx_sse
import msgspec

from eelgrassgate import outcomes
from eelgrassgate import response_limits
from eelgrassgate.engine import base
from eelgrassgate.engine import connections

CONTROL_TIMEOUT_S: Final = 2.0
STREAM_IDLE_TIMEOUT_S: Final = 30.0
# Bound on a load report or a confirmation, which hold a few numbers.
MAX_REPORT_BYTES: Final = 65_536
OK_STATUS: Final = 200
CONFLICT_STATUS: Final = 409
TOO_MANY_REQUESTS_STATUS: Final = 429
MIN_SERVER_ERROR_STATUS: Final = 500
UNAVAILABLE_STATUS: Final = 503
DONE: Final = "[DONE]"
EVENT_STREAM: Final = "text/event-stream"
REFUSAL_CODES: Final = {
    "stale_fence": outcomes.Code.STALE_FENCE,
    "resume_unknown": outcomes.Code.CONFLICT,
}

_T = TypeVar("_T")


class _Error(msgspec.Struct, frozen=True):
    code: str | None = None
    message: str = ""


class _ErrorBody(msgspec.Struct, frozen=True):
    error: _Error = _Error()


class _Cancelled(msgspec.Struct, frozen=True):
    cancelled: bool = False


class Engine:
    """An engine over HTTP; streams have an idle timeout."""

    def __init__(self, url: str, stream_idle_timeout_s: float) -> None:
        """Create the client pool."""
        self._url = url
        self._stream_idle_timeout_s = stream_idle_timeout_s
        self._pool = connections.ClientPool(self._create_client)

    async def call(self, call: base.Call) -> AsyncIterator[base.Part]:
        """Yield the parts of the response; ends with `End` or `Failed`."""
        if connections.is_expired(call):
            yield connections.fail_expired(was_sent=False)
            return
        has_response_started = False
        async with self._pool.use() as client:
            try:
                async with contextlib.aclosing(
                    _send_call(client, call)
                ) as parts:
                    async for part in parts:
                        has_response_started = True
                        yield part
            except connections.BadCallError as error:
                yield connections.fail_bad_call(str(error))
            except connections.DeadlineError:
                yield connections.fail_expired(was_sent=True)
            except httpx.HTTPError as error:
                self._pool.replace(client)
                yield connections.convert_error(error, has_response_started)

    async def cancel(self, attempt: str) -> bool:
        """Cancel an attempt; return whether the engine confirmed it."""
        body = msgspec.json.encode({"id": attempt})
        found = await self._request_control("POST", "/cancel", _Cancelled, body)
        return found is not None and found.cancelled

    async def read_load(self) -> base.Load | None:
        """Return the load report, or None on failure."""
        return await self._request_control("GET", "/load", base.Load)

    async def read_cache_events(self, since: int) -> base.CacheEvents | None:
        """Return cache events from `since` on, or None on failure."""
        path = f"/cache_events?since={since}"
        return await self._request_control(
            "GET",
            path,
            base.CacheEvents,
            max_bytes=response_limits.MAX_BODY_BYTES,
        )

    async def close(self) -> None:
        """Close all connections."""
        await self._pool.close()

    def _create_client(self) -> httpx.AsyncClient:
        return connections.create_client(
            self._url,
            read_timeout_s=self._stream_idle_timeout_s,
        )

    async def _request_control(
        self,
        method: str,
        path: str,
        response_type: type[_T],
        body: bytes | None = None,
        max_bytes: int = MAX_REPORT_BYTES,
    ) -> _T | None:
        async with self._pool.use() as client:
            with anyio.move_on_after(CONTROL_TIMEOUT_S) as scope:
                try:
                    async with client.stream(
                        method, path, content=body
                    ) as response:
                        content = await response_limits.read_body(
                            response, max_bytes
                        )
                    if response.status_code != OK_STATUS:
                        return None
                    return msgspec.json.decode(content, type=response_type)
                except (httpx.HTTPError, msgspec.DecodeError):
                    self._pool.replace(client)
            if scope.cancelled_caught:
                self._pool.replace(client)
        return None


async def _send_call(
    client: httpx.AsyncClient, call: base.Call
) -> AsyncGenerator[base.Part, None]:
    response = await connections.send(
        client, call, has_read_timeout=call.is_stream
    )
    try:
        failed = await _check_status(response, call.deadline)
        if failed:
            yield failed
            return
        content_type = response.headers.get("content-type", "")
        yield base.Head(response.status_code, content_type)
        if call.is_stream and content_type.startswith(EVENT_STREAM):
            parts = _read_events(response, call.deadline)
        else:
            parts = _read_body(response, call.deadline)
        async with contextlib.aclosing(parts):
            async for part in parts:
                yield part
    finally:
        with anyio.CancelScope(shield=True):
            await response.aclose()


async def _read_events(
    response: httpx.Response, deadline: float
) -> AsyncGenerator[base.Part, None]:
    is_complete = False
    response_limits.limit_parts(response, response_limits.EVENT_ENDS)
    events = httpx_sse.EventSource(response).aiter_sse()
    async for event in connections.iterate_until(events, deadline):
        is_complete = event.data == DONE
        yield base.Data(event.data.encode())
    if is_complete:
        yield base.End()
        return
    yield _fail_cut("The engine's stream ended early.")


async def _read_body(
    response: httpx.Response, deadline: float
) -> AsyncGenerator[base.Part, None]:
    """Yield a plain body; an engine that succeeds always sends one."""
    has_body = False
    parts = connections.read_body(response, deadline)
    async with contextlib.aclosing(parts):
        async for part in parts:
            has_body = has_body or isinstance(part, base.Data)
            if response.is_success and not has_body:
                part = _fail_cut("The engine's response ended before its body.")
            yield part


def _fail_cut(message: str) -> base.Failed:
    refusal = outcomes.refuse_unknown(outcomes.Code.ENDPOINT_LOST, message)
    return base.Failed(refusal, True)


async def _check_status(
    response: httpx.Response, deadline: float
) -> base.Failed | None:
    """Return the failure for a status that isn't forwarded to the caller."""
    status = response.status_code
    if status in (TOO_MANY_REQUESTS_STATUS, UNAVAILABLE_STATUS):
        refusal = outcomes.refuse(
            outcomes.Code.OVERLOADED, "The engine is overloaded.", 1.0
        )
        return base.Failed(refusal, True)
    if status >= MIN_SERVER_ERROR_STATUS:
        refusal = outcomes.refuse_unknown(
            outcomes.Code.ENDPOINT_FAILED,
            f"The engine responded with status {status}.",
        )
        return base.Failed(refusal, True)
    if status != CONFLICT_STATUS:
        return None
    return await _check_conflict(response, deadline)


async def _check_conflict(
    response: httpx.Response, deadline: float
) -> base.Failed | None:
    with anyio.CancelScope(deadline=deadline):
        body = await response_limits.read_body(response)
        try:
            error = msgspec.json.decode(body, type=_ErrorBody).error
        except msgspec.DecodeError:
            return None
        code = REFUSAL_CODES.get(error.code or "")
        if code is None:
            return None
        return base.Failed(outcomes.refuse(code, error.message), False)
    raise connections.DeadlineError


def create_engine(
    url: str, *, stream_idle_timeout_s: float = STREAM_IDLE_TIMEOUT_S
) -> base.Endpoint:
    """Create the adapter.

    Args:
        url: The engine's base URL.
        stream_idle_timeout_s: Longest time between two tokens of a stream.
    """
    return Engine(url, stream_idle_timeout_s)
