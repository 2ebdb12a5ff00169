"""The part of a configuration's copy that deals with the store.

A few instances of each zone watch it; all compare their copy with its head
from time to time.
"""

from collections.abc import AsyncIterator
from collections.abc import Callable
import contextlib
import random
from typing import Any
from typing import cast
from typing import Final

import anyio
import eliot
import msgspec
from returns import result

from eelgrassgate.config import gossip as gossip_lib
from eelgrassgate.config import peers as peers_lib
from eelgrassgate.config import records
from eelgrassgate.config import snapshot as snapshot_lib
from eelgrassgate.config import state as state_lib
from eelgrassgate.store import base

WATCHER_CHECK_S: Final = 2.0
FOLLOWER_CHECK_S: Final = 30.0
FRESH_S: Final = 5.0
MIN_BACKOFF_S: Final = 0.2
MAX_BACKOFF_S: Final = 8.0
REOPENS_PER_S: Final = 100.0
ROLE_CHECK_S: Final = 0.5
PEER_WAIT_S: Final = 1.0
CATCH_UP_S: Final = 1.0
_LOG: Final[Any] = eliot.log_message


class StoreSync:
    """Keeps a copy current by the store."""

    def __init__(
        self,
        store: base.Store,
        state: state_lib.ConfigState,
        peers: peers_lib.Peers,
        gossip: gossip_lib.Gossip,
        count_known: Callable[[], int],
        clock: Callable[[], float],
        generator: random.Random,
    ) -> None:
        """Keep `held` current by `store`; `gossip` passes changes on."""
        self._store = store
        self._state = state
        self._peers = peers
        self._gossip = gossip
        self._count_known = count_known
        self._clock = clock
        self._random = generator
        self._is_store_reached = True
        self._is_compacted = False

    async def await_peer(self) -> None:
        """Let a nearby peer bring the first state, if the fleet is large."""
        if self._count_known() <= peers_lib.ALL_WATCH_UP_TO:
            return
        with anyio.move_on_after(PEER_WAIT_S + self._spread()):
            while not self._state.revision:
                await anyio.sleep(ROLE_CHECK_S / 5)

    def _is_watcher(self) -> bool:
        return self._peers.is_watcher(self._count_known())

    def _spread(self) -> float:
        """Return a random pause that bounds the whole fleet's call rate."""
        count = max(1, self._count_known())
        return self._random.uniform(0, count / REOPENS_PER_S)

    async def keep_watching(self) -> None:
        """Watch the store while this is a watcher's part."""
        pause_s = MIN_BACKOFF_S
        while True:
            if not self._is_watcher():
                await anyio.sleep(ROLE_CHECK_S)
                continue
            started_at = self._clock()
            await self._watch()
            if self._clock() - started_at > MAX_BACKOFF_S:
                pause_s = MIN_BACKOFF_S
            watchers = min(1.0, self._spread())
            await anyio.sleep(pause_s * self._random.uniform(0.5, 1) + watchers)
            pause_s = min(MAX_BACKOFF_S, pause_s * 2)

    async def _watch(self) -> None:
        """Follow the changes after the state held until the watch ends."""
        revision = await self._find_start()
        if revision is None:
            return
        answers = cast(Any, self._store.watch(records.PREFIX, revision + 1))
        async with contextlib.aclosing(answers):
            await self._follow(answers)

    async def _find_start(self) -> int | None:
        """Return the store's revision of the state held; read all if behind.

        A watch that only broke costs one small read: every change touches the
        head, so none can lie between it and an equal state.
        """
        if self._state.revision and not self._is_compacted:
            answer = await snapshot_lib.read_head(self._store)
            if isinstance(answer, result.Failure):
                return None
            found = answer.unwrap()
            if self._is_equal(found.head):
                return found.store_revision
        snapshot = await self._refresh()
        if snapshot is None:
            return None
        self._is_compacted = False
        return snapshot.store_revision

    def _is_equal(self, head: records.Head) -> bool:
        if not head.revision:
            return not self._state.revision
        return (head.revision, head.digest) == (
            self._state.revision,
            self._state.digest,
        )

    async def _follow(
        self,
        answers: AsyncIterator[
            result.Result[base.Changes | base.Compacted, base.StoreError]
        ],
    ) -> None:
        async for answer in answers:
            if isinstance(answer, result.Failure):
                return
            changes = answer.unwrap()
            if isinstance(changes, base.Compacted):
                self._is_compacted = True
                return
            if not self._is_watcher():
                return
            try:
                self._take_changes(changes)
            except msgspec.DecodeError:
                # Of a newer version; reading all says so to the operator.
                return

    def _take_changes(self, changes: base.Changes) -> None:
        head: records.Head | None = None
        chunks_by_key: dict[str, records.Chunk] = {}
        for change in changes.changes:
            if change.value is None:
                continue
            if change.key == records.HEAD_KEY:
                head = snapshot_lib.decode_head(change.value)
            elif change.key.startswith(records.CHUNK_PREFIX):
                chunks_by_key[change.key] = snapshot_lib.decode_chunk(
                    change.value
                )
        if head is None:
            return
        before = self._state.revision
        if self._state.apply_chunks(head, chunks_by_key):
            self._gossip.tell_zone(before)

    async def _refresh(self) -> snapshot_lib.Snapshot | None:
        """Read all from the store and take it unless it is older."""
        asked_at = self._clock()
        answer = await snapshot_lib.read(self._store)
        self._note_store(isinstance(answer, result.Success))
        if isinstance(answer, result.Failure):
            return None
        snapshot = answer.unwrap()
        before = self._state.revision
        if self._state.apply_snapshot(snapshot):
            self._state.confirm(asked_at)
            if before:
                self._gossip.tell_zone(before)
        return snapshot

    async def keep_checking(self) -> None:
        """Compare with the store's head from time to time."""
        pause_s = MIN_BACKOFF_S
        while True:
            await anyio.sleep(self._compute_wait())
            while not await self._check():
                await anyio.sleep(pause_s * self._random.uniform(0.5, 1))
                pause_s = min(MAX_BACKOFF_S, pause_s * 2)
                if self._is_fresh():
                    break
            pause_s = MIN_BACKOFF_S

    def _compute_wait(self) -> float:
        """Return how long to wait before the next look at the head."""
        if self._is_watcher():
            return WATCHER_CHECK_S * self._random.uniform(0.75, 1)
        if self._is_fresh():
            return FOLLOWER_CHECK_S * self._random.uniform(0.5, 1)
        return WATCHER_CHECK_S * self._random.uniform(0.5, 1)

    def _is_fresh(self) -> bool:
        return self._clock() - self._state.confirmed_at <= FRESH_S

    async def _check(self) -> bool:
        """Compare with the store's head; return whether it was reached."""
        asked_at = self._clock()
        answer = await snapshot_lib.read_head(self._store)
        self._note_store(isinstance(answer, result.Success))
        if isinstance(answer, result.Failure):
            return False
        head = answer.unwrap().head
        if head.revision > self._state.revision:
            await self._catch_up(head.revision)
        elif self._is_equal(head):
            self._state.confirm(asked_at)
        elif head.revision == self._state.revision:
            await self._refresh()
        return True

    async def _catch_up(self, revision: int) -> None:
        """Give peers and the watch a moment, then read all."""
        if self._state.revision:
            with anyio.move_on_after(CATCH_UP_S):
                while self._state.revision < revision:
                    await anyio.sleep(CATCH_UP_S / 10)
        if self._state.revision < revision:
            await self._refresh()

    def _note_store(self, is_reached: bool) -> None:
        if is_reached != self._is_store_reached:
            self._is_store_reached = is_reached
            _LOG(
                "config:store",
                is_reached=is_reached,
                revision=self._state.revision,
            )
