"""What state costs: replicas of the configuration, histograms, the router."""

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
from eelgrassgate.keys import granting
from eelgrassgate.metrics import names
from eelgrassgate.metrics import recorder
from eelgrassgate.routing import base
from eelgrassgate.routing import router as routing
from eelgrassgate.standins import virtual

WORKSPACES: Final = (100, 300, 600, 910)
KEYS_PER_WORKSPACE: Final = 3
NODES: Final = (16, 32, 64, 128)
CHANGES: Final = (0, 10, 20, 40)
CHANGED_NODES: Final = 32
ZONES: Final = "abcd"
REMOTE_LINKS: Final = 8
SETTLE_S: Final = 5.0
SPAN_S: Final = 20.0
AGENTS: Final = (8, 64, 256, 600)
MODELS: Final = 17
CALLS: Final = 2_000
DIGESTS: Final = 20
SEED: Final = 7
KB: Final = 1000.0


def build_fleet(workspaces: int) -> fleet_lib.Fleet:
    """Return a fleet with three keys for each workspace."""
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
    """Return the KB that one instance keeps of a configuration."""
    mesh = replicas.Mesh(1, "a", 0)
    fleet = build_fleet(workspaces)
    (await apply.apply(mesh.memory, fleet, 0, "first")).unwrap()
    tracemalloc.start()
    async with mesh.run():
        await mesh.wait_for(1)
        await anyio.sleep(SETTLE_S)
        kept, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return {"kb": kept / KB}


async def measure_followers(nodes: int) -> dict[str, float]:
    """Return store calls a second of a quiet fleet."""
    mesh = replicas.Mesh(nodes, ZONES, REMOTE_LINKS)
    (await apply.apply(mesh.memory, build_fleet(100), 0, "first")).unwrap()
    async with mesh.run():
        await mesh.wait_for(1)
        await anyio.sleep(SETTLE_S)
        reads = mesh.count("reads")
        await anyio.sleep(SPAN_S)
        reads = mesh.count("reads") - reads
        return {
            "reads": reads / SPAN_S,
            "watches": float(mesh.count("watches_open")),
        }


async def measure_changes(changes: int) -> dict[str, float]:
    """Return what keys granted within a fixed time cost one instance."""
    mesh = replicas.Mesh(CHANGED_NODES, ZONES, REMOTE_LINKS)
    (await apply.apply(mesh.memory, build_fleet(910), 0, "first")).unwrap()
    async with mesh.run():
        await mesh.wait_for(1)
        await anyio.sleep(SETTLE_S)
        sent = sum(node.bytes_sent for node in mesh.nodes)
        read, written = mesh.count("bytes_read"), mesh.count("writes")
        spent = time.process_time()
        for number in range(changes):
            done = await granting.grant(
                mesh.memory,
                f"new-{number}",
                "workspace-1",
                f"{number:064}",
                f"{number}",
            )
            done.unwrap()
            await anyio.sleep(SPAN_S / changes)
        if not changes:
            await anyio.sleep(SPAN_S)
        spent = time.process_time() - spent
        sent = sum(node.bytes_sent for node in mesh.nodes) - sent
        return {
            "cpu_ms": spent * 1e3 / CHANGED_NODES,
            "bytes": sent / CHANGED_NODES,
            "store_bytes": float(mesh.count("bytes_read") - read),
            "store_writes": float(mesh.count("writes") - written),
        }


def measure_histograms(workspaces: int) -> tuple[int, dict[str, float]]:
    """Return the number of series and the KB that they take."""

    def fill() -> recorder.Recorder:
        held = recorder.create_recorder("entry", clock=lambda: 0.0)
        series = itertools.product(
            range(workspaces), outcomes.Class, names.TIMERS
        )
        for index, klass, metric in series:
            is_gap = metric.name == recorder.GAP
            for _ in range(recorder.GAP_SAMPLING if is_gap else 1):
                held.time(metric.name, f"w{index}", klass, 0.05)
        return held

    size, _ = metrics.measure_bytes(fill)
    count = workspaces * len(outcomes.Class) * len(names.TIMERS)
    return count, {"kb": size / KB}


def measure_router(agents: int) -> dict[str, float]:
    """Return the µs of one choice and the KB that the router keeps."""
    tracemalloc.start()
    router = _create_router(agents)
    kept, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    chance = random.Random(SEED)
    requests = [
        base.Request(
            klass=outcomes.Class.ONLINE,
            model=f"model-{n % MODELS}" if agents >= MODELS else "model-0",
            digests=tuple(
                f"{chance.getrandbits(64):016x}" for _ in range(DIGESTS)
            ),
        )
        for n in range(CALLS)
    ]
    outcome = base.Outcome(is_whole=True, first_part_s=0.1)
    spent = time.process_time()
    for request in requests:
        chosen = router.choose(request).value_or(None)
        if chosen is not None:
            router.finish(chosen, outcome)
    spent = time.process_time() - spent
    return {"us": spent / CALLS * 1e6, "kb": kept / KB}


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
        router.update(f"a{n}", info, f"z{zone}", f"r{zone // 2}")
        router.report(f"a{n}", report)
    return router


def run() -> tuple[slopes.Slope, ...]:
    """Measure all of them."""
    replica = {n: virtual.run(measure_replica, n) for n in WORKSPACES}
    followers = {n: virtual.run(measure_followers, n) for n in NODES}
    changes = {n: virtual.run(measure_changes, n) for n in CHANGES}
    series = dict(map(measure_histograms, WORKSPACES))
    router = {n: measure_router(n) for n in AGENTS}
    keyed, instance = "workspace with three keys", "instance"
    change, agent = "change of one key", "agent"
    return (
        slopes.create("replica-memory", keyed, "KB traced", replica, "kb"),
        slopes.create("config-reads", instance, "reads/s", followers, "reads"),
        slopes.create(
            "config-watches", instance, "open watches", followers, "watches"
        ),
        slopes.create(
            "change-cpu", change, "ms of core an instance", changes, "cpu_ms"
        ),
        slopes.create(
            "change-bytes", change, "B sent an instance", changes, "bytes"
        ),
        slopes.create(
            "change-store-bytes",
            change,
            "B read of the store in all",
            changes,
            "store_bytes",
        ),
        slopes.create("histogram-memory", "series", "KB traced", series, "kb"),
        slopes.create("router-cpu", agent, "µs a choice", router, "us"),
        slopes.create("router-memory", agent, "KB traced", router, "kb"),
    )
