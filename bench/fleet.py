"""Simulation of a fleet in virtual time: real agents, simulated engines.

Without agents, the baseline `fifo`, each request goes directly to its engine,
in the order of arrival.
"""

from collections import Counter
from collections.abc import AsyncIterator
import contextlib
import itertools
import random
from typing import Final

import anyio
from anyio import abc
import msgspec

from eelgrassgate import messages
from eelgrassgate import outcomes
from eelgrassgate import settings
from eelgrassgate.agent import daemon
from eelgrassgate.engine import base
from eelgrassgate.standins import direct
from eelgrassgate.standins import generation
from eelgrassgate.standins import virtual_time

LATENCY_S: Final = 0.001
CREDIT: Final = 100_000
PROMPT_CHARACTERS: Final = (200, 1600)
ONLINE: Final = outcomes.RequestClass.ONLINE
BATCH: Final = outcomes.RequestClass.BATCH


class Request(msgspec.Struct, frozen=True):
    """A request of the simulated load.

    Attributes:
        workspace: Name of its workspace.
        klass: Online or batch.
        prompt: The prompt.
        tokens: Number of tokens to generate.
        weight: Weight of its workspace.
    """

    workspace: str
    klass: outcomes.RequestClass
    prompt: str
    tokens: int
    weight: float = 1.0

    @property
    def cost(self) -> int:
        """The actual work, as the number of prompt and response tokens."""
        return generation.count_tokens(self.prompt) + self.tokens


class Trace:
    """The progress of one request, with times of the virtual clock.

    Attributes:
        has_met_batch: Whether batch was running in the engine on arrival.
    """

    def __init__(
        self, request: Request, attempt: str, served_by_workspace: Counter[str]
    ) -> None:
        """Create the trace of a request that is sent now."""
        self.request = request
        self._served_by_workspace = served_by_workspace
        self.attempt = attempt
        self.sent_at = virtual_time.get_now()
        self.first_at: float | None = None
        self.ended_at: float | None = None
        self.refusal: outcomes.Refusal | None = None
        self.ended = anyio.Event()
        self.has_met_batch = False

    def record_data(self) -> None:
        """Record a part of the response."""
        if self.first_at is None:
            self.first_at = virtual_time.get_now()
            prompt = generation.count_tokens(self.request.prompt)
            self._served_by_workspace[self.request.workspace] += prompt
        self._served_by_workspace[self.request.workspace] += 1

    def record_end(self, refusal: outcomes.Refusal | None) -> None:
        """Record the end of the response."""
        self.refusal = refusal
        self.ended_at = virtual_time.get_now()
        self.ended.set()

    @property
    def is_ok(self) -> bool:
        """Whether the response is complete."""
        return self.ended_at is not None and self.refusal is None


class _Peer:
    """The benchmark's end of a link to one agent."""

    def __init__(self, traces_by_attempt: dict[str, Trace]) -> None:
        self.hello = messages.Hello(
            instance="bench",
            incarnation=1,
            service="entry",
            zone="z",
            region="r",
        )
        self._traces_by_attempt = traces_by_attempt

    def send(self, message: messages.AnyMessage) -> bool:
        match message:
            case messages.Data():
                self._traces_by_attempt[message.attempt].record_data()
            case messages.End():
                self._traces_by_attempt[message.attempt].record_end(None)
            case messages.Refused():
                trace = self._traces_by_attempt[message.attempt]
                trace.record_end(message.refusal)
            case _:
                pass
        return True


class Fleet:
    """Simulated engines, with or without agents."""

    def __init__(
        self, tasks: abc.TaskGroup, options: generation.Options, count: int
    ) -> None:
        """Create the engines without starting them."""
        self.traces: list[Trace] = []
        self.served_by_workspace: Counter[str] = Counter()
        self.cores = [
            generation.SimulatedEngine(options, virtual_time.get_now)
            for _ in range(count)
        ]
        self.agents: list[daemon.Agent] = []
        self._tasks = tasks
        self._endpoints = [
            direct.DirectEndpoint(core, LATENCY_S) for core in self.cores
        ]
        self._traces_by_attempt: dict[str, Trace] = {}
        self._peer = _Peer(self._traces_by_attempt)
        self._ids = itertools.count()
        self._elsewhere_by_key: dict[tuple[str, int], float] = {}

    def start(self, has_agents: bool) -> None:
        """Start the engines and, with `has_agents`, the agents."""
        for core in self.cores:
            self._tasks.start_soon(core.run)
        if not has_agents:
            return
        for endpoint in self._endpoints:
            agent = daemon.Agent(
                _create_settings(), endpoint, self._tasks, virtual_time.get_now
            )
            agent.start()
            agent.link_handler.connect(self._peer)
            self.agents.append(agent)

    def send(self, request: Request, index: int) -> Trace:
        """Send a request to the endpoint at `index`."""
        attempt = f"{request.klass.value}-{next(self._ids)}"
        trace = Trace(request, attempt, self.served_by_workspace)
        trace.has_met_batch = self._has_batch(index)
        self.traces.append(trace)
        if self.agents:
            self._submit(trace, index)
        else:
            call = _create_call(trace)
            self._tasks.start_soon(
                _run_call, self._endpoints[index], call, trace
            )
        return trace

    def _has_batch(self, index: int) -> bool:
        running = self.cores[index].list_running()
        return any(attempt.startswith(BATCH.value) for attempt in running)

    def _submit(self, trace: Trace, index: int) -> None:
        request = trace.request
        self._traces_by_attempt[trace.attempt] = trace
        call = _create_call(trace)
        submit = messages.Submit(
            attempt=trace.attempt,
            workspace=request.workspace,
            klass=request.klass,
            method=call.method,
            path=call.path,
            body=call.body,
            content_type=call.content_type,
            is_stream=request.klass is ONLINE,
            remaining_ms=None,
            cost=float(request.cost),
            weight=request.weight,
            elsewhere=self._pop_elsewhere(request, index),
            credit=CREDIT,
        )
        self.agents[index].link_handler.receive(self._peer, submit)

    def _pop_elsewhere(self, request: Request, index: int) -> float:
        """Return the work sent elsewhere since the last request to `index`."""
        for other in range(len(self.cores)):
            key = (request.workspace, other)
            if other != index:
                cost_sent = self._elsewhere_by_key.get(key, 0.0)
                self._elsewhere_by_key[key] = cost_sent + request.cost
        return self._elsewhere_by_key.pop((request.workspace, index), 0.0)


def _create_settings() -> settings.Agent:
    return settings.Agent(
        place=settings.Place(instance="a", zone="z", region="r"),
        endpoint="e",
        kind="engine",
        url="",
        link_listen="",
        can_resume=True,
    )


def _create_call(trace: Trace) -> base.Call:
    request = trace.request
    body = {
        "model": "m",
        "prompt": request.prompt,
        "max_tokens": request.tokens,
    }
    return base.Call(
        attempt=trace.attempt,
        method="POST",
        path="/v1/completions",
        body=msgspec.json.encode(body),
        content_type="application/json",
        is_stream=True,
        deadline=float("inf"),
    )


async def _run_call(
    endpoint: base.Endpoint, call: base.Call, trace: Trace
) -> None:
    async for part in endpoint.call(call):
        match part:
            case base.Data():
                trace.record_data()
            case base.End():
                trace.record_end(None)
            case base.Failed():
                trace.record_end(part.refusal)


@contextlib.asynccontextmanager
async def open_fleet(
    options: generation.Options, count: int, *, has_agents: bool
) -> AsyncIterator[Fleet]:
    """Run a fleet of `count` endpoints within the context."""
    async with anyio.create_task_group() as tasks:
        fleet = Fleet(tasks, options, count)
        fleet.start(has_agents)
        yield fleet
        tasks.cancel_scope.cancel()


def create_prompt(rng: random.Random) -> str:
    """Return a prompt that shares no prefix with another."""
    length = rng.randint(*PROMPT_CHARACTERS)
    return f"{rng.random()} ".ljust(length, "x")
