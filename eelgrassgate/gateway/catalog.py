"""Current configuration: routes, services, workspaces and endpoints."""

from collections.abc import Mapping
import enum
from typing import Final

import msgspec

from eelgrassgate.http1 import downstream


class Kind(enum.Enum):
    """How a route's requests may be retried and delivered."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"
    STREAM = "stream"
    BATCH = "batch"


class Target(msgspec.Struct, frozen=True):
    """A service and its weight in a route's traffic split."""

    service: str
    weight: float


class Route(msgspec.Struct, frozen=True):
    """A route: matches requests by host and path prefix.

    Attributes:
        name: The route's name in the configuration.
        host: The host to match.
        prefix: The path prefix to match; begins and ends with a slash.
        kind: How its requests may be retried and delivered.
        targets: The services that receive the requests, with weights.
        timeout_s: Request timeout.
        objective_s: Latency objective for the first byte of the response.
        max_attempts: Maximum number of attempts per request.
        priority: Priority; 0 is the most urgent.
        is_open: Whether requests need no API key.
        is_resumable: Whether a stream may resume at another endpoint.
        completion_s: For batch routes, time within which all results are due.
        retention_s: For batch routes, time after which unfinished items may
            be abandoned.
        allowed_regions: Regions that its requests may use; None for all.
    """

    name: str
    host: str
    prefix: str
    kind: Kind
    targets: tuple[Target, ...]
    timeout_s: float
    objective_s: float
    max_attempts: int
    priority: int = 0
    is_open: bool = False
    is_resumable: bool = False
    completion_s: float = 0.0
    retention_s: float = 0.0
    allowed_regions: frozenset[str] | None = None

    def is_idempotent(self) -> bool:
        """Return whether a request may safely run more than once."""
        if self.kind is Kind.STREAM:
            return self.is_resumable
        return self.kind in {Kind.IDEMPOTENT, Kind.BATCH}


class Service(msgspec.Struct, frozen=True):
    """A service: a set of interchangeable endpoints.

    Attributes:
        name: The service's name.
        max_connections: Maximum number of connections per endpoint.
        is_engine: Whether its endpoints are inference engines.
        cold_start_s: For how long an endpoint that has started is cold.
        cold_per_s: Requests a second that a cold endpoint takes from all
            processes together; 0 for no limit.
    """

    name: str
    max_connections: int
    is_engine: bool = False
    cold_start_s: float = 0.0
    cold_per_s: float = 0.0


class Workspace(msgspec.Struct, frozen=True):
    """A workspace and its rate limit; a rate of 0 means no limit.

    Attributes:
        allowed_regions: Regions that its requests may use; None for all.
    """

    name: str
    rate_per_s: float
    burst: float
    priority: int = 0
    allowed_regions: frozenset[str] | None = None


class Endpoint(msgspec.Struct, frozen=True):
    """A registered endpoint.

    Attributes:
        id: The endpoint's id, usually new after each restart.
        service: The service that it belongs to.
        address: `host:port`.
        zone: The availability zone in which it runs.
        slots: Maximum number of requests that it processes concurrently.
        is_draining: Whether it accepts no new requests.
        started: Start time, which distinguishes restarts under the same id.
        cold_remaining_s: For how long it was still cold when it wrote its
            entry.
    """

    id: str
    service: str
    address: str
    zone: str
    slots: int
    is_draining: bool = False
    started: int = 0
    cold_remaining_s: float = 0.0


class Catalog(msgspec.Struct, frozen=True):
    """One version of the configuration.

    Attributes:
        version: Increases with each change; 0 before the first one.
        routes_by_host: Routes of each host, longest prefix first.
        services_by_name: Services by name.
        workspaces_by_name: Workspaces by name.
        workspace_by_key: Workspace names by API key.
        limits: Size and time limits for requests.
    """

    version: int
    routes_by_host: Mapping[str, tuple[Route, ...]]
    services_by_name: Mapping[str, Service]
    workspaces_by_name: Mapping[str, Workspace]
    workspace_by_key: Mapping[str, str]
    limits: downstream.Limits = downstream.Limits()

    def find_route(self, host: str, path: str) -> Route | None:
        """Return the route with the longest prefix that matches `path`."""
        for route in self.routes_by_host.get(host.lower(), ()):
            if path.startswith(route.prefix):
                return route
        return None


def combine_regions(
    route: Route | None, workspace: Workspace | None
) -> frozenset[str] | None:
    """Return the regions that requests may use; None for all.

    If both the route and the workspace restrict them, both apply.
    """
    of_route = None if route is None else route.allowed_regions
    of_workspace = None if workspace is None else workspace.allowed_regions
    if of_route is None:
        return of_workspace
    if of_workspace is None:
        return of_route
    return of_route & of_workspace


EMPTY: Final = Catalog(0, {}, {}, {}, {})


def group_routes_by_host(routes: list[Route]) -> dict[str, tuple[Route, ...]]:
    """Group routes by host, longest prefix first."""
    by_host: dict[str, list[Route]] = {}
    for route in routes:
        by_host.setdefault(route.host.lower(), []).append(route)
    return {
        host: tuple(sorted(found, key=lambda one: -len(one.prefix)))
        for host, found in by_host.items()
    }
