"""Structured logging to standard output: rate-limited and non-blocking."""

import os
import sys
import time
import traceback
from typing import Any
from typing import Final

import eliot
import msgspec

from eelgrassgate import token_bucket

# Writes to a pipe are atomic up to 4,096 bytes (PIPE_BUF on Linux).
MAX_LINE_BYTES: Final = 4_000
# The last part of a trace, so that its line stays under the limit.
MAX_TRACE_CHARS: Final = 2_000
# Limit for each message kind. An instance handles at most about 200 requests
# per second and logs a few lines for each.
MAX_LINES_PER_S: Final = 300.0
MAX_BURST_LINES: Final = 600.0
STDOUT_FD: Final = 1
DROP_REPORT_INTERVAL_S: Final = 1.0

_LOG_MESSAGE: Final[Any] = eliot.log_message
_ADD_DESTINATION: Final[Any] = eliot.add_destinations
_ENCODER: Final = msgspec.json.Encoder(enc_hook=str)


class Writer:
    """An Eliot destination that drops lines instead of blocking."""

    def __init__(self, file: int, fields: dict[str, Any]) -> None:
        """Write to a file descriptor; `fields` are added to each line."""
        self._file = file
        self._fields = fields
        self._buckets_by_kind: dict[str, token_bucket.TokenBucket] = {}
        self._dropped_by_kind: dict[str, int] = {}
        self._next_drop_report_at = 0.0
        os.set_blocking(file, False)

    def __call__(self, message: dict[str, Any]) -> None:
        """Write a message or count it as dropped."""
        kind = str(message.get("message_type", ""))
        now = time.monotonic()
        if not self._can_write(kind, now):
            self._drop(kind)
            return
        if self._dropped_by_kind and now >= self._next_drop_report_at:
            self._next_drop_report_at = now + DROP_REPORT_INTERVAL_S
            dropped, self._dropped_by_kind = self._dropped_by_kind, {}
            self._write({"message_type": "lines dropped", **dropped})
        message.pop("task_uuid", None)
        message.pop("task_level", None)
        if not self._write(message):
            self._drop(kind)

    def _can_write(self, kind: str, now: float) -> bool:
        bucket = self._buckets_by_kind.get(kind)
        if bucket is None:
            bucket = token_bucket.TokenBucket(MAX_BURST_LINES, now)
            self._buckets_by_kind[kind] = bucket
        bucket.refill(now, MAX_LINES_PER_S, MAX_BURST_LINES)
        if bucket.tokens < 1.0:
            return False
        bucket.tokens -= 1.0
        return True

    def _drop(self, kind: str) -> None:
        self._dropped_by_kind[kind] = self._dropped_by_kind.get(kind, 0) + 1

    def _write(self, message: dict[str, Any]) -> bool:
        line = _ENCODER.encode({**self._fields, **message}) + b"\n"
        if len(line) > MAX_LINE_BYTES:
            return False
        try:
            os.write(self._file, line)
        except OSError:
            # The reader is slow or has closed the pipe. Lines are dropped so
            # that requests don't wait; the count is logged once writes work.
            return False
        return True


def log_message(kind: str, **fields: object) -> None:
    """Log a message; `kind` names the decision or the change of state."""
    _LOG_MESSAGE(kind, **fields)


def log_exception(kind: str, **fields: object) -> None:
    """Log a message with the trace of the exception that is being handled."""
    trace = traceback.format_exc()[-MAX_TRACE_CHARS:]
    _LOG_MESSAGE(kind, **fields, trace=trace)


def start_logging(role: str, instance: str) -> None:
    """Log this process's messages to standard output."""
    sys.stdout.flush()
    writer = Writer(STDOUT_FD, {"role": role, "instance": instance})
    _ADD_DESTINATION(writer)
