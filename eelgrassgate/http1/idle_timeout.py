"""Idle timeout: limits how long a peer may send no data."""

from collections.abc import Callable
from collections.abc import Iterator
import contextlib
from typing import Final

import anyio

NO_TIMEOUT: Final = float("inf")


@contextlib.contextmanager
def fail_when_idle(seconds: float) -> Iterator[Callable[[float], None]]:
    """Cancel the block and raise once the timeout has expired.

    Yields a function that restarts the timeout with a new length in seconds.
    Unlike with `anyio.fail_after`, a restart after the block was cancelled does
    not suppress the error.

    Raises:
        TimeoutError: The timeout expired.
    """
    with anyio.CancelScope(deadline=anyio.current_time() + seconds) as scope:

        def reset(next_s: float) -> None:
            if not scope.cancel_called:
                scope.deadline = anyio.current_time() + next_s

        yield reset
    if scope.cancelled_caught:
        raise TimeoutError("idle timeout expired")
