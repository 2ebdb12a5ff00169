"""Components shared by gateway and batch processes."""

from collections.abc import Callable
import functools
import os
import time
from typing import Protocol

import anyio
import msgspec

from eelgrassgate import binding
from eelgrassgate import deadlines
from eelgrassgate import logs
from eelgrassgate import memory_budget
from eelgrassgate import supervision
from eelgrassgate.capacity import estimator
from eelgrassgate.gateway import batch_calls
from eelgrassgate.gateway import calls
from eelgrassgate.gateway import catalog
from eelgrassgate.gateway import config_sync
from eelgrassgate.gateway import discovery as discovery_lib
from eelgrassgate.gateway import draining as draining_lib
from eelgrassgate.gateway import endpoint_limits
from eelgrassgate.gateway import evacuations as evacuations_lib
from eelgrassgate.gateway import metrics as metrics_lib
from eelgrassgate.gateway import placement as placement_lib
from eelgrassgate.gateway import regions
from eelgrassgate.gateway import settings
from eelgrassgate.http1 import upstream
from eelgrassgate.peering import failures
from eelgrassgate.peering import loads
from eelgrassgate.peering import registry
from eelgrassgate.peering import relay
from eelgrassgate.peering import reports as reports_lib
from eelgrassgate.peering import shared_watches
from eelgrassgate.quarantine import quarantine
from eelgrassgate.quarantine import storage
from eelgrassgate.store import base
from eelgrassgate.store import causes
from eelgrassgate.store import contact as contact_lib
from eelgrassgate.store import mirror

# Connecting takes one round trip, 60 ms between regions; a lost SYN is
# retransmitted only after a second.
CONNECT_TIMEOUT_S = 0.5
SWEEP_INTERVAL_S = 1.0
# A timer this late means that the process is short of CPU time or that its
# instance was suspended.
MIN_LATE_S = 0.1
MS_PER_S = 1000.0
# Changes of members reach the other processes within half a second.
MEMBERS_BATCH_DELAY_S = 0.3
# Longest wait of the watch for a change. Each answer confirms the members for
# this process and those that follow it. Members change rarely, and a process
# that has ended is known from its reports, so a silent watch matters less than
# for endpoints.
MEMBERS_MAX_WAIT_S = 4.0


class RelayedStore(base.Store, Protocol):
    """A store whose calls may be relayed through another process.

    Attributes:
        contact: Whether the store answers, directly or through a relay.
        calls: Numbers of calls by cause.
    """

    contact: contact_lib.Contact
    calls: causes.CallCounts

    def is_directly_reachable(self) -> bool:
        """Return whether the store responds to direct calls."""
        ...

    def set_relays(self, get_relays: Callable[[], tuple[str, ...]]) -> None:
        """Set the relays to use while direct calls get no response."""
        ...


class PlatformAdapters(msgspec.Struct, frozen=True):
    """Adapters to the platform that the process runs on.

    Attributes:
        store: The key-value service, reached directly or through a relay.
        documents: Keys and decoders of configuration and endpoints.
        dialect: Wire format of requests and responses.
        batch_dialect: Wire format of the batch job API.
    """

    store: RelayedStore
    documents: discovery_lib.Documents
    dialect: calls.Dialect
    batch_dialect: batch_calls.BatchDialect


class _CapacityListener(reports_lib.ReportListener):
    """Passes on what peers report of the speed of endpoints."""

    def __init__(self, capacity: estimator.Estimator) -> None:
        self._capacity = capacity

    def handle_report(self, report: reports_lib.Report) -> None:
        self._capacity.set_peer_report(report.name, report.capacity)


class Node:
    """The shared components of one process."""

    def __init__(
        self,
        node_settings: settings.Node,
        role: registry.Role,
        adapters: PlatformAdapters,
    ) -> None:
        """Initialize the components; see `create_node`."""
        self.settings = node_settings
        self.adapters = adapters
        self.member = registry.Member(
            node_settings.instance,
            role,
            node_settings.zone,
            node_settings.region,
            node_settings.reports_address,
            node_settings.relay_address,
            time.time_ns() + os.getpid(),
        )
        self.shared_watches = shared_watches.create_shared_watches(
            self.member, self, adapters.store.is_directly_reachable
        )
        self._members = mirror.create_mirror(
            adapters.store,
            registry.MEMBERS_PREFIX,
            batch_delay_s=MEMBERS_BATCH_DELAY_S,
            max_wait_s=MEMBERS_MAX_WAIT_S,
            sharing=self.shared_watches,
        )
        self.shared_watches.add(self._members)
        self.directory = registry.create_directory(self._members)
        self.registration = registry.create_registration(
            adapters.store, self.member
        )
        self.metrics = metrics_lib.create_metrics()
        self.supervisor = supervision.create_supervisor(
            self.metrics.count_task_failure
        )
        self.budget = memory_budget.create_budget(node_settings.memory_bytes)
        self.metrics.observe_memory(self.budget)
        self.loads = loads.create_loads()
        self.failures = failures.create_failures(self._is_in_same_zone)
        self.quarantine = quarantine.create_quarantine()
        self._quarantine_storage = storage.create_storage(
            adapters.store, self.quarantine
        )
        self.reports = reports_lib.create_reports(
            self.member,
            self.directory,
            self.loads,
            self.failures,
            self.quarantine,
            adapters.store.is_directly_reachable,
        )
        adapters.store.set_relays(self.reports.get_relays)
        self.relay = relay.create_relay(
            node_settings.store_address, self.budget
        )
        self.metrics.observe_listener("relay", self.relay.listener)
        self.pool = upstream.create_pool(CONNECT_TIMEOUT_S)
        self.endpoint_limits = endpoint_limits.create_endpoint_limits(
            self.member,
            self.directory.members_by_name.values,
            node_settings.region_by_zone,
            cold_bounds=endpoint_limits.ColdBounds(
                node_settings.cold_over, node_settings.cold_slack
            ),
        )
        self.reports.set_limits_source(self.endpoint_limits.list_limits)
        self.reports.set_colds_source(self.endpoint_limits.list_colds)
        self.reports.subscribe(self.endpoint_limits)
        self.metrics.observe_endpoint_limits(
            self.endpoint_limits.count_limited, self.endpoint_limits.count_cold
        )
        self.capacity = estimator.create_estimator()
        self.reports.set_capacity_source(self.capacity.build_report)
        self.reports.subscribe(_CapacityListener(self.capacity))
        self.metrics.observe_capacity(self.capacity.list_differing)
        self.draining = draining_lib.create_draining_endpoints()
        self.metrics.observe_draining(self.draining.count)
        self.placement = placement_lib.create_placement(
            self.loads,
            self.failures,
            self.endpoint_limits,
            self.draining,
            node_settings.zone,
            node_settings.region_by_zone,
            capacity=self.capacity,
        )
        evacuations = evacuations_lib.create_evacuations()
        evacuations.subscribe(self.draining.set_evacuated_zones)
        self.reports.set_evacuations_source(evacuations.get_status)
        # Before the configuration, which peers have only with evacuations.
        self.reports.subscribe(evacuations)
        self.metrics.observe_evacuations(
            lambda: len(evacuations.zones),
            self.placement.count_evacuated_in_flight,
        )
        config = config_sync.create_config_sync(
            adapters.store,
            adapters.documents.config_key,
            adapters.documents.decode_config,
            self.member,
            self.reports,
            adapters.store.is_directly_reachable,
            adapters.documents,
            evacuations,
        )
        config.subscribe(self._check_regions)
        self.metrics.observe_config(
            lambda: config.catalog.version, config.get_age_s
        )
        self.metrics.observe_store(adapters.store.contact.get_silence_s)
        self.metrics.observe_quarantine(self.quarantine.count_quarantined)
        self.reports.set_config_source(config.get_status)
        self.reports.subscribe(config)
        self.relay.config_handler = config.handle
        self.relay.mirrors_handler = self.shared_watches.handle
        self.discovery = discovery_lib.create_discovery(
            adapters.store, adapters.documents, config, self.shared_watches
        )
        config.subscribe(self.endpoint_limits.set_services)
        self.discovery.subscribe_to_entries(self.endpoint_limits.record_entry)
        self.discovery.subscribe_to_endpoints(self.placement.set_endpoints)
        self.metrics.observe_store_calls(adapters.store.calls.by_cause)
        self.metrics.observe_mirrors(
            self.shared_watches.count_following,
            self.shared_watches.list_ages_s(),
        )

    def get_peers(self) -> dict[registry.Member, reports_lib.Peer]:
        """Return the live processes that report, by their registration."""
        return self.reports.get_peers()

    def _check_regions(self, current: catalog.Catalog) -> None:
        regions.log_unknown_regions(
            current, self.settings.region_by_zone.values()
        )

    def _is_in_same_zone(self, name: str) -> bool:
        member = self.directory.members_by_name.get(name)
        return member is not None and member.zone == self.member.zone

    async def run(self) -> None:
        """Run the components until cancelled.

        Raises:
            binding.AddressUnavailableError: An address that the process needs
                is taken.
        """
        give_up_at = binding.compute_give_up_at(self.settings.grace_s)
        async with anyio.create_task_group() as tasks:
            start = functools.partial(self.supervisor.start, tasks)
            start("discovery", self.discovery.run, is_needed=True)
            start("members", self._members.run)
            start("shared watches", self.shared_watches.run)
            start("registration", self.registration.run)
            start("quarantine", self._quarantine_storage.run)
            start("reports", self.reports.run, give_up_at)
            start("metrics", self.metrics.run, self.settings.metrics_address)
            start(
                "relay", self.relay.run, self.settings.relay_address, give_up_at
            )
            start("sweep", self._sweep)

    async def _sweep(self) -> None:
        """Observe the event loop and close idle connections."""
        while True:
            due = deadlines.after(SWEEP_INTERVAL_S)
            await anyio.sleep(SWEEP_INTERVAL_S)
            late_s = deadlines.now() - due
            self.metrics.record_loop_delay(late_s)
            if late_s > MIN_LATE_S:
                # Explains slow responses that have no other cause.
                logs.log_message(
                    "event loop delayed", late_ms=round(late_s * MS_PER_S)
                )
            await self.pool.sweep()
            await self.discovery.config.sweep()
            await self.shared_watches.sweep()


def create_node(
    node_settings: settings.Node,
    role: registry.Role,
    adapters: PlatformAdapters,
) -> Node:
    """Create the shared components of a process.

    Args:
        node_settings: Settings of this process.
        role: Role of this process.
        adapters: Adapters to the platform.
    """
    return Node(node_settings, role, adapters)
