"""The part of a configuration's copy that deals with other instances.

Changes travel between peers without the store, and so do its confirmations.
"""

from collections.abc import Callable
import random
from typing import Final

import anyio

from eelgrassgate import messages
from eelgrassgate.config import held as held_lib
from eelgrassgate.config import peers as peers_lib
from eelgrassgate.link import base as link

PULL_RETRY_S: Final = 1.0
ASK_S: Final = 1.0
ASK_ALL_AFTER_S: Final = 3.0
ASKED: Final = 3
_MS_PER_S: Final = 1000.0
_NEVER: Final = float("-inf")


class Gossip:
    """Exchanges changes and confirmations with connected peers."""

    def __init__(
        self,
        held: held_lib.Held,
        peers: peers_lib.Peers,
        clock: Callable[[], float],
        generator: random.Random,
    ) -> None:
        """Keep `held` current by `peers`."""
        self._held = held
        self._peers = peers
        self._clock = clock
        self._random = generator
        self._pulled_at = _NEVER

    def read_config_status(self) -> link.ConfigStatus:
        """Return what heartbeats tell of this copy."""
        if self._held.confirmed_at == _NEVER:
            return link.ConfigStatus(self._held.revision)
        # Ages round up, so that nobody takes them for younger.
        age_ms = int((self._clock() - self._held.confirmed_at) * _MS_PER_S) + 1
        return link.ConfigStatus(self._held.revision, age_ms)

    def receive(self, peer: link.Peer, message: messages.AnyMessage) -> bool:
        """Take a message; return False if it is not of this kind."""
        match message:
            case messages.Heartbeat():
                self._peers.note_revision(peer, message.config_revision)
            case messages.HeartbeatAck():
                self._peers.note_revision(peer, message.config_revision)
                self._take_answer(peer, message)
            case messages.PullConfig():
                if self._held.revision > message.revision:
                    peer.send(self._held.build_push(message.revision))
            case messages.PushConfig():
                if self._held.adopt_push(message):
                    self._pulled_at = _NEVER
                    for seen in self._peers.list_all():
                        self._confirm_by(seen)
            case _:
                return False
        self._pull()
        return True

    def tell_zone(self, before: int) -> None:
        """Send peers of this zone what they lack, without being asked."""
        push: messages.PushConfig | None = None
        for seen in self._peers.list_zone():
            if before <= seen.revision < self._held.revision:
                push = push or self._held.build_push(before)
                seen.peer.send(push)

    async def keep_asking(self) -> None:
        """Send heartbeats where the other side opened the connection.

        Only answers to one's own heartbeats prove when they were given. A few
        suffice while they confirm this copy; all are asked for evidence of an
        outage once nobody does.
        """
        while True:
            for seen in self._choose_asked():
                seen.peer.send(self._create_heartbeat())
            await anyio.sleep(ASK_S)

    def _choose_asked(self) -> list[peers_lib.Seen]:
        now = self._clock()
        silent = [
            seen
            for seen in self._peers.list_all()
            if now - seen.answered_at > ASK_S
        ]
        if now - self._held.confirmed_at > ASK_ALL_AFTER_S:
            return silent
        return self._random.sample(silent, min(ASKED, len(silent)))

    def _create_heartbeat(self) -> messages.Heartbeat:
        beat = self.read_config_status()
        return messages.Heartbeat(
            sent_ms=int(self._clock() * _MS_PER_S),
            config_revision=beat.config_revision,
            config_age_ms=beat.config_age_ms,
        )

    def _take_answer(self, peer: link.Peer, ack: messages.HeartbeatAck) -> None:
        sent_at = min(ack.sent_ms / _MS_PER_S, self._clock())
        seen = self._peers.note_answer(peer, ack, sent_at)
        if seen is not None:
            self._confirm_by(seen)

    def _confirm_by(self, seen: peers_lib.Seen) -> None:
        """Take over a confirmation of a revision that is not above ours."""
        if seen.revision <= self._held.revision:
            self._held.confirm(seen.confirmed_at)

    def _pull(self) -> None:
        if self._peers.newest_revision <= self._held.revision:
            return
        now = self._clock()
        if now - self._pulled_at < PULL_RETRY_S:
            return
        source = self._peers.pick_source(self._held.revision)
        if source is not None and source.send(
            messages.PullConfig(revision=self._held.revision)
        ):
            self._pulled_at = now
