"""Benchmark of the whole path: added latency, processor time and memory.

Processor time is that of the processes themselves, so that the capacity of one
core follows from it whatever else the machine runs.
"""

from collections.abc import Iterator
from collections.abc import Sequence
import json
import statistics
import sys
import time
from typing import Any
from typing import Final

import anyio
import httpx
import httpx_sse
import msgspec
import psutil

from bench import fits
from bench import sites
from eelgrassgate.config import fleet

CHAT: Final = "/v1/chat/completions"
SAMPLES: Final = 300
WARM_UP: Final = 20
CONCURRENCY: Final = 16
REQUESTS: Final = 400
TOKENS: Final = (1, 16, 64, 192)
IDLE_S: Final = 5.0
MS_PER_S: Final = 1000.0
MB: Final = 1_000_000
OPTIONS: Final = sites.Options(
    entries=1,
    engines=1,
    ledgers=0,
    speed=50.0,
    max_running=64,
    rate=fleet.Rate(per_second=100_000.0, burst=200_000.0),
)


class Usage(msgspec.Struct, frozen=True):
    """Resource usage of a process.

    Attributes:
        processor_s: Processor time since its start, in seconds.
        resident_bytes: Resident memory in bytes.
    """

    processor_s: float
    resident_bytes: int


def read_usage(pid: int) -> Usage:
    """Return the present resource usage of a process."""
    create_process: Any = psutil.Process
    process = create_process(pid)
    times = process.cpu_times()
    return Usage(times.user + times.system, process.memory_info().rss)


class ChatClient:
    """Sends chat requests to one base URL."""

    def __init__(self, client: httpx.AsyncClient, url: str, key: str) -> None:
        """Create a client that uses an API key."""
        self._client = client
        self._url = url + CHAT
        self._headers = {"authorization": f"Bearer {key}"}

    async def send_request(self, tokens: int, *, is_stream: bool) -> float:
        """Send a request; return the seconds to the end of the response."""
        body = {
            "model": sites.MODEL,
            "max_tokens": tokens,
            "stream": is_stream,
            "messages": [{"role": "user", "content": "Who can tutor?"}],
        }
        started_at = time.perf_counter()
        if is_stream:
            await self._read_stream(body)
        else:
            response = await self._client.post(
                self._url, json=body, headers=self._headers
            )
            response.raise_for_status()
        return time.perf_counter() - started_at

    async def _read_stream(self, body: dict[str, Any]) -> None:
        async with httpx_sse.aconnect_sse(
            self._client, "POST", self._url, json=body, headers=self._headers
        ) as source:
            source.response.raise_for_status()
            async for event in source.aiter_sse():
                if event.data == "[DONE]":
                    return
        raise httpx.ReadError("the stream ended early")

    async def run_load(self, requests: int, tokens: int) -> None:
        """Send streamed requests, `CONCURRENCY` at a time."""
        remaining = iter(range(requests))

        async def send_remaining() -> None:
            for _ in remaining:
                await self.send_request(tokens, is_stream=True)

        async with anyio.create_task_group() as tasks:
            for _ in range(CONCURRENCY):
                tasks.start_soon(send_remaining)


async def measure_latency(
    direct: ChatClient, through: ChatClient
) -> dict[str, Any]:
    """Measure latency of one-token responses, direct and through an entry.

    The requests alternate, so that both see the same load of the machine.
    """
    seconds: dict[str, list[float]] = {"direct": [], "through": []}
    for number in range(WARM_UP + SAMPLES):
        for name, client in (("direct", direct), ("through", through)):
            took_s = await client.send_request(1, is_stream=False)
            if number >= WARM_UP:
                seconds[name].append(took_s)
    figures: dict[str, Any] = {"case": "latency"}
    for name, values in seconds.items():
        cuts = statistics.quantiles(values, n=100)
        figures[f"{name}_p50_ms"] = round(cuts[49] * MS_PER_S, 2)
        figures[f"{name}_p99_ms"] = round(cuts[98] * MS_PER_S, 2)
    for part in ("p50", "p99"):
        added = figures[f"through_{part}_ms"] - figures[f"direct_{part}_ms"]
        figures[f"added_{part}_ms"] = round(added, 2)
    return figures


async def measure_processor(
    through: ChatClient, pids_by_role: dict[str, int]
) -> Iterator[dict[str, Any]]:
    """Measure processor time per request by tokens in the response."""
    points_by_role: dict[str, list[tuple[float, float]]] = {
        role: [] for role in pids_by_role
    }
    await through.run_load(WARM_UP, 1)
    for tokens in TOKENS:
        before = {r: read_usage(p) for r, p in pids_by_role.items()}
        await through.run_load(REQUESTS, tokens)
        for role, pid in pids_by_role.items():
            spent_s = read_usage(pid).processor_s - before[role].processor_s
            points_by_role[role].append((tokens, spent_s / REQUESTS))
    return (
        _summarize_processor(role, points)
        for role, points in points_by_role.items()
    )


def _summarize_processor(
    role: str, points: Sequence[tuple[float, float]]
) -> dict[str, Any]:
    line = fits.fit(points)
    return {
        "case": "processor",
        "role": role,
        "points": [[x, round(y * MS_PER_S, 4)] for x, y in points],
        "ms_per_request": round(line.intercept * MS_PER_S, 4),
        "ms_per_token": round(line.slope * MS_PER_S, 5),
        "fit_error_ms": round(line.error * MS_PER_S, 4),
        "requests_per_core_s": round(1.0 / line.intercept),
        "tokens_per_core_s": round(1.0 / line.slope),
    }


async def measure_idle(
    pids_by_role: dict[str, int],
) -> Iterator[dict[str, Any]]:
    """Measure memory and processor time of idle processes."""
    before = {r: read_usage(p) for r, p in pids_by_role.items()}
    await anyio.sleep(IDLE_S)
    after = {r: read_usage(p) for r, p in pids_by_role.items()}
    return (
        {
            "case": "idle",
            "role": role,
            "resident_mb": round(after[role].resident_bytes / MB, 1),
            "core_percent": round(
                100
                * (after[role].processor_s - before[role].processor_s)
                / IDLE_S,
                2,
            ),
        }
        for role in pids_by_role
    )


async def measure() -> list[dict[str, Any]]:
    """Run all cases on the same site."""
    figures: list[dict[str, Any]] = []
    async with (
        sites.run_site(OPTIONS) as site,
        httpx.AsyncClient(timeout=60.0) as client,
    ):
        key = site.keys_by_workspace["desk"]
        pids_by_role = {
            "entry": site.processes.by_name["entry-1"].pid,
            "agent": site.processes.by_name["agent-engine-1"].pid,
        }
        direct = ChatClient(client, site.urls_by_endpoint["engine-1"], key)
        through = ChatClient(client, site.urls_by_entry["entry-1"], key)
        figures.extend(await measure_idle(pids_by_role))
        figures.append(await measure_latency(direct, through))
        figures.extend(await measure_processor(through, pids_by_role))
    return figures


def run() -> Iterator[dict[str, Any]]:
    """Yield the results of all cases."""
    yield from anyio.run(measure)


if __name__ == "__main__":
    for case in run():
        sys.stdout.write(json.dumps(case) + "\n")
