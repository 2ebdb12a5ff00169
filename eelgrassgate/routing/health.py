"""Outlier detection: ejects failing or slow endpoints and probes them."""

from collections.abc import Iterable
import enum
import statistics
from typing import Final

from eelgrassgate.routing import base

HALF_LIFE_S: Final = 10.0
MIN_FAILURES: Final = 3.0
MIN_FAILURE_RATE: Final = 0.5
FAILURE_RATE_OVER_PEERS: Final = 2.0
MIN_SAMPLES: Final = 10.0
LATENCY_OVER_PEERS: Final = 3.0
LATENCY_MARGIN_S: Final = 0.2
SMOOTHING_FACTOR: Final = 0.2
MAX_EJECTED_FRACTION: Final = 0.34
BASE_EJECTION_S: Final = 5.0
MAX_EJECTION_S: Final = 300.0
EJECTION_BACKOFF: Final = 2.0
PROBES_REQUIRED: Final = 3


class State(enum.Enum):
    """Whether an endpoint receives requests."""

    ACTIVE = "in"
    EJECTED = "out"
    PROBING = "trial"


class EndpointHealth:
    """Outcomes of one endpoint; counts halve every `HALF_LIFE_S`."""

    def __init__(self, now: float) -> None:
        """Create an active endpoint without outcomes."""
        self.state = State.ACTIVE
        self.probe_at = now
        self.ejection_s = BASE_EJECTION_S
        self._updated_at = now
        self._probes_passed = 0
        self.successes = 0.0
        self.failures = 0.0
        self.latency_s: float | None = None

    def record_outcome(self, outcome: base.Outcome, now: float) -> None:
        """Record the outcome of an attempt."""
        factor = 0.5 ** (max(0.0, now - self._updated_at) / HALF_LIFE_S)
        self._updated_at = max(self._updated_at, now)
        self.successes *= factor
        self.failures *= factor
        if outcome.is_endpoint_fault:
            self.failures += 1.0
        elif outcome.is_complete:
            self.successes += 1.0
            self._record_latency(outcome.first_part_s)

    def begin_probe(self) -> None:
        """Begin a probe; the next probe may begin after its outcome."""
        self.state = State.PROBING

    def end_probe(
        self, outcome: base.Outcome, limit_s: float, now: float
    ) -> None:
        """Record a probe's outcome.

        A probe passes if its response is complete and the first part arrives
        within `limit_s`.
        """
        first_s = outcome.first_part_s or 0.0
        if outcome.is_endpoint_fault or first_s > limit_s:
            self.eject(now)
        elif outcome.is_complete:
            self._probes_passed += 1
            self.state = State.EJECTED
            self.probe_at = now
            if self._probes_passed >= PROBES_REQUIRED:
                self.state = State.ACTIVE
                self._reset()
        else:
            self.state = State.EJECTED
            self.probe_at = now

    def eject(self, now: float) -> None:
        """Eject the endpoint, for longer each time."""
        self.state = State.EJECTED
        self.probe_at = now + self.ejection_s
        self.ejection_s = min(
            MAX_EJECTION_S, self.ejection_s * EJECTION_BACKOFF
        )
        self._probes_passed = 0

    def reset_backoff(self) -> None:
        """Reset the duration of the next ejection."""
        self.ejection_s = BASE_EJECTION_S

    def is_failing(self, peers: Iterable["EndpointHealth"]) -> bool:
        """Return whether the endpoint fails far more often than its peers."""
        if (
            self.failures < MIN_FAILURES
            or self._compute_failure_rate() < MIN_FAILURE_RATE
        ):
            return False
        known_peers = list(peers)
        failures = sum(peer.failures for peer in known_peers)
        total = failures + sum(peer.successes for peer in known_peers)
        peers_rate = failures / total if total else 0.0
        return (
            self._compute_failure_rate() > peers_rate * FAILURE_RATE_OVER_PEERS
        )

    def is_slow(self, peers: Iterable["EndpointHealth"]) -> bool:
        """Return whether the first parts arrive far later than from peers."""
        if self.latency_s is None or self.successes < MIN_SAMPLES:
            return False
        limit_s = compute_latency_limit_s(peers)
        return limit_s is not None and self.latency_s > limit_s

    def _compute_failure_rate(self) -> float:
        total = self.failures + self.successes
        return self.failures / total if total else 0.0

    def _record_latency(self, first_s: float | None) -> None:
        if first_s is None:
            return
        if self.latency_s is None:
            self.latency_s = first_s
        self.latency_s += SMOOTHING_FACTOR * (first_s - self.latency_s)

    def _reset(self) -> None:
        self.successes = 0.0
        self.failures = 0.0
        self.latency_s = None


def compute_latency_limit_s(peers: Iterable[EndpointHealth]) -> float | None:
    """Return the latency above which an endpoint is slow; None if unknown."""
    known = [peer.latency_s for peer in peers if peer.latency_s is not None]
    if not known:
        return None
    return LATENCY_OVER_PEERS * statistics.median(known) + LATENCY_MARGIN_S


class OutlierDetector:
    """Compares endpoints that serve the same models or the same service."""

    def __init__(self) -> None:
        """Create a detector without endpoints."""
        self._health_by_agent: dict[str, EndpointHealth] = {}
        self._groups_by_agent: dict[str, str] = {}
        self._agents_by_group: dict[str, set[str]] = {}

    def add(self, agent: str, group: str, now: float) -> None:
        """Add an agent whose peers are the other agents of `group`."""
        self._leave_group(agent)
        self._groups_by_agent[agent] = group
        self._agents_by_group.setdefault(group, set()).add(agent)
        if agent not in self._health_by_agent:
            self._health_by_agent[agent] = EndpointHealth(now)

    def remove(self, agent: str) -> None:
        """Remove an agent, but keep its state if it is ejected."""
        self._leave_group(agent)
        if self.is_active(agent):
            self._health_by_agent.pop(agent, None)

    def is_active(self, agent: str) -> bool:
        """Return whether an agent is not ejected."""
        health = self._health_by_agent.get(agent)
        return health is None or health.state is State.ACTIVE

    def is_probe_due(self, agent: str, now: float) -> bool:
        """Return whether an ejected agent may be probed."""
        health = self._health_by_agent.get(agent)
        if health is None or health.state is not State.EJECTED:
            return False
        return now >= health.probe_at

    def begin_probe(self, agent: str) -> None:
        """Begin a probe of an ejected agent."""
        self._health_by_agent[agent].begin_probe()

    def record_outcome(
        self, agent: str, is_probe: bool, outcome: base.Outcome, now: float
    ) -> None:
        """Record an attempt's outcome; eject its endpoint if an outlier."""
        health = self._health_by_agent.get(agent)
        if health is None:
            return
        peers = self._get_peers(agent)
        if is_probe:
            if health.state is State.PROBING:
                limit_s = compute_latency_limit_s(peers)
                health.end_probe(
                    outcome, float("inf") if limit_s is None else limit_s, now
                )
            return
        if health.state is not State.ACTIVE:
            return
        health.record_outcome(outcome, now)
        if health.successes > MIN_SAMPLES and health.failures < 1.0:
            health.reset_backoff()
        is_outlier = health.is_failing(peers) or health.is_slow(peers)
        if is_outlier and self._can_eject(peers):
            health.eject(now)

    def _get_peers(self, agent: str) -> list[EndpointHealth]:
        group = self._groups_by_agent.get(agent, "")
        return [
            self._health_by_agent[other]
            for other in self._agents_by_group.get(group, ())
            if other != agent
        ]

    def _leave_group(self, agent: str) -> None:
        group = self._groups_by_agent.pop(agent, None)
        if group is None:
            return
        self._agents_by_group[group].discard(agent)
        if not self._agents_by_group[group]:
            del self._agents_by_group[group]

    def _can_eject(self, peers: list[EndpointHealth]) -> bool:
        """Return whether one more agent of the group may be ejected."""
        if not peers:
            return False
        ejected = sum(peer.state is not State.ACTIVE for peer in peers)
        return ejected + 1 <= max(1.0, MAX_EJECTED_FRACTION * (len(peers) + 1))
