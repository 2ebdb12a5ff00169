import unittest

import anyio
import anyio.abc
import anyio.to_thread
import httpx
import msgspec

from bench import ports
from eelgrassgate import settings
from eelgrassgate.agent import daemon as agent_daemon
from eelgrassgate.config import apply
from eelgrassgate.config import fleet as fleet_lib
from eelgrassgate.entry import daemon
from eelgrassgate.entry import services
from eelgrassgate.instances import base as instances
from eelgrassgate.instances import memory as instances_memory
from eelgrassgate.operators import api
from eelgrassgate.standins import engine
from eelgrassgate.standins import generation
from eelgrassgate.store import memory
from tests import loopback

ANY_PORT = "127.0.0.1:0"
TIMEOUT_S = 20.0


def find_free_address() -> str:
    return f"{ports.HOST}:{ports.pick_port()}"


class StatusTest(unittest.IsolatedAsyncioTestCase):
    async def test_load_reports_appear_in_status(self) -> None:
        options = generation.Options(models=("demo",))
        async with (
            loopback.serve(engine.create_app(options)) as url,
            anyio.create_task_group() as tasks,
        ):
            status = await self.wait_for_load_report(url, tasks)
            tasks.cancel_scope.cancel()
        (endpoint,) = status.endpoints
        self.assertEqual((status.instance, status.revision), ("e", 1))
        self.assertTrue(endpoint.is_connected)
        self.assertEqual(endpoint.endpoint, "engine-1")

    async def wait_for_load_report(
        self, url: str, tasks: anyio.abc.TaskGroup
    ) -> api.Status:
        """Run an agent and an entry; poll until there is a load report."""
        store = memory.create_memory_store()
        fleet = fleet_lib.Fleet(
            models={"demo": fleet_lib.Model()},
            endpoints={
                "engine-1": fleet_lib.Endpoint(kind="engine", models=("demo",))
            },
        )
        (await apply.apply(store, fleet, 0, "first")).unwrap()
        instance_list = instances_memory.create_memory_list()
        stop = anyio.Event()
        address = await tasks.start(self.run_agent, url, stop)
        instance_list.set([instances.Instance("a", "agent", address, "z", "r")])
        own = settings.Entry(
            place=settings.Place(instance="e", zone="z", region="r"),
            platform=settings.Platform(store_url="", instances_url=""),
            listen=ANY_PORT,
            link_listen=ANY_PORT,
            operators_listen=find_free_address(),
        )
        parts = services.create_services(own, store, instance_list)
        tasks.start_soon(daemon.Entry(own, parts).run, stop)
        with anyio.fail_after(TIMEOUT_S):
            while True:
                status = await self.fetch_status(
                    f"http://{own.operators_listen}"
                )
                if status and any(e.load for e in status.endpoints):
                    return status
                await anyio.sleep(0.05)

    async def run_agent(
        self,
        url: str,
        stop: anyio.Event,
        *,
        task_status: anyio.abc.TaskStatus[str],
    ) -> None:
        own = settings.Agent(
            place=settings.Place(instance="a", zone="z", region="r"),
            endpoint="engine-1",
            kind="engine",
            url=url,
            link_listen=ANY_PORT,
            models=("demo",),
        )
        await agent_daemon.serve(own, stop=stop, task_status=task_status)

    async def fetch_status(self, url: str) -> api.Status | None:
        async with httpx.AsyncClient() as client:
            try:
                response = await client.get(url + api.STATUS_PATH)
            except httpx.TransportError:
                return None
        return msgspec.json.decode(response.content, type=api.Status)
