"""Settings of gateway and batch processes."""

from collections.abc import Mapping
from typing import Final

import msgspec

# Limits of the smallest instances that processes run on, assumed if the
# settings name none.
DEFAULT_MEMORY_BYTES: Final = 230_000_000
DEFAULT_FILE_DESCRIPTORS: Final = 4_000

# Bounds of cold endpoints of all deployments on the platform's pages.
DEFAULT_COLD_OVER: Final = 1.5
DEFAULT_COLD_SLACK: Final = 5.0


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
        memory_bytes: Resident memory beyond which the platform ends the
            process.
        file_descriptors: Number of descriptors that the process may open.
        cold_over: Factor of the rate that a cold endpoint takes in a second.
        cold_slack: Requests that it takes in a second in addition.
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
    memory_bytes: int = DEFAULT_MEMORY_BYTES
    file_descriptors: int = DEFAULT_FILE_DESCRIPTORS
    cold_over: float = DEFAULT_COLD_OVER
    cold_slack: float = DEFAULT_COLD_SLACK
