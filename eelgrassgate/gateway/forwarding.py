"""Forwards one call: chooses endpoints, passes answers on, tries again."""

import enum
import random
from typing import Final

import anyio
import msgspec

from eelgrassgate import deadlines
from eelgrassgate import logs
from eelgrassgate import outcomes
from eelgrassgate.gateway import calls
from eelgrassgate.gateway import catalog
from eelgrassgate.gateway import metrics as metrics_lib
from eelgrassgate.gateway import placement as placement_lib
from eelgrassgate.gateway import refusals
from eelgrassgate.http1 import downstream
from eelgrassgate.http1 import events
from eelgrassgate.http1 import silence
from eelgrassgate.http1 import upstream
from eelgrassgate.peering import loads

# An idempotent request is sent elsewhere after this many objectives without
# an answer; most answers take less than one.
SILENCE_OBJECTIVES: Final = 1.5
SHORTEST_SILENCE_S: Final = 0.35
# A resumable stream goes on elsewhere after this long without an event;
# callers give up after at least 2 s.
STREAM_SILENCE_S: Final = 1.2
# Answers up to this size are read whole before any byte is passed on, so that
# a broken one can be tried again.
HELD_BYTES: Final = 262_144
# Least time left for which another attempt is worth while.
LEAST_LEFT_S: Final = 0.02
# What a caller is told where nothing says when a slot will be free.
RETRY_AFTER_S: Final = 0.2
# Connections that turn out dead or endpoints that moved do not count as
# attempts; this many bound them.
MOST_FREE_TRIES: Final = 4
# How an attempt ended that was broken off from this side.
STOPPED: Final = "stopped"

BAD_GATEWAY: Final = 502
UNAVAILABLE: Final = 503
GATEWAY_TIMEOUT: Final = 504
OK_CLASS: Final = range(200, 300)
ERROR_CLASS: Final = range(500, 600)


class Result(enum.Enum):
    """How one attempt ended."""

    DONE = "done"
    NOT_SENT = "not_sent"
    NOT_RUN = "not_run"
    LOST = "lost"


class BrokenAnswerError(Exception):
    """The answer broke off after parts of it had been passed on."""


class _Progress(msgspec.Struct):
    """What has happened to one call so far.

    Attributes:
        attempts: How many endpoints got it and may have begun work.
        free_tries: How many sendings certainly did not run.
        may_have_run: Whether an endpoint may have run it.
        is_in_flight: Whether an endpoint has it and has not said a word.
        last_event: The last stream event that the caller has.
        failure: An endpoint's own failure, held while others are tried.
    """

    attempts: int = 0
    free_tries: int = 0
    may_have_run: bool = False
    is_in_flight: bool = False
    last_event: str | None = None
    failure: tuple[upstream.Head, bytes] | None = None


class Forwarder:
    """Forwards calls; one for each process."""

    def __init__(
        self,
        dialect: calls.Dialect,
        pool: upstream.Pool,
        placement: placement_lib.Placement,
        table: loads.Loads,
        metrics: metrics_lib.Metrics,
    ) -> None:
        """Create a forwarder; see `create_forwarder`."""
        self._dialect = dialect
        self._pool = pool
        self._placement = placement
        self._loads = table
        self._metrics = metrics

    async def forward(
        self,
        call: calls.Call,
        route: catalog.Route,
        workspace: str,
        responder: downstream.Responder,
    ) -> None:
        """Answer a call within its deadline and its route's timeout.

        Raises:
            BrokenAnswerError: The answer broke off; the connection must close.
            downstream.CallerGoneError: The caller has gone.
        """
        deadline = call.deadline
        if route.timeout_s:
            deadline = min(deadline, deadlines.after(route.timeout_s))
        progress = _Progress()
        with anyio.move_on_after(deadlines.compute_remaining(deadline)):
            await self._try(
                call, route, workspace, responder, deadline, progress
            )
            return
        if responder.has_begun:
            raise BrokenAnswerError("the timeout passed")
        await self._give_up(call, progress, responder, "timeout")

    async def _try(
        self,
        call: calls.Call,
        route: catalog.Route,
        workspace: str,
        responder: downstream.Responder,
        deadline: float,
        progress: _Progress,
    ) -> None:
        """Try endpoints until one has answered or none may be tried."""
        service = _choose_service(route)
        avoid: set[str] = set()
        while True:
            choice = self._placement.choose(service, frozenset(avoid))
            if choice is None and avoid and progress.attempts:
                # Better the same endpoint again than none.
                choice = self._placement.choose(service)
            if choice is None:
                await self._give_up(call, progress, responder, "no endpoint")
                return
            return_s = refusals.decide(choice.wait_s, route.objective_s)
            if return_s is not None and not progress.may_have_run:
                await self._refuse(call, choice, return_s, responder)
                return
            attempt = calls.Attempt(
                choice.endpoint.id, workspace, deadline, progress.last_event
            )
            outcome = await self._attempt(
                call, route, choice.endpoint, attempt, responder, progress
            )
            if outcome is Result.DONE:
                return
            avoid.add(choice.endpoint.id)
            if not _may_try_again(route, outcome, progress, deadline):
                await self._give_up(call, progress, responder, outcome.value)
                return

    async def _attempt(
        self,
        call: calls.Call,
        route: catalog.Route,
        endpoint: catalog.Endpoint,
        attempt: calls.Attempt,
        responder: downstream.Responder,
        progress: _Progress,
    ) -> Result:
        began = deadlines.now()
        reason = ""
        result = Result.LOST
        status = 0
        kind = outcomes.RequestClass.ONLINE
        silence_s = _get_silence(route, progress, attempt.deadline)
        try:
            with (
                self._loads.hold(endpoint.id, kind),
                self._placement.listen(endpoint.id) as note_heard,
            ):
                if self._loads.get(endpoint.id) > endpoint.slots:
                    self._loads.press()
                async with self._pool.use(endpoint.address) as connection:
                    connection.note_heard = note_heard
                    result = await self._exchange(
                        connection,
                        call,
                        route,
                        attempt,
                        responder,
                        progress,
                        silence_s,
                    )
                    status = connection.head.status
        except upstream.ExchangeError as error:
            reason = str(error)
            result = Result.LOST if error.was_sent else Result.NOT_SENT
            self._placement.note_failure(endpoint)
        except TimeoutError:
            reason = "silent"
            self._placement.note_failure(endpoint)
        except anyio.get_cancelled_exc_class():
            # The deadline passed or the caller left; the endpoint is explained
            # all the same.
            took_s = deadlines.now() - began
            self._say_attempt(call, endpoint, STOPPED, status, "", took_s)
            if not progress.may_have_run and took_s > placement_lib.SUSPECT_S:
                # It may answer others meanwhile, so only this shows it.
                self._placement.note_refusal(endpoint)
            raise
        took_s = deadlines.now() - began
        if result is Result.DONE and status not in ERROR_CLASS:
            self._placement.note_success(endpoint, took_s)
        elif status:
            # It answers, but with failures or refusals; being idle, it would
            # draw more requests than any other.
            self._placement.note_refusal(endpoint)
        self._say_attempt(call, endpoint, result.value, status, reason, took_s)
        self._metrics.count_attempt(endpoint.service, result.value)
        _count(progress, result)
        is_broken = responder.has_begun and result is not Result.DONE
        if is_broken and not route.is_idempotent():
            raise BrokenAnswerError(reason)
        return result

    def _say_attempt(
        self,
        call: calls.Call,
        endpoint: catalog.Endpoint,
        result: str,
        status: int,
        reason: str,
        took_s: float,
    ) -> None:
        logs.log_message(
            "attempt",
            id=call.id,
            endpoint=endpoint.id,
            in_hand=self._loads.get(endpoint.id),
            result=result,
            status=status,
            reason=reason,
            took_ms=round(took_s * deadlines.MS_PER_S),
        )

    async def _exchange(
        self,
        connection: upstream.Connection,
        call: calls.Call,
        route: catalog.Route,
        attempt: calls.Attempt,
        responder: downstream.Responder,
        progress: _Progress,
        silence_s: float,
    ) -> Result:
        """Run one exchange and pass its answer on.

        Raises:
            upstream.ExchangeError: It broke off.
            TimeoutError: The endpoint was silent for too long.
        """
        request = self._dialect.write_attempt(call, attempt)
        progress.is_in_flight = True
        with silence.limit(silence_s):
            await connection.start(
                request,
                lambda head: self._dialect.read_verdict(head, call.id).is_ours,
            )
        verdict = self._dialect.read_verdict(connection.head, call.id)
        if verdict.has_not_run:
            progress.is_in_flight = False
            await _read_all(connection)
            return Result.NOT_RUN
        progress.may_have_run = True
        status = connection.head.status
        if responder.has_begun and status not in OK_CLASS:
            raise upstream.ExchangeError("a stream did not go on", True)
        if status in OK_CLASS and not verdict.is_signed:
            raise upstream.ExchangeError("an answer without checksum", True)
        is_resumable = route.kind is catalog.Kind.STREAM and route.is_resumable
        if is_resumable and status in OK_CLASS:
            return await self._pass_events(
                connection, responder, progress, silence_s
            )
        if route.is_idempotent():
            return await self._pass_whole(
                connection, route, responder, progress, silence_s
            )
        await self._pass_parts(connection, responder)
        return Result.DONE

    async def _pass_whole(
        self,
        connection: upstream.Connection,
        route: catalog.Route,
        responder: downstream.Responder,
        progress: _Progress,
        silence_s: float,
    ) -> Result:
        """Read an answer whole, so that a broken one can be tried again."""
        parts: list[bytes] = []
        size = 0
        head = connection.head
        with silence.limit(silence_s) as note:
            async for part in connection.iterate():
                note(silence_s)
                parts.append(part)
                size += len(part)
                if size > HELD_BYTES and not responder.has_begun:
                    await self._begin(connection, responder)
                if responder.has_begun:
                    note(silence.FOREVER)
                    await responder.send(b"".join(parts))
                    parts.clear()
        if responder.has_begun:
            await responder.finish()
            return Result.DONE
        body = b"".join(parts)
        has_more = progress.attempts + 1 < route.max_attempts
        if head.status in ERROR_CLASS and has_more:
            progress.failure = (head, body)
            return Result.LOST
        await responder.reply(
            head.status, self._dialect.pass_headers(head), body
        )
        return Result.DONE

    async def _begin(
        self, connection: upstream.Connection, responder: downstream.Responder
    ) -> None:
        head = connection.head
        length = head.get(b"content-length")
        await responder.begin(
            head.status,
            self._dialect.pass_headers(head),
            int(length) if length is not None else None,
        )

    async def _pass_parts(
        self, connection: upstream.Connection, responder: downstream.Responder
    ) -> None:
        """Pass an answer on as it comes."""
        await self._begin(connection, responder)
        async for part in connection.iterate():
            await responder.send(part)
        await responder.finish()

    async def _pass_events(
        self,
        connection: upstream.Connection,
        responder: downstream.Responder,
        progress: _Progress,
        silence_s: float,
    ) -> Result:
        """Pass whole events on; another endpoint may go on after any.

        The head stays that of the first endpoint.
        """
        splitter = events.Splitter()
        with silence.limit(silence_s) as note:
            async for part in connection.iterate():
                note(silence_s)
                whole = splitter.feed(part)
                if not whole:
                    continue
                if not responder.has_begun:
                    await responder.begin(
                        connection.head.status,
                        self._dialect.pass_headers(connection.head),
                    )
                await responder.send(b"".join(one.raw for one in whole))
                progress.last_event = _get_last_id(whole, progress.last_event)
        if splitter.has_rest() or not responder.has_begun:
            raise upstream.ExchangeError("the stream ended in an event", True)
        await responder.finish()
        return Result.DONE

    async def _refuse(
        self,
        call: calls.Call,
        choice: placement_lib.Choice,
        return_s: float,
        responder: downstream.Responder,
    ) -> None:
        """Refuse a call that would wait too long; it has not run."""
        logs.log_message(
            "refused",
            id=call.id,
            reason="overloaded",
            wait_ms=round(choice.wait_s * deadlines.MS_PER_S),
            return_ms=round(return_s * deadlines.MS_PER_S),
            endpoint=choice.endpoint.id,
        )
        await responder.reply(
            UNAVAILABLE, self._dialect.write_refusal(return_s)
        )

    async def _give_up(
        self,
        call: calls.Call,
        progress: _Progress,
        responder: downstream.Responder,
        reason: str,
    ) -> None:
        """Answer a call that no endpoint has answered."""
        logs.log_message(
            "gave up",
            id=call.id,
            reason=reason,
            attempts=progress.attempts,
            may_have_run=progress.may_have_run or progress.is_in_flight,
        )
        if responder.has_begun:
            raise BrokenAnswerError(reason)
        if progress.failure is not None:
            head, body = progress.failure
            headers = self._dialect.pass_headers(head)
            await responder.reply(head.status, headers, body)
        elif progress.may_have_run or progress.is_in_flight:
            is_late = deadlines.is_past(call.deadline) or reason == "timeout"
            await responder.reply(GATEWAY_TIMEOUT if is_late else BAD_GATEWAY)
        else:
            await responder.reply(
                UNAVAILABLE, self._dialect.write_refusal(RETRY_AFTER_S)
            )


async def _read_all(connection: upstream.Connection) -> None:
    async for _ in connection.iterate():
        pass


def _count(progress: _Progress, result: Result) -> None:
    if result in {Result.NOT_RUN, Result.NOT_SENT}:
        progress.free_tries += 1
    if result is not Result.NOT_SENT:
        progress.attempts += 1
    if result is Result.LOST:
        progress.may_have_run = True
    progress.is_in_flight = False


def _may_try_again(
    route: catalog.Route,
    result: Result,
    progress: _Progress,
    deadline: float,
) -> bool:
    if deadlines.compute_remaining(deadline) < LEAST_LEFT_S:
        return False
    if progress.free_tries > MOST_FREE_TRIES:
        return False
    if result is Result.NOT_SENT:
        return True
    if result is Result.LOST and not route.is_idempotent():
        return False
    return progress.attempts < route.max_attempts


def _get_silence(
    route: catalog.Route, progress: _Progress, deadline: float
) -> float:
    """Return how long an endpoint may be silent before another is tried."""
    left_s = deadlines.compute_remaining(deadline)
    if not route.is_idempotent():
        return left_s + 1.0
    if progress.attempts + 1 >= route.max_attempts:
        return left_s + 1.0
    if route.kind is catalog.Kind.STREAM:
        return STREAM_SILENCE_S
    return max(SHORTEST_SILENCE_S, route.objective_s * SILENCE_OBJECTIVES)


def _get_last_id(whole: list[events.Event], known: str | None) -> str | None:
    for event in reversed(whole):
        if event.id:
            return event.id
    return known


def _choose_service(route: catalog.Route) -> str:
    """Draw one of a route's services by weight."""
    if len(route.targets) == 1:
        return route.targets[0].service
    weights = [target.weight for target in route.targets]
    if not any(weights):
        return route.targets[0].service
    return random.choices(route.targets, weights)[0].service


def create_forwarder(
    dialect: calls.Dialect,
    pool: upstream.Pool,
    placement: placement_lib.Placement,
    table: loads.Loads,
    metrics: metrics_lib.Metrics,
) -> Forwarder:
    """Create a forwarder.

    Args:
        dialect: Names on the wire.
        pool: Connections to endpoints.
        placement: Chooses endpoints.
        table: Where requests in hand are counted.
        metrics: Where attempts are counted.
    """
    return Forwarder(dialect, pool, placement, table, metrics)
