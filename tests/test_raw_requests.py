"""Requests that no client library would send, byte by byte."""

from typing import Final
import unittest

import anyio

from tests import fakes

PATIENCE_S: Final = 40.0
START: Final = (
    b"POST /v1/chat/completions HTTP/1.1\r\nhost: e\r\n"
    b"authorization: Bearer key-desk\r\n"
)
CHUNK: Final = b"8000\r\n" + b" " * 0x8000 + b"\r\n"

# Name, the bytes that are sent, whether the sender then stops sending, and
# the status that must come back.
CASES: Final[tuple[tuple[str, bytes, bool, bytes], ...]] = (
    (
        "declared too large",
        START + b"content-length: 100000000\r\n\r\n",
        False,
        b"413",
    ),
    (
        "sent too large",
        START + b"transfer-encoding: chunked\r\n\r\n" + CHUNK * 5,
        False,
        b"413",
    ),
    (
        "body stops half-way",
        START + b"content-length: 500\r\n\r\n{",
        True,
        b"400",
    ),
    (
        "header of a megabyte",
        START + b"x-large: " + b"a" * 1_000_000,
        False,
        b"4",
    ),
    ("no HTTP at all", b"hello\r\n\r\n", False, b"400"),
)


class RawRequestsTest(unittest.IsolatedAsyncioTestCase):
    async def test_each_gets_one_clear_error(self) -> None:
        agent = fakes.FakeAgent("a1", fakes.respond)
        async with fakes.run_entry(agent) as harness:
            port = int(harness.url.rpartition(":")[2])
            for name, sent, has_stopped, status in CASES:
                with self.subTest(name):
                    answer = await self.exchange(port, sent, has_stopped)
                    line = answer.split(b"\r\n")[0]
                    self.assertTrue(
                        line.startswith(b"HTTP/1.1 " + status), line
                    )
        self.assertEqual(agent.submits, [])

    async def exchange(
        self, port: int, sent: bytes, has_stopped: bool
    ) -> bytes:
        answer = b""
        with anyio.fail_after(PATIENCE_S):
            async with await anyio.connect_tcp("127.0.0.1", port) as stream:
                try:
                    await stream.send(sent)
                    if has_stopped:
                        await stream.send_eof()
                    while b"\r\n\r\n" not in answer:
                        answer += await stream.receive()
                except (anyio.EndOfStream, anyio.BrokenResourceError):
                    pass
        return answer
