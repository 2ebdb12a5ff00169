"""The configuration state of the connected peers."""

from collections.abc import Iterator
from typing import Final

import msgspec
import xxhash

from eelgrassgate import messages
from eelgrassgate import settings
from eelgrassgate.link import base as link

ENTRY_SERVICE: Final = "entry"
# Up to this number of entries, all of them watch the store.
MAX_ENTRIES_ALL_WATCHING: Final = 8
WATCHERS_PER_ZONE: Final = 3
_NEVER: Final = float("-inf")


class PeerState(msgspec.Struct, kw_only=True):
    """The latest state of one connected peer.

    Attributes:
        peer: A connection to the peer.
        revision: The newest revision that the peer has reported.
        acked_at: When the latest acknowledged heartbeat was sent.
        confirmed_at: The latest instant at which the store is known to have
            confirmed the peer's configuration.
    """

    peer: link.Peer
    revision: int = 0
    acked_at: float = _NEVER
    confirmed_at: float = _NEVER


class Peers:
    """The connected entry instances, by name."""

    def __init__(self, place: settings.Place) -> None:
        """Start without peers."""
        self.newest_revision = 0
        self._place = place
        self._states_by_name: dict[str, PeerState] = {}
        self._connections_by_name: dict[str, list[link.Peer]] = {}

    def connect(self, peer: link.Peer) -> None:
        """Add a connection."""
        if peer.hello.service != ENTRY_SERVICE:
            return
        name = peer.hello.instance
        if name == self._place.instance:
            return
        self._connections_by_name.setdefault(name, []).append(peer)
        peer_state = self._states_by_name.get(name)
        if (
            peer_state is None
            or peer_state.peer.hello.incarnation != peer.hello.incarnation
        ):
            self._states_by_name[name] = PeerState(peer=peer)

    def disconnect(self, peer: link.Peer) -> None:
        """Remove a lost connection."""
        name = peer.hello.instance
        connections = self._connections_by_name.get(name, [])
        if peer not in connections:
            return
        connections.remove(peer)
        if not connections:
            del self._connections_by_name[name]
            del self._states_by_name[name]
        else:
            self._states_by_name[name].peer = connections[-1]

    def find(self, name: str) -> PeerState | None:
        """Return the state of `name` if it is connected."""
        return self._states_by_name.get(name)

    def record_revision(self, peer: link.Peer, revision: int) -> None:
        """Record the revision of a heartbeat or its ack."""
        peer_state = self._states_by_name.get(peer.hello.instance)
        if peer_state is not None and revision > peer_state.revision:
            peer_state.revision = revision
            self.newest_revision = max(self.newest_revision, revision)

    def record_ack(
        self, peer: link.Peer, ack: messages.HeartbeatAck, sent_at: float
    ) -> PeerState | None:
        """Record the ack of a heartbeat; return the state of the peer.

        Ages are relative to when the heartbeat was sent, as the ack may have
        been buffered while this process was paused.
        """
        peer_state = self._states_by_name.get(peer.hello.instance)
        if peer_state is None:
            return None
        peer_state.acked_at = max(peer_state.acked_at, sent_at)
        if ack.config_age_ms is not None:
            confirmed_at = sent_at - ack.config_age_ms / 1000.0
            peer_state.confirmed_at = max(peer_state.confirmed_at, confirmed_at)
        return peer_state

    def pick_source(self, revision: int) -> link.Peer | None:
        """Return the nearest peer with a newer revision, if any."""
        newer = (
            peer_state.peer
            for peer_state in self._states_by_name.values()
            if peer_state.revision > revision
        )
        return min(newer, key=self._compute_distance, default=None)

    def list_all(self) -> Iterator[PeerState]:
        """Yield all connected peers."""
        yield from self._states_by_name.values()

    def list_own_zone(self) -> Iterator[PeerState]:
        """Yield the connected peers of this instance's own zone."""
        for peer_state in self._states_by_name.values():
            if peer_state.peer.hello.zone == self._place.zone:
                yield peer_state

    def rank_in_zone(self) -> int:
        """Return this instance's rank among its zone's potential watchers."""
        own = _hash_name(self._place.instance)
        return sum(
            _hash_name(peer_state.peer.hello.instance) > own
            for peer_state in self.list_own_zone()
        )

    def is_watcher(self, instance_count: int) -> bool:
        """Return whether to watch the store, given the number of entries."""
        connected = len(self._states_by_name) + 1
        if max(connected, instance_count) <= MAX_ENTRIES_ALL_WATCHING:
            return True
        return self.rank_in_zone() < WATCHERS_PER_ZONE

    def _compute_distance(self, peer: link.Peer) -> tuple[bool, bool, int]:
        return (
            peer.hello.region != self._place.region,
            peer.hello.zone != self._place.zone,
            _hash_name(self._place.instance + peer.hello.instance),
        )


def _hash_name(text: str) -> int:
    return xxhash.xxh3_64_intdigest(text.encode())
