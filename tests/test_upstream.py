"""Which connections of a pool are used again."""

import tracemalloc
from typing import Final
import unittest

import anyio
from anyio import abc

from eelgrassgate.http1 import upstream
from eelgrassgate.standins import endpoint

TIMEOUT_S: Final = 5.0
RESPONSE: Final = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok"
LONG_IDS: Final = 200
LONG_ID_BYTES: Final = 10_000
# By name: ids of requests that follow one another, and the number of
# connections that they need.
CASES: Final = {
    "different requests": (("a", "b", "c"), 1),
    "the same request": (("a", "a", "a"), 3),
    "the same request, then another": (("a", "a", "b"), 2),
    "the same request, with another between": (("a", "b", "a"), 2),
    "requests without an id": (("", "a", "", "b"), 3),
    "responses without ids": ((None, None, None), 1),
}


async def send(pool: upstream.Pool, address: str, name: str | None) -> None:
    request = upstream.Request(
        b"POST",
        b"/",
        ((b"host", b"h"), (b"request-id", (name or "").encode())),
        b"",
    )
    async with pool.use(address, name) as connection:
        await connection.start(request, lambda head: True)
        await connection.read_body()


class PoolTest(unittest.IsolatedAsyncioTestCase):
    async def test_attempts_of_a_request_share_no_connection(self) -> None:
        # A late copy of the response to the first attempt was taken for the
        # response to the second.
        one = endpoint.create_endpoint("e1")
        async with anyio.create_task_group() as tasks:
            await tasks.start(one.serve)
            for name, (request_ids, opened) in CASES.items():
                with self.subTest(name), anyio.fail_after(TIMEOUT_S):
                    pool = upstream.create_pool(1.0)
                    for request_id in request_ids:
                        await send(pool, one.address, request_id)
                    self.assertEqual(pool.opened, opened)
                    await pool.close()
            tasks.cancel_scope.cancel()

    async def test_a_connection_does_not_keep_long_ids_of_requests(
        self,
    ) -> None:
        async def serve(stream: abc.SocketStream) -> None:
            async with stream:
                async for _ in stream:
                    await stream.send(RESPONSE)

        listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
        port = listener.extra(abc.SocketAttribute.local_port)
        pool = upstream.create_pool(1.0)
        async with listener, anyio.create_task_group() as tasks:
            tasks.start_soon(listener.serve, serve)
            await send(pool, f"127.0.0.1:{port}", "first")
            tracemalloc.start()
            before, _ = tracemalloc.get_traced_memory()
            for number in range(LONG_IDS):
                # Each is an object of its own, as in a request.
                name = f"{number}".rjust(LONG_ID_BYTES, "x")
                await send(pool, f"127.0.0.1:{port}", name)
            after, _ = tracemalloc.get_traced_memory()
            tracemalloc.stop()
            tasks.cancel_scope.cancel()
        self.assertEqual(pool.opened, 1)
        self.assertLess(after - before, LONG_IDS * LONG_ID_BYTES / 4)

    async def test_bytes_after_a_response_are_read_as_the_next_one(
        self,
    ) -> None:
        copy = b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n"
        head = b"HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n"
        for size in (upstream.HEAD_READ_SIZE_BYTES, upstream.READ_SIZE_BYTES):
            # The length of the head doesn't depend on that of the body.
            length = size - len(head % size)
            response = head % length + bytes(length)
            self.assertEqual(len(response), size)
            one = endpoint.create_endpoint("e1")
            one.behavior = endpoint.Behavior(
                endless=(response + copy, b""), endless_delay_s=0.01
            )
            async with anyio.create_task_group() as tasks:
                await tasks.start(one.serve)
                with self.subTest(size=size), anyio.fail_after(TIMEOUT_S):
                    pool = upstream.create_pool(1.0)
                    for name in ("a", "b"):
                        await send(pool, one.address, name)
                    self.assertEqual(pool.opened, 2)
                    await pool.close()
                tasks.cancel_scope.cancel()

    async def test_a_connection_remembers_a_bounded_number_of_requests(
        self,
    ) -> None:
        one = endpoint.create_endpoint("e1")
        async with anyio.create_task_group() as tasks:
            await tasks.start(one.serve)
            pool = upstream.create_pool(1.0)
            for number in range(upstream.MAX_REQUESTS + 1):
                await send(pool, one.address, str(number))
            self.assertEqual(pool.opened, 2)
            await pool.close()
            tasks.cancel_scope.cancel()
