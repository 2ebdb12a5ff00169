"""Checks of the guarantees against the records of callers and endpoints."""

from collections import Counter
from typing import Final

from eelgrassgate.standins import endpoint as endpoint_lib
from tests.soak import callers as callers_lib
from tests.soak import environment as environment_lib

OK_STATUS: Final = 200
# These statuses guarantee that a request has not run and never will.
NOT_RUN_STATUSES: Final = frozenset({408, 421, 429, 503})
FAILED_STATUS: Final = 500
MAX_ATTEMPTS: Final = 3
AT_MOST_ONCE_PATHS: Final = ("/once/", "/stream/")
FULL_RESPONSE: Final = endpoint_lib.write_stream(environment_lib.EVENTS)
FULL_TEXT: Final = "\n".join(
    f"word-{number}" for number in range(1, environment_lib.EVENTS + 1)
)


def check_requests(
    callers: callers_lib.Callers, environment: environment_lib.Environment
) -> list[str]:
    """Return the violated guarantees of online requests, with request ids."""
    runs = Counter(run.id for one in environment.endpoints for run in one.runs)
    violations: list[str] = []
    for one in callers.requests:
        run_count = runs[one.id]
        if one.path.startswith(AT_MOST_ONCE_PATHS) and run_count > 1:
            violations.append(f"{one.id} {one.path} ran {run_count} times")
        if one.status in NOT_RUN_STATUSES and run_count:
            violations.append(f"{one.id} has status {one.status} but ran")
        if one.status != OK_STATUS:
            continue
        if one.signature != callers_lib.compute_signature(one.body):
            violations.append(f"{one.id} got the response of another request")
        if one.is_complete and one.response != FULL_RESPONSE:
            violations.append(
                f"{one.id} got a wrong response: {one.response!r}"
            )
    return violations


def check_endpoints(
    callers: callers_lib.Callers, environment: environment_lib.Environment
) -> list[str]:
    """Return the violated guarantees about what reaches an endpoint."""
    bodies_by_id = {one.id: one.body for one in callers.requests}
    for job in callers.jobs:
        bodies_by_id.update((item, item.encode()) for item in job.items)
    violations: list[str] = []
    for one in environment.endpoints:
        for run in one.runs:
            incoming = run.incoming
            if incoming.get(b"authorization") is not None:
                violations.append(
                    f"{run.id} reached an endpoint with its caller's key"
                )
            if incoming.get(b"tenant") != environment_lib.WORKSPACE.encode():
                violations.append(f"{run.id} ran for a wrong workspace")
            if bodies_by_id.get(run.id) != incoming.body:
                violations.append(
                    f"{run.id} ran with a body that no caller sent"
                )
    return violations


def check_jobs(
    callers: callers_lib.Callers, environment: environment_lib.Environment
) -> list[str]:
    """Return the violated guarantees of batch jobs."""
    runs = Counter(run.id for one in environment.endpoints for run in one.runs)
    failures = Counter(
        run.id
        for one in environment.endpoints
        for run in one.runs
        if run.status == FAILED_STATUS
    )
    violations: list[str] = []
    for job in callers.jobs:
        violations.extend(
            f"{job.id}: result changed between reads at {one}"
            for one in job.mismatches
        )
        if not job.is_accepted():
            is_refused = all(one in NOT_RUN_STATUSES for one in job.statuses)
            if is_refused and any(runs[item] for item in job.items):
                violations.append(f"{job.id} ran although it was refused")
            continue
        listed = [one["id"] for one in job.results.values()]
        if sorted(listed) != sorted(job.items):
            violations.append(
                f"{job.id} has results of {listed}, expected {job.items}"
            )
        for one in job.results.values():
            if one["state"] == "completed":
                if one["text"] != FULL_TEXT:
                    violations.append(
                        f"{one['id']} has a wrong result: {one['text']!r}"
                    )
            elif failures[one["id"]] < MAX_ATTEMPTS:
                violations.append(f"{one['id']} failed before its last attempt")
    return violations
