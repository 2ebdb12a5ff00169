"""Stores uploaded input files in chunks and reads them back."""

from collections.abc import AsyncIterator
import posixpath
from typing import Final

import msgspec
from returns import result

from eelgrassgate import outcomes
from eelgrassgate.config import fleet
from eelgrassgate.jobs import chunk_stores
from eelgrassgate.jobs import keys
from eelgrassgate.jobs import lines
from eelgrassgate.jobs import packing
from eelgrassgate.jobs import records
from eelgrassgate.jobs import runtimes
from eelgrassgate.jobs import store_calls
from eelgrassgate.store import base

ID_PREFIX: Final = "file-"
FILE_RETENTION_S: Final = 7 * 86_400.0
EXPIRY_KIND: Final = "file"


class _StoreFailedError(Exception):
    """A write to the store failed."""

    def __init__(self, error: base.StoreError) -> None:
        super().__init__(error.message)
        self.error = error


class _ChunkWriter:
    """Packs items into chunks and stores each chunk in one store call."""

    def __init__(
        self,
        store: base.Store,
        runtime: runtimes.Runtime,
        workspace: str,
        file: str,
    ) -> None:
        self._store = store
        self._chunk_store = chunk_stores.create_chunk_store(store)
        self._runtime = runtime
        self._workspace = workspace
        self._file = file
        self._items: list[records.Item] = []
        self._bytes = 0
        self._count = 0
        self.starts: list[int] = []
        self.path: str | None = None
        self.has_one_path = True

    async def add(self, item: records.Item) -> None:
        size = compute_max_bytes(item)
        # Small chunks bound the memory of owners. A line longer than the bound
        # gets a chunk of its own.
        if self._bytes + size > packing.MAX_INPUT_CHUNK_BYTES:
            await self.flush()
        self._items.append(item)
        self._bytes += size
        path = item.url.partition("?")[0].rstrip("/") or "/"
        if self.path is None:
            self.path = path
        elif self.path != path:
            self.has_one_path = False
            self.path = posixpath.commonpath([self.path, path])

    async def flush(self) -> None:
        if not self._items:
            return
        key = keys.format_input(self._workspace, self._file, len(self.starts))
        await self._write_chunk(key, packing.pack(self._items))
        self.starts.append(self._count)
        self._count += len(self._items)
        self._items.clear()
        self._bytes = 0

    async def _write_chunk(self, key: str, data: bytes) -> None:
        staged = await self._chunk_store.stage(key, data)
        if not isinstance(staged, result.Success):
            raise _StoreFailedError(staged.failure())
        answer = await store_calls.commit(
            self._store,
            self._runtime,
            base.Transaction((base.Precondition(key, 0),), staged.unwrap()),
            key,
            lambda record: True,
        )
        if not isinstance(answer, result.Success):
            raise _StoreFailedError(answer.failure())


def compute_max_bytes(item: records.Item) -> int:
    """Return an upper bound of an item's packed bytes before compression."""
    # A character takes at most 4 bytes in UTF-8; lengths and type tags take at
    # most 32 bytes.
    strings = len(item.custom_id) + len(item.method) + len(item.url)
    return len(item.body) + 4 * strings + 32


async def receive_file(
    store: base.Store,
    workspace: str,
    chunks: AsyncIterator[bytes],
    limits: fleet.Limits,
    *,
    runtime: runtimes.Runtime = runtimes.SYSTEM,
) -> result.Result[records.FileRecord, outcomes.Refusal]:
    """Receive a file of batch lines (JSONL) into the store.

    Memory use is bounded by one chunk and the digests of the items' ids. The
    record is written last, so that a file is visible only when complete. The
    chunks of an aborted upload are removed by retention.

    Args:
        store: The store.
        workspace: The workspace that owns the file.
        chunks: The file's bytes as they arrive. Its exceptions propagate.
        limits: Bounds on bytes and items.
        runtime: Clock, sleep and randomness.

    Returns:
        The record, or a refusal that names the first invalid line or states
        that the store failed.
    """
    file = ID_PREFIX + runtime.make_id()
    reader = lines.LineReader(limits.file_bytes, limits.job_items)
    writer = _ChunkWriter(store, runtime, workspace, file)
    kept_until = runtime.wall() + FILE_RETENTION_S
    try:
        await _write_expiry(store, runtime, workspace, file, kept_until)
        async for item in reader.read(chunks):
            await writer.add(item)
        await writer.flush()
    except lines.BadLineError as error:
        return result.Failure(error.refusal)
    except _StoreFailedError as error:
        # No record was written, so nothing was accepted even if chunks were
        # stored.
        return result.Failure(store_calls.refuse_read(error.error))
    if not reader.items:
        return result.Failure(
            outcomes.refuse(outcomes.Code.BAD_REQUEST, "the file has no items")
        )
    record = records.FileRecord(
        file,
        workspace,
        runtime.wall(),
        kept_until,
        reader.bytes,
        reader.items,
        reader.compute_digest(),
        writer.path or "",
        tuple(writer.starts),
        writer.has_one_path,
    )
    return await _write_record(store, runtime, record)


async def _write_expiry(
    store: base.Store,
    runtime: runtimes.Runtime,
    workspace: str,
    file: str,
    kept_until: float,
) -> None:
    """Write the expiry entry of the upload, before its first chunk."""
    key = keys.format_expiry(kept_until, EXPIRY_KIND, workspace, file)
    transaction = base.Transaction(
        (base.Precondition(key, 0),), (base.Write(key, b""),)
    )
    answer = await store_calls.commit(
        store, runtime, transaction, key, lambda record: True
    )
    if not isinstance(answer, result.Success):
        raise _StoreFailedError(answer.failure())


async def _write_record(
    store: base.Store, runtime: runtimes.Runtime, record: records.FileRecord
) -> result.Result[records.FileRecord, outcomes.Refusal]:
    key = keys.format_file(record.workspace, record.file)
    transaction = base.Transaction(
        (base.Precondition(key, 0),), (base.Write(key, records.encode(record)),)
    )
    answer = await store_calls.commit(
        store, runtime, transaction, key, lambda found: True
    )
    if isinstance(answer, result.Success):
        return result.Success(record)
    return result.Failure(store_calls.refuse(answer.failure()))


async def find_file(
    store: base.Store,
    workspace: str,
    file: str,
    *,
    runtime: runtimes.Runtime = runtimes.SYSTEM,
) -> result.Result[records.FileRecord, outcomes.Refusal]:
    """Return a file's record; `NOT_FOUND` if the workspace has no such file."""
    answer = await store_calls.read(
        store, runtime, keys.format_file(workspace, file)
    )
    if not isinstance(answer, result.Success):
        return result.Failure(store_calls.refuse_read(answer.failure()))
    found = answer.unwrap()
    if found is None:
        return result.Failure(
            outcomes.refuse(outcomes.Code.NOT_FOUND, f"no file {file}")
        )
    return result.Success(records.decode(found.value, records.FileRecord))


class ReadError(Exception):
    """A stored chunk could not be read; a retry may succeed.

    Attributes:
        error: The store's error; None if the chunk does not exist.
    """

    def __init__(self, key: str, error: base.StoreError | None) -> None:
        """Create the error for a key."""
        super().__init__(f"{key}: {error.message if error else 'not found'}")
        self.error = error


async def read_chunk(
    chunk_store: chunk_stores.ChunkStore, runtime: runtimes.Runtime, key: str
) -> bytes:
    """Read a chunk that must exist, with a limited number of retries.

    Raises:
        ReadError: The chunk could not be read.
    """
    for attempt in range(store_calls.MAX_ATTEMPTS):
        answer = await chunk_store.read(key)
        if isinstance(answer, result.Success):
            data: bytes | None = answer.unwrap()
            if data is None:
                raise ReadError(key, None)
            return data
        await runtime.sleep(
            runtime.add_jitter(store_calls.compute_backoff(attempt))
        )
    raise ReadError(key, answer.failure())


async def read_items(
    chunk_store: chunk_stores.ChunkStore,
    runtime: runtimes.Runtime,
    record: records.FileRecord,
    chunk: int,
) -> tuple[records.Item, ...]:
    """Read one chunk of a file.

    Raises:
        ReadError: The chunk could not be read.
    """
    key = keys.format_input(record.workspace, record.file, chunk)
    return packing.unpack_items(await read_chunk(chunk_store, runtime, key))


async def read_file(
    store: base.Store,
    record: records.FileRecord,
    *,
    runtime: runtimes.Runtime = runtimes.SYSTEM,
) -> AsyncIterator[bytes]:
    """Yield a file's lines, one chunk at a time.

    Raises:
        ReadError: A chunk could not be read.
    """
    chunk_store = chunk_stores.create_chunk_store(store)
    for chunk in range(len(record.starts)):
        items = await read_items(chunk_store, runtime, record, chunk)
        yield b"".join(map(format_line, items))


def format_line(item: records.Item) -> bytes:
    """Return an item as a line of a batch file."""
    line: bytes = msgspec.json.encode(
        {
            "custom_id": item.custom_id,
            "method": item.method,
            "url": item.url,
            "body": msgspec.Raw(item.body),
        }
    )
    return line + b"\n"
