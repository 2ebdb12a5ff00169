"""A fleet of agents with their contract, in process."""

import itertools
from typing import Any

import anyio
import msgspec

from eelgrassgate import messages
from eelgrassgate import outcomes
from eelgrassgate.jobs import dispatch

ITEM_RUN_S = 2.0
LATENCY_S = 0.002
CANCEL_LATENCY_S = 0.004
SILENCE_S = 3.0
OVERTAKEN_S = 1.0
WINDOW = 3
AGENTS_PER_KIND = 2
POISON = b"poison"
NOT_NOW = outcomes.refuse(outcomes.Code.SHUTTING_DOWN, "the lease lapsed")


class Attempt:
    """One attempt at an agent."""

    def __init__(self, call: dispatch.ItemCall) -> None:
        self.call = call
        self.scope = anyio.CancelScope()
        self.ended = anyio.Event()
        self.result: dispatch.ItemResult | None = None


class Agent:
    """An agent beside an endpoint that never checks a fence itself."""

    def __init__(self, fleet: "Fleet", name: str, is_repeatable: bool) -> None:
        self.name = name
        self.is_repeatable = is_repeatable
        self.fleet = fleet
        self.is_alive = True
        self.checks_fence = True
        self.fences_by_owner: dict[str, int] = {}
        self.attempts_by_id: dict[str, Attempt] = {}
        self.cancelled: set[str] = set()
        self._window = anyio.Semaphore(WINDOW)

    def is_stale(self, owner: str, fence: int) -> bool:
        known = max(self.fences_by_owner.get(owner, 0), fence)
        if not self.checks_fence:
            return False
        self.fences_by_owner[owner] = known
        return fence < known

    def submit(self, call: dispatch.ItemCall) -> Attempt:
        if call.attempt in self.attempts_by_id:
            return self.attempts_by_id[call.attempt]
        attempt = Attempt(call)
        if self.is_stale(call.owner, call.fence):
            self._refuse(attempt, outcomes.Code.STALE_FENCE)
            return attempt
        if call.attempt in self.cancelled:
            self._refuse(attempt, outcomes.Code.CANCELLED)
            return attempt
        self.attempts_by_id[call.attempt] = attempt
        self.fleet.tasks.start_soon(self._run, attempt)
        return attempt

    async def _run(self, attempt: Attempt) -> None:
        with attempt.scope:
            async with self._window:
                self.fleet.note_start(attempt.call)
                await self.fleet.hook("run", self, attempt.call)
                await anyio.sleep(ITEM_RUN_S)
                attempt.result = self._answer(attempt.call)
        if attempt.result is None:
            self._refuse(attempt, outcomes.Code.CANCELLED)
        attempt.ended.set()

    def _answer(self, call: dispatch.ItemCall) -> dispatch.ItemResult:
        if POISON in call.body:
            return dispatch.ItemResult(self.name, 500, b'{"error":"no"}')
        return dispatch.ItemResult(self.name, 200, b'{"echo":%s}' % call.body)

    def _refuse(self, attempt: Attempt, code: outcomes.Code) -> None:
        refusal = outcomes.refuse(code, "refused")
        attempt.result = dispatch.ItemResult(self.name, refusal=refusal)
        attempt.ended.set()

    def cancel(self, attempt: str) -> None:
        self.cancelled.add(attempt)
        if attempt in self.attempts_by_id:
            self.attempts_by_id[attempt].scope.cancel()

    def settle(self, items: tuple[str, ...]) -> None:
        for key, attempt in list(self.attempts_by_id.items()):
            if attempt.call.item in items and attempt.ended.is_set():
                del self.attempts_by_id[key]

    def inquire(self, job: str) -> tuple[messages.ItemState, ...]:
        return tuple(
            _describe(attempt)
            for attempt in self.attempts_by_id.values()
            if attempt.call.job == job or not job
        )

    def die(self) -> None:
        self.is_alive = False
        for attempt in self.attempts_by_id.values():
            attempt.scope.cancel()


def _describe(attempt: Attempt) -> messages.ItemState:
    ended = attempt.result
    if ended is None:
        return messages.ItemState(attempt.call.item, attempt.call.attempt, True)
    return messages.ItemState(
        attempt.call.item,
        attempt.call.attempt,
        False,
        ended.status,
        ended.body,
        ended.refusal,
    )


class Fleet:
    """The agents, what has run at their endpoints, and the faults."""

    def __init__(self, tasks: anyio.abc.TaskGroup) -> None:
        self.tasks = tasks
        self.agents = [
            Agent(self, f"{kind}-{number}", kind == "engine")
            for kind in ("engine", "service")
            for number in range(AGENTS_PER_KIND)
        ]
        self.starts: list[tuple[float, dispatch.ItemCall]] = []

    def note_start(self, call: dispatch.ItemCall) -> None:
        self.starts.append((anyio.current_time(), call))

    async def hook(
        self,
        step: str,
        agent: Agent,
        call: dispatch.ItemCall,
        owner: Any = None,
        phase: str = "before",
    ) -> str:
        """Let a fault happen; returns how the message is to fare."""
        return ""

    def find_stop_latency(self) -> float:
        """Return how long a message that cancels takes."""
        return CANCEL_LATENCY_S

    def replace(self, agent: Agent) -> Agent:
        """Put a new agent, that knows nothing, in place of a dead one."""
        place = self.agents.index(agent)
        self.agents[place] = Agent(self, agent.name + "+", agent.is_repeatable)
        return self.agents[place]


class Dispatcher:
    """An entry's dispatcher over connections that can fail."""

    def __init__(self, fleet: Fleet) -> None:
        self._fleet = fleet
        self._turn = itertools.count()
        self.owner: Any = None

    def _choose(self, item: dispatch.ItemCall) -> Agent | None:
        live = [
            agent
            for agent in self._fleet.agents
            if agent.is_alive and agent.is_repeatable == item.is_repeatable
        ]
        best = [agent for agent in live if agent.name not in item.avoid] or live
        return best[next(self._turn) % len(best)] if best else None

    async def run(self, item: dispatch.ItemCall) -> dispatch.ItemResult:
        agent = self._choose(item)
        if agent is None:
            refusal = outcomes.refuse(outcomes.Code.OVERLOADED, "no agent")
            return dispatch.ItemResult(
                "", refusal=refusal, is_endpoint_fault=True
            )
        try:
            result = await self._exchange(agent, item)
        except anyio.get_cancelled_exc_class():
            if self.owner is None or not self.owner.is_dead:
                latency = self._fleet.find_stop_latency()
                self._fleet.tasks.start_soon(
                    _cancel, agent, item.attempt, latency
                )
            raise
        if result is not None:
            return msgspec.structs.replace(result, endpoint=agent.name)
        # What was given up must not start later.
        agent.cancel(item.attempt)
        lost = outcomes.lose(outcomes.Code.ENDPOINT_LOST, "connection lost")
        return dispatch.ItemResult(
            agent.name, refusal=lost, is_endpoint_fault=True
        )

    async def _exchange(
        self, agent: Agent, item: dispatch.ItemCall
    ) -> dispatch.ItemResult | None:
        """Send and wait; None once the connection is found dead."""
        if not item.can_start():
            return dispatch.ItemResult("", 0, b"", NOT_NOW)
        fate = await self._fleet.hook("dispatch", agent, item, self.owner)
        sent = await self._deliver(agent, item, fate)
        if sent is None:
            return None
        await self._fleet.hook("dispatch", agent, item, self.owner, "after")
        await sent.ended.wait()
        if not agent.is_alive:
            await anyio.sleep(SILENCE_S)
            return None
        fate = await self._fleet.hook("answer", agent, item, self.owner)
        if fate in {"lost", "late", "silent"}:
            await anyio.sleep(SILENCE_S)
            return None
        if fate == "crossed":
            await anyio.sleep(OVERTAKEN_S)
        await self._fleet.hook("answer", agent, item, self.owner, "after")
        return sent.result

    async def _deliver(
        self, agent: Agent, item: dispatch.ItemCall, fate: str
    ) -> Attempt | None:
        if fate in {"lost", "silent"} or not agent.is_alive:
            await anyio.sleep(SILENCE_S)
            return None
        # What is on its way arrives, whatever becomes of its sender.
        arrived: list[Attempt] = []
        latency = {"late": SILENCE_S * 3, "crossed": OVERTAKEN_S}.get(
            fate, LATENCY_S
        )
        for _ in range(2 if fate == "doubled" else 1):
            self._fleet.tasks.start_soon(_arrive, agent, item, latency, arrived)
        await anyio.sleep(LATENCY_S + latency)
        if not arrived:
            await anyio.sleep(SILENCE_S)
            return None
        return arrived[0]

    async def inquire(
        self, job: str, owner: str, fence: int
    ) -> dispatch.Inquiry:
        items: list[messages.ItemState] = []
        is_whole = True
        await anyio.sleep(LATENCY_S)
        for agent in list(self._fleet.agents):
            fate = await self._fleet.hook(
                "inquire", agent, _no_call(job), self.owner
            )
            if fate in {"lost", "late", "silent"}:
                await anyio.sleep(SILENCE_S)
                is_whole = False
            elif agent.is_alive:
                if agent.is_stale(owner, fence):
                    return dispatch.Inquiry(is_stale=True)
                items.extend(agent.inquire(job))
                if fate == "doubled":
                    items.extend(agent.inquire(job))
                if fate == "crossed":
                    items.extend(agent.inquire(""))
        return dispatch.Inquiry(tuple(items), is_whole)

    async def cancel(self, items: tuple[messages.ItemState, ...]) -> None:
        for state in items:
            for agent in self._fleet.agents:
                agent.cancel(state.attempt)

    def settle(self, items: tuple[str, ...]) -> None:
        for agent in self._fleet.agents:
            agent.settle(items)


async def _arrive(
    agent: Agent,
    item: dispatch.ItemCall,
    latency: float,
    arrived: list[Attempt],
) -> None:
    await anyio.sleep(latency)
    if agent.is_alive:
        arrived.append(agent.submit(item))


async def _cancel(agent: Agent, attempt: str, latency: float) -> None:
    await anyio.sleep(latency)
    agent.cancel(attempt)


def _no_call(job: str) -> dispatch.ItemCall:
    return dispatch.ItemCall("", "", job, "", "", "", b"", "", 0, 0.0, True)
