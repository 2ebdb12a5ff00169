"""Runs a request as attempts on agents until it is answered or refused."""

from collections.abc import AsyncGenerator
from collections.abc import Iterator
from collections.abc import Mapping
import contextlib
import itertools
import secrets
from typing import Final

import msgspec
from returns import result

from eelgrassgate import deadlines
from eelgrassgate import messages
from eelgrassgate import outcomes
from eelgrassgate.entry import agents
from eelgrassgate.entry import exchanges
from eelgrassgate.entry import work_counter
from eelgrassgate.routing import base as routing_base
from eelgrassgate.routing import router as router_lib

ID_PREFIX_BYTES: Final = 9
# The agent enforces the deadline; the entry ends an exchange only if the agent
# does not respond.
DEADLINE_GRACE_S: Final = 1.0


class Request(msgspec.Struct, frozen=True):
    """A caller's request, without the caller's key.

    Attributes:
        workspace: The workspace that it runs for; empty on open routes.
        klass: Online or batch.
        model: The model, empty for a plain service.
        service: The plain service, empty for a model.
        method: The HTTP method.
        path: The endpoint's path with its query.
        body: The request body.
        content_type: Media type of the body.
        is_stream: Whether the response is an event stream.
        is_repeatable: Whether it may run more than once.
        deadline: Instant on the monotonic clock.
        cost: Estimated cost in tokens.
        weight: The workspace's weight in fair queuing.
        digest: Digest of the caller's key, which does not leave the entry.
        digests: Digests of the prompt's prefixes, for cache affinity.
        due: For batch, the instant at which the job is due.
        owner: For batch, the owner's slot.
        fence: For batch, the owner's fencing token.
        item: For batch, `job/index`.
        attempt: Id of the attempt; empty to generate one.
    """

    workspace: str
    klass: outcomes.RequestClass
    model: str
    service: str
    method: str
    path: str
    body: bytes
    content_type: str
    is_stream: bool
    is_repeatable: bool
    deadline: float
    cost: float
    weight: float
    digest: str = ""
    digests: tuple[str, ...] = ()
    due: float = deadlines.NEVER
    owner: str = ""
    fence: int = 0
    item: str = ""
    attempt: str = ""


class Dispatcher:
    """Runs requests on agents."""

    def __init__(
        self,
        open_exchanges: exchanges.Exchanges,
        router: router_lib.Router,
        views_by_name: Mapping[str, agents.AgentView],
    ) -> None:
        """Create a dispatcher to the agents of `views_by_name`.

        `views_by_name` may change at any time.
        """
        self._exchanges = open_exchanges
        self._router = router
        self._views_by_name = views_by_name
        self._id_prefix = secrets.token_urlsafe(ID_PREFIX_BYTES)
        self._attempt_numbers: Iterator[int] = itertools.count()
        self._work_counter = work_counter.WorkCounter()

    async def run(
        self, request: Request
    ) -> AsyncGenerator[exchanges.ResponseMessage, None]:
        """Yield the response; always ends with `End` or `Refused`.

        A refused attempt is retried on another agent only if no part of its
        response was yielded, it has certainly not run or is repeatable, and
        the retry budget allows it.
        """
        routing_request = create_routing_request(request)
        tried_agents: frozenset[str] = frozenset()
        refused: messages.Refused | None = None
        while True:
            chosen = self._router.choose(routing_request, tried_agents)
            if isinstance(chosen, result.Failure):
                yield refused or _refuse(chosen.failure())
                return
            choice = chosen.unwrap()
            tried_agents |= {choice.agent}
            has_started = False
            refused = None
            async with contextlib.aclosing(
                self.run_attempt(request, choice)
            ) as response:
                async for message in response:
                    if isinstance(message, messages.Refused):
                        refused = message
                        continue
                    has_started = True
                    yield message
            if refused is None:
                return
            if has_started or not self._router.acquire_retry(
                routing_request, refused.refusal, len(tried_agents)
            ):
                yield refused
                return

    async def run_attempt(
        self, request: Request, choice: routing_base.Choice
    ) -> AsyncGenerator[exchanges.ResponseMessage, None]:
        """Yield the response of one attempt; ends with `End` or `Refused`.

        If the iterator is closed before, the attempt is cancelled at the agent.
        """
        stats = _AttemptStats(len(request.body))
        exchange = self._open(request, choice)
        try:
            if exchange is None:
                yield _refuse(_refuse_disconnected())
                return
            while not stats.has_ended:
                message = await exchange.get()
                stats.record(message)
                yield message
        finally:
            if exchange is not None:
                if exchange.is_aborted or not stats.has_ended:
                    cancel = messages.Cancel(attempt=exchange.info.attempt)
                    exchange.peer.send(cancel)
                self._exchanges.close(exchange)
            self._router.finish(choice, stats.create_outcome())

    def _open(
        self, request: Request, choice: routing_base.Choice
    ) -> exchanges.Exchange | None:
        view = self._views_by_name.get(choice.agent)
        peer = view.get_peer(request.klass) if view else None
        if peer is None:
            return None
        attempt = (
            request.attempt
            or f"{self._id_prefix}-{next(self._attempt_numbers)}"
        )
        info = exchanges.ExchangeInfo(
            attempt,
            request.klass,
            request.digest,
            request.deadline + DEADLINE_GRACE_S,
        )
        exchange = self._exchanges.open(info, peer)
        if peer.send(self._create_submit(request, attempt, choice.agent)):
            return exchange
        self._exchanges.close(exchange)
        return None

    def _create_submit(
        self, request: Request, attempt: str, agent: str
    ) -> messages.Submit:
        elsewhere = self._work_counter.add(
            request.workspace, agent, request.cost
        )
        return messages.Submit(
            attempt=attempt,
            workspace=request.workspace,
            klass=request.klass,
            method=request.method,
            path=request.path,
            body=request.body,
            content_type=request.content_type,
            is_stream=request.is_stream,
            remaining_ms=deadlines.encode(request.deadline),
            due_ms=deadlines.encode(request.due),
            cost=request.cost,
            weight=request.weight,
            elsewhere=elsewhere,
            is_repeatable=request.is_repeatable,
            credit=exchanges.CREDIT_PARTS,
            owner=request.owner,
            fence=request.fence,
            item=request.item,
        )


class _AttemptStats:
    """Measures an attempt's response for the router."""

    def __init__(self, request_bytes: int) -> None:
        self._started_at = deadlines.now()
        self._request_bytes = request_bytes
        self._response_bytes = 0
        self._first_part_s: float | None = None
        self._is_complete = False
        self._is_endpoint_fault = False
        self.has_ended = False

    def record(self, message: exchanges.ResponseMessage) -> None:
        if isinstance(message, messages.Data):
            if self._first_part_s is None:
                self._first_part_s = deadlines.now() - self._started_at
            self._response_bytes += len(message.data)
        elif isinstance(message, messages.End):
            self._is_complete = self.has_ended = True
        elif isinstance(message, messages.Refused):
            self._is_endpoint_fault = message.is_endpoint_fault
            self.has_ended = True

    def create_outcome(self) -> routing_base.Outcome:
        return routing_base.Outcome(
            is_complete=self._is_complete,
            is_endpoint_fault=self._is_endpoint_fault,
            first_part_s=self._first_part_s,
            request_bytes=self._request_bytes,
            response_bytes=self._response_bytes,
        )


def create_routing_request(request: Request) -> routing_base.Request:
    """Return what the router needs to choose an agent for `request`."""
    return routing_base.Request(
        klass=request.klass,
        model=request.model,
        service=request.service,
        digests=request.digests,
        request_bytes=len(request.body),
        response_bytes=int(request.cost),
        is_repeatable=request.is_repeatable,
        deadline=request.deadline,
    )


def _refuse_disconnected() -> outcomes.Refusal:
    return outcomes.refuse(
        outcomes.Code.ENDPOINT_LOST,
        "The connection to the endpoint is down.",
        1.0,
    )


def _refuse(refusal: outcomes.Refusal) -> messages.Refused:
    return messages.Refused(attempt="", refusal=refusal)
