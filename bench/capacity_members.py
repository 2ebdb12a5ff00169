"""What membership asks of the store, in virtual time."""

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
SPAN_S: Final = 120.0
SETTLED: Final = 1_000_000


class QuietLimiter:
    """A limiter that has settled every epoch and hears no entry."""

    def set_share(
        self, share: lending.Share, epoch: int, joining: frozenset[str]
    ) -> None:
        """Do nothing with a share."""

    def get_settled_epoch(self, name: str) -> int:
        """Have everything settled."""
        return SETTLED

    def list_reachable(self) -> tuple[str, ...]:
        """Hear nobody."""
        return ()

    def read_clock(self) -> float:
        """Return the present instant."""
        return virtual_time.get_now()

    async def leave(self) -> None:
        """Have nothing to give back."""


async def measure(entries: int) -> dict[str, float]:
    """Return the store calls a second of entries that have all joined."""
    store = faulty.create_faulty_store(
        memory.create_memory_store(virtual_time.get_now),
        clock=virtual_time.get_now,
    )
    async with anyio.create_task_group() as tasks:
        for number in range(entries):
            hello = capacity_links.make_hello(f"entry-{number}")
            member = members.create_membership(
                hello, f"10.0.0.1:{number}", QuietLimiter(), store, {}
            )
            tasks.start_soon(member.run)
        await anyio.sleep(SETTLE_S)
        counts = store.counts
        reads, writes = counts.reads, counts.writes
        size = counts.bytes_read
        await anyio.sleep(SPAN_S)
        figures = {
            "reads": (counts.reads - reads) / SPAN_S,
            "writes": (counts.writes - writes) / SPAN_S,
            "kb": (counts.bytes_read - size) / SPAN_S / 1e3,
        }
        tasks.cancel_scope.cancel()
    return figures


def run() -> tuple[slopes.Slope, ...]:
    """Measure all sizes."""
    found = {n: virtual_time.run(measure, n) for n in ENTRIES}
    entry = "entry that is a member"
    return (
        slopes.create(
            "member-reads", entry, "reads/s", found, "reads", is_bounded=True
        ),
        slopes.create(
            "member-writes", entry, "writes/s", found, "writes", is_bounded=True
        ),
        slopes.create("member-read-bytes", entry, "KB/s read", found, "kb"),
    )
