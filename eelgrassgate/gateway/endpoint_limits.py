"""Request rates that endpoints name in their responses, and of cold endpoints.

A limit holds for all processes together. A few of them, chosen for each
endpoint by rendezvous hashing, have an equal part of it each; the others send
nothing there. So processes need to agree on members and limits only, not on
each request, and one that is out of reach takes its part along.

A cold endpoint has a limit from the configuration. It is cold by its entry, or
because it may have restarted since it was unreachable.
"""

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Mapping
import math
from typing import Final

import msgspec

from eelgrassgate import deadlines
from eelgrassgate import logs
from eelgrassgate import token_bucket
from eelgrassgate.gateway import catalog
from eelgrassgate.peering import registry
from eelgrassgate.peering import rendezvous
from eelgrassgate.peering import reports

# Fraction of a limit for batch items if no endpoint of the service is without
# one; otherwise items, which can wait, run at the others.
BATCH_FRACTION: Final = 0.25
# Tokens that a process may save up. All users of a limit may spend them at the
# same time.
BUCKET_CAPACITY: Final = 2.0
# Rate at which an endpoint gets requests at least; only its responses tell that
# the limit was lifted.
MIN_RATE_PER_S: Final = 0.1
# How often to determine the users of a limit again.
CHECK_INTERVAL_S: Final = 0.5
# Larger versions are not adopted, as no others could follow them.
MAX_VERSION: Final = 2**53
# An entry that is received this long after a failure was written after it, as
# entries are received up to 1.5 s after they are written. If its start time is
# the same, the endpoint has not restarted since.
ENTRY_DELAY_S: Final = 1.8
# How long an endpoint that nobody reaches is treated as cold, besides the time
# that a start takes. A process that may send it nothing can't tell when it is
# back, and while the store is unavailable no entry does.
MAX_UNREACHED_S: Final = 30.0
# For how long processes that are no longer registered keep their parts of the
# limits of cold endpoints. They may run on without the store and their peers,
# and send their parts to an endpoint that others reach as well.
KEEP_MEMBER_S: Final = 60.0
# How often to note which processes are registered.
MEMBERS_INTERVAL_S: Final = 1.0
# Bound on the time for which an entry or a peer may state that an endpoint is
# cold.
MAX_COLD_S: Final = 600.0
# How long peers are told that a limit was lifted.
REPORT_LIFTED_S: Final = 10.0


class ColdBounds(msgspec.Struct, frozen=True):
    """What a cold endpoint takes in a second, from all processes together.

    Attributes:
        over: Factor of its rate.
        slack: Requests in addition.
    """

    over: float = 1.5
    slack: float = 5.0


class Cold(msgspec.Struct):
    """What is known of an endpoint that is or was cold.

    Attributes:
        version: Increases with each start of being cold that any process hears
            of.
        until: Monotonic time at which it is warm; 0 if it is.
        unreachable_since: Monotonic time of the last failure, if it may have
            restarted since; None if it is cold by its entry or by a report.
        is_shared: Whether peers are told.
        is_reached: Whether `until` no longer waits for a response, as there
            was one or a peer waits for it.
    """

    version: int
    until: float
    unreachable_since: float | None
    is_shared: bool
    is_reached: bool = False


class Limit(msgspec.Struct, frozen=True):
    """The last word of an endpoint on its limit.

    Attributes:
        per_s: Requests a second from all processes together; None if the limit
            was lifted.
        version: Increases with each change that any process hears of.
        known_since: Monotonic time at which this process learned of it.
    """

    per_s: float | None
    version: int
    known_since: float


class _Right(msgspec.Struct):
    """This process's part of an endpoint's limit.

    Attributes:
        rate_per_s: Requests a second; 0 if others use the limit.
        bucket: The tokens.
        capacity: Tokens that it may save up.
        valid_until: Monotonic time at which to determine the rate again.
        is_shared: Whether batch items had a part when it was determined.
    """

    rate_per_s: float
    bucket: token_bucket.TokenBucket
    capacity: float
    valid_until: float
    is_shared: bool


class EndpointLimits(reports.ReportListener):
    """The limits of all endpoints and this process's parts of them.

    Attributes:
        version: Increases whenever a limit changes.
    """

    def __init__(
        self,
        member: registry.Member,
        list_members: Callable[[], Iterable[registry.Member]],
        region_by_zone: Mapping[str, str],
        cold_bounds: ColdBounds,
        clock: Callable[[], float],
    ) -> None:
        """Initialize without limits; see `create_endpoint_limits`."""
        self._cold_bounds = cold_bounds
        self._services_by_name: Mapping[str, catalog.Service] = {}
        self._service_by_endpoint: dict[str, str] = {}
        self._started_by_endpoint: dict[str, int] = {}
        self._colds_by_endpoint: dict[str, Cold] = {}
        self._known_members: dict[str, tuple[registry.Member, float]] = {}
        self._members_noted_at = -math.inf
        self._member = member
        self._list_members = list_members
        self._region_by_zone = region_by_zone
        self._clock = clock
        self.version = 0
        self._endpoints: frozenset[str] = frozenset()
        self._limits_by_endpoint: dict[str, Limit] = {}
        self._rights_by_endpoint: dict[str, _Right] = {}

    def get_limit(self, endpoint: str) -> float | None:
        """Return an endpoint's limit in requests a second; None without.

        The lower one applies if a cold endpoint names a limit.
        """
        limit = self._limits_by_endpoint.get(endpoint)
        named_per_s = None if limit is None else limit.per_s
        if endpoint not in self._colds_by_endpoint:
            # Called for each endpoint of a service and request.
            return named_per_s
        cold_per_s = self._get_cold_rate(endpoint)
        if named_per_s is None or cold_per_s is None:
            return cold_per_s if named_per_s is None else named_per_s
        return min(named_per_s, cold_per_s)

    def count_limited(self) -> int:
        """Return the number of endpoints that name a limit."""
        return sum(
            limit.per_s is not None
            for limit in self._limits_by_endpoint.values()
        )

    def is_cold(self, endpoint: str) -> bool:
        """Return whether an endpoint is treated as cold."""
        return self._get_cold_rate(endpoint) is not None

    def count_cold(self) -> int:
        """Return the number of endpoints that are treated as cold."""
        return sum(map(self.is_cold, list(self._colds_by_endpoint)))

    def set_services(self, catalog_: catalog.Catalog) -> None:
        """Take over the rates of cold endpoints."""
        self._services_by_name = catalog_.services_by_name
        self.version += 1

    def _get_service(self, endpoint: str) -> catalog.Service | None:
        """Return an endpoint's service if its cold endpoints have a limit."""
        service = self._services_by_name.get(
            self._service_by_endpoint.get(endpoint, "")
        )
        if service is None or not service.cold_per_s:
            return None
        return service

    def _get_cold_rate(self, endpoint: str) -> float | None:
        """Return what a cold endpoint takes a second; None if it is warm."""
        cold = self._colds_by_endpoint.get(endpoint)
        if cold is None or not cold.until:
            return None
        service = self._get_service(endpoint)
        if self._clock() >= cold.until:
            cold.until = 0.0
            self.version += 1
            if service is not None:
                _log_cold_change(endpoint, None, "time")
            return None
        return None if service is None else service.cold_per_s

    def record_entry(self, endpoint: catalog.Endpoint) -> None:
        """Record an entry that an endpoint has written, also an equal one."""
        now = self._clock()
        self._note_members(now)
        name = endpoint.id
        is_new = self._started_by_endpoint.get(name) != endpoint.started
        self._started_by_endpoint[name] = endpoint.started
        self._service_by_endpoint[name] = endpoint.service
        known = self._colds_by_endpoint.get(name)
        since = None if known is None else known.unreachable_since
        if not is_new and since is not None and now < since + ENTRY_DELAY_S:
            # Written before the endpoint was unreachable, possibly.
            return
        if endpoint.cold_remaining_s > 0.0:
            until = now + min(endpoint.cold_remaining_s, MAX_COLD_S)
            self._set_cold(name, until, None, "entry", is_shared=True)
        elif known is not None and known.until:
            self._set_cold(name, 0.0, None, "entry", is_shared=True)

    def record_unreachable(
        self, endpoint: catalog.Endpoint, *, has_ended: bool = False
    ) -> None:
        """Record that an endpoint could not be reached.

        It may restart, and is treated as cold when it can be reached again. A
        response that broke off does not count: an endpoint that resets single
        connections keeps its capacity.

        Args:
            endpoint: The endpoint.
            has_ended: Whether it certainly ended; peers are told only then,
                since this process alone may be cut off from it.
        """
        service = self._get_service(endpoint.id)
        if service is None:
            return
        now = self._clock()
        known = self._colds_by_endpoint.get(endpoint.id)
        has_ended |= known is not None and (
            known.unreachable_since is not None and known.is_shared
        )
        self._set_cold(
            endpoint.id,
            now + MAX_UNREACHED_S + service.cold_start_s,
            now,
            "unreachable",
            is_shared=has_ended,
        )

    def _record_reached(self, endpoint: str) -> None:
        """Begin the time for which an endpoint may be cold."""
        known = self._colds_by_endpoint.get(endpoint)
        service = self._get_service(endpoint)
        if (
            known is None
            or service is None
            or known.is_reached
            or known.unreachable_since is None
            or not known.until
        ):
            return
        known.is_reached = True
        known.until = self._clock() + service.cold_start_s
        if known.is_shared:
            # Peers count from now as well.
            known.version += 1

    def _set_cold(
        self,
        endpoint: str,
        until: float,
        unreachable_since: float | None,
        source: str,
        *,
        is_shared: bool,
        is_reached: bool = False,
        version: int = 0,
    ) -> None:
        """Set until when an endpoint is cold; log a change of its state."""
        known = self._colds_by_endpoint.get(endpoint)
        was_cold = known is not None and known.until > self._clock()
        if not version:
            version = 0 if known is None else known.version
            was_shared = known is not None and known.is_shared
            if until and (not was_cold or (is_shared and not was_shared)):
                version += 1
        self._colds_by_endpoint[endpoint] = Cold(
            version, until, unreachable_since, is_shared, is_reached
        )
        if was_cold == bool(until):
            return
        self.version += 1
        # Tokens saved up before don't count: the endpoint may have got as many
        # requests as it takes.
        self._rights_by_endpoint.pop(endpoint, None)
        if self._get_service(endpoint) is not None:
            _log_cold_change(endpoint, self._get_cold_rate(endpoint), source)

    def list_colds(self) -> dict[str, tuple[int, float]]:
        """Return versions and seconds left of being cold, for peers."""
        now = self._clock()
        found: dict[str, tuple[int, float]] = {}
        for name, cold in self._colds_by_endpoint.items():
            service = self._get_service(name)
            if service is not None and cold.is_shared and now < cold.until:
                left_s = cold.until - now
                if cold.unreachable_since is not None:
                    left_s = min(left_s, service.cold_start_s)
                found[name] = (cold.version, round(left_s, 2))
        return found

    def _adopt_colds(self, report: reports.Report) -> None:
        """Adopt what a peer has reported of cold endpoints."""
        now = self._clock()
        for name, (version, left_s) in report.cold_by_endpoint.items():
            if name not in self._endpoints or version > MAX_VERSION:
                continue
            known = self._colds_by_endpoint.get(name)
            until = now + min(left_s, MAX_COLD_S)
            if known is None or known.version < version:
                if known is not None:
                    until = max(until, known.until)
                self._set_cold(
                    name,
                    until,
                    now,
                    report.name,
                    is_shared=True,
                    is_reached=True,
                    version=version,
                )
            elif (
                known.version == version
                and known.unreachable_since is not None
                and known.until
            ):
                # Not once its entry has ended it here.
                known.until = max(known.until, until)

    def compute_wait(
        self, endpoint: catalog.Endpoint, *, is_shared: bool
    ) -> float:
        """Return the seconds until a request may be sent to an endpoint.

        Args:
            endpoint: The endpoint.
            is_shared: Whether batch items have a part of its limit.
        """
        limit_per_s = self.get_limit(endpoint.id)
        if limit_per_s is None:
            return 0.0
        right = self._refill(endpoint, limit_per_s, is_shared)
        if not right.rate_per_s:
            # Another process may serve the request then.
            return 1.0 / max(limit_per_s, MIN_RATE_PER_S)
        return max(0.0, 1.0 - right.bucket.tokens) / right.rate_per_s

    def take_token(
        self, endpoint: catalog.Endpoint, *, is_shared: bool
    ) -> None:
        """Count a request that is about to be sent to an endpoint."""
        limit_per_s = self.get_limit(endpoint.id)
        if limit_per_s is not None:
            self._refill(endpoint, limit_per_s, is_shared).bucket.tokens -= 1.0

    def _refill(
        self, endpoint: catalog.Endpoint, limit_per_s: float, is_shared: bool
    ) -> _Right:
        now = self._clock()
        right = self._rights_by_endpoint.get(endpoint.id)
        if right is None:
            right = _Right(
                0.0, token_bucket.TokenBucket(0.0, now), 0.0, now, False
            )
            self._rights_by_endpoint[endpoint.id] = right
        right.bucket.refill(now, right.rate_per_s, right.capacity)
        if now >= right.valid_until or is_shared != right.is_shared:
            right.rate_per_s, right.capacity = self._compute_part(
                endpoint, limit_per_s, is_shared
            )
            if not right.rate_per_s:
                right.bucket.tokens = min(0.0, right.bucket.tokens)
            right.valid_until = now + CHECK_INTERVAL_S
            right.is_shared = is_shared
        return right

    def _compute_part(
        self, endpoint: catalog.Endpoint, limit_per_s: float, is_shared: bool
    ) -> tuple[float, float]:
        """Return this process's part of a limit: rate and tokens to save up."""
        is_batch = self._member.role is registry.Role.BATCH
        part = BATCH_FRACTION if is_batch else 1.0 - BATCH_FRACTION
        fraction = part if is_shared else float(not is_batch)
        rate_per_s = fraction * max(limit_per_s, MIN_RATE_PER_S)
        max_saved = math.inf
        if self.is_cold(endpoint.id):
            # Processes may disagree for a while whether items have a part; the
            # factor covers their rates, so only the slack may be saved up.
            rate_per_s *= min(
                1.0, self._cold_bounds.over / (1.0 + BATCH_FRACTION)
            )
            max_saved = part * self._cold_bounds.slack
        if not rate_per_s or (is_batch and max_saved < 1.0):
            return 0.0, 0.0
        members = self._find_nearest(endpoint)
        # With at most one user for each request a second, the tokens that they
        # save up are the requests of two seconds.
        count = min(
            len(members), max(1, math.floor(min(rate_per_s, max_saved)))
        )
        users = rendezvous.rank_members(endpoint.id, members)[:count]
        if self._member.name not in users:
            return 0.0, 0.0
        capacity = max(1.0, min(BUCKET_CAPACITY, max_saved / len(users)))
        return rate_per_s / len(users), capacity

    def _note_members(self, now: float) -> None:
        """Note which processes are registered; forget those long gone."""
        if now < self._members_noted_at + MEMBERS_INTERVAL_S:
            return
        self._members_noted_at = now
        for one in self._list_members():
            self._known_members[one.name] = (one, now)
        for name, (_, noted_at) in list(self._known_members.items()):
            if now > noted_at + KEEP_MEMBER_S:
                del self._known_members[name]

    def _list_users(self, *, is_cold: bool) -> Iterable[registry.Member]:
        """Return the processes among which a limit is divided."""
        members = {one.name: one for one in self._list_members()}
        if is_cold:
            for name, (one, _) in self._known_members.items():
                members.setdefault(name, one)
        return members.values()

    def _find_nearest(self, endpoint: catalog.Endpoint) -> list[str]:
        """Return the processes of this one's role nearest to an endpoint.

        All are in the endpoint's availability zone, if any is, or else in its
        region.
        """
        members = [
            one
            for one in self._list_users(is_cold=self.is_cold(endpoint.id))
            if one.role is self._member.role
        ]
        region = self._region_by_zone.get(endpoint.zone)
        in_zone = [one for one in members if one.zone == endpoint.zone]
        in_region = [one for one in members if one.region == region]
        return [one.name for one in in_zone or in_region or members]

    def record_response(
        self, endpoint: str, per_s: float | None, sent_at: float
    ) -> None:
        """Record what a response says of its endpoint's limit.

        Args:
            endpoint: Id of the endpoint.
            per_s: The limit that the response names; None if it names none.
            sent_at: Monotonic time at which the request was sent.
        """
        self._record_reached(endpoint)
        known = self._limits_by_endpoint.get(endpoint)
        if per_s is None and (known is None or sent_at < known.known_since):
            # A response that began before the limit doesn't lift it.
            return
        if known is not None and known.per_s == per_s:
            return
        version = 1 if known is None else known.version + 1
        self._set(endpoint, Limit(per_s, version, self._clock()), "response")

    def handle_report(self, report: reports.Report) -> None:
        """Adopt newer limits that a peer has reported."""
        self._adopt_colds(report)
        now = self._clock()
        for endpoint, (version, per_s) in report.limits_by_endpoint.items():
            known = self._limits_by_endpoint.get(endpoint)
            if (
                endpoint in self._endpoints
                and version <= MAX_VERSION
                and (known is None or known.version < version)
            ):
                self._set(endpoint, Limit(per_s, version, now), report.name)

    def _set(self, endpoint: str, limit: Limit, source: str) -> None:
        previous = self._limits_by_endpoint.get(endpoint)
        previous_per_s = None if previous is None else previous.per_s
        self._limits_by_endpoint[endpoint] = limit
        self.version += 1
        if self.get_limit(endpoint) is None:
            self._rights_by_endpoint.pop(endpoint, None)
        elif endpoint in self._rights_by_endpoint:
            self._rights_by_endpoint[endpoint].valid_until = self._clock()
        if limit.per_s != previous_per_s:
            logs.log_message(
                "endpoint:limit_changed",
                endpoint=endpoint,
                limit_per_s=limit.per_s,
                previous_per_s=previous_per_s,
                source=source,
            )

    def list_limits(self) -> dict[str, tuple[int, float | None]]:
        """Return versions and limits to report to peers."""
        now = self._clock()
        return {
            endpoint: (limit.version, limit.per_s)
            for endpoint, limit in self._limits_by_endpoint.items()
            if limit.per_s is not None
            or now < limit.known_since + REPORT_LIFTED_S
        }

    def retain_endpoints(self, endpoints: Iterable[str]) -> None:
        """Discard the limits of all other endpoints."""
        self._endpoints = frozenset(endpoints)
        self.version += 1
        for name in list(self._limits_by_endpoint):
            if name not in self._endpoints:
                del self._limits_by_endpoint[name]
                self._rights_by_endpoint.pop(name, None)
        for name in list(self._started_by_endpoint):
            if name not in self._endpoints:
                del self._started_by_endpoint[name]
                del self._service_by_endpoint[name]
                if self._colds_by_endpoint.pop(name, None):
                    self._rights_by_endpoint.pop(name, None)


def _log_cold_change(
    endpoint: str, limit_per_s: float | None, source: str
) -> None:
    logs.log_message(
        "endpoint:warm" if limit_per_s is None else "endpoint:cold",
        endpoint=endpoint,
        limit_per_s=limit_per_s,
        source=source,
    )


def create_endpoint_limits(
    member: registry.Member,
    list_members: Callable[[], Iterable[registry.Member]],
    region_by_zone: Mapping[str, str],
    clock: Callable[[], float] = deadlines.now,
    cold_bounds: ColdBounds | None = None,
) -> EndpointLimits:
    """Create limits of endpoints that have named none yet.

    Args:
        member: This process.
        list_members: Returns all registered processes.
        region_by_zone: Region of each availability zone.
        clock: Returns seconds on a monotonic clock.
        cold_bounds: What a cold endpoint takes in a second.
    """
    return EndpointLimits(
        member,
        list_members,
        region_by_zone,
        cold_bounds or ColdBounds(),
        clock,
    )
