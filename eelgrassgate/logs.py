"""Structured lines on standard output: bounded, and never waited for."""

import os
import sys
import time
from typing import Any
from typing import Final

import eliot
import msgspec

# A pipe takes lines up to 4,096 bytes whole or not at all.
MOST_LINE_BYTES: Final = 4_000
# Lines a second of one kind; an instance answers about 200 requests a second
# at most, each with a few lines.
LINES_PER_S: Final = 300.0
BURST_LINES: Final = 600.0
STDOUT: Final = 1
# How often what was dropped is said.
SAY_DROPPED_S: Final = 1.0

_LOG: Final[Any] = eliot.log_message
_ADD: Final[Any] = eliot.add_destinations
_ENCODER: Final = msgspec.json.Encoder(enc_hook=str)


class _Budget(msgspec.Struct):
    """How many lines of one kind may still be written."""

    left: float
    at: float


class Writer:
    """An eliot destination that drops lines rather than wait."""

    def __init__(self, file: int, fields: dict[str, Any]) -> None:
        """Write to a file descriptor; `fields` stand in each line."""
        self._file = file
        self._fields = fields
        self._budgets_by_kind: dict[str, _Budget] = {}
        self._dropped_by_kind: dict[str, int] = {}
        self._say_dropped_at = 0.0
        os.set_blocking(file, False)

    def __call__(self, message: dict[str, Any]) -> None:
        """Write one message."""
        kind = str(message.get("message_type", ""))
        now = time.monotonic()
        if not self._may_write(kind, now):
            self._drop(kind)
            return
        if self._dropped_by_kind and now >= self._say_dropped_at:
            self._say_dropped_at = now + SAY_DROPPED_S
            dropped, self._dropped_by_kind = self._dropped_by_kind, {}
            self._write({"message_type": "lines dropped", **dropped})
        message.pop("task_uuid", None)
        message.pop("task_level", None)
        if not self._write(message):
            self._drop(kind)

    def _may_write(self, kind: str, now: float) -> bool:
        budget = self._budgets_by_kind.get(kind)
        if budget is None:
            budget = _Budget(BURST_LINES, now)
            self._budgets_by_kind[kind] = budget
        gained = (now - budget.at) * LINES_PER_S
        budget.left = min(BURST_LINES, budget.left + gained)
        budget.at = now
        if budget.left < 1.0:
            return False
        budget.left -= 1.0
        return True

    def _drop(self, kind: str) -> None:
        self._dropped_by_kind[kind] = self._dropped_by_kind.get(kind, 0) + 1

    def _write(self, message: dict[str, Any]) -> bool:
        line = _ENCODER.encode({**self._fields, **message}) + b"\n"
        if len(line) > MOST_LINE_BYTES:
            return False
        try:
            os.write(self._file, line)
        except OSError:
            # A slow or gone reader costs lines, not requests; they are
            # counted, and said once it reads again.
            return False
        return True


def log_message(kind: str, **fields: object) -> None:
    """Log one line; `kind` says what was decided or has changed."""
    _LOG(kind, **fields)


def start_logging(role: str, instance: str) -> None:
    """Write this process's messages to standard output."""
    sys.stdout.flush()
    writer = Writer(STDOUT, {"role": role, "instance": instance})
    _ADD(writer)
