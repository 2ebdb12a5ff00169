"""Reads jobs, their results and their items for callers."""

from collections import OrderedDict
from typing import Final

import anyio
import msgspec
from returns import result

from eelgrassgate import deadlines
from eelgrassgate import logs
from eelgrassgate.batches import records
from eelgrassgate.gateway import calls
from eelgrassgate.store import base
from eelgrassgate.store import mirror

# Values never change, so they are kept; a tenth of a small instance's memory.
CACHE_BYTES: Final = 24_000_000
# Most bytes of text in one answer.
ANSWER_BYTES: Final = 900_000
# A store that does not answer is asked again while the caller waits.
RETRY_S: Final = 0.15


class UnavailableError(Exception):
    """The store can't say."""


class Listing(msgspec.Struct, frozen=True):
    """Results of a job from a position on."""

    total: int
    following: int
    results: tuple[records.Result, ...]


class _StaleReader:
    """Reads values that never change, at the price of a stale read."""

    def __init__(self, store: base.Store) -> None:
        self._store = store

    async def read(self, key: str) -> base.Record | None:
        read_stale = getattr(self._store, "read_stale", None)
        if read_stale is not None:
            answer = await read_stale(key)
            if isinstance(answer, result.Success) and answer.unwrap():
                record: base.Record | None = answer.unwrap()
                return record
        return await _read(self._store, key)


async def _read(store: base.Store, key: str) -> base.Record | None:
    answer = await store.read(key)
    if isinstance(answer, result.Failure):
        raise UnavailableError(answer.failure().message)
    return answer.unwrap()


class Reader:
    """Reads jobs from the mirror, and from the store what is not there."""

    def __init__(self, store: base.Store, watched: mirror.Mirror) -> None:
        """Create a reader; see `create_reader`."""
        self._store = store
        self._watched = watched
        self._stale = _StaleReader(store)
        self._values_by_key: OrderedDict[str, bytes] = OrderedDict()
        self._cached_bytes = 0

    async def find(self, job: str, workspace: str) -> records.Job | None:
        """Return a workspace's job; None only if there certainly is none.

        Raises:
            UnavailableError: The store can't say.
        """
        key = f"{records.JOBS}{records.quote(job)}"
        record = self._watched.records_by_key.get(key)
        if record is None:
            record = await _read(self._store, key)
        if record is None:
            return None
        found = records.decode_job(record.value)
        return found if found.workspace == workspace else None

    async def read_results(
        self, job: records.Job, after: int, wait_until: float
    ) -> Listing:
        """Return results from position `after` on, once there are any.

        Raises:
            UnavailableError: The store can't say.
        """
        while True:
            head = await self._get_head(job.id)
            is_last = head.is_closed or deadlines.is_past(wait_until)
            if head.count() > after or is_last:
                break
            with anyio.move_on_after(deadlines.compute_remaining(wait_until)):
                await self._watched.wait()
        found = await self._read_parts(job, head, after)
        return Listing(job.total, after + len(found), tuple(found))

    async def _get_head(self, job: str) -> records.Head:
        key = f"{records.HEADS}{records.quote(job)}"
        if self._watched.is_connected:
            record = self._watched.records_by_key.get(key)
        else:
            record = await _read(self._store, key)
        return records.decode_head(record.value) if record else records.Head()

    async def _read_parts(
        self, job: records.Job, head: records.Head, after: int
    ) -> list[records.Result]:
        found: list[records.Result] = []
        size = 0
        start = 0
        for part, end in enumerate(head.ends):
            if end > after:
                key = records.get_results_key(job.id, part)
                value = await self._read_value(key)
                listed = records.decode_results(value)
                for one in listed[max(0, after - start) :]:
                    size += len(one.text)
                    if found and size > ANSWER_BYTES:
                        return found
                    found.append(one)
            start = end
        return found

    async def find_item(
        self, job: records.Job, item: str
    ) -> calls.BatchItem | None:
        """Return an item of a job.

        Raises:
            UnavailableError: The store can't say.
        """
        for part in range(job.parts):
            value = await self._read_value(records.get_items_key(job.id, part))
            for one in records.decode_items(value):
                if one.id == item:
                    return one
        return None

    async def _read_value(self, key: str) -> bytes:
        cached = self._values_by_key.get(key)
        if cached is not None:
            self._values_by_key.move_to_end(key)
            return cached
        record = await self._stale.read(key)
        if record is None:
            logs.say("value:missing", key=key)
            raise UnavailableError(f"{key} is not there")
        self._values_by_key[key] = record.value
        self._cached_bytes += len(record.value)
        while self._cached_bytes > CACHE_BYTES:
            _, dropped = self._values_by_key.popitem(last=False)
            self._cached_bytes -= len(dropped)
        return record.value


def create_reader(store: base.Store, watched: mirror.Mirror) -> Reader:
    """Create a reader.

    Args:
        store: The store.
        watched: A mirror of `registry.WATCHED`.
    """
    return Reader(store, watched)
