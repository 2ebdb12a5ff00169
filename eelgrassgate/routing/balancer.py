"""Load balancing among the agents that can serve a request.

Requests with a prompt prefix go to an agent that likely has the prefix cached,
or else to one chosen by rendezvous hashing, as long as that agent's load is
bounded. Other requests go to the less loaded of two random agents, so that
entries with the same late reports do not all choose the same agent.
"""

from collections.abc import Sequence
import math
import random
from typing import Final

import xxhash

from eelgrassgate import outcomes
from eelgrassgate.routing import base
from eelgrassgate.routing import candidates

LOAD_FACTOR: Final = 1.25
MAX_KEY_DIGESTS: Final = 8
ZONE_RTT_S: Final = 0.002
SAMPLE_SIZE: Final = 2

_Candidates = Sequence[candidates.Candidate]


class Balancer:
    """Chooses an agent within one region."""

    def __init__(self, zone: str, rng: random.Random) -> None:
        """Create a balancer for an entry in `zone`."""
        self._zone = zone
        self._rng = rng

    def choose(
        self,
        request: base.Request,
        found: _Candidates,
        depths_by_agent: dict[str, int],
    ) -> candidates.Candidate:
        """Choose one of `found`, which is not empty.

        Args:
            request: The request.
            found: The agents that can serve it.
            depths_by_agent: The number of the request's leading digests that
                each agent likely has cached.
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
        """Return the best agent for the prefix whose load is bounded."""
        limit = _LoadLimit(request.klass, found)
        cached = [
            candidate
            for candidate in found
            if candidate.agent in depths_by_agent
        ]
        cached.sort(
            key=lambda candidate: (
                -depths_by_agent[candidate.agent],
                candidate.zone != self._zone,
                candidate.estimate_load(request.klass) / candidate.window,
            )
        )
        for candidate in cached:
            if limit.has_capacity(candidate):
                return candidate
        key = request.model + request.digests[:MAX_KEY_DIGESTS][-1]
        ranked = sorted(
            found,
            key=lambda candidate: xxhash.xxh3_64_intdigest(
                (key + candidate.agent).encode()
            ),
            reverse=True,
        )
        return next(
            (
                candidate
                for candidate in ranked
                if limit.has_capacity(candidate)
            ),
            None,
        )

    def _choose_by_load(
        self, klass: outcomes.RequestClass, found: _Candidates
    ) -> candidates.Candidate:
        """Sample within the zone; use other zones only for a shorter wait."""
        local = [
            candidate for candidate in found if candidate.zone == self._zone
        ]
        remote = [
            candidate for candidate in found if candidate.zone != self._zone
        ]
        if not local:
            return self._sample(klass, remote)
        best = self._sample(klass, local)
        wait_s = best.estimate_wait_s(klass)
        if remote and wait_s > ZONE_RTT_S:
            alternative = self._sample(klass, remote)
            if alternative.estimate_wait_s(klass) + ZONE_RTT_S < wait_s:
                return alternative
        return best

    def _sample(
        self, klass: outcomes.RequestClass, found: _Candidates
    ) -> candidates.Candidate:
        sampled = self._rng.sample(found, min(SAMPLE_SIZE, len(found)))
        return min(
            sampled,
            key=lambda candidate: (
                candidate.estimate_load(klass) / candidate.window
            ),
        )


class _LoadLimit:
    """Bounds an agent's load.

    The bound is the agent's window or, if larger, `LOAD_FACTOR` times the
    total load divided in proportion to the windows.
    """

    def __init__(
        self, klass: outcomes.RequestClass, found: _Candidates
    ) -> None:
        self._klass = klass
        load = sum(candidate.estimate_load(klass) for candidate in found) + 1
        window = sum(candidate.window for candidate in found)
        self._max_load_ratio = LOAD_FACTOR * load / window

    def has_capacity(self, candidate: candidates.Candidate) -> bool:
        load = candidate.estimate_load(self._klass) + 1
        if load <= candidate.window:
            return True
        return load <= math.ceil(self._max_load_ratio * candidate.window)
