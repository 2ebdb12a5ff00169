"""Keeps an instance's lease and registers it as able to own slots."""

from collections.abc import Callable
from typing import Final

from returns import result

from eelgrassgate.jobs import keys
from eelgrassgate.jobs import records
from eelgrassgate.jobs import runtimes
from eelgrassgate.jobs import store_calls
from eelgrassgate.store import base

LEASE_S: Final = 6.0
RENEWALS_PER_LEASE: Final = 3.0
MAX_OFFLINE_S: Final = 300.0


class Membership:
    """An instance's lease and its registration as a member.

    Attributes:
        instance: The instance's name.
        incarnation: Random id, new for each lease.
        lease: Id of the current lease, 0 for none.
    """

    def __init__(
        self,
        store: base.Store,
        instance: str,
        runtime: runtimes.Runtime,
        on_lost: Callable[[], None],
        lease_s: float,
    ) -> None:
        """Create a membership; see `create_membership`."""
        self._store = store
        self._runtime = runtime
        self._on_lost = on_lost
        self._lease_s = lease_s
        self._ttl_s = lease_s
        self._last_renewed = 0.0
        self._last_failed = float("-inf")
        self.instance = instance
        self.incarnation = ""
        self.lease = 0
        self._is_leaving = False

    def can_start_work(self) -> bool:
        """Return whether work may start under this lease.

        True until the lease may have expired by the local clock. While calls
        to the store keep failing, no other instance can take over either, so
        work may start for up to `MAX_OFFLINE_S` since the last renewal. After
        a suspension of this process that outlasted the lease, no work starts
        until a call to the store has returned.
        """
        if not self.lease:
            return False
        now = self._runtime.now()
        if now < self._last_renewed + self._ttl_s:
            return True
        is_failing = now < self._last_failed + self._ttl_s
        return is_failing and now < self._last_renewed + MAX_OFFLINE_S

    async def run(self) -> None:
        """Keep a lease until cancelled; acquire a new one if it is lost."""
        failures = 0
        while not self._is_leaving:
            if await self._acquire_lease():
                failures = 0
                await self._renew_lease()
                self.lease = 0
                self._on_lost()
            else:
                failures += 1
            delay = store_calls.compute_backoff(failures)
            await self._runtime.sleep(self._runtime.add_jitter(delay))

    async def deregister(self) -> None:
        """Remove this member, so that others claim the slots it releases."""
        self._is_leaving = True
        delete = base.Delete(keys.format_member(self.instance))
        # If the call fails, the key expires later with the lease.
        await self._store.commit(base.Transaction((), (delete,)))

    async def leave(self) -> None:
        """Revoke the lease, which deletes all keys bound to it."""
        self._is_leaving = True
        lease = self.lease
        self.lease = 0
        if lease:
            await self._store.revoke_lease(lease)

    async def _acquire_lease(self) -> bool:
        sent = self._runtime.now()
        granted = await self._store.grant_lease(self._lease_s)
        if not isinstance(granted, result.Success):
            return False
        lease = granted.unwrap()
        self._ttl_s = lease.ttl_s
        self._last_renewed = sent
        self.incarnation = self._runtime.make_id()
        member = records.Member(self.instance, self.incarnation)
        write = base.Write(
            keys.format_member(self.instance),
            records.encode(member),
            lease.lease,
        )
        # Writing the same value again is harmless, so it has no precondition.
        answer = await self._store.commit(base.Transaction((), (write,)))
        if not isinstance(answer, result.Success):
            await self._store.revoke_lease(lease.lease)
            return False
        self.lease = lease.lease
        return True

    async def _renew_lease(self) -> None:
        """Renew the lease until it is lost or revoked."""
        while self.lease:
            await self._runtime.sleep(self._ttl_s / RENEWALS_PER_LEASE)
            if not self.lease:
                return
            sent = self._runtime.now()
            answer = await self._store.renew_lease(self.lease)
            if not isinstance(answer, result.Success):
                self._last_failed = self._runtime.now()
                continue
            if answer.unwrap() is None:
                return
            self._last_renewed = sent


def create_membership(
    store: base.Store,
    instance: str,
    runtime: runtimes.Runtime,
    on_lost: Callable[[], None],
    lease_s: float = LEASE_S,
) -> Membership:
    """Create a membership.

    Args:
        store: The store.
        instance: The instance's name.
        runtime: Clock, sleep and randomness.
        on_lost: Called when the lease is lost.
        lease_s: The lease's time to live in seconds.
    """
    return Membership(store, instance, runtime, on_lost, lease_s)
