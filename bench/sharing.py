"""Benchmark of online priority and of fair shares, with the baseline `fifo`.

The agents are the production code; the engines are simulated in virtual time.
"""

from collections.abc import Iterator
import random
from typing import Final

import anyio
import msgspec

from bench import fleet as fleets
from eelgrassgate.standins import generation
from eelgrassgate.standins import virtual_time

SEED: Final = 4
ENGINES: Final = 2
OPTIONS: Final = generation.Options(max_running=16, cache_blocks=4096)
WARM_UP_S: Final = 20.0
MEASURE_S: Final = 40.0
BATCH_TOKENS: Final = (32, 128)
ONLINE_TOKENS: Final = (16, 64)
BATCH_REQUESTS_PER_ENGINE: Final = 32
ONLINE_PER_S: Final = 6.0
BURST_FACTOR: Final = 10
BURST_S: Final = 5.0
BASE_ONLINE_PER_S: Final = 2.0
MAX_P99_RATIO: Final = 1.1
MIN_IDLE_FRACTION: Final = 0.95
MAX_PREEMPTION_MS: Final = 100.0
MIN_SHARE_FRACTION: Final = 0.95
MAX_REFUSED_FRACTION: Final = 0.001
SYSTEMS: Final = (("fifo", False), ("eelgrassgate", True))
MS_PER_S: Final = 1000.0
LARGE_WEIGHT: Final = 4.0
DEMAND_FACTOR: Final = 2.0
APPROXIMATE_TOKENS_PER_S: Final = 4000.0
GREEDY_FACTOR: Final = 5.0


class Load(msgspec.Struct, frozen=True):
    """The load of one run.

    Attributes:
        per_s: Online requests per second.
        has_batch: Whether batch requests keep the engines busy.
        burst_factor: Factor of the online rate during the burst.
    """

    per_s: float
    has_batch: bool
    burst_factor: float = 1.0


class RunResult(msgspec.Struct, frozen=True):
    """Measurements of one run.

    Attributes:
        first_token_ms: Sorted times to first token of online requests.
        online_tokens: Tokens of online responses per second.
        batch_tokens: Tokens of batch responses per second.
        admission_wait_ms: Sorted times until the engine started online
            requests that arrived while it was running batch.
        refused: Number of requests that ended with a refusal, online ones
            included.
        repeated_attempts: Number of attempts that an engine started more than
            once.
        preempted: Number of times that a batch attempt was preempted.
    """

    first_token_ms: tuple[float, ...]
    online_tokens: float
    batch_tokens: float
    admission_wait_ms: tuple[float, ...]
    refused: int
    repeated_attempts: int
    preempted: int


def run() -> Iterator[dict[str, object]]:
    """Yield the results of all cases."""
    yield from run_interference()
    yield from run_preemption()
    yield from run_shares()


def run_interference() -> Iterator[dict[str, object]]:
    """Yield case 1: how batch slows online down, and its use of idle time."""
    full = _simulate(Load(0.0, True), False)
    for name, has_agents in SYSTEMS:
        alone = _simulate(Load(ONLINE_PER_S, False), has_agents)
        both = _simulate(Load(ONLINE_PER_S, True), has_agents)
        idle = full.batch_tokens - both.online_tokens
        p99_ratio = get_percentile(both.first_token_ms, 0.99) / get_percentile(
            alone.first_token_ms, 0.99
        )
        yield {
            "case": "1 online beside batch",
            "system": name,
            "p50_alone_ms": get_percentile(alone.first_token_ms, 0.5),
            "p99_alone_ms": get_percentile(alone.first_token_ms, 0.99),
            "p50_ms": get_percentile(both.first_token_ms, 0.5),
            "p99_ms": get_percentile(both.first_token_ms, 0.99),
            "p99_ratio": round(p99_ratio, 3),
            "p99_ratio_aim": MAX_P99_RATIO,
            "batch_of_idle": round(both.batch_tokens / idle, 3),
            "batch_of_idle_aim": MIN_IDLE_FRACTION,
            "yielded": both.preempted,
        }


def run_preemption() -> Iterator[dict[str, object]]:
    """Yield case 2: how soon batch is preempted by an online burst."""
    for name, has_agents in SYSTEMS:
        load = Load(BASE_ONLINE_PER_S, True, BURST_FACTOR)
        result = _simulate(load, has_agents)
        yield {
            "case": "2 online burst",
            "system": name,
            "wait_p50_ms": get_percentile(result.admission_wait_ms, 0.5),
            "wait_max_ms": get_percentile(result.admission_wait_ms, 1.0),
            "wait_max_ms_aim": MAX_PREEMPTION_MS,
            "first_p99_ms": get_percentile(result.first_token_ms, 0.99),
            "batch_lost": result.refused,
            "batch_lost_aim": 0,
            "batch_doubled": result.repeated_attempts,
            "yielded": result.preempted,
        }


def run_shares() -> Iterator[dict[str, object]]:
    """Yield case 3: the smallest share of eight workspaces, one overloading."""
    for name, has_agents in SYSTEMS:
        yield {
            "case": "3 shares of eight workspaces",
            "system": name,
            **virtual_time.run(_simulate_shares, has_agents),
        }


def get_percentile(ordered: tuple[float, ...], fraction: float) -> float:
    """Return the value below which `fraction` of the ordered values lie."""
    if not ordered:
        return 0.0
    return round(
        ordered[min(len(ordered) - 1, int(fraction * len(ordered)))], 2
    )


def _simulate(load: Load, has_agents: bool) -> RunResult:
    return virtual_time.run(_simulate_on_loop, load, has_agents)


async def _simulate_on_loop(load: Load, has_agents: bool) -> RunResult:
    start = virtual_time.get_now()
    results: list[RunResult] = []
    async with fleets.open_fleet(
        OPTIONS, ENGINES, has_agents=has_agents
    ) as fleet:
        async with anyio.create_task_group() as tasks:
            if load.per_s:
                tasks.start_soon(_send_online, fleet, load)
            if load.has_batch:
                for index in range(ENGINES):
                    for slot in range(BATCH_REQUESTS_PER_ENGINE):
                        tasks.start_soon(_send_batch, fleet, index, slot)
            await anyio.sleep(WARM_UP_S + MEASURE_S)
            tasks.cancel_scope.cancel()
        results.append(_collect_result(fleet, start, load))
    return results[0]


async def _send_online(fleet: fleets.Fleet, load: Load) -> None:
    rng = random.Random(SEED)
    burst_at = virtual_time.get_now() + WARM_UP_S
    count = 0
    while True:
        is_burst = 0 <= virtual_time.get_now() - burst_at < BURST_S
        rate = load.per_s * (load.burst_factor if is_burst else 1.0)
        await anyio.sleep(rng.expovariate(rate))
        request = fleets.Request(
            "desk",
            fleets.ONLINE,
            fleets.create_prompt(rng),
            rng.randint(*ONLINE_TOKENS),
        )
        fleet.send(request, count % ENGINES)
        count += 1


async def _send_batch(fleet: fleets.Fleet, index: int, slot: int) -> None:
    rng = random.Random(f"{SEED} {index} {slot}")
    while True:
        request = fleets.Request(
            "parish",
            fleets.BATCH,
            fleets.create_prompt(rng),
            rng.randint(*BATCH_TOKENS),
        )
        await fleet.send(request, index).ended.wait()


def _collect_result(fleet: fleets.Fleet, start: float, load: Load) -> RunResult:
    since = start + WARM_UP_S
    until = since + (BURST_S if load.burst_factor > 1 else MEASURE_S)
    online = [t for t in fleet.traces if t.request.klass is fleets.ONLINE]
    measured = [t for t in online if since <= t.sent_at < until and t.first_at]
    admitted_by_attempt = {
        each.attempt: each.at
        for core in fleet.cores
        for each in core.admissions
    }
    admission_waits_ms = (
        (admitted_by_attempt[t.attempt] - t.sent_at) * MS_PER_S
        for t in measured
        if t.has_met_batch
    )
    first_tokens_s = ((t.first_at or 0.0) - t.sent_at for t in measured)
    repeated_attempts = sum(
        count > 1
        for core in fleet.cores
        for count in core.executions_by_attempt.values()
    )
    return RunResult(
        first_token_ms=tuple(
            sorted(first_s * MS_PER_S for first_s in first_tokens_s)
        ),
        online_tokens=_count_tokens(online, since),
        batch_tokens=_count_tokens(
            [t for t in fleet.traces if t.request.klass is fleets.BATCH], since
        ),
        admission_wait_ms=tuple(sorted(admission_waits_ms)),
        refused=sum(t.refusal is not None for t in fleet.traces),
        repeated_attempts=repeated_attempts,
        preempted=sum(agent.scheduler.preempted for agent in fleet.agents),
    )


def _count_tokens(traces: list[fleets.Trace], since: float) -> float:
    """Return tokens per second of responses that ended after `since`."""
    tokens = sum(
        t.request.tokens
        for t in traces
        if t.is_ok and t.ended_at is not None and t.ended_at >= since
    )
    return tokens / MEASURE_S


class WorkspaceLoad(msgspec.Struct, frozen=True):
    """The load of one workspace in case 3.

    Attributes:
        name: Name of the workspace.
        weight: Weight of the workspace.
        factor: Demand, as a multiple of the share that its weight gives.
        tokens: Smallest and largest number of tokens of a request.
        endpoints: Indexes of the endpoints that requests go to, in turn.
    """

    name: str
    weight: float
    factor: float
    tokens: tuple[int, int]
    endpoints: tuple[int, ...]


WORKSPACE_LOADS: Final = (
    WorkspaceLoad("large-1", LARGE_WEIGHT, DEMAND_FACTOR, (16, 64), (0, 1)),
    WorkspaceLoad("large-2", LARGE_WEIGHT, DEMAND_FACTOR, (128, 512), (0, 1)),
    WorkspaceLoad("large-3", LARGE_WEIGHT, DEMAND_FACTOR, (16, 64), (1, 0)),
    WorkspaceLoad("small-1", 1.0, DEMAND_FACTOR, (16, 64), (0, 1)),
    WorkspaceLoad("small-2", 1.0, DEMAND_FACTOR, (256, 512), (1, 0)),
    WorkspaceLoad("small-3", 1.0, DEMAND_FACTOR, (8, 16), (0,)),
    WorkspaceLoad("small-4", 1.0, DEMAND_FACTOR, (16, 64), (1,)),
    WorkspaceLoad(
        "greedy", 1.0, DEMAND_FACTOR * GREEDY_FACTOR, (16, 64), (0, 1)
    ),
)


async def _simulate_shares(has_agents: bool) -> dict[str, object]:
    figures: dict[str, object] = {}
    total = sum(load.weight for load in WORKSPACE_LOADS)
    fleet = fleets.open_fleet(OPTIONS, ENGINES, has_agents=has_agents)
    async with fleet as opened, anyio.create_task_group() as tasks:
        for load in WORKSPACE_LOADS:
            entitled = APPROXIMATE_TOKENS_PER_S * load.weight / total
            tasks.start_soon(_send_load, opened, load, entitled * load.factor)
        await anyio.sleep(WARM_UP_S)
        opened.served_by_workspace.clear()
        await anyio.sleep(MEASURE_S)
        figures.update(_compare_shares(opened))
        tasks.cancel_scope.cancel()
    return figures


async def _send_load(
    fleet: fleets.Fleet, load: WorkspaceLoad, rate: float
) -> None:
    """Send requests of one workspace at `rate` tokens of work per second."""
    rng = random.Random(f"{SEED} {load.name}")
    count = 0
    while True:
        request = fleets.Request(
            load.name,
            fleets.ONLINE,
            fleets.create_prompt(rng),
            rng.randint(*load.tokens),
            load.weight,
        )
        await anyio.sleep(rng.expovariate(rate / request.cost))
        fleet.send(request, load.endpoints[count % len(load.endpoints)])
        count += 1


def _compare_shares(fleet: fleets.Fleet) -> dict[str, object]:
    """Compare the work done for each workspace with its fair share."""
    served = {
        load.name: fleet.served_by_workspace[load.name]
        for load in WORKSPACE_LOADS
    }
    demanded = {
        load.name: sum(
            t.request.cost
            for t in fleet.traces
            if t.request.workspace == load.name
        )
        * MEASURE_S
        / (WARM_UP_S + MEASURE_S)
        for load in WORKSPACE_LOADS
    }
    entitled = compute_fair_shares(sum(served.values()), demanded)
    fraction = {name: served[name] / entitled[name] for name in entitled}
    worst = min(fraction, key=lambda name: fraction[name])
    others = [t for t in fleet.traces if t.request.workspace != "greedy"]
    refused = sum(t.refusal is not None for t in others)
    return {
        "worst": worst,
        "worst_share": round(fraction[worst], 3),
        "worst_share_aim": MIN_SHARE_FRACTION,
        "refused_wrongly": round(refused / len(others), 5),
        "refused_wrongly_aim": MAX_REFUSED_FRACTION,
        "share_by_workspace": {n: round(p, 3) for n, p in fraction.items()},
        "tokens_per_s": round(sum(served.values()) / MEASURE_S),
    }


def compute_fair_shares(
    whole: float, demanded: dict[str, float]
) -> dict[str, float]:
    """Return the weighted max-min fair shares of `whole`.

    What a workspace does not demand is divided among the others.
    """
    weights = {load.name: load.weight for load in WORKSPACE_LOADS}
    entitled: dict[str, float] = {}
    remaining = whole
    while weights:
        per_weight = remaining / sum(weights.values())
        satisfied = [
            n for n in weights if demanded[n] <= per_weight * weights[n]
        ]
        if not satisfied:
            entitled.update(
                {n: per_weight * weight for n, weight in weights.items()}
            )
            return entitled
        for name in satisfied:
            entitled[name] = demanded[name]
            remaining -= demanded[name]
            del weights[name]
    return entitled
