"""A few replicas joined by fake links, each zone with a store of its own view.

It runs in virtual time; see `standins.virtual`.
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
from eelgrassgate.keys import currency
from eelgrassgate.standins import virtual
from eelgrassgate.store import faulty
from eelgrassgate.store import memory

ZONE_DELAY_S: Final = 0.001
REGION_DELAY_S: Final = 0.03
BEAT_S: Final = 0.5
REGIONS_BY_ZONE: Final = {"a": "r1", "b": "r1", "c": "r2", "d": "r2"}


class Node:
    """One instance."""

    def __init__(
        self, name: str, zone: str, store: faulty.FaultyStore, mesh: "Mesh"
    ) -> None:
        """Create an instance of `mesh` that sees `store`."""
        place = settings.Place(
            instance=name, zone=zone, region=REGIONS_BY_ZONE[zone]
        )
        self.place = place
        self.replica = replica_lib.create_replica(
            store,
            place,
            lambda: mesh.known,
            clock=virtual.get_now,
            generator=random.Random(name),
        )
        self.currency = currency.create_currency(
            self.replica, place, lambda: mesh.known, clock=virtual.get_now
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
    """One direction of a connection, as its sender holds it."""

    def __init__(self, sender: Node, receiver: Node) -> None:
        """Create the way from `sender` to `receiver`."""
        self.hello = receiver.hello
        self.sender = sender
        self.receiver = receiver
        self.back: Link | None = None
        self.is_up = True
        self.is_opener = False
        is_near = sender.place.region == receiver.place.region
        self.delay_s = ZONE_DELAY_S if is_near else REGION_DELAY_S

    def send(self, message: messages.AnyMessage) -> bool:
        """Deliver a message after the way's delay while the link is up."""
        if not isinstance(message, messages.Heartbeat | messages.HeartbeatAck):
            self.sender.bytes_sent += len(messages.encode(message))
        loop = asyncio.get_running_loop()
        loop.call_later(self.delay_s, self._deliver, message)
        return True

    def _deliver(self, message: messages.AnyMessage) -> None:
        assert self.back is not None
        if not self.is_up:
            return
        if isinstance(message, messages.Heartbeat):
            beat = self.receiver.replica.read_beat()
            self.back.send(
                messages.HeartbeatAck(
                    sent_ms=message.sent_ms,
                    config_revision=beat.config_revision,
                    config_age_ms=beat.config_age_ms,
                )
            )
        self.receiver.replica.receive(self.back, message)


class Mesh:
    """All instances, their stores by zone and what the list shows."""

    def __init__(
        self,
        count: int,
        zones: str,
        remote_links: int,
        beat_s: float = BEAT_S,
    ) -> None:
        """Create `count` instances spread over `zones`.

        Each is linked to its whole zone and to `remote_links` chosen at random.
        """
        self.memory = memory.create_memory_store(clock=virtual.get_now)
        self.stores_by_zone = {
            zone: faulty.create_faulty_store(self.memory, clock=virtual.get_now)
            for zone in zones
        }
        self.beat_s = beat_s
        self.known: tuple[instances.Instance, ...] = ()
        self.nodes = [
            self._create_node(n, zones[n % len(zones)]) for n in range(count)
        ]
        self._join(remote_links)

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
        """Cut zones off from the store, or join them again."""
        for zone in zones:
            self.stores_by_zone[zone].script.is_down = is_down

    def partition(self, zones: str) -> None:
        """Cut the links between `zones` and the others, found at once."""
        for link in self._iterate_links():
            if (link.sender.place.zone in zones) != (
                link.receiver.place.zone in zones
            ):
                link.is_up = False
                link.sender.replica.disconnect(link)

    def heal(self) -> None:
        """Open all links again."""
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
                tasks.start_soon(_beat, node, self.beat_s)
            yield
            tasks.cancel_scope.cancel()

    async def wait_for(self, revision: int, limit_s: float = 60.0) -> float:
        """Return how long it takes until all hold `revision`."""
        started_at = virtual.get_now()
        with anyio.fail_after(limit_s):
            while any(n.replica.revision < revision for n in self.nodes):
                await anyio.sleep(0.01)
        return virtual.get_now() - started_at

    def _create_node(self, number: int, zone: str) -> Node:
        name = f"{zone}{number}"
        self.known += (
            instances.Instance(name, "entry", "", zone, REGIONS_BY_ZONE[zone]),
        )
        return Node(name, zone, self.stores_by_zone[zone], self)

    def _join(self, remote_links: int) -> None:
        """Link all of a zone, and each instance to some of other zones."""
        generator = random.Random(5)
        far_by_name = {
            node.place.instance: generator.sample(self.nodes, remote_links)
            for node in self.nodes
        }
        for index, node in enumerate(self.nodes):
            for other in self.nodes[index + 1 :]:
                if (
                    node.place.zone == other.place.zone
                    or other in far_by_name[node.place.instance]
                ):
                    _join_pair(node, other)

    def _iterate_links(self) -> Iterator[Link]:
        for node in self.nodes:
            yield from node.links


def _join_pair(node: Node, other: Node) -> None:
    """Let the first beat, as the side that opens a connection does."""
    there, back = Link(node, other), Link(other, node)
    there.is_opener = True
    there.back, back.back = back, there
    node.links.append(there)
    other.links.append(back)
    node.replica.connect(there)
    other.replica.connect(back)


async def _beat(node: Node, beat_s: float) -> None:
    await anyio.sleep(random.Random(node.place.instance).uniform(0, beat_s))
    while True:
        beat = node.replica.read_beat()
        for link in node.links:
            if not link.is_opener:
                continue
            link.send(
                messages.Heartbeat(
                    sent_ms=int(virtual.get_now() * 1000),
                    config_revision=beat.config_revision,
                    config_age_ms=beat.config_age_ms,
                )
            )
        await anyio.sleep(beat_s)
