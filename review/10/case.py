"""A request that crashes workers comes again after a minute of rest."""

import asyncio
import pathlib
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from common_2 import site as site_lib  # noqa: E402

SERVICE = "huvo11a"
WORKERS = 4
DEADLY = b"deadly"
# A worker is back after some seconds.
RESTART_S = 3.0
INTERVAL_S = 3.5
FIRST = 3
REST_S = 62.0
SECOND = 5
CONTACT_S = 4.0
ALLOWED = 3
SOUND_INTERVAL_S = 0.5


class FragileWorker(site_lib.Worker):
    """A worker that ends as soon as it begins to run the deadly request."""

    crashes: list[float]
    reached: list[float]
    store: site_lib.Store
    _server: asyncio.Server
    _writers: set[asyncio.StreamWriter]
    _tasks: set[asyncio.Task[None]]

    async def start(self) -> None:
        """Serve requests."""
        self._writers = set()
        self._tasks = set()
        self._server = await site_lib.serve(
            self.address, site_lib.WORKER_PORT, self.handle
        )

    async def handle(
        self,
        request: site_lib.Request,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bool:
        """Run one request, or end under it."""
        self._writers.add(writer)
        if request.body != DEADLY or not site_lib.has_trouble():
            return await super().handle(request, reader, writer)
        if request.headers.get("expect-instance") != self.name:
            return await super().handle(request, reader, writer)
        self.record_run(request)
        self.reached.append(self.record.now())
        self._server.close()
        for one in self._writers:
            one.transport.abort()
        self.crashes.append(self.record.now())
        self.record.write(f"{self.name} has crashed")
        task = asyncio.create_task(self._restart())
        self._tasks.add(task)
        return False

    async def _restart(self) -> None:
        await asyncio.sleep(RESTART_S)
        self.born = int(time.time() * 1000)
        self._server = await site_lib.serve(
            self.address, site_lib.WORKER_PORT, self.handle
        )
        self.write_entry(self.store)
        self.record.write(f"{self.name} is back")


async def case(site: site_lib.Site) -> int:
    """Return the result of the case."""
    site.store.put(
        "op/config",
        site_lib.build_config(
            [
                {
                    "prefix": "/lohu930/",
                    "kind": "unsafe",
                    "service": SERVICE,
                    "max-attempts": 1,
                }
            ]
        ),
    )
    crashes: list[float] = []
    reached: list[float] = []
    for number in range(WORKERS):
        worker = FragileWorker(
            site.record,
            f"i-{number}",
            SERVICE,
            site.make_address(),
            "montego",
        )
        worker.crashes = crashes
        worker.reached = reached
        worker.store = site.store
        await site.add_worker(worker)
    gateways = []
    for number in range(2):
        gateway = site_lib.Process(
            f"front-montego-{number + 1}",
            "gateway",
            site.make_address(),
            "montego",
            "cornwall",
        )
        await site.start(gateway)
        gateways.append(gateway)
    for gateway in gateways:
        await site.wait_ready(gateway)

    async def ask(number: int, body: bytes) -> None:
        gateway = gateways[number % len(gateways)]
        request_id = site_lib.make_id()
        kind = "deadly" if body == DEADLY else "sound"
        site.record.write(f"{kind} {request_id} sent to {gateway.name}")
        answer = await site_lib.call(
            gateway.address,
            "POST",
            "/lohu930/2f",
            site_lib.build_headers(request_id),
            body,
        )
        site.record.write(f"answer {request_id} {answer.status}")

    async def ask_soundly() -> None:
        number = 0
        while True:
            number += 1
            await ask(number, b"sound %d" % number)
            await asyncio.sleep(SOUND_INTERVAL_S)

    soundly = asyncio.create_task(ask_soundly())
    await asyncio.sleep(CONTACT_S)
    for number in range(FIRST):
        await ask(number, DEADLY)
        await asyncio.sleep(INTERVAL_S)
    await asyncio.sleep(REST_S)
    for number in range(SECOND):
        await ask(number, DEADLY)
        await asyncio.sleep(INTERVAL_S)
    soundly.cancel()
    if not site_lib.has_trouble():
        return site_lib.HELD
    counted_from = crashes[FIRST - 1] + CONTACT_S
    late = [at for at in reached if at > counted_from]
    site.record.write(
        f"{len(late)} times the request reached a worker later than"
        f" {CONTACT_S} s after it had crashed the third: {late}"
    )
    return site_lib.BROKEN if len(late) > ALLOWED else site_lib.HELD


if __name__ == "__main__":
    site_lib.run(case, FOLDER)
