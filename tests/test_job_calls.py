"""Calls about a job while the configuration changes."""

import base64
import unittest

import anyio
import msgspec

from eelgrassgate.batches import records
from eelgrassgate.gateway import calls
from eelgrassgate.gateway import catalog
from tests import site as site_lib
from tests import test_batches

JOB = "job-1"
ITEM = {
    "id": "i1",
    "path": "/plain/a",
    "headers": {},
    "body": base64.b64encode(b"question").decode(),
    "tokens": 3,
}


class RemovedRouteTest(unittest.IsolatedAsyncioTestCase):
    async def test_job_can_be_read_after_the_last_route_of_its_host_is_removed(
        self,
    ) -> None:
        async with site_lib.open_site() as site:
            submitted = await site_lib.call(
                site.address,
                "/batch/a",
                body=msgspec.json.encode({"items": [ITEM]}),
                request_id=JOB,
            )
            self.assertEqual(submitted.status, 202)
            site.catalog = site_lib.make_catalog([], version=2)
            for method, path, status in (
                ("GET", f"/lots/{JOB}?after=0", 200),
                ("GET", f"/items/{JOB}?id=i1", 200),
                ("DELETE", f"/lots/{JOB}", 200),
                ("GET", "/lots/other", 404),
                ("POST", "/batch/a", 404),
                ("GET", "/plain/a", 404),
            ):
                with self.subTest(path=path, method=method):
                    response = await site_lib.call(
                        site.address, path, method=method, body=b""
                    )
                    self.assertEqual(response.status, status)


class ItemPathTest(unittest.IsolatedAsyncioTestCase):
    async def test_items_run_at_the_service_of_the_route_of_their_job(
        self,
    ) -> None:
        other = msgspec.structs.replace(
            site_lib.make_route("/other/", catalog.Kind.IDEMPOTENT),
            targets=(catalog.Target("none", 1.0),),
        )
        paths = ("/batch/1", "/other/1", "/nowhere/1?a=1")
        items = tuple(
            calls.BatchItem(f"i{number}", path, {"Model": "m"}, b"q")
            for number, path in enumerate(paths)
        )
        async with test_batches.open_harness() as harness:
            harness.catalog = site_lib.make_catalog([*site_lib.ROUTES, other])
            await test_batches.submit(harness.store, items=items)
            with anyio.fail_after(site_lib.TEST_TIMEOUT_S):
                found = await harness.read_all()
            ran = {
                run.incoming.target.decode()
                for one in harness.endpoints
                for run in one.runs
            }
        self.assertEqual(
            [one.state for one in found.values()], [records.COMPLETED] * 3
        )
        self.assertEqual(ran, set(paths))
