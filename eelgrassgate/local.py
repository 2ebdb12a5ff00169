"""Runs the whole system in one process with simulated endpoints."""

from collections.abc import Iterator
import functools
import json
import logging
import sys
from typing import Any
from typing import Final

import anyio
import anyio.abc
import anyio.lowlevel
from returns import result

from eelgrassgate import settings
from eelgrassgate import signal_handling
from eelgrassgate import signals
from eelgrassgate.agent import daemon as agent_daemon
from eelgrassgate.config import edit
from eelgrassgate.config import fleet
from eelgrassgate.config import records
from eelgrassgate.config import snapshot as snapshot_lib
from eelgrassgate.entry import daemon as entry_daemon
from eelgrassgate.entry import services
from eelgrassgate.instances import base as instances_base
from eelgrassgate.instances import memory as instances_memory
from eelgrassgate.keys import digest
from eelgrassgate.standins import engine as engine_standin
from eelgrassgate.standins import generation
from eelgrassgate.standins import hosting
from eelgrassgate.standins import service as service_standin
from eelgrassgate.store import memory as store_memory

HOST: Final = "127.0.0.1"
ANY_PORT: Final = f"{HOST}:0"
ZONE: Final = "zone-1"
REGION: Final = "region-1"
ENGINE_COUNT: Final = 2
POLL_INTERVAL_S: Final = 0.02
# Speed of the simulated engines, as a factor of their default.
SPEED: Final = 4.0
MODEL: Final = "demo"
SERVICE: Final = "hours"
WORKSPACES: Final = ("desk", "parish")
PLATFORM: Final = settings.Platform(store_url="", instances_url="")


def run(port: int) -> int:
    """Run until SIGTERM or SIGINT; return the exit code."""
    logging.disable()
    anyio.run(_run_until_signal, port)
    return 0


async def _run_until_signal(port: int) -> None:
    stop = anyio.Event()
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(
            signal_handling.handle_forever,
            signals.receive(),
            functools.partial(_handle_signal, stop),
        )
        await serve(port, stop)
        tasks.cancel_scope.cancel()


def _handle_signal(stop: anyio.Event, number: int) -> None:
    if number in signals.STOP_SIGNALS:
        stop.set()


async def serve(port: int, stop: anyio.Event) -> None:
    """Serve on `port` until `stop`; print the URL and the API keys."""
    store = store_memory.create_memory_store()
    instance_list = instances_memory.create_memory_list()
    keys_by_workspace = {name: digest.create_key() for name in WORKSPACES}
    await _configure(store, keys_by_workspace)
    entry_settings = _make_settings(port)
    entry = entry_daemon.Entry(
        entry_settings,
        services.create_services(entry_settings, store, instance_list),
    )
    agents_stop = anyio.Event()
    async with anyio.create_task_group() as tasks:
        agents = [
            await tasks.start(_run_agent, one, agents_stop)
            for one in await _start_endpoints(tasks)
        ]
        instance_list.set(agents)
        async with anyio.create_task_group() as entry_tasks:
            address = await entry_tasks.start(_run_entry, entry, stop)
            while not entry.is_ready() and not stop.is_set():
                await anyio.sleep(POLL_INTERVAL_S)
            if not stop.is_set():
                _print_connection(address, keys_by_workspace)
        agents_stop.set()
        await anyio.lowlevel.checkpoint()
        tasks.cancel_scope.cancel()


async def _run_entry(
    entry: entry_daemon.Entry,
    stop: anyio.Event,
    *,
    task_status: anyio.abc.TaskStatus[str],
) -> None:
    await entry.run(stop, task_status=task_status)


async def _start_endpoints(
    tasks: anyio.abc.TaskGroup,
) -> tuple[settings.Agent, ...]:
    options = generation.Options(models=(MODEL,), speed=SPEED)
    agents = []
    for number in range(1, ENGINE_COUNT + 1):
        app = engine_standin.create_app(options)
        port = await tasks.start(hosting.serve, app)
        agents.append(_make_agent(f"engine-{number}", port, is_engine=True))
    service = service_standin.create_app(service_standin.Options())
    port = await tasks.start(hosting.serve, service)
    agents.append(_make_agent(f"{SERVICE}-1", port, is_engine=False))
    return tuple(agents)


async def _run_agent(
    agent_settings: settings.Agent,
    stop: anyio.Event,
    *,
    task_status: anyio.abc.TaskStatus[instances_base.Instance],
) -> None:
    async with anyio.create_task_group() as tasks:

        async def serve_agent(
            *, task_status: anyio.abc.TaskStatus[str]
        ) -> None:
            await agent_daemon.serve(
                agent_settings, stop=stop, task_status=task_status
            )

        address = await tasks.start(serve_agent)
        task_status.started(
            instances_base.Instance(
                name=agent_settings.place.instance,
                service="agent",
                address=address,
                zone=agent_settings.place.zone,
                region=agent_settings.place.region,
            )
        )


async def _configure(
    store: store_memory.MemoryStore, keys_by_workspace: dict[str, str]
) -> None:
    changes_by_id: dict[str, bytes | None] = dict(
        records.split_fleet(_make_fleet(keys_by_workspace))
    )

    def plan(
        snapshot: snapshot_lib.Snapshot,
    ) -> result.Result[edit.Plan, edit.Refusal]:
        return result.Success(edit.Plan(changes_by_id, is_from_files=True))

    edited = await edit.edit(store, "local", plan)
    edited.unwrap()


def _make_fleet(keys_by_workspace: dict[str, str]) -> fleet.Fleet:
    rate = fleet.Rate(per_second=200.0, burst=400.0)
    return fleet.Fleet(
        workspaces={name: fleet.Workspace(rate=rate) for name in WORKSPACES},
        keys={
            f"{name}-1": fleet.Key(
                digest=digest.compute_digest(key), workspace=name
            )
            for name, key in keys_by_workspace.items()
        },
        models={MODEL: fleet.Model()},
        services={SERVICE: {}},
        endpoints=dict(_make_endpoints()),
        routes={f"/{SERVICE}": fleet.Route(service=SERVICE)},
    )


def _make_endpoints() -> Iterator[tuple[str, fleet.Endpoint]]:
    for number in range(1, ENGINE_COUNT + 1):
        yield (
            f"engine-{number}",
            fleet.Endpoint(kind="engine", models=(MODEL,)),
        )
    yield f"{SERVICE}-1", fleet.Endpoint(kind="service", service=SERVICE)


def _make_settings(port: int) -> settings.Entry:
    return settings.Entry(
        place=settings.Place(instance="entry-1", zone=ZONE, region=REGION),
        platform=PLATFORM,
        listen=f"{HOST}:{port}",
        link_listen=ANY_PORT,
        notice_s=0.0,
    )


def _make_agent(name: str, port: int, *, is_engine: bool) -> settings.Agent:
    return settings.Agent(
        place=settings.Place(
            instance=f"agent-{name}", zone=ZONE, region=REGION
        ),
        endpoint=name,
        kind="engine" if is_engine else "service",
        url=f"http://{HOST}:{port}",
        link_listen=ANY_PORT,
        models=(MODEL,) if is_engine else (),
        service="" if is_engine else SERVICE,
        can_resume=is_engine,
    )


def _print_connection(address: str, keys_by_workspace: dict[str, str]) -> None:
    first, second = WORKSPACES
    ready: dict[str, Any] = {
        "url": f"http://{address}",
        "key": keys_by_workspace[first],
        "key2": keys_by_workspace[second],
    }
    sys.stdout.write(json.dumps(ready) + "\n")
    sys.stdout.flush()
