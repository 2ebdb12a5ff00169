"""Headers of an item pass the caller's key, and another tenant's name, on.

Two tenants. A client of the first one submits a batch job whose items carry
the headers of its online requests, `Authorization` among them, and in one item
a `Tenant` that names the other tenant.
"""

import asyncio
import base64
import time

from harness import http
from harness import site as site_lib
from harness import worker as worker_lib

OTHER_TENANT = "others"
OTHER_KEY = "key-of-others"


async def handle(
    worker: worker_lib.Worker,
    request: http.Request,
    writer: asyncio.StreamWriter,
) -> None:
    """Stream the output of an item."""
    worker.record_run(request)
    await worker_lib.stream(request, writer, ["word"] * 5, 0.02)


def _make_item(headers: dict[str, str]) -> dict[str, object]:
    return {
        "id": site_lib.make_id(),
        "path": "/jobs-in/items",
        "headers": {"Model": "m", **headers},
        "body": base64.b64encode(b"body").decode(),
        "tokens": 700,
    }


async def case(
    site: site_lib.Site, record: site_lib.Record, has_trouble: bool
) -> bool:
    """Return whether the worker got the caller's tenant only, and no key."""
    site.write_config(
        [site_lib.make_batch_route(service="matcher")],
        ["matcher"],
        [
            {"name": site_lib.TENANT, "api-keys": [site_lib.KEY]},
            {"name": OTHER_TENANT, "api-keys": [OTHER_KEY]},
        ],
    )
    worker = await site.add_worker("worker-1", "matcher", handle)
    front = site.add_process("gateway", "front-1", "montego")
    site.add_process("batch", "store-1", "montego")
    await site.wait_until_ready()
    items = [_make_item({}), _make_item({}), _make_item({})]
    if has_trouble:
        items[1] = _make_item({"Authorization": f"Bearer {site_lib.KEY}"})
        items[2] = _make_item({"Tenant": OTHER_TENANT})
    job = site_lib.make_id()
    answer = await site_lib.submit(front.front, job, items)
    record.add(f"batch job {job} of {len(items)} items: {answer.status}")
    if answer.status not in (202, 400):
        raise site_lib.NotRunError("the batch job was not accepted")
    ends_at = time.monotonic() + site_lib.FINISH_S
    results = []
    while time.monotonic() < ends_at and len(results) < len(items):
        await asyncio.sleep(1.0)
        if answer.status == 202:
            results = await site_lib.read_all(front.front, job)
    record.add(f"listed: {[one['state'] for one in results]}")
    is_held = True
    for at, request in worker.arrived:
        tenants = request.get_all("tenant")
        keys = request.get_all("authorization")
        is_right = tenants == [site_lib.TENANT] and not keys
        is_held &= is_right
        record.add(
            f"worker got item {request.get('request-id')}:"
            f" Tenant {tenants}, Authorization {keys}"
            + ("" if is_right else " BROKEN"),
            at,
        )
    return is_held


if __name__ == "__main__":
    site_lib.run(case, __file__)
