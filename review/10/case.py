"""A worker's entry goes while a front that others follow loses the store."""

import asyncio
import pathlib
import random
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from common_2 import site as site_lib  # noqa: E402

ROUNDS = 10
DRAIN_S = 3.0
CUT_S = 4.4
# Longer than `contact-ms`.
CALM_S = 4.2
# The callers rest from before the entry goes until the bound has passed.
REST_S = DRAIN_S + 0.25
CALLS_S = 1.2
CALL_INTERVAL_S = 0.05
CALLS_AT_ONCE = 4
SERVICE = "huvo11a"
PROCESSES = (
    ("front-montego-1", "gateway"),
    ("front-montego-2", "gateway"),
    ("front-savanna-1", "gateway"),
    ("store-montego-1", "batch"),
    ("store-savanna-1", "batch"),
)
CUT_FRONT = "front-savanna-1"


async def case(site: site_lib.Site) -> int:
    """Return the result of the case."""
    site.store.put(
        "op/config",
        site_lib.build_config(
            [{"prefix": "/lohu930/", "kind": "safe", "service": SERVICE}]
        ),
    )
    # One of eight leaves at a time.
    for number in range(4):
        await add_worker(site, f"i-savanna-{number}", "savanna")
    for number in range(3):
        await add_worker(site, f"i-stays-{number}", "montego")
    proxy = site_lib.Proxy((site.store_address, site_lib.STORE_PORT))
    proxy_address = site.make_address()
    await proxy.start(proxy_address, site_lib.STORE_PORT)
    processes = []
    for name, role in PROCESSES:
        zone = name.split("-")[1]
        process = site_lib.Process(
            name, role, site.make_address(), zone, "cornwall"
        )
        store = ""
        if name == CUT_FRONT:
            store = f"{proxy_address}:{site_lib.STORE_PORT}"
        await site.start(process, store)
        processes.append(process)
    for process in processes:
        if process.role == "gateway":
            await site.wait_ready(process)
    callers = [one for one in processes if one.name.startswith("front-m")]
    late = 0
    for number in range(ROUNDS):
        worker = await add_worker(site, f"i-montego-{number}", "montego")
        # Ends anywhere between two renewals of the cut front's lease.
        await asyncio.sleep(CALM_S + random.random() * 1.8)
        for process in callers:
            await ask(site, process)
        late += await play_round(site, worker, proxy, callers)
    site.record.write(f"{late} requests reached a worker too late")
    return site_lib.BROKEN if late else site_lib.HELD


async def add_worker(
    site: site_lib.Site, name: str, zone: str
) -> site_lib.Worker:
    """Add a worker and return it."""
    worker = site_lib.Worker(
        site.record, name, SERVICE, site.make_address(), zone
    )
    await site.add_worker(worker)
    return worker


async def play_round(
    site: site_lib.Site,
    worker: site_lib.Worker,
    proxy: site_lib.Proxy,
    callers: list[site_lib.Process],
) -> int:
    """Return how many requests reached a leaving worker after the bound."""
    if site_lib.has_trouble():
        proxy.cut()
        site.record.write(f"{CUT_FRONT} is cut off from the store")
    worker.is_leaving = True
    site.remove_entry(worker)
    gone_at = site.record.now()
    site.record.write(f"the store has removed the entry of {worker.name}")
    await asyncio.sleep(REST_S)
    until = site.record.now() + CALLS_S
    while site.record.now() < until:
        await asyncio.gather(
            *(ask(site, process) for process in callers * CALLS_AT_ONCE)
        )
        await asyncio.sleep(CALL_INTERVAL_S)
    await asyncio.sleep(max(0.0, gone_at + CUT_S - site.record.now()))
    proxy.heal()
    late = [at for at, _ in worker.runs if at > gone_at + DRAIN_S]
    for at in late:
        site.record.write(
            f"BROKEN: {worker.name} got a request at {at:.3f},"
            f" {at - gone_at:.3f} s after its entry was removed"
        )
    return len(late)


async def ask(site: site_lib.Site, process: site_lib.Process) -> None:
    """Send one request to a gateway."""
    request_id = site_lib.make_id()
    site.record.write(f"request {request_id} sent to {process.name}")
    answer = await site_lib.call(
        process.address,
        "POST",
        "/lohu930/2f",
        site_lib.build_headers(request_id),
        b"hello",
    )
    site.record.write(f"answer {request_id} {answer.status}")


if __name__ == "__main__":
    site_lib.run(case, FOLDER)
