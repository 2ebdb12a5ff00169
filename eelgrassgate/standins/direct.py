"""The simulated engine as an `engine.base.Endpoint` without HTTP.

The event loop on virtual time has no sockets.
"""

from collections.abc import AsyncIterator
from typing import Any
from typing import Final

import anyio
import msgspec

from eelgrassgate import outcomes
from eelgrassgate.engine import base
from eelgrassgate.engine import connections
from eelgrassgate.engine import prefix
from eelgrassgate.standins import generation

DONE: Final = b"[DONE]"
EVENT_TYPE: Final = "text/event-stream"
OK_STATUS: Final = 200


class DirectEndpoint:
    """Calls a `generation.Core` with network latency."""

    def __init__(
        self, engine: generation.SimulatedEngine, latency_s: float
    ) -> None:
        """Create an endpoint of `engine` with a one-way latency."""
        self._engine = engine
        self._latency_s = latency_s

    async def call(self, call: base.Call) -> AsyncIterator[base.Part]:
        """Yield the response; the last part is `End` or `Failed`."""
        await anyio.sleep(self._latency_s)
        request = _parse_request(call)
        if request.resume_from and not self._engine.is_resumable(call.attempt):
            refusal = outcomes.refuse(
                outcomes.Code.CONFLICT, "The attempt can't be resumed."
            )
            yield base.Failed(refusal, False)
            return
        tokens = self._engine.start(request)
        try:
            yield base.Head(OK_STATUS, EVENT_TYPE)
            async for word in connections.iterate_until(
                aiter(tokens), call.deadline
            ):
                yield base.Data(_encode_event({"text": word}))
            yield base.Data(_encode_last_event(request))
            yield base.Data(DONE)
            yield base.End()
        except connections.DeadlineError:
            yield connections.fail_expired(was_sent=True)
        finally:
            self._engine.abandon(request)

    async def cancel(self, attempt: str) -> bool:
        """Cancel an attempt."""
        await anyio.sleep(self._latency_s)
        return self._engine.cancel(attempt)

    async def read_load(self) -> base.Load | None:
        """Return the load report, which lags behind."""
        load = self._engine.read_load()
        return base.Load(load.running, load.waiting, load.cache_used)

    async def read_cache_events(self, since: int) -> base.CacheEvents | None:
        """Return None: cache events are available only over HTTP."""
        return None

    async def close(self) -> None:
        """Do nothing: there are no connections."""


def _parse_request(call: base.Call) -> generation.GenerationRequest:
    parameters = msgspec.json.decode(call.body, type=dict[str, Any])
    return generation.GenerationRequest(
        call.attempt,
        prefix.read_prompt(parameters),
        int(parameters["max_tokens"]),
        call.resume_from,
    )


def _encode_event(choice: dict[str, Any]) -> bytes:
    return msgspec.json.encode({"choices": [{"index": 0, **choice}]})


def _encode_last_event(request: generation.GenerationRequest) -> bytes:
    completion_tokens = request.max_tokens
    total = generation.count_tokens(request.prompt) + completion_tokens
    usage = {"completion_tokens": completion_tokens, "total_tokens": total}
    choice = {"index": 0, "finish_reason": "length", "text": ""}
    return msgspec.json.encode({"choices": [choice], "usage": usage})
