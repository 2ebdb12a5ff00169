"""A small site of real processes on loopback.

It has stand-ins of the platform and of endpoints, agents and entries.
"""

from collections.abc import AsyncIterator
from collections.abc import Iterator
import contextlib
import pathlib
import signal
import tempfile
from typing import Any
from typing import Final

import anyio
import httpx
import msgspec
from returns import result

from bench import ports
from bench import processes
from eelgrassgate.config import edit
from eelgrassgate.config import fleet
from eelgrassgate.config import records
from eelgrassgate.config import snapshot as snapshot_lib
from eelgrassgate.instances import base as instances_base
from eelgrassgate.keys import digest
from eelgrassgate.store import etcd

MODEL: Final = "matcher"
LEDGER: Final = "ledger"
WORKSPACES: Final = ("desk", "parish")
REGION: Final = "cornwall"
ZONES: Final = ("cornwall-a", "cornwall-b")
MAIN_MODULE: Final = "eelgrassgate.main"


class Options(msgspec.Struct, frozen=True):
    """Size and speed of a site.

    Attributes:
        entries: Number of entries.
        engines: Number of model engines, each with an agent.
        ledgers: Number of plain services, each with an agent.
        speed: Factor of the engines' speed.
        max_running: Maximum number of concurrent requests in an engine.
        rate: Rate limit of each workspace.
    """

    entries: int = 2
    engines: int = 3
    ledgers: int = 1
    speed: float = 4.0
    max_running: int = 8
    rate: fleet.Rate = fleet.Rate(per_second=500.0, burst=1000.0)


class Site:
    """A site with the URLs and keys to use it."""

    def __init__(
        self, options: Options, started_processes: processes.Processes
    ) -> None:
        """Create a site without starting its processes."""
        self._options = options
        self.processes = started_processes
        self.keys_by_workspace = {
            name: digest.create_key() for name in WORKSPACES
        }
        self.urls_by_entry: dict[str, str] = {}
        self.urls_by_endpoint: dict[str, str] = {}
        self._instances_by_name: dict[str, instances_base.Instance] = {}
        self._commands_by_name: dict[str, list[str]] = {}
        self.store_url = ""
        self.instances_url = ""

    async def start(self) -> None:
        """Start all processes and wait until the entries are ready."""
        await self._start_platform()
        await self._configure()
        for number in range(1, self._options.engines + 1):
            self._start_engine(f"engine-{number}", number)
        for number in range(1, self._options.ledgers + 1):
            self._start_ledger(f"ledger-{number}", number)
        for number in range(1, self._options.entries + 1):
            self.start_entry(f"entry-{number}", number)
        await self.publish()
        for url in self.urls_by_entry.values():
            await processes.wait_until_ready(f"{url}/readyz")

    async def publish(self) -> None:
        """Publish the list of instances to the platform."""
        instances = list(self._instances_by_name.values())
        async with httpx.AsyncClient() as client:
            response = await client.put(
                f"{self.instances_url}/instances",
                content=msgspec.json.encode(instances),
            )
            response.raise_for_status()

    def restart(self, name: str) -> None:
        """Restart a daemon that has exited, at the same address."""
        self.processes.start(name, MAIN_MODULE, self._commands_by_name[name])

    def _start_daemon(self, name: str, command: list[str]) -> None:
        self._commands_by_name[name] = command
        self.processes.start(name, MAIN_MODULE, command)

    def kill_endpoint(self, name: str) -> None:
        """Kill an endpoint and its agent."""
        for process in (name, f"agent-{name}"):
            self.processes.by_name[process].send(signal.SIGKILL)

    def start_entry(self, name: str, number: int) -> None:
        """Start an entry."""
        listen_port, link_port = ports.pick_port(), ports.pick_port()
        path = self.processes.write_settings(
            name,
            {
                "place": _make_place(name, number),
                "platform": {
                    "store_url": self.store_url,
                    "instances_url": self.instances_url,
                },
                "listen": f"{ports.HOST}:{listen_port}",
                "link_listen": f"{ports.HOST}:{link_port}",
            },
        )
        self._start_daemon(name, ["entry", "--settings", path])
        self.urls_by_entry[name] = f"http://{ports.HOST}:{listen_port}"
        self._add_instance(name, "entry", link_port, number)

    async def _start_platform(self) -> None:
        listen_ports = [ports.pick_port() for _ in range(2)]
        self.store_url, self.instances_url = (
            f"http://{ports.HOST}:{port}" for port in listen_ports
        )
        for name, port in zip(
            ("store", "instances"), listen_ports, strict=True
        ):
            self.processes.start(
                name, f"eelgrassgate.standins.{name}", [f"--port={port}"]
            )
        for port in listen_ports:
            await processes.wait_until_open(port)

    async def _configure(self) -> None:
        changes_by_id: dict[str, bytes | None] = dict(
            records.split_fleet(self._make_fleet())
        )

        def plan(
            snapshot: snapshot_lib.Snapshot,
        ) -> result.Result[edit.Plan, edit.Refusal]:
            return result.Success(edit.Plan(changes_by_id, is_from_files=True))

        store = etcd.create_etcd_store(self.store_url)
        edited = await edit.edit(store, "site", plan)
        edited.unwrap()
        await store.close()

    def _start_engine(self, name: str, number: int) -> None:
        port = ports.pick_port()
        arguments = [
            f"--port={port}",
            f"--models={MODEL}",
            f"--max_running={self._options.max_running}",
            f"--speed={self._options.speed}",
        ]
        self.processes.start(name, "eelgrassgate.standins.engine", arguments)
        extra_settings = {
            "kind": "engine",
            "models": [MODEL],
            "can_resume": True,
        }
        self._start_agent(name, port, number, extra_settings)

    def _start_ledger(self, name: str, number: int) -> None:
        port = ports.pick_port()
        self.processes.start(
            name, "eelgrassgate.standins.service", [f"--port={port}"]
        )
        extra_settings = {"kind": "service", "service": LEDGER}
        self._start_agent(name, port, number, extra_settings)

    def _start_agent(
        self,
        endpoint: str,
        port: int,
        number: int,
        extra_settings: dict[str, Any],
    ) -> None:
        name = f"agent-{endpoint}"
        link_port = ports.pick_port()
        url = f"http://{ports.HOST}:{port}"
        path = self.processes.write_settings(
            name,
            {
                "place": _make_place(name, number),
                "endpoint": endpoint,
                "url": url,
                "link_listen": f"{ports.HOST}:{link_port}",
                **extra_settings,
            },
        )
        self.urls_by_endpoint[endpoint] = url
        self._start_daemon(name, ["agent", "--settings", path])
        self._add_instance(name, "agent", link_port, number)

    def _add_instance(
        self, name: str, service: str, port: int, number: int
    ) -> None:
        self._instances_by_name[name] = instances_base.Instance(
            name=name,
            service=service,
            address=f"{ports.HOST}:{port}",
            zone=ZONES[number % len(ZONES)],
            region=REGION,
        )

    def _make_fleet(self) -> fleet.Fleet:
        workspace = fleet.Workspace(rate=self._options.rate)
        return fleet.Fleet(
            workspaces=dict.fromkeys(WORKSPACES, workspace),
            keys={
                f"{name}-1": fleet.Key(
                    digest=digest.compute_digest(key), workspace=name
                )
                for name, key in self.keys_by_workspace.items()
            },
            models={MODEL: fleet.Model()},
            services={LEDGER: {}},
            endpoints=dict(self._make_endpoints()),
            routes={f"/{LEDGER}": fleet.Route(service=LEDGER)},
        )

    def _make_endpoints(self) -> Iterator[tuple[str, fleet.Endpoint]]:
        for number in range(1, self._options.engines + 1):
            yield (
                f"engine-{number}",
                fleet.Endpoint(kind="engine", models=(MODEL,)),
            )
        for number in range(1, self._options.ledgers + 1):
            yield (
                f"ledger-{number}",
                fleet.Endpoint(kind="service", service=LEDGER),
            )


@contextlib.asynccontextmanager
async def run_site(options: Options) -> AsyncIterator[Site]:
    """Run a site whose processes are killed at the end of the context."""
    with tempfile.TemporaryDirectory() as folder:
        path = pathlib.Path(folder)
        async with processes.run_processes(path) as started_processes:
            site = Site(options, started_processes)
            with anyio.fail_after(processes.READY_TIMEOUT_S * 2):
                await site.start()
            yield site


def _make_place(name: str, number: int) -> dict[str, str]:
    zone = ZONES[number % len(ZONES)]
    return {"instance": name, "zone": zone, "region": REGION}
