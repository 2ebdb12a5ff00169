"""One seed of the soak: calm, faults, calm again, and the promises."""

import pathlib
import tempfile
import time
from typing import Final

import anyio
import msgspec

from tests.soak import callers as callers_lib
from tests.soak import checks
from tests.soak import faults
from tests.soak import world as world_lib

STARTED_S: Final = 10.0
FAULTS_S: Final = 5.0
FAULTS: Final = 6
# Users' bounds: instances are in touch again after 4 s, service is back after
# 12 s, jobs end within 18 s, a configuration is in force after 3 s.
CONTACT_S: Final = 4.0
RECOVERED_S: Final = 12.0
FINISHED_S: Final = 18.0
CONFIGURED_S: Final = 3.0
JOBS: Final = 3
JOB_EVERY_S: Final = 1.5
PATHS: Final = ("/plain/", "/once/", "/stream/", "/resumable/")
CALM_CALLS: Final = 10
TICK_S: Final = 0.05
OK: Final = 200
UNAUTHORIZED: Final = 401


class Report(msgspec.Struct):
    """What one seed showed.

    Attributes:
        seed: The seed.
        played: The faults in their order.
        asked: How many online requests were sent.
        served: How many of them got a whole answer.
        findings: Broken promises.
        folder: Where the logs of the processes are.
        late_s: How late the stand-ins' own timers were at the worst; callers
            see it as the system's lateness.
    """

    seed: int
    played: list[str]
    asked: int
    served: int
    findings: list[str]
    folder: str
    late_s: float = 0.0


async def play(seed: int, network: int) -> Report:
    """Play one seed; logs are kept in a folder that the report names."""
    folder = pathlib.Path(tempfile.mkdtemp(prefix=f"soak-{seed}-"))
    async with world_lib.open_world(folder, network) as world:
        callers = callers_lib.Callers(world, seed)
        report = Report(seed, [], 0, 0, [], str(folder))
        if not await _serves(callers, world, STARTED_S):
            report.findings.append("nothing is served after the start")
            return report
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(_watch_timers, callers, report)
            for path in PATHS:
                tasks.start_soon(callers.run_online, path)
            tasks.start_soon(_hand_in, callers, tasks)
            report.played = await faults.play(world, seed, FAULTS_S, FAULTS)
            report.findings += await _check_calm(callers, world)
        report.findings += await _check_end(callers, world)
        report.asked = len(callers.attempts)
        report.served = sum(
            one.status == OK and one.is_whole for one in callers.attempts
        )
    return report


async def _watch_timers(callers: callers_lib.Callers, report: Report) -> None:
    while callers.is_calling:
        due = time.monotonic() + TICK_S
        await anyio.sleep(TICK_S)
        report.late_s = max(report.late_s, time.monotonic() - due)


async def _hand_in(
    callers: callers_lib.Callers, tasks: anyio.abc.TaskGroup
) -> None:
    for _ in range(JOBS):
        tasks.start_soon(callers.run_job)
        await anyio.sleep(JOB_EVERY_S)


async def _serves(
    callers: callers_lib.Callers, world: world_lib.World, within_s: float
) -> bool:
    """Return whether every gateway serves within so long."""
    until = time.monotonic() + within_s
    left = list(world.get_gateways())
    async with callers.make_client() as client:
        while left and time.monotonic() < until:
            address = left[0].callers_address
            answer = await callers.call(client, address, "/plain/")
            if answer.status == OK and answer.is_whole:
                left.pop(0)
            else:
                await anyio.sleep(callers_lib.PAUSE_S)
    return not left


async def _check_calm(
    callers: callers_lib.Callers, world: world_lib.World
) -> list[str]:
    """Check what holds once all faults have ended."""
    findings: list[str] = []
    if not await _serves(callers, world, RECOVERED_S):
        findings.append(f"not served {RECOVERED_S} s after the faults")
    await anyio.sleep(CONTACT_S)
    findings += [
        f"{one.name} ended by itself"
        for one in world.daemons_by_name.values()
        if one.has_ended_by_itself()
    ]
    async with callers.make_client() as client:
        for _ in range(CALM_CALLS):
            for one in world.get_gateways():
                for path in PATHS:
                    answer = await callers.call(
                        client, one.callers_address, path
                    )
                    if answer.status != OK or not answer.is_whole:
                        findings.append(
                            f"{answer.id} in calm: {answer.status} {path}"
                        )
    findings += await _stop_in_calm(callers, world)
    return findings


async def _stop_in_calm(
    callers: callers_lib.Callers, world: world_lib.World
) -> list[str]:
    """Stop a gateway under requests on open connections, and start it again.

    Answers that have begun must end whole; a request that was not read yet
    may find its connection closed.
    """
    first = world.get_gateways()[0]
    before = len(callers.attempts)
    has_stopped = await first.stop()
    first.start()
    callers.is_calling = False
    # All that was asked meanwhile has its answer by now.
    await anyio.sleep(callers_lib.TIME_LIMIT_S)
    findings = [
        f"{one.id} was cut by a graceful stop"
        for one in callers.attempts[before:]
        if one.status == OK and not one.is_whole
    ]
    if not has_stopped:
        findings.append(f"{first.name} outlived its grace period")
    return findings


async def _check_end(
    callers: callers_lib.Callers, world: world_lib.World
) -> list[str]:
    """Check jobs, keys, and all that callers and endpoints saw."""
    findings: list[str] = []
    if not await _serves(callers, world, RECOVERED_S):
        findings.append("not served after a restart")
    until = time.monotonic() + FINISHED_S
    for job in callers.jobs:
        while job.is_accepted() and len(job.results) < len(job.items):
            for one in world.get_gateways():
                await callers.read_job(one, job)
            if time.monotonic() > until:
                break
            await anyio.sleep(callers_lib.READ_EVERY_S)
    await world.configure((world_lib.KEY,))
    await anyio.sleep(CONFIGURED_S)
    async with callers.make_client() as client:
        for one in world.get_gateways():
            answer = await callers.call(
                client, one.callers_address, "/plain/", world_lib.SECOND_KEY
            )
            if answer.status != UNAUTHORIZED:
                findings.append(
                    f"{answer.id}: a withdrawn key gave {answer.status}"
                )
    findings += checks.check_attempts(callers, world)
    findings += checks.check_endpoints(callers, world)
    findings += checks.check_jobs(callers, world)
    return findings
