"""Token buckets that are filled in proportion to the shares in use here.

For each bucket, the unspent tokens here and in outstanding grants never exceed
the burst times the fraction of the fleet's shares in use here, and are created
no faster than the rate times that fraction. The fractions of all processes sum
to at most one, so the fleet admits at most the burst plus the rate times the
length of any time window.
"""

import math
from typing import Final

import msgspec

from eelgrassgate.limits import shards
from eelgrassgate.limits import timing

_EPSILON: Final = 1e-9
_MIN_FREE_FRACTION: Final = 0.5
_PREFETCH_FRACTION: Final = 0.25
_SLOWEST_CLOCK_RATE: Final = 1.0 - timing.MAX_CLOCK_DRIFT


class ActiveShare(msgspec.Struct, frozen=True):
    """A member's share, owned or borrowed, that may be used here.

    Attributes:
        fraction: The fraction of the buckets' rates and bursts.
        expires_at: The instant from which it must no longer be used.
    """

    fraction: float
    expires_at: float


class GrantResult(msgspec.Struct, frozen=True):
    """The result of a request for tokens.

    Attributes:
        grant: The grant's id; 0 if nothing was granted.
        tokens: The number of tokens granted.
        wait_s: The estimated wait for the next token if fewer than needed were
            granted.
    """

    grant: int
    tokens: float
    wait_s: float


class _Grant(msgspec.Struct, frozen=True):
    tokens: float
    expires_at: float


class _Bucket:
    """A token bucket.

    Attributes:
        rate: Tokens per second for the whole fleet.
        burst: The capacity for the whole fleet.
        virtual_time: The shard's virtual time at the last refill.
        level: Unspent tokens here.
        granted: Tokens in unexpired grants.
        grants: Grants by id; None until the first grant.
    """

    __slots__ = (
        "burst",
        "granted",
        "grants",
        "level",
        "rate",
        "virtual_time",
    )

    def __init__(self, rate: float, burst: float, virtual_time: float) -> None:
        self.rate = rate
        self.burst = burst
        self.virtual_time = virtual_time
        self.level = 0.0
        self.granted = 0.0
        self.grants: dict[int, _Grant] | None = None


class _Shard:
    """The shares in use for one shard, and the buckets of the shard.

    Attributes:
        shares_by_lender: The shares.
        buckets_by_name: The buckets.
        fraction: The sum of the shares' fractions.
        virtual_time: The integral of `fraction` over time up to `as_of`, at
            the rate of the slowest clock allowed.
        next_expiry: No share expires before this instant.
        grants_expire_at: All grants have expired by this instant.
        lasting_share: A cached result of `_compute_lasting_fraction`.
    """

    def __init__(self, now: float) -> None:
        self.shares_by_lender: dict[str, ActiveShare] = {}
        self.buckets_by_name: dict[str, _Bucket] = {}
        self.fraction = 0.0
        self.virtual_time = 0.0
        self.as_of = now
        self.next_expiry = math.inf
        self.grants_expire_at = now
        self.lasting_share = ActiveShare(0.0, -math.inf)


class TokenBuckets:
    """The buckets of this process, grouped by shard."""

    def __init__(self, now: float, first_grant_id: int = 0) -> None:
        """Create buckets without shares.

        Args:
            now: The current time.
            first_grant_id: Grant ids count up from here. Two incarnations of
                an instance must not use the same ids.
        """
        self._shards = tuple(_Shard(now) for _ in range(timing.SHARD_COUNT))
        self._last_grant_id = first_grant_id

    def set_rate(
        self, name: str, rate: float, burst: float, now: float
    ) -> None:
        """Set a bucket's rate in tokens per second and its burst in tokens."""
        shard = self._advance(shards.find_shard(name), now)
        bucket = shard.buckets_by_name.get(name)
        if bucket is None:
            bucket = _Bucket(rate, burst, shard.virtual_time)
            shard.buckets_by_name[name] = bucket
            return
        _refill(bucket, shard, now)
        bucket.rate = rate
        bucket.burst = burst
        _refill(bucket, shard, now)

    def remove(self, name: str, now: float) -> None:
        """Remove a bucket once its grants are returned or expired."""
        shard = self._advance(shards.find_shard(name), now)
        bucket = shard.buckets_by_name.get(name)
        if bucket is None:
            return
        bucket.rate = 0.0
        bucket.burst = 0.0
        _refill(bucket, shard, now)

    def get_fraction(self, number: int, now: float) -> float:
        """Return the sum of the fractions in use for a shard."""
        return self._advance(number, now).fraction

    def get_grants_expiry(self, number: int) -> float:
        """Return the instant by which all grants of a shard expire."""
        return self._shards[number].grants_expire_at

    def activate_share(
        self, number: int, lender: str, share: ActiveShare, now: float
    ) -> None:
        """Use a lender's share of a shard, replacing the lender's last one."""
        shard = self._advance(number, now)
        if share.expires_at <= now:
            self._release_share(shard, lender, now)
            return
        old = shard.shares_by_lender.get(lender)
        shard.shares_by_lender[lender] = share
        shard.next_expiry = min(shard.next_expiry, share.expires_at)
        if (
            old
            and old.fraction == share.fraction
            and old.expires_at <= share.expires_at
        ):
            return
        self._recompute_fraction(shard, now)

    def release_share(self, number: int, lender: str, now: float) -> None:
        """Stop using a lender's share of a shard."""
        self._release_share(self._advance(number, now), lender, now)

    def get_lenders(self, number: int) -> tuple[str, ...]:
        """Return the lenders whose shares of a shard are in use."""
        return tuple(self._shards[number].shares_by_lender)

    def take(self, name: str, tokens: float, now: float) -> bool:
        """Take tokens if the bucket has enough; return whether it did."""
        shard = self._advance(shards.find_shard(name), now)
        bucket = shard.buckets_by_name.get(name)
        if bucket is None:
            return False
        _refill(bucket, shard, now)
        if bucket.level + _EPSILON < tokens:
            return False
        bucket.level = max(0.0, bucket.level - tokens)
        return True

    def estimate_wait(
        self, name: str, tokens: float, now: float, ahead: float = 0.0
    ) -> float:
        """Estimate the seconds until `tokens` are available; inf for never.

        `ahead` tokens go to requests that are earlier in the queue.
        """
        shard = self._advance(shards.find_shard(name), now)
        bucket = shard.buckets_by_name.get(name)
        if bucket is None or not shard.fraction or not bucket.rate:
            return math.inf
        _refill(bucket, shard, now)
        if tokens > bucket.burst * shard.fraction + _EPSILON:
            return math.inf
        missing = max(0.0, ahead + tokens - bucket.level)
        return missing / (bucket.rate * shard.fraction * _SLOWEST_CLOCK_RATE)

    def grant(
        self, name: str, needed: float, prefetch: float, now: float
    ) -> GrantResult:
        """Grant whole tokens that expire after `GRANT_TTL_S`.

        Only shares that expire after the grant count towards it.

        Args:
            name: The bucket.
            needed: Tokens for requests that are waiting.
            prefetch: Tokens to prefetch, granted only while more than half of
                the capacity would remain.
            now: The current time.
        """
        number = shards.find_shard(name)
        shard = self._advance(number, now)
        bucket = shard.buckets_by_name.get(name)
        if bucket is None:
            return GrantResult(0, 0.0, math.inf)
        _refill(bucket, shard, now)
        expires_at = now + timing.lengthen_for_drift(timing.GRANT_TTL_S)
        capacity = bucket.burst * _compute_lasting_fraction(shard, expires_at)
        free = min(bucket.level, capacity - bucket.granted) + _EPSILON
        tokens = min(needed, free)
        if free - needed > _MIN_FREE_FRACTION * capacity:
            tokens += min(prefetch, (free - needed) * _PREFETCH_FRACTION)
        whole = max(0.0, math.floor(tokens))
        if whole:
            self._add_grant(bucket, whole, expires_at)
            shard.grants_expire_at = max(shard.grants_expire_at, expires_at)
        wait_s = 0.0
        if whole < needed:
            wait_s = self.estimate_wait(name, 1.0, now)
        return GrantResult(self._last_grant_id if whole else 0, whole, wait_s)

    def return_grant(
        self, name: str, grant: int, unspent: float, now: float
    ) -> None:
        """End a grant; add its unspent tokens unless it has expired."""
        shard = self._advance(shards.find_shard(name), now)
        bucket = shard.buckets_by_name.get(name)
        if bucket is None or not bucket.grants:
            return
        _refill(bucket, shard, now)
        found = bucket.grants.pop(grant, None)
        if found is None:
            return
        bucket.granted -= found.tokens
        bucket.level += min(max(0.0, unspent), found.tokens)
        _refill(bucket, shard, now)

    def has_outstanding_grants(self, now: float) -> bool:
        """Return whether any bucket has an unexpired grant."""
        return any(
            grant.expires_at > now
            for shard in self._shards
            for bucket in shard.buckets_by_name.values()
            for grant in (bucket.grants or {}).values()
        )

    def _add_grant(
        self, bucket: _Bucket, tokens: float, expires_at: float
    ) -> None:
        self._last_grant_id += 1
        if bucket.grants is None:
            bucket.grants = {}
        bucket.grants[self._last_grant_id] = _Grant(tokens, expires_at)
        bucket.granted += tokens
        bucket.level = max(0.0, bucket.level - tokens)

    def _release_share(self, shard: _Shard, lender: str, now: float) -> None:
        if shard.shares_by_lender.pop(lender, None):
            self._recompute_fraction(shard, now)

    def _advance(self, number: int, now: float) -> _Shard:
        """Advance a shard's virtual time to `now`, expiry by expiry."""
        shard = self._shards[number]
        while shard.next_expiry <= now:
            _advance_virtual_time(shard, shard.next_expiry)
            self._recompute_fraction(shard, shard.next_expiry)
        _advance_virtual_time(shard, now)
        return shard

    def _recompute_fraction(self, shard: _Shard, now: float) -> None:
        """Recompute the fraction and cut bucket levels to the new capacity.

        Buckets are refilled before the change, at the old fraction. Removed
        buckets without grants are deleted.
        """
        for name, bucket in tuple(shard.buckets_by_name.items()):
            _refill(bucket, shard, now)
            if not bucket.burst and not bucket.grants:
                del shard.buckets_by_name[name]
        shard.shares_by_lender = {
            lender: share
            for lender, share in shard.shares_by_lender.items()
            if share.expires_at > now
        }
        shares = shard.shares_by_lender.values()
        shard.fraction = sum(share.fraction for share in shares)
        shard.next_expiry = min(
            (share.expires_at for share in shares), default=math.inf
        )
        shard.lasting_share = ActiveShare(0.0, -math.inf)
        for bucket in shard.buckets_by_name.values():
            _refill(bucket, shard, now)


def _advance_virtual_time(shard: _Shard, now: float) -> None:
    if now > shard.as_of:
        shard.virtual_time += (
            shard.fraction * (now - shard.as_of) * _SLOWEST_CLOCK_RATE
        )
        shard.as_of = now


def _refill(bucket: _Bucket, shard: _Shard, now: float) -> None:
    """Add the tokens due since the last call, then drop expired grants."""
    bucket.level += bucket.rate * (shard.virtual_time - bucket.virtual_time)
    bucket.virtual_time = shard.virtual_time
    capacity = bucket.burst * shard.fraction - bucket.granted
    bucket.level = max(0.0, min(bucket.level, capacity))
    if not bucket.grants:
        return
    for number, grant in tuple(bucket.grants.items()):
        if grant.expires_at <= now:
            del bucket.grants[number]
            bucket.granted -= grant.tokens
    if not bucket.grants:
        bucket.granted = 0.0


def _compute_lasting_fraction(shard: _Shard, expires_at: float) -> float:
    """Return a lower bound of the fraction that is usable at `expires_at`."""
    if shard.lasting_share.expires_at < expires_at:
        lasting = tuple(
            share
            for share in shard.shares_by_lender.values()
            if share.expires_at >= expires_at
        )
        shard.lasting_share = ActiveShare(
            sum(share.fraction for share in lasting),
            min((share.expires_at for share in lasting), default=expires_at),
        )
    return shard.lasting_share.fraction
