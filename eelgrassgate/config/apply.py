"""Applies configuration files to the store and computes differences.

Files define every record except the keys granted by command. An apply is
refused if another apply was accepted after the revision that the operator last
saw. Keys granted or withdrawn in the meantime are kept.
"""

from collections.abc import Iterator
from typing import Final

import msgspec
from returns import result

from eelgrassgate import findings
from eelgrassgate.config import edit
from eelgrassgate.config import fleet as fleet_lib
from eelgrassgate.config import records
from eelgrassgate.config import snapshot as snapshot_lib
from eelgrassgate.store import base

ADDED: Final = "+"
REMOVED: Final = "-"
CHANGED: Final = "~"


class Difference(msgspec.Struct, frozen=True):
    """One record that differs between the store and the files.

    Attributes:
        record_id: The record's id.
        sign: `+` added, `-` removed, `~` changed by the files.
        before: The value in the store as JSON, empty for none.
        after: The value in the files as JSON, empty for none.
    """

    record_id: str
    sign: str
    before: str = ""
    after: str = ""

    def render(self) -> str:
        """Return one line for the operator."""
        if self.sign == CHANGED:
            return f"~ {self.record_id} {self.before} -> {self.after}"
        return f"{self.sign} {self.record_id} {self.before or self.after}"


def compare(
    snapshot: snapshot_lib.Snapshot, fleet: fleet_lib.Fleet
) -> Iterator[Difference]:
    """Yield the records that applying `fleet` would change."""
    new_by_id = records.split_fleet(fleet)
    stored_ids = {
        record_id
        for record_id in snapshot.entries_by_id
        if records.is_from_files(record_id)
    }
    for record_id in sorted(stored_ids | new_by_id.keys()):
        entry = snapshot.entries_by_id.get(record_id)
        before = bytes(entry.value).decode() if entry else ""
        after = new_by_id.get(record_id, b"").decode()
        if before == after:
            continue
        sign = CHANGED if before and after else ADDED if after else REMOVED
        yield Difference(record_id, sign, before, after)


def plan(
    snapshot: snapshot_lib.Snapshot, fleet: fleet_lib.Fleet, expected: int
) -> result.Result[edit.Plan, edit.Refusal]:
    """Plan an apply by an operator who last saw revision `expected`."""
    head = snapshot.head
    differences = tuple(compare(snapshot, fleet))
    if not differences:
        return result.Success(edit.Plan({}, is_from_files=True))
    if not head.files_revision <= expected <= head.revision:
        return result.Failure(_refuse_stale(head, expected, differences))
    found = tuple(_find_conflicts(snapshot, fleet))
    if found:
        return result.Failure(edit.Refusal(edit.RefusalKind.FINDINGS, found))
    changes: dict[str, bytes | None] = {
        difference.record_id: difference.after.encode() or None
        for difference in differences
    }
    return result.Success(edit.Plan(changes, is_from_files=True))


async def apply(
    store: base.Store, fleet: fleet_lib.Fleet, expected: int, edit_id: str
) -> result.Result[edit.EditResult, edit.Refusal]:
    """Write `fleet` to the store unless newer files were applied.

    Args:
        store: The store.
        fleet: The checked configuration of the files.
        expected: The revision that the operator last saw; 0 for the first
            apply.
        edit_id: A new id that detects a commit whose reply was lost.
    """
    return await edit.edit(
        store, edit_id, lambda snapshot: plan(snapshot, fleet, expected)
    )


def _refuse_stale(
    head: records.Head, expected: int, differences: tuple[Difference, ...]
) -> edit.Refusal:
    found = [
        findings.Finding(
            edit.STORE_RESOURCE,
            "revision",
            f"expected {expected}, but files were last applied at revision"
            f" {head.files_revision} and the newest is {head.revision}",
        )
    ]
    found.extend(
        findings.Finding(edit.STORE_RESOURCE, "difference", difference.render())
        for difference in differences
    )
    return edit.Refusal(edit.RefusalKind.STALE, tuple(found))


def _find_conflicts(
    snapshot: snapshot_lib.Snapshot, fleet: fleet_lib.Fleet
) -> Iterator[findings.Finding]:
    """Yield conflicts between the files and keys managed by command."""
    granted: dict[str, fleet_lib.Key] = {}
    withdrawn: set[str] = set()
    for record_id, entry in snapshot.entries_by_id.items():
        kind, name = records.split_id(record_id)
        if kind == records.GRANTS:
            granted[name] = records.decode_value(record_id, bytes(entry.value))
        elif kind == records.WITHDRAWN:
            withdrawn.add(name)
    for name, key in granted.items():
        if key.workspace not in fleet.workspaces:
            yield findings.Finding(
                edit.STORE_RESOURCE,
                f"key {name}",
                f"belongs to workspace `{key.workspace}`, which the files"
                " do not define; withdraw the key first",
            )
    digests = {key.digest for key in granted.values()}
    for name, key in fleet.keys.items():
        location = f"$.keys.{name}"
        if key.digest in withdrawn:
            yield findings.Finding(
                "files",
                location,
                "was withdrawn; remove it from the files",
            )
        if name in granted or key.digest in digests:
            yield findings.Finding(
                "files", location, "was already granted by command"
            )
