"""This gateway's fraction of all rates while others are out of reach."""

from collections.abc import Callable
from collections.abc import Collection
from typing import Final

from eelgrassgate import deadlines

# How long a gateway whose entry has expired keeps its fraction: it may be cut
# off from the others and still serve callers.
EXPIRED_HOLD_S: Final = 20.0


class RateShare:
    """Computes the fraction of rates that this gateway may use.

    Gateways without a fresh report are assumed to use their equal share.
    """

    def __init__(self, clock: Callable[[], float]) -> None:
        """Initialize without other gateways; see `create_rate_share`."""
        self._clock = clock
        self._counted_until_by_gateway: dict[str, float] = {}
        self._heard: set[str] = set()
        self._lost_count = 0

    def count_gateways(self) -> int:
        """Return the number of gateways, this one included."""
        return 1 + len(self._counted_until_by_gateway)

    def get_lost(self) -> float:
        """Return the fraction of the gateways that this one has lost.

        These had a fresh report once, unlike those that have just started.
        """
        return self._lost_count / self.count_gateways()

    def compute(
        self,
        registered: Collection[str],
        has_left: Callable[[str], bool],
        has_fresh_report: Callable[[str], bool],
    ) -> float:
        """Return the fraction, more than 0 and at most 1.

        Args:
            registered: Names of the other registered gateways.
            has_left: Returns whether a gateway reported that it shuts down.
            has_fresh_report: Returns whether what a gateway has admitted is
                known.
        """
        now = self._clock()
        for name in registered:
            self._counted_until_by_gateway[name] = now + EXPIRED_HOLD_S
        for name, until in list(self._counted_until_by_gateway.items()):
            if name not in registered and (until <= now or has_left(name)):
                del self._counted_until_by_gateway[name]
        self._heard &= self._counted_until_by_gateway.keys()
        fresh = {
            name
            for name in self._counted_until_by_gateway
            if has_fresh_report(name)
        }
        self._heard |= fresh
        self._lost_count = len(self._heard - fresh)
        return (1.0 + len(fresh)) / self.count_gateways()


def create_rate_share(
    clock: Callable[[], float] = deadlines.now,
) -> RateShare:
    """Create the share of a gateway that knows no others yet.

    Args:
        clock: Returns seconds on a monotonic clock.
    """
    return RateShare(clock)
