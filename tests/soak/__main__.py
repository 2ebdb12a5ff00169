"""Runs the soak with many seeds: `python -m tests.soak --seeds 50`."""

import random
import sys

from absl import app
from absl import flags
import anyio

from tests.soak import scenario

SEED_COUNT = flags.DEFINE_integer("seeds", 10, "Number of seeds to run.")
FIRST_SEED = flags.DEFINE_integer(
    "first", -1, "First seed; -1 chooses one at random."
)
JOB_COUNT = flags.DEFINE_integer("jobs", 3, "Number of concurrent scenarios.")
# Each job listens on a loopback network 127.N.0.0 of its own; the jobs take
# consecutive values of N.
FIRST_NETWORK = flags.DEFINE_integer(
    "network", 20, "N of the first job's 127.N.0.0."
)


async def _run_all(first: int) -> list[scenario.Report]:
    reports: list[scenario.Report] = []
    pending = list(range(first, first + SEED_COUNT.value))

    async def run_next(network: int) -> None:
        while pending:
            report = await scenario.run_scenario(pending.pop(0), network)
            reports.append(report)
            state = "failed" if report.violations else "passed"
            print(
                f"{report.seed} {state} {report.completed}/{report.sent}"
                f" max timer delay {report.max_timer_delay_s:.2f} s"
            )
            for line in (
                [*report.faults, *report.violations, report.log_folder]
                if report.violations
                else []
            ):
                print(f"    {line}", flush=True)

    async with anyio.create_task_group() as tasks:
        for number in range(JOB_COUNT.value):
            tasks.start_soon(run_next, FIRST_NETWORK.value + number)
    return reports


def main(argv: list[str]) -> int:
    """Run the seeds; return 1 if any scenario failed."""
    del argv
    first = FIRST_SEED.value
    if first < 0:
        first = random.SystemRandom().randrange(1_000_000)
    reports = anyio.run(_run_all, first)
    failed = [one.seed for one in reports if one.violations]
    print(f"{len(reports)} seeds from {first}, failed: {sorted(failed)}")
    return 1 if failed else 0


if __name__ == "__main__":
    app.run(lambda argv: sys.exit(main(argv)))
