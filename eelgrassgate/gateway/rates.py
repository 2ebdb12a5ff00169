"""Token bucket rate limits of workspaces, shared by all gateways.

Each gateway keeps a bucket for the whole fleet and deducts both what it admits
itself and what the other gateways report. Reports are delayed by a fraction of
a second, which bounds the number of requests admitted beyond the rate. A
gateway that receives no reports uses only its equal share of the rate.
"""

from collections.abc import Callable
from typing import Final

import msgspec

from eelgrassgate import deadlines
from eelgrassgate import token_bucket
from eelgrassgate.gateway import catalog
from eelgrassgate.peering import reports

# Initial fraction of the burst. A starting gateway doesn't know what was
# admitted just before; half of the burst can be granted twice within the window
# over which the limit is measured without exceeding the limit.
INITIAL_FILL: Final = 0.5
# Retry delays are sent in whole milliseconds; rounding down would cause a
# second refusal.
ROUNDING_MARGIN_S: Final = 0.001
# The first report from a process younger than this holds everything that it has
# admitted.
MAX_NEW_PEER_UPTIME_S: Final = 2.0


class _PeerUsage(msgspec.Struct):
    """What another gateway has reported since its start.

    Attributes:
        incarnation: Incarnation of the gateway.
        is_complete: Whether its reports were received since its start.
        admitted_by_workspace: Total admissions as of its last report.
    """

    incarnation: int
    is_complete: bool
    admitted_by_workspace: dict[str, float]


class Rates(reports.ReportListener):
    """The token buckets of all workspaces.

    Attributes:
        share: Fraction of each rate that this process may use.
    """

    def __init__(
        self,
        record_admission: Callable[[str], None],
        clock: Callable[[], float],
    ) -> None:
        """Initialize without buckets; see `create_rates`."""
        self._record_admission = record_admission
        self._usage_by_peer: dict[str, _PeerUsage] = {}
        self._clock = clock
        self._workspaces_by_name: dict[str, catalog.Workspace] = {}
        self._buckets_by_name: dict[str, token_bucket.TokenBucket] = {}
        self.share = 1.0

    def configure(self, current: catalog.Catalog) -> None:
        """Apply the workspaces of a configuration."""
        self._workspaces_by_name = dict(current.workspaces_by_name)
        for name in list(self._buckets_by_name):
            if name not in self._workspaces_by_name:
                del self._buckets_by_name[name]

    def admit(self, name: str) -> float | None:
        """Admit a request and return None, or return the retry delay."""
        workspace = self._workspaces_by_name.get(name)
        if workspace is None or workspace.rate_per_s <= 0:
            return None
        bucket = self._refill(workspace)
        # Each gateway whose reports are missing may admit as many requests as
        # this one meanwhile, so their tokens are deducted in advance.
        tokens_needed = 1.0 / self.share
        if bucket.tokens >= tokens_needed:
            bucket.tokens -= tokens_needed
            self._record_admission(name)
            return None
        wait_s = (tokens_needed - bucket.tokens) / max(
            workspace.rate_per_s, 1.0
        )
        return wait_s + ROUNDING_MARGIN_S

    def handle_report(self, report: reports.Report) -> None:
        """Deduct what another gateway has admitted from the buckets."""
        usage = self._usage_by_peer.get(report.name)
        if usage is None or usage.incarnation != report.incarnation:
            usage = _PeerUsage(
                report.incarnation, report.uptime_s < MAX_NEW_PEER_UPTIME_S, {}
            )
            self._usage_by_peer[report.name] = usage
        for name, admitted in report.admitted_by_workspace.items():
            counted = usage.admitted_by_workspace.get(name)
            if counted is None:
                # Admissions before the first report were covered by the
                # reduced share.
                counted = 0.0 if usage.is_complete else admitted - 1.0
            usage.admitted_by_workspace[name] = admitted
            workspace = self._workspaces_by_name.get(name)
            if workspace is not None and workspace.rate_per_s > 0:
                tokens = (admitted - counted) / self.share
                self._refill(workspace).tokens -= tokens

    def _refill(self, workspace: catalog.Workspace) -> token_bucket.TokenBucket:
        now = self._clock()
        # The bucket must hold the tokens of at least one request.
        capacity = max(1.0 / self.share, workspace.burst)
        bucket = self._buckets_by_name.get(workspace.name)
        if bucket is None:
            bucket = token_bucket.TokenBucket(capacity * INITIAL_FILL, now)
            self._buckets_by_name[workspace.name] = bucket
        bucket.refill(now, workspace.rate_per_s, capacity)
        # Delayed reports can make the level negative, down to one burst.
        bucket.tokens = max(-capacity, bucket.tokens)
        return bucket


def create_rates(
    record_admission: Callable[[str], None],
    clock: Callable[[], float] = deadlines.now,
) -> Rates:
    """Create the rate limits.

    Args:
        record_admission: Called with the workspace of each admitted request,
            to report it to the other gateways.
        clock: Returns seconds on a monotonic clock.
    """
    return Rates(record_admission, clock)
