"""Results pile up while the store is down, and are never listed after it.

One batch job of 40 items; each item's output is 230 events of 216 bytes, in
a script that takes three bytes a character. The store answers all calls with
503 for 4.5 seconds while the items run.
"""

import asyncio
import base64
import time

from harness import http
from harness import site as site_lib
from harness import worker as worker_lib

ITEMS = 40
EVENTS = 230
PIECE = "技能匹配周报" * 12
PAUSE_S = 1.0 / EVENTS
# Longest of this disruption on the sheet's site: 5.2 s.
OUTAGE_S = 4.5


async def handle(
    worker: worker_lib.Worker,
    request: http.Request,
    writer: asyncio.StreamWriter,
) -> None:
    """Stream the output of an item."""
    worker.record_run(request)
    await worker_lib.stream(request, writer, [PIECE] * EVENTS, PAUSE_S)


async def case(
    site: site_lib.Site, record: site_lib.Record, has_trouble: bool
) -> bool:
    """Return whether all items of the batch job were listed in time."""
    site.write_config(
        [site_lib.make_batch_route(service="matcher")], ["matcher"]
    )
    workers = [
        await site.add_worker(f"worker-{number}", "matcher", handle)
        for number in range(2)
    ]
    front = site.add_process("gateway", "front-1", "montego")
    site.add_process("batch", "store-1", "montego")
    await site.wait_until_ready()
    job = site_lib.make_id()
    items = [
        {
            "id": site_lib.make_id(),
            "path": "/jobs-in/items",
            "headers": {"Model": "m"},
            "body": base64.b64encode(b"%d" % number).decode(),
            "tokens": 700,
        }
        for number in range(ITEMS)
    ]
    answer = await site_lib.submit(front.front, job, items)
    record.add(f"batch job {job} of {ITEMS} items: {answer.status}")
    if answer.status != 202:
        raise site_lib.NotRunError("the batch job was not accepted")
    while not any(one.ran for one in workers):
        await asyncio.sleep(0.05)
    if has_trouble:
        site.store.is_busy = True
        record.add("the store answers 503 to all calls")
        await asyncio.sleep(OUTAGE_S)
        site.store.is_busy = False
        record.add("the store is back")
    sent_at = time.monotonic()
    ends_at = sent_at + 2 * site_lib.FINISH_S
    results = []
    while time.monotonic() < ends_at and len(results) < ITEMS:
        await asyncio.sleep(2.0)
        results = await site_lib.read_all(front.front, job)
        record.add(f"listed: {len(results)} of {ITEMS}")
    for worker in workers:
        for at, name in worker.ran:
            record.add(f"{worker.id} ran item {name}", at)
        record.add(f"{worker.id} ran {len(worker.ran)} requests in all")
    sizes = site.store.rejected
    record.add(f"values refused by the store for their size: {len(sizes)}")
    for key, size in sizes[:5]:
        record.add(f"refused: {key} of {size} bytes, at most 1048576")
    is_whole = all(
        one["state"] == "completed"
        and one["text"] == "\n".join([PIECE] * EVENTS)
        for one in results
    )
    return len(results) == ITEMS and is_whole


if __name__ == "__main__":
    site_lib.run(case, __file__)
