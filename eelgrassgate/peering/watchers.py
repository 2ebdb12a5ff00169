"""Selects the processes of a region that watch the store for all others."""

from collections.abc import Mapping
from typing import Final

import msgspec
import xxhash

from eelgrassgate.peering import registry
from eelgrassgate.peering import reports

# Two, so that a change still arrives at once while one of them is restarted.
WATCHERS_PER_REGION: Final = 2
# Added for each process of the region that watches the store before this one
# while nothing confirms its data, as their watches may confirm the data of all
# others.
TAKEOVER_INTERVAL_S: Final = 0.25
MAX_TAKEOVER_DELAY_S: Final = 2.0


class Turn(msgspec.Struct, frozen=True):
    """When a process watches the store.

    Attributes:
        is_selected: Whether it is one of the region's watchers.
        has_watcher: Whether a peer in the region reaches the store.
        takeover_delay_s: How long it waits for the processes before it while
            nothing confirms its data.
    """

    is_selected: bool
    has_watcher: bool
    takeover_delay_s: float


def hash_name(name: str) -> int:
    """Return a process's place in the order in which they watch."""
    return int(xxhash.xxh32_intdigest(name.encode()))


def compute_turn(
    own: registry.Member,
    peers: Mapping[registry.Member, reports.Peer],
    has_store: bool,
) -> Turn:
    """Return when this process watches the store.

    The watchers are the first of the region's processes that reach the store,
    by a hash of their names.

    Args:
        own: This process.
        peers: The other live processes.
        has_store: Whether this process reaches the store directly.
    """
    own_rank = hash_name(own.name)
    near = [
        (member, peer)
        for member, peer in peers.items()
        if member.region == own.region
    ]
    ahead = [peer for member, peer in near if hash_name(member.name) < own_rank]
    count = sum(one.report.has_store for one in ahead)
    return Turn(
        has_store and count < WATCHERS_PER_REGION,
        any(peer.report.has_store for _, peer in near),
        min(MAX_TAKEOVER_DELAY_S, TAKEOVER_INTERVAL_S * len(ahead)),
    )


def list_watchers(
    own: registry.Member, peers: Mapping[registry.Member, reports.Peer]
) -> list[registry.Member]:
    """Return the peers that watch the store, the one to ask first in front.

    The nearest one is asked first; among equals the order differs between
    processes, so that each watcher serves a part of them.
    """
    found = [
        member
        for member, peer in peers.items()
        if member.region == own.region and peer.report.has_store
    ]
    found.sort(key=lambda one: hash_name(one.name))
    return sorted(
        found[:WATCHERS_PER_REGION],
        key=lambda one: (
            one.zone != own.zone,
            hash_name(f"{own.name} {one.name}"),
        ),
    )
