"""The router of one entry: chooses agents and learns from outcomes.

Use, all on the event loop and none blocking:

    chosen = router.choose(request, exclude=tried)
    ... run the attempt on `chosen.unwrap().agent` ...
    router.finish(choice, outcome)  # once for each choice, also if cancelled
    if router.may_retry(request, refusal, tries): ...
"""

from collections.abc import Callable
from collections.abc import Collection
from collections.abc import Iterable
import itertools
import random
import time
from typing import Final

import msgspec
from returns import result

from eelgrassgate import messages
from eelgrassgate import outcomes
from eelgrassgate import settings
from eelgrassgate.config import fleet
from eelgrassgate.routing import base
from eelgrassgate.routing import budget
from eelgrassgate.routing import candidates
from eelgrassgate.routing import directory
from eelgrassgate.routing import health
from eelgrassgate.routing import holders
from eelgrassgate.routing import regions

RETRY_S: Final = 1.0
SPARED_S: Final = 10.0
MAX_TRIES: Final = 3
RETRIED_CODES: Final = frozenset(
    (
        outcomes.Code.ENDPOINT_FAILED,
        outcomes.Code.ENDPOINT_LOST,
        outcomes.Code.OVERLOADED,
        outcomes.Code.SHUTTING_DOWN,
    )
)


class _Running(msgspec.Struct, frozen=True):
    """An attempt that has not ended."""

    choice: base.Choice
    candidate: candidates.Candidate
    request: base.Request
    begun: float


class Router:
    """Chooses the agent for each attempt of one entry."""

    def __init__(
        self,
        place: settings.Place,
        clock: Callable[[], float],
        chance: random.Random,
        counter: base.Counter,
    ) -> None:
        """Create a router that knows no agent; see `create_router`."""
        self._clock = clock
        self._counter = counter
        self._directory = directory.Directory()
        self._holders = holders.Holders()
        self._health = health.Health()
        self._running_by_number: dict[int, _Running] = {}
        self._numbers = itertools.count(1)
        now = clock()
        self._regions = regions.Regions(place, chance, counter, now)
        self._retries_by_class = {
            klass: budget.RetryBudget(now) for klass in outcomes.RequestClass
        }

    def configure(self, link: fleet.Link, entries: int) -> None:
        """Take the link's limits and how many entries of all regions share it.

        If either has changed, the budget starts full; else nothing happens.
        """
        self._regions.configure(link, entries, self._clock())

    def update(
        self,
        agent: str,
        info: messages.EndpointInfo,
        zone: str,
        region: str,
    ) -> None:
        """Take an agent whose connection has opened."""
        self._directory.add(candidates.Candidate(agent, info, zone, region))
        group = info.service or ",".join(sorted(info.models))
        self._health.add(agent, f"{info.kind}:{group}", self._clock())

    def remove(self, agent: str) -> None:
        """Take the loss of the connection to an agent."""
        self._directory.remove(agent)
        self._health.remove(agent)

    def report(self, agent: str, report: messages.LoadReport) -> None:
        """Take an agent's load report with its cache events."""
        candidate = self._directory.get(agent)
        if candidate is None:
            return
        candidate.take_report(report)
        self._holders.drop(agent, report.evicted)
        self._holders.note(agent, report.cached)

    def leave(self, agent: str) -> None:
        """Take that an agent says that it leaves."""
        candidate = self._directory.get(agent)
        if candidate is not None:
            candidate.is_leaving = True

    def take_listed_leaving(self, agents: Collection[str]) -> None:
        """Take the names of all agents that the list shows as leaving."""
        self._directory.take_listed_leaving(agents)

    def choose(
        self,
        request: base.Request,
        exclude: Collection[str] = frozenset(),
    ) -> result.Result[base.Choice, outcomes.Refusal]:
        """Choose the agent for an attempt; the first one earns retries.

        Args:
            request: What is to be run.
            exclude: Agents that were tried before for this request.

        Returns:
            The choice, to be given to `finish` in any case; or a refusal,
            `OVERLOADED`, if no agent may take the request now.
        """
        now = self._clock()
        if not exclude:
            self._retries_by_class[request.klass].earn(now)
        serving = [
            one
            for one in self._directory.find(request)
            if one.is_open() and one.agent not in exclude
        ]
        if not serving:
            refusal = regions.refuse("No endpoint is available.", RETRY_S)
            return result.Failure(refusal.failure())
        depths_by_agent = self._holders.find(request.digests)
        chosen = self._find_trial(request, serving, now)
        is_trial = chosen is not None
        if chosen is None:
            usable = [one for one in serving if self._health.is_in(one.agent)]
            answer = self._regions.choose(
                request, usable or serving, depths_by_agent, now
            )
            if isinstance(answer, result.Failure):
                return result.Failure(answer.failure())
            chosen = answer.unwrap()
        if chosen.agent in depths_by_agent:
            self._counter.count("prefix_known")
        return result.Success(self._begin(chosen, request, now, is_trial))

    def finish(self, choice: base.Choice, outcome: base.Outcome) -> None:
        """Take how an attempt ended; a second call changes nothing."""
        running = self._running_by_number.pop(choice.number, None)
        if running is None:
            return
        now = self._clock()
        request = running.request
        whole_s = now - running.begun if outcome.is_whole else None
        running.candidate.end(request.klass, whole_s)
        if choice.is_crossing:
            self._regions.end_crossing(request, outcome)
        if outcome.is_endpoint_ill:
            self._holders.drop(choice.agent, request.digests)
        self._health.take(choice.agent, choice.is_trial, outcome, now)

    def may_retry(
        self, request: base.Request, refusal: outcomes.Refusal, tries: int
    ) -> bool:
        """Tell whether to try elsewhere; takes it from the budget if so.

        Args:
            request: What was run.
            refusal: How its last attempt ended.
            tries: How many attempts were made.
        """
        is_safe = refusal.ran is outcomes.RunStatus.NOT_RUN
        if not (is_safe or request.is_repeatable):
            return False
        if refusal.code not in RETRIED_CODES or tries >= MAX_TRIES:
            return False
        now = self._clock()
        if now >= request.deadline:
            return False
        if refusal.code is outcomes.Code.SHUTTING_DOWN and is_safe:
            self._counter.count("retries")
            return True
        is_allowed = self._retries_by_class[request.klass].take(now)
        self._counter.count("retries" if is_allowed else "retries_denied")
        return is_allowed

    def list_out(self) -> Iterable[str]:
        """Yield the agents that are taken out."""
        return (
            agent
            for agent in self._directory.list_agents()
            if not self._health.is_in(agent)
        )

    def _find_trial(
        self,
        request: base.Request,
        serving: list[candidates.Candidate],
        now: float,
    ) -> candidates.Candidate | None:
        """Find an agent due for a trial, in this region if any is here.

        Calls that may run only once are spared for a while.
        """
        near = [one for one in serving if not self._regions.is_far(one)]
        limit = now if request.is_repeatable else now - SPARED_S
        return next(
            (
                one
                for one in near or serving
                if self._health.is_due(one.agent, limit)
            ),
            None,
        )

    def _begin(
        self,
        candidate: candidates.Candidate,
        request: base.Request,
        now: float,
        is_trial: bool,
    ) -> base.Choice:
        choice = base.Choice(
            next(self._numbers),
            candidate.agent,
            self._regions.is_far(candidate),
            is_trial,
        )
        self._counter.count("attempts")
        if is_trial:
            self._counter.count("trials")
            self._health.begin_trial(candidate.agent)
        if choice.is_crossing:
            self._regions.begin_crossing(request)
        candidate.begin(request.klass)
        self._holders.note(candidate.agent, request.digests)
        self._running_by_number[choice.number] = _Running(
            choice, candidate, request, now
        )
        return choice


def create_router(
    place: settings.Place,
    clock: Callable[[], float] = time.monotonic,
    seed: int | None = None,
    counter: base.Counter | None = None,
) -> Router:
    """Create the router of an entry at `place`.

    Args:
        place: Where the entry runs.
        clock: Tells the time in seconds; deadlines are instants on it.
        seed: Seed of the chance; None for a fresh one.
        counter: Takes the router's counts.
    """
    chance = random.Random(seed)
    return Router(place, clock, chance, counter or base.Uncounted())
