"""Cost of batch items for the store and the job owner, in virtual time."""

from collections.abc import AsyncIterator
import json
import random
import time
import tracemalloc
from typing import Final

import anyio

from bench import capacity_slopes as slopes
from eelgrassgate import messages
from eelgrassgate.config import fleet
from eelgrassgate.jobs import dispatch
from eelgrassgate.jobs import files
from eelgrassgate.jobs import keys
from eelgrassgate.jobs import owner
from eelgrassgate.jobs import records
from eelgrassgate.jobs import runtimes
from eelgrassgate.jobs import submission
from eelgrassgate.standins import virtual_time
from eelgrassgate.store import faulty
from eelgrassgate.store import memory

ITEMS: Final = (1_000, 2_000, 4_000, 8_000, 16_000)
OWNERS: Final = (4, 8, 16, 32)
SETTLE_S: Final = 20.0
MEASURE_S: Final = 60.0
TAKEOVER_OWNERS: Final = 32
KILLED_OWNERS: Final = (1, 2, 4, 8, 16)
POLL_INTERVAL_S: Final = 0.1
RUN_S: Final = 0.5
LATENCY_S: Final = 0.002
MAX_CONCURRENT_ITEMS: Final = 64
PROMPT_BYTES: Final = 1_000
RESPONSE_BYTES: Final = 1_000
SEED: Final = 3
WALL_CLOCK_START_S: Final = 1_800_000_000.0
JOB_TIMEOUT_S: Final = 3_600.0
KB: Final = 1000.0
URL: Final = "/v1/chat/completions"
LIMITS: Final = fleet.Limits(file_bytes=50_000_000, job_items=100_000)


class FakeDispatcher:
    """A dispatcher that responds to items after a delay.

    It runs at most `MAX_CONCURRENT_ITEMS` at a time.
    """

    def __init__(self) -> None:
        """Create a dispatcher without running items."""
        self._limiter = anyio.Semaphore(MAX_CONCURRENT_ITEMS)
        self._rng = random.Random(SEED)

    async def run(self, item: dispatch.ItemCall) -> dispatch.ItemResult:
        """Run one item."""
        async with self._limiter:
            await anyio.sleep(LATENCY_S + RUN_S)
        text = self._rng.randbytes(RESPONSE_BYTES // 2).hex()
        return dispatch.ItemResult(
            "engine", 200, json.dumps({"text": text}).encode()
        )

    async def inquire(
        self, job: str, owner: str, fence: int
    ) -> dispatch.Inquiry:
        """Return an empty inquiry."""
        return dispatch.Inquiry()

    async def cancel(self, items: tuple[messages.ItemState, ...]) -> None:
        """Do nothing."""

    def announce_committed(self, items: tuple[str, ...]) -> None:
        """Do nothing, as no result is stored."""


async def _iterate_lines(items: int) -> AsyncIterator[bytes]:
    rng = random.Random(SEED)
    for number in range(items):
        # Random hexadecimal digits compress to half their size, as text does.
        text = rng.randbytes(PROMPT_BYTES // 2).hex()
        line = {
            "custom_id": f"c{number}",
            "method": "POST",
            "url": URL,
            "body": {"model": "m", "text": text},
        }
        yield json.dumps(line).encode() + b"\n"


async def measure(items: int, is_traced: bool) -> dict[str, float]:
    """Return the cost of one job from its upload to its end.

    Args:
        items: Number of items.
        is_traced: Whether to trace memory, which adds processor time.
    """
    runtime = _create_runtime(SEED)
    store = faulty.create_faulty_store(
        memory.create_memory_store(anyio.current_time),
        clock=anyio.current_time,
    )
    async with anyio.create_task_group() as tasks:
        worker = owner.create_owner(
            store, "e1", FakeDispatcher(), lambda: LIMITS, runtime=runtime
        )
        tasks.start_soon(worker.run)
        await anyio.sleep(SETTLE_S)
        counts = store.counts
        reads, writes = counts.reads, counts.writes
        bytes_read, bytes_written = counts.bytes_read, counts.bytes_written
        started_at = anyio.current_time()
        received = await files.receive_file(
            store, "desk", _iterate_lines(items), LIMITS
        )
        request = submission.JobRequest("desk", received.unwrap().file, URL)
        if is_traced:
            tracemalloc.start()
        processor_s = time.process_time()
        job = (
            await submission.create_job(store, request, LIMITS, runtime=runtime)
        ).unwrap()
        with anyio.fail_after(JOB_TIMEOUT_S):
            while not await _is_completed(store, job):
                await anyio.sleep(1)
        processor_s = time.process_time() - processor_s
        peak = tracemalloc.get_traced_memory()[1] if is_traced else 0
        if is_traced:
            tracemalloc.stop()
        tasks.cancel_scope.cancel()
    seconds = anyio.current_time() - started_at
    return {
        "reads": float(counts.reads - reads),
        "writes": float(counts.writes - writes),
        "bytes_read": (counts.bytes_read - bytes_read) / KB,
        "bytes_written": (counts.bytes_written - bytes_written) / KB,
        "cpu_ms": processor_s * 1e3,
        "peak_kb": peak / KB,
        "seconds": seconds,
    }


async def measure_idle(owners: int) -> dict[str, float]:
    """Return the store calls per second of owners without jobs."""
    store = faulty.create_faulty_store(
        memory.create_memory_store(anyio.current_time),
        clock=anyio.current_time,
    )
    async with anyio.create_task_group() as tasks:
        for number in range(owners):
            worker = owner.create_owner(
                store,
                f"e{number}",
                FakeDispatcher(),
                lambda: LIMITS,
                runtime=_create_runtime(number),
            )
            tasks.start_soon(worker.run)
        await anyio.sleep(SETTLE_S)
        counts = store.counts
        reads, writes = counts.reads, counts.writes
        await anyio.sleep(MEASURE_S)
        figures = {
            "reads": (counts.reads - reads) / MEASURE_S,
            "writes": (counts.writes - writes) / MEASURE_S,
            "watches": float(counts.watches_open),
        }
        tasks.cancel_scope.cancel()
    return figures


async def measure_takeover(killed: int) -> dict[str, float]:
    """Return the time and store writes until all slots have live owners."""
    memory_store = memory.create_memory_store(anyio.current_time)
    store = faulty.create_faulty_store(memory_store, clock=anyio.current_time)
    scopes = [anyio.CancelScope() for _ in range(TAKEOVER_OWNERS)]
    async with anyio.create_task_group() as tasks:
        for number, scope in enumerate(scopes):
            worker = owner.create_owner(
                store,
                f"e{number}",
                FakeDispatcher(),
                lambda: LIMITS,
                runtime=_create_runtime(number),
            )
            tasks.start_soon(_run_in_scope, scope, worker)
        await anyio.sleep(SETTLE_S)
        previous = await _read_owners_by_slot(memory_store)
        started_at = anyio.current_time()
        writes = store.counts.writes
        for scope in scopes[:killed]:
            scope.cancel()
        killed_names = {f"e{number}" for number in range(killed)}
        while True:
            await anyio.sleep(POLL_INTERVAL_S)
            current = await _read_owners_by_slot(memory_store)
            if len(current) == len(previous) and not killed_names & set(
                current.values()
            ):
                break
        seconds = anyio.current_time() - started_at
        figures = {
            "seconds": seconds,
            "slots": float(
                sum(name in killed_names for name in previous.values())
            ),
            "writes": (store.counts.writes - writes) / seconds,
        }
        tasks.cancel_scope.cancel()
    return figures


async def _run_in_scope(
    scope: anyio.CancelScope, worker: owner.JobOwner
) -> None:
    with scope:
        await worker.run()


async def _read_owners_by_slot(store: memory.MemoryStore) -> dict[str, str]:
    """Return the names of the owners by the key of the slot."""
    page = (await store.read_range(keys.OWNERS_PREFIX)).unwrap()
    return {
        record.key: records.decode(record.value, records.Owner).instance
        for record in page.records
    }


def _create_runtime(seed: int) -> runtimes.Runtime:
    return runtimes.Runtime(
        anyio.current_time,
        lambda: WALL_CLOCK_START_S + anyio.current_time(),
        anyio.sleep,
        random.Random(seed),
    )


def run() -> tuple[slopes.Slope, ...]:
    """Measure jobs of several sizes, owners without jobs and takeovers."""
    jobs = {n: virtual_time.run(measure, n, False) for n in ITEMS}
    traced = {n: virtual_time.run(measure, n, True) for n in ITEMS}
    idle = {n: virtual_time.run(measure_idle, n) for n in OWNERS}
    killed = {n: virtual_time.run(measure_takeover, n) for n in KILLED_OWNERS}
    killed_owner = "owner killed of 32"
    item, idle_owner = "batch item (one job)", "owner without jobs"
    return (
        slopes.create_slope("item-cpu", item, "ms of core", jobs, "cpu_ms"),
        slopes.create_slope(
            "item-memory", item, "KB traced, peak", traced, "peak_kb"
        ),
        slopes.create_slope("item-reads", item, "reads", jobs, "reads"),
        slopes.create_slope("item-writes", item, "writes", jobs, "writes"),
        slopes.create_slope(
            "item-read-bytes", item, "KB read", jobs, "bytes_read"
        ),
        slopes.create_slope(
            "item-written-bytes", item, "KB written", jobs, "bytes_written"
        ),
        slopes.create_slope(
            "owner-reads", idle_owner, "reads/s", idle, "reads"
        ),
        slopes.create_slope(
            "owner-writes", idle_owner, "writes/s", idle, "writes"
        ),
        slopes.create_slope(
            "owner-watches", idle_owner, "open watches", idle, "watches"
        ),
        slopes.create_slope(
            "takeover-time",
            killed_owner,
            "s",
            killed,
            "seconds",
            is_bounded=True,
        ),
        slopes.create_slope(
            "takeover-slots", killed_owner, "slots", killed, "slots"
        ),
        slopes.create_slope(
            "takeover-writes", killed_owner, "writes/s of all", killed, "writes"
        ),
    )


async def _is_completed(store: faulty.FaultyStore, job: records.Job) -> bool:
    """Return whether a job is completed, without counting the store reads."""
    counts = store.counts
    reads, size = counts.reads, counts.bytes_read
    view = await submission.show_job(store, job.workspace, job.job)
    counts.reads, counts.bytes_read = reads, size
    return view.unwrap().state is records.State.COMPLETED
