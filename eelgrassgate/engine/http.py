"""Model engines with the usual HTTP interface."""

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
from eelgrassgate.engine import base
from eelgrassgate.engine import connections

CONTROL_TIMEOUT_S: Final = 2.0
SILENCE_S: Final = 30.0
STATUS_OK: Final = 200
STATUS_CONFLICT: Final = 409
STATUS_TOO_MANY: Final = 429
STATUS_SERVER: Final = 500
STATUS_UNAVAILABLE: Final = 503
DONE: Final = "[DONE]"
EVENTS: Final = "text/event-stream"
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
    """An engine over HTTP; streams are watched for silence."""

    def __init__(self, url: str, silence_s: float) -> None:
        """Create the connections' pool."""
        self._url = url
        self._silence_s = silence_s
        self._pool = connections.Pool(self._create_client)

    async def call(self, call: base.Call) -> AsyncIterator[base.Part]:
        """Yield the answer's parts; always ends with `End` or `Failed`."""
        if connections.is_expired(call):
            yield connections.expire(was_sent=False)
            return
        has_answered = False
        async with self._pool.use() as client:
            try:
                async with contextlib.aclosing(_talk(client, call)) as parts:
                    async for part in parts:
                        has_answered = True
                        yield part
            except connections.BadCallError as error:
                yield connections.refuse_bad(str(error))
            except connections.DeadlineError:
                yield connections.expire(was_sent=True)
            except httpx.HTTPError as error:
                self._pool.recycle(client)
                yield connections.explain(error, has_answered)

    async def cancel(self, attempt: str) -> bool:
        """Cancel an attempt's work; tell whether the engine confirmed."""
        body = msgspec.json.encode({"id": attempt})
        found = await self._control("POST", "/cancel", _Cancelled, body)
        return found is not None and found.cancelled

    async def read_load(self) -> base.Load | None:
        """Read the load report."""
        return await self._control("GET", "/load", base.Load)

    async def read_cache_events(self, since: int) -> base.CacheEvents | None:
        """Read cache events from `since` on."""
        path = f"/cache_events?since={since}"
        return await self._control("GET", path, base.CacheEvents)

    async def close(self) -> None:
        """Release connections."""
        await self._pool.close()

    def _create_client(self) -> httpx.AsyncClient:
        return connections.create_client(
            self._url, silence_s=self._silence_s, is_pooled=True
        )

    async def _control(
        self,
        method: str,
        path: str,
        kind: type[_T],
        body: bytes | None = None,
    ) -> _T | None:
        async with self._pool.use() as client:
            with anyio.move_on_after(CONTROL_TIMEOUT_S) as scope:
                try:
                    answer = await client.request(method, path, content=body)
                    if answer.status_code != STATUS_OK:
                        return None
                    return msgspec.json.decode(answer.content, type=kind)
                except (httpx.HTTPError, msgspec.DecodeError):
                    self._pool.recycle(client)
            if scope.cancelled_caught:
                self._pool.recycle(client)
        return None


async def _talk(
    client: httpx.AsyncClient, call: base.Call
) -> AsyncGenerator[base.Part, None]:
    response = await connections.send(client, call, has_silence=call.is_stream)
    try:
        failed = await _check(response, call.deadline)
        if failed:
            yield failed
            return
        kind = response.headers.get("content-type", "")
        yield base.Head(response.status_code, kind)
        if call.is_stream and kind.startswith(EVENTS):
            parts = _read_events(response, call.deadline)
        else:
            parts = connections.read_body(response, call.deadline)
        async with contextlib.aclosing(parts):
            async for part in parts:
                yield part
    finally:
        with anyio.CancelScope(shield=True):
            await response.aclose()


async def _read_events(
    response: httpx.Response, deadline: float
) -> AsyncGenerator[base.Part, None]:
    is_whole = False
    events = httpx_sse.EventSource(response).aiter_sse()
    async for event in connections.iterate_until(events, deadline):
        is_whole = event.data == DONE
        yield base.Data(event.data.encode())
    if is_whole:
        yield base.End()
        return
    refusal = outcomes.refuse_unknown(
        outcomes.Code.ENDPOINT_LOST, "The engine's stream broke off."
    )
    yield base.Failed(refusal, True)


async def _check(
    response: httpx.Response, deadline: float
) -> base.Failed | None:
    """Tell what a status means that is no answer to the caller."""
    status = response.status_code
    if status in (STATUS_TOO_MANY, STATUS_UNAVAILABLE):
        refusal = outcomes.refuse(
            outcomes.Code.OVERLOADED, "The engine takes no more work.", 1.0
        )
        return base.Failed(refusal, True)
    if status >= STATUS_SERVER:
        refusal = outcomes.refuse_unknown(
            outcomes.Code.ENDPOINT_FAILED, f"The engine answered {status}."
        )
        return base.Failed(refusal, True)
    if status != STATUS_CONFLICT:
        return None
    return await _check_conflict(response, deadline)


async def _check_conflict(
    response: httpx.Response, deadline: float
) -> base.Failed | None:
    with anyio.CancelScope(deadline=deadline):
        body = await response.aread()
        try:
            error = msgspec.json.decode(body, type=_ErrorBody).error
        except msgspec.DecodeError:
            return None
        code = REFUSAL_CODES.get(error.code or "")
        if code is None:
            return None
        return base.Failed(outcomes.refuse(code, error.message), False)
    raise connections.DeadlineError


def create_engine(url: str, *, silence_s: float = SILENCE_S) -> base.Endpoint:
    """Create the adapter.

    Args:
        url: The engine's base URL.
        silence_s: Longest time between two tokens of a stream.
    """
    return Engine(url, silence_s)
