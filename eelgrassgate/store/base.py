"""Interface of the platform's key-value service.

All implementations pass the same contract tests. Values are bytes of at most
`MAX_VALUE_BYTES`. Revisions are integers that increase monotonically across
the whole store.
"""

from collections.abc import AsyncIterator
import enum
from typing import Final
from typing import Protocol

import msgspec
from returns import result

MAX_VALUE_BYTES: Final = 1_000_000
# The platform's limit.
MAX_KEY_BYTES: Final = 200


class Fault(enum.Enum):
    """Whether a failed call may have taken effect.

    After `NOT_DONE` the call has taken no effect and never will. After
    `UNKNOWN` it may have taken effect, or may still do so.
    """

    NOT_DONE = "not_done"
    UNKNOWN = "unknown"


class StoreError(msgspec.Struct, frozen=True):
    """The failure of a store call.

    Attributes:
        fault: Whether the call may have taken effect.
        message: Why it failed.
        is_rejected: Whether the store found the call itself invalid, for
            example a value too large, so that it fails whenever it is repeated.
    """

    fault: Fault
    message: str
    is_rejected: bool = False


class Record(msgspec.Struct, frozen=True):
    """A key-value pair.

    Attributes:
        key: The key.
        value: The value.
        revision: The store's revision at the key's last change.
        lease: The lease that the key is attached to, 0 for none.
    """

    key: str
    value: bytes
    revision: int
    lease: int = 0


class Page(msgspec.Struct, frozen=True):
    """Records read at one revision, sorted by key."""

    records: tuple[Record, ...]
    revision: int
    has_more: bool = False


class Precondition(msgspec.Struct, frozen=True):
    """Requires that the key has this revision; 0 means that it is absent."""

    key: str
    revision: int


class Write(msgspec.Struct, frozen=True):
    """Sets a key."""

    key: str
    value: bytes
    lease: int = 0


class Delete(msgspec.Struct, frozen=True):
    """Deletes a key."""

    key: str


class Transaction(msgspec.Struct, frozen=True):
    """Changes applied atomically if all preconditions hold."""

    preconditions: tuple[Precondition, ...]
    changes: tuple[Write | Delete, ...]


class Commit(msgspec.Struct, frozen=True):
    """The result of a transaction.

    Attributes:
        is_done: Whether the preconditions held and the changes were applied.
        revision: The store's revision after the call.
        found: If not done, the current records of the keys that have a
            precondition.
    """

    is_done: bool
    revision: int
    found: tuple[Record, ...] = ()


class Lease(msgspec.Struct, frozen=True):
    """A lease and the time to live that the store granted."""

    lease: int
    ttl_s: float


class Change(msgspec.Struct, frozen=True):
    """One change reported by a watch; `value` is None for a deletion."""

    key: str
    value: bytes | None
    revision: int


class Changes(msgspec.Struct, frozen=True):
    """The changes of one revision, or a progress notification.

    A progress notification holds no changes: all changes up to `revision`
    have been sent.
    """

    changes: tuple[Change, ...]
    revision: int


class Compacted(msgspec.Struct, frozen=True):
    """The watch's start revision was compacted; read the range again."""

    revision: int


class Store(Protocol):
    """The platform's key-value service."""

    async def read(self, key: str) -> result.Result[Record | None, StoreError]:
        """Read one key; linearizable."""
        ...

    async def read_range(
        self, prefix: str, *, after: str = "", limit: int = 0
    ) -> result.Result[Page, StoreError]:
        """Read up to `limit` keys under `prefix` that follow `after`.

        A limit of 0 means no limit; the store may still split the range into
        pages.
        """
        ...

    async def commit(
        self, transaction: Transaction
    ) -> result.Result[Commit, StoreError]:
        """Apply changes if all preconditions hold."""
        ...

    async def grant_lease(
        self, ttl_s: float
    ) -> result.Result[Lease, StoreError]:
        """Grant a lease."""
        ...

    async def renew_lease(
        self, lease: int
    ) -> result.Result[Lease | None, StoreError]:
        """Renew a lease; return None if it does not exist."""
        ...

    async def revoke_lease(self, lease: int) -> result.Result[None, StoreError]:
        """Revoke a lease and delete the keys attached to it."""
        ...

    def watch(
        self,
        prefix: str,
        from_revision: int,
        *,
        max_wait_s: float | None = None,
    ) -> AsyncIterator[result.Result[Changes | Compacted, StoreError]]:
        """Yield changes under `prefix` from `from_revision` on.

        While the store is reachable, progress notifications arrive every few
        seconds. A watch that receives nothing for longer yields a failure.
        The iterator ends after a failure or `Compacted`.

        Args:
            prefix: The prefix.
            from_revision: The first revision to report.
            max_wait_s: Longest time in seconds between progress
                notifications, where the store lets its callers choose it.
        """
        ...

    async def close(self) -> None:
        """Close all connections."""
        ...
