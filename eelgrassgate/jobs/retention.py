"""Removes files and jobs whose retention has ended, a few at a time."""

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

SLOT: Final = 0
SWEEP_S: Final = 60.0
SWEEP_ENTRIES: Final = 50
DELETES: Final = 50
PAGE_CHUNKS: Final = 4
LONGER_S: Final = 86_400.0


class _Entry(msgspec.Struct, frozen=True):
    """An entry of the list of what expires."""

    key: str
    revision: int
    instant: float
    kind: str
    workspace: str
    id_: str


def _parse(record: base.Record) -> _Entry:
    rest, _, id_ = record.key.removeprefix(keys.EXPIRIES).rpartition("/")
    instant, kind, workspace = rest.split("/", 2)
    return _Entry(
        record.key, record.revision, float(instant), kind, workspace, id_
    )


class Sweeper:
    """Sweeps while this instance owns `SLOT`."""

    def __init__(
        self,
        store: base.Store,
        runtime: runtimes.Runtime,
        is_responsible: Callable[[], bool],
    ) -> None:
        """Create a sweeper; see `create_sweeper`."""
        self._store = store
        self._runtime = runtime
        self._is_responsible = is_responsible

    async def run(self) -> None:
        """Sweep until cancelled."""
        while True:
            await self._runtime.sleep(self._runtime.spread(SWEEP_S))
            if self._is_responsible():
                await self.sweep()

    async def sweep(self) -> int:
        """Remove some of what has expired; return how many entries it did.

        Whatever fails is found again by the next sweep, since an entry goes
        last.
        """
        answer = await self._store.read_range(
            keys.EXPIRIES, limit=SWEEP_ENTRIES
        )
        page = answer.value_or(None)
        count = 0
        for record in page.records if page else ():
            entry = _parse(record)
            if entry.instant > self._runtime.wall():
                break
            if not await self._treat(entry):
                break
            count += 1
        return count

    async def _treat(self, entry: _Entry) -> bool:
        """Remove or postpone one entry; False if the store failed."""
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
            until = self._find_end(found, is_file)
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

    def _find_end(self, found: base.Record, is_file: bool) -> float:
        if is_file:
            return records.decode(found.value, records.FileRecord).kept_until
        job = records.decode(found.value, records.Job)
        if job.state not in records.ENDED:
            return self._runtime.wall() + LONGER_S
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
        """Remove the record, and with a job's what leads to it."""
        changes = [base.Delete(found.key)]
        if not is_file:
            job = records.decode(found.value, records.Job)
            ledger = keys.format_ledger(job.workspace, job.job)
            changes.append(base.Delete(ledger))
            same = keys.format_same(job.workspace, job.same)
            answer = await self._store.read(same)
            if not isinstance(answer, result.Success):
                return False
            known = answer.unwrap()
            if known and _leads_to(known, job.job):
                changes.append(base.Delete(same))
        # A job that was made with the file meanwhile has changed its record.
        expect = base.Precondition(found.key, found.revision)
        return await self._commit((expect,), tuple(changes))

    async def _remove_chunks(self, prefix: str) -> bool:
        while True:
            answer = await self._store.read_range(prefix, limit=PAGE_CHUNKS)
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
        expects: tuple[base.Precondition, ...],
        changes: tuple[base.Write | base.Delete, ...],
    ) -> bool:
        answer = await self._store.commit(base.Transaction(expects, changes))
        commit = answer.value_or(None)
        return commit is not None and commit.is_done


def _leads_to(known: base.Record, job: str) -> bool:
    return records.decode(known.value, records.Same).job == job


def _group(deletes: Iterator[base.Delete]) -> Iterator[tuple[base.Delete, ...]]:
    while group := tuple(itertools.islice(deletes, DELETES)):
        yield group


def create_sweeper(
    store: base.Store,
    runtime: runtimes.Runtime,
    is_responsible: Callable[[], bool],
) -> Sweeper:
    """Create a sweeper.

    Args:
        store: The store.
        runtime: Clock, sleep and randomness.
        is_responsible: Tells whether this instance owns `SLOT` now.
    """
    return Sweeper(store, runtime, is_responsible)
