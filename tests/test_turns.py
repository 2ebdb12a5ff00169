"""Readers that always find data share the event loop with other tasks."""

from typing import Any
from typing import Final
import unittest

import anyio
import anyio.lowlevel

from eelgrassgate.http1 import events
from eelgrassgate.http1 import turns
from eelgrassgate.http1 import upstream

READERS: Final = 8
PASSES: Final = 50
REQUEST: Final = upstream.Request(b"GET", b"/", ((b"host", b"a"),), b"")
CHUNKED_HEAD: Final = b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n"
UNFRAMED_HEAD: Final = b"HTTP/1.1 200 OK\r\n\r\n"
# By name: the start of the response, what follows without end, and the bound
# on the parts or events that all readers get in one pass of the event loop.
BODIES: Final = {
    "chunks of one byte": (
        CHUNKED_HEAD,
        b"1\r\nx\r\n" * 10_000,
        READERS * upstream.MAX_TURN_BYTES // upstream.EVENT_COST_BYTES,
    ),
    "empty events": (
        UNFRAMED_HEAD,
        b"\n\n" * 32_768,
        READERS * events.MAX_PART_BYTES // 2,
    ),
}


class ReadyStream:
    """A peer whose bytes are always there."""

    def __init__(self, start: bytes, repeated: bytes) -> None:
        self._next = start
        self._repeated = repeated

    async def send(self, data: bytes) -> None:
        await anyio.lowlevel.checkpoint()

    async def receive(self, max_bytes: int) -> bytes:
        await anyio.lowlevel.checkpoint()
        found = self._next[:max_bytes]
        self._next = self._next[max_bytes:] or self._repeated
        return found


class TurnsTest(unittest.IsolatedAsyncioTestCase):
    async def test_endless_bodies_hold_the_event_loop(self) -> None:
        for name, (start, repeated, bound) in BODIES.items():
            with self.subTest(name):
                self.assertLessEqual(
                    await self.count_per_pass(start, repeated), bound
                )

    async def count_per_pass(self, start: bytes, repeated: bytes) -> int:
        """Return the most that readers get in a pass of the event loop."""
        shared = turns.create_turns()
        counts = [0]

        async def read() -> None:
            stream: Any = ReadyStream(start, repeated)
            connection = upstream.Connection(stream, "a", shared)
            await connection.start(REQUEST, lambda head: True)
            splitter = events.Splitter()
            async for part in connection.iterate(events.MAX_PART_BYTES):
                counts[-1] += 1
                if part.startswith(b"\n"):
                    counts[-1] += len(splitter.feed(part))

        async with anyio.create_task_group() as tasks:
            for _ in range(READERS):
                tasks.start_soon(read)
            for _ in range(PASSES):
                await anyio.lowlevel.checkpoint()
                counts.append(0)
            tasks.cancel_scope.cancel()
        return max(counts)

    async def test_many_readers_go_on_in_one_pass(self) -> None:
        shared = turns.create_turns()
        counts = [0]

        async def read() -> None:
            while True:
                await shared.take()
                counts[-1] += 1

        async with anyio.create_task_group() as tasks:
            for _ in range(READERS * 4):
                tasks.start_soon(read)
            for _ in range(PASSES):
                await anyio.lowlevel.checkpoint()
                counts.append(0)
            tasks.cancel_scope.cancel()
        self.assertLessEqual(max(counts), turns.READERS_PER_PASS)
        self.assertGreater(sum(counts), PASSES)
