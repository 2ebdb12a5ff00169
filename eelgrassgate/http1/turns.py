"""Turns in which readers with much to read share the event loop."""

from typing import Final

import anyio
import anyio.lowlevel

# Number of readers that may go on in one pass of the event loop. With one, fast
# connections would wait for passes; with many, all others wait for them.
READERS_PER_PASS: Final = 4


class Turns:
    """Lets a few readers at a time go on, in the order in which they ask."""

    def __init__(self, readers_per_pass: int) -> None:
        """Initialize with no reader; see `create_turns`."""
        self._readers = anyio.Semaphore(readers_per_pass)

    async def take(self) -> None:
        """Give way to other tasks and wait for a turn."""
        async with self._readers:
            await anyio.lowlevel.checkpoint()


def create_turns(readers_per_pass: int = READERS_PER_PASS) -> Turns:
    """Create turns.

    Args:
        readers_per_pass: How many go on in one pass of the event loop.
    """
    return Turns(readers_per_pass)
