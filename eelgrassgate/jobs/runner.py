"""Runs one job of an owned slot, one input chunk after another."""

from collections.abc import Callable
from collections.abc import Iterator
from typing import Final

import anyio
from anyio import abc
import msgspec

from eelgrassgate import messages
from eelgrassgate import outcomes
from eelgrassgate.jobs import active_jobs
from eelgrassgate.jobs import chunk_stores
from eelgrassgate.jobs import commits
from eelgrassgate.jobs import dispatch
from eelgrassgate.jobs import files
from eelgrassgate.jobs import records
from eelgrassgate.jobs import retries
from eelgrassgate.jobs import runtimes
from eelgrassgate.jobs import takeovers

MAX_ITEMS_IN_FLIGHT: Final = 64
MAX_STALL_DOUBLINGS: Final = 10
STALL_TIMEOUT_S: Final = 60.0
ID_CHARS: Final = 8
START_POLL_INTERVAL_S: Final = 0.2
READ_RETRY_DELAY_S: Final = 2.0
MAX_OVERRUN_S: Final = 86_400.0

UNKNOWN_MESSAGE: Final = "the item may have run before its owner was lost"
CANCELLED_MESSAGE: Final = "the job was cancelled while the item ran"
EXPIRED_MESSAGE: Final = "no endpoint could take the item in time"


class RunnerContext(msgspec.Struct, frozen=True):
    """Dependencies shared by the runners of one instance.

    Attributes:
        dispatcher: Runs items at agents.
        committer: Commits outcomes.
        chunk_store: Stores the input chunks.
        runtime: Clock, sleep and randomness.
        can_start: Returns whether this instance may start work now.
        read_item_tries: Returns the maximum number of attempts that count
            against an item.
    """

    dispatcher: dispatch.Dispatcher
    committer: commits.Committer
    chunk_store: chunk_stores.ChunkStore
    runtime: runtimes.Runtime
    can_start: Callable[[], bool]
    read_item_tries: Callable[[], int]


class Runner:
    """Runs one job.

    Stops when the job ends or is preempted, or when its slot is lost or about
    to be released.
    """

    def __init__(
        self,
        context: RunnerContext,
        active_job: active_jobs.ActiveJob,
        file: records.FileRecord,
        takeover: takeovers.Takeover,
        uncommitted: dict[int, records.Outcome],
        preemptions: int,
    ) -> None:
        """Create a runner; see `create_runner`."""
        self._context = context
        self._active_job = active_job
        self._file = file
        self._takeover = takeover
        self._uncommitted_by_index = uncommitted
        self._unresolved = frozenset(active_job.ledger.iterate_unresolved())
        self._in_flight: set[int] = set()
        self._not_started: set[int] = set()
        self._id = context.runtime.make_id()[:ID_CHARS]
        self._is_preempted = False
        self._stall_timeout_s = STALL_TIMEOUT_S * 2.0 ** min(
            preemptions, MAX_STALL_DOUBLINGS
        )
        self._last_progress = context.runtime.now()
        self._scope = anyio.CancelScope()
        self._permits = anyio.Semaphore(MAX_ITEMS_IN_FLIGHT)
        wall_left = active_job.job.due - context.runtime.wall()
        self._due = context.runtime.now() + wall_left
        self.is_cancelled = active_job.job.state is records.State.CANCELLING

    def is_stalled(self) -> bool:
        """Return whether no item has ended within the stall timeout."""
        return (
            self._context.runtime.now()
            >= self._last_progress + self._stall_timeout_s
        )

    def preempt(self) -> None:
        """Start no more items; the job resumes later.

        Running items are cancelled if they may be repeated.
        """
        self._is_preempted = True
        if self._active_job.job.is_repeatable:
            self._scope.cancel()

    def cancel(self) -> None:
        """Start no more items and cancel those that are running."""
        self.is_cancelled = True
        self._scope.cancel()

    async def run(self, is_new: bool) -> None:
        """Run the job.

        Args:
            is_new: Whether no former owner can have run any of its items.
        """
        slot = self._active_job.slot
        if not is_new and not await self._takeover.fence_former_owner(
            self.is_cancelled
        ):
            return
        with self._scope:
            if not self.is_cancelled:
                await self._run_chunks()
        if slot.is_lost:
            return
        if self.is_cancelled:
            await self._cancel_remaining()
            self._active_job.request_end(records.State.CANCELLED)
        elif not slot.is_releasing and not self._is_preempted:
            self._active_job.request_end(records.State.COMPLETED)
        else:
            self._withdraw_starts()
        await self._context.committer.flush(self._active_job)

    def _withdraw_starts(self) -> None:
        """Withdraw the intents to start items that have not started."""
        not_started = tuple(
            index
            for index in self._active_job.ledger.iterate_unresolved()
            if index in self._not_started
        )
        if not_started:
            self._active_job.withdraw_starts(not_started)

    async def _cancel_remaining(self) -> None:
        """Cancel the job's items at agents; record those that may have run.

        Waits for the agents to respond, so that no item that is queued at an
        agent can start after the job has ended.
        """
        if not await self._takeover.fence_former_owner(True):
            return
        await self._takeover.cancel()
        if self._active_job.job.is_repeatable:
            return
        unknown = [
            index
            for index in self._unresolved | self._in_flight
            if not self._active_job.ledger.is_done(index)
        ]
        for chunk, start in enumerate(self._file.starts):
            end = self._get_end(chunk)
            wanted = [index for index in unknown if start <= index < end]
            if not wanted:
                continue
            items = await self._read(chunk)
            for index in wanted:
                outcome = self._make_cancelled_outcome(
                    index, items[index - start]
                )
                self._context.committer.add_outcome(self._active_job, outcome)

    def _make_cancelled_outcome(
        self, index: int, item: records.Item
    ) -> records.Outcome:
        state = self._takeover.take(index)
        if state and not state.is_running and state.refusal is None:
            return _make_recovered_outcome(index, item, state)
        return retries.make_unknown_outcome(
            index, item.custom_id, CANCELLED_MESSAGE
        )

    def _get_end(self, chunk: int) -> int:
        starts = self._file.starts
        return (
            starts[chunk + 1] if chunk + 1 < len(starts) else (self._file.items)
        )

    async def _run_chunks(self) -> None:
        async with anyio.create_task_group() as tasks:
            for chunk, start in enumerate(self._file.starts):
                indexes = range(start, self._get_end(chunk))
                if all(map(self._active_job.ledger.is_done, indexes)):
                    continue
                items = await self._read(chunk)
                if self._active_job.job.is_repeatable:
                    can_continue = await self._run_chunk(tasks, start, items)
                else:
                    can_continue = await self._run_chunk_at_most_once(
                        tasks, start, items
                    )
                if not can_continue:
                    return

    async def _read(self, chunk: int) -> tuple[records.Item, ...]:
        """Read a chunk, retrying for as long as the store is down."""
        runtime = self._context.runtime
        while True:
            try:
                return await files.read_items(
                    self._context.chunk_store, runtime, self._file, chunk
                )
            except files.ReadError:
                await runtime.sleep(runtime.add_jitter(READ_RETRY_DELAY_S))

    async def _run_chunk(
        self,
        tasks: abc.TaskGroup,
        start: int,
        items: tuple[records.Item, ...],
    ) -> bool:
        """Start the items of a chunk; False if no more may start."""
        for index, item in self._iterate_remaining(start, items):
            if not await self._acquire_permit():
                return False
            tasks.start_soon(self._run_item, index, item)
        return True

    async def _run_chunk_at_most_once(
        self,
        tasks: abc.TaskGroup,
        start: int,
        items: tuple[records.Item, ...],
    ) -> bool:
        """Start items that run at most once.

        The intent to start a group is committed before any item of the group
        starts. Returns False if no more items may start.
        """
        remaining = list(self._iterate_remaining(start, items))
        while remaining:
            group, remaining = (
                remaining[:MAX_ITEMS_IN_FLIGHT],
                remaining[MAX_ITEMS_IN_FLIGHT:],
            )
            if not await self._wait_to_start():
                return False
            new = tuple(
                index for index, _ in group if index not in self._unresolved
            )
            if new:
                intent = self._active_job.request_start(new)
                self._not_started.update(new)
                self._context.committer.wake()
                await intent.committed.wait()
            for index, item in group:
                await self._permits.acquire()
                self._not_started.discard(index)
                tasks.start_soon(self._run_item, index, item)
        return True

    def _iterate_remaining(
        self, start: int, items: tuple[records.Item, ...]
    ) -> Iterator[tuple[int, records.Item]]:
        for index, item in enumerate(items, start):
            if not self._active_job.ledger.is_done(index):
                yield index, item

    async def _acquire_permit(self) -> bool:
        await self._permits.acquire()
        if await self._wait_to_start():
            return True
        self._permits.release()
        return False

    async def _wait_to_start(self) -> bool:
        """Wait until work may start; False if the runner must stop."""
        slot = self._active_job.slot
        while not slot.is_releasing and not slot.is_lost:
            if self._is_preempted:
                return False
            if (
                self._context.can_start()
                and self._context.committer.has_capacity()
            ):
                return True
            await self._context.runtime.sleep(START_POLL_INTERVAL_S)
        return False

    async def _run_item(self, index: int, item: records.Item) -> None:
        try:
            outcome = await self._recover_outcome(index, item)
            if outcome is None:
                outcome = await self._run_with_retries(index, item)
        finally:
            self._permits.release()
        if outcome is not None:
            self._last_progress = self._context.runtime.now()
            self._context.committer.add_outcome(self._active_job, outcome)
        elif not self._active_job.job.is_repeatable:
            self._not_started.add(index)

    async def _recover_outcome(
        self, index: int, item: records.Item
    ) -> records.Outcome | None:
        """Return the outcome of a run under a former owner, if any.

        This is an outcome that this instance had not committed, a response
        that an agent has kept, or an error if the item may have run but no
        agent has its response.
        """
        uncommitted = self._uncommitted_by_index.pop(index, None)
        if uncommitted is not None:
            return uncommitted
        state = self._takeover.take(index)
        if state is not None and state.is_running:
            state = await self._takeover.wait_until_ended(index)
        if state is not None and self._is_final_response(state):
            return _make_recovered_outcome(index, item, state)
        if index in self._unresolved:
            return retries.make_unknown_outcome(
                index, item.custom_id, UNKNOWN_MESSAGE
            )
        return None

    def _is_final_response(self, state: messages.ItemState) -> bool:
        """Return whether an item ended in a response that is not retried."""
        if state.refusal is not None:
            return False
        item_result = dispatch.ItemResult("", state.status, state.body)
        decision = retries.decide_retry(
            item_result, self._active_job.job.is_repeatable
        )
        return decision is retries.RetryDecision.DONE

    async def _run_with_retries(
        self, index: int, item: records.Item
    ) -> records.Outcome | None:
        """Run an item until it ends; None if the runner must stop."""
        budget = retries.RetryBudget(self._context.read_item_tries())
        runtime = self._context.runtime
        while True:
            item_result = await self._run_once(index, item, budget)
            if item_result is None:
                return None
            decision = retries.decide_retry(
                item_result, self._active_job.job.is_repeatable
            )
            if decision is retries.RetryDecision.STALE_FENCE:
                self._active_job.slot.mark_lost()
                return None
            if decision in {
                retries.RetryDecision.DONE,
                retries.RetryDecision.FAILED,
            }:
                return retries.make_outcome(index, item.custom_id, item_result)
            if not budget.record_failure(decision, item_result.endpoint):
                return retries.make_outcome(index, item.custom_id, item_result)
            if runtime.now() >= self._due + MAX_OVERRUN_S:
                return _make_expired_outcome(index, item)
            delay = budget.compute_backoff(item_result.refusal)
            await runtime.sleep(runtime.add_jitter(delay))

    async def _run_once(
        self, index: int, item: records.Item, budget: retries.RetryBudget
    ) -> dispatch.ItemResult | None:
        if not await self._wait_to_start():
            return None
        budget.attempts += 1
        call = self._make_call(index, item, budget)
        # The index remains in the set if the task is cancelled meanwhile.
        self._in_flight.add(index)
        item_result = await self._context.dispatcher.run(call)
        self._in_flight.remove(index)
        return item_result

    def _can_start(self) -> bool:
        """Return whether an item that waited for capacity may still start."""
        return not self._active_job.slot.is_lost and self._context.can_start()

    def _make_call(
        self, index: int, item: records.Item, budget: retries.RetryBudget
    ) -> dispatch.ItemCall:
        job = self._active_job.job
        slot = self._active_job.slot
        return dispatch.ItemCall(
            f"{job.job}/{index}",
            f"{job.job}.{index}.{self._id}.{budget.attempts}",
            job.job,
            job.workspace,
            item.method,
            item.url,
            item.body,
            slot.name,
            slot.fence,
            self._due,
            job.is_repeatable,
            budget.avoid,
            self._can_start,
        )


def _make_recovered_outcome(
    index: int, item: records.Item, state: messages.ItemState
) -> records.Outcome:
    return records.Outcome(index, item.custom_id, state.status, state.body)


def _make_expired_outcome(index: int, item: records.Item) -> records.Outcome:
    return records.Outcome(
        index,
        item.custom_id,
        0,
        b"",
        outcomes.Code.DEADLINE_EXCEEDED.value,
        EXPIRED_MESSAGE,
    )


def create_runner(
    context: RunnerContext,
    active_job: active_jobs.ActiveJob,
    file: records.FileRecord,
    takeover: takeovers.Takeover,
    uncommitted: dict[int, records.Outcome],
    preemptions: int,
) -> Runner:
    """Create a runner of one job.

    Args:
        context: Dependencies shared by the instance's runners.
        active_job: The job, already added to the committer.
        file: The job's input file.
        takeover: States of items that agents ran for a former owner.
        uncommitted: Outcomes by item that this instance had not committed
            when it lost the slot.
        preemptions: How often the job was preempted. Each time doubles the
            stall timeout, so that long-running items can end.
    """
    return Runner(context, active_job, file, takeover, uncommitted, preemptions)
