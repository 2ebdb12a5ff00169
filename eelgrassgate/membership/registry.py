"""The store's side of membership: the roster and registrations."""

from typing import Final

import msgspec
from returns import result

from eelgrassgate.membership import roster as roster_lib
from eelgrassgate.store import base

LEASE_S: Final = 60.0


class Seen(msgspec.Struct, frozen=True):
    """The roster as read or written, at the revision of its key."""

    roster: roster_lib.Roster
    revision: int


class Registry:
    """Reads and changes membership in the store.

    Attributes:
        lease: The lease of the own registration, 0 for none.
    """

    def __init__(self, store: base.Store) -> None:
        """Create a registry without a registration."""
        self._store = store
        self.lease = 0

    async def read(self) -> Seen | None:
        """Read the roster; None if the store does not answer."""
        answer = await self._store.read(roster_lib.ROSTER_KEY)
        if not isinstance(answer, result.Success):
            return None
        record = answer.unwrap()
        if record is None:
            return Seen(roster_lib.Roster(), 0)
        return Seen(roster_lib.decode(record.value), record.revision)

    async def register(self, own: roster_lib.Member) -> Seen | None:
        """Enter the roster together with a registration under a lease.

        After a lost reply it may be called again: it enters anew.

        Raises:
            roster_lib.NameTakenError: Another address holds the name.
        """
        granted = await self._store.grant_lease(LEASE_S)
        if not isinstance(granted, result.Success):
            return None
        lease = granted.unwrap().lease
        seen = await self.read()
        if seen is None:
            return None
        entered = roster_lib.enter(seen.roster, own)
        registration = base.Write(
            roster_lib.format_registration(own.name),
            str(own.incarnation).encode(),
            lease,
        )
        written = await self._write(seen, entered, (), (registration,))
        if written is None:
            await self._store.revoke_lease(lease)
            return None
        self.lease = lease
        return written

    async def renew(self) -> bool | None:
        """Renew the registration's lease.

        Returns:
            Whether it still stands; None if the store does not answer.
        """
        answer = await self._store.renew_lease(self.lease)
        if not isinstance(answer, result.Success):
            return None
        if answer.unwrap() is None:
            self.lease = 0
            return False
        return True

    async def withdraw(self) -> None:
        """End the registration's lease; without an answer it lapses."""
        lease, self.lease = self.lease, 0
        if lease:
            await self._store.revoke_lease(lease)

    async def list_registered(self) -> frozenset[str] | None:
        """Return the names that have a registration."""
        answer = await self._store.read_range(roster_lib.REGISTRATIONS)
        page = answer.value_or(None)
        if page is None:
            return None
        return frozenset(
            record.key.removeprefix(roster_lib.REGISTRATIONS)
            for record in page.records
        )

    async def activate(self, seen: Seen, name: str) -> Seen | None:
        """Make a joining member active if the roster is still as seen."""
        changed = roster_lib.activate(seen.roster, name)
        return await self._write(seen, changed, (), ())

    async def remove_lapsed(self, seen: Seen, name: str) -> Seen | None:
        """Remove a member if the roster is as seen and it is unregistered."""
        key = roster_lib.format_registration(name)
        changed = roster_lib.remove(seen.roster, name)
        return await self._write(
            seen, changed, (base.Precondition(key, 0),), ()
        )

    async def remove_self(self, seen: Seen, name: str) -> Seen | None:
        """Remove the own member together with its registration."""
        delete = base.Delete(roster_lib.format_registration(name))
        changed = roster_lib.remove(seen.roster, name)
        return await self._write(seen, changed, (), (delete,))

    async def _write(
        self,
        seen: Seen,
        changed: roster_lib.Roster,
        expects: tuple[base.Precondition, ...],
        changes: tuple[base.Write | base.Delete, ...],
    ) -> Seen | None:
        key = roster_lib.ROSTER_KEY
        answer = await self._store.commit(
            base.Transaction(
                (base.Precondition(key, seen.revision), *expects),
                (base.Write(key, roster_lib.encode(changed)), *changes),
            )
        )
        commit = answer.value_or(None)
        if commit is None or not commit.is_done:
            return None
        return Seen(changed, commit.revision)
