"""A limit on how long a peer may say nothing."""

from collections.abc import Callable
from collections.abc import Iterator
import contextlib
from typing import Final

import anyio

NO_TIMEOUT: Final = float("inf")


@contextlib.contextmanager
def fail_when_idle(seconds: float) -> Iterator[Callable[[float], None]]:
    """End the block once nothing was noted for so long.

    Gives a function that notes a sign of life and sets the next limit in
    seconds. Unlike `anyio.fail_after`, a sign that comes after the block was
    cancelled does not hide that it was.

    Raises:
        TimeoutError: The peer was silent for too long.
    """
    with anyio.CancelScope(deadline=anyio.current_time() + seconds) as scope:

        def note(next_s: float) -> None:
            if not scope.cancel_called:
                scope.deadline = anyio.current_time() + next_s

        yield note
    if scope.cancelled_caught:
        raise TimeoutError("silent for too long")
