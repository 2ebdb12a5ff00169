"""An instance's replica of the configuration.

A few instances of each zone watch the store, and the others receive changes
from their peers. Each replica knows the latest instant at which the store
confirmed that its revision was the newest.
"""

from collections.abc import Callable
import random

import anyio

from eelgrassgate import deadlines
from eelgrassgate import messages
from eelgrassgate import settings
from eelgrassgate.config import fleet as fleet_lib
from eelgrassgate.config import gossip as gossip_lib
from eelgrassgate.config import peers as peers_lib
from eelgrassgate.config import reports
from eelgrassgate.config import state as state_lib
from eelgrassgate.config import store_sync as store_sync_lib
from eelgrassgate.instances import base as instances
from eelgrassgate.keys import key_index
from eelgrassgate.link import base as link
from eelgrassgate.store import base

ListInstances = Callable[[], tuple[instances.Instance, ...]]


class Replica:
    """A replica of the configuration; see `create_replica`."""

    def __init__(
        self,
        state: state_lib.ConfigState,
        peers: peers_lib.Peers,
        gossip: gossip_lib.Gossip,
        store_sync: store_sync_lib.StoreSync,
        reporter: reports.Reporter,
    ) -> None:
        """Combine the parts of a replica."""
        self.state = state
        self.peers = peers
        self.reporter = reporter
        self._gossip = gossip
        self._store_sync = store_sync

    @property
    def fleet(self) -> fleet_lib.Fleet:
        """The configuration in force on this instance."""
        return self.state.fleet

    @property
    def revision(self) -> int:
        """The revision in force on this instance; 0 before the first."""
        return self.state.revision

    @property
    def confirmed_at(self) -> float:
        """When the store last confirmed the revision; see `ConfigState`."""
        return self.state.confirmed_at

    @property
    def keys(self) -> key_index.KeyIndex:
        """The keys in force on this instance."""
        return self.state.keys

    def subscribe(self, listener: state_lib.Listener) -> Callable[[], None]:
        """Call `listener` at each change; return a function to unsubscribe."""
        return self.state.subscribe(listener)

    def read_config_status(self) -> link.ConfigStatus:
        """Return the revision and its confirmation's age, for heartbeats."""
        return self._gossip.read_config_status()

    def connect(self, peer: link.Peer) -> None:
        """Add a connection."""
        self.peers.connect(peer)

    def disconnect(self, peer: link.Peer) -> None:
        """Remove a lost connection."""
        self.peers.disconnect(peer)

    def receive(self, peer: link.Peer, message: messages.AnyMessage) -> bool:
        """Handle a message; return False if it is not for the replica."""
        return self._gossip.receive(peer, message)

    async def run(self) -> None:
        """Keep the replica up to date until cancelled."""
        await self._store_sync.wait_for_peer_state()
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._store_sync.run_watch)
            tasks.start_soon(self._store_sync.run_head_checks)
            tasks.start_soon(self._gossip.run_heartbeats)
            tasks.start_soon(self.reporter.run)


def create_replica(
    store: base.Store,
    place: settings.Place,
    list_instances: ListInstances,
    incarnation: int = 1,
    clock: Callable[[], float] = deadlines.now,
    generator: random.Random | None = None,
) -> Replica:
    """Create an instance's replica of the configuration.

    Args:
        store: The key-value service.
        place: Where this instance runs.
        list_instances: Returns the entries of the platform's instance list.
        incarnation: The instance's incarnation, as in `messages.Hello`.
        clock: Returns the time in seconds, like `deadlines.now`.
        generator: Random number generator for jitter.
    """
    generator = generator or random.Random()
    state = state_lib.ConfigState()
    peers = peers_lib.Peers(place)
    gossip = gossip_lib.Gossip(state, peers, clock, generator)
    store_sync = store_sync_lib.StoreSync(
        store,
        state,
        peers,
        gossip,
        lambda: len(list_instances()),
        clock,
        generator,
    )
    reporter = reports.Reporter(
        store, place, incarnation, peers, state, list_instances
    )
    return Replica(state, peers, gossip, store_sync, reporter)
