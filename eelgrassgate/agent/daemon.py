"""Builds the agent's components and runs the agent process."""

from collections.abc import Callable
import functools
import random
import sys
from typing import Any
from typing import Final

import anyio
from anyio import abc
import eliot

from eelgrassgate import binding
from eelgrassgate import deadlines
from eelgrassgate import messages
from eelgrassgate import outcomes
from eelgrassgate import settings as process_settings
from eelgrassgate import signal_handling
from eelgrassgate import signals
from eelgrassgate import supervision
from eelgrassgate.agent import execution
from eelgrassgate.agent import fences
from eelgrassgate.agent import link_handler
from eelgrassgate.agent import polling
from eelgrassgate.agent import queue
from eelgrassgate.agent import reporting
from eelgrassgate.agent import results
from eelgrassgate.agent import scheduler
from eelgrassgate.agent import window
from eelgrassgate.engine import base
from eelgrassgate.engine import http as engine_http
from eelgrassgate.link import server
from eelgrassgate.metrics import recorder
from eelgrassgate.operators import exit_codes
from eelgrassgate.service import http as service_http

MAX_INCARNATION: Final = 2**53
FLUSH_DELAY_S: Final = 0.2
POLL_INTERVAL_S: Final = 0.02
COMMIT_TIMEOUT_S: Final = 5.0
STOP_TIMEOUT_S: Final = 2.0
# How long a process that just ends may still hold the address.
PREDECESSOR_GRACE_S: Final = 5.0
ENGINE: Final = "engine"

_LOG: Final[Any] = eliot.log_message


class Agent:
    """The components of an agent for one endpoint."""

    def __init__(
        self,
        settings: process_settings.Agent,
        endpoint: base.Endpoint,
        tasks: abc.TaskGroup,
        clock: Callable[[], float],
    ) -> None:
        """Create the components; `start` runs their tasks."""
        is_engine = settings.kind == ENGINE
        self._settings = settings
        self._tasks = tasks
        self._fences = fences.Fences()
        self.window = window.Window(settings.window, clock)
        self._poller = polling.EndpointPoller(endpoint, self.window)
        self._reporter = reporting.Reporter(self.create_report)
        self.recorder = recorder.create_recorder(
            "agent", settings.statsd, clock
        )
        self._supervisor = supervision.create_supervisor(
            lambda task: self.recorder.count("task_failures")
        )
        self.scheduler = scheduler.Scheduler(
            queue.Queue(),
            self.window,
            execution.Executor(endpoint, self.window, clock),
            clock,
            can_resume=settings.can_resume and is_engine,
            is_stale=lambda attempt: self._fences.is_stale(
                attempt.submit.owner, attempt.fence
            ),
            on_change=self._reporter.mark_changed,
            on_end=lambda attempt, outcome: self.link_handler.finish(
                attempt, outcome
            ),
        )
        self.link_handler = link_handler.LinkHandler(
            tasks,
            self.scheduler,
            self._reporter,
            self._fences,
            results.ResultStore(clock),
            self.recorder,
            clock,
            is_engine=is_engine,
        )

    def start(self) -> None:
        """Start the background tasks of the components."""
        self._tasks.start_soon(self.scheduler.run)
        start = functools.partial(self._supervisor.start, self._tasks)
        start("reports", self._reporter.run)
        start("endpoint polls", self._poller.run)
        if self._settings.statsd:
            start("metrics", self.recorder.run)

    def create_report(self) -> messages.LoadReport:
        """Return a report of the current load."""
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
            is_leaving=self.link_handler.is_leaving,
            cached=self._poller.take_stored(),
            evicted=self._poller.take_evicted(),
        )

    async def drain(self, kill: anyio.Event) -> None:
        """Shut down gracefully.

        Accepted attempts may finish within the drain timeout. The rest are
        stopped and refused, each refusal stating whether the attempt may have
        run.

        Args:
            kill: Set to stop waiting for attempts to finish.
        """
        self.link_handler.leave()
        _LOG("agent:draining", endpoint=self._settings.endpoint)
        with anyio.move_on_after(self._settings.drain_s):
            await self._wait_until_idle(kill)
        self.link_handler.stop()
        with anyio.move_on_after(STOP_TIMEOUT_S):
            while not self.link_handler.is_idle():
                await anyio.sleep(POLL_INTERVAL_S)
        await anyio.sleep(FLUSH_DELAY_S)

    async def _wait_until_idle(self, kill: anyio.Event) -> None:
        while not self.link_handler.is_idle() and not kill.is_set():
            await anyio.sleep(POLL_INTERVAL_S)
        with anyio.move_on_after(COMMIT_TIMEOUT_S):
            while self.link_handler.has_results() and not kill.is_set():
                await anyio.sleep(POLL_INTERVAL_S)


def create_endpoint(settings: process_settings.Agent) -> base.Endpoint:
    """Create the endpoint adapter for the configured kind."""
    if settings.kind == ENGINE:
        return engine_http.create_engine(settings.url)
    return service_http.create_service(settings.url)


def create_hello(settings: process_settings.Agent) -> messages.Hello:
    """Return the hello message that the agent sends on each connection."""
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
        kill: Set to cut a graceful shutdown short.
        task_status: Receives the bound address of the link server.
    """
    endpoint = create_endpoint(settings)
    async with anyio.create_task_group() as tasks:
        agent = Agent(settings, endpoint, tasks, deadlines.now)
        agent.start()
        address = await tasks.start(_serve_links, settings, agent.link_handler)
        task_status.started(address)
        _LOG("agent:serving", endpoint=settings.endpoint)
        await stop.wait()
        await agent.drain(kill or anyio.Event())
        tasks.cancel_scope.cancel()
    await endpoint.close()


async def _serve_links(
    settings: process_settings.Agent,
    handler: link_handler.LinkHandler,
    *,
    task_status: abc.TaskStatus[str] = anyio.TASK_STATUS_IGNORED,
) -> None:
    await server.serve(
        settings.link_listen,
        create_hello(settings),
        handler,
        binding.compute_give_up_at(PREDECESSOR_GRACE_S),
        curve=settings.curve,
        task_status=task_status,
    )


def run(settings: process_settings.Agent) -> int:
    """Run the agent until SIGTERM or SIGINT; return the exit code."""
    options = {"use_uvloop": True}
    try:
        anyio.run(_run_until_signal, settings, backend_options=options)
    except Exception as error:
        fatal = supervision.find_fatal(error)
        if fatal is None:
            raise
        sys.stderr.write(f"address unavailable: {fatal}\n")
        return exit_codes.ADDRESS_UNAVAILABLE
    return exit_codes.OK


async def _run_until_signal(settings: process_settings.Agent) -> None:
    stop = anyio.Event()
    kill = anyio.Event()
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(
            signal_handling.handle_forever,
            signals.receive(),
            functools.partial(_handle_signal, stop, kill),
        )
        await serve(settings, stop=stop, kill=kill)
        tasks.cancel_scope.cancel()


def _handle_signal(stop: anyio.Event, kill: anyio.Event, number: int) -> None:
    if number not in signals.STOP_SIGNALS:
        _LOG("signal:ignored", signal=signals.get_name(number))
        return
    if stop.is_set():
        kill.set()
    stop.set()
