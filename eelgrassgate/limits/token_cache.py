"""Tokens that homes granted to this process, and its recent demand."""

from collections import deque
from collections.abc import Iterator
import math
from typing import Final

import msgspec

from eelgrassgate import messages
from eelgrassgate.limits import timing

_EPSILON: Final = 1e-9


class GrantSource(msgspec.Struct, frozen=True):
    """The home, bucket and id of a grant."""

    home: str
    bucket: str
    grant: int


class _CachedGrant:
    """The unspent tokens of a grant, usable until `expires_at`."""

    __slots__ = ("expires_at", "source", "tokens")

    def __init__(
        self, source: GrantSource, tokens: float, expires_at: float
    ) -> None:
        self.source = source
        self.tokens = tokens
        self.expires_at = expires_at


class TokenCache:
    """The granted tokens and the recent local demand of one bucket.

    Attributes:
        asked_at: When tokens for waiting requests were last requested.
        prefetch_at: No tokens are prefetched before this instant.
        retry_at: The home expects to have no tokens before this instant.
    """

    def __init__(self, now: float) -> None:
        """Create an empty cache."""
        self.asked_at = -math.inf
        self.retry_at = now
        self.prefetch_at = now
        self._grants: deque[_CachedGrant] = deque()
        self._demand = 0.0
        self._demand_at = now

    def record_demand(self, tokens: float, now: float) -> None:
        """Add a request's tokens to the demand estimate."""
        self._demand = (
            self.compute_demand(now) + tokens / timing.DEMAND_TIME_CONSTANT_S
        )
        self._demand_at = now

    def compute_demand(self, now: float) -> float:
        """Return the exponentially decayed demand in tokens per second."""
        age_s = now - self._demand_at
        return self._demand * math.exp(-age_s / timing.DEMAND_TIME_CONSTANT_S)

    def is_idle(self, now: float, can_reserve_token: bool) -> bool:
        """Return whether the cache may be deleted.

        Args:
            now: The current time.
            can_reserve_token: Whether the cache may keep a token in reserve
                while there is little demand.
        """
        if self._grants or now < max(self.retry_at, self.prefetch_at):
            return False
        if now < self.asked_at + timing.TOKEN_REQUEST_TIMEOUT_S:
            return False
        if can_reserve_token:
            return now - self._demand_at > timing.IDLE_TIMEOUT_S
        return self.compute_demand(now) < timing.MIN_PREFETCH_DEMAND_PER_S

    def add(
        self, source: GrantSource, tokens: float, expires_at: float
    ) -> None:
        """Add a grant."""
        self._grants.append(_CachedGrant(source, tokens, expires_at))

    def count(self, now: float) -> float:
        """Return the number of usable tokens."""
        return sum(
            grant.tokens for grant in self._grants if grant.expires_at > now
        )

    def take(self, tokens: float, now: float) -> bool:
        """Take tokens, oldest grants first; return whether there are enough."""
        if not self._grants or self.count(now) + _EPSILON < tokens:
            return False
        for grant in self._grants:
            if grant.expires_at <= now:
                continue
            part = min(grant.tokens, tokens)
            grant.tokens -= part
            tokens -= part
            if tokens <= _EPSILON:
                break
        return True

    def pop_returns(
        self, now: float
    ) -> Iterator[tuple[str, messages.TokenReturn]]:
        """Remove and yield the grants to return, with their homes.

        These are used up, or expire so soon that another instance should get
        their tokens.
        """
        kept: deque[_CachedGrant] = deque()
        for grant in self._grants:
            is_late = grant.expires_at - now <= timing.RETURN_BEFORE_EXPIRY_S
            if grant.tokens > _EPSILON and not is_late:
                kept.append(grant)
                continue
            yield grant.source.home, _make_return(grant)
        self._grants = kept

    def pop_grants_from(self, home: str) -> Iterator[messages.TokenReturn]:
        """Remove and yield all grants from `home`."""
        kept: deque[_CachedGrant] = deque()
        for grant in self._grants:
            if grant.source.home == home:
                yield _make_return(grant)
            else:
                kept.append(grant)
        self._grants = kept

    def compute_prefetch(self, now: float, can_reserve_token: bool) -> float:
        """Return the number of tokens to prefetch for the expected demand."""
        demand = self.compute_demand(now)
        target = 0
        if demand >= timing.MIN_PREFETCH_DEMAND_PER_S:
            target = math.ceil(demand * timing.PREFETCH_HORIZON_S)
        if can_reserve_token:
            target = max(target, 1)
        available = self.count(now)
        return target - available if available <= target / 2 else 0.0


def _make_return(grant: _CachedGrant) -> messages.TokenReturn:
    source = grant.source
    unspent = grant.tokens if grant.tokens > _EPSILON else 0.0
    return messages.TokenReturn(source.bucket, source.grant, unspent)
