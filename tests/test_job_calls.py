"""Calls about a job while the configuration changes."""

import base64
import unittest

import msgspec

from tests import site as site_lib

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
