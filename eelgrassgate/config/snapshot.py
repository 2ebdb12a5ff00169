"""Snapshots of the configuration in the store, and transactions on it."""

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
        head: The head record.
        head_store_revision: The store's revision of the head; 0 if absent.
        store_revision: The store's revision when the records were read.
        entries_by_id: All records.
    """

    head: records.Head
    head_store_revision: int
    store_revision: int
    entries_by_id: dict[str, records.Entry]

    def build_fleet(self) -> fleet_lib.Fleet:
        """Build the typed configuration from the records.

        Raises:
            msgspec.ValidationError: A record is invalid in this version.
        """
        return records.update_fleet(
            fleet_lib.Fleet(),
            (
                (record_id, bytes(entry.value))
                for record_id, entry in self.entries_by_id.items()
            ),
        )

    def list_changed_ids(self, revision: int) -> tuple[str, ...]:
        """Return the ids of the records changed after `revision`."""
        return tuple(
            record_id
            for record_id, entry in sorted(self.entries_by_id.items())
            if entry.revision > revision
        )


class HeadRecord(msgspec.Struct, frozen=True):
    """The head and its revision in the store."""

    head: records.Head
    store_revision: int


async def read(
    store: base.Store,
) -> result.Result[Snapshot, base.StoreError]:
    """Read the whole configuration in one call.

    Content that can't be decoded, such as that of a newer version, is reported
    as a failure.
    """
    answer = await store.read_range(records.PREFIX)
    if isinstance(answer, result.Failure):
        return result.Failure(answer.failure())
    try:
        return result.Success(_decode_page(answer.unwrap()))
    except msgspec.DecodeError as error:
        return result.Failure(_create_content_error(error))


async def read_head(
    store: base.Store,
) -> result.Result[HeadRecord, base.StoreError]:
    """Read the head only; both revisions are 0 if there is none."""
    answer = await store.read(records.HEAD_KEY)
    if isinstance(answer, result.Failure):
        return result.Failure(answer.failure())
    record = answer.unwrap()
    if record is None:
        return result.Success(HeadRecord(records.Head(), 0))
    try:
        head = decode_head(record.value)
    except msgspec.DecodeError as error:
        return result.Failure(_create_content_error(error))
    return result.Success(HeadRecord(head, record.revision))


def _create_content_error(error: msgspec.DecodeError) -> base.StoreError:
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
    """Decode the stored head.

    Raises:
        msgspec.DecodeError: It is not a valid head of this version.
    """
    return _HEAD_DECODER.decode(value)


def decode_chunk(value: bytes) -> records.Chunk:
    """Decode a stored chunk.

    Raises:
        msgspec.DecodeError: It is not a valid chunk of this version.
    """
    return _CHUNK_DECODER.decode(value)


def build_transaction(
    snapshot: Snapshot,
    changes_by_id: Mapping[str, bytes | None],
    edit: str,
    is_from_files: bool,
) -> base.Transaction:
    """Build the transaction that applies `changes_by_id`.

    Every edit writes the head, so its revision is the only precondition.
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
        edits=edits[-records.MAX_RECENT_EDITS :],
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
    """Return the total size of a transaction's values."""
    return sum(
        len(change.value)
        for change in transaction.changes
        if isinstance(change, base.Write)
    )
