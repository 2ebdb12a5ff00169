"""The key-value service in this process, for tests and trying out.

It follows etcd: one revision for the whole store, leases, watches that start
in the past, and compaction of the past.
"""

import bisect
from collections.abc import AsyncIterator
from collections.abc import Callable
from collections.abc import Iterator
import time
from typing import Final

import anyio
from returns import result

from eelgrassgate.store import base

FIRST_REVISION: Final = 1
PROGRESS_S: Final = 2.0
MIN_WAIT_S: Final = 0.005
KEPT_REVISIONS: Final = 2_000


class _Lease:
    """A lease with its expiry, an instant on the store's clock."""

    def __init__(self, ttl_s: float, expiry: float) -> None:
        self.ttl_s = ttl_s
        self.expiry = expiry
        self.keys: set[str] = set()


class MemoryStore:
    """An implementation of `base.Store` that keeps all in memory."""

    def __init__(
        self, clock: Callable[[], float], progress_s: float, kept: int
    ) -> None:
        """Create an empty store; see `create_memory_store`."""
        self._clock = clock
        self._progress_s = progress_s
        self._kept = kept
        self._records_by_key: dict[str, base.Record] = {}
        self._keys: list[str] = []
        self._leases_by_id: dict[int, _Lease] = {}
        self._next_lease = 1
        self._history: list[base.Changes] = []
        self._compacted = FIRST_REVISION
        self._revision = FIRST_REVISION
        self._changed = anyio.Event()

    @property
    def revision(self) -> int:
        """The revision of the last change."""
        return self._revision

    def compact(self, revision: int) -> None:
        """Forget the changes before `revision`."""
        if revision <= self._compacted:
            return
        first = self._history[0].revision if self._history else revision
        del self._history[: max(0, revision - first)]
        self._compacted = revision
        self._wake()

    def expire(self) -> None:
        """End the leases whose time is up; every call does so as well."""
        now = self._clock()
        expired = [
            lease
            for lease, held in self._leases_by_id.items()
            if held.expiry <= now
        ]
        for lease in expired:
            self._end_lease(lease)

    async def read(
        self, key: str
    ) -> result.Result[base.Record | None, base.StoreError]:
        """Read one key."""
        self.expire()
        return result.Success(self._records_by_key.get(key))

    async def read_range(
        self, prefix: str, *, after: str = "", limit: int = 0
    ) -> result.Result[base.Page, base.StoreError]:
        """Read keys under `prefix`."""
        self.expire()
        found: list[base.Record] = []
        has_more = False
        for key in self._iterate(prefix, after):
            if limit and len(found) == limit:
                has_more = True
                break
            found.append(self._records_by_key[key])
        return result.Success(base.Page(tuple(found), self._revision, has_more))

    async def commit(
        self, transaction: base.Transaction
    ) -> result.Result[base.Commit, base.StoreError]:
        """Make changes if expectations hold."""
        self.expire()
        message = self._check(transaction)
        if message:
            return result.Failure(base.StoreError(base.Fault.NOT_DONE, message))
        if not all(map(self._holds, transaction.preconditions)):
            return result.Success(
                base.Commit(
                    False, self._revision, tuple(self._find(transaction))
                )
            )
        self._apply(transaction.changes)
        return result.Success(base.Commit(True, self._revision))

    async def grant_lease(
        self, ttl_s: float
    ) -> result.Result[base.Lease, base.StoreError]:
        """Grant a lease."""
        self.expire()
        lease = self._next_lease
        self._next_lease += 1
        self._leases_by_id[lease] = _Lease(ttl_s, self._clock() + ttl_s)
        self._wake()
        return result.Success(base.Lease(lease, ttl_s))

    async def renew_lease(
        self, lease: int
    ) -> result.Result[base.Lease | None, base.StoreError]:
        """Renew a lease; None if it is not known."""
        self.expire()
        held = self._leases_by_id.get(lease)
        if held is None:
            return result.Success(None)
        held.expiry = self._clock() + held.ttl_s
        return result.Success(base.Lease(lease, held.ttl_s))

    async def revoke_lease(
        self, lease: int
    ) -> result.Result[None, base.StoreError]:
        """End a lease and delete its keys; unknown leases are ended."""
        self.expire()
        self._end_lease(lease)
        return result.Success(None)

    async def watch(
        self, prefix: str, from_revision: int
    ) -> AsyncIterator[
        result.Result[base.Changes | base.Compacted, base.StoreError]
    ]:
        """Yield changes under `prefix`; 0 starts after the present."""
        self.expire()
        following = from_revision or self._revision + 1
        following = max(following, FIRST_REVISION + 1)
        while True:
            if following < self._compacted:
                yield result.Success(base.Compacted(self._compacted))
                return
            if following > self._revision:
                await self._wait()
                self.expire()
                if following > self._revision:
                    yield result.Success(base.Changes((), following - 1))
                continue
            entry = self._history[following - self._history[0].revision]
            following += 1
            changes = tuple(
                change
                for change in entry.changes
                if change.key.startswith(prefix)
            )
            if changes or following > self._revision:
                yield result.Success(base.Changes(changes, entry.revision))

    async def close(self) -> None:
        """Do nothing; the store holds no connections."""

    def _iterate(self, prefix: str, after: str) -> Iterator[str]:
        start = bisect.bisect_left(self._keys, prefix)
        if after:
            start = max(start, bisect.bisect_right(self._keys, after))
        for key in self._keys[start:]:
            if not key.startswith(prefix):
                return
            yield key

    def _check(self, transaction: base.Transaction) -> str:
        """Return why a transaction is refused, or nothing."""
        keys = {change.key for change in transaction.changes}
        if len(keys) < len(transaction.changes):
            return "a key is changed twice in one transaction"
        for change in transaction.changes:
            if not isinstance(change, base.Write):
                continue
            if len(change.value) > base.MAX_VALUE_BYTES:
                return f"the value of {change.key} is too large"
            if change.lease and change.lease not in self._leases_by_id:
                return f"lease {change.lease} is not known"
        return ""

    def _holds(self, expect: base.Precondition) -> bool:
        record = self._records_by_key.get(expect.key)
        return (record.revision if record else 0) == expect.revision

    def _find(self, transaction: base.Transaction) -> Iterator[base.Record]:
        for expect in transaction.preconditions:
            record = self._records_by_key.get(expect.key)
            if record:
                yield record

    def _apply(self, changes: tuple[base.Write | base.Delete, ...]) -> None:
        """Make changes in one revision; none if nothing changes."""
        present = [
            change
            for change in changes
            if isinstance(change, base.Write)
            or change.key in self._records_by_key
        ]
        if not present:
            return
        self._revision += 1
        for change in present:
            self._unbind(change.key)
            if isinstance(change, base.Write):
                self._put(change)
            else:
                del self._records_by_key[change.key]
                del self._keys[bisect.bisect_left(self._keys, change.key)]
        self._history.append(
            base.Changes(
                tuple(map(self._describe, present)),
                self._revision,
            )
        )
        if len(self._history) > 2 * self._kept:
            self.compact(self._revision - self._kept)
        self._wake()

    def _describe(self, change: base.Write | base.Delete) -> base.Change:
        value = change.value if isinstance(change, base.Write) else None
        return base.Change(change.key, value, self._revision)

    def _put(self, write: base.Write) -> None:
        if write.key not in self._records_by_key:
            bisect.insort(self._keys, write.key)
        self._records_by_key[write.key] = base.Record(
            write.key, write.value, self._revision, write.lease
        )
        if write.lease:
            self._leases_by_id[write.lease].keys.add(write.key)

    def _unbind(self, key: str) -> None:
        record = self._records_by_key.get(key)
        if record and record.lease:
            self._leases_by_id[record.lease].keys.discard(key)

    def _end_lease(self, lease: int) -> None:
        held = self._leases_by_id.get(lease)
        if held is None:
            return
        self._apply(tuple(base.Delete(key) for key in sorted(held.keys)))
        del self._leases_by_id[lease]

    async def _wait(self) -> None:
        """Wait for a change, the next expiry or the time for progress."""
        now = self._clock()
        wait_s = min(
            (held.expiry - now for held in self._leases_by_id.values()),
            default=self._progress_s,
        )
        wait_s = max(MIN_WAIT_S, min(wait_s, self._progress_s))
        with anyio.move_on_after(wait_s):
            await self._changed.wait()

    def _wake(self) -> None:
        changed = self._changed
        self._changed = anyio.Event()
        changed.set()


def create_memory_store(
    clock: Callable[[], float] = time.monotonic,
    progress_s: float = PROGRESS_S,
    kept: int = KEPT_REVISIONS,
) -> MemoryStore:
    """Create an empty store.

    Args:
        clock: Tells the time in seconds, for leases.
        progress_s: Longest silence of a watch in seconds.
        kept: How many revisions are kept at least, and at most twice that.
    """
    return MemoryStore(clock, progress_s, kept)
