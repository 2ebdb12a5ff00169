"""Calls of the key-value service by cause, of a fleet in one process.

Usage: python -m bench.store_calls [GATEWAYS] [BATCH_PROCESSES] [ENDPOINTS]
"""

import collections
from collections.abc import Callable
import sys
from typing import Any
from typing import Final

import anyio
import msgspec

from bench import ports
from eelgrassgate.batches import daemon as batch_daemon
from eelgrassgate.gateway import daemon as gateway_daemon
from eelgrassgate.gateway import node as node_lib
from eelgrassgate.gateway import settings
from eelgrassgate.platform import batch_calls
from eelgrassgate.platform import dialect
from eelgrassgate.platform import documents
from eelgrassgate.platform import kv
from eelgrassgate.standins import kv as standin
from eelgrassgate.store import base
from eelgrassgate.store import causes
from eelgrassgate.store import memory
from tests import loopback

ZONES: Final = ("a1", "a2", "b1")
REGION_BY_ZONE: Final = {"a1": "a", "a2": "a", "b1": "b"}
# Endpoints rewrite their entries at this interval.
ENTRY_INTERVAL_S: Final = 1.2
START_S: Final = 8.0
MEASURE_S: Final = 50.0
# A renewal of a lease is billed as a tenth of a call.
RENEWAL_COST: Final = 0.1

_Cause = tuple[causes.Operation, str]


def create_settings(name: str, zone: str) -> settings.Node:
    reports, relay, metrics = (
        f"{ports.HOST}:{ports.pick_port()}" for _ in range(3)
    )
    return settings.Node(
        name,
        zone,
        REGION_BY_ZONE[zone],
        REGION_BY_ZONE,
        "",
        reports,
        relay,
        metrics,
        2.0,
    )


async def write(store: base.Store, key: str, value: dict[str, Any]) -> None:
    change = base.Write(key, msgspec.json.encode(value))
    await store.commit(base.Transaction((), (change,)))


async def rewrite_endpoint(store: base.Store, number: int) -> None:
    """Rewrite an endpoint's entry for ever, as engines do."""
    sequence = 0
    while True:
        sequence += 1
        entry = {
            "service": "engine",
            "address": f"127.0.0.1:{9000 + number}",
            "zone": ZONES[number % len(ZONES)],
            "slots": 8,
            "state": "ready",
            "born": 1,
            "sequence": sequence,
            "cold-remaining-ms": 0,
            "version": "1",
        }
        await write(store, f"{documents.ENDPOINT_PREFIX}e{number}", entry)
        await anyio.sleep(ENTRY_INTERVAL_S)


def sum_calls(stores: list[kv.KvStore]) -> collections.Counter[_Cause]:
    total: collections.Counter[_Cause] = collections.Counter()
    for one in stores:
        total.update(one.calls.by_cause)
    return total


async def measure(
    gateways: int, batches: int, endpoints: int
) -> tuple[collections.Counter[_Cause], collections.Counter[_Cause]]:
    """Return the calls of the start and those of the time after it."""
    store = memory.create_memory_store()
    config = {"version": 1, "routes": []}
    await write(store, documents.CONFIG_KEY, config)
    stores: list[kv.KvStore] = []
    never = anyio.Event()
    creators: list[Callable[..., Any]] = [
        *[gateway_daemon.create_gateway] * gateways,
        *[batch_daemon.create_batch_daemon] * batches,
    ]
    async with (
        loopback.serve(standin.create_app(store)) as url,
        anyio.create_task_group() as tasks,
    ):
        for number in range(endpoints):
            tasks.start_soon(rewrite_endpoint, store, number)
        for number, create in enumerate(creators):
            client = kv.create_kv_store(url.removeprefix("http://"))
            stores.append(client)
            adapters = node_lib.PlatformAdapters(
                client,
                documents.PlatformDocuments(),
                dialect.PlatformDialect(),
                batch_calls.PlatformBatchDialect(),
            )
            zone = ZONES[number % len(ZONES)]
            made = create(create_settings(f"p{number}", zone), adapters)
            tasks.start_soon(made.run, never)
        await anyio.sleep(START_S)
        start = sum_calls(stores)
        await anyio.sleep(MEASURE_S)
        steady = sum_calls(stores)
        steady.subtract(start)
        tasks.cancel_scope.cancel()
    return start, steady


def compute_cost(cause: _Cause, count: int) -> float:
    is_renewal = cause[0] is causes.Operation.RENEWAL
    return count * RENEWAL_COST if is_renewal else count


def main(arguments: list[str]) -> None:
    gateways, batches, endpoints = [*map(int, arguments), 8, 4, 12][:3]
    start, steady = anyio.run(measure, gateways, batches, endpoints)
    print(f"{gateways} gateways, {batches} batch, {endpoints} endpoints")
    for cause in sorted(start, key=lambda one: (one[1], one[0].value)):
        operation, part = cause
        print(
            f"{part:12} {operation.value:8} start {start[cause]:6}"
            f" in {MEASURE_S:.0f} s {steady[cause]:6}"
        )
    for name, found in (("start", start), ("after", steady)):
        cost = sum(compute_cost(one, count) for one, count in found.items())
        print(f"billed, {name}: {cost:.1f}")


if __name__ == "__main__":
    main(sys.argv[1:])
