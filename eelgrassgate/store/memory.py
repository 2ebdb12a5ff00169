"""An in-memory key-value store for tests and local use.

It behaves like etcd: one revision for the whole store, leases, watches from a
past revision, and compaction.
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
PROGRESS_INTERVAL_S: Final = 2.0
MIN_WAIT_S: Final = 0.005
MIN_KEPT_REVISIONS: Final = 2_000


class _LeaseState:
    """A lease, its expiry on the store's clock and the keys attached to it."""

    def __init__(self, ttl_s: float, expires_at: float) -> None:
        self.ttl_s = ttl_s
        self.expires_at = expires_at
        self.keys: set[str] = set()


class MemoryStore:
    """An in-memory implementation of `base.Store`."""

    def __init__(
        self,
        clock: Callable[[], float],
        progress_interval_s: float,
        min_kept_revisions: int,
    ) -> None:
        """Create an empty store; see `create_memory_store`."""
        self._clock = clock
        self._progress_interval_s = progress_interval_s
        self._min_kept_revisions = min_kept_revisions
        self._records_by_key: dict[str, base.Record] = {}
        self._keys: list[str] = []
        self._leases_by_id: dict[int, _LeaseState] = {}
        self._next_lease = 1
        self._history: list[base.Changes] = []
        self._compacted_revision = FIRST_REVISION
        self._revision = FIRST_REVISION
        self._changed = anyio.Event()

    @property
    def revision(self) -> int:
        """The revision of the latest change."""
        return self._revision

    def compact(self, revision: int) -> None:
        """Discard the history of changes before `revision`."""
        if revision <= self._compacted_revision:
            return
        first = self._history[0].revision if self._history else revision
        del self._history[: max(0, revision - first)]
        self._compacted_revision = revision
        self._notify_watches()

    def expire_leases(self) -> None:
        """Revoke expired leases; every call of the store does so first."""
        now = self._clock()
        expired = [
            lease
            for lease, lease_state in self._leases_by_id.items()
            if lease_state.expires_at <= now
        ]
        for lease in expired:
            self._end_lease(lease)

    async def read(
        self, key: str
    ) -> result.Result[base.Record | None, base.StoreError]:
        """Read one key."""
        self.expire_leases()
        return result.Success(self._records_by_key.get(key))

    async def read_range(
        self, prefix: str, *, after: str = "", limit: int = 0
    ) -> result.Result[base.Page, base.StoreError]:
        """Read keys under `prefix`."""
        self.expire_leases()
        found: list[base.Record] = []
        has_more = False
        for key in self._iterate_keys(prefix, after):
            if limit and len(found) == limit:
                has_more = True
                break
            found.append(self._records_by_key[key])
        return result.Success(base.Page(tuple(found), self._revision, has_more))

    async def commit(
        self, transaction: base.Transaction
    ) -> result.Result[base.Commit, base.StoreError]:
        """Apply changes if all preconditions hold."""
        self.expire_leases()
        error = self._validate(transaction)
        if error is not None:
            return result.Failure(error)
        if not all(map(self._is_met, transaction.preconditions)):
            return result.Success(
                base.Commit(
                    False,
                    self._revision,
                    tuple(self._iterate_records(transaction)),
                )
            )
        self._apply(transaction.changes)
        return result.Success(base.Commit(True, self._revision))

    async def grant_lease(
        self, ttl_s: float
    ) -> result.Result[base.Lease, base.StoreError]:
        """Grant a lease."""
        self.expire_leases()
        lease = self._next_lease
        self._next_lease += 1
        self._leases_by_id[lease] = _LeaseState(ttl_s, self._clock() + ttl_s)
        self._notify_watches()
        return result.Success(base.Lease(lease, ttl_s))

    async def renew_lease(
        self, lease: int
    ) -> result.Result[base.Lease | None, base.StoreError]:
        """Renew a lease; return None if it does not exist."""
        self.expire_leases()
        lease_state = self._leases_by_id.get(lease)
        if lease_state is None:
            return result.Success(None)
        lease_state.expires_at = self._clock() + lease_state.ttl_s
        return result.Success(base.Lease(lease, lease_state.ttl_s))

    async def revoke_lease(
        self, lease: int
    ) -> result.Result[None, base.StoreError]:
        """Revoke a lease and delete its keys; unknown leases are ignored."""
        self.expire_leases()
        self._end_lease(lease)
        return result.Success(None)

    async def watch(
        self,
        prefix: str,
        from_revision: int,
        *,
        max_wait_s: float | None = None,
    ) -> AsyncIterator[
        result.Result[base.Changes | base.Compacted, base.StoreError]
    ]:
        """Yield changes under `prefix`; 0 starts after the current revision."""
        self.expire_leases()
        next_revision = from_revision or self._revision + 1
        next_revision = max(next_revision, FIRST_REVISION + 1)
        while True:
            if next_revision < self._compacted_revision:
                yield result.Success(base.Compacted(self._compacted_revision))
                return
            if next_revision > self._revision:
                await self._wait_for_change(max_wait_s)
                self.expire_leases()
                if next_revision > self._revision:
                    yield result.Success(base.Changes((), next_revision - 1))
                continue
            entry = self._history[next_revision - self._history[0].revision]
            next_revision += 1
            changes = tuple(
                change
                for change in entry.changes
                if change.key.startswith(prefix)
            )
            if changes or next_revision > self._revision:
                yield result.Success(base.Changes(changes, entry.revision))

    async def close(self) -> None:
        """Do nothing; there are no connections."""

    def _iterate_keys(self, prefix: str, after: str) -> Iterator[str]:
        start = bisect.bisect_left(self._keys, prefix)
        if after:
            start = max(start, bisect.bisect_right(self._keys, after))
        for key in self._keys[start:]:
            if not key.startswith(prefix):
                return
            yield key

    def _validate(
        self, transaction: base.Transaction
    ) -> base.StoreError | None:
        """Return why a transaction is invalid, else None."""
        keys = {change.key for change in transaction.changes}
        if len(keys) < len(transaction.changes):
            return _reject("duplicate key in the changes of a transaction")
        for change in transaction.changes:
            if not isinstance(change, base.Write):
                continue
            if len(change.value) > base.MAX_VALUE_BYTES:
                return _reject(f"the value of {change.key} is too large")
            if change.lease and change.lease not in self._leases_by_id:
                return base.StoreError(
                    base.Fault.NOT_DONE, f"lease {change.lease} does not exist"
                )
        return None

    def _is_met(self, precondition: base.Precondition) -> bool:
        record = self._records_by_key.get(precondition.key)
        return (record.revision if record else 0) == precondition.revision

    def _iterate_records(
        self, transaction: base.Transaction
    ) -> Iterator[base.Record]:
        for precondition in transaction.preconditions:
            record = self._records_by_key.get(precondition.key)
            if record:
                yield record

    def _apply(self, changes: tuple[base.Write | base.Delete, ...]) -> None:
        """Apply changes as one new revision, unless they have no effect."""
        effective = [
            change
            for change in changes
            if isinstance(change, base.Write)
            or change.key in self._records_by_key
        ]
        if not effective:
            return
        self._revision += 1
        for change in effective:
            self._detach_from_lease(change.key)
            if isinstance(change, base.Write):
                self._put(change)
            else:
                del self._records_by_key[change.key]
                del self._keys[bisect.bisect_left(self._keys, change.key)]
        self._history.append(
            base.Changes(
                tuple(map(self._to_change, effective)),
                self._revision,
            )
        )
        if len(self._history) > 2 * self._min_kept_revisions:
            self.compact(self._revision - self._min_kept_revisions)
        self._notify_watches()

    def _to_change(self, change: base.Write | base.Delete) -> base.Change:
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

    def _detach_from_lease(self, key: str) -> None:
        record = self._records_by_key.get(key)
        if record and record.lease:
            self._leases_by_id[record.lease].keys.discard(key)

    def _end_lease(self, lease: int) -> None:
        lease_state = self._leases_by_id.get(lease)
        if lease_state is None:
            return
        self._apply(tuple(base.Delete(key) for key in sorted(lease_state.keys)))
        del self._leases_by_id[lease]

    async def _wait_for_change(self, max_wait_s: float | None) -> None:
        """Wait for a change, a lease expiry or the progress interval."""
        now = self._clock()
        interval_s = self._progress_interval_s
        if max_wait_s is not None:
            interval_s = min(interval_s, max_wait_s)
        wait_s = min(
            (
                lease_state.expires_at - now
                for lease_state in self._leases_by_id.values()
            ),
            default=interval_s,
        )
        wait_s = max(MIN_WAIT_S, min(wait_s, interval_s))
        with anyio.move_on_after(wait_s):
            await self._changed.wait()

    def _notify_watches(self) -> None:
        changed = self._changed
        self._changed = anyio.Event()
        changed.set()


def _reject(message: str) -> base.StoreError:
    return base.StoreError(base.Fault.NOT_DONE, message, is_rejected=True)


def create_memory_store(
    clock: Callable[[], float] = time.monotonic,
    progress_interval_s: float = PROGRESS_INTERVAL_S,
    min_kept_revisions: int = MIN_KEPT_REVISIONS,
) -> MemoryStore:
    """Create an empty store.

    Args:
        clock: Returns the time in seconds, for leases.
        progress_interval_s: Seconds between the progress notifications of a
            watch.
        min_kept_revisions: Minimum number of revisions that watches can start
            from; compaction runs at twice as many.
    """
    return MemoryStore(clock, progress_interval_s, min_kept_revisions)
