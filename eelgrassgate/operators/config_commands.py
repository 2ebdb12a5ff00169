"""Commands for the fleet's configuration: check, diff, apply, show."""

from typing import Any

from absl import flags
import msgspec
from returns import result

from eelgrassgate.config import apply as apply_lib
from eelgrassgate.config import check as check_lib
from eelgrassgate.config import fleet as fleet_lib
from eelgrassgate.operators import command
from eelgrassgate.operators import exit_codes
from eelgrassgate.operators import stores
from eelgrassgate.store import base as store_base


def _define_files(values: flags.FlagValues) -> None:
    flags.DEFINE_string(
        "base",
        None,
        "The fleet's base file, JSON with comments.",
        flag_values=values,
    )
    flags.DEFINE_string(
        "overlay",
        "",
        "The site's overlay, merged over the base (RFC 7396).",
        flag_values=values,
    )


def _define_files_and_store(values: flags.FlagValues) -> None:
    _define_files(values)
    stores.define_store(values)


def _define_apply(values: flags.FlagValues) -> None:
    _define_files_and_store(values)
    flags.DEFINE_integer(
        "expect",
        None,
        "The revision that `diff` printed; 0 for the first apply.",
        lower_bound=0,
        flag_values=values,
    )


def _load(values: Any) -> fleet_lib.Fleet | None:
    """Load and check the files; print any findings and return None."""
    checked = check_lib.check(values.base, values.overlay)
    if isinstance(checked, result.Failure):
        command.print_errors(checked.failure().render())
        return None
    return checked.unwrap()


def _run_check(values: Any) -> int:
    fleet = _load(values)
    if fleet is None:
        return exit_codes.FINDINGS
    parts = (
        f"{len(fleet.workspaces)} workspaces",
        f"{len(fleet.keys)} keys",
        f"{len(fleet.models)} models",
        f"{len(fleet.endpoints)} endpoints",
        f"{len(fleet.routes)} routes",
    )
    print(f"ok: {', '.join(parts)}")
    return exit_codes.OK


def _run_diff(values: Any) -> int:
    fleet = _load(values)
    if fleet is None:
        return exit_codes.FINDINGS

    async def work(store: store_base.Store) -> int:
        snapshot = await stores.read_snapshot(store)
        if snapshot is None:
            return exit_codes.UNAVAILABLE
        print(f"revision {snapshot.head.revision}")
        for difference in apply_lib.compare(snapshot, fleet):
            print(difference.render())
        return exit_codes.OK

    return stores.run(values.store, work)


def _run_apply(values: Any) -> int:
    fleet = _load(values)
    if fleet is None:
        return exit_codes.FINDINGS

    async def work(store: store_base.Store) -> int:
        response = await apply_lib.apply(
            store, fleet, values.expect, stores.create_edit_id()
        )
        if isinstance(response, result.Failure):
            return stores.report_refusal(response.failure())
        done = response.unwrap()
        word = "applied as" if done.is_changed else "no change to"
        print(f"{word} revision {done.revision}")
        return exit_codes.OK

    return stores.run(values.store, work)


def _run_show(values: Any) -> int:
    if values.base is not None:
        fleet = _load(values)
        if fleet is None:
            return exit_codes.FINDINGS
        _print_json(fleet)
        return exit_codes.OK

    async def work(store: store_base.Store) -> int:
        snapshot = await stores.read_snapshot(store)
        if snapshot is None:
            return exit_codes.UNAVAILABLE
        _print_json(
            {
                "revision": snapshot.head.revision,
                "files_revision": snapshot.head.files_revision,
                "fleet": snapshot.build_fleet(),
            }
        )
        return exit_codes.OK

    return stores.run(values.store, work)


def _print_json(value: Any) -> None:
    encoded = msgspec.json.encode(value, order="sorted")
    print(msgspec.json.format(encoded, indent=2).decode())


CHECK = command.Command(
    words="check",
    summary="Check the files; print every finding with file and path.",
    details="""
Reads no store and changes nothing.

Example: eelgrassgate check --base base.json5 --overlay site.json5
""",
    define=_define_files,
    run=_run_check,
    required=("base",),
)
DIFF = command.Command(
    words="diff",
    summary="Show the store's revision and what an apply would change.",
    details="""
Prints `revision N`, then a line for each record: `+` added, `-` removed and
`~` changed by the files. Keys granted by command are left alone.

Example: eelgrassgate diff --base base.json5 --overlay site.json5
""",
    define=_define_files_and_store,
    run=_run_diff,
    required=("base",),
)
APPLY = command.Command(
    words="apply",
    summary="Apply the files to the whole fleet.",
    details="""
Changes all or nothing. Refused with the difference shown if files were
applied by someone else after revision --expect; run `diff` again then.

Example: eelgrassgate apply --base base.json5 --overlay site.json5 --expect 7
""",
    define=_define_apply,
    run=_run_apply,
    required=("base", "expect"),
)
SHOW = command.Command(
    words="show",
    summary="Show the configuration in the store, or that of the files.",
    details="""
Prints JSON: the store's configuration with its revision, or with --base what
the files say when merged. Keys appear as digests only.

Example: eelgrassgate show
""",
    define=_define_files_and_store,
    run=_run_show,
)
