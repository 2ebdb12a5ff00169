"""Keeps outcomes that were not committed when their slot was lost.

The same instance may own the slot again, for example after an outage in which
all leases expired. Then the items need not be queried or run again.
"""

from collections.abc import Iterator

from eelgrassgate.jobs import active_jobs
from eelgrassgate.jobs import commits
from eelgrassgate.jobs import records


class UncommittedOutcomes:
    """Uncommitted outcomes by job; they count as buffered at the committer."""

    def __init__(self, committer: commits.Committer) -> None:
        """Create an empty collection; see `create_uncommitted_outcomes`."""
        self._committer = committer
        self._outcomes_by_job: dict[str, dict[int, records.Outcome]] = {}

    def iterate_jobs(self) -> Iterator[str]:
        """Yield the jobs that have outcomes here."""
        yield from tuple(self._outcomes_by_job)

    def add(self, active_job: active_jobs.ActiveJob) -> None:
        """Keep a job's outcomes that are not known to be committed."""
        uncommitted = active_job.get_uncommitted()
        if not uncommitted:
            return
        self.take(active_job.job.job)
        self._outcomes_by_job[active_job.job.job] = {
            outcome.index: outcome for outcome in uncommitted
        }
        self._committer.add_buffered_bytes(
            sum(map(active_jobs.compute_max_bytes, uncommitted))
        )

    def take(self, job: str) -> dict[int, records.Outcome]:
        """Remove and return a job's outcomes by item."""
        uncommitted = self._outcomes_by_job.pop(job, {})
        self._committer.add_buffered_bytes(
            -sum(map(active_jobs.compute_max_bytes, uncommitted.values()))
        )
        return uncommitted


def create_uncommitted_outcomes(
    committer: commits.Committer,
) -> UncommittedOutcomes:
    """Create an empty collection.

    Args:
        committer: Counts the bytes as buffered.
    """
    return UncommittedOutcomes(committer)
