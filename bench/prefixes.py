"""Small fakes of engines, caches and the link on virtual time.

They stand in for what routing decides about, and for nothing else: an engine
runs a few calls at once, online before batch, and holds some prompt blocks;
the link sends bytes one after the other, each way.
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

WINDOW: Final = 8
CACHE_BLOCKS: Final = 600
PREFILL_S_PER_BLOCK: Final = 0.004
TOKEN_S: Final = 0.01
REPORT_S: Final = 0.25
EVENT_DELAY_REPORTS: Final = 4
EVENT_GAP_PART: Final = 0.1
LINK_BYTES_PER_S: Final = 15_000_000 / 8
ZONE_S: Final = 0.001
REGION_S: Final = 0.03
TOKEN_BYTES: Final = 200
RETRY_S: Final = 0.2
ONLINE: Final = outcomes.RequestClass.ONLINE


class Clock:
    """Virtual time with what is to happen."""

    def __init__(self) -> None:
        """Begin at 0 with nothing to happen."""
        self.now = 0.0
        self._numbers = itertools.count()
        self._events: list[tuple[float, int, Callable[[], None]]] = []

    def at(self, when: float, action: Callable[[], None]) -> None:
        """Let `action` happen at an instant."""
        heapq.heappush(self._events, (when, next(self._numbers), action))

    def after(self, wait_s: float, action: Callable[[], None]) -> None:
        """Let `action` happen after a while."""
        self.at(self.now + wait_s, action)

    def run(self, until: float) -> None:
        """Let all happen that is due by `until`."""
        while self._events and self._events[0][0] <= until:
            self.now, _, action = heapq.heappop(self._events)
            action()
        self.now = until


class Job:
    """A call with what becomes of it."""

    def __init__(
        self, request: base.Request, tokens: int, done: Callable[[], None]
    ) -> None:
        """Create a call; `done` is called after its answer."""
        self.request = request
        self.tokens = tokens
        self.done = done
        self.begun = 0.0
        self.first: Callable[[], None] = lambda: None
        self.end: Callable[[], None] = lambda: None


class Engine:
    """A model engine with the agent before it."""

    def __init__(
        self,
        clock: Clock,
        chance: random.Random,
        name: str,
        zone: str,
        region: str,
        models: tuple[str, ...],
    ) -> None:
        """Create an idle engine with an empty cache."""
        self.name, self.zone, self.region = name, zone, region
        self.info = messages.EndpointInfo(name, "engine", models=models)
        self.held = self.asked = 0
        self._clock, self._chance = clock, chance
        self._queues = {
            klass: collections.deque[Job]() for klass in outcomes.RequestClass
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

    def submit(self, job: Job) -> None:
        """Take a call."""
        self._queues[job.request.klass].append(job)
        self._pump()

    def report(self) -> messages.LoadReport:
        """Return the load now, with cache events of a while ago."""
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
            window=WINDOW,
            wait_ms=waiting * 1000 // WINDOW,
            cached=cached,
            evicted=evicted,
        )

    def _pump(self) -> None:
        for klass, queue in self._queues.items():
            while queue and sum(self._running.values()) < WINDOW:
                self._running[klass] += 1
                self._begin(queue.popleft())

    def _begin(self, job: Job) -> None:
        missing = self._look_up(job.request.digests)
        prefill_s = (missing + 1) * PREFILL_S_PER_BLOCK
        whole_s = prefill_s + job.tokens * TOKEN_S
        self._clock.after(prefill_s, job.first)
        self._clock.after(whole_s, lambda: self._end(job))

    def _end(self, job: Job) -> None:
        self._running[job.request.klass] -= 1
        job.end()
        self._pump()

    def _look_up(self, digests: tuple[str, ...]) -> int:
        """Return how many blocks were not held, and hold them."""
        held = 0
        for digest in digests:
            if digest not in self._blocks:
                break
            held += 1
        for digest in digests:
            if digest not in self._blocks:
                self._note(self._stored, digest)
            self._blocks[digest] = None
            self._blocks.move_to_end(digest)
        while len(self._blocks) > CACHE_BLOCKS:
            self._note(self._evicted, self._blocks.popitem(last=False)[0])
        self.held += held
        self.asked += len(digests)
        return len(digests) - held

    def _note(self, events: list[str], digest: str) -> None:
        if self._chance.random() >= EVENT_GAP_PART:
            events.append(digest)


class Link:
    """The link between regions: first come, first sent, each way."""

    def __init__(self, clock: Clock) -> None:
        """Create an idle link."""
        self.bytes_by_region: dict[str, int] = {}
        self._clock = clock
        self._free_by_region: dict[str, float] = {}

    def send(self, region: str, size: int, then: Callable[[], None]) -> None:
        """Send from `region`; call `then` when all has arrived."""
        free = self._free_by_region.get(region, 0.0)
        begun = max(self._clock.now, free)
        self._free_by_region[region] = begun + size / LINK_BYTES_PER_S
        sent = self.bytes_by_region.get(region, 0)
        self.bytes_by_region[region] = sent + size
        self._clock.at(begun + size / LINK_BYTES_PER_S + REGION_S, then)


class Policy(Protocol):
    """Chooses engines for one entry."""

    def choose(self, request: base.Request) -> base.Choice | None:
        """Choose, or None if nothing may take the request now."""
        ...

    def finish(self, choice: base.Choice, outcome: base.Outcome) -> None:
        """Take how it ended."""
        ...

    def report(self, agent: str, report: messages.LoadReport) -> None:
        """Take a late load report."""
        ...


class Fleet:
    """Entries and engines; measures what callers see."""

    def __init__(
        self, clock: Clock, engines: list[Engine], policies: dict[str, Policy]
    ) -> None:
        """Create; `policies` are by the zone of their entry."""
        self.link = Link(clock)
        self.first_s: list[float] = []
        self.completed = dict.fromkeys(outcomes.RequestClass, 0)
        self.refused = 0
        self._clock = clock
        self._engines_by_name = {one.name: one for one in engines}
        self._regions_by_zone = {one.zone: one.region for one in engines}
        self._policies_by_zone = policies
        clock.after(REPORT_S, self._report)

    def arrive(self, zone: str, job: Job) -> None:
        """Take a call at the entry of `zone`; batch retries a refusal."""
        job.begun = job.begun or self._clock.now
        policy = self._policies_by_zone[zone]
        choice = policy.choose(job.request)
        if choice is None:
            if job.request.klass is ONLINE:
                self.refused += 1
                return
            self._clock.after(RETRY_S, lambda: self.arrive(zone, job))
            return
        engine = self._engines_by_name[choice.agent]
        begun = self._clock.now

        def see_first() -> None:
            if job.request.klass is ONLINE:
                self.first_s.append(self._clock.now - job.begun)
            state["first_s"] = self._clock.now - begun

        def see_end() -> None:
            self.completed[job.request.klass] += 1
            policy.finish(
                choice,
                base.Outcome(is_complete=True, first_part_s=state["first_s"]),
            )
            job.done()

        state = {"first_s": 0.0}
        size = job.request.response_bytes
        job.first = lambda: self._send(engine.region, zone, 0, see_first)
        job.end = lambda: self._send(engine.region, zone, size, see_end)
        self._send(
            self._regions_by_zone[zone],
            engine.zone,
            job.request.request_bytes,
            lambda: engine.submit(job),
        )

    def _send(
        self, region: str, zone: str, size: int, then: Callable[[], None]
    ) -> None:
        if self._regions_by_zone[zone] == region:
            self._clock.after(ZONE_S, then)
        else:
            self.link.send(region, size + TOKEN_BYTES, then)

    def _report(self) -> None:
        for engine in self._engines_by_name.values():
            report = engine.report()
            for zone, policy in self._policies_by_zone.items():
                is_near = self._regions_by_zone[zone] == engine.region
                lag_s = ZONE_S if is_near else REGION_S
                deliver = functools.partial(policy.report, engine.name, report)
                self._clock.after(lag_s, deliver)
        self._clock.after(REPORT_S, self._report)
