"""Cost of membership for the store, in virtual time."""

from typing import Final

import anyio

from bench import capacity_links
from bench import capacity_slopes as slopes
from eelgrassgate.limits import lending
from eelgrassgate.membership import members
from eelgrassgate.standins import virtual_time
from eelgrassgate.store import faulty
from eelgrassgate.store import memory

ENTRIES: Final = (16, 64, 128, 256)
SETTLE_S: Final = 60.0
MEASURE_S: Final = 120.0
SETTLED_EPOCH: Final = 1_000_000


class StubLimiter:
    """A limiter that has settled every epoch and reaches no other entry."""

    def set_share(
        self, share: lending.Share, epoch: int, joining: frozenset[str]
    ) -> None:
        """Ignore the share."""

    def get_settled_epoch(self, name: str) -> int:
        """Return an epoch later than any in use."""
        return SETTLED_EPOCH

    def list_reachable(self) -> tuple[str, ...]:
        """Return no entry."""
        return ()

    def read_clock(self) -> float:
        """Return the present virtual time."""
        return virtual_time.get_now()

    async def leave(self) -> None:
        """Return at once, as there are no loans to return."""


async def measure(entries: int) -> dict[str, float]:
    """Return the store calls per second of entries that have all joined."""
    store = faulty.create_faulty_store(
        memory.create_memory_store(virtual_time.get_now),
        clock=virtual_time.get_now,
    )
    async with anyio.create_task_group() as tasks:
        for number in range(entries):
            hello = capacity_links.create_hello(f"entry-{number}")
            membership = members.create_membership(
                hello, f"10.0.0.1:{number}", StubLimiter(), store, {}
            )
            tasks.start_soon(membership.run)
        await anyio.sleep(SETTLE_S)
        counts = store.counts
        reads, writes = counts.reads, counts.writes
        size = counts.bytes_read
        await anyio.sleep(MEASURE_S)
        figures = {
            "reads": (counts.reads - reads) / MEASURE_S,
            "writes": (counts.writes - writes) / MEASURE_S,
            "kb": (counts.bytes_read - size) / MEASURE_S / 1e3,
        }
        tasks.cancel_scope.cancel()
    return figures


def run() -> tuple[slopes.Slope, ...]:
    """Measure all sizes."""
    costs_by_entries = {n: virtual_time.run(measure, n) for n in ENTRIES}
    entry = "entry that is a member"
    return (
        slopes.create_slope(
            "member-reads",
            entry,
            "reads/s",
            costs_by_entries,
            "reads",
            is_bounded=True,
        ),
        slopes.create_slope(
            "member-writes",
            entry,
            "writes/s",
            costs_by_entries,
            "writes",
            is_bounded=True,
        ),
        slopes.create_slope(
            "member-read-bytes", entry, "KB/s read", costs_by_entries, "kb"
        ),
    )
