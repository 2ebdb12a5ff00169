"""Routes whose requests and items are split between services."""

import collections
import random
import unittest

import anyio
import msgspec

from eelgrassgate.batches import records
from eelgrassgate.gateway import catalog
from eelgrassgate.gateway import splits
from tests import site as site_lib
from tests import test_batches


def make_split(**weights: float) -> catalog.Route:
    return msgspec.structs.replace(
        test_batches.ROUTE,
        targets=tuple(
            catalog.Target(service, weight)
            for service, weight in weights.items()
        ),
    )


class ChoiceTest(unittest.TestCase):
    def test_a_service_without_endpoints_is_skipped(self) -> None:
        for weights, available, draw, expected in (
            ({"a": 1.0}, "a", 0.9, "a"),
            ({"a": 1.0}, "", 0.9, "a"),
            ({"a": 10.0, "b": 90.0}, "ab", 0.0, "a"),
            ({"a": 10.0, "b": 90.0}, "ab", 0.0999, "a"),
            ({"a": 10.0, "b": 90.0}, "ab", 0.1, "b"),
            ({"a": 10.0, "b": 90.0}, "ab", 0.9999, "b"),
            ({"a": 10.0, "b": 90.0}, "b", 0.0, "b"),
            ({"a": 10.0, "b": 90.0}, "a", 0.9999, "a"),
            ({"a": 10.0, "b": 90.0}, "", 0.5, "b"),
            ({"a": 0.0, "b": 1.0}, "a", 0.5, "b"),
            ({"a": 0.0, "b": 0.0}, "b", 0.5, "a"),
            ({"a": 1.0, "b": 1.0, "c": 1.0}, "ac", 0.5, "c"),
        ):
            with self.subTest((weights, available, draw)):
                found = splits.choose_service(
                    make_split(**weights), draw, available.__contains__
                )
                self.assertEqual(found, expected)

    def test_items_follow_the_weights(self) -> None:
        names = [f"job-{number}" for number in range(2_000)]
        before: dict[str, str] = {}
        for weight in (10.0, 50.0, 90.0):
            route = make_split(a=weight, b=100.0 - weight)
            chosen = {
                name: splits.choose_service(
                    route, splits.compute_draw(name), lambda service: True
                )
                for name in names
            }
            counts = collections.Counter(chosen.values())
            # Six standard deviations at 50 of 100.
            self.assertAlmostEqual(
                counts["a"] / len(names), weight / 100.0, delta=0.07
            )
            # Only as many move as the weights do.
            returned = [
                name
                for name in names
                if before.get(name) == "a" and chosen[name] == "b"
            ]
            self.assertEqual(returned, [])
            before = chosen

    def test_draws_are_below_one(self) -> None:
        draw = random.Random(1)
        for _ in range(1_000):
            found = splits.compute_draw(str(draw.random()))
            self.assertTrue(0.0 <= found < 1.0)


class ItemTest(unittest.IsolatedAsyncioTestCase):
    async def test_items_run_at_the_service_that_has_endpoints(self) -> None:
        for name, weights in (
            ("first service is empty", {"none": 10.0, "engine": 90.0}),
            ("second service is empty", {"engine": 10.0, "none": 90.0}),
        ):
            with self.subTest(name):
                async with test_batches.open_harness() as harness:
                    harness.catalog = site_lib.make_catalog(
                        [make_split(**weights)]
                    )
                    await test_batches.submit(harness.store, 4)
                    with anyio.fail_after(site_lib.TEST_TIMEOUT_S):
                        found = await harness.read_all()
                    self.assertEqual(
                        [one.state for one in found.values()],
                        [records.COMPLETED] * 4,
                    )


class RequestTest(unittest.IsolatedAsyncioTestCase):
    async def test_requests_run_at_the_service_that_has_endpoints(
        self,
    ) -> None:
        async with site_lib.open_site() as site:
            route = site_lib.make_route("/plain/", catalog.Kind.IDEMPOTENT)
            site.catalog = site_lib.make_catalog(
                [
                    msgspec.structs.replace(
                        route,
                        targets=make_split(none=50.0, engine=50.0).targets,
                    )
                ]
            )
            statuses = [
                (await site_lib.call(site.address, "/plain/a")).status
                for _ in range(20)
            ]
        self.assertEqual(statuses, [200] * 20)
