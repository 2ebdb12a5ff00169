"""Simulation of replicas of the configuration, connected by fake links.

All share one store, which can fail in each zone separately. It runs in virtual
time; see `standins.virtual`.
"""

import asyncio
from collections.abc import AsyncIterator
from collections.abc import Iterator
import contextlib
import random
from typing import Final

import anyio

from eelgrassgate import messages
from eelgrassgate import settings
from eelgrassgate.config import replica as replica_lib
from eelgrassgate.instances import base as instances
from eelgrassgate.keys import staleness
from eelgrassgate.standins import virtual_time
from eelgrassgate.store import faulty
from eelgrassgate.store import memory

REGION_LATENCY_S: Final = 0.001
CROSS_REGION_LATENCY_S: Final = 0.03
HEARTBEAT_INTERVAL_S: Final = 0.5
REGIONS_BY_ZONE: Final = {"a": "r1", "b": "r1", "c": "r2", "d": "r2"}


class Node:
    """A simulated instance with its replica."""

    def __init__(
        self, name: str, zone: str, store: faulty.FaultyStore, mesh: "Mesh"
    ) -> None:
        """Create an instance of `mesh` that uses `store`."""
        place = settings.Place(
            instance=name, zone=zone, region=REGIONS_BY_ZONE[zone]
        )
        self.place = place
        self.replica = replica_lib.create_replica(
            store,
            place,
            lambda: mesh.listed_instances,
            clock=virtual_time.get_now,
            generator=random.Random(name),
        )
        self.currency = staleness.create_staleness_checker(
            self.replica,
            place,
            lambda: mesh.listed_instances,
            clock=virtual_time.get_now,
        )
        self.hello = messages.Hello(
            instance=name,
            incarnation=1,
            service="entry",
            zone=zone,
            region=place.region,
        )
        self.links: list[Link] = []
        self.bytes_sent = 0


class Link:
    """One direction of a connection; `reverse` is the other direction."""

    def __init__(self, sender: Node, receiver: Node) -> None:
        """Create the direction from `sender` to `receiver`."""
        self.hello = receiver.hello
        self.sender = sender
        self.receiver = receiver
        self.reverse: Link | None = None
        self.is_up = True
        self.is_initiator = False
        is_same_region = sender.place.region == receiver.place.region
        self.delay_s = (
            REGION_LATENCY_S if is_same_region else CROSS_REGION_LATENCY_S
        )

    def send(self, message: messages.AnyMessage) -> bool:
        """Deliver a message after the latency, if the link is up by then."""
        if not isinstance(message, messages.Heartbeat | messages.HeartbeatAck):
            self.sender.bytes_sent += len(messages.encode(message))
        loop = asyncio.get_running_loop()
        loop.call_later(self.delay_s, self._deliver, message)
        return True

    def _deliver(self, message: messages.AnyMessage) -> None:
        assert self.reverse is not None
        if not self.is_up:
            return
        if isinstance(message, messages.Heartbeat):
            status = self.receiver.replica.read_config_status()
            self.reverse.send(
                messages.HeartbeatAck(
                    sent_ms=message.sent_ms,
                    config_revision=status.config_revision,
                    config_age_ms=status.config_age_ms,
                )
            )
        self.receiver.replica.receive(self.reverse, message)


class Mesh:
    """All instances, the store of each zone and the list of instances."""

    def __init__(
        self,
        count: int,
        zones: str,
        remote_links: int,
        heartbeat_interval_s: float = HEARTBEAT_INTERVAL_S,
    ) -> None:
        """Create `count` instances distributed over `zones`.

        Each is connected to all instances of its zone and to `remote_links`
        random instances.
        """
        self.memory = memory.create_memory_store(clock=virtual_time.get_now)
        self.stores_by_zone = {
            zone: faulty.create_faulty_store(
                self.memory, clock=virtual_time.get_now
            )
            for zone in zones
        }
        self.heartbeat_interval_s = heartbeat_interval_s
        self.listed_instances: tuple[instances.Instance, ...] = ()
        self.nodes = [
            self._create_node(n, zones[n % len(zones)]) for n in range(count)
        ]
        self._connect_all(remote_links)

    def iterate_zone(self, zone: str) -> Iterator[Node]:
        """Yield the instances of one zone."""
        for node in self.nodes:
            if node.place.zone == zone:
                yield node

    def count(self, name: str) -> int:
        """Return the sum of one counter over all stores."""
        return sum(
            getattr(store.counts, name)
            for store in self.stores_by_zone.values()
        )

    def set_store_down(self, zones: str, is_down: bool) -> None:
        """Make the store unavailable or available in zones."""
        for zone in zones:
            self.stores_by_zone[zone].faults.is_down = is_down

    def partition(self, zones: str) -> None:
        """Cut the links between `zones` and the others.

        Both ends are notified at once.
        """
        for link in self._iterate_links():
            if (link.sender.place.zone in zones) != (
                link.receiver.place.zone in zones
            ):
                link.is_up = False
                link.sender.replica.disconnect(link)

    def heal(self) -> None:
        """Reconnect all links that are cut."""
        for link in self._iterate_links():
            if not link.is_up:
                link.is_up = True
                link.sender.replica.connect(link)

    @contextlib.asynccontextmanager
    async def run(self) -> AsyncIterator[None]:
        """Run all instances within the context."""
        async with anyio.create_task_group() as tasks:
            for node in self.nodes:
                tasks.start_soon(node.replica.run)
                tasks.start_soon(
                    _send_heartbeats, node, self.heartbeat_interval_s
                )
            yield
            tasks.cancel_scope.cancel()

    async def wait_for(self, revision: int, limit_s: float = 60.0) -> float:
        """Wait until all replicas have `revision`; return the seconds taken."""
        started_at = virtual_time.get_now()
        with anyio.fail_after(limit_s):
            while any(n.replica.revision < revision for n in self.nodes):
                await anyio.sleep(0.01)
        return virtual_time.get_now() - started_at

    def _create_node(self, number: int, zone: str) -> Node:
        name = f"{zone}{number}"
        self.listed_instances += (
            instances.Instance(name, "entry", "", zone, REGIONS_BY_ZONE[zone]),
        )
        return Node(name, zone, self.stores_by_zone[zone], self)

    def _connect_all(self, remote_links: int) -> None:
        """Connect each instance to its zone and to some random instances."""
        rng = random.Random(5)
        remote_by_name = {
            node.place.instance: rng.sample(self.nodes, remote_links)
            for node in self.nodes
        }
        for index, node in enumerate(self.nodes):
            for other in self.nodes[index + 1 :]:
                if (
                    node.place.zone == other.place.zone
                    or other in remote_by_name[node.place.instance]
                ):
                    _connect_pair(node, other)

    def _iterate_links(self) -> Iterator[Link]:
        for node in self.nodes:
            yield from node.links


def _connect_pair(node: Node, other: Node) -> None:
    """Connect two nodes; the first is the initiator, which sends heartbeats."""
    forward, reverse = Link(node, other), Link(other, node)
    forward.is_initiator = True
    forward.reverse, reverse.reverse = reverse, forward
    node.links.append(forward)
    other.links.append(reverse)
    node.replica.connect(forward)
    other.replica.connect(reverse)


async def _send_heartbeats(node: Node, heartbeat_interval_s: float) -> None:
    await anyio.sleep(
        random.Random(node.place.instance).uniform(0, heartbeat_interval_s)
    )
    while True:
        status = node.replica.read_config_status()
        for link in node.links:
            if not link.is_initiator:
                continue
            link.send(
                messages.Heartbeat(
                    sent_ms=int(virtual_time.get_now() * 1000),
                    config_revision=status.config_revision,
                    config_age_ms=status.config_age_ms,
                )
            )
        await anyio.sleep(heartbeat_interval_s)
