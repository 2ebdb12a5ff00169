"""Connections whose clients don't read, send too slowly, or ask in vain.

Guards against connections that hold more than one request that was sent ahead,
that go on serving clients which read nothing, or that keep others from being
accepted.
"""

import contextlib
import socket
from typing import Final
import unittest
from unittest import mock

import anyio
import anyio.abc
import anyio.lowlevel

from eelgrassgate.http1 import downstream
from tests import site as site_lib
from tests import test_downstream

REQUEST: Final = b"GET /a HTTP/1.1\r\nHost: a\r\n\r\n"
BODY: Final = bytes(10_000)
# More than the kernel keeps of a connection.
MANY: Final = 2_000


class Counter:
    """Responds to each request with the same status and body."""

    def __init__(self, status: int = 200, body: bytes = b"") -> None:
        self.status = status
        self.body = body
        self.count = 0

    async def handle(
        self,
        incoming: downstream.IncomingRequest,
        responder: downstream.Responder,
    ) -> None:
        self.count += 1
        await responder.reply(self.status, (), self.body)


@contextlib.asynccontextmanager
async def open_listener(listener):  # type: ignore[no-untyped-def]
    async with anyio.create_task_group() as tasks:
        await tasks.start(listener.run)
        port = await tasks.start(listener.serve, "127.0.0.1:0")
        try:
            with anyio.fail_after(site_lib.TEST_TIMEOUT_S):
                yield port
        finally:
            tasks.cancel_scope.cancel()


def make_listener(
    handle: downstream.Handler, max_connections: int = 10
) -> downstream.Listener:
    return downstream.Listener(
        downstream.Limits,
        handle,
        lambda: False,
        max_connections=max_connections,
        min_stall_s=0.1,
    )


def connect(port: int) -> socket.socket:
    client = socket.socket()
    client.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4_096)
    client.connect(("127.0.0.1", port))
    client.setblocking(False)
    return client


def send_all(client: socket.socket, data: bytes) -> None:
    with contextlib.suppress(BlockingIOError):
        client.send(data)


class StalledClientTest(unittest.IsolatedAsyncioTestCase):
    async def wait_for(self, check) -> None:  # type: ignore[no-untyped-def]
        while not check():
            await anyio.sleep(0.01)

    async def test_requests_wait_while_responses_are_not_read(self) -> None:
        counter = Counter(body=BODY)
        listener = make_listener(counter.handle)
        async with open_listener(listener) as port:
            with connect(port) as client:
                send_all(client, REQUEST * MANY)
                (one,) = await self.wait_for_connections(listener, 1)
                await self.wait_for(lambda: one.stalled_since < float("inf"))
                # Responses that the client's system has room for, and those
                # up to the bound.
                self.assertLess(counter.count, 100)
                # The client reads again, and all is served.
                received = 0
                while counter.count < 100:
                    with contextlib.suppress(BlockingIOError):
                        received += len(client.recv(100_000))
                    await anyio.lowlevel.checkpoint()

    async def wait_for_connections(
        self, listener: downstream.Listener, count: int
    ) -> tuple[downstream.Connection, ...]:
        await self.wait_for(lambda: listener.count_connections() == count)
        return listener.get_connections()

    async def test_client_that_reads_nothing_is_closed(self) -> None:
        for name, body in (
            ("many responses", BODY),
            ("one large response", bytes(20_000_000)),
        ):
            with (
                self.subTest(name),
                mock.patch.object(downstream, "WRITE_TIMEOUT_S", 0.3),
                mock.patch.object(downstream, "MIN_STALL_S", 0.1),
            ):
                listener = make_listener(Counter(body=body).handle)
                async with open_listener(listener) as port:
                    with connect(port) as client:
                        send_all(client, REQUEST * MANY)
                        await self.wait_for_connections(listener, 1)
                        await self.wait_for_connections(listener, 0)
                self.assertEqual(
                    listener.closed_by_reason[downstream.CloseReason.UNREAD], 1
                )

    async def test_client_that_reads_slowly_gets_the_whole_response(
        self,
    ) -> None:
        body = bytes(3_000_000)
        with (
            mock.patch.object(downstream, "WRITE_TIMEOUT_S", 0.5),
            mock.patch.object(downstream, "MIN_STALL_S", 0.1),
        ):
            listener = make_listener(Counter(body=body).handle)
            async with open_listener(listener) as port:
                with connect(port) as client:
                    send_all(client, REQUEST)
                    received = 0
                    while received < len(body):
                        # Longer than the timeout in all.
                        await anyio.sleep(0.002)
                        with contextlib.suppress(BlockingIOError):
                            data = client.recv(65_536)
                            self.assertTrue(data, received)
                            received += len(data)

    async def test_unproductive_requests_end_their_connection(self) -> None:
        limit = downstream.MAX_UNPRODUCTIVE
        for status, count in ((404, limit + 1), (401, limit + 1), (200, MANY)):
            with self.subTest(status):
                counter = Counter(status)
                listener = make_listener(counter.handle)
                async with open_listener(listener) as port:
                    raw = REQUEST * (MANY - 1) + REQUEST.replace(
                        b"\r\n\r\n", b"\r\nConnection: close\r\n\r\n"
                    )
                    await test_downstream.exchange(port, raw)
                self.assertEqual(counter.count, count)
                reason = downstream.CloseReason.UNPRODUCTIVE
                self.assertEqual(
                    listener.closed_by_reason[reason], int(count < MANY)
                )

    async def test_stalled_connections_give_way(self) -> None:
        for name, sent in (
            ("nothing sent", b""),
            ("half a head", REQUEST[:10]),
            ("responses not read", REQUEST * MANY),
        ):
            with self.subTest(name), contextlib.ExitStack() as clients:
                listener = make_listener(Counter(body=BODY).handle, 3)
                async with open_listener(listener) as port:
                    for _ in range(3):
                        client = clients.enter_context(connect(port))
                        send_all(client, sent)
                    await self.wait_for_connections(listener, 3)
                    raw = REQUEST.replace(
                        b"\r\n\r\n", b"\r\nConnection: close\r\n\r\n"
                    )
                    received = await test_downstream.exchange(port, raw)
                    self.assertIn(b"HTTP/1.1 200", received)
                reason = downstream.CloseReason.CROWDED
                self.assertGreater(listener.closed_by_reason[reason], 0)

    async def test_disconnect_is_noticed_behind_a_request_sent_ahead(
        self,
    ) -> None:
        ended = anyio.Event()

        async def wait(
            incoming: downstream.IncomingRequest,
            responder: downstream.Responder,
        ) -> None:
            try:
                await anyio.sleep_forever()
            finally:
                ended.set()

        listener = make_listener(wait)
        async with open_listener(listener) as port:
            with connect(port) as client:
                send_all(client, REQUEST * MANY)
                (one,) = await self.wait_for_connections(listener, 1)
                await self.wait_for(lambda: not one.is_idle)
            await ended.wait()


if __name__ == "__main__":
    unittest.main()
