"""Granting, withdrawing and listing API keys in the store."""

from collections.abc import Iterator
import datetime

import msgspec
from returns import result

from eelgrassgate import documents
from eelgrassgate.config import edit
from eelgrassgate.config import fleet as fleet_lib
from eelgrassgate.config import records
from eelgrassgate.config import snapshot as snapshot_lib
from eelgrassgate.store import base


class ListedKey(msgspec.Struct, frozen=True):
    """A key in the list for operators.

    Attributes:
        name: The key's name.
        key: The key's record.
        is_from_files: Whether the key comes from the configuration files
            rather than from a command.
    """

    name: str
    key: fleet_lib.Key
    is_from_files: bool


async def grant(
    store: base.Store, name: str, workspace: str, digest: str, edit_id: str
) -> result.Result[edit.EditResult, edit.Refusal]:
    """Grant a key.

    Args:
        store: The store.
        name: The key's name, which must not be in use.
        workspace: The workspace that the key belongs to.
        digest: The key's digest.
        edit_id: A unique id, by which the edit is found after a lost reply.
    """
    key = fleet_lib.Key(
        digest=digest, workspace=workspace, granted_at=_format_now()
    )
    return await edit.edit(
        store, edit_id, lambda snapshot: _plan_grant(snapshot, name, key)
    )


async def withdraw(
    store: base.Store, name: str, edit_id: str
) -> result.Result[edit.EditResult, edit.Refusal]:
    """Withdraw a key.

    A key from the configuration files is also recorded as withdrawn, so that
    the files cannot add it again.

    Args:
        store: The store.
        name: The key's name.
        edit_id: A unique id, by which the edit is found after a lost reply.
    """
    return await edit.edit(
        store, edit_id, lambda snapshot: _plan_withdraw(snapshot, name)
    )


def list_keys(snapshot: snapshot_lib.Snapshot) -> Iterator[ListedKey]:
    """Yield all keys, sorted by name."""
    found = [
        ListedKey(name, _decode(record_id, entry), kind != records.GRANTS)
        for record_id, entry in snapshot.entries_by_id.items()
        for kind, name in (records.split_id(record_id),)
        if kind in ("keys", records.GRANTS)
    ]
    yield from sorted(found, key=lambda listed: listed.name)


def _decode(record_id: str, entry: records.Entry) -> fleet_lib.Key:
    key = records.decode_value(record_id, bytes(entry.value))
    assert isinstance(key, fleet_lib.Key)
    return key


def _plan_grant(
    snapshot: snapshot_lib.Snapshot, name: str, key: fleet_lib.Key
) -> result.Result[edit.Plan, edit.Refusal]:
    entries = snapshot.entries_by_id
    if f"workspaces/{key.workspace}" not in entries:
        known = [
            other
            for kind, other in map(records.split_id, entries)
            if kind == "workspaces"
        ]
        hint = documents.suggest(key.workspace, known)
        return _refuse(f"workspace {key.workspace}", f"no such workspace{hint}")
    if f"{records.GRANTS}/{name}" in entries or f"keys/{name}" in entries:
        return _refuse(f"key {name}", "the name is in use; choose another")
    value = records.encode_value(key)
    return result.Success(edit.Plan({f"{records.GRANTS}/{name}": value}))


def _plan_withdraw(
    snapshot: snapshot_lib.Snapshot, name: str
) -> result.Result[edit.Plan, edit.Refusal]:
    granted = f"{records.GRANTS}/{name}"
    if granted in snapshot.entries_by_id:
        return result.Success(edit.Plan({granted: None}))
    from_files = f"keys/{name}"
    entry = snapshot.entries_by_id.get(from_files)
    if entry is None:
        known = [listed.name for listed in list_keys(snapshot)]
        return _refuse(
            f"key {name}", f"no such key{documents.suggest(name, known)}"
        )
    digest = _decode(from_files, entry).digest
    mark = records.encode_value(records.Withdrawn(name, _format_now()))
    return result.Success(
        edit.Plan({from_files: None, f"{records.WITHDRAWN}/{digest}": mark})
    )


def _refuse(
    location: str, message: str
) -> result.Result[edit.Plan, edit.Refusal]:
    return result.Failure(
        edit.refuse(edit.RefusalKind.FINDINGS, location, message)
    )


def _format_now() -> str:
    now = datetime.datetime.now(datetime.UTC)
    return now.isoformat(timespec="seconds")
