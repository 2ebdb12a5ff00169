"""Daemons under test, each run as a child process."""

import contextlib
import pathlib
import re
import signal
import subprocess
import sys
import time
from typing import Final

import anyio

ROOT: Final = pathlib.Path(__file__).parent.parent.parent
GRACE_PERIOD_S: Final = 4.0
# Time beyond the grace period after which a stop has failed.
STOP_MARGIN_S: Final = 3.0
POLL_INTERVAL_S: Final = 0.02
# Signals with a handler in a process, as a hexadecimal mask.
HANDLED_SIGNALS: Final = re.compile(r"^SigCgt:\s*(\w+)$", re.MULTILINE)


def handles_signals(pid: int) -> bool:
    """Return whether a process has set its signal handlers."""
    mask = 0
    with contextlib.suppress(OSError):
        status = pathlib.Path(f"/proc/{pid}/status").read_text("utf-8")
        found = HANDLED_SIGNALS.search(status)
        mask = int(found[1], 16) if found else 0
    return all(
        mask >> (number - 1) & 1
        for number in (signal.SIGHUP, signal.SIGTERM, signal.SIGINT)
    )


class Daemon:
    """One daemon in a child process, on a loopback address of its own."""

    def __init__(
        self,
        role: str,
        name: str,
        ip: str,
        zone: str,
        store_address: str,
        folder: pathlib.Path,
        grace_s: float = GRACE_PERIOD_S,
    ) -> None:
        """Create a daemon that is not started."""
        self.role = role
        self.name = name
        self.ip = ip
        self.zone = zone
        self.callers_address = f"{ip}:7801"
        self.ready_address = f"{ip}:7802"
        self.exit_codes: list[int] = []
        self.grace_s = grace_s
        self._store_address = store_address
        self._folder = folder
        self.settings_file = folder / f"{name}.toml"
        self.log_file = folder / f"{name}.log"
        self._process: subprocess.Popen[bytes] | None = None
        self._is_stop_expected = False

    def write_settings(self) -> None:
        """Write the settings file in the format of the platform."""
        self.settings_file.write_text(
            f"""
node-name = "{self.name}"
zone = "{self.zone}"
region = "r1"
ip = "{self.ip}"
internal-ports = [7811, 7826]
[zones]
z1 = "r1"
z2 = "r1"
[platform]
address = "{self._store_address}"
[bounds]
grace-s = {self.grace_s}
[listen]
front = "{self.callers_address}"
ready = "{self.ready_address}"
""",
            "utf-8",
        )

    def start(self) -> None:
        """Start the process; its output is appended to the log file."""
        self.write_settings()
        self.start_with_present_settings()

    def start_with_present_settings(self) -> None:
        """Start the process with the settings file as it is."""
        self._is_stop_expected = False
        with self.log_file.open("ab") as log:
            self._process = subprocess.Popen(
                [sys.executable, "-m", "eelgrassgate.platform", self.role],
                cwd=ROOT,
                env={"EELGRASSGATE_BOOT": str(self.settings_file), "PATH": ""},
                stdout=log,
                stderr=log,
            )

    @property
    def pid(self) -> int:
        """The id of the process; 0 if it was never started."""
        return 0 if self._process is None else self._process.pid

    def is_running(self) -> bool:
        """Return whether the process is running."""
        return self._process is not None and self._process.poll() is None

    def get_exit_code(self) -> int | None:
        """Return the exit code; None while the process runs."""
        return None if self._process is None else self._process.poll()

    def read_log(self) -> str:
        """Return all output of the daemon's processes."""
        return self.log_file.read_text("utf-8", "replace")

    def handles_signals(self) -> bool:
        """Return whether the process has set its signal handlers."""
        return handles_signals(self.pid)

    def has_exited_unexpectedly(self) -> bool:
        """Return whether the process exited without `stop` or `kill`."""
        return not self._is_stop_expected and not self.is_running()

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal to the process if it is running."""
        if self._process is not None and self._process.poll() is None:
            self._process.send_signal(number)

    async def kill(self) -> None:
        """Kill the process."""
        self._is_stop_expected = True
        self.send_signal(signal.SIGKILL)
        await self.wait_for_exit(STOP_MARGIN_S)

    async def stop(self) -> bool:
        """Terminate the process; kill it if that takes too long.

        Returns:
            Whether the process exited without being killed.
        """
        self._is_stop_expected = True
        self.send_signal(signal.SIGTERM)
        if await self.wait_for_exit(self.grace_s + STOP_MARGIN_S):
            return True
        await self.kill()
        return False

    async def wait_for_exit(self, seconds: float) -> bool:
        """Wait for the process to exit; return whether it did in time."""
        deadline = time.monotonic() + seconds
        while self.is_running():
            if time.monotonic() > deadline:
                return False
            await anyio.sleep(POLL_INTERVAL_S)
        return True
