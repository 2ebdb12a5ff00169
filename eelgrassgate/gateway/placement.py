"""Load balancing: chooses endpoints and estimates the wait for a slot."""

from collections.abc import Callable
from collections.abc import Iterator
from collections.abc import Mapping
import contextlib
import random
from typing import Final

import msgspec

from eelgrassgate import deadlines
from eelgrassgate import outcomes
from eelgrassgate.capacity import estimator as estimator_lib
from eelgrassgate.capacity import observer
from eelgrassgate.gateway import catalog
from eelgrassgate.gateway import draining as draining_lib
from eelgrassgate.gateway import eligibility
from eelgrassgate.gateway import endpoint_limits as endpoint_limits_lib
from eelgrassgate.peering import failures as failures_lib
from eelgrassgate.peering import loads

# Costs are expressed in seconds of waiting. Traffic to another zone is billed
# and adds about 3 ms; traffic to another region uses scarce bandwidth and adds
# 60 ms.
OTHER_ZONE_COST_S: Final = 0.015
OTHER_REGION_COST_S: Final = 0.1
# Token generation slows down slightly as an endpoint fills up.
FULL_ENDPOINT_COST_S: Final = 0.02
# Load reports are delayed, so ties between endpoints are broken at random.
MAX_JITTER_S: Final = 0.004
# Part of the difference in the first event that counts as a cost. A slower
# endpoint still meets the objective; with the full difference all processes
# prefer the same fast endpoints, and more requests queue there and are late.
DIFFERENCE_WEIGHT: Final = 0.25
# A failed request is worth as little as one that waits this long; a failure
# rate of a few percent costs as much as another zone.
FAILURE_COST_S: Final = 1.0
# Endpoints with a higher failure rate get no batch items, which can wait for
# another endpoint.
MAX_BATCH_FAILURE_RATE: Final = 0.25
# Assumed time that a request occupies a slot until one has been measured.
INITIAL_REQUEST_DURATION_S: Final = 0.5
DURATION_SMOOTHING: Final = 0.05
# An endpoint with requests in flight that sends no data for this long is
# avoided. Streams emit an event every few tens of milliseconds, and plain calls
# take at most about 300 ms.
UNRESPONSIVE_AFTER_S: Final = 0.5
# Exponential backoff of unreachable endpoints: doubles with each failure until
# a request succeeds.
MIN_BACKOFF_S: Final = 0.5
MAX_BACKOFF_S: Final = 4.0


class Choice(msgspec.Struct, frozen=True):
    """A chosen endpoint.

    Attributes:
        endpoint: The endpoint.
        wait_s: Expected wait for a slot in seconds.
        limit_wait_s: Seconds until its limit allows a request; 0 if now.
    """

    endpoint: catalog.Endpoint
    wait_s: float
    limit_wait_s: float


class _Backoff(msgspec.Struct):
    """Backoff of an unreachable endpoint: its end and its length."""

    until: float
    seconds: float


class Placement:
    """Chooses endpoints by load, distance and recent failures.

    Attributes:
        endpoint_limits: The limits that endpoints have named.
        draining: The endpoints that get no new requests, as they drain or are
            in an evacuated zone.
        capacity: How fast each endpoint responds.
    """

    def __init__(
        self,
        load_table: loads.Loads,
        failures: failures_lib.Failures,
        endpoint_limits: endpoint_limits_lib.EndpointLimits,
        draining: draining_lib.DrainingEndpoints,
        zone: str,
        region_by_zone: Mapping[str, str],
        clock: Callable[[], float],
        capacity: estimator_lib.Estimator,
    ) -> None:
        """Initialize without endpoints; see `create_placement`."""
        self.capacity = capacity
        self._loads = load_table
        self._failures = failures
        self.endpoint_limits = endpoint_limits
        self.draining = draining
        self._are_all_limited_by_service: dict[str, bool] = {}
        self._limits_version = 0
        self._zone = zone
        self._region_by_zone = region_by_zone
        self._clock = clock
        self._endpoints_by_id: Mapping[str, catalog.Endpoint] = {}
        self._endpoints_by_service: dict[str, list[catalog.Endpoint]] = {}
        draining.subscribe(self._group_endpoints)
        self._backoffs_by_endpoint: dict[str, _Backoff] = {}
        self._request_duration_s_by_service: dict[str, float] = {}
        self._in_flight_by_endpoint: dict[str, int] = {}
        self._last_activity_by_endpoint: dict[str, float] = {}

    def set_endpoints(self, endpoints: Mapping[str, catalog.Endpoint]) -> None:
        """Replace the endpoints; draining ones get no new requests."""
        self._endpoints_by_id = dict(endpoints)
        self.draining.set_endpoints(endpoints)
        self.capacity.set_endpoints(
            {one.id: (one.service, one.started) for one in endpoints.values()}
        )
        self._group_endpoints()
        for name in list(self._backoffs_by_endpoint):
            if name not in endpoints:
                del self._backoffs_by_endpoint[name]
        self._failures.retain_endpoints(endpoints)
        self.endpoint_limits.retain_endpoints(endpoints)

    def _group_endpoints(self) -> None:
        """Group the endpoints that accept new requests by service."""
        self._endpoints_by_service = {}
        self._are_all_limited_by_service.clear()
        for endpoint in self._endpoints_by_id.values():
            reason = eligibility.find_reason(
                is_evacuated=self.draining.is_evacuated(endpoint),
                is_draining=self.draining.is_draining(endpoint),
            )
            if reason is None:
                self._endpoints_by_service.setdefault(
                    endpoint.service, []
                ).append(endpoint)

    def get_endpoints(
        self, service: str, regions: frozenset[str] | None = None
    ) -> list[catalog.Endpoint]:
        """Return the endpoints of a service that accept new requests.

        Args:
            service: The service.
            regions: Regions that the requests may use; None for all.
        """
        endpoints = self._endpoints_by_service.get(service, [])
        if regions is None:
            return endpoints
        return [one for one in endpoints if self._is_in_region(one, regions)]

    def count_evacuated_in_flight(self) -> int:
        """Return this process's requests in flight in evacuated zones."""
        return sum(
            count
            for counts in self._loads.get_own_counts()
            for name, count in counts.items()
            if name in self._endpoints_by_id
            and self.draining.is_evacuated(self._endpoints_by_id[name])
        )

    def has_endpoints(
        self, service: str, regions: frozenset[str] | None = None
    ) -> bool:
        """Return whether a service has endpoints that accept requests."""
        return bool(self.get_endpoints(service, regions))

    def _is_in_region(
        self, endpoint: catalog.Endpoint, regions: frozenset[str] | None
    ) -> bool:
        return eligibility.is_region_allowed(
            self._region_by_zone.get(endpoint.zone), regions
        )

    def find_reason(
        self,
        endpoint: catalog.Endpoint,
        regions: frozenset[str] | None = None,
        *,
        is_quarantined: bool = False,
    ) -> eligibility.Reason | None:
        """Return why a request may not go to an endpoint now, if so.

        Args:
            endpoint: The endpoint.
            regions: Regions that the request may use; None for all.
            is_quarantined: Whether the request is quarantined.
        """
        return eligibility.find_reason(
            is_quarantined=is_quarantined,
            is_in_region=self._is_in_region(endpoint, regions),
            is_evacuated=self.draining.is_evacuated(endpoint),
            is_draining=self.draining.is_draining(endpoint),
            is_unhealthy=self.is_in_backoff(endpoint.id),
            is_cold=self.endpoint_limits.is_cold(endpoint.id),
            limit_wait_s=self.compute_limit_wait(endpoint),
        )

    def explain_absence(
        self, service: str, regions: frozenset[str] | None
    ) -> eligibility.Reason | None:
        """Return why no endpoint of a service takes a request.

        An endpoint in an allowed region tells more than one in another; None
        if the service has no endpoint at all.
        """
        reasons = {
            self.find_reason(one, regions)
            for one in self._endpoints_by_id.values()
            if one.service == service
        }
        for reason in (
            eligibility.Reason.EVACUATED,
            eligibility.Reason.DRAINING,
            eligibility.Reason.REGION,
        ):
            if reason in reasons:
                return reason
        return None

    def is_in_backoff(self, endpoint: str) -> bool:
        """Return whether an endpoint is in backoff or unresponsive."""
        now = self._clock()
        backoff = self._backoffs_by_endpoint.get(endpoint)
        if backoff is not None and now < backoff.until:
            return True
        last_activity = self._last_activity_by_endpoint.get(endpoint, now)
        return now > last_activity + UNRESPONSIVE_AFTER_S

    @contextlib.contextmanager
    def track_activity(self, endpoint: str) -> Iterator[Callable[[], None]]:
        """Track a request in flight; yields a callback for received data.

        An endpoint that sends no data while requests are in flight counts as
        unresponsive.
        """
        in_flight = self._in_flight_by_endpoint.get(endpoint, 0)
        self._in_flight_by_endpoint[endpoint] = in_flight + 1
        if not in_flight:
            self._last_activity_by_endpoint[endpoint] = self._clock()

        def record_activity() -> None:
            self._last_activity_by_endpoint[endpoint] = self._clock()

        try:
            yield record_activity
        finally:
            left = self._in_flight_by_endpoint[endpoint] - 1
            self._in_flight_by_endpoint[endpoint] = left
            if not left:
                del self._in_flight_by_endpoint[endpoint]
                del self._last_activity_by_endpoint[endpoint]

    def choose_endpoint(
        self,
        service: str,
        excluded: frozenset[str] = frozenset(),
        *,
        regions: frozenset[str] | None = None,
    ) -> Choice | None:
        """Return the endpoint with the lowest cost; None if there is none.

        An endpoint whose limit allows no request now is chosen only if that is
        so for all.

        Args:
            service: The service.
            excluded: Ids of endpoints to leave out.
            regions: Regions that the request may use; None for all.
        """
        self.capacity.refresh()
        best: catalog.Endpoint | None = None
        best_cost = (0.0, 0.0)
        for endpoint in self.get_endpoints(service, regions):
            if endpoint.id in excluded:
                continue
            cost = (
                self.compute_limit_wait(endpoint),
                self._estimate_cost(endpoint),
            )
            if best is None or cost < best_cost:
                best, best_cost = endpoint, cost
        if best is None:
            return None
        wait_s = max(0.0, self.estimate_wait(best))
        return Choice(best, wait_s, best_cost[0])

    def compute_limit_wait(self, endpoint: catalog.Endpoint) -> float:
        """Return the seconds until an endpoint's limit allows a request."""
        if self.endpoint_limits.get_limit(endpoint.id) is None:
            return 0.0
        is_shared = self._are_all_limited(endpoint.service)
        return self.endpoint_limits.compute_wait(endpoint, is_shared=is_shared)

    def record_sending(self, endpoint: catalog.Endpoint) -> None:
        """Count a request that is about to be sent against the limit."""
        if self.endpoint_limits.get_limit(endpoint.id) is not None:
            is_shared = self._are_all_limited(endpoint.service)
            self.endpoint_limits.take_token(endpoint, is_shared=is_shared)

    def _are_all_limited(self, service: str) -> bool:
        """Return whether all endpoints of a service name limits."""
        if self._limits_version != self.endpoint_limits.version:
            self._limits_version = self.endpoint_limits.version
            self._are_all_limited_by_service.clear()
        are_all = self._are_all_limited_by_service.get(service)
        if are_all is None:
            are_all = all(
                self.endpoint_limits.get_limit(one.id) is not None
                for one in self.get_endpoints(service)
            )
            self._are_all_limited_by_service[service] = are_all
        return are_all

    def _estimate_cost(self, endpoint: catalog.Endpoint) -> float:
        online = self._loads.count_in_flight_of_class(
            endpoint.id, outcomes.RequestClass.ONLINE
        )
        batch = self._loads.count_in_flight_of_class(
            endpoint.id, outcomes.RequestClass.BATCH
        )
        cost = FULL_ENDPOINT_COST_S * (online + batch) / endpoint.slots
        estimate = self.capacity.get_estimate(endpoint.id, endpoint.service)
        level = estimator_lib.compute_level(online + 1, endpoint.slots)
        cost += DIFFERENCE_WEIGHT * estimate.difference_s_by_level[level]
        ahead = online + 1 - endpoint.slots
        if ahead > 0:
            cost += ahead * self._estimate_slot_interval(endpoint, estimate)
        cost += self.estimate_distance_cost(endpoint.zone)
        cost += self._failures.get_failure_rate(endpoint.id) * FAILURE_COST_S
        cost += random.random() * MAX_JITTER_S
        if self.is_in_backoff(endpoint.id):
            cost += MAX_BACKOFF_S
        return cost

    def is_failing(self, endpoint: str) -> bool:
        """Return whether an endpoint fails too often for batch items."""
        return (
            self._failures.get_failure_rate(endpoint) > MAX_BATCH_FAILURE_RATE
        )

    def estimate_distance_cost(self, zone: str) -> float:
        """Return the cost in seconds of sending a request to `zone`."""
        if zone == self._zone:
            return 0.0
        region = self._region_by_zone.get(zone)
        if region == self._region_by_zone.get(self._zone):
            return OTHER_ZONE_COST_S
        return OTHER_REGION_COST_S

    def estimate_wait(self, endpoint: catalog.Endpoint) -> float:
        """Return by how much a new online request's first event would be late.

        That is the wait for a slot and the excess over a typical endpoint with
        little load, negative at a faster endpoint. Batch items are not counted
        because online requests preempt them.
        """
        online = self._loads.count_in_flight_of_class(
            endpoint.id, outcomes.RequestClass.ONLINE
        )
        estimate = self.capacity.get_estimate(endpoint.id, endpoint.service)
        level = estimator_lib.compute_level(online + 1, endpoint.slots)
        wait_s = estimate.excess_s_by_level[level]
        ahead = online + 1 - endpoint.slots
        if ahead > 0:
            wait_s += ahead * self._estimate_slot_interval(endpoint, estimate)
        return wait_s

    def _estimate_slot_interval(
        self, endpoint: catalog.Endpoint, estimate: estimator_lib.Estimate
    ) -> float:
        """Return the seconds between releases of slots of a full endpoint."""
        duration_s = self._request_duration_s_by_service.get(
            endpoint.service, INITIAL_REQUEST_DURATION_S
        )
        return estimate.pace * duration_s / endpoint.slots

    def observe_response(
        self, endpoint: catalog.Endpoint, *, is_stream: bool
    ) -> observer.Observer:
        """Observe the response to a request that is being sent.

        The request already counts as in flight.
        """
        in_flight = self._loads.count_in_flight(endpoint.id)
        level: int | None = None
        if in_flight <= endpoint.slots and self._is_in_own_region(
            endpoint.zone
        ):
            level = estimator_lib.compute_level(in_flight, endpoint.slots)
        return observer.create_observer(
            self.capacity, endpoint.id, level, self._clock, is_stream=is_stream
        )

    def _is_in_own_region(self, zone: str) -> bool:
        """Return whether `zone` is in this process's region."""
        return zone == self._zone or (
            self._region_by_zone.get(zone)
            == self._region_by_zone.get(self._zone)
        )

    def record_success(
        self, endpoint: catalog.Endpoint, duration_s: float | None = None
    ) -> None:
        """Record a complete response of an endpoint.

        Args:
            endpoint: The endpoint.
            duration_s: How long an online request occupied a slot, in
                seconds; None for a batch item.
        """
        self._failures.record_run(endpoint.id, has_failed=False)
        self._backoffs_by_endpoint.pop(endpoint.id, None)
        if duration_s is None:
            return
        known = self._request_duration_s_by_service.get(
            endpoint.service, INITIAL_REQUEST_DURATION_S
        )
        self._request_duration_s_by_service[endpoint.service] = (
            known + DURATION_SMOOTHING * (duration_s - known)
        )

    def record_error(self, endpoint: catalog.Endpoint) -> None:
        """Record a run that an endpoint failed, refused or never answered.

        Lowers the endpoint's priority without a backoff: it may serve other
        requests, or the request may be the cause.
        """
        self._failures.record_run(endpoint.id, has_failed=True)

    def record_unreachable(self, endpoint: catalog.Endpoint) -> None:
        """Record that an endpoint was unreachable or stopped sending data."""
        self._failures.record_run(endpoint.id, has_failed=True)
        now = self._clock()
        backoff = self._backoffs_by_endpoint.get(endpoint.id)
        if backoff is None:
            backoff = _Backoff(now + MIN_BACKOFF_S, MIN_BACKOFF_S)
            self._backoffs_by_endpoint[endpoint.id] = backoff
        elif now >= backoff.until:
            backoff.seconds = min(MAX_BACKOFF_S, 2.0 * backoff.seconds)
            backoff.until = now + backoff.seconds


def create_placement(
    load_table: loads.Loads,
    failures: failures_lib.Failures,
    endpoint_limits: endpoint_limits_lib.EndpointLimits,
    draining: draining_lib.DrainingEndpoints,
    zone: str,
    region_by_zone: Mapping[str, str],
    clock: Callable[[], float] = deadlines.now,
    capacity: estimator_lib.Estimator | None = None,
) -> Placement:
    """Create a placement.

    Args:
        load_table: Requests in flight by endpoint.
        failures: Failure rates of endpoints.
        endpoint_limits: The limits that endpoints have named.
        draining: The endpoints that drain.
        zone: Availability zone of this process.
        region_by_zone: Region of each availability zone.
        clock: Returns seconds on a monotonic clock.
        capacity: What is known of the speed of endpoints; nothing by default.
    """
    return Placement(
        load_table,
        failures,
        endpoint_limits,
        draining,
        zone,
        region_by_zone,
        clock,
        estimator_lib.create_estimator(clock) if capacity is None else capacity,
    )
