"""Opens sockets at addresses that another process may still hold."""

from collections.abc import Awaitable
from collections.abc import Callable
from typing import Final
from typing import TypeVar

import anyio

from eelgrassgate import deadlines
from eelgrassgate import logs
from eelgrassgate import supervision

MIN_DELAY_S: Final = 0.05
MAX_DELAY_S: Final = 2.0
# A process that is terminated holds its addresses for its grace period; the
# margin covers its exit.
PREDECESSOR_MARGIN_S: Final = 2.0

_T = TypeVar("_T")


class AddressUnavailableError(supervision.FatalError):
    """An address could not be used in time."""


def compute_give_up_at(grace_s: float) -> float:
    """Return until when a predecessor may hold the addresses of a process."""
    return deadlines.after(grace_s + PREDECESSOR_MARGIN_S)


async def open_socket(
    opener: Callable[[], Awaitable[_T]], address: str, give_up_at: float
) -> _T:
    """Open a socket; try again, with growing delays, while that fails.

    Args:
        opener: Opens the socket.
        address: The address, for messages.
        give_up_at: Monotonic time of the last attempt.

    Raises:
        AddressUnavailableError: The last attempt failed.
    """
    delay_s = MIN_DELAY_S
    has_failed = False
    while True:
        try:
            opened = await opener()
        except OSError as error:
            reason = error.strerror or str(error)
            if deadlines.is_past(give_up_at):
                raise AddressUnavailableError(f"{address}: {reason}") from error
            if not has_failed:
                has_failed = True
                logs.log_message(
                    "address:unavailable", address=address, reason=reason
                )
        else:
            if has_failed:
                logs.log_message("address:regained", address=address)
            return opened
        await anyio.sleep(min(delay_s, deadlines.compute_remaining(give_up_at)))
        delay_s = min(MAX_DELAY_S, 2.0 * delay_s)
