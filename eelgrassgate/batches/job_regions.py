"""Regions in which a job's items and results may be."""

from collections.abc import Callable
from typing import Final

from eelgrassgate.batches import records
from eelgrassgate.gateway import catalog as catalog_lib
from eelgrassgate.gateway import eligibility

# Bounds the memory of the regions that are kept between lookups.
MAX_SCOPES: Final = 10_000
# Host, path and workspace of a job.
_Scope = tuple[str, str, str]


class JobRegions:
    """Looks up the restriction of jobs in the configuration in force."""

    def __init__(
        self, read_catalog: Callable[[], catalog_lib.Catalog], own_region: str
    ) -> None:
        """Initialize; see `create_job_regions`."""
        self._read_catalog = read_catalog
        self._own_region = own_region
        self._catalog = catalog_lib.EMPTY
        self._regions_by_scope: dict[_Scope, frozenset[str] | None] = {}

    def find_endpoint_regions(self, job: records.Job) -> frozenset[str] | None:
        """Return the regions whose endpoints may run items; None for all.

        No region is allowed while this process's configuration is older than
        the one by which the job was accepted.
        """
        current = self._read_catalog()
        if not current.version or current.version < job.config_version:
            return frozenset()
        if current is not self._catalog:
            self._catalog = current
            self._regions_by_scope.clear()
        # The routes of a host are searched in order, and the owner asks for
        # each job many times a second.
        scope = (job.host, job.path, job.workspace)
        if scope not in self._regions_by_scope:
            if len(self._regions_by_scope) >= MAX_SCOPES:
                self._regions_by_scope.clear()
            self._regions_by_scope[scope] = catalog_lib.combine_regions(
                current.find_route(job.host, job.path),
                current.workspaces_by_name.get(job.workspace),
            )
        return self._regions_by_scope[scope]

    def find_holder_regions(self, job: records.Job) -> frozenset[str] | None:
        """Return the regions whose processes may hold bodies; None for all.

        The region of the gateway that accepted the job is always among them.
        """
        allowed = self.find_endpoint_regions(job)
        return allowed if allowed is None else allowed | {job.region}

    def may_hold(self, job: records.Job) -> bool:
        """Return whether this process may hold a job's items and results."""
        if job.region == self._own_region:
            return True
        return eligibility.is_region_allowed(
            self._own_region, self.find_holder_regions(job)
        )

    def find_submission_regions(
        self, route: catalog_lib.Route, workspace: str
    ) -> frozenset[str] | None:
        """Return the regions that may hold a job that is accepted here."""
        allowed = catalog_lib.combine_regions(
            route, self._read_catalog().workspaces_by_name.get(workspace)
        )
        return allowed if allowed is None else allowed | {self._own_region}

    @property
    def own_region(self) -> str:
        """The region of this process."""
        return self._own_region


def create_job_regions(
    read_catalog: Callable[[], catalog_lib.Catalog], own_region: str
) -> JobRegions:
    """Create the lookup.

    Args:
        read_catalog: Returns the current configuration.
        own_region: Region of this process.
    """
    return JobRegions(read_catalog, own_region)
