"""Chooses among agents that could all serve a request.

A prefix is looked for first, by noted holders and then by rendezvous hashing,
as long as the agent's load is bounded. Else two agents are drawn by chance
and the less loaded one is taken, so that entries with the same late reports
do not all run to one agent.
"""

from collections.abc import Sequence
import math
import random
from typing import Final

import xxhash

from eelgrassgate import outcomes
from eelgrassgate.routing import base
from eelgrassgate.routing import candidates

LOAD_SLACK: Final = 1.25
KEY_DIGESTS: Final = 8
ZONE_RTT_S: Final = 0.002
DRAWN: Final = 2

_Candidates = Sequence[candidates.Candidate]


class Chooser:
    """Chooses within one region."""

    def __init__(self, zone: str, chance: random.Random) -> None:
        """Create a chooser for an entry in `zone`."""
        self._zone = zone
        self._chance = chance

    def choose(
        self,
        request: base.Request,
        found: _Candidates,
        depths_by_agent: dict[str, int],
    ) -> candidates.Candidate:
        """Choose one of `found`, which is not empty.

        Args:
            request: What is to be run.
            found: Agents that may run it.
            depths_by_agent: How many of the request's leading digests each
                agent likely holds.
        """
        if request.digests:
            chosen = self._choose_by_prefix(request, found, depths_by_agent)
            if chosen is not None:
                return chosen
        return self._choose_by_load(request.klass, found)

    def _choose_by_prefix(
        self,
        request: base.Request,
        found: _Candidates,
        depths_by_agent: dict[str, int],
    ) -> candidates.Candidate | None:
        """Return the best holder whose load is bounded."""
        limit = _Limit(request.klass, found)
        known = [one for one in found if one.agent in depths_by_agent]
        known.sort(
            key=lambda one: (
                -depths_by_agent[one.agent],
                one.zone != self._zone,
                one.estimate_load(request.klass) / one.window,
            )
        )
        for one in known:
            if limit.allows(one):
                return one
        key = request.model + request.digests[:KEY_DIGESTS][-1]
        ranked = sorted(
            found,
            key=lambda one: xxhash.xxh3_64_intdigest(
                (key + one.agent).encode()
            ),
            reverse=True,
        )
        return next((one for one in ranked if limit.allows(one)), None)

    def _choose_by_load(
        self, klass: outcomes.RequestClass, found: _Candidates
    ) -> candidates.Candidate:
        """Draw within the zone; leave it if the wait there is longer."""
        near = [one for one in found if one.zone == self._zone]
        far = [one for one in found if one.zone != self._zone]
        if not near:
            return self._draw(klass, far)
        best = self._draw(klass, near)
        wait_s = best.estimate_wait_s(klass)
        if far and wait_s > ZONE_RTT_S:
            other = self._draw(klass, far)
            if other.estimate_wait_s(klass) + ZONE_RTT_S < wait_s:
                return other
        return best

    def _draw(
        self, klass: outcomes.RequestClass, found: _Candidates
    ) -> candidates.Candidate:
        drawn = self._chance.sample(found, min(DRAWN, len(found)))
        return min(drawn, key=lambda one: one.estimate_load(klass) / one.window)


class _Limit:
    """Bounds an agent's load by its window, or its part of all load."""

    def __init__(
        self, klass: outcomes.RequestClass, found: _Candidates
    ) -> None:
        self._klass = klass
        load = sum(one.estimate_load(klass) for one in found) + 1
        window = sum(one.window for one in found)
        self._slope = LOAD_SLACK * load / window

    def allows(self, one: candidates.Candidate) -> bool:
        load = one.estimate_load(self._klass) + 1
        if load <= one.window:
            return True
        return load <= math.ceil(self._slope * one.window)
