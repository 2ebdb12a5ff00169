"""The availability zones that the operators evacuate.

The watchers of the configuration read them in the store; all processes tell
them in their reports, with the store's revision at which they were read. The
state with the highest revision applies.
"""

from collections.abc import Callable
from collections.abc import Set
from typing import Final

from eelgrassgate import logs
from eelgrassgate.peering import reports

Listener = Callable[[frozenset[str]], None]

# Source of a state that this process has read itself.
STORE: Final = "store"


class Evacuations(reports.ReportListener):
    """The evacuated zones as far as this process knows.

    Attributes:
        zones: The zones.
        revision: The store's revision at which they were read; 0 as long as
            nothing is known.
    """

    def __init__(self) -> None:
        """Initialize without knowledge; see `create_evacuations`."""
        self.zones: frozenset[str] = frozenset()
        self.revision = 0
        self._listeners: list[Listener] = []

    def subscribe(self, listener: Listener) -> None:
        """Call `listener` with the zones whenever they change."""
        self._listeners.append(listener)

    def is_known(self) -> bool:
        """Return whether this process knows which zones are evacuated."""
        return bool(self.revision)

    def update(self, zones: Set[str], revision: int, source: str) -> None:
        """Adopt a state unless a later one is known.

        Args:
            zones: The evacuated zones.
            revision: The store's revision at which they were read.
            source: Where this process learned of them.
        """
        if revision <= self.revision:
            return
        self.revision = revision
        if zones == self.zones:
            return
        previous, self.zones = self.zones, frozenset(zones)
        logs.log_message(
            "zones:evacuated",
            zones=sorted(zones),
            previous=sorted(previous),
            revision=revision,
            source=source,
        )
        for listener in self._listeners:
            listener(self.zones)

    def get_status(self) -> reports.EvacuationStatus:
        """Return what this process reports about evacuations."""
        return reports.EvacuationStatus(
            self.revision, tuple(sorted(self.zones))
        )

    def handle_report(self, report: reports.Report) -> None:
        """Adopt what a peer knows if it is newer."""
        status = report.evacuations
        if status.revision > self.revision:
            self.update(frozenset(status.zones), status.revision, report.name)


def create_evacuations() -> Evacuations:
    """Create the evacuated zones; nothing is known at first."""
    return Evacuations()
