"""Benchmark of config propagation: store calls and time to reach all replicas.

Replicas of 370 instances run in one process, in virtual time, on fake links
with the latencies of two regions. `python -m bench.spreading [--nodes N]`
prints one line of JSON for each phase.
"""

from collections.abc import AsyncIterator
import json
import time
from typing import Final

from absl import app
from absl import flags
import anyio

from bench import replicas
from eelgrassgate.config import apply
from eelgrassgate.config import fleet as fleet_lib
from eelgrassgate.keys import digest
from eelgrassgate.keys import grants
from eelgrassgate.standins import virtual_time

NODES: Final = 370
ZONES: Final = "abcd"
REMOTE_LINKS: Final = 8
WORKSPACES: Final = 910
KEYS_PER_WORKSPACE: Final = 3
ENDPOINTS: Final = 600
MODELS: Final = 17
CHANGES: Final = 20
STEADY_S: Final = 20.0
OUTAGE_S: Final = 20.0
RECOVERY_S: Final = 10.0

_NODES = flags.DEFINE_integer("nodes", NODES, "Number of instances.")


def build_fleet() -> fleet_lib.Fleet:
    """Return a configuration of the target's size."""
    rate = fleet_lib.Rate(per_second=10, burst=50)
    return fleet_lib.Fleet(
        workspaces={
            f"workspace-{n}": fleet_lib.Workspace(rate=rate)
            for n in range(WORKSPACES)
        },
        keys={
            f"key-{n}": fleet_lib.Key(
                digest=digest.compute_digest(str(n)),
                workspace=f"workspace-{n % WORKSPACES}",
            )
            for n in range(WORKSPACES * KEYS_PER_WORKSPACE)
        },
        models={f"model-{n}": fleet_lib.Model() for n in range(MODELS)},
        endpoints={
            f"endpoint-{n}": fleet_lib.Endpoint(
                kind="engine", models=(f"model-{n % MODELS}",)
            )
            for n in range(ENDPOINTS)
        },
    )


class Meter:
    """Counts store calls and bytes between readings."""

    def __init__(self, mesh: replicas.Mesh) -> None:
        """Start counting."""
        self._mesh = mesh
        self._last = self._read()

    def read_delta(self) -> dict[str, float]:
        """Return the increase of each counter since the last call, by name."""
        now = self._read()
        figures = {name: now[name] - self._last[name] for name in now}
        self._last = now
        return figures

    def _read(self) -> dict[str, float]:
        names = ("reads", "writes", "watches_opened", "bytes_read")
        counts: dict[str, float] = {n: self._mesh.count(n) for n in names}
        counts["link_bytes"] = sum(n.bytes_sent for n in self._mesh.nodes)
        counts["seconds"] = virtual_time.get_now()
        return counts


async def measure(nodes: int) -> None:
    """Run all phases and print them."""
    mesh = replicas.Mesh(nodes, ZONES, REMOTE_LINKS)
    (await apply.apply(mesh.memory, build_fleet(), 0, "first")).unwrap()
    meter = Meter(mesh)
    async with mesh.run():
        await mesh.wait_for(1)
        print_phase("start", nodes, meter.read_delta())
        await anyio.sleep(5)
        meter.read_delta()
        await anyio.sleep(STEADY_S)
        print_phase(
            "ordinary",
            nodes,
            meter.read_delta(),
            open=mesh.count("watches_open"),
        )
        times = [
            await measure_change(mesh, n)
            async for n in iterate_seconds(CHANGES)
        ]
        print_phase(
            "changes",
            nodes,
            meter.read_delta(),
            count=CHANGES,
            median_s=round(sorted(times)[CHANGES // 2], 3),
            max_s=round(max(times), 3),
        )
        mesh.set_store_down(ZONES, True)
        await anyio.sleep(OUTAGE_S)
        print_phase("outage", nodes, meter.read_delta())
        mesh.set_store_down(ZONES, False)
        for _ in range(3):
            await anyio.sleep(1)
            print_phase("return, one second", nodes, meter.read_delta())
        await anyio.sleep(RECOVERY_S)
        print_phase("return, rest", nodes, meter.read_delta())


async def iterate_seconds(count: int) -> AsyncIterator[int]:
    """Yield numbers from 0, one per second."""
    for number in range(count):
        await anyio.sleep(1)
        yield number


async def measure_change(mesh: replicas.Mesh, number: int) -> float:
    """Grant a key; return the seconds until all replicas have it."""
    granted = await grants.grant(
        mesh.memory,
        f"new-{number}",
        "workspace-1",
        f"{number:064}",
        f"{number}",
    )
    return await mesh.wait_for(granted.unwrap().revision)


def print_phase(
    phase: str, nodes: int, figures: dict[str, float], **more: float
) -> None:
    """Print the figures of one phase as a line of JSON."""
    seconds = figures.pop("seconds")
    line = {"phase": phase, "nodes": nodes, "seconds": round(seconds, 2)}
    for name, value in figures.items():
        line[name] = value
        line[f"{name}_per_s"] = round(value / max(seconds, 0.01), 2)
    print(json.dumps(line | more), flush=True)


def main(argv: list[str]) -> None:
    """Run the benchmark."""
    del argv
    started_at = time.monotonic()
    virtual_time.run(measure, _NODES.value)
    print(json.dumps({"wall_s": round(time.monotonic() - started_at, 1)}))


if __name__ == "__main__":
    app.run(main)
