"""Keeps an instance's lease and shows it as able to own slots."""

from collections.abc import Callable
from typing import Final

from returns import result

from eelgrassgate.jobs import calls
from eelgrassgate.jobs import keys
from eelgrassgate.jobs import records
from eelgrassgate.jobs import runtimes
from eelgrassgate.store import base

LEASE_S: Final = 6.0
RENEWALS_PER_LEASE: Final = 3.0
OFFLINE_S: Final = 300.0


class Membership:
    """An instance's lease.

    Attributes:
        instance: The instance's name.
        incarnation: New at each lease.
        lease: The lease in force, 0 for none.
    """

    def __init__(
        self,
        store: base.Store,
        instance: str,
        runtime: runtimes.Runtime,
        lose: Callable[[], None],
        lease_s: float,
    ) -> None:
        """Create a membership; see `create_membership`."""
        self._store = store
        self._runtime = runtime
        self._lose = lose
        self._lease_s = lease_s
        self._ttl_s = lease_s
        self._confirmed = 0.0
        self._failed = float("-inf")
        self.instance = instance
        self.incarnation = ""
        self.lease = 0
        self._is_leaving = False

    def may_start_work(self) -> bool:
        """Tell whether work may start under this lease.

        So it is until the lease could have lapsed as seen from here. While
        the store does not answer nobody can take over either, and work goes
        on for `OFFLINE_S`. After a pause both are false until the store has
        answered again.
        """
        if not self.lease:
            return False
        now = self._runtime.now()
        if now < self._confirmed + self._ttl_s:
            return True
        is_failing = now < self._failed + self._ttl_s
        return is_failing and now < self._confirmed + OFFLINE_S

    async def run(self) -> None:
        """Hold a lease until cancelled; join again whenever it is lost."""
        failures = 0
        while not self._is_leaving:
            if await self._join():
                failures = 0
                await self._keep()
                self.lease = 0
                self._lose()
            else:
                failures += 1
            delay = calls.get_delay(failures)
            await self._runtime.sleep(self._runtime.spread(delay))

    async def hide(self) -> None:
        """Tell the others to claim no less than if this one were gone."""
        self._is_leaving = True
        delete = base.Delete(keys.format_member(self.instance))
        # Without an answer the lease's end tells them later.
        await self._store.commit(base.Transaction((), (delete,)))

    async def leave(self) -> None:
        """Give the lease back and all that is bound to it."""
        self._is_leaving = True
        lease = self.lease
        self.lease = 0
        if lease:
            await self._store.revoke_lease(lease)

    async def _join(self) -> bool:
        sent = self._runtime.now()
        granted = await self._store.grant_lease(self._lease_s)
        if not isinstance(granted, result.Success):
            return False
        lease = granted.unwrap()
        self._ttl_s = lease.ttl_s
        self._confirmed = sent
        self.incarnation = self._runtime.make_id()
        member = records.Member(self.instance, self.incarnation)
        write = base.Write(
            keys.format_member(self.instance),
            records.encode(member),
            lease.lease,
        )
        # Sent again after a lost reply it writes the same, so needs no check.
        answer = await self._store.commit(base.Transaction((), (write,)))
        if not isinstance(answer, result.Success):
            await self._store.revoke_lease(lease.lease)
            return False
        self.lease = lease.lease
        return True

    async def _keep(self) -> None:
        """Renew the lease until it is lost or given back."""
        while self.lease:
            await self._runtime.sleep(self._ttl_s / RENEWALS_PER_LEASE)
            if not self.lease:
                return
            sent = self._runtime.now()
            answer = await self._store.renew_lease(self.lease)
            if not isinstance(answer, result.Success):
                self._failed = self._runtime.now()
                continue
            if answer.unwrap() is None:
                return
            self._confirmed = sent


def create_membership(
    store: base.Store,
    instance: str,
    runtime: runtimes.Runtime,
    lose: Callable[[], None],
    lease_s: float = LEASE_S,
) -> Membership:
    """Create a membership.

    Args:
        store: The store.
        instance: The instance's name.
        runtime: Clock, sleep and randomness.
        lose: Called when the lease is lost.
        lease_s: The lease's time to live in seconds.
    """
    return Membership(store, instance, runtime, lose, lease_s)
