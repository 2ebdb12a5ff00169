"""Simulation of rate limiters in virtual time, with seeded link faults."""

from collections.abc import Callable
import functools
import heapq
import math
import random
import sys
import time
from typing import Final
from typing import Protocol

import msgspec
from returns import result

from bench import windows
from eelgrassgate import messages
from eelgrassgate.limits import admission
from eelgrassgate.limits import lending
from eelgrassgate.limits import limiter
from eelgrassgate.limits import timing
from eelgrassgate.link import base as link_base

REGION_LATENCY_S: Final = 0.001
CROSS_REGION_LATENCY_S: Final = 0.030
HEARTBEAT_INTERVAL_S: Final = 1.0


class CreateLimiter(Protocol):
    """A limiter factory; see `limiter.create_limiter`."""

    def __call__(
        self,
        name: str,
        incarnation: int,
        share: lending.Share | None = None,
        clock: limiter.Clock = timing.read_clock,
    ) -> limiter.Limiter:
        """Create a limiter."""
        ...


class Faults(msgspec.Struct, frozen=True):
    """Faults that links apply to messages at random.

    Attributes:
        drop_probability: Probability that a message is lost.
        duplicate_probability: Probability that it is delivered twice.
        delay_probability: Probability that it is delayed by up to
            `max_delay_s`.
        max_delay_s: Longest delay, in seconds.
    """

    drop_probability: float = 0.0
    duplicate_probability: float = 0.0
    delay_probability: float = 0.0
    max_delay_s: float = 6.0


class Link:
    """One direction of a connection; `reverse` is the other direction."""

    reverse: "Link"

    def __init__(self, fleet: "Fleet", source: "Node", target: "Node") -> None:
        """Create the direction from `source` to `target`."""
        self.fleet = fleet
        self.source = source
        self.target = target
        self.source_incarnation = source.incarnation
        self.target_incarnation = target.incarnation

    @property
    def hello(self) -> messages.Hello:
        """The handshake message of the target."""
        return self.target.hello

    def is_open(self) -> bool:
        """Return whether neither process has restarted or died."""
        ends = (self.source.incarnation, self.target.incarnation)
        is_same = ends == (self.source_incarnation, self.target_incarnation)
        return is_same and not self.target.is_dead

    def can_reach(self) -> bool:
        """Return whether messages in transit can still be delivered."""
        is_same = self.target.incarnation == self.target_incarnation
        return is_same and not self.target.is_dead

    def send(self, message: messages.AnyMessage) -> bool:
        """Send a message to the target."""
        return self.fleet.send(self, message)


class Node:
    """An entry whose clock has an offset and a drift.

    Attributes:
        incarnation: Number of times that it has started.
        deferred: Actions to run on resume.
        listeners: Handlers of link events, the limiter first.
        busy_ns: Processor time used by the listeners.
        bytes_sent: Bytes of messages sent, except heartbeats.
    """

    def __init__(self, fleet: "Fleet", name: str, region: str) -> None:
        """Create an entry that is not started."""
        self.fleet = fleet
        self.name = name
        self.region = region
        self.offset = fleet.random.uniform(0.0, 1e5)
        self.drift = fleet.random.uniform(-0.0005, 0.0005)
        self.incarnation = 0
        self.is_dead = False
        self.is_paused = False
        self.deferred: list[Callable[[], None]] = []
        self.links_by_name: dict[str, Link] = {}
        self.busy_ns = 0
        self.bytes_sent = 0

    @property
    def hello(self) -> messages.Hello:
        """Its handshake message."""
        return messages.Hello(
            instance=self.name,
            incarnation=self.incarnation,
            service="entry",
            zone=self.region,
            region=self.region,
        )

    def connect(self, peer: link_base.Peer) -> None:
        """Notify all listeners of a new connection."""
        for listener in self.listeners:
            listener.connect(peer)

    def receive(
        self, peer: link_base.Peer, message: messages.AnyMessage
    ) -> None:
        """Deliver a message to all listeners."""
        start = time.process_time_ns()
        for listener in self.listeners:
            listener.receive(peer, message)
        self.busy_ns += time.process_time_ns() - start

    def tick(self) -> None:
        """Run the limiter's periodic work."""
        start = time.process_time_ns()
        self.limiter.tick()
        self.busy_ns += time.process_time_ns() - start

    def start_request(self, bucket: str) -> admission.PendingRequest:
        """Submit a request to the limiter."""
        start = time.process_time_ns()
        pending = self.limiter.start(bucket, math.inf)
        self.busy_ns += time.process_time_ns() - start
        return pending

    def disconnect(self, peer: link_base.Peer) -> None:
        """Notify all listeners of a lost connection."""
        for listener in self.listeners:
            listener.disconnect(peer)

    def clock(self) -> float:
        """Return the time of its own clock, in seconds."""
        return self.offset + self.fleet.now * (1.0 + self.drift)

    def start_incarnation(self, share: lending.Share) -> None:
        """Start a new incarnation with a new limiter."""
        self.incarnation += 1
        self.is_dead = False
        self.limiter = self.fleet.create(
            self.name, self.incarnation, share, self.clock
        )
        self.listeners: list[link_base.Handler] = [self.limiter]
        for bucket, rate in self.fleet.rates_by_bucket.items():
            self.limiter.set_rate(bucket, *rate)

    def run_or_defer(self, action: Callable[[], None]) -> None:
        """Run an action now, or on resume if paused; drop it if dead."""
        if self.is_dead:
            return
        if self.is_paused:
            self.deferred.append(action)
            return
        action()


class Fleet:
    """Simulated entries with their links, arrivals and decisions.

    Attributes:
        faults: Faults for messages of types not in `faults_by_kind`.
        observe: Callback for each message that is sent.
        is_partitioned: Whether messages between regions are lost.
    """

    def __init__(
        self,
        regions: tuple[str, ...],
        rates: dict[str, tuple[float, float]],
        seed: int = 0,
        faults: Faults | None = None,
        share: lending.Share | None = None,
        create: CreateLimiter = limiter.create_limiter,
    ) -> None:
        """Start one entry in each of `regions`.

        Args:
            regions: Region of each entry.
            rates: Rate per second and burst by bucket.
            seed: Seed for delays, faults, clocks and arrivals.
            faults: Link faults; none by default.
            share: Share of each entry; equal shares by default.
            create: Limiter factory.
        """
        self.create = create
        self.random = random.Random(seed)
        self.now = 0.0
        self.faults = faults or Faults()
        self.rates_by_bucket = dict(rates)
        self.admitted: list[windows.Request] = []
        self.refused: list[windows.Request] = []
        self.messages_sent = 0
        self.is_partitioned = False
        self.faults_by_kind: dict[type[messages.Message], Faults] = {}
        self.observe: Callable[[Link, messages.AnyMessage], None] | None = None
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._sequence = 0
        self.nodes = [
            Node(self, f"entry-{index}", region)
            for index, region in enumerate(regions)
        ]
        for node in self.nodes:
            node.start_incarnation(share or lending.Share(len(self.nodes)))
            self.call_every(timing.TICK_S, node, Node.tick)
            self.call_every(HEARTBEAT_INTERVAL_S, node, self._send_heartbeats)
        for node in self.nodes:
            self._connect(node)

    def call_at(self, when: float, action: Callable[[], None]) -> None:
        """Schedule an action at a point in virtual time."""
        self._sequence += 1
        heapq.heappush(self._events, (when, self._sequence, action))

    def call_every(
        self, seconds: float, node: Node, action: Callable[[Node], None]
    ) -> None:
        """Schedule a periodic action, skipped while a node is paused or dead.

        The first run is after a random part of the period.
        """

        def run_and_reschedule() -> None:
            if not node.is_paused and not node.is_dead:
                action(node)
            self.call_at(self.now + seconds, run_and_reschedule)

        self.call_at(
            self.now + self.random.uniform(0.0, seconds), run_and_reschedule
        )

    def call_later(self, seconds: float, action: Callable[[], None]) -> None:
        """Schedule an action after a delay."""
        self.call_at(self.now + seconds, action)

    def run_until(self, end: float) -> None:
        """Advance virtual time to `end`, running all events that are due."""
        while self._events and self._events[0][0] <= end:
            self.now, _, action = heapq.heappop(self._events)
            action()
        self.now = end

    def add_poisson_load(
        self,
        node: Node,
        bucket: str,
        rate: float,
        end: float,
        start: float = 0.0,
    ) -> None:
        """Schedule Poisson arrivals at a node from `start` to `end`."""

        def arrive() -> None:
            self.send_request(node, bucket)
            next_at = self.now + self.random.expovariate(rate)
            if next_at < end:
                self.call_at(next_at, arrive)

        self.call_at(start + self.random.expovariate(rate), arrive)

    def send_request(self, node: Node, bucket: str) -> None:
        """Send a request to a node, and record whether it is admitted.

        A node that is dead or paused ignores it.
        """
        if node.is_dead or node.is_paused:
            return
        request = windows.Request(self.now, bucket)
        pending = node.start_request(bucket)

        def record() -> None:
            if isinstance(pending.outcome, result.Success):
                self.admitted.append(windows.Request(self.now, bucket))
            else:
                self.refused.append(request)

        pending.on_resolved = record
        if pending.outcome is not None:
            record()

    def set_rate(
        self, node: Node, bucket: str, rate: float, burst: float
    ) -> None:
        """Set the rate of a bucket at one node."""
        node.run_or_defer(lambda: node.limiter.set_rate(bucket, rate, burst))

    def pause(self, node: Node) -> None:
        """Pause a node: its events are deferred until it resumes."""
        node.is_paused = True

    def resume(self, node: Node) -> None:
        """Resume a node and run its deferred events."""
        node.is_paused = False
        deferred, node.deferred = node.deferred, []
        for action in deferred:
            action()

    def kill(self, node: Node) -> None:
        """Kill a node and disconnect its peers."""
        node.is_dead = True
        node.deferred = []
        node.is_paused = False
        for other in self.nodes:
            link = other.links_by_name.pop(node.name, None)
            if link:
                other.run_or_defer(functools.partial(other.disconnect, link))
        node.links_by_name = {}

    def restart(self, node: Node) -> None:
        """Restart a node under the same name.

        Its share starts one loan duration later, as the former incarnation may
        have lent it.
        """
        wait_s = timing.lengthen_for_drift(timing.compute_loan(len(self.nodes)))
        node.start_incarnation(
            lending.Share(len(self.nodes), node.clock() + wait_s)
        )
        self._connect(node)

    def _connect(self, node: Node) -> None:
        for other in self.nodes:
            if other is node or other.is_dead or not other.incarnation:
                continue
            forward, reverse = Link(self, node, other), Link(self, other, node)
            forward.reverse, reverse.reverse = reverse, forward
            for link in (forward, reverse):
                link.source.links_by_name[link.target.name] = link
                link.source.run_or_defer(
                    functools.partial(link.source.connect, link)
                )

    def _send_heartbeats(self, node: Node) -> None:
        for link in tuple(node.links_by_name.values()):
            link.send(messages.Heartbeat(sent_ms=0))

    def send(self, link: Link, message: messages.AnyMessage) -> bool:
        """Send a message, applying the faults for its type.

        Returns:
            False if the link is closed; True even if the message is lost.
        """
        if not link.is_open():
            return False
        if not isinstance(message, messages.Heartbeat):
            self.messages_sent += 1
            link.source.bytes_sent += len(messages.encode(message))
        is_cross_region = link.source.region != link.target.region
        if is_cross_region and self.is_partitioned:
            return True
        if self.observe:
            self.observe(link, message)
        draw = self.random.random
        faults = self.faults_by_kind.get(type(message), self.faults)
        if draw() < faults.drop_probability:
            return True
        for _ in range(2 if draw() < faults.duplicate_probability else 1):
            delay = (
                CROSS_REGION_LATENCY_S if is_cross_region else REGION_LATENCY_S
            )
            delay *= 1.0 + self.random.expovariate(10.0)
            if draw() < faults.delay_probability:
                delay += self.random.uniform(0.0, faults.max_delay_s)
            self.call_at(self.now + delay, lambda: self._deliver(link, message))
        return True

    def _deliver(self, link: Link, message: messages.AnyMessage) -> None:
        if link.can_reach():
            link.target.run_or_defer(
                lambda: link.target.receive(link.reverse, message)
            )


class EvenSplitLimiter(limiter.Limiter):
    """A baseline limiter with a fixed share of every rate and no loans."""

    def connect(self, peer: link_base.Peer) -> None:
        """Ignore the connection, so that nothing is lent or borrowed."""

    def get_settled_epoch(self, name: str) -> int:
        """Return that every epoch is settled, as nothing is lent."""
        return sys.maxsize


def create_even_split(
    name: str,
    incarnation: int,
    share: lending.Share | None = None,
    clock: limiter.Clock = timing.read_clock,
) -> limiter.Limiter:
    """Create a limiter of the baseline."""
    return EvenSplitLimiter(name, incarnation, share or lending.Share(1), clock)
