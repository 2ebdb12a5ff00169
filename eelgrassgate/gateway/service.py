"""Decides what becomes of each request of a caller."""

from collections.abc import Awaitable
from collections.abc import Callable
import traceback
from typing import Final

from eelgrassgate import deadlines
from eelgrassgate import logs
from eelgrassgate.gateway import batch_calls
from eelgrassgate.gateway import calls
from eelgrassgate.gateway import catalog
from eelgrassgate.gateway import forwarding
from eelgrassgate.gateway import metrics as metrics_lib
from eelgrassgate.gateway import rates as rates_lib
from eelgrassgate.http1 import downstream

UNAUTHORIZED: Final = 401
NOT_FOUND: Final = 404
TOO_MANY: Final = 429
UNAVAILABLE: Final = 503
# What callers are told before the first configuration has been read.
NO_CONFIGURATION_RETRY_S: Final = 0.5


class Service:
    """Answers requests by the configuration in force."""

    def __init__(
        self,
        read_catalog: Callable[[], catalog.Catalog],
        wait_loaded: Callable[[], Awaitable[None]],
        dialect: calls.Dialect,
        rates: rates_lib.Rates,
        forwarder: forwarding.Forwarder,
        batches: batch_calls.BatchCalls,
        metrics: metrics_lib.Metrics,
    ) -> None:
        """Create; see `create_service`."""
        self._wait_loaded = wait_loaded
        self._read_catalog = read_catalog
        self._dialect = dialect
        self._rates = rates
        self._forwarder = forwarder
        self._batches = batches
        self._metrics = metrics

    async def handle(
        self, incoming: downstream.Incoming, responder: downstream.Responder
    ) -> None:
        """Answer one request.

        Raises:
            downstream.CallerGoneError: The caller has gone.
        """
        call = self._dialect.read_call(incoming)
        try:
            await self._answer(incoming, call, responder)
        except forwarding.BrokenAnswerError as error:
            # The connection closes before the end, so that the answer does
            # not look complete.
            responder.is_closing = True
            logs.log_message("cut", id=call.id, reason=str(error))
        except downstream.CallerGoneError:
            raise
        except Exception:
            # One request's fault must not end all others of the process.
            responder.is_closing = True
            logs.log_message(
                "fault", id=call.id, trace=traceback.format_exc()[-2_000:]
            )

    async def _answer(
        self,
        incoming: downstream.Incoming,
        call: calls.Call,
        responder: downstream.Responder,
    ) -> None:
        await self._wait_loaded()
        present = self._read_catalog()
        if not present.version:
            await self._refuse(call, UNAVAILABLE, "no configuration", responder)
            return
        job_call = self._batches.read_job_call(call)
        route = present.find_route(call.host, call.path)
        if route is not None:
            # A route may lie under a path that calls on jobs use.
            job_call = None
        elif job_call is None or not present.has_host(call.host):
            await self._refuse(call, NOT_FOUND, "no route", responder)
            return
        workspace = present.workspace_by_key.get(call.key or "", "")
        is_open = route is not None and route.is_open
        if present.workspaces_by_name and not workspace and not is_open:
            await self._refuse(call, UNAUTHORIZED, "unknown key", responder)
            return
        if job_call is not None:
            wait_s = self._dialect.read_wait(incoming)
            await self._batches.answer(
                job_call, call, workspace, wait_s, responder
            )
            return
        assert route is not None
        if route.kind is catalog.Kind.BATCH:
            await self._batches.submit(call, route, workspace, responder)
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
            self._metrics.count_request(workspace, route.name, TOO_MANY)
            headers = self._dialect.write_refusal(retry_after_s)
            await responder.reply(TOO_MANY, headers)
            return
        began = deadlines.now()
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
                    max(0.0, responder.begun_at - began) * deadlines.MS_PER_S
                ),
                took_ms=round((deadlines.now() - began) * deadlines.MS_PER_S),
            )
            self._metrics.count_request(workspace, route.name, responder.status)
            if responder.begun_at:
                self._metrics.observe_first_byte(
                    workspace, route.kind.value, responder.begun_at - began
                )

    async def _refuse(
        self,
        call: calls.Call,
        status: int,
        reason: str,
        responder: downstream.Responder,
    ) -> None:
        logs.log_message("refused", id=call.id, reason=reason, status=status)
        headers = self._dialect.write_refusal(
            NO_CONFIGURATION_RETRY_S if status == UNAVAILABLE else None
        )
        await responder.reply(status, headers)


def create_service(
    read_catalog: Callable[[], catalog.Catalog],
    wait_loaded: Callable[[], Awaitable[None]],
    dialect: calls.Dialect,
    rates: rates_lib.Rates,
    forwarder: forwarding.Forwarder,
    batches: batch_calls.BatchCalls,
    metrics: metrics_lib.Metrics,
) -> Service:
    """Create the service.

    Args:
        read_catalog: Returns the configuration in force.
        wait_loaded: Waits for the first configuration, but not for long.
        dialect: Names on the wire.
        rates: Rates of workspaces.
        forwarder: Forwards requests.
        batches: Answers calls on batch jobs.
        metrics: Where requests are counted.
    """
    return Service(
        read_catalog,
        wait_loaded,
        dialect,
        rates,
        forwarder,
        batches,
        metrics,
    )
