"""What an instance knows of the other instances' configuration."""

from collections.abc import Iterator
from typing import Final

import msgspec
import xxhash

from eelgrassgate import messages
from eelgrassgate import settings
from eelgrassgate.link import base as link

ENTRY_SERVICE: Final = "entry"
ALL_WATCH_UP_TO: Final = 8
WATCHERS_PER_ZONE: Final = 3
_NEVER: Final = float("-inf")


class PeerState(msgspec.Struct, kw_only=True):
    """The latest that was heard of one peer, while it is connected.

    Attributes:
        peer: A connection to it.
        revision: The newest revision that it said it holds.
        acked_at: When it last answered a heartbeat; the instant at which
            the answered heartbeat was sent.
        confirmed_at: The latest instant at which the store certainly
            confirmed its configuration.
    """

    peer: link.Peer
    revision: int = 0
    acked_at: float = _NEVER
    confirmed_at: float = _NEVER


class Peers:
    """The other entries, by instance name."""

    def __init__(self, place: settings.Place) -> None:
        """Start with no peer."""
        self.newest_revision = 0
        self._place = place
        self._seen_by_name: dict[str, PeerState] = {}
        self._connections_by_name: dict[str, list[link.Peer]] = {}

    def connect(self, peer: link.Peer) -> None:
        """Take a connection."""
        if peer.hello.service != ENTRY_SERVICE:
            return
        name = peer.hello.instance
        if name == self._place.instance:
            return
        self._connections_by_name.setdefault(name, []).append(peer)
        seen = self._seen_by_name.get(name)
        if (
            seen is None
            or seen.peer.hello.incarnation != peer.hello.incarnation
        ):
            self._seen_by_name[name] = PeerState(peer=peer)

    def disconnect(self, peer: link.Peer) -> None:
        """Take the loss of a connection."""
        name = peer.hello.instance
        connections = self._connections_by_name.get(name, [])
        if peer not in connections:
            return
        connections.remove(peer)
        if not connections:
            del self._connections_by_name[name]
            del self._seen_by_name[name]
        else:
            self._seen_by_name[name].peer = connections[-1]

    def find(self, name: str) -> PeerState | None:
        """Return what was heard of `name` while it is connected."""
        return self._seen_by_name.get(name)

    def note_revision(self, peer: link.Peer, revision: int) -> None:
        """Take the revision that a heartbeat or its answer tells."""
        seen = self._seen_by_name.get(peer.hello.instance)
        if seen is not None and revision > seen.revision:
            seen.revision = revision
            self.newest_revision = max(self.newest_revision, revision)

    def note_answer(
        self, peer: link.Peer, ack: messages.HeartbeatAck, sent_at: float
    ) -> PeerState | None:
        """Take a heartbeat's answer; return what is known of the peer.

        Ages count from when the heartbeat was sent, so that an answer that
        lay in a buffer while this process was paused proves nothing new.
        """
        seen = self._seen_by_name.get(peer.hello.instance)
        if seen is None:
            return None
        seen.acked_at = max(seen.acked_at, sent_at)
        if ack.config_age_ms is not None:
            confirmed_at = sent_at - ack.config_age_ms / 1000.0
            seen.confirmed_at = max(seen.confirmed_at, confirmed_at)
        return seen

    def pick_source(self, revision: int) -> link.Peer | None:
        """Return the nearest peer that holds a newer revision, if any."""
        newer = (
            seen.peer
            for seen in self._seen_by_name.values()
            if seen.revision > revision
        )
        return min(newer, key=self._rank_distance, default=None)

    def list_all(self) -> Iterator[PeerState]:
        """Yield all connected peers."""
        yield from self._seen_by_name.values()

    def list_zone(self) -> Iterator[PeerState]:
        """Yield the connected peers of this instance's own zone."""
        for seen in self._seen_by_name.values():
            if seen.peer.hello.zone == self._place.zone:
                yield seen

    def rank_in_zone(self) -> int:
        """Return this instance's place in the zone's order of watchers."""
        own = _weigh(self._place.instance)
        return sum(
            _weigh(seen.peer.hello.instance) > own for seen in self.list_zone()
        )

    def is_watcher(self, known: int) -> bool:
        """Tell whether to watch the store, in a fleet of `known` entries."""
        connected = len(self._seen_by_name) + 1
        if max(connected, known) <= ALL_WATCH_UP_TO:
            return True
        return self.rank_in_zone() < WATCHERS_PER_ZONE

    def _rank_distance(self, peer: link.Peer) -> tuple[bool, bool, int]:
        return (
            peer.hello.region != self._place.region,
            peer.hello.zone != self._place.zone,
            _weigh(self._place.instance + peer.hello.instance),
        )


def _weigh(text: str) -> int:
    return xxhash.xxh3_64_intdigest(text.encode())
