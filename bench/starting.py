"""Time and processor time that a gateway or batch process takes to start.

Run by `python -m bench.starting [CORES ...]`, such as `0.29 1`. Real processes
start with a stand-in of the key-value service and an endpoint. Prints a line of
JSON for each role, number of cores, and whether the program's modules were
compiled before: medians until the first log line, until the configuration is
applied, and for gateways until they are ready and until the first served
request.

A process is held to a part of a core by stopping it for the rest of each period
once it has used its part, as the quota of a scheduler does.
"""

import asyncio
from collections.abc import AsyncIterator
from collections.abc import Callable
import contextlib
import pathlib
import shutil
import signal
import statistics
import sys
import tempfile
import time
from typing import Final

import anyio
import msgspec

from bench import memory_load
from bench import ports
from bench import processes

ROLES: Final = ("gateway", "batch")
RUNS: Final = 11
DEFAULT_CORES: Final = (0.29, 1.0)
# The period of the quotas of the Linux scheduler.
PERIOD_S: Final = 0.1
POLL_INTERVAL_S: Final = 0.002
TIMEOUT_S: Final = 30.0
NS_PER_S: Final = 1e9
PROGRAM: Final = pathlib.Path.cwd() / "eelgrassgate"
LINES: Final = {"started": b'"started"', "configured": b'"config:applied"'}


class Phase(msgspec.Struct, frozen=True):
    """Milliseconds since the start of a process."""

    elapsed_ms: float
    cpu_ms: float


class Row(msgspec.Struct, frozen=True):
    """Medians of one kind of start."""

    role: str
    cores: float
    is_compiled: bool
    started: Phase | None
    configured: Phase | None
    ready: Phase | None
    served: Phase | None


class _Start:
    """A process that starts."""

    def __init__(
        self, process: processes.Process, folder: pathlib.Path, ip: str
    ) -> None:
        """Observe a process that was just started."""
        self._process = process
        self._log_file = folder / f"{process.name}.log"
        self._ip = ip
        self._begun_at = time.monotonic()
        self.phases: dict[str, Phase] = {}

    def _read_cpu_s(self) -> float:
        """Return the processor time of the main thread."""
        path = pathlib.Path(f"/proc/{self._process.pid}/schedstat")
        return int(path.read_text("utf-8").split()[0]) / NS_PER_S

    def _record(self, phase: str) -> None:
        elapsed_s = time.monotonic() - self._begun_at
        self.phases[phase] = Phase(1e3 * elapsed_s, 1e3 * self._read_cpu_s())

    async def limit_cpu(self, cores: float) -> None:
        """Hold the process to a part of a core until cancelled."""
        while True:
            period_end = time.monotonic() + PERIOD_S
            allowed_s = self._read_cpu_s() + cores * PERIOD_S
            while time.monotonic() < period_end:
                if self._read_cpu_s() >= allowed_s:
                    self._process.send(signal.SIGSTOP)
                await anyio.sleep(POLL_INTERVAL_S)
            self._process.send(signal.SIGCONT)

    async def wait_for_line(self, phase: str) -> None:
        while LINES[phase] not in self._log_file.read_bytes():
            await anyio.sleep(POLL_INTERVAL_S)
        self._record(phase)

    async def wait_ready(self) -> None:
        request = f"GET / HTTP/1.1\r\nHost: {self._ip}\r\n\r\n".encode()
        while not await self._try(memory_load.READY_PORT, request):
            await anyio.sleep(POLL_INTERVAL_S)
        self._record("ready")

    async def wait_served(self) -> None:
        number = 0
        while True:
            number += 1
            request = (
                "GET /small/a HTTP/1.1\r\n"
                f"Host: {memory_load.HOST}\r\nRequest-Id: s{number}\r\n"
                f"Authorization: Bearer {memory_load.KEYS[0]}\r\n"
                "Time-Remaining: 5000\r\n\r\n"
            ).encode()
            if await self._try(memory_load.CALLERS_PORT, request):
                break
            await anyio.sleep(POLL_INTERVAL_S)
        self._record("served")

    async def _try(self, port: int, request: bytes) -> bool:
        """Return whether a request is answered with 200."""
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            reader, writer = await asyncio.open_connection(self._ip, port)
            with contextlib.closing(writer):
                writer.write(request)
                head = await reader.readuntil(b"\r\n\r\n")
                return head.startswith(b"HTTP/1.1 200")
        return False


async def _measure(
    role: str, cores: float, environment: dict[str, str]
) -> dict[str, Phase]:
    """Start one process and return its phases."""
    ip = memory_load.GATEWAY_IP
    with tempfile.TemporaryDirectory() as name:
        folder = pathlib.Path(name)
        async with processes.run_processes(folder) as running:
            process = running.start(
                role, "eelgrassgate.platform", [role], environment
            )
            start = _Start(process, folder, ip)
            async with anyio.create_task_group() as tasks:
                if cores < 1.0:
                    tasks.start_soon(start.limit_cpu, cores)
                with anyio.fail_after(TIMEOUT_S):
                    async with anyio.create_task_group() as waits:
                        for phase in LINES:
                            waits.start_soon(start.wait_for_line, phase)
                        if role == "gateway":
                            waits.start_soon(start.wait_ready)
                            waits.start_soon(start.wait_served)
                tasks.cancel_scope.cancel()
            process.send(signal.SIGCONT)
    return start.phases


@contextlib.asynccontextmanager
async def _run_platform(folder: pathlib.Path) -> AsyncIterator[str]:
    """Run the key-value service and an endpoint; yields the address."""
    store_port, port = ports.pick_port(), ports.pick_port()
    async with processes.run_processes(folder) as running:
        running.start(
            "store", "eelgrassgate.standins.kv", ["--port", str(store_port)]
        )
        running.start("small", "bench.memory_endpoint", [str(port)])
        await processes.wait_until_open(port)
        await processes.wait_until_open(store_port)
        address = f"{ports.HOST}:{store_port}"
        await memory_load.write_documents(
            f"http://{address}", {"small": f"{ports.HOST}:{port}"}
        )
        yield address


def _take_median(runs: list[dict[str, Phase]], phase: str) -> Phase | None:
    found = [one[phase] for one in runs if phase in one]
    if not found:
        return None

    def compute(read: Callable[[Phase], float]) -> float:
        return round(statistics.median(map(read, found)))

    return Phase(
        compute(lambda one: one.elapsed_ms), compute(lambda one: one.cpu_ms)
    )


async def _run_all(cores_of_rows: tuple[float, ...]) -> None:
    with tempfile.TemporaryDirectory() as name:
        folder = pathlib.Path(name)
        async with _run_platform(folder) as store_address:
            for is_compiled in (True, False):
                for role in ROLES:
                    for cores in cores_of_rows:
                        row = await _run_row(
                            role, cores, is_compiled, store_address, folder
                        )
                        print(msgspec.json.encode(row).decode(), flush=True)


async def _run_row(
    role: str,
    cores: float,
    is_compiled: bool,
    store_address: str,
    folder: pathlib.Path,
) -> Row:
    path = memory_load.write_settings(
        folder, role, memory_load.GATEWAY_IP, store_address
    )
    compiled = folder / f"compiled-{role}-{cores}-{is_compiled}"
    environment = {
        "EELGRASSGATE_BOOT": str(path),
        "PATH": "",
        "PYTHONPYCACHEPREFIX": str(compiled),
    }
    # Compiles the modules; those of the libraries always are.
    await _measure(role, 1.0, environment)
    if not is_compiled:
        shutil.rmtree(compiled / PROGRAM.relative_to("/"))
    environment["PYTHONDONTWRITEBYTECODE"] = "1"
    runs = [await _measure(role, cores, environment) for _ in range(RUNS)]
    phases = (
        _take_median(runs, one)
        for one in ("started", "configured", "ready", "served")
    )
    return Row(role, cores, is_compiled, *phases)


if __name__ == "__main__":
    anyio.run(_run_all, tuple(map(float, sys.argv[1:])) or DEFAULT_CORES)
