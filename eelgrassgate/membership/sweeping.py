"""Removes members that can't be using their rights any more."""

from collections.abc import Callable
import math
import random
from typing import Any
from typing import Final

import eliot

from eelgrassgate.limits import timing
from eelgrassgate.membership import promises
from eelgrassgate.membership import registry as registry_lib
from eelgrassgate.membership import roster as roster_lib

TIMES_PER_TTL: Final = 8.0

_LOG: Final[Any] = eliot.log_message


class Sweeper:
    """Watches for lapsed registrations and removes members in time."""

    def __init__(
        self,
        own: roster_lib.Member,
        registry: registry_lib.Registry,
        given: promises.Promises,
        clock: Callable[[], float],
        rights_ttl_s: float,
    ) -> None:
        """Create a sweeper that keeps the promises that were `given`."""
        self._own = own
        self._registry = registry
        self._promises = given
        self._clock = clock
        self._ttl_s = rights_ttl_s
        self._absent_by_member: dict[tuple[str, int], float] = {}
        self._removing: dict[str, int] = {}
        self._sweep_at = -math.inf
        self._random = random.Random(own.incarnation)

    def is_removing(self, name: str, revision: int) -> bool:
        """Tell whether a removal may still take effect.

        So it may, after a lost reply, as long as the roster has the revision
        at which it was asked for.
        """
        return self._removing.get(name, -1) >= revision

    async def sweep(self, seen: registry_lib.Seen) -> registry_lib.Seen | None:
        """Remove at most one lapsed member, if it is time to look.

        Returns:
            The roster without it; None if nothing was changed.
        """
        now = self._clock()
        if now < self._sweep_at:
            return None
        interval = self._ttl_s / TIMES_PER_TTL
        self._sweep_at = now + interval * self._random.uniform(0.75, 1.25)
        registered = await self._registry.list_registered()
        if registered is None:
            return None
        self._note_absent(seen.roster, registered)
        for member in seen.roster.members:
            if self._may_remove(seen.roster, member):
                self._sweep_at = now
                return await self._remove(seen, member)
        return None

    def _note_absent(
        self, roster: roster_lib.Roster, registered: frozenset[str]
    ) -> None:
        now = self._clock()
        absent = (
            (member.name, member.generation)
            for member in roster.members
            if member.name not in registered
        )
        self._absent_by_member = {
            key: self._absent_by_member.get(key, now) for key in absent
        }

    def _may_remove(
        self, roster: roster_lib.Roster, member: roster_lib.Member
    ) -> bool:
        """Tell whether a member can't be using its right any more.

        Only an active member may remove another active one, since only those
        are asked for promises; but anyone may remove the only active one.
        """
        now = self._clock()
        key = (member.name, member.generation)
        absent_since = self._absent_by_member.get(key)
        if absent_since is None or member.name == self._own.name:
            return False
        if self._promises.is_bound(member.name, now):
            return False
        if not member.is_active:
            return True
        own = roster.find(self._own.name)
        is_only = roster.list_active() == (member,)
        if not is_only and not (own and own.is_active):
            return False
        return now >= absent_since + timing.lengthen_for_drift(self._ttl_s)

    async def _remove(
        self, seen: registry_lib.Seen, member: roster_lib.Member
    ) -> registry_lib.Seen | None:
        self._removing[member.name] = seen.revision
        after = await self._registry.remove_lapsed(seen, member.name)
        if after is not None:
            _LOG("membership:removed", name=member.name)
        return after
