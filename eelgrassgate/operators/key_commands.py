"""Commands for API keys."""

import time
from typing import Any
from typing import Final

from absl import flags
import anyio
from returns import result

from eelgrassgate import deadlines
from eelgrassgate.config import reports
from eelgrassgate.config import snapshot as snapshot_lib
from eelgrassgate.keys import digest as digest_lib
from eelgrassgate.keys import grants
from eelgrassgate.keys import rollout as rollout_lib
from eelgrassgate.operators import command
from eelgrassgate.operators import exit_codes
from eelgrassgate.operators import stores
from eelgrassgate.store import base as store_base

POLL_INTERVAL_S: Final = 0.5
# Minimum wait: instances that have just joined report within this time.
SETTLE_DELAY_S: Final = 3.0
SHOWN_DIGEST_CHARS: Final = 8


def _define_grant(values: flags.FlagValues) -> None:
    stores.define_store(values)
    flags.DEFINE_string(
        "name", None, "A new name for the key.", flag_values=values
    )
    flags.DEFINE_string(
        "workspace",
        None,
        "The workspace that the key belongs to.",
        flag_values=values,
    )


def _define_withdraw(values: flags.FlagValues) -> None:
    stores.define_store(values)
    flags.DEFINE_string("name", None, "The key's name.", flag_values=values)
    flags.DEFINE_float(
        "wait",
        30.0,
        "Seconds to wait until it is in force everywhere; 0 not to wait.",
        lower_bound=0,
        flag_values=values,
    )


def _run_grant(values: Any) -> int:
    key = digest_lib.create_key()

    async def work(store: store_base.Store) -> int:
        response = await grants.grant(
            store,
            values.name,
            values.workspace,
            digest_lib.compute_digest(key),
            stores.create_edit_id(),
        )
        if isinstance(response, result.Failure):
            return stores.report_refusal(response.failure())
        print(
            f"granted `{values.name}` in revision {response.unwrap().revision}"
        )
        print("The key, shown this once:")
        print(key)
        return exit_codes.OK

    return stores.run(values.store, work)


def _run_withdraw(values: Any) -> int:
    async def work(store: store_base.Store) -> int:
        snapshot = await stores.read_snapshot(store)
        if snapshot is None:
            return exit_codes.UNAVAILABLE
        response = await grants.withdraw(
            store, values.name, stores.create_edit_id()
        )
        if isinstance(response, result.Failure):
            return stores.report_refusal(response.failure())
        revision = response.unwrap().revision
        print(f"withdrew `{values.name}` in revision {revision}")
        return await _wait_until_in_force(
            store, snapshot, revision, values.wait
        )

    return stores.run(values.store, work)


async def _wait_until_in_force(
    store: store_base.Store,
    before: snapshot_lib.Snapshot,
    revision: int,
    wait_s: float,
) -> int:
    """Poll the instances' reports until the revision is in force."""
    committed_at = deadlines.now()
    limits = before.build_fleet().limits
    rollout: rollout_lib.Rollout | None = None
    while True:
        response = await reports.read_all(store)
        if isinstance(response, result.Success):
            rollout = rollout_lib.compute_rollout(
                response.unwrap(), revision, limits, committed_at
            )
        now = deadlines.now()
        has_settled = now >= committed_at + min(SETTLE_DELAY_S, wait_s)
        if rollout is not None and has_settled and rollout.is_done(now):
            break
        if now >= committed_at + wait_s:
            break
        await anyio.sleep(POLL_INTERVAL_S)
    return _print_rollout(rollout, deadlines.now())


def _print_rollout(rollout: rollout_lib.Rollout | None, now: float) -> int:
    if rollout is None:
        print("The store is unavailable: unknown where the change is in force.")
        return exit_codes.PENDING
    print(f"in force: {', '.join(rollout.in_force) or 'no instance known'}")
    if not rollout.pending:
        return exit_codes.OK
    names = ", ".join(rollout.pending)
    if rollout.is_done(now):
        print(f"not reached, but no longer allowed to serve: {names}")
        return exit_codes.OK
    left_s = rollout.stale_until - now
    at = time.strftime("%H:%M:%S", time.localtime(time.time() + left_s))
    print(f"not yet: {names}")
    print(
        "may serve with the old configuration until"
        f" {at} ({left_s:.0f} s) at most"
    )
    return exit_codes.PENDING


def _define_list(values: flags.FlagValues) -> None:
    stores.define_store(values)


def _run_list(values: Any) -> int:
    async def work(store: store_base.Store) -> int:
        snapshot = await stores.read_snapshot(store)
        if snapshot is None:
            return exit_codes.UNAVAILABLE
        for listed in grants.list_keys(snapshot):
            origin = "files" if listed.is_from_files else "command"
            digest = listed.key.digest[:SHOWN_DIGEST_CHARS]
            print(
                f"{listed.name} workspace={listed.key.workspace}"
                f" digest={digest} by={origin}"
                f" granted_at={listed.key.granted_at or '-'}"
            )
        return exit_codes.OK

    return stores.run(values.store, work)


GRANT = command.Command(
    words="key grant",
    summary="Grant a workspace a new key and show it once.",
    details="""
Only a digest is kept: a lost key is withdrawn and another one granted.

Example: eelgrassgate key grant --name desk-2 --workspace front-desk
""",
    define=_define_grant,
    run=_run_grant,
    required=("name", "workspace"),
)
WITHDRAW = command.Command(
    words="key withdraw",
    summary="Withdraw a key and report where that is in force.",
    details="""
Waits until no instance can still accept the key: each one either has the
change in force, or has lost its right to serve because it is cut off.

Example: eelgrassgate key withdraw --name desk-2
""",
    define=_define_withdraw,
    run=_run_withdraw,
    required=("name",),
)
LIST = command.Command(
    words="key list",
    summary="List all keys with their workspaces.",
    details="""
Shows the start of each digest, never a key.

Example: eelgrassgate key list
""",
    define=_define_list,
    run=_run_list,
)
