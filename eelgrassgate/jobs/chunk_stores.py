"""Interface for storing chunks of files and results.

The implementation here stores chunks as values of the key-value store. One
that stores them elsewhere writes the bytes in `stage` and returns a write of a
small reference, which is committed in their place, so that the records in the
key-value store remain authoritative.
"""

from typing import Protocol

from returns import result

from eelgrassgate.store import base


class ChunkStore(Protocol):
    """Stores chunks by key."""

    async def stage(
        self, key: str, data: bytes
    ) -> result.Result[tuple[base.Write, ...], base.StoreError]:
        """Store a chunk; return the writes that make it visible.

        The caller commits the writes together with its record. A chunk whose
        writes are never committed is never read.
        """
        ...

    async def read(
        self, key: str
    ) -> result.Result[bytes | None, base.StoreError]:
        """Read a committed chunk; None if it does not exist."""
        ...


class _KvChunkStore:
    """Stores chunks as values of the key-value store."""

    def __init__(self, store: base.Store) -> None:
        self._store = store

    async def stage(
        self, key: str, data: bytes
    ) -> result.Result[tuple[base.Write, ...], base.StoreError]:
        return result.Success((base.Write(key, data),))

    async def read(
        self, key: str
    ) -> result.Result[bytes | None, base.StoreError]:
        found = await self._store.read(key)
        return found.map(lambda record: record.value if record else None)


def create_chunk_store(store: base.Store) -> ChunkStore:
    """Create a chunk store that uses the key-value store."""
    return _KvChunkStore(store)
