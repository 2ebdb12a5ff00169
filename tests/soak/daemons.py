"""The real programs as processes of their own, ended by their ids only."""

import pathlib
import signal
import subprocess
import sys
import time
from typing import Final

import anyio

ROOT: Final = pathlib.Path(__file__).parent.parent.parent
GRACE_S: Final = 4.0
# A stop or a kill that takes longer is a finding.
STOP_SLACK_S: Final = 3.0
TICK_S: Final = 0.02


class Daemon:
    """One process of the system, on a loopback address of its own."""

    def __init__(
        self,
        role: str,
        name: str,
        host: str,
        zone: str,
        store: str,
        folder: pathlib.Path,
    ) -> None:
        """Describe a process; `start` starts it."""
        self.role = role
        self.name = name
        self.host = host
        self.zone = zone
        self.callers_address = f"{host}:7801"
        self.ready_address = f"{host}:7802"
        self.exits: list[int] = []
        self._store = store
        self._folder = folder
        self._settings = folder / f"{name}.toml"
        self._log = folder / f"{name}.log"
        self._process: subprocess.Popen[bytes] | None = None
        self._is_meant_to_end = False

    def write_settings(self) -> None:
        """Write the settings file as the platform would."""
        self._settings.write_text(
            f"""
node-name = "{self.name}"
zone = "{self.zone}"
region = "r1"
ip = "{self.host}"
internal-ports = [7811, 7826]
[zones]
z1 = "r1"
z2 = "r1"
[platform]
address = "{self._store}"
[bounds]
grace-s = {GRACE_S}
[listen]
front = "{self.callers_address}"
ready = "{self.ready_address}"
""",
            "utf-8",
        )

    def start(self) -> None:
        """Start the process; its output is kept for whoever reads a finding."""
        self.write_settings()
        self._is_meant_to_end = False
        with self._log.open("ab") as log:
            self._process = subprocess.Popen(
                [sys.executable, "-m", "eelgrassgate.platform", self.role],
                cwd=ROOT,
                env={"EELGRASSGATE_BOOT": str(self._settings), "PATH": ""},
                stdout=log,
                stderr=log,
            )

    def is_running(self) -> bool:
        """Return whether the process lives."""
        return self._process is not None and self._process.poll() is None

    def has_ended_by_itself(self) -> bool:
        """Return whether the process ended though nobody ended it."""
        return not self._is_meant_to_end and not self.is_running()

    def send(self, number: signal.Signals) -> None:
        """Send a signal to the process if it lives."""
        if self._process is not None and self._process.poll() is None:
            self._process.send_signal(number)

    async def kill(self) -> None:
        """Kill the process."""
        self._is_meant_to_end = True
        self.send(signal.SIGKILL)
        await self.wait(STOP_SLACK_S)

    async def stop(self) -> bool:
        """Ask the process to end; tell whether it did within its grace."""
        self._is_meant_to_end = True
        self.send(signal.SIGTERM)
        if await self.wait(GRACE_S + STOP_SLACK_S):
            return True
        await self.kill()
        return False

    async def wait(self, seconds: float) -> bool:
        """Wait for the end of the process; tell whether it came."""
        until = time.monotonic() + seconds
        while self.is_running():
            if time.monotonic() > until:
                return False
            await anyio.sleep(TICK_S)
        return True
