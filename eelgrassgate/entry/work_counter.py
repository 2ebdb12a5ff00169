"""Counts each workspace's dispatched cost, so weights hold across agents."""


class WorkCounter:
    """Tokens that an entry has dispatched, by workspace and agent."""

    def __init__(self) -> None:
        """Create with nothing dispatched."""
        self._total_by_workspace: dict[str, float] = {}
        self._last_total_by_pair: dict[tuple[str, str], float] = {}

    def add(self, workspace: str, agent: str, cost: float) -> float:
        """Count `cost` tokens of `workspace` dispatched to `agent`.

        Returns:
            The tokens dispatched to other agents since the last dispatch to
            `agent`.
        """
        total = self._total_by_workspace.get(workspace, 0.0)
        pair = (workspace, agent)
        elsewhere = total - self._last_total_by_pair.get(pair, total)
        total += cost
        self._total_by_workspace[workspace] = total
        self._last_total_by_pair[pair] = total
        return elsewhere

    def remove_agent(self, agent: str) -> None:
        """Remove the counts of an agent that no longer exists."""
        for pair in [
            each for each in self._last_total_by_pair if each[1] == agent
        ]:
            del self._last_total_by_pair[pair]
