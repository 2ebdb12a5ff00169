"""The configuration records of an instance and updates to them.

The revision never decreases. An update is applied completely or not at all.
"""

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Mapping
from typing import Final

import msgspec

from eelgrassgate import messages
from eelgrassgate.config import fleet as fleet_lib
from eelgrassgate.config import records
from eelgrassgate.config import snapshot as snapshot_lib
from eelgrassgate.keys import key_index

MAX_REMOVAL_RECORDS: Final = 1000


class Update(msgspec.Struct, frozen=True):
    """One update of an instance's configuration.

    Attributes:
        fleet: The new configuration.
        revision: The revision of `fleet`.
        changed_ids: The records that were set or removed.
        removed_digests: Digests of the keys that are no longer in force.
    """

    fleet: fleet_lib.Fleet
    revision: int
    changed_ids: frozenset[str]
    removed_digests: frozenset[str]


Listener = Callable[[Update], None]


class ConfigState:
    """The records of one revision, and the fleet and keys built from them.

    Attributes:
        fleet: The configuration.
        revision: The revision of `fleet`.
        keys: The keys of `fleet`.
        confirmed_at: The latest instant at which the store is known to have
            held no newer revision.
    """

    def __init__(self) -> None:
        """Start without records, at revision 0."""
        self.fleet = fleet_lib.Fleet()
        self.revision = 0
        self.confirmed_at = float("-inf")
        self.keys = key_index.KeyIndex(self.fleet)
        self._entries_by_id: dict[str, records.Entry] = {}
        self._ids_by_chunk: dict[str, set[str]] = {}
        self._digest = 0
        self._removals_by_id: dict[str, int] = {}
        self._min_delta_base = 0
        self._listeners: list[Listener] = []

    @property
    def digest(self) -> str:
        """The digest of all records, in the format of the head."""
        return records.format_digest(self._digest)

    def confirm(self, instant: float) -> None:
        """Record that the store confirmed this revision at `instant`."""
        self.confirmed_at = max(self.confirmed_at, instant)

    def subscribe(self, listener: Listener) -> Callable[[], None]:
        """Call `listener` at each update; return a function to unsubscribe."""
        self._listeners.append(listener)
        return lambda: self._listeners.remove(listener)

    def apply_snapshot(self, snapshot: snapshot_lib.Snapshot) -> bool:
        """Apply a snapshot unless it is older; return whether it was applied.

        A snapshot of the same revision replaces records that differ.
        """
        if snapshot.head.revision < self.revision:
            return False
        return self._replace_all(snapshot.entries_by_id, snapshot.head.revision)

    def apply_chunks(
        self, head: records.Head, chunks_by_key: Mapping[str, records.Chunk]
    ) -> bool:
        """Apply the chunks of a watch; return whether they were applied."""
        if head.revision <= self.revision:
            return False
        entries_by_id: dict[str, records.Entry] = {}
        removed: set[str] = set()
        for key, chunk in chunks_by_key.items():
            entries_by_id.update(chunk.records)
            removed |= self._ids_by_chunk.get(key, set()) - set(chunk.records)
        return self._apply(entries_by_id, removed, head.revision)

    def apply_push(self, push: messages.PushConfig) -> bool:
        """Apply a peer's changes; return whether they were applied."""
        if push.revision <= self.revision:
            return False
        entries_by_id = {
            record.key: records.Entry(
                msgspec.Raw(record.value), record.revision
            )
            for record in push.records
            if record.value is not None
        }
        if push.is_whole:
            return self._replace_all(entries_by_id, push.revision)
        if push.base > self.revision:
            return False
        removed = {
            record.key for record in push.records if record.value is None
        }
        return self._apply(entries_by_id, removed, push.revision)

    def build_push(self, base: int) -> messages.PushConfig:
        """Return the changes after `base`, or all records.

        All records are needed if `base` is 0 or if removals after it are no
        longer recorded.
        """
        is_whole = base < self._min_delta_base or base == 0
        found = [
            messages.ConfigRecord(record_id, bytes(entry.value), entry.revision)
            for record_id, entry in self._entries_by_id.items()
            if is_whole or entry.revision > base
        ]
        if not is_whole:
            found.extend(
                messages.ConfigRecord(record_id, None, revision)
                for record_id, revision in self._removals_by_id.items()
                if revision > base
            )
        return messages.PushConfig(
            base=base,
            revision=self.revision,
            is_whole=is_whole,
            records=tuple(found),
        )

    def _replace_all(
        self, entries_by_id: Mapping[str, records.Entry], revision: int
    ) -> bool:
        changed = {
            record_id: entry
            for record_id, entry in entries_by_id.items()
            if self._entries_by_id.get(record_id) != entry
        }
        removed = self._entries_by_id.keys() - entries_by_id.keys()
        is_first = self.revision == 0
        is_applied = self._apply(changed, removed, revision)
        if is_applied and is_first:
            self._min_delta_base = revision
        return is_applied

    def _apply(
        self,
        entries_by_id: Mapping[str, records.Entry],
        removed: Iterable[str],
        revision: int,
    ) -> bool:
        changes: dict[str, bytes | None] = {
            record_id: bytes(entry.value)
            for record_id, entry in entries_by_id.items()
        }
        changes.update(dict.fromkeys(removed))
        try:
            fleet = records.update_fleet(self.fleet, changes.items())
        except msgspec.ValidationError:
            return False
        for record_id in changes:
            self._set_record(record_id, entries_by_id.get(record_id), revision)
        self.fleet = fleet
        self.revision = revision
        self._notify_listeners(frozenset(changes))
        return True

    def _set_record(
        self, record_id: str, entry: records.Entry | None, revision: int
    ) -> None:
        old = self._entries_by_id.pop(record_id, None)
        if old is not None:
            self._digest -= records.digest_record(
                record_id, bytes(old.value), old.revision
            )
        ids = self._ids_by_chunk.setdefault(
            records.get_chunk_key(record_id), set()
        )
        if entry is None:
            ids.discard(record_id)
            self._record_removal(record_id, revision)
            return
        ids.add(record_id)
        self._removals_by_id.pop(record_id, None)
        # A decoded value references the whole chunk; the copy releases it.
        self._entries_by_id[record_id] = records.Entry(
            entry.value.copy(), entry.revision
        )
        self._digest += records.digest_record(
            record_id, bytes(entry.value), entry.revision
        )

    def _record_removal(self, record_id: str, revision: int) -> None:
        self._removals_by_id.pop(record_id, None)
        self._removals_by_id[record_id] = revision
        if len(self._removals_by_id) > MAX_REMOVAL_RECORDS:
            oldest = next(iter(self._removals_by_id))
            self._min_delta_base = self._removals_by_id.pop(oldest)

    def _notify_listeners(self, changed_ids: frozenset[str]) -> None:
        old_digests = self.keys.digests
        self.keys.rebuild(self.fleet)
        update = Update(
            self.fleet,
            self.revision,
            changed_ids,
            frozenset(old_digests - self.keys.digests),
        )
        for listener in tuple(self._listeners):
            listener(update)
