"""Clock, sleep and randomness of the job code, replaceable in tests."""

from collections.abc import Awaitable
from collections.abc import Callable
import random
import time
from typing import Final

import anyio
import msgspec


class Runtime(msgspec.Struct, frozen=True):
    """Clock, sleep and randomness.

    Attributes:
        now: Returns the monotonic time in seconds.
        wall: Returns the Unix time in seconds; only for times that are stored.
        sleep: Sleeps for a number of seconds.
        random: Source of ids and jitter.
    """

    now: Callable[[], float]
    wall: Callable[[], float]
    sleep: Callable[[float], Awaitable[None]]
    random: random.Random

    def make_id(self) -> str:
        """Return a random, unique id of 24 hexadecimal digits."""
        return self.random.randbytes(12).hex()

    def add_jitter(self, seconds: float) -> float:
        """Return a random duration between half of `seconds` and `seconds`."""
        return seconds * self.random.uniform(0.5, 1.0)


SYSTEM: Final = Runtime(
    time.monotonic, time.time, anyio.sleep, random.SystemRandom()
)
