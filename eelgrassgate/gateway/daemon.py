"""Gateway process: serves callers and drains on shutdown."""

import functools
from typing import Final

import anyio

from eelgrassgate import binding
from eelgrassgate import logs
from eelgrassgate import memory_budget
from eelgrassgate.batches import admission
from eelgrassgate.batches import intake
from eelgrassgate.batches import job_regions
from eelgrassgate.batches import results
from eelgrassgate.gateway import batch_calls
from eelgrassgate.gateway import body_admission
from eelgrassgate.gateway import forwarding
from eelgrassgate.gateway import node as node_lib
from eelgrassgate.gateway import rate_share as rate_share_lib
from eelgrassgate.gateway import rates as rates_lib
from eelgrassgate.gateway import service as service_lib
from eelgrassgate.gateway import settings
from eelgrassgate.gateway import shutdown as shutdown_lib
from eelgrassgate.http1 import downstream
from eelgrassgate.peering import registry

SHARE_UPDATE_INTERVAL_S: Final = 0.05
OK: Final = 200
UNAVAILABLE: Final = 503
# Descriptors for files, the store, peers, metrics and probes; the platform sets
# 200 aside for files.
RESERVED_DESCRIPTORS: Final = 400
# Connections to the readiness path. The platform probes once a second; when
# more than half are open, each is closed after its response.
READINESS_CONNECTIONS: Final = 64
# Probes send their requests at once.
READINESS_MIN_STALL_S: Final = 0.1
READINESS_LIMITS: Final = downstream.Limits(body_bytes=1_024)
# Share of the others for connections to endpoints; most connections of callers
# are idle or have sent no whole request.
ENDPOINTS_SHARE: Final = 0.2


def compute_max_connections(file_descriptors: int) -> int:
    """Return how many connections of callers may be open."""
    left = file_descriptors - RESERVED_DESCRIPTORS
    return max(1, int(left * (1.0 - ENDPOINTS_SHARE)))


class Gateway:
    """Gateway that runs in this process."""

    def __init__(self, node: node_lib.Node) -> None:
        """Initialize without starting; see `create_gateway`."""
        self._node = node
        adapters = node.adapters
        self._rates = rates_lib.create_rates(node.reports.record_admission)
        node.reports.subscribe(self._rates)
        node.discovery.subscribe_to_catalog(self._rates.configure)
        self._shutdown = shutdown_lib.create_shutdown()
        forwarder = forwarding.create_forwarder(
            adapters.dialect,
            node.pool,
            node.placement,
            node.loads,
            node.quarantine,
            node.metrics,
            self._shutdown,
            node.budget,
            node.discovery.get_catalog,
        )
        regions = job_regions.create_job_regions(
            node.discovery.get_catalog, node.member.region
        )
        reader = results.create_reader(
            adapters.store,
            node.directory,
            node.reports.is_directly_reachable,
            node.budget,
            regions,
        )
        node.discovery.subscribe_to_catalog(lambda _: reader.drop_disallowed())
        self._service = service_lib.create_service(
            node.discovery.get_catalog,
            node.discovery.config.get_age_s,
            node.discovery.wait_until_loaded,
            adapters.dialect,
            self._rates,
            forwarder,
            batch_calls.create_batch_calls(
                adapters.store,
                intake.create_intake(adapters.store, adapters.store.contact),
                reader,
                adapters.dialect,
                adapters.batch_dialect,
                admission.create_admission(
                    node.budget, admission.SUBMISSION_RESERVE_BYTES
                ),
                regions,
            ),
            node.metrics,
            self._shutdown,
        )
        self._listener = downstream.Listener(
            self._read_limits,
            self._service.handle,
            self._is_closing,
            body_admission.create_body_admission(
                node.budget,
                memory_budget.Kind.REQUEST,
                self._find_workspace,
                adapters.dialect.write_refusal_headers,
            ),
            compute_max_connections(node.settings.file_descriptors),
        )
        self._readiness_listener = downstream.Listener(
            lambda: READINESS_LIMITS,
            self._handle_readiness,
            self._is_readiness_closing,
            max_connections=READINESS_CONNECTIONS,
            min_stall_s=READINESS_MIN_STALL_S,
        )

        node.metrics.observe_listener("callers", self._listener)
        node.metrics.observe_listener("readiness", self._readiness_listener)

    def is_ready(self) -> bool:
        """Return whether the gateway accepts new requests."""
        return (
            self._node.discovery.is_loaded()
            and self._listener.is_listening
            and self._node.supervisor.is_sound()
            and not self._shutdown.is_draining
        )

    def _find_workspace(self, head: downstream.RequestHead) -> str:
        key = self._node.adapters.dialect.read_key(head)
        workspaces = self._node.discovery.get_catalog().workspace_by_key
        return workspaces.get(key or "", "")

    def _read_limits(self) -> downstream.Limits:
        return self._node.discovery.get_catalog().limits

    def _is_closing(self) -> bool:
        return self._shutdown.is_draining

    def _is_readiness_closing(self) -> bool:
        count = self._readiness_listener.count_connections()
        return count > READINESS_CONNECTIONS // 2

    async def _handle_readiness(
        self,
        incoming: downstream.IncomingRequest,
        responder: downstream.Responder,
    ) -> None:
        await responder.reply(OK if self.is_ready() else UNAVAILABLE)

    async def run(self, stop: anyio.Event) -> None:
        """Serve until `stop`, then drain.

        Raises:
            binding.AddressUnavailableError: An address that the process needs
                is taken.
        """
        node_settings = self._node.settings
        give_up_at = binding.compute_give_up_at(node_settings.grace_s)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._node.run)
            await tasks.start(self._listener.run)
            await tasks.start(self._readiness_listener.run)
            start = functools.partial(self._node.supervisor.start, tasks)
            if node_settings.ready_address:
                start(
                    "readiness",
                    self._readiness_listener.serve,
                    node_settings.ready_address,
                    give_up_at,
                )
            start("share", self._update_share)
            accept_scope = anyio.CancelScope()
            if node_settings.callers_address:
                tasks.start_soon(
                    self._accept,
                    accept_scope,
                    node_settings.callers_address,
                    give_up_at,
                )
            await stop.wait()
            await self._drain(accept_scope, node_settings.grace_s)
            tasks.cancel_scope.cancel()

    async def _accept(
        self, scope: anyio.CancelScope, address: str, give_up_at: float
    ) -> None:
        with scope:
            await self._node.supervisor.run(
                "callers", self._listener.serve, address, give_up_at
            )

    async def _drain(
        self, accept_scope: anyio.CancelScope, grace_s: float
    ) -> None:
        """Finish requests in flight, then deregister."""
        cut = await self._shutdown.drain(self._listener, accept_scope, grace_s)
        with anyio.move_on_after(shutdown_lib.SHUTDOWN_MARGIN_S / 2.0):
            self._node.reports.is_leaving = True
            await self._node.registration.deregister()
        logs.log_message("shutdown completed", cut=cut)

    async def _update_share(self) -> None:
        """Keep the share of rates in line with the gateways that report."""
        rate_share = rate_share_lib.create_rate_share()
        while True:
            names = self._node.directory.get_names(registry.Role.GATEWAY)
            share = rate_share.compute(
                names - {self._node.member.name},
                self._node.reports.has_left,
                self._node.reports.has_fresh_report,
            )
            self._rates.lost_share = rate_share.get_lost()
            if share != self._rates.share:
                logs.log_message(
                    "share:changed",
                    share=share,
                    gateways=rate_share.count_gateways(),
                )
                self._rates.share = share
            await anyio.sleep(SHARE_UPDATE_INTERVAL_S)


def create_gateway(
    node_settings: settings.Node, adapters: node_lib.PlatformAdapters
) -> Gateway:
    """Create a gateway.

    Args:
        node_settings: Settings of this process.
        adapters: Adapters to the platform.
    """
    node = node_lib.create_node(node_settings, registry.Role.GATEWAY, adapters)
    return Gateway(node)
