"""Malformed and oversized requests, sent as raw bytes."""

from typing import Final
import unittest

import anyio

from tests import fakes

TEST_TIMEOUT_S: Final = 40.0
REQUEST_START: Final = (
    b"POST /v1/chat/completions HTTP/1.1\r\nhost: e\r\n"
    b"authorization: Bearer key-desk\r\n"
)
CHUNK: Final = b"8000\r\n" + b" " * 0x8000 + b"\r\n"

# Name, bytes of the request, whether the client then closes its sending side,
# and the first digits of the expected status.
CASES: Final[tuple[tuple[str, bytes, bool, bytes], ...]] = (
    (
        "declared too large",
        REQUEST_START + b"content-length: 100000000\r\n\r\n",
        False,
        b"413",
    ),
    (
        "sent too large",
        REQUEST_START + b"transfer-encoding: chunked\r\n\r\n" + CHUNK * 5,
        False,
        b"413",
    ),
    (
        "body stops half-way",
        REQUEST_START + b"content-length: 500\r\n\r\n{",
        True,
        b"400",
    ),
    (
        "header of a megabyte",
        REQUEST_START + b"x-large: " + b"a" * 1_000_000,
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
            for name, request, is_half_closed, status in CASES:
                with self.subTest(name):
                    response = await self.exchange(
                        port, request, is_half_closed
                    )
                    status_line = response.split(b"\r\n")[0]
                    self.assertTrue(
                        status_line.startswith(b"HTTP/1.1 " + status),
                        status_line,
                    )
        self.assertEqual(agent.submits, [])

    async def exchange(
        self, port: int, request: bytes, is_half_closed: bool
    ) -> bytes:
        response = b""
        with anyio.fail_after(TEST_TIMEOUT_S):
            async with await anyio.connect_tcp("127.0.0.1", port) as stream:
                try:
                    await stream.send(request)
                    if is_half_closed:
                        await stream.send_eof()
                    while b"\r\n\r\n" not in response:
                        response += await stream.receive()
                except (anyio.EndOfStream, anyio.BrokenResourceError):
                    pass
        return response
