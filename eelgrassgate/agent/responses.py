"""Sends the response of one attempt under credit-based flow control."""

from typing import Final

import anyio

from eelgrassgate import messages
from eelgrassgate import outcomes
from eelgrassgate.link import base

MAX_PART_BYTES: Final = 65_536


class ResponseStream:
    """The response stream of one attempt; waits only for its own credit."""

    def __init__(self, peer: base.Peer, attempt_id: str, credit: int) -> None:
        """Create with the initial credit from the submit message."""
        self.peer = peer
        self.attempt_id = attempt_id
        self.is_open = True
        self._credit = credit
        self._sequence = 0
        self._changed = anyio.Event()

    def add_credit(self, parts: int) -> None:
        """Allow `parts` more parts."""
        self._credit += parts
        self._notify()

    def close(self) -> None:
        """Stop sending, because the receiver is gone."""
        self.is_open = False
        self._notify()

    def send_head(self, status: int, content_type: str) -> None:
        """Send the status and the media type."""
        self._send(
            messages.Head(
                attempt=self.attempt_id,
                status=status,
                content_type=content_type,
            )
        )

    async def send_data(self, data: bytes) -> None:
        """Send one part, after waiting for credit."""
        while self.is_open and self._credit <= 0:
            await self._changed.wait()
        self._credit -= 1
        sequence = self._sequence
        self._sequence += 1
        self._send(
            messages.Data(attempt=self.attempt_id, sequence=sequence, data=data)
        )

    async def send_body(self, body: bytes) -> None:
        """Send a complete body in parts."""
        for start in range(0, len(body), MAX_PART_BYTES):
            await self.send_data(body[start : start + MAX_PART_BYTES])

    def send_end(self) -> None:
        """Report that the response is complete."""
        self._send(messages.End(attempt=self.attempt_id, parts=self._sequence))

    def send_refusal(
        self, refusal: outcomes.Refusal, is_endpoint_fault: bool = False
    ) -> None:
        """Report that there is no complete response, and why."""
        self._send(
            messages.Refused(
                attempt=self.attempt_id,
                refusal=refusal,
                is_endpoint_fault=is_endpoint_fault,
            )
        )

    def _send(self, message: messages.AnyMessage) -> None:
        if self.is_open:
            self.peer.send(message)

    def _notify(self) -> None:
        self._changed.set()
        self._changed = anyio.Event()
