"""Admits requests by the memory that their bodies take."""

from collections.abc import Callable
import random
from typing import Final

from eelgrassgate import deadlines
from eelgrassgate import memory_budget
from eelgrassgate.gateway import load_shedding
from eelgrassgate.http1 import downstream

UNAVAILABLE: Final = 503
# What a request takes beside its body: its parsed head, tasks and buffers.
REQUEST_BYTES: Final = 32_768
# Memory per byte of a body: itself, pieces of it that are read or sent, and one
# copy for all when it is whole.
BODY_FACTOR: Final = 1.4
# Callers give up on an instance that hasn't read their request after a second.
MAX_WAIT_S: Final = 0.5
# Requests that wait for memory hold what the kernel has received of them.
MAX_WAITING: Final = 64

FindHolder = Callable[[downstream.RequestHead], str]
WriteHeaders = Callable[[float], downstream.Headers]


class _RequestAccount:
    """The memory of one request."""

    def __init__(
        self, admission: "BodyAdmission", account: memory_budget.Account
    ) -> None:
        """Initialize; see `BodyAdmission.open`."""
        self._admission = admission
        self._account = account
        self._opened_at = deadlines.now()

    async def reserve(self, size: int) -> downstream.Refusal | None:
        """Reserve memory for `size` more bytes of the body."""
        charge = int(size * BODY_FACTOR)
        if not self._account.held_bytes:
            charge += REQUEST_BYTES
        if await self._admission.charge(self._account, charge):
            return None
        return self._admission.write_refusal(charge)

    def release_body(self) -> None:
        """Give back the memory of the body."""
        self._admission.record_release(self._account, self._opened_at)
        self._account.shrink(self._account.held_bytes - REQUEST_BYTES)

    def close(self) -> None:
        """Give back all memory of the request."""
        self._admission.record_release(self._account, self._opened_at)
        self._account.close()


class BodyAdmission:
    """Admits requests while a budget has room for their bodies."""

    def __init__(
        self,
        budget: memory_budget.Budget,
        kind: memory_budget.Kind,
        find_holder: FindHolder,
        write_headers: WriteHeaders,
    ) -> None:
        """Initialize; see `create_body_admission`."""
        self._budget = budget
        self._kind = kind
        self._find_holder = find_holder
        self._write_headers = write_headers
        self._returns = load_shedding.MemoryReturns()

    def open(self, head: downstream.RequestHead) -> downstream.RequestAccount:
        """Open the account of a request whose head was read."""
        account = self._budget.open(self._kind, self._find_holder(head))
        return _RequestAccount(self, account)

    async def charge(self, account: memory_budget.Account, size: int) -> bool:
        """Charge an account, waiting a short time while memory is short."""
        if account.held_bytes + size > memory_budget.SMALL_BYTES and (
            self._budget.count_waiting() >= MAX_WAITING
        ):
            return account.try_grow(size)
        return await account.grow(size, deadlines.after(MAX_WAIT_S))

    def record_release(
        self, account: memory_budget.Account, opened_at: float
    ) -> None:
        """Learn from an account that gives memory back."""
        if account.held_bytes > memory_budget.SMALL_BYTES:
            self._returns.record_hold(deadlines.now() - opened_at)

    def write_refusal(self, size: int) -> downstream.Refusal:
        """Refuse a request that takes `size` bytes; it has not run."""
        retry_after_s = self._returns.compute_delay(
            size / self._budget.limit_bytes, deadlines.now(), random.random
        )
        return downstream.Refusal(
            UNAVAILABLE, self._write_headers(retry_after_s), "memory"
        )


def create_body_admission(
    budget: memory_budget.Budget,
    kind: memory_budget.Kind,
    find_holder: FindHolder,
    write_headers: WriteHeaders,
) -> BodyAdmission:
    """Create the admission of a listener's requests.

    Args:
        budget: The budget of the process.
        kind: What the requests' memory counts as.
        find_holder: Returns whose request it is by its head; empty if unknown.
        write_headers: Writes the headers of a refusal with a retry delay.
    """
    return BodyAdmission(budget, kind, find_holder, write_headers)
