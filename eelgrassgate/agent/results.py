"""Results of batch items, stored until the job owner has committed them."""

from collections import OrderedDict
from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Iterator
from typing import Final

import msgspec

from eelgrassgate import outcomes

MAX_BYTES: Final = 32_000_000
MAX_ITEMS: Final = 50_000
RETENTION_S: Final = 3600.0
ITEM_OVERHEAD_BYTES: Final = 500


class Result(msgspec.Struct, frozen=True):
    """The result of an item: a response or a refusal.

    Attributes:
        item: `job/index`.
        attempt_id: Id of the attempt that ran.
        status: HTTP status of the response, 0 for a refusal.
        content_type: Media type of the response.
        body: The complete response body.
        refusal: The refusal, if there is no response.
    """

    item: str
    attempt_id: str
    status: int = 0
    content_type: str = ""
    body: bytes = b""
    refusal: outcomes.Refusal | None = None

    @property
    def has_not_run(self) -> bool:
        """Whether the item has certainly not run."""
        refusal = self.refusal
        return refusal is not None and refusal.ran is outcomes.RunStatus.NOT_RUN


class _StoredResult(msgspec.Struct, frozen=True):
    result: Result
    expires_at: float


class ResultStore:
    """Stores results within bounds; never evicts one to make room."""

    def __init__(
        self,
        clock: Callable[[], float],
        max_bytes: int = MAX_BYTES,
        max_items: int = MAX_ITEMS,
    ) -> None:
        """Create an empty store."""
        self._clock = clock
        self._max_bytes = max_bytes
        self._max_items = max_items
        self._stored_by_item: OrderedDict[str, _StoredResult] = OrderedDict()
        self._bytes = 0

    def __len__(self) -> int:
        """Return the number of stored results."""
        return len(self._stored_by_item)

    def is_full(self) -> bool:
        """Return whether new items must wait until results are committed."""
        self._expire()
        return (
            self._bytes >= self._max_bytes
            or len(self._stored_by_item) >= self._max_items
        )

    def add(self, result: Result) -> None:
        """Store a result."""
        self.discard(result.item)
        expires_at = self._clock() + RETENTION_S
        self._stored_by_item[result.item] = _StoredResult(result, expires_at)
        self._bytes += len(result.body) + ITEM_OVERHEAD_BYTES

    def get(self, item: str) -> Result | None:
        """Return an item's result, or None if none is stored."""
        stored = self._stored_by_item.get(item)
        return stored.result if stored else None

    def discard(self, item: str) -> None:
        """Remove an item's result, if one is stored."""
        stored = self._stored_by_item.pop(item, None)
        if stored:
            self._bytes -= len(stored.result.body) + ITEM_OVERHEAD_BYTES

    def discard_committed(self, items: Iterable[str]) -> None:
        """Remove the results of items whose results are committed."""
        for item in items:
            self.discard(item)

    def list_by_job(self, job: str) -> Iterator[Result]:
        """Yield the results of one job."""
        prefix = f"{job}/"
        for item, stored in self._stored_by_item.items():
            if item.startswith(prefix):
                yield stored.result

    def _expire(self) -> None:
        now = self._clock()
        while self._stored_by_item:
            item = next(iter(self._stored_by_item))
            if self._stored_by_item[item].expires_at > now:
                return
            self.discard(item)
