"""An event loop in virtual time: its clock jumps to the next timer."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import random
from typing import Any
from typing import TypeVar

import anyio

from eelgrassgate.jobs import runtimes

EPOCH_S = 1_800_000_000.0

_T = TypeVar("_T")


class _Loop(asyncio.SelectorEventLoop):
    def __init__(self) -> None:
        super().__init__()
        self._now_s = 0.0
        selector: Any = self._selector  # type: ignore[attr-defined]
        select = selector.select

        def select_at_next_timer(timeout: float | None) -> Any:
            if timeout is None:
                raise RuntimeError("deadlock: no task waits for a timer")
            self._now_s += max(0.0, timeout)
            return select(0)

        selector.select = select_at_next_timer

    def time(self) -> float:
        return self._now_s


def run(main: Callable[..., Awaitable[_T]], *args: object) -> _T:
    """Run `main` in virtual time that starts at 0."""
    return anyio.run(main, *args, backend_options={"loop_factory": _Loop})


def create_runtime(seed: int) -> runtimes.Runtime:
    """Create a runtime on the running loop's clock."""
    return runtimes.Runtime(
        anyio.current_time,
        lambda: EPOCH_S + anyio.current_time(),
        anyio.sleep,
        random.Random(seed),
    )
