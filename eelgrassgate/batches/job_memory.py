"""Memory that a batch process holds for its jobs."""

from collections.abc import AsyncIterator
import contextlib
import sys
from typing import Final

import msgspec

from eelgrassgate import deadlines
from eelgrassgate import memory_budget
from eelgrassgate.batches import admission
from eelgrassgate.batches import records
from eelgrassgate.gateway import calls

# Copies of a value that are held while it is read: as it is received, as it is
# joined and decoded.
READ_FACTOR: Final = 4
# Values of which one item's body is read at most: a body of 4 MiB.
MAX_PIECES: Final = 7
READ_RESERVE_BYTES: Final = (READ_FACTOR + MAX_PIECES) * records.MAX_PART_BYTES
# How long a read waits for memory before it is tried anew.
READ_WAIT_S: Final = 10.0
# Bytes that an item and its progress take besides its texts and its body.
ITEM_BYTES: Final = 1_000
# Bytes that an entry of its headers takes besides its texts.
FIELD_BYTES: Final = 100


class MemoryShortError(Exception):
    """There is no memory for a read now."""


class JobMemory:
    """The memory budget and the turns at reading stored values.

    Attributes:
        budget: The memory budget of the process.
    """

    def __init__(self, budget: memory_budget.Budget) -> None:
        """Set memory for one read aside; see `create_job_memory`."""
        self.budget = budget
        self._reads = admission.create_admission(
            budget, READ_RESERVE_BYTES, caches_give_way=False
        )

    @contextlib.asynccontextmanager
    async def read_values(self, job: records.Job) -> AsyncIterator[None]:
        """Hold memory for reading one value of a job, or one large item.

        Raises:
            MemoryShortError: There is none now.
        """
        size = measure_read(job)
        until = deadlines.after(READ_WAIT_S / admission.MAX_WAIT_SHARE)
        async with self._reads.admit(job.id, size, until) as is_admitted:
            if not is_admitted:
                raise MemoryShortError("memory is short")
            yield


def measure_read(job: records.Job) -> int:
    """Return the memory for reading one value of a job, or one large item."""
    values = READ_FACTOR + min(job.parts - 1, MAX_PIECES)
    return values * records.MAX_PART_BYTES


def measure_item(item: calls.BatchItem) -> int:
    """Return how many bytes of memory an item takes."""
    return (
        ITEM_BYTES
        + len(item.body)
        + sys.getsizeof(item.id)
        + sys.getsizeof(item.path)
        + sum(
            FIELD_BYTES + sys.getsizeof(name) + sys.getsizeof(value)
            for name, value in item.headers.items()
        )
    )


def strip_item(item: calls.BatchItem) -> calls.BatchItem:
    """Return an item without what is only needed while it runs."""
    return msgspec.structs.replace(item, headers={}, body=b"")


def create_job_memory(budget: memory_budget.Budget) -> JobMemory:
    """Create the memory of one process."""
    return JobMemory(budget)
