"""Entries, agents, store and a client in virtual time, with faults."""

from collections.abc import AsyncIterator
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Coroutine
import json
import random
from typing import Any

import anyio
import msgspec
from returns import result

from eelgrassgate import messages
from eelgrassgate import outcomes
from eelgrassgate.config import fleet
from eelgrassgate.jobs import dispatch
from eelgrassgate.jobs import files
from eelgrassgate.jobs import owner
from eelgrassgate.jobs import records
from eelgrassgate.jobs import results
from eelgrassgate.jobs import runtimes
from eelgrassgate.jobs import submission
from eelgrassgate.store import base
from eelgrassgate.store import faulty
from eelgrassgate.store import memory
from tests.matrix import agents

LEASE_S = 6.0
PAUSE_S = 20.0
DOWN_S = 15.0
SLOW_S = 1.5
SLOW_FOR_S = 20.0
GONE_S = 20.0
REPLACED_S = 10.0
CLIENT_TIMEOUT_S = 8.0
POLL_S = 1.0
LONGEST_RUN_S = 900.0
WORKSPACE = "desk"
LIMITS = fleet.Limits()

MESSAGE_FAULTS = frozenset({"lost", "doubled", "late", "crossed", "silent"})


class Plan(msgspec.Struct, frozen=True):
    """One fault: what happens, and at which step before or after its effect.

    `kind` limits it to calls of one kind of job where the step tells.
    """

    step: str
    fault: str
    phase: str = "before"
    kind: str = ""


class LostError(Exception):
    """The client got no reply."""


class Entry:
    """One instance: an owner, and what serves the client's calls."""

    def __init__(self, world: "World", name: str) -> None:
        self.world = world
        self.name = name
        self.is_dead = False
        self.paused_until = 0.0
        self.scope = anyio.CancelScope()
        self.runtime = runtimes.Runtime(
            anyio.current_time,
            world.runtime.wall,
            self.sleep,
            random.Random(f"{world.seed}/{name}"),
        )
        self.store = EntryStore(self)
        self.owner = owner.create_owner(
            self.store,
            name,
            EntryDispatcher(self),
            lambda: LIMITS,
            runtime=self.runtime,
            lease_s=LEASE_S,
        )

    async def run(self) -> None:
        with self.scope:
            await self.owner.run()

    async def sleep(self, seconds: float) -> None:
        await anyio.sleep(seconds)
        await self.wait()

    async def wait(self) -> None:
        """Wait while paused; a dead instance waits for ever."""
        while self.is_dead or anyio.current_time() < self.paused_until:
            await anyio.sleep(
                1e6
                if self.is_dead
                else self.paused_until - anyio.current_time()
            )

    async def at(self, step: str, phase: str, kind: str = "") -> str:
        """Let planned faults happen at a step of this instance."""
        fate = await self.world.strike(self, step, phase, kind)
        await self.wait()
        return fate


def _name_step(transaction: base.Transaction) -> str:
    """Tell which step a transaction belongs to."""
    written = [change.key for change in transaction.changes]
    text = " ".join(written)
    for mark, step in (
        ("jobs/input/", "receive"),
        ("jobs/file/", "receive"),
        ("jobs/result/", "commit"),
        ("jobs/ledger/", "intent"),
        ("jobs/live/open/", "cancel"),
    ):
        if mark in text and "jobs/same/" not in text:
            return step
    if "jobs/same/" in text:
        return "store"
    if "jobs/live/slot/" in text:
        is_delete = isinstance(transaction.changes[0], base.Delete)
        return "hand over" if is_delete else "claim"
    return ""


class EntryStore:
    """The store as one instance reaches it."""

    def __init__(self, entry: Entry) -> None:
        self._entry = entry
        self._inner = entry.world.store

    async def _call(self, step: str, call: Callable[[], Awaitable[Any]]) -> Any:
        entry = self._entry
        await entry.wait()
        if step:
            await entry.at(step, "before")
        answer = await call()
        if step:
            await entry.at(step, "after")
        await entry.wait()
        return answer

    async def read(self, key: str) -> Any:
        step = "read" if key.startswith("jobs/result/") else ""
        return await self._call(step, lambda: self._inner.read(key))

    async def read_range(
        self, prefix: str, *, after: str = "", limit: int = 0
    ) -> Any:
        return await self._call(
            "",
            lambda: self._inner.read_range(prefix, after=after, limit=limit),
        )

    async def commit(self, transaction: base.Transaction) -> Any:
        return await self._call(
            _name_step(transaction), lambda: self._inner.commit(transaction)
        )

    async def grant_lease(self, ttl_s: float) -> Any:
        return await self._call("", lambda: self._inner.grant_lease(ttl_s))

    async def renew_lease(self, lease: int) -> Any:
        return await self._call("", lambda: self._inner.renew_lease(lease))

    async def revoke_lease(self, lease: int) -> Any:
        return await self._call("", lambda: self._inner.revoke_lease(lease))

    async def watch(
        self, prefix: str, from_revision: int
    ) -> AsyncIterator[Any]:
        async for answer in self._inner.watch(prefix, from_revision):
            await self._entry.wait()
            yield answer

    async def close(self) -> None:
        pass


class EntryDispatcher:
    """The dispatcher of one instance."""

    def __init__(self, entry: Entry) -> None:
        self._entry = entry
        self._inner = agents.Dispatcher(entry.world)

    async def run(self, item: dispatch.ItemCall) -> dispatch.ItemResult:
        self._inner.owner = self._entry
        await self._entry.wait()
        answer = await self._inner.run(item)
        await self._entry.wait()
        return answer

    async def inquire(
        self, job: str, owner: str, fence: int
    ) -> dispatch.Inquiry:
        self._inner.owner = self._entry
        await self._entry.wait()
        answer = await self._inner.inquire(job, owner, fence)
        await self._entry.wait()
        return answer

    async def cancel(self, items: tuple[messages.ItemState, ...]) -> None:
        await self._entry.wait()
        await self._inner.cancel(items)

    def settle(self, items: tuple[str, ...]) -> None:
        fate = self._entry.world.find_fate("settle")
        if fate == "crossed":
            self._entry.world.agents[-1].settle(items)
        elif fate not in {"lost", "late", "silent"}:
            for _ in range(2 if fate == "doubled" else 1):
                self._inner.settle(items)


class World(agents.Fleet):
    """Everything of one run."""

    def __init__(
        self,
        tasks: anyio.abc.TaskGroup,
        runtime: runtimes.Runtime,
        plans: tuple[Plan, ...],
        seed: int,
    ) -> None:
        super().__init__(tasks)
        self.runtime = runtime
        self.seed = seed
        self.memory = memory.create_memory_store(anyio.current_time)
        self.script = faulty.Faults()
        self.store = faulty.create_faulty_store(
            self.memory, self.script, anyio.current_time
        )
        self.plans = list(plans)
        self.fired: list[Plan] = []
        self.entries = [Entry(self, f"entry-{i}") for i in range(3)]
        self.stop_fate = ""
        self.answered: set[bool] = set()
        self.on_resend: Callable[[], Coroutine[Any, Any, None]] | None = None
        self.on_cancel: Callable[[], Coroutine[Any, Any, None]] | None = None

    def live(self) -> list[Entry]:
        return [entry for entry in self.entries if not entry.is_dead]

    def kill(self, entry: Entry) -> None:
        if entry.is_dead:
            return
        entry.is_dead = True
        entry.scope.cancel()
        self.tasks.start_soon(self._replace_entry, entry.name)

    async def _replace_entry(self, name: str) -> None:
        await anyio.sleep(REPLACED_S)
        self.add_entry(name + "+")

    def add_entry(self, name: str) -> None:
        entry = Entry(self, name)
        self.entries.append(entry)
        self.tasks.start_soon(entry.run)

    async def strike(
        self, entry: Entry, step: str, phase: str, kind: str = ""
    ) -> str:
        """Let the planned faults of a step happen, each once."""
        fate = ""
        for plan in list(self.plans):
            if plan.step != step or plan.phase != phase:
                continue
            if plan.kind not in {"", kind} and kind:
                continue
            # A claim is of interest once a job runs.
            if step == "claim" and not self.starts:
                continue
            self.plans.remove(plan)
            self.fired.append(plan)
            if plan.fault in MESSAGE_FAULTS:
                fate = plan.fault
            else:
                await self._happen(plan.fault, entry)
        return fate

    def find_fate(self, step: str) -> str:
        """Take a message fault that is planned for a step."""
        for plan in list(self.plans):
            if plan.step == step and plan.fault in MESSAGE_FAULTS:
                self.plans.remove(plan)
                self.fired.append(plan)
                return plan.fault
        return ""

    def find_stop_latency(self) -> float:
        """All such messages of a moment share a connection and its fate."""
        fate = self.find_fate("stop")
        if fate:
            self.stop_fate = fate
        if self.stop_fate in {"lost", "silent"}:
            return 1e6
        return 9.0 if self.stop_fate == "late" else agents.CANCEL_LATENCY_S

    async def _happen(self, fault: str, entry: Entry) -> None:
        if fault == "kill":
            self.kill(entry)
        elif fault in {"pause", "old fence"}:
            entry.paused_until = anyio.current_time() + PAUSE_S
        elif fault == "store down":
            self.script.is_down = True
            self.tasks.start_soon(self._mend, DOWN_S)
        elif fault == "store slow":
            self.script.delay_s = SLOW_S
            self.tasks.start_soon(self._mend, SLOW_FOR_S)
        elif fault == "reply lost":
            self.script.lost_replies += 1
        elif fault == "endpoint gone":
            for agent in (self.agents[0], self.agents[agents.AGENTS_PER_KIND]):
                if agent.is_alive:
                    agent.die()
                    self.tasks.start_soon(self._replace_agent, agent)
        elif fault == "none":
            pass
        elif fault == "resent" and self.on_resend:
            self.tasks.start_soon(self.on_resend)
        elif fault == "cancelled" and self.on_cancel:
            self.tasks.start_soon(self.on_cancel)

    async def _mend(self, seconds: float) -> None:
        await anyio.sleep(seconds)
        self.script.is_down = False
        self.script.delay_s = 0.0

    async def _replace_agent(self, gone: agents.Agent) -> None:
        await anyio.sleep(GONE_S)
        self.replace(gone)

    async def hook(
        self,
        step: str,
        agent: agents.Agent,
        call: dispatch.ItemCall,
        owner: Any = None,
        phase: str = "before",
    ) -> str:
        kind = "repeatable" if call.is_repeatable else "once"
        if step == "run":
            owner = self._find_owner(call)
        if owner is None:
            return ""
        fate = await self.strike(owner, step, phase, kind)
        if (step, phase) == ("answer", "after"):
            self.answered.add(call.is_repeatable)
        if step != "run":
            await owner.wait()
        return fate

    def _find_owner(self, call: dispatch.ItemCall) -> Entry | None:
        for entry in self.live():
            if call.job in entry.owner.jobs:
                return entry
        return None


class Client:
    """A caller with two jobs, who sends again what got no reply."""

    def __init__(self, world: World, lines_by_kind: dict[str, list[str]]):
        self.world = world
        self.lines_by_kind = lines_by_kind
        self.jobs_by_kind: dict[str, set[str]] = {}
        self.found_by_kind: dict[str, list[dict[str, Any]]] = {}
        self.asked: set[str] = set()
        self.stopped_by_job: dict[str, float] = {}
        self.false_refusals: list[str] = []
        self.turn = 0
        world.on_resend = self.resend
        world.on_cancel = self.cancel_all

    async def call(self, step: str, work: Callable[[Entry], Any]) -> Any:
        """Call some live entry until there is a reply."""
        while True:
            live = self.world.live()
            entry = live[self.turn % len(live)]
            self.turn += 1
            try:
                answer = await self._exchange(step, entry, work)
            except LostError:
                continue
            if isinstance(answer, result.Success):
                return answer.unwrap()
            refusal = answer.failure()
            assert refusal.code in {
                outcomes.Code.STORE_UNAVAILABLE,
                outcomes.Code.CONFLICT,
            }, refusal
            await anyio.sleep(refusal.retry_after_s or 1.0)

    async def _exchange(
        self, step: str, entry: Entry, work: Callable[[Entry], Any]
    ) -> Any:
        fate = self.world.find_fate(step) if step != "commit" else ""
        if fate == "silent":
            await anyio.sleep(CLIENT_TIMEOUT_S)
            raise LostError
        replies: list[Any] = []
        done = anyio.Event()

        async def serve(entry: Entry) -> None:
            with anyio.CancelScope() as scope:
                self.world.tasks.start_soon(_follow_death, entry, scope, done)
                replies.append(await work(entry))
                done.set()

        self.world.tasks.start_soon(serve, entry)
        if fate == "doubled":
            self.world.tasks.start_soon(serve, self.world.live()[-1])
        with anyio.move_on_after(CLIENT_TIMEOUT_S * 4):
            while not done.is_set() and not entry.is_dead:
                with anyio.move_on_after(POLL_S):
                    await done.wait()
        if not replies or fate in {"lost", "late"}:
            await anyio.sleep(CLIENT_TIMEOUT_S)
            raise LostError
        return replies[0]

    async def run(self) -> None:
        async with anyio.create_task_group() as tasks:
            for kind in self.lines_by_kind:
                tasks.start_soon(self._run_job, kind)

    async def _run_job(self, kind: str) -> None:
        job = await self._submit(kind)
        while True:
            view = await self.call(
                "",
                lambda entry: submission.show_job(
                    entry.store, WORKSPACE, job.job, runtime=entry.runtime
                ),
            )
            if view.record.state in records.ENDED:
                break
            await anyio.sleep(POLL_S)
        await self._read(kind, view.record)

    async def _submit(self, kind: str) -> records.Job:
        data = "\n".join(self.lines_by_kind[kind]).encode()

        async def receive(entry: Entry) -> Any:
            return await files.receive_file(
                entry.store,
                WORKSPACE,
                _once(data),
                LIMITS,
                runtime=entry.runtime,
            )

        file = await self.call("receive", receive)

        async def create(entry: Entry) -> Any:
            request = submission.JobRequest(
                WORKSPACE,
                file.file,
                "/v1/x",
                is_repeatable=kind == "repeatable",
                idempotency_key=kind,
            )
            before = self._has_job(kind)
            answer = await submission.create_job(
                entry.store, request, LIMITS, runtime=entry.runtime
            )
            if isinstance(answer, result.Success):
                await entry.at("acknowledge", "before")
                return answer
            is_refused = answer.failure().ran is outcomes.Ran.NOT_RUN
            if is_refused and self._has_job(kind) and not before:
                self.false_refusals.append(kind)
            return answer

        job: records.Job = await self.call("store", create)
        self.jobs_by_kind.setdefault(kind, set()).add(job.job)
        await self.world.strike(
            self.world.live()[0], "acknowledge", "after", kind
        )
        return job

    def _has_job(self, kind: str) -> bool:
        """Look into the store whether the kind's job is there."""
        found = self.world.memory._records_by_key
        return sum("jobs/record/" in key for key in found) > len(
            [k for k in self.jobs_by_kind if k != kind]
        )

    async def _read(self, kind: str, job: records.Job) -> None:
        async def read(entry: Entry) -> Any:
            blocks: list[bytes] = []
            try:
                for stream in (results.stream_results, results.stream_errors):
                    async for block in stream(
                        entry.store, job, runtime=entry.runtime
                    ):
                        blocks.append(block)
            except files.ReadError:
                return result.Failure(
                    outcomes.refuse(outcomes.Code.STORE_UNAVAILABLE, "down")
                )
            return result.Success(b"".join(blocks))

        data = await self.call("read", read)
        self.found_by_kind[kind] = [
            json.loads(line) for line in data.splitlines()
        ]

    async def resend(self) -> None:
        async with anyio.create_task_group() as tasks:
            for kind in self.lines_by_kind:
                tasks.start_soon(self._submit, kind)

    async def cancel_all(self) -> None:
        async with anyio.create_task_group() as tasks:
            for jobs in list(self.jobs_by_kind.values()):
                for job in jobs:
                    tasks.start_soon(self.cancel, job)

    async def cancel(self, job: str) -> None:
        self.asked.add(job)
        view = await self.call(
            "cancel",
            lambda entry: submission.cancel_job(
                entry.store, WORKSPACE, job, runtime=entry.runtime
            ),
        )
        if view.record.state is records.State.CANCELLED:
            self.stopped_by_job[job] = anyio.current_time()


async def _once(data: bytes) -> AsyncIterator[bytes]:
    yield data


async def _follow_death(
    entry: Entry, scope: anyio.CancelScope, done: anyio.Event
) -> None:
    while not done.is_set() and not entry.is_dead:
        with anyio.move_on_after(POLL_S):
            await done.wait()
    if not done.is_set():
        scope.cancel()
