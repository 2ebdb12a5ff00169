"""Attempts in hand of one entry, and the answers that belong to them.

Every answer carries its attempt's id. One that comes late, twice, or from
another agent than the attempt went to belongs to no exchange and is dropped.
"""

from collections.abc import Callable
from collections.abc import Iterator
from typing import Final

import anyio
import anyio.streams.memory
import msgspec

from eelgrassgate import deadlines
from eelgrassgate import messages
from eelgrassgate import outcomes
from eelgrassgate.link import base

CREDIT_PARTS: Final = 64
REFILL_PARTS: Final = CREDIT_PARTS // 2
# Head, end and refusal need no credit.
BUFFER_PARTS: Final = CREDIT_PARTS + 4

LOOK_S: Final = 0.25

WITHDRAWN: Final = outcomes.refuse_unknown(
    outcomes.Code.KEY_WITHDRAWN, "The key has been withdrawn."
)
_LATE: Final = outcomes.refuse_unknown(
    outcomes.Code.DEADLINE_EXCEEDED, "The deadline has passed."
)

Answer = messages.Head | messages.Data | messages.End | messages.Refused


class About(msgspec.Struct, frozen=True):
    """What an exchange is about.

    Attributes:
        attempt: The attempt's id.
        klass: Online or batch.
        digest: Digest of the caller's key; empty for none.
        deadline: Instant on the monotonic clock after which it is ended here
            if the agent has not ended it before.
    """

    attempt: str
    klass: outcomes.RequestClass
    digest: str
    deadline: float


class Exchange:
    """One attempt in hand with the agent that it went to."""

    def __init__(self, about: About, peer: base.Peer) -> None:
        """Create the exchange for an attempt, sent to `peer`."""
        self.about = about
        self.peer = peer
        self.is_aborted = False
        self._expected = 0
        self._unpaid = 0
        send, receive = anyio.create_memory_object_stream[Answer](BUFFER_PARTS)
        self._send = send
        self._receive = receive

    def put(self, answer: Answer) -> None:
        """Take an answer; one out of order ends the exchange as unknown."""
        if self._is_gap(answer):
            answer = self._make_gap()
        elif isinstance(answer, messages.Data):
            self._expected += 1
        try:
            self._send.send_nowait(answer)
        except (anyio.WouldBlock, anyio.BrokenResourceError):
            # More than the credit allowed, or the reader has gone.
            self._send.close()

    async def get(self) -> Answer:
        """Return the next answer, and give credit for those read."""
        try:
            answer = await self._receive.receive()
        except anyio.EndOfStream:
            return self._make_gap()
        if isinstance(answer, messages.Data):
            self._pay()
        return answer

    def abort(self, refusal: outcomes.Refusal) -> None:
        """End the exchange from this side; its agent is still to be told."""
        self.is_aborted = True
        self.put(messages.Refused(attempt=self.about.attempt, refusal=refusal))

    def close(self) -> None:
        """Release what the exchange holds."""
        self._send.close()
        self._receive.close()

    def _pay(self) -> None:
        self._unpaid += 1
        if self._unpaid < REFILL_PARTS:
            return
        self.peer.send(
            messages.Credit(attempt=self.about.attempt, parts=self._unpaid)
        )
        self._unpaid = 0

    def _is_gap(self, answer: Answer) -> bool:
        if isinstance(answer, messages.Data):
            return answer.sequence != self._expected
        if isinstance(answer, messages.End):
            return answer.parts != self._expected
        return False

    def _make_gap(self) -> messages.Refused:
        refusal = outcomes.refuse_unknown(
            outcomes.Code.ENDPOINT_LOST, "Part of the answer was lost."
        )
        return messages.Refused(attempt=self.about.attempt, refusal=refusal)


class Exchanges:
    """All exchanges of one entry, by attempt."""

    def __init__(self) -> None:
        """Create with no exchange."""
        self._by_attempt: dict[str, Exchange] = {}

    def open(self, about: About, peer: base.Peer) -> Exchange:
        """Start an exchange for an attempt, sent to `peer`."""
        exchange = Exchange(about, peer)
        self._by_attempt[about.attempt] = exchange
        return exchange

    async def run(self) -> None:
        """End exchanges whose deadline has passed, until cancelled."""
        while True:
            await anyio.sleep(LOOK_S)
            now = deadlines.now()
            for exchange in list(self._by_attempt.values()):
                if exchange.about.deadline <= now:
                    exchange.abort(_LATE)

    def cut(self, is_valid: Callable[[str], bool]) -> None:
        """End exchanges whose caller's key digest is not valid any more."""
        for exchange in list(self._by_attempt.values()):
            digest = exchange.about.digest
            if digest and not is_valid(digest):
                exchange.abort(WITHDRAWN)

    def close(self, exchange: Exchange) -> None:
        """End an exchange; later answers to it are dropped."""
        self._by_attempt.pop(exchange.about.attempt, None)
        exchange.close()

    def put(self, peer: base.Peer, answer: Answer) -> None:
        """Hand an answer to its exchange, or drop it."""
        exchange = self._by_attempt.get(answer.attempt)
        if exchange is None or exchange.peer is not peer:
            return
        exchange.put(answer)

    def lose_peer(self, peer: base.Peer) -> None:
        """End all exchanges with a peer whose connection is lost."""
        for exchange in list(self._get_with(peer)):
            refusal = outcomes.refuse_unknown(
                outcomes.Code.ENDPOINT_LOST,
                "The connection to the endpoint was lost.",
            )
            exchange.put(
                messages.Refused(
                    attempt=exchange.about.attempt,
                    refusal=refusal,
                    is_endpoint_ill=True,
                )
            )

    def count(self, klass: outcomes.RequestClass) -> int:
        """Return how many exchanges of `klass` are open."""
        return sum(
            one.about.klass is klass for one in self._by_attempt.values()
        )

    def _get_with(self, peer: base.Peer) -> Iterator[Exchange]:
        for exchange in self._by_attempt.values():
            if exchange.peer is peer:
                yield exchange
