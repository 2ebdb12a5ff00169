"""What is in force: routes, services, workspaces, and endpoints that live."""

from collections.abc import Mapping
import enum
from typing import Final

import msgspec

from eelgrassgate.http1 import downstream


class Kind(enum.Enum):
    """What may be done with a route's requests."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"
    STREAM = "stream"
    BATCH = "batch"


class Target(msgspec.Struct, frozen=True):
    """A service with its share of a route's requests."""

    service: str
    weight: float


class Route(msgspec.Struct, frozen=True):
    """Requests of one host under one path prefix.

    Attributes:
        name: The operators' name for it.
        host: The host that callers name.
        prefix: The path prefix; begins and ends with a slash.
        kind: What may be done with its requests.
        targets: The services that take them, with weights.
        timeout_s: Longest that a caller is kept waiting.
        objective_s: Time in which an answer is worth most.
        max_attempts: Most endpoints that one request is sent to.
        priority: Rank, 0 for the most urgent.
        is_open: Whether callers need no key.
        is_resumable: Whether a stream may go on at another endpoint.
        completion_s: For batch, seconds after which all results are due.
        retention_s: For batch, seconds after which an item may be given up.
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

    def is_idempotent(self) -> bool:
        """Tell whether a request may run more than once."""
        if self.kind is Kind.STREAM:
            return self.is_resumable
        return self.kind in {Kind.IDEMPOTENT, Kind.BATCH}


class Service(msgspec.Struct, frozen=True):
    """Endpoints of one kind.

    Attributes:
        name: Its name.
        max_connections: Most connections that one endpoint accepts.
        is_engine: Whether its endpoints generate tokens.
    """

    name: str
    max_connections: int
    is_engine: bool = False


class Workspace(msgspec.Struct, frozen=True):
    """A workspace with its rate; a rate of 0 means no limit."""

    name: str
    rate_per_s: float
    burst: float
    priority: int = 0


class Endpoint(msgspec.Struct, frozen=True):
    """A live endpoint.

    Attributes:
        id: Its id, mostly new at each start.
        service: Its service.
        address: `host:port`.
        zone: Where it runs.
        slots: How many requests it works on at once.
        is_draining: Whether it takes no new work.
        started: What tells two starts under one id apart.
    """

    id: str
    service: str
    address: str
    zone: str
    slots: int
    is_draining: bool = False
    started: int = 0


class Catalog(msgspec.Struct, frozen=True):
    """One version of the configuration.

    Attributes:
        version: Goes up with each change.
        routes_by_host: Routes of each host, longest prefix first.
        services_by_name: The services.
        workspaces_by_name: The workspaces.
        workspace_by_key: Which workspace holds a key.
        limits: What callers may send.
    """

    version: int
    routes_by_host: Mapping[str, tuple[Route, ...]]
    services_by_name: Mapping[str, Service]
    workspaces_by_name: Mapping[str, Workspace]
    workspace_by_key: Mapping[str, str]
    limits: downstream.Limits = downstream.Limits()

    def find_route(self, host: str, path: str) -> Route | None:
        """Return the route with the longest prefix that begins `path`."""
        for route in self.routes_by_host.get(host.lower(), ()):
            if path.startswith(route.prefix):
                return route
        return None

    def has_host(self, host: str) -> bool:
        """Tell whether any route serves `host`."""
        return host.lower() in self.routes_by_host


EMPTY: Final = Catalog(0, {}, {}, {}, {})


def sort_routes(routes: list[Route]) -> dict[str, tuple[Route, ...]]:
    """Return routes by host, longest prefix first."""
    by_host: dict[str, list[Route]] = {}
    for route in routes:
        by_host.setdefault(route.host.lower(), []).append(route)
    return {
        host: tuple(sorted(found, key=lambda one: -len(one.prefix)))
        for host, found in by_host.items()
    }
