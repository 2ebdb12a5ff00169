"""What gateways and the process that owns a job send each other.

Kept apart from the owner, which gateways don't need.
"""

import itertools
from typing import Final

import msgspec

from eelgrassgate.batches import records

PATH: Final = "/jobs/"
# Query field: position of the first result. A request without it reads the
# job's record.
AFTER: Final = "after"
# Query field: milliseconds to wait for a result.
WAIT_MS: Final = "wait_ms"
MS_PER_S: Final = 1000.0
# Bound on the results in one response; callers take 1 MB with what surrounds
# them.
MAX_RESPONSE_BYTES: Final = 900_000


class Listing(msgspec.Struct, frozen=True):
    """A page of a job's results.

    Attributes:
        total: Number of items of the job.
        following: Position after the last result of this page.
        results: The results.
    """

    total: int
    following: int
    results: tuple[records.Result, ...]


class Announcement(msgspec.Struct, frozen=True):
    """A job that was just accepted, and the revision at which it was opened."""

    job: records.Job
    revision: int


def select_page(
    committed: list[records.Result], after: int
) -> tuple[records.Result, ...]:
    """Return a page of results; has at least one if there is any."""
    following = itertools.islice(committed, after, None)
    return tuple(records.take_results(following, MAX_RESPONSE_BYTES))
