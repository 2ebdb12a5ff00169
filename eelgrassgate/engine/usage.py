"""Reads the token usage that a response reports."""

from typing import Final

import msgspec

USAGE_KEY: Final = b'"usage"'


class _Usage(msgspec.Struct, frozen=True):
    total_tokens: int = 0


class _Body(msgspec.Struct, frozen=True):
    usage: _Usage | None = None


def read_total_tokens(data: bytes) -> int | None:
    """Return the total tokens of a response or event, or None."""
    if USAGE_KEY not in data:
        return None
    try:
        found = msgspec.json.decode(data, type=_Body)
    except msgspec.DecodeError:
        return None
    return found.usage.total_tokens if found.usage else None
