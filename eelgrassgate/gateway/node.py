"""What every process on the platform is made of, gateways and batch alike."""

from collections.abc import Callable
import os
import time
from typing import Protocol

import anyio
import msgspec

from eelgrassgate import deadlines
from eelgrassgate import logs
from eelgrassgate.gateway import batch_calls
from eelgrassgate.gateway import calls
from eelgrassgate.gateway import metrics as metrics_lib
from eelgrassgate.gateway import placement as placement_lib
from eelgrassgate.gateway import present as present_lib
from eelgrassgate.gateway import settings
from eelgrassgate.http1 import upstream
from eelgrassgate.peering import failures
from eelgrassgate.peering import loads
from eelgrassgate.peering import registry
from eelgrassgate.peering import relay
from eelgrassgate.peering import reports as reports_lib
from eelgrassgate.store import base
from eelgrassgate.store import mirror

# A connection to an endpoint takes one round trip, 60 ms between regions; a
# lost opening packet is sent again after a second.
CONNECT_TIMEOUT_S = 0.5
SWEEP_S = 1.0
# A timer that fires this late means that the process lacks processor time, or
# that its instance stood still.
LATE_S = 0.1
MS_PER_S = 1000.0
# Members that come or go are seen by the others within half a second.
MEMBERS_GAP_S = 0.3


class RelayedStore(base.Store, Protocol):
    """A store whose calls may go through another process."""

    def has_answered(self) -> bool:
        """Tell whether it answers calls that come straight from here."""
        ...

    def set_relays(self, get_relays: Callable[[], tuple[str, ...]]) -> None:
        """Set where calls may go that get no answer by themselves."""
        ...


class Outside(msgspec.Struct, frozen=True):
    """The outside world as an adapter gives it.

    Attributes:
        store: The key-value service, directly or through a peer.
        documents: Where configuration and endpoints lie there.
        dialect: Names on the wire of requests.
        batch_dialect: How calls on batch jobs look.
    """

    store: RelayedStore
    documents: present_lib.Documents
    dialect: calls.Dialect
    batch_dialect: batch_calls.BatchDialect


class Node:
    """The parts that both kinds of process share."""

    def __init__(
        self, own: settings.Node, role: registry.Role, outside: Outside
    ) -> None:
        """Create the parts; see `create_node`."""
        self.settings = own
        self.outside = outside
        self.member = registry.Member(
            own.instance,
            role,
            own.zone,
            own.region,
            own.reports_address,
            own.relay_address,
            time.time_ns() + os.getpid(),
        )
        self._members = mirror.create_mirror(
            outside.store, registry.MEMBERS, gap_s=MEMBERS_GAP_S
        )
        self.directory = registry.create_directory(self._members)
        self.registration = registry.create_registration(
            outside.store, self.member
        )
        self.metrics = metrics_lib.create_metrics()
        self.loads = loads.create_loads()
        self.failures = failures.create_failures(self._is_near)
        self.reports = reports_lib.create_reports(
            self.member,
            self.directory,
            self.loads,
            self.failures,
            outside.store.has_answered,
        )
        outside.store.set_relays(self.reports.get_relays)
        self.relay = relay.create_relay(own.store_address)
        self.pool = upstream.create_pool(CONNECT_TIMEOUT_S)
        self.placement = placement_lib.create_placement(
            self.loads, self.failures, own.zone, own.region_by_zone
        )
        self.present = present_lib.create_present(
            outside.store, outside.documents
        )
        self.present.on_endpoints(self.placement.set_endpoints)

    def _is_near(self, name: str) -> bool:
        member = self.directory.members_by_name.get(name)
        return member is not None and member.zone == self.member.zone

    async def run(self) -> None:
        """Run the shared parts until cancelled."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self.present.run)
            tasks.start_soon(self._members.run)
            tasks.start_soon(self.registration.run)
            tasks.start_soon(self.reports.run)
            tasks.start_soon(self.metrics.run, self.settings.metrics_address)
            tasks.start_soon(self.relay.run, self.settings.relay_address)
            while True:
                due = deadlines.after(SWEEP_S)
                await anyio.sleep(SWEEP_S)
                late_s = deadlines.now() - due
                if late_s > LATE_S:
                    # Explains answers that were late with no other cause.
                    logs.log_message(
                        "loop late", late_ms=round(late_s * MS_PER_S)
                    )
                await self.pool.sweep()


def create_node(
    own: settings.Node, role: registry.Role, outside: Outside
) -> Node:
    """Create the parts of a process.

    Args:
        own: Its settings.
        role: What it does.
        outside: The outside world.
    """
    return Node(own, role, outside)
