"""A job in hand: its ledger, and what waits to be committed."""

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

TAIL_BYTES: Final = 64_000
OUTCOME_BYTES: Final = 64


class Intent(msgspec.Struct, frozen=True):
    """Items that run at most once and wait for leave to start."""

    indexes: tuple[int, ...]
    committed: anyio.Event


class Part(msgspec.Struct, frozen=True):
    """One job's part of a transaction.

    Attributes:
        book: The job.
        outcomes: The outcomes that it commits.
        intents: The intents that it commits.
        value: The ledger's record.
        chunk: The result chunk to be written, if there are outcomes.
        is_end: Whether it ends the job.
    """

    book: "Book"
    outcomes: tuple[records.Outcome, ...]
    intents: tuple[Intent, ...]
    value: bytes
    chunk: base.Write | None
    is_end: bool

    @property
    def size(self) -> int:
        """The bytes that it writes."""
        chunk = len(self.chunk.value) if self.chunk else 0
        return len(self.value) + chunk

    def iterate_expects(self) -> tuple[base.Expect, ...]:
        """Return the conditions, the slot's not among them."""
        book = self.book
        ledger = base.Expect(book.ledger_key, book.ledger_revision)
        if not self.is_end:
            return (ledger,)
        return (ledger, base.Expect(book.job_key, book.job_revision))

    def iterate_changes(
        self, ended: float, retention_s: float
    ) -> tuple[base.Write | base.Delete, ...]:
        """Return the changes besides the chunk; `ended` is a wall clock's."""
        book = self.book
        changes: list[base.Write | base.Delete] = []
        changes.append(base.Write(book.ledger_key, self.value))
        if self.is_end:
            job = book.make_ended(ended, retention_s)
            changes.append(base.Write(book.job_key, records.encode(job)))
            changes.append(base.Delete(keys.format_open(job.job)))
        return tuple(changes)


class Book:
    """A job in hand of a slot's owner."""

    def __init__(
        self,
        slot: slots.Slot,
        job: records.Job,
        job_revision: int,
        kept: records.LedgerRecord | None,
        ledger_revision: int,
    ) -> None:
        """Open the book of a job from what the store keeps."""
        self.slot = slot
        self.job = job
        self.job_key = keys.format_record(job.workspace, job.job)
        self.job_revision = job_revision
        self.ledger = ledgers.create_ledger(job.items, kept)
        self.ledger_key = keys.format_ledger(job.workspace, job.job)
        self.ledger_revision = ledger_revision
        self.held_bytes = 0
        self.settled = anyio.Event()
        self._pending: list[records.Outcome] = []
        self._is_changed = False
        self._is_taken = False
        self._frozen: tuple[records.Outcome, ...] = ()
        self._intents: list[Intent] = []
        self._end: records.State | None = None
        self._tail: list[records.Outcome] = []
        self._tail_bytes = 0

    @property
    def is_dirty(self) -> bool:
        """Whether anything waits to be committed."""
        return bool(
            self._pending or self._intents or self._end or self._is_changed
        )

    @property
    def is_settled(self) -> bool:
        """Whether nothing waits and no commit is under way."""
        return not self.is_dirty and not self._is_taken

    @property
    def is_urgent(self) -> bool:
        """Whether somebody waits for the next commit."""
        return bool(self._intents or self._end or self._is_changed)

    def add(self, outcome: records.Outcome) -> None:
        """Take an item's outcome; the first one counts."""
        bounded = bound(outcome)
        self._pending.append(bounded)
        self.held_bytes += measure(bounded)

    def intend(self, indexes: tuple[int, ...]) -> Intent:
        """Ask for leave to start items that run at most once."""
        intent = Intent(indexes, anyio.Event())
        self._intents.append(intent)
        return intent

    def withdraw(self, indexes: tuple[int, ...]) -> None:
        """Note that items have not started after all."""
        self.ledger.withdraw(indexes)
        self._is_changed = True

    def end(self, state: records.State) -> None:
        """Ask that the job be ended once all outcomes are committed."""
        self._end = state

    def make_ended(self, ended: float, retention_s: float) -> records.Job:
        """Return the job's record as it is once ended."""
        state = self._end or records.State.COMPLETED
        if self.job.state is records.State.CANCELLING:
            state = records.State.CANCELLED
        return msgspec.structs.replace(
            self.job,
            state=state,
            ended=ended,
            kept_until=max(self.job.kept_until, ended + retention_s),
        )

    def take(self, commit: str) -> Part:
        """Take what is to be committed next; it stays the same until then."""
        self._is_taken = True
        self._is_changed = False
        taken: list[records.Outcome] = []
        room = packing.CHUNK_BYTES - self._tail_bytes
        count = 0
        for outcome in self._pending:
            room -= measure(outcome)
            if room < 0 and taken:
                break
            count += 1
            if self.ledger.finish(outcome):
                taken.append(outcome)
            else:
                room += measure(outcome)
                self.held_bytes -= measure(outcome)
        del self._pending[:count]
        self._frozen = tuple(taken)
        intents = tuple(self._intents)
        self._intents.clear()
        for intent in intents:
            self.ledger.start(intent.indexes)
        chunk = self._make_chunk(taken) if taken else None
        value = records.encode(self.ledger.encode(commit))
        is_end = self._end is not None and not self._pending
        return Part(self, self._frozen, intents, value, chunk, is_end)

    def _make_chunk(self, taken: list[records.Outcome]) -> base.Write:
        """Add outcomes to the last chunk while that is small."""
        if not self._tail:
            self.ledger.chunks += 1
        self._tail.extend(taken)
        self._tail_bytes += sum(map(measure, taken))
        key = keys.format_result(
            self.job.workspace, self.job.job, self.ledger.chunks - 1
        )
        write = base.Write(key, packing.pack(self._tail))
        if self._tail_bytes >= TAIL_BYTES:
            self._tail.clear()
            self._tail_bytes = 0
        return write

    def settle(self, part: Part, revision: int) -> None:
        """Note that a part was committed."""
        self.ledger_revision = revision
        self.held_bytes -= sum(map(measure, part.outcomes))
        self._frozen = ()
        for intent in part.intents:
            intent.committed.set()
        if part.is_end:
            self._end = None
        self._is_taken = False
        self.settled.set()
        self.settled = anyio.Event()

    def renew(self, job: records.Job, revision: int) -> None:
        """Take a change of the job's record made by somebody else."""
        self.job = job
        self.job_revision = revision

    def iterate_unsettled(self) -> tuple[records.Outcome, ...]:
        """Return the outcomes that are not known to be committed."""
        return self._frozen + tuple(self._pending)


def measure(outcome: records.Outcome) -> int:
    """Return an upper bound of an outcome's packed bytes."""
    strings = len(outcome.custom_id) + len(outcome.message)
    strings += len(outcome.code) + len(outcome.endpoint)
    return len(outcome.body) + 4 * strings + OUTCOME_BYTES


def bound(outcome: records.Outcome) -> records.Outcome:
    """Turn an answer that fits no chunk into an error of its own."""
    if len(outcome.body) <= packing.LINE_BYTES:
        return outcome
    return msgspec.structs.replace(
        outcome,
        status=0,
        body=b"",
        code=outcomes.Code.BODY_TOO_LARGE.value,
        message=f"the answer is larger than {packing.LINE_BYTES} bytes",
        ran=outcomes.RunStatus.UNKNOWN,
    )
