"""Budgets for retries and for bytes on the link between regions."""

from typing import Final

from eelgrassgate import outcomes
from eelgrassgate.config import fleet

RETRIES_PER_REQUEST: Final = 0.1
RETRIES_PER_S: Final = 1.0
MAX_RETRY_TOKENS: Final = 20.0
BITS_PER_BYTE: Final = 8.0
LINK_BURST_S: Final = 0.25
MAX_ONLINE_DEBT_S: Final = 0.25
ONLINE_RESERVED_FRACTION: Final = 0.5


class RetryBudget:
    """Retry tokens, earned by each request and, slowly, over time."""

    def __init__(self, now: float) -> None:
        """Create a full budget."""
        self._tokens = MAX_RETRY_TOKENS
        self._updated_at = now

    def earn(self, now: float) -> None:
        """Add the tokens that one request earns."""
        self._refill(now)
        self._tokens = min(MAX_RETRY_TOKENS, self._tokens + RETRIES_PER_REQUEST)

    def take(self, now: float) -> bool:
        """Take a token for one retry; return whether there was one."""
        self._refill(now)
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True

    def _refill(self, now: float) -> None:
        earned = max(0.0, now - self._updated_at) * RETRIES_PER_S
        self._tokens = min(MAX_RETRY_TOKENS, self._tokens + earned)
        self._updated_at = max(self._updated_at, now)


class _Bucket:
    """A token bucket of bytes; one request may take it below zero."""

    def __init__(self, bytes_per_s: float, now: float) -> None:
        self.bytes_per_s = bytes_per_s
        self.burst = bytes_per_s * LINK_BURST_S
        self._level = self.burst
        self._updated_at = now

    def read(self, now: float) -> float:
        earned = max(0.0, now - self._updated_at) * self.bytes_per_s
        self._level = min(self.burst, self._level + earned)
        self._updated_at = max(self._updated_at, now)
        return self._level

    def take(self, size: float) -> None:
        self._level -= size

    def take_to_floor(self, floor: float, size: float) -> None:
        self._level = max(min(self._level, floor), self._level - size)


class LinkBudget:
    """This entry's fraction of the link between regions, in each direction.

    The fraction for control traffic is never allocated. Batch gets a fraction
    of the rest, and only while at least half of the total burst is unused.
    Large batch bodies put only batch into debt, never online.
    """

    def __init__(self, link: fleet.Link, entries: int, now: float) -> None:
        """Create a budget by dividing the link among `entries` entries.

        Args:
            link: The link's limits.
            entries: The number of entries of all regions that share the link.
            now: The current time.
        """
        fraction = (1.0 - link.control_part) / max(1, entries)
        self.bytes_per_s = link.bits_per_second / BITS_PER_BYTE * fraction
        self._outbound = _Bucket(self.bytes_per_s, now)
        self._inbound = _Bucket(self.bytes_per_s, now)
        self._batch_outbound = _Bucket(self.bytes_per_s * link.batch_part, now)
        self._batch_inbound = _Bucket(self.bytes_per_s * link.batch_part, now)

    def compute_wait_s(self, klass: outcomes.RequestClass, now: float) -> float:
        """Return the seconds until `klass` may use the link; 0 for now."""
        if klass is outcomes.RequestClass.ONLINE:
            wait_s = max(
                _compute_wait_s(bucket, 0.0, now)
                for bucket in self._get_total_buckets()
            )
            return max(0.0, wait_s - MAX_ONLINE_DEBT_S)
        reserve = self._outbound.burst * ONLINE_RESERVED_FRACTION
        total_wait_s = max(
            _compute_wait_s(bucket, reserve, now)
            for bucket in self._get_total_buckets()
        )
        batch_wait_s = max(
            _compute_wait_s(bucket, 0.0, now)
            for bucket in self._get_batch_buckets()
        )
        return max(total_wait_s, batch_wait_s)

    def take(
        self, klass: outcomes.RequestClass, outbound: int, inbound: int
    ) -> None:
        """Take bytes from the budget; negative amounts are put back."""
        if klass is outcomes.RequestClass.ONLINE:
            self._outbound.take(outbound)
            self._inbound.take(inbound)
            return
        self._outbound.take_to_floor(0.0, outbound)
        self._inbound.take_to_floor(0.0, inbound)
        self._batch_outbound.take(outbound)
        self._batch_inbound.take(inbound)

    def _get_total_buckets(self) -> tuple[_Bucket, _Bucket]:
        return self._outbound, self._inbound

    def _get_batch_buckets(self) -> tuple[_Bucket, _Bucket]:
        return self._batch_outbound, self._batch_inbound


def _compute_wait_s(bucket: _Bucket, reserve: float, now: float) -> float:
    """Return the seconds until the bucket holds more than `reserve`."""
    missing = reserve - bucket.read(now)
    return max(0.0, missing / bucket.bytes_per_s)
