"""Open exchanges of one entry: attempts and the responses to them.

Every response message carries its attempt's id. A message that is late or
duplicated, or whose agent is not the one that the attempt was sent to, matches
no exchange and is dropped.
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
# Head, end and refusal consume no credit.
BUFFER_PARTS: Final = CREDIT_PARTS + 4

DEADLINE_CHECK_INTERVAL_S: Final = 0.25

WITHDRAWN: Final = outcomes.refuse_unknown(
    outcomes.Code.KEY_WITHDRAWN, "The key has been withdrawn."
)
_DEADLINE_EXCEEDED: Final = outcomes.refuse_unknown(
    outcomes.Code.DEADLINE_EXCEEDED, "The deadline has passed."
)

ResponseMessage = (
    messages.Head | messages.Data | messages.End | messages.Refused
)


class ExchangeInfo(msgspec.Struct, frozen=True):
    """The properties of an exchange.

    Attributes:
        attempt: The attempt's id.
        klass: Online or batch.
        digest: Digest of the caller's key, empty for none.
        deadline: Instant on the monotonic clock after which the entry ends the
            exchange if the agent has not done so.
    """

    attempt: str
    klass: outcomes.RequestClass
    digest: str
    deadline: float


class Exchange:
    """One attempt in flight at the agent that it was sent to."""

    def __init__(self, info: ExchangeInfo, peer: base.Peer) -> None:
        """Create the exchange for an attempt sent to `peer`."""
        self.info = info
        self.peer = peer
        self.is_aborted = False
        self._next_sequence = 0
        self._uncredited_parts = 0
        send, receive = anyio.create_memory_object_stream[ResponseMessage](
            BUFFER_PARTS
        )
        self._send = send
        self._receive = receive

    def put(self, message: ResponseMessage) -> None:
        """Buffer a message.

        After a gap in the response, buffers a refusal in place of the message.
        The refusal states that the attempt may have run.
        """
        if self._is_gap(message):
            message = self._create_gap_refusal()
        elif isinstance(message, messages.Data):
            self._next_sequence += 1
        try:
            self._send.send_nowait(message)
        except (
            anyio.WouldBlock,
            anyio.BrokenResourceError,
            anyio.ClosedResourceError,
        ):
            # The agent exceeded its credit, now or before, or the reader is
            # gone.
            self._send.close()

    async def get(self) -> ResponseMessage:
        """Return the next message, and grant credit for the parts read."""
        try:
            message = await self._receive.receive()
        except anyio.EndOfStream:
            return self._create_gap_refusal()
        if isinstance(message, messages.Data):
            self._return_credit()
        return message

    def abort(self, refusal: outcomes.Refusal) -> None:
        """End the exchange with `refusal`; does not cancel the attempt."""
        if self.is_aborted:
            return
        self.is_aborted = True
        self.put(messages.Refused(attempt=self.info.attempt, refusal=refusal))

    def close(self) -> None:
        """Close the message buffer."""
        self._send.close()
        self._receive.close()

    def _return_credit(self) -> None:
        self._uncredited_parts += 1
        if self._uncredited_parts < REFILL_PARTS:
            return
        self.peer.send(
            messages.Credit(
                attempt=self.info.attempt, parts=self._uncredited_parts
            )
        )
        self._uncredited_parts = 0

    def _is_gap(self, message: ResponseMessage) -> bool:
        if isinstance(message, messages.Data):
            return message.sequence != self._next_sequence
        if isinstance(message, messages.End):
            return message.parts != self._next_sequence
        return False

    def _create_gap_refusal(self) -> messages.Refused:
        refusal = outcomes.refuse_unknown(
            outcomes.Code.ENDPOINT_LOST, "Part of the response was lost."
        )
        return messages.Refused(attempt=self.info.attempt, refusal=refusal)


class Exchanges:
    """All open exchanges of one entry, by attempt."""

    def __init__(self) -> None:
        """Create with no exchange."""
        self._by_attempt: dict[str, Exchange] = {}

    def open(self, info: ExchangeInfo, peer: base.Peer) -> Exchange:
        """Open an exchange for an attempt sent to `peer`."""
        exchange = Exchange(info, peer)
        self._by_attempt[info.attempt] = exchange
        return exchange

    async def run(self) -> None:
        """Abort exchanges whose deadline has passed, until cancelled."""
        while True:
            await anyio.sleep(DEADLINE_CHECK_INTERVAL_S)
            now = deadlines.now()
            for exchange in list(self._by_attempt.values()):
                if exchange.info.deadline <= now:
                    exchange.abort(_DEADLINE_EXCEEDED)

    def abort_withdrawn(self, is_valid: Callable[[str], bool]) -> None:
        """Abort exchanges whose caller's key digest is no longer valid."""
        for exchange in list(self._by_attempt.values()):
            digest = exchange.info.digest
            if digest and not is_valid(digest):
                exchange.abort(WITHDRAWN)

    def abort_online(self, refusal: outcomes.Refusal) -> int:
        """Abort the exchanges of online requests; return their number."""
        online = [
            exchange
            for exchange in self._by_attempt.values()
            if exchange.info.klass is outcomes.RequestClass.ONLINE
        ]
        for exchange in online:
            exchange.abort(refusal)
        return len(online)

    def close(self, exchange: Exchange) -> None:
        """Close an exchange; later messages for it are dropped."""
        self._by_attempt.pop(exchange.info.attempt, None)
        exchange.close()

    def put(self, peer: base.Peer, message: ResponseMessage) -> None:
        """Pass a message to its exchange, or drop it."""
        exchange = self._by_attempt.get(message.attempt)
        if exchange is None or exchange.peer is not peer:
            return
        exchange.put(message)

    def fail_peer(self, peer: base.Peer) -> None:
        """End all exchanges with a peer whose connection is lost."""
        for exchange in list(self._iterate_by_peer(peer)):
            refusal = outcomes.refuse_unknown(
                outcomes.Code.ENDPOINT_LOST,
                "The connection to the endpoint was lost.",
            )
            exchange.put(
                messages.Refused(
                    attempt=exchange.info.attempt,
                    refusal=refusal,
                    is_endpoint_fault=True,
                )
            )

    def count(self, klass: outcomes.RequestClass) -> int:
        """Return the number of open exchanges of `klass`."""
        return sum(
            exchange.info.klass is klass
            for exchange in self._by_attempt.values()
        )

    def _iterate_by_peer(self, peer: base.Peer) -> Iterator[Exchange]:
        for exchange in self._by_attempt.values():
            if exchange.peer is peer:
                yield exchange
