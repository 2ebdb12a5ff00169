"""Slots: which instance owns which, and claiming and giving them back."""

from collections.abc import Iterable
from collections.abc import Iterator

import anyio
from returns import result
import xxhash

from eelgrassgate.jobs import calls
from eelgrassgate.jobs import keys
from eelgrassgate.jobs import membership
from eelgrassgate.jobs import records
from eelgrassgate.jobs import runtimes
from eelgrassgate.store import base


class Slot:
    """A slot that this instance owns, or owned until it was lost.

    Attributes:
        number: The slot's number.
        fence: Its fencing number: the store's revision at the claim.
        claimed: Instant on the monotonic clock at which it was claimed.
        is_lost: Whether another may own it by now; set once.
        is_releasing: Whether nothing new may start in it.
    """

    def __init__(self, number: int, fence: int, claimed: float) -> None:
        """Create a slot that was just claimed."""
        self.number = number
        self.fence = fence
        self.claimed = claimed
        self.is_lost = False
        self.is_releasing = False
        self.scopes: set[anyio.CancelScope] = set()

    @property
    def name(self) -> str:
        """The slot's name towards agents."""
        return f"slot-{self.number:03d}"

    @property
    def expect(self) -> base.Precondition:
        """The condition that this instance still owns the slot."""
        return base.Precondition(keys.format_owner(self.number), self.fence)

    def lose(self) -> None:
        """Stop all work in the slot."""
        self.is_lost = True
        for scope in self.scopes:
            scope.cancel()


def choose_owner(slot: int, instances: Iterable[str]) -> str:
    """Choose a slot's owner by rendezvous hashing; empty without instances."""
    return max(instances, key=lambda name: _weigh(slot, name), default="")


def _weigh(slot: int, instance: str) -> tuple[int, str]:
    return xxhash.xxh64_intdigest(f"{slot}/{instance}".encode()), instance


def iterate_wanted(instance: str, instances: Iterable[str]) -> Iterator[int]:
    """Yield the slots that `instance` is to own among `instances`."""
    names = tuple(instances)
    for slot in range(keys.SLOTS):
        if choose_owner(slot, names) == instance:
            yield slot


async def claim(
    store: base.Store,
    member: membership.Membership,
    runtime: runtimes.Runtime,
    numbers: tuple[int, ...],
) -> tuple[Slot, ...]:
    """Claim free slots together; empty if one was not free or on a fault."""
    owner = records.Owner(
        member.instance, member.incarnation, runtime.make_id()
    )
    value = records.encode(owner)
    names = tuple(map(keys.format_owner, numbers))
    transaction = base.Transaction(
        tuple(base.Precondition(name, 0) for name in names),
        tuple(base.Write(name, value, member.lease) for name in names),
    )
    answer = await calls.commit(
        store,
        runtime,
        transaction,
        names[0],
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
    """Give a slot back; False if that is not certain."""
    name = keys.format_owner(slot.number)
    answer = await calls.commit(
        store,
        runtime,
        base.Transaction((slot.expect,), (base.Delete(name),)),
        name,
        lambda record: False,
    )
    return isinstance(answer, result.Success)
