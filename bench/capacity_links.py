"""Cost of links: processor time, bytes and memory.

Servers and clients with CURVE keys run in one process and connect over
loopback. The process has both ends of each link, so that one end costs half.
"""

from collections.abc import Awaitable
from collections.abc import Callable
import time
from typing import Any
from typing import Final

import anyio
import anyio.abc
import psutil
import zmq
import zmq.asyncio

from bench import capacity_slopes as slopes
from eelgrassgate import messages
from eelgrassgate import settings
from eelgrassgate.entry import agents
from eelgrassgate.link import base
from eelgrassgate.link import client
from eelgrassgate.link import server

PEER_COUNTS: Final = (4, 8, 16, 32, 64)
ENDS_PER_LINK: Final = 2
SETTLE_S: Final = 1.0
MEASURE_S: Final = 4.0
KB: Final = 1000.0
LISTEN_ADDRESS: Final = "127.0.0.1:0"
POLL_INTERVAL_S: Final = 0.02
_CREATE_PROCESS: Final[Any] = psutil.Process
REPORTS_PER_S: Final = (100, 200, 400, 800)
REPORT: Final = messages.LoadReport(
    online_queued=3,
    online_running=31,
    batch_queued=12,
    batch_running=24,
    window=64,
    wait_ms=120,
)


class CountingHandler:
    """A link handler that counts messages and bytes received by one side."""

    def __init__(self) -> None:
        """Create a handler without connections."""
        self.connected = 0
        self.received = 0
        self.received_bytes = 0
        self.peers: list[base.Peer] = []

    def connect(self, peer: base.Peer) -> None:
        """Count a connection."""
        self.connected += 1
        self.peers.append(peer)

    def receive(self, peer: base.Peer, message: messages.AnyMessage) -> None:
        """Count a message and its bytes."""
        self.received += 1
        self.received_bytes += len(messages.encode(message))

    def disconnect(self, peer: base.Peer) -> None:
        """Count a lost connection."""
        self.connected -= 1


def create_hello(instance: str, lane: str = "control") -> messages.Hello:
    """Return a handshake message like that of a daemon."""
    return messages.Hello(
        instance=instance,
        incarnation=1,
        service="entry",
        zone="zone-a",
        region="region-1",
        lane=lane,
    )


def get_config_status() -> base.ConfigStatus:
    """Return the status of a configuration, as in a fleet in use."""
    return base.ConfigStatus(config_revision=693_500, config_age_ms=1_200)


def create_curves() -> tuple[settings.Curve, settings.Curve]:
    """Return the CURVE settings of the server and of the clients."""
    pairs = [tuple(key.decode() for key in zmq.curve_keypair()) for _ in "12"]
    (server_public, server_secret), (client_public, client_secret) = pairs
    peers = {"server": server_public, "client": client_public}
    return (
        settings.Curve(server_public, server_secret, peers),
        settings.Curve(client_public, client_secret, peers),
    )


async def measure_reports(per_second: int) -> dict[str, float]:
    """Return the cost of load reports over one link, for one end."""
    server_side, client_side = CountingHandler(), CountingHandler()
    server_curve, client_curve = create_curves()
    async with anyio.create_task_group() as tasks:

        async def listen(*, task_status: anyio.abc.TaskStatus[str]) -> None:
            await server.serve(
                LISTEN_ADDRESS,
                create_hello("server"),
                server_side,
                curve=server_curve,
                task_status=task_status,
            )

        address = await tasks.start(listen)
        with zmq.asyncio.Context() as context:
            async with anyio.create_task_group() as clients:

                async def connect() -> None:
                    await client.connect(
                        address,
                        "server",
                        create_hello("client"),
                        client_side,
                        context=context,
                        curve=client_curve,
                    )

                clients.start_soon(connect)
                with anyio.fail_after(30):
                    while not server_side.peers:
                        await anyio.sleep(POLL_INTERVAL_S)
                processor_s = time.process_time()
                count = int(per_second * MEASURE_S)
                started_at = time.monotonic()
                for number in range(count):
                    server_side.peers[0].send(REPORT)
                    due = started_at + (number + 1) / per_second
                    await anyio.sleep(max(0.0, due - time.monotonic()))
                processor_s = time.process_time() - processor_s
                seconds = time.monotonic() - started_at
                clients.cancel_scope.cancel()
        tasks.cancel_scope.cancel()
    return {
        "cpu_ms": processor_s / seconds * 1e3 / ENDS_PER_LINK,
        "bytes": len(messages.encode(REPORT)) * count / seconds,
    }


async def measure(peers: int) -> dict[str, float]:
    """Return the cost of three idle links to each of `peers`, for one end."""
    links = peers * len(agents.LANES)
    server_curve, client_curve = create_curves()
    server_side, client_side = CountingHandler(), CountingHandler()
    process = _CREATE_PROCESS()
    resident = process.memory_info().rss
    async with anyio.create_task_group() as tasks:

        async def listen(*, task_status: anyio.abc.TaskStatus[str]) -> None:
            await server.serve(
                LISTEN_ADDRESS,
                create_hello("server"),
                server_side,
                curve=server_curve,
                read_config_status=get_config_status,
                task_status=task_status,
            )

        address = await tasks.start(listen)
        with zmq.asyncio.Context() as context:

            async def connect(lane: str) -> None:
                await client.connect(
                    address,
                    "server",
                    create_hello("client", lane),
                    client_side,
                    context=context,
                    curve=client_curve,
                    read_config_status=get_config_status,
                )

            async with anyio.create_task_group() as clients:
                for _ in range(peers):
                    for lane in agents.LANES:
                        clients.start_soon(connect, lane)
                with anyio.fail_after(30):
                    while (
                        server_side.connected + client_side.connected
                        < 2 * links
                    ):
                        await anyio.sleep(POLL_INTERVAL_S)
                await anyio.sleep(SETTLE_S)
                growth = process.memory_info().rss - resident
                figures = await _measure_traffic(server_side, client_side)
                clients.cancel_scope.cancel()
        tasks.cancel_scope.cancel()
    return figures | {"kb_held": growth / KB / ENDS_PER_LINK}


async def _measure_traffic(
    server_side: CountingHandler, client_side: CountingHandler
) -> dict[str, float]:
    before = server_side.received_bytes + client_side.received_bytes
    count = server_side.received + client_side.received
    started_at, processor_s = time.monotonic(), time.process_time()
    await anyio.sleep(MEASURE_S)
    processor_s, seconds = (
        time.process_time() - processor_s,
        time.monotonic() - started_at,
    )
    after = server_side.received_bytes + client_side.received_bytes
    count = server_side.received + client_side.received - count
    # Counts are of messages received; the other end sent as many.
    return {
        "cpu_ms": processor_s / seconds * 1e3 / ENDS_PER_LINK,
        "bytes": (after - before) / seconds / ENDS_PER_LINK,
        "messages": count / seconds / ENDS_PER_LINK,
    }


def _run(
    measurement: Callable[[int], Awaitable[dict[str, float]]], size: int
) -> dict[str, float]:
    return anyio.run(measurement, size, backend_options={"use_uvloop": True})


def run() -> tuple[slopes.Slope, ...]:
    """Measure all sizes."""
    costs_by_links = {
        peers * len(agents.LANES): _run(measure, peers) for peers in PEER_COUNTS
    }
    costs_by_rate = {n: _run(measure_reports, n) for n in REPORTS_PER_S}
    per, report_rate = "idle link, each end", "load report a second"
    return (
        slopes.create_slope(
            "link-cpu", per, "ms of core/s", costs_by_links, "cpu_ms"
        ),
        slopes.create_slope(
            "link-bytes", per, "B/s sent", costs_by_links, "bytes"
        ),
        slopes.create_slope(
            "link-messages", per, "messages/s sent", costs_by_links, "messages"
        ),
        slopes.create_slope(
            "link-memory", per, "KB resident", costs_by_links, "kb_held"
        ),
        slopes.create_slope(
            "report-cpu", report_rate, "ms of core/s", costs_by_rate, "cpu_ms"
        ),
        slopes.create_slope(
            "report-bytes", report_rate, "B/s", costs_by_rate, "bytes"
        ),
    )
