"""Benchmark of routing: bytes between regions and prefix cache hits.

The router is the production code; engines, caches and the link are simulated
in virtual time with fixed seeds. Run `python -m bench.routing`.
"""

from collections.abc import Callable
from collections.abc import Iterator
import functools
import itertools
import random
import sys
from typing import Final

import msgspec

from bench import routing_simulation as simulation
from eelgrassgate import messages
from eelgrassgate import outcomes
from eelgrassgate import settings
from eelgrassgate.config import fleet
from eelgrassgate.routing import base
from eelgrassgate.routing import router as routing

SEED: Final = 8663
MEASURE_S: Final = 60.0
WARM_UP_S: Final = 20.0
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
SESSION_END_PROBABILITY: Final = 0.15
RESPONSE_TOKENS: Final = 40
REQUESTS_PER_S: Final = 70.0
BLOCK_BYTES: Final = 64
RESPONSE_BYTES: Final = 8_000
BATCH_REQUEST_BYTES: Final = 200_000
BATCH_IN_FLIGHT: Final = 60
REMOTE_MODEL: Final = "wren"
REMOTE_FRACTION: Final = 0.2
UNLIMITED_LINK: Final = fleet.Link(bits_per_second=1e12)


class Figures(msgspec.Struct, frozen=True):
    """Results of one policy; `link_used` is that of the busier direction."""

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
    """Results of one case, with the baselines under the same load."""

    case: str
    seed: int
    result: Figures
    baseline: tuple[Figures, ...]


class RouterPolicy:
    """The policy of the production router."""

    def __init__(self, router: routing.Router) -> None:
        """Wrap the router of one entry."""
        self._router = router

    def choose(self, request: base.Request) -> base.Choice | None:
        """Choose an engine."""
        return self._router.choose(request).value_or(None)

    def finish(self, choice: base.Choice, outcome: base.Outcome) -> None:
        """Record the outcome of a call."""
        self._router.finish(choice, outcome)

    def report(self, agent: str, report: messages.LoadReport) -> None:
        """Process a load report."""
        self._router.handle_report(agent, report)


class RankingPolicy:
    """A baseline that chooses the engine with the lowest rank."""

    def __init__(
        self,
        engines: list[simulation.Engine],
        rank: Callable[[str, int], float],
    ) -> None:
        """Create the policy of one entry.

        Args:
            engines: The engines to choose from.
            rank: Returns the rank of an engine by name and load.
        """
        self._engines = engines
        self._rank = rank
        self._loads = {engine.name: 0 for engine in engines}
        self._in_flight = dict.fromkeys(self._loads, 0)
        self._ids = itertools.count()

    def choose(self, request: base.Request) -> base.Choice | None:
        """Choose an engine."""
        candidates = [
            engine.name
            for engine in self._engines
            if request.model in engine.info.models
        ]
        name = min(
            candidates,
            key=lambda engine: self._rank(
                engine, self._loads[engine] + self._in_flight[engine]
            ),
        )
        self._in_flight[name] += 1
        return base.Choice(next(self._ids), name)

    def finish(self, choice: base.Choice, outcome: base.Outcome) -> None:
        """Record the outcome of a call."""
        self._in_flight[choice.agent] -= 1

    def report(self, agent: str, report: messages.LoadReport) -> None:
        """Process a load report."""
        if agent in self._loads:
            load = report.online_queued + report.online_running
            self._loads[agent] = max(0, load - self._in_flight[agent])


CreatePolicy = Callable[
    [simulation.Clock, list[simulation.Engine], str, int],
    simulation.Policy,
]


def define_router_policy(
    link: fleet.Link, *, has_all_zones: bool = True
) -> CreatePolicy:
    """Return a factory of router policies.

    Args:
        link: Limits of the link between regions.
        has_all_zones: Whether the router knows the engines of all zones, and
            not only of its own.
    """

    def create(
        clock: simulation.Clock,
        engines: list[simulation.Engine],
        zone: str,
        seed: int,
    ) -> simulation.Policy:
        place = settings.Place(
            instance=zone, zone=zone, region=REGIONS_BY_ZONE[zone]
        )
        router = routing.create_router(place, lambda: clock.now, seed)
        router.configure(link, len(REGIONS_BY_ZONE))
        for engine in engines:
            if has_all_zones or engine.zone == zone:
                router.add(engine.name, engine.info, engine.zone, engine.region)
        return RouterPolicy(router)

    return create


def create_round_robin_policy(
    clock: simulation.Clock,
    engines: list[simulation.Engine],
    zone: str,
    seed: int,
) -> simulation.Policy:
    """Create a round-robin policy over the engines of both regions."""
    sequence = itertools.count(seed)
    last_turn = {engine.name: next(sequence) for engine in engines}

    def rank(name: str, load: int) -> float:
        return last_turn[name]

    class RoundRobinPolicy(RankingPolicy):
        def choose(self, request: base.Request) -> base.Choice | None:
            choice = super().choose(request)
            if choice is not None:
                last_turn[choice.agent] = next(sequence)
            return choice

    return RoundRobinPolicy(engines, rank)


def define_region_policy(
    rank: Callable[[random.Random], Callable[[str, int], float]],
) -> CreatePolicy:
    """Return a factory of ranking policies within the entry's region."""

    def create(
        clock: simulation.Clock,
        engines: list[simulation.Engine],
        zone: str,
        seed: int,
    ) -> simulation.Policy:
        region = REGIONS_BY_ZONE[zone]
        local_engines = [
            engine for engine in engines if engine.region == region
        ]
        return RankingPolicy(local_engines, rank(random.Random(seed)))

    return create


def rank_at_random(rng: random.Random) -> Callable[[str, int], float]:
    return lambda name, load: rng.random()


def rank_by_load(rng: random.Random) -> Callable[[str, int], float]:
    return lambda name, load: load + rng.random()


class OnlineLoad:
    """Online sessions whose prompts grow turn by turn.

    The load is the same for each policy.
    """

    def __init__(
        self,
        clock: simulation.Clock,
        target: simulation.Fleet,
        per_second: float,
        remote_fraction: float,
    ) -> None:
        """Start sending at the present virtual time."""
        self._clock, self._target = clock, target
        self._rng = random.Random(SEED)
        self._per_second = per_second
        self._remote_fraction = remote_fraction
        self._sessions = [self._create_session() for _ in range(SESSIONS)]
        clock.call_later(0.0, self._send)

    def _create_session(self) -> list[str]:
        names = range(len(WORKSPACE_WEIGHTS))
        (workspace,) = self._rng.choices(names, WORKSPACE_WEIGHTS)
        system = random.Random(f"system {workspace}")
        return [f"{system.getrandbits(64):016x}" for _ in range(SYSTEM_BLOCKS)]

    def _send(self) -> None:
        rng = self._rng
        self._clock.call_later(rng.expovariate(self._per_second), self._send)
        index = rng.randrange(SESSIONS)
        if rng.random() < SESSION_END_PROBABILITY:
            self._sessions[index] = self._create_session()
        session = self._sessions[index]
        if len(session) < MAX_BLOCKS:
            session.extend(
                f"{rng.getrandbits(64):016x}" for _ in range(TURN_BLOCKS)
            )
        region = "surrey" if index % len(REGIONS_BY_ZONE) == 0 else "cornwall"
        zones = [
            z
            for z, zone_region in REGIONS_BY_ZONE.items()
            if zone_region == region
        ]
        zone = rng.choice(zones)
        is_remote = rng.random() < self._remote_fraction
        request = base.Request(
            klass=ONLINE,
            model=REMOTE_MODEL if is_remote else "tern",
            digests=tuple(session),
            request_bytes=len(session) * BLOCK_BYTES,
            response_bytes=RESPONSE_BYTES,
        )
        call = simulation.Call(request, RESPONSE_TOKENS, lambda: None)
        self._target.submit(zone, call)


def run_batch_load(clock: simulation.Clock, target: simulation.Fleet) -> None:
    """Keep a fixed number of batch calls in flight from cornwall."""
    request = base.Request(
        klass=BATCH,
        model="tern",
        request_bytes=BATCH_REQUEST_BYTES,
        response_bytes=RESPONSE_BYTES,
    )

    def send(zone: str) -> None:
        call = simulation.Call(request, RESPONSE_TOKENS, lambda: send(zone))
        target.submit(zone, call)

    for zone, region in REGIONS_BY_ZONE.items():
        if region == "cornwall":
            for index in range(BATCH_IN_FLIGHT):
                clock.call_later(index / 100.0, functools.partial(send, zone))


def simulate(
    name: str,
    create: CreatePolicy,
    *,
    per_second: float,
    remote_fraction: float = 0.0,
    has_batch: bool = False,
) -> Figures:
    """Simulate one policy; return its figures once the caches are warm."""
    clock = simulation.Clock()
    rng = random.Random(SEED)
    engines = [
        simulation.Engine(
            clock,
            rng,
            f"{zone}-{index}",
            zone,
            region,
            ("tern", REMOTE_MODEL) if region == "surrey" else ("tern",),
        )
        for zone, region in REGIONS_BY_ZONE.items()
        for index in range(ENGINES_PER_ZONE)
    ]
    policies = {
        zone: create(clock, engines, zone, seed)
        for seed, zone in enumerate(REGIONS_BY_ZONE)
    }
    target = simulation.Fleet(clock, engines, policies)
    OnlineLoad(clock, target, per_second, remote_fraction)
    if has_batch:
        run_batch_load(clock, target)
    clock.run(WARM_UP_S)
    target.first_token_s.clear()
    target.refused = 0
    target.link.bytes_by_region.clear()
    target.completed = dict.fromkeys(outcomes.RequestClass, 0)
    for engine in engines:
        engine.hit_blocks = engine.requested_blocks = 0
    clock.run(WARM_UP_S + MEASURE_S)
    first_tokens_s = sorted(target.first_token_s)
    total = sum(target.completed.values())
    sent = target.link.bytes_by_region.values() or (0,)
    return Figures(
        name,
        round(_compute_hit_ratio(engines), 4),
        round(first_tokens_s[len(first_tokens_s) // 2] * 1e3, 1),
        round(first_tokens_s[len(first_tokens_s) * 99 // 100] * 1e3, 1),
        round(sum(sent) / total, 1),
        round(max(sent) / MEASURE_S / simulation.LINK_BYTES_PER_S, 4),
        target.completed[ONLINE],
        target.completed[BATCH],
        target.refused,
    )


def _compute_hit_ratio(engines: list[simulation.Engine]) -> float:
    requested = sum(engine.requested_blocks for engine in engines)
    return sum(engine.hit_blocks for engine in engines) / max(1, requested)


def run() -> Iterator[Case]:
    """Yield the results of all cases."""
    limited = define_router_policy(fleet.Link())
    yield Case(
        "6-link-bytes",
        SEED,
        simulate("router", limited, per_second=REQUESTS_PER_S),
        (
            simulate(
                "fifo", create_round_robin_policy, per_second=REQUESTS_PER_S
            ),
        ),
    )
    for name, has_batch in (("6-link-free", False), ("6-link-full", True)):
        simulate_with_remote = functools.partial(
            simulate,
            per_second=REQUESTS_PER_S,
            remote_fraction=REMOTE_FRACTION,
            has_batch=has_batch,
        )
        unlimited = define_router_policy(UNLIMITED_LINK)
        yield Case(
            name,
            SEED,
            simulate_with_remote("router", limited),
            (
                simulate_with_remote("router without link budget", unlimited),
                simulate_with_remote("fifo", create_round_robin_policy),
            ),
        )
    yield Case(
        "7-prefix-hits",
        SEED,
        simulate("router", limited, per_second=REQUESTS_PER_S),
        (
            simulate(
                "random",
                define_region_policy(rank_at_random),
                per_second=REQUESTS_PER_S,
            ),
            simulate(
                "least-loaded",
                define_region_policy(rank_by_load),
                per_second=REQUESTS_PER_S,
            ),
            simulate(
                "router, zones apart",
                define_router_policy(fleet.Link(), has_all_zones=False),
                per_second=REQUESTS_PER_S,
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
