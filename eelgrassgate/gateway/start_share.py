"""The slots that a gateway may use while the load of others is unknown.

Gateways that start together, as after a loss of power, have no reports of each
other yet. Each would take all slots of the same near endpoints, and what then
queues there is late. Until its peers have reported, a gateway uses its part of
the slots that they leave.
"""

from collections.abc import Callable
from collections.abc import Collection
from collections.abc import Mapping
from typing import Final

from eelgrassgate import deadlines
from eelgrassgate.gateway import catalog
from eelgrassgate.peering import registry
from eelgrassgate.peering import rendezvous
from eelgrassgate.peering import reports

# A gateway that has been up for less has not yet had its usual load. Estimates
# of waits assume that slots become free one after the other; after a common
# start that takes until the first requests, of 0.7 s each, have ended twice.
SETTLED_UPTIME_S: Final = 1.4
# After this time, peers that have sent no report are taken for stopped; their
# entries last for up to 6 s.
MAX_START_S: Final = 1.6
# Slots of each endpoint that may be used before the members are known.
SLOTS_WITHOUT_MEMBERS: Final = 1
# How often to determine the starting gateways again.
CHECK_INTERVAL_S: Final = 0.02


class StartShare(reports.ReportListener):
    """This gateway's part of the slots of each endpoint while it starts."""

    def __init__(
        self,
        own: registry.Member,
        list_members: Callable[[], Collection[registry.Member]],
        region_by_zone: Mapping[str, str],
        clock: Callable[[], float],
    ) -> None:
        """Initialize for a start now; see `create_start_share`."""
        self._own = own
        self._list_members = list_members
        self._region_by_zone = region_by_zone
        self._clock = clock
        self._ends_at = clock() + MAX_START_S
        self._settles_at_by_name: dict[str, float] = {}
        self._check_at = float("-inf")
        self._has_members = False
        self._starting_by_name: dict[str, registry.Member] = {}
        self._weights_by_endpoint: dict[str, dict[str, int]] = {}

    def is_over(self) -> bool:
        """Return whether this gateway may use all free slots."""
        return self._clock() >= self._ends_at

    def handle_report(self, report: reports.Report) -> None:
        """Record since when a peer has been up."""
        if not self.is_over():
            up_at = self._clock() - report.uptime_s
            self._settles_at_by_name[report.name] = up_at + SETTLED_UPTIME_S

    def list_starting(self) -> Mapping[str, registry.Member]:
        """Return the other gateways whose load is unknown, by name."""
        now = self._clock()
        if now >= self._check_at:
            self._check_at = now + CHECK_INTERVAL_S
            members = self._list_members()
            self._has_members = bool(members)
            self._starting_by_name = {
                one.name: one
                for one in members
                if one.role is registry.Role.GATEWAY
                and one.name != self._own.name
                and now < self._settles_at_by_name.get(one.name, self._ends_at)
            }
        return self._starting_by_name

    def compute_slots(self, endpoint: catalog.Endpoint, free: int) -> int:
        """Return how many slots this gateway may use.

        The starting gateways of the endpoint's region divide its slots. One of
        another region, which uses them only once its own are taken, counts as
        one more.

        Args:
            endpoint: The endpoint.
            free: Slots that are left by gateways whose load is known.
        """
        region = self._region_by_zone.get(endpoint.zone)
        starting = self.list_starting()
        if not self._has_members:
            return min(free, SLOTS_WITHOUT_MEMBERS)
        sharers = [
            name for name, one in starting.items() if one.region == region
        ]
        part, left = divmod(max(0, free), 1 + len(sharers))
        if not left:
            return part
        return part + (self._compute_rank(endpoint.id, sharers) < left)

    def estimate_wait(
        self,
        endpoint: catalog.Endpoint,
        own: int,
        settled: int,
        duration_s: float,
    ) -> float:
        """Return how long a request would wait for a slot of this gateway.

        Args:
            endpoint: The endpoint.
            own: Requests of this gateway in flight there.
            settled: Those of gateways whose load is known.
            duration_s: How long a request occupies a slot.
        """
        slots = self.compute_slots(endpoint, endpoint.slots - settled)
        ahead = own + 1 - slots
        if ahead <= 0:
            return 0.0
        return ahead * duration_s / max(1, slots)

    def _compute_rank(self, endpoint: str, sharers: list[str]) -> int:
        """Return this gateway's position among the sharers of an endpoint."""
        weights = self._weights_by_endpoint.setdefault(endpoint, {})
        for name in (self._own.name, *sharers):
            if name not in weights:
                weights[name] = rendezvous.compute_weight(name, endpoint)
        own = weights[self._own.name]
        return sum(weights[name] > own for name in sharers)


def create_start_share(
    own: registry.Member,
    list_members: Callable[[], Collection[registry.Member]],
    region_by_zone: Mapping[str, str],
    clock: Callable[[], float] = deadlines.now,
) -> StartShare:
    """Create the share of a gateway that starts now.

    Args:
        own: This process.
        list_members: Returns the registered processes.
        region_by_zone: Region of each availability zone.
        clock: Returns seconds on a monotonic clock.
    """
    return StartShare(own, list_members, region_by_zone, clock)
