"""The gateway: takes callers in, forwards them, and drains."""

from typing import Final

import anyio

from eelgrassgate import deadlines
from eelgrassgate import logs
from eelgrassgate.batches import results
from eelgrassgate.gateway import batch_calls
from eelgrassgate.gateway import forwarding
from eelgrassgate.gateway import node as node_lib
from eelgrassgate.gateway import rates as rates_lib
from eelgrassgate.gateway import service as service_lib
from eelgrassgate.gateway import settings
from eelgrassgate.http1 import downstream
from eelgrassgate.peering import registry

# The balancer asks once a second and acts on two misses; callers that it
# still sends are taken in.
NOTICE_S: Final = 2.5
# Left of the grace period for the end itself.
LAST_S: Final = 0.5
TICK_S: Final = 0.05
OK: Final = 200
UNAVAILABLE: Final = 503


class Gateway:
    """One gateway in this process."""

    def __init__(self, node: node_lib.Node) -> None:
        """Create a gateway that is not yet running."""
        self._node = node
        outside = node.outside
        self._rates = rates_lib.create_rates(node.reports.spend)
        node.reports.subscribe(self._rates)
        node.present.on_catalog(self._rates.configure)
        forwarder = forwarding.create_forwarder(
            outside.dialect,
            node.pool,
            node.placement,
            node.loads,
            node.metrics,
        )
        reader = results.create_reader(
            outside.store, node.directory, node.reports.is_heard_directly
        )
        self._service = service_lib.create_service(
            node.present.get_catalog,
            node.present.wait_loaded,
            outside.dialect,
            self._rates,
            forwarder,
            batch_calls.create_batch_calls(
                outside.store, reader, outside.dialect, outside.batch_dialect
            ),
            node.metrics,
        )
        self._listener = downstream.Listener(
            self._read_limits, self._service.handle, self._is_closing
        )
        self._questions = downstream.Listener(
            downstream.Limits, self._answer_ready, self._is_never
        )
        self._is_leaving = False

    def is_ready(self) -> bool:
        """Tell whether new callers are served."""
        return self._node.present.is_loaded() and not self._is_leaving

    def _read_limits(self) -> downstream.Limits:
        return self._node.present.catalog.limits

    def _is_closing(self) -> bool:
        return self._is_leaving

    def _is_never(self) -> bool:
        return False

    async def _answer_ready(
        self, incoming: downstream.Incoming, responder: downstream.Responder
    ) -> None:
        await responder.reply(OK if self.is_ready() else UNAVAILABLE)

    async def run(self, stop: anyio.Event) -> None:
        """Serve until `stop`, then drain."""
        own = self._node.settings
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._node.run)
            await tasks.start(self._listener.run)
            await tasks.start(self._questions.run)
            await tasks.start(self._questions.serve, own.ready_address)
            tasks.start_soon(self._keep_share)
            accepting = anyio.CancelScope()
            tasks.start_soon(self._accept, accepting, own)
            await stop.wait()
            await self._drain(accepting, own.grace_s)
            tasks.cancel_scope.cancel()

    async def _accept(
        self, scope: anyio.CancelScope, own: settings.Node
    ) -> None:
        with scope:
            await self._listener.serve(own.callers_address)

    async def _drain(
        self, accepting: anyio.CancelScope, grace_s: float
    ) -> None:
        """Let the balancer look away, then finish what is in hand."""
        until = deadlines.after(grace_s - LAST_S)
        self._is_leaving = True
        logs.log_message("leaving", in_hand=self._listener.count_busy())
        await anyio.sleep(min(NOTICE_S, grace_s / 2.0))
        accepting.cancel()
        cut = await self._listener.drain(until)
        with anyio.move_on_after(LAST_S / 2.0):
            self._node.reports.is_leaving = True
            await self._node.registration.leave()
        logs.log_message("left", cut=cut)

    async def _keep_share(self) -> None:
        """Use only this process's part of the rates of those not heard."""
        while True:
            names = self._node.directory.get_names(registry.Role.GATEWAY)
            others = names - {self._node.member.name}
            heard = sum(self._node.reports.is_recent(one) for one in others)
            share = (1.0 + heard) / (1.0 + len(others))
            if share != self._rates.share:
                logs.log_message(
                    "share:changed", share=share, gateways=len(others) + 1
                )
                self._rates.share = share
            await anyio.sleep(TICK_S)


def create_gateway(own: settings.Node, outside: node_lib.Outside) -> Gateway:
    """Create a gateway.

    Args:
        own: Its settings.
        outside: The outside world.
    """
    node = node_lib.create_node(own, registry.Role.GATEWAY, outside)
    return Gateway(node)
