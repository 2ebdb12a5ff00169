"""Reads and writes of the roster and the registrations in the store."""

from typing import Final

import msgspec
from returns import result

from eelgrassgate.membership import roster as roster_lib
from eelgrassgate.store import base

LEASE_S: Final = 60.0


class RosterSnapshot(msgspec.Struct, frozen=True):
    """The roster and the revision of its key when read or written."""

    roster: roster_lib.Roster
    revision: int


class Registry:
    """Reads and changes membership in the store.

    Attributes:
        lease: The lease id of this process's registration; 0 for none.
    """

    def __init__(self, store: base.Store) -> None:
        """Create a registry without a registration."""
        self._store = store
        self.lease = 0

    async def read(self) -> RosterSnapshot | None:
        """Read the roster; return None if the store does not answer."""
        answer = await self._store.read(roster_lib.ROSTER_KEY)
        if not isinstance(answer, result.Success):
            return None
        record = answer.unwrap()
        if record is None:
            return RosterSnapshot(roster_lib.Roster(), 0)
        return RosterSnapshot(roster_lib.decode(record.value), record.revision)

    async def register(self, own: roster_lib.Member) -> RosterSnapshot | None:
        """Add a member to the roster and write its registration with a lease.

        After a lost reply it may be called again, which registers the member
        anew.

        Raises:
            roster_lib.NameTakenError: A member at another address has the
                name.
        """
        granted = await self._store.grant_lease(LEASE_S)
        if not isinstance(granted, result.Success):
            return None
        lease = granted.unwrap().lease
        snapshot = await self.read()
        if snapshot is None:
            return None
        changed = roster_lib.add_registration(snapshot.roster, own)
        registration = base.Write(
            roster_lib.format_registration(own.name),
            str(own.incarnation).encode(),
            lease,
        )
        written = await self._write(snapshot, changed, (), (registration,))
        if written is None:
            await self._store.revoke_lease(lease)
            return None
        self.lease = lease
        return written

    async def renew(self) -> bool | None:
        """Renew the registration's lease.

        Returns:
            Whether the lease still exists; None if the store does not answer.
        """
        answer = await self._store.renew_lease(self.lease)
        if not isinstance(answer, result.Success):
            return None
        if answer.unwrap() is None:
            self.lease = 0
            return False
        return True

    async def unregister(self) -> None:
        """Revoke the registration's lease; if that fails, it expires."""
        lease, self.lease = self.lease, 0
        if lease:
            await self._store.revoke_lease(lease)

    async def list_registered(self) -> frozenset[str] | None:
        """Return the registered names; None if the store does not answer."""
        answer = await self._store.read_range(roster_lib.REGISTRATIONS_PREFIX)
        page = answer.value_or(None)
        if page is None:
            return None
        return frozenset(
            record.key.removeprefix(roster_lib.REGISTRATIONS_PREFIX)
            for record in page.records
        )

    async def activate(
        self, snapshot: RosterSnapshot, name: str
    ) -> RosterSnapshot | None:
        """Activate a joining member if the roster is unchanged."""
        changed = roster_lib.activate(snapshot.roster, name)
        return await self._write(snapshot, changed, (), ())

    async def remove_unregistered(
        self, snapshot: RosterSnapshot, name: str
    ) -> RosterSnapshot | None:
        """Remove an unregistered member if the roster is unchanged."""
        key = roster_lib.format_registration(name)
        changed = roster_lib.remove(snapshot.roster, name)
        return await self._write(
            snapshot, changed, (base.Precondition(key, 0),), ()
        )

    async def remove_own(
        self, snapshot: RosterSnapshot, name: str
    ) -> RosterSnapshot | None:
        """Remove this process's member and its registration."""
        delete = base.Delete(roster_lib.format_registration(name))
        changed = roster_lib.remove(snapshot.roster, name)
        return await self._write(snapshot, changed, (), (delete,))

    async def _write(
        self,
        snapshot: RosterSnapshot,
        changed: roster_lib.Roster,
        preconditions: tuple[base.Precondition, ...],
        changes: tuple[base.Write | base.Delete, ...],
    ) -> RosterSnapshot | None:
        key = roster_lib.ROSTER_KEY
        answer = await self._store.commit(
            base.Transaction(
                (base.Precondition(key, snapshot.revision), *preconditions),
                (base.Write(key, roster_lib.encode(changed)), *changes),
            )
        )
        commit = answer.value_or(None)
        if commit is None or not commit.is_done:
            return None
        return RosterSnapshot(changed, commit.revision)
