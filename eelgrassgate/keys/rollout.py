"""Rollout status of a configuration revision across the fleet."""

from collections.abc import Iterable
from collections.abc import Iterator
from typing import Final

import msgspec

from eelgrassgate.config import fleet as fleet_lib
from eelgrassgate.config import reports

# Allows for clocks that run at slightly different rates.
CLOCK_MARGIN_S: Final = 1.0


class Rollout(msgspec.Struct, frozen=True):
    """The rollout status of a revision.

    Attributes:
        in_force: Names of the instances that use the revision.
        pending: Names of the instances not known to use the revision.
        stale_until: The instant by which every pending instance has stopped
            serving with an older revision.
    """

    in_force: tuple[str, ...]
    pending: tuple[str, ...]
    stale_until: float

    def is_done(self, now: float) -> bool:
        """Return whether no instance can still serve an older revision."""
        return not self.pending or now >= self.stale_until


def compute_rollout(
    zone_reports: Iterable[reports.ZoneReport],
    revision: int,
    limits: fleet_lib.Limits,
    committed_at: float,
) -> Rollout:
    """Compute the rollout status of `revision`.

    An instance without the revision was last confirmed before the change was
    committed, so it stops serving within a limited time after the commit. The
    limit for store outages applies if the instance may conclude that the whole
    fleet has lost the store. An instance that knows a zone in which every
    instance has the revision cannot conclude this, because no instance there
    reports that it has lost the store.

    Args:
        zone_reports: The reports of all zones.
        revision: The revision that contains the change.
        limits: The limits in force before the change.
        committed_at: An instant after the commit, on the monotonic clock.
    """
    zone_reports = tuple(zone_reports)
    up_to_date_zones = {
        report.zone
        for report in zone_reports
        if not any(_iterate_pending(report, revision))
    }
    in_force: list[str] = []
    pending: list[str] = []
    max_serving_s = limits.unconfirmed_serving_s
    for report in zone_reports:
        outdated = tuple(_iterate_pending(report, revision))
        pending.extend(outdated)
        in_force.extend(report.rows_by_name.keys() - set(outdated))
        if outdated and not up_to_date_zones & set(
            report.zones_by_member.values()
        ):
            max_serving_s = limits.outage_serving_s
    return Rollout(
        tuple(sorted(in_force)),
        tuple(sorted(pending)),
        committed_at + max_serving_s + CLOCK_MARGIN_S,
    )


def _iterate_pending(
    report: reports.ZoneReport, revision: int
) -> Iterator[str]:
    for name, row in report.rows_by_name.items():
        if row.revision < revision:
            yield name
