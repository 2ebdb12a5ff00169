"""Settings of gateway and batch processes."""

from collections.abc import Mapping

import msgspec


class Node(msgspec.Struct, frozen=True):
    """Settings of one process.

    Attributes:
        instance: Name of the instance.
        zone: Availability zone of the instance.
        region: Region of the availability zone.
        region_by_zone: Region of each availability zone.
        store_address: `host:port` of the key-value service.
        reports_address: `host:port` on which to receive peers' reports.
        relay_address: `host:port` on which to relay peers' store calls.
        metrics_address: `host:port` on which to serve metrics.
        grace_s: Seconds from SIGTERM to SIGKILL.
        callers_address: `host:port` on which to serve callers; empty to
            disable.
        ready_address: `host:port` on which to serve readiness probes; empty
            to disable.
    """

    instance: str
    zone: str
    region: str
    region_by_zone: Mapping[str, str]
    store_address: str
    reports_address: str
    relay_address: str
    metrics_address: str
    grace_s: float
    callers_address: str = ""
    ready_address: str = ""
