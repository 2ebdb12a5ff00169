"""What requests cost real processes, and what a process costs before any."""

from collections.abc import Iterator
import subprocess
import sys
from typing import Final

import anyio
import httpx

from bench import capacity_slopes as slopes
from bench import path
from bench import sites

TOKENS: Final = (1, 32, 64, 128)
REQUESTS: Final = 200
TIMEOUT_S: Final = 30.0
READ_RESIDENT: Final = (
    "import psutil; print(psutil.Process().memory_info().rss)"
)
IMPORTS_BY_NAME: Final = {
    "interpreter": "",
    "libraries": "import anyio, zmq.asyncio, zmq.auth.asyncio, httpx,"
    " httpx_sse, hypercorn.asyncio, msgspec, eliot, returns.result,"
    " hdrh.histogram, zstandard, xxhash, jsonschema, tenacity, statsd,"
    " absl.flags, json_merge_patch, pyjson5;",
    "entry": "import eelgrassgate.entry.daemon;",
    "agent": "import eelgrassgate.agent.daemon;",
}


def measure_resident() -> Iterator[tuple[str, float]]:
    """Yield the MB that an interpreter keeps once it has imported."""
    for name, imports in IMPORTS_BY_NAME.items():
        done = subprocess.run(
            [sys.executable, "-c", imports + READ_RESIDENT],
            check=True,
            capture_output=True,
            timeout=TIMEOUT_S,
        )
        yield name, round(int(done.stdout) / path.MB, 1)


async def measure() -> dict[int, dict[str, float]]:
    """Return processor ms a request of each role, by tokens generated."""
    costs_by_tokens: dict[int, dict[str, float]] = {}
    async with sites.run_site(path.OPTIONS) as site:
        pids_by_role = {
            "entry": site.processes.by_name["entry-1"].pid,
            "agent": site.processes.by_name["agent-engine-1"].pid,
        }
        key = site.keys_by_workspace["desk"]
        url = site.urls_by_entry["entry-1"]
        async with httpx.AsyncClient(timeout=60.0) as client:
            caller = path.Caller(client, url, key)
            await caller.load(path.WARM_UP, 1)
            for tokens in TOKENS:
                before = {
                    r: path.read_usage(p).processor_s
                    for r, p in pids_by_role.items()
                }
                await caller.load(REQUESTS, tokens)
                costs_by_tokens[tokens] = {
                    r: (path.read_usage(p).processor_s - before[r])
                    * 1e3
                    / REQUESTS
                    for r, p in pids_by_role.items()
                }
    return costs_by_tokens


def run() -> tuple[slopes.Slope, ...]:
    """Measure both roles."""
    found = anyio.run(measure)
    unit = "ms of core a request"
    return tuple(
        slopes.create(f"{role}-token-cpu", "token streamed", unit, found, role)
        for role in ("entry", "agent")
    )
