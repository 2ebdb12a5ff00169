"""The batch process: owns jobs and runs their items."""

from typing import Final

import anyio
from returns import result

from eelgrassgate import deadlines
from eelgrassgate import logs
from eelgrassgate.batches import owner as owner_lib
from eelgrassgate.batches import records
from eelgrassgate.batches import scheduling
from eelgrassgate.batches import serving
from eelgrassgate.gateway import node as node_lib
from eelgrassgate.gateway import present
from eelgrassgate.gateway import settings
from eelgrassgate.peering import registry
from eelgrassgate.store import base
from eelgrassgate.store import mirror

# Left of the grace period for the last results and the lease.
LAST_S: Final = 1.0
# Gateways tell of new jobs at once; this is for claims that lapse and jobs that
# are ended, which may go on for 3 s.
OPEN_GAP_S: Final = 1.2
# An instance is told to be empty this long before it has to be.
RETIRED_BEFORE_S: Final = 1.5
RETRY_S: Final = 0.3
# How often orders to empty other instances are looked at; a process that died
# is known to be gone 3 s later.
OTHERS_EVERY_S: Final = 0.5


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
        self._is_retiring = anyio.Event()
        self._retirement: present.Retirement | None = None
        self._others_to_retire: set[str] = set()
        node.present.on_retirement(self._note_retirement)
        node.reports.subscribe(self._owner)
        node.relay.answer = serving.create_serving(self._owner).handle

    def _note_retirement(self, order: present.Retirement) -> None:
        if order.instance == self._node.member.name:
            self._retirement = order
            self._is_retiring.set()
        else:
            self._others_to_retire.add(order.instance)

    async def _retire_others(self) -> None:
        """Tell that an instance on which no process of this role runs is empty.

        One process tells it; which one, all agree on.
        """
        own = self._node.member.name
        while True:
            members = self._node.directory.members_by_name
            # Without its own entry the list of members is not complete yet.
            absent = self._others_to_retire - set(members)
            for name in absent if own in members else ():
                self._others_to_retire.discard(name)
                batches = self._node.directory.get_names(registry.Role.BATCH)
                order = scheduling.choose_owner(name, batches, owner_lib.weigh)
                if order[:1] == [own]:
                    await self._tell_retired(name, is_complete=True)
                    logs.log_message("retired for another", name=name)
            await anyio.sleep(OTHERS_EVERY_S)

    async def _retire(self) -> None:
        """Empty this instance when its operators ask for it.

        Its disk holds nothing, so only jobs have to change hands.
        """
        await self._is_retiring.wait()
        assert self._retirement is not None
        logs.log_message("retiring", in_hand=self._owner.count_running())
        own = self._node.member.name
        await self._tell_retired(own, is_complete=False)
        await self._owner.drain(self._retirement.deadline - RETIRED_BEFORE_S)
        await self._owner.give_back()
        await self._tell_retired(own, is_complete=True)
        logs.log_message("retired")

    async def _tell_retired(self, name: str, *, is_complete: bool) -> None:
        key, value = self._node.outside.documents.write_retired(
            name, is_complete
        )
        told = base.Transaction((), (base.Write(key, value),))
        store = self._node.outside.store
        while isinstance(await store.commit(told), result.Failure):
            await anyio.sleep(RETRY_S)

    async def run(self, stop: anyio.Event) -> None:
        """Run jobs until `stop`, then finish what runs."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._retire)
            tasks.start_soon(self._retire_others)
            tasks.start_soon(self._node.run)
            tasks.start_soon(self._open.run)
            tasks.start_soon(self._owner.run)
            await stop.wait()
            logs.log_message("leaving", in_hand=self._owner.count_running())
            grace_s = self._node.settings.grace_s
            await self._owner.drain(deadlines.after(grace_s - LAST_S))
            with anyio.move_on_after(LAST_S / 2.0):
                self._node.reports.is_leaving = True
                await self._owner.give_back()
                await self._node.registration.leave()
            logs.log_message("left", cut=self._owner.count_running())
            tasks.cancel_scope.cancel()


def create_batch(own: settings.Node, outside: node_lib.Outside) -> Batch:
    """Create a batch process.

    Args:
        own: Its settings.
        outside: The outside world.
    """
    return Batch(node_lib.create_node(own, registry.Role.BATCH, outside))
