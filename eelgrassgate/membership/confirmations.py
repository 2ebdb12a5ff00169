"""Confirmations between members that they will not remove each other.

A member whose registration has expired loses its share after `share_ttl_s`.
It stops using the share before then, unless every other active member, each of
which could remove it, has sent a confirmation. The receiver of a confirmation
counts the TTL from its request; the sender counts it from the confirmation,
which is later.
"""

from collections.abc import Iterable

from eelgrassgate import messages
from eelgrassgate.limits import timing


class Confirmations:
    """The confirmations that this process received and sent."""

    def __init__(self, nonce: int, share_ttl_s: float) -> None:
        """Create without confirmations.

        Args:
            nonce: This process's incarnation.
            share_ttl_s: How long a confirmation is valid; the same for all
                members.
        """
        self._nonce = nonce
        self._ttl_s = share_ttl_s
        self._requested_at_by_name: dict[str, float] = {}
        self._sent_expiry_by_name: dict[str, float] = {}

    def create_request(self, now: float) -> messages.AskConfirmation:
        """Create a request for a confirmation."""
        return messages.AskConfirmation(
            asked_ms=int(now * timing.MS_PER_S), nonce=self._nonce
        )

    def confirm(
        self, name: str, request: messages.AskConfirmation, now: float
    ) -> messages.Confirmation:
        """Confirm that this process does not remove a member within the TTL."""
        self._sent_expiry_by_name[name] = now + timing.lengthen_for_drift(
            self._ttl_s
        )
        return messages.Confirmation(
            asked_ms=request.asked_ms, nonce=request.nonce
        )

    def record(self, name: str, confirmation: messages.Confirmation) -> None:
        """Record a confirmation; ignore one to an earlier incarnation."""
        if confirmation.nonce != self._nonce:
            return
        requested_at = confirmation.asked_ms / timing.MS_PER_S
        earlier = self._requested_at_by_name.get(name, requested_at)
        self._requested_at_by_name[name] = max(earlier, requested_at)

    def has_confirmed(self, name: str, now: float) -> bool:
        """Return whether a confirmation to a member is still valid."""
        return now <= self._sent_expiry_by_name.get(name, now - 1.0)

    def compute_expiry(self, others: Iterable[str]) -> float:
        """Return the instant until which all of `others` have confirmed.

        The result is -inf if one of them has not confirmed or there are none.
        """
        never = float("-inf")
        requested_at = min(
            (self._requested_at_by_name.get(name, never) for name in others),
            default=never,
        )
        return requested_at + timing.shorten_for_drift(self._ttl_s)
