"""A job that this process runs: its claim, items and result commits."""

from collections.abc import Callable
import re
import time
from typing import Final
import uuid

import anyio
import msgspec
from returns import result

from eelgrassgate import deadlines
from eelgrassgate import logs
from eelgrassgate import memory_budget
from eelgrassgate.batches import items
from eelgrassgate.batches import job_memory
from eelgrassgate.batches import records
from eelgrassgate.batches import stored_items
from eelgrassgate.gateway import calls
from eelgrassgate.store import base

_CLAIM: Final = re.compile(r"(.+) ([0-9]{1,20})")


class StoreFailedError(Exception):
    """A store call failed; the operation can be retried."""


class OwnershipLostError(Exception):
    """Another process owns the job, or the job is closed."""


class OwnedJob:
    """A job that this process claims, runs and commits results for.

    Attributes:
        job: The job's record.
        created_at: Monotonic time at which this object was created.
        waiting: Items that are ready to run.
        running: Items that are running, by id.
        has_committed: Whether `committed` is complete; it is dropped when
            memory is short, as readers find the results in the store.
        uncommitted: Results that are not committed yet.
        committed: Results that are committed, in order.
        is_stopped: Whether this process has stopped working on the job,
            because the caller cancelled it or its claim is being released.
    """

    def __init__(
        self,
        store: base.Store,
        job: records.Job,
        open_revision: int,
        memory: job_memory.JobMemory,
    ) -> None:
        """Create an unclaimed job; see `create_owned_job`."""
        self._memory = memory
        self._items_account = memory.budget.open(memory_budget.Kind.JOB, job.id)
        self._results_account = memory.budget.open(
            memory_budget.Kind.RESULT, job.id
        )
        self._bytes_by_part: dict[int, int] = {}
        self._store = store
        self._open_revision = open_revision
        self._claim_revision = 0
        self._stale_claim_revision = 0
        self._head = records.Head()
        self._head_revision = 0
        self._is_loaded = False
        self._pending: base.Transaction | None = None
        self._pending_head = records.Head()
        self._pending_results: list[records.Result] = []
        self._max_commit_results: int | None = None
        self._commit_event = anyio.Event()
        self.committed: list[records.Result] = []
        self.has_committed = True
        self.job = job
        self.created_at = deadlines.now()
        self.waiting: list[items.Progress] = []
        self.running: dict[str, items.Progress] = {}
        self.uncommitted: list[records.Result] = []
        self.is_stopped = False

    @property
    def id(self) -> str:
        """The job's id."""
        return self.job.id

    def is_open(self) -> bool:
        """Return whether results are still to be committed."""
        return not self._head.is_closed

    def is_claimed(self) -> bool:
        """Return whether this process holds the claim, as far as it knows."""
        return bool(self._claim_revision)

    def is_loaded(self) -> bool:
        """Return whether the results and items have been read."""
        return self._is_loaded

    def is_synced(self) -> bool:
        """Return whether `committed` matches the store.

        A commit that is still pending may have been applied without its reply
        having arrived.
        """
        return self._is_loaded and self._pending is None

    async def wait_committed(self) -> None:
        """Wait until more results are committed."""
        await self._commit_event.wait()

    def has_uncommitted(self) -> bool:
        """Return whether results or a pending transaction await a commit."""
        return bool(self.uncommitted or self._pending)

    def measure_outputs(self) -> int:
        """Return the bytes of outputs that are not committed nor running."""
        return records.count_memory(self.uncommitted) + sum(
            progress.output_bytes for progress in self.waiting
        )

    def is_finished(self) -> bool:
        """Return whether every item has ended."""
        return not self.waiting and not self.running

    def replace_claim(self, revision: int) -> None:
        """Let the next claim replace a stale claim with this revision."""
        self._stale_claim_revision = revision

    async def claim(self, owner: str, incarnation: int, lease: int) -> bool:
        """Claim the job under a lease.

        Returns:
            False if another process holds the claim or has committed results
            since this one loaded the job, or if the job was closed or
            cancelled.

        Raises:
            StoreFailedError: The store call failed.
        """
        open_key = f"{records.OPEN_JOBS}{records.quote(self.id)}"
        key = f"{records.CLAIMS}{records.quote(self.id)}"
        value = f"{owner} {incarnation}".encode()
        replaced, self._stale_claim_revision = self._stale_claim_revision, 0
        preconditions = [
            base.Precondition(key, replaced),
            base.Precondition(open_key, self._open_revision),
        ]
        if self.is_synced():
            head_key = f"{records.HEADS}{records.quote(self.id)}"
            preconditions.append(
                base.Precondition(head_key, self._head_revision)
            )
        answer = await self._store.commit(
            base.Transaction(
                tuple(preconditions), (base.Write(key, value, lease),)
            )
        )
        if isinstance(answer, result.Failure):
            raise StoreFailedError(answer.failure().message)
        commit = answer.unwrap()
        if commit.is_done:
            self._claim_revision = commit.revision
            return True
        for record in commit.found:
            if record.value == value and record.lease == lease:
                # An earlier attempt was applied and its reply was lost.
                self._claim_revision = record.revision
                return True
        return False

    def build_release(self) -> base.Transaction:
        """Return the transaction that releases the claim."""
        key = f"{records.CLAIMS}{records.quote(self.id)}"
        return base.Transaction(
            (base.Precondition(key, self._claim_revision),), (base.Delete(key),)
        )

    def mark_claim_expired(self) -> None:
        """Record that the claim has expired with its lease."""
        self._claim_revision = 0

    async def load(self) -> None:
        """Read the committed results and the items that are left to run.

        Raises:
            StoreFailedError: A store call failed, or a value is missing or
                invalid.
        """
        try:
            await self._load()
        except msgspec.MsgspecError as error:
            raise StoreFailedError(f"invalid value: {error}") from error
        except job_memory.MemoryShortError as error:
            raise StoreFailedError(str(error)) from error
        finally:
            if not self._is_loaded:
                self._items_account.shrink(self._items_account.held_bytes)
                self.drop_committed()

    async def _load(self) -> None:
        await self._load_head()
        self.has_committed = True
        known: set[str] = set()
        for part in range(len(self._head.ends)):
            async with self._memory.read_values(self.job):
                value = await self._read(records.get_results_key(self.id, part))
                found = records.decode_results(value)
                known.update(one.id for one in found)
                self._keep_committed(found)
        waiting: list[items.Progress] = []
        part = 0
        while part < self.job.parts:
            async with self._memory.read_values(self.job):
                group, following = await stored_items.read_group(
                    self.job, part, self._read
                )
                left = [
                    items.Progress(item, part=part, place=place)
                    for place, item in enumerate(group)
                    if item.id not in known
                ]
                self._hold_items(part, left)
                waiting.extend(left)
            part = following
        # Items start as soon as they are waiting, and a load that fails is
        # repeated, so nothing may be visible before everything is read.
        self.waiting = waiting
        self._is_loaded = True

    def _hold_items(self, part: int, left: list[items.Progress]) -> None:
        """Charge items that were read, or keep them without their bodies."""
        for progress in left:
            progress.held_bytes = job_memory.measure_item(progress.item)
        size = sum(progress.held_bytes for progress in left)
        self._bytes_by_part[part] = size
        if self._items_account.try_keep(size):
            return
        for progress in left:
            _strip(progress)
        size = sum(progress.held_bytes for progress in left)
        if not self._items_account.try_grow(size):
            raise job_memory.MemoryShortError("memory is short")

    def find_unloaded_part(
        self, can_start: Callable[[items.Progress], bool]
    ) -> int | None:
        """Return the value to read for waiting items without their bodies."""
        for progress in self.waiting:
            if not progress.is_loaded and can_start(progress):
                return progress.part
        return None

    def try_hold_part(self, part: int) -> bool:
        """Charge the items of a value before `load_part`."""
        return self._items_account.try_keep(self._bytes_by_part[part])

    async def load_part(self, part: int) -> None:
        """Read the bodies of the waiting items of a value.

        `try_hold_part` has charged them.

        Raises:
            StoreFailedError: A store call failed, or a value is missing or
                invalid.
        """
        charged = self._bytes_by_part[part]
        try:
            async with self._memory.read_values(self.job):
                group, _ = await stored_items.read_group(
                    self.job, part, self._read
                )
                for progress in self.waiting:
                    if progress.part == part and not progress.is_loaded:
                        before = progress.held_bytes
                        progress.item = _select_item(group, progress)
                        progress.is_loaded = True
                        progress.held_bytes = job_memory.measure_item(
                            progress.item
                        )
                        charged -= progress.held_bytes - before
        except msgspec.MsgspecError as error:
            raise StoreFailedError(f"invalid value: {error}") from error
        except job_memory.MemoryShortError as error:
            raise StoreFailedError(str(error)) from error
        finally:
            self._items_account.shrink(max(0, charged))

    def unload_part(
        self, part: int, may_drop: Callable[[items.Progress], bool]
    ) -> None:
        """Drop bodies of waiting items of a value; they are read again later.

        Args:
            part: Number of the value.
            may_drop: Returns whether to drop the body of an item.
        """
        freed = 0
        for one in self.waiting:
            if one.is_loaded and one.part == part and may_drop(one):
                freed += one.held_bytes
                _strip(one)
                freed -= one.held_bytes
        self._items_account.shrink(freed)

    def release_memory(self) -> None:
        """Give back what is charged for the items and the results."""
        self._items_account.close()
        self._results_account.close()

    def _keep_committed(self, found: list[records.Result]) -> None:
        """Keep results for readers while there is memory for all of them."""
        if not self.has_committed:
            return
        if self._results_account.try_keep(records.count_memory(found)):
            self.committed.extend(found)
        else:
            self.drop_committed()

    def drop_committed(self) -> None:
        """Drop the results that are kept for readers."""
        self.committed = []
        self.has_committed = False
        self._results_account.shrink(self._results_account.held_bytes)

    async def _load_head(self) -> None:
        key = f"{records.HEADS}{records.quote(self.id)}"
        answer = await self._store.read(key)
        if isinstance(answer, result.Failure):
            raise StoreFailedError(answer.failure().message)
        record = answer.unwrap()
        self._head = records.Head()
        self._head_revision = 0
        if record is not None:
            self._head = records.decode_head(record.value)
            self._head_revision = record.revision

    async def _read(self, key: str) -> bytes:
        answer = await self._store.read(key)
        if isinstance(answer, result.Failure):
            raise StoreFailedError(answer.failure().message)
        record = answer.unwrap()
        if record is None:
            raise StoreFailedError(f"{key} is missing")
        return record.value

    def expire_items(self) -> None:
        """End waiting items as dead letters once retention has passed."""
        if time.time() < self.job.kept_until:
            return
        for progress in self.waiting:
            self.record_result(
                progress, records.DEAD_LETTER, "retention expired"
            )
        self.waiting = []

    def record_result(
        self, progress: items.Progress, state: str, reason: str
    ) -> None:
        """Record the result of an item, to be committed later."""
        text = ""
        if state == records.COMPLETED:
            text = "\n".join(progress.event_data)
        self.uncommitted.append(records.Result(progress.item.id, state, text))
        self._items_account.shrink(progress.held_bytes)
        progress.held_bytes = 0
        logs.log_message(
            "item ended",
            job=self.id,
            id=progress.item.id,
            state=state,
            reason=reason,
            failures=progress.failures,
        )

    async def commit(self) -> None:
        """Commit results that have been recorded, at most one part.

        Raises:
            StoreFailedError: The store call failed or the head of the results
                is invalid; call again.
            OwnershipLostError: Another process owns the job.
        """
        if self._pending is None:
            self._prepare_commit()
        assert self._pending is not None
        answer = await self._store.commit(self._pending)
        if isinstance(answer, result.Failure):
            error = answer.failure()
            if error.is_rejected:
                self._reduce_commit(error.message)
            raise StoreFailedError(error.message)
        commit = answer.unwrap()
        if commit.is_done:
            self._apply_commit(commit.revision)
            return
        try:
            await self._resolve_conflict(commit)
        except msgspec.MsgspecError as error:
            raise StoreFailedError(f"invalid head: {error}") from error

    def _prepare_commit(self) -> None:
        """Build the transaction that commits the next part of results."""
        taken = records.take_results(
            self.uncommitted[: self._max_commit_results],
            records.MAX_PART_BYTES,
        )
        left = self.job.total - self._head.count() - len(taken)
        self._pending_results = taken
        self._pending_head = records.Head(
            (*self._head.ends, self._head.count() + len(taken)),
            uuid.uuid4().hex,
            left == 0,
        )
        quoted = records.quote(self.id)
        head_key = f"{records.HEADS}{quoted}"
        part_key = records.get_results_key(self.id, len(self._head.ends))
        self._pending = base.Transaction(
            (
                base.Precondition(head_key, self._head_revision),
                base.Precondition(
                    f"{records.CLAIMS}{quoted}", self._claim_revision
                ),
            ),
            (
                base.Write(head_key, msgspec.json.encode(self._pending_head)),
                base.Write(part_key, msgspec.msgpack.encode(taken)),
                *(build_closing_changes(self.id) if left == 0 else ()),
            ),
        )

    def _reduce_commit(self, reason: str) -> None:
        """Drop a transaction that the store rejects; the next is smaller.

        A result that is rejected by itself becomes a dead letter, as it would
        hold up the results after it.
        """
        group = self._pending_results
        self._pending = None
        self._max_commit_results = max(1, len(group) // 2)
        logs.log_message(
            "commit rejected",
            job=self.id,
            results=len(group),
            bytes=sum(map(records.measure_result, group)),
            reason=reason,
        )
        if len(group) == 1:
            self.uncommitted[0] = records.Result(
                group[0].id, records.DEAD_LETTER
            )

    def _apply_commit(self, revision: int) -> None:
        self._head = self._pending_head
        self._head_revision = revision
        done = self._pending_results
        self._keep_committed(done)
        previous_event, self._commit_event = self._commit_event, anyio.Event()
        previous_event.set()
        self.uncommitted = self.uncommitted[len(done) :]
        self._pending = None
        self._max_commit_results = None
        logs.log_message(
            "results committed",
            job=self.id,
            listed=self._head.count(),
            total=self.job.total,
            revision=revision,
        )

    async def _resolve_conflict(self, commit: base.Commit) -> None:
        """Handle a commit whose preconditions failed."""
        quoted = records.quote(self.id)
        revision = 0
        head_revision = 0
        for record in commit.found:
            if record.key == f"{records.CLAIMS}{quoted}":
                revision = record.revision
            elif record.key == f"{records.HEADS}{quoted}":
                head_revision = record.revision
                head = records.decode_head(record.value)
                if head.commit == self._pending_head.commit:
                    # An earlier attempt was applied and its reply was lost.
                    self._apply_commit(record.revision)
                    return
        self._pending = None
        if head_revision != self._head_revision:
            raise OwnershipLostError("another process has committed results")
        if revision and revision != self._claim_revision:
            raise OwnershipLostError("another process holds the claim")
        # If the claim no longer exists, it is acquired again. If this process
        # still holds it, the transaction was built under an earlier claim of
        # this process and is built again.
        self._claim_revision = revision


def _select_item(
    group: list[calls.BatchItem], progress: items.Progress
) -> calls.BatchItem:
    """Return an item out of those that were read again.

    Raises:
        StoreFailedError: It is not there.
    """
    found = group[progress.place : progress.place + 1]
    if not found or found[0].id != progress.item.id:
        raise StoreFailedError(f"item {progress.item.id} is missing")
    return found[0]


def _strip(progress: items.Progress) -> None:
    progress.item = job_memory.strip_item(progress.item)
    progress.held_bytes = job_memory.measure_item(progress.item)
    progress.is_loaded = False


def build_closing_changes(job: str) -> tuple[base.Delete, ...]:
    """Return the changes that close a job, so that no process runs it."""
    quoted = records.quote(job)
    return (
        base.Delete(f"{records.OPEN_JOBS}{quoted}"),
        base.Delete(f"{records.CLAIMS}{quoted}"),
        base.Delete(f"{records.CANCELLATIONS}{quoted}"),
    )


def parse_claim(value: bytes) -> tuple[str, int] | None:
    """Return the instance name and the incarnation that a claim holds.

    Returns None if it holds none.
    """
    found = _CLAIM.fullmatch(value.decode("utf-8", "replace"))
    return None if found is None else (found[1], int(found[2]))


def create_owned_job(
    store: base.Store,
    job: records.Job,
    open_revision: int,
    memory: job_memory.JobMemory,
) -> OwnedJob:
    """Create an owned job that is not claimed yet.

    Args:
        store: The store.
        job: The job's record.
        open_revision: Revision of the job's record under
            `records.OPEN_JOBS`. A claim fails if that record has changed or
            is gone.
        memory: The memory of the process.
    """
    return OwnedJob(store, job, open_revision, memory)
