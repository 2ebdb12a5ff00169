"""Edits the configuration by compare-and-swap on its head record."""

from collections.abc import Callable
import enum
from typing import Final

import anyio
import msgspec
from returns import result

from eelgrassgate import findings
from eelgrassgate.config import records
from eelgrassgate.config import snapshot as snapshot_lib
from eelgrassgate.store import base

MAX_ATTEMPTS: Final = 12
MIN_BACKOFF_S: Final = 0.05
MAX_BACKOFF_S: Final = 2.0
STORE_RESOURCE: Final = "store"


class RefusalKind(enum.Enum):
    """Why an edit was refused, failed, or has an unknown outcome."""

    FINDINGS = "findings"
    STALE = "stale"
    UNAVAILABLE = "unavailable"
    UNKNOWN = "unknown"


class Refusal(msgspec.Struct, frozen=True):
    """An edit that was not made; for `UNKNOWN`, it may have been made."""

    kind: RefusalKind
    findings: tuple[findings.Finding, ...]


class Plan(msgspec.Struct, frozen=True):
    """The record values to set, by id; None removes a record."""

    changes_by_id: dict[str, bytes | None]
    is_from_files: bool = False


class EditResult(msgspec.Struct, frozen=True):
    """The result of an edit that succeeded.

    Attributes:
        revision: The configuration's revision that contains the edit.
        is_changed: Whether the edit changed any record.
    """

    revision: int
    is_changed: bool


CreatePlan = Callable[[snapshot_lib.Snapshot], result.Result[Plan, Refusal]]


def refuse(kind: RefusalKind, location: str, message: str) -> Refusal:
    """Create a refusal with one finding about the store."""
    return Refusal(kind, (findings.Finding(STORE_RESOURCE, location, message),))


async def edit(
    store: base.Store, edit_id: str, create_plan: CreatePlan
) -> result.Result[EditResult, Refusal]:
    """Read, plan and commit; start over after a conflict or a failure.

    Each attempt plans on the state that it has read, so changes by others are
    never overwritten. A commit whose reply was lost is detected by `edit_id`.

    Args:
        store: The store.
        edit_id: A unique id of the edit.
        create_plan: Plans the edit on a snapshot, or refuses it.
    """
    backoff_s = MIN_BACKOFF_S
    is_outcome_unknown = False
    last_error = "too many conflicting changes"
    for _ in range(MAX_ATTEMPTS):
        answer = await snapshot_lib.read(store)
        if isinstance(answer, result.Success):
            snapshot = answer.unwrap()
            own_revision = find_edit(snapshot.head, edit_id)
            if own_revision is not None:
                return result.Success(EditResult(own_revision, is_changed=True))
            planned = create_plan(snapshot)
            if isinstance(planned, result.Failure):
                return planned
            plan = planned.unwrap()
            if not plan.changes_by_id:
                return result.Success(
                    EditResult(snapshot.head.revision, is_changed=False)
                )
            transaction = snapshot_lib.build_transaction(
                snapshot, plan.changes_by_id, edit_id, plan.is_from_files
            )
            size = snapshot_lib.count_bytes(transaction)
            if size > snapshot_lib.MAX_TRANSACTION_BYTES:
                return result.Failure(_refuse_size(size))
            committed = await store.commit(transaction)
            if isinstance(committed, result.Success):
                if committed.unwrap().is_done:
                    return result.Success(
                        EditResult(snapshot.head.revision + 1, is_changed=True)
                    )
                is_outcome_unknown = False
            else:
                error = committed.failure()
                last_error = error.message
                is_outcome_unknown |= error.fault is base.Fault.UNKNOWN
        else:
            last_error = answer.failure().message
        await anyio.sleep(backoff_s)
        backoff_s = min(MAX_BACKOFF_S, backoff_s * 2)
    kind = (
        RefusalKind.UNKNOWN if is_outcome_unknown else RefusalKind.UNAVAILABLE
    )
    return result.Failure(refuse(kind, "commit", last_error))


def find_edit(head: records.Head, edit_id: str) -> int | None:
    """Return the revision of `edit_id` if the head still lists it."""
    for recent_edit in head.edits:
        if recent_edit.edit == edit_id:
            return recent_edit.revision
    return None


def _refuse_size(size: int) -> Refusal:
    return refuse(
        RefusalKind.FINDINGS,
        "size",
        f"the change holds {size} bytes, more than"
        f" {snapshot_lib.MAX_TRANSACTION_BYTES} in one transaction",
    )
