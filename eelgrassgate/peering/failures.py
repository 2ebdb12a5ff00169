"""Failure rates of endpoints, aggregated over all processes.

One process uses an endpoint only a few times in ten seconds, too rarely to
distinguish a failing endpoint from chance. Processes therefore exchange their
counts, but only those of suspected endpoints, which keeps reports short.
"""

from collections.abc import Callable
from collections.abc import Mapping
from typing import Final

import msgspec

from eelgrassgate import deadlines

# Half-life of the exponential decay of counts. An endpoint that has recovered
# is used again within a few seconds.
HALF_LIFE_S: Final = 3.0
# Successful runs assumed for every endpoint, so that a single failure does not
# result in a high failure rate.
PRIOR_RUNS: Final = 3.0
# An endpoint with at least this many failures, after decay, is suspected.
MIN_SUSPECT_FAILURES: Final = 0.2
# How often failure rates are recomputed; own failures take effect immediately.
RECOMPUTE_INTERVAL_S: Final = 0.1

# Failures and runs by endpoint, both after decay.
ReportedFailures = Mapping[str, tuple[float, float]]


class _RunCounts(msgspec.Struct):
    """Counts of one process for one endpoint.

    Attributes:
        failures: Failed runs, after decay.
        runs: All runs, after decay.
        updated_at: Monotonic time up to which the decay is applied.
    """

    failures: float
    runs: float
    updated_at: float


class Failures:
    """Recent failures of endpoints, seen by this process and its peers."""

    def __init__(
        self,
        is_in_same_zone: Callable[[str], bool],
        clock: Callable[[], float],
    ) -> None:
        """Initialize without counts; see `create_failures`."""
        self._is_in_same_zone = is_in_same_zone
        self._clock = clock
        self._own_by_endpoint: dict[str, _RunCounts] = {}
        self._counts_by_peer: dict[str, dict[str, _RunCounts]] = {}
        self._failure_rate_by_endpoint: dict[str, float] = {}
        self._computed_at = 0.0

    def record_run(self, endpoint: str, *, has_failed: bool) -> None:
        """Record the outcome of a run at an endpoint."""
        now = self._clock()
        counts = self._own_by_endpoint.setdefault(
            endpoint, _RunCounts(0.0, 0.0, now)
        )
        _decay(counts, now)
        counts.runs += 1.0
        if has_failed:
            counts.failures += 1.0
            self._recompute(now)

    def get_failure_rate(self, endpoint: str) -> float:
        """Return the failure rate of an endpoint, from 0 to 1."""
        now = self._clock()
        if now >= self._computed_at + RECOMPUTE_INTERVAL_S:
            self._recompute(now)
        return self._failure_rate_by_endpoint.get(endpoint, 0.0)

    def _recompute(self, now: float) -> None:
        """Recompute the failure rates of suspected endpoints.

        An endpoint may fail requests from one zone only, so the rate is the
        higher of the rates within this zone and over all zones.
        """
        self._computed_at = now
        same_zone = [self._own_by_endpoint]
        other_zones: list[dict[str, _RunCounts]] = []
        for name, reported in self._counts_by_peer.items():
            (same_zone if self._is_in_same_zone(name) else other_zones).append(
                reported
            )
        rates = _compute_failure_rates(same_zone, now)
        for name, rate in _compute_failure_rates(
            [*same_zone, *other_zones], now
        ).items():
            rates[name] = max(rate, rates.get(name, 0.0))
        self._failure_rate_by_endpoint = rates

    def get_suspect_counts(self) -> dict[str, tuple[float, float]]:
        """Return own counts for endpoints that any process suspects."""
        self._recompute(self._clock())
        return {
            name: (
                round(self._own_by_endpoint[name].failures, 1),
                round(self._own_by_endpoint[name].runs, 1),
            )
            for name in self._failure_rate_by_endpoint
            if name in self._own_by_endpoint
        }

    def set_peer_failures(self, name: str, reported: ReportedFailures) -> None:
        """Replace the counts that a peer has reported."""
        now = self._clock()
        if reported:
            self._counts_by_peer[name] = {
                endpoint: _RunCounts(failures, runs, now)
                for endpoint, (failures, runs) in reported.items()
            }
        else:
            self._counts_by_peer.pop(name, None)

    def retain_endpoints(self, endpoints: Mapping[str, object]) -> None:
        """Discard the counts of all other endpoints."""
        for name in list(self._own_by_endpoint):
            if name not in endpoints:
                del self._own_by_endpoint[name]


def _compute_failure_rates(
    sources: list[dict[str, _RunCounts]], now: float
) -> dict[str, float]:
    """Return failure rates by suspected endpoint."""
    failures_by_endpoint: dict[str, float] = {}
    runs_by_endpoint: dict[str, float] = {}
    for counts_by_endpoint in sources:
        for name, counts in counts_by_endpoint.items():
            _decay(counts, now)
            failures = failures_by_endpoint.get(name, 0.0)
            failures_by_endpoint[name] = failures + counts.failures
            runs = runs_by_endpoint.get(name, PRIOR_RUNS)
            runs_by_endpoint[name] = runs + counts.runs
    return {
        name: failures / runs_by_endpoint[name]
        for name, failures in failures_by_endpoint.items()
        if failures >= MIN_SUSPECT_FAILURES
    }


def _decay(counts: _RunCounts, now: float) -> None:
    factor = 0.5 ** ((now - counts.updated_at) / HALF_LIFE_S)
    counts.failures *= factor
    counts.runs *= factor
    counts.updated_at = now


def create_failures(
    is_in_same_zone: Callable[[str], bool] = lambda peer: True,
    clock: Callable[[], float] = deadlines.now,
) -> Failures:
    """Create empty failure counts.

    Args:
        is_in_same_zone: Returns whether a peer is in this process's zone.
        clock: Returns seconds on a monotonic clock.
    """
    return Failures(is_in_same_zone, clock)
