"""Loopback proxies that delay, drop, reset or refuse traffic."""

import enum
import random
from typing import Final

import anyio
from anyio import abc

MAX_READ_BYTES: Final = 65_536
TICK_S: Final = 0.02


class Mode(enum.Enum):
    """How a proxy treats traffic."""

    PASS = "pass"
    DELAY = "delay"
    DROP = "drop"
    DROP_TO_CALLER = "drop to caller"
    DROP_TO_TARGET = "drop to target"
    REFUSE = "refuse"


_DROPPING_TO_CALLER: Final = {Mode.DROP, Mode.DROP_TO_CALLER}
_DROPPING_TO_TARGET: Final = {Mode.DROP, Mode.DROP_TO_TARGET}


class Proxy:
    """Forwards connections to one address.

    Attributes:
        mode: How traffic is treated from now on. A connection that lost bytes
            to a dropping mode drops all later bytes of that direction too, as
            a network path does that lost the state of a connection.
        address: The address on which the proxy listens.
    """

    def __init__(self, target: str, delay_s: float = 0.1) -> None:
        """Create a proxy that forwards all traffic."""
        self._target = target
        self._delay_s = delay_s
        self._streams: set[abc.SocketStream] = set()
        self.mode = Mode.PASS
        self.address = ""

    async def serve(
        self,
        host: str,
        *,
        task_status: abc.TaskStatus[None] = anyio.TASK_STATUS_IGNORED,
    ) -> None:
        """Listen on a free port of `host` until cancelled."""
        async with await anyio.create_tcp_listener(
            local_host=host, local_port=0
        ) as listener:
            port = listener.extra(abc.SocketAttribute.local_port)
            self.address = f"{host}:{port}"
            task_status.started()
            await listener.serve(self._handle_connection)

    async def reset(self, probability: float, rng: random.Random) -> None:
        """Reset each open connection with probability `probability`."""
        for stream in list(self._streams):
            if rng.random() < probability:
                await anyio.aclose_forcefully(stream)

    async def _handle_connection(self, caller: abc.SocketStream) -> None:
        host, _, port = self._target.rpartition(":")
        try:
            if self.mode is Mode.REFUSE:
                return
            async with (
                caller,
                await anyio.connect_tcp(host, int(port)) as target,
            ):
                self._streams |= {caller, target}
                try:
                    async with anyio.create_task_group() as tasks:
                        tasks.start_soon(
                            self._forward, caller, target, _DROPPING_TO_TARGET
                        )
                        tasks.start_soon(
                            self._forward, target, caller, _DROPPING_TO_CALLER
                        )
                finally:
                    self._streams -= {caller, target}
        except (OSError, *_CLOSED_ERRORS, ExceptionGroup):
            # Both connections are closed, so each side sees the failure.
            return
        finally:
            await anyio.aclose_forcefully(caller)

    async def _forward(
        self,
        source: abc.SocketStream,
        sink: abc.SocketStream,
        dropping_modes: set[Mode],
    ) -> None:
        is_dropping = False
        while True:
            try:
                data = await source.receive(MAX_READ_BYTES)
            except anyio.EndOfStream:
                if not is_dropping:
                    await anyio.aclose_forcefully(sink)
                return
            is_dropping = is_dropping or self.mode in dropping_modes
            if is_dropping:
                continue
            if self.mode is Mode.DELAY:
                await anyio.sleep(self._delay_s)
            await sink.send(data)


_CLOSED_ERRORS: Final = (anyio.BrokenResourceError, anyio.ClosedResourceError)
