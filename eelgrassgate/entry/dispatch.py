"""Runs a request as attempts on agents, until it is answered or refused."""

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
from eelgrassgate.entry import work as work_lib
from eelgrassgate.routing import base as routing_base
from eelgrassgate.routing import router as router_lib

TICKET_BYTES: Final = 9
# The agent knows a deadline first; the entry only guards against silence.
DEADLINE_GRACE_S: Final = 1.0


class Request(msgspec.Struct, frozen=True):
    """What a caller asks for, without the caller's key.

    Attributes:
        workspace: The workspace that it runs for; empty on open routes.
        klass: Online or batch.
        model: The model, empty for a plain service.
        service: The plain service, empty for a model.
        method: The HTTP method.
        path: The endpoint's path with its query.
        body: The body.
        content_type: The body's media type.
        is_stream: Whether the answer streams events.
        is_repeatable: Whether it may run more than once.
        deadline: Instant on the monotonic clock.
        cost: Estimated work in tokens.
        weight: The workspace's weight for shares.
        digest: Digest of the caller's key, which does not leave the entry.
        digests: Digests of the prompt's head, for cache affinity.
        due: For batch, the instant at which the job is due.
        owner: For batch, the owner's slot.
        fence: For batch, the owner's fencing number.
        item: For batch, `job/index`.
        attempt: The attempt's id if the asker has chosen one.
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
    """Runs requests over the links to agents."""

    def __init__(
        self,
        held: exchanges.Exchanges,
        router: router_lib.Router,
        views_by_name: Mapping[str, agents.AgentView],
    ) -> None:
        """Create a dispatcher among `views_by_name`, which may change."""
        self._held = held
        self._router = router
        self._views_by_name = views_by_name
        self._prefix = secrets.token_urlsafe(TICKET_BYTES)
        self._numbers: Iterator[int] = itertools.count()
        self._work = work_lib.Work()

    async def run(
        self, request: Request
    ) -> AsyncGenerator[exchanges.Answer, None]:
        """Yield the answer; always ends with `End` or `Refused`.

        A refused attempt is tried elsewhere only while nothing of its answer
        was yielded, if it has certainly not run or may be repeated, and if
        the retry budget allows.
        """
        asked = describe(request)
        tried: frozenset[str] = frozenset()
        refused: messages.Refused | None = None
        while True:
            chosen = self._router.choose(asked, tried)
            if isinstance(chosen, result.Failure):
                yield refused or _refuse(chosen.failure())
                return
            choice = chosen.unwrap()
            tried |= {choice.agent}
            has_begun = False
            refused = None
            async with contextlib.aclosing(
                self.attempt(request, choice)
            ) as answers:
                async for answer in answers:
                    if isinstance(answer, messages.Refused):
                        refused = answer
                        continue
                    has_begun = True
                    yield answer
            if refused is None:
                return
            if has_begun or not self._router.may_retry(
                asked, refused.refusal, len(tried)
            ):
                yield refused
                return

    async def attempt(
        self, request: Request, choice: routing_base.Choice
    ) -> AsyncGenerator[exchanges.Answer, None]:
        """Yield one attempt's answer; ends with `End` or `Refused`.

        If the reader stops before, the attempt is cancelled at the agent.
        """
        tally = _Tally(len(request.body))
        exchange = self._open(request, choice)
        try:
            if exchange is None:
                yield _refuse(_make_lost())
                return
            while not tally.has_ended:
                answer = await exchange.get()
                tally.note(answer)
                yield answer
        finally:
            if exchange is not None:
                if exchange.is_aborted or not tally.has_ended:
                    cancel = messages.Cancel(attempt=exchange.about.attempt)
                    exchange.peer.send(cancel)
                self._held.close(exchange)
            self._router.finish(choice, tally.write())

    def _open(
        self, request: Request, choice: routing_base.Choice
    ) -> exchanges.Exchange | None:
        view = self._views_by_name.get(choice.agent)
        peer = view.get_peer(request.klass) if view else None
        if peer is None:
            return None
        attempt = request.attempt or f"{self._prefix}-{next(self._numbers)}"
        about = exchanges.About(
            attempt,
            request.klass,
            request.digest,
            request.deadline + DEADLINE_GRACE_S,
        )
        exchange = self._held.open(about, peer)
        if peer.send(self._make_submit(request, attempt, choice.agent)):
            return exchange
        self._held.close(exchange)
        return None

    def _make_submit(
        self, request: Request, attempt: str, agent: str
    ) -> messages.Submit:
        elsewhere = self._work.add(request.workspace, agent, request.cost)
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


class _Tally:
    """What an attempt's answer tells the router."""

    def __init__(self, bytes_there: int) -> None:
        self._begun = deadlines.now()
        self._bytes_there = bytes_there
        self._bytes_back = 0
        self._first_part_s: float | None = None
        self._is_whole = False
        self._is_endpoint_ill = False
        self.has_ended = False

    def note(self, answer: exchanges.Answer) -> None:
        if isinstance(answer, messages.Data):
            if self._first_part_s is None:
                self._first_part_s = deadlines.now() - self._begun
            self._bytes_back += len(answer.data)
        elif isinstance(answer, messages.End):
            self._is_whole = self.has_ended = True
        elif isinstance(answer, messages.Refused):
            self._is_endpoint_ill = answer.is_endpoint_ill
            self.has_ended = True

    def write(self) -> routing_base.Outcome:
        return routing_base.Outcome(
            is_whole=self._is_whole,
            is_endpoint_ill=self._is_endpoint_ill,
            first_part_s=self._first_part_s,
            bytes_there=self._bytes_there,
            bytes_back=self._bytes_back,
        )


def describe(request: Request) -> routing_base.Request:
    """Return what the choice of an agent for `request` depends on."""
    return routing_base.Request(
        klass=request.klass,
        model=request.model,
        service=request.service,
        digests=request.digests,
        bytes_there=len(request.body),
        bytes_back=int(request.cost),
        is_repeatable=request.is_repeatable,
        deadline=request.deadline,
    )


def _make_lost() -> outcomes.Refusal:
    return outcomes.refuse(
        outcomes.Code.ENDPOINT_LOST,
        "The connection to the endpoint is down.",
        1.0,
    )


def _refuse(refusal: outcomes.Refusal) -> messages.Refused:
    return messages.Refused(attempt="", refusal=refusal)
