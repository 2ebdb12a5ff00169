"""Rates and bursts of workspaces, counted over all gateways.

Each gateway keeps a bucket for the whole fleet: it takes from it what it
admits itself and what the others report. Reports are late by a fraction of a
second, which bounds what may be admitted beyond the rate; a gateway that does
not hear others uses only its part of the rate.
"""

from collections.abc import Callable
from typing import Final

import msgspec

from eelgrassgate import deadlines
from eelgrassgate.gateway import catalog
from eelgrassgate.peering import reports

# A gateway that starts doesn't know what was spent just before; half of the
# burst is what a window can bear twice.
FIRST_LEVEL: Final = 0.5
# Headers carry whole milliseconds; who returns sooner is refused again.
ROUNDING_S: Final = 0.001
# A process younger than this has told all that it spent in its first report.
FRESH_S: Final = 2.0


class _Bucket(msgspec.Struct):
    """What may still be admitted at `at`."""

    level: float
    at: float


class _Told(msgspec.Struct):
    """What another gateway has told.

    Attributes:
        incarnation: Since which start.
        is_whole: Whether it was heard from its start on.
        spent_by_workspace: What it had admitted by its last report.
    """

    incarnation: int
    is_whole: bool
    spent_by_workspace: dict[str, float]


class Rates(reports.ReportListener):
    """The buckets of all workspaces.

    Attributes:
        share: The part of each rate that this process may use.
    """

    def __init__(
        self,
        spend: Callable[[str], None],
        clock: Callable[[], float],
    ) -> None:
        """Create without buckets; see `create_rates`."""
        self._spend = spend
        self._told_by_peer: dict[str, _Told] = {}
        self._clock = clock
        self._workspaces_by_name: dict[str, catalog.Workspace] = {}
        self._buckets_by_name: dict[str, _Bucket] = {}
        self.share = 1.0

    def configure(self, present: catalog.Catalog) -> None:
        """Take the workspaces of a configuration."""
        self._workspaces_by_name = dict(present.workspaces_by_name)
        for name in list(self._buckets_by_name):
            if name not in self._workspaces_by_name:
                del self._buckets_by_name[name]

    def admit(self, name: str) -> float | None:
        """Admit one request, or return the seconds after which to retry."""
        workspace = self._workspaces_by_name.get(name)
        if workspace is None or workspace.rate_per_s <= 0:
            return None
        bucket = self._fill(workspace)
        # Those not heard may each admit as many meanwhile.
        cost = 1.0 / self.share
        if bucket.level >= cost:
            bucket.level -= cost
            self._spend(name)
            return None
        wait_s = (cost - bucket.level) / max(workspace.rate_per_s, 1.0)
        return wait_s + ROUNDING_S

    def handle_report(self, report: reports.Report) -> None:
        """Take from the buckets what another gateway has admitted."""
        told = self._told_by_peer.get(report.name)
        if told is None or told.incarnation != report.incarnation:
            told = _Told(report.incarnation, report.uptime_s < FRESH_S, {})
            self._told_by_peer[report.name] = told
        for name, spent in report.spent_by_workspace.items():
            before = told.spent_by_workspace.get(name)
            if before is None:
                # What it spent before it was heard was set aside then.
                before = 0.0 if told.is_whole else spent - 1.0
            told.spent_by_workspace[name] = spent
            workspace = self._workspaces_by_name.get(name)
            if workspace is not None and workspace.rate_per_s > 0:
                self._fill(workspace).level -= spent - before

    def _fill(self, workspace: catalog.Workspace) -> _Bucket:
        now = self._clock()
        # One request must fit, or a workspace would never be served.
        most = max(1.0 / self.share, workspace.burst)
        bucket = self._buckets_by_name.get(workspace.name)
        if bucket is None:
            bucket = _Bucket(most * FIRST_LEVEL, now)
            self._buckets_by_name[workspace.name] = bucket
        gained = (now - bucket.at) * workspace.rate_per_s
        # Late reports may leave a debt; one burst of it is remembered.
        bucket.level = max(-most, min(most, bucket.level + gained))
        bucket.at = now
        return bucket


def create_rates(
    spend: Callable[[str], None],
    clock: Callable[[], float] = deadlines.now,
) -> Rates:
    """Create the buckets.

    Args:
        spend: Called with the workspace of each admitted request, so that the
            other gateways are told.
        clock: Returns seconds on a monotonic clock.
    """
    return Rates(spend, clock)
