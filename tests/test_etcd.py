"""Network and protocol faults between the client and etcd."""

import asyncio
from collections.abc import AsyncIterator
import contextlib
import socket
from typing import Any
from typing import Final
import unittest

from eelgrassgate.store import base
from eelgrassgate.store import etcd

TIMEOUT_S: Final = 0.1
HEAD: Final = b"HTTP/1.1 200 OK\r\ncontent-length: 90\r\n\r\n"
LINE: Final = b'{"result": {"header": {"revision": "7"}}}\n'
CHUNK: Final = b"%x\r\n%s\r\n" % (len(LINE), LINE)
STREAM: Final = b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n"
EMPTY: Final = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n{}"
RATE_LIMITED: Final = (
    b"HTTP/1.1 429 Too Many Requests\r\ncontent-length: 0\r\n\r\n"
)
UNAVAILABLE: Final = (
    b"HTTP/1.1 503 Service Unavailable\r\ncontent-length: 0\r\n\r\n"
)
NOT_DONE: Final = base.Fault.NOT_DONE
UNKNOWN: Final = base.Fault.UNKNOWN

# Name, what the server sends, whether it then closes the connection, fault of
# a write.
CALLS: Final = (
    ("no response", b"", False, UNKNOWN),
    ("connection closed", b"", True, UNKNOWN),
    ("connection cut", HEAD + b'{"succ', True, UNKNOWN),
    ("body incomplete", HEAD + b'{"succ', False, UNKNOWN),
    ("invalid JSON", EMPTY[:-2] + b"{{", False, UNKNOWN),
    ("rate limited", RATE_LIMITED, False, NOT_DONE),
    ("unavailable", UNAVAILABLE, False, UNKNOWN),
)
WATCHES: Final = (
    ("no response", b"", False, 0),
    ("silent after progress", STREAM + CHUNK, False, 1),
    ("connection cut", STREAM + CHUNK, True, 1),
    ("invalid JSON", STREAM + b"2\r\n{\n\r\n", False, 0),
    ("stream ends", STREAM + CHUNK + b"0\r\n\r\n", False, 1),
    ("unavailable", UNAVAILABLE, False, 0),
)
WRITE: Final = base.Transaction((), (base.Write("a", b"1"),))


class FixedServer:
    """A server that answers each request with fixed bytes."""

    def __init__(self, sent: bytes, closes_connection: bool) -> None:
        self.sent = sent
        self.closes_connection = closes_connection
        self.connections = 0

    async def answer(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.connections += 1
        while await reader.read(65_536):
            writer.write(self.sent)
            await writer.drain()
            if self.closes_connection:
                break
        writer.close()


@contextlib.asynccontextmanager
async def open_store(fixed: FixedServer) -> AsyncIterator[base.Store]:
    server = await asyncio.start_server(fixed.answer, "127.0.0.1", 0)
    port = server.sockets[0].getsockname()[1]
    store = etcd.create_etcd_store(
        f"http://127.0.0.1:{port}",
        call_timeout_s=TIMEOUT_S,
        watch_timeout_s=TIMEOUT_S,
    )
    try:
        yield store
    finally:
        await store.close()
        server.close()
        await server.wait_closed()


class WireTest(unittest.IsolatedAsyncioTestCase):
    async def test_failed_calls_report_their_effect(self) -> None:
        for name, sent, closes_connection, fault in CALLS:
            with self.subTest(name):
                async with open_store(
                    FixedServer(sent, closes_connection)
                ) as store:
                    answer = await store.commit(WRITE)
                    self.assertIs(answer.failure().fault, fault)
                    read = await store.read("a")
                    self.assertIs(read.failure().fault, NOT_DONE)

    async def test_refused_connection_is_not_done(self) -> None:
        with socket.socket() as unused:
            unused.bind(("127.0.0.1", 0))
            url = f"http://127.0.0.1:{unused.getsockname()[1]}"
        store = etcd.create_etcd_store(url)
        answer = await store.commit(WRITE)
        self.assertIs(answer.failure().fault, NOT_DONE)
        await store.close()

    async def test_call_after_a_timeout_uses_a_new_connection(self) -> None:
        fixed = FixedServer(EMPTY, closes_connection=False)
        async with open_store(fixed) as store:
            (await store.read("a")).unwrap()
            (await store.read("a")).unwrap()
            self.assertEqual(fixed.connections, 1)
            fixed.sent = b""
            (await store.read("a")).failure()
            fixed.sent = EMPTY
            (await store.read("a")).unwrap()
            self.assertEqual(fixed.connections, 2)

    async def test_broken_watches_end_in_a_failure(self) -> None:
        for name, sent, closes_connection, progress in WATCHES:
            with self.subTest(name):
                async with open_store(
                    FixedServer(sent, closes_connection)
                ) as store:
                    watch: Any = store.watch("", 1)
                    answers = [answer async for answer in watch]
                    self.assertEqual(len(answers), progress + 1)
                    answers[-1].failure()
