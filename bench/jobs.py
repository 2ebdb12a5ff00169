"""Batch jobs: throughput, store calls, memory, takeover and reading.

Agents are replaced by a dispatcher that answers after a fixed time, so that
what is measured is the owner and the store calls, not an endpoint.
"""

from collections.abc import AsyncIterator
from collections.abc import Iterator
import gc
import json
import time
import tracemalloc
from typing import Final
import zlib

import anyio
import msgspec

from eelgrassgate import messages
from eelgrassgate.config import fleet
from eelgrassgate.jobs import dispatch
from eelgrassgate.jobs import files
from eelgrassgate.jobs import owner
from eelgrassgate.jobs import records
from eelgrassgate.jobs import results
from eelgrassgate.jobs import submission
from eelgrassgate.store import faulty
from eelgrassgate.store import memory

ITEM_BYTES: Final = 600
ANSWER_BYTES: Final = 900
ANSWER_S: Final = 0.02
LARGE_ITEMS: Final = 100_000
RATE_ITEMS: Final = 20_000
RATE_JOBS: Final = 8
URL: Final = "/v1/chat/completions"
LIMITS: Final = fleet.Limits()
WORKSPACE: Final = "bench"
WORDS: Final = (
    *("carpentry", "tutoring", "elder", "sitting", "roster", "parish"),
    *("member", "hours", "offer", "need", "repair", "floor", "epoxy"),
    *("coating", "primer", "datasheet", "quote", "pour", "crew", "morning"),
)


class Echo:
    """A dispatcher whose answers come after a fixed time."""

    def __init__(self) -> None:
        """Count from zero."""
        self.answered = 0
        self.last = 0.0

    async def run(self, item: dispatch.ItemCall) -> dispatch.ItemResult:
        """Answer an item."""
        await anyio.sleep(ANSWER_S)
        self.answered += 1
        self.last = time.monotonic()
        text = _make_text(zlib.crc32(item.item.encode()), ANSWER_BYTES)
        body = msgspec.json.encode({"id": item.item, "text": text})
        return dispatch.ItemResult("echo", 200, body)

    async def inquire(
        self, job: str, owner: str, fence: int
    ) -> dispatch.Inquiry:
        """Know nothing."""
        return dispatch.Inquiry()

    async def cancel(self, items: tuple[messages.ItemState, ...]) -> None:
        """Do nothing."""

    def announce_committed(self, items: tuple[str, ...]) -> None:
        """Do nothing."""


def _make_text(seed: int, size: int) -> str:
    parts: list[str] = []
    length = 0
    while length < size:
        seed = (seed * 6364136223846793005 + 1442695040888963407) % 2**64
        parts.append(WORDS[(seed >> 33) % len(WORDS)])
        length += len(parts[-1]) + 1
    return " ".join(parts)


async def _make_file(items: int, seed: int) -> AsyncIterator[bytes]:
    for index in range(items):
        body = {
            "model": "spec-writer",
            "messages": [
                {
                    "role": "user",
                    "content": _make_text(seed * items + index, ITEM_BYTES),
                }
            ],
        }
        line = {"custom_id": f"item-{index}", "method": "POST", "url": URL}
        yield json.dumps(line | {"body": body}).encode() + b"\n"


def _create_store() -> faulty.FaultyStore:
    return faulty.create_faulty_store(
        memory.create_memory_store(min_kept_revisions=1_000)
    )


async def _submit(
    store: faulty.FaultyStore, items: int, seed: int = 0
) -> records.Job:
    file = await files.receive_file(
        store, WORKSPACE, _make_file(items, seed), LIMITS
    )
    request = submission.JobRequest(WORKSPACE, file.unwrap().file, URL)
    job = await submission.create_job(store, request, LIMITS)
    return job.unwrap()


async def _wait(store: faulty.FaultyStore, jobs: list[records.Job]) -> None:
    for job in jobs:
        while True:
            view = await submission.show_job(store, WORKSPACE, job.job)
            if view.unwrap().state is records.State.COMPLETED:
                break
            await anyio.sleep(0.1)


async def _measure_rate(owners: int) -> dict[str, object]:
    store = _create_store()
    jobs = [
        await _submit(store, RATE_ITEMS // RATE_JOBS, seed)
        for seed in range(RATE_JOBS)
    ]
    calls = store.counts.reads + store.counts.writes
    written = store.counts.bytes_written
    read = store.counts.bytes_read
    began = time.perf_counter()
    processor = time.process_time()
    async with anyio.create_task_group() as tasks:
        for number in range(owners):
            worker = owner.create_owner(store, f"e{number}", Echo(), get_limits)
            tasks.start_soon(worker.run)
        while not all([await _is_done(store, job) for job in jobs]):
            await anyio.sleep(0.2)
        tasks.cancel_scope.cancel()
    seconds = time.perf_counter() - began
    thousands = RATE_ITEMS / 1_000
    made = store.counts.reads + store.counts.writes - calls
    return {
        "case": "jobs rate, all owners on one core",
        "owners": owners,
        "items": RATE_ITEMS,
        "items_per_s": round(RATE_ITEMS / seconds),
        "processor_ms_per_1000_items": round(
            (time.process_time() - processor) * 1_000 / thousands, 1
        ),
        "store_calls_per_1000_items_with_polls": round(made / thousands, 1),
        "bytes_written_per_1000_items": round(
            (store.counts.bytes_written - written) / thousands
        ),
        "bytes_read_per_1000_items": round(
            (store.counts.bytes_read - read) / thousands
        ),
    }


async def _is_done(store: faulty.FaultyStore, job: records.Job) -> bool:
    view = await submission.show_job(store, WORKSPACE, job.job)
    return view.unwrap().state is records.State.COMPLETED


async def _measure_memory(jobs: int, items: int) -> dict[str, object]:
    """Measure an owner's peak above the store and the client."""
    store = _create_store()
    made = [await _submit(store, items, seed) for seed in range(jobs)]
    gc.collect()
    tracemalloc.start(1)
    before, _ = tracemalloc.get_traced_memory()
    store_before = _weigh_store(store)
    tracemalloc.reset_peak()
    async with anyio.create_task_group() as tasks:
        worker = owner.create_owner(store, "e0", Echo(), get_limits)
        tasks.start_soon(worker.run)
        with anyio.move_on_after(40):
            await _wait(store, made)
        tasks.cancel_scope.cancel()
    _, peak = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    grown = _weigh_store(store) - store_before
    return {
        "case": "jobs memory of an owner",
        "jobs": jobs,
        "items_per_job": items,
        "peak_mb_above_store": round((peak - before - grown) / 1e6, 1),
    }


def _weigh_store(store: faulty.FaultyStore) -> int:
    """Return the bytes of all values, kept history included."""
    inner = store._inner
    assert isinstance(inner, memory.MemoryStore)
    present = {
        id(r.value): len(r.value) for r in inner._records_by_key.values()
    }
    for entry in inner._history:
        for change in entry.changes:
            present[id(change.value)] = len(change.value or b"")
    return sum(present.values())


async def _measure_takeover() -> dict[str, object]:
    store = _create_store()
    job = await _submit(store, 5_000)
    echoes = [Echo() for _ in range(2)]
    async with anyio.create_task_group() as tasks:
        scopes = [anyio.CancelScope() for _ in echoes]
        for number, echo in enumerate(echoes):
            worker = owner.create_owner(store, f"e{number}", echo, get_limits)
            tasks.start_soon(_run_in, scopes[number], worker)
        while not any(echo.answered > 500 for echo in echoes):
            await anyio.sleep(0.01)
        dead = max(range(2), key=lambda n: echoes[n].answered)
        scopes[dead].cancel()
        died = time.monotonic()
        other = echoes[1 - dead]
        while not other.answered:
            await anyio.sleep(0.01)
        seconds = time.monotonic() - died
        await _wait(store, [job])
        tasks.cancel_scope.cancel()
    return {
        "case": "jobs takeover, lease of 6 s",
        "seconds_from_death_to_next_item": round(seconds, 2),
        "items_run_twice": sum(e.answered for e in echoes) - 5_000,
    }


async def _run_in(scope: anyio.CancelScope, worker: owner.JobOwner) -> None:
    with scope:
        await worker.run()


async def _measure_large() -> Iterator[dict[str, object]]:
    store = _create_store()
    began = time.perf_counter()
    job = await _submit(store, LARGE_ITEMS)
    received = time.perf_counter() - began
    writes = store.counts.writes
    stored = store.counts.bytes_written
    async with anyio.create_task_group() as tasks:
        worker = owner.create_owner(store, "e0", Echo(), get_limits)
        tasks.start_soon(worker.run)
        began = time.perf_counter()
        await _wait(store, [job])
        ran = time.perf_counter() - began
        tasks.cancel_scope.cancel()
    reads = store.counts.reads
    began = time.perf_counter()
    size = 0
    count = 0
    async for block in results.stream_results(store, job):
        size += len(block)
        count += block.count(b"\n")
    return iter(
        [
            {
                "case": "jobs of 100,000 items",
                "receive_s": round(received, 2),
                "receive_store_writes": writes,
                "input_bytes_in_store": stored,
                "run_s": round(ran, 2),
                "run_store_writes": store.counts.writes - writes,
                "run_bytes_written": store.counts.bytes_written - stored,
                "read_result_s": round(time.perf_counter() - began, 2),
                "read_store_reads": store.counts.reads - reads,
                "result_bytes": size,
                "result_lines": count,
            }
        ]
    )


def get_limits() -> fleet.Limits:
    return LIMITS


def run() -> Iterator[dict[str, object]]:
    """Yield one line for each measurement."""
    for owners in (1, 4):
        yield anyio.run(_measure_rate, owners)
    yield anyio.run(_measure_takeover)
    yield from anyio.run(_measure_large)
    for jobs, items in ((1, 1_000), (10, 1_000), (100, 1_000)):
        yield anyio.run(_measure_memory, jobs, items)
    yield anyio.run(_measure_memory, 1, LARGE_ITEMS)


if __name__ == "__main__":
    for line in run():
        print(json.dumps(line), flush=True)
