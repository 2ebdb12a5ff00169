"""Reads jobs, their results and their items for callers."""

from collections import OrderedDict
from collections.abc import Callable
from typing import Final
import urllib.parse

import anyio
import msgspec
from returns import result

from eelgrassgate import deadlines
from eelgrassgate import logs
from eelgrassgate.batches import owner as owner_lib
from eelgrassgate.batches import records
from eelgrassgate.batches import scheduling
from eelgrassgate.batches import serving
from eelgrassgate.http1 import upstream
from eelgrassgate.peering import registry
from eelgrassgate.store import base

# Values never change, so they are kept; a tenth of a small instance's memory.
CACHE_BYTES: Final = 24_000_000
# Job records that are kept, some hundred bytes each.
CACHED_JOBS: Final = 4_000
# An owner that does not answer is given up; the store is asked instead.
OWNER_TIMEOUT_S: Final = 0.4
# Owners that are asked before the store: the likely one, and its successor.
OWNERS_ASKED: Final = 2
# How often a job's head is read while a caller waits and no owner answers.
HEAD_EVERY_S: Final = 0.4
OK: Final = 200


class UnavailableError(Exception):
    """The store can't say."""


async def _read(store: base.Store, key: str) -> base.Record | None:
    answer = await store.read(key)
    if isinstance(answer, result.Failure):
        raise UnavailableError(answer.failure().message)
    return answer.unwrap()


class Reader:
    """Reads from owners, and from the store what they don't know."""

    def __init__(
        self,
        store: base.Store,
        directory: registry.Directory,
        is_heard: Callable[[str], bool],
    ) -> None:
        """Create a reader; see `create_reader`."""
        self._store = store
        self._directory = directory
        self._is_heard = is_heard
        self._pool = upstream.create_pool(OWNER_TIMEOUT_S)
        self._jobs_by_id: OrderedDict[str, records.Job] = OrderedDict()
        self._owners_by_job: dict[str, str] = {}
        self._values_by_key: OrderedDict[str, bytes] = OrderedDict()
        self._cached_bytes = 0
        self._results_by_job: OrderedDict[str, list[records.Result]] = (
            OrderedDict()
        )
        self._results_bytes = 0

    async def find(self, job: str, workspace: str) -> records.Job | None:
        """Return a workspace's job; None only if there certainly is none.

        Raises:
            UnavailableError: The store can't say.
        """
        found = self._jobs_by_id.get(job)
        if found is None:
            found = await self._ask_record(job)
        if found is None:
            key = f"{records.JOBS}{records.quote(job)}"
            record = await _read(self._store, key)
            if record is None:
                return None
            found = records.decode_job(record.value)
        self._remember(found)
        return found if found.workspace == workspace else None

    async def _ask_record(self, job: str) -> records.Job | None:
        """Ask the likely owner for a job's record; a record never changes."""
        for member in self._list_owners(job)[:1]:
            target = f"{serving.PATH}{records.quote(job)}"
            body = await self._ask(member, b"GET", target)
            if body is not None:
                return records.decode_job(body)
        return None

    def _remember(self, job: records.Job) -> None:
        self._jobs_by_id[job.id] = job
        if len(self._jobs_by_id) > CACHED_JOBS:
            dropped, _ = self._jobs_by_id.popitem(last=False)
            self._owners_by_job.pop(dropped, None)

    async def announce(self, job: records.Job, revision: int) -> None:
        """Tell the likely owner of a job that was accepted just now.

        It would see the job in the store as well, a little later.
        """
        self._remember(job)
        for member in self._list_owners(job.id)[:1]:
            target = f"{serving.PATH}{records.quote(job.id)}"
            offer = msgspec.json.encode(serving.Offer(job, revision))
            await self._ask(member, b"POST", target, offer)

    def _list_owners(self, job: str) -> list[registry.Member]:
        """Return the processes that may own a job, the likely one first."""
        members = self._directory.members_by_name
        names = [
            name
            for name in self._directory.get_names(registry.Role.BATCH)
            if self._is_heard(name)
        ]
        order = scheduling.choose_owner(
            records.quote(job), names, owner_lib.weigh
        )
        known = self._owners_by_job.get(job)
        if known in order:
            order.remove(known)
            order.insert(0, known)
        return [members[name] for name in order[:OWNERS_ASKED]]

    async def _ask(
        self,
        member: registry.Member,
        method: bytes,
        target: str,
        body: bytes = b"",
        wait_s: float = 0.0,
    ) -> bytes | None:
        """Ask another process; None if it can't say."""
        headers = (
            (b"host", member.relay_address.encode()),
            (b"content-length", b"%d" % len(body)),
        )
        request = upstream.Request(method, target.encode(), headers, body)
        try:
            with anyio.fail_after(wait_s + OWNER_TIMEOUT_S):
                async with self._pool.use(member.relay_address) as connection:
                    await connection.start(request, lambda head: True)
                    parts = [part async for part in connection.iterate()]
                    status = connection.head.status
        except (upstream.ExchangeError, TimeoutError) as error:
            logs.log_message(
                "owner:silent", peer=member.name, reason=str(error)
            )
            return None
        return b"".join(parts) if status == OK else None

    async def read_results(
        self, job: records.Job, after: int, wait_until: float
    ) -> serving.Listing:
        """Return results from position `after` on, once there are any.

        Raises:
            UnavailableError: Neither an owner nor the store can say.
        """
        known = self._results_by_job.get(job.id, [])
        if after < len(known):
            found = serving.select(known, after)
            return serving.Listing(job.total, after + len(found), found)
        fetched = await self._fetch(job, after, wait_until)
        if after == len(known):
            # A result never changes its place, so it need not be asked again.
            self._keep_results(job.id, known, fetched)
        return fetched

    def _keep_results(
        self,
        job: str,
        known: list[records.Result],
        fetched: serving.Listing,
    ) -> None:
        """Keep results that follow on those known, of the latest jobs."""
        current = self._results_by_job.get(job, [])
        if len(current) != len(known) or not fetched.results:
            return
        self._results_by_job[job] = [*current, *fetched.results]
        self._results_by_job.move_to_end(job)
        self._results_bytes += sum(len(one.text) for one in fetched.results)
        while self._results_bytes > CACHE_BYTES:
            _, dropped = self._results_by_job.popitem(last=False)
            self._results_bytes -= sum(len(one.text) for one in dropped)

    async def _fetch(
        self, job: records.Job, after: int, wait_until: float
    ) -> serving.Listing:
        """Ask owners, then the store.

        Raises:
            UnavailableError: Neither an owner nor the store can say.
        """
        for member in self._list_owners(job.id):
            wait_s = deadlines.compute_remaining(wait_until)
            query = urllib.parse.urlencode(
                {
                    serving.AFTER: after,
                    "wait_ms": int(wait_s * serving.MS_PER_S),
                }
            )
            target = f"{serving.PATH}{records.quote(job.id)}?{query}"
            body = await self._ask(member, b"GET", target, wait_s=wait_s)
            if body is not None:
                self._owners_by_job[job.id] = member.name
                return msgspec.msgpack.decode(body, type=serving.Listing)
        self._owners_by_job.pop(job.id, None)
        return await self._read_from_store(job, after, wait_until)

    async def _read_from_store(
        self, job: records.Job, after: int, wait_until: float
    ) -> serving.Listing:
        key = f"{records.HEADS}{records.quote(job.id)}"
        while True:
            record = await _read(self._store, key)
            head = records.Head()
            if record is not None:
                head = records.decode_head(record.value)
            is_over = head.is_closed or deadlines.is_past(wait_until)
            if head.count() > after or is_over:
                break
            left_s = deadlines.compute_remaining(wait_until)
            await anyio.sleep(min(HEAD_EVERY_S, left_s))
        found = await self._read_parts(job, head, after)
        return serving.Listing(job.total, after + len(found), found)

    async def _read_parts(
        self, job: records.Job, head: records.Head, after: int
    ) -> tuple[records.Result, ...]:
        found: list[records.Result] = []
        start = 0
        for part, end in enumerate(head.ends):
            if end > after:
                key = records.get_results_key(job.id, part)
                listed = records.decode_results(await self._read_value(key))
                found.extend(listed[max(0, after - start) :])
                selected = serving.select(found, 0)
                if len(selected) < len(found):
                    return selected
            start = end
        return tuple(found)

    async def find_item(self, job: records.Job, item: str) -> bytes | None:
        """Return the body of a job's item.

        Raises:
            UnavailableError: The store can't say.
        """
        for part in range(job.parts):
            value = await self._read_value(records.get_items_key(job.id, part))
            for one in records.decode_items(value):
                if one.id == item:
                    return one.body
        return None

    async def _read_value(self, key: str) -> bytes:
        cached = self._values_by_key.get(key)
        if cached is not None:
            self._values_by_key.move_to_end(key)
            return cached
        record = await _read(self._store, key)
        if record is None:
            logs.log_message("value:missing", key=key)
            raise UnavailableError(f"{key} is not there")
        self._values_by_key[key] = record.value
        self._cached_bytes += len(record.value)
        while self._cached_bytes > CACHE_BYTES:
            _, dropped = self._values_by_key.popitem(last=False)
            self._cached_bytes -= len(dropped)
        return record.value


def create_reader(
    store: base.Store,
    directory: registry.Directory,
    is_heard: Callable[[str], bool],
) -> Reader:
    """Create a reader.

    Args:
        store: The store.
        directory: The other processes.
        is_heard: Tells whether a process can be reached from here.
    """
    return Reader(store, directory, is_heard)
