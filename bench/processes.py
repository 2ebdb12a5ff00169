"""Processes of daemons and stand-ins on loopback.

Only benchmarks, examples and tests start processes; no daemon does.
"""

from collections.abc import AsyncIterator
from collections.abc import Mapping
from collections.abc import Sequence
import contextlib
import json
import pathlib
import signal
import subprocess
import sys
import time
from typing import Any
from typing import Final

import anyio
import httpx

from bench import ports

READY_TIMEOUT_S: Final = 60.0
POLL_INTERVAL_S: Final = 0.05
STOP_TIMEOUT_S: Final = 15.0


class NotReadyError(Exception):
    """A process did not become ready in time."""


class Process:
    """A child process."""

    def __init__(self, name: str, handle: subprocess.Popen[bytes]) -> None:
        """Wrap a started process."""
        self.name = name
        self._handle = handle

    @property
    def pid(self) -> int:
        """The process id."""
        return self._handle.pid

    def is_running(self) -> bool:
        """Return whether the process has not exited."""
        return self._handle.poll() is None

    def send(self, signal_number: signal.Signals) -> None:
        """Send a signal to the process, unless it has exited."""
        if self.is_running():
            self._handle.send_signal(signal_number)

    def wait(self, timeout_s: float = STOP_TIMEOUT_S) -> int:
        """Wait for the exit code; kill the process at the timeout."""
        try:
            return self._handle.wait(timeout_s)
        except subprocess.TimeoutExpired:
            self._handle.kill()
            return self._handle.wait()


class Processes:
    """A group of processes with their files in one folder."""

    def __init__(self, folder: pathlib.Path) -> None:
        """Create a group with settings and output files in `folder`."""
        self._folder = folder
        self.by_name: dict[str, Process] = {}

    def start(
        self,
        name: str,
        module: str,
        arguments: Sequence[str],
        environment: Mapping[str, str] | None = None,
    ) -> Process:
        """Start `python -m module arguments`.

        Args:
            name: Name of the process and of its output file.
            module: The module to run.
            arguments: Its arguments.
            environment: Its environment; by default that of this process.
        """
        output = (self._folder / f"{name}.log").open("ab")
        with output:
            handle = subprocess.Popen(
                [sys.executable, "-m", module, *arguments],
                stdin=subprocess.DEVNULL,
                stdout=output,
                stderr=output,
                env=environment,
            )
        process = Process(name, handle)
        self.by_name[name] = process
        return process

    def write_settings(self, name: str, value: Any) -> str:
        """Write a settings file and return its path."""
        path = self._folder / f"{name}.json"
        path.write_text(json.dumps(value), encoding="utf-8")
        return str(path)

    def read_log(self, name: str) -> str:
        """Return the output of a process so far."""
        path = self._folder / f"{name}.log"
        return path.read_text(encoding="utf-8", errors="replace")

    def wait_for_line(
        self, name: str, timeout_s: float = READY_TIMEOUT_S
    ) -> str:
        """Return the first line that a process prints.

        Raises:
            NotReadyError: It printed no line within `timeout_s`.
        """
        deadline = time.monotonic() + timeout_s
        while time.monotonic() < deadline:
            lines = self.read_log(name).splitlines(keepends=True)
            if lines and lines[0].endswith("\n"):
                return lines[0]
            time.sleep(POLL_INTERVAL_S)
        raise NotReadyError(name)

    def stop_all(self) -> None:
        """Kill all processes and wait for their exit."""
        for process in self.by_name.values():
            process.send(signal.SIGKILL)
        for process in self.by_name.values():
            process.wait()


@contextlib.asynccontextmanager
async def run_processes(folder: pathlib.Path) -> AsyncIterator[Processes]:
    """Yield a group of processes that are killed at the end of the context."""
    processes = Processes(folder)
    try:
        yield processes
    finally:
        with anyio.CancelScope(shield=True):
            await anyio.to_thread.run_sync(processes.stop_all)


async def wait_until_open(port: int, host: str = ports.HOST) -> None:
    """Wait until a process accepts connections at `port`.

    Raises:
        NotReadyError: None did within `READY_TIMEOUT_S`.
    """
    deadline = time.monotonic() + READY_TIMEOUT_S
    while time.monotonic() < deadline:
        with contextlib.suppress(OSError):
            await (await anyio.connect_tcp(host, port)).aclose()
            return
        await anyio.sleep(POLL_INTERVAL_S)
    raise NotReadyError(f"port {port}")


async def wait_until_ready(
    url: str, timeout_s: float = READY_TIMEOUT_S
) -> None:
    """Wait until a GET request to `url` succeeds.

    Raises:
        NotReadyError: None did within `timeout_s`.
    """
    deadline = time.monotonic() + timeout_s
    async with httpx.AsyncClient() as client:
        while time.monotonic() < deadline:
            with contextlib.suppress(httpx.HTTPError):
                response = await client.get(url)
                if response.is_success:
                    return
            await anyio.sleep(POLL_INTERVAL_S)
    raise NotReadyError(url)
