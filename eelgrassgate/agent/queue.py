"""The queue of waiting attempts: online has strict priority over batch."""

from collections.abc import Iterator
from typing import Final

import msgspec

from eelgrassgate import outcomes
from eelgrassgate.agent import fair_queue

MAX_BYTES: Final = 64_000_000
MAX_ITEMS: Final = 4096
ITEM_BYTES: Final = 1000
RETRY_AFTER_S: Final = 1.0


class PushResult(msgspec.Struct, frozen=True):
    """The result of a push: the attempt that was rejected, if any."""

    rejected: fair_queue.QueueItem | None = None


class Queue:
    """One fair queue for each class, bounded in items and bytes."""

    def __init__(
        self, max_items: int = MAX_ITEMS, max_bytes: int = MAX_BYTES
    ) -> None:
        """Create an empty queue."""
        self._max_items = max_items
        self._max_bytes = max_bytes
        self._bytes_by_class = dict.fromkeys(outcomes.RequestClass, 0)
        self._queues_by_class = {
            each: fair_queue.FairQueue() for each in outcomes.RequestClass
        }

    def count(self, klass: outcomes.RequestClass) -> int:
        """Return the number of waiting attempts of a class."""
        return len(self._queues_by_class[klass])

    def push(
        self, klass: outcomes.RequestClass, item: fair_queue.QueueItem
    ) -> PushResult:
        """Add an attempt.

        If the class is over its bounds, the last attempt of the workspace with
        the most waiting bytes is rejected, which may be the new one.
        """
        self._queues_by_class[klass].push(item)
        self._bytes_by_class[klass] += item.size_bytes
        if not self._is_overflowing(klass):
            return PushResult()
        return PushResult(self._reject_last(klass))

    def push_front(
        self, klass: outcomes.RequestClass, item: fair_queue.QueueItem
    ) -> None:
        """Requeue a preempted attempt."""
        self._queues_by_class[klass].push_front(item)
        self._bytes_by_class[klass] += item.size_bytes

    def pop(self, klass: outcomes.RequestClass) -> fair_queue.QueueItem | None:
        """Remove and return the next attempt of a class."""
        item = self._queues_by_class[klass].pop()
        if item:
            self._bytes_by_class[klass] -= item.size_bytes
        return item

    def finish(
        self,
        klass: outcomes.RequestClass,
        item: fair_queue.QueueItem,
        actual_cost: float,
    ) -> None:
        """Correct the charged cost of an attempt that has ended."""
        self._queues_by_class[klass].finish(item, actual_cost)

    def remove(self, attempt_id: str) -> fair_queue.QueueItem | None:
        """Remove a waiting attempt; return None if it is not waiting."""
        for klass, waiting in self._queues_by_class.items():
            item = waiting.remove(attempt_id)
            if item:
                self._bytes_by_class[klass] -= item.size_bytes
                return item
        return None

    def drop_expired(self, now: float) -> Iterator[fair_queue.QueueItem]:
        """Remove and yield attempts whose deadline has passed."""
        for klass, waiting in self._queues_by_class.items():
            for item in waiting.drop_expired(now):
                self._bytes_by_class[klass] -= item.size_bytes
                yield item

    def get_next_deadline(self) -> float:
        """Return the earliest deadline of a waiting attempt, or infinity."""
        found = (w.get_next_deadline() for w in self._queues_by_class.values())
        return min((each for each in found if each is not None), default=_NEVER)

    def _is_overflowing(self, klass: outcomes.RequestClass) -> bool:
        return (
            self.count(klass) > self._max_items
            or self._bytes_by_class[klass] > self._max_bytes
        )

    def _reject_last(
        self, klass: outcomes.RequestClass
    ) -> fair_queue.QueueItem | None:
        waiting = self._queues_by_class[klass]
        largest = waiting.find_largest()
        if largest is None:
            return None
        item = waiting.find_last(largest)
        waiting.remove(item.attempt_id)
        self._bytes_by_class[klass] -= item.size_bytes
        return item


_NEVER: Final = float("inf")


def refuse_overflow() -> outcomes.Refusal:
    """Return the refusal of an attempt that the full queue rejected."""
    return outcomes.refuse(
        outcomes.Code.OVERLOADED, "The endpoint's queue is full.", RETRY_AFTER_S
    )
