"""Splits a stream of server-sent events into whole events.

Only the framing is read here; bytes of events pass unchanged.
"""

from typing import Final

import msgspec

_END: Final = b"\n\n"


class Event(msgspec.Struct, frozen=True):
    """One whole event.

    Attributes:
        raw: Its bytes with the blank line that ends it.
        id: Its id, empty without one.
        data: Its data lines, joined by line feeds; None without any.
    """

    raw: bytes
    id: str
    data: str | None


class Splitter:
    """Collects bytes until events are whole."""

    def __init__(self) -> None:
        """Create with nothing collected."""
        self._left = b""

    def feed(self, data: bytes) -> list[Event]:
        """Return the events that `data` completes."""
        *whole, self._left = (self._left + data).split(_END)
        return [_read(part + _END) for part in whole]

    def has_partial_event(self) -> bool:
        """Tell whether an event has begun that is not whole."""
        return bool(self._left.strip())


def _read(raw: bytes) -> Event:
    event_id = ""
    lines: list[str] = []
    for line in raw.decode("utf-8", "surrogateescape").split("\n"):
        name, _, value = line.partition(":")
        value = value.removeprefix(" ")
        if name == "id":
            event_id = value
        elif name == "data":
            lines.append(value)
    return Event(raw, event_id, "\n".join(lines) if lines else None)
