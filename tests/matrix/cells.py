"""Cells of the fault matrix: steps, faults, cases, and checks of a run."""

from collections import Counter
from collections.abc import Iterator
import itertools
import json
import random

import anyio
import msgspec

from tests.matrix import agents
from tests.matrix import simulation as simulation_lib
from tests.matrix import virtual_time

SEED = 20
REPEATABLE_ITEMS = 16
ONCE_ITEMS = 16
PAIR_RUNS = 2
MAX_PAIR_CASES = 10
NOT_INJECTED = "fault was not injected"
OBSERVATION_S = 6.0
TRIGGER_TIMEOUT_S = 20.0

STEPS = (
    "receive",
    "store",
    "acknowledge",
    "claim",
    "dispatch",
    "run",
    "answer",
    "commit",
    "read",
    "cancel",
    "hand over",
)

FAULTS = (
    "kill",
    "pause",
    "lost",
    "doubled",
    "late",
    "crossed",
    "silent",
    "store down",
    "store slow",
    "reply lost",
    "endpoint gone",
    "old fence",
    "resent",
    "cancelled",
)

TITLES = {
    "kill": "kill",
    "pause": "pause longer than the lease",
    "lost": "message lost",
    "doubled": "message doubled",
    "late": "message late",
    "crossed": "message crossed",
    "silent": "connection silent",
    "reply lost": "store reply lost after taking effect",
    "old fence": "old fence ignored by the endpoint",
    "resent": "client resends",
    "cancelled": "cancel at this step",
}

CALLER_STEPS = frozenset({"receive", "store", "acknowledge", "read", "cancel"})
OWNER_STEPS = frozenset({"dispatch", "run", "answer", "commit"})
STEPS_WITHOUT_WRITE = frozenset({"acknowledge", "run", "answer", "read"})

DELAYED_FAULTS = frozenset({"late", "pause", "old fence"})
TAKEOVER_FAULTS = frozenset({"kill", "pause", "old fence"})

ONE_EXCHANGE_REASON = "a caller's connection carries one exchange at a time"
DUPLICATE_DROPPED_REASON = (
    "a second answer to an attempt is dropped below the job code"
)
NO_MESSAGE_REASON = "no message is sent while an attempt runs"
NO_WRITE_REASON = "the step writes nothing to the store"
NO_JOB_ID_REASON = "the caller does not yet have a job's id to cancel"
NO_CALL_REASON = "no order goes to an endpoint at this step"


class Case(msgspec.Struct, frozen=True):
    """One case of a cell or pair: the faults that are injected in a run."""

    planned_faults: tuple[simulation_lib.PlannedFault, ...]

    def describe(self) -> str:
        return " + ".join(
            f"{one.fault} {one.phase} {one.step} {one.kind}".strip()
            for one in self.planned_faults
        )


def explain_inapplicable(step: str, fault: str) -> str:
    """Return why a cell is not applicable, or an empty string if it is."""
    if fault in simulation_lib.MESSAGE_FAULTS and step == "run":
        return NO_MESSAGE_REASON
    if fault == "doubled" and step == "answer":
        return DUPLICATE_DROPPED_REASON
    if fault == "crossed" and step in CALLER_STEPS:
        return ONE_EXCHANGE_REASON
    if fault == "reply lost" and step in STEPS_WITHOUT_WRITE:
        return NO_WRITE_REASON
    if fault == "cancelled" and step in {"receive", "store"}:
        return NO_JOB_ID_REASON
    if fault == "old fence" and step in CALLER_STEPS - {"cancel"}:
        return NO_CALL_REASON
    return ""


def iterate_cases(step: str, fault: str) -> Iterator[Case]:
    """Yield the cases of a cell."""
    if fault in simulation_lib.MESSAGE_FAULTS:
        yield from _iterate_message_cases(step, fault)
        return
    if fault == "reply lost":
        injection_step = "intent" if step == "dispatch" else step
        yield Case((simulation_lib.PlannedFault(injection_step, fault),))
        return
    phases = ("before",) if step == "run" else ("before", "after")
    kinds = ("once", "repeatable") if step in _STEPS_BY_KIND else ("",)
    for phase, kind in itertools.product(phases, kinds):
        yield Case((simulation_lib.PlannedFault(step, fault, phase, kind),))


_STEPS_BY_KIND = frozenset({"dispatch", "run", "answer"})


def _iterate_message_cases(step: str, fault: str) -> Iterator[Case]:
    injection_step = {
        "claim": "inquire",
        "hand over": "inquire",
        "commit": "settle",
    }
    if step == "acknowledge":
        # The message of this step is the reply to the submission.
        yield Case((simulation_lib.PlannedFault("store", fault),))
    elif step == "cancel":
        yield Case((simulation_lib.PlannedFault(step, fault),))
        if fault == "doubled":
            return
        # The same fault in the cancel messages from the owner to agents.
        yield Case(
            (
                simulation_lib.PlannedFault("stop", fault),
                simulation_lib.PlannedFault("cancel", "none"),
            )
        )
    elif step in _STEPS_BY_KIND:
        for kind in ("once", "repeatable"):
            yield Case((simulation_lib.PlannedFault(step, fault, kind=kind),))
    elif step == "hand over":
        yield Case(
            (
                simulation_lib.PlannedFault("inquire", fault),
                simulation_lib.PlannedFault("hand over", "none"),
            )
        )
    else:
        yield Case(
            (
                simulation_lib.PlannedFault(
                    injection_step.get(step, step), fault
                ),
            )
        )


def iterate_cells() -> Iterator[tuple[str, str]]:
    """Yield the applicable cells."""
    for fault, step in itertools.product(FAULTS, STEPS):
        if not explain_inapplicable(step, fault):
            yield step, fault


def iterate_fixed_pairs() -> Iterator[Case]:
    """Yield pairs of related faults that don't depend on the seed."""
    for phase in ("before", "after"):
        old = simulation_lib.PlannedFault(
            "dispatch", "old fence", phase, "repeatable"
        )
        stop = simulation_lib.PlannedFault(
            "run", "cancelled", kind="repeatable"
        )
        yield Case((old, stop))
        once = simulation_lib.PlannedFault("dispatch", "kill", phase, "once")
        yield Case(
            (
                once,
                simulation_lib.PlannedFault("claim", "endpoint gone", "before"),
            )
        )


def iterate_pairs(first: str, second: str) -> Iterator[Case]:
    """Yield cases with two faults, at steps chosen by a fixed seed.

    The cases don't end, so that `run_pair` can skip those in which one fault
    prevents the other.
    """
    rng = random.Random(f"{SEED}/{first}/{second}")
    cases = [
        [
            case
            for step, fault in iterate_cells()
            if fault == wanted_fault
            for case in iterate_cases(step, fault)
        ]
        for wanted_fault in (first, second)
    ]
    while True:
        one, other = (rng.choice(each) for each in cases)
        yield Case(one.planned_faults + other.planned_faults)


def _make_lines() -> dict[str, list[str]]:
    return {
        "repeatable": [
            _make_line(f"r{i}", "poison" if i == 3 else "good")
            for i in range(REPEATABLE_ITEMS)
        ],
        "once": [_make_line(f"o{i}", "good") for i in range(ONCE_ITEMS)],
    }


def _make_line(custom_id: str, text: str) -> str:
    body = {"id": custom_id, "text": text}
    line = {"custom_id": custom_id, "method": "POST", "url": "/v1/x"}
    return json.dumps(line | {"body": body})


def run_case(case: Case, seed: int = SEED) -> list[str]:
    """Run a case in virtual time; return the failed checks."""
    return virtual_time.run(_run, case, seed)


async def _run(case: Case, seed: int) -> list[str]:
    async with anyio.create_task_group() as tasks:
        runtime = virtual_time.create_runtime(seed)
        simulation = simulation_lib.Simulation(
            tasks, runtime, case.planned_faults, seed
        )
        client = simulation_lib.Client(simulation, _make_lines())
        for entry in simulation.entries:
            tasks.start_soon(entry.run)
        tasks.start_soon(_trigger_steps, case, simulation, client)
        failures: list[str] = []
        with anyio.move_on_after(simulation_lib.MAX_RUN_S) as scope:
            await client.run()
            # Late messages and paused owners may still cause failures.
            is_delayed = any(
                planned.fault in DELAYED_FAULTS
                for planned in case.planned_faults
            )
            await anyio.sleep(
                simulation_lib.PAUSE_S if is_delayed else OBSERVATION_S
            )
        if scope.cancelled_caught:
            failures.append("did not finish")
        failures.extend(_check(simulation, client))
        tasks.cancel_scope.cancel()
    return failures


async def _trigger_steps(
    case: Case,
    simulation: simulation_lib.Simulation,
    client: simulation_lib.Client,
) -> None:
    """Trigger the steps that need a kill, a drain or a cancel to occur."""
    steps = {planned.step for planned in case.planned_faults}
    with anyio.move_on_after(TRIGGER_TIMEOUT_S):
        while len(simulation.answered_kinds) < len(client.lines_by_kind):
            await anyio.sleep(0.1)
    if not simulation.starts:
        return
    call = simulation.starts[0][1]
    owner = simulation.find_owner(call)
    if "hand over" in steps and owner:
        simulation.planned_faults = [
            planned
            for planned in simulation.planned_faults
            if planned.fault != "none"
        ]
        await owner.owner.drain(anyio.current_time() + 60.0)
        simulation.kill(owner)
    elif steps & {"claim", "inquire"} and owner and not _has_takeover(case):
        simulation.kill(owner)
    if "cancel" in steps:
        await client.cancel_all()


def _has_takeover(case: Case) -> bool:
    """Return whether another fault makes a slot change its owner."""
    return any(
        planned.fault in TAKEOVER_FAULTS and planned.step in OWNER_STEPS
        for planned in case.planned_faults
    )


def _check(
    simulation: simulation_lib.Simulation, client: simulation_lib.Client
) -> Iterator[str]:
    if simulation.planned_faults:
        yield f"{NOT_INJECTED}: {simulation.planned_faults[0]}"
    for kind in client.false_refusals:
        yield f"{kind}: refused as not run, but created"
    starts = Counter(call.item for _, call in simulation.starts)
    for kind in client.lines_by_kind:
        jobs = client.jobs_by_kind.get(kind, set())
        if len(jobs) != 1:
            yield f"{kind}: {len(jobs)} jobs"
            continue
        (job,) = jobs
        yield from _check_job(simulation, client, kind, job, starts)
        yield from _check_cancellation(simulation, client, job)
    for name in client.simulation.memory._records_by_key:
        if name.startswith("jobs/live/open/"):
            yield f"still open: {name}"


def _check_job(
    simulation: simulation_lib.Simulation,
    client: simulation_lib.Client,
    kind: str,
    job: str,
    starts: Counter[str],
) -> Iterator[str]:
    lines = client.results_by_kind.get(kind, [])
    expected_ids = [
        json.loads(line)["custom_id"] for line in client.lines_by_kind[kind]
    ]
    counts = Counter(str(line["custom_id"]) for line in lines)
    if sorted(counts) != sorted(expected_ids):
        yield f"{kind}: missing {sorted(set(expected_ids) - set(counts))}"
    if any(count > 1 for count in counts.values()):
        yield f"{kind}: more than one result for an item"
    is_cancelled = job in client.cancel_requested
    for line in lines:
        index = expected_ids.index(line["custom_id"])
        runs = starts[f"{job}/{index}"]
        yield from _check_line(kind, line, runs, is_cancelled)


def _check_line(
    kind: str, line: dict[str, object], runs: int, is_cancelled: bool
) -> Iterator[str]:
    name = line["custom_id"]
    error = line["error"]
    response = line["response"]
    if kind == "once" and runs > 1:
        yield f"{name}: ran {runs} times"
    if isinstance(error, dict):
        if error["ran"] == "not_run" and runs:
            yield f"{name}: reported as not run, but ran"
        if kind == "repeatable" and not is_cancelled:
            yield f"{name}: {error}"
        return
    assert isinstance(response, dict)
    if not runs:
        yield f"{name}: has a response but never ran"
    body = response["body"]
    if response["status_code"] == 200:
        if body["echo"]["id"] != name:
            yield f"{name}: has the response of another item"
    elif agents.POISON.decode() not in json.dumps(line) and name != "r3":
        yield f"{name}: failed"


def _check_cancellation(
    simulation: simulation_lib.Simulation,
    client: simulation_lib.Client,
    job: str,
) -> Iterator[str]:
    cancelled_at = client.cancelled_at_by_job.get(job)
    if cancelled_at is None:
        return
    for started_at, call in simulation.starts:
        if call.job == job and started_at > cancelled_at:
            yield f"{call.item}: started after its cancellation"


def run_pair(first: str, second: str) -> Iterator[tuple[Case, list[str]]]:
    """Run cases with two faults; yield those that injected both."""
    for case in itertools.islice(iterate_pairs(first, second), MAX_PAIR_CASES):
        failures = run_case(case)
        if not any(text.startswith(NOT_INJECTED) for text in failures):
            yield case, failures
