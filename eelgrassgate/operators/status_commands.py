"""Commands that show the state of the fleet or of one entry."""

from collections.abc import Iterator
from typing import Any
from typing import Final

from absl import flags
import httpx
import msgspec
from returns import result

from eelgrassgate.config import reports
from eelgrassgate.metrics import histograms
from eelgrassgate.metrics import recorder
from eelgrassgate.operators import api
from eelgrassgate.operators import command
from eelgrassgate.operators import exit_codes
from eelgrassgate.operators import stores
from eelgrassgate.store import base as store_base

HTTP_TIMEOUT_S: Final = 10.0


def _define(values: flags.FlagValues) -> None:
    stores.define_store(values)
    flags.DEFINE_string(
        "entry",
        "",
        "Query this entry instead: base URL of its `operators_listen`.",
        flag_values=values,
    )


def _run(values: Any) -> int:
    if values.entry:
        return _run_entry(values.entry)

    async def work(store: store_base.Store) -> int:
        snapshot = await stores.read_snapshot(store)
        if snapshot is None:
            return exit_codes.UNAVAILABLE
        response = await reports.read_all(store)
        if isinstance(response, result.Failure):
            command.print_errors((f"store: {response.failure().message}",))
            return exit_codes.UNAVAILABLE
        revision = snapshot.head.revision
        print(f"configuration revision={revision}")
        command.print_lines(_render_reports(response.unwrap(), revision))
        return exit_codes.OK

    return stores.run(values.store, work)


def _render_reports(
    zone_reports: tuple[reports.ZoneReport, ...], revision: int
) -> Iterator[str]:
    for report in zone_reports:
        behind = sum(
            row.revision < revision for row in report.rows_by_name.values()
        )
        yield (
            f"zone {report.zone} instances={len(report.rows_by_name)}"
            f" behind={behind} reported_by={report.writer}"
        )
        for name, row in report.rows_by_name.items():
            state = "in force" if row.revision >= revision else "behind"
            yield f"  {name} revision={row.revision} {state}"


def _run_entry(url: str) -> int:
    try:
        response = httpx.get(url + api.STATUS_PATH, timeout=HTTP_TIMEOUT_S)
        response.raise_for_status()
        status = msgspec.json.decode(response.content, type=api.Status)
    except (httpx.HTTPError, msgspec.DecodeError) as error:
        command.print_errors((f"{url}: {error}",))
        return exit_codes.UNAVAILABLE
    command.print_lines(_render_entry(status))
    return exit_codes.OK


def _render_entry(status: api.Status) -> Iterator[str]:
    ready = "ready" if status.is_ready else "not ready"
    confirmed = "never"
    if status.confirmed_ago_ms is not None:
        confirmed = f"{status.confirmed_ago_ms / 1000:.1f}s ago"
    yield (
        f"{status.instance} zone={status.zone} {ready}"
        f" revision={status.revision} confirmed={confirmed}"
    )
    yield "endpoints"
    for endpoint in status.endpoints:
        yield "  " + _render_endpoint(endpoint)
    if status.figures is not None:
        yield from _render_figures(status.figures)


def _render_figures(figures: recorder.Snapshot) -> Iterator[str]:
    """Yield the histograms and counters; empty sections are left out."""
    if figures.present:
        yield f"times of the last {figures.interval_s:.0f}s, ms"
        yield from map(_render_summary, figures.present)
    if figures.previous:
        yield "times of the previous interval, ms"
        yield from map(_render_summary, figures.previous)
    if figures.counts:
        yield "counts since the start"
    for count in figures.counts:
        yield f"  {count.name} {count.workspace or '-'} {count.total}"


def _render_summary(summary: histograms.Summary) -> str:
    return (
        f"  {summary.workspace} {summary.klass} {summary.measure}"
        f" n={summary.count} p50={summary.p50_ms} p95={summary.p95_ms}"
        f" p99={summary.p99_ms} max={summary.max_ms}"
    )


def _render_endpoint(endpoint: api.Endpoint) -> str:
    name = endpoint.endpoint or "?"
    state = "connected" if endpoint.is_connected else "not connected"
    text = f"{name} agent={endpoint.agent} zone={endpoint.zone} {state}"
    load = endpoint.load
    if load is None:
        return text
    leaving = " leaving" if load.is_leaving else ""
    return (
        f"{text}{leaving} window={load.window} wait_ms={load.wait_ms}"
        f" online={load.online_running}+{load.online_queued}"
        f" batch={load.batch_running}+{load.batch_queued}"
    )


def _define_forget(values: flags.FlagValues) -> None:
    stores.define_store(values)
    flags.DEFINE_string(
        "zone",
        None,
        "The zone that was removed permanently.",
        flag_values=values,
    )


def _run_forget(values: Any) -> int:
    async def work(store: store_base.Store) -> int:
        response = await reports.forget(store, values.zone)
        if isinstance(response, result.Failure):
            error = response.failure()
            command.print_errors((f"store: {error.message}",))
            is_unknown = error.fault is store_base.Fault.UNKNOWN
            return exit_codes.UNKNOWN if is_unknown else exit_codes.UNAVAILABLE
        if not response.unwrap():
            command.print_errors((f"zone {values.zone}: no such report",))
            return exit_codes.FINDINGS
        print(f"forgot zone {values.zone}")
        return exit_codes.OK

    return stores.run(values.store, work)


FORGET = command.Command(
    words="zone forget",
    summary=(
        "Stop waiting for the instances of a zone that was removed permanently."
    ),
    details="""
Otherwise `key withdraw` waits each time until they are no longer allowed to
serve. A zone that still has an instance reports itself again.

Example: eelgrassgate zone forget --zone cornwall-b
""",
    define=_define_forget,
    run=_run_forget,
    required=("zone",),
)
STATUS = command.Command(
    words="status",
    summary="Show instances and revisions, or one entry's queues and times.",
    details="""
Without --entry:
Reads what the first instance of each zone reports to the store. An instance
that is not connected stays listed, with what was last heard of it, until the
platform's list drops it.

With --entry: each endpoint's work as running+queued, and the histograms of
each workspace as that entry sees them.

Example: eelgrassgate status --entry http://10.0.0.5:8090
""",
    define=_define,
    run=_run,
)
