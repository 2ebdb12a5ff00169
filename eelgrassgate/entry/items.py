"""Runs the items of batch jobs at agents, one try at a time."""

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
from eelgrassgate.config import fleet
from eelgrassgate.entry import agents
from eelgrassgate.entry import dispatch
from eelgrassgate.entry import rates
from eelgrassgate.instances import base as instances_base
from eelgrassgate.jobs import dispatch as jobs_dispatch
from eelgrassgate.link import base as link_base
from eelgrassgate.routing import base as routing_base
from eelgrassgate.routing import router as router_lib

ROOM_POLL_S: Final = 0.02
NO_ROOM_POLL_S: Final = 0.2
INQUIRY_TIMEOUT_S: Final = 3.0

_NOT_NOW: Final = outcomes.refuse(
    outcomes.Code.OVERLOADED, "The owner may not start work now."
)
_NO_ROUTE: Final = outcomes.refuse(
    outcomes.Code.NOT_FOUND, "There is no such path."
)


class _Question:
    """An inquiry that waits for agents' answers."""

    def __init__(self, asked: set[str]) -> None:
        self.missing = asked
        self.known: list[messages.Known] = []
        self.changed = anyio.Event()


class Items:
    """Runs items over the links to agents; a `jobs.dispatch.Dispatcher`."""

    def __init__(
        self,
        source: callers_base.FleetSource,
        limiter: callers_base.Limiter,
        recorder: callers_base.Recorder,
        dispatcher: dispatch.Dispatcher,
        router: router_lib.Router,
        views_by_name: dict[str, agents.AgentView],
    ) -> None:
        """Create with no item running."""
        self._source = source
        self._limiter = limiter
        self._recorder = recorder
        self._dispatcher = dispatcher
        self._router = router
        self._views_by_name = views_by_name
        self._running_by_agent: dict[str, int] = {}
        self._questions_by_job: dict[str, _Question] = {}

    async def run(
        self, item: jobs_dispatch.ItemCall
    ) -> jobs_dispatch.ItemResult:
        """Run one try to its end; wait for room as long as it takes."""
        request = self._make_request(item)
        if isinstance(request, outcomes.Refusal):
            return jobs_dispatch.ItemResult("", refusal=request)
        await self._take_token(item.workspace)
        choice = await self._wait_for_room(request, item.avoid)
        if not item.may_start():
            self._router.finish(choice, routing_base.Outcome(is_whole=False))
            return jobs_dispatch.ItemResult("", refusal=_NOT_NOW)
        running = self._running_by_agent
        running[choice.agent] = running.get(choice.agent, 0) + 1
        try:
            return await self._collect(request, choice)
        finally:
            running[choice.agent] -= 1

    async def inquire(
        self, job: str, owner: str, fence: int
    ) -> jobs_dispatch.Inquiry:
        """Ask all agents what they know of `job`, within a few seconds."""
        question = _Question(set(self._views_by_name))
        self._questions_by_job[job] = question
        inquire = messages.Inquire(owner=owner, fence=fence, job=job)
        for view in self._views_by_name.values():
            peer = view.get_peer(outcomes.RequestClass.BATCH)
            if peer is not None:
                peer.send(inquire)
        with anyio.move_on_after(INQUIRY_TIMEOUT_S):
            while question.missing:
                await question.changed.wait()
        self._questions_by_job.pop(job, None)
        return jobs_dispatch.Inquiry(
            items=tuple(
                state for known in question.known for state in known.items
            ),
            is_whole=not question.missing,
            is_stale=any(known.is_stale for known in question.known),
        )

    async def cancel(self, items: tuple[messages.ItemState, ...]) -> None:
        """Cancel attempts that a former owner left running at agents."""
        for state in items:
            cancel = messages.Cancel(attempt=state.attempt)
            for peer in self._get_batch_peers():
                peer.send(cancel)

    def settle(self, items: tuple[str, ...]) -> None:
        """Tell agents that the results of `items` are committed."""
        settled = messages.Settled(items=items)
        for peer in self._get_batch_peers():
            peer.send(settled)

    def connect(self, view: agents.AgentView) -> None:
        """Take an agent whose connection has opened."""

    def receive(
        self, view: agents.AgentView, message: messages.AnyMessage
    ) -> None:
        """Take an agent's answer to an inquiry."""
        if not isinstance(message, messages.Known):
            return
        question = self._questions_by_job.get(message.job)
        if question is None or view.instance.name not in question.missing:
            return
        question.missing.discard(view.instance.name)
        question.known.append(message)
        question.changed.set()
        question.changed = anyio.Event()

    def disconnect(self, view: agents.AgentView) -> None:
        """Take the loss of a connection to an agent."""

    def relist(self, instances: tuple[instances_base.Instance, ...]) -> None:
        """Take a new list of agents."""

    async def _take_token(self, workspace: str) -> None:
        limits = self._source.fleet.workspaces.get(workspace)
        if limits is None or limits.batch_rate is None:
            return
        bucket = workspace + rates.BATCH_SUFFIX
        while True:
            admitted = await self._limiter.admit(bucket, deadlines.NEVER)
            if not isinstance(admitted, result.Failure):
                return
            refusal: outcomes.Refusal = admitted.failure()
            await anyio.sleep(refusal.retry_after_s or ROOM_POLL_S)

    async def _wait_for_room(
        self, request: dispatch.Request, avoid: frozenset[str]
    ) -> routing_base.Choice:
        """Choose an agent that has room for one more batch attempt."""
        asked = dispatch.describe(request)
        while True:
            full = frozenset(self._iterate_full())
            for exclude in (full | avoid, full):
                chosen = self._router.choose(asked, exclude)
                if not isinstance(chosen, result.Failure):
                    return chosen.unwrap()
            await anyio.sleep(ROOM_POLL_S if full else NO_ROOM_POLL_S)

    def _iterate_full(self) -> Iterator[str]:
        for name, view in self._views_by_name.items():
            if not view.has_batch_room(self._running_by_agent.get(name, 0)):
                yield name

    async def _collect(
        self, request: dispatch.Request, choice: routing_base.Choice
    ) -> jobs_dispatch.ItemResult:
        begun = deadlines.now()
        status = 0
        parts: list[bytes] = []
        async for answer in self._dispatcher.attempt(request, choice):
            if isinstance(answer, messages.Head):
                status = answer.status
            elif isinstance(answer, messages.Data):
                parts.append(answer.data)
            elif isinstance(answer, messages.Refused):
                return jobs_dispatch.ItemResult(
                    choice.agent,
                    refusal=answer.refusal,
                    is_endpoint_ill=answer.is_endpoint_ill,
                )
        self._note_whole(request, deadlines.now() - begun)
        return jobs_dispatch.ItemResult(choice.agent, status, b"".join(parts))

    def _note_whole(self, request: dispatch.Request, seconds: float) -> None:
        workspace = request.workspace
        self._recorder.count("batch_items", workspace)
        self._recorder.time("whole", workspace, request.klass, seconds)

    def _get_batch_peers(self) -> Iterator[link_base.Peer]:
        for view in self._views_by_name.values():
            peer = view.get_peer(outcomes.RequestClass.BATCH)
            if peer is not None:
                yield peer

    def _make_request(
        self, item: jobs_dispatch.ItemCall
    ) -> dispatch.Request | outcomes.Refusal:
        source = self._source.fleet
        if item.path in completions.PATHS:
            return _make_completion(item, source)
        return _make_service_call(item, source)


def _make_completion(
    item: jobs_dispatch.ItemCall, source: fleet.Fleet
) -> dispatch.Request | outcomes.Refusal:
    parsed = completions.parse(item.body, item.path, source)
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
        weight=_get_weight(item, source),
        digests=completions.compute_digests(prompt),
        due=item.due,
        owner=item.owner,
        fence=item.fence,
        item=item.item,
        attempt=item.attempt,
    )


def _make_service_call(
    item: jobs_dispatch.ItemCall, source: fleet.Fleet
) -> dispatch.Request | outcomes.Refusal:
    prefix = services.find_prefix(source, item.path)
    if prefix is None:
        return _NO_ROUTE
    route = source.routes[prefix]
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
        weight=_get_weight(item, source),
        due=item.due,
        owner=item.owner,
        fence=item.fence,
        item=item.item,
        attempt=item.attempt,
    )


def _get_weight(item: jobs_dispatch.ItemCall, source: fleet.Fleet) -> float:
    workspace = source.workspaces.get(item.workspace)
    return workspace.weight if workspace else 1.0
