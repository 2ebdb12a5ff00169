"""The router's view of each agent."""

from typing import Final

from eelgrassgate import deadlines
from eelgrassgate import messages
from eelgrassgate import outcomes

INITIAL_DURATION_S: Final = 1.0
SMOOTHING_FACTOR: Final = 0.1

_IDLE_REPORT: Final = messages.LoadReport(
    online_queued=0,
    online_running=0,
    batch_queued=0,
    batch_running=0,
    window=8,
)


class Candidate:
    """An agent and the estimated load of its endpoint.

    Load reports are late, so the estimate adds the attempts that this entry
    has started and finished since the last report.

    Attributes:
        agent: The agent's instance name.
        info: The agent's endpoint.
        zone: The agent's zone.
        region: The agent's region.
        is_leaving: Whether the agent announced that it is shutting down.
        is_listed_leaving: Whether the instance list shows it as leaving.
    """

    def __init__(
        self, agent: str, info: messages.EndpointInfo, zone: str, region: str
    ) -> None:
        """Create the view of a newly connected agent."""
        self.agent = agent
        self.info = info
        self.zone = zone
        self.region = region
        self.is_leaving = False
        self.is_listed_leaving = False
        self._report = _IDLE_REPORT
        self._in_flight = dict.fromkeys(outcomes.RequestClass, 0)
        self._in_flight_at_report = dict(self._in_flight)
        self._mean_duration_s = INITIAL_DURATION_S

    @property
    def window(self) -> int:
        """The number of attempts that the endpoint runs concurrently."""
        return max(1, self._report.window)

    def is_accepting(self) -> bool:
        """Return whether the agent accepts new work."""
        return not (self.is_leaving or self.is_listed_leaving)

    def update_load(self, report: messages.LoadReport) -> None:
        """Replace the load report."""
        self._report = report
        self._in_flight_at_report = dict(self._in_flight)
        self.is_leaving = self.is_leaving or report.is_leaving

    def record_start(self, klass: outcomes.RequestClass) -> None:
        """Count a started attempt."""
        self._in_flight[klass] += 1

    def record_end(
        self, klass: outcomes.RequestClass, duration_s: float | None
    ) -> None:
        """Count a finished attempt.

        Args:
            klass: Online or batch.
            duration_s: The duration of a complete attempt, None otherwise.
        """
        self._in_flight[klass] -= 1
        if duration_s is not None:
            self._mean_duration_s += SMOOTHING_FACTOR * (
                duration_s - self._mean_duration_s
            )

    def estimate_load(self, klass: outcomes.RequestClass) -> int:
        """Estimate the attempts at the agent ahead of new `klass` work.

        Online work has priority, so only online attempts are ahead of it.
        """
        load = self._count_reported(klass)
        load += self._count_unreported(outcomes.RequestClass.ONLINE)
        if klass is outcomes.RequestClass.BATCH:
            load += self._count_unreported(outcomes.RequestClass.BATCH)
        return max(0, load)

    def estimate_wait_s(self, klass: outcomes.RequestClass) -> float:
        """Estimate the seconds that new `klass` work waits at the agent.

        This is the agent's estimate plus the work sent from here since then.
        """
        reported_s = self._report.wait_ms / deadlines.MS_PER_S
        load = self.estimate_load(klass)
        if load < self.window:
            return 0.0
        known = self._count_reported(klass)
        added = max(0, load + 1 - max(known, self.window))
        return reported_s + added / self.window * self._mean_duration_s

    def _count_reported(self, klass: outcomes.RequestClass) -> int:
        report = self._report
        online = report.online_queued + report.online_running
        if klass is outcomes.RequestClass.ONLINE:
            return online
        return online + report.batch_queued + report.batch_running

    def _count_unreported(self, klass: outcomes.RequestClass) -> int:
        return self._in_flight[klass] - self._in_flight_at_report[klass]
