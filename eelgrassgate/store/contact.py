"""Whether the store answers, as seen by all calls of one process."""

from collections.abc import Callable
from typing import Final

from eelgrassgate import deadlines
from eelgrassgate import logs

# A call that is unanswered for this long means that the store is lost. A slow
# store answers within 0.4 s, and calls that fail are tried again through peers
# after 0.25 s.
LOST_AFTER_S: Final = 1.0


class Contact:
    """When the store last answered a call, directly or through a peer."""

    def __init__(self, clock: Callable[[], float]) -> None:
        """Start as if the store had answered; see `create_contact`."""
        self._clock = clock
        self._unanswered_since: float | None = None
        self._is_lost = False

    def record_call(self) -> None:
        """Record that a call starts."""
        if self._unanswered_since is None:
            self._unanswered_since = self._clock()

    def record_answer(self) -> None:
        """Record that the store answered a call."""
        silence_s = self.get_silence_s()
        self._unanswered_since = None
        if self._is_lost:
            self._is_lost = False
            logs.log_message(
                "store:regained", silent_ms=deadlines.to_ms(silence_s)
            )

    def get_silence_s(self) -> float:
        """Return for how many seconds calls have been unanswered, 0 if none."""
        if self._unanswered_since is None:
            return 0.0
        return self._clock() - self._unanswered_since

    def is_lost(self) -> bool:
        """Return whether calls have been unanswered for too long."""
        silence_s = self.get_silence_s()
        if silence_s >= LOST_AFTER_S and not self._is_lost:
            self._is_lost = True
            logs.log_message("store:lost", silent_ms=deadlines.to_ms(silence_s))
        return self._is_lost


def create_contact(clock: Callable[[], float] = deadlines.now) -> Contact:
    """Create a contact that no call has been made on yet.

    Args:
        clock: Returns seconds on a monotonic clock.
    """
    return Contact(clock)
