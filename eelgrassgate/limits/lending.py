"""Lends this process's own share to the homes of shards.

For each shard the share has one user at a time: this process, or the home that
borrows it until the loan expires by this process's clock.
"""

import math
from typing import Final

import msgspec

from eelgrassgate import messages
from eelgrassgate.limits import shards
from eelgrassgate.limits import timing
from eelgrassgate.limits import token_buckets

SELF: Final = ""


class Borrower(msgspec.Struct, frozen=True):
    """One incarnation of an instance that borrows shares."""

    name: str
    nonce: int


class Share(msgspec.Struct, frozen=True):
    """This process's own share, to use or to lend.

    Attributes:
        members: The share is `1 / members` of every rate; 0 for no share.
        usable_from: The instant from which it may be used.
        expires_at: The instant from which it must no longer be used.
    """

    members: int = 0
    usable_from: float = 0.0
    expires_at: float = float("inf")


class _BorrowRequest(msgspec.Struct, frozen=True):
    borrower: Borrower
    asked_ms: int
    received_at: float


class _Loan(msgspec.Struct, frozen=True):
    borrower: Borrower
    expires_at: float


class Lender:
    """Uses or lends this process's share, shard by shard."""

    def __init__(self, buckets: token_buckets.TokenBuckets) -> None:
        """Create a lender without a share."""
        self._buckets = buckets
        self._share = Share()
        self._loans_by_shard: dict[int, _Loan] = {}
        self._requests_by_name: dict[str, _BorrowRequest] = {}
        self._borrower_names: set[str] = set()
        self._unlent_shards = set(range(timing.SHARD_COUNT))
        self._check_at = -math.inf

    def set_share(self, share: Share, now: float) -> None:
        """Replace the share that this process may use or lend."""
        self._share = share
        for shard in self._unlent_shards:
            self._use_locally(shard, now)
        self._check_at = min(self._check_at, max(now, share.usable_from))

    def get_user(self, shard: int, now: float) -> str:
        """Return the borrower of a shard, or `SELF` if it is not lent."""
        loan = self._loans_by_shard.get(shard)
        return loan.borrower.name if loan and loan.expires_at > now else SELF

    def record_borrow_request(
        self, name: str, request: messages.AskRights, now: float
    ) -> None:
        """Record a home's request to borrow shares."""
        borrower = Borrower(name, request.nonce)
        borrow_request = _BorrowRequest(borrower, request.asked_ms, now)
        self._requests_by_name[name] = borrow_request

    def drop_borrow_request(self, name: str) -> None:
        """Drop a home's request after its connection is lost."""
        self._requests_by_name.pop(name, None)

    def record_return(self, borrower: Borrower) -> None:
        """End all loans to a borrower that has stopped using them."""
        self._loans_by_shard = {
            shard: loan
            for shard, loan in self._loans_by_shard.items()
            if loan.borrower != borrower
        }
        self._requests_by_name.pop(borrower.name, None)
        self._check_at = -math.inf

    def reclaim_expired_loans(self, now: float) -> None:
        """End expired loans and use the share here for all unlent shards.

        The share is also used here for a shard that its home has not asked for.
        """
        if now < self._check_at:
            return
        for shard, loan in tuple(self._loans_by_shard.items()):
            if loan.expires_at <= now:
                del self._loans_by_shard[shard]
        self._unlent_shards = set(range(timing.SHARD_COUNT)) - set(
            self._loans_by_shard
        )
        for shard in self._unlent_shards:
            self._use_locally(shard, now)
        self._check_at = min(
            (loan.expires_at for loan in self._loans_by_shard.values()),
            default=math.inf,
        )
        if now < self._share.usable_from:
            self._check_at = min(self._check_at, self._share.usable_from)

    def lend(
        self, name: str, wanted: tuple[int, ...], now: float
    ) -> messages.LendRights | None:
        """Lend a home the shards that it asked for and may borrow.

        Args:
            name: The home's name.
            wanted: The shards of this home, as seen by this process.
            now: The current time, read before the message is sent.

        Returns:
            The message to send. None if the request or the share is not
            usable, or if neither this message nor the last one lends a shard.
        """
        request = self._requests_by_name.get(name)
        if request is None or not self._is_usable(now):
            return None
        loan_s = min(
            timing.compute_loan(self._share.members),
            self._share.expires_at - now,
        )
        if now + loan_s <= request.received_at + timing.GRANT_TTL_S:
            return None
        lent = frozenset(
            shard
            for shard in wanted
            if self._can_lend(shard, request.borrower, now)
        )
        if not lent and name not in self._borrower_names:
            return None
        for shard in lent:
            self._buckets.release_share(shard, SELF, now)
            loan = _Loan(request.borrower, now + loan_s)
            self._loans_by_shard[shard] = loan
            self._check_at = min(self._check_at, loan.expires_at)
        self._unlent_shards -= lent
        self._borrower_names.discard(name)
        if lent:
            self._borrower_names.add(name)
        return messages.LendRights(
            asked_ms=request.asked_ms,
            nonce=request.borrower.nonce,
            loan_ms=int(loan_s * timing.MS_PER_S),
            members=self._share.members,
            shards=shards.pack(lent),
        )

    def find_waiting(
        self, homes: tuple[str, ...], now: float
    ) -> frozenset[str]:
        """Return the homes whose recent requests can now be met."""
        if not self._is_usable(now):
            return frozenset()
        oldest = now - timing.compute_loan_request_interval(self._share.members)
        return frozenset(
            homes[shard]
            for shard in self._unlent_shards
            if self._is_waiting(homes[shard], shard, oldest, now)
        )

    def _is_waiting(
        self, home: str, shard: int, oldest: float, now: float
    ) -> bool:
        request = self._requests_by_name.get(home)
        if request is None or request.received_at < oldest:
            return False
        return self._can_lend(shard, request.borrower, now)

    def _is_usable(self, now: float) -> bool:
        share = self._share
        return (
            bool(share.members) and share.usable_from <= now < share.expires_at
        )

    def _can_lend(self, shard: int, borrower: Borrower, now: float) -> bool:
        loan = self._loans_by_shard.get(shard)
        if loan and loan.expires_at > now:
            return loan.borrower == borrower
        return self._buckets.get_grants_expiry(shard) <= now

    def _use_locally(self, shard: int, now: float) -> None:
        if not self._is_usable(now):
            self._buckets.release_share(shard, SELF, now)
            return
        fraction = 1.0 / self._share.members
        active = token_buckets.ActiveShare(fraction, self._share.expires_at)
        self._buckets.activate_share(shard, SELF, active, now)
