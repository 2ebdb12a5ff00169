"""Connections from which large bodies are received take turns."""

from typing import Any
from typing import Final
import unittest

import anyio
import anyio.lowlevel

from eelgrassgate.http1 import pacing

STALLED: Final = 8 * pacing.MAX_READERS
PIECES: Final = 50
# Without stalled connections, the pieces take a few milliseconds.
TIMEOUT_S: Final = 0.5


class StalledStream:
    """A client that sends nothing."""

    async def receive(self, max_bytes: int) -> bytes:
        await anyio.sleep_forever()
        raise AssertionError


class ReadyStream:
    """A client whose bytes are always there."""

    async def receive(self, max_bytes: int) -> bytes:
        await anyio.lowlevel.checkpoint()
        return bytes(1)


class PacerTest(unittest.IsolatedAsyncioTestCase):
    async def test_stalled_clients_do_not_starve_an_upload(self) -> None:
        pacer = pacing.create_pacer()
        stalled: Any = StalledStream()
        ready: Any = ReadyStream()
        async with anyio.create_task_group() as tasks:
            for _ in range(STALLED):
                tasks.start_soon(pacer.receive, stalled, 1)
            await anyio.sleep(0.2)
            with anyio.fail_after(TIMEOUT_S):
                for _ in range(PIECES):
                    await pacer.receive(ready, 1)
            tasks.cancel_scope.cancel()


if __name__ == "__main__":
    unittest.main()
