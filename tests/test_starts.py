"""Starts and ends of real processes, amid signals and taken ports."""

from collections.abc import Callable
from collections.abc import Iterator
import contextlib
import pathlib
import random
import signal
import socket
import subprocess
import sys
import tempfile
from typing import Any
from typing import Final
import unittest

import anyio

from bench import processes
from tests.soak import daemons

SEED: Final = 39
ROLES: Final = ("gateway", "batch")
# Nothing listens there; processes start without the store.
STORE_ADDRESS: Final = "127.91.0.254:1"
TIMEOUT_S: Final = 20.0
GRACE_S: Final = 0.6
POLL_INTERVAL_S: Final = 0.005
# Longer than a start takes on an idle machine, so that signals come in each
# phase of it.
MAX_DELAY_S: Final = 0.8
METRICS_PORT: Final = 9_090
INVALID_SETTINGS_EXIT_CODE: Final = 2
SETTINGS_DELAY_S: Final = 0.2
ADDRESS_UNAVAILABLE_EXIT_CODE: Final = 69
OWN_ADDRESS_EXIT_CODE: Final = 8
# Ports that a process needs: for callers, readiness probes, reports and relays.
NEEDED_PORTS: Final = (
    ("gateway", socket.SOCK_STREAM, 7801),
    ("gateway", socket.SOCK_STREAM, 7802),
    ("gateway", socket.SOCK_DGRAM, 7811),
    ("gateway", socket.SOCK_STREAM, 7812),
    ("batch", socket.SOCK_DGRAM, 7811),
    ("batch", socket.SOCK_STREAM, 7812),
)
_PLACE: Final = {"instance": "a", "zone": "z1", "region": "r1"}
OWN_SETTINGS: Final[dict[str, Any]] = {
    "entry": {
        "place": _PLACE,
        "platform": {
            "store_url": f"http://{STORE_ADDRESS}",
            "instances_url": f"http://{STORE_ADDRESS}",
        },
        "listen": "127.91.2.1:7801",
        "link_listen": "127.91.2.1:7802",
        "notice_s": 0.0,
    },
    "agent": {
        "place": _PLACE,
        "endpoint": "e",
        "kind": "service",
        "service": "s",
        "url": f"http://{STORE_ADDRESS}",
        "link_listen": "127.91.2.2:7802",
    },
}
# Prints the modules loaded when the program sets its first handler.
PRINT_MODULES: Final = """
import os, runpy, signal, sys
module, argument = sys.argv[1:]
def print_modules(*arguments):
    print(*sys.modules)
    sys.stdout.flush()
    os._exit(0)
signal.signal = print_modules
sys.argv[:] = ["", argument]
runpy.run_module(module, run_name="__main__", alter_sys=True)
"""
PROGRAMS: Final = (
    ("eelgrassgate.platform", "gateway"),
    ("eelgrassgate.platform", "batch"),
    ("eelgrassgate.main", "entry"),
    ("eelgrassgate.main", "agent"),
    ("eelgrassgate.main", "local"),
)
SLOW_MODULES: Final = frozenset({"anyio", "asyncio", "msgspec", "tomllib"})

# Prints the modules that a role has loaded before it listens.
PRINT_LOADED: Final = """
import sys
from eelgrassgate.platform import process
import eelgrassgate.ROLE.daemon
print(*sys.modules)
"""
# Modules of the other role or of the product's own interface.
FOREIGN_MODULES: Final = {
    "gateway": (
        "eelgrassgate.batches.daemon",
        "eelgrassgate.batches.owner",
        "eelgrassgate.batches.items",
        "eelgrassgate.batches.scheduling",
        "hypercorn",
        "httpx",
    ),
    "batches": (
        "eelgrassgate.gateway.daemon",
        "eelgrassgate.gateway.forwarding",
        "eelgrassgate.gateway.service",
        "eelgrassgate.gateway.rates",
        "hypercorn",
        "httpx",
    ),
}


@contextlib.contextmanager
def take(kind: socket.SocketKind, ip: str, port: int) -> Iterator[None]:
    """Occupy a port as another process does."""
    with socket.socket(type=kind) as taken:
        taken.bind((ip, port))
        if kind is socket.SOCK_STREAM:
            taken.listen()
        yield


class StartsTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = pathlib.Path(folder.name)
        self.daemons: list[daemons.Daemon] = []

    async def asyncTearDown(self) -> None:
        for one in self.daemons:
            if one.is_running():
                await one.kill()

    def create_daemon(
        self, role: str, grace_s: float = GRACE_S
    ) -> daemons.Daemon:
        number = len(self.daemons) + 1
        daemon = daemons.Daemon(
            role,
            f"{role}{number}",
            f"127.91.1.{number}",
            "z1",
            STORE_ADDRESS,
            self.folder,
            grace_s,
        )
        self.daemons.append(daemon)
        return daemon

    async def wait(self, condition: Callable[[], bool]) -> None:
        with anyio.fail_after(TIMEOUT_S):
            while not condition():
                await anyio.sleep(POLL_INTERVAL_S)

    async def wait_for_line(self, daemon: daemons.Daemon, kind: str) -> None:
        def has_line() -> bool:
            if not daemon.is_running():
                self.fail(f"{daemon.get_exit_code()} {daemon.read_log()}")
            return f'"message_type":"{kind}"' in daemon.read_log()

        await self.wait(has_line)

    async def check_exit(
        self, daemon: daemons.Daemon, code: int, last: str
    ) -> None:
        """Check the exit code and the kind of the last line."""
        await self.wait(lambda: not daemon.is_running())
        log = daemon.read_log()
        self.assertEqual(daemon.get_exit_code(), code, log)
        self.assertNotIn("Traceback", log)
        lines = log.splitlines()
        self.assertIn(last, lines[-1] if lines else "", log)

    def test_signal_handlers_are_set_before_slow_imports(self) -> None:
        for program in PROGRAMS:
            with self.subTest(program):
                done = subprocess.run(
                    [sys.executable, "-c", PRINT_MODULES, *program],
                    cwd=daemons.ROOT,
                    capture_output=True,
                    check=False,
                    text=True,
                )
                modules = done.stdout.split()
                self.assertIn("eelgrassgate.signals", modules, done.stderr)
                self.assertEqual(SLOW_MODULES.intersection(modules), set())

    def test_roles_load_no_modules_that_they_do_not_need(self) -> None:
        # Each module delays the start, most on a small part of a core.
        for role, foreign in FOREIGN_MODULES.items():
            with self.subTest(role):
                done = subprocess.run(
                    [sys.executable, "-c", PRINT_LOADED.replace("ROLE", role)],
                    cwd=daemons.ROOT,
                    capture_output=True,
                    check=True,
                    text=True,
                )
                modules = done.stdout.split()
                self.assertIn(f"eelgrassgate.{role}.daemon", modules)
                self.assertEqual(set(foreign).intersection(modules), set())

    async def test_sighup_in_any_phase_never_ends_a_process(self) -> None:
        async def run(role: str, seed: int) -> None:
            rng = random.Random(seed)
            daemon = self.create_daemon(role)
            daemon.start()
            await self.wait(daemon.handles_signals)
            # From one signal to a series that covers the whole start.
            for _ in range(rng.choice((1, 5, 80))):
                daemon.send_signal(signal.SIGHUP)
                await anyio.sleep(rng.uniform(0.0, MAX_DELAY_S / 40.0))
            await self.wait_for_line(daemon, "settings:checked")
            daemon.send_signal(signal.SIGUSR1)
            await self.wait_for_line(daemon, "signal:ignored")
            daemon.send_signal(signal.SIGTERM)
            while daemon.is_running():
                daemon.send_signal(signal.SIGHUP)
                await anyio.sleep(POLL_INTERVAL_S)
            await self.check_exit(daemon, 0, '"stopped"')

        async with anyio.create_task_group() as tasks:
            for number in range(6):
                tasks.start_soon(run, ROLES[number % 2], SEED + number)

    async def test_signals_do_not_end_processes_of_the_own_interface(
        self,
    ) -> None:
        async def run(name: str, seed: int) -> None:
            rng = random.Random(seed)
            arguments = [name]
            if name in OWN_SETTINGS:
                path = started.write_settings(name, OWN_SETTINGS[name])
                arguments += ["--settings", path]
            one = started.start(name, "eelgrassgate.main", arguments)
            await self.wait(lambda: daemons.handles_signals(one.pid))
            for _ in range(rng.randint(1, 40)):
                one.send(signal.SIGHUP)
                await anyio.sleep(rng.uniform(0.0, MAX_DELAY_S / 20.0))
            one.send(signal.SIGTERM)
            await self.wait(lambda: not one.is_running())
            self.assertEqual(one.wait(), 0, started.read_log(name))

        async with (
            processes.run_processes(self.folder) as started,
            anyio.create_task_group() as tasks,
        ):
            for number, name in enumerate(("entry", "agent", "local")):
                tasks.start_soon(run, name, SEED + number)

    async def test_taken_ports_of_the_own_interface_are_awaited(self) -> None:
        async def run(name: str, port: str, is_freed: bool) -> None:
            own = {**OWN_SETTINGS[name]}
            key = f"{name}-{port}-{is_freed}"
            ip = f"127.91.2.{10 + len(started.by_name)}"
            for listen, number in (("listen", 7801), ("link_listen", 7802)):
                if listen in own:
                    own[listen] = f"{ip}:{number}"
            path = started.write_settings(key, own)
            host, _, number = own[port].rpartition(":")
            with take(socket.SOCK_STREAM, host, int(number)):
                one = started.start(
                    key, "eelgrassgate.main", [name, "--settings", path]
                )
                if is_freed:
                    await self.wait(lambda: daemons.handles_signals(one.pid))
                    await anyio.sleep(MAX_DELAY_S)
                    self.assertTrue(one.is_running(), started.read_log(key))
                else:
                    await self.wait(lambda: not one.is_running())
            if is_freed:
                await processes.wait_until_open(int(number), host)
                one.send(signal.SIGTERM)
                await self.wait(lambda: not one.is_running())
                self.assertEqual(one.wait(), 0, started.read_log(key))
            else:
                log = started.read_log(key)
                self.assertEqual(one.wait(), OWN_ADDRESS_EXIT_CODE, log)
                self.assertIn(f"address unavailable: {own[port]}", log)
                self.assertNotIn("Traceback", log)

        async with (
            processes.run_processes(self.folder) as started,
            anyio.create_task_group() as tasks,
        ):
            for name, port in (
                ("entry", "listen"),
                ("entry", "link_listen"),
                ("agent", "link_listen"),
            ):
                for is_freed in (True, False):
                    tasks.start_soon(run, name, port, is_freed)

    async def test_taken_metrics_port_is_used_once_it_is_free(self) -> None:
        async def run(role: str) -> None:
            daemon = self.create_daemon(role)
            with take(socket.SOCK_STREAM, daemon.ip, METRICS_PORT):
                daemon.start()
                await self.wait_for_line(daemon, "address:unavailable")
                await self.wait_for_line(daemon, "config:read_failed")
            await self.wait_for_line(daemon, "address:regained")
            await (await anyio.connect_tcp(daemon.ip, METRICS_PORT)).aclose()
            daemon.send_signal(signal.SIGTERM)
            await self.check_exit(daemon, 0, '"stopped"')

        async with anyio.create_task_group() as tasks:
            for role in ROLES:
                tasks.start_soon(run, role)

    async def test_needed_port_of_a_predecessor_is_awaited(self) -> None:
        async def run(role: str, kind: socket.SocketKind, port: int) -> None:
            daemon = self.create_daemon(role)
            with take(kind, daemon.ip, port):
                daemon.start()
                await self.wait_for_line(daemon, "address:unavailable")
            await self.wait_for_line(daemon, "address:regained")
            daemon.send_signal(signal.SIGTERM)
            await self.check_exit(daemon, 0, '"stopped"')

        async with anyio.create_task_group() as tasks:
            for role, kind, port in NEEDED_PORTS:
                tasks.start_soon(run, role, kind, port)

    async def test_needed_port_that_stays_taken_ends_the_start(self) -> None:
        async def run(role: str, kind: socket.SocketKind, port: int) -> None:
            daemon = self.create_daemon(role, grace_s=0.0)
            with take(kind, daemon.ip, port):
                daemon.start()
                await self.check_exit(
                    daemon,
                    ADDRESS_UNAVAILABLE_EXIT_CODE,
                    f'"reason":"address unavailable: {daemon.ip}:{port}: ',
                )
            self.assertEqual(daemon.read_log().count('"ended"'), 1)

        async with anyio.create_task_group() as tasks:
            for role, kind, port in NEEDED_PORTS:
                tasks.start_soon(run, role, kind, port)

    async def test_settings_that_are_half_written_are_read_again(self) -> None:
        async def run(role: str, text: str) -> None:
            daemon = self.create_daemon(role)
            daemon.settings_file.write_text(text, "utf-8")
            daemon.start_with_present_settings()
            await self.wait(daemon.handles_signals)
            await anyio.sleep(SETTINGS_DELAY_S)
            daemon.write_settings()
            await self.wait_for_line(daemon, "started")
            # The platform may be writing again when it sends the signal.
            daemon.settings_file.write_text(text, "utf-8")
            daemon.send_signal(signal.SIGHUP)
            await self.wait_for_line(daemon, "settings:checked")
            daemon.send_signal(signal.SIGTERM)
            await self.check_exit(daemon, 0, '"stopped"')

        async with anyio.create_task_group() as tasks:
            for role in ROLES:
                for text in ("", "node-name = ", f"a = {'[' * 5_000}"):
                    tasks.start_soon(run, role, text)

    async def test_settings_that_stay_invalid_end_the_start(self) -> None:
        daemon = self.create_daemon("gateway")
        daemon.settings_file.write_text("zone = 1", "utf-8")
        daemon.start_with_present_settings()
        await self.check_exit(daemon, INVALID_SETTINGS_EXIT_CODE, "is missing")

    async def test_sigterm_in_any_phase_ends_a_process_cleanly(self) -> None:
        async def run(role: str, seed: int) -> None:
            rng = random.Random(seed)
            daemon = self.create_daemon(role)
            daemon.start()
            await self.wait(daemon.handles_signals)
            await anyio.sleep(rng.choice((0.0, rng.uniform(0.0, MAX_DELAY_S))))
            number = rng.choice((signal.SIGTERM, signal.SIGINT))
            while daemon.is_running():
                daemon.send_signal(number)
                await anyio.sleep(rng.uniform(0.0, 2.0 * POLL_INTERVAL_S))
            await self.check_exit(daemon, 0, '"stopped"')

        async with anyio.create_task_group() as tasks:
            for number in range(8):
                tasks.start_soon(run, ROLES[number % 2], SEED + number)
