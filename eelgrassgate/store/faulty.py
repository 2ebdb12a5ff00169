"""A store wrapper that injects faults and counts calls."""

from collections.abc import AsyncIterator
from collections.abc import Awaitable
from collections.abc import Callable
import contextlib
import time
from typing import Final
from typing import TypeVar

import anyio
from returns import result

from eelgrassgate.store import base

WATCH_TIMEOUT_S: Final = 6.0

_T = TypeVar("_T")


class Faults:
    """The faults to inject; may be changed at any time.

    Attributes:
        is_down: Calls fail without effect, and watches end in a failure.
        delay_s: Delay of each call before it takes effect.
        lost_replies: Number of further writes that take effect but whose
            replies are lost.
        is_watch_silent: Watches stay open but yield nothing until they time
            out, even if the fault ends before.
        max_key_bytes: Limit of keys that are written; 0 for none.
        max_page_records: Most records in one page; 0 for no limit.
        failing_reads_by_key: Number of further reads of a key that fail.
    """

    def __init__(self) -> None:
        """Start without faults."""
        self.is_down = False
        self.delay_s = 0.0
        self.lost_replies = 0
        self.is_watch_silent = False
        self.max_key_bytes = 0
        self.max_page_records = 0
        self.failing_reads_by_key: dict[str, int] = {}


class Counts:
    """Numbers of calls and bytes, failed calls included.

    Attributes:
        reads: Read calls.
        writes: Transactions and lease calls.
        watches_opened: Watches opened so far.
        watches_open: Watches open now.
        changes: Changes delivered by watches.
        bytes_read: Bytes of keys and values read or received by watches.
        bytes_written: Bytes of keys and values written.
    """

    def __init__(self) -> None:
        """Start from zero."""
        self.reads = 0
        self.writes = 0
        self.watches_opened = 0
        self.watches_open = 0
        self.changes = 0
        self.bytes_read = 0
        self.bytes_written = 0


class FaultyStore:
    """Wraps a store; an implementation of `base.Store`."""

    def __init__(
        self,
        inner: base.Store,
        faults: Faults,
        clock: Callable[[], float],
        watch_timeout_s: float,
    ) -> None:
        """Wrap `inner`; see `create_faulty_store`."""
        self.faults = faults
        self.counts = Counts()
        self._inner = inner
        self._clock = clock
        self._watch_timeout_s = watch_timeout_s

    async def read(
        self, key: str
    ) -> result.Result[base.Record | None, base.StoreError]:
        """Read one key."""
        self.counts.reads += 1
        failing = self.faults.failing_reads_by_key
        if failing.get(key, 0) > 0:
            failing[key] -= 1
            return result.Failure(_create_down_error())
        answer = await self._call_inner(lambda: self._inner.read(key))
        record = answer.value_or(None)
        if record:
            self.counts.bytes_read += _count_bytes(record)
        return answer

    async def read_range(
        self, prefix: str, *, after: str = "", limit: int = 0
    ) -> result.Result[base.Page, base.StoreError]:
        """Read keys under `prefix`."""
        self.counts.reads += 1
        limit = limit or self.faults.max_page_records
        answer = await self._call_inner(
            lambda: self._inner.read_range(prefix, after=after, limit=limit)
        )
        page = answer.value_or(None)
        if page:
            self.counts.bytes_read += sum(map(_count_bytes, page.records))
        return answer

    async def commit(
        self, transaction: base.Transaction
    ) -> result.Result[base.Commit, base.StoreError]:
        """Apply changes if all preconditions hold."""
        self.counts.bytes_written += sum(map(_count_bytes, transaction.changes))
        limit = self.faults.max_key_bytes
        if limit and any(len(one.key) > limit for one in transaction.changes):
            return result.Failure(
                base.StoreError(
                    base.Fault.NOT_DONE, "key is too long", is_rejected=True
                )
            )
        return await self._write(lambda: self._inner.commit(transaction))

    async def grant_lease(
        self, ttl_s: float
    ) -> result.Result[base.Lease, base.StoreError]:
        """Grant a lease."""
        return await self._write(lambda: self._inner.grant_lease(ttl_s))

    async def renew_lease(
        self, lease: int
    ) -> result.Result[base.Lease | None, base.StoreError]:
        """Renew a lease."""
        return await self._write(lambda: self._inner.renew_lease(lease))

    async def revoke_lease(
        self, lease: int
    ) -> result.Result[None, base.StoreError]:
        """Revoke a lease."""
        return await self._write(lambda: self._inner.revoke_lease(lease))

    async def watch(
        self,
        prefix: str,
        from_revision: int,
        *,
        max_wait_s: float | None = None,
    ) -> AsyncIterator[
        result.Result[base.Changes | base.Compacted, base.StoreError]
    ]:
        """Yield changes; a fault applies when the inner watch next yields."""
        self.counts.watches_opened += 1
        if self.faults.is_down:
            yield result.Failure(_create_down_error())
            return
        self.counts.watches_open += 1
        try:
            async with contextlib.aclosing(
                self._inner.watch(  # type: ignore[type-var]
                    prefix, from_revision, max_wait_s=max_wait_s
                )
            ) as answers:
                async for answer in self._inject_faults(answers):
                    yield answer
        finally:
            self.counts.watches_open -= 1

    async def close(self) -> None:
        """Close the inner store."""
        await self._inner.close()

    async def _inject_faults(
        self,
        answers: AsyncIterator[
            result.Result[base.Changes | base.Compacted, base.StoreError]
        ],
    ) -> AsyncIterator[
        result.Result[base.Changes | base.Compacted, base.StoreError]
    ]:
        is_silenced = False
        received_at = self._clock()
        async for answer in answers:
            if self.faults.is_down:
                yield result.Failure(_create_down_error())
                return
            is_silenced = is_silenced or self.faults.is_watch_silent
            if not is_silenced:
                received_at = self._clock()
                self._count_changes(answer.value_or(None))
                yield answer
            elif self._clock() - received_at >= self._watch_timeout_s:
                yield result.Failure(
                    base.StoreError(base.Fault.NOT_DONE, "the watch timed out")
                )
                return

    def _count_changes(
        self, change: base.Changes | base.Compacted | None
    ) -> None:
        if isinstance(change, base.Changes):
            self.counts.changes += len(change.changes)
            self.counts.bytes_read += sum(map(_count_bytes, change.changes))

    async def _call_inner(
        self,
        call: Callable[[], Awaitable[result.Result[_T, base.StoreError]]],
    ) -> result.Result[_T, base.StoreError]:
        if self.faults.delay_s:
            await anyio.sleep(self.faults.delay_s)
        if self.faults.is_down:
            return result.Failure(_create_down_error())
        return await call()

    async def _write(
        self,
        call: Callable[[], Awaitable[result.Result[_T, base.StoreError]]],
    ) -> result.Result[_T, base.StoreError]:
        self.counts.writes += 1
        answer = await self._call_inner(call)
        if self.faults.lost_replies > 0 and not self.faults.is_down:
            self.faults.lost_replies -= 1
            return result.Failure(
                base.StoreError(base.Fault.UNKNOWN, "the reply was lost")
            )
        return answer


def _create_down_error() -> base.StoreError:
    return base.StoreError(base.Fault.NOT_DONE, "the store is unavailable")


def _count_bytes(
    part: base.Record | base.Change | base.Write | base.Delete,
) -> int:
    value = None if isinstance(part, base.Delete) else part.value
    return len(part.key) + len(value or b"")


def create_faulty_store(
    inner: base.Store,
    faults: Faults | None = None,
    clock: Callable[[], float] = time.monotonic,
    watch_timeout_s: float = WATCH_TIMEOUT_S,
) -> FaultyStore:
    """Wrap a store to inject faults and count calls.

    Args:
        inner: The store to wrap.
        faults: The faults to inject; none by default.
        clock: Returns the time in seconds.
        watch_timeout_s: Seconds without a change or progress notification after
            which a silent watch fails.
    """
    return FaultyStore(inner, faults or Faults(), clock, watch_timeout_s)
