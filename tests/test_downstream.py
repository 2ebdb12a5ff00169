"""Tests server connections: reading, refusing and draining."""

from collections.abc import AsyncIterator
import contextlib
import gc
import socket
from typing import Any
from typing import Final
import unittest
from unittest import mock
import weakref

import anyio
import anyio.abc
import anyio.lowlevel
import h11

from eelgrassgate import deadlines
from eelgrassgate import logs
from eelgrassgate.http1 import downstream
from eelgrassgate.http1 import sockets
from tests import site as site_lib

LIMITS: Final = downstream.Limits(
    header_bytes=1_000,
    body_bytes=2_000,
    header_timeout_s=0.2,
    idle_timeout_s=0.4,
)


class Echo:
    """Responds to each request with its body after a pause."""

    def __init__(self, pause_s: float = 0.0) -> None:
        self.pause_s = pause_s
        self.begun = 0
        self.ended = 0

    async def handle(
        self,
        incoming: downstream.IncomingRequest,
        responder: downstream.Responder,
    ) -> None:
        self.begun += 1
        await anyio.sleep(self.pause_s)
        await responder.reply(200, (), incoming.body)
        self.ended += 1


async def exchange(port: int, raw: bytes) -> bytes:
    """Send bytes and return all bytes received until the end of stream."""
    received = b""
    with anyio.fail_after(site_lib.TEST_TIMEOUT_S):
        async with await anyio.connect_tcp("127.0.0.1", port) as stream:
            await stream.send(raw)
            while True:
                try:
                    received += await stream.receive()
                except (anyio.EndOfStream, anyio.BrokenResourceError):
                    return received


class ReadTest(unittest.IsolatedAsyncioTestCase):
    async def test_requests(self) -> None:
        host = b"Host: a\r\n"
        for name, raw, expected in (
            (
                "length",
                b"POST / HTTP/1.1\r\n" + host + b"Content-Length: 2\r\n"
                b"Connection: close\r\n\r\nhi",
                b"hi",
            ),
            (
                "chunked",
                b"POST / HTTP/1.1\r\n" + host + b"Connection: close\r\n"
                b"Transfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\n\r\n",
                b"hi",
            ),
            (
                "pipelined",
                b"POST / HTTP/1.1\r\n" + host + b"Content-Length: 1\r\n\r\na"
                b"POST / HTTP/1.1\r\n" + host + b"Content-Length: 1\r\n"
                b"Connection: close\r\n\r\nb",
                b"b",
            ),
            ("empty", b"", b""),
            (
                "incomplete head",
                b"POST / HTTP/1.1\r\nHost",
                b"HTTP/1.1 408 ",
            ),
            (
                "large head",
                b"POST / HTTP/1.1\r\nX: " + b"x" * 2_000,
                b"HTTP/1.1 431 ",
            ),
            (
                "large body",
                b"POST / HTTP/1.1\r\n"
                + host
                + b"Content-Length: 3000\r\n\r\n"
                + b"x" * 3_000,
                b"HTTP/1.1 413 ",
            ),
            ("not HTTP", b"\x00\x01\r\n\r\n", b"HTTP/1.1 400 "),
        ):
            with self.subTest(name):
                received = await self.run_case(raw)
                self.assertIn(expected, received)

    async def run_case(self, raw: bytes) -> bytes:
        echo = Echo()
        listener = downstream.Listener(
            lambda: LIMITS, echo.handle, lambda: False
        )
        async with anyio.create_task_group() as tasks:
            await tasks.start(listener.run)
            port = await tasks.start(listener.serve, "127.0.0.1:0")
            received = await exchange(port, raw)
            tasks.cancel_scope.cancel()
        return received


class UnreadTest(unittest.IsolatedAsyncioTestCase):
    async def test_bytes_dropped_with_a_connection_are_logged(self) -> None:
        request = b"GET / HTTP/1.1\r\nHost: a\r\n\r\n"
        for name, raw, count in (
            ("none", request, 0),
            ("another request", request + request, len(request)),
        ):
            with (
                self.subTest(name),
                mock.patch.object(logs, "log_message") as log_message,
            ):
                async with open_listener(Echo()) as (_, port):
                    await exchange(port, raw)
                fields = [
                    one.kwargs
                    for one in log_message.call_args_list
                    if one.args == ("connection closed unread",)
                ]
                dropped = [one["unread"] + one["unparsed"] for one in fields]
                self.assertEqual(sum(dropped), count)

    async def test_unread_bytes_are_counted(self) -> None:
        async with await anyio.create_tcp_listener(
            local_host="127.0.0.1"
        ) as listener:
            port = listener.extra(anyio.abc.SocketAttribute.local_port)
            with socket.create_connection(("127.0.0.1", port)) as caller:
                accepting: Any = listener.listeners[0]
                stream = await accepting.accept()
                self.assertEqual(sockets.count_unread(stream), 0)
                caller.sendall(b"hi")
                self.assertEqual(sockets.count_unread(stream), 2)
                await sockets.abort(stream)
                self.assertEqual(sockets.count_unread(stream), 0)


@contextlib.asynccontextmanager
async def open_listener(
    echo: Echo, accepting: anyio.CancelScope | None = None
) -> AsyncIterator[tuple[downstream.Listener, int]]:
    """Serve a process that drains; yield the listener and its port.

    Cancelling `accepting` ends the accepting of connections.
    """
    listener = downstream.Listener(lambda: LIMITS, echo.handle, lambda: True)

    async def accept(*, task_status: anyio.abc.TaskStatus[int]) -> None:
        with accepting or anyio.CancelScope():
            await listener.serve("127.0.0.1:0", task_status=task_status)

    async with anyio.create_task_group() as tasks:
        await tasks.start(listener.run)
        yield listener, await tasks.start(accept)
        tasks.cancel_scope.cancel()


class DescriptorsTest(unittest.IsolatedAsyncioTestCase):
    async def test_idle_connections_make_room_and_busy_ones_stay(self) -> None:
        request = b"GET / HTTP/1.1\r\nHost: a\r\n\r\n"
        listener = downstream.Listener(
            lambda: LIMITS,
            Echo(0.3).handle,
            lambda: False,
            max_connections=3,
        )
        async with (
            anyio.create_task_group() as tasks,
            contextlib.AsyncExitStack() as streams,
        ):
            await tasks.start(listener.run)
            port = await tasks.start(listener.serve, "127.0.0.1:0")

            async def connect() -> anyio.abc.SocketStream:
                return await streams.enter_async_context(
                    await anyio.connect_tcp("127.0.0.1", port)
                )

            with anyio.fail_after(site_lib.TEST_TIMEOUT_S):
                idle = [await connect() for _ in range(2)]
                while listener.count_connections() < 2:
                    await anyio.sleep(0.01)
                busy = await connect()
                await busy.send(request)
                later = [await connect() for _ in range(3)]
                for one in later:
                    await one.send(request)
                for one in (busy, *later):
                    self.assertIn(b"200 OK", await one.receive())
                    self.assertLessEqual(listener.count_connections(), 3)
                    await one.aclose()
                for one in idle:
                    with self.assertRaises(anyio.EndOfStream):
                        await one.receive()
            tasks.cancel_scope.cancel()


class DrainTest(unittest.IsolatedAsyncioTestCase):
    async def test_request_accepted_just_before_a_drain_is_handled(
        self,
    ) -> None:
        echo = Echo(0.1)
        accepting = anyio.CancelScope()
        async with (
            open_listener(echo, accepting) as (listener, port),
            await anyio.connect_tcp("127.0.0.1", port) as stream,
        ):
            client = h11.Connection(h11.CLIENT)
            request = h11.Request(
                method="GET", target="/", headers=[("Host", "a")]
            )
            data = client.send(request) or b""
            await stream.send(data + (client.send(h11.EndOfMessage()) or b""))
            # Accepted, but its task has not started to read.
            while not listener.count_connections():
                await anyio.lowlevel.checkpoint()
            accepting.cancel()
            cut = await listener.drain(deadlines.after(2.0))
            self.assertEqual(cut, 0)
            received = await stream.receive()
        self.assertEqual((echo.begun, echo.ended), (1, 1))
        self.assertIn(b"200 OK", received)
        self.assertIn(b"connection: close", received.lower())

    async def test_connections_that_wait_to_be_accepted_are_not_reset(
        self,
    ) -> None:
        # They were reset when the process stopped listening; also the last one,
        # which was accepted but had no task yet.
        for count in (40, *range(1, 31)):
            with self.subTest(count):
                await self.stop_accepting_beside(count)

    async def stop_accepting_beside(self, count: int) -> None:
        accepting = anyio.CancelScope()
        async with open_listener(Echo(), accepting) as (listener, port):
            # The event loop does not run while these connect.
            callers = [
                socket.create_connection(("127.0.0.1", port))
                for _ in range(count)
            ]
            for one in callers:
                one.sendall(b"GET / HTTP/1.1\r\nHost: a\r\n\r\n")
            await listener.accept_pending()
            accepting.cancel()
            await listener.drain(deadlines.after(site_lib.TEST_TIMEOUT_S))
            for one in callers:
                with one:
                    self.assertIn(b"200 OK", one.recv(1_000))

    async def test_refused_client_that_stays_does_not_hold_up_a_shutdown(
        self,
    ) -> None:
        accepting = anyio.CancelScope()
        async with (
            open_listener(Echo(), accepting) as (listener, port),
            await anyio.connect_tcp("127.0.0.1", port) as stream,
        ):
            await stream.send(
                b"POST / HTTP/1.1\r\nHost: a\r\n"
                b"Content-Length: 99999999\r\n\r\n"
            )
            self.assertIn(b"413", await stream.receive())
            accepting.cancel()
            with anyio.fail_after(downstream.DISCARD_TIMEOUT_S / 2):
                cut = await listener.drain(
                    deadlines.after(site_lib.TEST_TIMEOUT_S)
                )
        self.assertEqual(cut, 0)

    async def test_what_was_read_of_a_refused_request_is_not_kept(self) -> None:
        kept: list[weakref.ref[object]] = []
        connect = h11.Connection

        def record(*args: Any, **options: Any) -> object:
            created = connect(*args, **options)
            kept.append(weakref.ref(created))
            return created

        with mock.patch.object(h11, "Connection", record):
            async with (
                open_listener(Echo()) as (_, port),
                await anyio.connect_tcp("127.0.0.1", port) as stream,
            ):
                await stream.send(
                    b"POST / HTTP/1.1\r\nHost: a\r\n"
                    b"Content-Length: 99999999\r\n\r\n" + bytes(10_000)
                )
                self.assertIn(b"413", await stream.receive())
                await anyio.wait_all_tasks_blocked()
                gc.collect()
                self.assertIsNone(kept[0]())

    async def test_request_in_transit_during_a_close_does_not_run(self) -> None:
        echo = Echo()
        async with (
            open_listener(echo) as (listener, port),
            await anyio.connect_tcp("127.0.0.1", port) as stream,
        ):
            while not listener.count_connections():
                await anyio.lowlevel.checkpoint()
            await stream.send(b"GET / HTTP/1.1\r\nHost: a\r\n\r\n")
            for connection in listener.get_connections():
                await connection.close()
            with self.assertRaises(
                (anyio.EndOfStream, anyio.BrokenResourceError)
            ):
                await stream.receive()
        self.assertEqual(echo.begun, 0)
