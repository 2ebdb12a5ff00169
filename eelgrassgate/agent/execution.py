"""Runs one attempt at the endpoint and forwards its response."""

from collections.abc import AsyncGenerator
from collections.abc import AsyncIterator
from collections.abc import Callable
import contextlib
from typing import Final

import anyio
import msgspec

from eelgrassgate import logs
from eelgrassgate import outcomes
from eelgrassgate.agent import attempts
from eelgrassgate.agent import window as window_lib
from eelgrassgate.engine import base
from eelgrassgate.engine import usage

DEADLINE_EXCEEDED: Final = outcomes.Code.DEADLINE_EXCEEDED
MAX_FORWARD_S: Final = 0.002
MAX_RESULT_BYTES: Final = 8_000_000


class Completed(msgspec.Struct, frozen=True):
    """The response is complete."""


class Stopped(msgspec.Struct, frozen=True):
    """The agent stopped the call; `Attempt.stop_reason` holds the reason."""


RunOutcome = Completed | base.Failed | Stopped


class Executor:
    """Runs attempts at the endpoint, each in its own task."""

    def __init__(
        self,
        endpoint: base.Endpoint,
        window: window_lib.Window,
        clock: Callable[[], float],
    ) -> None:
        """Create an executor that reports latencies to `window`."""
        self._endpoint = endpoint
        self._window = window
        self._clock = clock

    async def run(self, attempt: attempts.Attempt, running: int) -> RunOutcome:
        """Run an attempt until it ends or is stopped.

        Args:
            attempt: The attempt.
            running: Number of attempts in the endpoint, including this one.
        """
        attempt.sent_at = self._clock()
        attempt.has_first_part = False
        outcome: RunOutcome = Stopped()
        with anyio.CancelScope(deadline=attempt.queue_item.deadline) as scope:
            attempt.scope = scope
            if attempt.stop_reason:
                scope.cancel()
            try:
                outcome = await self._consume(attempt, running)
            except Exception:
                # An error in one attempt must not stop the others.
                logs.log_exception("attempt:failed", id=attempt.id)
                outcome = _create_failure("The call failed.")
        attempt.scope = None
        if not isinstance(outcome, Stopped):
            return outcome
        await self._endpoint.cancel(attempt.id)
        if attempt.stop_reason:
            return outcome
        return base.Failed(
            attempt.create_refusal(DEADLINE_EXCEEDED, "The deadline passed."),
            False,
        )

    async def _consume(
        self, attempt: attempts.Attempt, running: int
    ) -> RunOutcome:
        had_started = attempt.has_started
        attempt.has_started = True
        observer = _LatencyObserver(self._clock, self._window, attempt, running)
        response = self._endpoint.call(attempt.build_call())
        async with _close_on_exit(response) as parts:
            async for part in parts:
                match part:
                    case base.Head():
                        _handle_head(attempt, part)
                    case base.Data():
                        observer.record_arrival()
                        await _handle_data(attempt, part.data)
                        observer.record_forwarded()
                    case base.End():
                        return _check_completed(attempt)
                    case base.Failed():
                        return _correct_failure(attempt, part, had_started)
                if attempt.size_bytes > MAX_RESULT_BYTES:
                    return _create_failure("The response is too large.")
        return _create_failure("The endpoint's response ended early.")


class _LatencyObserver:
    """Reports the arrival times of one response's parts to the window."""

    def __init__(
        self,
        clock: Callable[[], float],
        window: window_lib.Window,
        attempt: attempts.Attempt,
        running: int,
    ) -> None:
        self._clock = clock
        self._window = window
        self._attempt = attempt
        self._running = running
        self._arrived_at = 0.0
        self._is_backpressured = False

    def record_arrival(self) -> None:
        """Record that a part has arrived."""
        now = self._clock()
        attempt = self._attempt
        if not attempt.has_first_part:
            attempt.has_first_part = True
            if attempt.is_event_stream or not attempt.is_engine:
                self._window.observe_first_token(
                    now - attempt.sent_at, self._running
                )
        elif attempt.is_event_stream and not self._is_backpressured:
            self._window.observe_token_interval(now - self._arrived_at)
        self._arrived_at = now

    def record_forwarded(self) -> None:
        """Record that the part was forwarded.

        If forwarding took long, the reader is slow, and the next interval says
        nothing about the endpoint.
        """
        self._is_backpressured = (
            self._clock() - self._arrived_at > MAX_FORWARD_S
        )


@contextlib.asynccontextmanager
async def _close_on_exit(
    parts: AsyncIterator[base.Part],
) -> AsyncIterator[AsyncIterator[base.Part]]:
    """Close the response iterator, even if the call is cancelled."""
    try:
        yield parts
    finally:
        if isinstance(parts, AsyncGenerator):
            with anyio.CancelScope(shield=True):
                await parts.aclose()


def _handle_head(attempt: attempts.Attempt, head: base.Head) -> None:
    attempt.status = head.status
    attempt.content_type = head.content_type
    if attempt.is_online:
        attempt.response.send_head(head.status, head.content_type)


async def _handle_data(attempt: attempts.Attempt, data: bytes) -> None:
    """Forward a part of an online response; buffer a part of a batch one."""
    total = usage.read_total_tokens(data)
    if total is not None:
        attempt.total_tokens = total
    if attempt.is_online:
        attempt.tokens += 1
        await attempt.response.send_data(data)
    elif attempt.assembler and attempt.is_assembled:
        attempt.assembler.add(data)
        attempt.tokens = attempt.assembler.tokens
        attempt.size_bytes += len(data)
    else:
        attempt.parts.append(data)
        attempt.size_bytes += len(data)


def _check_completed(attempt: attempts.Attempt) -> RunOutcome:
    """Return a failure if a fully received response carries an error."""
    if attempt.assembler and attempt.assembler.has_error:
        return _create_failure("The engine's stream ended with an error.")
    return Completed()


def _correct_failure(
    attempt: attempts.Attempt, failed: base.Failed, had_started: bool
) -> RunOutcome:
    """Mark a failure as possibly run if an earlier dispatch has started."""
    refusal = failed.refusal
    if refusal.ran is outcomes.RunStatus.UNKNOWN:
        return failed
    if not had_started:
        attempt.has_started = False
        return failed
    lost = outcomes.refuse_unknown(refusal.code, refusal.message)
    return base.Failed(lost, failed.is_endpoint_fault)


def _create_failure(message: str) -> base.Failed:
    refusal = outcomes.refuse_unknown(outcomes.Code.ENDPOINT_FAILED, message)
    return base.Failed(refusal, True)
