"""Commands for batch jobs; they access only the store."""

import datetime
from typing import Any
from typing import Final

from absl import flags
import msgspec
from returns import result

from eelgrassgate import outcomes
from eelgrassgate.jobs import records
from eelgrassgate.jobs import submission
from eelgrassgate.operators import command
from eelgrassgate.operators import exit_codes
from eelgrassgate.operators import stores
from eelgrassgate.store import base as store_base

DEFAULT_LIST_LIMIT: Final = 100

_EXIT_CODES_BY_REFUSAL_CODE: Final = {
    outcomes.Code.STORE_UNAVAILABLE: exit_codes.UNAVAILABLE,
    outcomes.Code.CONFLICT: exit_codes.PENDING,
}


def _define_workspace(values: flags.FlagValues) -> None:
    stores.define_store(values)
    flags.DEFINE_string(
        "workspace", None, "The workspace of the jobs.", flag_values=values
    )


def _define_list(values: flags.FlagValues) -> None:
    _define_workspace(values)
    flags.DEFINE_integer(
        "limit",
        DEFAULT_LIST_LIMIT,
        "Most jobs to list.",
        lower_bound=1,
        flag_values=values,
    )
    flags.DEFINE_string(
        "after", "", "Id of the job after which to begin.", flag_values=values
    )


def _define_job(values: flags.FlagValues) -> None:
    _define_workspace(values)
    flags.DEFINE_string("job", None, "The job's id.", flag_values=values)


def _run_list(values: Any) -> int:
    async def work(store: store_base.Store) -> int:
        async for response in submission.list_jobs(
            store, values.workspace, after=values.after, limit=values.limit
        ):
            if isinstance(response, result.Failure):
                return _report_refusal(response.failure())
            print(_render(response.unwrap()))
        return exit_codes.OK

    return stores.run(values.store, work)


def _run_show(values: Any) -> int:
    async def work(store: store_base.Store) -> int:
        response = await submission.show_job(
            store, values.workspace, values.job
        )
        if isinstance(response, result.Failure):
            return _report_refusal(response.failure())
        encoded = msgspec.json.encode(response.unwrap())
        print(msgspec.json.format(encoded, indent=2).decode())
        return exit_codes.OK

    return stores.run(values.store, work)


def _run_cancel(values: Any) -> int:
    async def work(store: store_base.Store) -> int:
        response = await submission.cancel_job(
            store, values.workspace, values.job
        )
        if isinstance(response, result.Failure):
            return _report_refusal(response.failure())
        print(_render(response.unwrap()))
        return exit_codes.OK

    return stores.run(values.store, work)


def _render(view: records.JobView) -> str:
    job = view.record
    return (
        f"{job.job} state={view.state.value} items={job.items}"
        f" done={view.done} failed={view.failed} due={_format_time(job.due)}"
    )


def _format_time(instant_s: float) -> str:
    moment = datetime.datetime.fromtimestamp(instant_s, datetime.UTC)
    return moment.isoformat(timespec="seconds")


def _report_refusal(refusal: outcomes.Refusal) -> int:
    command.print_errors((f"{refusal.code.value}: {refusal.message}",))
    return _EXIT_CODES_BY_REFUSAL_CODE.get(refusal.code, exit_codes.FINDINGS)


LIST = command.Command(
    words="jobs list",
    summary="List a workspace's batch jobs with their progress.",
    details="""
One line for each job. `--after` takes the last id of the page before.

Example: eelgrassgate jobs list --workspace front-desk
""",
    define=_define_list,
    run=_run_list,
    required=("workspace",),
)
SHOW = command.Command(
    words="jobs show",
    summary="Show all that is kept about a job, as JSON.",
    details="""
Example: eelgrassgate jobs show --workspace front-desk --job batch_1
""",
    define=_define_job,
    run=_run_show,
    required=("workspace", "job"),
)
CANCEL = command.Command(
    words="jobs cancel",
    summary="Cancel a job and wait until none of its items can start.",
    details="""
Exit code 6 means that the cancel is recorded but the job's owner has not
confirmed it yet; try again.

Example: eelgrassgate jobs cancel --workspace front-desk --job batch_1
""",
    define=_define_job,
    run=_run_cancel,
    required=("workspace", "job"),
)
