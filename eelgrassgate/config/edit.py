"""Changes to the configuration by compare-and-swap on its head."""

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

MAX_TRIES: Final = 12
FIRST_PAUSE_S: Final = 0.05
MAX_PAUSE_S: Final = 2.0
STORE_PLACE: Final = "store"


class RefusalKind(enum.Enum):
    """Why a change was not made, or is not known to be made."""

    FINDINGS = "findings"
    STALE = "stale"
    UNAVAILABLE = "unavailable"
    UNKNOWN = "unknown"


class Refusal(msgspec.Struct, frozen=True):
    """A change that was not made; for `UNKNOWN`, that may have been made."""

    kind: RefusalKind
    findings: tuple[findings.Finding, ...]


class Plan(msgspec.Struct, frozen=True):
    """Record values to set, by id; None removes the record."""

    changes_by_id: dict[str, bytes | None]
    is_from_files: bool = False


class EditResult(msgspec.Struct, frozen=True):
    """A change that is in the store.

    Attributes:
        revision: The configuration's revision that holds it.
        is_changed: Whether there was anything to change.
    """

    revision: int
    is_changed: bool


MakePlan = Callable[[snapshot_lib.Snapshot], result.Result[Plan, Refusal]]


def refuse(kind: RefusalKind, place: str, message: str) -> Refusal:
    """Return a refusal with one finding against the store's content."""
    return Refusal(kind, (findings.Finding(STORE_PLACE, place, message),))


async def edit(
    store: base.Store, edit_id: str, make_plan: MakePlan
) -> result.Result[EditResult, Refusal]:
    """Read, plan and commit; on a conflict do so again on the new state.

    The plan is made afresh on what each read found, so no other author's
    change is lost. A commit whose reply was lost is recognised by `edit_id`.

    Args:
        store: The store.
        edit_id: An id that no other change has.
        make_plan: Plans the change, or refuses it.
    """
    pause_s = FIRST_PAUSE_S
    is_in_doubt = False
    problem = "too many conflicting changes"
    for _ in range(MAX_TRIES):
        answer = await snapshot_lib.read(store)
        if isinstance(answer, result.Success):
            snapshot = answer.unwrap()
            own = find_edit(snapshot.head, edit_id)
            if own is not None:
                return result.Success(EditResult(own, is_changed=True))
            planned = make_plan(snapshot)
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
                is_in_doubt = False
            else:
                error = committed.failure()
                problem = error.message
                is_in_doubt |= error.fault is base.Fault.UNKNOWN
        else:
            problem = answer.failure().message
        await anyio.sleep(pause_s)
        pause_s = min(MAX_PAUSE_S, pause_s * 2)
    kind = RefusalKind.UNKNOWN if is_in_doubt else RefusalKind.UNAVAILABLE
    return result.Failure(refuse(kind, "commit", problem))


def find_edit(head: records.Head, edit_id: str) -> int | None:
    """Return the revision that `edit_id` made, if the head still tells."""
    for made in head.edits:
        if made.edit == edit_id:
            return made.revision
    return None


def _refuse_size(size: int) -> Refusal:
    return refuse(
        RefusalKind.FINDINGS,
        "size",
        f"the change holds {size} bytes, more than"
        f" {snapshot_lib.MAX_TRANSACTION_BYTES} in one transaction",
    )
