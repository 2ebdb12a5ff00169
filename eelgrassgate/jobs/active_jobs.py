"""An active job: its ledger and its uncommitted changes."""

from typing import Final

import anyio
import msgspec

from eelgrassgate import outcomes
from eelgrassgate.jobs import keys
from eelgrassgate.jobs import ledgers
from eelgrassgate.jobs import packing
from eelgrassgate.jobs import records
from eelgrassgate.jobs import slots
from eelgrassgate.store import base

MIN_CHUNK_BYTES: Final = 64_000
OUTCOME_OVERHEAD_BYTES: Final = 64


class Intent(msgspec.Struct, frozen=True):
    """Write-ahead record of items that run at most once and may start.

    Attributes:
        indexes: The items.
        committed: Set once the intent is committed and the items may start.
    """

    indexes: tuple[int, ...]
    committed: anyio.Event


class CommitPart(msgspec.Struct, frozen=True):
    """One job's part of a transaction.

    Attributes:
        active_job: The job.
        outcomes: The outcomes to commit.
        intents: The intents to commit.
        ledger_value: The encoded ledger.
        chunk: The write of the result chunk, if there are outcomes.
        is_end: Whether the transaction ends the job.
    """

    active_job: "ActiveJob"
    outcomes: tuple[records.Outcome, ...]
    intents: tuple[Intent, ...]
    ledger_value: bytes
    chunk: base.Write | None
    is_end: bool

    @property
    def size(self) -> int:
        """Number of bytes to write."""
        chunk = len(self.chunk.value) if self.chunk else 0
        return len(self.ledger_value) + chunk

    def get_preconditions(self) -> tuple[base.Precondition, ...]:
        """Return the preconditions, except that of the slot."""
        active_job = self.active_job
        ledger = base.Precondition(
            active_job.ledger_key, active_job.ledger_revision
        )
        if not self.is_end:
            return (ledger,)
        return (
            ledger,
            base.Precondition(active_job.job_key, active_job.job_revision),
        )

    def get_changes(
        self, ended: float, retention_s: float
    ) -> tuple[base.Write | base.Delete, ...]:
        """Return the changes, except the write of the chunk.

        Args:
            ended: Wall-clock time in seconds, recorded if this ends the job.
            retention_s: Seconds for which results are kept after the end.
        """
        active_job = self.active_job
        changes: list[base.Write | base.Delete] = []
        changes.append(base.Write(active_job.ledger_key, self.ledger_value))
        if self.is_end:
            job = active_job.build_ended_record(ended, retention_s)
            changes.append(base.Write(active_job.job_key, records.encode(job)))
            changes.append(base.Delete(keys.format_open(job.job)))
        return tuple(changes)


class ActiveJob:
    """A job that the owner of its slot is running.

    Attributes:
        slot: The slot.
        job: The job's record.
        job_key: Key of the job's record.
        job_revision: Revision of the job's record.
        ledger: The job's ledger.
        ledger_key: Key of the ledger.
        ledger_revision: Revision of the ledger.
        buffered_bytes: Upper bound of the size of uncommitted outcomes.
        commit_event: Set, and replaced, at each commit of a part.
    """

    def __init__(
        self,
        slot: slots.Slot,
        job: records.Job,
        job_revision: int,
        stored: records.LedgerRecord | None,
        ledger_revision: int,
    ) -> None:
        """Create an active job from its stored records."""
        self.slot = slot
        self.job = job
        self.job_key = keys.format_record(job.workspace, job.job)
        self.job_revision = job_revision
        self.ledger = ledgers.create_ledger(job.items, stored)
        self.ledger_key = keys.format_ledger(job.workspace, job.job)
        self.ledger_revision = ledger_revision
        self.buffered_bytes = 0
        self.commit_event = anyio.Event()
        self._pending: list[records.Outcome] = []
        self._has_ledger_change = False
        self._is_committing = False
        self._committing: tuple[records.Outcome, ...] = ()
        self._intents: list[Intent] = []
        self._end_state: records.State | None = None
        self._last_chunk: list[records.Outcome] = []
        self._last_chunk_bytes = 0

    @property
    def is_dirty(self) -> bool:
        """Whether there are changes to commit."""
        return bool(
            self._pending
            or self._intents
            or self._end_state
            or self._has_ledger_change
        )

    @property
    def is_flushed(self) -> bool:
        """Whether there are no changes and no commit is in progress."""
        return not self.is_dirty and not self._is_committing

    @property
    def is_urgent(self) -> bool:
        """Whether something is blocked on the next commit."""
        return bool(self._intents or self._end_state or self._has_ledger_change)

    def add_outcome(self, outcome: records.Outcome) -> None:
        """Add an outcome; later outcomes of the same item are dropped."""
        bounded = replace_oversized(outcome)
        self._pending.append(bounded)
        self.buffered_bytes += compute_max_bytes(bounded)

    def request_start(self, indexes: tuple[int, ...]) -> Intent:
        """Add an intent to start items that run at most once."""
        intent = Intent(indexes, anyio.Event())
        self._intents.append(intent)
        return intent

    def withdraw_starts(self, indexes: tuple[int, ...]) -> None:
        """Record that items of committed intents have not started."""
        self.ledger.clear_started(indexes)
        self._has_ledger_change = True

    def request_end(self, state: records.State) -> None:
        """End the job once all its outcomes are committed."""
        self._end_state = state

    def build_ended_record(
        self, ended: float, retention_s: float
    ) -> records.Job:
        """Return the job's record for its end."""
        state = self._end_state or records.State.COMPLETED
        if self.job.state is records.State.CANCELLING:
            state = records.State.CANCELLED
        return msgspec.structs.replace(
            self.job,
            state=state,
            ended=ended,
            kept_until=max(self.job.kept_until, ended + retention_s),
        )

    def take_part(self, commit: str) -> CommitPart:
        """Take the next part to commit; a retry commits the same part."""
        self._is_committing = True
        self._has_ledger_change = False
        taken: list[records.Outcome] = []
        free_bytes = packing.MAX_CHUNK_BYTES - self._last_chunk_bytes
        count = 0
        for outcome in self._pending:
            free_bytes -= compute_max_bytes(outcome)
            if free_bytes < 0 and taken:
                break
            count += 1
            if self.ledger.mark_done(outcome):
                taken.append(outcome)
            else:
                free_bytes += compute_max_bytes(outcome)
                self.buffered_bytes -= compute_max_bytes(outcome)
        del self._pending[:count]
        self._committing = tuple(taken)
        intents = tuple(self._intents)
        self._intents.clear()
        for intent in intents:
            self.ledger.mark_started(intent.indexes)
        chunk = self._make_chunk(taken) if taken else None
        ledger_value = records.encode(self.ledger.encode(commit))
        is_end = self._end_state is not None and not self._pending
        return CommitPart(
            self, self._committing, intents, ledger_value, chunk, is_end
        )

    def _make_chunk(self, taken: list[records.Outcome]) -> base.Write:
        """Append outcomes to the last chunk while it is small."""
        if not self._last_chunk:
            self.ledger.chunks += 1
        self._last_chunk.extend(taken)
        self._last_chunk_bytes += sum(map(compute_max_bytes, taken))
        key = keys.format_result(
            self.job.workspace, self.job.job, self.ledger.chunks - 1
        )
        write = base.Write(key, packing.pack(self._last_chunk))
        if self._last_chunk_bytes >= MIN_CHUNK_BYTES:
            self._last_chunk.clear()
            self._last_chunk_bytes = 0
        return write

    def mark_committed(self, part: CommitPart, revision: int) -> None:
        """Record that a part was committed at a revision."""
        self.ledger_revision = revision
        self.buffered_bytes -= sum(map(compute_max_bytes, part.outcomes))
        self._committing = ()
        for intent in part.intents:
            intent.committed.set()
        if part.is_end:
            self._end_state = None
        self._is_committing = False
        self.commit_event.set()
        self.commit_event = anyio.Event()

    def update_record(self, job: records.Job, revision: int) -> None:
        """Replace the job's record after a change by another process."""
        self.job = job
        self.job_revision = revision

    def get_uncommitted(self) -> tuple[records.Outcome, ...]:
        """Return the outcomes that are not known to be committed yet."""
        return self._committing + tuple(self._pending)


def compute_max_bytes(outcome: records.Outcome) -> int:
    """Return an upper bound of the bytes of a packed outcome."""
    strings = len(outcome.custom_id) + len(outcome.message)
    strings += len(outcome.code) + len(outcome.endpoint)
    return len(outcome.body) + 4 * strings + OUTCOME_OVERHEAD_BYTES


def replace_oversized(outcome: records.Outcome) -> records.Outcome:
    """Replace a response too large for a chunk by an error."""
    if len(outcome.body) <= packing.MAX_LINE_BYTES:
        return outcome
    return msgspec.structs.replace(
        outcome,
        status=0,
        body=b"",
        code=outcomes.Code.BODY_TOO_LARGE.value,
        message=f"the response is larger than {packing.MAX_LINE_BYTES} bytes",
        ran=outcomes.RunStatus.UNKNOWN,
    )
