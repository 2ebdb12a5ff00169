"""The entry: puts callers, agents and the platform together."""

import os
import signal
import sys
from typing import Any
from typing import Final

import anyio
import anyio.abc
import eliot

from eelgrassgate import deadlines
from eelgrassgate import outcomes
from eelgrassgate import settings
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
from eelgrassgate.entry import routes
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
LINK_LOOK_S: Final = 1.0

_LOG: Final[Any] = eliot.log_message


class Entry:
    """One entry in this process."""

    def __init__(self, own: settings.Entry, parts: services.Services) -> None:
        """Create an entry that is not yet running."""
        self._settings = own
        self._services = parts
        held = exchanges.Exchanges()
        self._held = held
        self.agents = agents.Agents(
            parts.hello, own.curve, held, parts.read_beat
        )
        self._mesh = mesh.Mesh(
            parts.hello,
            own.curve,
            parts.listeners,
            parts.read_beat,
            parts.known_by_name,
        )
        self._gate = access_control.AccessController(
            parts.authority, parts.limiter, parts.recorder
        )
        parts.authority.subscribe(self._cut_withdrawn)
        router = router_lib.create_router(own.place, counter=parts.recorder)
        self._router = router
        self.agents.subscribe(routes.Routes(router))
        views_by_name = self.agents.views_by_name
        self._dispatcher = dispatch.Dispatcher(held, router, views_by_name)
        running = items.Items(
            parts.source,
            parts.limiter,
            parts.recorder,
            self._dispatcher,
            router,
            views_by_name,
        )
        self.agents.subscribe(running)
        self._owner = owner.create_owner(
            parts.store,
            own.place.instance,
            running,
            lambda: parts.source.fleet.limits,
        )
        self._is_leaving = False
        self.link_address = ""

    def is_ready(self) -> bool:
        """Tell whether new callers are served."""
        views = self.agents.views_by_name.values()
        has_agent = any(view.has_all_lanes() for view in views)
        is_serving = has_agent and self._services.has_share()
        return is_serving and not self._is_leaving

    async def run(
        self,
        stop: anyio.Event,
        *,
        task_status: anyio.abc.TaskStatus[str] = anyio.TASK_STATUS_IGNORED,
    ) -> int:
        """Serve until `stop`, then drain.

        Reports the callers' address through `task_status`.

        Returns:
            How many online requests were cut at the limit of the drain.
        """
        batching = batches.BatchHandler(
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
                routes=batching.list_routes(),
            )
        )
        closing = anyio.Event()
        drained = anyio.Event()
        async with anyio.create_task_group() as tasks:
            for runner in self._services.runners:
                tasks.start_soon(runner)
            self.link_address = await tasks.start(
                self._mesh.run,
                self._settings.link_listen,
                self._services.listed,
            )
            if self._settings.operators_listen is not None:
                tasks.start_soon(self._serve_operators, closing)
            tasks.start_soon(self.agents.run, self._services.listed)
            tasks.start_soon(self._held.run)
            tasks.start_soon(self._keep_link_budget)
            tasks.start_soon(self._owner.run)
            tasks.start_soon(self._drain, stop, closing, drained)
            await server.serve(
                application,
                self._settings.listen,
                closing,
                self._read_drain_s,
                task_status=task_status,
            )
            cut = self.count_in_hand()
            await drained.wait()
            with anyio.move_on_after(LEAVE_TIMEOUT_S):
                await self._services.leave()
            tasks.cancel_scope.cancel()
        _LOG("entry:left", cut=cut)
        return cut

    def _cut_withdrawn(self) -> None:
        authority = self._services.authority
        self._held.cut(
            lambda digest: authority.is_valid(
                callers_base.Principal("", digest)
            )
        )

    def count_in_hand(self) -> int:
        """Return how many online requests are in hand."""
        return self._held.count(outcomes.RequestClass.ONLINE)

    async def _drain(
        self, stop: anyio.Event, closing: anyio.Event, drained: anyio.Event
    ) -> None:
        await stop.wait()
        self._is_leaving = True
        _LOG("entry:leaving", in_hand=self.count_in_hand())
        until = deadlines.after(self._read_drain_s())
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._owner.drain, until)
            await self._close(closing)
        drained.set()

    async def _serve_operators(self, closing: anyio.Event) -> None:
        await server.serve(
            api.create_app(self.read_status),
            self._settings.operators_listen or "",
            closing,
            lambda: OPERATORS_DRAIN_S,
        )

    def _read_drain_s(self) -> float:
        return self._services.source.fleet.limits.drain_s

    async def _keep_link_budget(self) -> None:
        """Give the router the link's limits and how many entries share it."""
        known = None
        while True:
            entries = max(1, len(self._services.known_by_name))
            present = (self._services.source.fleet.link, entries)
            if present != known:
                known = present
                self._router.configure(*present)
            await anyio.sleep(LINK_LOOK_S)

    def read_status(self) -> api.Status:
        """Return what operators are told."""
        views = self.agents.views_by_name.values()
        return status.read(self._services, views, self.is_ready())

    async def _close(self, closing: anyio.Event) -> None:
        # The balancer sees that this instance is not ready before it closes.
        await anyio.sleep(self._settings.notice_s)
        closing.set()


def run(own: settings.Entry) -> int:
    """Run the daemon until SIGTERM.

    Returns:
        The exit code: 0, or `exits.NOT_DRAINED` if requests were cut.
    """
    eliot.to_file(sys.stderr)  # type: ignore[no-untyped-call]
    cut = anyio.run(
        _run_until_signal, own, backend_options={"use_uvloop": True}
    )
    return exit_codes.NOT_DRAINED if cut else exit_codes.OK


async def _run_until_signal(own: settings.Entry) -> int:
    store = etcd.create_etcd_store(own.platform.store_url)
    listed = endpointslice.create_endpointslice_list(own.platform.instances_url)
    entry = Entry(own, services.create_services(own, store, listed))
    stop = anyio.Event()
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(_watch_signals, entry, stop)
        cut = await entry.run(stop)
        tasks.cancel_scope.cancel()
    await store.close()
    await listed.close()
    return cut


async def _watch_signals(entry: Entry, stop: anyio.Event) -> None:
    with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as received:
        async for _ in received:
            if stop.is_set():
                _LOG("entry:killed", cut=entry.count_in_hand())
                # Nothing may hold up an operator who asks twice.
                os._exit(exit_codes.NOT_DRAINED)
            stop.set()
