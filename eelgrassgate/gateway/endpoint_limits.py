"""Request rates that endpoints in need name in their responses.

A limit holds for all processes together. A few of them, chosen for each
endpoint by rendezvous hashing, have an equal part of it each; the others send
nothing there. So processes need to agree on members and limits only, not on
each request, and one that is out of reach takes its part along.
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
# How long peers are told that a limit was lifted.
REPORT_LIFTED_S: Final = 10.0


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
        valid_until: Monotonic time at which to determine the rate again.
        is_shared: Whether batch items had a part when it was determined.
    """

    rate_per_s: float
    bucket: token_bucket.TokenBucket
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
        clock: Callable[[], float],
    ) -> None:
        """Initialize without limits; see `create_endpoint_limits`."""
        self._member = member
        self._list_members = list_members
        self._region_by_zone = region_by_zone
        self._clock = clock
        self.version = 0
        self._endpoints: frozenset[str] = frozenset()
        self._limits_by_endpoint: dict[str, Limit] = {}
        self._rights_by_endpoint: dict[str, _Right] = {}

    def get_limit(self, endpoint: str) -> float | None:
        """Return an endpoint's limit in requests a second; None without."""
        limit = self._limits_by_endpoint.get(endpoint)
        return None if limit is None else limit.per_s

    def count_limited(self) -> int:
        """Return the number of endpoints with a limit."""
        return sum(
            limit.per_s is not None
            for limit in self._limits_by_endpoint.values()
        )

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
            right = _Right(0.0, token_bucket.TokenBucket(0.0, now), now, False)
            self._rights_by_endpoint[endpoint.id] = right
        right.bucket.refill(now, right.rate_per_s, BUCKET_CAPACITY)
        if now >= right.valid_until or is_shared != right.is_shared:
            right.rate_per_s = self._compute_rate(
                endpoint, limit_per_s, is_shared
            )
            if not right.rate_per_s:
                right.bucket.tokens = min(0.0, right.bucket.tokens)
            right.valid_until = now + CHECK_INTERVAL_S
            right.is_shared = is_shared
        return right

    def _compute_rate(
        self, endpoint: catalog.Endpoint, limit_per_s: float, is_shared: bool
    ) -> float:
        """Return this process's part of a limit in requests a second."""
        fraction = 1.0
        if self._member.role is registry.Role.BATCH:
            fraction = BATCH_FRACTION if is_shared else 0.0
        elif is_shared:
            fraction = 1.0 - BATCH_FRACTION
        rate_per_s = fraction * max(limit_per_s, MIN_RATE_PER_S)
        if not rate_per_s:
            return 0.0
        members = self._find_nearest(endpoint)
        # With at most one user for each request a second, the tokens that they
        # save up are the requests of two seconds.
        count = min(len(members), max(1, math.floor(rate_per_s)))
        users = rendezvous.rank_members(endpoint.id, members)[:count]
        if self._member.name not in users:
            return 0.0
        return rate_per_s / len(users)

    def _find_nearest(self, endpoint: catalog.Endpoint) -> list[str]:
        """Return the processes of this one's role nearest to an endpoint.

        All are in the endpoint's availability zone, if any is, or else in its
        region.
        """
        members = [
            one for one in self._list_members() if one.role is self._member.role
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
        previous = self.get_limit(endpoint)
        self._limits_by_endpoint[endpoint] = limit
        self.version += 1
        if limit.per_s is None:
            self._rights_by_endpoint.pop(endpoint, None)
        elif endpoint in self._rights_by_endpoint:
            self._rights_by_endpoint[endpoint].valid_until = self._clock()
        if limit.per_s != previous:
            logs.log_message(
                "endpoint:limit_changed",
                endpoint=endpoint,
                limit_per_s=limit.per_s,
                previous_per_s=previous,
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


def create_endpoint_limits(
    member: registry.Member,
    list_members: Callable[[], Iterable[registry.Member]],
    region_by_zone: Mapping[str, str],
    clock: Callable[[], float] = deadlines.now,
) -> EndpointLimits:
    """Create limits of endpoints that have named none yet.

    Args:
        member: This process.
        list_members: Returns all registered processes.
        region_by_zone: Region of each availability zone.
        clock: Returns seconds on a monotonic clock.
    """
    return EndpointLimits(member, list_members, region_by_zone, clock)
