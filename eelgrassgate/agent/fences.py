"""Fencing tokens, by which requests of a replaced owner are refused.

The agent compares them itself, so a replaced owner is refused even if the
endpoint ignores fencing tokens.
"""


class Fences:
    """The newest fencing token seen for each owner slot."""

    def __init__(self) -> None:
        """Create with no fencing token seen."""
        self._newest_by_owner: dict[str, int] = {}

    def admit(self, owner: str, fence: int) -> bool:
        """Record a request's token; return False if a newer one was seen."""
        if not owner:
            return True
        newest = self._newest_by_owner.get(owner, fence)
        self._newest_by_owner[owner] = max(newest, fence)
        return fence >= newest

    def is_stale(self, owner: str, fence: int) -> bool:
        """Return whether a newer token than `fence` was seen."""
        return bool(owner) and fence < self._newest_by_owner.get(owner, 0)
