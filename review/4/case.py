"""A second copy of a refusal is taken for the answer of the next attempt.

Unsafe routes, each to a service with two workers, and three attempts. Both
workers are full for a moment: each refuses one attempt of a request. The third
attempt goes to one of them again, on the kept channel and with the same
`Request-Id`. If that is the faulty one, it sends its refusal a second time
there, and runs the request.
"""

import asyncio
import time

from harness import http
from harness import site as site_lib
from harness import worker as worker_lib

SERVICES = 8
WORK_S = 0.003
# Of `garble` ("extra late") on the sheet's site: it lasts 5 s and spoils 0.03
# of the answers of 0.6 of the workers. Here half of the workers are faulty.
GARBLE_S = 5.0
MAX_SPOILED = 0.025
# Answers of a faulty worker before it spoils one.
ANSWERS = 42


class Faults:
    """What the workers of one service do.

    Attributes:
        refusing: Ids of the workers that refuse the next attempt.
        copy: The refusal that the faulty worker sends once more.
        spoiled: Number of answers that it has spoiled.
        answers: Number of answers that it has given.
    """

    def __init__(self) -> None:
        """Start without refusals."""
        self.refusing: set[str] = set()
        self.copy = b""
        self.spoiled = 0
        self.answers = 0


async def case(
    site: site_lib.Site, record: site_lib.Record, has_trouble: bool
) -> bool:
    """Return whether no refused request ran, and none ran twice."""
    ends_at = 0.0
    faults_by_service = {f"ledger-{one}": Faults() for one in range(SERVICES)}

    async def handle(
        worker: worker_lib.Worker,
        request: http.Request,
        writer: asyncio.StreamWriter,
    ) -> None:
        faults = faults_by_service[worker.service]
        is_faulty = worker.id.endswith("faulty")
        faults.answers += is_faulty
        if worker.id in faults.refusing:
            faults.refusing.discard(worker.id)
            refusal = worker_lib.refuse(request)
            record.add(f"{worker.id} is full: {request.get('request-id')}")
            writer.write(refusal)
            may_spoil = faults.spoiled + 1 <= MAX_SPOILED * faults.answers
            may_spoil = may_spoil and time.monotonic() < ends_at
            if is_faulty and has_trouble and may_spoil:
                faults.copy = refusal
                faults.spoiled += 1
            return
        if is_faulty and faults.copy:
            writer.write(faults.copy)
            faults.copy = b""
            record.add(f"{worker.id} sends that refusal again, late")
        worker.record_run(request)
        await asyncio.sleep(WORK_S)
        writer.write(worker_lib.answer(request, b"done"))

    services = list(faults_by_service)
    site.write_config(
        [
            site_lib.make_route(f"/{one}/", "unsafe", service=one)
            for one in services
        ],
        services,
    )
    for service in services:
        await site.add_worker(f"{service}-faulty", service, handle)
        await site.add_worker(f"{service}-sound", service, handle)
    front = site.add_process("gateway", "front-1", "montego")
    await site.wait_until_ready()
    statuses: dict[str, int] = {}

    async def book(service: str) -> str:
        name = site_lib.make_id()
        headers = site_lib.make_headers(name, Time_Remaining="4000")
        answer = await http.send(
            front.front, "POST", f"/{service}/hours", headers, b"1 hour"
        )
        statuses[name] = answer.status
        return name

    async def use(service: str) -> None:
        faults = faults_by_service[service]
        while faults.answers < ANSWERS and time.monotonic() < ends_at:
            await book(service)
        faults.refusing = {f"{service}-faulty", f"{service}-sound"}
        name = await book(service)
        faults.refusing = set()
        record.add(f"client: {name} was answered {statuses[name]}")

    ends_at = time.monotonic() + GARBLE_S
    record.add("workers may spoil answers from now on")
    async with asyncio.TaskGroup() as tasks:
        for service in services:
            tasks.create_task(use(service))
    await asyncio.sleep(0.5)
    workers = site.workers
    runs = [name for worker in workers for _, name in worker.ran]
    record.add(f"{len(runs)} runs of {len(statuses)} requests")
    for service, faults in faults_by_service.items():
        record.add(
            f"{service}-faulty spoiled {faults.spoiled} of {faults.answers}"
        )
    is_held = True
    for worker in workers:
        for at, name in worker.ran:
            is_refused = statuses[name] in (408, 421, 429, 503)
            is_twice = runs.count(name) > 1
            if is_refused:
                record.add(f"REFUSED: {worker.id} ran {name}", at)
            if is_twice:
                record.add(f"TWICE: {worker.id} ran {name}", at)
            is_held = is_held and not is_refused and not is_twice
    return is_held


if __name__ == "__main__":
    site_lib.run(case, __file__)
