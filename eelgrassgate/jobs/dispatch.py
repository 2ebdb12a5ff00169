"""The seam towards routing and links: runs single items at agents."""

from collections.abc import Callable
from typing import Protocol

import msgspec

from eelgrassgate import messages
from eelgrassgate import outcomes


def _always() -> bool:
    return True


class ItemCall(msgspec.Struct, frozen=True):
    """One try of one item.

    Attributes:
        item: `job/index`, the item's name at agents.
        attempt: The try's id, never used twice.
        job: The job.
        workspace: The workspace that it runs for.
        method: The HTTP method.
        path: The path with its query.
        body: The body, JSON.
        owner: The slot, by which agents compare fences.
        fence: The owner's fencing number.
        due: Instant on the monotonic clock until which the job is wanted.
        is_repeatable: Whether the item may run more than once.
        avoid: Endpoints where it failed, to be avoided if others are there.
        may_start: Whether the owner may still start work; asked by the
            dispatcher after all waiting, right before it sends.
    """

    item: str
    attempt: str
    job: str
    workspace: str
    method: str
    path: str
    body: bytes
    owner: str
    fence: int
    due: float
    is_repeatable: bool
    avoid: frozenset[str] = frozenset()
    may_start: Callable[[], bool] = _always


class ItemResult(msgspec.Struct, frozen=True):
    """How a try ended: a whole answer of any status, or a refusal.

    Attributes:
        endpoint: Which endpoint it went to, empty for none.
        status: The answer's HTTP status, 0 without an answer.
        body: The whole answer.
        refusal: Why there is no answer, and whether it ran.
        is_endpoint_fault: Whether it speaks against the endpoint.
    """

    endpoint: str
    status: int = 0
    body: bytes = b""
    refusal: outcomes.Refusal | None = None
    is_endpoint_fault: bool = False


class Inquiry(msgspec.Struct, frozen=True):
    """What the agents know of a job.

    Attributes:
        items: What they know; an item may stand there more than once.
        is_whole: Whether every agent that may know of the job answered; each
            that did refuses older fences from then on.
        is_stale: Whether an agent knows a newer fence.
    """

    items: tuple[messages.ItemState, ...] = ()
    is_whole: bool = True
    is_stale: bool = False


class Dispatcher(Protocol):
    """Runs items; implemented by the entry over routing and links."""

    async def run(self, item: ItemCall) -> ItemResult:
        """Run one try to its end.

        Waits for room as long as it takes; then, if `item.may_start` says no,
        refuses as not run, and sends nothing once the waiting task is
        cancelled. A lost connection is a refusal
        with `UNKNOWN`. When the waiting task is cancelled, the attempt is
        cancelled at the agent.
        """
        ...

    async def inquire(self, job: str, owner: str, fence: int) -> Inquiry:
        """Ask all agents what they know of `job`, within a few seconds."""
        ...

    async def cancel(self, items: tuple[messages.ItemState, ...]) -> None:
        """Cancel attempts that a former owner left running at agents."""
        ...

    def settle(self, items: tuple[str, ...]) -> None:
        """Tell agents that the results of `items` are committed.

        Called on the event loop; must not block.
        """
        ...
