"""Benchmark of batch jobs: throughput, store calls, memory and takeover.

A fake dispatcher that responds after a fixed delay replaces the agents, so that
the figures cover the owner and the store calls, but no endpoint.
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
RESPONSE_BYTES: Final = 900
RESPONSE_DELAY_S: Final = 0.02
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


class FakeDispatcher:
    """A dispatcher that responds to each item after a fixed delay."""

    def __init__(self) -> None:
        """Create a dispatcher without completed items."""
        self.completed = 0
        self.last_at = 0.0

    async def run(self, item: dispatch.ItemCall) -> dispatch.ItemResult:
        """Run an item."""
        await anyio.sleep(RESPONSE_DELAY_S)
        self.completed += 1
        self.last_at = time.monotonic()
        text = _make_text(zlib.crc32(item.item.encode()), RESPONSE_BYTES)
        body = msgspec.json.encode({"id": item.item, "text": text})
        return dispatch.ItemResult("echo", 200, body)

    async def inquire(
        self, job: str, owner: str, fence: int
    ) -> dispatch.Inquiry:
        """Return an empty inquiry."""
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


async def _wait_until_completed(
    store: faulty.FaultyStore, jobs: list[records.Job]
) -> None:
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
    started_at = time.perf_counter()
    processor_s = time.process_time()
    async with anyio.create_task_group() as tasks:
        for number in range(owners):
            worker = owner.create_owner(
                store, f"e{number}", FakeDispatcher(), get_limits
            )
            tasks.start_soon(worker.run)
        while not all([await _is_completed(store, job) for job in jobs]):
            await anyio.sleep(0.2)
        tasks.cancel_scope.cancel()
    seconds = time.perf_counter() - started_at
    thousands = RATE_ITEMS / 1_000
    calls_made = store.counts.reads + store.counts.writes - calls
    return {
        "case": "jobs rate, all owners on one core",
        "owners": owners,
        "items": RATE_ITEMS,
        "items_per_s": round(RATE_ITEMS / seconds),
        "processor_ms_per_1000_items": round(
            (time.process_time() - processor_s) * 1_000 / thousands, 1
        ),
        "store_calls_per_1000_items_with_polls": round(
            calls_made / thousands, 1
        ),
        "bytes_written_per_1000_items": round(
            (store.counts.bytes_written - written) / thousands
        ),
        "bytes_read_per_1000_items": round(
            (store.counts.bytes_read - read) / thousands
        ),
    }


async def _is_completed(store: faulty.FaultyStore, job: records.Job) -> bool:
    view = await submission.show_job(store, WORKSPACE, job.job)
    return view.unwrap().state is records.State.COMPLETED


async def _measure_memory(jobs: int, items: int) -> dict[str, object]:
    """Measure the peak memory of an owner, without the store's growth."""
    store = _create_store()
    submitted = [await _submit(store, items, seed) for seed in range(jobs)]
    gc.collect()
    tracemalloc.start(1)
    before, _ = tracemalloc.get_traced_memory()
    store_before = _measure_store_bytes(store)
    tracemalloc.reset_peak()
    async with anyio.create_task_group() as tasks:
        worker = owner.create_owner(store, "e0", FakeDispatcher(), get_limits)
        tasks.start_soon(worker.run)
        with anyio.move_on_after(40):
            await _wait_until_completed(store, submitted)
        tasks.cancel_scope.cancel()
    _, peak = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    grown = _measure_store_bytes(store) - store_before
    return {
        "case": "jobs memory of an owner",
        "jobs": jobs,
        "items_per_job": items,
        "peak_mb_above_store": round((peak - before - grown) / 1e6, 1),
    }


def _measure_store_bytes(store: faulty.FaultyStore) -> int:
    """Return the size of all values in the store, including its history."""
    memory_store = store._inner
    assert isinstance(memory_store, memory.MemoryStore)
    sizes = {
        id(r.value): len(r.value) for r in memory_store._records_by_key.values()
    }
    for entry in memory_store._history:
        for change in entry.changes:
            sizes[id(change.value)] = len(change.value or b"")
    return sum(sizes.values())


async def _measure_takeover() -> dict[str, object]:
    store = _create_store()
    job = await _submit(store, 5_000)
    dispatchers = [FakeDispatcher() for _ in range(2)]
    async with anyio.create_task_group() as tasks:
        scopes = [anyio.CancelScope() for _ in dispatchers]
        for number, dispatcher in enumerate(dispatchers):
            worker = owner.create_owner(
                store, f"e{number}", dispatcher, get_limits
            )
            tasks.start_soon(_run_in_scope, scopes[number], worker)
        while not any(dispatcher.completed > 500 for dispatcher in dispatchers):
            await anyio.sleep(0.01)
        killed = max(range(2), key=lambda n: dispatchers[n].completed)
        scopes[killed].cancel()
        killed_at = time.monotonic()
        other = dispatchers[1 - killed]
        while not other.completed:
            await anyio.sleep(0.01)
        seconds = time.monotonic() - killed_at
        await _wait_until_completed(store, [job])
        tasks.cancel_scope.cancel()
    return {
        "case": "jobs takeover, lease of 6 s",
        "seconds_from_death_to_next_item": round(seconds, 2),
        "items_run_twice": sum(e.completed for e in dispatchers) - 5_000,
    }


async def _run_in_scope(
    scope: anyio.CancelScope, worker: owner.JobOwner
) -> None:
    with scope:
        await worker.run()


async def _measure_large() -> Iterator[dict[str, object]]:
    store = _create_store()
    started_at = time.perf_counter()
    job = await _submit(store, LARGE_ITEMS)
    receive_s = time.perf_counter() - started_at
    writes = store.counts.writes
    stored = store.counts.bytes_written
    async with anyio.create_task_group() as tasks:
        worker = owner.create_owner(store, "e0", FakeDispatcher(), get_limits)
        tasks.start_soon(worker.run)
        started_at = time.perf_counter()
        await _wait_until_completed(store, [job])
        run_s = time.perf_counter() - started_at
        tasks.cancel_scope.cancel()
    reads = store.counts.reads
    started_at = time.perf_counter()
    size = 0
    count = 0
    async for block in results.stream_results(store, job):
        size += len(block)
        count += block.count(b"\n")
    return iter(
        [
            {
                "case": "jobs of 100,000 items",
                "receive_s": round(receive_s, 2),
                "receive_store_writes": writes,
                "input_bytes_in_store": stored,
                "run_s": round(run_s, 2),
                "run_store_writes": store.counts.writes - writes,
                "run_bytes_written": store.counts.bytes_written - stored,
                "read_result_s": round(time.perf_counter() - started_at, 2),
                "read_store_reads": store.counts.reads - reads,
                "result_bytes": size,
                "result_lines": count,
            }
        ]
    )


def get_limits() -> fleet.Limits:
    return LIMITS


def run() -> Iterator[dict[str, object]]:
    """Yield the results of all cases."""
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
