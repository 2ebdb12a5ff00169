"""Request rates that endpoints in need name in their responses."""

from collections.abc import Callable
from collections.abc import Container

import msgspec

from eelgrassgate import deadlines
from eelgrassgate import logs


class Limit(msgspec.Struct, frozen=True):
    """The last word of an endpoint on its limit.

    Attributes:
        per_s: Requests a second from all callers together; None if the limit
            was lifted.
        named_at: Monotonic time at which it was received.
    """

    per_s: float | None
    named_at: float


class EndpointLimits:
    """The limits of all endpoints, as far as this process knows them."""

    def __init__(self, clock: Callable[[], float]) -> None:
        """Initialize without limits; see `create_endpoint_limits`."""
        self._clock = clock
        self._limits_by_endpoint: dict[str, Limit] = {}

    def get_limit(self, endpoint: str) -> float | None:
        """Return an endpoint's limit in requests a second; None without."""
        limit = self._limits_by_endpoint.get(endpoint)
        return None if limit is None else limit.per_s

    def count_limited(self) -> int:
        """Return the number of endpoints with a limit."""
        return sum(
            limit.per_s is not None
            for limit in self._limits_by_endpoint.values()
        )

    def record_response(
        self, endpoint: str, per_s: float | None, sent_at: float
    ) -> None:
        """Record what a response says of its endpoint's limit.

        Args:
            endpoint: Id of the endpoint.
            per_s: The limit that the response names; None if it names none.
            sent_at: Monotonic time at which the request was sent.
        """
        known = self._limits_by_endpoint.get(endpoint)
        if per_s is None and (known is None or sent_at < known.named_at):
            # A response that began before the limit doesn't lift it.
            return
        self._set(endpoint, Limit(per_s, self._clock()))

    def _set(self, endpoint: str, limit: Limit) -> None:
        previous = self.get_limit(endpoint)
        self._limits_by_endpoint[endpoint] = limit
        if limit.per_s != previous:
            logs.log_message(
                "endpoint:limit_changed",
                endpoint=endpoint,
                limit_per_s=limit.per_s,
                previous_per_s=previous,
            )

    def retain_endpoints(self, endpoints: Container[str]) -> None:
        """Discard the limits of all other endpoints."""
        for name in list(self._limits_by_endpoint):
            if name not in endpoints:
                del self._limits_by_endpoint[name]


def create_endpoint_limits(
    clock: Callable[[], float] = deadlines.now,
) -> EndpointLimits:
    """Create limits of endpoints that have named none yet.

    Args:
        clock: Returns seconds on a monotonic clock.
    """
    return EndpointLimits(clock)
