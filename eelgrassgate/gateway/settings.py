"""Settings of one process on the users' platform, decoded."""

from collections.abc import Mapping

import msgspec


class Node(msgspec.Struct, frozen=True):
    """Settings of one process.

    Attributes:
        instance: Its instance's name.
        zone: Where it runs.
        region: The region of its zone.
        region_by_zone: The region of each zone.
        store_address: `host:port` of the key-value service.
        reports_address: `host:port` where it takes reports of others.
        relay_address: `host:port` where it passes other processes' store
            calls on.
        metrics_address: `host:port` where it shows its metrics.
        grace_s: Seconds from SIGTERM to SIGKILL.
        callers_address: `host:port` for callers; empty for none.
        ready_address: `host:port` for the balancer's question; empty for
            none.
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
