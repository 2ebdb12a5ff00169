"""Which headers of a caller reach an endpoint, on every path that forwards."""

from typing import Final
import unittest

import anyio
import h11
from hypothesis import given
from hypothesis import settings
from hypothesis import strategies

from eelgrassgate.batches import items
from eelgrassgate.gateway import calls
from eelgrassgate.gateway import catalog
from eelgrassgate.gateway import draining
from eelgrassgate.http1 import upstream
from eelgrassgate.platform import dialect
from eelgrassgate.standins import endpoint
from tests import site as site_lib

# Headers that never come from a caller, in its words.
FOREIGN: Final = {
    "Connection": "close, x-hop",
    "X-Hop": "1",
    "Keep-Alive": "timeout=5",
    "Proxy-Connection": "close",
    "TE": "trailers",
    "Trailer": "x",
    "Upgrade": "other",
    "Tenant": "others",
    "Expect-Instance": "other",
    "Time-Remaining": "99999",
    "Authorization": f"Bearer {site_lib.KEY}",
}
# Those that an item may not set either, unlike a request.
FOREIGN_IN_ITEMS: Final = {
    **FOREIGN,
    "Transfer-Encoding": "chunked",
    "Content-Length": "0",
    "Expect": "100-continue",
    "Host": "other.example",
    "Request-Id": "other",
    "Last-Event-Id": "3",
}
KEPT: Final = {"X-Kept": "A, b; c=\u00e9"}
BODY: Final = b"question"
NAMES: Final = [name for name in FOREIGN_IN_ITEMS if name != "X-Hop"]


async def run_item(
    headers: dict[str, str], server: endpoint.Endpoint, last_event: str = ""
) -> items.Outcome:
    pool = upstream.create_pool(1.0)
    progress = items.Progress(
        calls.BatchItem("r1", "/batch/1", headers, BODY, 10),
        last_event=last_event,
    )
    outcome, _ = await items.run(
        pool,
        dialect.PlatformDialect(),
        catalog.Endpoint(server.name, "engine", server.address, "z1", 8),
        site_lib.HOST,
        site_lib.WORKSPACE,
        anyio.current_time() + 60.0,
        progress,
        lambda: None,
        site_lib.make_endpoint_limits(),
        draining.create_draining_endpoints(),
    )
    await pool.close()
    return outcome


class ForwardedHeadersTest(unittest.IsolatedAsyncioTestCase):
    def check(self, server: endpoint.Endpoint, request_id: str) -> None:
        """Check the headers that the only run at an endpoint received."""
        (run,) = server.runs
        headers = run.incoming.headers
        names = [name for name, _ in headers]
        self.assertEqual(len(names), len(set(names)), names)
        values = dict(headers)
        for name in FOREIGN:
            self.assertNotEqual(
                values.get(name.lower().encode()), FOREIGN[name].encode(), name
            )
        self.assertNotIn(b"transfer-encoding", values)
        self.assertNotIn(b"expect", values)
        self.assertEqual(values[b"content-length"], b"%d" % len(BODY))
        self.assertEqual(values[b"host"], site_lib.HOST.encode())
        self.assertEqual(values[b"request-id"], request_id.encode())
        self.assertEqual(values[b"tenant"], site_lib.WORKSPACE.encode())
        self.assertEqual(values[b"expect-instance"], server.name.encode())
        for name, value in KEPT.items():
            self.assertEqual(
                values[name.lower().encode()], value.encode("latin-1")
            )
        self.assertEqual(run.incoming.body, BODY)

    async def test_headers_of_items_are_those_of_their_author(self) -> None:
        for last_event in ("", "2"):
            with self.subTest(last_event=last_event):
                server = endpoint.create_endpoint("e1")
                async with anyio.create_task_group() as tasks:
                    await tasks.start(server.serve)
                    outcome = await run_item(
                        {**FOREIGN_IN_ITEMS, **KEPT}, server, last_event
                    )
                    tasks.cancel_scope.cancel()
                self.assertEqual(outcome, items.Outcome.COMPLETE)
                self.check(server, "r1")
                self.assertEqual(
                    server.runs[0].incoming.get(b"last-event-id"),
                    last_event.encode() or None,
                )

    async def test_headers_of_requests_are_those_of_their_author(self) -> None:
        for path in ("/plain/a", "/twice/a", "/resumable/a"):
            with self.subTest(path):
                async with site_lib.open_site() as site:
                    response = await site_lib.call(
                        site.address,
                        path,
                        headers={
                            **FOREIGN,
                            "Connection": "close, x-hop, host, request-id",
                            "X-Kept": KEPT["X-Kept"].encode("latin-1"),  # type: ignore[dict-item]
                        },
                        body=BODY,
                    )
                    self.assertEqual(response.status, 200)
                    (server,) = [one for one in site.endpoints if one.runs]
                    self.check(server, "r1")

    async def test_a_connection_header_takes_endpoints_out_of_use(self) -> None:
        async with site_lib.open_site() as site:
            for name in ("host", "request-id"):
                with self.subTest(name):
                    response = await site_lib.call(
                        site.address, "/plain/a", headers={"Connection": name}
                    )
                    self.assertEqual(response.status, 200)


class HeaderPropertyTest(unittest.TestCase):
    @settings(deadline=None)
    @given(
        strategies.dictionaries(
            strategies.sampled_from([*NAMES, "x-a", "X-B"]),
            strategies.one_of(
                strategies.sampled_from(
                    ["", "1", "close", "x-a, Tenant, host"]
                ),
                strategies.text(
                    strategies.characters(min_codepoint=33, max_codepoint=126)
                ),
            ),
        )
    )
    def test_an_item_sets_a_header_of_the_system(
        self, headers: dict[str, str]
    ) -> None:
        item = calls.BatchItem("r1", "/batch/1", headers, BODY, 10)
        wire = dialect.PlatformDialect()
        call = items._build_call(wire, item, "desk.example", 1e9)
        request = wire.write_attempt(
            call, calls.Attempt("e1", "desk", 1e9, "7")
        )
        client = h11.Connection(h11.CLIENT)
        sent = client.send(
            h11.Request(
                method=request.method,
                target=request.target,
                headers=list(request.headers),
            )
        )
        server = h11.Connection(h11.SERVER)
        server.receive_data(sent or b"")
        read = server.next_event()
        assert isinstance(read, h11.Request)
        expected = {
            b"host": b"desk.example",
            b"request-id": b"r1",
            b"tenant": b"desk",
            b"expect-instance": b"e1",
            b"last-event-id": b"7",
            b"content-length": b"%d" % len(BODY),
        }
        for name, value in expected.items():
            found = [one for key, one in read.headers if key == name]
            self.assertEqual(found, [value], name)
        names = [key for key, _ in read.headers]
        self.assertEqual(names.count(b"time-remaining"), 1)
        for name in (b"authorization", b"connection", b"transfer-encoding"):
            self.assertNotIn(name, names)
