"""Chooses the endpoint for a request, and says how long it would wait."""

from collections.abc import Callable
from collections.abc import Iterator
from collections.abc import Mapping
import contextlib
import random
from typing import Final

import msgspec

from eelgrassgate import deadlines
from eelgrassgate import outcomes
from eelgrassgate.gateway import catalog
from eelgrassgate.peering import failures as failures_lib
from eelgrassgate.peering import loads

# Costs in seconds of waiting. Another zone costs paid bytes and about 3 ms,
# another region scarce bandwidth and 60 ms.
OTHER_ZONE_S: Final = 0.015
OTHER_REGION_S: Final = 0.1
# An endpoint at work on more requests makes each token a little slower.
FULL_ENDPOINT_S: Final = 0.02
# Reports are late, so equal endpoints are told apart by chance.
JITTER_S: Final = 0.004
# A request that fails is worth nothing, as is one that waits for so long; a few
# failures in a hundred weigh as much as another zone.
FAILURE_S: Final = 1.0
# An endpoint that fails more of its runs gets no batch items, which can wait
# for another.
FAILING_PART: Final = 0.25
# Seconds that a request holds a slot, before any has been seen.
FIRST_HOLD_S: Final = 0.5
HOLD_SMOOTHING: Final = 0.05
# An endpoint with work in hand that has said nothing for so long is avoided.
# Streams give an event each few tens of milliseconds, plain calls take at most
# some 300 ms.
SUSPECT_S: Final = 0.5
# An endpoint that failed is not tried again for so long, twice as long each
# time until a request succeeds there.
FIRST_REST_S: Final = 0.5
LAST_REST_S: Final = 4.0


class Choice(msgspec.Struct, frozen=True):
    """An endpoint and how long in seconds a request would wait there."""

    endpoint: catalog.Endpoint
    wait_s: float


class _Rest(msgspec.Struct):
    """How long an endpoint that failed is left alone."""

    until: float
    seconds: float


class Placement:
    """Knows endpoints, their zones and how they did lately."""

    def __init__(
        self,
        table: loads.Loads,
        failures: failures_lib.Failures,
        zone: str,
        region_by_zone: Mapping[str, str],
        clock: Callable[[], float],
    ) -> None:
        """Create without endpoints; see `create_placement`."""
        self._loads = table
        self._failures = failures
        self._zone = zone
        self._region_by_zone = region_by_zone
        self._clock = clock
        self._endpoints_by_service: dict[str, list[catalog.Endpoint]] = {}
        self._rests_by_endpoint: dict[str, _Rest] = {}
        self._hold_s_by_service: dict[str, float] = {}
        self._pending_by_endpoint: dict[str, int] = {}
        self._heard_by_endpoint: dict[str, float] = {}

    def set_endpoints(self, endpoints: Mapping[str, catalog.Endpoint]) -> None:
        """Take the endpoints that live; those that drain get no new work."""
        by_service: dict[str, list[catalog.Endpoint]] = {}
        for endpoint in endpoints.values():
            if not endpoint.is_draining:
                by_service.setdefault(endpoint.service, []).append(endpoint)
        self._endpoints_by_service = by_service
        for name in list(self._rests_by_endpoint):
            if name not in endpoints:
                del self._rests_by_endpoint[name]
        self._failures.keep(endpoints)

    def get_endpoints(self, service: str) -> list[catalog.Endpoint]:
        """Return the endpoints of a service that take new work."""
        return self._endpoints_by_service.get(service, [])

    def is_resting(self, endpoint: str) -> bool:
        """Tell whether an endpoint has failed lately or has gone silent."""
        now = self._clock()
        rest = self._rests_by_endpoint.get(endpoint)
        if rest is not None and now < rest.until:
            return True
        heard = self._heard_by_endpoint.get(endpoint, now)
        return now > heard + SUSPECT_S

    @contextlib.contextmanager
    def listen(self, endpoint: str) -> Iterator[Callable[[], None]]:
        """Expect bytes of an endpoint; call what is given at each.

        While any request is in hand there, silence makes it suspect.
        """
        pending = self._pending_by_endpoint.get(endpoint, 0)
        self._pending_by_endpoint[endpoint] = pending + 1
        if not pending:
            self._heard_by_endpoint[endpoint] = self._clock()

        def note_heard() -> None:
            self._heard_by_endpoint[endpoint] = self._clock()

        try:
            yield note_heard
        finally:
            left = self._pending_by_endpoint[endpoint] - 1
            self._pending_by_endpoint[endpoint] = left
            if not left:
                del self._pending_by_endpoint[endpoint]
                del self._heard_by_endpoint[endpoint]

    def choose(
        self, service: str, avoid: frozenset[str] = frozenset()
    ) -> Choice | None:
        """Return the endpoint where a request is served soonest."""
        best: catalog.Endpoint | None = None
        best_cost = 0.0
        for endpoint in self.get_endpoints(service):
            if endpoint.id in avoid:
                continue
            cost = self._estimate_cost(endpoint)
            if best is None or cost < best_cost:
                best, best_cost = endpoint, cost
        if best is None:
            return None
        return Choice(best, self.estimate_wait(best))

    def _estimate_cost(self, endpoint: catalog.Endpoint) -> float:
        used = self._loads.get(endpoint.id) / endpoint.slots
        cost = self.estimate_wait(endpoint) + used * FULL_ENDPOINT_S
        cost += self.estimate_distance(endpoint.zone)
        cost += self._failures.get_part(endpoint.id) * FAILURE_S
        cost += random.random() * JITTER_S
        if self.is_resting(endpoint.id):
            cost += LAST_REST_S
        return cost

    def is_failing(self, endpoint: str) -> bool:
        """Tell whether an endpoint fails too many of its runs."""
        return self._failures.get_part(endpoint) > FAILING_PART

    def estimate_distance(self, zone: str) -> float:
        """Return what sending work to `zone` costs, in seconds."""
        if zone == self._zone:
            return 0.0
        region = self._region_by_zone.get(zone)
        if region == self._region_by_zone.get(self._zone):
            return OTHER_ZONE_S
        return OTHER_REGION_S

    def estimate_wait(self, endpoint: catalog.Endpoint) -> float:
        """Return how long a new online request would wait for a slot.

        Batch items count as gone, since they give way at once.
        """
        online = self._loads.get_of(endpoint.id, outcomes.RequestClass.ONLINE)
        ahead = online + 1 - endpoint.slots
        if ahead <= 0:
            return 0.0
        hold_s = self._hold_s_by_service.get(endpoint.service, FIRST_HOLD_S)
        return ahead * hold_s / endpoint.slots

    def note_success(
        self, endpoint: catalog.Endpoint, held_s: float | None = None
    ) -> None:
        """Note that an endpoint answered whole.

        Args:
            endpoint: The endpoint.
            held_s: How long an online request held its slot, in seconds.
        """
        self._failures.note(endpoint.id, has_failed=False)
        self._rests_by_endpoint.pop(endpoint.id, None)
        if held_s is None:
            return
        known = self._hold_s_by_service.get(endpoint.service, FIRST_HOLD_S)
        self._hold_s_by_service[endpoint.service] = known + HOLD_SMOOTHING * (
            held_s - known
        )

    def note_refusal(self, endpoint: catalog.Endpoint) -> None:
        """Note that an endpoint failed, refused or never answered a run.

        It is chosen less often, but not left alone: it serves others, or the
        fault may lie with the request.
        """
        self._failures.note(endpoint.id, has_failed=True)

    def note_failure(self, endpoint: catalog.Endpoint) -> None:
        """Note that an endpoint could not be reached or fell silent."""
        self._failures.note(endpoint.id, has_failed=True)
        now = self._clock()
        rest = self._rests_by_endpoint.get(endpoint.id)
        if rest is None:
            rest = _Rest(now + FIRST_REST_S, FIRST_REST_S)
            self._rests_by_endpoint[endpoint.id] = rest
        elif now >= rest.until:
            rest.seconds = min(LAST_REST_S, 2.0 * rest.seconds)
            rest.until = now + rest.seconds


def create_placement(
    table: loads.Loads,
    failures: failures_lib.Failures,
    zone: str,
    region_by_zone: Mapping[str, str],
    clock: Callable[[], float] = deadlines.now,
) -> Placement:
    """Create a placement.

    Args:
        table: What endpoints have in hand.
        failures: How often endpoints fail.
        zone: Where this process runs.
        region_by_zone: The region of each zone.
        clock: Returns seconds on a monotonic clock.
    """
    return Placement(table, failures, zone, region_by_zone, clock)
