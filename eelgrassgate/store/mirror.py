"""A copy of all keys under a prefix, kept up to date by a watch."""

from collections.abc import Callable
from typing import Final

import anyio
from returns import result

from eelgrassgate import deadlines
from eelgrassgate import logs
from eelgrassgate.store import base

# First and longest pause after a failed call; the longest lies below the time
# in which an instance that reaches the store again must have caught up.
FIRST_PAUSE_S: Final = 0.1
LAST_PAUSE_S: Final = 0.8

Listener = Callable[[tuple[base.Change, ...]], None]


class Mirror:
    """The records under one prefix.

    Attributes:
        records_by_key: The copy.
        revision: The revision up to which it is complete, 0 before the first
            load.
        is_connected: Whether the last call succeeded.
        disconnected_until: Instant at which it last became connected again.
    """

    def __init__(self, store: base.Store, prefix: str, gap_s: float) -> None:
        """Create an empty copy; see `create_mirror`."""
        self._store = store
        self._prefix = prefix
        self._gap_s = gap_s
        self._listeners: list[Listener] = []
        self._changed = anyio.Event()
        self.records_by_key: dict[str, base.Record] = {}
        self.revision = 0
        self.is_connected = False
        self.disconnected_until = 0.0

    def subscribe(self, listener: Listener) -> None:
        """Call `listener` with each group of changes."""
        self._listeners.append(listener)

    async def wait(self) -> None:
        """Wait for the next change."""
        await self._changed.wait()

    async def run(self) -> None:
        """Follow the store until cancelled."""
        pause_s = FIRST_PAUSE_S
        while True:
            if await self._load():
                pause_s = FIRST_PAUSE_S
                await self._follow()
            await anyio.sleep(pause_s)
            pause_s = min(LAST_PAUSE_S, 2.0 * pause_s)

    async def _load(self) -> bool:
        """Read everything afresh; return False if the store failed."""
        found_by_key: dict[str, base.Record] = {}
        first = 0
        after = ""
        while True:
            answer = await self._store.read_range(self._prefix, after=after)
            if isinstance(answer, result.Failure):
                self._note_lost(answer.failure().message)
                return False
            page = answer.unwrap()
            # Pages may differ in age; the watch starts from the oldest.
            first = first or page.revision
            found_by_key.update((one.key, one) for one in page.records)
            if not page.has_more or not page.records:
                break
            after = page.records[-1].key
        self._note_connected()
        changes = [
            base.Change(key, None, first)
            for key in self.records_by_key
            if key not in found_by_key
        ]
        for key, record in found_by_key.items():
            known = self.records_by_key.get(key)
            if known is None or known.revision != record.revision:
                changes.append(base.Change(key, record.value, record.revision))
        self._apply(tuple(changes), first)
        return True

    async def _follow(self) -> None:
        """Apply changes until the watch ends."""
        answers = self._store.watch(self._prefix, self.revision + 1)
        async for answer in answers:
            if isinstance(answer, result.Failure):
                self._note_lost(answer.failure().message)
                return
            changes = answer.unwrap()
            if isinstance(changes, base.Compacted):
                logs.log_message("mirror:compacted", prefix=self._prefix)
                return
            self._note_connected()
            self._apply(changes.changes, changes.revision)
            if changes.changes:
                # Lets further changes gather, since each call is priced.
                await anyio.sleep(self._gap_s)

    def _apply(self, changes: tuple[base.Change, ...], revision: int) -> None:
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
            listener(changes)
        changed, self._changed = self._changed, anyio.Event()
        changed.set()

    def _note_connected(self) -> None:
        if not self.is_connected:
            self.is_connected = True
            self.disconnected_until = deadlines.now()
            logs.log_message("mirror:connected", prefix=self._prefix)

    def _note_lost(self, reason: str) -> None:
        if self.is_connected:
            self.is_connected = False
            logs.log_message("mirror:lost", prefix=self._prefix, reason=reason)


def create_mirror(
    store: base.Store, prefix: str, *, gap_s: float = 0.1
) -> Mirror:
    """Create a copy of the keys under `prefix`.

    Args:
        store: The store.
        prefix: The prefix.
        gap_s: Pause in seconds after changes, so that more come at once.
    """
    return Mirror(store, prefix, gap_s)
