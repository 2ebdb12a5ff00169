"""The agents known to a router, by name and by model or service."""

from collections.abc import Collection
from collections.abc import Iterable
from collections.abc import Iterator

from eelgrassgate import messages
from eelgrassgate.routing import base
from eelgrassgate.routing import candidates


class AgentDirectory:
    """All connected agents."""

    def __init__(self) -> None:
        """Create an empty directory."""
        self._candidates_by_agent: dict[str, candidates.Candidate] = {}
        self._candidates_by_target: dict[
            str, dict[str, candidates.Candidate]
        ] = {}
        self._listed_leaving: frozenset[str] = frozenset()

    def add(self, candidate: candidates.Candidate) -> None:
        """Add an agent, replacing one of the same name."""
        self.remove(candidate.agent)
        is_leaving = candidate.agent in self._listed_leaving
        candidate.is_listed_leaving = is_leaving
        self._candidates_by_agent[candidate.agent] = candidate
        for target in _list_targets(candidate.info):
            serving = self._candidates_by_target.setdefault(target, {})
            serving[candidate.agent] = candidate

    def remove(self, agent: str) -> None:
        """Remove an agent, if it is known."""
        candidate = self._candidates_by_agent.pop(agent, None)
        if candidate is None:
            return
        for target in _list_targets(candidate.info):
            del self._candidates_by_target[target][agent]
            if not self._candidates_by_target[target]:
                del self._candidates_by_target[target]

    def get(self, agent: str) -> candidates.Candidate | None:
        """Return an agent, if it is known."""
        return self._candidates_by_agent.get(agent)

    def list_agents(self) -> Iterable[str]:
        """Return the names of all agents."""
        return self._candidates_by_agent.keys()

    def set_listed_leaving(self, agents: Collection[str]) -> None:
        """Set the names of all agents that the instance list has as leaving."""
        self._listed_leaving = frozenset(agents)
        for agent, candidate in self._candidates_by_agent.items():
            candidate.is_listed_leaving = agent in self._listed_leaving

    def find(self, request: base.Request) -> Iterable[candidates.Candidate]:
        """Return the agents that can serve a request.

        An agent that serves a model also serves the model's adapters.
        """
        if request.service:
            target = _format_service_target(request.service)
            return self._candidates_by_target.get(target, {}).values()
        for model in (request.model, request.model.partition(":")[0]):
            target = _format_model_target(model)
            if target in self._candidates_by_target:
                return self._candidates_by_target[target].values()
        return ()


def _list_targets(info: messages.EndpointInfo) -> Iterator[str]:
    yield from map(_format_model_target, info.models)
    if info.service:
        yield _format_service_target(info.service)


def _format_model_target(model: str) -> str:
    return f"model {model}"


def _format_service_target(service: str) -> str:
    return f"service {service}"
