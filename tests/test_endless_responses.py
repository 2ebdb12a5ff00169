"""Servers whose responses never end until their caller closes."""

from collections.abc import AsyncIterator
import contextlib
import gzip
import time
from typing import Final
import unittest
from unittest import mock

import anyio
import httpx
import msgspec
import zstandard

from eelgrassgate import deadlines
from eelgrassgate import http_clients
from eelgrassgate import outcomes
from eelgrassgate import response_limits
from eelgrassgate.batches import items
from eelgrassgate.engine import base as engine_base
from eelgrassgate.engine import connections as engine_connections
from eelgrassgate.engine import http as engine_http
from eelgrassgate.gateway import calls
from eelgrassgate.gateway import catalog
from eelgrassgate.gateway import draining
from eelgrassgate.http1 import events
from eelgrassgate.http1 import upstream
from eelgrassgate.instances import endpointslice
from eelgrassgate.jobs import packing
from eelgrassgate.platform import dialect
from eelgrassgate.platform import kv
from eelgrassgate.service import http as service_http
from eelgrassgate.standins import endpoint
from eelgrassgate.store import etcd
from tests import site as site_lib

TIMEOUT_S: Final = 10.0
# The route's timeout is 5 s; a caller must not be held until then.
MAX_ANSWER_S: Final = 3.0
MAX_CLOSE_S: Final = 1.0
PADDING: Final = b"x" * 4096
SIGNED_HEAD: Final = (
    b"HTTP/1.1 200 OK\r\nrequest-id: r1\r\nresponse-signature: 1\r\n\r\n"
)
# A whole chunk of an answer that isn't over.
CHUNK: Final = SIGNED_HEAD.replace(
    b"\r\n\r\n", b"\r\ntransfer-encoding: chunked\r\n\r\n1\r\n:\r\n"
)


class Case(msgspec.Struct, frozen=True):
    """An endless response of one of two endpoints; the other is sound."""

    name: str
    path: str
    start: bytes
    repeated: bytes
    status: int = 200


CASES: Final = (
    Case(
        "interim responses",
        "/plain/a",
        b"",
        b"HTTP/1.1 102 Processing\r\n\r\n" * 100,
    ),
    Case("a head without end", "/plain/a", b"HTTP/1.1 200 OK\r\nx: ", PADDING),
    Case("many headers", "/plain/a", b"HTTP/1.1 200 OK\r\n", b"x: y\r\n" * 500),
    Case("no HTTP", "/plain/a", b"", PADDING),
    Case(
        "late responses",
        "/plain/a",
        b"",
        b"HTTP/1.1 200 OK\r\nrequest-id: another\r\ncontent-length: 0\r\n\r\n"
        * 50,
    ),
    Case("a trailer without end", "/plain/a", CHUNK + b"0\r\nx: ", PADDING),
    Case("many trailers", "/plain/a", CHUNK + b"0\r\n", b"x: y\r\n" * 500),
    Case("a chunk extension without end", "/plain/a", CHUNK + b"1;", PADDING),
    Case("a chunk size without end", "/plain/a", CHUNK, b"0" * 4096),
    Case(
        "a chunk without end", "/resumable/a", CHUNK + b"ffffffff\r\n", PADDING
    ),
    Case(
        "events without a blank line",
        "/resumable/a",
        CHUNK,
        b"1000\r\n" + b"data: x\n" * 512 + b"\r\n",
    ),
    Case(
        "a late response without end",
        "/plain/a",
        b"HTTP/1.1 200 OK\r\nrequest-id: another\r\n\r\n",
        PADDING,
    ),
    Case(
        "a refusal without end",
        "/plain/a",
        b"HTTP/1.1 503 Full\r\nnot-executed: 1\r\n\r\n",
        PADDING,
    ),
    Case(
        "a refusal without end, not idempotent",
        "/twice/a",
        b"HTTP/1.1 503 Full\r\nnot-executed: 1\r\n\r\n",
        PADDING,
    ),
    Case(
        "an error without end",
        "/plain/a",
        b"HTTP/1.1 500 Error\r\nrequest-id: r1\r\n\r\n",
        PADDING,
    ),
    Case(
        "an event without end",
        "/resumable/a",
        SIGNED_HEAD + b"id: 1\ndata: ",
        PADDING,
    ),
    Case(
        "no checksum and no end",
        "/plain/a",
        b"HTTP/1.1 200 OK\r\nrequest-id: r1\r\n\r\n",
        PADDING,
    ),
    Case(
        "a head without end, not idempotent",
        "/twice/a",
        b"HTTP/1.1 200 OK\r\nx: ",
        PADDING,
        502,
    ),
)
# Fast enough to exceed a bound of bytes, and too slow for that.
DELAYS_S: Final = (0.0, 0.3)


class GatewayTest(unittest.IsolatedAsyncioTestCase):
    async def test_callers_are_held_by_endless_responses(self) -> None:
        for case in CASES:
            for delay_s in DELAYS_S:
                with self.subTest(case.name, delay_s=delay_s):
                    await self.run_case(case, delay_s)

    async def run_case(self, case: Case, delay_s: float) -> None:
        async with site_lib.open_site() as site:
            first, second = site.endpoints
            site.loads.set_peer_counts("other", {second.name: 4}, {})
            first.behavior = endpoint.Behavior(
                endless=(case.start, case.repeated), endless_delay_s=delay_s
            )
            response = site_lib.Response()
            with anyio.move_on_after(MAX_ANSWER_S):
                response = await site_lib.call(site.address, case.path)
            self.assertEqual(response.status, case.status)
            self.assertTrue(response.is_complete)
            if case.status == 200:
                self.assertEqual(response.body, endpoint.write_stream(4))
            with anyio.move_on_after(MAX_CLOSE_S):
                while first.endless_calls:
                    await anyio.sleep(0.01)
            self.assertEqual(first.endless_calls, 0)


@contextlib.asynccontextmanager
async def serve_endless(start: bytes, repeated: bytes, delay_s: float):  # type: ignore[no-untyped-def]
    server = endpoint.create_endpoint("e")
    server.behavior = endpoint.Behavior(
        endless=(start, repeated), endless_delay_s=delay_s
    )
    async with anyio.create_task_group() as tasks:
        await tasks.start(server.serve)
        yield server
        tasks.cancel_scope.cancel()


def make_call() -> engine_base.Call:
    return engine_base.Call(
        "a",
        "POST",
        "/v1/completions",
        b"{}",
        "application/json",
        is_stream=True,
        deadline=deadlines.after(TIMEOUT_S),
        fence=1,
    )


async def read_records(url: str) -> str:
    store = etcd.create_etcd_store(url)
    found = await store.read("a")
    await store.close()
    return str(found)


async def read_watch(url: str) -> str:
    store = etcd.create_etcd_store(url)
    found = [one async for one in store.watch("a", 1)]
    await store.close()
    return str(found)


async def read_list(url: str) -> str:
    instances = endpointslice.create_endpointslice_list(url)
    found = await instances.read("a")
    await instances.close()
    return str(found)


async def read_engine(url: str) -> str:
    client = engine_connections.create_client(url, read_timeout_s=TIMEOUT_S)
    found = ""
    try:
        response = await engine_connections.send(
            client, make_call(), has_read_timeout=False
        )
        await response.aread()
    except httpx.HTTPError as error:
        found = str(error)
    await client.aclose()
    return found


class Pieces(httpx.AsyncByteStream):
    """A body that arrives in pieces of one size."""

    def __init__(self, data: bytes, size: int) -> None:
        self._data = data
        self._size = size

    async def __aiter__(self) -> AsyncIterator[bytes]:
        for start in range(0, len(self._data), self._size):
            yield self._data[start : start + self._size]


# By name: reads a response from a URL and returns the failure as text.
HTTP_CLIENTS: Final = {
    "records": read_records,
    "watch": read_watch,
    "list": read_list,
    "engine": read_engine,
}


class ReaderTest(unittest.IsolatedAsyncioTestCase):
    async def test_items_are_held_by_endless_responses(self) -> None:
        for name, start, repeated, outcome in (
            (
                "a refusal",
                b"HTTP/1.1 503 Full\r\nnot-executed: 1\r\n\r\n",
                PADDING,
                items.Outcome.NOT_RUN,
            ),
            (
                "an item that can't be done",
                b"HTTP/1.1 422 No\r\nresponse-signature: 1\r\n\r\n",
                PADDING,
                items.Outcome.IMPOSSIBLE,
            ),
            (
                "an event",
                SIGNED_HEAD + b"id: 1\ndata: ",
                PADDING,
                items.Outcome.BROKEN,
            ),
            (
                "events without ids",
                SIGNED_HEAD,
                b"data: " + PADDING * 15 + b"\n\n",
                items.Outcome.BROKEN,
            ),
            ("a head", b"HTTP/1.1 200 OK\r\n", PADDING, items.Outcome.BROKEN),
        ):
            for delay_s in DELAYS_S:
                if delay_s and name == "events without ids":
                    # Whole events in time are an output as long as they come.
                    continue
                with self.subTest(name, delay_s=delay_s):
                    found = await self.run_item(start, repeated, delay_s)
                    self.assertEqual(found, outcome)

    async def test_event_ids_end_a_run_with_an_error(self) -> None:
        # A run that ends with an error is none that its endpoint has broken.
        for name, event_id in (
            ("many digits", b"1" * 5_000),
            ("digits of another script", "\u00b2".encode()),
            ("no head could hold it", b"a" * (events.MAX_ID_BYTES + 1)),
        ):
            with self.subTest(name):
                events_sent = b"id: %b\ndata: a\n\n" % event_id * 2
                found = await self.run_item(
                    SIGNED_HEAD + events_sent, b"data: " + PADDING, 0.0
                )
                self.assertEqual(found, items.Outcome.BROKEN)

    async def test_an_event_id_is_too_large_to_resume_after(self) -> None:
        event_id = b"a" * (events.MAX_ID_BYTES + 1)
        async with site_lib.open_site() as site:
            first, second = site.endpoints
            site.loads.set_peer_counts("other", {second.name: 4}, {})
            first.behavior = endpoint.Behavior(
                endless=(SIGNED_HEAD + b"id: %b\ndata: a\n\n" % event_id, b""),
                endless_delay_s=0.01,
            )
            response = site_lib.Response()
            with anyio.move_on_after(MAX_ANSWER_S):
                response = await site_lib.call(site.address, "/resumable/a")
            self.assertEqual(response.body, endpoint.write_stream(4))

    async def run_item(
        self, start: bytes, repeated: bytes, delay_s: float
    ) -> items.Outcome | None:
        pool = upstream.create_pool(1.0)
        item = calls.BatchItem("r1", "/batch/1", {}, b"question", 10)
        found: items.Outcome | None = None
        async with serve_endless(start, repeated, delay_s) as server:
            with anyio.move_on_after(items.IDLE_TIMEOUT_S + MAX_CLOSE_S):
                found, _ = await items.run(
                    pool,
                    dialect.PlatformDialect(),
                    catalog.Endpoint("e", "engine", server.address, "z1", 8),
                    "desk.example",
                    "desk",
                    anyio.current_time() + 60.0,
                    items.Progress(item),
                    lambda: None,
                    site_lib.make_endpoint_limits(),
                    draining.create_draining_endpoints(),
                )
            with anyio.move_on_after(MAX_CLOSE_S):
                while server.endless_calls:
                    await anyio.sleep(0.01)
            self.assertEqual(server.endless_calls, 0)
        await pool.close()
        return found

    async def test_skipped_responses_are_not_counted(self) -> None:
        late = b"HTTP/1.1 200 OK\r\nrequest-id: b\r\ncontent-length: 0\r\n\r\n"
        sound = b"HTTP/1.1 200 OK\r\nrequest-id: a\r\ncontent-length: 0\r\n\r\n"
        bound = upstream.MAX_SKIPPED_RESPONSES
        for name, skipped in (
            ("interim", b"HTTP/1.1 100\r\n\r\n"),
            ("late", late),
        ):
            for count, is_answered in ((bound, True), (bound + 1, False)):
                with self.subTest(name, count=count):
                    found = await self.read_status(skipped * count, sound)
                    self.assertEqual(found, 200 if is_answered else None)

    async def read_status(self, skipped: bytes, sound: bytes) -> int | None:
        request = upstream.Request(b"POST", b"/", ((b"host", b"h"),), b"")
        pool = upstream.create_pool(1.0)
        async with (
            serve_endless(skipped + sound, b"", 0.01) as server,
            pool.use(server.address) as connection,
        ):
            connection.stall_deadline = deadlines.after(TIMEOUT_S)
            try:
                await connection.start(
                    request, lambda head: head.get(b"request-id") == b"a"
                )
            except upstream.ExchangeError as error:
                self.assertTrue(error.was_sent)
                return None
            return connection.head.status

    async def test_store_calls_read_endless_responses(self) -> None:
        for name, start in (
            ("a body", b"HTTP/1.1 200 OK\r\n\r\n"),
            ("a head", b"HTTP/1.1 200 OK\r\nx: "),
        ):
            with self.subTest(name):
                async with serve_endless(start, PADDING * 16, 0.0) as server:
                    store = kv.create_kv_store(server.address)
                    with anyio.fail_after(TIMEOUT_S):
                        (await store.read("a")).failure()
                        while server.endless_calls:
                            await anyio.sleep(0.01)
                    # Socket buffers hold what was not read.
                    self.assertLess(
                        server.endless_bytes,
                        upstream.MAX_RESPONSE_BYTES + 16_000_000,
                    )
                    await store.close()

    async def test_engine_adapters_read_endless_responses(self) -> None:
        lost = outcomes.Code.ENDPOINT_LOST
        stream = b"HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n\r\n"
        conflict = b"HTTP/1.1 409 No\r\n\r\n"
        engine = engine_http.create_engine
        service = service_http.create_service
        for name, create, start, repeated in (
            ("a line", engine, stream + b"data: ", PADDING),
            ("lines", engine, stream, b"data: x\n" * 4_000),
            ("lines with CRLF", engine, stream, b"data: x\r\n" * 4_000),
            ("comments", engine, stream, b":\n" * 16_000),
            ("a conflict", engine, conflict, PADDING),
            ("a conflict of a service", service, conflict, PADDING),
        ):
            with self.subTest(name):
                async with serve_endless(start, repeated, 0.0) as server:
                    adapter = create(f"http://{server.address}")
                    call = make_call()
                    with anyio.fail_after(MAX_ANSWER_S):
                        parts = [part async for part in adapter.call(call)]
                    end = parts[-1]
                    assert isinstance(end, engine_base.Failed)
                    self.assertEqual(end.refusal.code, lost)
                    await adapter.close()
        with self.subTest("a load report"):
            head = b"HTTP/1.1 200 OK\r\n\r\n"
            async with serve_endless(head, PADDING, 0.0) as server:
                adapter = engine_http.create_engine(f"http://{server.address}")
                with anyio.fail_after(engine_http.CONTROL_TIMEOUT_S / 2):
                    self.assertIsNone(await adapter.read_load())
                # Not read as if it were a whole body.
                self.assertLess(
                    server.endless_bytes, response_limits.MAX_BODY_BYTES
                )
                await adapter.close()

    async def test_interim_responses_hold_http_clients(self) -> None:
        interim = b"HTTP/1.1 102 Processing\r\n\r\n"
        sound = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n{}"
        bound = http_clients.MAX_INTERIM_RESPONSES
        for name, read in HTTP_CLIENTS.items():
            with self.subTest(name):
                async with serve_endless(
                    interim * (bound + 1), b"", 0.01
                ) as server:
                    with anyio.fail_after(MAX_ANSWER_S):
                        found = await read(f"http://{server.address}")
                    self.assertIn("too many interim responses", found)
            with self.subTest(name, is_sound=True):
                async with serve_endless(
                    interim * bound + sound, b"", 0.01
                ) as server:
                    with anyio.fail_after(MAX_ANSWER_S):
                        found = await read(f"http://{server.address}")
                    self.assertNotIn("interim", found)

    async def test_long_streams_of_events_are_cut(self) -> None:
        for name, end in (
            ("LF", b"\n\n"),
            ("CRLF", b"\r\n\r\n"),
            ("CR", b"\r\r"),
        ):
            for size in (1, 7, 100):
                with self.subTest(name, size=size):
                    event = b"data: " + PADDING[:50] + end
                    data = event * 8
                    response = httpx.Response(200, stream=Pieces(data, size))
                    response_limits.limit_parts(
                        response,
                        response_limits.EVENT_ENDS,
                        2 * len(event) + size,
                    )
                    self.assertEqual(await response.aread(), data)

    async def test_compressed_responses_grow_in_http_clients(self) -> None:
        bomb = gzip.compress(bytes(10_000_000))
        head = b"HTTP/1.1 200 OK\r\ncontent-encoding: gzip\r\n"
        length = b"content-length: %d\r\n\r\n" % len(bomb)
        for name, read in HTTP_CLIENTS.items():
            with self.subTest(name):
                async with serve_endless(
                    head + length + bomb, b"", 0.01
                ) as server:
                    with anyio.fail_after(MAX_ANSWER_S):
                        found = await read(f"http://{server.address}")
                    self.assertIn("unexpected encoding", found)

    async def test_lists_and_records_are_read_without_bound(self) -> None:
        head = b"HTTP/1.1 200 OK\r\n\r\n"
        limit = 1_000_000
        limits = (
            mock.patch.object(etcd, "MAX_RESPONSE_BYTES", limit),
            mock.patch.object(endpointslice, "MAX_LIST_BYTES", limit),
        )
        for name in ("records", "list"):
            with self.subTest(name), limits[0], limits[1]:
                async with serve_endless(head, PADDING * 16, 0.0) as server:
                    with anyio.fail_after(MAX_ANSWER_S):
                        found = await HTTP_CLIENTS[name](
                            f"http://{server.address}"
                        )
                    self.assertIn("the body exceeds", found)
                    # Socket buffers hold what was not read.
                    self.assertLess(server.endless_bytes, limit + 16_000_000)

    def test_a_size_in_the_header_of_a_chunk_is_allocated(self) -> None:
        raw = bytes(packing.MAX_RAW_BYTES + 1)
        for has_size in (True, False):
            with self.subTest(has_size=has_size):
                data = zstandard.ZstdCompressor(
                    write_content_size=has_size
                ).compress(raw)
                with self.assertRaises(zstandard.ZstdError):
                    packing.decompress(data)

    def test_event_buffer_grows_without_bound(self) -> None:
        splitter = events.Splitter()
        with self.assertRaises(events.EventTooLargeError):
            for _ in range(events.MAX_EVENT_BYTES // len(PADDING) + 1):
                splitter.feed(PADDING)

    def test_an_event_in_small_parts_is_searched_again_and_again(self) -> None:
        few = min(measure_split(4_000) for _ in range(3))
        many = min(measure_split(64_000) for _ in range(3))
        # 16 times the parts; 256 times the time if each searches all of them.
        self.assertLess(many, 64 * few)

    def test_parts_split_events_otherwise_than_the_whole(self) -> None:
        data = b"\n\n\na: b\n\n\n\nid: 1\n\ndata: \n\n\n\n\nid: 2\n"
        whole = events.Splitter()
        expected = whole.feed(data)
        for size in range(1, len(data)):
            with self.subTest(size=size):
                splitter = events.Splitter()
                found: list[events.Event] = []
                for start in range(0, len(data), size):
                    found += splitter.feed(data[start : start + size])
                self.assertEqual(found, expected)
                self.assertTrue(splitter.has_partial_event())


def measure_split(parts: int) -> float:
    """Return the processor time of an event in parts of one byte."""
    splitter = events.Splitter()
    started_at = time.process_time()
    for _ in range(parts):
        splitter.feed(b"x")
    return time.process_time() - started_at
