"""Online before batch, and shares among workspaces, next to `fifo`.

Virtual time: the agents' code is real, the engines are pretended, the times
are what the engines would have taken.
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
WARM_S: Final = 20.0
MEASURE_S: Final = 40.0
BATCH_TOKENS: Final = (32, 128)
ONLINE_TOKENS: Final = (16, 64)
BATCH_AHEAD: Final = 32
ONLINE_PER_S: Final = 6.0
BURST_FACTOR: Final = 10
BURST_S: Final = 5.0
CALM_PER_S: Final = 2.0
AIM_HARM: Final = 1.1
AIM_IDLE: Final = 0.95
AIM_YIELD_MS: Final = 100.0
AIM_SHARE: Final = 0.95
AIM_REFUSED: Final = 0.001
SYSTEMS: Final = (("fifo", False), ("eelgrassgate", True))
MS_PER_S: Final = 1000.0
LARGE_WEIGHT: Final = 4.0
DEMAND: Final = 2.0
ROUGH_CAPACITY: Final = 4000.0
GREEDY_FACTOR: Final = 5.0


class Load(msgspec.Struct, frozen=True):
    """One run's load: online requests a second, and whether batch fills."""

    per_s: float
    has_batch: bool
    burst_factor: float = 1.0


class Seen(msgspec.Struct, frozen=True):
    """What one run showed.

    Attributes:
        firsts_ms: Sorted times to first token of online requests.
        online_tokens: Tokens of online answers a second.
        batch_tokens: Tokens of batch answers a second.
        waits_ms: Sorted times until online requests ran in an engine that
            batch was in when they came.
        lost: Batch items that ended without an answer.
        doubled: Attempts that an engine began more than once.
        yielded: How often a batch attempt gave way.
    """

    firsts_ms: tuple[float, ...]
    online_tokens: float
    batch_tokens: float
    waits_ms: tuple[float, ...]
    lost: int
    doubled: int
    yielded: int


def run() -> Iterator[dict[str, object]]:
    """Yield the lines of all cases."""
    yield from run_harm()
    yield from run_burst()
    yield from run_shares()


def run_harm() -> Iterator[dict[str, object]]:
    """Measure what batch does to online, and what it gets of idle time."""
    full = _play(Load(0.0, True), False)
    for name, has_agents in SYSTEMS:
        alone = _play(Load(ONLINE_PER_S, False), has_agents)
        both = _play(Load(ONLINE_PER_S, True), has_agents)
        idle = full.batch_tokens - both.online_tokens
        harm = pick(both.firsts_ms, 0.99) / pick(alone.firsts_ms, 0.99)
        yield {
            "case": "1 online beside batch",
            "system": name,
            "p50_alone_ms": pick(alone.firsts_ms, 0.5),
            "p99_alone_ms": pick(alone.firsts_ms, 0.99),
            "p50_ms": pick(both.firsts_ms, 0.5),
            "p99_ms": pick(both.firsts_ms, 0.99),
            "p99_ratio": round(harm, 3),
            "p99_ratio_aim": AIM_HARM,
            "batch_of_idle": round(both.batch_tokens / idle, 3),
            "batch_of_idle_aim": AIM_IDLE,
            "yielded": both.yielded,
        }


def run_burst() -> Iterator[dict[str, object]]:
    """Measure how soon batch gives way to a burst."""
    for name, has_agents in SYSTEMS:
        load = Load(CALM_PER_S, True, BURST_FACTOR)
        seen = _play(load, has_agents)
        yield {
            "case": "2 online burst",
            "system": name,
            "wait_p50_ms": pick(seen.waits_ms, 0.5),
            "wait_max_ms": pick(seen.waits_ms, 1.0),
            "wait_max_ms_aim": AIM_YIELD_MS,
            "first_p99_ms": pick(seen.firsts_ms, 0.99),
            "batch_lost": seen.lost,
            "batch_lost_aim": 0,
            "batch_doubled": seen.doubled,
            "yielded": seen.yielded,
        }


def run_shares() -> Iterator[dict[str, object]]:
    """Measure the worst-served of eight workspaces, one of them greedy."""
    for name, has_agents in SYSTEMS:
        yield {
            "case": "3 shares of eight workspaces",
            "system": name,
            **virtual_time.run(_share, has_agents),
        }


def pick(ordered: tuple[float, ...], part: float) -> float:
    """Return the value below which `part` of the ordered values lie."""
    if not ordered:
        return 0.0
    return round(ordered[min(len(ordered) - 1, int(part * len(ordered)))], 2)


def _play(load: Load, has_agents: bool) -> Seen:
    return virtual_time.run(_play_on_loop, load, has_agents)


async def _play_on_loop(load: Load, has_agents: bool) -> Seen:
    start = virtual_time.get_now()
    seen: list[Seen] = []
    async with fleets.open_fleet(
        OPTIONS, ENGINES, has_agents=has_agents
    ) as fleet:
        async with anyio.create_task_group() as tasks:
            if load.per_s:
                tasks.start_soon(_send_online, fleet, load)
            if load.has_batch:
                for place in range(ENGINES):
                    for lane in range(BATCH_AHEAD):
                        tasks.start_soon(_send_batch, fleet, place, lane)
            await anyio.sleep(WARM_S + MEASURE_S)
            tasks.cancel_scope.cancel()
        seen.append(_see(fleet, start, load))
    return seen[0]


async def _send_online(fleet: fleets.Fleet, load: Load) -> None:
    chance = random.Random(SEED)
    burst_at = virtual_time.get_now() + WARM_S
    turn = 0
    while True:
        is_burst = 0 <= virtual_time.get_now() - burst_at < BURST_S
        rate = load.per_s * (load.burst_factor if is_burst else 1.0)
        await anyio.sleep(chance.expovariate(rate))
        ask = fleets.Ask(
            "desk",
            fleets.ONLINE,
            fleets.write_prompt(chance),
            chance.randint(*ONLINE_TOKENS),
        )
        fleet.send(ask, turn % ENGINES)
        turn += 1


async def _send_batch(fleet: fleets.Fleet, place: int, lane: int) -> None:
    chance = random.Random(f"{SEED} {place} {lane}")
    while True:
        ask = fleets.Ask(
            "parish",
            fleets.BATCH,
            fleets.write_prompt(chance),
            chance.randint(*BATCH_TOKENS),
        )
        await fleet.send(ask, place).ended.wait()


def _see(fleet: fleets.Fleet, start: float, load: Load) -> Seen:
    since = start + WARM_S
    until = since + (BURST_S if load.burst_factor > 1 else MEASURE_S)
    online = [t for t in fleet.traces if t.ask.klass is fleets.ONLINE]
    measured = [t for t in online if since <= t.sent_at < until and t.first_at]
    admitted_by_attempt = {
        each.attempt: each.at
        for core in fleet.cores
        for each in core.admissions
    }
    waits = (
        (admitted_by_attempt[t.attempt] - t.sent_at) * MS_PER_S
        for t in measured
        if t.found_batch
    )
    firsts = ((t.first_at or 0.0) - t.sent_at for t in measured)
    doubled = sum(
        count > 1
        for core in fleet.cores
        for count in core.executions_by_attempt.values()
    )
    return Seen(
        firsts_ms=tuple(sorted(first * MS_PER_S for first in firsts)),
        online_tokens=_count_tokens(online, since),
        batch_tokens=_count_tokens(
            [t for t in fleet.traces if t.ask.klass is fleets.BATCH], since
        ),
        waits_ms=tuple(sorted(waits)),
        lost=sum(t.refusal is not None for t in fleet.traces),
        doubled=doubled,
        yielded=sum(agent.scheduler.preempted for agent in fleet.agents),
    )


def _count_tokens(traces: list[fleets.Trace], since: float) -> float:
    """Count tokens a second of answers that ended after `since`."""
    tokens = sum(
        t.ask.tokens
        for t in traces
        if t.is_ok and t.ended_at is not None and t.ended_at >= since
    )
    return tokens / MEASURE_S


class Share(msgspec.Struct, frozen=True):
    """One workspace of case 3.

    Attributes:
        name: The workspace.
        weight: Its weight.
        factor: Its demand as a part of its weight's due.
        tokens: Tokens of each of its requests, least and most.
        places: The endpoints that its requests go to.
    """

    name: str
    weight: float
    factor: float
    tokens: tuple[int, int]
    places: tuple[int, ...]


SHARES: Final = (
    Share("large-1", LARGE_WEIGHT, DEMAND, (16, 64), (0, 1)),
    Share("large-2", LARGE_WEIGHT, DEMAND, (128, 512), (0, 1)),
    Share("large-3", LARGE_WEIGHT, DEMAND, (16, 64), (1, 0)),
    Share("small-1", 1.0, DEMAND, (16, 64), (0, 1)),
    Share("small-2", 1.0, DEMAND, (256, 512), (1, 0)),
    Share("small-3", 1.0, DEMAND, (8, 16), (0,)),
    Share("small-4", 1.0, DEMAND, (16, 64), (1,)),
    Share("greedy", 1.0, DEMAND * GREEDY_FACTOR, (16, 64), (0, 1)),
)


async def _share(has_agents: bool) -> dict[str, object]:
    judged: dict[str, object] = {}
    total = sum(share.weight for share in SHARES)
    fleet = fleets.open_fleet(OPTIONS, ENGINES, has_agents=has_agents)
    async with fleet as opened, anyio.create_task_group() as tasks:
        for share in SHARES:
            due = ROUGH_CAPACITY * share.weight / total
            tasks.start_soon(_demand, opened, share, due * share.factor)
        await anyio.sleep(WARM_S)
        opened.served_by_workspace.clear()
        await anyio.sleep(MEASURE_S)
        judged.update(_judge(opened))
        tasks.cancel_scope.cancel()
    return judged


async def _demand(fleet: fleets.Fleet, share: Share, rate: float) -> None:
    """Send requests of one workspace at `rate` tokens of work a second."""
    chance = random.Random(f"{SEED} {share.name}")
    turn = 0
    while True:
        ask = fleets.Ask(
            share.name,
            fleets.ONLINE,
            fleets.write_prompt(chance),
            chance.randint(*share.tokens),
            share.weight,
        )
        await anyio.sleep(chance.expovariate(rate / ask.cost))
        fleet.send(ask, share.places[turn % len(share.places)])
        turn += 1


def _judge(fleet: fleets.Fleet) -> dict[str, object]:
    """Compare what each workspace got with what it was due."""
    served = {s.name: fleet.served_by_workspace[s.name] for s in SHARES}
    asked = {
        s.name: sum(
            t.ask.cost for t in fleet.traces if t.ask.workspace == s.name
        )
        * MEASURE_S
        / (WARM_S + MEASURE_S)
        for s in SHARES
    }
    due = divide(sum(served.values()), asked)
    part = {name: served[name] / due[name] for name in due}
    worst = min(part, key=lambda name: part[name])
    others = [t for t in fleet.traces if t.ask.workspace != "greedy"]
    refused = sum(t.refusal is not None for t in others)
    return {
        "worst": worst,
        "worst_share": round(part[worst], 3),
        "worst_share_aim": AIM_SHARE,
        "refused_wrongly": round(refused / len(others), 5),
        "refused_wrongly_aim": AIM_REFUSED,
        "share_by_workspace": {n: round(p, 3) for n, p in part.items()},
        "tokens_per_s": round(sum(served.values()) / MEASURE_S),
    }


def divide(whole: float, asked: dict[str, float]) -> dict[str, float]:
    """Divide `whole` by weight; what one does not ask goes to the others."""
    weights = {share.name: share.weight for share in SHARES}
    due: dict[str, float] = {}
    left = whole
    while weights:
        unit = left / sum(weights.values())
        content = [n for n in weights if asked[n] <= unit * weights[n]]
        if not content:
            due.update({n: unit * weight for n, weight in weights.items()})
            return due
        for name in content:
            due[name] = asked[name]
            left -= asked[name]
            del weights[name]
    return due
