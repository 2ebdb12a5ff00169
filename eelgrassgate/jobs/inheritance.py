"""What a job's new owner learns from agents about the former owner's work."""

from typing import Final

import anyio

from eelgrassgate import messages
from eelgrassgate.jobs import dispatch
from eelgrassgate.jobs import membership
from eelgrassgate.jobs import runtimes
from eelgrassgate.jobs import slots

POLL_S: Final = 1.0
PATIENCE_S: Final = 10.0
MARGIN_S: Final = 10.0


class Inheritance:
    """The items of a job that agents know from a former owner."""

    def __init__(
        self,
        job: str,
        slot: slots.Slot,
        dispatcher: dispatch.Dispatcher,
        runtime: runtimes.Runtime,
    ) -> None:
        """Create an inheritance; see `create_inheritance`."""
        self._job = job
        self._slot = slot
        self._dispatcher = dispatcher
        self._runtime = runtime
        self._states_by_index: dict[int, messages.ItemState] = {}
        self._lock = anyio.Lock()
        self._polled = float("-inf")
        self._is_whole = False

    async def claim(self, is_fence_needed: bool) -> bool:
        """Fence the former owner at the agents and learn what they know.

        Waits a while for agents that do not answer; where `is_fence_needed`
        as long as the former owner could still start work.

        Returns:
            False if another has taken over by now.
        """
        patience = PATIENCE_S
        if is_fence_needed:
            patience = membership.OFFLINE_S + MARGIN_S
        deadline = self._runtime.now() + patience
        while await self._poll():
            if self._is_whole or self._runtime.now() >= deadline:
                return True
            await self._runtime.sleep(POLL_S)
        return False

    def take(self, index: int) -> messages.ItemState | None:
        """Take what is known of an item."""
        return self._states_by_index.pop(index, None)

    async def cancel(self) -> None:
        """Cancel what still runs."""
        running = tuple(
            state
            for state in self._states_by_index.values()
            if state.is_running
        )
        if running:
            await self._dispatcher.cancel(running)

    async def follow(self, index: int) -> messages.ItemState | None:
        """Wait until an item that runs has ended; None if it is lost."""
        heard = self._runtime.now()
        while True:
            await self._refresh()
            state = self._states_by_index.get(index)
            now = self._runtime.now()
            if state and not state.is_running:
                return self.take(index)
            if state:
                heard = now
            elif self._is_whole or now >= heard + PATIENCE_S:
                return None

    async def _refresh(self) -> None:
        """Ask again, once for all that wait."""
        async with self._lock:
            due = self._polled + POLL_S
            left = due - self._runtime.now()
            if left <= 0:
                await self._poll()
                return
        await self._runtime.sleep(left)

    async def _poll(self) -> bool:
        inquiry = await self._dispatcher.inquire(
            self._job, self._slot.name, self._slot.fence
        )
        self._polled = self._runtime.now()
        if inquiry.is_stale:
            self._slot.lose()
            return False
        self._is_whole = inquiry.is_complete
        if inquiry.is_complete:
            self._states_by_index.clear()
        for state in inquiry.items:
            self._keep(state)
        return True

    def _keep(self, state: messages.ItemState) -> None:
        """Keep the best that is known: an answer, then work, then a refusal."""
        job, _, place = state.item.rpartition("/")
        if job != self._job:
            return
        index = int(place)
        known = self._states_by_index.get(index)
        if known is None or _rank(state) > _rank(known):
            self._states_by_index[index] = state


def _rank(state: messages.ItemState) -> int:
    if state.is_running:
        return 1
    return 2 if state.refusal is None else 0


def create_inheritance(
    job: str,
    slot: slots.Slot,
    dispatcher: dispatch.Dispatcher,
    runtime: runtimes.Runtime,
) -> Inheritance:
    """Create the inheritance of a job; empty until `claim`."""
    return Inheritance(job, slot, dispatcher, runtime)
