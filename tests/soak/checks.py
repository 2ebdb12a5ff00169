"""The promises, checked from what callers and endpoints saw."""

from collections import Counter
from typing import Final

from eelgrassgate.standins import endpoint as endpoint_lib
from tests.soak import callers as callers_lib
from tests.soak import world as world_lib

OK: Final = 200
# These answers say that a request has not run and never will.
NOT_RUN: Final = frozenset({408, 421, 429, 503})
FAILED: Final = 500
ATTEMPTS: Final = 3
ONCE: Final = ("/once/", "/stream/")
WHOLE: Final = endpoint_lib.write_stream(world_lib.EVENTS)
TEXT: Final = "\n".join(
    f"word-{number}" for number in range(1, world_lib.EVENTS + 1)
)


def check_attempts(
    callers: callers_lib.Callers, world: world_lib.World
) -> list[str]:
    """Return each broken promise to an online caller, with its request."""
    runs = Counter(run.id for one in world.endpoints for run in one.runs)
    findings: list[str] = []
    for one in callers.attempts:
        ran = runs[one.id]
        if one.path.startswith(ONCE) and ran > 1:
            findings.append(f"{one.id} {one.path} ran {ran} times")
        if one.status in NOT_RUN and ran:
            findings.append(f"{one.id} was answered {one.status} and ran")
        if one.status != OK:
            continue
        if one.signature != callers_lib.sign(one.body):
            findings.append(f"{one.id} got another's answer")
        if one.is_whole and one.answer != WHOLE:
            findings.append(f"{one.id} got {one.answer!r}")
    return findings


def check_endpoints(
    callers: callers_lib.Callers, world: world_lib.World
) -> list[str]:
    """Return what reached an endpoint and should not have."""
    bodies_by_id = {one.id: one.body for one in callers.attempts}
    for job in callers.jobs:
        bodies_by_id.update((item, item.encode()) for item in job.items)
    findings: list[str] = []
    for one in world.endpoints:
        for run in one.runs:
            incoming = run.incoming
            if incoming.get(b"authorization") is not None:
                findings.append(f"{run.id} brought its caller's key")
            if incoming.get(b"tenant") != world_lib.WORKSPACE.encode():
                findings.append(f"{run.id} ran for another workspace")
            if bodies_by_id.get(run.id) != incoming.body:
                findings.append(f"{run.id} ran and nobody sent it so")
    return findings


def check_jobs(
    callers: callers_lib.Callers, world: world_lib.World
) -> list[str]:
    """Return each broken promise to a caller of a job."""
    runs = Counter(run.id for one in world.endpoints for run in one.runs)
    failures = Counter(
        run.id
        for one in world.endpoints
        for run in one.runs
        if run.status == FAILED
    )
    findings: list[str] = []
    for job in callers.jobs:
        findings.extend(f"{job.id} changed {one}" for one in job.contradictions)
        if not job.is_accepted():
            is_refused = all(one in NOT_RUN for one in job.statuses)
            if is_refused and any(runs[item] for item in job.items):
                findings.append(f"{job.id} was refused and ran")
            continue
        listed = [one["id"] for one in job.results.values()]
        if sorted(listed) != sorted(job.items):
            findings.append(f"{job.id} lists {listed}, not {job.items}")
        for one in job.results.values():
            if one["state"] == "completed":
                if one["text"] != TEXT:
                    findings.append(f"{one['id']} has {one['text']!r}")
            elif failures[one["id"]] < ATTEMPTS:
                findings.append(f"{one['id']} was given up too early")
    return findings
