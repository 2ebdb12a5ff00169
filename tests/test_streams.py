"""Client connections whose peers send as fast as they can."""

import asyncio
import contextlib
import socket
import threading
import time
import tracemalloc
from typing import Final
import unittest

import anyio
from anyio import abc
import uvloop

from eelgrassgate.http1 import sockets
from eelgrassgate.http1 import streams

TIMEOUT_S: Final = 5.0
FLOOD_S: Final = 0.5
# Allocated before memory is traced.
FLOOD: Final = bytes(1_000_000)
# A piece that was received, one being received, and one being returned.
MAX_HELD_BYTES: Final = 4 * streams.PIECE_BYTES


def setUpModule() -> None:
    # The event loop of processes.
    asyncio.set_event_loop_policy(uvloop.EventLoopPolicy())


def tearDownModule() -> None:
    asyncio.set_event_loop_policy(None)


@contextlib.asynccontextmanager
async def serve(handle):  # type: ignore[no-untyped-def]
    """Yield a connection to a peer that a thread runs."""
    with socket.create_server(("127.0.0.1", 0)) as listener:

        def run() -> None:
            peer, _ = listener.accept()
            with peer, contextlib.suppress(OSError):
                handle(peer)

        thread = threading.Thread(target=run)
        thread.start()
        address = f"127.0.0.1:{listener.getsockname()[1]}"
        stream = await sockets.connect(address, TIMEOUT_S)
        try:
            with anyio.fail_after(TIMEOUT_S):
                yield stream
        finally:
            await sockets.abort(stream)
            await anyio.to_thread.run_sync(thread.join)


def flood(peer: socket.socket) -> None:
    while True:
        peer.sendall(FLOOD)


def reset(peer: socket.socket) -> None:
    peer.sendall(b"a")
    time.sleep(0.1)
    peer.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, sockets.NO_LINGER)


class StreamTest(unittest.IsolatedAsyncioTestCase):
    async def test_a_fast_peer_fills_a_queue_of_its_connection(self) -> None:
        async with serve(flood) as stream:
            tracemalloc.start()
            try:
                deadline = time.monotonic() + FLOOD_S
                while time.monotonic() < deadline:
                    await stream.receive(streams.PIECE_BYTES)
                _, peak = tracemalloc.get_traced_memory()
            finally:
                tracemalloc.stop()
        self.assertLess(peak, MAX_HELD_BYTES)

    async def test_pieces_are_split_and_the_end_is_told(self) -> None:
        async with serve(lambda peer: peer.sendall(b"abc")) as stream:
            self.assertEqual(await stream.receive(2), b"ab")
            self.assertEqual(await stream.receive(2), b"c")
            for _ in range(2):
                with self.assertRaises(anyio.EndOfStream):
                    await stream.receive(2)

    async def test_a_cancelled_receive_loses_bytes(self) -> None:
        go = threading.Event()

        def handle(peer: socket.socket) -> None:
            go.wait()
            peer.sendall(b"abc")

        async with serve(handle) as stream:
            with anyio.move_on_after(0.05):
                await stream.receive(3)
            go.set()
            self.assertEqual(await stream.receive(3), b"abc")

    async def test_a_reset_is_taken_for_an_end(self) -> None:
        async with serve(reset) as stream:
            self.assertEqual(await stream.receive(1), b"a")
            with self.assertRaises(anyio.BrokenResourceError):
                await stream.receive(1)
            with self.assertRaises(anyio.BrokenResourceError):
                await stream.send(b"a")

    async def test_a_closed_stream_is_used(self) -> None:
        async with serve(flood) as stream:
            await sockets.abort(stream)
            with self.assertRaises(anyio.ClosedResourceError):
                await stream.receive(1)
            with self.assertRaises(anyio.ClosedResourceError):
                await stream.send(b"a")

    async def test_a_send_goes_on_although_the_peer_reads_nothing(self) -> None:
        stopped = threading.Event()

        def wait(peer: socket.socket) -> None:
            stopped.wait()

        async with serve(wait) as stream:
            opened: abc.SocketStream = stream
            with anyio.move_on_after(0.2) as scope:
                while True:
                    await opened.send(bytes(1_000_000))
            self.assertTrue(scope.cancelled_caught)
            stopped.set()

    async def test_nothing_listens(self) -> None:
        with socket.create_server(("127.0.0.1", 0)) as listener:
            address = f"127.0.0.1:{listener.getsockname()[1]}"
            self.assertFalse(await sockets.is_refused(address, TIMEOUT_S))
        self.assertTrue(await sockets.is_refused(address, TIMEOUT_S))
