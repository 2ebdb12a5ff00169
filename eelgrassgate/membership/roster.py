"""The roster: the record of all members that share the rate limits.

Every member has a share of `1 / len(members)` of each rate. Adding or removing
a member starts a new epoch.
"""

from typing import Final

import msgspec

from eelgrassgate import decoding

ROSTER_KEY: Final = "/eelgrassgate/members"
REGISTRATIONS_PREFIX: Final = "/eelgrassgate/registrations/"


class Member(msgspec.Struct, frozen=True):
    """An entry that has a share of the rate limits.

    Attributes:
        name: The instance's name.
        incarnation: A number that is new at each start of the instance.
        address: The link address. Only one process can be bound to it, so an
            incarnation that registers with it replaces the earlier one.
        zone: The instance's zone.
        region: The instance's region.
        since: The epoch in which the member was added.
        generation: A number that is new at each registration, also of the
            same incarnation.
        is_active: Whether the member may use its share. A joining member
            waits until every active member has settled the epoch `since`.
    """

    name: str
    incarnation: int
    address: str
    zone: str
    region: str
    since: int = 0
    generation: int = 0
    is_active: bool = False


class Roster(msgspec.Struct, frozen=True):
    """All members in an epoch."""

    epoch: int = 0
    members: tuple[Member, ...] = ()

    def find(self, name: str) -> Member | None:
        """Return the member called `name`, if any."""
        return next((m for m in self.members if m.name == name), None)

    def list_active(self) -> tuple[Member, ...]:
        """Return the members that may use their shares."""
        return tuple(member for member in self.members if member.is_active)

    def list_joining(self) -> frozenset[str]:
        """Return the names of the members that are not active yet."""
        return frozenset(m.name for m in self.members if not m.is_active)


class NameTakenError(Exception):
    """A member at another address has the name and must be removed first."""


_DECODER: Final = msgspec.json.Decoder(Roster)


def encode(roster: Roster) -> bytes:
    """Encode a roster."""
    return msgspec.json.encode(roster)


def decode(value: bytes) -> Roster:
    """Decode a roster.

    Raises:
        msgspec.DecodeError: The value is not a roster.
    """
    return decoding.decode(_DECODER, value)


def format_registration(name: str) -> str:
    """Return the key of a member's registration."""
    return REGISTRATIONS_PREFIX + name


def add_registration(roster: Roster, own: Member) -> Roster:
    """Return `roster` with a new registration of `own`.

    A member of the same name and address passes on its share and its state. A
    new name joins, and is active at once if no other member is.

    Raises:
        NameTakenError: A member at another address has the name.
    """
    earlier = roster.find(own.name)
    if earlier is None:
        epoch = roster.epoch + 1
        is_first = not roster.list_active()
        added = msgspec.structs.replace(
            own, since=epoch, generation=epoch, is_active=is_first
        )
        return Roster(epoch, (*roster.members, added))
    if earlier.address != own.address:
        raise NameTakenError(own.name)
    renewed = msgspec.structs.replace(
        own,
        since=earlier.since,
        generation=earlier.generation + 1,
        is_active=earlier.is_active,
    )
    return _replace(roster, renewed)


def activate(roster: Roster, name: str) -> Roster:
    """Return `roster` with a joining member activated."""
    member = roster.find(name)
    if member is None:
        return roster
    return _replace(roster, msgspec.structs.replace(member, is_active=True))


def remove(roster: Roster, name: str) -> Roster:
    """Return `roster` without a member, in a new epoch."""
    members = tuple(m for m in roster.members if m.name != name)
    return Roster(roster.epoch + 1, members)


def _replace(roster: Roster, member: Member) -> Roster:
    members = tuple(
        member if other.name == member.name else other
        for other in roster.members
    )
    return Roster(roster.epoch, members)
