"""Loopback proxies that delay, reset, silence or cut connections one way."""

import enum
import random
from typing import Final

import anyio
from anyio import abc

READ_BYTES: Final = 65_536
TICK_S: Final = 0.02


class Mode(enum.Enum):
    """What a proxy does with bytes."""

    PASS = "pass"
    DELAY = "delay"
    SILENT = "silent"
    CUT_TO_CALLER = "cut to caller"
    CUT_TO_TARGET = "cut to target"
    REFUSE = "refuse"


_STOPPED_TO_CALLER: Final = {Mode.SILENT, Mode.CUT_TO_CALLER}
_STOPPED_TO_TARGET: Final = {Mode.SILENT, Mode.CUT_TO_TARGET}


class Proxy:
    """Passes connections on to one address.

    Attributes:
        mode: What happens to bytes from now on. Bytes that were held up while
            it was silent or cut never arrive, as on a path that lost track of
            a connection: those connections stay silent for good.
        address: Where it listens.
    """

    def __init__(self, target: str, delay_s: float = 0.1) -> None:
        """Create a proxy that passes everything on."""
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
            await listener.serve(self._pass_on)

    async def reset(self, part: float, chance: random.Random) -> None:
        """Reset a part of the open connections."""
        for stream in list(self._streams):
            if chance.random() < part:
                await anyio.aclose_forcefully(stream)

    async def _pass_on(self, caller: abc.SocketStream) -> None:
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
                            self._pump, caller, target, _STOPPED_TO_TARGET
                        )
                        tasks.start_soon(
                            self._pump, target, caller, _STOPPED_TO_CALLER
                        )
                finally:
                    self._streams -= {caller, target}
        except (OSError, *_CLOSED, ExceptionGroup):
            # The other side learns of it by the close of its own connection.
            return
        finally:
            await anyio.aclose_forcefully(caller)

    async def _pump(
        self,
        source: abc.SocketStream,
        sink: abc.SocketStream,
        stopped: set[Mode],
    ) -> None:
        is_lost = False
        while True:
            try:
                data = await source.receive(READ_BYTES)
            except anyio.EndOfStream:
                if not is_lost:
                    await anyio.aclose_forcefully(sink)
                return
            is_lost = is_lost or self.mode in stopped
            if is_lost:
                continue
            if self.mode is Mode.DELAY:
                await anyio.sleep(self._delay_s)
            await sink.send(data)


_CLOSED: Final = (anyio.BrokenResourceError, anyio.ClosedResourceError)
