"""The batch process: owns jobs and runs their items."""

from typing import Final

import anyio

from eelgrassgate import deadlines
from eelgrassgate import logs
from eelgrassgate.batches import owner as owner_lib
from eelgrassgate.batches import records
from eelgrassgate.batches import serving
from eelgrassgate.gateway import node as node_lib
from eelgrassgate.gateway import settings
from eelgrassgate.peering import registry
from eelgrassgate.store import mirror

# Left of the grace period for the last results and the lease.
LAST_S: Final = 1.0
# Gateways tell of new jobs at once; this is for claims that lapse and jobs that
# are ended, which may go on for 3 s.
OPEN_GAP_S: Final = 0.7


class Batch:
    """One batch process."""

    def __init__(self, node: node_lib.Node) -> None:
        """Create a batch process that is not yet running."""
        self._node = node
        self._open = mirror.create_mirror(
            node.outside.store, records.OPEN, gap_s=OPEN_GAP_S
        )
        self._owner = owner_lib.create_owner(
            node.outside.store,
            self._open,
            node.member,
            node.directory,
            node.registration,
            node.outside.dialect,
            node.pool,
            node.placement,
            node.loads,
            node.present.get_catalog,
            node.metrics,
        )
        node.reports.subscribe(self._owner)
        node.relay.answer = serving.create_serving(self._owner).handle

    async def run(self, stop: anyio.Event) -> None:
        """Run jobs until `stop`, then finish what runs."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._node.run)
            tasks.start_soon(self._open.run)
            tasks.start_soon(self._owner.run)
            await stop.wait()
            logs.say("leaving", in_hand=self._owner.count_running())
            grace_s = self._node.settings.grace_s
            await self._owner.drain(deadlines.after(grace_s - LAST_S))
            with anyio.move_on_after(LAST_S / 2.0):
                await self._node.registration.leave()
            logs.say("left", cut=self._owner.count_running())
            tasks.cancel_scope.cancel()


def create_batch(own: settings.Node, outside: node_lib.Outside) -> Batch:
    """Create a batch process.

    Args:
        own: Its settings.
        outside: The outside world.
    """
    return Batch(node_lib.create_node(own, registry.Role.BATCH, outside))
