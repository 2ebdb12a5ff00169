"""How many requests each endpoint has in hand, over all processes."""

from collections.abc import Iterator
from collections.abc import Mapping
import contextlib

import anyio

from eelgrassgate import outcomes

_Counts = dict[str, int]


class Loads:
    """Counts by endpoint; own ones are exact, others' as last reported.

    Attributes:
        version: Goes up whenever own counts change.
        pressed: Set while an endpoint has more in hand than it has slots,
            and the others have not been told.
    """

    def __init__(self) -> None:
        """Create with nothing in hand."""
        self._own = {one: _Counts() for one in outcomes.RequestClass}
        self._total = {one: _Counts() for one in outcomes.RequestClass}
        self._peers_by_name: dict[
            str, dict[outcomes.RequestClass, Mapping[str, int]]
        ] = {}
        self.version = 0
        self.pressed = anyio.Event()

    def get(self, endpoint: str) -> int:
        """Return how many requests an endpoint has in hand."""
        return self.get_of(
            endpoint, outcomes.RequestClass.ONLINE
        ) + self.get_of(endpoint, outcomes.RequestClass.BATCH)

    def get_of(self, endpoint: str, kind: outcomes.RequestClass) -> int:
        """Return how many requests of one class it has in hand."""
        return self._total[kind].get(endpoint, 0)

    def get_own(self) -> tuple[_Counts, _Counts]:
        """Return this process's counts: online, batch."""
        own = self._own
        return dict(own[outcomes.RequestClass.ONLINE]), dict(
            own[outcomes.RequestClass.BATCH]
        )

    @contextlib.contextmanager
    def hold(
        self, endpoint: str, kind: outcomes.RequestClass
    ) -> Iterator[None]:
        """Count one request as in hand."""
        self._add(endpoint, kind, 1)
        try:
            yield
        finally:
            self._add(endpoint, kind, -1)

    def _add(
        self, endpoint: str, kind: outcomes.RequestClass, amount: int
    ) -> None:
        _add(self._own[kind], endpoint, amount)
        _add(self._total[kind], endpoint, amount)
        self.version += 1

    def get_batch_by_peer(self, endpoint: str) -> dict[str, int]:
        """Return how many items each other process has at an endpoint."""
        return {
            name: told[outcomes.RequestClass.BATCH][endpoint]
            for name, told in self._peers_by_name.items()
            if told[outcomes.RequestClass.BATCH].get(endpoint)
        }

    def press(self) -> None:
        """Have the others told at once, so that batch items give way."""
        self.pressed.set()

    def set_peer(
        self,
        name: str,
        online_by_endpoint: Mapping[str, int],
        batch_by_endpoint: Mapping[str, int],
    ) -> None:
        """Set what another process has in hand."""
        told = {
            outcomes.RequestClass.ONLINE: online_by_endpoint,
            outcomes.RequestClass.BATCH: batch_by_endpoint,
        }
        earlier = self._peers_by_name.get(name, {})
        for kind, counts in told.items():
            total = self._total[kind]
            for endpoint, amount in earlier.get(kind, {}).items():
                _add(total, endpoint, -amount)
            for endpoint, amount in counts.items():
                _add(total, endpoint, amount)
        self._peers_by_name[name] = told


def _add(counts: _Counts, endpoint: str, amount: int) -> None:
    left = counts.get(endpoint, 0) + amount
    if left > 0:
        counts[endpoint] = left
    else:
        counts.pop(endpoint, None)


def create_loads() -> Loads:
    """Create a table with nothing in hand."""
    return Loads()
