"""Tests the idle timeout."""

import unittest

import anyio

from eelgrassgate.http1 import idle_timeout


class IdleTimeoutTest(unittest.IsolatedAsyncioTestCase):
    async def test_activity_restarts_the_timeout(self) -> None:
        with idle_timeout.fail_when_idle(0.1) as restart:
            for _ in range(5):
                await anyio.sleep(0.04)
                restart(0.1)

    async def test_inactivity_raises(self) -> None:
        with (
            self.assertRaises(TimeoutError),
            idle_timeout.fail_when_idle(0.05) as restart,
        ):
            restart(0.02)
            await anyio.sleep(5.0)

    async def test_activity_after_expiry_does_not_suppress_the_error(
        self,
    ) -> None:
        with (
            self.assertRaises(TimeoutError),
            idle_timeout.fail_when_idle(0.02) as restart,
        ):
            try:
                await anyio.sleep(5.0)
            finally:
                restart(5.0)

    async def test_no_timeout(self) -> None:
        with idle_timeout.fail_when_idle(0.02) as restart:
            restart(idle_timeout.NO_TIMEOUT)
            await anyio.sleep(0.05)
