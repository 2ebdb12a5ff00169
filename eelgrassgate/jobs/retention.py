"""Deletes expired files and jobs, a few per sweep."""

from collections.abc import Callable
from collections.abc import Iterator
import itertools
from typing import Final

import msgspec
from returns import result

from eelgrassgate.jobs import files
from eelgrassgate.jobs import keys
from eelgrassgate.jobs import records
from eelgrassgate.jobs import runtimes
from eelgrassgate.store import base

SWEEP_SLOT: Final = 0
SWEEP_INTERVAL_S: Final = 60.0
MAX_SWEEP_ENTRIES: Final = 50
MAX_TRANSACTION_DELETES: Final = 50
CHUNKS_PER_PAGE: Final = 4
POSTPONE_S: Final = 86_400.0


class _Entry(msgspec.Struct, frozen=True):
    """An expiry entry of a file or a job."""

    key: str
    revision: int
    expires_at: float
    kind: str
    workspace: str
    id_: str


def _parse(record: base.Record) -> _Entry:
    remainder, _, id_ = record.key.removeprefix(
        keys.EXPIRIES_PREFIX
    ).rpartition("/")
    expires_at, kind, workspace = remainder.split("/", 2)
    return _Entry(
        record.key, record.revision, float(expires_at), kind, workspace, id_
    )


class Sweeper:
    """Deletes expired files and jobs while this instance owns `SWEEP_SLOT`."""

    def __init__(
        self,
        store: base.Store,
        runtime: runtimes.Runtime,
        is_slot_owner: Callable[[], bool],
    ) -> None:
        """Create a sweeper; see `create_sweeper`."""
        self._store = store
        self._runtime = runtime
        self._is_slot_owner = is_slot_owner

    async def run(self) -> None:
        """Sweep until cancelled."""
        while True:
            await self._runtime.sleep(
                self._runtime.add_jitter(SWEEP_INTERVAL_S)
            )
            if self._is_slot_owner():
                await self.sweep()

    async def sweep(self) -> int:
        """Process expired entries up to a limit; return their number.

        An expiry entry is deleted last, so the next sweep retries whatever
        failed.
        """
        answer = await self._store.read_range(
            keys.EXPIRIES_PREFIX, limit=MAX_SWEEP_ENTRIES
        )
        page = answer.value_or(None)
        count = 0
        for record in page.records if page else ():
            entry = _parse(record)
            if entry.expires_at > self._runtime.wall():
                break
            if not await self._process(entry):
                break
            count += 1
        return count

    async def _process(self, entry: _Entry) -> bool:
        """Delete or postpone one entry; False if the store failed."""
        is_file = entry.kind == files.EXPIRY_KIND
        key = (
            keys.format_file(entry.workspace, entry.id_)
            if is_file
            else keys.format_record(entry.workspace, entry.id_)
        )
        answer = await self._store.read(key)
        if not isinstance(answer, result.Success):
            return False
        found = answer.unwrap()
        if found is not None:
            until = self._get_expiry(found, is_file)
            if until > self._runtime.wall():
                return await self._postpone(entry, until)
            if not await self._remove_record(entry, found, is_file):
                return False
        prefix = (
            keys.format_inputs(entry.workspace, entry.id_)
            if is_file
            else keys.format_results(entry.workspace, entry.id_)
        )
        return await self._remove_chunks(prefix) and await self._commit(
            (), (base.Delete(entry.key),)
        )

    def _get_expiry(self, found: base.Record, is_file: bool) -> float:
        if is_file:
            return records.decode(found.value, records.FileRecord).kept_until
        job = records.decode(found.value, records.Job)
        if job.state not in records.ENDED:
            return self._runtime.wall() + POSTPONE_S
        return job.kept_until

    async def _postpone(self, entry: _Entry, until: float) -> bool:
        later = keys.format_expiry(
            until + 1.0, entry.kind, entry.workspace, entry.id_
        )
        return await self._commit(
            (base.Precondition(entry.key, entry.revision),),
            (base.Delete(entry.key), base.Write(later, b"")),
        )

    async def _remove_record(
        self, entry: _Entry, found: base.Record, is_file: bool
    ) -> bool:
        """Delete a record, and a job's ledger and deduplication record."""
        changes = [base.Delete(found.key)]
        if not is_file:
            job = records.decode(found.value, records.Job)
            ledger = keys.format_ledger(job.workspace, job.job)
            changes.append(base.Delete(ledger))
            deduplication_key = keys.format_deduplication(
                job.workspace, job.same
            )
            answer = await self._store.read(deduplication_key)
            if not isinstance(answer, result.Success):
                return False
            known = answer.unwrap()
            if known and _refers_to(known, job.job):
                changes.append(base.Delete(deduplication_key))
        # Creating a job updates its file's record, so the precondition fails
        # if the file was used in the meantime.
        precondition = base.Precondition(found.key, found.revision)
        return await self._commit((precondition,), tuple(changes))

    async def _remove_chunks(self, prefix: str) -> bool:
        while True:
            answer = await self._store.read_range(prefix, limit=CHUNKS_PER_PAGE)
            page = answer.value_or(None)
            if page is None:
                return False
            deletes = (base.Delete(chunk.key) for chunk in page.records)
            for group in _group(deletes):
                if not await self._commit((), group):
                    return False
            if not page.has_more:
                return True

    async def _commit(
        self,
        preconditions: tuple[base.Precondition, ...],
        changes: tuple[base.Write | base.Delete, ...],
    ) -> bool:
        answer = await self._store.commit(
            base.Transaction(preconditions, changes)
        )
        commit = answer.value_or(None)
        return commit is not None and commit.is_done


def _refers_to(known: base.Record, job: str) -> bool:
    return records.decode(known.value, records.DeduplicationRecord).job == job


def _group(deletes: Iterator[base.Delete]) -> Iterator[tuple[base.Delete, ...]]:
    while group := tuple(itertools.islice(deletes, MAX_TRANSACTION_DELETES)):
        yield group


def create_sweeper(
    store: base.Store,
    runtime: runtimes.Runtime,
    is_slot_owner: Callable[[], bool],
) -> Sweeper:
    """Create a sweeper.

    Args:
        store: The store.
        runtime: Clock, sleep and randomness.
        is_slot_owner: Returns whether this instance owns `SWEEP_SLOT` now.
    """
    return Sweeper(store, runtime, is_slot_owner)
