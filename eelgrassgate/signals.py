"""Receives the signals of a process from its first line on.

This module imports only what the interpreter has loaded anyway, so that a
program can call `receive` before its slow imports. The handlers stay set until
the process exits: a signal that comes before the event loop runs is kept, and
one that comes after it has no effect.
"""

from collections.abc import Callable
import signal
from typing import Final

# Requests to stop.
STOP_SIGNALS: Final = frozenset({signal.SIGTERM, signal.SIGINT})
# By default these end a process too. Nobody has a reason to send them, so they
# are only logged.
UNUSED_SIGNALS: Final = frozenset({signal.SIGUSR1, signal.SIGUSR2})
RECEIVED_SIGNALS: Final = STOP_SIGNALS | UNUSED_SIGNALS | {signal.SIGHUP}


def _do_nothing() -> None:
    pass


class Receiver:
    """The signals that were received and not handled yet."""

    def __init__(self) -> None:
        """Initialize without setting handlers; see `receive`."""
        self._numbers: set[int] = set()
        self._notify: Callable[[], object] = _do_nothing
        self.must_stop = False

    def record(self, number: int, frame: object = None) -> None:
        """Record a signal; repetitions count once until they are taken."""
        del frame
        if number in STOP_SIGNALS:
            self.must_stop = True
        self._numbers.add(number)
        self._notify()

    def take(self) -> frozenset[int]:
        """Return the signals that have come since the last call."""
        numbers, self._numbers = self._numbers, set()
        return frozenset(numbers)

    def set_notify(self, notify: Callable[[], object] = _do_nothing) -> None:
        """Call `notify` on each signal; it runs at any point of the program."""
        self._notify = notify


_receiver = Receiver()


def receive() -> Receiver:
    """Set the handlers of this process; return its only receiver."""
    for number in RECEIVED_SIGNALS:
        signal.signal(number, _receiver.record)
    return _receiver


def get_name(number: int) -> str:
    """Return the name of a signal, such as `SIGHUP`."""
    return signal.Signals(number).name


def ignore() -> None:
    """Ignore further signals, at the end of the program.

    The interpreter restores the default action of handled signals, but not of
    ignored ones, before the process exits.
    """
    for number in RECEIVED_SIGNALS:
        signal.signal(number, signal.SIG_IGN)
