"""Takes calls of the system's other processes.

Store calls are passed on for processes that the store does not answer; calls
on jobs are answered here, where this process owns jobs.
"""

from typing import Final

import anyio

from eelgrassgate import logs
from eelgrassgate.http1 import downstream
from eelgrassgate.http1 import upstream

# A peer that does not reach the store either is to say so soon.
CONNECT_TIMEOUT_S: Final = 0.4
# Longest that a passed call may take: a watch waits for 25 s.
CALL_TIMEOUT_S: Final = 29.0
BAD_GATEWAY: Final = 502
NOT_FOUND: Final = 404
JOBS_PATH: Final = b"/jobs/"
_OWN: Final = frozenset(
    {b"connection", b"keep-alive", b"transfer-encoding", b"content-length"}
)


class Relay:
    """Passes whole requests to one address and whole answers back.

    Attributes:
        answer: Answers calls on jobs.
    """

    def __init__(self, address: str) -> None:
        """Create; see `create_relay`."""
        self._address = address
        self.answer: downstream.Handler | None = None
        self._pool = upstream.create_pool(CONNECT_TIMEOUT_S)
        self._listener = downstream.Listener(
            downstream.Limits, self._pass, lambda: False
        )

    async def run(self, address: str) -> None:
        """Listen at `host:port` until cancelled."""
        async with anyio.create_task_group() as tasks:
            await tasks.start(self._listener.run)
            tasks.start_soon(self._listener.serve, address)

    async def _pass(
        self, incoming: downstream.Incoming, responder: downstream.Responder
    ) -> None:
        if incoming.target.startswith(JOBS_PATH):
            if self.answer is None:
                await responder.reply(NOT_FOUND)
            else:
                await self.answer(incoming, responder)
            return
        headers = [one for one in incoming.headers if one[0] not in _OWN]
        if incoming.method != b"GET":
            headers.append((b"content-length", b"%d" % len(incoming.body)))
        request = upstream.Request(
            incoming.method, incoming.target, tuple(headers), incoming.body
        )
        try:
            with anyio.fail_after(CALL_TIMEOUT_S):
                async with self._pool.use(self._address) as connection:
                    await connection.start(request, lambda head: True)
                    parts = [part async for part in connection.iterate()]
                    status = connection.head.status
        except (upstream.ExchangeError, TimeoutError) as error:
            logs.log_message("relay:failed", reason=str(error))
            # Unlike 503, this says nothing of whether the call took effect.
            await responder.reply(BAD_GATEWAY)
            return
        await responder.reply(status, (), b"".join(parts))


def create_relay(address: str) -> Relay:
    """Create a relay to `host:port`."""
    return Relay(address)
