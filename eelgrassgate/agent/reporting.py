"""Sends load reports to entries, on change and at least every second."""

from collections.abc import Callable
from typing import Final

import anyio

from eelgrassgate import messages
from eelgrassgate.link import base

MAX_REPORT_INTERVAL_S: Final = 1.0
MIN_REPORT_INTERVAL_S: Final = 0.05
# Total over all entries: in a large fleet each entry gets reports less often,
# so that none is flooded.
MAX_REPORTS_PER_S: Final = 100.0
CONTROL_LANE: Final = "control"

CreateReport = Callable[[], messages.LoadReport]


class Reporter:
    """Sends load reports on all control connections."""

    def __init__(self, create_report: CreateReport) -> None:
        """Create a reporter that sends what `create_report` returns."""
        self._create_report = create_report
        self._peers: set[base.Peer] = set()
        self._changed = anyio.Event()

    def add(self, peer: base.Peer) -> None:
        """Add a control connection and send it a report."""
        if peer.hello.lane == CONTROL_LANE:
            self._peers.add(peer)
            self.mark_changed()

    def remove(self, peer: base.Peer) -> None:
        """Remove a connection."""
        self._peers.discard(peer)

    def mark_changed(self) -> None:
        """Request a new report because the load has changed."""
        self._changed.set()

    def announce_leave(self) -> None:
        """Tell all entries that the agent takes no new work."""
        for peer in self._peers:
            peer.send(messages.Leave())
        self.mark_changed()

    async def run(self) -> None:
        """Send reports until cancelled."""
        while True:
            with anyio.move_on_after(MAX_REPORT_INTERVAL_S):
                await self._changed.wait()
            self._changed = anyio.Event()
            report = self._create_report()
            for peer in self._peers:
                peer.send(report)
            await anyio.sleep(compute_min_interval_s(len(self._peers)))


def compute_min_interval_s(entries: int) -> float:
    """Return the minimum time between two reports, in seconds.

    Args:
        entries: Number of entries that receive each report.
    """
    return max(MIN_REPORT_INTERVAL_S, entries / MAX_REPORTS_PER_S)
