"""Promises between members not to remove each other for a while.

A member whose registration has lapsed loses its right after `rights_ttl_s`.
It stops using the right before, unless every other active member, each of
which could remove it, has promised not to. The receiver of a promise counts
from when it asked, the giver from when it answers, which is later.
"""

from collections.abc import Iterable

from eelgrassgate import messages
from eelgrassgate.limits import timing


class Promises:
    """Promises that this process got and gave."""

    def __init__(self, nonce: int, rights_ttl_s: float) -> None:
        """Start with none.

        Args:
            nonce: This process's incarnation.
            rights_ttl_s: How long a promise lasts; the same for all members.
        """
        self._nonce = nonce
        self._ttl_s = rights_ttl_s
        self._got_by_name: dict[str, float] = {}
        self._given_by_name: dict[str, float] = {}

    def ask(self, now: float) -> messages.AskConfirmation:
        """Return the question for a promise."""
        return messages.AskConfirmation(
            asked_ms=int(now * timing.MS_PER_S), nonce=self._nonce
        )

    def give(
        self, name: str, question: messages.AskConfirmation, now: float
    ) -> messages.Confirmation:
        """Promise not to remove a member for a while from now."""
        self._given_by_name[name] = now + timing.lengthen_for_drift(self._ttl_s)
        return messages.Confirmation(
            asked_ms=question.asked_ms, nonce=question.nonce
        )

    def take(self, name: str, promise: messages.Confirmation) -> None:
        """Take a promise; one to an earlier incarnation is ignored."""
        if promise.nonce != self._nonce:
            return
        asked = promise.asked_ms / timing.MS_PER_S
        earlier = self._got_by_name.get(name, asked)
        self._got_by_name[name] = max(earlier, asked)

    def is_bound(self, name: str, now: float) -> bool:
        """Tell whether this process promised not to remove a member yet."""
        return now <= self._given_by_name.get(name, now - 1.0)

    def compute_until(self, others: Iterable[str]) -> float:
        """Return until when all of `others` are bound; -inf if not known."""
        never = float("-inf")
        asked = min(
            (self._got_by_name.get(name, never) for name in others),
            default=never,
        )
        return asked + timing.shorten_for_drift(self._ttl_s)
