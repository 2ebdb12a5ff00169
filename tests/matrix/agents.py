"""In-process stand-in agents that follow the agents' contract."""

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
PEER_TIMEOUT_S = 3.0
REORDER_DELAY_S = 1.0
WINDOW = 3
AGENTS_PER_KIND = 2
POISON = b"poison"
LEASE_EXPIRED = outcomes.refuse(
    outcomes.Code.SHUTTING_DOWN, "the lease expired"
)


class Attempt:
    """An attempt of an item at an agent, with its result."""

    def __init__(self, call: dispatch.ItemCall) -> None:
        self.call = call
        self.scope = anyio.CancelScope()
        self.ended = anyio.Event()
        self.result: dispatch.ItemResult | None = None


class Agent:
    """An agent whose endpoint never checks fences itself."""

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
                self.fleet.record_start(attempt.call)
                await self.fleet.inject_call_faults("run", self, attempt.call)
                await anyio.sleep(ITEM_RUN_S)
                attempt.result = self._create_result(attempt.call)
        if attempt.result is None:
            self._refuse(attempt, outcomes.Code.CANCELLED)
        attempt.ended.set()

    def _create_result(self, call: dispatch.ItemCall) -> dispatch.ItemResult:
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

    def discard_committed(self, items: tuple[str, ...]) -> None:
        for key, attempt in list(self.attempts_by_id.items()):
            if attempt.call.item in items and attempt.ended.is_set():
                del self.attempts_by_id[key]

    def inquire(self, job: str) -> tuple[messages.ItemState, ...]:
        return tuple(
            _build_item_state(attempt)
            for attempt in self.attempts_by_id.values()
            if attempt.call.job == job or not job
        )

    def crash(self) -> None:
        self.is_alive = False
        for attempt in self.attempts_by_id.values():
            attempt.scope.cancel()


def _build_item_state(attempt: Attempt) -> messages.ItemState:
    result = attempt.result
    if result is None:
        return messages.ItemState(attempt.call.item, attempt.call.attempt, True)
    return messages.ItemState(
        attempt.call.item,
        attempt.call.attempt,
        False,
        result.status,
        result.body,
        result.refusal,
    )


class Fleet:
    """The agents, the attempts that have started, and hooks for faults."""

    def __init__(self, tasks: anyio.abc.TaskGroup) -> None:
        self.tasks = tasks
        self.agents = [
            Agent(self, f"{kind}-{number}", kind == "engine")
            for kind in ("engine", "service")
            for number in range(AGENTS_PER_KIND)
        ]
        self.starts: list[tuple[float, dispatch.ItemCall]] = []

    def record_start(self, call: dispatch.ItemCall) -> None:
        self.starts.append((anyio.current_time(), call))

    async def inject_call_faults(
        self,
        step: str,
        agent: Agent,
        call: dispatch.ItemCall,
        owner: Any = None,
        phase: str = "before",
    ) -> str:
        """Inject the faults planned for a step of a call; none by default.

        Returns:
            The fault that the message suffers, empty for none.
        """
        return ""

    def get_cancel_latency(self) -> float:
        """Return the latency of a cancel message."""
        return CANCEL_LATENCY_S

    def replace(self, agent: Agent) -> Agent:
        """Replace a crashed agent by a new one without state."""
        index = self.agents.index(agent)
        self.agents[index] = Agent(self, agent.name + "+", agent.is_repeatable)
        return self.agents[index]


class Dispatcher:
    """The dispatcher of one entry, over connections that can fail."""

    def __init__(self, fleet: Fleet) -> None:
        self._fleet = fleet
        self._call_count = itertools.count()
        self.owner: Any = None

    def _choose_agent(self, item: dispatch.ItemCall) -> Agent | None:
        alive = [
            agent
            for agent in self._fleet.agents
            if agent.is_alive and agent.is_repeatable == item.is_repeatable
        ]
        preferred = [
            agent for agent in alive if agent.name not in item.avoid
        ] or alive
        return (
            preferred[next(self._call_count) % len(preferred)]
            if preferred
            else None
        )

    async def run(self, item: dispatch.ItemCall) -> dispatch.ItemResult:
        agent = self._choose_agent(item)
        if agent is None:
            refusal = outcomes.refuse(outcomes.Code.OVERLOADED, "no agent")
            return dispatch.ItemResult(
                "", refusal=refusal, is_endpoint_fault=True
            )
        try:
            result = await self._exchange(agent, item)
        except anyio.get_cancelled_exc_class():
            if self.owner is None or not self.owner.is_dead:
                latency = self._fleet.get_cancel_latency()
                self._fleet.tasks.start_soon(
                    _cancel_after, agent, item.attempt, latency
                )
            raise
        if result is not None:
            return msgspec.structs.replace(result, endpoint=agent.name)
        # An attempt that is reported as lost must not start later.
        agent.cancel(item.attempt)
        refusal = outcomes.refuse_unknown(
            outcomes.Code.ENDPOINT_LOST, "connection lost"
        )
        return dispatch.ItemResult(
            agent.name, refusal=refusal, is_endpoint_fault=True
        )

    async def _exchange(
        self, agent: Agent, item: dispatch.ItemCall
    ) -> dispatch.ItemResult | None:
        """Send a call and wait for its result; None if the connection fails."""
        if not item.can_start():
            return dispatch.ItemResult("", 0, b"", LEASE_EXPIRED)
        message_fault = await self._fleet.inject_call_faults(
            "dispatch", agent, item, self.owner
        )
        attempt = await self._deliver(agent, item, message_fault)
        if attempt is None:
            return None
        await self._fleet.inject_call_faults(
            "dispatch", agent, item, self.owner, "after"
        )
        await attempt.ended.wait()
        if not agent.is_alive:
            await anyio.sleep(PEER_TIMEOUT_S)
            return None
        message_fault = await self._fleet.inject_call_faults(
            "answer", agent, item, self.owner
        )
        if message_fault in {"lost", "late", "silent"}:
            await anyio.sleep(PEER_TIMEOUT_S)
            return None
        if message_fault == "crossed":
            await anyio.sleep(REORDER_DELAY_S)
        await self._fleet.inject_call_faults(
            "answer", agent, item, self.owner, "after"
        )
        return attempt.result

    async def _deliver(
        self, agent: Agent, item: dispatch.ItemCall, message_fault: str
    ) -> Attempt | None:
        if message_fault in {"lost", "silent"} or not agent.is_alive:
            await anyio.sleep(PEER_TIMEOUT_S)
            return None
        # A message in transit arrives even if its sender is cancelled.
        arrived: list[Attempt] = []
        latency = {"late": PEER_TIMEOUT_S * 3, "crossed": REORDER_DELAY_S}.get(
            message_fault, LATENCY_S
        )
        for _ in range(2 if message_fault == "doubled" else 1):
            self._fleet.tasks.start_soon(
                _submit_after, agent, item, latency, arrived
            )
        await anyio.sleep(LATENCY_S + latency)
        if not arrived:
            await anyio.sleep(PEER_TIMEOUT_S)
            return None
        return arrived[0]

    async def inquire(
        self, job: str, owner: str, fence: int
    ) -> dispatch.Inquiry:
        items: list[messages.ItemState] = []
        is_complete = True
        await anyio.sleep(LATENCY_S)
        for agent in list(self._fleet.agents):
            message_fault = await self._fleet.inject_call_faults(
                "inquire", agent, _create_empty_call(job), self.owner
            )
            if message_fault in {"lost", "late", "silent"}:
                await anyio.sleep(PEER_TIMEOUT_S)
                is_complete = False
            elif agent.is_alive:
                if agent.is_stale(owner, fence):
                    return dispatch.Inquiry(is_stale=True)
                items.extend(agent.inquire(job))
                if message_fault == "doubled":
                    items.extend(agent.inquire(job))
                if message_fault == "crossed":
                    items.extend(agent.inquire(""))
        return dispatch.Inquiry(tuple(items), is_complete)

    async def cancel(self, items: tuple[messages.ItemState, ...]) -> None:
        for state in items:
            for agent in self._fleet.agents:
                agent.cancel(state.attempt)

    def announce_committed(self, items: tuple[str, ...]) -> None:
        for agent in self._fleet.agents:
            agent.discard_committed(items)


async def _submit_after(
    agent: Agent,
    item: dispatch.ItemCall,
    latency: float,
    arrived: list[Attempt],
) -> None:
    await anyio.sleep(latency)
    if agent.is_alive:
        arrived.append(agent.submit(item))


async def _cancel_after(agent: Agent, attempt: str, latency: float) -> None:
    await anyio.sleep(latency)
    agent.cancel(attempt)


def _create_empty_call(job: str) -> dispatch.ItemCall:
    return dispatch.ItemCall("", "", job, "", "", "", b"", "", 0, 0.0, True)
