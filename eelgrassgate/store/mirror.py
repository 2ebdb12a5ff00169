"""A local copy of all keys under a prefix, kept up to date by a watch.

The watch is one of the store, or a peer's mirror if `Sharing` says so.
"""

from collections.abc import Callable
import contextlib
from typing import Any
from typing import Final
from typing import Protocol

import anyio
import msgspec
from returns import result

from eelgrassgate import deadlines
from eelgrassgate import logs
from eelgrassgate.store import base
from eelgrassgate.store import pages

# Backoff after a failed call. The maximum is shorter than the time in which an
# instance must catch up once it reaches the store again.
MIN_BACKOFF_S: Final = 0.1
MAX_BACKOFF_S: Final = 0.8

# How much longer than its longest wait a watch may take to answer. Covers an
# answer of a slow store, 0.4 s, and a late event loop.
WATCH_MARGIN_S: Final = 0.75
# A watch starts without a full read only while the records were confirmed this
# recently. The settled revision may be two answers of a watch older, and the
# store keeps the changes of 20 s.
MAX_START_AGE_S: Final = 5.0
# Deletions that are kept for peers; a peer that is further behind gets all
# records.
MAX_KEPT_DELETIONS: Final = 1_000

Listener = Callable[[tuple[base.Change, ...]], None]


class Update(msgspec.Struct, frozen=True):
    """What a peer's mirror tells about its records.

    Attributes:
        changes: The changes since the last update; all records if
            `is_complete`.
        is_complete: Whether records that are absent are deleted.
        revision: The store's revision up to which the peer applied changes.
        changed_revision: `Mirror.changed_revision` of the peer.
        settled_revision: `Mirror.settled_revision` of the peer.
        is_connected: Whether the latest call that feeds the peer succeeded.
        connected_since: Instant, or later, at which that became true.
        confirmed_at: Instant, or earlier, at which the store confirmed the
            records.
    """

    changes: tuple[base.Change, ...]
    is_complete: bool
    revision: int
    changed_revision: int
    settled_revision: int
    is_connected: bool
    connected_since: float
    confirmed_at: float


class Sharing(Protocol):
    """Decides which mirrors watch the store and feeds the others."""

    def is_watcher(self, mirror: "Mirror") -> bool:
        """Return whether a mirror watches the store itself."""
        ...

    async def follow(self, mirror: "Mirror") -> None:
        """Pass updates of peers to a mirror until it is a watcher."""
        ...


class _NoSharing:
    """An implementation of `Sharing` in which each mirror is a watcher."""

    def is_watcher(self, mirror: "Mirror") -> bool:
        return True

    async def follow(self, mirror: "Mirror") -> None:
        """Return, as the mirror is a watcher."""


_NO_SHARING: Final = _NoSharing()


class _Entry(msgspec.Struct, frozen=True):
    """The mirror's version and the store's revision at a key's change."""

    version: int
    revision: int


class Mirror:
    """A local copy of the records under one prefix.

    Attributes:
        prefix: The prefix.
        max_wait_s: Longest wait of the watch for a change; None for the
            store's default.
        records_by_key: The records.
        revision: The revision up to which all changes are applied, 0 before
            the first load.
        changed_revision: The revision of the latest change; a copy at a lower
            one is older.
        settled_revision: As `revision`, but not including an empty answer of a
            watch before the next one, as the store may omit changes shortly
            before it drops its history.
        version: Increases with each answer, failures included.
        is_connected: Whether the latest call succeeded.
        connected_since: Instant at which `is_connected` last became true.
        confirmed_at: Instant at which the store last confirmed the records.
    """

    def __init__(
        self,
        store: base.Store,
        prefix: str,
        batch_delay_s: float,
        max_wait_s: float | None,
        sharing: Sharing,
    ) -> None:
        """Create an empty mirror; see `create_mirror`."""
        self._store = store
        self._batch_delay_s = batch_delay_s
        self._sharing = sharing
        self._listeners: list[Listener] = []
        self._update_listeners: list[Callable[[], None]] = []
        self._changed = anyio.Event()
        # In the order of their versions; entries of deleted keys included.
        self._entries_by_key: dict[str, _Entry] = {}
        self._must_load = True
        # Changes up to this version may be missing among the entries.
        self._dropped_version = 0
        self.prefix = prefix
        self.max_wait_s = max_wait_s
        self.records_by_key: dict[str, base.Record] = {}
        self.revision = 0
        self.changed_revision = 0
        self.settled_revision = 0
        self.version = 0
        self.is_connected = False
        self.connected_since = 0.0
        self.confirmed_at = float("-inf")

    def subscribe(self, listener: Listener) -> None:
        """Call `listener` with each batch of changes."""
        self._listeners.append(listener)

    async def wait(self) -> None:
        """Wait for the next change."""
        await self._changed.wait()

    def subscribe_to_updates(self, listener: Callable[[], None]) -> None:
        """Call `listener` whenever `version` increases."""
        self._update_listeners.append(listener)

    def list_changes(self, after: int) -> tuple[base.Change, ...] | None:
        """Return the latest changes of the keys changed after a version.

        Returns:
            The changes in any order; None if they are not known any more.
        """
        if after < self._dropped_version:
            return None
        found = []
        for key in reversed(self._entries_by_key):
            entry = self._entries_by_key[key]
            if entry.version <= after:
                break
            record = self.records_by_key.get(key)
            value = None if record is None else record.value
            found.append(base.Change(key, value, entry.revision))
        return tuple(found)

    def list_all(self) -> tuple[base.Change, ...]:
        """Return all records as changes."""
        return tuple(
            base.Change(one.key, one.value, one.revision)
            for one in self.records_by_key.values()
        )

    async def run(self) -> None:
        """Keep the copy current until cancelled."""
        backoff_s = MIN_BACKOFF_S
        while True:
            if not self._sharing.is_watcher(self):
                await self._sharing.follow(self)
                continue
            if self._can_start() or await self._load():
                backoff_s = MIN_BACKOFF_S
                await self._watch()
            await anyio.sleep(backoff_s)
            backoff_s = min(MAX_BACKOFF_S, 2.0 * backoff_s)

    def apply_update(self, update: Update) -> bool:
        """Apply what a peer's mirror tells.

        Returns:
            Whether the update was usable: that of a peer that is not connected
            or whose records are older is not.
        """
        if not update.is_connected:
            self.mark_disconnected("the watcher is not connected")
            return False
        if update.revision < self.changed_revision:
            return False
        self._mark_connected()
        self.connected_since = max(self.connected_since, update.connected_since)
        changes = [one for one in update.changes if self._is_newer(one)]
        if update.is_complete:
            present = {one.key for one in update.changes}
            changes.extend(
                base.Change(key, None, update.settled_revision)
                for key, record in self.records_by_key.items()
                if key not in present
                and record.revision <= update.settled_revision
            )
        self.confirmed_at = max(self.confirmed_at, update.confirmed_at)
        self.settled_revision = max(
            self.settled_revision, update.settled_revision
        )
        self.changed_revision = max(
            self.changed_revision, update.changed_revision
        )
        self._apply_changes(tuple(changes), update.revision)
        return True

    def _is_newer(self, change: base.Change) -> bool:
        """Return whether a change is newer than the key's last one."""
        known = self._entries_by_key.get(change.key)
        return known is None or known.revision < change.revision

    def _can_start(self) -> bool:
        """Return whether a watch can start without reading the prefix."""
        return (
            self.is_connected
            and not self._must_load
            and not deadlines.is_past(self.confirmed_at + MAX_START_AGE_S)
        )

    async def _load(self) -> bool:
        """Read the whole prefix; return False if the store failed."""
        started_at = deadlines.now()
        answer = await pages.read_all(self._store, self.prefix)
        if isinstance(answer, result.Failure):
            self.mark_disconnected(answer.failure().message)
            return False
        self._must_load = False
        page = answer.unwrap()
        found_by_key = {one.key: one for one in page.records}
        self._mark_connected()
        changes = [
            base.Change(key, None, page.revision)
            for key in self.records_by_key
            if key not in found_by_key
        ]
        for key, record in found_by_key.items():
            known = self.records_by_key.get(key)
            if known is None or known.revision != record.revision:
                changes.append(base.Change(key, record.value, record.revision))
        self.confirmed_at = max(self.confirmed_at, started_at)
        self.settled_revision = page.revision
        self.changed_revision = page.revision
        self._apply_changes(tuple(changes), page.revision)
        return True

    async def _watch(self) -> None:
        """Apply changes until the watch ends or a peer's mirror replaces it."""
        answers: Any = self._store.watch(
            self.prefix, self.settled_revision + 1, max_wait_s=self.max_wait_s
        )
        async with contextlib.aclosing(answers):
            while self._sharing.is_watcher(self):
                started_at = deadlines.now()
                answer = None
                with anyio.move_on_after(self._get_timeout_s()) as scope:
                    answer = await anext(answers, None)
                if scope.cancelled_caught:
                    self.mark_disconnected("the watch is silent")
                if answer is None:
                    return
                if isinstance(answer, result.Failure):
                    self.mark_disconnected(answer.failure().message)
                    return
                changes = answer.unwrap()
                if isinstance(changes, base.Compacted):
                    logs.log_message("mirror:compacted", prefix=self.prefix)
                    self._must_load = True
                    return
                self._mark_connected()
                self._confirm(started_at, changes)
                # After a peer was followed, some of them are known.
                found = tuple(filter(self._is_newer, changes.changes))
                self._apply_changes(found, changes.revision)
                if changes.changes:
                    # Batches further changes, as each call is billed.
                    await anyio.sleep(self._batch_delay_s)

    def _get_timeout_s(self) -> float:
        """Return after how many seconds without an answer a watch fails.

        Where no peer follows, the store's own timeout is enough.
        """
        if self.max_wait_s is None or self._sharing is _NO_SHARING:
            return deadlines.NEVER
        return self.max_wait_s + WATCH_MARGIN_S

    def _confirm(self, started_at: float, changes: base.Changes) -> None:
        """Record what an answer of the watch tells about the records' age."""
        at = deadlines.now()
        if self.max_wait_s is not None:
            # The answer may have been delayed since it was sent.
            at = min(at, started_at + self.max_wait_s)
        self.confirmed_at = max(self.confirmed_at, at)
        self.settled_revision = self.revision
        if changes.changes:
            self.settled_revision = changes.revision
            self.changed_revision = max(
                self.changed_revision,
                *(one.revision for one in changes.changes),
            )

    def _apply_changes(
        self, changes: tuple[base.Change, ...], revision: int
    ) -> None:
        self.version += 1
        for change in changes:
            self._record_change(change)
        self._drop_deletions()
        is_first = not self.revision
        self.revision = max(self.revision, revision)
        self._announce_update()
        if not changes and not is_first:
            return
        for listener in self._listeners:
            self._announce(listener, changes)
        changed, self._changed = self._changed, anyio.Event()
        changed.set()

    def _record_change(self, change: base.Change) -> None:
        # Moves the key to the end of the order.
        self._entries_by_key.pop(change.key, None)
        self._entries_by_key[change.key] = _Entry(self.version, change.revision)
        if change.value is None:
            self.records_by_key.pop(change.key, None)
            return
        self.records_by_key[change.key] = base.Record(
            change.key, change.value, change.revision
        )

    def _drop_deletions(self) -> None:
        """Drop the entries of the keys that were deleted first."""
        surplus = len(self._entries_by_key) - len(self.records_by_key)
        if surplus <= MAX_KEPT_DELETIONS:
            return
        deleted = [
            key
            for key in self._entries_by_key
            if key not in self.records_by_key
        ]
        for key in deleted[: surplus - MAX_KEPT_DELETIONS // 2]:
            entry = self._entries_by_key.pop(key)
            self._dropped_version = entry.version

    def _announce_update(self) -> None:
        for listener in self._update_listeners:
            listener()

    def _announce(
        self, listener: Listener, changes: tuple[base.Change, ...]
    ) -> None:
        """Announce changes; one that can't be handled holds up no other."""
        try:
            listener(changes)
        except Exception:
            if len(changes) > 1:
                for change in changes:
                    self._announce(listener, (change,))
                return
            logs.log_exception(
                "mirror:change_failed",
                prefix=self.prefix,
                keys=[change.key for change in changes],
            )

    def _mark_connected(self) -> None:
        if not self.is_connected:
            self.is_connected = True
            self.connected_since = deadlines.now()
            logs.log_message("mirror:connected", prefix=self.prefix)

    def mark_disconnected(self, reason: str) -> None:
        """Record that nothing confirms the records at present."""
        if self.is_connected:
            self.is_connected = False
            self.version += 1
            self._announce_update()
            logs.log_message(
                "mirror:disconnected", prefix=self.prefix, reason=reason
            )


def create_mirror(
    store: base.Store,
    prefix: str,
    *,
    batch_delay_s: float = 0.1,
    max_wait_s: float | None = None,
    sharing: Sharing | None = None,
) -> Mirror:
    """Create a mirror of the keys under `prefix`.

    Args:
        store: The store.
        prefix: The prefix.
        batch_delay_s: Seconds to wait after each batch of changes.
        max_wait_s: Longest wait of the watch for a change in seconds; bounds
            how long a watch that nothing reaches any more is trusted. None
            for the store's default.
        sharing: Decides whether the mirror watches the store; by default it
            always does.
    """
    return Mirror(
        store, prefix, batch_delay_s, max_wait_s, sharing or _NO_SHARING
    )
