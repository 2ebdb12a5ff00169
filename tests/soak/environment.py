"""The environment of a soak: store, endpoints, configuration and daemons."""

from collections.abc import AsyncIterator
import contextlib
import pathlib
from typing import Any
from typing import Final

import anyio
from anyio import abc
import msgspec
from returns import result

from eelgrassgate.standins import endpoint as endpoint_lib
from eelgrassgate.standins import kv
from eelgrassgate.store import base
from eelgrassgate.store import faulty
from eelgrassgate.store import memory
from tests import loopback
from tests.soak import daemons
from tests.soak import proxies

HOST: Final = "desk.example"
WORKSPACE: Final = "desk"
KEY: Final = "key-1"
SECOND_KEY: Final = "key-2"
ENDPOINT_COUNT: Final = 4
EVENTS: Final = 8
EVENT_DELAY_S: Final = 0.03
# At shutdown, the stand-ins' servers wait this long for open calls.
SHUTDOWN_TIMEOUT_S: Final = 8.0
DAEMONS: Final = (
    ("gateway", "front-1", 1, "z1"),
    ("gateway", "front-2", 2, "z2"),
    ("batch", "store-1", 3, "z1"),
    ("batch", "store-2", 4, "z2"),
)


def _make_route(prefix: str, kind: str, **fields: Any) -> dict[str, Any]:
    return {
        "name": prefix.strip("/"),
        "host": HOST,
        "prefix": prefix,
        "kind": kind,
        "timeout-ms": 4000,
        "target-latency-ms": 300,
        "priority": 0,
        "service": "engine",
        "max-attempts": 2,
        **fields,
    }


ROUTES: Final = [
    _make_route("/plain/", "safe"),
    _make_route("/once/", "unsafe", **{"max-attempts": 1}),
    _make_route("/stream/", "streaming", **{"max-attempts": 1}),
    _make_route("/resumable/", "streaming", **{"allow-resume": True}),
    _make_route(
        "/batch/",
        "batch",
        **{
            "max-attempts": 3,
            "completion-target-ms": 18_000,
            "retention-s": 60,
        },
    ),
]


class Environment:
    """The daemons under test and everything that they connect to."""

    def __init__(self, folder: pathlib.Path, network: int) -> None:
        """Create an environment in which nothing runs yet.

        Args:
            folder: Folder for settings and logs of the daemons.
            network: The daemons listen on 127.`network`.0.0, so that
                concurrent scenarios don't collide.
        """
        self.store = faulty.create_faulty_store(
            memory.create_memory_store(progress_interval_s=0.1)
        )
        self.endpoints = [
            endpoint_lib.create_endpoint(f"i-{number}")
            for number in range(ENDPOINT_COUNT)
        ]
        self.endpoint_proxies: list[proxies.Proxy] = []
        self.store_proxies_by_name: dict[str, proxies.Proxy] = {}
        self.daemons_by_name: dict[str, daemons.Daemon] = {}
        self.config_version = 0
        self.stop_requested = anyio.Event()
        self._folder = folder
        self._network = network

    def get_gateways(self) -> list[daemons.Daemon]:
        """Return the daemons that accept requests of callers."""
        return [
            one
            for one in self.daemons_by_name.values()
            if one.role == "gateway"
        ]

    def restore_endpoint(self, number: int) -> None:
        """Make an endpoint respond without faults."""
        self.endpoints[number].behavior = endpoint_lib.Behavior(
            events=EVENTS, event_delay_s=EVENT_DELAY_S
        )

    async def write_document(self, key: str, document: object) -> None:
        """Write to the store as operators and endpoints do.

        Retries until the store accepts the write, as the store may be
        unavailable.
        """
        change = base.Write(key, msgspec.json.encode(document))
        while isinstance(
            await self.store.commit(base.Transaction((), (change,))),
            result.Failure,
        ):
            await anyio.sleep(0.1)

    async def write_config(self, keys: tuple[str, ...]) -> None:
        """Write a new version of the configuration with these API keys."""
        self.config_version += 1
        await self.write_document(
            "op/config",
            {
                "version": self.config_version,
                "routes": ROUTES,
                "services": [
                    {"name": "engine", "max-connections": 300, "engine": {}}
                ],
                "limits": {"idle-timeout-ms": 15_000},
                "tenants": [{"name": WORKSPACE, "api-keys": list(keys)}],
            },
        )

    async def run(
        self, *, task_status: abc.TaskStatus[None] = anyio.TASK_STATUS_IGNORED
    ) -> None:
        """Serve the store and the endpoints, and start the daemons."""
        async with (
            loopback.serve(kv.create_app(self.store)) as url,
            anyio.create_task_group() as tasks,
        ):
            for number, one in enumerate(self.endpoints):
                await tasks.start(one.serve)
                self.restore_endpoint(number)
                await self._register_endpoint(tasks, one)
            await self.write_config((KEY, SECOND_KEY))
            for role, name, number, zone in DAEMONS:
                proxy = proxies.Proxy(url.removeprefix("http://"))
                await tasks.start(proxy.serve, "127.0.0.1")
                self.store_proxies_by_name[name] = proxy
                self.daemons_by_name[name] = daemons.Daemon(
                    role,
                    name,
                    f"127.{self._network}.0.{number}",
                    zone,
                    proxy.address,
                    self._folder,
                )
                self.daemons_by_name[name].start()
            task_status.started()
            await self.stop_requested.wait()
            tasks.cancel_scope.cancel()

    async def _register_endpoint(
        self, tasks: abc.TaskGroup, one: endpoint_lib.Endpoint
    ) -> None:
        proxy = proxies.Proxy(one.address)
        await tasks.start(proxy.serve, "127.0.0.1")
        self.endpoint_proxies.append(proxy)
        await self.write_document(
            f"servers/{one.name}",
            {
                "service": "engine",
                "address": proxy.address,
                "zone": "z1",
                "version": "v1",
                "slots": 8,
                "state": "ready",
                "cold-remaining-ms": 0,
                "sequence": 1,
                "born": 1_800_000_000_000,
            },
        )

    async def kill_daemons(self) -> None:
        """Kill the daemons that this environment started."""
        for one in self.daemons_by_name.values():
            await one.kill()


@contextlib.asynccontextmanager
async def run_environment(
    folder: pathlib.Path, network: int
) -> AsyncIterator[Environment]:
    """Run an environment; its daemons are killed on every exit."""
    environment = Environment(folder, network)
    async with anyio.create_task_group() as tasks:
        try:
            await tasks.start(environment.run)
            yield environment
        finally:
            with anyio.CancelScope(shield=True):
                await environment.kill_daemons()
            environment.stop_requested.set()
            tasks.cancel_scope.deadline = (
                anyio.current_time() + SHUTDOWN_TIMEOUT_S
            )
