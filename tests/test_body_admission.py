"""Admission of requests by the memory that their bodies take."""

from collections.abc import AsyncIterator
from collections.abc import Sequence
import contextlib
import random
from typing import Final
import unittest

import anyio
import h11
import msgspec

from eelgrassgate import memory_budget
from eelgrassgate.gateway import body_admission
from eelgrassgate.gateway import load_shedding
from eelgrassgate.http1 import downstream
from tests import site as site_lib

MB: Final = memory_budget.BYTES_PER_MB
BUDGET_BYTES: Final = 10 * MB
# Two of them are more than the large requests of one holder may take.
LARGE_BODY: Final = bytes(2_700_000)
SMALL_BODY: Final = bytes(4_000)
# How long a handler works.
WORK_S: Final = 0.8
LIMITS: Final = downstream.Limits(
    body_bytes=3_200_000, header_timeout_s=1.5, idle_timeout_s=3.0
)


class Desk:
    """A listener whose handler works on each request for a while."""

    def __init__(self) -> None:
        self.budget = memory_budget.Budget(BUDGET_BYTES)
        self.port = 0
        self.work_s = WORK_S
        self.held: list[int] = []
        self.lengths: list[int] = []
        self.listener = downstream.Listener(
            lambda: LIMITS,
            self.handle,
            lambda: False,
            body_admission.create_body_admission(
                self.budget,
                memory_budget.Kind.REQUEST,
                lambda head: (head.get(b"holder") or b"").decode(),
                lambda delay_s: ((b"retry-after", f"{delay_s:.3f}".encode()),),
            ),
        )

    async def handle(
        self,
        incoming: downstream.IncomingRequest,
        responder: downstream.Responder,
    ) -> None:
        self.held.append(self.budget.held_bytes)
        self.lengths.append(len(incoming.body))
        await anyio.sleep(self.work_s)
        await responder.reply(200)


@contextlib.asynccontextmanager
async def open_desk() -> AsyncIterator[Desk]:
    desk = Desk()
    async with anyio.create_task_group() as tasks:
        await tasks.start(desk.listener.run)
        desk.port = await tasks.start(desk.listener.serve, "127.0.0.1:0")
        yield desk
        tasks.cancel_scope.cancel()


def write_head(length: int | None, holder: str = "a", extra: str = "") -> bytes:
    framing = f"Content-Length: {length}"
    if length is None:
        framing = "Transfer-Encoding: chunked"
    return (
        f"POST / HTTP/1.1\r\nHost: a\r\nHolder: {holder}\r\n{extra}"
        f"{framing}\r\n\r\n"
    ).encode()


def write_chunk(data: bytes) -> bytes:
    return b"%x\r\n%b\r\n" % (len(data), data)


async def send(
    desk: Desk, parts: Sequence[bytes], pause_s: float = 0.0
) -> site_lib.Response:
    """Send all parts before anything is read, then read the response."""
    response = site_lib.Response()
    client = h11.Connection(h11.CLIENT)
    client.send(h11.Request(method="GET", target="/", headers=[("host", "a")]))
    with anyio.fail_after(site_lib.TEST_TIMEOUT_S):
        async with await anyio.connect_tcp("127.0.0.1", desk.port) as stream:
            for part in parts:
                await stream.send(part)
                await anyio.sleep(pause_s)
            await site_lib.read_response(client, stream, response)
    return response


async def send_all(
    desk: Desk, requests: Sequence[Sequence[bytes]]
) -> list[site_lib.Response]:
    """Send requests at the same time; return responses in their order."""
    responses = [site_lib.Response()] * len(requests)

    async def send_one(number: int) -> None:
        responses[number] = await send(desk, requests[number])

    async with anyio.create_task_group() as tasks:
        for number in range(len(requests)):
            tasks.start_soon(send_one, number)
            await anyio.sleep(0.01)
    return responses


class Case(msgspec.Struct, frozen=True):
    """Requests sent at the same time and the statuses expected."""

    name: str
    requests: tuple[tuple[bytes, ...], ...]
    statuses: tuple[int, ...]


def make_large(holder: str) -> tuple[bytes, ...]:
    return write_head(len(LARGE_BODY), holder), LARGE_BODY


def make_chunked(holder: str) -> tuple[bytes, ...]:
    return (
        write_head(None, holder),
        *[write_chunk(bytes(900_000))] * 3,
        b"0\r\n\r\n",
    )


SMALL: Final = (write_head(len(SMALL_BODY)), SMALL_BODY)
CASES: Final = (
    Case("one fits", (make_large("a"),), (200,)),
    Case("chunks fit", (make_chunked("a"),), (200,)),
    Case(
        "one holder leaves room for others",
        (make_large("a"), make_large("a"), make_large("b")),
        (200, 503, 200),
    ),
    Case(
        "chunks are counted as they come",
        (make_large("a"), make_chunked("a"), make_chunked("b")),
        (200, 503, 200),
    ),
    Case(
        "small ones pass",
        (make_large("a"), make_large("b"), make_large("c"), SMALL, SMALL),
        (200, 200, 503, 200, 200),
    ),
    Case("above the limit of bodies", ((write_head(5 * MB),),), (413,)),
    Case(
        "chunks above the limit of bodies",
        ((write_head(None), *[write_chunk(bytes(MB))] * 5, b"0\r\n\r\n"),),
        (413,),
    ),
    Case(
        "above the limit of bodies and still sending",
        ((write_head(5 * MB), bytes(4 * MB)),),
        (413,),
    ),
)


class BodyAdmissionTest(unittest.IsolatedAsyncioTestCase):
    async def test_bodies_are_admitted_while_there_is_memory(self) -> None:
        for case in CASES:
            with self.subTest(case.name):
                async with open_desk() as desk:
                    responses = await send_all(desk, case.requests)
                    self.assertEqual(
                        tuple(one.status for one in responses), case.statuses
                    )
                    for one in responses:
                        self.assertTrue(one.is_complete)
                        if one.status == 503:
                            delay_s = float(one.headers[b"retry-after"])
                            self.assertGreater(delay_s, 0.0)
                    self.assertEqual(
                        len(desk.lengths), case.statuses.count(200)
                    )
                    await self.check_given_back(desk)

    async def check_given_back(self, desk: Desk) -> None:
        with anyio.fail_after(site_lib.TEST_TIMEOUT_S):
            while desk.budget.held_bytes or desk.budget.count_waiting():
                await anyio.sleep(0.01)

    async def test_body_is_charged_before_it_is_read(self) -> None:
        async with open_desk() as desk:
            async with await anyio.connect_tcp(
                "127.0.0.1", desk.port
            ) as stream:
                await stream.send(write_head(2_700_000))
                with anyio.fail_after(site_lib.TEST_TIMEOUT_S):
                    while desk.budget.held_bytes < 2_700_000:
                        await anyio.sleep(0.01)
            await self.check_given_back(desk)

    async def test_request_that_waits_is_served_when_memory_is_free(
        self,
    ) -> None:
        async with open_desk() as desk:
            desk.work_s = 0.2
            responses = await send_all(desk, [make_large("a")] * 3)
            self.assertEqual([one.status for one in responses], [200] * 3)
            await self.check_given_back(desk)

    async def test_disconnect_while_waiting_gives_its_place_up(self) -> None:
        async with open_desk() as desk:
            desk.work_s = 0.3
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(send, desk, make_large("a"))
                await anyio.sleep(0.05)
                async with await anyio.connect_tcp(
                    "127.0.0.1", desk.port
                ) as stream:
                    await stream.send(write_head(2_700_000))
                    await anyio.sleep(0.05)
                    self.assertEqual(desk.budget.count_waiting(), 1)
            await self.check_given_back(desk)
            self.assertEqual(len(desk.lengths), 1)

    async def test_cancellation_gives_memory_back(self) -> None:
        async with open_desk() as desk:
            desk.work_s = 10.0
            with anyio.move_on_after(0.3):
                await send(desk, make_large("a"))
            await self.check_given_back(desk)

    async def test_no_interim_response_before_the_admission(self) -> None:
        async with open_desk() as desk:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(send, desk, make_large("a"))
                await anyio.sleep(0.05)
                async with await anyio.connect_tcp(
                    "127.0.0.1", desk.port
                ) as stream:
                    await stream.send(
                        write_head(2_700_000, extra="Expect: 100-continue\r\n")
                    )
                    received = await stream.receive()
            self.assertTrue(received.startswith(b"HTTP/1.1 503 "), received)

    async def test_slow_body_ends_with_a_status_and_gives_memory_back(
        self,
    ) -> None:
        async with open_desk() as desk:
            parts = [write_head(2_700_000), *[bytes(60_000)] * 20]
            response = await send(desk, parts, pause_s=0.1)
            self.assertEqual(response.status, 408)
            await self.check_given_back(desk)


class ReturnsTest(unittest.TestCase):
    def test_refused_requests_return_one_after_the_other(self) -> None:
        returns = load_shedding.MemoryReturns()
        delays: list[float] = []
        for _ in range(200):
            delays.append(returns.compute_delay(0.05, 1.0, lambda: 0.0))
        self.assertEqual(delays, sorted(delays))
        self.assertGreater(delays[1], delays[0])
        self.assertLessEqual(delays[-1], load_shedding.MAX_MEMORY_DELAY_S)

    def test_returns_adapt_to_how_long_requests_hold_memory(self) -> None:
        draw = random.Random(1).random
        slow = load_shedding.MemoryReturns()
        fast = load_shedding.MemoryReturns()
        for _ in range(50):
            slow.record_hold(8.0)
            fast.record_hold(0.1)
        self.assertGreater(
            slow.compute_delay(0.2, 1.0, draw),
            fast.compute_delay(0.2, 1.0, draw),
        )


if __name__ == "__main__":
    unittest.main()
