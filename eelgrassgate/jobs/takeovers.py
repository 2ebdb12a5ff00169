"""Takes over a job: fences its former owner and queries the agents."""

from typing import Final

import anyio

from eelgrassgate import messages
from eelgrassgate.jobs import dispatch
from eelgrassgate.jobs import membership
from eelgrassgate.jobs import runtimes
from eelgrassgate.jobs import slots

POLL_INTERVAL_S: Final = 1.0
AGENT_TIMEOUT_S: Final = 10.0
FENCE_MARGIN_S: Final = 10.0


class Takeover:
    """States of a job's items that agents ran for a former owner."""

    def __init__(
        self,
        job: str,
        slot: slots.Slot,
        dispatcher: dispatch.Dispatcher,
        runtime: runtimes.Runtime,
    ) -> None:
        """Create a takeover; see `create_takeover`."""
        self._job = job
        self._slot = slot
        self._dispatcher = dispatcher
        self._runtime = runtime
        self._states_by_index: dict[int, messages.ItemState] = {}
        self._lock = anyio.Lock()
        self._last_poll = float("-inf")
        self._is_complete = False

    async def fence_former_owner(self, is_fence_needed: bool) -> bool:
        """Fence the former owner at the agents and query item states.

        Waits for agents that do not respond: for `AGENT_TIMEOUT_S`, or if
        `is_fence_needed` for as long as the former owner could still start
        work.

        Returns:
            False if another instance has taken over the slot since.
        """
        timeout_s = AGENT_TIMEOUT_S
        if is_fence_needed:
            timeout_s = membership.MAX_OFFLINE_S + FENCE_MARGIN_S
        deadline = self._runtime.now() + timeout_s
        while await self._poll():
            if self._is_complete or self._runtime.now() >= deadline:
                return True
            await self._runtime.sleep(POLL_INTERVAL_S)
        return False

    def take(self, index: int) -> messages.ItemState | None:
        """Remove and return the state of an item."""
        return self._states_by_index.pop(index, None)

    async def cancel(self) -> None:
        """Cancel the items that are still running."""
        running = tuple(
            state
            for state in self._states_by_index.values()
            if state.is_running
        )
        if running:
            await self._dispatcher.cancel(running)

    async def wait_until_ended(self, index: int) -> messages.ItemState | None:
        """Wait until a running item has ended; None if no agent reports it."""
        last_seen = self._runtime.now()
        while True:
            await self._refresh()
            state = self._states_by_index.get(index)
            now = self._runtime.now()
            if state and not state.is_running:
                return self.take(index)
            if state:
                last_seen = now
            elif self._is_complete or now >= last_seen + AGENT_TIMEOUT_S:
                return None

    async def _refresh(self) -> None:
        """Query the agents again; concurrent callers share one query."""
        async with self._lock:
            due = self._last_poll + POLL_INTERVAL_S
            remaining_s = due - self._runtime.now()
            if remaining_s <= 0:
                await self._poll()
                return
        await self._runtime.sleep(remaining_s)

    async def _poll(self) -> bool:
        inquiry = await self._dispatcher.inquire(
            self._job, self._slot.name, self._slot.fence
        )
        self._last_poll = self._runtime.now()
        if inquiry.is_stale:
            self._slot.mark_lost()
            return False
        self._is_complete = inquiry.is_complete
        if inquiry.is_complete:
            self._states_by_index.clear()
        for state in inquiry.items:
            self._merge_state(state)
        return True

    def _merge_state(self, state: messages.ItemState) -> None:
        """Keep the best state: a response, then running, then a refusal."""
        job, _, index_text = state.item.rpartition("/")
        if job != self._job:
            return
        index = int(index_text)
        known = self._states_by_index.get(index)
        if known is None or _rank(state) > _rank(known):
            self._states_by_index[index] = state


def _rank(state: messages.ItemState) -> int:
    if state.is_running:
        return 1
    return 2 if state.refusal is None else 0


def create_takeover(
    job: str,
    slot: slots.Slot,
    dispatcher: dispatch.Dispatcher,
    runtime: runtimes.Runtime,
) -> Takeover:
    """Create a job's takeover; empty until `fence_former_owner` is called."""
    return Takeover(job, slot, dispatcher, runtime)
