"""Processor time per request, and resident memory before any request."""

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
PRINT_RESIDENT_CODE: Final = (
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
    """Yield the resident MB of an interpreter after each set of imports."""
    for name, imports in IMPORTS_BY_NAME.items():
        completed = subprocess.run(
            [sys.executable, "-c", imports + PRINT_RESIDENT_CODE],
            check=True,
            capture_output=True,
            timeout=TIMEOUT_S,
        )
        yield name, round(int(completed.stdout) / path.MB, 1)


async def measure() -> dict[int, dict[str, float]]:
    """Return processor ms per request of each role, by tokens generated."""
    costs_by_tokens: dict[int, dict[str, float]] = {}
    async with sites.run_site(path.OPTIONS) as site:
        pids_by_role = {
            "entry": site.processes.by_name["entry-1"].pid,
            "agent": site.processes.by_name["agent-engine-1"].pid,
        }
        key = site.keys_by_workspace["desk"]
        url = site.urls_by_entry["entry-1"]
        async with httpx.AsyncClient(timeout=60.0) as client:
            chat_client = path.ChatClient(client, url, key)
            await chat_client.run_load(path.WARM_UP, 1)
            for tokens in TOKENS:
                before = {
                    r: path.read_usage(p).processor_s
                    for r, p in pids_by_role.items()
                }
                await chat_client.run_load(REQUESTS, tokens)
                costs_by_tokens[tokens] = {
                    r: (path.read_usage(p).processor_s - before[r])
                    * 1e3
                    / REQUESTS
                    for r, p in pids_by_role.items()
                }
    return costs_by_tokens


def run() -> tuple[slopes.Slope, ...]:
    """Measure the entry and the agent."""
    costs_by_tokens = anyio.run(measure)
    unit = "ms of core a request"
    return tuple(
        slopes.create_slope(
            f"{role}-token-cpu", "token streamed", unit, costs_by_tokens, role
        )
        for role in ("entry", "agent")
    )
