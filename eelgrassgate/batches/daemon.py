"""The batch process: owns jobs and runs their items."""

from typing import Final

import anyio

from eelgrassgate import deadlines
from eelgrassgate import logs
from eelgrassgate.batches import owner as owner_lib
from eelgrassgate.gateway import node as node_lib
from eelgrassgate.gateway import settings
from eelgrassgate.peering import registry

# Left of the grace period for the last results and the lease.
LAST_S: Final = 1.0


class Batch:
    """One batch process."""

    def __init__(self, node: node_lib.Node) -> None:
        """Create a batch process that is not yet running."""
        self._node = node
        self._owner = owner_lib.create_owner(
            node.outside.store,
            node.watched,
            node.member,
            node.directory,
            node.registration,
            node.outside.dialect,
            node.pool,
            node.placement,
            node.loads,
            node.present.get_catalog,
        )

    async def run(self, stop: anyio.Event) -> None:
        """Run jobs until `stop`, then finish what runs."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._node.run)
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
