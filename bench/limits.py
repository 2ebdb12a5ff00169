"""Benchmark of rate limits shared by several entries, in virtual time.

Limiters, messages and memberships are the production code; clocks, links and
arrivals are simulated and seeded. The baseline `fifo` gives each entry a fixed
equal share of every rate.
"""

from collections.abc import Callable
from collections.abc import Iterator
import itertools
import time
from typing import Final

import anyio
import msgspec

from bench import limiter_fleet
from bench import limiter_site
from bench import windows
from eelgrassgate.limits import limiter
from eelgrassgate.limits import timing

SEEDS: Final = (1, 2, 3)
RATES: Final = {
    "large-1": (60.0, 60.0),
    "large-2": (40.0, 60.0),
    "large-3": (30.0, 30.0),
    "small-1": (8.0, 16.0),
    "small-2": (5.0, 10.0),
    "small-3": (5.0, 10.0),
    "small-4": (2.0, 6.0),
    "small-5": (1.0, 4.0),
}
OVERLOAD_FACTOR: Final = 3.0
PARTIAL_LOAD: Final = 0.8
WARM_UP_S: Final = 20.0
JOINED_S: Final = 40.0
FAULTS_END_S: Final = 110.0
SKEW_END_S: Final = 80.0
SHARE_TTL_S: Final = 30.0

WORKSPACES: Final = 910
REQUESTS_PER_ENTRY: Final = 4000.0 / 370
MEASURE_S: Final = 5.0
CONTROL_ENTRY_COUNTS: Final = (2, 4, 8, 16, 32, 64)
TARGET_ENTRIES: Final = 370

CREATORS: Final[dict[str, limiter_fleet.CreateLimiter]] = {
    "eelgrassgate": limiter.create_limiter,
    "fifo": limiter_fleet.create_even_split,
}


class Fault(msgspec.Struct, frozen=True):
    """A fault that is injected into the last entry, the store or the link.

    Attributes:
        at: Time in seconds after all entries have joined.
        action: Name of the fault; see `_apply_fault`.
    """

    at: float
    action: str


# Both store outages outlast a loan; the first one spans a restart.
FAULTS: Final = (
    Fault(4.0, "store down"),
    Fault(10.0, "kill"),
    Fault(12.0, "restart"),
    Fault(18.0, "store up"),
    Fault(24.0, "pause"),
    Fault(30.0, "resume"),
    Fault(36.0, "split"),
    Fault(38.0, "store down"),
    Fault(46.0, "heal"),
    Fault(48.0, "pause"),
    Fault(49.0, "resume"),
    Fault(52.0, "store up"),
    Fault(56.0, "kill"),
    Fault(56.0, "restart"),
)


def run() -> Iterator[dict[str, object]]:
    """Yield the results of all cases."""
    yield from run_faults()
    yield from run_skew()
    yield from run_control()


def run_faults() -> Iterator[dict[str, object]]:
    """Yield case 4: requests admitted over the limit under faults."""
    for count, (system, create) in itertools.product(
        (2, 4, 8), CREATORS.items()
    ):
        sites = [_run_site_with_faults(count, seed, create) for seed in SEEDS]
        excess = sum(sum(site.find_excess().values()) for site in sites)
        throughput = sum(
            site.compute_throughput(JOINED_S, FAULTS_END_S) for site in sites
        )
        yield {
            "case": "4 over-admission under faults",
            "system": system,
            "entries": count,
            "seeds": len(SEEDS),
            "admitted": sum(len(site.fleet.admitted) for site in sites),
            "tokens_over": round(excess, 6),
            "part_of_rate_used": round(throughput / len(SEEDS), 4),
        }


def run_skew() -> Iterator[dict[str, object]]:
    """Yield case 5: unnecessary refusals when few entries get the traffic."""
    for count, (traffic, select), (system, create) in itertools.product(
        (2, 4, 8), _SELECTORS_BY_TRAFFIC.items(), CREATORS.items()
    ):
        offered, unnecessary = 0, 0
        for seed in SEEDS:
            fleet = limiter_fleet.Fleet(
                _assign_regions(count), RATES, seed, create=create
            )
            nodes = select(fleet)
            _add_load(fleet, nodes, PARTIAL_LOAD, WARM_UP_S, SKEW_END_S)
            fleet.run_until(SKEW_END_S + timing.MAX_WAIT_S)
            offered += len(fleet.admitted) + len(fleet.refused)
            unnecessary += sum(1 for _ in _iterate_unnecessary_refusals(fleet))
        yield {
            "case": "5 wrongful refusals under skew",
            "system": system,
            "entries": count,
            "traffic": traffic,
            "load": PARTIAL_LOAD,
            "requests": offered,
            "wrongful": unnecessary,
            "wrongful_percent": round(100.0 * unnecessary / offered, 3),
        }


def run_control() -> Iterator[dict[str, object]]:
    """Yield the cost of the limiter for each entry at 910 workspaces."""
    rate = TARGET_ENTRIES * REQUESTS_PER_ENTRY / WORKSPACES / PARTIAL_LOAD
    rates = {f"w{index}": (rate, 2 * rate) for index in range(WORKSPACES)}
    for count, load in itertools.product(CONTROL_ENTRY_COUNTS, (0.0, 1.0)):
        fleet = limiter_fleet.Fleet(_assign_regions(count), rates, SEEDS[0])
        fleet.run_until(MEASURE_S)
        before = _measure(fleet)
        for node in fleet.nodes if load else ():
            _add_random_load(fleet, node, 2 * MEASURE_S)
        fleet.run_until(2 * MEASURE_S)
        after = _measure(fleet)
        span = MEASURE_S * count
        sent = tuple(
            late - early
            for late, early in zip(after.by_node, before.by_node, strict=True)
        )
        yield {
            "case": "limiter's cost for each entry",
            "entries": count,
            "workspaces": WORKSPACES,
            "requests_per_second_per_entry": round(load * REQUESTS_PER_ENTRY),
            "bytes_per_second": round(sum(sent) / span),
            "bytes_per_second_of_busiest": round(max(sent) / MEASURE_S),
            "messages_per_second": round(
                (after.messages - before.messages) / span, 1
            ),
            "cpu_percent": round(
                (after.busy_ns - before.busy_ns) / span / 1e7, 3
            ),
        }


class _Cost(msgspec.Struct, frozen=True):
    messages: int
    busy_ns: int
    by_node: tuple[int, ...]


def _measure(fleet: limiter_fleet.Fleet) -> _Cost:
    return _Cost(
        fleet.messages_sent,
        sum(node.busy_ns for node in fleet.nodes),
        tuple(node.bytes_sent for node in fleet.nodes),
    )


def _assign_regions(count: int) -> tuple[str, ...]:
    """Return the region of each entry; two thirds are in the first."""
    first = max(1, round(count * 2 / 3))
    return ("cornwall",) * min(first, count - 1) + ("surrey",) * (
        count - min(first, count - 1)
    )


def _add_load(
    fleet: limiter_fleet.Fleet,
    nodes: list[limiter_fleet.Node],
    load: float,
    start: float,
    end: float,
) -> None:
    for node, (bucket, (rate, _)) in itertools.product(nodes, RATES.items()):
        fleet.add_poisson_load(
            node, bucket, load * rate / len(nodes), end, start
        )


def _add_random_load(
    fleet: limiter_fleet.Fleet, node: limiter_fleet.Node, end: float
) -> None:
    """Send requests of random workspaces to a node, as a Poisson process."""

    def arrive() -> None:
        fleet.send_request(node, f"w{fleet.random.randrange(WORKSPACES)}")
        next_at = fleet.now + fleet.random.expovariate(REQUESTS_PER_ENTRY)
        if next_at < end:
            fleet.call_at(next_at, arrive)

    fleet.call_later(fleet.random.expovariate(REQUESTS_PER_ENTRY), arrive)


_SELECTORS_BY_TRAFFIC: Final[
    dict[str, Callable[[limiter_fleet.Fleet], list[limiter_fleet.Node]]]
] = {
    "spread": lambda fleet: fleet.nodes,
    "one entry": lambda fleet: fleet.nodes[:1],
    "one region": lambda fleet: [
        node for node in fleet.nodes if node.region == "surrey"
    ],
}


def _iterate_unnecessary_refusals(
    fleet: limiter_fleet.Fleet,
) -> Iterator[float]:
    for bucket, rate in RATES.items():
        yield from windows.iterate_unnecessary_refusals(
            fleet.admitted, fleet.refused, bucket, *rate, since=WARM_UP_S
        )


def _run_site_with_faults(
    count: int, seed: int, create: limiter_fleet.CreateLimiter
) -> limiter_site.Site:
    site = limiter_site.Site(
        _assign_regions(count), RATES, SHARE_TTL_S, seed, create
    )
    _add_load(
        site.fleet, site.fleet.nodes, OVERLOAD_FACTOR, JOINED_S, FAULTS_END_S
    )
    anyio.run(_run_faults, site)
    return site


async def _run_faults(site: limiter_site.Site) -> None:
    for fault in FAULTS:
        await site.run_until(JOINED_S + fault.at)
        _apply_fault(site, fault.action)
    await site.run_until(FAULTS_END_S)


def _apply_fault(site: limiter_site.Site, action: str) -> None:
    index = len(site.fleet.nodes) - 1
    node = site.fleet.nodes[index]
    match action:
        case "store down" | "store up":
            site.set_store_down(action == "store down")
        case "split" | "heal":
            site.fleet.is_partitioned = action == "split"
        case "kill":
            site.fleet.kill(node)
        case "restart":
            site.restart(index, f"10.0.0.{index}:1")
        case "pause":
            site.fleet.pause(node)
        case "resume":
            site.fleet.resume(node)


def main() -> None:
    """Print the results of all cases."""
    start = time.monotonic()
    for line in run():
        print(msgspec.json.encode(line).decode())
    print(f"{time.monotonic() - start:.0f} s")


if __name__ == "__main__":
    main()
