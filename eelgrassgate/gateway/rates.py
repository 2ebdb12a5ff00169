"""Token bucket rate limits of workspaces, shared by all gateways.

Each gateway keeps a bucket for the whole fleet and deducts both what it admits
itself and what the other gateways report. Reports are delayed by a fraction of
a second; until the next one, each of the other gateways is expected to admit in
the same proportion to this one as before. A gateway that receives no reports
uses only its equal share of the rate.
"""

import bisect
from collections.abc import Callable
import math
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
# Least initial tokens, up to the burst, so that a small burst does not make a
# starting gateway refuse its first request. The users allow 20 requests beyond
# any limit.
MIN_INITIAL_TOKENS: Final = 8.0
# Retry delays are sent in whole milliseconds; rounding down would cause a
# second refusal.
ROUNDING_MARGIN_S: Final = 0.001
# The first report from a process younger than this holds everything that it has
# admitted.
MAX_NEW_PEER_UPTIME_S: Final = 2.0
# Time constant by which admissions are forgotten when gateways are compared. It
# spans several alternations between admitting and refusing at a used-up rate.
PROPORTION_DECAY_S: Final = 4.0
# Limit of the expected rate of a gateway, as a multiple of its mean. After load
# has moved here from another gateway, less is reserved for that one.
MAX_PEAK: Final = 3.0


class _RecentCount(msgspec.Struct):
    """A count of admissions that decays exponentially.

    Attributes:
        count: The count at the time of the last addition.
        updated_at: Monotonic time of the last addition in seconds.
    """

    count: float = 0.0
    updated_at: float = 0.0

    def add(self, admitted: float, now: float) -> None:
        """Add admissions."""
        self.count = self.get(now) + admitted
        self.updated_at = now

    def get(self, now: float) -> float:
        """Return the decayed count."""
        age_s = now - self.updated_at
        return self.count * math.exp(-age_s / PROPORTION_DECAY_S)


class _OwnUsage(msgspec.Struct):
    """What this gateway has admitted for a workspace.

    Attributes:
        recent: Recent admissions.
        times: Monotonic times in seconds of the latest admissions, at least
            of those within the last `FRESH_REPORT_S`.
    """

    recent: _RecentCount
    times: list[float]

    def add(self, now: float) -> None:
        """Add an admission."""
        self.recent.add(1.0, now)
        expired = bisect.bisect(self.times, now - reports.FRESH_REPORT_S)
        del self.times[:expired]
        self.times.append(now)

    def count_since(self, start: float) -> int:
        """Return the number of admissions after `start`."""
        return len(self.times) - bisect.bisect(self.times, start)


class _PeerUsage(msgspec.Struct):
    """What another gateway has reported since its start.

    Attributes:
        incarnation: Incarnation of the gateway.
        is_complete: Whether its reports were received since its start.
        reported_at: Monotonic time in seconds of its last report.
        admitted_by_workspace: Total admissions as of its last report.
        recent_by_workspace: Recent admissions.
    """

    incarnation: int
    is_complete: bool
    reported_at: float
    admitted_by_workspace: dict[str, float]
    recent_by_workspace: dict[str, _RecentCount]


class Rates(reports.ReportListener):
    """The token buckets of all workspaces.

    Attributes:
        share: Fraction of each rate that this process may use.
        lost_share: Fraction of the gateways whose reports no longer arrive.
    """

    def __init__(
        self,
        record_admission: Callable[[str], None],
        clock: Callable[[], float],
    ) -> None:
        """Initialize without buckets; see `create_rates`."""
        self._record_admission = record_admission
        self._usage_by_peer: dict[str, _PeerUsage] = {}
        self._own_usage_by_workspace: dict[str, _OwnUsage] = {}
        self._clock = clock
        self._workspaces_by_name: dict[str, catalog.Workspace] = {}
        self._buckets_by_name: dict[str, token_bucket.TokenBucket] = {}
        self.share = 1.0
        self.lost_share = 0.0

    def configure(self, current: catalog.Catalog) -> None:
        """Apply the workspaces of a configuration."""
        self._workspaces_by_name = dict(current.workspaces_by_name)
        for name in list(self._buckets_by_name):
            if name not in self._workspaces_by_name:
                del self._buckets_by_name[name]
                self._own_usage_by_workspace.pop(name, None)

    def admit(self, name: str) -> float | None:
        """Admit a request and return None, or return the retry delay."""
        workspace = self._workspaces_by_name.get(name)
        if workspace is None or workspace.rate_per_s <= 0:
            return None
        now = self._clock()
        bucket = self._refill(workspace)
        available = bucket.tokens - self._estimate_unreported(name, now)
        # Each gateway whose reports are missing may admit as many requests as
        # this one meanwhile, so their tokens are deducted in advance.
        tokens_needed = 1.0 / self.share
        if available >= tokens_needed:
            bucket.tokens -= tokens_needed
            self._own_usage_by_workspace.setdefault(
                name, _OwnUsage(_RecentCount(), [])
            ).add(now)
            self._record_admission(name)
            return None
        wait_s = (tokens_needed - available) / max(workspace.rate_per_s, 1.0)
        return wait_s + ROUNDING_MARGIN_S

    def handle_report(self, report: reports.Report) -> None:
        """Deduct what another gateway has admitted from the buckets."""
        now = self._clock()
        usage = self._usage_by_peer.get(report.name)
        if usage is None or usage.incarnation != report.incarnation:
            usage = _PeerUsage(
                report.incarnation,
                report.uptime_s < MAX_NEW_PEER_UPTIME_S,
                now,
                {},
                {},
            )
            self._usage_by_peer[report.name] = usage
        usage.reported_at = now
        for name, admitted in report.admitted_by_workspace.items():
            counted = usage.admitted_by_workspace.get(name)
            if counted == admitted:
                continue
            if counted is None:
                # Admissions before the first report were covered by the
                # reduced share.
                counted = 0.0 if usage.is_complete else admitted - 1.0
            usage.admitted_by_workspace[name] = admitted
            if admitted > counted:
                recent = usage.recent_by_workspace.setdefault(
                    name, _RecentCount()
                )
                recent.add(admitted - counted, now)
            workspace = self._workspaces_by_name.get(name)
            if workspace is not None and workspace.rate_per_s > 0:
                # Those that have just started report their admissions soon, so
                # only lost gateways may admit as many unreported.
                price = (self.share + self.lost_share) / self.share
                tokens = (admitted - counted) * price
                self._refill(workspace).tokens -= tokens

    def _estimate_unreported(self, name: str, now: float) -> float:
        """Estimate the tokens of requests that peers have admitted unreported.

        Gateways without a fresh report are left out, as `share` covers them.
        """
        own = self._own_usage_by_workspace.get(name)
        if own is None:
            return 0.0
        own_recent = max(1.0, own.recent.get(now))
        unreported = 0.0
        for usage in self._usage_by_peer.values():
            age_s = now - usage.reported_at
            recent = usage.recent_by_workspace.get(name)
            if recent is None or age_s > reports.FRESH_REPORT_S:
                continue
            own_count = own.count_since(usage.reported_at)
            mean = recent.get(now) * age_s / PROPORTION_DECAY_S
            unreported += min(
                own_count * recent.get(now) / own_recent, MAX_PEAK * mean
            )
        return unreported

    def _refill(self, workspace: catalog.Workspace) -> token_bucket.TokenBucket:
        now = self._clock()
        # The bucket must hold the tokens of at least one request.
        capacity = max(1.0 / self.share, workspace.burst)
        bucket = self._buckets_by_name.get(workspace.name)
        if bucket is None:
            initial = max(
                capacity * INITIAL_FILL, min(capacity, MIN_INITIAL_TOKENS)
            )
            bucket = token_bucket.TokenBucket(initial, now)
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
