"""Simulation of engines, prefix caches and the region link in virtual time.

It models only what routing depends on: an engine runs a few calls at once,
online before batch, and caches some prompt blocks; the link sends bytes in
order, with a limited rate in each direction.
"""

import collections
from collections.abc import Callable
import functools
import heapq
import itertools
import random
from typing import Final
from typing import Protocol

from eelgrassgate import messages
from eelgrassgate import outcomes
from eelgrassgate.routing import base

MAX_RUNNING: Final = 8
CACHE_BLOCKS: Final = 600
PREFILL_S_PER_BLOCK: Final = 0.004
TOKEN_S: Final = 0.01
REPORT_INTERVAL_S: Final = 0.25
EVENT_DELAY_REPORTS: Final = 4
EVENT_LOSS_PROBABILITY: Final = 0.1
LINK_BYTES_PER_S: Final = 15_000_000 / 8
REGION_LATENCY_S: Final = 0.001
CROSS_REGION_LATENCY_S: Final = 0.03
MESSAGE_OVERHEAD_BYTES: Final = 200
BATCH_RETRY_S: Final = 0.2
ONLINE: Final = outcomes.RequestClass.ONLINE


class Clock:
    """Virtual time with scheduled events."""

    def __init__(self) -> None:
        """Start at 0 with no events."""
        self.now = 0.0
        self._numbers = itertools.count()
        self._events: list[tuple[float, int, Callable[[], None]]] = []

    def call_at(self, when: float, action: Callable[[], None]) -> None:
        """Schedule `action` at a point in virtual time."""
        heapq.heappush(self._events, (when, next(self._numbers), action))

    def call_later(self, wait_s: float, action: Callable[[], None]) -> None:
        """Schedule `action` after a delay."""
        self.call_at(self.now + wait_s, action)

    def run(self, until: float) -> None:
        """Run all events that are due by `until`."""
        while self._events and self._events[0][0] <= until:
            self.now, _, action = heapq.heappop(self._events)
            action()
        self.now = until


class Call:
    """A call with its callbacks."""

    def __init__(
        self, request: base.Request, tokens: int, on_done: Callable[[], None]
    ) -> None:
        """Create a call; `on_done` runs after its response has arrived."""
        self.request = request
        self.tokens = tokens
        self.on_done = on_done
        self.started_at = 0.0
        self.on_first_token: Callable[[], None] = lambda: None
        self.on_end: Callable[[], None] = lambda: None


class Engine:
    """A model engine with its agent.

    Attributes:
        hit_blocks: Number of requested prompt blocks found in the cache.
        requested_blocks: Number of prompt blocks requested.
    """

    def __init__(
        self,
        clock: Clock,
        rng: random.Random,
        name: str,
        zone: str,
        region: str,
        models: tuple[str, ...],
    ) -> None:
        """Create an idle engine with an empty cache."""
        self.name, self.zone, self.region = name, zone, region
        self.info = messages.EndpointInfo(name, "engine", models=models)
        self.hit_blocks = self.requested_blocks = 0
        self._clock, self._rng = clock, rng
        self._queues = {
            klass: collections.deque[Call]() for klass in outcomes.RequestClass
        }
        self._running = dict.fromkeys(outcomes.RequestClass, 0)
        self._blocks: collections.OrderedDict[str, None] = (
            collections.OrderedDict()
        )
        self._stored: list[str] = []
        self._evicted: list[str] = []
        self._delayed: collections.deque[
            tuple[tuple[str, ...], tuple[str, ...]]
        ] = collections.deque()

    def submit(self, call: Call) -> None:
        """Queue a call, and start it if the engine has capacity."""
        self._queues[call.request.klass].append(call)
        self._start_queued()

    def report(self) -> messages.LoadReport:
        """Return the current load, with the cache events of an earlier report.

        Cache events are delayed by `EVENT_DELAY_REPORTS` reports.
        """
        self._delayed.append((tuple(self._stored), tuple(self._evicted)))
        self._stored, self._evicted = [], []
        cached: tuple[str, ...] = ()
        evicted: tuple[str, ...] = ()
        if len(self._delayed) > EVENT_DELAY_REPORTS:
            cached, evicted = self._delayed.popleft()
        batch = outcomes.RequestClass.BATCH
        waiting = len(self._queues[ONLINE])
        return messages.LoadReport(
            online_queued=waiting,
            online_running=self._running[ONLINE],
            batch_queued=len(self._queues[batch]),
            batch_running=self._running[batch],
            window=MAX_RUNNING,
            wait_ms=waiting * 1000 // MAX_RUNNING,
            cached=cached,
            evicted=evicted,
        )

    def _start_queued(self) -> None:
        for klass, queue in self._queues.items():
            while queue and sum(self._running.values()) < MAX_RUNNING:
                self._running[klass] += 1
                self._start(queue.popleft())

    def _start(self, call: Call) -> None:
        missing = self._access_cache(call.request.digests)
        prefill_s = (missing + 1) * PREFILL_S_PER_BLOCK
        total_s = prefill_s + call.tokens * TOKEN_S
        self._clock.call_later(prefill_s, call.on_first_token)
        self._clock.call_later(total_s, lambda: self._end(call))

    def _end(self, call: Call) -> None:
        self._running[call.request.klass] -= 1
        call.on_end()
        self._start_queued()

    def _access_cache(self, digests: tuple[str, ...]) -> int:
        """Cache all blocks; return how many were not in the cached prefix.

        The least recently used blocks are evicted.
        """
        hits = 0
        for digest in digests:
            if digest not in self._blocks:
                break
            hits += 1
        for digest in digests:
            if digest not in self._blocks:
                self._record_event(self._stored, digest)
            self._blocks[digest] = None
            self._blocks.move_to_end(digest)
        while len(self._blocks) > CACHE_BLOCKS:
            self._record_event(
                self._evicted, self._blocks.popitem(last=False)[0]
            )
        self.hit_blocks += hits
        self.requested_blocks += len(digests)
        return len(digests) - hits

    def _record_event(self, events: list[str], digest: str) -> None:
        if self._rng.random() >= EVENT_LOSS_PROBABILITY:
            events.append(digest)


class Link:
    """The link between regions, a FIFO queue in each direction."""

    def __init__(self, clock: Clock) -> None:
        """Create an idle link."""
        self.bytes_by_region: dict[str, int] = {}
        self._clock = clock
        self._free_at_by_region: dict[str, float] = {}

    def send(
        self, region: str, size: int, on_arrival: Callable[[], None]
    ) -> None:
        """Send from `region`; `on_arrival` runs when all bytes have arrived."""
        free_at = self._free_at_by_region.get(region, 0.0)
        started_at = max(self._clock.now, free_at)
        self._free_at_by_region[region] = started_at + size / LINK_BYTES_PER_S
        bytes_sent = self.bytes_by_region.get(region, 0)
        self.bytes_by_region[region] = bytes_sent + size
        self._clock.call_at(
            started_at + size / LINK_BYTES_PER_S + CROSS_REGION_LATENCY_S,
            on_arrival,
        )


class Policy(Protocol):
    """The routing policy of one entry."""

    def choose(self, request: base.Request) -> base.Choice | None:
        """Choose an engine; None if none can accept the request now."""
        ...

    def finish(self, choice: base.Choice, outcome: base.Outcome) -> None:
        """Record the outcome of a call."""
        ...

    def report(self, agent: str, report: messages.LoadReport) -> None:
        """Process a load report, which arrives after the network latency."""
        ...


class Fleet:
    """Entries and engines, with the measurements that clients see.

    Attributes:
        link: The link between regions.
        first_token_s: Times to first token of online calls.
        completed: Number of completed calls by class.
        refused: Number of refused online calls.
    """

    def __init__(
        self, clock: Clock, engines: list[Engine], policies: dict[str, Policy]
    ) -> None:
        """Create the fleet; `policies` are keyed by the zone of the entry."""
        self.link = Link(clock)
        self.first_token_s: list[float] = []
        self.completed = dict.fromkeys(outcomes.RequestClass, 0)
        self.refused = 0
        self._clock = clock
        self._engines_by_name = {engine.name: engine for engine in engines}
        self._regions_by_zone = {
            engine.zone: engine.region for engine in engines
        }
        self._policies_by_zone = policies
        clock.call_later(REPORT_INTERVAL_S, self._report)

    def submit(self, zone: str, call: Call) -> None:
        """Submit a call to the entry of `zone`; retry refused batch calls."""
        call.started_at = call.started_at or self._clock.now
        policy = self._policies_by_zone[zone]
        choice = policy.choose(call.request)
        if choice is None:
            if call.request.klass is ONLINE:
                self.refused += 1
                return
            self._clock.call_later(
                BATCH_RETRY_S, lambda: self.submit(zone, call)
            )
            return
        engine = self._engines_by_name[choice.agent]
        started_at = self._clock.now

        def record_first_token() -> None:
            if call.request.klass is ONLINE:
                self.first_token_s.append(self._clock.now - call.started_at)
            state["first_s"] = self._clock.now - started_at

        def record_end() -> None:
            self.completed[call.request.klass] += 1
            policy.finish(
                choice,
                base.Outcome(is_complete=True, first_part_s=state["first_s"]),
            )
            call.on_done()

        state = {"first_s": 0.0}
        size = call.request.response_bytes
        call.on_first_token = lambda: self._send(
            engine.region, zone, 0, record_first_token
        )
        call.on_end = lambda: self._send(engine.region, zone, size, record_end)
        self._send(
            self._regions_by_zone[zone],
            engine.zone,
            call.request.request_bytes,
            lambda: engine.submit(call),
        )

    def _send(
        self, region: str, zone: str, size: int, on_arrival: Callable[[], None]
    ) -> None:
        if self._regions_by_zone[zone] == region:
            self._clock.call_later(REGION_LATENCY_S, on_arrival)
        else:
            self.link.send(region, size + MESSAGE_OVERHEAD_BYTES, on_arrival)

    def _report(self) -> None:
        for engine in self._engines_by_name.values():
            report = engine.report()
            for zone, policy in self._policies_by_zone.items():
                is_same_region = self._regions_by_zone[zone] == engine.region
                latency_s = (
                    REGION_LATENCY_S
                    if is_same_region
                    else CROSS_REGION_LATENCY_S
                )
                deliver = functools.partial(policy.report, engine.name, report)
                self._clock.call_later(latency_s, deliver)
        self._clock.call_later(REPORT_INTERVAL_S, self._report)
