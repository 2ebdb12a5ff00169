"""Tests the idle timeout of exchanges, on virtual time."""

from collections.abc import Awaitable
from collections.abc import Callable
from typing import Any
from typing import Final
import unittest
from unittest import mock

import anyio

from eelgrassgate import deadlines
from eelgrassgate.http1 import turns
from eelgrassgate.http1 import upstream
from eelgrassgate.standins import virtual_time

HEAD: Final = b"HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\n"
REQUEST: Final = upstream.Request(b"GET", b"/", ((b"host", b"a"),), b"")


class Stream:
    """A peer that sends a byte at a time, each after a pause."""

    def __init__(self, pause_s: float) -> None:
        self._pause_s = pause_s
        self._parts = [HEAD, *(b"%d" % number for number in range(5))]

    async def send(self, data: bytes) -> None:
        await anyio.lowlevel.checkpoint()

    async def receive(self, max_bytes: int) -> bytes:
        await anyio.sleep(self._pause_s)
        return self._parts.pop(0)


async def read(pause_s: float, restart_s: float | None = None) -> bytes:
    """Read a response with an idle timeout of 0.1 s.

    Args:
        pause_s: Pause before each part of the response.
        restart_s: The timeout that starts with each part; None for the first
            one to go on.
    """
    stream: Any = Stream(pause_s)
    connection = upstream.Connection(stream, "a", turns.create_turns())
    connection.stall_deadline = deadlines.after(0.1)
    await connection.start(REQUEST, lambda head: True)
    body = b""
    async for part in connection.iterate():
        body += part
        if restart_s is not None:
            connection.stall_deadline = deadlines.after(restart_s)
    return body


async def restart_by_activity() -> None:
    assert await read(0.04, 0.1) == b"01234"


async def stay_inactive() -> None:
    await read(5.0)


async def send_without_progress() -> None:
    await read(0.04)


async def restart_after_expiry() -> None:
    await read(0.04, -1.0)


async def wait_without_timeout() -> None:
    stream: Any = Stream(5.0)
    connection = upstream.Connection(stream, "a", turns.create_turns())
    await connection.start(REQUEST, lambda head: True)
    assert await connection.read_body() == b"01234"


class IdleTimeoutTest(unittest.TestCase):
    def run_scenario(self, scenario: Callable[[], Awaitable[None]]) -> None:
        # Deadlines follow the clock of the virtual loop.
        with mock.patch.object(deadlines, "now", anyio.current_time):
            virtual_time.run(scenario)

    def check_timeout(self, scenario: Callable[[], Awaitable[None]]) -> None:
        with self.assertRaises(upstream.StalledError):
            self.run_scenario(scenario)

    def test_activity_restarts_the_timeout(self) -> None:
        self.run_scenario(restart_by_activity)

    def test_inactivity_raises(self) -> None:
        self.check_timeout(stay_inactive)

    def test_data_without_progress_does_not_restart_the_timeout(self) -> None:
        self.check_timeout(send_without_progress)

    def test_activity_after_expiry_does_not_suppress_the_error(self) -> None:
        self.check_timeout(restart_after_expiry)

    def test_no_timeout(self) -> None:
        self.run_scenario(wait_without_timeout)
