"""Cost of state in each instance: configuration, histograms and router."""

import itertools
import random
import time
import tracemalloc
from typing import Final

import anyio

from bench import capacity_slopes as slopes
from bench import metrics
from bench import replicas
from eelgrassgate import messages
from eelgrassgate import outcomes
from eelgrassgate import settings
from eelgrassgate.config import apply
from eelgrassgate.config import fleet as fleet_lib
from eelgrassgate.keys import digest
from eelgrassgate.keys import grants
from eelgrassgate.metrics import names
from eelgrassgate.metrics import recorder
from eelgrassgate.routing import base
from eelgrassgate.routing import router as routing
from eelgrassgate.standins import virtual_time

WORKSPACES: Final = (100, 300, 600, 910)
KEYS_PER_WORKSPACE: Final = 3
INSTANCES: Final = (16, 32, 64, 128)
CHANGES: Final = (0, 10, 20, 40)
CHANGE_INSTANCES: Final = 32
ZONES: Final = "abcd"
REMOTE_LINKS: Final = 8
SETTLE_S: Final = 5.0
MEASURE_S: Final = 20.0
AGENTS: Final = (8, 64, 256, 600)
MODELS: Final = 17
CALLS: Final = 2_000
DIGESTS_PER_PROMPT: Final = 20
SEED: Final = 7
KB: Final = 1000.0


def build_fleet(workspaces: int) -> fleet_lib.Fleet:
    """Return a configuration with three keys per workspace."""
    rate = fleet_lib.Rate(per_second=10, burst=50)
    return fleet_lib.Fleet(
        workspaces={
            f"workspace-{n}": fleet_lib.Workspace(rate=rate)
            for n in range(workspaces)
        },
        keys={
            f"key-{n}": fleet_lib.Key(
                digest=digest.compute_digest(str(n)),
                workspace=f"workspace-{n % workspaces}",
            )
            for n in range(workspaces * KEYS_PER_WORKSPACE)
        },
    )


async def measure_replica(workspaces: int) -> dict[str, float]:
    """Return the KB of memory that one replica of a configuration takes."""
    mesh = replicas.Mesh(1, "a", 0)
    fleet = build_fleet(workspaces)
    (await apply.apply(mesh.memory, fleet, 0, "first")).unwrap()
    tracemalloc.start()
    async with mesh.run():
        await mesh.wait_for(1)
        await anyio.sleep(SETTLE_S)
        traced_bytes, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return {"kb": traced_bytes / KB}


async def measure_idle_replicas(nodes: int) -> dict[str, float]:
    """Return store calls per second of replicas without changes."""
    mesh = replicas.Mesh(nodes, ZONES, REMOTE_LINKS)
    (await apply.apply(mesh.memory, build_fleet(100), 0, "first")).unwrap()
    async with mesh.run():
        await mesh.wait_for(1)
        await anyio.sleep(SETTLE_S)
        reads = mesh.count("reads")
        await anyio.sleep(MEASURE_S)
        reads = mesh.count("reads") - reads
        return {
            "reads": reads / MEASURE_S,
            "watches": float(mesh.count("watches_open")),
        }


async def measure_changes(changes: int) -> dict[str, float]:
    """Return the cost of granting `changes` keys in `MEASURE_S` seconds.

    Processor time and bytes sent are per instance; store figures are totals.
    """
    mesh = replicas.Mesh(CHANGE_INSTANCES, ZONES, REMOTE_LINKS)
    (await apply.apply(mesh.memory, build_fleet(910), 0, "first")).unwrap()
    async with mesh.run():
        await mesh.wait_for(1)
        await anyio.sleep(SETTLE_S)
        sent = sum(node.bytes_sent for node in mesh.nodes)
        read, written = mesh.count("bytes_read"), mesh.count("writes")
        processor_s = time.process_time()
        for number in range(changes):
            granted = await grants.grant(
                mesh.memory,
                f"new-{number}",
                "workspace-1",
                f"{number:064}",
                f"{number}",
            )
            granted.unwrap()
            await anyio.sleep(MEASURE_S / changes)
        if not changes:
            await anyio.sleep(MEASURE_S)
        processor_s = time.process_time() - processor_s
        sent = sum(node.bytes_sent for node in mesh.nodes) - sent
        return {
            "cpu_ms": processor_s * 1e3 / CHANGE_INSTANCES,
            "bytes": sent / CHANGE_INSTANCES,
            "store_bytes": float(mesh.count("bytes_read") - read),
            "store_writes": float(mesh.count("writes") - written),
        }


def measure_histograms(workspaces: int) -> tuple[int, dict[str, float]]:
    """Return the number of series and the KB of memory that they take."""

    def fill_recorder() -> recorder.Recorder:
        filled = recorder.create_recorder("entry", clock=lambda: 0.0)
        series = itertools.product(
            range(workspaces), outcomes.RequestClass, names.TIMERS
        )
        for index, klass, metric in series:
            is_gap = metric.name == recorder.TOKEN_INTERVAL
            for _ in range(recorder.TOKEN_INTERVAL_SAMPLING if is_gap else 1):
                filled.time(metric.name, f"w{index}", klass, 0.05)
        return filled

    size, _ = metrics.measure_bytes(fill_recorder)
    count = workspaces * len(outcomes.RequestClass) * len(names.TIMERS)
    return count, {"kb": size / KB}


def measure_router(agents: int) -> dict[str, float]:
    """Return the µs of one choice and the KB of memory of the router."""
    tracemalloc.start()
    router = _create_router(agents)
    traced_bytes, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    rng = random.Random(SEED)
    requests = [
        base.Request(
            klass=outcomes.RequestClass.ONLINE,
            model=f"model-{n % MODELS}" if agents >= MODELS else "model-0",
            digests=tuple(
                f"{rng.getrandbits(64):016x}" for _ in range(DIGESTS_PER_PROMPT)
            ),
        )
        for n in range(CALLS)
    ]
    outcome = base.Outcome(is_complete=True, first_part_s=0.1)
    processor_s = time.process_time()
    for request in requests:
        choice = router.choose(request).value_or(None)
        if choice is not None:
            router.finish(choice, outcome)
    processor_s = time.process_time() - processor_s
    return {"us": processor_s / CALLS * 1e6, "kb": traced_bytes / KB}


def _create_router(agents: int) -> routing.Router:
    place = settings.Place(instance="e", zone="z0", region="r0")
    router = routing.create_router(place, seed=SEED)
    report = messages.LoadReport(
        online_queued=0,
        online_running=3,
        batch_queued=0,
        batch_running=0,
        window=8,
    )
    for n in range(agents):
        info = messages.EndpointInfo(
            f"m{n}", "engine", models=(f"model-{n % MODELS}",)
        )
        zone = n % len(ZONES)
        router.add(f"a{n}", info, f"z{zone}", f"r{zone // 2}")
        router.handle_report(f"a{n}", report)
    return router


def run() -> tuple[slopes.Slope, ...]:
    """Measure all sizes."""
    replica = {n: virtual_time.run(measure_replica, n) for n in WORKSPACES}
    idle = {n: virtual_time.run(measure_idle_replicas, n) for n in INSTANCES}
    changes = {n: virtual_time.run(measure_changes, n) for n in CHANGES}
    series = dict(map(measure_histograms, WORKSPACES))
    router = {n: measure_router(n) for n in AGENTS}
    workspace, instance = "workspace with three keys", "instance"
    change, agent = "change of one key", "agent"
    return (
        slopes.create_slope(
            "replica-memory", workspace, "KB traced", replica, "kb"
        ),
        slopes.create_slope("config-reads", instance, "reads/s", idle, "reads"),
        slopes.create_slope(
            "config-watches", instance, "open watches", idle, "watches"
        ),
        slopes.create_slope(
            "change-cpu", change, "ms of core an instance", changes, "cpu_ms"
        ),
        slopes.create_slope(
            "change-bytes", change, "B sent an instance", changes, "bytes"
        ),
        slopes.create_slope(
            "change-store-bytes",
            change,
            "B read of the store in all",
            changes,
            "store_bytes",
        ),
        slopes.create_slope(
            "histogram-memory", "series", "KB traced", series, "kb"
        ),
        slopes.create_slope("router-cpu", agent, "µs a choice", router, "us"),
        slopes.create_slope("router-memory", agent, "KB traced", router, "kb"),
    )
