"""Budgets of retries and of bytes on the link between regions."""

from typing import Final

from eelgrassgate import outcomes
from eelgrassgate.config import fleet

RETRIES_PER_REQUEST: Final = 0.1
RETRIES_PER_S: Final = 1.0
MAX_RETRIES: Final = 20.0
BITS_PER_BYTE: Final = 8.0
LINK_BURST_S: Final = 0.25
ONLINE_DEBT_S: Final = 0.25
ONLINE_RESERVE: Final = 0.5


class RetryBudget:
    """Tokens for retries, earned by requests and, slowly, by time."""

    def __init__(self, now: float) -> None:
        """Create a full budget."""
        self._tokens = MAX_RETRIES
        self._at = now

    def earn(self, now: float) -> None:
        """Earn for one request."""
        self._refill(now)
        self._tokens = min(MAX_RETRIES, self._tokens + RETRIES_PER_REQUEST)

    def take(self, now: float) -> bool:
        """Take one retry, if there is one."""
        self._refill(now)
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True

    def _refill(self, now: float) -> None:
        earned = max(0.0, now - self._at) * RETRIES_PER_S
        self._tokens = min(MAX_RETRIES, self._tokens + earned)
        self._at = max(self._at, now)


class _Bucket:
    """Bytes a second; may go into debt by one request."""

    def __init__(self, bytes_per_s: float, now: float) -> None:
        self.bytes_per_s = bytes_per_s
        self.burst = bytes_per_s * LINK_BURST_S
        self._level = self.burst
        self._at = now

    def read(self, now: float) -> float:
        earned = max(0.0, now - self._at) * self.bytes_per_s
        self._level = min(self.burst, self._level + earned)
        self._at = max(self._at, now)
        return self._level

    def take(self, size: float) -> None:
        self._level -= size

    def take_above(self, floor: float, size: float) -> None:
        self._level = max(min(self._level, floor), self._level - size)


class LinkBudget:
    """This entry's part of the link between regions, each way.

    The control part is never given out. Batch has a part of the rest, and
    only while online has left half of its burst unused; its large bodies
    put batch into debt, never online.
    """

    def __init__(self, link: fleet.Link, entries: int, now: float) -> None:
        """Divide the link evenly among all `entries` of both regions."""
        part = (1.0 - link.control_part) / max(1, entries)
        self.bytes_per_s = link.bits_per_second / BITS_PER_BYTE * part
        self._there = _Bucket(self.bytes_per_s, now)
        self._back = _Bucket(self.bytes_per_s, now)
        self._batch_there = _Bucket(self.bytes_per_s * link.batch_part, now)
        self._batch_back = _Bucket(self.bytes_per_s * link.batch_part, now)

    def compute_wait_s(self, klass: outcomes.RequestClass, now: float) -> float:
        """Return the seconds until `klass` may use the link, 0 for now."""
        if klass is outcomes.RequestClass.ONLINE:
            wait_s = max(_wait(each, 0.0, now) for each in self._get_main())
            return max(0.0, wait_s - ONLINE_DEBT_S)
        reserve = self._there.burst * ONLINE_RESERVE
        main_s = max(_wait(each, reserve, now) for each in self._get_main())
        own_s = max(_wait(each, 0.0, now) for each in self._get_batch())
        return max(main_s, own_s)

    def take(self, klass: outcomes.RequestClass, there: int, back: int) -> None:
        """Take bytes; negative ones give back what was not used."""
        if klass is outcomes.RequestClass.ONLINE:
            self._there.take(there)
            self._back.take(back)
            return
        self._there.take_above(0.0, there)
        self._back.take_above(0.0, back)
        self._batch_there.take(there)
        self._batch_back.take(back)

    def _get_main(self) -> tuple[_Bucket, _Bucket]:
        return self._there, self._back

    def _get_batch(self) -> tuple[_Bucket, _Bucket]:
        return self._batch_there, self._batch_back


def _wait(bucket: _Bucket, reserve: float, now: float) -> float:
    """Return the seconds until more than `reserve` is in the bucket."""
    missing = reserve - bucket.read(now)
    return max(0.0, missing / bucket.bytes_per_s)
