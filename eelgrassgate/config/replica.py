"""An instance's copy of the configuration.

A few instances of each zone watch the store; the others take changes from
their peers. Each knows the latest instant at which the store confirmed that
no newer revision than its own existed.
"""

from collections.abc import Callable
import random

import anyio

from eelgrassgate import deadlines
from eelgrassgate import messages
from eelgrassgate import settings
from eelgrassgate.config import fleet as fleet_lib
from eelgrassgate.config import follower as follower_lib
from eelgrassgate.config import gossip as gossip_lib
from eelgrassgate.config import held as held_lib
from eelgrassgate.config import peers as peers_lib
from eelgrassgate.config import reports
from eelgrassgate.instances import base as instances
from eelgrassgate.keys import verdicts
from eelgrassgate.link import base as link
from eelgrassgate.store import base

ListKnown = Callable[[], tuple[instances.Instance, ...]]


class Replica:
    """An instance's copy of the configuration; see `create_replica`."""

    def __init__(
        self,
        held: held_lib.Held,
        peers: peers_lib.Peers,
        gossip: gossip_lib.Gossip,
        follower: follower_lib.Follower,
        reporter: reports.Reporter,
    ) -> None:
        """Put the parts of a copy together."""
        self.held = held
        self.peers = peers
        self.reporter = reporter
        self._gossip = gossip
        self._follower = follower

    @property
    def fleet(self) -> fleet_lib.Fleet:
        """The configuration in force here."""
        return self.held.fleet

    @property
    def revision(self) -> int:
        """The revision in force here; 0 before the first."""
        return self.held.revision

    @property
    def confirmed_at(self) -> float:
        """When the store last confirmed it, as `Held.confirmed_at`."""
        return self.held.confirmed_at

    @property
    def keys(self) -> verdicts.KeyIndex:
        """The keys in force here."""
        return self.held.keys

    def subscribe(self, listener: held_lib.Listener) -> Callable[[], None]:
        """Call `listener` at each change; return what ends that."""
        return self.held.subscribe(listener)

    def read_config_status(self) -> link.ConfigStatus:
        """Return what heartbeats tell of this copy."""
        return self._gossip.read_config_status()

    def connect(self, peer: link.Peer) -> None:
        """Take a connection."""
        self.peers.connect(peer)

    def disconnect(self, peer: link.Peer) -> None:
        """Take the loss of a connection."""
        self.peers.disconnect(peer)

    def receive(self, peer: link.Peer, message: messages.AnyMessage) -> bool:
        """Take a message; return False if it is not for the replica."""
        return self._gossip.receive(peer, message)

    async def run(self) -> None:
        """Keep the copy current until cancelled."""
        await self._follower.await_peer()
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._follower.keep_watching)
            tasks.start_soon(self._follower.keep_checking)
            tasks.start_soon(self._gossip.keep_asking)
            tasks.start_soon(self.reporter.run)


def create_replica(
    store: base.Store,
    place: settings.Place,
    list_known: ListKnown,
    incarnation: int = 1,
    clock: Callable[[], float] = deadlines.now,
    generator: random.Random | None = None,
) -> Replica:
    """Create an instance's copy of the configuration.

    Args:
        store: The key-value service.
        place: Where this instance runs.
        list_known: Returns the entries of the platform's instance list.
        incarnation: The number of this start, as in `messages.Hello`.
        clock: Tells the time in seconds, as `deadlines.now`.
        generator: Source of jitter.
    """
    generator = generator or random.Random()
    held = held_lib.Held()
    peers = peers_lib.Peers(place)
    gossip = gossip_lib.Gossip(held, peers, clock, generator)
    follower = follower_lib.Follower(
        store,
        held,
        peers,
        gossip,
        lambda: len(list_known()),
        clock,
        generator,
    )
    reporter = reports.Reporter(
        store, place, incarnation, peers, held, list_known
    )
    return Replica(held, peers, gossip, follower, reporter)
