"""Regions in which requests may be served, cached and stored."""

from collections.abc import Callable
from collections.abc import Iterable

from eelgrassgate import logs
from eelgrassgate.gateway import catalog as catalog_lib


class Restriction:
    """The regions that one request may use.

    A change of the configuration applies to the next read. If the route or the
    workspace is gone by then, its last known restriction remains.
    """

    def __init__(
        self,
        read_catalog: Callable[[], catalog_lib.Catalog],
        host: str,
        path: str,
        route: catalog_lib.Route,
        workspace: str,
    ) -> None:
        """Initialize; see `create_restriction`."""
        self._read_catalog = read_catalog
        self._host = host
        self._path = path
        self._route = route
        self._workspace_name = workspace
        self._workspace: catalog_lib.Workspace | None = None
        self._catalog: catalog_lib.Catalog | None = None
        self._regions: frozenset[str] | None = None

    def read(self) -> frozenset[str] | None:
        """Return the regions that the request may use now; None for all."""
        current = self._read_catalog()
        if current is self._catalog:
            return self._regions
        self._catalog = current
        self._route = current.find_route(self._host, self._path) or self._route
        self._workspace = current.workspaces_by_name.get(
            self._workspace_name, self._workspace
        )
        self._regions = catalog_lib.combine_regions(
            self._route, self._workspace
        )
        return self._regions


def find_unknown_regions(
    catalog: catalog_lib.Catalog, known_regions: Iterable[str]
) -> dict[str, tuple[str, ...]]:
    """Return the allowed regions that no availability zone has.

    The keys name the routes and workspaces that allow them.
    """
    known = frozenset(known_regions)
    restricted: list[tuple[str, frozenset[str] | None]] = [
        (f"routes/{route.name}", route.allowed_regions)
        for routes in catalog.routes_by_host.values()
        for route in routes
    ]
    restricted.extend(
        (f"workspaces/{one.name}", one.allowed_regions)
        for one in catalog.workspaces_by_name.values()
    )
    return {
        location: tuple(sorted(regions - known))
        for location, regions in restricted
        if regions is not None and not regions <= known
    }


def log_unknown_regions(
    catalog: catalog_lib.Catalog, known_regions: Iterable[str]
) -> None:
    """Log the allowed regions that no availability zone has."""
    found = find_unknown_regions(catalog, known_regions)
    for location, regions in found.items():
        logs.log_message(
            "config:unknown_region",
            location=location,
            regions=regions,
            version=catalog.version,
        )


def create_restriction(
    read_catalog: Callable[[], catalog_lib.Catalog],
    host: str,
    path: str,
    route: catalog_lib.Route,
    workspace: str,
) -> Restriction:
    """Create the restriction of one request.

    Args:
        read_catalog: Returns the current configuration.
        host: The requested host.
        path: The requested path.
        route: The route by which the request was accepted.
        workspace: Name of its workspace; empty for none.
    """
    return Restriction(read_catalog, host, path, route, workspace)
