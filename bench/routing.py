"""Routing: bytes between regions, and hits of the prefix caches.

The real router decides; engines, caches and the link are fakes on virtual
time with fixed seeds. Run `python -m bench.routing`.
"""

from collections.abc import Callable
from collections.abc import Iterator
import functools
import itertools
import random
import sys
from typing import Final

import msgspec

from bench import prefixes
from eelgrassgate import messages
from eelgrassgate import outcomes
from eelgrassgate import settings
from eelgrassgate.config import fleet
from eelgrassgate.routing import base
from eelgrassgate.routing import router as routing

SEED: Final = 8663
SECONDS: Final = 60.0
WARM_S: Final = 20.0
ONLINE: Final = outcomes.RequestClass.ONLINE
BATCH: Final = outcomes.RequestClass.BATCH
REGIONS_BY_ZONE: Final = {
    "falmouth": "cornwall",
    "truro": "cornwall",
    "dorking": "surrey",
}
ENGINES_PER_ZONE: Final = 3
WORKSPACE_WEIGHTS: Final = (30, 20, 12, 8, 6, 4, 2, 1)
SYSTEM_BLOCKS: Final = 10
TURN_BLOCKS: Final = 5
MAX_BLOCKS: Final = 60
SESSIONS: Final = 150
LAST_TURN: Final = 0.15
TOKENS: Final = 40
PER_S: Final = 70.0
BLOCK_BYTES: Final = 64
ANSWER_BYTES: Final = 8_000
BATCH_BYTES: Final = 200_000
BATCH_IN_FLIGHT: Final = 60
FAR_ONLY: Final = "wren"
FAR_ONLY_PART: Final = 0.2
NO_LIMIT: Final = fleet.Link(bits_per_second=1e12)


class Figures(msgspec.Struct, frozen=True):
    """What one policy led to; `link_used` is of the busier direction."""

    policy: str
    hit_ratio: float
    first_p50_ms: float
    first_p99_ms: float
    link_bytes_per_request: float
    link_used: float
    online: int
    batch: int
    refused: int


class Case(msgspec.Struct, frozen=True):
    """One case with its baselines in the same run."""

    case: str
    seed: int
    result: Figures
    baseline: tuple[Figures, ...]


class Routed:
    """The product's router."""

    def __init__(self, router: routing.Router) -> None:
        """Take the router of one entry."""
        self._router = router

    def choose(self, request: base.Request) -> base.Choice | None:
        """Choose an engine."""
        return self._router.choose(request).value_or(None)

    def finish(self, choice: base.Choice, outcome: base.Outcome) -> None:
        """Take how a call ended."""
        self._router.finish(choice, outcome)

    def report(self, agent: str, report: messages.LoadReport) -> None:
        """Take a late load report."""
        self._router.handle_report(agent, report)


class Plain:
    """A baseline that ranks engines by a function, lowest first."""

    def __init__(
        self,
        engines: list[prefixes.Engine],
        rank: Callable[[str, int], float],
    ) -> None:
        """Create for one entry."""
        self._engines = engines
        self._rank = rank
        self._loads = {one.name: 0 for one in engines}
        self._sent = dict.fromkeys(self._loads, 0)
        self._numbers = itertools.count()

    def choose(self, request: base.Request) -> base.Choice | None:
        """Choose an engine."""
        serving = [
            one.name
            for one in self._engines
            if request.model in one.info.models
        ]
        name = min(
            serving,
            key=lambda one: self._rank(one, self._loads[one] + self._sent[one]),
        )
        self._sent[name] += 1
        return base.Choice(next(self._numbers), name)

    def finish(self, choice: base.Choice, outcome: base.Outcome) -> None:
        """Take how a call ended."""
        self._sent[choice.agent] -= 1

    def report(self, agent: str, report: messages.LoadReport) -> None:
        """Take a late load report."""
        if agent in self._loads:
            load = report.online_queued + report.online_running
            self._loads[agent] = max(0, load - self._sent[agent])


MakePolicy = Callable[
    [prefixes.Clock, list[prefixes.Engine], str, int], prefixes.Policy
]


def make_routed(link: fleet.Link, *, is_sharing: bool = True) -> MakePolicy:
    """Make the router; without sharing, it knows its own zone's engines."""

    def make(
        clock: prefixes.Clock,
        engines: list[prefixes.Engine],
        zone: str,
        seed: int,
    ) -> prefixes.Policy:
        place = settings.Place(
            instance=zone, zone=zone, region=REGIONS_BY_ZONE[zone]
        )
        router = routing.create_router(place, lambda: clock.now, seed)
        router.configure(link, len(REGIONS_BY_ZONE))
        for one in engines:
            if is_sharing or one.zone == zone:
                router.add(one.name, one.info, one.zone, one.region)
        return Routed(router)

    return make


def make_fifo(
    clock: prefixes.Clock,
    engines: list[prefixes.Engine],
    zone: str,
    seed: int,
) -> prefixes.Policy:
    """Round robin over all engines of both regions."""
    turn = itertools.count(seed)
    last = {one.name: next(turn) for one in engines}

    def rank(name: str, load: int) -> float:
        return last[name]

    class Turning(Plain):
        def choose(self, request: base.Request) -> base.Choice | None:
            choice = super().choose(request)
            if choice is not None:
                last[choice.agent] = next(turn)
            return choice

    return Turning(engines, rank)


def make_near(
    rank: Callable[[random.Random], Callable[[str, int], float]],
) -> MakePolicy:
    """Make a baseline that keeps to the entry's region where it can."""

    def make(
        clock: prefixes.Clock,
        engines: list[prefixes.Engine],
        zone: str,
        seed: int,
    ) -> prefixes.Policy:
        region = REGIONS_BY_ZONE[zone]
        near = [one for one in engines if one.region == region]
        return Plain(near, rank(random.Random(seed)))

    return make


def rank_by_chance(chance: random.Random) -> Callable[[str, int], float]:
    return lambda name, load: chance.random()


def rank_by_load(chance: random.Random) -> Callable[[str, int], float]:
    return lambda name, load: load + chance.random()


class Callers:
    """Sends prompts that grow turn by turn, the same for each policy."""

    def __init__(
        self,
        clock: prefixes.Clock,
        target: prefixes.Fleet,
        per_second: float,
        far_only_part: float,
    ) -> None:
        """Begin to send."""
        self._clock, self._target = clock, target
        self._chance = random.Random(SEED)
        self._per_second = per_second
        self._far_only_part = far_only_part
        self._sessions = [self._open() for _ in range(SESSIONS)]
        clock.after(0.0, self._send)

    def _open(self) -> list[str]:
        names = range(len(WORKSPACE_WEIGHTS))
        (workspace,) = self._chance.choices(names, WORKSPACE_WEIGHTS)
        system = random.Random(f"system {workspace}")
        return [f"{system.getrandbits(64):016x}" for _ in range(SYSTEM_BLOCKS)]

    def _send(self) -> None:
        chance = self._chance
        self._clock.after(chance.expovariate(self._per_second), self._send)
        index = chance.randrange(SESSIONS)
        if chance.random() < LAST_TURN:
            self._sessions[index] = self._open()
        session = self._sessions[index]
        if len(session) < MAX_BLOCKS:
            session.extend(
                f"{chance.getrandbits(64):016x}" for _ in range(TURN_BLOCKS)
            )
        region = "surrey" if index % len(REGIONS_BY_ZONE) == 0 else "cornwall"
        zones = [z for z, its in REGIONS_BY_ZONE.items() if its == region]
        zone = chance.choice(zones)
        is_far_only = chance.random() < self._far_only_part
        request = base.Request(
            klass=ONLINE,
            model=FAR_ONLY if is_far_only else "tern",
            digests=tuple(session),
            request_bytes=len(session) * BLOCK_BYTES,
            response_bytes=ANSWER_BYTES,
        )
        job = prefixes.Job(request, TOKENS, lambda: None)
        self._target.arrive(zone, job)


def send_batch(clock: prefixes.Clock, target: prefixes.Fleet) -> None:
    """Keep a fixed number of batch calls in flight in cornwall."""
    request = base.Request(
        klass=BATCH,
        model="tern",
        request_bytes=BATCH_BYTES,
        response_bytes=ANSWER_BYTES,
    )

    def send(zone: str) -> None:
        job = prefixes.Job(request, TOKENS, lambda: send(zone))
        target.arrive(zone, job)

    for zone, region in REGIONS_BY_ZONE.items():
        if region == "cornwall":
            for index in range(BATCH_IN_FLIGHT):
                clock.after(index / 100.0, functools.partial(send, zone))


def play(
    name: str,
    make: MakePolicy,
    *,
    per_second: float,
    far_only_part: float = 0.0,
    has_batch: bool = False,
) -> Figures:
    """Run one policy and return its figures after the caches are warm."""
    clock = prefixes.Clock()
    chance = random.Random(SEED)
    engines = [
        prefixes.Engine(
            clock,
            chance,
            f"{zone}-{index}",
            zone,
            region,
            ("tern", FAR_ONLY) if region == "surrey" else ("tern",),
        )
        for zone, region in REGIONS_BY_ZONE.items()
        for index in range(ENGINES_PER_ZONE)
    ]
    policies = {
        zone: make(clock, engines, zone, seed)
        for seed, zone in enumerate(REGIONS_BY_ZONE)
    }
    target = prefixes.Fleet(clock, engines, policies)
    Callers(clock, target, per_second, far_only_part)
    if has_batch:
        send_batch(clock, target)
    clock.run(WARM_S)
    target.first_s.clear()
    target.refused = 0
    target.link.bytes_by_region.clear()
    target.completed = dict.fromkeys(outcomes.RequestClass, 0)
    for one in engines:
        one.held = one.asked = 0
    clock.run(WARM_S + SECONDS)
    first = sorted(target.first_s)
    total = sum(target.completed.values())
    sent = target.link.bytes_by_region.values() or (0,)
    return Figures(
        name,
        round(_divide(engines), 4),
        round(first[len(first) // 2] * 1e3, 1),
        round(first[len(first) * 99 // 100] * 1e3, 1),
        round(sum(sent) / total, 1),
        round(max(sent) / SECONDS / prefixes.LINK_BYTES_PER_S, 4),
        target.completed[ONLINE],
        target.completed[BATCH],
        target.refused,
    )


def _divide(engines: list[prefixes.Engine]) -> float:
    asked = sum(one.asked for one in engines)
    return sum(one.held for one in engines) / max(1, asked)


def run() -> Iterator[Case]:
    """Yield the cases, each with its baselines."""
    limited = make_routed(fleet.Link())
    yield Case(
        "6-link-bytes",
        SEED,
        play("router", limited, per_second=PER_S),
        (play("fifo", make_fifo, per_second=PER_S),),
    )
    for name, has_batch in (("6-link-free", False), ("6-link-full", True)):
        play_far = functools.partial(
            play,
            per_second=PER_S,
            far_only_part=FAR_ONLY_PART,
            has_batch=has_batch,
        )
        unlimited = make_routed(NO_LIMIT)
        yield Case(
            name,
            SEED,
            play_far("router", limited),
            (
                play_far("router without link budget", unlimited),
                play_far("fifo", make_fifo),
            ),
        )
    yield Case(
        "7-prefix-hits",
        SEED,
        play("router", limited, per_second=PER_S),
        (
            play("random", make_near(rank_by_chance), per_second=PER_S),
            play("least-loaded", make_near(rank_by_load), per_second=PER_S),
            play(
                "router, zones apart",
                make_routed(fleet.Link(), is_sharing=False),
                per_second=PER_S,
            ),
        ),
    )


def main() -> int:
    """Run the cases; return the exit code."""
    for case in run():
        print(msgspec.json.encode(case).decode(), flush=True)
    return 0


if __name__ == "__main__":
    sys.exit(main())
