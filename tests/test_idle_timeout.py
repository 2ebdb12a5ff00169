"""Tests the idle timeout, on virtual time."""

from collections.abc import Awaitable
from collections.abc import Callable
import unittest

import anyio

from eelgrassgate.http1 import idle_timeout
from eelgrassgate.standins import virtual_time


async def restart_by_activity() -> None:
    with idle_timeout.fail_when_idle(0.1) as restart:
        for _ in range(5):
            await anyio.sleep(0.04)
            restart(0.1)


async def stay_inactive() -> None:
    with idle_timeout.fail_when_idle(0.05) as restart:
        restart(0.02)
        await anyio.sleep(5.0)


async def restart_after_expiry() -> None:
    with idle_timeout.fail_when_idle(0.02) as restart:
        try:
            await anyio.sleep(5.0)
        finally:
            restart(5.0)


async def wait_without_timeout() -> None:
    with idle_timeout.fail_when_idle(0.02) as restart:
        restart(idle_timeout.NO_TIMEOUT)
        await anyio.sleep(0.05)


class IdleTimeoutTest(unittest.TestCase):
    def check_timeout(self, scenario: Callable[[], Awaitable[None]]) -> None:
        with self.assertRaises(TimeoutError):
            virtual_time.run(scenario)

    def test_activity_restarts_the_timeout(self) -> None:
        virtual_time.run(restart_by_activity)

    def test_inactivity_raises(self) -> None:
        self.check_timeout(stay_inactive)

    def test_activity_after_expiry_does_not_suppress_the_error(self) -> None:
        self.check_timeout(restart_after_expiry)

    def test_no_timeout(self) -> None:
        virtual_time.run(wait_without_timeout)
