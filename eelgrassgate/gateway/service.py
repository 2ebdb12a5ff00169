"""Request handling: authentication, routing, rate limits, forwarding."""

from collections.abc import Awaitable
from collections.abc import Callable
from typing import Final

import anyio
import msgspec

from eelgrassgate import deadlines
from eelgrassgate import logs
from eelgrassgate.gateway import batch_calls
from eelgrassgate.gateway import calls
from eelgrassgate.gateway import catalog
from eelgrassgate.gateway import forwarding
from eelgrassgate.gateway import metrics as metrics_lib
from eelgrassgate.gateway import rates as rates_lib
from eelgrassgate.gateway import shutdown as shutdown_lib
from eelgrassgate.http1 import downstream

UNAUTHORIZED: Final = 401
NOT_FOUND: Final = 404
TOO_MANY_REQUESTS: Final = 429
UNAVAILABLE: Final = 503
GATEWAY_TIMEOUT: Final = 504
# Retry delay until the first configuration has been loaded.
NO_CONFIGURATION_RETRY_S: Final = 0.5
# Other instances serve a request that this one refuses as it shuts down.
SHUTDOWN_RETRY_S: Final = 0.0


class Service:
    """Handles requests according to the current configuration."""

    def __init__(
        self,
        read_catalog: Callable[[], catalog.Catalog],
        read_config_age_s: Callable[[], float],
        wait_until_loaded: Callable[[], Awaitable[None]],
        dialect: calls.Dialect,
        rates: rates_lib.Rates,
        forwarder: forwarding.Forwarder,
        batches: batch_calls.BatchCalls,
        metrics: metrics_lib.Metrics,
        shutdown: shutdown_lib.Shutdown,
    ) -> None:
        """Initialize; see `create_service`."""
        self._shutdown = shutdown
        self._read_config_age_s = read_config_age_s
        self._wait_until_loaded = wait_until_loaded
        self._read_catalog = read_catalog
        self._dialect = dialect
        self._rates = rates
        self._forwarder = forwarder
        self._batches = batches
        self._metrics = metrics

    async def handle(
        self,
        incoming: downstream.IncomingRequest,
        responder: downstream.Responder,
    ) -> None:
        """Handle one request.

        Raises:
            downstream.ClientDisconnectedError: The caller disconnected.
        """
        call = self._dialect.read_call(incoming)
        has_failed = False
        try:
            await self._handle_request(incoming, call, responder)
        except forwarding.IncompleteResponseError as error:
            # Closing the connection early tells the caller that the response
            # is incomplete.
            responder.is_closing = True
            logs.log_message(
                "response truncated", id=call.id, reason=str(error)
            )
        except downstream.ClientDisconnectedError:
            raise
        except Exception:
            # The connection responds to it.
            has_failed = True
            raise
        finally:
            if not responder.has_begun and not has_failed:
                logs.log_message(
                    "request unanswered",
                    id=call.id,
                    has_disconnected=responder.has_disconnected(),
                    version=self._read_catalog().version,
                    took_ms=round(
                        (deadlines.now() - incoming.received_at)
                        * deadlines.MS_PER_S
                    ),
                )
                self._metrics.count_unanswered(responder.has_disconnected())

    async def _handle_request(
        self,
        incoming: downstream.IncomingRequest,
        call: calls.Call,
        responder: downstream.Responder,
    ) -> None:
        await self._wait_until_loaded()
        current = self._read_catalog()
        if not current.version:
            await self._refuse(call, UNAVAILABLE, "no configuration", responder)
            return
        # A job outlives the routes of its host.
        job_call = self._batches.read_job_call(call)
        route = current.find_route(call.host, call.path)
        if route is not None:
            # Routes take precedence over the paths of the batch job API.
            job_call = None
        elif job_call is None:
            await self._refuse(call, NOT_FOUND, "no route", responder)
            return
        workspace = current.workspace_by_key.get(call.key or "", "")
        is_open = route is not None and route.is_open
        if current.workspaces_by_name and not workspace and not is_open:
            await self._refuse(call, UNAUTHORIZED, "unknown key", responder)
            return
        if job_call is not None:
            wait_s = self._dialect.read_wait_s(incoming)
            with self._shutdown.bound(responder) as scope:
                await self._batches.handle_job_call(
                    job_call, call, workspace, wait_s, responder
                )
            await self._reply_if_ended(call, scope, responder)
            return
        assert route is not None
        if route.timeout_s:
            times_out_at = incoming.received_at + route.timeout_s
            call = msgspec.structs.replace(
                call, deadline=min(call.deadline, times_out_at)
            )
        if route.kind is catalog.Kind.BATCH:
            with self._shutdown.bound(responder) as scope:
                await self._batches.submit(
                    call, route, workspace, current.version, responder
                )
            await self._reply_if_ended(call, scope, responder)
            return
        if self._shutdown.is_refusing:
            await self._refuse(
                call, UNAVAILABLE, "shutdown", responder, SHUTDOWN_RETRY_S
            )
            return
        await self._forward(call, route, workspace, responder)

    async def _forward(
        self,
        call: calls.Call,
        route: catalog.Route,
        workspace: str,
        responder: downstream.Responder,
    ) -> None:
        retry_after_s = self._rates.admit(workspace) if workspace else None
        if retry_after_s is not None:
            logs.log_message(
                "refused",
                id=call.id,
                reason="rate",
                workspace=workspace,
                share=self._rates.share,
            )
            self._metrics.count_request(
                workspace, route.name, TOO_MANY_REQUESTS
            )
            headers = self._dialect.write_refusal_headers(retry_after_s)
            await responder.reply(TOO_MANY_REQUESTS, headers)
            return
        started_at = deadlines.now()
        try:
            await self._forwarder.forward(call, route, workspace, responder)
        finally:
            logs.log_message(
                "request",
                id=call.id,
                route=route.name,
                workspace=workspace,
                status=responder.status,
                first_byte_ms=round(
                    max(0.0, responder.begun_at - started_at)
                    * deadlines.MS_PER_S
                ),
                took_ms=round(
                    (deadlines.now() - started_at) * deadlines.MS_PER_S
                ),
            )
            self._metrics.count_request(workspace, route.name, responder.status)
            if responder.begun_at:
                self._metrics.observe_first_byte(
                    workspace, route.kind.value, responder.begun_at - started_at
                )

    async def _reply_if_ended(
        self,
        call: calls.Call,
        scope: anyio.CancelScope,
        responder: downstream.Responder,
    ) -> None:
        """Respond to a request about a job that a shutdown has ended.

        What it asked for may have been done.
        """
        if scope.cancelled_caught and not responder.has_begun:
            logs.log_message("request failed", id=call.id, reason="shutdown")
            await responder.reply(GATEWAY_TIMEOUT)

    async def _refuse(
        self,
        call: calls.Call,
        status: int,
        reason: str,
        responder: downstream.Responder,
        retry_after_s: float = NO_CONFIGURATION_RETRY_S,
    ) -> None:
        logs.log_message(
            "refused",
            id=call.id,
            reason=reason,
            status=status,
            version=self._read_catalog().version,
            confirmed_ms=deadlines.to_ms(self._read_config_age_s()),
        )
        headers = self._dialect.write_refusal_headers(
            retry_after_s if status == UNAVAILABLE else None
        )
        await responder.reply(status, headers)


def create_service(
    read_catalog: Callable[[], catalog.Catalog],
    read_config_age_s: Callable[[], float],
    wait_until_loaded: Callable[[], Awaitable[None]],
    dialect: calls.Dialect,
    rates: rates_lib.Rates,
    forwarder: forwarding.Forwarder,
    batches: batch_calls.BatchCalls,
    metrics: metrics_lib.Metrics,
    shutdown: shutdown_lib.Shutdown,
) -> Service:
    """Create the request handler.

    Args:
        read_catalog: Returns the current configuration.
        read_config_age_s: Returns the seconds since it was last confirmed.
        wait_until_loaded: Waits for the first configuration, up to a limit.
        dialect: Wire format of requests and responses.
        rates: Rate limits of workspaces.
        forwarder: Forwards requests.
        batches: Handles requests to the batch job API.
        metrics: Counts requests.
        shutdown: Ends requests when the process shuts down.
    """
    return Service(
        read_catalog,
        read_config_age_s,
        wait_until_loaded,
        dialect,
        rates,
        forwarder,
        batches,
        metrics,
        shutdown,
    )
