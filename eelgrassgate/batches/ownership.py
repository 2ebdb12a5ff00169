"""One job in the hands of this process: its claim, its items, its commits."""

import time
import uuid

import anyio
import msgspec
from returns import result

from eelgrassgate import deadlines
from eelgrassgate import logs
from eelgrassgate.batches import items
from eelgrassgate.batches import records
from eelgrassgate.store import base


class StoreFailedError(Exception):
    """The store gave no answer; the step is tried again later."""


class LostError(Exception):
    """Another process owns the job, or it is closed."""


class OwnedJob:
    """A claimed job.

    Attributes:
        job: The job.
        claimed: Instant of the claim.
        waiting: Items that may run now.
        running: Items that run, by id.
        ended: Results that are not committed yet.
        listed: Results that are committed, in order.
        is_ended: Whether the caller has ended the job.
    """

    def __init__(
        self, store: base.Store, job: records.Job, open_revision: int
    ) -> None:
        """Create for a job that is not claimed yet; see `create_owned_job`."""
        self._store = store
        self._open_revision = open_revision
        self._claim_revision = 0
        self._replaced_revision = 0
        self._head = records.Head()
        self._head_revision = 0
        self._pending: base.Transaction | None = None
        self._pending_head = records.Head()
        self._pending_results: list[records.Result] = []
        self._changed = anyio.Event()
        self.listed: list[records.Result] = []
        self.job = job
        self.claimed = deadlines.now()
        self.waiting: list[items.Progress] = []
        self.running: dict[str, items.Progress] = {}
        self.ended: list[records.Result] = []
        self.is_ended = False

    @property
    def id(self) -> str:
        """The job's id."""
        return self.job.id

    def has_work_left(self) -> bool:
        """Tell whether results are still to be listed."""
        return not self._head.is_closed

    def is_claimed(self) -> bool:
        """Tell whether this process holds the claim, as far as it knows."""
        return bool(self._claim_revision)

    def is_certain(self) -> bool:
        """Tell whether `listed` is all that the store lists.

        A commit without an answer may have taken effect.
        """
        return self._pending is None

    async def wait_listed(self) -> None:
        """Wait until more results are listed."""
        await self._changed.wait()

    def has_news(self) -> bool:
        """Tell whether there is something to commit."""
        return bool(self.ended or self._pending)

    def is_whole(self) -> bool:
        """Tell whether every item has ended."""
        return not self.waiting and not self.running

    def replace_claim(self, revision: int) -> None:
        """Let the next claim replace one that is known to be left over."""
        self._replaced_revision = revision

    async def claim(self, owner: str, incarnation: int, lease: int) -> bool:
        """Claim the job under a lease.

        Returns:
            False if another process has it, or if it is not open any more:
            closed, or ended by its caller.

        Raises:
            StoreFailedError: The store gave no answer.
        """
        open_key = f"{records.OPEN_JOBS}{records.quote(self.id)}"
        key = f"{records.CLAIMS}{records.quote(self.id)}"
        value = f"{owner} {incarnation}".encode()
        replaced, self._replaced_revision = self._replaced_revision, 0
        answer = await self._store.commit(
            base.Transaction(
                (
                    base.Expect(key, replaced),
                    base.Expect(open_key, self._open_revision),
                ),
                (base.Write(key, value, lease),),
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
                # An earlier try took effect though its answer was lost.
                self._claim_revision = record.revision
                return True
        return False

    def make_release(self) -> base.Transaction:
        """Return the transaction that gives the claim back."""
        key = f"{records.CLAIMS}{records.quote(self.id)}"
        return base.Transaction(
            (base.Expect(key, self._claim_revision),), (base.Delete(key),)
        )

    def forget_claim(self) -> None:
        """Note that the claim has lapsed with its lease."""
        self._claim_revision = 0

    async def load(self) -> None:
        """Read the items that are left to run.

        Raises:
            StoreFailedError: The store gave no answer.
        """
        await self._load_head()
        listed: list[records.Result] = []
        for part in range(len(self._head.ends)):
            value = await self._read(records.get_results_key(self.id, part))
            listed.extend(records.decode_results(value))
        self.listed = listed
        known = {one.id for one in listed}
        self.waiting = []
        for part in range(self.job.parts):
            value = await self._read(records.get_items_key(self.id, part))
            self.waiting.extend(
                items.Progress(item)
                for item in records.decode_items(value)
                if item.id not in known
            )

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

    def give_up_late(self) -> None:
        """End items that may be given up by now."""
        if time.time() < self.job.kept_until:
            return
        for progress in self.waiting:
            self.end(progress, records.DEAD_LETTER, "kept long enough")
        self.waiting = []

    def end(self, progress: items.Progress, state: str, reason: str) -> None:
        """Note how an item ended."""
        text = ""
        if state == records.COMPLETED:
            text = "\n".join(progress.texts)
        self.ended.append(records.Result(progress.item.id, state, text))
        logs.log_message(
            "item ended",
            job=self.id,
            id=progress.item.id,
            state=state,
            reason=reason,
            failures=progress.failures,
        )

    async def commit(self) -> None:
        """List the results that have ended.

        Raises:
            StoreFailedError: The store gave no answer; call again.
            LostError: Another process lists this job's results now.
        """
        if self._pending is None:
            self._prepare()
        assert self._pending is not None
        answer = await self._store.commit(self._pending)
        if isinstance(answer, result.Failure):
            raise StoreFailedError(answer.failure().message)
        commit = answer.unwrap()
        if commit.is_done:
            self._accept(commit.revision)
            return
        await self._resolve(commit)

    def _prepare(self) -> None:
        """Make the transaction that lists what has ended so far."""
        taken: list[records.Result] = []
        size = 0
        for one in self.ended:
            size += len(one.text)
            if taken and size > records.PART_BYTES:
                break
            taken.append(one)
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
                base.Expect(head_key, self._head_revision),
                base.Expect(f"{records.CLAIMS}{quoted}", self._claim_revision),
            ),
            (
                base.Write(head_key, msgspec.json.encode(self._pending_head)),
                base.Write(part_key, msgspec.msgpack.encode(taken)),
                *(make_closing(self.id) if left == 0 else ()),
            ),
        )

    def _accept(self, revision: int) -> None:
        self._head = self._pending_head
        self._head_revision = revision
        done = self._pending_results
        self.listed.extend(done)
        changed, self._changed = self._changed, anyio.Event()
        changed.set()
        self.ended = self.ended[len(done) :]
        self._pending = None
        logs.log_message(
            "results listed",
            job=self.id,
            listed=self._head.count(),
            total=self.job.total,
            revision=revision,
        )

    async def _resolve(self, commit: base.Commit) -> None:
        """Find out why a commit's conditions did not hold."""
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
                    # An earlier try took effect though its answer was lost.
                    self._accept(record.revision)
                    return
        self._pending = None
        if head_revision != self._head_revision:
            raise LostError("another process has listed results")
        if revision and revision != self._claim_revision:
            raise LostError("another process holds the claim")
        # Without a claim it is made anew; with one, the commit was made under
        # an earlier claim of this process and is made anew.
        self._claim_revision = revision


def make_closing(job: str) -> tuple[base.Delete, ...]:
    """Return the changes after which no process runs a job any more."""
    quoted = records.quote(job)
    return (
        base.Delete(f"{records.OPEN_JOBS}{quoted}"),
        base.Delete(f"{records.CLAIMS}{quoted}"),
        base.Delete(f"{records.ENDS}{quoted}"),
    )


def read_claim(value: bytes) -> tuple[str, int]:
    """Return the owner that a claim names and the owner's incarnation."""
    owner, _, incarnation = value.decode().rpartition(" ")
    return owner, int(incarnation)


def create_owned_job(
    store: base.Store, job: records.Job, open_revision: int
) -> OwnedJob:
    """Create a job that this process is about to claim.

    Args:
        store: The store.
        job: The job.
        open_revision: The revision at which it was opened; once its record
            there is gone, nobody may run it.
    """
    return OwnedJob(store, job, open_revision)
