"""The fault matrix: which fault can happen at which step, and the checks."""

from collections import Counter
from collections.abc import Iterator
import itertools
import json
import random

import anyio
import msgspec

from tests.matrix import agents
from tests.matrix import virtual
from tests.matrix import world

SEED = 20
REPEATABLE_ITEMS = 16
ONCE_ITEMS = 16
PAIR_RUNS = 2
PAIR_DRAWS = 10
NEVER = "never came to pass"
AFTERMATH_S = 6.0
SCENE_S = 20.0

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
NO_WRITE = frozenset({"acknowledge", "run", "answer", "read"})

DELAYED = frozenset({"late", "pause", "old fence"})
TAKEOVERS = frozenset({"kill", "pause", "old fence"})

A_ONE_EXCHANGE = "a caller's connection carries one exchange at a time"
A_MATCHED = "a second answer to an attempt is dropped below the job code"
A_NO_MESSAGE = "no message is sent while an attempt runs"
A_NO_WRITE = "the step writes nothing to the store"
A_NO_JOB = "the caller does not yet have a job's id to cancel"
A_NO_ORDER = "no order goes to an endpoint at this step"


class Run(msgspec.Struct, frozen=True):
    """One run of a cell."""

    plans: tuple[world.Plan, ...]

    def describe(self) -> str:
        return " + ".join(
            f"{plan.fault} {plan.phase} {plan.step} {plan.kind}".strip()
            for plan in self.plans
        )


def explain(step: str, fault: str) -> str:
    """Return why a cell is not applicable; empty if it is."""
    if fault in world.MESSAGE_FAULTS and step == "run":
        return A_NO_MESSAGE
    if fault == "doubled" and step == "answer":
        return A_MATCHED
    if fault == "crossed" and step in CALLER_STEPS:
        return A_ONE_EXCHANGE
    if fault == "reply lost" and step in NO_WRITE:
        return A_NO_WRITE
    if fault == "cancelled" and step in {"receive", "store"}:
        return A_NO_JOB
    if fault == "old fence" and step in CALLER_STEPS - {"cancel"}:
        return A_NO_ORDER
    return ""


def iterate_runs(step: str, fault: str) -> Iterator[Run]:
    """Yield the runs of a cell."""
    if fault in world.MESSAGE_FAULTS:
        yield from _iterate_message_runs(step, fault)
        return
    if fault == "reply lost":
        real = "intent" if step == "dispatch" else step
        yield Run((world.Plan(real, fault),))
        return
    phases = ("before",) if step == "run" else ("before", "after")
    kinds = ("once", "repeatable") if step in _BY_KIND else ("",)
    for phase, kind in itertools.product(phases, kinds):
        yield Run((world.Plan(step, fault, phase, kind),))


_BY_KIND = frozenset({"dispatch", "run", "answer"})


def _iterate_message_runs(step: str, fault: str) -> Iterator[Run]:
    real = {"claim": "inquire", "hand over": "inquire", "commit": "settle"}
    if step == "acknowledge":
        # The message of this step is the reply to the caller.
        yield Run((world.Plan("store", fault),))
    elif step == "cancel":
        yield Run((world.Plan(step, fault),))
        if fault == "doubled":
            return
        # The same for what the owner sends to agents then.
        yield Run((world.Plan("stop", fault), world.Plan("cancel", "none")))
    elif step in _BY_KIND:
        for kind in ("once", "repeatable"):
            yield Run((world.Plan(step, fault, kind=kind),))
    elif step == "hand over":
        yield Run(
            (world.Plan("inquire", fault), world.Plan("hand over", "none"))
        )
    else:
        yield Run((world.Plan(real.get(step, step), fault),))


def iterate_cells() -> Iterator[tuple[str, str]]:
    """Yield the applicable cells."""
    for fault, step in itertools.product(FAULTS, STEPS):
        if not explain(step, fault):
            yield step, fault


def iterate_hard_pairs() -> Iterator[Run]:
    """Yield pairs that belong together, whatever the seed chooses."""
    for phase in ("before", "after"):
        old = world.Plan("dispatch", "old fence", phase, "repeatable")
        stop = world.Plan("run", "cancelled", kind="repeatable")
        yield Run((old, stop))
        once = world.Plan("dispatch", "kill", phase, "once")
        yield Run((once, world.Plan("claim", "endpoint gone", "before")))


def iterate_pairs(first: str, second: str) -> Iterator[Run]:
    """Yield runs of two faults together, at steps chosen by a fixed seed.

    Where one fault keeps the other from coming to pass, others are chosen.
    """
    chance = random.Random(f"{SEED}/{first}/{second}")
    runs = [
        [
            run
            for step, fault in iterate_cells()
            if fault == wanted
            for run in iterate_runs(step, fault)
        ]
        for wanted in (first, second)
    ]
    while True:
        one, other = (chance.choice(each) for each in runs)
        yield Run(one.plans + other.plans)


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


def run(case: Run, seed: int = SEED) -> list[str]:
    """Run a case in virtual time; return what is wrong."""
    return virtual.run(_run, case, seed)


async def _run(case: Run, seed: int) -> list[str]:
    async with anyio.create_task_group() as tasks:
        runtime = virtual.create_runtime(seed)
        here = world.World(tasks, runtime, case.plans, seed)
        client = world.Client(here, _make_lines())
        for entry in here.entries:
            tasks.start_soon(entry.run)
        tasks.start_soon(_set_scene, case, here, client)
        wrong: list[str] = []
        with anyio.move_on_after(world.LONGEST_RUN_S) as scope:
            await client.run()
            # Late messages and paused owners may still do harm.
            is_delayed = any(plan.fault in DELAYED for plan in case.plans)
            await anyio.sleep(world.PAUSE_S if is_delayed else AFTERMATH_S)
        if scope.cancelled_caught:
            wrong.append("did not end")
        wrong.extend(_check(here, client))
        tasks.cancel_scope.cancel()
    return wrong


async def _set_scene(
    case: Run, here: world.World, client: world.Client
) -> None:
    """Bring about the steps that do not come by themselves."""
    steps = {plan.step for plan in case.plans}
    with anyio.move_on_after(SCENE_S):
        while len(here.answered) < len(client.lines_by_kind):
            await anyio.sleep(0.1)
    if not here.starts:
        return
    call = here.starts[0][1]
    owner = here._find_owner(call)
    if "hand over" in steps and owner:
        here.plans = [plan for plan in here.plans if plan.fault != "none"]
        await owner.owner.drain(anyio.current_time() + 60.0)
        here.kill(owner)
    elif steps & {"claim", "inquire"} and owner and not _has_takeover(case):
        here.kill(owner)
    if "cancel" in steps:
        await client.cancel_all()


def _has_takeover(case: Run) -> bool:
    """Return whether another fault makes a slot change its owner."""
    return any(
        plan.fault in TAKEOVERS and plan.step in OWNER_STEPS
        for plan in case.plans
    )


def _check(here: world.World, client: world.Client) -> Iterator[str]:
    if here.plans:
        yield f"{NEVER}: {here.plans[0]}"
    for kind in client.false_refusals:
        yield f"{kind}: refused as not run, but accepted"
    starts = Counter(call.item for _, call in here.starts)
    for kind in client.lines_by_kind:
        jobs = client.jobs_by_kind.get(kind, set())
        if len(jobs) != 1:
            yield f"{kind}: {len(jobs)} jobs"
            continue
        (job,) = jobs
        yield from _check_job(here, client, kind, job, starts)
        yield from _check_stop(here, client, job)
    for name in client.world.memory._records_by_key:
        if name.startswith("jobs/live/open/"):
            yield f"left open: {name}"


def _check_job(
    here: world.World,
    client: world.Client,
    kind: str,
    job: str,
    starts: Counter[str],
) -> Iterator[str]:
    found = client.found_by_kind.get(kind, [])
    wanted = [
        json.loads(line)["custom_id"] for line in client.lines_by_kind[kind]
    ]
    counts = Counter(str(line["custom_id"]) for line in found)
    if sorted(counts) != sorted(wanted):
        yield f"{kind}: missing {sorted(set(wanted) - set(counts))}"
    if any(count > 1 for count in counts.values()):
        yield f"{kind}: answered twice"
    is_cancelled = job in client.asked
    for line in found:
        index = wanted.index(line["custom_id"])
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
            yield f"{name}: said not run, but ran"
        if kind == "repeatable" and not is_cancelled:
            yield f"{name}: {error}"
        return
    assert isinstance(response, dict)
    if not runs:
        yield f"{name}: answered but never ran"
    body = response["body"]
    if response["status_code"] == 200:
        if body["echo"]["id"] != name:
            yield f"{name}: another item's answer"
    elif agents.POISON.decode() not in json.dumps(line) and name != "r3":
        yield f"{name}: failed"


def _check_stop(
    here: world.World, client: world.Client, job: str
) -> Iterator[str]:
    stopped = client.stopped_by_job.get(job)
    if stopped is None:
        return
    for instant, call in here.starts:
        if call.job == job and instant > stopped:
            yield f"{call.item}: started after its cancel"


def run_pair(first: str, second: str) -> Iterator[tuple[Run, list[str]]]:
    """Run two faults together until they came to pass often enough."""
    for case in itertools.islice(iterate_pairs(first, second), PAIR_DRAWS):
        wrong = run(case)
        if not any(text.startswith(NEVER) for text in wrong):
            yield case, wrong
