"""Slots: assignment to instances, claiming and releasing."""

from collections.abc import Iterable
from collections.abc import Iterator

import anyio
from returns import result
import xxhash

from eelgrassgate.jobs import keys
from eelgrassgate.jobs import membership
from eelgrassgate.jobs import records
from eelgrassgate.jobs import runtimes
from eelgrassgate.jobs import store_calls
from eelgrassgate.store import base


class Slot:
    """A slot that this instance owns, or owned until it was lost.

    Attributes:
        number: The slot's number.
        fence: Fencing token: the store's revision at the claim.
        claimed_at: Monotonic time of the claim.
        is_lost: Whether another instance may own it now; never reset.
        is_releasing: Whether it is being released, so that no work may start.
        scopes: Cancel scopes of the work in the slot.
    """

    def __init__(self, number: int, fence: int, claimed_at: float) -> None:
        """Create a slot that was just claimed."""
        self.number = number
        self.fence = fence
        self.claimed_at = claimed_at
        self.is_lost = False
        self.is_releasing = False
        self.scopes: set[anyio.CancelScope] = set()

    @property
    def name(self) -> str:
        """The slot's name as sent to agents."""
        return f"slot-{self.number:03d}"

    @property
    def precondition(self) -> base.Precondition:
        """Precondition that this instance still owns the slot."""
        return base.Precondition(keys.format_owner(self.number), self.fence)

    def mark_lost(self) -> None:
        """Mark the slot as lost and cancel all work in it."""
        self.is_lost = True
        for scope in self.scopes:
            scope.cancel()


def choose_owner(slot: int, instances: Iterable[str]) -> str:
    """Choose a slot's owner by rendezvous hashing; empty without instances."""
    return max(
        instances, key=lambda name: _compute_weight(slot, name), default=""
    )


def _compute_weight(slot: int, instance: str) -> tuple[int, str]:
    return xxhash.xxh64_intdigest(f"{slot}/{instance}".encode()), instance


def iterate_assigned(instance: str, instances: Iterable[str]) -> Iterator[int]:
    """Yield the slots assigned to `instance` among `instances`."""
    names = tuple(instances)
    for slot in range(keys.SLOT_COUNT):
        if choose_owner(slot, names) == instance:
            yield slot


async def claim(
    store: base.Store,
    member: membership.Membership,
    runtime: runtimes.Runtime,
    numbers: tuple[int, ...],
) -> tuple[Slot, ...]:
    """Claim free slots in one transaction.

    Returns:
        The slots; empty if one was not free or the store call failed.
    """
    owner = records.Owner(
        member.instance, member.incarnation, runtime.make_id()
    )
    value = records.encode(owner)
    owner_keys = tuple(map(keys.format_owner, numbers))
    transaction = base.Transaction(
        tuple(base.Precondition(key, 0) for key in owner_keys),
        tuple(base.Write(key, value, member.lease) for key in owner_keys),
    )
    answer = await store_calls.commit(
        store,
        runtime,
        transaction,
        owner_keys[0],
        lambda record: record.value == value,
    )
    commit = answer.value_or(None)
    if not commit or not commit.is_done:
        return ()
    now = runtime.now()
    return tuple(Slot(number, commit.revision, now) for number in numbers)


async def release(
    store: base.Store, runtime: runtimes.Runtime, slot: Slot
) -> bool:
    """Release a slot; return False if this instance may still own it."""
    key = keys.format_owner(slot.number)
    answer = await store_calls.commit(
        store,
        runtime,
        base.Transaction((slot.precondition,), (base.Delete(key),)),
        key,
        lambda record: False,
    )
    return isinstance(answer, result.Success)
