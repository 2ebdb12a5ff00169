"""An event loop whose clock advances to the next timer without waiting.

Code on it doesn't wait in real time, and its timing is the same in each run.
The loop supports timers and tasks, but no sockets.
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
    """All tasks wait and no timer is pending."""


class _Selector(selectors.SelectSelector):
    """Advances the clock by the timeout instead of waiting."""

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
        """Create a loop whose clock starts at `START_S`."""
        self._clock_selector = _Selector()
        super().__init__(self._clock_selector)

    def time(self) -> float:
        """Return the virtual time in seconds."""
        return self._clock_selector.now


def get_now() -> float:
    """Return the time of the running loop, virtual or not."""
    return asyncio.get_running_loop().time()


def run(main: Callable[..., Awaitable[_T]], *args: Any) -> _T:
    """Run `main` on virtual time and return its result."""
    return anyio.run(main, *args, backend_options={"loop_factory": Loop})
