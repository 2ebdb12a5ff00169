"""Rendezvous hashing: processes agree on an order without messages."""

from collections.abc import Iterable

import xxhash


def rank_members(key: str, members: Iterable[str]) -> list[str]:
    """Return members in the order of their weights for a key, highest first."""
    return sorted(
        members, key=lambda name: compute_weight(name, key), reverse=True
    )


def compute_weight(member: str, key: str) -> int:
    """Return the weight of a member for a key."""
    return int(xxhash.xxh64_intdigest(f"{member} {key}".encode()))
