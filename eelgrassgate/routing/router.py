"""The router of one entry, which chooses agents and records outcomes.

Usage (all methods run on the event loop and do not block):

    choice = router.choose(request, exclude=tried).unwrap()
    ... run the attempt on `choice.agent` ...
    router.finish(choice, outcome)  # once for each choice, also if cancelled
    if router.acquire_retry(request, refusal, attempts): ...
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
from eelgrassgate.routing import prefix_index
from eelgrassgate.routing import regions

RETRY_AFTER_S: Final = 1.0
NON_REPEATABLE_PROBE_DELAY_S: Final = 10.0
MAX_ATTEMPTS: Final = 3
RETRYABLE_CODES: Final = frozenset(
    (
        outcomes.Code.ENDPOINT_FAILED,
        outcomes.Code.ENDPOINT_LOST,
        outcomes.Code.OVERLOADED,
        outcomes.Code.SHUTTING_DOWN,
    )
)


class _RunningAttempt(msgspec.Struct, frozen=True):
    """An attempt that has not finished."""

    choice: base.Choice
    candidate: candidates.Candidate
    request: base.Request
    started_at: float


class Router:
    """Chooses an agent for each attempt of one entry."""

    def __init__(
        self,
        place: settings.Place,
        clock: Callable[[], float],
        rng: random.Random,
        counter: base.Counter,
    ) -> None:
        """Create a router without agents; see `create_router`."""
        self._clock = clock
        self._counter = counter
        self._directory = directory.AgentDirectory()
        self._prefixes = prefix_index.PrefixIndex()
        self._outliers = health.OutlierDetector()
        self._running_by_number: dict[int, _RunningAttempt] = {}
        self._numbers = itertools.count(1)
        now = clock()
        self._regions = regions.RegionSelector(place, rng, counter, now)
        self._retries_by_class = {
            klass: budget.RetryBudget(now) for klass in outcomes.RequestClass
        }

    def configure(self, link: fleet.Link, entries: int) -> None:
        """Set the link's limits and the number of entries that share it.

        If either changes, the link budget is reset to full.

        Args:
            link: The link's limits.
            entries: The number of entries of all regions.
        """
        self._regions.configure(link, entries, self._clock())

    def add(
        self,
        agent: str,
        info: messages.EndpointInfo,
        zone: str,
        region: str,
    ) -> None:
        """Add an agent whose connection has opened."""
        self._directory.add(candidates.Candidate(agent, info, zone, region))
        group = info.service or ",".join(sorted(info.models))
        self._outliers.add(agent, f"{info.kind}:{group}", self._clock())

    def remove(self, agent: str) -> None:
        """Remove an agent whose connection was lost."""
        self._directory.remove(agent)
        self._outliers.remove(agent)

    def handle_report(self, agent: str, report: messages.LoadReport) -> None:
        """Apply an agent's load report and its cache events."""
        candidate = self._directory.get(agent)
        if candidate is None:
            return
        candidate.update_load(report)
        self._prefixes.remove(agent, report.evicted)
        self._prefixes.add(agent, report.cached)

    def mark_leaving(self, agent: str) -> None:
        """Mark an agent that announced its shutdown."""
        candidate = self._directory.get(agent)
        if candidate is not None:
            candidate.is_leaving = True

    def set_listed_leaving(self, agents: Collection[str]) -> None:
        """Set the names of all agents that the instance list has as leaving."""
        self._directory.set_listed_leaving(agents)

    def choose(
        self,
        request: base.Request,
        exclude: Collection[str] = frozenset(),
    ) -> result.Result[base.Choice, outcomes.Refusal]:
        """Choose the agent for an attempt.

        A request's first attempt earns retry tokens.

        Args:
            request: The request.
            exclude: Agents that were already tried for this request.

        Returns:
            The choice, which must be passed to `finish` in any case, or an
            `OVERLOADED` refusal if no agent can take the request now.
        """
        now = self._clock()
        if not exclude:
            self._retries_by_class[request.klass].earn(now)
        serving = [
            candidate
            for candidate in self._directory.find(request)
            if candidate.is_accepting() and candidate.agent not in exclude
        ]
        if not serving:
            refusal = regions.refuse("No endpoint is available.", RETRY_AFTER_S)
            return result.Failure(refusal.failure())
        depths_by_agent = self._prefixes.find(request.digests)
        chosen = self._find_probe(request, serving, now)
        is_probe = chosen is not None
        if chosen is None:
            usable = [
                candidate
                for candidate in serving
                if self._outliers.is_active(candidate.agent)
            ]
            answer = self._regions.choose(
                request, usable or serving, depths_by_agent, now
            )
            if isinstance(answer, result.Failure):
                return result.Failure(answer.failure())
            chosen = answer.unwrap()
        if chosen.agent in depths_by_agent:
            self._counter.count("prefix_known")
        return result.Success(
            self._start_attempt(chosen, request, now, is_probe)
        )

    def finish(self, choice: base.Choice, outcome: base.Outcome) -> None:
        """Record the outcome of an attempt; repeated calls are ignored."""
        running = self._running_by_number.pop(choice.number, None)
        if running is None:
            return
        now = self._clock()
        request = running.request
        duration_s = now - running.started_at if outcome.is_complete else None
        running.candidate.record_end(request.klass, duration_s)
        if choice.is_cross_region:
            self._regions.correct_link_charge(request, outcome)
        if outcome.is_endpoint_fault:
            self._prefixes.remove(choice.agent, request.digests)
        self._outliers.record_outcome(
            choice.agent, choice.is_probe, outcome, now
        )

    def acquire_retry(
        self, request: base.Request, refusal: outcomes.Refusal, attempts: int
    ) -> bool:
        """Return whether to retry; if so, take a token from the budget.

        Args:
            request: The request.
            refusal: The refusal of its last attempt.
            attempts: The number of attempts so far.
        """
        is_safe = refusal.ran is outcomes.RunStatus.NOT_RUN
        if not (is_safe or request.is_repeatable):
            return False
        if refusal.code not in RETRYABLE_CODES or attempts >= MAX_ATTEMPTS:
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

    def list_ejected(self) -> Iterable[str]:
        """Yield the ejected agents."""
        return (
            agent
            for agent in self._directory.list_agents()
            if not self._outliers.is_active(agent)
        )

    def _find_probe(
        self,
        request: base.Request,
        serving: list[candidates.Candidate],
        now: float,
    ) -> candidates.Candidate | None:
        """Find an agent to probe, in this region if any agent is here.

        A call that may run only once is not used as a probe until a further
        `NON_REPEATABLE_PROBE_DELAY_S` has passed.
        """
        local = [
            candidate
            for candidate in serving
            if not self._regions.is_remote(candidate)
        ]
        limit = (
            now if request.is_repeatable else now - NON_REPEATABLE_PROBE_DELAY_S
        )
        return next(
            (
                candidate
                for candidate in local or serving
                if self._outliers.is_probe_due(candidate.agent, limit)
            ),
            None,
        )

    def _start_attempt(
        self,
        candidate: candidates.Candidate,
        request: base.Request,
        now: float,
        is_probe: bool,
    ) -> base.Choice:
        choice = base.Choice(
            next(self._numbers),
            candidate.agent,
            self._regions.is_remote(candidate),
            is_probe,
        )
        self._counter.count("attempts")
        if is_probe:
            self._counter.count("trials")
            self._outliers.begin_probe(candidate.agent)
        if choice.is_cross_region:
            self._regions.charge_link(request)
        candidate.record_start(request.klass)
        self._prefixes.add(candidate.agent, request.digests)
        self._running_by_number[choice.number] = _RunningAttempt(
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
        place: The entry's instance name, zone and region.
        clock: Returns the time in seconds; deadlines are instants on it.
        seed: The seed of the random numbers; None for a random seed.
        counter: Counts the router's events.
    """
    rng = random.Random(seed)
    return Router(place, clock, rng, counter or base.NullCounter())
