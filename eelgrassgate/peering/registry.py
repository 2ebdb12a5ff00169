"""Registers this process in the store under a lease, and finds the others."""

from collections.abc import Callable
import enum
from typing import Final

import anyio
import msgspec
from returns import result

from eelgrassgate import deadlines
from eelgrassgate import logs
from eelgrassgate.store import base
from eelgrassgate.store import mirror

MEMBERS: Final = "eelgrassgate/members/"

# A successor takes over a dead process's work this long after its last
# renewal; three renewals may fail first.
LEASE_S: Final = 3.0
RENEW_S: Final = 0.9
RETRY_S: Final = 0.3


class Role(enum.Enum):
    """What a process does."""

    GATEWAY = "gateway"
    BATCH = "batch"


class Member(msgspec.Struct, frozen=True):
    """One process.

    Attributes:
        name: Its instance's name.
        role: What it does.
        zone: Where it runs.
        region: The region of its zone.
        address: `host:port` where it takes reports.
        relay_address: `host:port` where it passes store calls on.
        incarnation: New at each start.
    """

    name: str
    role: Role
    zone: str
    region: str
    address: str
    relay_address: str
    incarnation: int


class Registration:
    """Keeps this process's lease and its entry.

    Attributes:
        lease: The lease, 0 without one.
        valid_until: Instant until which the store can't have ended it.
    """

    def __init__(self, store: base.Store, member: Member) -> None:
        """Create without a lease; see `create_registration`."""
        self._store = store
        self._member = member
        self._is_leaving = False
        self.lease = 0
        self.valid_until = 0.0

    def is_valid(self) -> bool:
        """Tell whether the lease has certainly not ended."""
        return bool(self.lease) and not deadlines.is_past(self.valid_until)

    async def run(self) -> None:
        """Hold a lease until cancelled."""
        while True:
            is_held = await (self._renew() if self.lease else self._register())
            await anyio.sleep(RENEW_S if is_held else RETRY_S)

    async def leave(self) -> None:
        """End the lease, so that others take over at once."""
        self._is_leaving = True
        lease, self.lease = self.lease, 0
        if lease:
            await self._store.revoke_lease(lease)

    async def _register(self) -> bool:
        if self._is_leaving:
            return True
        asked = deadlines.now()
        granted = await self._store.grant_lease(LEASE_S)
        if isinstance(granted, result.Failure):
            return False
        lease = granted.unwrap()
        entry = base.Write(
            f"{MEMBERS}{self._member.name}",
            msgspec.json.encode(self._member),
            lease.lease,
        )
        written = await self._store.commit(base.Transaction((), (entry,)))
        if isinstance(written, result.Failure):
            return False
        self.lease = lease.lease
        self.valid_until = asked + lease.ttl_s
        logs.log_message("lease:granted", lease=lease.lease)
        return True

    async def _renew(self) -> bool:
        asked = deadlines.now()
        kept = await self._store.keep_lease(self.lease)
        if isinstance(kept, result.Failure):
            return False
        lease = kept.unwrap()
        if lease is None:
            logs.log_message("lease:lost", lease=self.lease)
            self.lease = 0
            return False
        self.valid_until = asked + lease.ttl_s
        return True


class Directory:
    """The processes that the store knows, or knew and that are still heard."""

    def __init__(self, watched: mirror.Mirror) -> None:
        """Follow `watched`; see `create_directory`."""
        self.members_by_name: dict[str, Member] = {}
        self._lapsed: set[str] = set()
        watched.subscribe(self._take)

    def _take(self, changes: tuple[base.Change, ...]) -> None:
        for change in changes:
            name = change.key.removeprefix(MEMBERS)
            if change.value is None:
                self._lapsed.add(name)
                continue
            try:
                member = msgspec.json.decode(change.value, type=Member)
            except msgspec.MsgspecError as error:
                logs.log_message(
                    "member:unreadable", name=name, reason=str(error)
                )
                continue
            self.members_by_name[name] = member
            self._lapsed.discard(name)

    def drop_lapsed(self, is_heard: Callable[[str], bool]) -> None:
        """Forget processes whose entry is gone and that are not heard.

        Leases may end while the store is away though their holders live; who
        forgot them then would take their parts of all rates.
        """
        for name in list(self._lapsed):
            if not is_heard(name):
                self._lapsed.discard(name)
                if self.members_by_name.pop(name, None):
                    logs.log_message("member:gone", name=name)

    def get_names(self, role: Role) -> frozenset[str]:
        """Return the names of the processes of one role."""
        return frozenset(
            name
            for name, member in self.members_by_name.items()
            if member.role is role
        )


def create_registration(store: base.Store, member: Member) -> Registration:
    """Create the registration of this process."""
    return Registration(store, member)


def create_directory(watched: mirror.Mirror) -> Directory:
    """Create a directory over a mirror of `MEMBERS`."""
    return Directory(watched)
