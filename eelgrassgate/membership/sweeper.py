"""Removal of members that can no longer be using their shares."""

from collections.abc import Callable
import math
import random
from typing import Any
from typing import Final

import eliot

from eelgrassgate.limits import timing
from eelgrassgate.membership import confirmations
from eelgrassgate.membership import registry as registry_lib
from eelgrassgate.membership import roster as roster_lib

CHECKS_PER_TTL: Final = 8.0

_LOG: Final[Any] = eliot.log_message


class Sweeper:
    """Looks for expired registrations and removes their members."""

    def __init__(
        self,
        own: roster_lib.Member,
        registry: registry_lib.Registry,
        sent_confirmations: confirmations.Confirmations,
        clock: Callable[[], float],
        share_ttl_s: float,
    ) -> None:
        """Create a sweeper that honors `sent_confirmations`."""
        self._own = own
        self._registry = registry
        self._confirmations = sent_confirmations
        self._clock = clock
        self._ttl_s = share_ttl_s
        self._absent_since_by_member: dict[tuple[str, int], float] = {}
        self._removals_by_name: dict[str, int] = {}
        self._next_sweep_at = -math.inf
        self._random = random.Random(own.incarnation)

    def is_removing(self, name: str, revision: int) -> bool:
        """Return whether a member's removal may still take effect.

        If the store's reply was lost, the removal may still take effect while
        the roster is at the revision for which the removal was requested.
        """
        return self._removals_by_name.get(name, -1) >= revision

    async def sweep(
        self, snapshot: registry_lib.RosterSnapshot
    ) -> registry_lib.RosterSnapshot | None:
        """Remove at most one expired member, if a check is due.

        Returns:
            The roster after the removal; None if nothing changed.
        """
        now = self._clock()
        if now < self._next_sweep_at:
            return None
        interval = self._ttl_s / CHECKS_PER_TTL
        self._next_sweep_at = now + interval * self._random.uniform(0.75, 1.25)
        registered = await self._registry.list_registered()
        if registered is None:
            return None
        self._record_absent(snapshot.roster, registered)
        for member in snapshot.roster.members:
            if self._can_remove(snapshot.roster, member):
                self._next_sweep_at = now
                return await self._remove(snapshot, member)
        return None

    def _record_absent(
        self, roster: roster_lib.Roster, registered: frozenset[str]
    ) -> None:
        now = self._clock()
        absent = (
            (member.name, member.generation)
            for member in roster.members
            if member.name not in registered
        )
        self._absent_since_by_member = {
            key: self._absent_since_by_member.get(key, now) for key in absent
        }

    def _can_remove(
        self, roster: roster_lib.Roster, member: roster_lib.Member
    ) -> bool:
        """Return whether a member can no longer be using its share.

        Only an active member may remove another active one, because only
        active members are asked for confirmations. Any member may remove the
        only active one.
        """
        now = self._clock()
        key = (member.name, member.generation)
        absent_since = self._absent_since_by_member.get(key)
        if absent_since is None or member.name == self._own.name:
            return False
        if self._confirmations.has_confirmed(member.name, now):
            return False
        if not member.is_active:
            return True
        own = roster.find(self._own.name)
        is_only = roster.list_active() == (member,)
        if not is_only and not (own and own.is_active):
            return False
        return now >= absent_since + timing.lengthen_for_drift(self._ttl_s)

    async def _remove(
        self, snapshot: registry_lib.RosterSnapshot, member: roster_lib.Member
    ) -> registry_lib.RosterSnapshot | None:
        self._removals_by_name[member.name] = snapshot.revision
        after = await self._registry.remove_unregistered(snapshot, member.name)
        if after is not None:
            _LOG("membership:removed", name=member.name)
        return after
