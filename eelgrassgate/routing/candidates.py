"""What a router knows of each agent."""

from typing import Final

from eelgrassgate import deadlines
from eelgrassgate import messages
from eelgrassgate import outcomes

FIRST_WHOLE_S: Final = 1.0
SMOOTHING: Final = 0.1

_IDLE: Final = messages.LoadReport(
    online_queued=0,
    online_running=0,
    batch_queued=0,
    batch_running=0,
    window=8,
)


class Candidate:
    """One agent.

    A load report is late; what this entry sent and got back since is added
    to it.

    Attributes:
        agent: The agent's instance name.
        info: What it stands beside.
        zone: Its zone.
        region: Its region.
        is_leaving: Whether its agent says that it leaves.
        is_listed_leaving: Whether the instance list says so.
    """

    def __init__(
        self, agent: str, info: messages.EndpointInfo, zone: str, region: str
    ) -> None:
        """Create the view of an agent that has just connected."""
        self.agent = agent
        self.info = info
        self.zone = zone
        self.region = region
        self.is_leaving = False
        self.is_listed_leaving = False
        self._report = _IDLE
        self._own = dict.fromkeys(outcomes.RequestClass, 0)
        self._own_reported = dict(self._own)
        self._whole_s = FIRST_WHOLE_S

    @property
    def window(self) -> int:
        """How many attempts the endpoint takes at once."""
        return max(1, self._report.window)

    def is_open(self) -> bool:
        """Tell whether the agent takes new work."""
        return not (self.is_leaving or self.is_listed_leaving)

    def take_report(self, report: messages.LoadReport) -> None:
        """Take a load report."""
        self._report = report
        self._own_reported = dict(self._own)
        self.is_leaving = self.is_leaving or report.is_leaving

    def begin(self, klass: outcomes.RequestClass) -> None:
        """Count an attempt sent."""
        self._own[klass] += 1

    def end(self, klass: outcomes.RequestClass, whole_s: float | None) -> None:
        """Count an attempt that ended, after `whole_s` if it was whole."""
        self._own[klass] -= 1
        if whole_s is not None:
            self._whole_s += SMOOTHING * (whole_s - self._whole_s)

    def estimate_load(self, klass: outcomes.RequestClass) -> int:
        """Return the attempts at the agent that new `klass` work meets.

        Batch yields to online, so online work meets only its kind.
        """
        load = self._count_reported(klass)
        load += self._count_since(outcomes.RequestClass.ONLINE)
        if klass is outcomes.RequestClass.BATCH:
            load += self._count_since(outcomes.RequestClass.BATCH)
        return max(0, load)

    def estimate_wait_s(self, klass: outcomes.RequestClass) -> float:
        """Return the seconds that new `klass` work waits at the agent.

        It is the agent's own estimate with what this entry sent since.
        """
        reported_s = self._report.wait_ms / deadlines.MS_PER_S
        load = self.estimate_load(klass)
        if load < self.window:
            return 0.0
        known = self._count_reported(klass)
        added = max(0, load + 1 - max(known, self.window))
        return reported_s + added / self.window * self._whole_s

    def _count_reported(self, klass: outcomes.RequestClass) -> int:
        report = self._report
        online = report.online_queued + report.online_running
        if klass is outcomes.RequestClass.ONLINE:
            return online
        return online + report.batch_queued + report.batch_running

    def _count_since(self, klass: outcomes.RequestClass) -> int:
        return self._own[klass] - self._own_reported[klass]
