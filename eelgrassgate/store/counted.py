"""A store wrapper that counts calls."""

from collections.abc import AsyncIterator
from typing import Protocol

from returns import result

from eelgrassgate.store import base


class Counter(Protocol):
    """Counts events by name."""

    def count(self, name: str, workspace: str = "", amount: int = 1) -> None:
        """Count events."""
        ...


class CountedStore:
    """Wraps a store; an implementation of `base.Store`."""

    def __init__(self, inner: base.Store, counter: Counter) -> None:
        """Wrap `inner`; see `create_counted_store`."""
        self._inner = inner
        self._counter = counter

    async def read(
        self, key: str
    ) -> result.Result[base.Record | None, base.StoreError]:
        """Read one key."""
        self._counter.count("store_reads")
        return await self._inner.read(key)

    async def read_range(
        self, prefix: str, *, after: str = "", limit: int = 0
    ) -> result.Result[base.Page, base.StoreError]:
        """Read keys under `prefix`."""
        self._counter.count("store_reads")
        return await self._inner.read_range(prefix, after=after, limit=limit)

    async def commit(
        self, transaction: base.Transaction
    ) -> result.Result[base.Commit, base.StoreError]:
        """Apply changes if all preconditions hold."""
        self._counter.count("store_writes")
        return await self._inner.commit(transaction)

    async def grant_lease(
        self, ttl_s: float
    ) -> result.Result[base.Lease, base.StoreError]:
        """Grant a lease."""
        self._counter.count("store_writes")
        return await self._inner.grant_lease(ttl_s)

    async def renew_lease(
        self, lease: int
    ) -> result.Result[base.Lease | None, base.StoreError]:
        """Renew a lease."""
        self._counter.count("store_writes")
        return await self._inner.renew_lease(lease)

    async def revoke_lease(
        self, lease: int
    ) -> result.Result[None, base.StoreError]:
        """Revoke a lease."""
        self._counter.count("store_writes")
        return await self._inner.revoke_lease(lease)

    def watch(
        self,
        prefix: str,
        from_revision: int,
        *,
        max_wait_s: float | None = None,
    ) -> AsyncIterator[
        result.Result[base.Changes | base.Compacted, base.StoreError]
    ]:
        """Yield changes under `prefix`."""
        self._counter.count("store_watches")
        return self._inner.watch(prefix, from_revision, max_wait_s=max_wait_s)

    async def close(self) -> None:
        """Close all connections."""
        await self._inner.close()


def create_counted_store(inner: base.Store, counter: Counter) -> CountedStore:
    """Wrap a store to count its calls.

    Args:
        inner: The store to wrap.
        counter: Counts `store_reads`, `store_writes` and `store_watches`.
    """
    return CountedStore(inner, counter)
