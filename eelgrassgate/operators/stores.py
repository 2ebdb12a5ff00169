"""Access to the store for operators' commands."""

from collections.abc import Awaitable
from collections.abc import Callable
from typing import Final
import uuid

from absl import flags
import anyio
from returns import result

from eelgrassgate.config import edit
from eelgrassgate.config import snapshot as snapshot_lib
from eelgrassgate.operators import command
from eelgrassgate.operators import exit_codes
from eelgrassgate.store import base
from eelgrassgate.store import etcd

DEFAULT_URL: Final = "http://127.0.0.1:2379"

_EXIT_CODES_BY_REFUSAL_KIND: Final = {
    edit.RefusalKind.FINDINGS: exit_codes.FINDINGS,
    edit.RefusalKind.STALE: exit_codes.STALE,
    edit.RefusalKind.UNAVAILABLE: exit_codes.UNAVAILABLE,
    edit.RefusalKind.UNKNOWN: exit_codes.UNKNOWN,
}


def define_store(values: flags.FlagValues) -> None:
    """Define the flag `--store`."""
    flags.DEFINE_string(
        "store",
        DEFAULT_URL,
        "Base URL of the store's JSON gateway.",
        flag_values=values,
    )


def run(url: str, work: Callable[[base.Store], Awaitable[int]]) -> int:
    """Run `work` on the store at `url`; return the exit code."""

    async def run_and_close() -> int:
        store = etcd.create_etcd_store(url)
        try:
            return await work(store)
        finally:
            await store.close()

    return anyio.run(run_and_close)


async def read_snapshot(store: base.Store) -> snapshot_lib.Snapshot | None:
    """Read the configuration; on failure print the error, return None."""
    response = await snapshot_lib.read(store)
    if isinstance(response, result.Failure):
        command.print_errors((f"store: {response.failure().message}",))
        return None
    return response.unwrap()


def create_edit_id() -> str:
    """Return a unique id of a change."""
    return uuid.uuid4().hex


def report_refusal(refusal: edit.Refusal) -> int:
    """Print a refusal; return the exit code."""
    command.print_errors(
        f"{finding.file}: {finding.location}: {finding.message}"
        for finding in refusal.findings
    )
    if refusal.kind is edit.RefusalKind.UNKNOWN:
        command.print_errors(
            ("No reply: the change may have been made. Check the state.",)
        )
    return _EXIT_CODES_BY_REFUSAL_KIND[refusal.kind]
