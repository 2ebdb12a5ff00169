"""What idle links cost: processor time, bytes and memory.

Real servers and clients with CURVE keys talk over loopback in one process,
which thus pays for both ends of every link; half is one end's.
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

PEERS: Final = (4, 8, 16, 32, 64)
ENDS_PER_LINK: Final = 2
SETTLE_S: Final = 1.0
SPAN_S: Final = 4.0
KB: Final = 1000.0
LISTEN: Final = "127.0.0.1:0"
PAUSE_S: Final = 0.02
_PROCESS: Final[Any] = psutil.Process
REPORTS_PER_S: Final = (100, 200, 400, 800)
REPORT: Final = messages.LoadReport(
    online_queued=3,
    online_running=31,
    batch_queued=12,
    batch_running=24,
    window=64,
    wait_ms=120,
)


class Counter:
    """Counts messages and their bytes on one side."""

    def __init__(self) -> None:
        """Start from zero."""
        self.connected = 0
        self.received = 0
        self.received_bytes = 0
        self.peers: list[base.Peer] = []

    def connect(self, peer: base.Peer) -> None:
        """Count a connection."""
        self.connected += 1
        self.peers.append(peer)

    def receive(self, peer: base.Peer, message: messages.AnyMessage) -> None:
        """Count a message."""
        self.received += 1
        self.received_bytes += len(messages.encode(message))

    def disconnect(self, peer: base.Peer) -> None:
        """Count a loss."""
        self.connected -= 1


def make_hello(instance: str, lane: str = "control") -> messages.Hello:
    """Return an introduction like a daemon's."""
    return messages.Hello(
        instance=instance,
        incarnation=1,
        service="entry",
        zone="zone-a",
        region="region-1",
        lane=lane,
    )


def beat() -> base.ConfigStatus:
    """Tell a configuration like that of a fleet in use."""
    return base.ConfigStatus(config_revision=693_500, config_age_ms=1_200)


def make_curves() -> tuple[settings.Curve, settings.Curve]:
    """Return keys of a server and of the clients."""
    pairs = [tuple(key.decode() for key in zmq.curve_keypair()) for _ in "12"]
    (public, secret), (far_public, far_secret) = pairs
    peers = {"server": public, "client": far_public}
    return (
        settings.Curve(public, secret, peers),
        settings.Curve(far_public, far_secret, peers),
    )


async def measure_reports(per_second: int) -> dict[str, float]:
    """Return what one end pays for load reports over one link."""
    near_side, far_side = Counter(), Counter()
    own, far = make_curves()
    async with anyio.create_task_group() as tasks:

        async def listen(*, task_status: anyio.abc.TaskStatus[str]) -> None:
            await server.serve(
                LISTEN,
                make_hello("server"),
                near_side,
                curve=own,
                task_status=task_status,
            )

        address = await tasks.start(listen)
        with zmq.asyncio.Context() as context:
            async with anyio.create_task_group() as clients:

                async def connect() -> None:
                    await client.connect(
                        address,
                        "server",
                        make_hello("client"),
                        far_side,
                        context=context,
                        curve=far,
                    )

                clients.start_soon(connect)
                with anyio.fail_after(30):
                    while not near_side.peers:
                        await anyio.sleep(PAUSE_S)
                spent = time.process_time()
                count = int(per_second * SPAN_S)
                begun = time.monotonic()
                for number in range(count):
                    near_side.peers[0].send(REPORT)
                    due = begun + (number + 1) / per_second
                    await anyio.sleep(max(0.0, due - time.monotonic()))
                spent = time.process_time() - spent
                span = time.monotonic() - begun
                clients.cancel_scope.cancel()
        tasks.cancel_scope.cancel()
    return {
        "cpu_ms": spent / span * 1e3 / ENDS_PER_LINK,
        "bytes": len(messages.encode(REPORT)) * count / span,
    }


async def measure(peers: int) -> dict[str, float]:
    """Return figures of one end of `peers` times three idle links."""
    links = peers * len(agents.LANES)
    own, far = make_curves()
    near_side, far_side = Counter(), Counter()
    process = _PROCESS()
    resident = process.memory_info().rss
    async with anyio.create_task_group() as tasks:

        async def listen(*, task_status: anyio.abc.TaskStatus[str]) -> None:
            await server.serve(
                LISTEN,
                make_hello("server"),
                near_side,
                curve=own,
                read_config_status=beat,
                task_status=task_status,
            )

        address = await tasks.start(listen)
        with zmq.asyncio.Context() as context:

            async def connect(lane: str) -> None:
                await client.connect(
                    address,
                    "server",
                    make_hello("client", lane),
                    far_side,
                    context=context,
                    curve=far,
                    read_config_status=beat,
                )

            async with anyio.create_task_group() as clients:
                for _ in range(peers):
                    for lane in agents.LANES:
                        clients.start_soon(connect, lane)
                with anyio.fail_after(30):
                    while near_side.connected + far_side.connected < 2 * links:
                        await anyio.sleep(PAUSE_S)
                await anyio.sleep(SETTLE_S)
                held = process.memory_info().rss - resident
                figures = await _watch(near_side, far_side)
                clients.cancel_scope.cancel()
        tasks.cancel_scope.cancel()
    return figures | {"kb_held": held / KB / ENDS_PER_LINK}


async def _watch(near_side: Counter, far_side: Counter) -> dict[str, float]:
    before = near_side.received_bytes + far_side.received_bytes
    count = near_side.received + far_side.received
    begun, spent = time.monotonic(), time.process_time()
    await anyio.sleep(SPAN_S)
    spent, span = time.process_time() - spent, time.monotonic() - begun
    after = near_side.received_bytes + far_side.received_bytes
    count = near_side.received + far_side.received - count
    # What one end sends, the other receives.
    return {
        "cpu_ms": spent / span * 1e3 / ENDS_PER_LINK,
        "bytes": (after - before) / span / ENDS_PER_LINK,
        "messages": count / span / ENDS_PER_LINK,
    }


def _run(
    take: Callable[[int], Awaitable[dict[str, float]]], size: int
) -> dict[str, float]:
    return anyio.run(take, size, backend_options={"use_uvloop": True})


def run() -> tuple[slopes.Slope, ...]:
    """Measure all sizes."""
    found = {peers * len(agents.LANES): _run(measure, peers) for peers in PEERS}
    reports = {n: _run(measure_reports, n) for n in REPORTS_PER_S}
    per, report = "idle link, each end", "load report a second"
    return (
        slopes.create("link-cpu", per, "ms of core/s", found, "cpu_ms"),
        slopes.create("link-bytes", per, "B/s sent", found, "bytes"),
        slopes.create(
            "link-messages", per, "messages/s sent", found, "messages"
        ),
        slopes.create("link-memory", per, "KB resident", found, "kb_held"),
        slopes.create("report-cpu", report, "ms of core/s", reports, "cpu_ms"),
        slopes.create("report-bytes", report, "B/s", reports, "bytes"),
    )
