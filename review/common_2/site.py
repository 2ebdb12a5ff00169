"""A small deployment of real processes and stand-ins on loopback addresses.

The gateways and batch processes are started as in the deploy file. The store
and the workers run in this process and do what the users' pages say. It uses
the standard library only.
"""

import asyncio
import base64
import collections
from collections.abc import Awaitable
from collections.abc import Callable
import contextlib
import hashlib
import json
import os
import pathlib
import random
import signal
import socket
import sys
import tempfile
import time
from typing import Any
from typing import Self
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parents[2]
HELD = 0
BROKEN = 1
NOT_RUN = 2
FRONT_PORT = 8405
READY_PORT = 8406
STORE_PORT = 8408
WORKER_PORT = 8403
METRICS_PORT = 9090
INTERNAL_PORTS = (7660, 7675)
HEARTBEAT_S = 1.2
HISTORY_S = 20.0
PAGE_ITEMS = 500
PAGE_BYTES = 1_000_000
HOST = "ficu95.example"
KEY = "2b9wu3fexd9dnn2ctnfz"
TENANT = "huka270"
Headers = dict[str, str]


class CaseError(Exception):
    """The case could not run."""


class Record:
    """Writes what was sent, answered and run, with seconds since the start."""

    def __init__(self, path: pathlib.Path) -> None:
        """Open the file."""
        self._file = path.open("w", encoding="utf-8")
        self._started_at = time.monotonic()

    def now(self) -> float:
        """Return the seconds since the start."""
        return time.monotonic() - self._started_at

    def write(self, text: str) -> None:
        """Write a line."""
        self._file.write(f"{self.now():8.3f} {text}\n")
        self._file.flush()


class Request:
    """A request as it was received."""

    def __init__(self, method: str, target: str, headers: Headers) -> None:
        """Keep the head; the body follows."""
        self.method = method
        self.target = target
        self.headers = headers
        self.body = b""

    @property
    def path(self) -> str:
        """The target without its query."""
        return self.target.partition("?")[0]

    @property
    def query(self) -> dict[str, str]:
        """The fields of the query."""
        return dict(urllib.parse.parse_qsl(self.target.partition("?")[2]))


async def read_head(reader: asyncio.StreamReader) -> list[str] | None:
    """Return the lines of a head; None at the end of the connection."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    return head.decode("latin-1").split("\r\n")[:-2]


def parse_headers(lines: list[str]) -> Headers:
    """Return headers by their names in lower case."""
    pairs = (line.partition(":") for line in lines)
    return {name.strip().lower(): value.strip() for name, _, value in pairs}


async def read_body(reader: asyncio.StreamReader, headers: Headers) -> bytes:
    """Read a body with a length or in chunks."""
    if "chunked" not in headers.get("transfer-encoding", ""):
        return await reader.readexactly(int(headers.get("content-length", 0)))
    parts = []
    while True:
        size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
        data = await reader.readexactly(size + 2)
        if not size:
            return b"".join(parts)
        parts.append(data[:-2])


async def read_request(reader: asyncio.StreamReader) -> Request | None:
    """Read a request; None at the end of the connection."""
    lines = await read_head(reader)
    if lines is None:
        return None
    method, target, _ = lines[0].split(" ")
    request = Request(method, target, parse_headers(lines[1:]))
    request.body = await read_body(reader, request.headers)
    return request


def write_response(
    status: int, body: bytes = b"", headers: Headers | None = None
) -> bytes:
    """Encode a response with a length."""
    lines = [f"HTTP/1.1 {status} Status"]
    lines += [f"{name}: {value}" for name, value in (headers or {}).items()]
    lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


Handler = Callable[
    [Request, asyncio.StreamReader, asyncio.StreamWriter], Awaitable[bool]
]


async def serve(address: str, port: int, handle: Handler) -> asyncio.Server:
    """Serve HTTP/1.1; `handle` returns whether to keep the connection."""

    async def run(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while True:
                request = await read_request(reader)
                if request is None:
                    break
                if not await handle(request, reader, writer):
                    break
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        except asyncio.CancelledError:
            # The case is over.
            return
        finally:
            writer.close()

    return await asyncio.start_server(run, address, port)


class Item:
    """A key of the store."""

    def __init__(
        self, key: str, value: str, revision: int, created: int, lease: int
    ) -> None:
        """Keep the fields; `value` is base64 text."""
        self.key = key
        self.value = value
        self.revision = revision
        self.created = created
        self.lease = lease

    def encode(self) -> dict[str, Any]:
        """Return the item as the store writes it."""
        return {
            "key": self.key,
            "value": self.value,
            "revision": self.revision,
            "create-revision": self.created,
            "lease": self.lease,
        }


class Store:
    """The platform's store: linearizable, never loses what it confirmed."""

    def __init__(self) -> None:
        """Start empty."""
        self.revision = 100
        self.items: dict[str, Item] = {}
        # Time, revision and event of each change of the last seconds.
        self.events: collections.deque[tuple[float, int, dict[str, Any]]] = (
            collections.deque()
        )
        self._forgotten_revision = 0
        self._changed = asyncio.Event()
        self._leases: dict[int, tuple[float, float]] = {}
        self._next_lease = 1000

    async def start(self, address: str) -> None:
        """Serve at an address."""
        await serve(address, STORE_PORT, self._handle)

    def put(self, key: str, value: bytes, lease: int = 0) -> int:
        """Write a key; returns the revision, which confirms the write."""
        return self._commit(
            [
                {
                    "key": key,
                    "value": base64.b64encode(value).decode(),
                    "lease": lease,
                }
            ],
            [],
        )

    def delete(self, key: str) -> int:
        """Remove a key."""
        return self._commit([], [key])

    def _commit(self, puts: list[dict[str, Any]], deletes: list[str]) -> int:
        self.revision += 1
        for one in puts:
            known = self.items.get(one["key"])
            created = known.created if known else self.revision
            item = Item(
                one["key"],
                one["value"],
                self.revision,
                created,
                one.get("lease", 0),
            )
            self.items[item.key] = item
            self._add_event(item.encode())
        for key in deletes:
            if self.items.pop(key, None):
                gone = {"key": key, "revision": self.revision, "deleted": True}
                self._add_event(gone)
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()
        return self.revision

    def _add_event(self, event: dict[str, Any]) -> None:
        now = time.monotonic()
        self.events.append((now, self.revision, event))
        while self.events[0][0] < now - HISTORY_S:
            _, self._forgotten_revision, _ = self.events.popleft()

    def _expire(self) -> None:
        now = time.monotonic()
        for lease, (until, _) in list(self._leases.items()):
            if now >= until:
                self._end_lease(lease)

    def _end_lease(self, lease: int) -> None:
        self._leases.pop(lease, None)
        keys = [one.key for one in self.items.values() if one.lease == lease]
        if keys:
            self._commit([], keys)

    async def expire_forever(self) -> None:
        """End leases that have run out."""
        while True:
            self._expire()
            await asyncio.sleep(0.05)

    async def _handle(
        self,
        request: Request,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bool:
        status, body = await self._answer(request)
        headers = {"Content-Type": "application/json"}
        writer.write(write_response(status, json.dumps(body).encode(), headers))
        await writer.drain()
        return True

    async def _answer(self, request: Request) -> tuple[int, Any]:
        self._expire()
        path, query = request.path, request.query
        if path == "/kv-key":
            item = self.items.get(query["key"])
            if item is None:
                return 404, {}
            return 200, item.encode() | {"store-revision": self.revision}
        if path == "/kv-range":
            return 200, self._read_range(query["prefix"], query.get("after"))
        if path == "/kv-watch":
            return await self._watch(query)
        if path == "/kv-txn":
            return self._transact(json.loads(request.body))
        if path == "/kv-lease":
            ttl_ms = json.loads(request.body)["ttl-ms"]
            self._next_lease += 1
            lease = self._next_lease
            self._leases[lease] = (time.monotonic() + ttl_ms / 1e3, ttl_ms)
            return 200, {"lease": lease, "ttl-ms": ttl_ms}
        lease = int(path.rpartition("/")[2])
        if lease not in self._leases:
            return 404, {}
        if path.startswith("/kv-lease-end/"):
            self._end_lease(lease)
            return 200, {}
        _, ttl_ms = self._leases[lease]
        self._leases[lease] = (time.monotonic() + ttl_ms / 1e3, ttl_ms)
        return 200, {"ttl-ms": ttl_ms}

    def _read_range(self, prefix: str, after: str | None) -> dict[str, Any]:
        found = sorted(
            key
            for key in self.items
            if key.startswith(prefix) and key > (after or "")
        )
        items: list[dict[str, Any]] = []
        size = 0
        for key in found[:PAGE_ITEMS]:
            size += len(self.items[key].value)
            if items and size > PAGE_BYTES:
                break
            items.append(self.items[key].encode())
        return {
            "items": items,
            "more-pages": len(found) > len(items),
            "store-revision": self.revision,
        }

    async def _watch(self, query: dict[str, str]) -> tuple[int, Any]:
        after = int(query["after"])
        until = time.monotonic() + int(query["wait-ms"]) / 1e3
        while True:
            if after < self._forgotten_revision:
                return 410, {}
            found = self._find_events(query["prefix"], after)
            left = until - time.monotonic()
            if found or left <= 0:
                return 200, {"events": found, "store-revision": self.revision}
            with contextlib.suppress(asyncio.TimeoutError):
                await asyncio.wait_for(self._changed.wait(), left)

    def _find_events(self, prefix: str, after: int) -> list[dict[str, Any]]:
        found = []
        for _, revision, event in reversed(self.events):
            if revision <= after:
                break
            if event["key"].startswith(prefix):
                found.append(event)
        found.reverse()
        return found

    def _transact(self, body: dict[str, Any]) -> tuple[int, Any]:
        current = []
        for one in body["precondition"]:
            item = self.items.get(one["key"])
            current.append(
                item.encode() if item else {"key": one["key"], "revision": 0}
            )
        wanted = [one["revision"] for one in body["precondition"]]
        if [one["revision"] for one in current] != wanted:
            return 412, {"items": current}
        for one in body["puts"]:
            if one.get("lease", 0) and one["lease"] not in self._leases:
                return 404, {}
        return 200, {"revision": self._commit(body["puts"], body["deletes"])}


class Proxy:
    """Passes bytes to an address, or holds all of them while it is cut."""

    def __init__(self, target: tuple[str, int]) -> None:
        """Pass bytes to `target`."""
        self._target = target
        self._passing = asyncio.Event()
        self._passing.set()

    def cut(self) -> None:
        """Hold all bytes from now on, silently."""
        self._passing.clear()

    def heal(self) -> None:
        """Pass bytes again, also those that were held."""
        self._passing.set()

    async def start(self, address: str, port: int) -> None:
        """Accept connections."""
        await asyncio.start_server(self._run, address, port)

    async def _run(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await self._passing.wait()
        try:
            far_reader, far_writer = await asyncio.open_connection(
                *self._target
            )
        except OSError:
            writer.close()
            return
        await asyncio.gather(
            self._pass(reader, far_writer), self._pass(far_reader, writer)
        )

    async def _pass(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        with contextlib.suppress(OSError):
            while data := await reader.read(65_536):
                await self._passing.wait()
                writer.write(data)
                await writer.drain()
        writer.close()


class Worker:
    """A worker that answers each request with a signed body.

    Attributes:
        runs: Time and id of each request that it ran.
        is_leaving: Whether its answers say that it leaves.
    """

    def __init__(
        self, record: Record, name: str, service: str, address: str, zone: str
    ) -> None:
        """Create a worker that is not started."""
        self.record = record
        self.name = name
        self.service = service
        self.address = address
        self.zone = zone
        self.is_leaving = False
        self.runs: list[tuple[float, str]] = []
        self.born = int(time.time() * 1000)
        self._sequence = 0

    async def start(self) -> None:
        """Serve requests."""
        await serve(self.address, WORKER_PORT, self.handle)

    def write_entry(self, store: Store) -> None:
        """Write the entry, as each heartbeat does."""
        self._sequence += 1
        entry = {
            "service": self.service,
            "address": f"{self.address}:{WORKER_PORT}",
            "zone": self.zone,
            "version": "v1",
            "slots": 8,
            "state": "ready",
            "cold-remaining-ms": 0,
            "sequence": self._sequence,
            "born": self.born,
        }
        store.put(f"servers/{self.name}", json.dumps(entry).encode())

    def build_headers(self, request: Request) -> Headers:
        """Return the headers of an answer to a request that ran."""
        headers = {"Request-Id": request.headers.get("request-id", "")}
        headers["Response-Signature"] = hashlib.sha256(
            request.body
        ).hexdigest()[:12]
        if self.is_leaving:
            headers["Server-Leaving"] = "1"
        return headers

    async def handle(
        self,
        request: Request,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bool:
        """Run one request; returns whether to keep the connection."""
        expected = request.headers.get("expect-instance", self.name)
        if expected != self.name:
            writer.write(write_response(421, b"", {"Not-Executed": "1"}))
            return True
        self.record_run(request)
        writer.write(write_response(200, b"fine", self.build_headers(request)))
        await writer.drain()
        return True

    def record_run(self, request: Request) -> None:
        """Note that a request has begun to run."""
        name = request.headers.get("request-id", "")
        self.runs.append((self.record.now(), name))
        self.record.write(f"run {name} at {self.name}")


class Answer:
    """What a client got; status 0 for none."""

    def __init__(self, status: int, headers: Headers, body: bytes) -> None:
        """Keep the answer."""
        self.status = status
        self.headers = headers
        self.body = body


async def call(
    address: str,
    method: str,
    target: str,
    headers: Headers,
    body: bytes = b"",
    timeout_s: float = 5.0,
    port: int = FRONT_PORT,
) -> Answer:
    """Send one request on a new connection and read its answer."""
    try:
        return await asyncio.wait_for(
            _call(address, port, method, target, headers, body), timeout_s
        )
    except (
        TimeoutError,
        OSError,
        asyncio.IncompleteReadError,
        ValueError,
    ) as error:
        return Answer(0, {}, type(error).__name__.encode())


async def _call(
    address: str,
    port: int,
    method: str,
    target: str,
    headers: Headers,
    body: bytes,
) -> Answer:
    reader, writer = await asyncio.open_connection(address, port)
    try:
        lines = [f"{method} {target} HTTP/1.1"]
        lines += [f"{name}: {value}" for name, value in headers.items()]
        lines.append(f"Content-Length: {len(body)}")
        writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
        head = await read_head(reader)
        if head is None:
            return Answer(0, {}, b"closed")
        found = parse_headers(head[1:])
        status = int(head[0].split(" ")[1])
        return Answer(status, found, await read_body(reader, found))
    finally:
        writer.close()


def build_headers(request_id: str, remaining_ms: int = 5000) -> Headers:
    """Return the headers of a client's request."""
    return {
        "Host": HOST,
        "Request-Id": request_id,
        "Time-Remaining": str(remaining_ms),
        "Authorization": f"Bearer {KEY}",
    }


def make_id() -> str:
    """Return a new id."""
    return os.urandom(8).hex()


def build_config(
    routes: list[dict[str, Any]],
    version: int = 1,
    quota: dict[str, float] | None = None,
) -> bytes:
    """Encode a config with these routes and one tenant."""
    services = sorted({one["service"] for one in routes})
    return json.dumps(
        {
            "version": version,
            "routes": [
                {
                    "name": f"r-{number}",
                    "host": HOST,
                    "timeout-ms": 5000,
                    "target-latency-ms": 300,
                    "priority": 0,
                    "max-attempts": 2,
                    "allow-anonymous": False,
                }
                | one
                for number, one in enumerate(routes)
            ],
            "services": [
                {
                    "name": name,
                    "health-check-path": "/health",
                    "max-connections": 100,
                    "protocol": "h1",
                    "tls": False,
                }
                for name in services
            ],
            "limits": {
                "max-header-bytes": 16384,
                "max-body-bytes": 4194304,
                "header-timeout-ms": 3000,
                "idle-timeout-ms": 15000,
            },
            "tenants": [{"name": TENANT, "api-keys": [KEY]} | (quota or {})],
        }
    ).encode()


class Process:
    """A process of the system."""

    def __init__(
        self, name: str, role: str, address: str, zone: str, region: str
    ) -> None:
        """Describe a process that is not started; `role` is that of run."""
        self.name = name
        self.role = role
        self.address = address
        self.zone = zone
        self.region = region
        self.child: asyncio.subprocess.Process | None = None

    def kill(self, number: int = signal.SIGKILL) -> None:
        """Send a signal to the process."""
        assert self.child is not None
        with contextlib.suppress(ProcessLookupError):
            self.child.send_signal(number)


class Site:
    """The deployment; a context that ends all processes that it started."""

    def __init__(self, folder: pathlib.Path) -> None:
        """Choose free addresses."""
        self.record = Record(folder / "record.txt")
        self.store = Store()
        self.processes: list[Process] = []
        self.workers: list[Worker] = []
        self.silent: set[str] = set()
        self._net = _find_net()
        self._next_host = 10
        self._folder = tempfile.TemporaryDirectory()
        self._tasks: list[asyncio.Task[None]] = []
        self.zones = {
            "montego": "cornwall",
            "savanna": "cornwall",
            "kingston": "surrey",
        }
        self.store_address = self.make_address()

    async def __aenter__(self) -> Self:
        """Start the store."""
        await self.store.start(self.store_address)
        self._tasks.append(asyncio.create_task(self.store.expire_forever()))
        self._tasks.append(asyncio.create_task(self._beat()))
        return self

    async def __aexit__(self, *error: object) -> None:
        """End all processes."""
        for process in self.processes:
            if process.child is not None and process.child.returncode is None:
                process.kill(signal.SIGCONT)
                process.kill()
                await process.child.wait()
        for task in self._tasks:
            task.cancel()
        self._folder.cleanup()

    def make_address(self) -> str:
        """Return an unused loopback address."""
        self._next_host += 1
        return f"{self._net}.{self._next_host}"

    async def add_worker(self, worker: Worker) -> None:
        """Start a worker, which writes its entry from now on."""
        self.workers.append(worker)
        await worker.start()
        worker.write_entry(self.store)

    async def _beat(self) -> None:
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            for worker in self.workers:
                if worker.name not in self.silent:
                    worker.write_entry(self.store)

    def remove_entry(self, worker: Worker) -> None:
        """Remove a worker's entry for good."""
        self.silent.add(worker.name)
        self.store.delete(f"servers/{worker.name}")

    async def start(
        self,
        process: Process,
        store: str = "",
        memory_mb: int = 300,
        file_descriptors: int = 4200,
    ) -> None:
        """Start a process with the command of the deploy file."""
        first, last = INTERNAL_PORTS
        lines = [
            f'node-name = "{process.name}"',
            f'ip = "{process.address}"',
            f'zone = "{process.zone}"',
            f'region = "{process.region}"',
            f"internal-ports = [{first},{last}]",
            "heartbeat-ms = 1200",
            "[zones]",
            *(f'{zone} = "{region}"' for zone, region in self.zones.items()),
            "[listen]",
        ]
        if process.role == "gateway":
            lines.append(f'front = "{process.address}:{FRONT_PORT}"')
            lines.append(f'ready = "{process.address}:{READY_PORT}"')
        lines += [
            "[limits]",
            f"memory-mb = {memory_mb}",
            f"file-descriptors = {file_descriptors}",
            "[bounds]",
            "grace-s = 8",
            "[platform]",
            f'address = "{store or f"{self.store_address}:{STORE_PORT}"}"',
            'form = "kv"',
        ]
        folder = pathlib.Path(self._folder.name)
        settings = folder / f"{process.name}.toml"
        settings.write_text("\n".join(lines) + "\n", "utf-8")
        with (folder / f"{process.name}.log").open("ab") as log:
            process.child = await asyncio.create_subprocess_exec(
                "python3",
                "-m",
                "eelgrassgate.platform",
                process.role,
                cwd=ROOT,
                env={
                    "PATH": os.environ["PATH"],
                    "HOME": str(folder),
                    "PYTHONPATH": str(ROOT / "target" / "deps"),
                    "PYTHONDONTWRITEBYTECODE": "1",
                    "EELGRASSGATE_BOOT": str(settings),
                },
                stdout=log,
                stderr=log,
            )
        self.processes.append(process)
        self.record.write(f"started {process.name} at {process.address}")

    def read_log(self, process: Process) -> str:
        """Return what a process has logged so far."""
        folder = pathlib.Path(self._folder.name)
        return (folder / f"{process.name}.log").read_text("utf-8", "replace")

    async def wait_ready(self, process: Process, timeout_s: float = 20) -> None:
        """Wait until a gateway is ready.

        Raises:
            CaseError: It is not ready in time.
        """
        until = time.monotonic() + timeout_s
        while time.monotonic() < until:
            answer = await self.probe(process)
            if answer.status == 200:
                return
            await asyncio.sleep(0.1)
        raise CaseError(f"{process.name} is not ready")

    async def probe(self, process: Process) -> Answer:
        """Ask a gateway whether it is ready, as the platform does."""
        return await call(
            process.address,
            "GET",
            "/readiness",
            {"Host": process.address},
            timeout_s=1.0,
            port=READY_PORT,
        )


def _find_net() -> str:
    """Return the first bytes of loopback addresses that nobody uses."""
    for _ in range(50):
        net = f"127.{random.randrange(20, 250)}.{random.randrange(250)}"
        with socket.socket() as probe:
            try:
                probe.bind((f"{net}.11", STORE_PORT))
            except OSError:
                continue
            return net
    raise CaseError("no free loopback addresses")


def has_trouble() -> bool:
    """Return whether the disruption is played."""
    return os.environ.get("TROUBLE", "1") != "0"


def run(case: Callable[[Site], Awaitable[int]], folder: pathlib.Path) -> None:
    """Run a case and exit with its result."""

    async def main() -> int:
        async with Site(folder) as site:
            try:
                result = await asyncio.wait_for(case(site), 110)
            except (TimeoutError, CaseError, OSError) as error:
                site.record.write(f"could not run: {error!r}")
                result = NOT_RUN
            site.record.write(f"result {result}")
            if os.environ.get("KEEP_LOGS"):
                for process in site.processes:
                    path = pathlib.Path(os.environ["KEEP_LOGS"])
                    (path / f"{process.name}.log").write_text(
                        site.read_log(process), "utf-8"
                    )
            return result

    sys.exit(asyncio.run(main()))
