"""A small deployment: the project's processes, the store and the workers."""

import asyncio
import contextlib
import json
import os
import pathlib
import random
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from typing import Any

from harness import http
from harness import store as store_lib
from harness import worker as worker_lib

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
HOST = "site.example"
KEY = "key-of-members"
TENANT = "members"
FRONT_PORT = 8405
METRICS_PORT = 9090
INTERNAL_PORTS = [7660, 7675]
START_S = 20.0
# Of the deployments: `finish-s`, `contact-ms`, `settle-ms`.
FINISH_S = 18.0
CONTACT_S = 4.0
SETTLE_S = 1.0
BROKEN, HELD, NOT_RUN = 1, 0, 2


class NotRunError(Exception):
    """The case can't run here."""


def make_route(prefix: str, kind: str, **fields: Any) -> dict[str, Any]:
    """Return a route of the config."""
    return {
        "name": prefix.strip("/"),
        "host": HOST,
        "prefix": prefix,
        "kind": kind,
        "timeout-ms": 5000,
        "target-latency-ms": 500,
        "priority": 0,
        "max-attempts": 3,
        "allow-anonymous": False,
        "sticky-sessions": False,
        "allow-resume": kind == "batch",
        **fields,
    }


def make_batch_route(**fields: Any) -> dict[str, Any]:
    """Return the route of batch jobs, with the figures of the sheet."""
    return make_route(
        "/jobs-in/",
        "batch",
        **{
            "timeout-ms": 15000,
            "completion-target-ms": 18000,
            "retention-s": 60,
            **fields,
        },
    )


class Process:
    """One process of the project, on a loopback address of its own."""

    def __init__(self, site: "Site", role: str, name: str, zone: str) -> None:
        """Create a process that is not started."""
        self.name = name
        self.ip = site.take_address()
        self.front = f"{self.ip}:{FRONT_PORT}"
        self.ready = f"{self.ip}:{FRONT_PORT + 1}"
        self._site = site
        self._role = role
        self._zone = zone
        self._process: subprocess.Popen[bytes] | None = None

    def start(self) -> None:
        """Start it with the command of the deploy file."""
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        role = deploy["roles"][self._role]
        command = role["run"].split(" ")
        settings = self._site.folder / f"{self.name}.toml"
        settings.write_text(self._site.write_settings(self, role["on"]))
        log = (self._site.folder / f"{self.name}.log").open("ab")
        self._process = subprocess.Popen(
            command,
            cwd=ROOT,
            env={
                "PATH": os.environ.get("PATH", ""),
                "HOME": str(self._site.folder),
                "LANG": "C.UTF-8",
                "PYTHONPATH": str(ROOT / "target/deps"),
                "PYTHONDONTWRITEBYTECODE": "1",
                "EELGRASSGATE_BOOT": str(settings),
            },
            stdout=log,
            stderr=log,
        )
        log.close()

    def is_running(self) -> bool:
        """Return whether it runs."""
        return self._process is not None and self._process.poll() is None

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal, if it runs."""
        if self._process is not None and self._process.poll() is None:
            self._process.send_signal(number)

    def kill(self) -> None:
        """Kill it and wait for its end."""
        self.send_signal(signal.SIGKILL)
        if self._process is not None:
            self._process.wait()

    @property
    def zone(self) -> str:
        """Its zone."""
        return self._zone


class Site:
    """The deployment of one case.

    Attributes:
        zones: Region by zone.
        store: The platform's store.
    """

    def __init__(self, folder: pathlib.Path) -> None:
        """Create a deployment in which nothing runs yet."""
        self.folder = folder
        self.zones = {"montego": "cornwall", "kingston": "surrey"}
        self.store = store_lib.Store()
        self.workers: list[worker_lib.Worker] = []
        self.processes: list[Process] = []
        self.version = 0
        self._network = _find_network()
        self._last_host = 0
        self._store_address_by_region: dict[str, str] = {}

    def take_address(self) -> str:
        """Return a loopback address that no other process has."""
        self._last_host += 1
        return f"127.{self._network}.1.{self._last_host}"

    async def start_store(self) -> None:
        """Serve the store, which stands in the first region."""
        self._store_address_by_region = {
            "cornwall": await self.store.serve(0.0014),
            "surrey": await self.store.serve(0.030),
        }

    def write_config(
        self,
        routes: list[dict[str, Any]],
        services: list[str],
        tenants: list[dict[str, Any]] | None = None,
    ) -> None:
        """Write the next version of the config."""
        self.version += 3
        self.store.put(
            "op/config",
            {
                "version": self.version,
                "routes": routes,
                "services": [
                    {
                        "name": name,
                        "health-check-path": "/health",
                        "max-connections": 300,
                    }
                    for name in services
                ],
                "limits": {
                    "max-header-bytes": 16384,
                    "max-body-bytes": 4194304,
                    "header-timeout-ms": 3000,
                    "idle-timeout-ms": 15000,
                },
                "tenants": tenants
                or [{"name": TENANT, "api-keys": [KEY], "priority": 1}],
            },
        )

    async def add_worker(
        self, name: str, service: str, handle: worker_lib.Handler
    ) -> worker_lib.Worker:
        """Start a worker in the first zone."""
        worker = worker_lib.Worker(self.store, name, service, "montego", handle)
        self.workers.append(worker)
        await worker.start()
        return worker

    def add_process(self, role: str, name: str, zone: str) -> Process:
        """Start a process of the project."""
        process = Process(self, role, name, zone)
        self.processes.append(process)
        process.start()
        return process

    async def wait_until_ready(self) -> None:
        """Wait until all processes are ready and know each other."""
        deadline = time.monotonic() + START_S
        while not await self._are_ready():
            if time.monotonic() > deadline:
                raise NotRunError("the processes did not get ready")
            await asyncio.sleep(0.2)
        # Traffic starts some seconds after the machines.
        await asyncio.sleep(3.0)

    async def _are_ready(self) -> bool:
        for process in self.processes:
            if not process.is_running():
                raise NotRunError(f"{process.name} ended")
            members = self.store.list_keys("")
            if not any(process.name in key for key in members):
                return False
            if process.name.startswith("front"):
                found = await http.send(
                    process.ready, "GET", "/readiness", {"Host": "ready"}
                )
                if found.status != 200:
                    return False
        return True

    def write_settings(self, process: Process, machine: str) -> str:
        """Return the settings file of a process (DEPLOY.md)."""
        region = self.zones[process.zone]
        listen = ""
        if machine == "front":
            listen = f'front = "{process.front}"\nready = "{process.ready}"'
        zones = "\n".join(f'{zone} = "{of}"' for zone, of in self.zones.items())
        return f"""
node-name = "{process.name}"
role = "{machine}"
machine-class = "{machine}"
serves = ["{machine}"]
ip = "{process.ip}"
zone = "{process.zone}"
region = "{region}"
internal-ports = {INTERNAL_PORTS}
seeds = []
bootstrap = true
include-in-tolerance = {"true" if machine == "store" else "false"}
discovery = "platform"
entry = "virtual_ip"
heartbeat-ms = 1200
contracts = ["base", "drain", "config", "cost", "recover", "batch", "stream",
  "engine", "tenants", "quota", "platform"]
[zones]
{zones}
[listen]
{listen}
[limits]
cpu-share = 0.817
cores = 1
memory-mb = 300
file-descriptors = 4200
link-mbps = 1000.0
disk-mb = 0
[fault-tolerance]
machines = 1
zones = 0
regions = 0
[bounds]
contact-ms = 4000
drain-ms = 3000
grace-s = 8
config-apply-ms = 3000
finish-s = 18
status-s = 120
cancel-ms = 3000
settle-ms = 1000
[platform]
address = "{self._store_address_by_region[region]}"
form = "kv"
writes-per-s = 400
reads-per-s = 2000
history-s = 20
value-bytes = 1048576
min-ttl-ms = 1000
"""

    def close(self) -> None:
        """End all processes, workers and the store."""
        for process in self.processes:
            process.kill()
        for worker in self.workers:
            worker.stop()
        self.store.close()


def _find_network() -> int:
    """Return a free 127.N.0.0/16 network."""
    ports = [FRONT_PORT, METRICS_PORT, *INTERNAL_PORTS]
    for network in random.sample(range(20, 250), 40):
        with contextlib.suppress(OSError):
            for port in ports:
                for host in range(1, 6):
                    with socket.socket() as probe:
                        probe.bind((f"127.{network}.1.{host}", port))
            return network
    raise NotRunError("no free loopback addresses")


class Record:
    """What was sent, answered and run, for `record.txt`."""

    def __init__(self) -> None:
        """Start the record now."""
        self._started_at = time.monotonic()
        self._lines: list[tuple[float, str]] = []

    def add(self, text: str, at: float | None = None) -> None:
        """Add a line."""
        at = time.monotonic() if at is None else at
        self._lines.append((at - self._started_at, text))

    def write(self, path: pathlib.Path) -> None:
        """Write the lines in order of time."""
        lines = sorted(self._lines, key=lambda one: one[0])
        text = "\n".join(f"{at:8.3f} {line}" for at, line in lines)
        path.write_text(text + "\n")


def make_headers(request_id: str = "", **fields: str) -> dict[str, str]:
    """Return the headers of a client's request."""
    headers = {"Host": HOST, "Authorization": f"Bearer {KEY}"}
    if request_id:
        headers["Request-Id"] = request_id
    headers.update({k.replace("_", "-"): v for k, v in fields.items()})
    return headers


async def read_results(
    address: str, job: str, after: int, *, wait_ms: int = 0
) -> tuple[int, dict[str, Any]]:
    """Read the results of a batch job; return the status and the page."""
    headers = make_headers()
    if wait_ms:
        headers["Wait-Time"] = str(wait_ms)
    found = await http.send(
        address, "GET", f"/lots/{job}?after={after}", headers
    )
    page = json.loads(found.body) if found.status == 200 else {}
    return found.status, page


async def read_all(address: str, job: str) -> list[dict[str, Any]]:
    """Read all results that are listed now."""
    results: list[dict[str, Any]] = []
    failures = 0
    while failures < 5:
        status, page = await read_results(address, job, len(results))
        if status != 200:
            failures += 1
            await asyncio.sleep(0.3)
        elif not page["results"]:
            return results
        else:
            results += page["results"]
    return results


async def submit(
    address: str, job: str, items: list[dict[str, Any]]
) -> http.Response:
    """Submit a batch job."""
    headers = make_headers(job, Time_Remaining="4000")
    headers["Content-Type"] = "application/json"
    body = json.dumps({"items": items}).encode()
    return await http.send(
        address, "POST", f"/jobs-in/{job}", headers, body, 4.0
    )


def make_id() -> str:
    """Return a new request id."""
    return f"{random.getrandbits(64):016x}"


def run(case: Any, folder: str) -> None:
    """Run a case and exit with its code.

    Args:
        case: `async case(site, record, has_trouble)`; returns whether the rule
            held.
        folder: The file of the case; `record.txt` is written beside it.
    """
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record()
    record.add(f"trouble: {'yes' if has_trouble else 'no'}")

    async def run_case(site: Site) -> int:
        try:
            await site.start_store()
            async with asyncio.timeout(115):
                held = await case(site, record, has_trouble)
            return HELD if held else BROKEN
        except (NotRunError, TimeoutError) as error:
            record.add(f"the case could not run: {error!r}")
            return NOT_RUN
        finally:
            site.close()

    with tempfile.TemporaryDirectory() as name:
        try:
            code = asyncio.run(run_case(Site(pathlib.Path(name))))
        except NotRunError as error:
            record.add(f"the case could not run: {error!r}")
            code = NOT_RUN
        logs = os.environ.get("KEEP_LOGS")
        if logs:
            for path in pathlib.Path(name).glob("*.log"):
                (pathlib.Path(logs) / path.name).write_bytes(path.read_bytes())
    record.add(f"exit code {code}")
    record.write(pathlib.Path(folder).resolve().parent / "record.txt")
    sys.exit(code)
