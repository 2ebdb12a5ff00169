"""The rate limiter of one process, which enforces limits of the fleet."""

from collections.abc import Callable
from typing import Final

import anyio
from returns import result
import xxhash

from eelgrassgate import deadlines
from eelgrassgate import messages
from eelgrassgate import outcomes
from eelgrassgate.limits import admission
from eelgrassgate.limits import lending
from eelgrassgate.limits import shards
from eelgrassgate.limits import timing
from eelgrassgate.limits import token_buckets
from eelgrassgate.link import base as link_base

Clock = Callable[[], float]
_ID_BITS: Final = 30
_MIN_MOVED_FRACTION: Final = 0.5


class Limiter:
    """Admits requests so that no bucket exceeds its rate and burst.

    Buckets are `workspace` for online requests and `workspace:batch`.
    """

    def __init__(
        self, name: str, incarnation: int, share: lending.Share, clock: Clock
    ) -> None:
        """Create a limiter; see `create_limiter`."""
        now = clock()
        first_id = _compute_first_id(incarnation)
        self._name = name
        self._incarnation = incarnation
        self._clock = clock
        self._buckets = token_buckets.TokenBuckets(now, first_id)
        self._lender = lending.Lender(self._buckets)
        self._admission = admission.AdmissionController(
            self._buckets, self, first_id
        )
        self._peers_by_name: dict[str, link_base.Peer] = {}
        self._last_seen_by_name: dict[str, float] = {}
        self._leaving: set[str] = set()
        self._loan_asked_by_name: dict[str, int] = {}
        self._borrowed_by_name: dict[str, frozenset[int]] = {}
        self._ignore_loans_until = now
        self._request_loans_at = now
        self._homes: tuple[str, ...] = ()
        self._shards_by_home: dict[str, tuple[int, ...]] = {}
        self._previous_homes: tuple[str, ...] = ()
        self._homes_since = now
        self._choose_homes_at = now
        self._candidates: tuple[str, ...] | None = None
        self._members = share.members
        self._epoch = 0
        self._settled_at = now
        self._joining: frozenset[str] = frozenset()
        self._settled_epochs_by_name: dict[str, int] = {}
        self._is_leaving = False
        self._lender.set_share(share, now)
        self.tick()

    def set_rate(self, bucket: str, per_second: float, burst: float) -> None:
        """Set a bucket's rate per second and burst for the whole fleet."""
        self._admission.set_rate(bucket, per_second, burst)
        self._buckets.set_rate(bucket, per_second, burst, self._clock())

    def remove_rate(self, bucket: str) -> None:
        """Remove a bucket; requests for it are refused."""
        self._admission.remove(bucket)
        self._buckets.remove(bucket, self._clock())

    def read_clock(self) -> float:
        """Return the current time on the limiter's clock."""
        return self._clock()

    async def admit(
        self, bucket: str, deadline: float, tokens: float = 1.0
    ) -> result.Result[None, outcomes.Refusal]:
        """Take tokens for a request, after a short wait if necessary.

        Args:
            bucket: The bucket; refused if no rate was set for it.
            deadline: The request's deadline, see `deadlines`.
            tokens: The number of tokens that the request costs.

        Returns:
            Success, or a refusal with the seconds after which to retry.
        """
        pending = self.start(
            bucket, deadlines.compute_remaining(deadline), tokens
        )
        if pending.outcome is not None:
            return pending.outcome
        done = anyio.Event()
        pending.on_resolved = done.set
        try:
            with anyio.move_on_after(pending.wait_deadline - self._clock()):
                await done.wait()
        finally:
            self._admission.cancel(pending, self._clock())
        return pending.outcome or admission.refuse(timing.DEFAULT_RETRY_AFTER_S)

    def start(
        self, bucket: str, remaining_s: float, tokens: float = 1.0
    ) -> admission.PendingRequest:
        """Decide a request or queue it; see `admit`."""
        now = self._clock()
        wait_deadline = now + min(timing.MAX_WAIT_S, remaining_s)
        return self._admission.start(bucket, tokens, wait_deadline, now)

    async def run(self) -> None:
        """Lend and borrow shares and prefetch tokens until cancelled."""
        while True:
            self.tick()
            await anyio.sleep(timing.TICK_S)

    async def leave(self) -> None:
        """Return all loans; finish when the own share is no longer in use."""
        self.stop_granting()
        # The others return their grants at once. One that does not answer may
        # spend its grants until they expire.
        with anyio.move_on_after(timing.lengthen_for_drift(timing.GRANT_TTL_S)):
            while self._buckets.has_outstanding_grants(self._clock()):
                await anyio.sleep(timing.DRAIN_POLL_INTERVAL_S)
        self.return_loans()
        is_alone = self._members <= 1
        self.set_share(lending.Share(), self._epoch, frozenset())
        if not is_alone:
            await anyio.sleep(max(0.0, self._settled_at - self._clock()))

    def stop_granting(self) -> None:
        """Stop being a home; continue to decide local requests."""
        self._is_leaving = True
        self._choose_homes_at = self._clock()
        self._send_all(messages.Leave())
        self.tick()

    def return_loans(self) -> None:
        """Return all borrowed shares; no grant on them may be outstanding."""
        now = self._clock()
        self._ignore_loans_until = now
        for name in tuple(self._borrowed_by_name):
            self._apply_loan(
                name, frozenset(), token_buckets.ActiveShare(0.0, now), now
            )
        self._send_all(messages.ReturnRights(nonce=self._incarnation))

    def set_share(
        self, share: lending.Share, epoch: int, joining: frozenset[str]
    ) -> None:
        """Set this process's share as of a membership epoch.

        The process has settled the epoch once all loans that it made from its
        previous share have expired.

        Args:
            share: The share that may be used or lent from now on.
            epoch: The epoch.
            joining: Members that wait until all have settled the epoch.
        """
        now = self._clock()
        if share.members != self._members or not share.members:
            loan_s = timing.compute_loan(max(self._members, share.members))
            settled_at = now + timing.lengthen_for_drift(loan_s)
            self._settled_at = max(self._settled_at, settled_at)
        self._members = share.members
        self._epoch = epoch
        self._joining = joining
        self._lender.set_share(share, now)
        self._announce_settled(now)

    def get_settled_epoch(self, name: str) -> int:
        """Return the newest epoch that another member reported as settled."""
        return self._settled_epochs_by_name.get(name, 0)

    def list_reachable(self) -> tuple[str, ...]:
        """Return the other entries that have sent a message recently."""
        now = self._clock()
        return tuple(
            name
            for name, last_seen in self._last_seen_by_name.items()
            if now - last_seen <= timing.PEER_TIMEOUT_S
        )

    def connect(self, peer: link_base.Peer) -> None:
        """Register a connection to another entry."""
        if not _is_entry_control(peer):
            return
        name = peer.hello.instance
        self._peers_by_name[name] = peer
        self._last_seen_by_name[name] = self._clock()
        self._leaving.discard(name)
        self._request_loans_at = self._clock()
        self._choose_homes_at = self._clock()

    def disconnect(self, peer: link_base.Peer) -> None:
        """Handle the loss of a connection."""
        name = peer.hello.instance
        if self._peers_by_name.get(name) is not peer:
            return
        del self._peers_by_name[name]
        self._last_seen_by_name.pop(name, None)
        self._choose_homes_at = self._clock()
        self._lender.drop_borrow_request(name)

    def receive(
        self, peer: link_base.Peer, message: messages.AnyMessage
    ) -> None:
        """Handle a message from another entry, on its newest connection."""
        now = self._clock()
        name = peer.hello.instance
        if self._peers_by_name.get(name) is not peer:
            return
        self._last_seen_by_name[name] = now
        match message:
            case messages.AskRights():
                self._lender.record_borrow_request(name, message, now)
                self._lend(name, now)
            case messages.LendRights():
                self._accept_loan(name, message, now)
            case messages.ReturnRights():
                borrower = lending.Borrower(name, message.nonce)
                self._lender.record_return(borrower)
            case messages.AskTokens():
                self._handle_token_requests(peer, message, now)
            case messages.GrantTokens():
                self._admission.handle_grants(name, message, now)
            case messages.EpochSettled():
                self._settled_epochs_by_name[name] = message.epoch
            case messages.Leave():
                self._leaving.add(name)
                self._choose_homes_at = now
                self._admission.return_grants(name, now)
            case _:
                pass

    def tick(self) -> None:
        """Run the tasks that are due; called every `timing.TICK_S`."""
        now = self._clock()
        self._choose_homes(now)
        self._lender.reclaim_expired_loans(now)
        if now >= self._request_loans_at:
            self._request_loans(now)
            self._announce_settled(now)
        for name in self._lender.find_waiting(self._homes, now):
            self._lend(name, now)
        self._admission.tick(now)

    def find_home(self, bucket: str, now: float) -> str | None:
        """Return the instance to ask for tokens; None for this one."""
        shard = shards.find_shard(bucket)
        user = self._lender.get_user(shard, now)
        if user != lending.SELF and user in self._peers_by_name:
            return user
        home = self._homes[shard]
        if home != self._name:
            return home
        if now < self._homes_since + timing.compute_loan(self._members):
            return self._find_previous_home(shard, now)
        return None

    def send_to(self, name: str, message: messages.AnyMessage) -> bool:
        """Queue a message to another entry."""
        peer = self._peers_by_name.get(name)
        return peer is not None and peer.send(message)

    def count_members(self) -> int:
        """Return the number of members that share the rates."""
        return max(1, self._members)

    def _find_previous_home(self, shard: int, now: float) -> str | None:
        """Return the previous home of a shard while its shares move here."""
        if self._buckets.get_fraction(shard, now) >= _MIN_MOVED_FRACTION:
            return None
        return self._previous_homes[shard] if self._previous_homes else None

    def _choose_homes(self, now: float) -> None:
        if now < self._choose_homes_at:
            return
        self._choose_homes_at = now + timing.HOME_CHOICE_INTERVAL_S
        names = {*self.list_reachable()} - self._leaving
        if not self._is_leaving or not names:
            names.add(self._name)
        candidates = shards.choose_candidates(names)
        if candidates != self._candidates:
            self._candidates = candidates
            self._homes = shards.choose_homes(candidates)
            self._shards_by_home = shards.group_shards_by_home(self._homes)
            others = tuple(n for n in candidates if n != self._name)
            self._previous_homes = shards.choose_homes(others) if others else ()
            self._homes_since = now

    def _request_loans(self, now: float) -> None:
        interval = timing.compute_loan_request_interval(self._members)
        self._request_loans_at = now + interval
        if self._is_leaving or self._name not in self._shards_by_home:
            return
        request = messages.AskRights(
            asked_ms=int(now * timing.MS_PER_S), nonce=self._incarnation
        )
        self._send_all(request)

    def _lend(self, name: str, now: float) -> None:
        wanted = self._shards_by_home.get(name, ())
        loan = self._lender.lend(name, wanted, now)
        if loan is not None:
            self.send_to(name, loan)

    def _accept_loan(
        self, name: str, loan: messages.LendRights, now: float
    ) -> None:
        asked = loan.asked_ms / timing.MS_PER_S
        is_old = loan.asked_ms < self._loan_asked_by_name.get(name, 0)
        if loan.nonce != self._incarnation or is_old:
            return
        if asked <= self._ignore_loans_until or not loan.members:
            return
        self._loan_asked_by_name[name] = loan.asked_ms
        loan_s = loan.loan_ms / timing.MS_PER_S
        share = token_buckets.ActiveShare(
            1.0 / loan.members, asked + timing.shorten_for_drift(loan_s)
        )
        self._apply_loan(name, shards.unpack(loan.shards), share, now)

    def _apply_loan(
        self,
        name: str,
        lent: frozenset[int],
        share: token_buckets.ActiveShare,
        now: float,
    ) -> None:
        for shard in self._borrowed_by_name.get(name, frozenset()) - lent:
            self._buckets.release_share(shard, name, now)
        for shard in lent:
            self._buckets.activate_share(shard, name, share, now)
        self._borrowed_by_name[name] = lent

    def _handle_token_requests(
        self, peer: link_base.Peer, message: messages.AskTokens, now: float
    ) -> None:
        for token_return in message.returns:
            self._buckets.return_grant(
                token_return.bucket,
                token_return.grant,
                token_return.unspent,
                now,
            )
        if not message.asks:
            return
        grants = tuple(self._grant(ask, now) for ask in message.asks)
        peer.send(
            messages.GrantTokens(
                request=message.request,
                ttl_ms=int(timing.GRANT_TTL_S * timing.MS_PER_S),
                grants=grants,
            )
        )

    def _grant(
        self, ask: messages.TokenRequest, now: float
    ) -> messages.TokenGrant:
        if self._is_leaving:
            granted = token_buckets.GrantResult(
                0, 0.0, timing.DRAIN_POLL_INTERVAL_S
            )
        else:
            granted = self._buckets.grant(
                ask.bucket, ask.needed, ask.prefetch, now
            )
        wait_ms = 0
        if granted.tokens < ask.needed:
            wait_s = min(granted.wait_s, timing.DEFAULT_RETRY_AFTER_S)
            wait_ms = 1 + int(wait_s * timing.MS_PER_S)
        return messages.TokenGrant(
            ask.bucket, granted.grant, granted.tokens, wait_ms
        )

    def _announce_settled(self, now: float) -> None:
        if now < self._settled_at:
            return
        for name in self._joining:
            self.send_to(name, messages.EpochSettled(epoch=self._epoch))

    def _send_all(self, message: messages.AnyMessage) -> None:
        for peer in self._peers_by_name.values():
            peer.send(message)


def create_limiter(
    name: str,
    incarnation: int,
    share: lending.Share | None = None,
    clock: Clock = timing.read_clock,
) -> Limiter:
    """Create a limiter for the instance `name`.

    Args:
        name: The instance's name.
        incarnation: A number that is new at each start of the instance.
        share: The initial share: None for everything, as the only process;
            `lending.Share()` for nothing until `set_share`.
        clock: Returns seconds on a clock that never stops or goes back.
    """
    return Limiter(name, incarnation, share or lending.Share(1), clock)


def _compute_first_id(incarnation: int) -> int:
    digest = xxhash.xxh32_intdigest(str(incarnation).encode())
    return digest << _ID_BITS


def _is_entry_control(peer: link_base.Peer) -> bool:
    return peer.hello.service == "entry" and peer.hello.lane == "control"
