"""Puts an agent together and runs it."""

from collections.abc import Callable
import random
import signal
from typing import Any
from typing import Final

import anyio
from anyio import abc
import eliot

from eelgrassgate import deadlines
from eelgrassgate import messages
from eelgrassgate import outcomes
from eelgrassgate import settings as process_settings
from eelgrassgate.agent import execution
from eelgrassgate.agent import fences
from eelgrassgate.agent import queue
from eelgrassgate.agent import reporting
from eelgrassgate.agent import results
from eelgrassgate.agent import runner
from eelgrassgate.agent import scheduler
from eelgrassgate.agent import watching
from eelgrassgate.agent import window
from eelgrassgate.engine import base
from eelgrassgate.engine import http as engine_http
from eelgrassgate.link import server
from eelgrassgate.metrics import recorder
from eelgrassgate.service import http as service_http

MAX_INCARNATION: Final = 2**53
FLUSH_S: Final = 0.2
LOOK_S: Final = 0.02
SETTLE_S: Final = 5.0
STOP_S: Final = 2.0
ENGINE: Final = "engine"

_LOG: Final[Any] = eliot.log_message


class Agent:
    """An agent's parts, around one endpoint."""

    def __init__(
        self,
        settings: process_settings.Agent,
        endpoint: base.Endpoint,
        tasks: abc.TaskGroup,
        clock: Callable[[], float],
    ) -> None:
        """Put the parts together; `start` sets them going."""
        is_engine = settings.kind == ENGINE
        self._settings = settings
        self._tasks = tasks
        self._fences = fences.Fences()
        self.window = window.Window(settings.window, clock)
        self._watcher = watching.Watcher(endpoint, self.window)
        self._reporter = reporting.Reporter(self.write_report)
        self.recorder = recorder.create_recorder(
            "agent", settings.statsd, clock
        )
        self.scheduler = scheduler.Scheduler(
            queue.Queue(),
            self.window,
            execution.Executor(endpoint, self.window, clock),
            clock,
            can_resume=settings.can_resume and is_engine,
            is_stale=lambda work: self._fences.is_stale(
                work.submit.owner, work.fence
            ),
            on_change=self._reporter.note_change,
            on_end=lambda work, ended: self.runner.finish(work, ended),
        )
        self.runner = runner.Runner(
            tasks,
            self.scheduler,
            self._reporter,
            self._fences,
            results.Results(clock),
            self.recorder,
            clock,
            is_engine=is_engine,
        )

    def start(self) -> None:
        """Start the parts' tasks."""
        self._tasks.start_soon(self.scheduler.run)
        self._tasks.start_soon(self._reporter.run)
        self._tasks.start_soon(self._watcher.run)
        if self._settings.statsd:
            self._tasks.start_soon(self.recorder.run)

    def write_report(self) -> messages.LoadReport:
        """Return the load as it is now."""
        online = outcomes.RequestClass.ONLINE
        batch = outcomes.RequestClass.BATCH
        scheduled = self.scheduler
        wait_ms = scheduled.compute_wait_s() * deadlines.MS_PER_S
        return messages.LoadReport(
            online_queued=scheduled.count_waiting(online),
            online_running=scheduled.count_running(online),
            batch_queued=scheduled.count_waiting(batch),
            batch_running=scheduled.count_running(batch),
            window=self.window.limit,
            wait_ms=int(wait_ms),
            is_leaving=self.runner.is_leaving,
            cached=self._watcher.take_stored(),
            evicted=self._watcher.take_evicted(),
        )

    async def drain(self, kill: anyio.Event) -> None:
        """Finish what is in hand, then give back the rest with the truth.

        Args:
            kill: Set to finish nothing more.
        """
        self.runner.leave()
        _LOG("agent:leaving", endpoint=self._settings.endpoint)
        with anyio.move_on_after(self._settings.drain_s):
            await self._wait_for_end(kill)
        self.runner.stop()
        with anyio.move_on_after(STOP_S):
            while not self.runner.is_idle():
                await anyio.sleep(LOOK_S)
        await anyio.sleep(FLUSH_S)

    async def _wait_for_end(self, kill: anyio.Event) -> None:
        while not self.runner.is_idle() and not kill.is_set():
            await anyio.sleep(LOOK_S)
        with anyio.move_on_after(SETTLE_S):
            while self.runner.has_results() and not kill.is_set():
                await anyio.sleep(LOOK_S)


def create_endpoint(settings: process_settings.Agent) -> base.Endpoint:
    """Create the adapter that the settings name."""
    if settings.kind == ENGINE:
        return engine_http.create_engine(settings.url)
    return service_http.create_service(settings.url)


def write_hello(settings: process_settings.Agent) -> messages.Hello:
    """Return what the agent says of itself on each link."""
    return messages.Hello(
        instance=settings.place.instance,
        incarnation=random.SystemRandom().randrange(MAX_INCARNATION),
        service="agent",
        zone=settings.place.zone,
        region=settings.place.region,
        endpoint=messages.EndpointInfo(
            endpoint=settings.endpoint,
            kind=settings.kind,
            models=settings.models,
            service=settings.service,
            checks_fence=settings.checks_fence,
            can_resume=settings.can_resume,
        ),
    )


async def serve(
    settings: process_settings.Agent,
    *,
    stop: anyio.Event,
    kill: anyio.Event | None = None,
    task_status: abc.TaskStatus[str] = anyio.TASK_STATUS_IGNORED,
) -> None:
    """Serve until `stop` is set, then drain.

    Args:
        settings: The agent's settings.
        stop: Set to begin a graceful shutdown.
        kill: Set to end a graceful shutdown at once.
        task_status: Is told the address of the links.
    """
    endpoint = create_endpoint(settings)
    async with anyio.create_task_group() as tasks:
        agent = Agent(settings, endpoint, tasks, deadlines.now)
        agent.start()
        address = await tasks.start(_serve_links, settings, agent.runner)
        task_status.started(address)
        _LOG("agent:serving", endpoint=settings.endpoint)
        await stop.wait()
        await agent.drain(kill or anyio.Event())
        tasks.cancel_scope.cancel()
    await endpoint.close()


async def _serve_links(
    settings: process_settings.Agent,
    handler: runner.Runner,
    *,
    task_status: abc.TaskStatus[str] = anyio.TASK_STATUS_IGNORED,
) -> None:
    await server.serve(
        settings.link_listen,
        write_hello(settings),
        handler,
        curve=settings.curve,
        task_status=task_status,
    )


def run(settings: process_settings.Agent) -> int:
    """Run the daemon until SIGTERM; return the exit code."""
    options = {"use_uvloop": True}
    anyio.run(_run_until_signal, settings, backend_options=options)
    return 0


async def _run_until_signal(settings: process_settings.Agent) -> None:
    stop = anyio.Event()
    kill = anyio.Event()
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(_watch_signals, stop, kill)
        await serve(settings, stop=stop, kill=kill)
        tasks.cancel_scope.cancel()


async def _watch_signals(stop: anyio.Event, kill: anyio.Event) -> None:
    with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as received:
        async for _ in received:
            if stop.is_set():
                kill.set()
            stop.set()
