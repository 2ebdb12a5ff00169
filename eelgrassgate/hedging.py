"""Tries several servers for one call without waiting for each in turn."""

from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Sequence

import anyio

Call = Callable[[], Awaitable[bool]]


async def run_hedged(calls: Sequence[Call], delay_s: float) -> bool:
    """Run calls until one of them succeeds; return whether one did.

    Each call starts when the one before it has failed or has not ended after
    the delay. The calls that are left are cancelled after a success.

    Args:
        calls: The calls, most preferred first; each returns whether it
            succeeded.
        delay_s: Delay in seconds.
    """
    has_succeeded = False

    async def run(call: Call, has_ended: anyio.Event) -> None:
        nonlocal has_succeeded
        if await call():
            has_succeeded = True
            tasks.cancel_scope.cancel()
        has_ended.set()

    async with anyio.create_task_group() as tasks:
        for call in calls:
            has_ended = anyio.Event()
            tasks.start_soon(run, call, has_ended)
            with anyio.move_on_after(delay_s):
                await has_ended.wait()
    return has_succeeded
