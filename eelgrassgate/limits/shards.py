"""Assignment of buckets to shards, and of shards to home instances."""

from collections import Counter
from collections.abc import Collection
from collections.abc import Sequence
import functools
import math
from typing import Final

import xxhash

from eelgrassgate.limits import timing

_CANDIDATE_KEY: Final = "home"


@functools.lru_cache(maxsize=8192)
def find_shard(bucket: str) -> int:
    """Return the number of the shard that `bucket` is hashed to."""
    return xxhash.xxh3_64_intdigest(bucket.encode()) % timing.SHARD_COUNT


def choose_candidates(
    names: Collection[str], count: int = timing.MAX_HOMES
) -> tuple[str, ...]:
    """Select the members that may be homes, by rendezvous hashing."""
    ranked = sorted(names, key=lambda name: _rank(name, _CANDIDATE_KEY))
    return tuple(ranked[:count])


def choose_homes(candidates: Collection[str]) -> tuple[str, ...]:
    """Return the home of each shard, chosen from `candidates`.

    Rendezvous hashing with bounded load: each shard goes to the lowest-ranked
    candidate that still has fewer than an equal portion of the shards, rounded
    up.
    """
    limit = math.ceil(timing.SHARD_COUNT / len(candidates))
    counts: Counter[str] = Counter()
    homes = []
    for shard in range(timing.SHARD_COUNT):
        available = (name for name in candidates if counts[name] < limit)
        home = min(available, key=lambda name: _rank(name, str(shard)))
        counts[home] += 1
        homes.append(home)
    return tuple(homes)


def group_shards_by_home(homes: Sequence[str]) -> dict[str, tuple[int, ...]]:
    """Group shard numbers by the name of their home."""
    shards_by_home: dict[str, tuple[int, ...]] = {}
    for shard, home in enumerate(homes):
        shards_by_home[home] = (*shards_by_home.get(home, ()), shard)
    return shards_by_home


def pack(shards: Collection[int]) -> int:
    """Encode shard numbers as a bit set."""
    return sum(1 << shard for shard in shards)


@functools.lru_cache(maxsize=4096)
def unpack(bits: int) -> frozenset[int]:
    """Decode shard numbers from a bit set."""
    return frozenset(
        shard for shard in range(timing.SHARD_COUNT) if bits >> shard & 1
    )


@functools.lru_cache(maxsize=65536)
def _rank(name: str, key: str) -> int:
    return xxhash.xxh3_64_intdigest(f"{key}\0{name}".encode())
