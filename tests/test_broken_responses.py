"""Responses of endpoints that break off at some byte."""

from typing import Final
import unittest

from eelgrassgate.standins import endpoint
from tests import site as site_lib

COMPLETE_BODY: Final = endpoint.write_stream(4)
SIGNED: Final = (
    b"HTTP/1.1 200 OK\r\nrequest-id: r1\r\nresponse-signature: 1\r\n"
)


async def call_with_broken(
    path: str, behavior: endpoint.Behavior
) -> tuple[site_lib.Response, int]:
    """Call with a fault at the first endpoint that is chosen.

    Returns:
        The response and the number of runs.
    """
    async with site_lib.open_site() as site:
        first, second = site.endpoints
        site.loads.set_peer_counts("other", {second.name: 4}, {})
        first.behavior = behavior
        response = await site_lib.call(site.address, path)
        return response, site.count_runs()


class BodyTest(unittest.IsolatedAsyncioTestCase):
    async def test_body_goes_on_with_another_run(self) -> None:
        part = b"x" * 300_000
        for path, head in (
            ("/plain/a", SIGNED + b"content-length: 300080\r\n\r\n"),
            (
                "/plain/a",
                SIGNED + b"transfer-encoding: chunked\r\n\r\n493e1\r\n",
            ),
            (
                "/resumable/a",
                b"HTTP/1.1 404 No\r\ncontent-length: 400000\r\n\r\n",
            ),
        ):
            with self.subTest(path, head=head):
                behavior = endpoint.Behavior(raw=head + part)
                response, runs = await call_with_broken(path, behavior)
                self.assertFalse(response.is_complete)
                self.assertEqual(response.body.strip(b"x"), b"")
                self.assertEqual(runs, 1)
