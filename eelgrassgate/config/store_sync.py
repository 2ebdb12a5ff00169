"""Synchronizes the configuration of an instance with the store.

A few instances of each zone watch the store (watchers). All instances, also the
others (followers), periodically compare their state with the head record.
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

WATCHER_CHECK_INTERVAL_S: Final = 2.0
FOLLOWER_CHECK_INTERVAL_S: Final = 30.0
MAX_CONFIRMATION_AGE_S: Final = 5.0
MIN_BACKOFF_S: Final = 0.2
MAX_BACKOFF_S: Final = 8.0
MAX_FLEET_CALLS_PER_S: Final = 100.0
ROLE_CHECK_INTERVAL_S: Final = 0.5
PEER_STATE_TIMEOUT_S: Final = 1.0
CATCH_UP_TIMEOUT_S: Final = 1.0
_LOG: Final[Any] = eliot.log_message


class StoreSync:
    """Updates the configuration state from the store."""

    def __init__(
        self,
        store: base.Store,
        state: state_lib.ConfigState,
        peers: peers_lib.Peers,
        gossip: gossip_lib.Gossip,
        count_instances: Callable[[], int],
        clock: Callable[[], float],
        generator: random.Random,
    ) -> None:
        """Update `state` from `store`; `gossip` forwards changes to peers."""
        self._store = store
        self._state = state
        self._peers = peers
        self._gossip = gossip
        self._count_instances = count_instances
        self._clock = clock
        self._random = generator
        self._is_store_reachable = True
        self._is_compacted = False

    async def wait_for_peer_state(self) -> None:
        """In a large fleet, wait for a peer to send the first state."""
        if self._count_instances() <= peers_lib.MAX_ENTRIES_ALL_WATCHING:
            return
        with anyio.move_on_after(
            PEER_STATE_TIMEOUT_S + self._compute_stagger_s()
        ):
            while not self._state.revision:
                await anyio.sleep(ROLE_CHECK_INTERVAL_S / 5)

    def _is_watcher(self) -> bool:
        return self._peers.is_watcher(self._count_instances())

    def _compute_stagger_s(self) -> float:
        """Return a random delay that bounds the fleet's rate of calls."""
        count = max(1, self._count_instances())
        return self._random.uniform(0, count / MAX_FLEET_CALLS_PER_S)

    async def run_watch(self) -> None:
        """Watch the store while this instance is a watcher."""
        backoff_s = MIN_BACKOFF_S
        while True:
            if not self._is_watcher():
                await anyio.sleep(ROLE_CHECK_INTERVAL_S)
                continue
            started_at = self._clock()
            await self._watch()
            if self._clock() - started_at > MAX_BACKOFF_S:
                backoff_s = MIN_BACKOFF_S
            stagger_s = min(1.0, self._compute_stagger_s())
            await anyio.sleep(
                backoff_s * self._random.uniform(0.5, 1) + stagger_s
            )
            backoff_s = min(MAX_BACKOFF_S, backoff_s * 2)

    async def _watch(self) -> None:
        """Watch for changes after the current state until the watch ends."""
        revision = await self._find_watch_start()
        if revision is None:
            return
        answers = cast(Any, self._store.watch(records.PREFIX, revision + 1))
        async with contextlib.aclosing(answers):
            await self._process_watch(answers)

    async def _find_watch_start(self) -> int | None:
        """Return the store's revision of the state; reload a stale state first.

        If the watch merely broke, this reads only the head: every change
        updates the head, so an equal head means that no change was missed.
        """
        if self._state.revision and not self._is_compacted:
            answer = await snapshot_lib.read_head(self._store)
            if isinstance(answer, result.Failure):
                return None
            found = answer.unwrap()
            if self._is_in_sync(found.head):
                return found.store_revision
        snapshot = await self._reload()
        if snapshot is None:
            return None
        self._is_compacted = False
        return snapshot.store_revision

    def _is_in_sync(self, head: records.Head) -> bool:
        if not head.revision:
            return not self._state.revision
        return (head.revision, head.digest) == (
            self._state.revision,
            self._state.digest,
        )

    async def _process_watch(
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
                self._apply_changes(changes)
            except msgspec.DecodeError:
                # Written by a newer version. The next read of the store fails
                # as well and logs the store as not reached.
                return

    def _apply_changes(self, changes: base.Changes) -> None:
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
        old_revision = self._state.revision
        if self._state.apply_chunks(head, chunks_by_key):
            self._gossip.push_to_zone(old_revision)

    async def _reload(self) -> snapshot_lib.Snapshot | None:
        """Read the whole configuration and apply it unless it is older."""
        requested_at = self._clock()
        answer = await snapshot_lib.read(self._store)
        self._record_reachability(isinstance(answer, result.Success))
        if isinstance(answer, result.Failure):
            return None
        snapshot = answer.unwrap()
        old_revision = self._state.revision
        if self._state.apply_snapshot(snapshot):
            self._state.confirm(requested_at)
            if old_revision:
                self._gossip.push_to_zone(old_revision)
        return snapshot

    async def run_head_checks(self) -> None:
        """Compare the state with the store's head periodically."""
        backoff_s = MIN_BACKOFF_S
        while True:
            await anyio.sleep(self._compute_check_delay_s())
            while not await self._check():
                await anyio.sleep(backoff_s * self._random.uniform(0.5, 1))
                backoff_s = min(MAX_BACKOFF_S, backoff_s * 2)
                if self._is_recently_confirmed():
                    break
            backoff_s = MIN_BACKOFF_S

    def _compute_check_delay_s(self) -> float:
        """Return how long to wait before the next check of the head."""
        if self._is_watcher():
            return WATCHER_CHECK_INTERVAL_S * self._random.uniform(0.75, 1)
        if self._is_recently_confirmed():
            return FOLLOWER_CHECK_INTERVAL_S * self._random.uniform(0.5, 1)
        return WATCHER_CHECK_INTERVAL_S * self._random.uniform(0.5, 1)

    def _is_recently_confirmed(self) -> bool:
        return (
            self._clock() - self._state.confirmed_at <= MAX_CONFIRMATION_AGE_S
        )

    async def _check(self) -> bool:
        """Compare with the store's head; return whether it was readable."""
        requested_at = self._clock()
        answer = await snapshot_lib.read_head(self._store)
        self._record_reachability(isinstance(answer, result.Success))
        if isinstance(answer, result.Failure):
            return False
        head = answer.unwrap().head
        if head.revision > self._state.revision:
            await self._catch_up(head.revision)
        elif self._is_in_sync(head):
            self._state.confirm(requested_at)
        elif head.revision == self._state.revision:
            await self._reload()
        return True

    async def _catch_up(self, revision: int) -> None:
        """Wait briefly for peers and the watch, then reload."""
        if self._state.revision:
            with anyio.move_on_after(CATCH_UP_TIMEOUT_S):
                while self._state.revision < revision:
                    await anyio.sleep(CATCH_UP_TIMEOUT_S / 10)
        if self._state.revision < revision:
            await self._reload()

    def _record_reachability(self, is_reached: bool) -> None:
        if is_reached != self._is_store_reachable:
            self._is_store_reachable = is_reached
            _LOG(
                "config:store",
                is_reached=is_reached,
                revision=self._state.revision,
            )
