"""Regions whose processes may relay the store calls of the current task.

A relay holds the bodies that a call writes or reads. The restriction belongs
to the task, so that stores need no argument for it in every call; tasks that
are started within it have it as well.
"""

from collections.abc import Iterator
import contextlib
import contextvars
from typing import Final

_allowed: Final[contextvars.ContextVar[frozenset[str] | None]] = (
    contextvars.ContextVar("relay_regions", default=None)
)


def get() -> frozenset[str] | None:
    """Return the regions; None for all."""
    return _allowed.get()


@contextlib.contextmanager
def restrict(regions: frozenset[str] | None) -> Iterator[None]:
    """Restrict the relays of the calls that are made within the context.

    Args:
        regions: Regions of the relays; None for all.
    """
    token = _allowed.set(regions)
    try:
        yield
    finally:
        _allowed.reset(token)
