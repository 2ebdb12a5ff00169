"""Exchanges whose messages nobody reads, or whose agent sends too many."""

from typing import Any
import unittest
from unittest import mock

import anyio

from eelgrassgate import deadlines
from eelgrassgate import messages
from eelgrassgate import outcomes
from eelgrassgate.entry import exchanges


def open_exchange(
    open_exchanges: exchanges.Exchanges, deadline: float = deadlines.NEVER
) -> tuple[exchanges.Exchange, Any]:
    peer = mock.Mock()
    info = exchanges.ExchangeInfo(
        "a1", outcomes.RequestClass.ONLINE, "digest", deadline
    )
    return open_exchanges.open(info, peer), peer


def send_parts(
    open_exchanges: exchanges.Exchanges, peer: Any, count: int
) -> None:
    for number in range(count):
        open_exchanges.put(
            peer, messages.Data(attempt="a1", sequence=number, data=b"x")
        )


class UnreadExchangeTest(unittest.IsolatedAsyncioTestCase):
    async def test_caller_that_does_not_read_past_its_deadline_ends_no_process(
        self,
    ) -> None:
        open_exchanges = exchanges.Exchanges()
        exchange, peer = open_exchange(open_exchanges, deadlines.now())
        send_parts(open_exchanges, peer, exchanges.CREDIT_PARTS)
        with (
            mock.patch.object(exchanges, "DEADLINE_CHECK_INTERVAL_S", 0.001),
            anyio.move_on_after(0.1) as scope,
        ):
            await open_exchanges.run()
        self.assertTrue(scope.cancelled_caught)
        await self.check_messages(exchange, exchanges.CREDIT_PARTS)

    async def test_key_that_stays_withdrawn_ends_no_process(self) -> None:
        open_exchanges = exchanges.Exchanges()
        exchange, peer = open_exchange(open_exchanges)
        send_parts(open_exchanges, peer, exchanges.CREDIT_PARTS)
        for _ in range(100):
            open_exchanges.abort_withdrawn(lambda digest: False)
        await self.check_messages(exchange, exchanges.CREDIT_PARTS)

    async def test_agent_that_exceeds_its_credit_ends_no_process(self) -> None:
        open_exchanges = exchanges.Exchanges()
        exchange, peer = open_exchange(open_exchanges)
        send_parts(open_exchanges, peer, exchanges.BUFFER_PARTS + 2)
        open_exchanges.fail_peer(peer)
        await self.check_messages(exchange, exchanges.BUFFER_PARTS)

    async def check_messages(
        self, exchange: exchanges.Exchange, parts: int
    ) -> None:
        """Check that the caller gets all parts and then a refusal."""
        for number in range(parts):
            message = await exchange.get()
            self.assertIsInstance(message, messages.Data, number)
        self.assertIsInstance(await exchange.get(), messages.Refused)
