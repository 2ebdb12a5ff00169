"""A job that this process runs: its claim, items and result commits."""

import re
import time
from typing import Final
import uuid

import anyio
import msgspec
from returns import result

from eelgrassgate import deadlines
from eelgrassgate import logs
from eelgrassgate.batches import items
from eelgrassgate.batches import records
from eelgrassgate.batches import stored_items
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
        uncommitted: Results that are not committed yet.
        committed: Results that are committed, in order.
        is_stopped: Whether this process has stopped working on the job,
            because the caller cancelled it or its claim is being released.
    """

    def __init__(
        self, store: base.Store, job: records.Job, open_revision: int
    ) -> None:
        """Create an unclaimed job; see `create_owned_job`."""
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

    async def _load(self) -> None:
        await self._load_head()
        committed: list[records.Result] = []
        for part in range(len(self._head.ends)):
            value = await self._read(records.get_results_key(self.id, part))
            committed.extend(records.decode_results(value))
        known = {one.id for one in committed}
        waiting = [
            items.Progress(item)
            async for item in stored_items.iterate_items(self.job, self._read)
            if item.id not in known
        ]
        # Items start as soon as they are waiting, and a load that fails is
        # repeated, so nothing may be visible before everything is read.
        self.committed = committed
        self.waiting = waiting
        self._is_loaded = True

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
        self.committed.extend(done)
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
    store: base.Store, job: records.Job, open_revision: int
) -> OwnedJob:
    """Create an owned job that is not claimed yet.

    Args:
        store: The store.
        job: The job's record.
        open_revision: Revision of the job's record under
            `records.OPEN_JOBS`. A claim fails if that record has changed or
            is gone.
    """
    return OwnedJob(store, job, open_revision)
