"""Forwards calls to endpoints, with retries and stream resumption."""

from collections.abc import Callable
import enum
import functools
import random
from typing import Final

import anyio
import msgspec

from eelgrassgate import deadlines
from eelgrassgate import logs
from eelgrassgate import memory_budget
from eelgrassgate import outcomes
from eelgrassgate.capacity import observer as observer_lib
from eelgrassgate.gateway import calls
from eelgrassgate.gateway import catalog
from eelgrassgate.gateway import draining
from eelgrassgate.gateway import eligibility
from eelgrassgate.gateway import load_shedding
from eelgrassgate.gateway import lost_attempts
from eelgrassgate.gateway import metrics as metrics_lib
from eelgrassgate.gateway import placement as placement_lib
from eelgrassgate.gateway import regions as regions_lib
from eelgrassgate.gateway import shutdown as shutdown_lib
from eelgrassgate.gateway import splits
from eelgrassgate.http1 import downstream
from eelgrassgate.http1 import events
from eelgrassgate.http1 import pacing
from eelgrassgate.http1 import upstream
from eelgrassgate.peering import loads
from eelgrassgate.quarantine import quarantine as quarantine_lib

# Idle timeout of idempotent requests as a multiple of the latency objective;
# most responses take less than one objective.
IDLE_TIMEOUT_OBJECTIVES: Final = 1.5
MIN_IDLE_TIMEOUT_S: Final = 0.35
# Time without data after which a resumable stream moves to another endpoint;
# callers wait at least 2 s before they give up.
STREAM_IDLE_TIMEOUT_S: Final = 1.2
# Responses other than streams are buffered up to this size, so that an
# incomplete one can be retried or replaced by an error.
MAX_BUFFERED_BYTES: Final = 262_144
# Memory of a response that is passed on faster than its caller reads: what is
# received at once, a piece of it, and the connection's buffers.
IN_FLIGHT_BYTES: Final = 262_144
# Memory of a stream: a part of it, and the connections' buffers. Streams are
# urgent, so that none waits for it.
STREAM_BYTES: Final = memory_budget.SMALL_BYTES
# How long a response that has arrived is held back while memory is short.
MAX_HOLD_BACK_S: Final = 0.2
# No further attempt is made with less time remaining.
MIN_REMAINING_S: Final = 0.02
# Retry delay for refusals without an estimate of when a slot is free.
RETRY_AFTER_S: Final = 0.2
# Bounds the tries in which the endpoint was unreachable or refused, so that it
# certainly did not run the request. A separate bound is needed since failed
# connections do not count as attempts.
MAX_UNEXECUTED_TRIES: Final = 4
# Delay before a request returns to an endpoint that was silent.
RETURN_DELAY_S: Final = 0.1
# Logged result of an attempt that the gateway cancelled.
CANCELLED: Final = "stopped"

BAD_GATEWAY: Final = 502
UNAVAILABLE: Final = 503
GATEWAY_TIMEOUT: Final = 504
SUCCESS_STATUSES: Final = range(200, 300)
SERVER_ERROR_STATUSES: Final = range(500, 600)


class Result(enum.Enum):
    """How one attempt ended.

    Attributes:
        DONE: A response was forwarded to the caller.
        NOT_SENT: The endpoint was unreachable; nothing was sent.
        WITHDRAWN: The endpoint began to drain before anything was sent.
        NOT_RUN: The endpoint responded that it did not run the request.
        LOST: No usable response was received; the request may have run.
    """

    DONE = "done"
    NOT_SENT = "not_sent"
    WITHDRAWN = "withdrawn"
    NOT_RUN = "not_run"
    LOST = "lost"


class IncompleteResponseError(Exception):
    """The response broke off after part of it had been forwarded."""


class _Progress(msgspec.Struct):
    """Progress of one call.

    Attributes:
        attempts: Number of attempts that reached an endpoint.
        unexecuted_tries: Number of tries in which no endpoint ran the request.
        may_have_run: Whether an endpoint may have run the request.
        is_in_flight: Whether a request was sent that has no response yet.
        has_endpoint_ended: Whether the endpoint of the last attempt ended
            while the attempt was in flight.
        has_output: Whether the current attempt has produced output: an event
            of a stream, or a byte of another body.
        is_draining: Whether the response of the current attempt states that
            its endpoint drains.
        last_event: Id of the last stream event sent to the caller.
        failure: An endpoint's error response, kept while others are tried.
    """

    attempts: int = 0
    unexecuted_tries: int = 0
    may_have_run: bool = False
    is_in_flight: bool = False
    has_endpoint_ended: bool = False
    has_output: bool = False
    is_draining: bool = False
    last_event: str | None = None
    failure: tuple[upstream.Head, bytes] | None = None


class Forwarder:
    """Forwards calls; one per process."""

    def __init__(
        self,
        dialect: calls.Dialect,
        pool: upstream.Pool,
        placement: placement_lib.Placement,
        load_table: loads.Loads,
        quarantine: quarantine_lib.Quarantine,
        metrics: metrics_lib.Metrics,
        shutdown: shutdown_lib.Shutdown,
        budget: memory_budget.Budget,
        read_catalog: Callable[[], catalog.Catalog],
    ) -> None:
        """Initialize; see `create_forwarder`."""
        self._read_catalog = read_catalog
        self._budget = budget
        self._dialect = dialect
        self._pool = pool
        self._placement = placement
        self._loads = load_table
        self._quarantine = quarantine
        self._metrics = metrics
        self._shutdown = shutdown
        self._return_places = load_shedding.create_return_places()

    async def forward(
        self,
        call: calls.Call,
        route: catalog.Route,
        workspace: str,
        responder: downstream.Responder,
    ) -> None:
        """Respond to a call within its deadline and before a shutdown ends.

        Raises:
            IncompleteResponseError: The response broke off; the connection
                must be closed.
            downstream.ClientDisconnectedError: The caller disconnected.
        """
        progress = _Progress()
        reason = "timeout"
        call = msgspec.structs.replace(
            call, fingerprint=calls.compute_fingerprint(call, workspace)
        )
        with self._shutdown.bound(responder, call.deadline):
            try:
                await self._forward_with_retries(
                    call, route, workspace, responder, progress
                )
                return
            except (
                IncompleteResponseError,
                downstream.ClientDisconnectedError,
            ):
                raise
            except Exception:
                # The caller learns truthfully whether the request may have run.
                logs.log_exception("internal error", id=call.id)
                reason = "internal error"
        if self._shutdown.is_ending and not deadlines.is_past(call.deadline):
            reason = "shutdown"
        await self._reply_failure(call, progress, responder, reason)

    async def _forward_with_retries(
        self,
        call: calls.Call,
        route: catalog.Route,
        workspace: str,
        responder: downstream.Responder,
        progress: _Progress,
    ) -> None:
        """Try endpoints until one responds or no retry is allowed."""
        restriction = regions_lib.create_restriction(
            self._read_catalog, call.host, call.path, route, workspace
        )
        service = splits.choose_service(
            route,
            random.random(),
            functools.partial(
                self._placement.has_endpoints, regions=restriction.read()
            ),
        )
        excluded: set[str] = set()
        begun_at: set[str] = set()
        refused_by: set[str] = set()
        while True:
            suspect = self._quarantine.find_quarantined(call.list_suspects())
            if suspect is not None:
                await self._refuse_quarantined(
                    call, suspect, progress, responder
                )
                return
            regions = restriction.read()
            choice = self._placement.choose_endpoint(
                service, frozenset(excluded), regions=regions
            )
            if choice is None and excluded and progress.attempts:
                # Retry at the same endpoint if there is no other.
                choice = self._placement.choose_endpoint(
                    service, frozenset(refused_by), regions=regions
                )
            if choice is None:
                await self._reply_absence(
                    call, service, regions, progress, responder
                )
                return
            retry_after_s = load_shedding.compute_retry_delay(
                choice.wait_s,
                choice.limit_wait_s,
                route.objective_s,
                deadlines.compute_remaining(call.deadline),
                self._return_places,
            )
            if retry_after_s is not None and not progress.may_have_run:
                await self._refuse(call, choice, retry_after_s, responder)
                return
            if choice.limit_wait_s:
                await self._reply_failure(
                    call, progress, responder, "endpoints limited"
                )
                return
            self._placement.record_sending(choice.endpoint)
            attempt = calls.Attempt(
                choice.endpoint.id,
                workspace,
                call.deadline,
                progress.last_event,
            )
            outcome = await self._run_attempt(
                call, route, choice.endpoint, attempt, responder, progress
            )
            if outcome is Result.DONE:
                return
            excluded.add(choice.endpoint.id)
            if outcome is Result.NOT_RUN and not route.is_idempotent():
                # A faulty endpoint may send a refusal twice, and a copy of it
                # looks like the response to a second attempt there.
                refused_by.add(choice.endpoint.id)
            if outcome is Result.LOST and not progress.has_endpoint_ended:
                begun_at.add(choice.endpoint.id)
            can_retry = _can_retry(route, outcome, progress, call.deadline)
            if not can_retry and _can_return(
                route, outcome, progress, call.deadline
            ):
                await anyio.sleep(RETURN_DELAY_S)
                endpoints = self._placement.get_endpoints(
                    service, restriction.read()
                )
                excluded = {one.id for one in endpoints} - begun_at
                can_retry = len(excluded) < len(endpoints)
            if progress.has_endpoint_ended and self._quarantine.is_suspect(
                call.list_suspects()
            ):
                # The request may have ended the endpoint, and would end the
                # next one.
                can_retry = False
            if not can_retry:
                await self._reply_failure(
                    call, progress, responder, outcome.value
                )
                return

    async def _run_attempt(
        self,
        call: calls.Call,
        route: catalog.Route,
        endpoint: catalog.Endpoint,
        attempt: calls.Attempt,
        responder: downstream.Responder,
        progress: _Progress,
    ) -> Result:
        started_at = deadlines.now()
        progress.has_endpoint_ended = False
        progress.has_output = False
        progress.is_draining = False
        had_begun = responder.has_begun
        reason = ""
        result = Result.LOST
        status = 0
        kind = outcomes.RequestClass.ONLINE
        idle_timeout_s = _compute_idle_timeout(
            route, progress, attempt.deadline
        )
        try:
            with (
                self._loads.track(endpoint.id, kind),
                self._placement.track_activity(endpoint.id) as record_activity,
                self._placement.draining.watch(endpoint) as end_watch,
            ):
                if self._loads.count_in_flight(endpoint.id) > endpoint.slots:
                    self._loads.request_urgent_report()
                async with self._pool.use(
                    endpoint.address, call.id
                ) as connection:
                    connection.on_receive = record_activity
                    end_watch()
                    result = await self._exchange(
                        connection,
                        call,
                        route,
                        endpoint,
                        attempt,
                        responder,
                        progress,
                        idle_timeout_s,
                    )
                    status = connection.head.status
        except upstream.ExchangeError as error:
            reason = str(error)
            result = Result.LOST if error.was_sent else Result.NOT_SENT
            self._placement.record_unreachable(endpoint)
            if result is Result.NOT_SENT and not isinstance(
                error, upstream.InvalidRequestError
            ):
                self._placement.endpoint_limits.record_unreachable(
                    endpoint,
                    has_ended=isinstance(
                        error.__cause__, ConnectionRefusedError
                    ),
                )
            if error.was_sent:
                run = quarantine_lib.Run(
                    call.id,
                    call.prompt_parts,
                    started_at,
                    progress.has_output,
                    call.fingerprint,
                )
                progress.has_endpoint_ended = (
                    await lost_attempts.check_endpoint(
                        endpoint, run, self._quarantine, self._metrics
                    )
                )
                if progress.has_endpoint_ended:
                    self._placement.endpoint_limits.record_unreachable(
                        endpoint, has_ended=True
                    )
        except draining.EndpointDrainingError as error:
            reason = str(error)
            result = Result.WITHDRAWN
        except upstream.StalledError:
            reason = "idle timeout"
            self._placement.record_unreachable(endpoint)
        except anyio.get_cancelled_exc_class():
            # The deadline passed or the caller disconnected; log the attempt
            # nevertheless.
            took_s = deadlines.now() - started_at
            self._log_attempt(
                call, endpoint, progress, CANCELLED, status, "", took_s
            )
            if (
                not progress.may_have_run
                and took_s > placement_lib.UNRESPONSIVE_AFTER_S
            ):
                # Activity tracking does not detect that this request got no
                # response if the endpoint responded to others meanwhile.
                self._placement.record_error(endpoint)
            raise
        finally:
            if progress.is_draining and responder.has_begun and not had_begun:
                self._metrics.count_draining_response()
        took_s = deadlines.now() - started_at
        if result is Result.DONE and status not in SERVER_ERROR_STATUSES:
            self._placement.record_success(endpoint, took_s)
            if status in SUCCESS_STATUSES:
                self._quarantine.record_answer(call.list_suspects())
        elif status:
            # The endpoint responds with errors or refusals. Without a penalty,
            # its low load would attract more requests.
            self._placement.record_error(endpoint)
        self._log_attempt(
            call, endpoint, progress, result.value, status, reason, took_s
        )
        self._metrics.count_attempt(endpoint.service, result.value)
        _record_result(progress, result)
        is_broken = responder.has_begun and result is not Result.DONE
        if is_broken and not _can_resume(route, responder):
            raise IncompleteResponseError(reason)
        return result

    def _log_attempt(
        self,
        call: calls.Call,
        endpoint: catalog.Endpoint,
        progress: _Progress,
        result: str,
        status: int,
        reason: str,
        took_s: float,
    ) -> None:
        logs.log_message(
            "attempt",
            id=call.id,
            endpoint=endpoint.id,
            in_hand=self._loads.count_in_flight(endpoint.id),
            result=result,
            status=status,
            reason=reason,
            took_ms=round(took_s * deadlines.MS_PER_S),
            limit_per_s=self._placement.endpoint_limits.get_limit(endpoint.id),
            is_draining=progress.is_draining,
            draining_ms=self._placement.draining.get_age_ms(endpoint),
        )

    async def _exchange(
        self,
        connection: upstream.Connection,
        call: calls.Call,
        route: catalog.Route,
        endpoint: catalog.Endpoint,
        attempt: calls.Attempt,
        responder: downstream.Responder,
        progress: _Progress,
        idle_timeout_s: float,
    ) -> Result:
        """Run one HTTP exchange and forward its response.

        Raises:
            upstream.ExchangeError: The exchange failed.
            upstream.StalledError: The endpoint exceeded the idle timeout.
        """

        def check_head(head: upstream.Head) -> bool:
            info = self._dialect.read_response_info(head, call.id)
            if info.is_draining:
                # Late responses to other requests count as well.
                self._placement.draining.record_response(endpoint)
                progress.is_draining |= info.is_for_request
            return info.is_for_request

        request = self._dialect.write_attempt(call, attempt)
        progress.is_in_flight = True
        sent_at = deadlines.now()
        is_stream = route.kind is catalog.Kind.STREAM
        observer = self._placement.observe_response(
            endpoint, is_stream=is_stream
        )
        connection.stall_deadline = deadlines.after(idle_timeout_s)
        await connection.start(request, check_head)
        # Would keep the body after its release.
        del request
        info = self._dialect.read_response_info(connection.head, call.id)
        if not info.is_misdirected:
            self._placement.endpoint_limits.record_response(
                endpoint.id, info.limit_per_s, sent_at
            )
        if info.has_not_run:
            progress.is_in_flight = False
            await connection.discard_body()
            return Result.NOT_RUN
        progress.may_have_run = True
        status = connection.head.status
        if responder.has_begun and status not in SUCCESS_STATUSES:
            raise upstream.ExchangeError("stream was not resumed", True)
        if status in SUCCESS_STATUSES and not info.is_signed:
            raise upstream.ExchangeError("response has no checksum", True)
        with self._budget.open(
            memory_budget.Kind.RESPONSE, attempt.workspace
        ) as account:
            if is_stream and status in SUCCESS_STATUSES:
                return await self._forward_events(
                    connection,
                    call,
                    route,
                    responder,
                    progress,
                    idle_timeout_s,
                    account,
                    observer,
                )
            return await self._forward_buffered(
                connection,
                call,
                route,
                responder,
                progress,
                idle_timeout_s,
                account,
                observer,
            )

    async def _forward_buffered(
        self,
        connection: upstream.Connection,
        call: calls.Call,
        route: catalog.Route,
        responder: downstream.Responder,
        progress: _Progress,
        idle_timeout_s: float,
        account: memory_budget.Account,
        observer: observer_lib.Observer,
    ) -> Result:
        """Forward a response at once when it is complete.

        An incomplete one can be retried, or replaced by an error. Large
        responses are forwarded as they arrive, and so are all while memory is
        short.
        """
        parts: list[bytes] = []
        size = 0
        head = connection.head
        has_attempts_left = progress.attempts + 1 < route.max_attempts
        can_retry = (
            head.status in SERVER_ERROR_STATUSES
            and has_attempts_left
            and route.is_idempotent()
        )
        connection.stall_deadline = deadlines.after(idle_timeout_s)
        async for part in connection.iterate():
            if not can_retry:
                connection.stall_deadline = deadlines.after(idle_timeout_s)
            if not progress.has_output and head.status in SUCCESS_STATUSES:
                observer.record_events(1)
            progress.has_output = True
            parts.append(part)
            size += len(part)
            if size > pacing.UNPACED_BYTES:
                await self._pool.pacer.wait_turn()
            has_memory = responder.has_begun or account.try_grow(len(part))
            if size > MAX_BUFFERED_BYTES and can_retry:
                raise upstream.ExchangeError(
                    f"error exceeds {MAX_BUFFERED_BYTES} bytes", True
                )
            is_large = size > MAX_BUFFERED_BYTES or not has_memory
            if is_large and not responder.has_begun:
                can_retry = False
                call.content.release()
                await _reserve_in_flight(account, call.deadline)
                await self._begin_response(connection, responder)
            if responder.has_begun:
                connection.stall_deadline = deadlines.NEVER
                await responder.send(b"".join(parts))
                parts.clear()
        if responder.has_begun:
            await responder.finish()
            return Result.DONE
        if progress.has_output and head.status in SUCCESS_STATUSES:
            observer.record_end()
        body = b"".join(parts)
        if can_retry:
            progress.failure = (head, body)
            return Result.LOST
        await responder.reply(
            head.status, self._dialect.filter_response_headers(head), body
        )
        return Result.DONE

    async def _begin_response(
        self, connection: upstream.Connection, responder: downstream.Responder
    ) -> None:
        head = connection.head
        length = head.get(b"content-length")
        if head.get(b"transfer-encoding") is not None:
            # The chunks are the body, whatever the length says.
            length = None
        await responder.begin(
            head.status,
            self._dialect.filter_response_headers(head),
            int(length) if length is not None else None,
        )

    async def _forward_events(
        self,
        connection: upstream.Connection,
        call: calls.Call,
        route: catalog.Route,
        responder: downstream.Responder,
        progress: _Progress,
        idle_timeout_s: float,
        account: memory_budget.Account,
        observer: observer_lib.Observer,
    ) -> Result:
        """Forward complete events, so that the stream can resume after any.

        A response that ends within an event or without any has broken off,
        even if its framing is complete. The head of the response is that of
        the first endpoint.
        """
        splitter = events.Splitter()
        connection.stall_deadline = deadlines.after(idle_timeout_s)
        async for part in connection.iterate(events.MAX_PART_BYTES):
            try:
                complete_events = splitter.feed(part)
            except events.EventTooLargeError as error:
                raise upstream.ExchangeError(str(error), True) from error
            if not complete_events:
                continue
            progress.has_output = True
            received_at = deadlines.now()
            observer.record_events(len(complete_events))
            if not responder.has_begun:
                account.try_grow(STREAM_BYTES)
                if not route.is_resumable:
                    call.content.release()
                await responder.begin(
                    connection.head.status,
                    self._dialect.filter_response_headers(connection.head),
                )
            await responder.send(b"".join(one.raw for one in complete_events))
            progress.last_event = _find_last_id(
                complete_events, progress.last_event
            )
            observer.record_sent(received_at)
            # The time that the caller takes to read does not count.
            connection.stall_deadline = deadlines.after(idle_timeout_s)
        if splitter.has_partial_event() or not responder.has_begun:
            raise upstream.ExchangeError("stream ended within an event", True)
        await responder.finish()
        return Result.DONE

    async def _refuse(
        self,
        call: calls.Call,
        choice: placement_lib.Choice,
        retry_after_s: float,
        responder: downstream.Responder,
    ) -> None:
        """Refuse a call that would wait too long; it has not run."""
        reason = "overloaded"
        if choice.limit_wait_s:
            is_cold = self._placement.endpoint_limits.is_cold(
                choice.endpoint.id
            )
            limit = (
                eligibility.Reason.COLD
                if is_cold
                else eligibility.Reason.LIMITED
            )
            reason = limit.value
            self._metrics.count_ineligible(reason)
        logs.log_message(
            "refused",
            id=call.id,
            reason=reason,
            wait_ms=round(choice.wait_s * deadlines.MS_PER_S),
            return_ms=round(retry_after_s * deadlines.MS_PER_S),
            endpoint=choice.endpoint.id,
        )
        await responder.reply(
            UNAVAILABLE, self._dialect.write_refusal_headers(retry_after_s)
        )

    async def _refuse_quarantined(
        self,
        call: calls.Call,
        suspect: str,
        progress: _Progress,
        responder: downstream.Responder,
    ) -> None:
        """Refuse a call that would crash the endpoint that runs it."""
        if progress.may_have_run:
            await self._reply_failure(call, progress, responder, "quarantined")
            return
        retry_after_s = self._quarantine.compute_remaining(suspect)
        reason = eligibility.Reason.QUARANTINED.value
        self._metrics.count_ineligible(reason)
        logs.log_message(
            "refused",
            id=call.id,
            reason=reason,
            suspect=suspect,
            return_ms=round(retry_after_s * deadlines.MS_PER_S),
        )
        await responder.reply(
            UNAVAILABLE, self._dialect.write_refusal_headers(retry_after_s)
        )

    async def _reply_absence(
        self,
        call: calls.Call,
        service: str,
        regions: frozenset[str] | None,
        progress: _Progress,
        responder: downstream.Responder,
    ) -> None:
        """Respond to a call that no endpoint takes now."""
        reason = "no endpoint"
        retry_after_s = RETRY_AFTER_S
        if not self._placement.has_endpoints(service, regions):
            retry_after_s = load_shedding.compute_absence_delay()
            absence = self._placement.explain_absence(service, regions)
            if absence is not None:
                reason = f"no endpoint: {absence.value}"
                self._metrics.count_ineligible(absence.value)
        await self._reply_failure(
            call, progress, responder, reason, retry_after_s
        )

    async def _reply_failure(
        self,
        call: calls.Call,
        progress: _Progress,
        responder: downstream.Responder,
        reason: str,
        retry_after_s: float = RETRY_AFTER_S,
    ) -> None:
        """Respond to a call that no endpoint completed."""
        logs.log_message(
            "request failed",
            id=call.id,
            reason=reason,
            attempts=progress.attempts,
            may_have_run=progress.may_have_run or progress.is_in_flight,
        )
        if responder.has_begun:
            raise IncompleteResponseError(reason)
        if progress.failure is not None:
            head, body = progress.failure
            if self._dialect.read_response_info(head, call.id).is_draining:
                self._metrics.count_draining_response()
            headers = self._dialect.filter_response_headers(head)
            await responder.reply(head.status, headers, body)
        elif progress.may_have_run or progress.is_in_flight:
            is_late = deadlines.is_past(call.deadline) or reason == "timeout"
            await responder.reply(GATEWAY_TIMEOUT if is_late else BAD_GATEWAY)
        else:
            await responder.reply(
                UNAVAILABLE, self._dialect.write_refusal_headers(retry_after_s)
            )


async def _reserve_in_flight(
    account: memory_budget.Account, deadline: float
) -> None:
    """Charge a response that is passed on, without reading it meanwhile.

    What has arrived is passed on after a while although memory stays short.
    """
    missing = IN_FLIGHT_BYTES - account.held_bytes
    if missing > 0:
        await account.grow(
            missing, min(deadline, deadlines.after(MAX_HOLD_BACK_S))
        )


def _record_result(progress: _Progress, result: Result) -> None:
    if result in {Result.NOT_RUN, Result.NOT_SENT}:
        progress.unexecuted_tries += 1
    if result not in {Result.NOT_SENT, Result.WITHDRAWN}:
        progress.attempts += 1
    if result is Result.LOST:
        progress.may_have_run = True
    progress.is_in_flight = False


def _can_retry(
    route: catalog.Route,
    result: Result,
    progress: _Progress,
    deadline: float,
) -> bool:
    if deadlines.compute_remaining(deadline) < MIN_REMAINING_S:
        return False
    if progress.unexecuted_tries > MAX_UNEXECUTED_TRIES:
        return False
    if result in {Result.NOT_SENT, Result.WITHDRAWN}:
        return True
    if result is Result.LOST and not route.is_idempotent():
        return False
    return progress.attempts < route.max_attempts


def _can_return(
    route: catalog.Route,
    result: Result,
    progress: _Progress,
    deadline: float,
) -> bool:
    """Return whether to try again where the request may have run in part.

    `max_attempts` limits the number of different endpoints. One that was only
    silent may go on, while the last of the others was full.
    """
    return (
        result is Result.NOT_RUN
        and route.is_idempotent()
        and progress.may_have_run
        and progress.unexecuted_tries <= MAX_UNEXECUTED_TRIES
        and deadlines.compute_remaining(deadline)
        > RETURN_DELAY_S + MIN_REMAINING_S
    )


def _can_resume(route: catalog.Route, responder: downstream.Responder) -> bool:
    """Return whether another endpoint can continue a response."""
    is_stream = route.kind is catalog.Kind.STREAM
    has_events = is_stream and responder.status in SUCCESS_STATUSES
    return has_events and route.is_resumable


def _compute_idle_timeout(
    route: catalog.Route, progress: _Progress, deadline: float
) -> float:
    """Return for how long an endpoint may send no data."""
    remaining_s = deadlines.compute_remaining(deadline)
    if not route.is_idempotent():
        return remaining_s + 1.0
    if progress.attempts + 1 >= route.max_attempts:
        return remaining_s + 1.0
    if route.kind is catalog.Kind.STREAM:
        return STREAM_IDLE_TIMEOUT_S
    return max(MIN_IDLE_TIMEOUT_S, route.objective_s * IDLE_TIMEOUT_OBJECTIVES)


def _find_last_id(
    complete_events: list[events.Event], default: str | None
) -> str | None:
    for event in reversed(complete_events):
        if event.id:
            return event.id
    return default


def create_forwarder(
    dialect: calls.Dialect,
    pool: upstream.Pool,
    placement: placement_lib.Placement,
    load_table: loads.Loads,
    quarantine: quarantine_lib.Quarantine,
    metrics: metrics_lib.Metrics,
    shutdown: shutdown_lib.Shutdown,
    budget: memory_budget.Budget,
    read_catalog: Callable[[], catalog.Catalog],
) -> Forwarder:
    """Create a forwarder.

    Args:
        dialect: Wire format of requests and responses.
        pool: Connection pool for endpoints.
        placement: Chooses endpoints.
        load_table: Counts requests in flight.
        quarantine: Tells which requests would crash endpoints.
        metrics: Counts attempts.
        shutdown: Ends calls when the process shuts down.
        budget: Memory for responses.
        read_catalog: Returns the current configuration.
    """
    return Forwarder(
        dialect,
        pool,
        placement,
        load_table,
        quarantine,
        metrics,
        shutdown,
        budget,
        read_catalog,
    )
