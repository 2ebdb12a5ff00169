"""Fair queuing among workspaces, by weight and by cost in tokens.

Start-time fair queuing: each workspace has a tag that advances by the cost
dispatched for it divided by its weight, and the lowest tag goes next. A
workspace that was idle starts at the current virtual time, so it gains no
credit. Cost dispatched for a workspace to other agents is added to its tag as
in DSFQ (Y. Wang and A. Merchant, Proportional-share scheduling for
distributed storage systems, FAST 2007), so weights hold across the fleet.
"""

from collections.abc import Iterator
import heapq
import itertools
from typing import Final

import msgspec

MAX_LEAD_TOKENS: Final = 20_000.0
MAX_ELSEWHERE_TOKENS: Final = 1_000_000.0


class QueueItem(msgspec.Struct, frozen=True):
    """The properties of an attempt that determine its order.

    Attributes:
        attempt_id: The attempt's id.
        workspace: The workspace that it runs for.
        weight: The workspace's weight.
        cost: Estimated cost in tokens, charged at dispatch.
        deadline: Instant after which it is dropped.
        due: Instant at which its job is due; orders batch attempts.
        size_bytes: Memory that it occupies.
        elsewhere: Tokens dispatched for its workspace to other agents since
            the workspace's last attempt sent here; they delay this one.
    """

    attempt_id: str
    workspace: str
    weight: float
    cost: float
    deadline: float
    due: float
    size_bytes: int = 0
    elsewhere: float = 0.0


class _Flow:
    """The waiting attempts of one workspace."""

    def __init__(self, tag: float) -> None:
        self.tag = tag
        self.waiting: list[tuple[float, int, QueueItem]] = []
        self.in_service = 0
        self.size_bytes = 0

    @property
    def head(self) -> QueueItem:
        """The next attempt of the flow."""
        return self.waiting[0][2]

    def compute_start(self) -> float:
        """Return the start tag of the head."""
        return self.tag + _compute_delay(self.head)


class FairQueue:
    """The waiting attempts of all workspaces, for one class."""

    def __init__(self) -> None:
        """Create an empty queue."""
        self._flows_by_workspace: dict[str, _Flow] = {}
        self._workspaces_by_attempt_id: dict[str, str] = {}
        self._virtual_time = 0.0
        self._order = itertools.count()
        self._front = itertools.count(-1, -1)
        self._deadlines: list[tuple[float, str]] = []

    def __len__(self) -> int:
        """Return the number of waiting attempts."""
        return len(self._workspaces_by_attempt_id)

    def push(self, item: QueueItem) -> None:
        """Add an attempt.

        The tag of a workspace without waiting attempts is raised to the virtual
        time. Cost dispatched elsewhere is added to the tag first, so it delays
        the workspace only as far as the sum exceeds the virtual time.
        """
        flow = self._get_flow(item.workspace)
        if not flow.waiting:
            flow.tag += _compute_delay(item)
            flow.tag = max(flow.tag, self._virtual_time)
            item = msgspec.structs.replace(item, elsewhere=0.0)
        self._insert(flow, item, next(self._order))

    def push_front(self, item: QueueItem) -> None:
        """Requeue a dispatched attempt ahead of the workspace's others.

        Its cost was charged at dispatch, so `item` must hold only the cost
        still to be charged.
        """
        flow = self._get_flow(item.workspace)
        flow.in_service = max(0, flow.in_service - 1)
        self._insert(flow, item, next(self._front))

    def pop(self) -> QueueItem | None:
        """Remove the next attempt and charge its cost."""
        flow = self._choose_flow()
        if flow is None:
            return None
        item = heapq.heappop(flow.waiting)[2]
        del self._workspaces_by_attempt_id[item.attempt_id]
        flow.size_bytes -= item.size_bytes
        flow.tag += _compute_delay(item) + item.cost / item.weight
        flow.in_service += 1
        return item

    def finish(self, item: QueueItem, actual_cost: float) -> None:
        """Correct the charged cost of a dispatched attempt that has ended."""
        flow = self._flows_by_workspace.get(item.workspace)
        if flow is None:
            return
        flow.tag += (actual_cost - item.cost) / item.weight
        flow.in_service = max(0, flow.in_service - 1)
        self._remove_idle_flows()

    def remove(self, attempt_id: str) -> QueueItem | None:
        """Remove a waiting attempt; return None if it is not waiting."""
        workspace = self._workspaces_by_attempt_id.pop(attempt_id, None)
        if workspace is None:
            return None
        flow = self._flows_by_workspace[workspace]
        found = next(
            each for each in flow.waiting if each[2].attempt_id == attempt_id
        )
        flow.waiting.remove(found)
        heapq.heapify(flow.waiting)
        flow.size_bytes -= found[2].size_bytes
        flow.tag += _compute_delay(found[2])
        self._remove_idle_flows()
        return found[2]

    def drop_expired(self, now: float) -> Iterator[QueueItem]:
        """Remove and yield attempts whose deadline has passed."""
        while self._deadlines and self._deadlines[0][0] <= now:
            _, attempt_id = heapq.heappop(self._deadlines)
            item = self.remove(attempt_id)
            if item is not None:
                yield item

    def get_next_deadline(self) -> float | None:
        """Return a lower bound of the waiting attempts' deadlines.

        It may be the deadline of an attempt that no longer waits.
        """
        return self._deadlines[0][0] if self._deadlines else None

    def find_largest(self) -> str | None:
        """Return the workspace with the most waiting bytes."""
        flows = self._flows_by_workspace
        return max(flows, key=lambda each: flows[each].size_bytes, default=None)

    def find_last(self, workspace: str) -> QueueItem:
        """Return the attempt of `workspace` that would be dispatched last."""
        return max(self._flows_by_workspace[workspace].waiting)[2]

    def _get_flow(self, workspace: str) -> _Flow:
        flow = self._flows_by_workspace.get(workspace)
        if flow is None:
            flow = _Flow(self._virtual_time)
            self._flows_by_workspace[workspace] = flow
        return flow

    def _insert(self, flow: _Flow, item: QueueItem, order: int) -> None:
        heapq.heappush(flow.waiting, (item.due, order, item))
        flow.size_bytes += item.size_bytes
        self._workspaces_by_attempt_id[item.attempt_id] = item.workspace
        if item.deadline != float("inf"):
            heapq.heappush(self._deadlines, (item.deadline, item.attempt_id))

    def _choose_flow(self) -> _Flow | None:
        """Choose the flow with the earliest due head among eligible ones.

        A flow is eligible if its head leads the lowest start tag by at most
        `MAX_LEAD_TOKENS`.
        """
        flows = [f for f in self._flows_by_workspace.values() if f.waiting]
        if not flows:
            return None
        least = min(flow.compute_start() for flow in flows)
        self._virtual_time = max(self._virtual_time, least)
        eligible = (
            flow
            for flow in flows
            if (flow.compute_start() - least) * flow.head.weight
            <= MAX_LEAD_TOKENS
        )
        return min(eligible, key=lambda f: (f.head.due, f.compute_start()))

    def _remove_idle_flows(self) -> None:
        """Remove idle flows whose tag no longer exceeds the virtual time.

        Such a flow no longer differs from a new one.
        """
        flows = self._flows_by_workspace
        if not any(flow.waiting or flow.in_service for flow in flows.values()):
            tags = (flow.tag for flow in flows.values())
            self._virtual_time = max(tags, default=self._virtual_time)
        for workspace, flow in tuple(flows.items()):
            is_idle = not flow.waiting and not flow.in_service
            if is_idle and flow.tag <= self._virtual_time:
                del flows[workspace]


def _compute_delay(item: QueueItem) -> float:
    return min(item.elsewhere, MAX_ELSEWHERE_TOKENS) / item.weight
