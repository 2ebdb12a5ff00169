"""Responses without length and chunks, which end with their connection."""

from typing import Final
import unittest

import msgspec

from eelgrassgate.batches import records
from eelgrassgate.standins import endpoint
from tests import site as site_lib
from tests import test_batches

End = endpoint.UnframedEnd
COMPLETE_BODY: Final = endpoint.write_stream(4)


class Case(msgspec.Struct, frozen=True):
    """An unframed response of the first endpoint.

    Attributes:
        name: Description of the response.
        path: Path of the request.
        end: How the response ends.
        events: Number of whole events before a response breaks off.
        status: Expected status.
        runs: Expected total number of runs.
        is_complete: Whether the caller's response is expected to be complete.
    """

    name: str
    path: str
    end: endpoint.UnframedEnd
    events: int
    status: int
    runs: int
    is_complete: bool = True


CASES: Final = (
    Case("idempotent", "/plain/a", End.CLOSE, 4, 200, 1),
    Case("not idempotent", "/twice/a", End.CLOSE, 4, 200, 1),
    Case("stream", "/stream/a", End.CLOSE, 4, 200, 1),
    Case("resumable", "/resumable/a", End.CLOSE, 4, 200, 1),
    Case("stream without events", "/stream/a", End.CLOSE, 0, 502, 1),
    Case("resumable without events", "/resumable/a", End.CLOSE, 0, 200, 2),
    Case("idempotent, reset", "/plain/a", End.RESET, 2, 200, 2),
    Case("not idempotent, reset", "/twice/a", End.RESET, 2, 502, 1),
    Case("stream, reset", "/stream/a", End.RESET, 2, 200, 1, False),
    Case("resumable, reset", "/resumable/a", End.RESET, 2, 200, 2),
    Case(
        "stream, closed within an event",
        "/stream/a",
        End.CLOSE_WITHIN_EVENT,
        2,
        200,
        1,
        False,
    ),
    Case(
        "resumable, closed within an event",
        "/resumable/a",
        End.CLOSE_WITHIN_EVENT,
        2,
        200,
        2,
    ),
    Case(
        "stream, closed within the first event",
        "/stream/a",
        End.CLOSE_WITHIN_EVENT,
        0,
        502,
        1,
    ),
    Case(
        "resumable, closed within the first event",
        "/resumable/a",
        End.CLOSE_WITHIN_EVENT,
        0,
        200,
        2,
    ),
)


def make_behavior(end: endpoint.UnframedEnd, events: int) -> endpoint.Behavior:
    return endpoint.Behavior(
        events=4 if events else 0, unframed_end=end, abort_after_events=events
    )


class OnlineTest(unittest.IsolatedAsyncioTestCase):
    async def test_broken_unframed_response_does_not_look_complete(
        self,
    ) -> None:
        for case in CASES:
            with self.subTest(case.name):
                await self.run_case(case)

    async def run_case(self, case: Case) -> None:
        async with site_lib.open_site() as site:
            first, second = site.endpoints
            site.loads.set_peer_counts("other", {second.name: 4}, {})
            first.behavior = make_behavior(case.end, case.events)
            response = await site_lib.call(site.address, case.path)
            self.assertEqual(response.status, case.status)
            self.assertEqual(response.is_complete, case.is_complete)
            self.assertEqual(site.count_runs(), case.runs)
            if case.status == 200:
                self.assertIn(b"response-signature", response.headers)
            if case.status == 200 and case.is_complete:
                self.assertEqual(response.body, COMPLETE_BODY)


class BatchTest(unittest.IsolatedAsyncioTestCase):
    async def test_broken_unframed_response_is_no_result(self) -> None:
        for end, events in (
            (End.CLOSE, 4),
            (End.CLOSE, 0),
            (End.CLOSE_WITHIN_EVENT, 2),
            (End.CLOSE_WITHIN_EVENT, 0),
            (End.RESET, 2),
            (End.RESET, 0),
        ):
            with self.subTest(end.value, events=events):
                await self.run_item(make_behavior(end, events))

    async def run_item(self, behavior: endpoint.Behavior) -> None:
        async with test_batches.open_harness() as harness:
            first, second = harness.endpoints
            harness.loads.set_peer_counts("x", {second.name: 4}, {})
            first.behavior = behavior
            await test_batches.submit(harness.store, 1)
            await harness.wait(lambda: bool(first.runs))
            harness.loads.set_peer_counts("x", {first.name: 6}, {})
            result = (await harness.read_all())["i0"]
            self.assertEqual(
                (result.state, result.text),
                (records.COMPLETED, test_batches.TEXT),
            )
