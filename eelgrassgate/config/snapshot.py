"""The configuration read from the store at one of its revisions."""

from collections.abc import Mapping
from typing import Final

import msgspec
from returns import result

from eelgrassgate.config import fleet as fleet_lib
from eelgrassgate.config import records
from eelgrassgate.store import base

# etcd refuses requests above 1.5 MiB by default.
MAX_TRANSACTION_BYTES: Final = 1_400_000

_ENCODER: Final = msgspec.json.Encoder(order="sorted")
_HEAD_DECODER: Final = msgspec.json.Decoder(records.Head)
_CHUNK_DECODER: Final = msgspec.json.Decoder(records.Chunk)


class Snapshot(msgspec.Struct, frozen=True):
    """All records at one revision.

    Attributes:
        head: The head.
        head_store_revision: The store's revision of the head; 0 if absent.
        store_revision: The store's revision at the time of reading.
        entries_by_id: All records.
    """

    head: records.Head
    head_store_revision: int
    store_revision: int
    entries_by_id: dict[str, records.Entry]

    def build_fleet(self) -> fleet_lib.Fleet:
        """Return the records as one typed configuration.

        Raises:
            msgspec.ValidationError: A record is unknown to this version.
        """
        return records.update_fleet(
            fleet_lib.Fleet(),
            (
                (record_id, bytes(entry.value))
                for record_id, entry in self.entries_by_id.items()
            ),
        )

    def list_changed(self, revision: int) -> tuple[str, ...]:
        """Return the ids of the records that changed after `revision`."""
        return tuple(
            record_id
            for record_id, entry in sorted(self.entries_by_id.items())
            if entry.revision > revision
        )


class HeadRecord(msgspec.Struct, frozen=True):
    """The head and the store's revision of it."""

    head: records.Head
    store_revision: int


async def read(
    store: base.Store,
) -> result.Result[Snapshot, base.StoreError]:
    """Read the whole configuration in one call.

    What can't be decoded, as of a newer version, is a failure.
    """
    answer = await store.read_range(records.PREFIX)
    if isinstance(answer, result.Failure):
        return result.Failure(answer.failure())
    try:
        return result.Success(_decode_page(answer.unwrap()))
    except msgspec.DecodeError as error:
        return result.Failure(_refuse_content(error))


async def read_head(
    store: base.Store,
) -> result.Result[HeadRecord, base.StoreError]:
    """Read the head alone; revisions are 0 where there is none."""
    answer = await store.read(records.HEAD_KEY)
    if isinstance(answer, result.Failure):
        return result.Failure(answer.failure())
    record = answer.unwrap()
    if record is None:
        return result.Success(HeadRecord(records.Head(), 0))
    try:
        head = decode_head(record.value)
    except msgspec.DecodeError as error:
        return result.Failure(_refuse_content(error))
    return result.Success(HeadRecord(head, record.revision))


def _refuse_content(error: msgspec.DecodeError) -> base.StoreError:
    message = f"the configuration in the store can't be read: {error}"
    return base.StoreError(base.Fault.NOT_DONE, message)


def _decode_page(page: base.Page) -> Snapshot:
    head = records.Head()
    head_store_revision = 0
    entries_by_id: dict[str, records.Entry] = {}
    for record in page.records:
        if record.key == records.HEAD_KEY:
            head = decode_head(record.value)
            head_store_revision = record.revision
        elif record.key.startswith(records.CHUNK_PREFIX):
            entries_by_id.update(decode_chunk(record.value).records)
    return Snapshot(head, head_store_revision, page.revision, entries_by_id)


def decode_head(value: bytes) -> records.Head:
    """Decode the head as the store holds it.

    Raises:
        msgspec.DecodeError: It is no head of this version.
    """
    return _HEAD_DECODER.decode(value)


def decode_chunk(value: bytes) -> records.Chunk:
    """Decode a chunk as the store holds it.

    Raises:
        msgspec.DecodeError: It is no chunk of this version.
    """
    return _CHUNK_DECODER.decode(value)


def build_transaction(
    snapshot: Snapshot,
    changes_by_id: Mapping[str, bytes | None],
    edit: str,
    is_from_files: bool,
) -> base.Transaction:
    """Return the one transaction that makes `changes_by_id`.

    Every writer goes through the head, so its revision is the only condition.
    """
    revision = snapshot.head.revision + 1
    entries_by_id = dict(snapshot.entries_by_id)
    for record_id, value in changes_by_id.items():
        if value is None:
            entries_by_id.pop(record_id, None)
            continue
        entries_by_id[record_id] = records.Entry(msgspec.Raw(value), revision)
    digest = records.format_digest(records.sum_digests(entries_by_id))
    edits = (*snapshot.head.edits, records.Edit(edit, revision))
    head = records.Head(
        revision=revision,
        files_revision=(
            revision if is_from_files else snapshot.head.files_revision
        ),
        digest=digest,
        edits=edits[-records.RECENT_EDITS :],
    )
    touched = {records.get_chunk_key(record_id) for record_id in changes_by_id}
    chunks: dict[str, dict[str, records.Entry]] = {key: {} for key in touched}
    for record_id, entry in entries_by_id.items():
        key = records.get_chunk_key(record_id)
        if key in chunks:
            chunks[key][record_id] = entry
    writes = [base.Write(records.HEAD_KEY, _ENCODER.encode(head))]
    writes.extend(
        base.Write(key, _ENCODER.encode(records.Chunk(chunk)))
        for key, chunk in sorted(chunks.items())
    )
    return base.Transaction(
        preconditions=(
            base.Precondition(records.HEAD_KEY, snapshot.head_store_revision),
        ),
        changes=tuple(writes),
    )


def count_bytes(transaction: base.Transaction) -> int:
    """Return the size of a transaction's values."""
    return sum(
        len(change.value)
        for change in transaction.changes
        if isinstance(change, base.Write)
    )
