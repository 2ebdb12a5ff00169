"""The batch process: claims jobs and runs their items."""

import functools
from typing import Final

import anyio
from returns import result

from eelgrassgate import deadlines
from eelgrassgate import logs
from eelgrassgate.batches import owner as owner_lib
from eelgrassgate.batches import owner_api
from eelgrassgate.batches import records
from eelgrassgate.gateway import discovery
from eelgrassgate.gateway import node as node_lib
from eelgrassgate.gateway import settings
from eelgrassgate.peering import registry
from eelgrassgate.peering import rendezvous
from eelgrassgate.store import base
from eelgrassgate.store import mirror

# Part of the grace period reserved for the last results and for releasing the
# claims and the lease.
SHUTDOWN_MARGIN_S: Final = 1.0
# Delay for collecting changes of open jobs into one watch response. Gateways
# announce new jobs directly; only expired claims and cancellations, which may
# take up to 3 s to apply, depend on the watch.
OPEN_BATCH_DELAY_S: Final = 1.2
# Cancellations are learned from this watch alone.
OPEN_MAX_WAIT_S: Final = 1.1
# Draining for a retirement ends this long before the retirement's deadline.
RETIRE_MARGIN_S: Final = 1.5
RETRY_DELAY_S: Final = 0.3
# Interval of the check for retirements of other instances. The entry of a
# process that died expires after 3 s.
RETIRE_POLL_INTERVAL_S: Final = 0.5


class BatchDaemon:
    """A batch process."""

    def __init__(self, node: node_lib.Node) -> None:
        """Create a batch process; `run` starts it."""
        self._node = node
        self._open_mirror = mirror.create_mirror(
            node.adapters.store,
            records.OPEN,
            batch_delay_s=OPEN_BATCH_DELAY_S,
            max_wait_s=OPEN_MAX_WAIT_S,
        )
        self._owner = owner_lib.create_owner(
            node.adapters.store,
            self._open_mirror,
            node.member,
            node.directory,
            node.registration,
            node.adapters.dialect,
            node.pool,
            node.placement,
            node.loads,
            node.quarantine,
            node.discovery.get_catalog,
            node.metrics,
            node.budget,
        )
        self._is_retiring = anyio.Event()
        self._retirement: discovery.Retirement | None = None
        self._other_retirements: set[str] = set()
        node.discovery.subscribe_to_retirements(self._record_retirement)
        node.reports.subscribe(self._owner)
        node.relay.job_handler = owner_api.create_owner_api(
            self._owner, node.budget
        ).handle

    def _record_retirement(self, retirement: discovery.Retirement) -> None:
        if retirement.instance == self._node.member.name:
            self._retirement = retirement
            self._is_retiring.set()
        else:
            self._other_retirements.add(retirement.instance)

    async def _report_other_retirements(self) -> None:
        """Report retired instances on which no batch process runs.

        All batch processes compute the same reporter by rendezvous hashing,
        so that only one of them reports each instance.
        """
        own = self._node.member.name
        while True:
            members = self._node.directory.members_by_name
            # The member list is incomplete until it has this process's entry.
            absent = self._other_retirements - set(members)
            for name in absent if own in members else ():
                self._other_retirements.discard(name)
                batches = self._node.directory.get_names(registry.Role.BATCH)
                order = rendezvous.rank_members(name, batches)
                if order[:1] == [own]:
                    await self._report_retirement(name, is_complete=True)
                    logs.log_message(
                        "absent instance reported as retired", name=name
                    )
            await anyio.sleep(RETIRE_POLL_INTERVAL_S)

    async def _retire(self) -> None:
        """Drain this instance when the operators request its retirement.

        The process stores nothing on disk, so releasing its claims is enough
        for other processes to take over its jobs.
        """
        await self._is_retiring.wait()
        assert self._retirement is not None
        logs.log_message(
            "retirement started", in_hand=self._owner.count_running()
        )
        own = self._node.member.name
        await self._report_retirement(own, is_complete=False)
        await self._owner.drain(self._retirement.deadline - RETIRE_MARGIN_S)
        await self._owner.release_claims()
        await self._report_retirement(own, is_complete=True)
        logs.log_message("retirement completed")

    async def _report_retirement(self, name: str, *, is_complete: bool) -> None:
        key, value = self._node.adapters.documents.encode_retirement_status(
            name, is_complete
        )
        report = base.Transaction((), (base.Write(key, value),))
        store = self._node.adapters.store
        while isinstance(await store.commit(report), result.Failure):
            await anyio.sleep(RETRY_DELAY_S)

    async def run(self, stop: anyio.Event) -> None:
        """Run jobs until `stop` is set, then drain within the grace period."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._node.run)
            start = functools.partial(self._node.supervisor.start, tasks)
            start("retirement", self._retire)
            start("other retirements", self._report_other_retirements)
            start("open jobs", self._open_mirror.run)
            start("jobs", self._owner.run)
            await stop.wait()
            logs.log_message(
                "shutdown started", in_hand=self._owner.count_running()
            )
            grace_s = self._node.settings.grace_s
            await self._owner.drain(
                deadlines.after(grace_s - SHUTDOWN_MARGIN_S)
            )
            with anyio.move_on_after(SHUTDOWN_MARGIN_S / 2.0):
                self._node.reports.is_leaving = True
                await self._owner.release_claims()
                await self._node.registration.deregister()
            logs.log_message(
                "shutdown completed", cut=self._owner.count_running()
            )
            tasks.cancel_scope.cancel()


def create_batch_daemon(
    node_settings: settings.Node, adapters: node_lib.PlatformAdapters
) -> BatchDaemon:
    """Create a batch process.

    Args:
        node_settings: Settings of this process.
        adapters: Adapters to the platform.
    """
    return BatchDaemon(
        node_lib.create_node(node_settings, registry.Role.BATCH, adapters)
    )
