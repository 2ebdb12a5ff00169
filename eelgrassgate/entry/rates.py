"""Applies the workspaces' configured rates to the limiter."""

from collections.abc import Iterator
from typing import Protocol

from eelgrassgate.config import fleet as fleet_lib
from eelgrassgate.config import replica as replica_lib
from eelgrassgate.config import state

BATCH_BUCKET_SUFFIX = ":batch"


class Buckets(Protocol):
    """Token buckets with adjustable rates."""

    def set_rate(self, bucket: str, per_second: float, burst: float) -> None:
        """Set a bucket's rate in tokens per second, and its burst."""
        ...

    def remove_rate(self, bucket: str) -> None:
        """Remove a bucket."""
        ...


class RateUpdater:
    """Keeps the limiter's buckets in line with the configuration."""

    def __init__(self, buckets: Buckets) -> None:
        """Create with no bucket set."""
        self._buckets = buckets
        self._rates_by_bucket: dict[str, fleet_lib.Rate] = {}

    def follow(self, replica: replica_lib.Replica) -> None:
        """Set the rates now and on each change of `replica`."""
        self._apply(replica.fleet)
        replica.subscribe(self._handle_update)

    def _handle_update(self, update: state.Update) -> None:
        self._apply(update.fleet)

    def _apply(self, fleet: fleet_lib.Fleet) -> None:
        rates_by_bucket = dict(_iterate_rates(fleet))
        for bucket in self._rates_by_bucket.keys() - rates_by_bucket.keys():
            self._buckets.remove_rate(bucket)
        for bucket, rate in rates_by_bucket.items():
            if self._rates_by_bucket.get(bucket) != rate:
                self._buckets.set_rate(bucket, rate.per_second, rate.burst)
        self._rates_by_bucket = rates_by_bucket


def _iterate_rates(
    fleet: fleet_lib.Fleet,
) -> Iterator[tuple[str, fleet_lib.Rate]]:
    for name, workspace in fleet.workspaces.items():
        yield name, workspace.rate
        if workspace.batch_rate:
            yield name + BATCH_BUCKET_SUFFIX, workspace.batch_rate
