"""Responses of endpoints that break off at some byte."""

from typing import Final
import unittest

import anyio

from eelgrassgate import deadlines
from eelgrassgate.batches import items
from eelgrassgate.engine import base as engine_base
from eelgrassgate.engine import http as engine_http
from eelgrassgate.gateway import calls
from eelgrassgate.gateway import catalog
from eelgrassgate.http1 import upstream
from eelgrassgate.platform import dialect
from eelgrassgate.standins import endpoint
from tests import site as site_lib

End = endpoint.UnframedEnd
COMPLETE_BODY: Final = endpoint.write_stream(4)
SIGNED: Final = (
    b"HTTP/1.1 200 OK\r\nrequest-id: r1\r\nresponse-signature: 1\r\n"
)
LATE: Final = (
    b"HTTP/1.1 200 OK\r\nrequest-id: r0\r\ncontent-length: 4\r\n\r\nlate"
)
# Responses of which neither the whole nor any beginning is complete.
CUT_BY_NAME: Final = {
    "length": SIGNED + b"content-length: 81\r\n\r\n" + COMPLETE_BODY,
    "chunks": SIGNED
    + b"transfer-encoding: chunked\r\n\r\n50\r\n"
    + COMPLETE_BODY
    + b"\r\n0\r\nx: y\r\n\r",
    "no length": SIGNED + b"\r\n",
    "HTTP/1.0": SIGNED.replace(b"1.1", b"1.0") + b"\r\n",
    "bare line feeds": SIGNED.replace(b"\r", b"") + b"\n",
    "interim": b"HTTP/1.1 103 Early\r\nx: y\r\n\r\n" + SIGNED + b"\r\n",
    "late": LATE + SIGNED + b"\r\n",
}
# Distance of the cuts that are tried; 1 tries each byte.
CUT_STEP: Final = 13
CUTS: Final = [
    (name, raw[:cut])
    for name, raw in CUT_BY_NAME.items()
    for cut in range(len(raw), -1, -CUT_STEP)
]
PATHS: Final = ("/plain/a", "/twice/a", "/stream/a", "/resumable/a")


async def call_with_broken(
    path: str, behavior: endpoint.Behavior, *, is_kept: bool = False
) -> tuple[site_lib.Response, int]:
    """Call with a fault at the first endpoint; return the number of runs too.

    With `is_kept` the connection to the endpoint has been used before.
    """
    async with site_lib.open_site() as site:
        first, second = site.endpoints
        site.loads.set_peer_counts("other", {second.name: 4}, {})
        if is_kept:
            await site_lib.call(site.address, path)
            first.runs.clear()
        first.behavior = behavior
        response = await site_lib.call(site.address, path)
        return response, site.count_runs()


async def run_item(
    site: site_lib.Site,
    raw: bytes,
    end: endpoint.UnframedEnd | None,
    last_event: int,
) -> items.Outcome:
    """Run an item of which `last_event` events are known."""
    known = [f"word-{number}" for number in range(1, last_event + 1)]
    item = calls.BatchItem("r1", "/batch/1", {}, b"question", 10)
    progress = items.Progress(
        item, known, str(last_event) if last_event else ""
    )
    pool = upstream.create_pool(1.0)
    server = site.endpoints[0]
    server.behavior = endpoint.Behavior(raw=raw, unframed_end=end)
    outcome, _ = await items.run(
        pool,
        dialect.PlatformDialect(),
        catalog.Endpoint("e1", "engine", server.address, "z1", 8),
        site_lib.HOST,
        site_lib.WORKSPACE,
        deadlines.after(10.0),
        progress,
        lambda: None,
        site_lib.make_endpoint_limits(),
        site.placement.draining,
    )
    await pool.close()
    return outcome


class CutTest(unittest.IsolatedAsyncioTestCase):
    async def test_cut_response_looks_complete(self) -> None:
        for index, (name, raw) in enumerate(CUTS):
            path = PATHS[index % 4]
            is_retried = path in {"/plain/a", "/resumable/a"}
            end = End.CLOSE if index % 5 else End.RESET
            is_kept = index % 3 == 0
            with self.subTest(name, raw=raw, path=path, kept=is_kept, end=end):
                behavior = endpoint.Behavior(raw=raw, unframed_end=end)
                response, runs = await call_with_broken(
                    path, behavior, is_kept=is_kept
                )
                is_whole = response.is_complete and response.status == 200
                self.assertEqual(is_whole, is_retried)
                self.assertIn(response.status, {200, 502})
                self.assertEqual(runs, 1 + is_retried)
                if is_whole:
                    self.assertEqual(response.body, COMPLETE_BODY)

    async def test_cut_response_completes_an_item(self) -> None:
        async with site_lib.open_site("e1") as site:
            for index, (name, raw) in enumerate(CUTS):
                end = End.CLOSE if index % 5 else End.RESET
                with self.subTest(name, raw=raw, end=end):
                    outcome = await run_item(site, raw, end, 0)
                    self.assertEqual(outcome, items.Outcome.BROKEN)


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

    async def test_head_without_length_and_body_looks_complete(self) -> None:
        behavior = endpoint.Behavior(raw=SIGNED + b"\r\n")
        for path, status, body, runs in (
            ("/plain/a", 200, COMPLETE_BODY, 2),
            ("/twice/a", 502, b"", 1),
        ):
            with self.subTest(path):
                response, found = await call_with_broken(path, behavior)
                self.assertEqual((response.status, found), (status, runs))
                self.assertEqual(response.body, body)
        with self.subTest("resumed"):
            async with site_lib.open_site() as site:
                site.loads.set_peer_counts("other", {"e2": 4}, {})
                first, second = site.endpoints
                first.behavior = endpoint.Behavior(abort_after_events=2)
                second.behavior = behavior
                response = await site_lib.call(site.address, "/resumable/a")
            self.assertEqual(response.body, endpoint.write_stream(2))
            self.assertFalse(response.is_complete)
        with self.subTest("resumed item"):
            async with site_lib.open_site("e1") as site:
                outcome = await run_item(site, SIGNED + b"\r\n", None, 2)
            self.assertEqual(outcome, items.Outcome.BROKEN)

    async def test_empty_body_with_a_length_is_complete(self) -> None:
        for path in ("/plain/a", "/twice/a"):
            for status, header in ((200, b"content-length: 0\r\n"), (204, b"")):
                with self.subTest(path, status=status):
                    raw = SIGNED.replace(b"200", b"%d" % status) + header
                    behavior = endpoint.Behavior(raw=raw + b"\r\n")
                    response, runs = await call_with_broken(path, behavior)
                    self.assertEqual(response.status, status)
                    self.assertTrue(response.is_complete)
                    self.assertEqual(runs, 1)

    async def test_length_cuts_a_chunked_body(self) -> None:
        chunked = b"transfer-encoding: chunked\r\n\r\n4\r\nfine\r\n0\r\n\r\n"
        for length in (0, 2, 99):
            with self.subTest(length=length):
                raw = SIGNED + b"content-length: %d\r\n" % length + chunked
                behavior = endpoint.Behavior(raw=raw)
                response, _ = await call_with_broken("/twice/a", behavior)
                self.assertEqual(response.body, b"fine")
                self.assertTrue(response.is_complete)

    async def test_cut_body_looks_complete_to_http_1_0(self) -> None:
        request = (
            b"POST /stream/a HTTP/1.0\r\nhost: desk.example\r\n"
            b"authorization: Bearer key-1\r\ncontent-length: 0\r\n\r\n"
        )
        for events, error in (
            (2, anyio.BrokenResourceError),
            (4, anyio.EndOfStream),
        ):
            with self.subTest(events=events):
                async with site_lib.open_site("e1") as site:
                    site.endpoints[0].behavior.abort_after_events = events
                    port = int(site.address.rpartition(":")[2])
                    caller = await anyio.connect_tcp("127.0.0.1", port)
                    await caller.send(request)
                    with anyio.fail_after(site_lib.TEST_TIMEOUT_S):
                        with self.assertRaises(error):
                            while True:
                                await caller.receive()
                    await caller.aclose()


async def call_engine(
    site: site_lib.Site, raw: bytes, *, is_stream: bool
) -> engine_base.Part:
    """Return the last part of an engine's response."""
    server = site.endpoints[0]
    server.behavior = endpoint.Behavior(raw=raw)
    engine = engine_http.create_engine(f"http://{server.address}")
    call = engine_base.Call(
        "a", "POST", "/v1", b"{}", "", is_stream, deadlines.after(10.0)
    )
    parts = [part async for part in engine.call(call)]
    await engine.close()
    return parts[-1]


class EngineTest(unittest.IsolatedAsyncioTestCase):
    async def test_cut_response_looks_complete(self) -> None:
        events = b"HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n\r\n"
        # Engines don't name the call that they respond to.
        cuts = [one for one in CUTS if one[0] != "late"]
        async with site_lib.open_site("e1") as site:
            for name, raw in [*cuts, ("events", events)]:
                for is_stream in (False, True):
                    with self.subTest(name, raw=raw, is_stream=is_stream):
                        part = await call_engine(site, raw, is_stream=is_stream)
                        self.assertIsInstance(part, engine_base.Failed)
