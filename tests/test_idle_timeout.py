"""A peer's silence ends what waits for it, whenever its next sign comes."""

import unittest

import anyio

from eelgrassgate.http1 import idle_timeout


class IdleTimeoutTest(unittest.IsolatedAsyncioTestCase):
    async def test_signs_of_life_put_the_limit_off(self) -> None:
        with idle_timeout.fail_when_idle(0.1) as note:
            for _ in range(5):
                await anyio.sleep(0.04)
                note(0.1)

    async def test_silence_ends_the_block(self) -> None:
        with (
            self.assertRaises(TimeoutError),
            idle_timeout.fail_when_idle(0.05) as note,
        ):
            note(0.02)
            await anyio.sleep(5.0)

    async def test_a_sign_that_comes_too_late_hides_nothing(self) -> None:
        with (
            self.assertRaises(TimeoutError),
            idle_timeout.fail_when_idle(0.02) as note,
        ):
            try:
                await anyio.sleep(5.0)
            finally:
                note(5.0)

    async def test_no_limit(self) -> None:
        with idle_timeout.fail_when_idle(0.02) as note:
            note(idle_timeout.NO_TIMEOUT)
            await anyio.sleep(0.05)
