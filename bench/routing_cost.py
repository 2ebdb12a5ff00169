"""Benchmark of the router's cost by number of agents.

Run `python -m bench.routing_cost`.
"""

import random
import sys
import time
import tracemalloc
from typing import Final

import msgspec

from eelgrassgate import messages
from eelgrassgate import outcomes
from eelgrassgate import settings
from eelgrassgate.routing import base
from eelgrassgate.routing import router as routing

SEED: Final = 8663
AGENTS: Final = (12, 75, 150, 300, 600)
MODELS: Final = 17
ZONES: Final = 4
PROMPTS: Final = 1_000
DIGESTS_PER_PROMPT: Final = 20
CALLS: Final = 3_000
PLACE: Final = settings.Place(instance="e", zone="z0", region="r0")
REPORT: Final = messages.LoadReport(
    online_queued=0,
    online_running=3,
    batch_queued=0,
    batch_running=0,
    window=8,
)


class Cost(msgspec.Struct, frozen=True):
    """Time and memory of one router."""

    case: str
    agents: int
    attempt_us: float
    report_us: float
    bytes_of_agents: int
    bytes_of_prefixes: int


def create(agents: int) -> routing.Router:
    """Create a router with `agents` agents of 17 models in 4 zones."""
    router = routing.create_router(PLACE, seed=SEED)
    for index in range(agents):
        model = f"model{index % MODELS}"
        info = messages.EndpointInfo(f"m{index}", "engine", models=(model,))
        zone = index % ZONES
        router.add(f"a{index}", info, f"z{zone}", f"r{zone // 2}")
        router.handle_report(f"a{index}", REPORT)
    return router


def run_attempts(router: routing.Router) -> None:
    """Choose endpoints for random prompts and finish the attempts."""
    rng = random.Random(SEED)
    prompts = [
        tuple(f"{rng.getrandbits(64):016x}" for _ in range(DIGESTS_PER_PROMPT))
        for _ in range(PROMPTS)
    ]
    for index in range(CALLS):
        request = base.Request(
            klass=outcomes.RequestClass.ONLINE,
            model=f"model{index % MODELS}",
            digests=prompts[index % PROMPTS],
        )
        choice = router.choose(request).value_or(None)
        if choice is not None:
            router.finish(
                choice, base.Outcome(is_complete=True, first_part_s=0.1)
            )


def measure(agents: int) -> Cost:
    """Measure time, then memory in a separate run, as tracing adds time."""
    router = create(agents)
    started_at = time.perf_counter()
    run_attempts(router)
    attempted_at = time.perf_counter()
    for index in range(CALLS):
        router.handle_report(f"a{index % agents}", REPORT)
    reported_at = time.perf_counter()
    tracemalloc.start()
    router = create(agents)
    size, _ = tracemalloc.get_traced_memory()
    run_attempts(router)
    grown, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return Cost(
        "routing-cost",
        agents,
        round((attempted_at - started_at) / CALLS * 1e6, 1),
        round((reported_at - attempted_at) / CALLS * 1e6, 2),
        size,
        grown - size,
    )


def main() -> int:
    """Run the cases; return the exit code."""
    for agents in AGENTS:
        print(msgspec.json.encode(measure(agents)).decode(), flush=True)
    return 0


if __name__ == "__main__":
    sys.exit(main())
