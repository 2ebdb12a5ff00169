"""Admission of requests from local tokens, with prefetch from homes."""

from collections import deque
from collections.abc import Callable
import math
from typing import Protocol

import msgspec
from returns import result

from eelgrassgate import messages
from eelgrassgate import outcomes
from eelgrassgate.limits import timing
from eelgrassgate.limits import token_buckets
from eelgrassgate.limits import token_cache

Outcome = result.Result[None, outcomes.Refusal]


class Homes(Protocol):
    """The homes that grant tokens, and the connections to them."""

    def find_home(self, bucket: str, now: float) -> str | None:
        """Return the other instance to ask; None if it is this one."""
        ...

    def send_to(self, name: str, message: messages.AnyMessage) -> bool:
        """Queue a message; return False if it can't be sent."""
        ...

    def count_members(self) -> int:
        """Return the number of members that share the rates."""
        ...


class PendingRequest:
    """A request that is waiting for tokens or has been decided.

    Attributes:
        outcome: The decision; None while the request waits.
        on_resolved: Called once when the outcome is set.
    """

    __slots__ = (
        "bucket",
        "on_resolved",
        "outcome",
        "tokens",
        "wait_deadline",
    )

    def __init__(
        self, bucket: str, tokens: float, wait_deadline: float
    ) -> None:
        """Create a request that waits until `wait_deadline` at the latest."""
        self.bucket = bucket
        self.tokens = tokens
        self.wait_deadline = wait_deadline
        self.outcome: Outcome | None = None
        self.on_resolved: Callable[[], None] | None = None

    def resolve(self, outcome: Outcome) -> None:
        """Set the outcome and call `on_resolved`."""
        self.outcome = outcome
        if self.on_resolved:
            self.on_resolved()


class _Rate(msgspec.Struct, frozen=True):
    per_second: float
    burst: float


class _SentRequest(msgspec.Struct, frozen=True):
    home: str
    sent_at: float


class AdmissionController:
    """Decides requests, queues them for tokens and asks homes for tokens."""

    def __init__(
        self,
        buckets: token_buckets.TokenBuckets,
        homes: Homes,
        last_request: int,
    ) -> None:
        """Create a controller.

        Args:
            buckets: The buckets of this process.
            homes: The homes that grant tokens.
            last_request: Request ids count up from here.
        """
        self._buckets = buckets
        self._homes = homes
        self._last_request = last_request
        self._rates_by_bucket: dict[str, _Rate] = {}
        self._caches_by_bucket: dict[str, token_cache.TokenCache] = {}
        self._queues_by_bucket: dict[str, deque[PendingRequest]] = {}
        self._sent_by_request: dict[int, _SentRequest] = {}
        self._returns_by_home: dict[str, list[messages.TokenReturn]] = {}

    def set_rate(self, bucket: str, per_second: float, burst: float) -> None:
        """Set a bucket's rate in tokens per second and its burst."""
        self._rates_by_bucket[bucket] = _Rate(per_second, burst)

    def remove(self, bucket: str) -> None:
        """Remove a bucket; refuse its waiting and future requests."""
        self._rates_by_bucket.pop(bucket, None)
        self._caches_by_bucket.pop(bucket, None)
        for pending in self._queues_by_bucket.pop(bucket, ()):
            pending.resolve(refuse(math.inf))

    def start(
        self, bucket: str, tokens: float, wait_deadline: float, now: float
    ) -> PendingRequest:
        """Decide a request, or queue it if tokens are expected in time."""
        pending = PendingRequest(bucket, tokens, wait_deadline)
        if bucket not in self._rates_by_bucket:
            pending.resolve(refuse(math.inf))
            return pending
        queue = self._queues_by_bucket.get(bucket)
        if not queue and self._take(bucket, tokens, now):
            self._get_or_create_cache(bucket, now).record_demand(tokens, now)
            pending.resolve(result.Success(None))
            return pending
        ahead = sum(other.tokens for other in queue or ())
        wait_s = self._estimate_wait(bucket, tokens, ahead, now)
        if now + wait_s > wait_deadline:
            pending.resolve(refuse(wait_s))
            return pending
        self._get_or_create_cache(bucket, now).record_demand(tokens, now)
        self._queues_by_bucket.setdefault(bucket, deque()).append(pending)
        self._request_for_queue(bucket, now)
        return pending

    def cancel(self, pending: PendingRequest, now: float) -> None:
        """Remove a request from its queue and refuse it if undecided."""
        queue = self._queues_by_bucket.get(pending.bucket, deque())
        if pending in queue:
            queue.remove(pending)
        if pending.outcome is None:
            wait_s = self._estimate_wait(pending.bucket, pending.tokens, 0, now)
            pending.resolve(refuse(wait_s))

    def handle_grants(
        self, home: str, message: messages.GrantTokens, now: float
    ) -> None:
        """Add granted tokens; ignore unknown, late or repeated answers."""
        sent = self._sent_by_request.get(message.request)
        if sent is None or sent.home != home:
            return
        del self._sent_by_request[message.request]
        expires_at = sent.sent_at + message.ttl_ms / timing.MS_PER_S
        for grant in message.grants:
            self._handle_grant(home, grant, expires_at, now)

    def return_grants(self, home: str, now: float) -> None:
        """Return all grants of a home that is shutting down."""
        returns = self._returns_by_home.setdefault(home, [])
        for cache in self._caches_by_bucket.values():
            returns.extend(cache.pop_grants_from(home))
        self._send_request(home, (), now)

    def tick(self, now: float) -> None:
        """Serve the queues, return surplus grants and prefetch tokens."""
        for bucket in tuple(self._queues_by_bucket):
            self.serve(bucket, now)
            self._request_for_queue(bucket, now)
        asks_by_home: dict[str, list[messages.TokenRequest]] = {}
        for bucket, cache in tuple(self._caches_by_bucket.items()):
            self._collect_returns(cache, now)
            if cache.is_idle(now, self._can_reserve_token(bucket)):
                del self._caches_by_bucket[bucket]
                continue
            self._add_token_request(bucket, cache, asks_by_home, now)
        for home in {*asks_by_home, *self._returns_by_home}:
            self._send_request(home, tuple(asks_by_home.get(home, ())), now)
        oldest = now - timing.GRANT_TTL_S
        for number, sent in tuple(self._sent_by_request.items()):
            if sent.sent_at >= oldest:
                break
            del self._sent_by_request[number]

    def serve(self, bucket: str, now: float) -> None:
        """Admit the waiting requests of a bucket, in order."""
        queue = self._queues_by_bucket.get(bucket)
        while queue:
            pending = queue[0]
            if pending.wait_deadline <= now:
                queue.popleft()
                self.cancel(pending, now)
            elif self._take(bucket, pending.tokens, now):
                queue.popleft()
                pending.resolve(result.Success(None))
            else:
                return
        self._queues_by_bucket.pop(bucket, None)

    def _take(self, bucket: str, tokens: float, now: float) -> bool:
        cache = self._caches_by_bucket.get(bucket)
        if cache and cache.take(tokens, now):
            return True
        return self._buckets.take(bucket, tokens, now)

    def _handle_grant(
        self,
        home: str,
        grant: messages.TokenGrant,
        expires_at: float,
        now: float,
    ) -> None:
        bucket = grant.bucket
        cache = self._get_or_create_cache(bucket, now)
        cache.asked_at = -math.inf
        cache.retry_at = now + grant.wait_ms / timing.MS_PER_S
        cache.prefetch_at = (
            now if grant.tokens else now + timing.PREFETCH_HORIZON_S
        )
        if grant.tokens and expires_at > now:
            source = token_cache.GrantSource(home, bucket, grant.grant)
            cache.add(source, grant.tokens, expires_at)
        self.serve(bucket, now)
        self._refuse_late(bucket, now)
        self._request_for_queue(bucket, now)

    def _refuse_late(self, bucket: str, now: float) -> None:
        """Refuse requests that are not expected to get tokens in time."""
        ahead = 0.0
        for pending in tuple(self._queues_by_bucket.get(bucket, ())):
            wait_s = self._estimate_wait(bucket, pending.tokens, ahead, now)
            if now + wait_s > pending.wait_deadline:
                self.cancel(pending, now)
            else:
                ahead += pending.tokens

    def _estimate_wait(
        self, bucket: str, tokens: float, ahead: float, now: float
    ) -> float:
        """Estimate the seconds until a request is admitted; inf for never."""
        if self._homes.find_home(bucket, now) is None:
            return self._buckets.estimate_wait(bucket, tokens, now, ahead)
        rate = self._rates_by_bucket.get(bucket)
        if rate is None or tokens > rate.burst:
            return math.inf
        retry_at = self._get_or_create_cache(bucket, now).retry_at
        if retry_at <= now:
            excess = max(0.0, ahead + tokens - rate.burst)
            return excess / rate.per_second
        return retry_at - now + ahead / rate.per_second

    def _request_for_queue(self, bucket: str, now: float) -> None:
        """Request tokens for the queue unless an answer is outstanding."""
        queue = self._queues_by_bucket.get(bucket)
        home = self._homes.find_home(bucket, now)
        if not queue or home is None:
            return
        cache = self._get_or_create_cache(bucket, now)
        if now < max(
            cache.asked_at + timing.TOKEN_REQUEST_TIMEOUT_S, cache.retry_at
        ):
            return
        self._collect_returns(cache, now)
        self._send_request(
            home, (self._create_token_request(bucket, cache, now),), now
        )

    def _add_token_request(
        self,
        bucket: str,
        cache: token_cache.TokenCache,
        asks_by_home: dict[str, list[messages.TokenRequest]],
        now: float,
    ) -> None:
        """Add a request to `asks_by_home` if the bucket needs tokens."""
        home = self._homes.find_home(bucket, now)
        if home is None or now < cache.retry_at:
            return
        if now < max(
            cache.asked_at + timing.TOKEN_REQUEST_TIMEOUT_S, cache.prefetch_at
        ):
            return
        ask = self._create_token_request(bucket, cache, now)
        if ask.needed or ask.prefetch >= 1:
            asks_by_home.setdefault(home, []).append(ask)

    def _collect_returns(
        self, cache: token_cache.TokenCache, now: float
    ) -> None:
        for home, token_return in cache.pop_returns(now):
            self._returns_by_home.setdefault(home, []).append(token_return)

    def _create_token_request(
        self, bucket: str, cache: token_cache.TokenCache, now: float
    ) -> messages.TokenRequest:
        queue = self._queues_by_bucket.get(bucket, ())
        needed = sum(pending.tokens for pending in queue)
        if needed:
            cache.asked_at = now
        wanted = 0.0
        if now >= cache.prefetch_at:
            wanted = cache.compute_prefetch(
                now, self._can_reserve_token(bucket)
            )
            cache.prefetch_at = now + timing.TOKEN_REQUEST_TIMEOUT_S
        return messages.TokenRequest(bucket, needed, wanted)

    def _send_request(
        self, home: str, asks: tuple[messages.TokenRequest, ...], now: float
    ) -> None:
        self._last_request += 1
        returns = tuple(self._returns_by_home.pop(home, ()))
        message = messages.AskTokens(
            request=self._last_request, asks=asks, returns=returns
        )
        if self._homes.send_to(home, message) and asks:
            self._sent_by_request[self._last_request] = _SentRequest(home, now)

    def _can_reserve_token(self, bucket: str) -> bool:
        """Return whether the burst allows a token in reserve at each member."""
        rate = self._rates_by_bucket.get(bucket)
        members = self._homes.count_members()
        return rate is not None and rate.burst >= 8 * members

    def _get_or_create_cache(
        self, bucket: str, now: float
    ) -> token_cache.TokenCache:
        cache = self._caches_by_bucket.get(bucket)
        if cache is None:
            cache = token_cache.TokenCache(now)
            self._caches_by_bucket[bucket] = cache
        return cache


def refuse(wait_s: float) -> Outcome:
    """Return a refusal with the time after which to retry."""
    if math.isinf(wait_s):
        wait_s = timing.DEFAULT_RETRY_AFTER_S
    refusal = outcomes.refuse(
        outcomes.Code.RATE_LIMITED,
        "The workspace has exceeded its rate limit.",
        max(wait_s, timing.TICK_S),
    )
    return result.Failure(refusal)
