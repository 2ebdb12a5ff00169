"""Loads that make a gateway and a batch process hold much memory.

Run by `python -m bench.memory_load [NAME ...]`. Real processes serve each load
anew, with a stand-in of the key-value service and an endpoint. Prints a line of
JSON for each load: the peak of resident memory, the callers' answers, and the
latency of small requests beside the load.
"""

import asyncio
import base64
from collections import Counter
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Mapping
from collections.abc import Sequence
import contextlib
import errno
import pathlib
import random
import socket
import statistics
import sys
import tempfile
import time
from typing import Any
from typing import Final

import anyio
import anyio.to_thread
import httpx
import msgspec
import psutil

from bench import client_loads
from bench import ports
from bench import processes
from bench import small_requests

MB: Final = 1_000_000
MEMORY_MB: Final = 300
FILE_DESCRIPTORS: Final = 4_200
# Loopback networks that no other benchmark or test uses.
NETWORKS: Final = range(129, 250)
CALLERS_PORT: Final = 7_801
READY_PORT: Final = 7_802
RELAY_PORT: Final = 7_812
METRICS_PORT: Final = 9_090
GRACE_S: Final = 4.0
HOST: Final = "desk.example"
KEYS: Final = ("key-1", "key-2")
SLOTS: Final = 400
# Time limit of the requests of a load.
REQUEST_TIMEOUT_S: Final = 10.0
SAMPLE_INTERVAL_S: Final = 0.05
# Sampled further after a load has ended.
SETTLE_S: Final = 3.0
PROBER_START_S: Final = 0.5
PIECE_BYTES: Final = 65_536
WARM_UP_S: Final = 2.0
NO_ANSWER: Final = "none"
# Requests of each connection of the load `calm`, which takes no memory.
CALM_REQUESTS: Final = 600
# Number of clients that exceed the limits.
CLIENTS: Final = 300


def _pick_network() -> str:
    """Return a loopback network that no run of this tool uses now."""
    for number in random.sample(NETWORKS, len(NETWORKS)):
        with socket.socket() as probe, contextlib.suppress(OSError):
            probe.bind((f"127.{number}.0.1", CALLERS_PORT))
            return f"127.{number}"
    raise OSError(errno.EADDRINUSE, "all loopback networks are in use")


_NETWORK: Final = _pick_network()
GATEWAY_IP: Final = f"{_NETWORK}.0.1"
BATCH_IP: Final = f"{_NETWORK}.0.2"


class Load(msgspec.Struct, frozen=True):
    """A load: `count` connections at once, each with one request.

    Attributes:
        name: Name of the load.
        count: Number of connections.
        send: Sends one request; returns the status or `NO_ANSWER`.
    """

    name: str
    count: int
    send: Callable[[int], Awaitable[str]]


class Row(msgspec.Struct, frozen=True):
    """What was measured under one load; times in milliseconds.

    `gateway_descriptors` is the largest number of open descriptors,
    `gateway_cpu_s` the processor time during the load, and `answer_after` the
    answer to a small request after it.
    """

    load: str
    gateway_peak_mb: int
    batch_peak_mb: int
    gateway_after_mb: int
    gateway_descriptors: int
    answers: dict[str, int]
    small_answers: dict[str, int]
    small_p50_ms: float
    small_p99_ms: float
    took_s: float
    gateway_cpu_s: float
    ended: tuple[str, ...]
    answer_after: str


def _write_head(
    number: int, path: str, length: int, key: str, prefix: str
) -> bytes:
    return (
        f"POST {path} HTTP/1.1\r\nHost: {HOST}\r\n"
        f"Request-Id: {prefix}{number}-{time.monotonic_ns()}\r\n"
        f"Authorization: Bearer {key}\r\n"
        f"Time-Remaining: {int(REQUEST_TIMEOUT_S * 1000)}\r\n"
        f"Content-Length: {length}\r\n\r\n"
    ).encode()


async def _connect() -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
    return await asyncio.open_connection(GATEWAY_IP, CALLERS_PORT)


async def _read_answer(reader: asyncio.StreamReader) -> str:
    """Return the status of a whole answer."""
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    length = 0
    for line in lines[1:]:
        name, _, value = line.partition(":")
        if name.lower() == "content-length":
            length = int(value)
    await reader.readexactly(length)
    return lines[0].split(" ")[1]


async def _exchange(
    send: Callable[
        [asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]
    ],
    read: Callable[[asyncio.StreamReader], Awaitable[str]] = _read_answer,
) -> str:
    """Send one request on a new connection and return its status."""
    writer: asyncio.StreamWriter | None = None
    try:
        async with asyncio.timeout(REQUEST_TIMEOUT_S + 2.0):
            reader, writer = await _connect()
            with contextlib.suppress(ConnectionError):
                # The gateway may answer before it has read everything.
                await send(reader, writer)
            return await read(reader)
    except (OSError, asyncio.IncompleteReadError, TimeoutError):
        return NO_ANSWER
    finally:
        if writer is not None:
            writer.close()


async def _send_body(
    number: int, path: str, size: int, is_chunked: bool = False
) -> str:
    async def send(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        key = KEYS[number % len(KEYS)]
        head = _write_head(number, path, size, key, "q")
        if is_chunked:
            head = head.replace(
                b"Content-Length: %d" % size, b"Transfer-Encoding: chunked"
            )
        writer.write(head)
        for start in range(0, size, PIECE_BYTES):
            piece = bytes(min(PIECE_BYTES, size - start))
            if is_chunked:
                piece = b"%x\r\n%b\r\n" % (len(piece), piece)
            writer.write(piece)
            await writer.drain()
        if is_chunked:
            writer.write(b"0\r\n\r\n")

    return await _exchange(send)


async def _send_slowly(number: int, size: int, bytes_per_s: int) -> str:
    """Send a body that doesn't end within its time."""

    async def send(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        key = KEYS[number % len(KEYS)]
        writer.write(_write_head(number, "/stream/a", size + 1, key, "t"))
        for start in range(0, size, PIECE_BYTES):
            writer.write(bytes(min(PIECE_BYTES, size - start)))
            await writer.drain()
            await asyncio.sleep(PIECE_BYTES / bytes_per_s)

    return await _exchange(send)


async def _send_job(number: int, items: int, item_bytes: int) -> str:
    body = msgspec.json.encode(
        {
            "items": [
                {
                    "id": f"{number}-{item}-{time.monotonic_ns()}",
                    "path": "/batch/a",
                    "headers": {},
                    "body": base64.b64encode(bytes(item_bytes)).decode(),
                    "tokens": 10,
                }
                for item in range(items)
            ]
        }
    )

    async def send(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        key = KEYS[number % len(KEYS)]
        writer.write(_write_head(number, "/batch/x", len(body), key, "j"))
        writer.write(body)
        await writer.drain()

    return await _exchange(send)


async def _leave_unread(number: int) -> str:
    """Read the head of a large answer, and the rest only much later."""

    async def send(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        key = KEYS[number % len(KEYS)]
        writer.write(_write_head(number, "/large/a", 0, key, "u"))

    async def read(reader: asyncio.StreamReader) -> str:
        line = await reader.readline()
        await asyncio.sleep(REQUEST_TIMEOUT_S / 2.0)
        return line.decode("latin-1").split(" ")[1] if line else NO_ANSWER

    return await _exchange(send, read)


async def _send_half_head(number: int) -> str:
    async def send(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        writer.write(_write_head(number, "/stream/a", 10, KEYS[0], "h")[:100])

    return await _exchange(send)


def list_loads() -> list[Load]:
    loads: list[Load] = []
    for count in (10, 50, 150, 300):
        for size in (64_000, MB, 4 * MB):

            async def send_body(number: int, size: int = size) -> str:
                return await _send_body(number, "/stream/a", size)

            name = f"requests-{count}-{size // 1000}k"
            loads.append(Load(name, count, send_body))

    async def send_chunked(number: int) -> str:
        return await _send_body(number, "/stream/a", 4 * MB, True)

    async def send_slowly(number: int) -> str:
        return await _send_slowly(number, 4_190_000, 1_300_000)

    loads.append(Load("chunked-150-4000k", 150, send_chunked))
    loads.append(Load("trickled-150-4190k", 150, send_slowly))
    for count, items, item_bytes in (
        (40, 1, 2_800_000),
        (40, 20, 140_000),
        (40, 140, 20_000),
        (100, 140, 20_000),
        (40, 200, 14_000),
    ):

        async def send_job(
            number: int, items: int = items, item_bytes: int = item_bytes
        ) -> str:
            return await _send_job(number, items, item_bytes)

        loads.append(Load(f"jobs-{count}-{items}-items", count, send_job))
    loads.append(Load("unread-200-6000k", 200, _leave_unread))
    loads.append(Load("half-heads-3000", 3000, _send_half_head))
    loads.append(Load("calm", 8, _send_small_requests))
    return loads


def make_client_load(
    name: str,
    count: int,
    act: Callable[[client_loads.Target, int], Awaitable[None]],
    port: int = CALLERS_PORT,
    path: str = "/small/a",
    host: str = HOST,
    key: str = KEYS[0],
) -> Load:
    """Create a load of clients that exceed the limits.

    Args:
        name: Name of the load.
        count: Number of clients.
        act: What each client does.
        port: Port of the listener.
        path: The requested path.
        host: The requested host.
        key: The API key.
    """
    target = client_loads.Target(GATEWAY_IP, port, host, path, key)

    async def send(number: int) -> str:
        with contextlib.suppress(OSError):
            await act(target, number)
        return NO_ANSWER

    return Load(name, count, send)


async def _send_small_requests(number: int) -> str:
    """Send small requests on one connection, each after the last answer."""
    body = small_requests.BODY

    async def send(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        for _ in range(CALM_REQUESTS):
            head = _write_head(number, "/small/a", len(body), KEYS[0], "c")
            writer.write(head + body)
            await _read_answer(reader)

    async def read(reader: asyncio.StreamReader) -> str:
        return "200"

    return await _exchange(send, read)


def list_client_loads(count: int) -> list[Load]:
    """Return the loads of `count` clients that exceed the limits."""
    unread = client_loads.send_without_reading
    slow = client_loads.read_slowly
    make = make_client_load
    return [
        make("pipelined-readiness", count, unread, READY_PORT, "/ready"),
        make("pipelined-no-route", count, unread, path="/none/a"),
        make("pipelined-no-host", count, unread, host="none.example"),
        make("pipelined-no-key", count, unread, key="none"),
        make("pipelined-job-reads", count, unread, path="/lots/none"),
        make("pipelined-metrics", count, unread, METRICS_PORT, "/metrics"),
        make("pipelined-relay", count, unread, RELAY_PORT, "/jobs/none"),
        make("slow-readers", count, slow, path="/none/a"),
        make("slow-readiness", count, slow, READY_PORT, "/ready"),
        make("announced-bodies", count, client_loads.announce_body),
        make("chunked-bodies", count, client_loads.send_chunks),
        make("readiness-bodies", count, client_loads.send_chunks, READY_PORT),
        make("relay-bodies", count, client_loads.send_chunks, RELAY_PORT),
        make("endless-heads", count, client_loads.send_endless_head),
        make("opened-and-closed", count, client_loads.open_and_close),
        make(
            "opened-readiness", count, client_loads.open_and_close, READY_PORT
        ),
    ]


def write_settings(
    folder: pathlib.Path,
    name: str,
    ip: str,
    store_address: str,
    memory_mb: int = MEMORY_MB,
    file_descriptors: int = FILE_DESCRIPTORS,
) -> pathlib.Path:
    path = folder / f"{name}.toml"
    path.write_text(
        f"""
node-name = "{name}"
zone = "z1"
region = "r1"
ip = "{ip}"
internal-ports = [7811, 7826]
[zones]
z1 = "r1"
[platform]
address = "{store_address}"
[bounds]
grace-s = {GRACE_S}
[limits]
memory-mb = {memory_mb}
file-descriptors = {file_descriptors}
[listen]
front = "{ip}:{CALLERS_PORT}"
ready = "{ip}:{READY_PORT}"
""",
        "utf-8",
    )
    return path


def _make_route(
    prefix: str, kind: str, service: str = "engine"
) -> dict[str, Any]:
    return {
        "name": prefix.strip("/"),
        "host": HOST,
        "prefix": prefix,
        "kind": kind,
        "timeout-ms": int(REQUEST_TIMEOUT_S * 1000),
        "target-latency-ms": 5_000,
        "priority": 0,
        "service": service,
        "max-attempts": 2,
        "completion-target-ms": 18_000,
        "retention-s": 60,
    }


async def write_documents(
    store_url: str, addresses_by_service: Mapping[str, str]
) -> None:
    """Write the configuration and the endpoints' entries to the store."""
    documents: dict[str, Any] = {
        "op/config": {
            "version": 1,
            "routes": [
                _make_route("/stream/", "streaming"),
                _make_route("/small/", "safe", "small"),
                _make_route("/large/", "safe"),
                _make_route("/batch/", "batch"),
            ],
            "services": [
                {"name": name, "max-connections": SLOTS, "engine": {}}
                for name in addresses_by_service
            ],
            "limits": {"idle-timeout-ms": 15_000},
            "tenants": [
                {"name": f"desk-{number}", "api-keys": [key]}
                for number, key in enumerate(KEYS)
            ],
        },
    }
    for service, address in addresses_by_service.items():
        documents[f"servers/i-{service}"] = {
            "service": service,
            "address": address,
            "zone": "z1",
            "version": "v1",
            "slots": SLOTS,
            "state": "ready",
            "cold-remaining-ms": 0,
            "sequence": 1,
            "born": 1_800_000_000_000,
        }
    puts = [
        {
            "key": key,
            "value": base64.b64encode(msgspec.json.encode(value)).decode(),
            "lease": 0,
        }
        for key, value in documents.items()
    ]
    async with httpx.AsyncClient() as client:
        for put in puts:
            response = await client.post(
                f"{store_url}/kv-txn",
                json={"precondition": [], "puts": [put], "deletes": []},
            )
            response.raise_for_status()


async def _sample_memory(
    watched: Sequence[processes.Process],
    peaks: dict[str, int],
    descriptors: dict[str, int],
) -> None:
    while True:
        for process in watched:
            descriptors[process.name] = max(
                descriptors.get(process.name, 0), _count_descriptors(process)
            )
            peaks[process.name] = max(
                peaks.get(process.name, 0), _read_resident(process)
            )
        await anyio.sleep(SAMPLE_INTERVAL_S)


def _read_resident(process: processes.Process) -> int:
    create_process: Any = psutil.Process
    try:
        return int(create_process(process.pid).memory_info().rss)
    except psutil.Error:
        return 0


def _count_descriptors(process: processes.Process) -> int:
    create_process: Any = psutil.Process
    try:
        return int(create_process(process.pid).num_fds())
    except psutil.Error:
        return 0


def _read_cpu_s(process: processes.Process) -> float:
    """Return the processor time of a process so far."""
    create_process: Any = psutil.Process
    try:
        times = create_process(process.pid).cpu_times()
    except psutil.Error:
        return 0.0
    return float(times.user + times.system)


async def _send_small() -> str:
    """Return the answer to a small request."""

    async def send(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        writer.write(_write_head(0, "/small/a", 0, KEYS[0], "a"))

    return await _exchange(send)


async def run_load(
    load: Load,
    folder: pathlib.Path,
    memory_mb: int = MEMORY_MB,
    file_descriptors: int = FILE_DESCRIPTORS,
) -> Row:
    """Serve one load by new processes and measure it.

    Args:
        load: The load.
        folder: For settings and output of the processes.
        memory_mb: Memory that the settings give to a process.
        file_descriptors: Descriptors that the settings give to a process.
    """
    store_port = ports.pick_port()
    async with processes.run_processes(folder) as running:
        running.start(
            "store", "eelgrassgate.standins.kv", ["--port", str(store_port)]
        )
        addresses_by_service = {}
        for service in ("engine", "small"):
            port = ports.pick_port()
            running.start(service, "bench.memory_endpoint", [str(port)])
            await processes.wait_until_open(port)
            addresses_by_service[service] = f"{ports.HOST}:{port}"
        await processes.wait_until_open(store_port)
        store_address = f"{ports.HOST}:{store_port}"
        await write_documents(f"http://{store_address}", addresses_by_service)
        watched = []
        for role, ip in (("gateway", GATEWAY_IP), ("batch", BATCH_IP)):
            path = write_settings(
                folder, role, ip, store_address, memory_mb, file_descriptors
            )
            environment = {"EELGRASSGATE_BOOT": str(path), "PATH": ""}
            watched.append(
                running.start(
                    role, "eelgrassgate.platform", [role], environment
                )
            )
        await processes.wait_until_ready(f"http://{GATEWAY_IP}:{READY_PORT}/")
        await anyio.sleep(WARM_UP_S)
        return await _measure(load, watched)


async def _measure(load: Load, watched: Sequence[processes.Process]) -> Row:
    peaks: dict[str, int] = {}
    descriptors: dict[str, int] = {}
    answers: Counter[str] = Counter()

    async def send_one(number: int) -> None:
        answers[await load.send(number)] += 1

    async with anyio.create_task_group() as samplers:
        samplers.start_soon(_sample_memory, watched, peaks, descriptors)
        async with await anyio.open_process(
            [
                *(sys.executable, "-m", "bench.small_requests"),
                *(GATEWAY_IP, str(CALLERS_PORT), HOST, KEYS[0]),
            ],
            stderr=None,
        ) as prober:
            await anyio.sleep(PROBER_START_S)
            started_at = time.monotonic()
            cpu_before_s = _read_cpu_s(watched[0])
            async with anyio.create_task_group() as tasks:
                for number in range(load.count):
                    tasks.start_soon(send_one, number)
            took_s = time.monotonic() - started_at
            cpu_s = _read_cpu_s(watched[0]) - cpu_before_s
            await anyio.sleep(SETTLE_S)
            assert prober.stdin is not None
            assert prober.stdout is not None
            await prober.stdin.aclose()
            printed = b"".join([part async for part in prober.stdout])
        samplers.cancel_scope.cancel()
    small = msgspec.json.decode(printed, type=small_requests.Result)
    latencies_ms = small.latencies_ms
    latencies_ms.sort()
    return Row(
        load.name,
        peaks["gateway"] // MB,
        peaks["batch"] // MB,
        _read_resident(watched[0]) // MB,
        descriptors["gateway"],
        dict(answers),
        dict(small.answers),
        round(statistics.median(latencies_ms), 1),
        round(latencies_ms[int(len(latencies_ms) * 0.99)], 1),
        round(took_s, 1),
        round(cpu_s, 3),
        tuple(one.name for one in watched if not one.is_running()),
        await _send_small(),
    )


async def _run_all(names: Sequence[str]) -> None:
    for load in [*list_loads(), *list_client_loads(CLIENTS)]:
        if names and load.name not in names:
            continue
        with tempfile.TemporaryDirectory() as folder:
            row = await run_load(load, pathlib.Path(folder))
        print(msgspec.json.encode(row).decode(), flush=True)


if __name__ == "__main__":
    anyio.run(_run_all, sys.argv[1:])
