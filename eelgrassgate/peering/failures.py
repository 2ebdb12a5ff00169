"""How often endpoints fail, counted over all processes.

One process sees an endpoint a few times in ten seconds, too seldom to tell a
failing one from bad luck. So processes tell each other what they saw, but only
of endpoints that somebody suspects, which keeps reports short.
"""

from collections.abc import Callable
from collections.abc import Mapping
from typing import Final

import msgspec

from eelgrassgate import deadlines

# What was seen counts half as much after so long, so that an endpoint that
# works again is used again within a few seconds.
HALF_LIFE_S: Final = 3.0
# Runs that every endpoint is assumed to have answered well; keeps one failure
# from making an endpoint look broken.
PRIOR_RUNS: Final = 3.0
# From this many failures on, faded, an endpoint is suspected.
SUSPECT_FAILURES: Final = 0.2
# Parts are worked out anew this often; a failure seen here counts at once.
SUM_EVERY_S: Final = 0.1

# Failures and runs, both faded, by endpoint.
Told = Mapping[str, tuple[float, float]]


class _Seen(msgspec.Struct):
    """What one process saw of one endpoint.

    Attributes:
        failures: Runs that failed, faded.
        runs: All runs, faded.
        at: The instant up to which they are faded.
    """

    failures: float
    runs: float
    at: float


class Failures:
    """What this process and its peers saw of endpoints lately."""

    def __init__(
        self,
        is_near: Callable[[str], bool],
        clock: Callable[[], float],
    ) -> None:
        """Create with nothing seen; see `create_failures`."""
        self._is_near = is_near
        self._clock = clock
        self._own_by_endpoint: dict[str, _Seen] = {}
        self._told_by_peer: dict[str, dict[str, _Seen]] = {}
        self._part_by_endpoint: dict[str, float] = {}
        self._summed_at = 0.0

    def record_run(self, endpoint: str, *, has_failed: bool) -> None:
        """Note how a run at an endpoint ended."""
        now = self._clock()
        seen = self._own_by_endpoint.setdefault(endpoint, _Seen(0.0, 0.0, now))
        _fade(seen, now)
        seen.runs += 1.0
        if has_failed:
            seen.failures += 1.0
            self._sum(now)

    def get_failure_rate(self, endpoint: str) -> float:
        """Return the part of an endpoint's runs that fail, from 0 to 1."""
        now = self._clock()
        if now >= self._summed_at + SUM_EVERY_S:
            self._sum(now)
        return self._part_by_endpoint.get(endpoint, 0.0)

    def _sum(self, now: float) -> None:
        """Work out all parts; most endpoints are not suspected.

        An endpoint may fail callers of one zone only, so the nearest sum that
        looks worst counts.
        """
        self._summed_at = now
        near = [self._own_by_endpoint]
        far: list[dict[str, _Seen]] = []
        for name, told in self._told_by_peer.items():
            (near if self._is_near(name) else far).append(told)
        parts = _compute_parts(near, now)
        for name, part in _compute_parts([*near, *far], now).items():
            parts[name] = max(part, parts.get(name, 0.0))
        self._part_by_endpoint = parts

    def list_suspects(self) -> dict[str, tuple[float, float]]:
        """Return what this process saw of endpoints that anybody suspects."""
        self._sum(self._clock())
        return {
            name: (
                round(self._own_by_endpoint[name].failures, 1),
                round(self._own_by_endpoint[name].runs, 1),
            )
            for name in self._part_by_endpoint
            if name in self._own_by_endpoint
        }

    def set_peer_failures(self, name: str, told: Told) -> None:
        """Take what another process saw; replaces what it told before."""
        now = self._clock()
        if told:
            self._told_by_peer[name] = {
                endpoint: _Seen(failures, runs, now)
                for endpoint, (failures, runs) in told.items()
            }
        else:
            self._told_by_peer.pop(name, None)

    def retain_endpoints(self, endpoints: Mapping[str, object]) -> None:
        """Forget endpoints that are gone."""
        for name in list(self._own_by_endpoint):
            if name not in endpoints:
                del self._own_by_endpoint[name]


def _compute_parts(
    sources: list[dict[str, _Seen]], now: float
) -> dict[str, float]:
    """Return the part of runs that fail, by suspected endpoint."""
    failures_by_endpoint: dict[str, float] = {}
    runs_by_endpoint: dict[str, float] = {}
    for seen_by_endpoint in sources:
        for name, seen in seen_by_endpoint.items():
            _fade(seen, now)
            failures = failures_by_endpoint.get(name, 0.0)
            failures_by_endpoint[name] = failures + seen.failures
            runs = runs_by_endpoint.get(name, PRIOR_RUNS)
            runs_by_endpoint[name] = runs + seen.runs
    return {
        name: failures / runs_by_endpoint[name]
        for name, failures in failures_by_endpoint.items()
        if failures >= SUSPECT_FAILURES
    }


def _fade(seen: _Seen, now: float) -> None:
    factor = 0.5 ** ((now - seen.at) / HALF_LIFE_S)
    seen.failures *= factor
    seen.runs *= factor
    seen.at = now


def create_failures(
    is_near: Callable[[str], bool] = lambda peer: True,
    clock: Callable[[], float] = deadlines.now,
) -> Failures:
    """Create with nothing seen.

    Args:
        is_near: Tells whether a peer reaches endpoints from the same zone.
        clock: Returns seconds on a monotonic clock.
    """
    return Failures(is_near, clock)
