"""The HTTP adapter for plain services."""

from collections.abc import AsyncGenerator
from collections.abc import AsyncIterator
import contextlib
from typing import Final

import anyio
import httpx
import msgspec

from eelgrassgate import outcomes
from eelgrassgate import response_limits
from eelgrassgate.engine import base
from eelgrassgate.engine import connections

CONFLICT_STATUS: Final = 409
STALE_FENCE: Final = "stale_fence"


class _Error(msgspec.Struct, frozen=True):
    code: str | None = None


class _ErrorBody(msgspec.Struct, frozen=True):
    error: _Error = _Error()


class Service:
    """Client of a plain service that opens a connection for each call.

    The service may close a pooled connection just when a call is sent on it.
    The outcome of a call that must not be repeated would then be unknown.
    """

    def __init__(self, url: str) -> None:
        """Create the client."""
        self._client = connections.create_client(url, read_timeout_s=None)

    async def call(self, call: base.Call) -> AsyncIterator[base.Part]:
        """Yield the response; the last part is `End` or `Failed`."""
        if connections.is_expired(call):
            yield connections.fail_expired(was_sent=False)
            return
        has_response = False
        try:
            async with contextlib.aclosing(
                _send_call(self._client, call)
            ) as parts:
                async for part in parts:
                    has_response = True
                    yield part
        except connections.BadCallError as error:
            yield connections.fail_bad_call(str(error))
        except connections.DeadlineError:
            yield connections.fail_expired(was_sent=True)
        except httpx.HTTPError as error:
            yield connections.convert_error(error, has_response)

    async def cancel(self, attempt: str) -> bool:
        """Return False: plain services don't support cancellation."""
        return False

    async def read_load(self) -> base.Load | None:
        """Return None: plain services don't report their load."""
        return None

    async def read_cache_events(self, since: int) -> base.CacheEvents | None:
        """Return None: plain services have no prompt cache."""
        return None

    async def close(self) -> None:
        """Close the client."""
        await self._client.aclose()


async def _send_call(
    client: httpx.AsyncClient, call: base.Call
) -> AsyncGenerator[base.Part, None]:
    response = await connections.send(client, call, has_read_timeout=False)
    try:
        if await _is_stale(response, call):
            refusal = outcomes.refuse(
                outcomes.Code.STALE_FENCE,
                "The job has a newer owner.",
            )
            yield base.Failed(refusal, False)
            return
        kind = response.headers.get("content-type", "")
        yield base.Head(response.status_code, kind)
        parts = connections.read_body(response, call.deadline)
        async with contextlib.aclosing(parts):
            async for part in parts:
                yield part
    finally:
        with anyio.CancelScope(shield=True):
            await response.aclose()


async def _is_stale(response: httpx.Response, call: base.Call) -> bool:
    if not call.fence or response.status_code != CONFLICT_STATUS:
        return False
    with anyio.CancelScope(deadline=call.deadline):
        body = await response_limits.read_body(response)
        try:
            found = msgspec.json.decode(body, type=_ErrorBody)
        except msgspec.DecodeError:
            return False
        return found.error.code == STALE_FENCE
    raise connections.DeadlineError


def create_service(url: str) -> base.Endpoint:
    """Create the adapter for the service at `url`."""
    return Service(url)
