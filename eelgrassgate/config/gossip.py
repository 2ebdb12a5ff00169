"""Exchanges configuration changes and confirmations with peers.

Changes and confirmations spread from peer to peer, without reads of the store.
"""

from collections.abc import Callable
import random
from typing import Final

import anyio

from eelgrassgate import messages
from eelgrassgate.config import peers as peers_lib
from eelgrassgate.config import state as state_lib
from eelgrassgate.link import base as link

PULL_RETRY_INTERVAL_S: Final = 1.0
HEARTBEAT_INTERVAL_S: Final = 1.0
HEARTBEAT_ALL_AFTER_S: Final = 3.0
HEARTBEAT_FANOUT: Final = 3
_MS_PER_S: Final = 1000.0
_NEVER: Final = float("-inf")


class Gossip:
    """Exchanges changes and confirmations with connected peers."""

    def __init__(
        self,
        state: state_lib.ConfigState,
        peers: peers_lib.Peers,
        clock: Callable[[], float],
        generator: random.Random,
    ) -> None:
        """Update `state` from `peers`."""
        self._state = state
        self._peers = peers
        self._clock = clock
        self._random = generator
        self._pulled_at = _NEVER

    def read_config_status(self) -> link.ConfigStatus:
        """Return the revision and its confirmation's age, for heartbeats."""
        if self._state.confirmed_at == _NEVER:
            return link.ConfigStatus(self._state.revision)
        # Rounded up, so that peers never underestimate the age.
        age_ms = int((self._clock() - self._state.confirmed_at) * _MS_PER_S) + 1
        return link.ConfigStatus(self._state.revision, age_ms)

    def receive(self, peer: link.Peer, message: messages.AnyMessage) -> bool:
        """Handle a message; return False if it is not for this module."""
        match message:
            case messages.Heartbeat():
                self._peers.record_revision(peer, message.config_revision)
            case messages.HeartbeatAck():
                self._peers.record_revision(peer, message.config_revision)
                self._handle_ack(peer, message)
            case messages.PullConfig():
                if self._state.revision > message.revision:
                    peer.send(self._state.build_push(message.revision))
            case messages.PushConfig():
                if self._state.apply_push(message):
                    self._pulled_at = _NEVER
                    for peer_state in self._peers.list_all():
                        self._confirm_from(peer_state)
            case _:
                return False
        self._pull()
        return True

    def push_to_zone(self, old_revision: int) -> None:
        """Push the changes to the peers of this zone that lack them."""
        push: messages.PushConfig | None = None
        for peer_state in self._peers.list_own_zone():
            if old_revision <= peer_state.revision < self._state.revision:
                push = push or self._state.build_push(old_revision)
                peer_state.peer.send(push)

    async def run_heartbeats(self) -> None:
        """Send heartbeats to peers without a recent ack, until cancelled.

        Peers that opened the connection receive no heartbeats otherwise, and
        only the ack of a heartbeat sent from here has a known age. A few peers
        are enough while their acks confirm this state; once none does, all are
        probed to find out whether the store is down for all of them.
        """
        while True:
            for peer_state in self._choose_heartbeat_peers():
                peer_state.peer.send(self._create_heartbeat())
            await anyio.sleep(HEARTBEAT_INTERVAL_S)

    def _choose_heartbeat_peers(self) -> list[peers_lib.PeerState]:
        now = self._clock()
        unacked = [
            peer_state
            for peer_state in self._peers.list_all()
            if now - peer_state.acked_at > HEARTBEAT_INTERVAL_S
        ]
        if now - self._state.confirmed_at > HEARTBEAT_ALL_AFTER_S:
            return unacked
        return self._random.sample(unacked, min(HEARTBEAT_FANOUT, len(unacked)))

    def _create_heartbeat(self) -> messages.Heartbeat:
        status = self.read_config_status()
        return messages.Heartbeat(
            sent_ms=int(self._clock() * _MS_PER_S),
            config_revision=status.config_revision,
            config_age_ms=status.config_age_ms,
        )

    def _handle_ack(self, peer: link.Peer, ack: messages.HeartbeatAck) -> None:
        sent_at = min(ack.sent_ms / _MS_PER_S, self._clock())
        peer_state = self._peers.record_ack(peer, ack, sent_at)
        if peer_state is not None:
            self._confirm_from(peer_state)

    def _confirm_from(self, peer_state: peers_lib.PeerState) -> None:
        """Adopt a peer's confirmation if its revision is not newer."""
        if peer_state.revision <= self._state.revision:
            self._state.confirm(peer_state.confirmed_at)

    def _pull(self) -> None:
        if self._peers.newest_revision <= self._state.revision:
            return
        now = self._clock()
        if now - self._pulled_at < PULL_RETRY_INTERVAL_S:
            return
        source = self._peers.pick_source(self._state.revision)
        if source is not None and source.send(
            messages.PullConfig(revision=self._state.revision)
        ):
            self._pulled_at = now
