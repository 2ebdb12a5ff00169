"""Turns that keep large bodies from delaying small requests.

The event loop is shared by all connections. Handling a piece of a large body
takes far longer than most of its other work, so only few pieces of all large
bodies are handled in each iteration.
"""

from typing import Final

import anyio
from anyio import abc

from eelgrassgate.http1 import turns

# Bodies up to this size are handled without turns, which covers nearly all.
UNPACED_BYTES: Final = 65_536
# Size of a piece, small enough that copying it delays no other task.
PIECE_BYTES: Final = 131_072
# Number of connections from which large bodies are received at the same time.
MAX_READERS: Final = 16
# How long one of them may have no data before another one takes its place.
READ_TURN_S: Final = 0.005


class Pacer:
    """Grants turns in order of arrival."""

    def __init__(self) -> None:
        """Initialize; see `create_pacer`."""
        self._turns = turns.create_turns(readers_per_pass=1)
        self._readers = anyio.Semaphore(MAX_READERS)

    async def wait_turn(self) -> None:
        """Wait for a turn; there is one in each iteration of the event loop."""
        await self._turns.take()

    async def receive(self, stream: abc.SocketStream, max_bytes: int) -> bytes:
        """Receive part of a large body when it is this connection's turn.

        Raises the exceptions of `stream.receive`.
        """
        async with self._readers:
            with anyio.move_on_after(READ_TURN_S):
                return await stream.receive(max_bytes)
        # A connection without data takes no place of others.
        data = await stream.receive(max_bytes)
        await self.wait_turn()
        return data


def create_pacer() -> Pacer:
    """Create a pacer for bodies that share an event loop."""
    return Pacer()
