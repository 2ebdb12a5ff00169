"""Reads jobs, their results and their items for gateways."""

from collections import OrderedDict
from collections.abc import Callable
import functools
import sys
from typing import Final
from typing import TypeVar
import urllib.parse

import anyio
import msgspec
from returns import result

from eelgrassgate import deadlines
from eelgrassgate import decoding
from eelgrassgate import logs
from eelgrassgate import memory_budget
from eelgrassgate.batches import job_memory
from eelgrassgate.batches import job_regions
from eelgrassgate.batches import owner_messages
from eelgrassgate.batches import records
from eelgrassgate.batches import stored_items
from eelgrassgate.gateway import eligibility
from eelgrassgate.http1 import upstream
from eelgrassgate.peering import registry
from eelgrassgate.peering import rendezvous
from eelgrassgate.store import base
from eelgrassgate.store import relay_regions

# Bound of each cache, a tenth of a small instance's memory. Cached values are
# immutable in the store, so they never become stale.
MAX_CACHE_BYTES: Final = 24_000_000
# Holder of the caches in the memory budget.
CACHES: Final = "caches"
# Bytes held for each byte of a page of results, from its reception until the
# caller has it: received, joined, decoded and encoded as JSON.
PAGE_FACTOR: Final = 4
MAX_CACHED_JOBS: Final = 4_000
# Bytes that a cached job record takes besides its texts.
JOB_BYTES: Final = 500
# After this time without a response from an owner the store is read instead.
OWNER_TIMEOUT_S: Final = 0.4
# Processes queried before the store: the likely owner and its successor.
MAX_OWNERS_QUERIED: Final = 2
# Jobs that are looked up at the same time. Each lookup takes a connection to an
# owner or to the store; callers may ask for any number of unknown jobs.
MAX_LOOKUPS: Final = 32
# Interval of reads of a job's head while a caller waits for results and no
# owner responds.
HEAD_POLL_INTERVAL_S: Final = 0.4
OK: Final = 200

_T = TypeVar("_T")


class UnavailableError(Exception):
    """A call failed or its answer is invalid, so the result is unknown."""


async def _read(store: base.Store, key: str) -> base.Record | None:
    answer = await store.read(key)
    if isinstance(answer, result.Failure):
        raise UnavailableError(answer.failure().message)
    return answer.unwrap()


_LISTING_DECODER: Final = msgspec.msgpack.Decoder(owner_messages.Listing)


def _decode_listing(value: bytes) -> owner_messages.Listing:
    return decoding.decode(_LISTING_DECODER, value)


def _decode(decode: Callable[[bytes], _T], value: bytes) -> _T:
    """Decode a stored value or an owner's response.

    Raises:
        UnavailableError: It is invalid.
    """
    try:
        return decode(value)
    except msgspec.MsgspecError as error:
        raise UnavailableError(f"invalid value: {error}") from error


class CallMemory:
    """The memory of one call, from its first read until it is answered."""

    def __init__(
        self, account: memory_budget.Account, wait_until: float
    ) -> None:
        """Initialize.

        Args:
            account: The call's account.
            wait_until: Monotonic time until which the call may wait.
        """
        self._account = account
        self._wait_until = wait_until

    async def hold(self, size: int) -> None:
        """Charge what a read takes, if the call holds less.

        Raises:
            UnavailableError: There was no memory in time.
        """
        missing = size - self._account.held_bytes
        if missing > 0 and not await self._account.grow(
            missing, self._wait_until
        ):
            raise UnavailableError("memory is short")


class Reader:
    """Reads from job owners and falls back to the store."""

    def __init__(
        self,
        store: base.Store,
        directory: registry.Directory,
        is_reachable: Callable[[str], bool],
        budget: memory_budget.Budget,
        regions: job_regions.JobRegions | None,
    ) -> None:
        """Create a reader; see `create_reader`."""
        self._regions = regions
        self._store = store
        self._directory = directory
        self._is_reachable = is_reachable
        self._pool = upstream.create_pool(OWNER_TIMEOUT_S)
        self._lookups = anyio.Semaphore(MAX_LOOKUPS)
        self._jobs_by_id: OrderedDict[str, records.Job] = OrderedDict()
        self._owners_by_job: dict[str, str] = {}
        self._values_by_key: OrderedDict[str, bytes] = OrderedDict()
        self._values_account = budget.open(memory_budget.Kind.RESULT, CACHES)
        self._results_by_job: OrderedDict[str, list[records.Result]] = (
            OrderedDict()
        )
        self._results_account = budget.open(memory_budget.Kind.RESULT, CACHES)
        self._jobs_account = budget.open(memory_budget.Kind.RESULT, CACHES)
        budget.add_cache(self._evict_value)
        budget.add_cache(self._evict_results)
        budget.add_cache(self._evict_job)

    async def find_job(self, job: str, workspace: str) -> records.Job | None:
        """Return a workspace's job; None only if it does not exist.

        Raises:
            UnavailableError: The store call failed.
        """
        found = self._jobs_by_id.get(job)
        if found is None:
            async with self._lookups:
                found = await self._look_up(job)
        if found is None:
            return None
        self._cache_job(found)
        return found if found.workspace == workspace else None

    async def _look_up(self, job: str) -> records.Job | None:
        """Read a job from its likely owner, or else from the store."""
        found = await self._fetch_record(job)
        if found is not None:
            return found
        key = f"{records.JOBS}{records.quote(job)}"
        record = await _read(self._store, key)
        if record is None:
            return None
        return _decode(records.decode_job, record.value)

    async def _fetch_record(self, job: str) -> records.Job | None:
        """Fetch a job's record, which is immutable, from the likely owner."""
        for member in self._rank_owners(job)[:1]:
            target = f"{owner_messages.PATH}{records.quote(job)}"
            body = await self._query_owner(member, b"GET", target)
            if body is not None:
                return _decode(records.decode_job, body)
        return None

    def _cache_job(self, job: records.Job) -> None:
        if job.id in self._jobs_by_id:
            return
        if not self._jobs_account.try_keep(_measure_job(job)):
            return
        self._jobs_by_id[job.id] = job
        if len(self._jobs_by_id) > MAX_CACHED_JOBS:
            self._evict_job()

    def _evict_job(self) -> bool:
        """Drop the job record that was cached first."""
        if not self._jobs_by_id:
            return False
        name, dropped = self._jobs_by_id.popitem(last=False)
        self._owners_by_job.pop(name, None)
        self._jobs_account.shrink(_measure_job(dropped))
        return True

    async def announce(self, job: records.Job, revision: int) -> None:
        """Announce a job that was just accepted to its likely owner.

        This only saves time: the owner also sees the job through its watch,
        a little later.
        """
        self._cache_job(job)
        for member in self._rank_owners(job.id, job)[:1]:
            target = f"{owner_messages.PATH}{records.quote(job.id)}"
            announcement = msgspec.json.encode(
                owner_messages.Announcement(job, revision)
            )
            await self._query_owner(member, b"POST", target, announcement)

    def _find_holders(self, job: records.Job | None) -> frozenset[str] | None:
        """Return the regions whose processes may hold a job's bodies."""
        if job is None or self._regions is None:
            return None
        return self._regions.find_holder_regions(job)

    def _may_cache(self, job: records.Job) -> bool:
        return self._regions is None or self._regions.may_hold(job)

    def drop_disallowed(self) -> None:
        """Drop cached items and results that this process may not hold.

        To be called after each change of the configuration.
        """
        allowed = {
            job.id for job in self._jobs_by_id.values() if self._may_cache(job)
        }
        for name in [one for one in self._results_by_job if one not in allowed]:
            self._results_account.shrink(
                records.count_memory(self._results_by_job.pop(name))
            )
        for key in list(self._values_by_key):
            if records.get_job(key) not in allowed:
                self._values_account.shrink(len(self._values_by_key.pop(key)))

    def _rank_owners(
        self, job: str, record: records.Job | None = None
    ) -> list[registry.Member]:
        """Return the processes that may own a job, the most likely first.

        Args:
            job: The job's id.
            record: Its record if it is known; processes that may not hold the
                job's bodies are left out then.
        """
        members = self._directory.members_by_name
        regions = self._find_holders(record)
        names = [
            name
            for name in self._directory.get_names(registry.Role.BATCH)
            if self._is_reachable(name)
            and eligibility.is_region_allowed(members[name].region, regions)
        ]
        order = rendezvous.rank_members(records.quote(job), names)
        known = self._owners_by_job.get(job)
        if known in order:
            order.remove(known)
            order.insert(0, known)
        return [members[name] for name in order[:MAX_OWNERS_QUERIED]]

    async def _query_owner(
        self,
        member: registry.Member,
        method: bytes,
        target: str,
        body: bytes = b"",
        wait_s: float = 0.0,
        memory: CallMemory | None = None,
    ) -> bytes | None:
        """Send a request to another process; None unless it returns 200.

        Raises:
            UnavailableError: There was no memory for the response in time.
        """
        headers = (
            (b"host", member.relay_address.encode()),
            (b"content-length", b"%d" % len(body)),
        )
        request = upstream.Request(method, target.encode(), headers, body)
        try:
            with anyio.fail_after(wait_s + OWNER_TIMEOUT_S):
                async with self._pool.use(member.relay_address) as connection:
                    await connection.start(request, lambda head: True)
                    if memory is not None:
                        size = connection.head.get_length()
                        await memory.hold(size * PAGE_FACTOR)
                    answer = await connection.read_body()
                    status = connection.head.status
        except (upstream.ExchangeError, TimeoutError) as error:
            logs.log_message(
                "owner unreachable", peer=member.name, reason=str(error)
            )
            return None
        return answer if status == OK else None

    async def read_results(
        self,
        job: records.Job,
        after: int,
        wait_until: float,
        memory: CallMemory | None = None,
    ) -> owner_messages.Listing:
        """Return results from position `after` on.

        Waits until `wait_until` if there are none yet.

        Raises:
            UnavailableError: Neither an owner nor the store responded, or
                there was no memory for the results.
        """
        known = self._results_by_job.get(job.id, [])
        if after < len(known):
            found = owner_messages.select_page(known, after)
            return owner_messages.Listing(job.total, after + len(found), found)
        with relay_regions.restrict(self._find_holders(job)):
            fetched = await self._fetch_results(job, after, wait_until, memory)
        if after == len(known) and self._may_cache(job):
            # Positions of results never change, so they can be cached.
            self._cache_results(job.id, known, fetched)
        return fetched

    def _cache_results(
        self,
        job: str,
        known: list[records.Result],
        fetched: owner_messages.Listing,
    ) -> None:
        """Append fetched results to the cache; evicts other jobs if full."""
        current = self._results_by_job.get(job, [])
        if len(current) != len(known) or not fetched.results:
            return
        size = records.count_memory(fetched.results)
        if not self._results_account.try_keep(size):
            return
        self._results_by_job[job] = [*current, *fetched.results]
        self._results_by_job.move_to_end(job)
        while self._results_account.held_bytes > MAX_CACHE_BYTES:
            self._evict_results()

    async def _fetch_results(
        self,
        job: records.Job,
        after: int,
        wait_until: float,
        memory: CallMemory | None,
    ) -> owner_messages.Listing:
        """Fetch results from the owners, then from the store.

        Raises:
            UnavailableError: Neither an owner nor the store responded.
        """
        for member in self._rank_owners(job.id, job):
            wait_s = deadlines.compute_remaining(wait_until)
            query = urllib.parse.urlencode(
                {
                    owner_messages.AFTER: after,
                    owner_messages.WAIT_MS: int(
                        wait_s * owner_messages.MS_PER_S
                    ),
                }
            )
            target = f"{owner_messages.PATH}{records.quote(job.id)}?{query}"
            body = await self._query_owner(
                member, b"GET", target, wait_s=wait_s, memory=memory
            )
            if body is not None:
                if job.id in self._jobs_by_id:
                    self._owners_by_job[job.id] = member.name
                return _decode(_decode_listing, body)
        self._owners_by_job.pop(job.id, None)
        return await self._read_from_store(job, after, wait_until, memory)

    async def _read_from_store(
        self,
        job: records.Job,
        after: int,
        wait_until: float,
        memory: CallMemory | None,
    ) -> owner_messages.Listing:
        key = f"{records.HEADS}{records.quote(job.id)}"
        while True:
            record = await _read(self._store, key)
            head = records.Head()
            if record is not None:
                head = _decode(records.decode_head, record.value)
            is_over = head.is_closed or deadlines.is_past(wait_until)
            if head.count() > after or is_over:
                break
            remaining_s = deadlines.compute_remaining(wait_until)
            await anyio.sleep(min(HEAD_POLL_INTERVAL_S, remaining_s))
        if memory is not None and head.count() > after:
            await memory.hold(PAGE_FACTOR * records.MAX_PART_BYTES)
        found = await self._read_parts(job, head, after)
        return owner_messages.Listing(job.total, after + len(found), found)

    async def _read_parts(
        self, job: records.Job, head: records.Head, after: int
    ) -> tuple[records.Result, ...]:
        found: list[records.Result] = []
        start = 0
        for part, end in enumerate(head.ends):
            if end > after:
                key = records.get_results_key(job.id, part)
                committed = _decode(
                    records.decode_results, await self._read_value(job, key)
                )
                found.extend(committed[max(0, after - start) :])
                selected = owner_messages.select_page(found, 0)
                if len(selected) < len(found):
                    return selected
            start = end
        return tuple(found)

    async def find_item(
        self, job: records.Job, item: str, memory: CallMemory | None = None
    ) -> bytes | None:
        """Return the body of a job's item; None if there is no such item.

        Raises:
            UnavailableError: A store call failed, a value is missing or
                invalid, or there was no memory for reading it.
        """
        if memory is not None:
            await memory.hold(job_memory.measure_read(job))
        read = functools.partial(self._read_value, job)
        try:
            with relay_regions.restrict(self._find_holders(job)):
                part = 0
                while part < job.parts:
                    found, part = await stored_items.read_group(job, part, read)
                    for one in found:
                        if one.id == item:
                            return one.body
        except msgspec.MsgspecError as error:
            raise UnavailableError(f"invalid value: {error}") from error
        return None

    async def _read_value(self, job: records.Job, key: str) -> bytes:
        cached = self._values_by_key.get(key)
        if cached is not None:
            self._values_by_key.move_to_end(key)
            return cached
        record = await _read(self._store, key)
        if record is None:
            logs.log_message("stored value missing", key=key)
            raise UnavailableError(f"{key} does not exist")
        size = len(record.value)
        if (
            key not in self._values_by_key
            and self._may_cache(job)
            and self._values_account.try_keep(size)
        ):
            self._values_by_key[key] = record.value
            while self._values_account.held_bytes > MAX_CACHE_BYTES:
                self._evict_value()
        return record.value

    def _evict_value(self) -> bool:
        """Drop the value that was used least recently."""
        if not self._values_by_key:
            return False
        _, dropped = self._values_by_key.popitem(last=False)
        self._values_account.shrink(len(dropped))
        return True

    def _evict_results(self) -> bool:
        """Drop the results that were used least recently."""
        if not self._results_by_job:
            return False
        _, dropped = self._results_by_job.popitem(last=False)
        self._results_account.shrink(records.count_memory(dropped))
        return True


def _measure_job(job: records.Job) -> int:
    """Return the memory that a cached job record takes."""
    texts = (job.id, job.workspace, job.host, job.path)
    return JOB_BYTES + sum(map(sys.getsizeof, texts))


def create_reader(
    store: base.Store,
    directory: registry.Directory,
    is_reachable: Callable[[str], bool],
    budget: memory_budget.Budget,
    regions: job_regions.JobRegions | None = None,
) -> Reader:
    """Create a reader.

    Args:
        store: The store.
        directory: The registered processes.
        is_reachable: Returns whether a process can be reached from here.
        budget: The memory budget of the process.
        regions: Where a job's items and results may be; None for everywhere.
    """
    return Reader(store, directory, is_reachable, budget, regions)
