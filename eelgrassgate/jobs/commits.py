"""Group commit of the outcomes of all active jobs, under their fences."""

from collections.abc import Callable
from typing import Final

import anyio
import msgspec
from returns import result

from eelgrassgate.jobs import active_jobs
from eelgrassgate.jobs import chunk_stores
from eelgrassgate.jobs import packing
from eelgrassgate.jobs import records
from eelgrassgate.jobs import runtimes
from eelgrassgate.jobs import store_calls
from eelgrassgate.store import base

GROUP_COMMIT_DELAY_S: Final = 1.0
URGENT_COMMIT_DELAY_S: Final = 0.2
GROUP_COMMIT_BYTES: Final = 400_000
MAX_TRANSACTION_BYTES: Final = 1_200_000
MAX_TRANSACTION_JOBS: Final = 30
MAX_BUFFERED_BYTES: Final = 32_000_000


class Committer:
    """Commits changes of active jobs, one transaction at a time."""

    def __init__(
        self,
        store: base.Store,
        chunk_store: chunk_stores.ChunkStore,
        runtime: runtimes.Runtime,
        announce_committed: Callable[[tuple[str, ...]], None],
        read_retention_s: Callable[[], float],
    ) -> None:
        """Create a committer; see `create_committer`."""
        self._store = store
        self._chunk_store = chunk_store
        self._runtime = runtime
        self._announce_committed = announce_committed
        self._read_retention_s = read_retention_s
        self._active_by_job: dict[str, active_jobs.ActiveJob] = {}
        self._wake_event = anyio.Event()
        self._buffered_bytes = 0

    def add_job(self, active_job: active_jobs.ActiveJob) -> None:
        """Start committing for a job."""
        self._active_by_job[active_job.job.job] = active_job

    def remove_job(self, active_job: active_jobs.ActiveJob) -> None:
        """Stop committing for a job; its buffered bytes no longer count."""
        if self._active_by_job.get(active_job.job.job) is active_job:
            del self._active_by_job[active_job.job.job]
            self._buffered_bytes -= active_job.buffered_bytes

    def add_outcome(
        self, active_job: active_jobs.ActiveJob, outcome: records.Outcome
    ) -> None:
        """Add an item's outcome to the next group commit."""
        before = active_job.buffered_bytes
        active_job.add_outcome(outcome)
        self.add_buffered_bytes(active_job.buffered_bytes - before)

    def add_buffered_bytes(self, size: int) -> None:
        """Change the count of buffered bytes by `size`, which may be < 0."""
        self._buffered_bytes += size
        if self._buffered_bytes >= GROUP_COMMIT_BYTES:
            self.wake()

    async def flush(self, active_job: active_jobs.ActiveJob) -> None:
        """Wait until a job's changes are committed or its slot is lost."""
        while not active_job.is_flushed and not active_job.slot.is_lost:
            commit_event = active_job.commit_event
            self.wake()
            with anyio.move_on_after(URGENT_COMMIT_DELAY_S):
                await commit_event.wait()

    def has_capacity(self) -> bool:
        """Return whether more outcomes may be buffered."""
        return self._buffered_bytes < MAX_BUFFERED_BYTES

    def wake(self) -> None:
        """Have `run` check soon whether a commit is due."""
        self._wake_event.set()

    async def run(self) -> None:
        """Commit until cancelled."""
        while True:
            await self._wait_until_due()
            parts = self._take_parts(commit := self._runtime.make_id())
            if parts:
                await self._commit(parts, commit)

    async def _wait_until_due(self) -> None:
        """Wait until the group commit delay is over or a commit is due."""
        await self._runtime.sleep(URGENT_COMMIT_DELAY_S)
        deadline = (
            self._runtime.now() + GROUP_COMMIT_DELAY_S - URGENT_COMMIT_DELAY_S
        )
        while not self._is_commit_due():
            remaining_s = deadline - self._runtime.now()
            if remaining_s <= 0:
                return
            self._wake_event = anyio.Event()
            with anyio.move_on_after(remaining_s):
                await self._wake_event.wait()

    def _is_commit_due(self) -> bool:
        return self._buffered_bytes >= GROUP_COMMIT_BYTES or any(
            active_job.is_urgent for active_job in self._active_by_job.values()
        )

    def _take_parts(self, commit: str) -> list[active_jobs.CommitPart]:
        """Take parts of the jobs that waited longest, up to the bounds."""
        parts: list[active_jobs.CommitPart] = []
        size = 0
        for job, active_job in list(self._active_by_job.items()):
            if active_job.slot.is_lost or not active_job.is_dirty:
                continue
            before = active_job.buffered_bytes
            part = active_job.take_part(commit)
            self._buffered_bytes += active_job.buffered_bytes - before
            parts.append(part)
            size += part.size
            # Moves the job to the end of the order, for round robin.
            self._active_by_job[job] = self._active_by_job.pop(job)
            if size > MAX_TRANSACTION_BYTES - packing.MAX_VALUE_BYTES:
                break
            if len(parts) == MAX_TRANSACTION_JOBS:
                break
        return parts

    async def _commit(
        self, parts: list[active_jobs.CommitPart], commit: str
    ) -> None:
        """Commit parts, retrying until the outcome of each is known."""
        attempt = 0
        staged: dict[str, tuple[base.Write, ...]] = {}
        while True:
            parts = [part for part in parts if not part.active_job.slot.is_lost]
            if not parts:
                return
            if not await self._stage(parts, staged):
                delay = self._runtime.add_jitter(
                    store_calls.compute_backoff(attempt)
                )
                await self._runtime.sleep(delay)
                attempt += 1
                continue
            answer = await self._store.commit(
                self._build_transaction(parts, staged)
            )
            done = answer.value_or(None)
            if done and done.is_done:
                for part in parts:
                    self._mark_committed(part, done.revision)
                return
            if done:
                parts = self._resolve_parts(parts, done, commit)
            await self._runtime.sleep(
                self._runtime.add_jitter(store_calls.compute_backoff(attempt))
            )
            attempt += 1

    async def _stage(
        self,
        parts: list[active_jobs.CommitPart],
        staged: dict[str, tuple[base.Write, ...]],
    ) -> bool:
        """Store the parts' chunks; False if one could not be stored."""
        for part in parts:
            chunk = part.chunk
            if chunk is None or chunk.key in staged:
                continue
            answer = await self._chunk_store.stage(chunk.key, chunk.value)
            if not isinstance(answer, result.Success):
                return False
            staged[chunk.key] = answer.unwrap()
        return True

    def _build_transaction(
        self,
        parts: list[active_jobs.CommitPart],
        staged: dict[str, tuple[base.Write, ...]],
    ) -> base.Transaction:
        preconditions = {
            part.active_job.slot.precondition: None for part in parts
        }
        ended = self._runtime.wall()
        retention_s = self._read_retention_s()
        changes: list[base.Write | base.Delete] = []
        for part in parts:
            preconditions.update(dict.fromkeys(part.get_preconditions()))
            if part.chunk:
                changes.extend(staged[part.chunk.key])
            changes.extend(part.get_changes(ended, retention_s))
        return base.Transaction(tuple(preconditions), tuple(changes))

    def _mark_committed(
        self, part: active_jobs.CommitPart, revision: int
    ) -> None:
        active_job = part.active_job
        before = active_job.buffered_bytes
        active_job.mark_committed(part, revision)
        if self._active_by_job.get(active_job.job.job) is active_job:
            self._buffered_bytes += active_job.buffered_bytes - before
        if part.outcomes:
            self._announce_committed(
                tuple(
                    f"{active_job.job.job}/{outcome.index}"
                    for outcome in part.outcomes
                )
            )

    def _resolve_parts(
        self,
        parts: list[active_jobs.CommitPart],
        done: base.Commit,
        commit: str,
    ) -> list[active_jobs.CommitPart]:
        """Handle failed preconditions; return the parts still to commit."""
        found_by_key = {record.key: record for record in done.found}
        return [
            part
            for part in parts
            if not self._resolve_part(part, found_by_key, commit)
        ]

    def _resolve_part(
        self,
        part: active_jobs.CommitPart,
        found_by_key: dict[str, base.Record],
        commit: str,
    ) -> bool:
        active_job = part.active_job
        ledger = found_by_key.get(active_job.ledger_key)
        if ledger and _read_commit(ledger) == commit:
            # An earlier attempt was applied and its reply was lost.
            self._mark_committed(part, ledger.revision)
            return True
        owner = found_by_key.get(active_job.slot.precondition.key)
        is_owner = owner is not None and owner.revision == active_job.slot.fence
        revision = ledger.revision if ledger else 0
        if not is_owner or revision != active_job.ledger_revision:
            active_job.slot.mark_lost()
            return True
        job = found_by_key.get(active_job.job_key)
        if job and job.revision != active_job.job_revision:
            active_job.update_record(
                records.decode(job.value, records.Job), job.revision
            )
        return False


def _read_commit(ledger: base.Record) -> str:
    try:
        return records.decode(ledger.value, records.LedgerRecord).commit
    except msgspec.MsgspecError:
        return ""


def create_committer(
    store: base.Store,
    chunk_store: chunk_stores.ChunkStore,
    runtime: runtimes.Runtime,
    announce_committed: Callable[[tuple[str, ...]], None],
    read_retention_s: Callable[[], float],
) -> Committer:
    """Create a committer.

    Args:
        store: The store.
        chunk_store: Stores the result chunks.
        runtime: Clock, sleep and randomness.
        announce_committed: Called with the ids of items whose outcomes were
            committed.
        read_retention_s: Returns for how many seconds results are kept after
            a job's end.
    """
    return Committer(
        store, chunk_store, runtime, announce_committed, read_retention_s
    )
