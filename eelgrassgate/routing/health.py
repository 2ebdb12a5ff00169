"""Takes endpoints out on evidence, and lets them in again by trial."""

from collections.abc import Iterable
import enum
import statistics
from typing import Final

from eelgrassgate.routing import base

HALF_LIFE_S: Final = 10.0
MIN_ILL: Final = 3.0
MIN_ILL_PART: Final = 0.5
ILL_OVER_PEERS: Final = 2.0
MIN_SAMPLES: Final = 10.0
SLOW_OVER_PEERS: Final = 3.0
SLOW_BY_S: Final = 0.2
SMOOTHING: Final = 0.2
MAX_OUT_PART: Final = 0.34
FIRST_OUT_S: Final = 5.0
MAX_OUT_S: Final = 300.0
GROWTH: Final = 2.0
TRIALS_NEEDED: Final = 3


class State(enum.Enum):
    """Whether an endpoint takes part."""

    IN = "in"
    OUT = "out"
    TRIAL = "trial"


class Record:
    """Evidence on one endpoint; counts halve every `HALF_LIFE_S`."""

    def __init__(self, now: float) -> None:
        """Create with no evidence."""
        self.state = State.IN
        self.until = now
        self.out_s = FIRST_OUT_S
        self._at = now
        self._trials_passed = 0
        self.whole = 0.0
        self.ill = 0.0
        self.latency_s: float | None = None

    def take(self, outcome: base.Outcome, now: float) -> None:
        """Take how an attempt ended."""
        factor = 0.5 ** (max(0.0, now - self._at) / HALF_LIFE_S)
        self._at = max(self._at, now)
        self.whole *= factor
        self.ill *= factor
        if outcome.is_endpoint_fault:
            self.ill += 1.0
        elif outcome.is_whole:
            self.whole += 1.0
            self._take_latency(outcome.first_part_s)

    def begin_trial(self) -> None:
        """Begin one trial; a second waits for its outcome."""
        self.state = State.TRIAL

    def end_trial(
        self, outcome: base.Outcome, limit_s: float, now: float
    ) -> None:
        """Take a trial's outcome; it must be whole within `limit_s`."""
        first_s = outcome.first_part_s or 0.0
        if outcome.is_endpoint_fault or first_s > limit_s:
            self.put_out(now)
        elif outcome.is_whole:
            self._trials_passed += 1
            self.state = State.OUT
            self.until = now
            if self._trials_passed >= TRIALS_NEEDED:
                self.state = State.IN
                self._forget()
        else:
            self.state = State.OUT
            self.until = now

    def put_out(self, now: float) -> None:
        """Take the endpoint out, each time for longer."""
        self.state = State.OUT
        self.until = now + self.out_s
        self.out_s = min(MAX_OUT_S, self.out_s * GROWTH)
        self._trials_passed = 0

    def calm(self) -> None:
        """Let the next time out be short again."""
        self.out_s = FIRST_OUT_S

    def is_ill(self, peers: Iterable["Record"]) -> bool:
        """Tell whether it fails far more often than its peers."""
        if self.ill < MIN_ILL or self._get_ill_part() < MIN_ILL_PART:
            return False
        listed = list(peers)
        ill = sum(peer.ill for peer in listed)
        total = ill + sum(peer.whole for peer in listed)
        peers_part = ill / total if total else 0.0
        return self._get_ill_part() > peers_part * ILL_OVER_PEERS

    def is_slow(self, peers: Iterable["Record"]) -> bool:
        """Tell whether its first parts come far later than its peers'."""
        if self.latency_s is None or self.whole < MIN_SAMPLES:
            return False
        limit_s = compute_limit_s(peers)
        return limit_s is not None and self.latency_s > limit_s

    def _get_ill_part(self) -> float:
        total = self.ill + self.whole
        return self.ill / total if total else 0.0

    def _take_latency(self, first_s: float | None) -> None:
        if first_s is None:
            return
        if self.latency_s is None:
            self.latency_s = first_s
        self.latency_s += SMOOTHING * (first_s - self.latency_s)

    def _forget(self) -> None:
        self.whole = 0.0
        self.ill = 0.0
        self.latency_s = None


def compute_limit_s(peers: Iterable[Record]) -> float | None:
    """Return the latency above which an endpoint is slow, if known."""
    known = [peer.latency_s for peer in peers if peer.latency_s is not None]
    if not known:
        return None
    return SLOW_OVER_PEERS * statistics.median(known) + SLOW_BY_S


class Health:
    """Evidence on all endpoints, compared with those that serve the same."""

    def __init__(self) -> None:
        """Create with no endpoint."""
        self._records_by_agent: dict[str, Record] = {}
        self._groups_by_agent: dict[str, str] = {}
        self._agents_by_group: dict[str, set[str]] = {}

    def add(self, agent: str, group: str, now: float) -> None:
        """Add an agent whose peers are the others of `group`."""
        self._leave_group(agent)
        self._groups_by_agent[agent] = group
        self._agents_by_group.setdefault(group, set()).add(agent)
        if agent not in self._records_by_agent:
            self._records_by_agent[agent] = Record(now)

    def remove(self, agent: str) -> None:
        """Forget an agent, but not that it was taken out."""
        self._leave_group(agent)
        if self.is_in(agent):
            self._records_by_agent.pop(agent, None)

    def is_in(self, agent: str) -> bool:
        """Tell whether an agent takes part."""
        record = self._records_by_agent.get(agent)
        return record is None or record.state is State.IN

    def is_due(self, agent: str, now: float) -> bool:
        """Tell whether an agent that is out may be tried."""
        record = self._records_by_agent.get(agent)
        if record is None or record.state is not State.OUT:
            return False
        return now >= record.until

    def begin_trial(self, agent: str) -> None:
        """Begin a trial of an agent that is due."""
        self._records_by_agent[agent].begin_trial()

    def take(
        self, agent: str, is_trial: bool, outcome: base.Outcome, now: float
    ) -> None:
        """Take how an attempt ended, and judge its endpoint."""
        record = self._records_by_agent.get(agent)
        if record is None:
            return
        peers = self._get_peers(agent)
        if is_trial:
            if record.state is State.TRIAL:
                limit_s = compute_limit_s(peers)
                record.end_trial(
                    outcome, float("inf") if limit_s is None else limit_s, now
                )
            return
        if record.state is not State.IN:
            return
        record.take(outcome, now)
        if record.whole > MIN_SAMPLES and record.ill < 1.0:
            record.calm()
        is_outlier = record.is_ill(peers) or record.is_slow(peers)
        if is_outlier and self._may_put_out(peers):
            record.put_out(now)

    def _get_peers(self, agent: str) -> list[Record]:
        group = self._groups_by_agent.get(agent, "")
        return [
            self._records_by_agent[other]
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

    def _may_put_out(self, peers: list[Record]) -> bool:
        """Keep most of a group in, whatever the evidence."""
        if not peers:
            return False
        out = sum(peer.state is not State.IN for peer in peers)
        return out + 1 <= max(1.0, MAX_OUT_PART * (len(peers) + 1))
