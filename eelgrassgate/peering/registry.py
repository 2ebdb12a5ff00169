"""Registers this process under a lease in the store and discovers peers."""

from collections.abc import Callable
import enum
from typing import Final

import anyio
import msgspec
from returns import result

from eelgrassgate import addresses
from eelgrassgate import deadlines
from eelgrassgate import decoding
from eelgrassgate import logs
from eelgrassgate.store import base
from eelgrassgate.store import mirror

MEMBERS_PREFIX: Final = "eelgrassgate/members/"

RETRY_INTERVAL_S: Final = 0.3


class Role(enum.Enum):
    """Role of a process."""

    GATEWAY = "gateway"
    BATCH = "batch"


class LeaseTerms(msgspec.Struct, frozen=True):
    """How long a lease lives and how often it is renewed, in seconds.

    Each renewal is a billed call. Three of them may fail before the lease
    expires.
    """

    ttl_s: float
    renew_interval_s: float


# Other processes take over the jobs of a dead batch process once its lease has
# expired. Nothing is taken over from a gateway; whether it lives is known from
# its reports.
LEASE_TERMS_BY_ROLE: Final = {
    Role.GATEWAY: LeaseTerms(6.0, 1.8),
    Role.BATCH: LeaseTerms(3.0, 0.9),
}


class Member(msgspec.Struct, frozen=True):
    """A registered process.

    Attributes:
        name: Name of its instance.
        role: Role of the process.
        zone: Availability zone of its instance.
        region: Region of the availability zone.
        address: `host:port` on which it receives reports.
        relay_address: `host:port` on which it relays store calls.
        incarnation: Identifies one start of the process.
    """

    name: str
    role: Role
    zone: str
    region: str
    address: str
    relay_address: str
    incarnation: int


_MEMBER_DECODER: Final = msgspec.json.Decoder(Member)


class Registration:
    """Keeps this process's lease and its entry alive.

    Attributes:
        lease: Id of the lease; 0 without one.
        valid_until: Monotonic time before which the lease can't expire.
    """

    def __init__(self, store: base.Store, member: Member) -> None:
        """Initialize without a lease; see `create_registration`."""
        self._store = store
        self._member = member
        self._terms = LEASE_TERMS_BY_ROLE[member.role]
        self._is_deregistered = False
        self.lease = 0
        self.valid_until = 0.0

    def is_valid(self) -> bool:
        """Return whether the lease has certainly not expired."""
        return bool(self.lease) and not deadlines.is_past(self.valid_until)

    async def run(self) -> None:
        """Keep a lease until cancelled."""
        while True:
            has_lease = await (
                self._renew() if self.lease else self._register()
            )
            await anyio.sleep(
                self._terms.renew_interval_s if has_lease else RETRY_INTERVAL_S
            )

    async def deregister(self) -> None:
        """Revoke the lease, so that other processes take over at once."""
        self._is_deregistered = True
        lease, self.lease = self.lease, 0
        if lease:
            await self._store.revoke_lease(lease)

    async def _register(self) -> bool:
        if self._is_deregistered:
            return True
        requested_at = deadlines.now()
        granted = await self._store.grant_lease(self._terms.ttl_s)
        if isinstance(granted, result.Failure):
            return False
        lease = granted.unwrap()
        entry = base.Write(
            f"{MEMBERS_PREFIX}{self._member.name}",
            msgspec.json.encode(self._member),
            lease.lease,
        )
        written = await self._store.commit(base.Transaction((), (entry,)))
        if isinstance(written, result.Failure):
            return False
        self.lease = lease.lease
        self.valid_until = requested_at + lease.ttl_s
        logs.log_message("lease:granted", lease=lease.lease)
        return True

    async def _renew(self) -> bool:
        requested_at = deadlines.now()
        kept = await self._store.renew_lease(self.lease)
        if isinstance(kept, result.Failure):
            return False
        lease = kept.unwrap()
        if lease is None:
            logs.log_message("lease:expired", lease=self.lease)
            self.lease = 0
            return False
        self.valid_until = requested_at + lease.ttl_s
        return True


class Directory:
    """Registered processes, and live ones whose entry has expired."""

    def __init__(self, members_mirror: mirror.Mirror) -> None:
        """Follow `members_mirror`; see `create_directory`."""
        self.members_by_name: dict[str, Member] = {}
        self._expired_names: set[str] = set()
        members_mirror.subscribe(self._apply)

    def _apply(self, changes: tuple[base.Change, ...]) -> None:
        for change in changes:
            name = change.key.removeprefix(MEMBERS_PREFIX)
            if change.value is None:
                self._expired_names.add(name)
                continue
            try:
                member = _decode_member(name, change.value)
            except msgspec.MsgspecError as error:
                logs.log_message("member:invalid", name=name, reason=str(error))
                continue
            self.members_by_name[name] = member
            self._expired_names.discard(name)

    def remove_expired(self, is_alive: Callable[[str], bool]) -> None:
        """Remove processes whose entry has expired and that are not alive.

        Leases of live processes may expire while the store is unreachable.
        Removing them then would raise this process's share of all rates.
        """
        for name in list(self._expired_names):
            if not is_alive(name):
                self._expired_names.discard(name)
                if self.members_by_name.pop(name, None):
                    logs.log_message("member:removed", name=name)

    def get_names(self, role: Role) -> frozenset[str]:
        """Return the names of the processes of one role."""
        return frozenset(
            name
            for name, member in self.members_by_name.items()
            if member.role is role
        )


def _decode_member(name: str, value: bytes) -> Member:
    """Decode an entry.

    Raises:
        msgspec.MsgspecError: The entry is malformed or names no process to
            which reports can be sent.
    """
    member = decoding.decode(_MEMBER_DECODER, value)
    if member.name != name:
        raise msgspec.ValidationError("the name differs from the key")
    # Sending a datagram to a name would block on resolving it.
    if not addresses.is_ipv4(member.address):
        raise msgspec.ValidationError("invalid address")
    if not addresses.is_valid(member.relay_address):
        raise msgspec.ValidationError("invalid relay address")
    return member


def create_registration(store: base.Store, member: Member) -> Registration:
    """Create the registration of `member`."""
    return Registration(store, member)


def create_directory(members_mirror: mirror.Mirror) -> Directory:
    """Create a directory from a mirror of `MEMBERS_PREFIX`."""
    return Directory(members_mirror)
