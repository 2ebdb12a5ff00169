"""Decides requests from tokens at hand, and asks homes for more in time."""

from collections import deque
from collections.abc import Callable
import math
from typing import Protocol

import msgspec
from returns import result

from eelgrassgate import messages
from eelgrassgate import outcomes
from eelgrassgate.limits import mint
from eelgrassgate.limits import timing
from eelgrassgate.limits import wallet

Outcome = result.Result[None, outcomes.Refusal]


class Homes(Protocol):
    """Where tokens are to be asked for."""

    def find_home(self, bucket: str, now: float) -> str | None:
        """Return the other instance to ask; None if it is this one."""
        ...

    def send_to(self, name: str, message: messages.AnyMessage) -> bool:
        """Queue a message; return False if it can't be sent."""
        ...

    def count_members(self) -> int:
        """Return how many members share the rights."""
        ...


class Ticket:
    """A request that waits for tokens.

    Attributes:
        outcome: None while it waits.
        wake: Called once when the outcome is there.
    """

    __slots__ = ("bucket", "give_up_at", "outcome", "tokens", "wake")

    def __init__(self, bucket: str, tokens: float, give_up_at: float) -> None:
        """Create a ticket that waits until `give_up_at` at the latest."""
        self.bucket = bucket
        self.tokens = tokens
        self.give_up_at = give_up_at
        self.outcome: Outcome | None = None
        self.wake: Callable[[], None] | None = None

    def settle(self, outcome: Outcome) -> None:
        """Set the outcome and wake who waits for it."""
        self.outcome = outcome
        if self.wake:
            self.wake()


class _Rate(msgspec.Struct, frozen=True):
    per_second: float
    burst: float


class _Asked(msgspec.Struct, frozen=True):
    home: str
    at: float


class Holder:
    """The requests, wallets and questions of this process."""

    def __init__(
        self, tokens: mint.Mint, homes: Homes, first_request: int
    ) -> None:
        """Create a holder that spends from `tokens` and asks `homes`."""
        self._mint = tokens
        self._homes = homes
        self._last_request = first_request
        self._rates_by_bucket: dict[str, _Rate] = {}
        self._wallets_by_bucket: dict[str, wallet.Wallet] = {}
        self._queues_by_bucket: dict[str, deque[Ticket]] = {}
        self._asked_by_request: dict[int, _Asked] = {}
        self._returns_by_home: dict[str, list[messages.TokenReturn]] = {}

    def set_rate(self, bucket: str, per_second: float, burst: float) -> None:
        """Set a bucket's rate a second and burst."""
        self._rates_by_bucket[bucket] = _Rate(per_second, burst)

    def remove(self, bucket: str) -> None:
        """Forget a bucket; its requests are refused from now on."""
        self._rates_by_bucket.pop(bucket, None)
        self._wallets_by_bucket.pop(bucket, None)
        for ticket in self._queues_by_bucket.pop(bucket, ()):
            ticket.settle(refuse(math.inf))

    def start(
        self, bucket: str, tokens: float, give_up_at: float, now: float
    ) -> Ticket:
        """Decide a request, or let it wait if that may help in time."""
        ticket = Ticket(bucket, tokens, give_up_at)
        if bucket not in self._rates_by_bucket:
            ticket.settle(refuse(math.inf))
            return ticket
        queue = self._queues_by_bucket.get(bucket)
        if not queue and self._take(bucket, tokens, now):
            self._find_wallet(bucket, now).note_demand(tokens, now)
            ticket.settle(result.Success(None))
            return ticket
        ahead = sum(other.tokens for other in queue or ())
        wait_s = self._estimate_wait(bucket, tokens, ahead, now)
        if now + wait_s > give_up_at:
            ticket.settle(refuse(wait_s))
            return ticket
        self._find_wallet(bucket, now).note_demand(tokens, now)
        self._queues_by_bucket.setdefault(bucket, deque()).append(ticket)
        self._ask_for_queue(bucket, now)
        return ticket

    def give_up(self, ticket: Ticket, now: float) -> None:
        """Refuse a request that waits no longer."""
        queue = self._queues_by_bucket.get(ticket.bucket, deque())
        if ticket in queue:
            queue.remove(ticket)
        if ticket.outcome is None:
            wait_s = self._estimate_wait(ticket.bucket, ticket.tokens, 0, now)
            ticket.settle(refuse(wait_s))

    def take_grants(
        self, home: str, message: messages.GrantTokens, now: float
    ) -> None:
        """Take an answer; one that is not expected is ignored."""
        asked = self._asked_by_request.get(message.request)
        if asked is None or asked.home != home:
            return
        del self._asked_by_request[message.request]
        until = asked.at + message.ttl_ms / timing.MS_PER_S
        for grant in message.grants:
            self._take_grant(home, grant, until, now)

    def give_back(self, home: str, now: float) -> None:
        """Return at once all that `home` granted, since it leaves."""
        returns = self._returns_by_home.setdefault(home, [])
        for purse in self._wallets_by_bucket.values():
            returns.extend(purse.give_back(home))
        self._ask(home, (), now)

    def tick(self, now: float) -> None:
        """Serve queues, send back what is left over and ask ahead."""
        for bucket in tuple(self._queues_by_bucket):
            self.serve(bucket, now)
            self._ask_for_queue(bucket, now)
        asks_by_home: dict[str, list[messages.TokenRequest]] = {}
        for bucket, purse in tuple(self._wallets_by_bucket.items()):
            self._collect_returns(purse, now)
            if purse.is_idle(now, self._can_keep_one(bucket)):
                del self._wallets_by_bucket[bucket]
                continue
            self._plan(bucket, purse, asks_by_home, now)
        for home in {*asks_by_home, *self._returns_by_home}:
            self._ask(home, tuple(asks_by_home.get(home, ())), now)
        oldest = now - timing.GRANT_S
        for number, asked in tuple(self._asked_by_request.items()):
            if asked.at >= oldest:
                break
            del self._asked_by_request[number]

    def serve(self, bucket: str, now: float) -> None:
        """Give tokens to those that wait, in order."""
        queue = self._queues_by_bucket.get(bucket)
        while queue:
            ticket = queue[0]
            if ticket.give_up_at <= now:
                queue.popleft()
                self.give_up(ticket, now)
            elif self._take(bucket, ticket.tokens, now):
                queue.popleft()
                ticket.settle(result.Success(None))
            else:
                return
        self._queues_by_bucket.pop(bucket, None)

    def _take(self, bucket: str, tokens: float, now: float) -> bool:
        purse = self._wallets_by_bucket.get(bucket)
        if purse and purse.take(tokens, now):
            return True
        return self._mint.take(bucket, tokens, now)

    def _take_grant(
        self,
        home: str,
        grant: messages.TokenGrant,
        until: float,
        now: float,
    ) -> None:
        bucket = grant.bucket
        purse = self._find_wallet(bucket, now)
        purse.asked_at = -math.inf
        purse.next_at = now + grant.wait_ms / timing.MS_PER_S
        purse.wish_at = now if grant.tokens else now + timing.PREFETCH_S
        if grant.tokens and until > now:
            source = wallet.Source(home, bucket, grant.grant)
            purse.add(source, grant.tokens, until)
        self.serve(bucket, now)
        self._refuse_hopeless(bucket, now)
        self._ask_for_queue(bucket, now)

    def _refuse_hopeless(self, bucket: str, now: float) -> None:
        """Refuse at once those that can't be served before they give up."""
        ahead = 0.0
        for ticket in tuple(self._queues_by_bucket.get(bucket, ())):
            wait_s = self._estimate_wait(bucket, ticket.tokens, ahead, now)
            if now + wait_s > ticket.give_up_at:
                self.give_up(ticket, now)
            else:
                ahead += ticket.tokens

    def _estimate_wait(
        self, bucket: str, tokens: float, ahead: float, now: float
    ) -> float:
        """Return in how many seconds a request may be admitted."""
        if self._homes.find_home(bucket, now) is None:
            return self._mint.estimate_wait(bucket, tokens, now, ahead)
        rate = self._rates_by_bucket.get(bucket)
        if rate is None or tokens > rate.burst:
            return math.inf
        next_at = self._find_wallet(bucket, now).next_at
        if next_at <= now:
            excess = max(0.0, ahead + tokens - rate.burst)
            return excess / rate.per_second
        return next_at - now + ahead / rate.per_second

    def _ask_for_queue(self, bucket: str, now: float) -> None:
        """Ask at once for those that wait, unless an answer is due."""
        queue = self._queues_by_bucket.get(bucket)
        home = self._homes.find_home(bucket, now)
        if not queue or home is None:
            return
        purse = self._find_wallet(bucket, now)
        if now < max(purse.asked_at + timing.ASK_TIMEOUT_S, purse.next_at):
            return
        self._collect_returns(purse, now)
        self._ask(home, (self._create_ask(bucket, purse, now),), now)

    def _plan(
        self,
        bucket: str,
        purse: wallet.Wallet,
        asks_by_home: dict[str, list[messages.TokenRequest]],
        now: float,
    ) -> None:
        """Note what is to be asked for a bucket with recent demand."""
        home = self._homes.find_home(bucket, now)
        if home is None or now < purse.next_at:
            return
        if now < max(purse.asked_at + timing.ASK_TIMEOUT_S, purse.wish_at):
            return
        ask = self._create_ask(bucket, purse, now)
        if ask.needed or ask.prefetch >= 1:
            asks_by_home.setdefault(home, []).append(ask)

    def _collect_returns(self, purse: wallet.Wallet, now: float) -> None:
        for home, back in purse.collect_returns(now):
            self._returns_by_home.setdefault(home, []).append(back)

    def _create_ask(
        self, bucket: str, purse: wallet.Wallet, now: float
    ) -> messages.TokenRequest:
        queue = self._queues_by_bucket.get(bucket, ())
        needed = sum(ticket.tokens for ticket in queue)
        if needed:
            purse.asked_at = now
        wanted = 0.0
        if now >= purse.wish_at:
            wanted = purse.compute_wish(now, self._can_keep_one(bucket))
            purse.wish_at = now + timing.ASK_TIMEOUT_S
        return messages.TokenRequest(bucket, needed, wanted)

    def _ask(
        self, home: str, asks: tuple[messages.TokenRequest, ...], now: float
    ) -> None:
        self._last_request += 1
        returns = tuple(self._returns_by_home.pop(home, ()))
        message = messages.AskTokens(
            request=self._last_request, asks=asks, returns=returns
        )
        if self._homes.send_to(home, message) and asks:
            self._asked_by_request[self._last_request] = _Asked(home, now)

    def _can_keep_one(self, bucket: str) -> bool:
        """Tell whether each member may keep a token of the bucket at hand."""
        rate = self._rates_by_bucket.get(bucket)
        members = self._homes.count_members()
        return rate is not None and rate.burst >= 8 * members

    def _find_wallet(self, bucket: str, now: float) -> wallet.Wallet:
        purse = self._wallets_by_bucket.get(bucket)
        if purse is None:
            purse = wallet.Wallet(now)
            self._wallets_by_bucket[bucket] = purse
        return purse


def refuse(wait_s: float) -> Outcome:
    """Return a refusal that says when to try again."""
    if math.isinf(wait_s):
        wait_s = timing.RETRY_UNKNOWN_S
    refusal = outcomes.refuse(
        outcomes.Code.RATE_LIMITED,
        "The workspace's rate is used up.",
        max(wait_s, timing.TICK_S),
    )
    return result.Failure(refusal)
