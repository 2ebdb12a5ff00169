"""Splits a byte stream into server-sent events.

Only the framing is parsed; the bytes of events are kept unchanged.
"""

from typing import Final

import msgspec

_TERMINATOR: Final = b"\n\n"
# Bound on one event, which holds a few tokens.
MAX_EVENT_BYTES: Final = 65_536
# Bound on an event id, which is sent in the head of a request that resumes.
# Receivers commonly accept heads of 16,384 bytes.
MAX_ID_BYTES: Final = 8_192
# Bound on what is split at once; it may be thousands of events.
MAX_PART_BYTES: Final = 4_096


class EventTooLargeError(Exception):
    """An event or its id exceeds its bound, or the bytes are no events."""


class Event(msgspec.Struct, frozen=True):
    """A complete server-sent event.

    Attributes:
        raw: The event's bytes including the terminating blank line.
        id: The event id; empty if there is none.
        data: The data lines joined by newlines; None if there are none.
    """

    raw: bytes
    id: str
    data: str | None


class Splitter:
    """Buffers bytes until events are complete."""

    def __init__(self) -> None:
        """Initialize with an empty buffer."""
        self._buffer = bytearray()

    def feed(self, data: bytes) -> list[Event]:
        """Return the events that `data` completes.

        Raises:
            EventTooLargeError: An incomplete event or an id exceeds its bound.
        """
        # What was buffered holds no terminator, but may end with its start.
        start = max(0, len(self._buffer) - len(_TERMINATOR) + 1)
        self._buffer += data
        complete: list[bytes] = []
        if self._buffer.find(_TERMINATOR, start) >= 0:
            *complete, rest = bytes(self._buffer).split(_TERMINATOR)
            self._buffer = bytearray(rest)
        if len(self._buffer) > MAX_EVENT_BYTES:
            raise EventTooLargeError(
                f"no end of an event within {MAX_EVENT_BYTES} bytes"
            )
        return [_parse_event(part + _TERMINATOR) for part in complete]

    def has_partial_event(self) -> bool:
        """Return whether the buffer holds an incomplete event."""
        return bool(self._buffer.strip())


def _parse_event(raw: bytes) -> Event:
    """Parse one event.

    Raises:
        EventTooLargeError: Its id exceeds `MAX_ID_BYTES`.
    """
    event_id = ""
    lines: list[str] = []
    for line in raw.decode("utf-8", "surrogateescape").split("\n"):
        name, _, value = line.partition(":")
        value = value.removeprefix(" ")
        if name == "id":
            if len(value) > MAX_ID_BYTES:
                raise EventTooLargeError(f"id exceeds {MAX_ID_BYTES} bytes")
            event_id = value
        elif name == "data":
            lines.append(value)
    return Event(raw, event_id, "\n".join(lines) if lines else None)
