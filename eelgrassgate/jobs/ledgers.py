"""A job's ledger in memory: which items have started and which are done."""

from collections.abc import Iterable
from collections.abc import Iterator

from eelgrassgate.jobs import packing
from eelgrassgate.jobs import records


class Ledger:
    """Bitmaps of a job's items, and counts.

    Attributes:
        items: Number of items of the job.
        chunks: Number of result chunks.
        done: Number of items that are done.
        failed: Number of done items that ended in an error.
    """

    def __init__(self, items: int, stored: records.LedgerRecord | None) -> None:
        """Create a ledger; see `create_ledger`."""
        size = (items + 7) // 8
        self.items = items
        self.chunks = stored.chunks if stored else 0
        self.done = stored.done if stored else 0
        self.failed = stored.failed if stored else 0
        self._done = _load_bits(stored.done_bits if stored else b"", size)
        self._started = _load_bits(stored.started_bits if stored else b"", size)

    def is_done(self, index: int) -> bool:
        """Return whether an item is done."""
        return bool(self._done[index >> 3] & (1 << (index & 7)))

    def is_started(self, index: int) -> bool:
        """Return whether an item that runs at most once may have started."""
        return bool(self._started[index >> 3] & (1 << (index & 7)))

    def is_complete(self) -> bool:
        """Return whether all items are done."""
        return self.done == self.items

    def iterate_unresolved(self) -> Iterator[int]:
        """Yield the items that may have started and are not done."""
        for byte_index, started in enumerate(self._started):
            unresolved = started & ~self._done[byte_index]
            for bit in range(8):
                if unresolved & (1 << bit):
                    yield byte_index * 8 + bit

    def mark_started(self, indexes: Iterable[int]) -> None:
        """Record that items may start."""
        for index in indexes:
            self._started[index >> 3] |= 1 << (index & 7)

    def clear_started(self, indexes: Iterable[int]) -> None:
        """Record that items are known not to have started."""
        for index in indexes:
            self._started[index >> 3] &= ~(1 << (index & 7))

    def mark_done(self, outcome: records.Outcome) -> bool:
        """Record an outcome; return False if the item was already done."""
        if self.is_done(outcome.index):
            return False
        self._done[outcome.index >> 3] |= 1 << (outcome.index & 7)
        self.done += 1
        self.failed += outcome.is_failed()
        return True

    def encode(self, commit: str) -> records.LedgerRecord:
        """Return the record to be written by `commit`."""
        has_started = any(self._started)
        return records.LedgerRecord(
            commit,
            self.chunks,
            self.done,
            self.failed,
            packing.compress(bytes(self._done)),
            packing.compress(bytes(self._started)) if has_started else b"",
        )


def _load_bits(bits: bytes, size: int) -> bytearray:
    if not bits:
        return bytearray(size)
    return bytearray(packing.decompress(bits))


def create_ledger(items: int, stored: records.LedgerRecord | None) -> Ledger:
    """Create the ledger of a job of `items` items from its stored record."""
    return Ledger(items, stored)
