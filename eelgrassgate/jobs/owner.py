"""Owns slots and runs their jobs; each instance has one owner."""

from collections.abc import Callable
import itertools
from typing import Final

import anyio
from anyio import abc

from eelgrassgate import logs
from eelgrassgate.config import fleet
from eelgrassgate.jobs import chunk_stores
from eelgrassgate.jobs import commits
from eelgrassgate.jobs import dispatch
from eelgrassgate.jobs import keys
from eelgrassgate.jobs import loader
from eelgrassgate.jobs import membership
from eelgrassgate.jobs import records
from eelgrassgate.jobs import retention
from eelgrassgate.jobs import runner
from eelgrassgate.jobs import runtimes
from eelgrassgate.jobs import slots
from eelgrassgate.jobs import takeovers
from eelgrassgate.jobs import uncommitted_outcomes
from eelgrassgate.jobs import views
from eelgrassgate.store import base

POLL_INTERVAL_S: Final = 1.0
RETRY_DELAY_S: Final = 1.0
RECONCILE_DELAY_S: Final = 0.1
MAX_CLAIM_SLOTS: Final = 40
MAX_ACTIVE_JOBS: Final = 64

ReadLimits = Callable[[], fleet.Limits]


class JobOwner:
    """Claims the slots assigned to this instance and runs their jobs."""

    def __init__(
        self,
        store: base.Store,
        instance: str,
        dispatcher: dispatch.Dispatcher,
        read_limits: ReadLimits,
        runtime: runtimes.Runtime,
        lease_s: float,
    ) -> None:
        """Create an owner; see `create_owner`."""
        self._store = store
        self._runtime = runtime
        self._dispatcher = dispatcher
        self._view = views.create_view(store, runtime)
        self._membership = membership.create_membership(
            store, instance, runtime, self._mark_all_lost, lease_s
        )
        chunk_store = chunk_stores.create_chunk_store(store)
        self._committer = commits.create_committer(
            store,
            chunk_store,
            runtime,
            dispatcher.announce_committed,
            lambda: read_limits().result_retention_s,
        )
        self._context = runner.RunnerContext(
            dispatcher,
            self._committer,
            chunk_store,
            runtime,
            self._membership.can_start_work,
            lambda: read_limits().item_tries,
        )
        self._slots_by_number: dict[int, slots.Slot] = {}
        self._sweeper = retention.create_sweeper(
            store,
            runtime,
            lambda: retention.SWEEP_SLOT in self._slots_by_number,
        )
        self._slots_by_task: dict[str, slots.Slot] = {}
        self._runners_by_job: dict[str, runner.Runner] = {}
        self._preemptions_by_job: dict[str, int] = {}
        self._uncommitted = uncommitted_outcomes.create_uncommitted_outcomes(
            self._committer
        )
        self._members: frozenset[str] = frozenset()
        self._assigned: frozenset[int] = frozenset()
        self._is_draining = False

    @property
    def owned_slots(self) -> tuple[int, ...]:
        """Numbers of the slots that this instance believes it owns."""
        return tuple(sorted(self._slots_by_number))

    @property
    def task_names(self) -> tuple[str, ...]:
        """Names of running tasks: ids of active jobs, and slot releases."""
        return tuple(self._slots_by_task)

    async def run(self) -> None:
        """Own slots and run their jobs until cancelled."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._view.run)
            tasks.start_soon(self._membership.run)
            tasks.start_soon(self._committer.run)
            tasks.start_soon(self._sweeper.run)
            while True:
                await self._reconcile(tasks)
                # All instances see the same change; the jitter spreads their
                # reactions.
                await self._runtime.sleep(
                    self._runtime.add_jitter(RECONCILE_DELAY_S)
                )
                await self._view.wait(POLL_INTERVAL_S)

    async def drain(self, deadline: float) -> bool:
        """Start no more items and release all slots, until `deadline`.

        Waits for running items and commits their results. Must be called
        while `run` is running; cancel `run` afterwards.

        Args:
            deadline: Monotonic time.

        Returns:
            Whether all slots were released in time.
        """
        self._is_draining = True
        await self._membership.deregister()
        for slot in self._slots_by_number.values():
            slot.is_releasing = True
        while self._slots_by_number and self._runtime.now() < deadline:
            await self._runtime.sleep(RECONCILE_DELAY_S)
        is_done = not self._slots_by_number
        await self._membership.leave()
        return is_done

    def _mark_all_lost(self) -> None:
        for slot in list(self._slots_by_number.values()):
            slot.mark_lost()

    async def _reconcile(self, tasks: abc.TaskGroup) -> None:
        self._drop_lost()
        if not self._view.revision:
            return
        self._check_fences()
        if self._membership.lease:
            await self._claim_slots()
        self._start_release(tasks)
        self._start_jobs(tasks)
        self._cancel_jobs()
        self._drop_stale_state()

    def _check_fences(self) -> None:
        """Mark slots as lost that have another owner or none in the store."""
        for number, slot in list(self._slots_by_number.items()):
            if self._view.revision < slot.fence:
                continue
            if self._view.fences_by_slot.get(number) != slot.fence:
                slot.mark_lost()
        self._drop_lost()

    def _drop_lost(self) -> None:
        for number, slot in list(self._slots_by_number.items()):
            if slot.is_lost:
                del self._slots_by_number[number]

    def _get_assigned(self) -> frozenset[int]:
        if self._is_draining:
            return frozenset()
        members = frozenset(self._view.members_by_instance)
        if members != self._members:
            self._members = members
            self._assigned = frozenset(
                slots.iterate_assigned(self._membership.instance, members)
            )
        return self._assigned

    async def _claim_slots(self) -> None:
        """Claim free slots that are assigned to this instance."""
        free = sorted(
            number
            for number in self._get_assigned()
            if number not in self._view.fences_by_slot
            and number not in self._slots_by_number
        )
        for first in range(0, len(free), MAX_CLAIM_SLOTS):
            claimed = await slots.claim(
                self._store,
                self._membership,
                self._runtime,
                tuple(free[first : first + MAX_CLAIM_SLOTS]),
            )
            for slot in claimed:
                self._slots_by_number[slot.number] = slot

    def _start_release(self, tasks: abc.TaskGroup) -> None:
        """Start to release slots that are assigned to another instance."""
        assigned = self._get_assigned()
        for number, slot in self._slots_by_number.items():
            if number in assigned and not slot.is_releasing:
                continue
            if (
                self._membership.instance
                not in (self._view.members_by_instance)
                and not self._is_draining
            ):
                continue
            slot.is_releasing = True
            if slot not in self._slots_by_task.values():
                name = f"release-{number}"
                if name not in self._slots_by_task:
                    self._slots_by_task[name] = slot
                    tasks.start_soon(self._release_slot, name, slot)

    async def _release_slot(self, name: str, slot: slots.Slot) -> None:
        try:
            if await slots.release(self._store, self._runtime, slot):
                slot.mark_lost()
                self._slots_by_number.pop(slot.number, None)
        except Exception:
            # The slot is released again, or expires.
            logs.log_exception("slot:release_failed", slot=slot.number)
            await self._runtime.sleep(RETRY_DELAY_S)
        finally:
            del self._slots_by_task[name]

    def _start_jobs(self, tasks: abc.TaskGroup) -> None:
        """Start open jobs, ordered by preemption count and then due time."""
        max_new_jobs = max(0, MAX_ACTIVE_JOBS - len(self._slots_by_task))
        waiting = [
            (
                self._preemptions_by_job.get(job, 0),
                entry.job.due,
                job,
                entry,
                slot,
            )
            for number, slot in self._slots_by_number.items()
            if not slot.is_releasing and not slot.is_lost
            for job, entry in self._view.open_by_slot.get(number, {}).items()
            if job not in self._slots_by_task
        ]
        waiting.sort(key=lambda wait: wait[:3])
        for _, _, job, entry, slot in waiting[:max_new_jobs]:
            self._slots_by_task[job] = slot
            tasks.start_soon(self._run_job, slot, entry)
        self._preempt_stalled(len(waiting) - max_new_jobs)

    def _preempt_stalled(self, count: int) -> None:
        """Preempt up to `count` stalled jobs in favour of waiting ones."""
        stalled = (
            (job, running)
            for job, running in self._runners_by_job.items()
            if running.is_stalled()
        )
        for job, running in itertools.islice(stalled, max(0, count)):
            running.preempt()
            self._preemptions_by_job[job] = (
                self._preemptions_by_job.get(job, 0) + 1
            )

    def _cancel_jobs(self) -> None:
        for job, slot in self._slots_by_task.items():
            entry = self._view.open_by_slot.get(slot.number, {}).get(job)
            running = self._runners_by_job.get(job)
            if entry and running and entry.job.is_cancelled:
                running.cancel()

    def _drop_stale_state(self) -> None:
        """Drop state of jobs that are closed or owned by another instance."""
        for job in list(self._preemptions_by_job):
            number = keys.compute_slot(job)
            if job not in self._view.open_by_slot.get(number, {}):
                del self._preemptions_by_job[job]
        for job in self._uncommitted.iterate_jobs():
            number = keys.compute_slot(job)
            if number in self._slots_by_number:
                continue
            if number in self._view.fences_by_slot:
                self._uncommitted.take(job)

    async def _run_job(self, slot: slots.Slot, entry: views.OpenEntry) -> None:
        job = entry.job.job
        scope = anyio.CancelScope()
        slot.scopes.add(scope)
        try:
            with scope:
                await self._run_claimed_job(slot, entry)
        except Exception:
            # An error in one job must not stop the others. It is tried again
            # after those that wait.
            logs.log_exception("job:failed", job=job)
            self._preemptions_by_job[job] = (
                self._preemptions_by_job.get(job, 0) + 1
            )
            await self._runtime.sleep(RETRY_DELAY_S)
        finally:
            slot.scopes.discard(scope)
            self._runners_by_job.pop(job, None)
            del self._slots_by_task[job]

    async def _run_claimed_job(
        self, slot: slots.Slot, entry: views.OpenEntry
    ) -> None:
        if slot.is_lost:
            return
        active_job = await loader.load_active_job(
            self._store, self._runtime, slot, entry.job
        )
        if active_job is None:
            return
        self._committer.add_job(active_job)
        try:
            file = await loader.load_file(
                self._store, self._runtime, active_job.job
            )
            if file is None:
                active_job.request_end(records.State.FAILED)
                await self._committer.flush(active_job)
                return
            takeover = takeovers.create_takeover(
                active_job.job.job, slot, self._dispatcher, self._runtime
            )
            running = runner.create_runner(
                self._context,
                active_job,
                file,
                takeover,
                self._uncommitted.take(active_job.job.job),
                self._preemptions_by_job.get(active_job.job.job, 0),
            )
            self._runners_by_job[active_job.job.job] = running
            # A job that was opened after the claim has had no other owner.
            is_new = entry.revision > slot.fence and not (
                entry.job.is_cancelled
            )
            await running.run(is_new)
        finally:
            self._committer.remove_job(active_job)
            if slot.is_lost:
                self._uncommitted.add(active_job)


def create_owner(
    store: base.Store,
    instance: str,
    dispatcher: dispatch.Dispatcher,
    read_limits: ReadLimits,
    *,
    runtime: runtimes.Runtime = runtimes.SYSTEM,
    lease_s: float = membership.LEASE_S,
) -> JobOwner:
    """Create an owner.

    Args:
        store: The store.
        instance: The instance's unique name.
        dispatcher: Runs items at agents.
        read_limits: Returns the current limits on retries and retention.
        runtime: Clock, sleep and randomness.
        lease_s: Time to live of the instance's lease in seconds; a successor
            can take over soon after it expires.
    """
    return JobOwner(store, instance, dispatcher, read_limits, runtime, lease_s)
