"""An index of the prompt prefixes that agents likely have cached.

The prefixes that this entry sends to an agent are added at once and corrected
later by cache events. Digests are sampled by their last hexadecimal digit, in
the same way at every entry. This bounds memory and work, and long prefixes
can still be recognized.
"""

import collections
from collections.abc import Iterable
from typing import Final

SAMPLED_ENDINGS: Final = frozenset("048c")
MAX_DIGESTS: Final = 16_384
MAX_AGENTS_PER_DIGEST: Final = 8


def is_sampled(digest: str) -> bool:
    """Return whether a digest is in the sampled quarter of all digests."""
    return digest[-1:] in SAMPLED_ENDINGS


class PrefixIndex:
    """A bounded LRU map from digests to agents."""

    def __init__(self, max_digests: int = MAX_DIGESTS) -> None:
        """Create an empty index of at most `max_digests`."""
        self._max_digests = max_digests
        self._agents_by_digest: collections.OrderedDict[
            str, tuple[str, ...]
        ] = collections.OrderedDict()

    def add(self, agent: str, digests: Iterable[str]) -> None:
        """Record that `agent` has cached `digests`."""
        for digest in filter(is_sampled, digests):
            agents = self._agents_by_digest.get(digest, ())
            if agent not in agents:
                agents = (agent, *agents[: MAX_AGENTS_PER_DIGEST - 1])
                self._agents_by_digest[digest] = agents
            self._agents_by_digest.move_to_end(digest)
        while len(self._agents_by_digest) > self._max_digests:
            self._agents_by_digest.popitem(last=False)

    def remove(self, agent: str, digests: Iterable[str]) -> None:
        """Record that `agent` no longer has `digests` cached."""
        for digest in filter(is_sampled, digests):
            agents = self._agents_by_digest.get(digest, ())
            if agent not in agents:
                continue
            rest = tuple(other for other in agents if other != agent)
            if rest:
                self._agents_by_digest[digest] = rest
            else:
                del self._agents_by_digest[digest]

    def find(self, digests: tuple[str, ...]) -> dict[str, int]:
        """Return the number of leading digests each agent likely has."""
        depths_by_agent: dict[str, int] = {}
        for index in range(len(digests) - 1, -1, -1):
            digest = digests[index]
            if digest[-1:] not in SAMPLED_ENDINGS:
                continue
            for agent in self._agents_by_digest.get(digest, ()):
                depths_by_agent.setdefault(agent, index + 1)
        return depths_by_agent
