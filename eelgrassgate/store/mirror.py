"""A local copy of all keys under a prefix, kept up to date by a watch."""

from collections.abc import Callable
from typing import Final

import anyio
from returns import result

from eelgrassgate import deadlines
from eelgrassgate import logs
from eelgrassgate.store import base
from eelgrassgate.store import pages

# Backoff after a failed call. The maximum is shorter than the time in which an
# instance must catch up once it reaches the store again.
MIN_BACKOFF_S: Final = 0.1
MAX_BACKOFF_S: Final = 0.8

Listener = Callable[[tuple[base.Change, ...]], None]


class Mirror:
    """A local copy of the records under one prefix.

    Attributes:
        records_by_key: The records.
        revision: The revision up to which all changes are applied, 0 before
            the first load.
        is_connected: Whether the latest call succeeded.
        connected_since: Instant at which `is_connected` last became true.
    """

    def __init__(
        self,
        store: base.Store,
        prefix: str,
        batch_delay_s: float,
        max_wait_s: float | None,
    ) -> None:
        """Create an empty mirror; see `create_mirror`."""
        self._store = store
        self._prefix = prefix
        self._batch_delay_s = batch_delay_s
        self._max_wait_s = max_wait_s
        self._listeners: list[Listener] = []
        self._changed = anyio.Event()
        self.records_by_key: dict[str, base.Record] = {}
        self.revision = 0
        self.is_connected = False
        self.connected_since = 0.0

    def subscribe(self, listener: Listener) -> None:
        """Call `listener` with each batch of changes."""
        self._listeners.append(listener)

    async def wait(self) -> None:
        """Wait for the next change."""
        await self._changed.wait()

    async def run(self) -> None:
        """Load and watch the prefix until cancelled."""
        backoff_s = MIN_BACKOFF_S
        while True:
            if await self._load():
                backoff_s = MIN_BACKOFF_S
                await self._watch()
            await anyio.sleep(backoff_s)
            backoff_s = min(MAX_BACKOFF_S, 2.0 * backoff_s)

    async def _load(self) -> bool:
        """Read the whole prefix; return False if the store failed."""
        answer = await pages.read_all(self._store, self._prefix)
        if isinstance(answer, result.Failure):
            self._mark_disconnected(answer.failure().message)
            return False
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
        self._apply_changes(tuple(changes), page.revision)
        return True

    async def _watch(self) -> None:
        """Apply changes until the watch ends."""
        answers = self._store.watch(
            self._prefix, self.revision + 1, max_wait_s=self._max_wait_s
        )
        async for answer in answers:
            if isinstance(answer, result.Failure):
                self._mark_disconnected(answer.failure().message)
                return
            changes = answer.unwrap()
            if isinstance(changes, base.Compacted):
                logs.log_message("mirror:compacted", prefix=self._prefix)
                return
            self._mark_connected()
            self._apply_changes(changes.changes, changes.revision)
            if changes.changes:
                # Batches further changes, as each call is billed.
                await anyio.sleep(self._batch_delay_s)

    def _apply_changes(
        self, changes: tuple[base.Change, ...], revision: int
    ) -> None:
        for change in changes:
            if change.value is None:
                self.records_by_key.pop(change.key, None)
                continue
            self.records_by_key[change.key] = base.Record(
                change.key, change.value, change.revision
            )
        is_first = not self.revision
        self.revision = max(self.revision, revision)
        if not changes and not is_first:
            return
        for listener in self._listeners:
            self._announce(listener, changes)
        changed, self._changed = self._changed, anyio.Event()
        changed.set()

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
                prefix=self._prefix,
                keys=[change.key for change in changes],
            )

    def _mark_connected(self) -> None:
        if not self.is_connected:
            self.is_connected = True
            self.connected_since = deadlines.now()
            logs.log_message("mirror:connected", prefix=self._prefix)

    def _mark_disconnected(self, reason: str) -> None:
        if self.is_connected:
            self.is_connected = False
            logs.log_message(
                "mirror:disconnected", prefix=self._prefix, reason=reason
            )


def create_mirror(
    store: base.Store,
    prefix: str,
    *,
    batch_delay_s: float = 0.1,
    max_wait_s: float | None = None,
) -> Mirror:
    """Create a mirror of the keys under `prefix`.

    Args:
        store: The store.
        prefix: The prefix.
        batch_delay_s: Seconds to wait after each batch of changes.
        max_wait_s: Longest wait of the watch for a change in seconds; bounds
            how long a watch that nothing reaches any more is trusted. None
            for the store's default.
    """
    return Mirror(store, prefix, batch_delay_s, max_wait_s)
