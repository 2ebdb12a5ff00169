"""Results of batch items, kept until their job's owner has committed them."""

from collections import OrderedDict
from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Iterator
from typing import Final

import msgspec

from eelgrassgate import outcomes

MAX_BYTES: Final = 32_000_000
MAX_ITEMS: Final = 50_000
KEEP_S: Final = 3600.0
OVERHEAD_BYTES: Final = 500


class Result(msgspec.Struct, frozen=True):
    """How an item ended: with an answer or with a refusal.

    Attributes:
        item: `job/index`.
        attempt: The attempt that ran.
        status: The answer's status, 0 for a refusal.
        content_type: The answer's media type.
        body: The whole answer.
        refusal: The refusal, if there is no answer.
    """

    item: str
    attempt: str
    status: int = 0
    content_type: str = ""
    body: bytes = b""
    refusal: outcomes.Refusal | None = None

    @property
    def has_not_run(self) -> bool:
        """Whether the item has certainly not run."""
        refusal = self.refusal
        return refusal is not None and refusal.ran is outcomes.RunStatus.NOT_RUN


class _Kept(msgspec.Struct, frozen=True):
    result: Result
    until: float


class Results:
    """Keeps results within bounds; it never drops one to take another."""

    def __init__(
        self,
        clock: Callable[[], float],
        max_bytes: int = MAX_BYTES,
        max_items: int = MAX_ITEMS,
    ) -> None:
        """Start empty."""
        self._clock = clock
        self._max_bytes = max_bytes
        self._max_items = max_items
        self._kept_by_item: OrderedDict[str, _Kept] = OrderedDict()
        self._bytes = 0

    def __len__(self) -> int:
        """Return how many results are kept."""
        return len(self._kept_by_item)

    def is_full(self) -> bool:
        """Tell whether new batch work must wait for commits."""
        self._expire()
        return (
            self._bytes >= self._max_bytes
            or len(self._kept_by_item) >= self._max_items
        )

    def keep(self, result: Result) -> None:
        """Keep a result."""
        self.drop(result.item)
        until = self._clock() + KEEP_S
        self._kept_by_item[result.item] = _Kept(result, until)
        self._bytes += len(result.body) + OVERHEAD_BYTES

    def get(self, item: str) -> Result | None:
        """Return an item's result, if one is kept."""
        kept = self._kept_by_item.get(item)
        return kept.result if kept else None

    def drop(self, item: str) -> None:
        """Forget an item's result."""
        kept = self._kept_by_item.pop(item, None)
        if kept:
            self._bytes -= len(kept.result.body) + OVERHEAD_BYTES

    def settle(self, items: Iterable[str]) -> None:
        """Forget results that are committed."""
        for item in items:
            self.drop(item)

    def list_job(self, job: str) -> Iterator[Result]:
        """Yield the results of one job."""
        prefix = f"{job}/"
        for item, kept in self._kept_by_item.items():
            if item.startswith(prefix):
                yield kept.result

    def _expire(self) -> None:
        now = self._clock()
        while self._kept_by_item:
            item = next(iter(self._kept_by_item))
            if self._kept_by_item[item].until > now:
                return
            self.drop(item)
