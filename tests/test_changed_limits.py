"""A request meets the limits in force when it begins."""

from collections.abc import AsyncIterator
from collections.abc import Awaitable
from collections.abc import Callable
import contextlib
import time
import unittest

import anyio
import anyio.abc
import msgspec

from eelgrassgate import deadlines
from eelgrassgate.http1 import downstream
from tests import site as site_lib
from tests import test_downstream

LIMITS = downstream.Limits(
    header_bytes=1_000,
    body_bytes=2_000,
    header_timeout_s=0.3,
    idle_timeout_s=0.3,
)


def write_request(body: bytes = b"hi", headers: bytes = b"") -> bytes:
    return b"POST / HTTP/1.1\r\nHost: a\r\n%sContent-Length: %d\r\n\r\n%s" % (
        headers,
        len(body),
        body,
    )


async def read_all(stream: anyio.abc.SocketStream) -> bytes:
    """Read until the end of stream or until no more bytes come."""
    received = b""
    with anyio.move_on_after(0.5):
        while True:
            try:
                received += await stream.receive()
            except (anyio.EndOfStream, anyio.BrokenResourceError):
                break
    return received


def stand_still(seconds: float) -> None:
    """Block the event loop."""
    time.sleep(seconds)


class Server:
    """A listener whose limits can be changed."""

    def __init__(self) -> None:
        self.limits = LIMITS
        self.echo = test_downstream.Echo()
        self.listener = downstream.Listener(
            lambda: self.limits, self.echo.handle, lambda: False
        )
        self.port = 0


@contextlib.asynccontextmanager
async def open_server() -> AsyncIterator[Server]:
    server = Server()
    async with anyio.create_task_group() as tasks:
        await tasks.start(server.listener.run)
        server.port = await tasks.start(server.listener.serve, "127.0.0.1:0")
        yield server
        tasks.cancel_scope.cancel()


class ChangedLimitsTest(unittest.IsolatedAsyncioTestCase):
    async def test_kept_connection_follows_changed_limits(self) -> None:
        large_head = b"X: " + b"x" * 2_000 + b"\r\n"
        for name, changes, wait_s, pause_s, status in (
            ("longer idle timeout", {"idle_timeout_s": 9.0}, 0.5, 0.0, 200),
            ("larger body", {"body_bytes": 9_000}, 0.0, 0.0, 200),
            ("smaller body", {"body_bytes": 1}, 0.0, 0.0, 413),
            ("larger head", {"header_bytes": 9_000}, 0.0, 0.05, 200),
            ("smaller head", {"header_bytes": 20}, 0.0, 0.05, 431),
            ("longer header timeout", {"header_timeout_s": 9.0}, 0.0, 0.4, 200),
            (
                "shorter header timeout",
                {"header_timeout_s": 0.1},
                0.0,
                0.2,
                408,
            ),
        ):
            with self.subTest(name):
                body = b"x" * 3_000 if name == "larger body" else b"hi"
                headers = large_head if name == "larger head" else b""
                data = write_request(body, headers)
                async with (
                    open_server() as server,
                    await anyio.connect_tcp("127.0.0.1", server.port) as stream,
                ):
                    await stream.send(write_request())
                    self.assertIn(b"200 OK", await stream.receive())
                    await anyio.sleep(0.05)
                    server.limits = msgspec.structs.replace(LIMITS, **changes)
                    await anyio.sleep(wait_s)
                    half = len(data) // 2
                    await stream.send(data[:half])
                    await anyio.sleep(pause_s)
                    with contextlib.suppress(anyio.BrokenResourceError):
                        await stream.send(data[half:])
                    received = await read_all(stream)
                    self.assertIn(b"HTTP/1.1 %d " % status, received)

    async def test_request_that_begins_late_has_its_whole_header_timeout(
        self,
    ) -> None:
        async with (
            open_server() as server,
            await anyio.connect_tcp("127.0.0.1", server.port) as stream,
        ):
            await stream.send(write_request())
            self.assertIn(b"200 OK", await stream.receive())
            await anyio.sleep(0.2)
            data = write_request()
            await stream.send(data[:30])
            await anyio.sleep(0.2)
            await stream.send(data[30:])
            self.assertIn(b"200 OK", await read_all(stream))


async def expire_with_a_request() -> bytes:
    """Return the response to a request that arrived as its time was up."""
    async with (
        open_server() as server,
        await anyio.connect_tcp("127.0.0.1", server.port) as stream,
    ):
        await stream.send(write_request())
        await stream.receive()
        await anyio.sleep(0.2)
        await stream.send(write_request())
        # The connection expires meanwhile.
        stand_still(0.2)
        return await read_all(stream)


async def drain_with_a_request() -> bytes:
    """Return the response to a request that arrived as a drain began."""
    async with (
        open_server() as server,
        await anyio.connect_tcp("127.0.0.1", server.port) as stream,
        anyio.create_task_group() as tasks,
    ):
        await stream.send(write_request())
        await stream.receive()
        await anyio.sleep(0.05)
        deadline = deadlines.after(site_lib.TEST_TIMEOUT_S)
        tasks.start_soon(server.listener.drain, deadline)
        await anyio.sleep(downstream.DRAIN_POLL_INTERVAL_S / 2)
        await stream.send(write_request())
        stand_still(2 * downstream.DRAIN_POLL_INTERVAL_S)
        received = await read_all(stream)
        tasks.cancel_scope.cancel()
    return received


class LateProcessTest(unittest.TestCase):
    def run_scenario(self, scenario: Callable[[], Awaitable[bytes]]) -> bytes:
        # As in production; this event loop runs due timers first.
        return anyio.run(scenario, backend_options={"use_uvloop": True})

    def test_request_that_arrived_as_its_connection_expired_is_answered(
        self,
    ) -> None:
        received = self.run_scenario(expire_with_a_request)
        self.assertIn(b"200 OK", received)

    def test_request_that_arrived_before_a_drain_is_answered(self) -> None:
        received = self.run_scenario(drain_with_a_request)
        self.assertIn(b"200 OK", received)
