"""Items that start before their job is read whole are listed twice.

Batch jobs of 18 items with bodies of 150 kB each, so that the items of a job
lie in several values of the store. The store answers 503 to all calls for 4.5
seconds, from 0.45 seconds after it has accepted a batch job: the batch process
in the other region has read some of these values and started their items.
"""

import asyncio
import base64
import collections
import random
import time

from harness import http
from harness import site as site_lib
from harness import worker as worker_lib

JOBS = 3
ITEMS = 18
BODY_BYTES = 150_000
EVENTS = 30
PAUSE_S = 0.05
WORKERS = 4
JOB_INTERVAL_S = 2.0
OUTAGE_AFTER_S = 0.45
OUTAGE_S = 4.5


async def handle(
    worker: worker_lib.Worker,
    request: http.Request,
    writer: asyncio.StreamWriter,
) -> None:
    """Stream the output of an item, for 1.5 seconds."""
    worker.record_run(request)
    pieces = [f"word-{number}" for number in range(EVENTS)]
    await worker_lib.stream(request, writer, pieces, PAUSE_S)


def _make_items() -> list[dict[str, object]]:
    body = base64.b64encode(random.randbytes(BODY_BYTES)).decode()
    return [
        {
            "id": site_lib.make_id(),
            "path": "/jobs-in/items",
            "headers": {"Model": "m"},
            "body": body,
            "tokens": 700,
        }
        for _ in range(ITEMS)
    ]


def _check(
    record: site_lib.Record,
    job: str,
    items: list[str],
    results: list[dict[str, object]],
) -> bool:
    """Return whether each item is listed once."""
    counts = collections.Counter(one["id"] for one in results)
    twice = [name for name, count in counts.items() if count > 1]
    missing = [name for name in items if name not in counts]
    record.add(
        f"batch job {job}: {len(results)} positions, {len(twice)} items at two"
        f" positions, {len(missing)} of {len(items)} items at none"
    )
    for name in twice:
        positions = [
            number for number, one in enumerate(results) if one["id"] == name
        ]
        record.add(f"TWICE: item {name} stands at positions {positions}")
    for name in missing:
        record.add(f"LOST: item {name} is not listed")
    return not twice and not missing


async def case(
    site: site_lib.Site, record: site_lib.Record, has_trouble: bool
) -> bool:
    """Return whether each item of each batch job was listed once."""
    site.write_config(
        [site_lib.make_batch_route(service="matcher")], ["matcher"]
    )
    for number in range(WORKERS):
        await site.add_worker(f"worker-{number}", "matcher", handle)
    front = site.add_process("gateway", "front-1", "montego")
    site.add_process("batch", "store-1", "kingston")
    await site.wait_until_ready()
    items_by_job: dict[str, list[str]] = {}

    async def submit() -> None:
        job = site_lib.make_id()
        items = _make_items()
        answer = await site_lib.submit(front.front, job, items)
        record.add(f"batch job {job} of {ITEMS} items: {answer.status}")
        if answer.status != 202:
            raise site_lib.NotRunError("a batch job was not accepted")
        items_by_job[job] = [str(one["id"]) for one in items]

    for _ in range(JOBS):
        await submit()
        await asyncio.sleep(JOB_INTERVAL_S)
    await submit()
    if has_trouble:
        await asyncio.sleep(OUTAGE_AFTER_S)
        site.store.is_busy = True
        record.add("the store answers 503 to all calls")
        await asyncio.sleep(OUTAGE_S)
        site.store.is_busy = False
        record.add("the store is back")
    ends_at = time.monotonic() + 2 * site_lib.FINISH_S
    while time.monotonic() < ends_at:
        await asyncio.sleep(2.0)
        listed = [
            len(await site_lib.read_all(front.front, job))
            for job in items_by_job
        ]
        record.add(f"listed: {listed}")
        if all(one >= ITEMS for one in listed):
            break
    is_held = True
    for job, names in items_by_job.items():
        results = await site_lib.read_all(front.front, job)
        is_held &= _check(record, job, names, results)
    for worker in site.workers:
        record.add(f"{worker.id} ran {len(worker.ran)} requests")
    return is_held


if __name__ == "__main__":
    site_lib.run(case, __file__)
