"""Runs one attempt at the endpoint and passes its answer on."""

from collections.abc import AsyncGenerator
from collections.abc import AsyncIterator
from collections.abc import Callable
import contextlib
from typing import Final

import anyio
import msgspec

from eelgrassgate import outcomes
from eelgrassgate.agent import window as windows
from eelgrassgate.agent import work as works
from eelgrassgate.engine import base
from eelgrassgate.engine import usage

DEADLINE: Final = outcomes.Code.DEADLINE_EXCEEDED
HELD_S: Final = 0.002
MAX_RESULT_BYTES: Final = 8_000_000


class Whole(msgspec.Struct, frozen=True):
    """The answer is whole."""


class Stopped(msgspec.Struct, frozen=True):
    """The call was stopped by the agent; `Work.stop` says why."""


Ended = Whole | base.Failed | Stopped


class Executor:
    """Runs attempts; one task each."""

    def __init__(
        self,
        endpoint: base.Endpoint,
        window: windows.Window,
        clock: Callable[[], float],
    ) -> None:
        """Take what every run needs."""
        self._endpoint = endpoint
        self._window = window
        self._clock = clock

    async def run(self, work: works.Work, running: int) -> Ended:
        """Run `work` until it ends or is stopped.

        Args:
            work: The attempt.
            running: How many attempts are in the endpoint, it included.
        """
        work.sent_at = self._clock()
        work.has_first = False
        ended: Ended = Stopped()
        with anyio.CancelScope(deadline=work.item.deadline) as scope:
            work.scope = scope
            if work.stop:
                scope.cancel()
            ended = await self._consume(work, running)
        work.scope = None
        if not isinstance(ended, Stopped):
            return ended
        await self._endpoint.cancel(work.attempt)
        if work.stop:
            return ended
        return base.Failed(
            work.explain(DEADLINE, "The deadline passed."), False
        )

    async def _consume(self, work: works.Work, running: int) -> Ended:
        had_run = work.has_run
        work.has_run = True
        timer = _Timer(self._clock, self._window, work, running)
        answer = self._endpoint.call(work.write_call())
        async with _closing(answer) as parts:
            async for part in parts:
                match part:
                    case base.Head():
                        _take_head(work, part)
                    case base.Data():
                        timer.note_arrival()
                        await _take_data(work, part.data)
                        timer.note_passed()
                    case base.End():
                        return _judge(work)
                    case base.Failed():
                        return _explain(work, part, had_run)
                if work.size_bytes > MAX_RESULT_BYTES:
                    return _lose("The answer is too large.")
        return _lose("The endpoint's answer broke off.")


class _Timer:
    """Learns from when the parts of one answer come."""

    def __init__(
        self,
        clock: Callable[[], float],
        window: windows.Window,
        work: works.Work,
        running: int,
    ) -> None:
        self._clock = clock
        self._window = window
        self._work = work
        self._running = running
        self._arrived_at = 0.0
        self._is_held = False

    def note_arrival(self) -> None:
        """Take the arrival of a part."""
        now = self._clock()
        work = self._work
        if not work.has_first:
            work.has_first = True
            if work.is_event_stream or not work.is_engine:
                self._window.observe_first(now - work.sent_at, self._running)
        elif work.is_event_stream and not self._is_held:
            self._window.observe_gap(now - self._arrived_at)
        self._arrived_at = now

    def note_passed(self) -> None:
        """Take that the part was passed on, perhaps to a slow reader."""
        self._is_held = self._clock() - self._arrived_at > HELD_S


@contextlib.asynccontextmanager
async def _closing(
    parts: AsyncIterator[base.Part],
) -> AsyncIterator[AsyncIterator[base.Part]]:
    """Close the answer's iterator, also when the call is stopped."""
    try:
        yield parts
    finally:
        if isinstance(parts, AsyncGenerator):
            with anyio.CancelScope(shield=True):
                await parts.aclose()


def _take_head(work: works.Work, head: base.Head) -> None:
    work.status = head.status
    work.content_type = head.content_type
    if work.is_online:
        work.outbox.send_head(head.status, head.content_type)


async def _take_data(work: works.Work, data: bytes) -> None:
    """Pass an online part on; keep a batch part."""
    total = usage.read_total_tokens(data)
    if total is not None:
        work.total_tokens = total
    if work.is_online:
        work.tokens += 1
        await work.outbox.send_data(data)
    elif work.assembly and work.is_assembled:
        work.assembly.add(data)
        work.tokens = work.assembly.tokens
        work.size_bytes += len(data)
    else:
        work.parts.append(data)
        work.size_bytes += len(data)


def _judge(work: works.Work) -> Ended:
    """Tell whether an ended answer is an answer indeed."""
    if work.assembly and work.assembly.has_error:
        return _lose("The engine broke off with an error.")
    return Whole()


def _explain(work: works.Work, failed: base.Failed, had_run: bool) -> Ended:
    """Keep a failure true for an attempt that ran before."""
    refusal = failed.refusal
    if refusal.ran is outcomes.RunStatus.UNKNOWN:
        return failed
    if not had_run:
        work.has_run = False
        return failed
    lost = outcomes.refuse_unknown(refusal.code, refusal.message)
    return base.Failed(lost, failed.is_endpoint_ill)


def _lose(message: str) -> base.Failed:
    refusal = outcomes.refuse_unknown(outcomes.Code.ENDPOINT_FAILED, message)
    return base.Failed(refusal, True)
