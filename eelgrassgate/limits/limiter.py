"""The limiter of one process: rates and bursts counted over the fleet."""

from collections.abc import Callable
from typing import Final

import anyio
from returns import result
import xxhash

from eelgrassgate import deadlines
from eelgrassgate import messages
from eelgrassgate import outcomes
from eelgrassgate.limits import holder
from eelgrassgate.limits import lending
from eelgrassgate.limits import mint
from eelgrassgate.limits import shards
from eelgrassgate.limits import timing
from eelgrassgate.link import base as link_base

Clock = Callable[[], float]
_NUMBER_BITS: Final = 30
_MOVED_FRACTION: Final = 0.5


class Limiter:
    """Admits requests so that no bucket exceeds its rate and burst.

    Buckets are `workspace` for online requests and `workspace:batch`.
    """

    def __init__(
        self, name: str, incarnation: int, share: lending.Share, clock: Clock
    ) -> None:
        """Create a limiter; see `create_limiter`."""
        now = clock()
        first = _first_number(incarnation)
        self._name = name
        self._incarnation = incarnation
        self._clock = clock
        self._mint = mint.Mint(now, first)
        self._lending = lending.Lending(self._mint)
        self._holder = holder.Holder(self._mint, self, first)
        self._peers_by_name: dict[str, link_base.Peer] = {}
        self._heard_by_name: dict[str, float] = {}
        self._leaving: set[str] = set()
        self._loan_asked_by_name: dict[str, int] = {}
        self._borrowed_by_name: dict[str, frozenset[int]] = {}
        self._ignore_loans_until = now
        self._ask_rights_at = now
        self._homes: tuple[str, ...] = ()
        self._shards_by_home: dict[str, tuple[int, ...]] = {}
        self._former_homes: tuple[str, ...] = ()
        self._homes_since = now
        self._choose_homes_at = now
        self._candidates: tuple[str, ...] | None = None
        self._members = share.members
        self._epoch = 0
        self._settled_at = now
        self._joining: frozenset[str] = frozenset()
        self._settled_by_name: dict[str, int] = {}
        self._is_leaving = False
        self._lending.set_share(share, now)
        self.tick()

    def set_rate(self, bucket: str, per_second: float, burst: float) -> None:
        """Set a bucket's rate a second and its burst, for the whole fleet."""
        self._holder.set_rate(bucket, per_second, burst)
        self._mint.set_rate(bucket, per_second, burst, self._clock())

    def remove_rate(self, bucket: str) -> None:
        """Forget a bucket; requests for it are refused."""
        self._holder.remove(bucket)
        self._mint.remove(bucket, self._clock())

    def read_clock(self) -> float:
        """Return the present instant on the limiter's clock."""
        return self._clock()

    async def admit(
        self, bucket: str, deadline: float, tokens: float = 1.0
    ) -> result.Result[None, outcomes.Refusal]:
        """Spend tokens for a request, after a short wait if that helps.

        Args:
            bucket: A bucket whose rate was set; another is refused.
            deadline: The request's deadline, see `deadlines`.
            tokens: Tokens that the request costs.

        Returns:
            Success, or a refusal with the seconds after which to retry.
        """
        ticket = self.start(
            bucket, deadlines.compute_remaining(deadline), tokens
        )
        if ticket.outcome is not None:
            return ticket.outcome
        done = anyio.Event()
        ticket.wake = done.set
        try:
            with anyio.move_on_after(ticket.give_up_at - self._clock()):
                await done.wait()
        finally:
            self._holder.give_up(ticket, self._clock())
        return ticket.outcome or holder.refuse(timing.RETRY_UNKNOWN_S)

    def start(
        self, bucket: str, remaining_s: float, tokens: float = 1.0
    ) -> holder.Ticket:
        """Decide a request now or let it wait; see `admit`."""
        now = self._clock()
        give_up_at = now + min(timing.MAX_WAIT_S, remaining_s)
        return self._holder.start(bucket, tokens, give_up_at, now)

    async def run(self) -> None:
        """Lend, borrow and ask ahead until cancelled."""
        while True:
            self.tick()
            await anyio.sleep(timing.TICK_S)

    async def leave(self) -> None:
        """Give back all rights; return when none is in use any more."""
        self.stop_granting()
        # The others give back at once what they hold; one that does not
        # answer may spend it until it expires.
        with anyio.move_on_after(timing.lengthen(timing.GRANT_S)):
            while self._mint.has_grants(self._clock()):
                await anyio.sleep(timing.GIVE_BACK_POLL_S)
        self.return_rights()
        is_alone = self._members <= 1
        self.set_share(lending.Share(), self._epoch, frozenset())
        if not is_alone:
            await anyio.sleep(max(0.0, self._settled_at - self._clock()))

    def stop_granting(self) -> None:
        """Be no home any more; requests here are still decided."""
        self._is_leaving = True
        self._choose_homes_at = self._clock()
        self._send_all(messages.Leave())
        self.tick()

    def return_rights(self) -> None:
        """Return what was borrowed; no grant on it may be out."""
        now = self._clock()
        self._ignore_loans_until = now
        for name in tuple(self._borrowed_by_name):
            self._borrow(name, frozenset(), mint.Holding(0.0, now), now)
        self._send_all(messages.ReturnRights(nonce=self._incarnation))

    def set_share(
        self, share: lending.Share, epoch: int, joining: frozenset[str]
    ) -> None:
        """Set this process's right by a membership epoch.

        Args:
            share: What may be used or lent from now on.
            epoch: The epoch.
            joining: Members that wait until all have settled the epoch.
        """
        now = self._clock()
        if share.members != self._members or not share.members:
            loan_s = timing.compute_loan(max(self._members, share.members))
            settled_at = now + timing.lengthen(loan_s)
            self._settled_at = max(self._settled_at, settled_at)
        self._members = share.members
        self._epoch = epoch
        self._joining = joining
        self._lending.set_share(share, now)
        self._announce_settled(now)

    def get_settled(self, name: str) -> int:
        """Return the newest epoch that another member said is settled."""
        return self._settled_by_name.get(name, 0)

    def get_heard(self) -> tuple[str, ...]:
        """Return the other entries that are heard."""
        now = self._clock()
        return tuple(
            name
            for name, heard in self._heard_by_name.items()
            if now - heard <= timing.HEARD_S
        )

    def connect(self, peer: link_base.Peer) -> None:
        """Take a connection to another entry."""
        if not _is_ours(peer):
            return
        name = peer.hello.instance
        self._peers_by_name[name] = peer
        self._heard_by_name[name] = self._clock()
        self._leaving.discard(name)
        self._ask_rights_at = self._clock()
        self._choose_homes_at = self._clock()

    def disconnect(self, peer: link_base.Peer) -> None:
        """Take the loss of a connection."""
        name = peer.hello.instance
        if self._peers_by_name.get(name) is not peer:
            return
        del self._peers_by_name[name]
        self._heard_by_name.pop(name, None)
        self._choose_homes_at = self._clock()
        self._lending.forget_question(name)

    def receive(
        self, peer: link_base.Peer, message: messages.AnyMessage
    ) -> None:
        """Take a message from another entry, on its newest connection."""
        now = self._clock()
        name = peer.hello.instance
        if self._peers_by_name.get(name) is not peer:
            return
        self._heard_by_name[name] = now
        match message:
            case messages.AskRights():
                self._lending.note_question(name, message, now)
                self._lend(name, now)
            case messages.LendRights():
                self._take_loan(name, message, now)
            case messages.ReturnRights():
                borrower = lending.Borrower(name, message.nonce)
                self._lending.note_return(borrower)
            case messages.AskTokens():
                self._answer(peer, message, now)
            case messages.GrantTokens():
                self._holder.take_grants(name, message, now)
            case messages.EpochSettled():
                self._settled_by_name[name] = message.epoch
            case messages.Leave():
                self._leaving.add(name)
                self._choose_homes_at = now
                self._holder.give_back(name, now)
            case _:
                pass

    def tick(self) -> None:
        """Do what is due; called every `timing.TICK_S`."""
        now = self._clock()
        self._choose_homes(now)
        self._lending.use_unlent(now)
        if now >= self._ask_rights_at:
            self._ask_rights(now)
            self._announce_settled(now)
        for name in self._lending.find_waiting(self._homes, now):
            self._lend(name, now)
        self._holder.tick(now)

    def find_home(self, bucket: str, now: float) -> str | None:
        """Return the other instance to ask for tokens, None if this one."""
        shard = shards.find_shard(bucket)
        user = self._lending.get_user(shard, now)
        if user != lending.OWN and user in self._peers_by_name:
            return user
        home = self._homes[shard]
        if home != self._name:
            return home
        if now < self._homes_since + timing.compute_loan(self._members):
            return self._find_former(shard, now)
        return None

    def send_to(self, name: str, message: messages.AnyMessage) -> bool:
        """Queue a message to another entry."""
        peer = self._peers_by_name.get(name)
        return peer is not None and peer.send(message)

    def count_members(self) -> int:
        """Return how many members share the rights."""
        return max(1, self._members)

    def _find_former(self, shard: int, now: float) -> str | None:
        """Return who may still hold the rights of a shard that moves here."""
        if self._mint.get_fraction(shard, now) >= _MOVED_FRACTION:
            return None
        return self._former_homes[shard] if self._former_homes else None

    def _choose_homes(self, now: float) -> None:
        if now < self._choose_homes_at:
            return
        self._choose_homes_at = now + timing.CHOOSE_HOMES_S
        names = {*self.get_heard()} - self._leaving
        if not self._is_leaving or not names:
            names.add(self._name)
        candidates = shards.choose_candidates(names)
        if candidates != self._candidates:
            self._candidates = candidates
            self._homes = shards.choose_homes(candidates)
            self._shards_by_home = shards.list_shards_by_home(self._homes)
            others = tuple(n for n in candidates if n != self._name)
            self._former_homes = shards.choose_homes(others) if others else ()
            self._homes_since = now

    def _ask_rights(self, now: float) -> None:
        interval = timing.compute_ask_interval(self._members)
        self._ask_rights_at = now + interval
        if self._is_leaving or self._name not in self._shards_by_home:
            return
        question = messages.AskRights(
            asked_ms=int(now * timing.MS_PER_S), nonce=self._incarnation
        )
        self._send_all(question)

    def _lend(self, name: str, now: float) -> None:
        wanted = self._shards_by_home.get(name, ())
        loan = self._lending.lend(name, wanted, now)
        if loan is not None:
            self.send_to(name, loan)

    def _take_loan(
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
        holding = mint.Holding(
            1.0 / loan.members, asked + timing.shorten(loan_s)
        )
        self._borrow(name, shards.unpack(loan.shards), holding, now)

    def _borrow(
        self,
        name: str,
        lent: frozenset[int],
        holding: mint.Holding,
        now: float,
    ) -> None:
        for shard in self._borrowed_by_name.get(name, frozenset()) - lent:
            self._mint.release(shard, name, now)
        for shard in lent:
            self._mint.hold(shard, name, holding, now)
        self._borrowed_by_name[name] = lent

    def _answer(
        self, peer: link_base.Peer, message: messages.AskTokens, now: float
    ) -> None:
        for back in message.returns:
            self._mint.take_back(back.bucket, back.grant, back.unspent, now)
        if not message.asks:
            return
        grants = tuple(self._grant(ask, now) for ask in message.asks)
        peer.send(
            messages.GrantTokens(
                request=message.request,
                ttl_ms=int(timing.GRANT_S * timing.MS_PER_S),
                grants=grants,
            )
        )

    def _grant(
        self, ask: messages.TokenRequest, now: float
    ) -> messages.TokenGrant:
        if self._is_leaving:
            given = mint.Given(0, 0.0, timing.GIVE_BACK_POLL_S)
        else:
            given = self._mint.grant(ask.bucket, ask.needed, ask.prefetch, now)
        wait_ms = 0
        if given.tokens < ask.needed:
            wait_s = min(given.wait_s, timing.RETRY_UNKNOWN_S)
            wait_ms = 1 + int(wait_s * timing.MS_PER_S)
        return messages.TokenGrant(
            ask.bucket, given.grant, given.tokens, wait_ms
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
        share: What it may use at first: None for everything, as the only
            process; `lending.Share()` for nothing until `set_share`.
        clock: Returns seconds on a clock that never stops or goes back.
    """
    return Limiter(name, incarnation, share or lending.Share(1), clock)


def _first_number(incarnation: int) -> int:
    digest = xxhash.xxh32_intdigest(str(incarnation).encode())
    return digest << _NUMBER_BITS


def _is_ours(peer: link_base.Peer) -> bool:
    return peer.hello.service == "entry" and peer.hello.lane == "control"
