"""Interface for running single items at agents."""

from collections.abc import Callable
from typing import Protocol

import msgspec

from eelgrassgate import messages
from eelgrassgate import outcomes


def _always() -> bool:
    return True


class ItemCall(msgspec.Struct, frozen=True):
    """One attempt of one item.

    Attributes:
        item: `job/index`, the item's id at agents.
        attempt: The attempt's unique id.
        job: The job.
        workspace: The workspace that owns the job.
        method: The HTTP method.
        path: The path with its query.
        body: The JSON body.
        owner: The slot's name; agents compare fences per owner.
        fence: The slot's fencing token.
        due: Monotonic time by which the job should complete.
        is_repeatable: Whether the item may run more than once.
        avoid: Endpoints where the item failed, avoided if there are others.
        can_start: Returns whether the owner may still start work. The
            dispatcher calls it after all waiting, right before it sends.
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
    can_start: Callable[[], bool] = _always


class ItemResult(msgspec.Struct, frozen=True):
    """Result of an attempt: a complete response of any status, or a refusal.

    Attributes:
        endpoint: The endpoint that the attempt was sent to, empty for none.
        status: HTTP status of the response, 0 if there is none.
        body: The complete body of the response.
        refusal: Why there is no response, and whether the item may have run.
        is_endpoint_fault: Whether the endpoint is at fault.
    """

    endpoint: str
    status: int = 0
    body: bytes = b""
    refusal: outcomes.Refusal | None = None
    is_endpoint_fault: bool = False


class Inquiry(msgspec.Struct, frozen=True):
    """States of a job's items at the agents.

    Attributes:
        items: The states; an item may have more than one.
        is_complete: Whether every agent that may know the job responded. Each
            agent that responded refuses older fences from then on.
        is_stale: Whether an agent knows a newer fence.
    """

    items: tuple[messages.ItemState, ...] = ()
    is_complete: bool = True
    is_stale: bool = False


class Dispatcher(Protocol):
    """Runs items; implemented by the entry over routing and links."""

    async def run(self, item: ItemCall) -> ItemResult:
        """Run one attempt to its end.

        Waits for capacity without a time limit. If `item.can_start` returns
        False after that, the attempt is refused as `NOT_RUN`. A lost
        connection results in a refusal with `UNKNOWN`. If the calling task is
        cancelled, nothing more is sent, and an attempt that was sent is
        cancelled at the agent.
        """
        ...

    async def inquire(self, job: str, owner: str, fence: int) -> Inquiry:
        """Query all agents for items of `job`, within a few seconds."""
        ...

    async def cancel(self, items: tuple[messages.ItemState, ...]) -> None:
        """Cancel attempts of a former owner that still run at agents."""
        ...

    def announce_committed(self, items: tuple[str, ...]) -> None:
        """Tell agents that the results of `items` are committed.

        Called on the event loop; must not block.
        """
        ...
