"""An in-memory instance list with a configurable lag."""

from collections.abc import AsyncIterator
from collections.abc import Callable
from collections.abc import Iterable
import time
from typing import Final

import anyio
from returns import result

from eelgrassgate.instances import base

POLL_INTERVAL_S: Final = 0.02


class MemoryList:
    """An implementation of `base.InstanceList`.

    Attributes:
        lag_s: Seconds until a new list becomes visible.
        is_down: Whether reads fail and watches end in a failure.
    """

    def __init__(self, clock: Callable[[], float], lag_s: float) -> None:
        """Create an empty list; see `create_memory_list`."""
        self.lag_s = lag_s
        self.is_down = False
        self._clock = clock
        self._visible: tuple[base.Instance, ...] = ()
        self._pending: list[tuple[float, tuple[base.Instance, ...]]] = []
        self._changed = anyio.Event()

    def set(self, instances: Iterable[base.Instance]) -> None:
        """Replace the list; the new one becomes visible after the lag."""
        self._pending.append((self._clock(), tuple(instances)))
        changed = self._changed
        self._changed = anyio.Event()
        changed.set()

    async def read(
        self, service: str
    ) -> result.Result[tuple[base.Instance, ...], base.ListError]:
        """Read all instances of `service`."""
        if self.is_down:
            return result.Failure(base.ListError("the list is unavailable"))
        return result.Success(self._list_visible(service))

    async def watch(
        self, service: str
    ) -> AsyncIterator[
        result.Result[tuple[base.Instance, ...], base.ListError]
    ]:
        """Yield the whole list of `service`, initially and at each change."""
        known: tuple[base.Instance, ...] | None = None
        while True:
            answer = await self.read(service)
            current = answer.value_or(None)
            if current is None:
                yield answer
                return
            if current != known:
                known = current
                yield answer
                continue
            await self._wait_for_change()

    async def close(self) -> None:
        """Do nothing; there are no connections."""

    def _list_visible(self, service: str) -> tuple[base.Instance, ...]:
        set_before = self._clock() - self.lag_s
        while self._pending and self._pending[0][0] <= set_before:
            self._visible = self._pending.pop(0)[1]
        return tuple(
            instance
            for instance in self._visible
            if instance.service == service
        )

    async def _wait_for_change(self) -> None:
        """Wait for a call of `set`, or until lag and faults must be polled."""
        with anyio.move_on_after(POLL_INTERVAL_S):
            await self._changed.wait()


def create_memory_list(
    clock: Callable[[], float] = time.monotonic, lag_s: float = 0.0
) -> MemoryList:
    """Create an empty list.

    Args:
        clock: Returns the time in seconds.
        lag_s: Seconds until a new list becomes visible.
    """
    return MemoryList(clock, lag_s)
