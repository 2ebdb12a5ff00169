"""Simulates entries, agents, a store and a client, with planned faults."""

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

LEASE_TTL_S = 6.0
PAUSE_S = 20.0
STORE_OUTAGE_S = 15.0
STORE_DELAY_S = 1.5
SLOW_STORE_S = 20.0
AGENT_REPLACEMENT_S = 20.0
ENTRY_REPLACEMENT_S = 10.0
CLIENT_TIMEOUT_S = 8.0
POLL_INTERVAL_S = 1.0
MAX_RUN_S = 900.0
WORKSPACE = "desk"
LIMITS = fleet.Limits()

MESSAGE_FAULTS = frozenset({"lost", "doubled", "late", "crossed", "silent"})


class PlannedFault(msgspec.Struct, frozen=True):
    """A fault that is injected once, at a step.

    Attributes:
        step: The step at which it is injected.
        fault: What happens.
        phase: `before` or `after` the step takes effect.
        kind: The kind of job that it is limited to, empty for all. It has no
            effect at steps that don't tell the kind.
    """

    step: str
    fault: str
    phase: str = "before"
    kind: str = ""


class NoReplyError(Exception):
    """The client received no reply."""


class Entry:
    """One instance: a job owner, and a store through which it serves calls."""

    def __init__(self, simulation: "Simulation", name: str) -> None:
        self.simulation = simulation
        self.name = name
        self.is_dead = False
        self.paused_until = 0.0
        self.scope = anyio.CancelScope()
        self.runtime = runtimes.Runtime(
            anyio.current_time,
            simulation.runtime.wall,
            self.sleep,
            random.Random(f"{simulation.seed}/{name}"),
        )
        self.store = EntryStore(self)
        self.owner = owner.create_owner(
            self.store,
            name,
            EntryDispatcher(self),
            lambda: LIMITS,
            runtime=self.runtime,
            lease_s=LEASE_TTL_S,
        )

    async def run(self) -> None:
        with self.scope:
            await self.owner.run()

    async def sleep(self, seconds: float) -> None:
        await anyio.sleep(seconds)
        await self.wait()

    async def wait(self) -> None:
        """Wait while the instance is paused, or forever if it is dead."""
        while self.is_dead or anyio.current_time() < self.paused_until:
            await anyio.sleep(
                1e6
                if self.is_dead
                else self.paused_until - anyio.current_time()
            )

    async def inject_faults(self, step: str, phase: str, kind: str = "") -> str:
        """Inject the faults planned for a step, then wait while paused."""
        message_fault = await self.simulation.inject_step_faults(
            self, step, phase, kind
        )
        await self.wait()
        return message_fault


def _classify_transaction(transaction: base.Transaction) -> str:
    """Return the step that a transaction belongs to, empty for none."""
    keys = [change.key for change in transaction.changes]
    joined_keys = " ".join(keys)
    for prefix, step in (
        ("jobs/input/", "receive"),
        ("jobs/file/", "receive"),
        ("jobs/result/", "commit"),
        ("jobs/ledger/", "intent"),
        ("jobs/live/open/", "cancel"),
    ):
        if prefix in joined_keys and "jobs/same/" not in joined_keys:
            return step
    if "jobs/same/" in joined_keys:
        return "store"
    if "jobs/live/slot/" in joined_keys:
        is_delete = isinstance(transaction.changes[0], base.Delete)
        return "hand over" if is_delete else "claim"
    return ""


class EntryStore:
    """The store as seen by one instance, with its pauses and faults."""

    def __init__(self, entry: Entry) -> None:
        self._entry = entry
        self._inner = entry.simulation.store

    async def _call(self, step: str, call: Callable[[], Awaitable[Any]]) -> Any:
        entry = self._entry
        await entry.wait()
        if step:
            await entry.inject_faults(step, "before")
        response = await call()
        if step:
            await entry.inject_faults(step, "after")
        await entry.wait()
        return response

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
            _classify_transaction(transaction),
            lambda: self._inner.commit(transaction),
        )

    async def grant_lease(self, ttl_s: float) -> Any:
        return await self._call("", lambda: self._inner.grant_lease(ttl_s))

    async def renew_lease(self, lease: int) -> Any:
        return await self._call("", lambda: self._inner.renew_lease(lease))

    async def revoke_lease(self, lease: int) -> Any:
        return await self._call("", lambda: self._inner.revoke_lease(lease))

    async def watch(
        self,
        prefix: str,
        from_revision: int,
        *,
        max_wait_s: float | None = None,
    ) -> AsyncIterator[Any]:
        async for response in self._inner.watch(
            prefix, from_revision, max_wait_s=max_wait_s
        ):
            await self._entry.wait()
            yield response

    async def close(self) -> None:
        pass


class EntryDispatcher:
    """The dispatcher of one instance; it stops while the instance is paused."""

    def __init__(self, entry: Entry) -> None:
        self._entry = entry
        self._inner = agents.Dispatcher(entry.simulation)

    async def run(self, item: dispatch.ItemCall) -> dispatch.ItemResult:
        self._inner.owner = self._entry
        await self._entry.wait()
        response = await self._inner.run(item)
        await self._entry.wait()
        return response

    async def inquire(
        self, job: str, owner: str, fence: int
    ) -> dispatch.Inquiry:
        self._inner.owner = self._entry
        await self._entry.wait()
        response = await self._inner.inquire(job, owner, fence)
        await self._entry.wait()
        return response

    async def cancel(self, items: tuple[messages.ItemState, ...]) -> None:
        await self._entry.wait()
        await self._inner.cancel(items)

    def announce_committed(self, items: tuple[str, ...]) -> None:
        message_fault = self._entry.simulation.pop_message_fault("settle")
        if message_fault == "crossed":
            self._entry.simulation.agents[-1].discard_committed(items)
        elif message_fault not in {"lost", "late", "silent"}:
            for _ in range(2 if message_fault == "doubled" else 1):
                self._inner.announce_committed(items)


class Simulation(agents.Fleet):
    """The state of one simulated run."""

    def __init__(
        self,
        tasks: anyio.abc.TaskGroup,
        runtime: runtimes.Runtime,
        planned_faults: tuple[PlannedFault, ...],
        seed: int,
    ) -> None:
        super().__init__(tasks)
        self.runtime = runtime
        self.seed = seed
        self.memory = memory.create_memory_store(anyio.current_time)
        self.store_faults = faulty.Faults()
        self.store = faulty.create_faulty_store(
            self.memory, self.store_faults, anyio.current_time
        )
        self.planned_faults = list(planned_faults)
        self.injected: list[PlannedFault] = []
        self.entries = [Entry(self, f"entry-{i}") for i in range(3)]
        self.cancel_fault = ""
        self.answered_kinds: set[bool] = set()
        self.on_resend: Callable[[], Coroutine[Any, Any, None]] | None = None
        self.on_cancel: Callable[[], Coroutine[Any, Any, None]] | None = None

    def list_live_entries(self) -> list[Entry]:
        return [entry for entry in self.entries if not entry.is_dead]

    def kill(self, entry: Entry) -> None:
        if entry.is_dead:
            return
        entry.is_dead = True
        entry.scope.cancel()
        self.tasks.start_soon(self._replace_entry, entry.name)

    async def _replace_entry(self, name: str) -> None:
        await anyio.sleep(ENTRY_REPLACEMENT_S)
        self.add_entry(name + "+")

    def add_entry(self, name: str) -> None:
        entry = Entry(self, name)
        self.entries.append(entry)
        self.tasks.start_soon(entry.run)

    async def inject_step_faults(
        self, entry: Entry, step: str, phase: str, kind: str = ""
    ) -> str:
        """Inject the faults planned for a step, each once.

        Returns:
            The message fault among them, empty for none.
        """
        message_fault = ""
        for planned in list(self.planned_faults):
            if planned.step != step or planned.phase != phase:
                continue
            if planned.kind not in {"", kind} and kind:
                continue
            # A claim matters only after an item of a job has started.
            if step == "claim" and not self.starts:
                continue
            self.planned_faults.remove(planned)
            self.injected.append(planned)
            if planned.fault in MESSAGE_FAULTS:
                message_fault = planned.fault
            else:
                await self._inject(planned.fault, entry)
        return message_fault

    def pop_message_fault(self, step: str) -> str:
        """Remove and return the message fault of a step, empty for none."""
        for planned in list(self.planned_faults):
            if planned.step == step and planned.fault in MESSAGE_FAULTS:
                self.planned_faults.remove(planned)
                self.injected.append(planned)
                return planned.fault
        return ""

    def get_cancel_latency(self) -> float:
        """Return the latency of a cancel message.

        Cancel messages share a connection, so a fault of one message applies
        to the later ones as well.
        """
        message_fault = self.pop_message_fault("stop")
        if message_fault:
            self.cancel_fault = message_fault
        if self.cancel_fault in {"lost", "silent"}:
            return 1e6
        return 9.0 if self.cancel_fault == "late" else agents.CANCEL_LATENCY_S

    async def _inject(self, fault: str, entry: Entry) -> None:
        if fault == "kill":
            self.kill(entry)
        elif fault in {"pause", "old fence"}:
            entry.paused_until = anyio.current_time() + PAUSE_S
        elif fault == "store down":
            self.store_faults.is_down = True
            self.tasks.start_soon(self._restore_store, STORE_OUTAGE_S)
        elif fault == "store slow":
            self.store_faults.delay_s = STORE_DELAY_S
            self.tasks.start_soon(self._restore_store, SLOW_STORE_S)
        elif fault == "reply lost":
            self.store_faults.lost_replies += 1
        elif fault == "endpoint gone":
            for agent in (self.agents[0], self.agents[agents.AGENTS_PER_KIND]):
                if agent.is_alive:
                    agent.crash()
                    self.tasks.start_soon(self._replace_agent, agent)
        elif fault == "none":
            pass
        elif fault == "resent" and self.on_resend:
            self.tasks.start_soon(self.on_resend)
        elif fault == "cancelled" and self.on_cancel:
            self.tasks.start_soon(self.on_cancel)

    async def _restore_store(self, seconds: float) -> None:
        await anyio.sleep(seconds)
        self.store_faults.is_down = False
        self.store_faults.delay_s = 0.0

    async def _replace_agent(self, crashed: agents.Agent) -> None:
        await anyio.sleep(AGENT_REPLACEMENT_S)
        self.replace(crashed)

    async def inject_call_faults(
        self,
        step: str,
        agent: agents.Agent,
        call: dispatch.ItemCall,
        owner: Any = None,
        phase: str = "before",
    ) -> str:
        kind = "repeatable" if call.is_repeatable else "once"
        if step == "run":
            owner = self.find_owner(call)
        if owner is None:
            return ""
        message_fault = await self.inject_step_faults(owner, step, phase, kind)
        if (step, phase) == ("answer", "after"):
            self.answered_kinds.add(call.is_repeatable)
        if step != "run":
            await owner.wait()
        return message_fault

    def find_owner(self, call: dispatch.ItemCall) -> Entry | None:
        for entry in self.list_live_entries():
            if call.job in entry.owner.task_names:
                return entry
        return None


class Client:
    """A client with a job of each kind; it retries calls without a reply."""

    def __init__(
        self, simulation: Simulation, lines_by_kind: dict[str, list[str]]
    ):
        self.simulation = simulation
        self.lines_by_kind = lines_by_kind
        self.jobs_by_kind: dict[str, set[str]] = {}
        self.results_by_kind: dict[str, list[dict[str, Any]]] = {}
        self.cancel_requested: set[str] = set()
        self.cancelled_at_by_job: dict[str, float] = {}
        self.false_refusals: list[str] = []
        self.next_entry = 0
        simulation.on_resend = self.resend
        simulation.on_cancel = self.cancel_all

    async def call(self, step: str, operation: Callable[[Entry], Any]) -> Any:
        """Call the live entries in turn until a call succeeds."""
        while True:
            live = self.simulation.list_live_entries()
            entry = live[self.next_entry % len(live)]
            self.next_entry += 1
            try:
                response = await self._exchange(step, entry, operation)
            except NoReplyError:
                continue
            if isinstance(response, result.Success):
                return response.unwrap()
            refusal = response.failure()
            assert refusal.code in {
                outcomes.Code.STORE_UNAVAILABLE,
                outcomes.Code.CONFLICT,
            }, refusal
            await anyio.sleep(refusal.retry_after_s or 1.0)

    async def _exchange(
        self, step: str, entry: Entry, operation: Callable[[Entry], Any]
    ) -> Any:
        message_fault = (
            self.simulation.pop_message_fault(step) if step != "commit" else ""
        )
        if message_fault == "silent":
            await anyio.sleep(CLIENT_TIMEOUT_S)
            raise NoReplyError
        replies: list[Any] = []
        done = anyio.Event()

        async def serve(entry: Entry) -> None:
            with anyio.CancelScope() as scope:
                self.simulation.tasks.start_soon(
                    _cancel_on_death, entry, scope, done
                )
                replies.append(await operation(entry))
                done.set()

        self.simulation.tasks.start_soon(serve, entry)
        if message_fault == "doubled":
            self.simulation.tasks.start_soon(
                serve, self.simulation.list_live_entries()[-1]
            )
        with anyio.move_on_after(CLIENT_TIMEOUT_S * 4):
            while not done.is_set() and not entry.is_dead:
                with anyio.move_on_after(POLL_INTERVAL_S):
                    await done.wait()
        if not replies or message_fault in {"lost", "late"}:
            await anyio.sleep(CLIENT_TIMEOUT_S)
            raise NoReplyError
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
            await anyio.sleep(POLL_INTERVAL_S)
        await self._read(kind, view.record)

    async def _submit(self, kind: str) -> records.Job:
        data = "\n".join(self.lines_by_kind[kind]).encode()

        async def receive(entry: Entry) -> Any:
            return await files.receive_file(
                entry.store,
                WORKSPACE,
                _yield_once(data),
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
            response = await submission.create_job(
                entry.store, request, LIMITS, runtime=entry.runtime
            )
            if isinstance(response, result.Success):
                await entry.inject_faults("acknowledge", "before")
                return response
            is_refused = response.failure().ran is outcomes.RunStatus.NOT_RUN
            if is_refused and self._has_job(kind) and not before:
                self.false_refusals.append(kind)
            return response

        job: records.Job = await self.call("store", create)
        self.jobs_by_kind.setdefault(kind, set()).add(job.job)
        await self.simulation.inject_step_faults(
            self.simulation.list_live_entries()[0], "acknowledge", "after", kind
        )
        return job

    def _has_job(self, kind: str) -> bool:
        """Return whether the store holds the job of this kind."""
        found = self.simulation.memory._records_by_key
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
        self.results_by_kind[kind] = [
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
        self.cancel_requested.add(job)
        view = await self.call(
            "cancel",
            lambda entry: submission.cancel_job(
                entry.store, WORKSPACE, job, runtime=entry.runtime
            ),
        )
        if view.record.state is records.State.CANCELLED:
            self.cancelled_at_by_job[job] = anyio.current_time()


async def _yield_once(data: bytes) -> AsyncIterator[bytes]:
    yield data


async def _cancel_on_death(
    entry: Entry, scope: anyio.CancelScope, done: anyio.Event
) -> None:
    while not done.is_set() and not entry.is_dead:
        with anyio.move_on_after(POLL_INTERVAL_S):
            await done.wait()
    if not done.is_set():
        scope.cancel()
