"""The attempts that wait in the agent: online strictly before batch."""

from collections.abc import Iterator
from typing import Final

import msgspec

from eelgrassgate import outcomes
from eelgrassgate.agent import shares

MAX_BYTES: Final = 64_000_000
MAX_ITEMS: Final = 4096
ITEM_BYTES: Final = 1000
RETRY_AFTER_S: Final = 1.0


class Pushed(msgspec.Struct, frozen=True):
    """What came of a push: the attempt that was turned away, if any."""

    turned_away: shares.Item | None = None


class Queue:
    """Two classes of waiting work within bounds of memory."""

    def __init__(
        self, max_items: int = MAX_ITEMS, max_bytes: int = MAX_BYTES
    ) -> None:
        """Start empty."""
        self._max_items = max_items
        self._max_bytes = max_bytes
        self._bytes_by_class = dict.fromkeys(outcomes.RequestClass, 0)
        self._shares_by_class = {
            each: shares.Shares() for each in outcomes.RequestClass
        }

    def count(self, klass: outcomes.RequestClass) -> int:
        """Return how many attempts of a class wait."""
        return len(self._shares_by_class[klass])

    def push(self, klass: outcomes.RequestClass, item: shares.Item) -> Pushed:
        """Add an attempt.

        When the class is full, the workspace with the most waiting gives up
        the attempt that would go last, which may be the new one.
        """
        self._shares_by_class[klass].push(item)
        self._bytes_by_class[klass] += item.size_bytes
        if not self._is_over(klass):
            return Pushed()
        return Pushed(self._turn_away(klass))

    def push_front(
        self, klass: outcomes.RequestClass, item: shares.Item
    ) -> None:
        """Put back an attempt that was suspended."""
        self._shares_by_class[klass].push_front(item)
        self._bytes_by_class[klass] += item.size_bytes

    def pop(self, klass: outcomes.RequestClass) -> shares.Item | None:
        """Take the next attempt of a class."""
        item = self._shares_by_class[klass].pop()
        if item:
            self._bytes_by_class[klass] -= item.size_bytes
        return item

    def finish(
        self, klass: outcomes.RequestClass, item: shares.Item, true_cost: float
    ) -> None:
        """Correct the charge of an attempt that has ended."""
        self._shares_by_class[klass].finish(item, true_cost)

    def remove(self, attempt: str) -> shares.Item | None:
        """Take out a waiting attempt; return None if it does not wait."""
        for klass, waiting in self._shares_by_class.items():
            item = waiting.remove(attempt)
            if item:
                self._bytes_by_class[klass] -= item.size_bytes
                return item
        return None

    def drop_expired(self, now: float) -> Iterator[shares.Item]:
        """Take out and yield attempts whose deadline has passed."""
        for klass, waiting in self._shares_by_class.items():
            for item in waiting.drop_expired(now):
                self._bytes_by_class[klass] -= item.size_bytes
                yield item

    def get_next_deadline(self) -> float:
        """Return the earliest deadline of what waits, or infinity."""
        found = (w.get_next_deadline() for w in self._shares_by_class.values())
        return min((each for each in found if each is not None), default=_NEVER)

    def _is_over(self, klass: outcomes.RequestClass) -> bool:
        return (
            self.count(klass) > self._max_items
            or self._bytes_by_class[klass] > self._max_bytes
        )

    def _turn_away(self, klass: outcomes.RequestClass) -> shares.Item | None:
        waiting = self._shares_by_class[klass]
        largest = waiting.find_largest()
        if largest is None:
            return None
        item = waiting.find_newest(largest)
        waiting.remove(item.attempt)
        self._bytes_by_class[klass] -= item.size_bytes
        return item


_NEVER: Final = float("inf")


def refuse_full() -> outcomes.Refusal:
    """Return the refusal of an attempt that was turned away."""
    return outcomes.refuse(
        outcomes.Code.OVERLOADED, "The endpoint's queue is full.", RETRY_AFTER_S
    )
