"""An event loop whose clock jumps to the next timer instead of waiting.

What runs on it takes no real time, and its times are the same in every run.
Only timers and tasks work on it, no sockets.
"""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import selectors
from typing import Any
from typing import Final
from typing import TypeVar

import anyio

START_S: Final = 1000.0

_T = TypeVar("_T")


class StalledError(Exception):
    """Nothing is left that could ever happen."""


class _Selector(selectors.SelectSelector):
    """Moves the clock on by what would be waited."""

    def __init__(self) -> None:
        super().__init__()
        self.now = START_S

    def select(
        self, timeout: float | None = None
    ) -> list[tuple[selectors.SelectorKey, int]]:
        if timeout is None:
            raise StalledError
        self.now += max(0.0, timeout)
        return super().select(0)


class Loop(asyncio.SelectorEventLoop):
    """An event loop on virtual time."""

    def __init__(self) -> None:
        """Start at `START_S`."""
        self._virtual = _Selector()
        super().__init__(self._virtual)

    def time(self) -> float:
        """Return the virtual instant in seconds."""
        return self._virtual.now


def get_now() -> float:
    """Return the instant of the running loop, virtual or not."""
    return asyncio.get_running_loop().time()


def run(main: Callable[..., Awaitable[_T]], *args: Any) -> _T:
    """Run `main` on virtual time and return what it returns."""
    return anyio.run(main, *args, backend_options={"loop_factory": Loop})
