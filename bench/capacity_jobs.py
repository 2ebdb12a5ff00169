"""What batch items cost the store and their owner, in virtual time."""

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
QUIET_S: Final = 20.0
SPAN_S: Final = 60.0
TAKEOVER_OWNERS: Final = 32
KILLED: Final = (1, 2, 4, 8, 16)
POLL_S: Final = 0.1
RUN_S: Final = 0.5
LATENCY_S: Final = 0.002
ROOM: Final = 64
PROMPT_BYTES: Final = 1_000
ANSWER_BYTES: Final = 1_000
SEED: Final = 3
EPOCH_S: Final = 1_800_000_000.0
LIMIT_S: Final = 3_600.0
KB: Final = 1000.0
URL: Final = "/v1/chat/completions"
LIMITS: Final = fleet.Limits(file_bytes=50_000_000, job_items=100_000)


class Dispatcher:
    """Answers each item after a while; so many at once."""

    def __init__(self) -> None:
        """Start with all room free."""
        self._room = anyio.Semaphore(ROOM)
        self._chance = random.Random(SEED)

    async def run(self, item: dispatch.ItemCall) -> dispatch.ItemResult:
        """Run one item."""
        async with self._room:
            await anyio.sleep(LATENCY_S + RUN_S)
        text = self._chance.randbytes(ANSWER_BYTES // 2).hex()
        return dispatch.ItemResult(
            "engine", 200, json.dumps({"text": text}).encode()
        )

    async def inquire(
        self, job: str, owner: str, fence: int
    ) -> dispatch.Inquiry:
        """Know of nothing."""
        return dispatch.Inquiry()

    async def cancel(self, items: tuple[messages.ItemState, ...]) -> None:
        """Cancel nothing."""

    def announce_committed(self, items: tuple[str, ...]) -> None:
        """Keep nothing."""


async def _iterate_lines(items: int) -> AsyncIterator[bytes]:
    chance = random.Random(SEED)
    for number in range(items):
        # Hexadecimal digits leave a compressor half of the bytes, as text.
        text = chance.randbytes(PROMPT_BYTES // 2).hex()
        line = {
            "custom_id": f"c{number}",
            "method": "POST",
            "url": URL,
            "body": {"model": "m", "text": text},
        }
        yield json.dumps(line).encode() + b"\n"


async def measure(items: int, is_traced: bool) -> dict[str, float]:
    """Return what one job costs from its upload to its end."""
    runtime = _create_runtime(SEED)
    store = faulty.create_faulty_store(
        memory.create_memory_store(anyio.current_time),
        clock=anyio.current_time,
    )
    async with anyio.create_task_group() as tasks:
        worker = owner.create_owner(
            store, "e1", Dispatcher(), lambda: LIMITS, runtime=runtime
        )
        tasks.start_soon(worker.run)
        await anyio.sleep(QUIET_S)
        counts = store.counts
        reads, writes = counts.reads, counts.writes
        read, written = counts.bytes_read, counts.bytes_written
        begun = anyio.current_time()
        answer = await files.receive_file(
            store, "desk", _iterate_lines(items), LIMITS
        )
        request = submission.JobRequest("desk", answer.unwrap().file, URL)
        if is_traced:
            tracemalloc.start()
        spent = time.process_time()
        job = (
            await submission.create_job(store, request, LIMITS, runtime=runtime)
        ).unwrap()
        with anyio.fail_after(LIMIT_S):
            while not await _is_done(store, job):
                await anyio.sleep(1)
        spent = time.process_time() - spent
        peak = tracemalloc.get_traced_memory()[1] if is_traced else 0
        if is_traced:
            tracemalloc.stop()
        tasks.cancel_scope.cancel()
    seconds = anyio.current_time() - begun
    return {
        "reads": float(counts.reads - reads),
        "writes": float(counts.writes - writes),
        "bytes_read": (counts.bytes_read - read) / KB,
        "bytes_written": (counts.bytes_written - written) / KB,
        "cpu_ms": spent * 1e3,
        "peak_kb": peak / KB,
        "seconds": seconds,
    }


async def measure_idle(owners: int) -> dict[str, float]:
    """Return what the store is asked a second by owners without jobs."""
    store = faulty.create_faulty_store(
        memory.create_memory_store(anyio.current_time),
        clock=anyio.current_time,
    )
    async with anyio.create_task_group() as tasks:
        for number in range(owners):
            worker = owner.create_owner(
                store,
                f"e{number}",
                Dispatcher(),
                lambda: LIMITS,
                runtime=_create_runtime(number),
            )
            tasks.start_soon(worker.run)
        await anyio.sleep(QUIET_S)
        counts = store.counts
        reads, writes = counts.reads, counts.writes
        await anyio.sleep(SPAN_S)
        figures = {
            "reads": (counts.reads - reads) / SPAN_S,
            "writes": (counts.writes - writes) / SPAN_S,
            "watches": float(counts.watches_open),
        }
        tasks.cancel_scope.cancel()
    return figures


async def measure_takeover(killed: int) -> dict[str, float]:
    """Return what it takes until others own what the killed ones owned."""
    memory_store = memory.create_memory_store(anyio.current_time)
    store = faulty.create_faulty_store(memory_store, clock=anyio.current_time)
    scopes = [anyio.CancelScope() for _ in range(TAKEOVER_OWNERS)]
    async with anyio.create_task_group() as tasks:
        for number, scope in enumerate(scopes):
            worker = owner.create_owner(
                store,
                f"e{number}",
                Dispatcher(),
                lambda: LIMITS,
                runtime=_create_runtime(number),
            )
            tasks.start_soon(_run_within, scope, worker)
        await anyio.sleep(QUIET_S)
        before = await _read_owners(memory_store)
        begun = anyio.current_time()
        writes = store.counts.writes
        for scope in scopes[:killed]:
            scope.cancel()
        dead = {f"e{number}" for number in range(killed)}
        while True:
            await anyio.sleep(POLL_S)
            now = await _read_owners(memory_store)
            if len(now) == len(before) and not dead & set(now.values()):
                break
        seconds = anyio.current_time() - begun
        figures = {
            "seconds": seconds,
            "slots": float(sum(name in dead for name in before.values())),
            "writes": (store.counts.writes - writes) / seconds,
        }
        tasks.cancel_scope.cancel()
    return figures


async def _run_within(scope: anyio.CancelScope, worker: owner.JobOwner) -> None:
    with scope:
        await worker.run()


async def _read_owners(store: memory.MemoryStore) -> dict[str, str]:
    """Return the instance that owns each slot."""
    page = (await store.read_range(keys.OWNERS_PREFIX)).unwrap()
    return {
        record.key: records.decode(record.value, records.Owner).instance
        for record in page.records
    }


def _create_runtime(seed: int) -> runtimes.Runtime:
    return runtimes.Runtime(
        anyio.current_time,
        lambda: EPOCH_S + anyio.current_time(),
        anyio.sleep,
        random.Random(seed),
    )


def run() -> tuple[slopes.Slope, ...]:
    """Measure jobs of several sizes, then owners without jobs."""
    jobs = {n: virtual_time.run(measure, n, False) for n in ITEMS}
    traced = {n: virtual_time.run(measure, n, True) for n in ITEMS}
    idle = {n: virtual_time.run(measure_idle, n) for n in OWNERS}
    killed = {n: virtual_time.run(measure_takeover, n) for n in KILLED}
    dead = "owner killed of 32"
    item, each = "batch item (one job)", "owner without jobs"
    return (
        slopes.create("item-cpu", item, "ms of core", jobs, "cpu_ms"),
        slopes.create(
            "item-memory", item, "KB traced, peak", traced, "peak_kb"
        ),
        slopes.create("item-reads", item, "reads", jobs, "reads"),
        slopes.create("item-writes", item, "writes", jobs, "writes"),
        slopes.create("item-read-bytes", item, "KB read", jobs, "bytes_read"),
        slopes.create(
            "item-written-bytes", item, "KB written", jobs, "bytes_written"
        ),
        slopes.create("owner-reads", each, "reads/s", idle, "reads"),
        slopes.create("owner-writes", each, "writes/s", idle, "writes"),
        slopes.create("owner-watches", each, "open watches", idle, "watches"),
        slopes.create(
            "takeover-time", dead, "s", killed, "seconds", is_bounded=True
        ),
        slopes.create("takeover-slots", dead, "slots", killed, "slots"),
        slopes.create(
            "takeover-writes", dead, "writes/s of all", killed, "writes"
        ),
    )


async def _is_done(store: faulty.FaultyStore, job: records.Job) -> bool:
    """Look past the counts, so that the question itself costs nothing."""
    counts = store.counts
    reads, size = counts.reads, counts.bytes_read
    view = await submission.show_job(store, job.workspace, job.job)
    counts.reads, counts.bytes_read = reads, size
    return view.unwrap().state is records.State.COMPLETED
