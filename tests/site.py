"""Test fixture: a gateway with stand-in endpoints in one process."""

from collections.abc import AsyncIterator
from collections.abc import Callable
from collections.abc import Mapping
import contextlib
from typing import Any
from typing import Final

import anyio
import h11

from eelgrassgate import deadlines
from eelgrassgate import memory_budget
from eelgrassgate.batches import admission
from eelgrassgate.batches import intake
from eelgrassgate.batches import job_regions
from eelgrassgate.batches import results
from eelgrassgate.gateway import batch_calls
from eelgrassgate.gateway import body_admission
from eelgrassgate.gateway import catalog
from eelgrassgate.gateway import draining
from eelgrassgate.gateway import endpoint_limits
from eelgrassgate.gateway import forwarding
from eelgrassgate.gateway import metrics as metrics_lib
from eelgrassgate.gateway import placement as placement_lib
from eelgrassgate.gateway import rates as rates_lib
from eelgrassgate.gateway import service as service_lib
from eelgrassgate.gateway import shutdown
from eelgrassgate.http1 import downstream
from eelgrassgate.http1 import upstream
from eelgrassgate.peering import failures
from eelgrassgate.peering import loads
from eelgrassgate.peering import registry
from eelgrassgate.platform import batch_calls as platform_batch_calls
from eelgrassgate.platform import dialect
from eelgrassgate.quarantine import quarantine
from eelgrassgate.standins import endpoint
from eelgrassgate.store import base
from eelgrassgate.store import contact
from eelgrassgate.store import memory
from eelgrassgate.store import mirror

HOST: Final = "desk.example"
KEY: Final = "key-1"
WORKSPACE: Final = "desk"
TEST_TIMEOUT_S: Final = 10.0
MEMORY_BYTES: Final = 100_000_000


def make_route(prefix: str, kind: catalog.Kind, **fields: Any) -> catalog.Route:
    values: dict[str, Any] = {
        "timeout_s": 5.0,
        "objective_s": 0.3,
        "max_attempts": 2,
        **fields,
    }
    return catalog.Route(
        prefix.strip("/"),
        HOST,
        prefix,
        kind,
        (catalog.Target("engine", 1.0),),
        **values,
    )


ROUTES: Final = [
    make_route("/plain/", catalog.Kind.IDEMPOTENT),
    make_route("/once/", catalog.Kind.NON_IDEMPOTENT, max_attempts=1),
    make_route("/twice/", catalog.Kind.NON_IDEMPOTENT),
    make_route("/stream/", catalog.Kind.STREAM),
    make_route("/resumable/", catalog.Kind.STREAM, is_resumable=True),
    make_route("/short/", catalog.Kind.STREAM, timeout_s=0.4),
    make_route("/open/", catalog.Kind.IDEMPOTENT, is_open=True),
    make_route(
        "/batch/",
        catalog.Kind.BATCH,
        max_attempts=3,
        completion_s=18.0,
        retention_s=60.0,
    ),
]


def make_catalog(
    routes: list[catalog.Route] | None = None,
    rate_per_s: float = 0.0,
    burst: float = 0.0,
    version: int = 1,
) -> catalog.Catalog:
    return catalog.Catalog(
        version,
        catalog.group_routes_by_host(ROUTES if routes is None else routes),
        {"engine": catalog.Service("engine", 100, True)},
        {WORKSPACE: catalog.Workspace(WORKSPACE, rate_per_s, burst)},
        {KEY: WORKSPACE},
    )


def make_endpoint_limits(
    role: registry.Role = registry.Role.GATEWAY,
    clock: Callable[[], float] = deadlines.now,
) -> endpoint_limits.EndpointLimits:
    """Return the limits of a process without peers."""
    member = registry.Member(
        "a", role, "z1", "r1", "127.0.0.1:1", "127.0.0.1:2", 1
    )
    return endpoint_limits.create_endpoint_limits(
        member, lambda: [member], {"z1": "r1"}, clock
    )


class Response:
    """A response as received by a caller.

    Attributes:
        is_complete: Whether it was terminated according to HTTP.
    """

    def __init__(self) -> None:
        self.status = 0
        self.headers: dict[bytes, bytes] = {}
        self.body = b""
        self.is_complete = False


async def call(
    address: str,
    path: str,
    *,
    method: str = "POST",
    headers: Mapping[str, str] | None = None,
    body: bytes = b"question",
    request_id: str = "r1",
    remaining_ms: int = 5000,
) -> Response:
    """Send a request to a gateway on a new connection."""
    sent = {
        "Host": HOST,
        "Request-Id": request_id,
        "Time-Remaining": str(remaining_ms),
        "Authorization": f"Bearer {KEY}",
        "Content-Length": str(len(body)),
        **(headers or {}),
    }
    response = Response()
    host, _, port = address.rpartition(":")
    client = h11.Connection(h11.CLIENT)
    with anyio.fail_after(TEST_TIMEOUT_S):
        async with await anyio.connect_tcp(host, int(port)) as stream:
            request = h11.Request(
                method=method, target=path, headers=list(sent.items())
            )
            data = client.send(request) or b""
            if body:
                data += client.send(h11.Data(data=body)) or b""
            await stream.send(data + (client.send(h11.EndOfMessage()) or b""))
            await read_response(client, stream, response)
    return response


async def read_response(
    client: h11.Connection, stream: Any, response: Response
) -> None:
    while True:
        try:
            event = client.next_event()
        except h11.RemoteProtocolError:
            return
        if event is h11.NEED_DATA:
            try:
                client.receive_data(await stream.receive())
            except (anyio.EndOfStream, anyio.BrokenResourceError):
                client.receive_data(b"")
        elif isinstance(event, h11.Response):
            response.status = event.status_code
            response.headers = dict(event.headers)
        elif isinstance(event, h11.Data):
            response.body += bytes(event.data)
        elif isinstance(event, h11.EndOfMessage):
            response.is_complete = True
            return
        else:
            return


def make_budget() -> memory_budget.Budget:
    """Return the budget of a process with 300 MB."""
    return memory_budget.create_budget(300 * memory_budget.BYTES_PER_MB)


class BatchCallsStub:
    """Stub of the batch job API that parses calls and accepts jobs.

    Attributes:
        submissions: The store that holds accepted jobs.
        intake: Decides whether that store can accept jobs.
        admission: Decides when there is memory to accept a job.
    """

    def __init__(self) -> None:
        self.submissions: base.Store = memory.create_memory_store()
        self.intake = intake.create_intake(
            self.submissions, contact.create_contact()
        )
        self.admission = admission.create_admission(
            make_budget(),
            admission.SUBMISSION_RESERVE_BYTES,
        )

    def read_job_call(self, call: Any) -> Any:
        return platform_batch_calls.PlatformBatchDialect().read_job_call(call)

    async def submit(self, *args: Any) -> None:
        await self._create().submit(*args)

    async def handle_job_call(self, *args: Any) -> None:
        await self._create().handle_job_call(*args)

    def _create(self) -> batch_calls.BatchCalls:
        directory = registry.create_directory(
            mirror.create_mirror(self.submissions, registry.MEMBERS_PREFIX)
        )
        return batch_calls.create_batch_calls(
            self.submissions,
            self.intake,
            results.create_reader(
                self.submissions, directory, lambda name: False, make_budget()
            ),
            dialect.PlatformDialect(),
            platform_batch_calls.PlatformBatchDialect(),
            self.admission,
            job_regions.create_job_regions(make_catalog, "r1"),
        )


class Site:
    """Endpoints behind the request handling of a gateway."""

    def __init__(self, names: tuple[str, ...]) -> None:
        self.endpoints = [endpoint.create_endpoint(name) for name in names]
        self.catalog = make_catalog()
        self.loads = loads.create_loads()
        self.failures = failures.create_failures()
        self.placement = placement_lib.create_placement(
            self.loads,
            self.failures,
            make_endpoint_limits(),
            draining.create_draining_endpoints(),
            "z1",
            {"z1": "r1", "z2": "r1", "z3": "r2"},
        )
        self.pool = upstream.create_pool(0.5)
        self.quarantine = quarantine.create_quarantine()
        self.admitted: list[str] = []
        self.rates = rates_lib.create_rates(self.admitted.append)
        self.metrics = metrics_lib.create_metrics()
        self.shutdown = shutdown.create_shutdown()
        self.budget = memory_budget.Budget(MEMORY_BYTES)
        self.address = ""
        self.load_delay_s = 0.0
        self.listener = downstream.Listener(
            lambda: self.catalog.limits,
            self._handle,
            lambda: False,
            body_admission.create_body_admission(
                self.budget,
                memory_budget.Kind.REQUEST,
                lambda head: WORKSPACE,
                dialect.PlatformDialect().write_refusal_headers,
            ),
        )
        self.batches = BatchCallsStub()
        batches: Any = self.batches
        self.service = service_lib.create_service(
            lambda: self.catalog,
            lambda: 0.0,
            self.wait_until_loaded,
            dialect.PlatformDialect(),
            self.rates,
            forwarding.create_forwarder(
                dialect.PlatformDialect(),
                self.pool,
                self.placement,
                self.loads,
                self.quarantine,
                self.metrics,
                self.shutdown,
                self.budget,
                lambda: self.catalog,
            ),
            batches,
            self.metrics,
            self.shutdown,
        )

    async def _handle(
        self,
        incoming: downstream.IncomingRequest,
        responder: downstream.Responder,
    ) -> None:
        await self.service.handle(incoming, responder)

    async def wait_until_loaded(self) -> None:
        """Give a test time to set the configuration."""
        if not self.catalog.version:
            await anyio.sleep(self.load_delay_s)

    def register_endpoints(self, *, slots: int = 8) -> None:
        """Register all endpoints, in the gateway's own zone."""
        self.placement.set_endpoints(
            {
                one.name: catalog.Endpoint(
                    one.name, "engine", one.address, "z1", slots
                )
                for one in self.endpoints
            }
        )

    def count_runs(self) -> int:
        return sum(len(one.runs) for one in self.endpoints)


@contextlib.asynccontextmanager
async def open_site(*names: str) -> AsyncIterator[Site]:
    """Serve a site on the loopback interface."""
    site = Site(names or ("e1", "e2"))
    async with anyio.create_task_group() as tasks:
        for one in site.endpoints:
            await tasks.start(one.serve)
        site.register_endpoints()
        await tasks.start(site.listener.run)
        port = await tasks.start(site.listener.serve, "127.0.0.1:0")
        site.address = f"127.0.0.1:{port}"
        try:
            yield site
        finally:
            tasks.cancel_scope.cancel()
            await site.pool.close()
