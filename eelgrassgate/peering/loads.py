"""Requests in flight by endpoint, aggregated over all processes."""

from collections.abc import Iterator
from collections.abc import Mapping
import contextlib

import anyio

from eelgrassgate import outcomes

_Counts = dict[str, int]


class Loads:
    """Counts by endpoint: own ones are exact, peers' ones as last reported.

    Attributes:
        version: Increases whenever own counts change.
        urgent_report_requested: Set while an endpoint has more requests in
            flight than slots and the peers have not been informed.
    """

    def __init__(self) -> None:
        """Initialize without requests; see `create_loads`."""
        self._own = {one: _Counts() for one in outcomes.RequestClass}
        self._total = {one: _Counts() for one in outcomes.RequestClass}
        self._counts_by_peer: dict[
            str, dict[outcomes.RequestClass, Mapping[str, int]]
        ] = {}
        self.version = 0
        self.urgent_report_requested = anyio.Event()

    def count_in_flight(self, endpoint: str) -> int:
        """Return the number of requests in flight at an endpoint."""
        return self.count_in_flight_of_class(
            endpoint, outcomes.RequestClass.ONLINE
        ) + self.count_in_flight_of_class(endpoint, outcomes.RequestClass.BATCH)

    def count_in_flight_of_class(
        self, endpoint: str, kind: outcomes.RequestClass
    ) -> int:
        """Return the number of requests of one class in flight."""
        return self._total[kind].get(endpoint, 0)

    def get_own_counts(self) -> tuple[_Counts, _Counts]:
        """Return this process's counts of online requests and batch items."""
        own = self._own
        return dict(own[outcomes.RequestClass.ONLINE]), dict(
            own[outcomes.RequestClass.BATCH]
        )

    @contextlib.contextmanager
    def track(
        self, endpoint: str, kind: outcomes.RequestClass
    ) -> Iterator[None]:
        """Count a request as in flight within the context."""
        self._adjust(endpoint, kind, 1)
        try:
            yield
        finally:
            self._adjust(endpoint, kind, -1)

    def _adjust(
        self, endpoint: str, kind: outcomes.RequestClass, amount: int
    ) -> None:
        _adjust(self._own[kind], endpoint, amount)
        _adjust(self._total[kind], endpoint, amount)
        self.version += 1

    def get_batch_counts_by_peer(self, endpoint: str) -> dict[str, int]:
        """Return the number of batch items of each peer at an endpoint."""
        return {
            name: reported[outcomes.RequestClass.BATCH][endpoint]
            for name, reported in self._counts_by_peer.items()
            if reported[outcomes.RequestClass.BATCH].get(endpoint)
        }

    def request_urgent_report(self) -> None:
        """Request an immediate report, so that batch items are preempted."""
        self.urgent_report_requested.set()

    def set_peer_counts(
        self,
        name: str,
        online_by_endpoint: Mapping[str, int],
        batch_by_endpoint: Mapping[str, int],
    ) -> None:
        """Replace the counts that a peer has reported."""
        reported = {
            outcomes.RequestClass.ONLINE: online_by_endpoint,
            outcomes.RequestClass.BATCH: batch_by_endpoint,
        }
        previous = self._counts_by_peer.get(name, {})
        for kind, counts in reported.items():
            total = self._total[kind]
            for endpoint, amount in previous.get(kind, {}).items():
                _adjust(total, endpoint, -amount)
            for endpoint, amount in counts.items():
                _adjust(total, endpoint, amount)
        self._counts_by_peer[name] = reported


def _adjust(counts: _Counts, endpoint: str, amount: int) -> None:
    left = counts.get(endpoint, 0) + amount
    if left > 0:
        counts[endpoint] = left
    else:
        counts.pop(endpoint, None)


def create_loads() -> Loads:
    """Create counts without requests in flight."""
    return Loads()
