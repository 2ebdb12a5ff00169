"""Counts the calls of the key-value service by cause.

Each call is billed, so an operator needs to know what causes them.
"""

import collections
import enum
from typing import Final

OWN_PREFIX: Final = "eelgrassgate/"
NO_KEY: Final = "none"


class Operation(enum.Enum):
    """The operation of a call; a renewal costs a tenth of another call."""

    READ = "read"
    WRITE = "write"
    WATCH = "watch"
    LEASE = "lease"
    RENEWAL = "renewal"


class CallCounts:
    """Numbers of calls of one process.

    Attributes:
        by_cause: The numbers by operation and part of the key space.
    """

    def __init__(self) -> None:
        """Start from zero; see `create_call_counts`."""
        self.by_cause: collections.Counter[tuple[Operation, str]] = (
            collections.Counter()
        )

    def count(self, operation: Operation, *keys: str) -> None:
        """Count a call that concerns `keys`; the first one counts."""
        part = find_part(keys[0]) if keys else NO_KEY
        self.by_cause[operation, part] += 1


def find_part(key: str) -> str:
    """Return the part of the key space that a key or prefix belongs to.

    The parts are few: those of this project, and the first components of the
    platform's keys.
    """
    return key.removeprefix(OWN_PREFIX).partition("/")[0] or NO_KEY


def create_call_counts() -> CallCounts:
    """Create counts that start from zero."""
    return CallCounts()
