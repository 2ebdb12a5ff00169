"""Runs the long-lived tasks of a process and starts failed ones again."""

from collections.abc import Awaitable
from collections.abc import Callable
import functools
from typing import Any
from typing import Final

import anyio
from anyio import abc

from eelgrassgate import deadlines
from eelgrassgate import logs

MIN_DELAY_S: Final = 0.1
MAX_DELAY_S: Final = 5.0
# A task that ran for this long has recovered from its last failure.
RECOVERY_S: Final = 30.0
# A restarted task that fails again usually does so within this time.
PROBATION_S: Final = 1.0


class FatalError(Exception):
    """The process can't work; starting the task again would not help."""


class Restarts:
    """Decides when a failed task is started again."""

    def __init__(self) -> None:
        """Initialize for a task that has not failed."""
        self._next_delay_s = MIN_DELAY_S

    def record_failure(self, ran_s: float) -> float:
        """Return the delay until the next start, in seconds.

        Args:
            ran_s: How long the task ran before it failed.
        """
        if ran_s >= RECOVERY_S:
            self._next_delay_s = MIN_DELAY_S
        delay_s = self._next_delay_s
        self._next_delay_s = min(MAX_DELAY_S, 2.0 * delay_s)
        return delay_s


class Supervisor:
    """The long-lived tasks of one process."""

    def __init__(self, count_failure: Callable[[str], None]) -> None:
        """Initialize without tasks; see `create_supervisor`."""
        self._count_failure = count_failure
        self._sound_at_by_task: dict[str, float] = {}

    def is_sound(self) -> bool:
        """Return whether no needed task has failed recently."""
        return all(map(deadlines.is_past, self._sound_at_by_task.values()))

    def start(
        self,
        tasks: abc.TaskGroup,
        task: str,
        call: Callable[..., Awaitable[object]],
        *arguments: Any,
        is_needed: bool = False,
    ) -> None:
        """Start `run` in a task group."""
        tasks.start_soon(
            functools.partial(
                self.run, task, call, *arguments, is_needed=is_needed
            )
        )

    async def run(
        self,
        task: str,
        call: Callable[..., Awaitable[object]],
        *arguments: Any,
        is_needed: bool = False,
    ) -> None:
        """Run a task until it returns; start it again when it fails.

        Args:
            task: Name of the task.
            call: Runs the task; must be able to run again after a failure.
            *arguments: Arguments of `call`.
            is_needed: Whether the process can't serve without the task.

        Raises:
            FatalError: The task has raised it, alone or in a group.
        """
        restarts = Restarts()
        while True:
            started_at = deadlines.now()
            try:
                await call(*arguments)
                return
            except Exception as error:
                if find_fatal(error) is not None:
                    raise
                delay_s = restarts.record_failure(deadlines.now() - started_at)
                self._count_failure(task)
                logs.log_exception(
                    "task:failed", task=task, retry_ms=deadlines.to_ms(delay_s)
                )
            if is_needed:
                self._sound_at_by_task[task] = deadlines.after(
                    delay_s + PROBATION_S
                )
            await anyio.sleep(delay_s)
            logs.log_message("task:restarted", task=task)


def find_fatal(error: Exception) -> FatalError | None:
    """Return the fatal error that an exception is or contains, if any."""
    if isinstance(error, FatalError):
        return error
    if not isinstance(error, ExceptionGroup):
        return None
    found = map(find_fatal, error.exceptions)
    return next((one for one in found if one is not None), None)


def create_supervisor(count_failure: Callable[[str], None]) -> Supervisor:
    """Create a supervisor.

    Args:
        count_failure: Counts a failure of the named task.
    """
    return Supervisor(count_failure)
