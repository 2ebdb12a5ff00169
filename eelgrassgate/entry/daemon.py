"""Builds the entry's components and runs the entry process."""

import functools
import os
import sys
from typing import Any
from typing import Final

import anyio
import anyio.abc
import eliot

from eelgrassgate import binding
from eelgrassgate import deadlines
from eelgrassgate import outcomes
from eelgrassgate import settings
from eelgrassgate import signal_handling
from eelgrassgate import signals
from eelgrassgate import supervision
from eelgrassgate.callers import access_control
from eelgrassgate.callers import app
from eelgrassgate.callers import base as callers_base
from eelgrassgate.callers import batches
from eelgrassgate.callers import server
from eelgrassgate.entry import agents
from eelgrassgate.entry import dispatch
from eelgrassgate.entry import exchanges
from eelgrassgate.entry import items
from eelgrassgate.entry import mesh
from eelgrassgate.entry import router_updates
from eelgrassgate.entry import services
from eelgrassgate.entry import status
from eelgrassgate.instances import endpointslice
from eelgrassgate.jobs import owner
from eelgrassgate.operators import api
from eelgrassgate.operators import exit_codes
from eelgrassgate.routing import router as router_lib
from eelgrassgate.store import etcd

OPERATORS_DRAIN_S: Final = 1.0
LEAVE_TIMEOUT_S: Final = 10.0
# Time before the end of a drain in which final responses are written.
RESPONSE_MARGIN_S: Final = 0.25
LINK_BUDGET_INTERVAL_S: Final = 1.0
# How long a process that just ends may still hold the addresses.
PREDECESSOR_GRACE_S: Final = 5.0

_LOG: Final[Any] = eliot.log_message


class Entry:
    """One entry in this process."""

    def __init__(
        self, entry_settings: settings.Entry, entry_services: services.Services
    ) -> None:
        """Create an entry that is not yet running."""
        self._settings = entry_settings
        self._services = entry_services
        open_exchanges = exchanges.Exchanges()
        self._exchanges = open_exchanges
        self.agents = agents.Agents(
            entry_services.hello,
            entry_settings.curve,
            open_exchanges,
            entry_services.read_config_status,
        )
        self._mesh = mesh.Mesh(
            entry_services.hello,
            entry_settings.curve,
            entry_services.listeners,
            entry_services.read_config_status,
            entry_services.entries_by_name,
        )
        self._gate = access_control.AccessController(
            entry_services.authenticator,
            entry_services.limiter,
            entry_services.recorder,
        )
        entry_services.authenticator.subscribe(self._abort_withdrawn)
        router = router_lib.create_router(
            entry_settings.place, counter=entry_services.recorder
        )
        self._router = router
        self.agents.subscribe(router_updates.RouterUpdater(router))
        views_by_name = self.agents.views_by_name
        self._dispatcher = dispatch.Dispatcher(
            open_exchanges, router, views_by_name
        )
        item_runner = items.ItemRunner(
            entry_services.source,
            entry_services.limiter,
            entry_services.recorder,
            self._dispatcher,
            router,
            views_by_name,
        )
        self.agents.subscribe(item_runner)
        self._owner = owner.create_owner(
            entry_services.store,
            entry_settings.place.instance,
            item_runner,
            lambda: entry_services.source.fleet.limits,
        )
        self._supervisor = supervision.create_supervisor(
            lambda task: entry_services.recorder.count("task_failures")
        )
        self._is_leaving = False
        self._ended_requests = 0
        self.link_address = ""

    def is_ready(self) -> bool:
        """Return whether new callers can be served."""
        views = self.agents.views_by_name.values()
        has_agent = any(view.has_all_lanes() for view in views)
        is_serving = has_agent and self._services.can_admit()
        return is_serving and not self._is_leaving

    async def run(
        self,
        stop: anyio.Event,
        *,
        task_status: anyio.abc.TaskStatus[str] = anyio.TASK_STATUS_IGNORED,
    ) -> int:
        """Serve until `stop` is set, then drain.

        Reports the address that callers connect to through `task_status`.

        Returns:
            Number of online requests still in flight when the drain timed out.
        """
        batch_api = batches.BatchHandler(
            self._services.source, self._gate, self._services.store
        )
        application = app.create_app(
            app.Dependencies(
                source=self._services.source,
                access=self._gate,
                dispatcher=self._dispatcher,
                recorder=self._services.recorder,
                readiness=self,
                store=self._services.store,
                routes=batch_api.list_routes(),
            )
        )
        closing = anyio.Event()
        drained = anyio.Event()
        give_up_at = binding.compute_give_up_at(PREDECESSOR_GRACE_S)
        async with anyio.create_task_group() as tasks:
            start = functools.partial(self._supervisor.start, tasks)
            for name, task in self._services.background_tasks_by_name.items():
                start(name, task)
            self.link_address = await tasks.start(
                self._mesh.run,
                self._settings.link_listen,
                self._services.instance_list,
                give_up_at,
            )
            if self._settings.operators_listen is not None:
                start("operators", self._serve_operators, closing)
            tasks.start_soon(self.agents.run, self._services.instance_list)
            start("exchanges", self._exchanges.run)
            start("link budget", self._update_link_budget)
            tasks.start_soon(self._owner.run)
            tasks.start_soon(self._drain, stop, closing, drained)
            tasks.start_soon(self._end_requests, closing)
            await server.serve(
                application,
                self._settings.listen,
                closing,
                self._get_drain_timeout_s,
                give_up_at,
                task_status=task_status,
            )
            aborted = self.count_in_flight() + self._ended_requests
            await drained.wait()
            with anyio.move_on_after(LEAVE_TIMEOUT_S):
                await self._services.leave()
            tasks.cancel_scope.cancel()
        _LOG("entry:stopped", cut=aborted)
        return aborted

    def _abort_withdrawn(self) -> None:
        authenticator = self._services.authenticator
        self._exchanges.abort_withdrawn(
            lambda digest: authenticator.is_valid(
                callers_base.Principal("", digest)
            )
        )

    def count_in_flight(self) -> int:
        """Return the number of online requests in flight."""
        return self._exchanges.count(outcomes.RequestClass.ONLINE)

    async def _drain(
        self, stop: anyio.Event, closing: anyio.Event, drained: anyio.Event
    ) -> None:
        await stop.wait()
        self._is_leaving = True
        _LOG("entry:draining", in_hand=self.count_in_flight())
        until = deadlines.after(self._get_drain_timeout_s())
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._owner.drain, until)
            await self._close_after_notice(closing)
        drained.set()

    async def _end_requests(self, closing: anyio.Event) -> None:
        """Answer the requests that are in flight when the drain ends."""
        await closing.wait()
        await anyio.sleep(self._get_drain_timeout_s() - RESPONSE_MARGIN_S)
        self._ended_requests = self._exchanges.abort_online(
            outcomes.refuse_unknown(
                outcomes.Code.DEADLINE_EXCEEDED, "The entry shuts down."
            )
        )

    async def _serve_operators(self, closing: anyio.Event) -> None:
        await server.serve(
            api.create_app(self.read_status),
            self._settings.operators_listen or "",
            closing,
            lambda: OPERATORS_DRAIN_S,
            deadlines.NEVER,
        )

    def _get_drain_timeout_s(self) -> float:
        return self._services.source.fleet.limits.drain_s

    async def _update_link_budget(self) -> None:
        """Keep the router's link limits and number of entries up to date."""
        applied = None
        while True:
            entries = max(1, len(self._services.entries_by_name))
            current = (self._services.source.fleet.link, entries)
            if current != applied:
                applied = current
                self._router.configure(*current)
            await anyio.sleep(LINK_BUDGET_INTERVAL_S)

    def read_status(self) -> api.Status:
        """Return the status reported to operators."""
        views = self.agents.views_by_name.values()
        return status.build_status(self._services, views, self.is_ready())

    async def _close_after_notice(self, closing: anyio.Event) -> None:
        # Gives the load balancer time to see that this instance is not ready.
        await anyio.sleep(self._settings.notice_s)
        closing.set()


def run(entry_settings: settings.Entry) -> int:
    """Run the entry until SIGTERM or SIGINT.

    Returns:
        The exit code: `exits.OK`, or `exits.NOT_DRAINED` if requests were
        aborted.
    """
    eliot.to_file(sys.stderr)  # type: ignore[no-untyped-call]
    try:
        aborted = anyio.run(
            _run_until_signal,
            entry_settings,
            backend_options={"use_uvloop": True},
        )
    except Exception as error:
        fatal = supervision.find_fatal(error)
        if fatal is None:
            raise
        _LOG("ended", reason=f"address unavailable: {fatal}")
        return exit_codes.ADDRESS_UNAVAILABLE
    return exit_codes.NOT_DRAINED if aborted else exit_codes.OK


async def _run_until_signal(entry_settings: settings.Entry) -> int:
    store = etcd.create_etcd_store(entry_settings.platform.store_url)
    instance_list = endpointslice.create_endpointslice_list(
        entry_settings.platform.instances_url
    )
    entry = Entry(
        entry_settings,
        services.create_services(entry_settings, store, instance_list),
    )
    stop = anyio.Event()
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(
            signal_handling.handle_forever,
            signals.receive(),
            functools.partial(_handle_signal, entry, stop),
        )
        aborted = await entry.run(stop)
        tasks.cancel_scope.cancel()
    await store.close()
    await instance_list.close()
    return aborted


def _handle_signal(entry: Entry, stop: anyio.Event, number: int) -> None:
    if number not in signals.STOP_SIGNALS:
        _LOG("signal:ignored", signal=signals.get_name(number))
        return
    if stop.is_set():
        _LOG("entry:drain_aborted", cut=entry.count_in_flight())
        # A second signal must end the process without any delay.
        os._exit(exit_codes.NOT_DRAINED)
    stop.set()
