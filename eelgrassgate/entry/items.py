"""Runs the items of batch jobs on agents, one attempt at a time."""

from collections.abc import Iterator
from typing import Final

import anyio
from returns import result

from eelgrassgate import deadlines
from eelgrassgate import messages
from eelgrassgate import outcomes
from eelgrassgate.callers import base as callers_base
from eelgrassgate.callers import completions
from eelgrassgate.callers import services
from eelgrassgate.config import fleet as fleet_lib
from eelgrassgate.entry import agents
from eelgrassgate.entry import dispatch
from eelgrassgate.entry import rates
from eelgrassgate.instances import base as instances_base
from eelgrassgate.jobs import dispatch as jobs_dispatch
from eelgrassgate.link import base as link_base
from eelgrassgate.routing import base as routing_base
from eelgrassgate.routing import router as router_lib

CAPACITY_POLL_INTERVAL_S: Final = 0.02
NO_AGENT_POLL_INTERVAL_S: Final = 0.2
INQUIRY_TIMEOUT_S: Final = 3.0

_START_DENIED: Final = outcomes.refuse(
    outcomes.Code.OVERLOADED, "The job owner may not start items now."
)
_UNKNOWN_PATH: Final = outcomes.refuse(
    outcomes.Code.NOT_FOUND, "There is no such path."
)


class _PendingInquiry:
    """An inquiry that waits for the agents' replies."""

    def __init__(self, pending_agents: set[str]) -> None:
        self.pending_agents = pending_agents
        self.replies: list[messages.Known] = []
        self.changed = anyio.Event()


class ItemRunner:
    """Runs items on agents; a `jobs.dispatch.Dispatcher`."""

    def __init__(
        self,
        source: callers_base.FleetSource,
        limiter: callers_base.Limiter,
        recorder: callers_base.Recorder,
        dispatcher: dispatch.Dispatcher,
        router: router_lib.Router,
        views_by_name: dict[str, agents.AgentView],
    ) -> None:
        """Create a runner with no item running."""
        self._source = source
        self._limiter = limiter
        self._recorder = recorder
        self._dispatcher = dispatcher
        self._router = router
        self._views_by_name = views_by_name
        self._running_by_agent: dict[str, int] = {}
        self._inquiries_by_job: dict[str, _PendingInquiry] = {}

    async def run(
        self, item: jobs_dispatch.ItemCall
    ) -> jobs_dispatch.ItemResult:
        """Run one attempt, however long it waits for an agent's capacity."""
        request = self._create_request(item)
        if isinstance(request, outcomes.Refusal):
            return jobs_dispatch.ItemResult("", refusal=request)
        await self._acquire_token(item.workspace)
        choice = await self._wait_for_capacity(request, item.avoid)
        if not item.can_start():
            self._router.finish(choice, routing_base.Outcome(is_complete=False))
            return jobs_dispatch.ItemResult("", refusal=_START_DENIED)
        running = self._running_by_agent
        running[choice.agent] = running.get(choice.agent, 0) + 1
        try:
            return await self._collect(request, choice)
        finally:
            running[choice.agent] -= 1

    async def inquire(
        self, job: str, owner: str, fence: int
    ) -> jobs_dispatch.Inquiry:
        """Ask all agents which items of `job` they know, with a timeout."""
        inquiry = _PendingInquiry(set(self._views_by_name))
        self._inquiries_by_job[job] = inquiry
        inquire = messages.Inquire(owner=owner, fence=fence, job=job)
        for view in self._views_by_name.values():
            peer = view.get_peer(outcomes.RequestClass.BATCH)
            if peer is not None:
                peer.send(inquire)
        with anyio.move_on_after(INQUIRY_TIMEOUT_S):
            while inquiry.pending_agents:
                await inquiry.changed.wait()
        self._inquiries_by_job.pop(job, None)
        return jobs_dispatch.Inquiry(
            items=tuple(
                state for reply in inquiry.replies for state in reply.items
            ),
            is_complete=not inquiry.pending_agents,
            is_stale=any(reply.is_stale for reply in inquiry.replies),
        )

    async def cancel(self, items: tuple[messages.ItemState, ...]) -> None:
        """Cancel attempts that a previous owner left running on agents."""
        for state in items:
            cancel = messages.Cancel(attempt=state.attempt)
            for peer in self._iterate_batch_peers():
                peer.send(cancel)

    def announce_committed(self, items: tuple[str, ...]) -> None:
        """Tell agents that the results of `items` are committed."""
        settled = messages.Settled(items=items)
        for peer in self._iterate_batch_peers():
            peer.send(settled)

    def connect(self, view: agents.AgentView) -> None:
        """Ignore a new connection to an agent."""

    def receive(
        self, view: agents.AgentView, message: messages.AnyMessage
    ) -> None:
        """Handle an agent's reply to an inquiry."""
        if not isinstance(message, messages.Known):
            return
        inquiry = self._inquiries_by_job.get(message.job)
        if inquiry is None or view.instance.name not in inquiry.pending_agents:
            return
        inquiry.pending_agents.discard(view.instance.name)
        inquiry.replies.append(message)
        inquiry.changed.set()
        inquiry.changed = anyio.Event()

    def disconnect(self, view: agents.AgentView) -> None:
        """Ignore the loss of a connection to an agent."""

    def update_instances(
        self, instances: tuple[instances_base.Instance, ...]
    ) -> None:
        """Ignore a new list of agents."""

    async def _acquire_token(self, workspace: str) -> None:
        limits = self._source.fleet.workspaces.get(workspace)
        if limits is None or limits.batch_rate is None:
            return
        bucket = workspace + rates.BATCH_BUCKET_SUFFIX
        while True:
            admitted = await self._limiter.admit(bucket, deadlines.NEVER)
            if not isinstance(admitted, result.Failure):
                return
            refusal: outcomes.Refusal = admitted.failure()
            await anyio.sleep(refusal.retry_after_s or CAPACITY_POLL_INTERVAL_S)

    async def _wait_for_capacity(
        self, request: dispatch.Request, avoid: frozenset[str]
    ) -> routing_base.Choice:
        """Choose an agent with capacity for one more batch attempt."""
        routing_request = dispatch.create_routing_request(request)
        while True:
            full = frozenset(self._iterate_full())
            for exclude in (full | avoid, full):
                chosen = self._router.choose(routing_request, exclude)
                if not isinstance(chosen, result.Failure):
                    return chosen.unwrap()
            await anyio.sleep(
                CAPACITY_POLL_INTERVAL_S if full else NO_AGENT_POLL_INTERVAL_S
            )

    def _iterate_full(self) -> Iterator[str]:
        for name, view in self._views_by_name.items():
            if not view.has_batch_capacity(self._running_by_agent.get(name, 0)):
                yield name

    async def _collect(
        self, request: dispatch.Request, choice: routing_base.Choice
    ) -> jobs_dispatch.ItemResult:
        started_at = deadlines.now()
        status = 0
        parts: list[bytes] = []
        async for message in self._dispatcher.run_attempt(request, choice):
            if isinstance(message, messages.Head):
                status = message.status
            elif isinstance(message, messages.Data):
                parts.append(message.data)
            elif isinstance(message, messages.Refused):
                return jobs_dispatch.ItemResult(
                    choice.agent,
                    refusal=message.refusal,
                    is_endpoint_fault=message.is_endpoint_fault,
                )
        self._record_completion(request, deadlines.now() - started_at)
        return jobs_dispatch.ItemResult(choice.agent, status, b"".join(parts))

    def _record_completion(
        self, request: dispatch.Request, seconds: float
    ) -> None:
        workspace = request.workspace
        self._recorder.count("batch_items", workspace)
        self._recorder.time("whole", workspace, request.klass, seconds)

    def _iterate_batch_peers(self) -> Iterator[link_base.Peer]:
        for view in self._views_by_name.values():
            peer = view.get_peer(outcomes.RequestClass.BATCH)
            if peer is not None:
                yield peer

    def _create_request(
        self, item: jobs_dispatch.ItemCall
    ) -> dispatch.Request | outcomes.Refusal:
        fleet = self._source.fleet
        if item.path in completions.PATHS:
            return _create_completion_request(item, fleet)
        return _create_service_request(item, fleet)


def _create_completion_request(
    item: jobs_dispatch.ItemCall, fleet: fleet_lib.Fleet
) -> dispatch.Request | outcomes.Refusal:
    parsed = completions.parse(item.body, item.path, fleet)
    if isinstance(parsed, result.Failure):
        refusal: outcomes.Refusal = parsed.failure()
        return refusal
    prompt = parsed.unwrap()
    return dispatch.Request(
        workspace=item.workspace,
        klass=outcomes.RequestClass.BATCH,
        model=prompt.model,
        service="",
        method=item.method,
        path=item.path,
        body=item.body,
        content_type="application/json",
        is_stream=False,
        is_repeatable=item.is_repeatable,
        deadline=deadlines.NEVER,
        cost=completions.estimate_cost(prompt, item.body),
        weight=_get_weight(item, fleet),
        digests=completions.compute_digests(prompt),
        due=item.due,
        owner=item.owner,
        fence=item.fence,
        item=item.item,
        attempt=item.attempt,
    )


def _create_service_request(
    item: jobs_dispatch.ItemCall, fleet: fleet_lib.Fleet
) -> dispatch.Request | outcomes.Refusal:
    prefix = services.find_prefix(fleet, item.path)
    if prefix is None:
        return _UNKNOWN_PATH
    route = fleet.routes[prefix]
    return dispatch.Request(
        workspace=item.workspace,
        klass=outcomes.RequestClass.BATCH,
        model="",
        service=route.service,
        method=item.method,
        path=item.path.removeprefix(prefix.rstrip("/")) or "/",
        body=item.body,
        content_type="application/json",
        is_stream=False,
        is_repeatable=item.is_repeatable and route.is_repeatable,
        deadline=deadlines.NEVER,
        cost=1.0,
        weight=_get_weight(item, fleet),
        due=item.due,
        owner=item.owner,
        fence=item.fence,
        item=item.item,
        attempt=item.attempt,
    )


def _get_weight(item: jobs_dispatch.ItemCall, fleet: fleet_lib.Fleet) -> float:
    workspace = fleet.workspaces.get(item.workspace)
    return workspace.weight if workspace else 1.0
