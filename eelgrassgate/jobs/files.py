"""Receives input files into the store and streams them out."""

from collections.abc import AsyncIterator
import posixpath
from typing import Final

import msgspec
from returns import result

from eelgrassgate import outcomes
from eelgrassgate.config import fleet
from eelgrassgate.jobs import bulk
from eelgrassgate.jobs import calls
from eelgrassgate.jobs import keys
from eelgrassgate.jobs import lines
from eelgrassgate.jobs import packing
from eelgrassgate.jobs import records
from eelgrassgate.jobs import runtimes
from eelgrassgate.store import base

ID_PREFIX: Final = "file-"
FILE_RETENTION_S: Final = 7 * 86_400.0
EXPIRY_KIND: Final = "file"


class _StoreFailedError(Exception):
    """A chunk could not be kept."""

    def __init__(self, error: base.StoreError) -> None:
        super().__init__(error.message)
        self.error = error


class _Packer:
    """Packs items into chunks and keeps these, one store call for each."""

    def __init__(
        self,
        store: base.Store,
        runtime: runtimes.Runtime,
        workspace: str,
        file: str,
    ) -> None:
        self._store = store
        self._bulk = bulk.create_store_bulk(store)
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
        size = measure(item)
        # Small chunks bound the memory of owners; a long line has its own.
        if self._bytes + size > packing.INPUT_CHUNK_BYTES:
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
        await self._keep(key, packing.pack(self._items))
        self.starts.append(self._count)
        self._count += len(self._items)
        self._items.clear()
        self._bytes = 0

    async def _keep(self, key: str, data: bytes) -> None:
        staged = await self._bulk.stage(key, data)
        if not isinstance(staged, result.Success):
            raise _StoreFailedError(staged.failure())
        answer = await calls.commit(
            self._store,
            self._runtime,
            base.Transaction((base.Precondition(key, 0),), staged.unwrap()),
            key,
            lambda record: True,
        )
        if not isinstance(answer, result.Success):
            raise _StoreFailedError(answer.failure())


def measure(item: records.Item) -> int:
    """Return an upper bound of an item's packed bytes before compression."""
    # A character takes at most four bytes; lengths and marks at most 32.
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

    Memory is bounded by one chunk and the digests of the items' ids. The
    record is written last, so that a file is there whole or not at all; what
    a broken upload leaves behind is swept by retention.

    Args:
        store: The store.
        workspace: Whose file it is.
        chunks: The file's bytes as they arrive. What it raises goes through.
        limits: Bounds on bytes and items.
        runtime: Clock, sleep and randomness.

    Returns:
        The record; or a refusal that names the first bad line, or tells that
        the store failed.
    """
    file = ID_PREFIX + runtime.make_id()
    reader = lines.Reader(limits.file_bytes, limits.job_items)
    packer = _Packer(store, runtime, workspace, file)
    kept_until = runtime.wall() + FILE_RETENTION_S
    try:
        await _announce(store, runtime, workspace, file, kept_until)
        async for item in reader.read(chunks):
            await packer.add(item)
        await packer.flush()
    except lines.BadLineError as error:
        return result.Failure(error.refusal)
    except _StoreFailedError as error:
        # Without its record no file was accepted, whatever was kept.
        return result.Failure(calls.refuse_read(error.error))
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
        packer.path or "",
        tuple(packer.starts),
        packer.has_one_path,
    )
    return await _record(store, runtime, record)


async def _announce(
    store: base.Store,
    runtime: runtimes.Runtime,
    workspace: str,
    file: str,
    kept_until: float,
) -> None:
    """Note the upload for retention, before its first chunk."""
    key = keys.format_expiry(kept_until, EXPIRY_KIND, workspace, file)
    transaction = base.Transaction(
        (base.Precondition(key, 0),), (base.Write(key, b""),)
    )
    answer = await calls.commit(
        store, runtime, transaction, key, lambda record: True
    )
    if not isinstance(answer, result.Success):
        raise _StoreFailedError(answer.failure())


async def _record(
    store: base.Store, runtime: runtimes.Runtime, record: records.FileRecord
) -> result.Result[records.FileRecord, outcomes.Refusal]:
    key = keys.format_file(record.workspace, record.file)
    transaction = base.Transaction(
        (base.Precondition(key, 0),), (base.Write(key, records.encode(record)),)
    )
    answer = await calls.commit(
        store, runtime, transaction, key, lambda found: True
    )
    if isinstance(answer, result.Success):
        return result.Success(record)
    return result.Failure(calls.refuse(answer.failure()))


async def find_file(
    store: base.Store,
    workspace: str,
    file: str,
    *,
    runtime: runtimes.Runtime = runtimes.SYSTEM,
) -> result.Result[records.FileRecord, outcomes.Refusal]:
    """Return a file's record; `NOT_FOUND` if the workspace has none such."""
    answer = await calls.read(store, runtime, keys.format_file(workspace, file))
    if not isinstance(answer, result.Success):
        return result.Failure(calls.refuse_read(answer.failure()))
    found = answer.unwrap()
    if found is None:
        return result.Failure(
            outcomes.refuse(outcomes.Code.NOT_FOUND, f"no file {file}")
        )
    return result.Success(records.decode(found.value, records.FileRecord))


class ReadError(Exception):
    """Bytes that were accepted could not be read; reading again may help.

    Attributes:
        error: What the store said; None if a chunk is not there (any more).
    """

    def __init__(self, key: str, error: base.StoreError | None) -> None:
        """Name the key that could not be read."""
        super().__init__(f"{key}: {error.message if error else 'not there'}")
        self.error = error


async def read_chunk(
    source: bulk.Bulk, runtime: runtimes.Runtime, key: str
) -> bytes:
    """Read a chunk that must be there, with a few tries.

    Raises:
        ReadError: The chunk could not be read.
    """
    for attempt in range(calls.TRIES):
        answer = await source.read(key)
        if isinstance(answer, result.Success):
            data: bytes | None = answer.unwrap()
            if data is None:
                raise ReadError(key, None)
            return data
        await runtime.sleep(runtime.spread(calls.get_delay(attempt)))
    raise ReadError(key, answer.failure())


async def read_items(
    source: bulk.Bulk,
    runtime: runtimes.Runtime,
    record: records.FileRecord,
    chunk: int,
) -> tuple[records.Item, ...]:
    """Read one chunk of a file.

    Raises:
        ReadError: The chunk could not be read.
    """
    key = keys.format_input(record.workspace, record.file, chunk)
    return packing.unpack_items(await read_chunk(source, runtime, key))


async def read_file(
    store: base.Store,
    record: records.FileRecord,
    *,
    runtime: runtimes.Runtime = runtimes.SYSTEM,
) -> AsyncIterator[bytes]:
    """Yield a file's lines, in blocks of one chunk each.

    Raises:
        ReadError: A chunk could not be read.
    """
    source = bulk.create_store_bulk(store)
    for chunk in range(len(record.starts)):
        items = await read_items(source, runtime, record, chunk)
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
