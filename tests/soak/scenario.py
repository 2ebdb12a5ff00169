"""One soak scenario: start, inject faults, recover, check the guarantees."""

import pathlib
import tempfile
import time
from typing import Final

import anyio
import msgspec

from tests.soak import callers as callers_lib
from tests.soak import checks
from tests.soak import environment as environment_lib
from tests.soak import faults as faults_lib

MAX_START_S: Final = 10.0
FAULT_PHASE_S: Final = 5.0
FAULT_COUNT: Final = 6
# Bounds that users rely on, from the end of the last fault: instances reconnect
# within 4 s and requests are served within 12 s. Jobs end within 18 s, and a
# configuration takes effect within 3 s.
MAX_RECONNECT_S: Final = 4.0
MAX_RECOVERY_S: Final = 12.0
MAX_JOB_S: Final = 18.0
MAX_CONFIG_DELAY_S: Final = 3.0
JOB_COUNT: Final = 3
JOB_INTERVAL_S: Final = 1.5
PATHS: Final = ("/plain/", "/once/", "/stream/", "/resumable/")
CHECK_ROUNDS: Final = 10
TIMER_INTERVAL_S: Final = 0.05
OK_STATUS: Final = 200
UNAUTHORIZED_STATUS: Final = 401


class Report(msgspec.Struct):
    """Result of one scenario.

    Attributes:
        seed: The seed of the scenario.
        faults: Start time, name and duration of each injected fault, in order.
        sent: Number of online requests sent.
        completed: Number of online requests with a complete 200 response.
        violations: Violated guarantees.
        log_folder: Folder with the logs of the processes.
        max_timer_delay_s: Largest delay of a timer in this process. The
            stand-in endpoints share the process, so callers see this delay as
            latency of the system.
    """

    seed: int
    faults: list[str]
    sent: int
    completed: int
    violations: list[str]
    log_folder: str
    max_timer_delay_s: float = 0.0


async def run_scenario(seed: int, network: int) -> Report:
    """Run one scenario; logs stay in the folder that the report names."""
    log_folder = pathlib.Path(tempfile.mkdtemp(prefix=f"soak-{seed}-"))
    async with environment_lib.run_environment(
        log_folder, network
    ) as environment:
        callers = callers_lib.Callers(environment, seed)
        report = Report(seed, [], 0, 0, [], str(log_folder))
        if not await _wait_until_serving(callers, environment, MAX_START_S):
            report.violations.append("requests are not served after the start")
            return report
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(_measure_timer_delay, callers, report)
            for path in PATHS:
                tasks.start_soon(callers.run_online, path)
            tasks.start_soon(_submit_jobs, callers, tasks)
            report.faults = await faults_lib.inject_faults(
                environment, seed, FAULT_PHASE_S, FAULT_COUNT
            )
            report.violations += await _check_recovery(callers, environment)
        report.violations += await _check_final_state(callers, environment)
        report.sent = len(callers.requests)
        report.completed = sum(
            one.status == OK_STATUS and one.is_complete
            for one in callers.requests
        )
    return report


async def _measure_timer_delay(
    callers: callers_lib.Callers, report: Report
) -> None:
    while callers.is_sending:
        due = time.monotonic() + TIMER_INTERVAL_S
        await anyio.sleep(TIMER_INTERVAL_S)
        report.max_timer_delay_s = max(
            report.max_timer_delay_s, time.monotonic() - due
        )


async def _submit_jobs(
    callers: callers_lib.Callers, tasks: anyio.abc.TaskGroup
) -> None:
    for _ in range(JOB_COUNT):
        tasks.start_soon(callers.run_job)
        await anyio.sleep(JOB_INTERVAL_S)


async def _wait_until_serving(
    callers: callers_lib.Callers,
    environment: environment_lib.Environment,
    timeout_s: float,
) -> bool:
    """Return whether every gateway serves a request within `timeout_s`."""
    deadline = time.monotonic() + timeout_s
    pending = list(environment.get_gateways())
    async with callers.create_client() as client:
        while pending and time.monotonic() < deadline:
            address = pending[0].callers_address
            request = await callers.send_request(client, address, "/plain/")
            if request.status == OK_STATUS and request.is_complete:
                pending.pop(0)
            else:
                await anyio.sleep(callers_lib.REQUEST_INTERVAL_S)
    return not pending


async def _check_recovery(
    callers: callers_lib.Callers, environment: environment_lib.Environment
) -> list[str]:
    """Check the guarantees that hold after the last fault has ended."""
    violations: list[str] = []
    if not await _wait_until_serving(callers, environment, MAX_RECOVERY_S):
        violations.append(f"not served {MAX_RECOVERY_S} s after the faults")
    await anyio.sleep(MAX_RECONNECT_S)
    violations += [
        f"{one.name} exited unexpectedly"
        for one in environment.daemons_by_name.values()
        if one.has_exited_unexpectedly()
    ]
    async with callers.create_client() as client:
        for _ in range(CHECK_ROUNDS):
            for one in environment.get_gateways():
                for path in PATHS:
                    request = await callers.send_request(
                        client, one.callers_address, path
                    )
                    if request.status != OK_STATUS or not request.is_complete:
                        violations.append(
                            f"{request.id} after the faults:"
                            f" {request.status} {path}"
                        )
    violations += await _check_graceful_stop(callers, environment)
    return violations


async def _check_graceful_stop(
    callers: callers_lib.Callers, environment: environment_lib.Environment
) -> list[str]:
    """Restart a gateway gracefully while requests use its open connections.

    Responses that have started must complete. A request that the gateway has
    not read yet may find its connection closed.
    """
    first = environment.get_gateways()[0]
    before = len(callers.requests)
    has_stopped_in_time = await first.stop()
    first.start()
    callers.is_sending = False
    # Every request sent during the stop has its response or has timed out.
    await anyio.sleep(callers_lib.REQUEST_TIMEOUT_S)
    violations = [
        f"{one.id} was truncated by a graceful stop"
        for one in callers.requests[before:]
        if one.status == OK_STATUS and not one.is_complete
    ]
    if not has_stopped_in_time:
        violations.append(f"{first.name} did not exit within its grace period")
    return violations


async def _check_final_state(
    callers: callers_lib.Callers, environment: environment_lib.Environment
) -> list[str]:
    """Check jobs, withdrawn keys, and the records of callers and endpoints."""
    violations: list[str] = []
    if not await _wait_until_serving(callers, environment, MAX_RECOVERY_S):
        violations.append("requests are not served after a restart")
    deadline = time.monotonic() + MAX_JOB_S
    for job in callers.jobs:
        while job.is_accepted() and len(job.results) < len(job.items):
            for one in environment.get_gateways():
                await callers.read_job(one, job)
            if time.monotonic() > deadline:
                break
            await anyio.sleep(callers_lib.POLL_INTERVAL_S)
    await environment.write_config((environment_lib.KEY,))
    await anyio.sleep(MAX_CONFIG_DELAY_S)
    async with callers.create_client() as client:
        for one in environment.get_gateways():
            request = await callers.send_request(
                client,
                one.callers_address,
                "/plain/",
                environment_lib.SECOND_KEY,
            )
            if request.status != UNAUTHORIZED_STATUS:
                violations.append(
                    f"{request.id}: withdrawn key got {request.status}"
                )
    violations += checks.check_requests(callers, environment)
    violations += checks.check_endpoints(callers, environment)
    violations += checks.check_jobs(callers, environment)
    return violations
