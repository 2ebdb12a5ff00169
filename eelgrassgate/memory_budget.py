"""Memory budget of a process.

Whatever callers, endpoints or peers make a process hold is charged to an
account of the budget before it is held. A process that is short of memory waits
or refuses; it never takes more than its settings allow.
"""

from collections import deque
from collections.abc import Callable
import enum
from types import TracebackType
from typing import Final
from typing import Self

import anyio

from eelgrassgate import deadlines
from eelgrassgate import logs

BYTES_PER_MB: Final = 1_000_000
# Resident memory without any account: the process at rest, connections with
# part of a head, and what the kernel has received of those that aren't read.
BASE_BYTES: Final = 100 * BYTES_PER_MB
# A budget is never smaller than this share of the memory.
MIN_BUDGET_SHARE: Final = 0.25
# Accounts up to this size are small: a request with a body of a few kB.
SMALL_BYTES: Final = 65_536
# Share of the budget that only small accounts may use.
SMALL_RESERVE_SHARE: Final = 0.2
# Share of the budget that the large accounts of one holder may use together.
MAX_HOLDER_SHARE: Final = 0.5


class Kind(enum.Enum):
    """What an account is charged for."""

    REQUEST = "request"
    RESPONSE = "response"
    JOB = "job"
    RESULT = "result"
    PEER = "peer"


class Account:
    """The charges of one request, job or response; closing gives them back.

    Attributes:
        kind: What is held.
        holder: Whose it is, for example a workspace; empty if unknown. Large
            accounts of unknown holders count together as one holder.
        held_bytes: Number of bytes charged.
    """

    def __init__(self, budget: "Budget", kind: Kind, holder: str) -> None:
        """Create an empty account; see `Budget.open`."""
        self._budget = budget
        self.kind = kind
        self.holder = holder
        self.held_bytes = 0
        self.is_closed = False

    def try_grow(self, size: int) -> bool:
        """Charge `size` bytes if the budget has them; else charge nothing."""
        return self._budget.try_charge(self, size)

    def try_keep(self, size: int) -> bool:
        """Charge something that can be dropped again, if there is room.

        Nothing gives way for it, and it counts as no refusal if there is none.
        """
        return self._budget.try_keep(self, size)

    async def grow(self, size: int, deadline: float) -> bool:
        """Charge `size` bytes, waiting until `deadline` while memory is short.

        Returns:
            Whether they were charged.
        """
        return await self._budget.charge(self, size, deadline)

    def shrink(self, size: int) -> None:
        """Give back `size` bytes, at most all that are charged."""
        self._budget.give_back(self, min(size, self.held_bytes))

    def close(self) -> None:
        """Give back all bytes; the account can't be charged any more."""
        self.is_closed = True
        self.shrink(self.held_bytes)

    def __enter__(self) -> Self:
        """Return the account, to be closed on exit."""
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """Close the account."""
        self.close()


class _Waiter:
    """A charge that waits for memory."""

    def __init__(self, account: Account, size: int) -> None:
        """Create a waiter that is not charged."""
        self.account = account
        self.size = size
        self.charged = anyio.Event()


class Budget:
    """Decides what a process may hold.

    Attributes:
        limit_bytes: Maximum of all charges together.
        held_bytes: Sum of all charges.
        held_bytes_by_kind: Charges by kind.
        refused_by_kind: Number of charges that were not granted, by kind.
    """

    def __init__(self, limit_bytes: int) -> None:
        """Create an empty budget; see `create_budget`."""
        self.limit_bytes = limit_bytes
        self.held_bytes = 0
        self.held_bytes_by_kind = dict.fromkeys(Kind, 0)
        self.refused_by_kind = dict.fromkeys(Kind, 0)
        self._large_bytes = 0
        self._large_bytes_by_holder: dict[str, int] = {}
        self._waiters: deque[_Waiter] = deque()
        self._evictors: list[Callable[[], bool]] = []
        self._is_short = False

    def open(self, kind: Kind, holder: str = "") -> Account:
        """Open an account; close it on every way out."""
        return Account(self, kind, holder)

    def add_cache(self, evict: Callable[[], bool]) -> None:
        """Let a cache give way when the process has no room for a charge.

        Args:
            evict: Drops one entry and gives back its charge; returns whether
                there was one.
        """
        self._evictors.append(evict)

    def can_ever_hold(self, size: int) -> bool:
        """Return whether an account of this size fits an empty budget."""
        if size <= SMALL_BYTES:
            return size <= self.limit_bytes
        return size <= self.limit_bytes * MAX_HOLDER_SHARE

    def count_waiting(self) -> int:
        """Return the number of charges that wait for memory."""
        return len(self._waiters)

    def try_charge(self, account: Account, size: int) -> bool:
        """Charge an account at once, or not at all; see `Account.try_grow`."""
        if self._make_room(account, size):
            self._apply(account, size)
            return True
        self._refuse(account, size)
        return False

    def try_keep(self, account: Account, size: int) -> bool:
        """Charge an account for a cache; see `Account.try_keep`."""
        if self._is_awaited() or not self._can_charge(account, size):
            return False
        self._apply(account, size)
        return True

    async def charge(
        self, account: Account, size: int, deadline: float
    ) -> bool:
        """Charge an account, waiting for memory; see `Account.grow`.

        Waiting charges are granted in order, except that small accounts don't
        wait for large ones.
        """
        is_new_and_large = not account.held_bytes and size > SMALL_BYTES
        must_queue = is_new_and_large and bool(self._waiters)
        if not must_queue and self._make_room(account, size):
            self._apply(account, size)
            return True
        if not self.can_ever_hold(account.held_bytes + size):
            self._refuse(account, size)
            return False
        waiter = _Waiter(account, size)
        self._waiters.append(waiter)
        # Those before it may wait for room of their holders only.
        self._grant_waiting()
        if not waiter.charged.is_set():
            self._report_shortage(account, size)
        try:
            with anyio.move_on_after(deadlines.compute_remaining(deadline)):
                await waiter.charged.wait()
                return True
        finally:
            if not waiter.charged.is_set():
                self._waiters.remove(waiter)
                self._grant_waiting()
        if waiter.charged.is_set():
            return True
        self._refuse(account, size)
        return False

    def give_back(self, account: Account, size: int) -> None:
        """Reduce the charges of an account; see `Account.shrink`."""
        if not size:
            return
        self._apply(account, -size)
        if self._waiters:
            self._grant_waiting()
        if self._is_short and not self._waiters:
            self._is_short = False
            logs.log_message("memory:sufficient", held_bytes=self.held_bytes)

    def _is_awaited(self) -> bool:
        """Return whether a charge waits for room of the whole process."""
        return any(
            not self._has_room(waiter.account, waiter.size)
            for waiter in self._waiters
        )

    def _make_room(self, account: Account, size: int) -> bool:
        """Return whether a charge fits, after caches have given way."""
        if not self.can_ever_hold(account.held_bytes + size):
            return False
        while not self._has_room(account, size):
            if not any(evict() for evict in self._evictors):
                break
        return self._can_charge(account, size)

    def _can_charge(self, account: Account, size: int) -> bool:
        return (
            not account.is_closed
            and self._has_room(account, size)
            and self._has_holder_room(account, size)
        )

    def _has_room(self, account: Account, size: int) -> bool:
        """Return whether the whole process has room for a charge."""
        if self.held_bytes + size > self.limit_bytes:
            return False
        large_limit = self.limit_bytes * (1.0 - SMALL_RESERVE_SHARE)
        added = _count_added(account, size)
        return not added or self._large_bytes + added <= large_limit

    def _has_holder_room(self, account: Account, size: int) -> bool:
        """Return whether the holder of an account may take a charge."""
        added = _count_added(account, size)
        held = self._large_bytes_by_holder.get(account.holder, 0)
        return not added or held + added <= self.limit_bytes * MAX_HOLDER_SHARE

    def _apply(self, account: Account, change: int) -> None:
        """Change the charges of an account and all sums over accounts."""
        before = _count_large(account.held_bytes)
        account.held_bytes += change
        self.held_bytes += change
        self.held_bytes_by_kind[account.kind] += change
        large_change = _count_large(account.held_bytes) - before
        self._large_bytes += large_change
        held = self._large_bytes_by_holder.get(account.holder, 0) + large_change
        if held:
            self._large_bytes_by_holder[account.holder] = held
        else:
            self._large_bytes_by_holder.pop(account.holder, None)

    def _grant_waiting(self) -> None:
        """Grant waiting charges in order of arrival.

        A large account that the process has no room for holds up all large ones
        behind it; one that its holder has no room for, only those of its
        holder.
        """
        is_blocked = False
        blocked_holders: set[str] = set()
        for waiter in list(self._waiters):
            account = waiter.account
            if _count_added(account, waiter.size) and (
                is_blocked or account.holder in blocked_holders
            ):
                continue
            if not self._can_charge(account, waiter.size):
                is_blocked |= not self._has_room(account, waiter.size)
                blocked_holders.add(account.holder)
                continue
            self._waiters.remove(waiter)
            self._apply(waiter.account, waiter.size)
            waiter.charged.set()

    def _refuse(self, account: Account, size: int) -> None:
        self.refused_by_kind[account.kind] += 1
        self._report_shortage(account, size)

    def _report_shortage(self, account: Account, size: int) -> None:
        if self._is_short:
            return
        self._is_short = True
        logs.log_message(
            "memory:short",
            held_for=account.kind.value,
            holder=account.holder,
            wanted_bytes=size,
            held_bytes=self.held_bytes,
            limit_bytes=self.limit_bytes,
        )


def _count_large(size: int) -> int:
    return size if size > SMALL_BYTES else 0


def _count_added(account: Account, size: int) -> int:
    """Return by how much a charge increases the sum of large accounts.

    All of an account counts as large once it exceeds the small size.
    """
    before = _count_large(account.held_bytes)
    return _count_large(account.held_bytes + size) - before


def create_budget(memory_bytes: int) -> Budget:
    """Create the budget of a process.

    Args:
        memory_bytes: Resident memory that the process may take in all.
    """
    left = max(memory_bytes - BASE_BYTES, int(memory_bytes * MIN_BUDGET_SHARE))
    return Budget(left)
