"""A small fleet on virtual time: real agents beside pretended engines.

`fifo` leaves the agents out: every request goes straight to its engine, in
turn and as it comes.
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


class Ask(msgspec.Struct, frozen=True):
    """One request of the load.

    Attributes:
        workspace: Whom it runs for.
        klass: Online or batch.
        prompt: The prompt.
        tokens: How many tokens to generate.
        weight: The workspace's weight.
    """

    workspace: str
    klass: outcomes.RequestClass
    prompt: str
    tokens: int
    weight: float = 1.0

    @property
    def cost(self) -> int:
        """The true work in tokens."""
        return generation.count_tokens(self.prompt) + self.tokens


class Trace:
    """What became of one request, with instants on the virtual clock."""

    def __init__(
        self, ask: Ask, attempt: str, served_by_workspace: Counter[str]
    ) -> None:
        """Start now."""
        self.ask = ask
        self._served_by_workspace = served_by_workspace
        self.attempt = attempt
        self.sent_at = virtual_time.get_now()
        self.first_at: float | None = None
        self.ended_at: float | None = None
        self.refusal: outcomes.Refusal | None = None
        self.ended = anyio.Event()
        self.found_batch = False

    def note_data(self) -> None:
        """Take a part of the answer."""
        if self.first_at is None:
            self.first_at = virtual_time.get_now()
            prompt = generation.count_tokens(self.ask.prompt)
            self._served_by_workspace[self.ask.workspace] += prompt
        self._served_by_workspace[self.ask.workspace] += 1

    def note_end(self, refusal: outcomes.Refusal | None) -> None:
        """Take the end of the answer."""
        self.refusal = refusal
        self.ended_at = virtual_time.get_now()
        self.ended.set()

    @property
    def is_ok(self) -> bool:
        """Whether the whole answer came."""
        return self.ended_at is not None and self.refusal is None


class _Peer:
    """The bench's end of a link to one agent."""

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
                self._traces_by_attempt[message.attempt].note_data()
            case messages.End():
                self._traces_by_attempt[message.attempt].note_end(None)
            case messages.Refused():
                trace = self._traces_by_attempt[message.attempt]
                trace.note_end(message.refusal)
            case _:
                pass
        return True


class Fleet:
    """Engines, with agents beside them or without."""

    def __init__(
        self, tasks: abc.TaskGroup, options: generation.Options, count: int
    ) -> None:
        """Create the engines; `start` sets them going."""
        self.traces: list[Trace] = []
        self.served_by_workspace: Counter[str] = Counter()
        self.cores = [
            generation.SimulatedEngine(options, virtual_time.get_now)
            for _ in range(count)
        ]
        self.agents: list[daemon.Agent] = []
        self._tasks = tasks
        self._endpoints = [
            direct.DirectEndpoint(c, LATENCY_S) for c in self.cores
        ]
        self._traces_by_attempt: dict[str, Trace] = {}
        self._peer = _Peer(self._traces_by_attempt)
        self._ids = itertools.count()
        self._sent_by_place: dict[tuple[str, int], float] = {}

    def start(self, has_agents: bool) -> None:
        """Start the engines and, if wanted, the agents."""
        for core in self.cores:
            self._tasks.start_soon(core.run)
        if not has_agents:
            return
        for endpoint in self._endpoints:
            agent = daemon.Agent(
                _write_settings(), endpoint, self._tasks, virtual_time.get_now
            )
            agent.start()
            agent.link_handler.connect(self._peer)
            self.agents.append(agent)

    def send(self, ask: Ask, place: int) -> Trace:
        """Send one request to the endpoint at `place`."""
        attempt = f"{ask.klass.value}-{next(self._ids)}"
        trace = Trace(ask, attempt, self.served_by_workspace)
        trace.found_batch = self._has_batch(place)
        self.traces.append(trace)
        if self.agents:
            self._submit(trace, place)
        else:
            call = _write_call(trace)
            self._tasks.start_soon(_call, self._endpoints[place], call, trace)
        return trace

    def _has_batch(self, place: int) -> bool:
        running = self.cores[place].list_running()
        return any(each.startswith(BATCH.value) for each in running)

    def _submit(self, trace: Trace, place: int) -> None:
        ask = trace.ask
        self._traces_by_attempt[trace.attempt] = trace
        call = _write_call(trace)
        submit = messages.Submit(
            attempt=trace.attempt,
            workspace=ask.workspace,
            klass=ask.klass,
            method=call.method,
            path=call.path,
            body=call.body,
            content_type=call.content_type,
            is_stream=ask.klass is ONLINE,
            remaining_ms=None,
            cost=float(ask.cost),
            weight=ask.weight,
            elsewhere=self._take_elsewhere(ask, place),
            credit=CREDIT,
        )
        self.agents[place].link_handler.receive(self._peer, submit)

    def _take_elsewhere(self, ask: Ask, place: int) -> float:
        """Count the work sent to the other agents since the last one here."""
        for other in range(len(self.cores)):
            key = (ask.workspace, other)
            if other != place:
                known = self._sent_by_place.get(key, 0.0)
                self._sent_by_place[key] = known + ask.cost
        return self._sent_by_place.pop((ask.workspace, place), 0.0)


def _write_settings() -> settings.Agent:
    return settings.Agent(
        place=settings.Place(instance="a", zone="z", region="r"),
        endpoint="e",
        kind="engine",
        url="",
        link_listen="",
        can_resume=True,
    )


def _write_call(trace: Trace) -> base.Call:
    ask = trace.ask
    body = {"model": "m", "prompt": ask.prompt, "max_tokens": ask.tokens}
    return base.Call(
        attempt=trace.attempt,
        method="POST",
        path="/v1/completions",
        body=msgspec.json.encode(body),
        content_type="application/json",
        is_stream=True,
        deadline=float("inf"),
    )


async def _call(endpoint: base.Endpoint, call: base.Call, trace: Trace) -> None:
    async for part in endpoint.call(call):
        match part:
            case base.Data():
                trace.note_data()
            case base.End():
                trace.note_end(None)
            case base.Failed():
                trace.note_end(part.refusal)


@contextlib.asynccontextmanager
async def open_fleet(
    options: generation.Options, count: int, *, has_agents: bool
) -> AsyncIterator[Fleet]:
    """Run a fleet of `count` endpoints."""
    async with anyio.create_task_group() as tasks:
        fleet = Fleet(tasks, options, count)
        fleet.start(has_agents)
        yield fleet
        tasks.cancel_scope.cancel()


def write_prompt(chance: random.Random) -> str:
    """Return a prompt that shares no head with another."""
    length = chance.randint(*PROMPT_CHARACTERS)
    return f"{chance.random()} ".ljust(length, "x")
