"""Turns at work that takes memory, one of which is always possible."""

from collections.abc import AsyncIterator
import contextlib
from typing import Final

import anyio
import msgspec

from eelgrassgate import deadlines
from eelgrassgate import memory_budget

# Bytes held for each byte of a submission while it is accepted, besides its
# body: the encoded items, and the store's request twice, as it is built and as
# it is sent.
WORKING_FACTOR: Final = 3
# Bytes that a decoded header takes besides its text.
FIELD_BYTES: Final = 150
# Working memory of a submission of the largest size that callers may send.
SUBMISSION_RESERVE_BYTES: Final = 4_194_304 * WORKING_FACTOR + 500_000
# Bound on the reserve as a share of the budget.
MAX_RESERVE_SHARE: Final = 0.1
# Share of the time left that work may wait; the rest is for doing it, or for a
# caller to try elsewhere.
MAX_WAIT_SHARE: Final = 0.5


class _Grant(msgspec.Struct):
    """What large work has been granted.

    Attributes:
        account: The account of the work.
        size: Its working memory in bytes.
        has_reserve: Whether it uses the reserve.
    """

    account: memory_budget.Account
    size: int
    has_reserve: bool = False

    def is_granted(self) -> bool:
        """Return whether the work may begin."""
        return self.has_reserve or self.account.held_bytes >= self.size


class Admission:
    """Admits work while the process has memory for it.

    Large work is admitted in order of arrival. A part of the budget is set
    aside for one piece of it, as what others hold that wait may take all the
    rest. Small work doesn't wait for large work.

    Attributes:
        budget: The memory budget of the process.
    """

    def __init__(
        self,
        budget: memory_budget.Budget,
        reserve_bytes: int,
        *,
        caches_give_way: bool,
    ) -> None:
        """Set the reserve aside; see `create_admission`."""
        self._caches_give_way = caches_give_way
        self.budget = budget
        reserve = budget.open(memory_budget.Kind.JOB)
        reserve.try_grow(
            min(reserve_bytes, int(budget.limit_bytes * MAX_RESERVE_SHARE))
        )
        self._reserve_bytes = reserve.held_bytes
        self._is_reserve_used = False
        self._reserve_released = anyio.Event()
        self._first_in_line = anyio.Lock()

    @contextlib.asynccontextmanager
    async def admit(
        self, workspace: str, size: int, deadline: float
    ) -> AsyncIterator[bool]:
        """Hold memory for work; yields whether there is enough.

        Args:
            workspace: The workspace that it is done for.
            size: Its working memory in bytes.
            deadline: Monotonic time by which it has to be done.
        """
        wait_s = deadlines.compute_remaining(deadline) * MAX_WAIT_SHARE
        with self.budget.open(memory_budget.Kind.JOB, workspace) as account:
            if not is_large(size):
                yield await account.grow(size, deadlines.after(wait_s))
                return
            grant = _Grant(account, size)
            try:
                with anyio.move_on_after(wait_s):
                    async with self._first_in_line:
                        await self._acquire(grant, deadlines.after(wait_s))
                yield grant.is_granted()
            finally:
                if grant.has_reserve:
                    self._release_reserve()

    async def _acquire(self, grant: _Grant, deadline: float) -> None:
        """Take the reserve, or charge the budget once it has room."""
        if self._try_take_reserve(grant):
            return
        if grant.account.try_keep(grant.size):
            return
        fits_reserve = grant.size <= self._reserve_bytes

        async def take_reserve() -> None:
            while not self._try_take_reserve(grant):
                await self._reserve_released.wait()
            tasks.cancel_scope.cancel()

        async with anyio.create_task_group() as tasks:
            if fits_reserve:
                tasks.start_soon(take_reserve)
            if self._caches_give_way or not fits_reserve:
                await grant.account.grow(grant.size, deadline)
                tasks.cancel_scope.cancel()

    def _try_take_reserve(self, grant: _Grant) -> bool:
        if self._is_reserve_used or grant.size > self._reserve_bytes:
            return False
        self._is_reserve_used = True
        grant.has_reserve = True
        return True

    def _release_reserve(self) -> None:
        self._is_reserve_used = False
        released, self._reserve_released = (
            self._reserve_released,
            anyio.Event(),
        )
        released.set()


def is_large(size: int) -> bool:
    """Return whether work that takes this memory waits in line."""
    return size > memory_budget.SMALL_BYTES


def measure_submission(body: bytes) -> int:
    """Return the working memory of a submission in bytes."""
    # Each header has a colon, and the base64 text of bodies has none.
    return WORKING_FACTOR * len(body) + FIELD_BYTES * body.count(b":")


def create_admission(
    budget: memory_budget.Budget,
    reserve_bytes: int,
    *,
    caches_give_way: bool = True,
) -> Admission:
    """Create the turns of one process.

    Args:
        budget: The memory budget of the process.
        reserve_bytes: Working memory of the largest work.
        caches_give_way: Whether caches give way for work that fits into the
            reserve, instead of a wait for it.
    """
    return Admission(budget, reserve_bytes, caches_give_way=caches_give_way)
