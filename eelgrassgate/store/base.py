"""The seam towards the platform's key-value service.

Every adapter answers the same table of contract cases. Values are bytes of at
most `MAX_VALUE_BYTES`; revisions are integers that only go up across the whole
store.
"""

from collections.abc import AsyncIterator
import enum
from typing import Final
from typing import Protocol

import msgspec
from returns import result

MAX_VALUE_BYTES: Final = 1_000_000


class Fault(enum.Enum):
    """Why a call got no answer.

    `NOT_DONE` promises that the call took no effect. After `UNKNOWN` it may
    have taken effect, or may still do so.
    """

    NOT_DONE = "not_done"
    UNKNOWN = "unknown"


class StoreError(msgspec.Struct, frozen=True):
    """A store call that got no answer."""

    fault: Fault
    message: str


class Record(msgspec.Struct, frozen=True):
    """One key with its value.

    Attributes:
        key: The key.
        value: The value.
        revision: The store's revision at the key's last change.
        lease: The lease that the key is bound to, 0 for none.
    """

    key: str
    value: bytes
    revision: int
    lease: int = 0


class Page(msgspec.Struct, frozen=True):
    """Records read together at one revision, in order of their keys."""

    records: tuple[Record, ...]
    revision: int
    has_more: bool = False


class Precondition(msgspec.Struct, frozen=True):
    """A condition: the key's revision is as given; 0 means it is absent."""

    key: str
    revision: int


class Write(msgspec.Struct, frozen=True):
    """Set a key."""

    key: str
    value: bytes
    lease: int = 0


class Delete(msgspec.Struct, frozen=True):
    """Delete a key."""

    key: str


class Transaction(msgspec.Struct, frozen=True):
    """Changes made together if all expectations hold, else not at all."""

    preconditions: tuple[Precondition, ...]
    changes: tuple[Write | Delete, ...]


class Commit(msgspec.Struct, frozen=True):
    """The answer to a transaction.

    Attributes:
        is_done: Whether the expectations held and the changes were made.
        revision: The store's revision after the call.
        found: When not done, the present records of the expected keys.
    """

    is_done: bool
    revision: int
    found: tuple[Record, ...] = ()


class Lease(msgspec.Struct, frozen=True):
    """A lease with the time to live that the store granted, in seconds."""

    lease: int
    ttl_s: float


class Change(msgspec.Struct, frozen=True):
    """One change seen by a watch; `value` is None for a deletion."""

    key: str
    value: bytes | None
    revision: int


class Changes(msgspec.Struct, frozen=True):
    """Changes of one revision, or none: progress up to `revision`."""

    changes: tuple[Change, ...]
    revision: int


class Compacted(msgspec.Struct, frozen=True):
    """The watch's start is no longer kept; read afresh and watch anew."""

    revision: int


class Store(Protocol):
    """The platform's key-value service."""

    async def read(self, key: str) -> result.Result[Record | None, StoreError]:
        """Read one key; linearizable."""
        ...

    async def read_range(
        self, prefix: str, *, after: str = "", limit: int = 0
    ) -> result.Result[Page, StoreError]:
        """Read keys under `prefix`, those after `after`, at most `limit`."""
        ...

    async def commit(
        self, transaction: Transaction
    ) -> result.Result[Commit, StoreError]:
        """Make changes if expectations hold."""
        ...

    async def grant_lease(
        self, ttl_s: float
    ) -> result.Result[Lease, StoreError]:
        """Grant a lease."""
        ...

    async def renew_lease(
        self, lease: int
    ) -> result.Result[Lease | None, StoreError]:
        """Renew a lease; None if the store no longer knows it."""
        ...

    async def revoke_lease(self, lease: int) -> result.Result[None, StoreError]:
        """End a lease and delete the keys bound to it."""
        ...

    def watch(
        self, prefix: str, from_revision: int
    ) -> AsyncIterator[result.Result[Changes | Compacted, StoreError]]:
        """Yield changes under `prefix` from `from_revision` on.

        Progress arrives at least every few seconds while the store can be
        reached. The iterator ends after yielding a failure or `Compacted`;
        a watch that has gone silent yields a failure.
        """
        ...

    async def close(self) -> None:
        """Release connections."""
        ...
