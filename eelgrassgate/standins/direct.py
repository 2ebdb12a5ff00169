"""The pretended engine as an `engine.base.Endpoint` without HTTP.

For measurements on virtual time, where there are no sockets.
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
EVENTS: Final = "text/event-stream"
STATUS_OK: Final = 200


class DirectEndpoint:
    """Calls a `generation.Core` as if over a network."""

    def __init__(
        self, core: generation.SimulatedEngine, latency_s: float
    ) -> None:
        """Take the engine and the one-way latency towards it."""
        self._core = core
        self._latency_s = latency_s

    async def call(self, call: base.Call) -> AsyncIterator[base.Part]:
        """Yield the answer's parts; always ends with `End` or `Failed`."""
        await anyio.sleep(self._latency_s)
        order = _read_order(call)
        if order.resume_from and not self._core.is_resumable(call.attempt):
            refusal = outcomes.refuse(outcomes.Code.CONFLICT, "Not known.")
            yield base.Failed(refusal, False)
            return
        tokens = self._core.start(order)
        try:
            yield base.Head(STATUS_OK, EVENTS)
            async for word in connections.iterate_until(
                aiter(tokens), call.deadline
            ):
                yield base.Data(_write_event({"text": word}))
            yield base.Data(_write_last(order))
            yield base.Data(DONE)
            yield base.End()
        except connections.DeadlineError:
            yield connections.expire(was_sent=True)
        finally:
            self._core.cancel(call.attempt)

    async def cancel(self, attempt: str) -> bool:
        """Cancel an attempt's work."""
        await anyio.sleep(self._latency_s)
        return self._core.cancel(attempt)

    async def read_load(self) -> base.Load | None:
        """Read the load report, late."""
        load = self._core.read_load()
        return base.Load(load.running, load.waiting, load.cache_used)

    async def read_cache_events(self, since: int) -> base.CacheEvents | None:
        """Return None: cache events are read over HTTP alone."""
        return None

    async def close(self) -> None:
        """Release nothing."""


def _read_order(call: base.Call) -> generation.Order:
    wanted = msgspec.json.decode(call.body, type=dict[str, Any])
    return generation.Order(
        call.attempt,
        prefix.read_prompt(wanted),
        int(wanted["max_tokens"]),
        call.resume_from,
    )


def _write_event(choice: dict[str, Any]) -> bytes:
    return msgspec.json.encode({"choices": [{"index": 0, **choice}]})


def _write_last(order: generation.Order) -> bytes:
    answer = order.max_tokens
    total = generation.count_tokens(order.prompt) + answer
    usage = {"completion_tokens": answer, "total_tokens": total}
    choice = {"index": 0, "finish_reason": "length", "text": ""}
    return msgspec.json.encode({"choices": [choice], "usage": usage})
