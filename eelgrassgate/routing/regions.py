"""Choice between agents of the entry's region and of other regions."""

from collections.abc import Sequence
import random
from typing import Final

from returns import result

from eelgrassgate import outcomes
from eelgrassgate import settings
from eelgrassgate.config import fleet
from eelgrassgate.routing import balancer
from eelgrassgate.routing import base
from eelgrassgate.routing import budget
from eelgrassgate.routing import candidates

REGION_RTT_S: Final = 0.06
REMOTE_WAIT_FACTOR: Final = 1.2

_Candidates = Sequence[candidates.Candidate]


class RegionSelector:
    """Uses another region only for a shorter wait, within the link budget."""

    def __init__(
        self,
        place: settings.Place,
        rng: random.Random,
        counter: base.Counter,
        now: float,
    ) -> None:
        """Create a selector for an entry that does not share the link."""
        self._region = place.region
        self._counter = counter
        self._balancer = balancer.Balancer(place.zone, rng)
        self._link_settings = (fleet.Link(), 1)
        self._link = budget.LinkBudget(*self._link_settings, now)

    def configure(self, link: fleet.Link, entries: int, now: float) -> None:
        """Set the link's limits and the number of entries that share it."""
        if (link, entries) == self._link_settings:
            return
        self._link_settings = (link, entries)
        self._link = budget.LinkBudget(link, entries, now)

    def is_remote(self, candidate: candidates.Candidate) -> bool:
        """Return whether an agent is in another region."""
        return candidate.region != self._region

    def choose(
        self,
        request: base.Request,
        usable: _Candidates,
        depths_by_agent: dict[str, int],
        now: float,
    ) -> result.Result[candidates.Candidate, outcomes.Refusal]:
        """Choose one of `usable`, which is not empty."""
        local = [
            candidate for candidate in usable if not self.is_remote(candidate)
        ]
        remote = [
            candidate for candidate in usable if self.is_remote(candidate)
        ]
        link_wait_s = self._link.compute_wait_s(request.klass, now)
        if not local:
            if link_wait_s > 0.0:
                self._counter.count("link_denied")
                return refuse(
                    "The bandwidth budget to the other region is exhausted.",
                    link_wait_s,
                )
            chosen = self._balancer.choose(request, remote, depths_by_agent)
            return result.Success(chosen)
        chosen = self._balancer.choose(request, local, depths_by_agent)
        wait_s = chosen.estimate_wait_s(request.klass)
        if not remote or wait_s <= REGION_RTT_S:
            return result.Success(chosen)
        other = self._balancer.choose(request, remote, depths_by_agent)
        remote_s = self._estimate_remote_s(request, other)
        if wait_s <= REMOTE_WAIT_FACTOR * remote_s:
            return result.Success(chosen)
        if link_wait_s > 0.0:
            self._counter.count("link_denied")
            return result.Success(chosen)
        return result.Success(other)

    def charge_link(self, request: base.Request) -> None:
        """Charge the expected bytes of an attempt to the link's budget."""
        self._counter.count("crossings")
        self._link.take(
            request.klass, request.request_bytes, request.response_bytes
        )

    def correct_link_charge(
        self, request: base.Request, outcome: base.Outcome
    ) -> None:
        """Correct the budget by the bytes that were really transferred."""
        outbound, inbound = request.request_bytes, request.response_bytes
        if outcome.request_bytes is not None:
            outbound = outcome.request_bytes
        if outcome.response_bytes is not None:
            inbound = outcome.response_bytes
        self._link.take(
            request.klass,
            outbound - request.request_bytes,
            inbound - request.response_bytes,
        )
        self._counter.count("link_bytes", amount=outbound + inbound)

    def _estimate_remote_s(
        self, request: base.Request, other: candidates.Candidate
    ) -> float:
        size = request.request_bytes + request.response_bytes
        transfer_s = size / self._link.bytes_per_s
        wait_s = other.estimate_wait_s(request.klass)
        return REGION_RTT_S + transfer_s + wait_s


def refuse(
    message: str, retry_after_s: float
) -> result.Result[candidates.Candidate, outcomes.Refusal]:
    """Return an `OVERLOADED` refusal."""
    return result.Failure(
        outcomes.refuse(outcomes.Code.OVERLOADED, message, retry_after_s)
    )
