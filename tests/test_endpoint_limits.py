"""Endpoints that name a limit get no more requests than it allows."""

import random
import time
from typing import Final
import unittest

import anyio
import msgspec

from eelgrassgate.batches import records
from eelgrassgate.gateway import catalog
from eelgrassgate.gateway import endpoint_limits
from eelgrassgate.peering import registry
from eelgrassgate.standins import endpoint
from tests import site as site_lib
from tests import test_batches
from tests import test_peering

LIMIT_PER_S: Final = 2.0
LASTS_S: Final = 4.0
# What an endpoint may get in that time: one and a half times its limit, and
# five requests.
MAX_REQUESTS: Final = round(LASTS_S * LIMIT_PER_S * 1.5) + 5
INTERVAL_S: Final = 0.04
MAX_REFUSAL_S: Final = 0.2


class OnlineTest(unittest.IsolatedAsyncioTestCase):
    async def send_all(self, site: site_lib.Site) -> list[int]:
        """Send requests for `LASTS_S` and return their statuses."""
        statuses: list[int] = []

        async def send(number: int) -> None:
            started_at = time.monotonic()
            response = await site_lib.call(
                site.address, "/plain/a", request_id=f"r{number}"
            )
            statuses.append(response.status)
            if response.status == 503:
                self.assertLess(time.monotonic() - started_at, MAX_REFUSAL_S)
                self.assertGreater(float(response.headers[b"retry-after"]), 0)

        async with anyio.create_task_group() as tasks:
            for number in range(round(LASTS_S / INTERVAL_S)):
                tasks.start_soon(send, number)
                await anyio.sleep(INTERVAL_S)
        return statuses

    async def test_endpoint_gets_no_more_requests_than_its_limit(
        self,
    ) -> None:
        async with site_lib.open_site() as site:
            first = site.endpoints[0]
            first.behavior = endpoint.Behavior(limit_per_s=LIMIT_PER_S)
            statuses = await self.send_all(site)
            self.assertEqual(set(statuses), {200})
            self.assertLessEqual(len(first.runs), MAX_REQUESTS)
            self.assertGreater(len(first.runs), LIMIT_PER_S)

    async def test_request_beyond_all_limits_is_refused_at_once(self) -> None:
        async with site_lib.open_site() as site:
            for one in site.endpoints:
                one.behavior = endpoint.Behavior(limit_per_s=LIMIT_PER_S)
            statuses = await self.send_all(site)
            self.assertEqual(set(statuses), {200, 503})
            for one in site.endpoints:
                self.assertLessEqual(len(one.runs), MAX_REQUESTS)
                self.assertGreater(len(one.runs), LIMIT_PER_S)


class BatchTest(unittest.IsolatedAsyncioTestCase):
    async def test_items_count_against_the_limit(self) -> None:
        async with test_batches.open_harness() as harness:
            first = harness.endpoints[0]
            first.behavior = endpoint.Behavior(limit_per_s=LIMIT_PER_S)
            started_at = time.monotonic()
            await test_batches.submit(harness.store, 120)
            found = await harness.read_all()
            took_s = time.monotonic() - started_at
            states = {one.state for one in found.values()}
            self.assertEqual(states, {records.COMPLETED})
            self.assertLessEqual(
                len(first.runs), round(took_s * LIMIT_PER_S * 1.5) + 5
            )


class Fleet:
    """The limits of several processes, which all want to use one endpoint.

    Processes of the gateway role are spread over the zones `z1` and `z2` of
    region `r1` and `z3` of region `r2`; the endpoint is in `z1`.
    """

    STEP_S: Final = 0.02
    REPORT_INTERVAL_S: Final = 0.3
    REGIONS: Final = {"z1": "r1", "z2": "r1", "z3": "r2"}

    def __init__(self, gateways: int, batches: int = 0, seed: int = 1) -> None:
        self.now = 100.0
        self._random = random.Random(seed)
        zones = list(self.REGIONS)
        roles = [registry.Role.GATEWAY] * gateways
        roles += [registry.Role.BATCH] * batches
        self.members = [
            registry.Member(
                f"m{number}",
                role,
                zones[number % 3],
                self.REGIONS[zones[number % 3]],
                "",
                "",
                1,
            )
            for number, role in enumerate(roles)
        ]
        self.endpoint = catalog.Endpoint("e", "engine", "e:1", "z1", 8)
        self.processes = [self.create(one) for one in self.members]
        self.sent_at: list[float] = []
        self.sent_at_by_process: list[list[float]] = [
            [] for _ in self.processes
        ]

    def create(self, member: registry.Member) -> endpoint_limits.EndpointLimits:
        created = endpoint_limits.create_endpoint_limits(
            member, lambda: self.members, self.REGIONS, lambda: self.now
        )
        created.retain_endpoints(["e"])
        return created

    def exchange(self) -> None:
        for source, member in zip(self.processes, self.members, strict=True):
            report = test_peering.make_report(
                member.name, limits_by_endpoint=source.list_limits()
            )
            data = msgspec.msgpack.encode(report)
            for target in self.processes:
                if target is not source:
                    target.handle_report(
                        msgspec.msgpack.decode(data, type=type(report))
                    )

    def use(
        self,
        seconds: float,
        limit_per_s: float | None,
        wanted_per_s: float,
        *,
        is_shared: bool = False,
    ) -> None:
        """Let each process send `wanted_per_s` requests if it may."""
        report_at = self.now
        until = self.now + seconds
        while self.now < until:
            self.now += self.STEP_S
            if self.now >= report_at:
                self.exchange()
                report_at = self.now + self.REPORT_INTERVAL_S
            for number, process in enumerate(self.processes):
                if self._random.random() > wanted_per_s * self.STEP_S:
                    continue
                if process.compute_wait(self.endpoint, is_shared=is_shared):
                    continue
                process.take_token(self.endpoint, is_shared=is_shared)
                process.record_response("e", limit_per_s, self.now)
                self.sent_at.append(self.now)
                self.sent_at_by_process[number].append(self.now)

    def count_most(self, after: float) -> int:
        """Return the most requests within `LASTS_S`, after a time."""
        return max(
            sum(start <= at < start + LASTS_S for at in self.sent_at)
            for start in [after, *self.sent_at]
            if start >= after
        )


class FleetTest(unittest.TestCase):
    # Time until all processes know of a limit.
    CONTACT_S: Final = 4.0

    def test_limit_holds_for_all_processes_together(self) -> None:
        for name, gateways, batches, limit_per_s, wanted_per_s in (
            ("one gateway", 1, 0, 2.0, 20.0),
            ("four gateways", 4, 0, 2.6, 20.0),
            ("idle at times", 4, 0, 2.6, 0.7),
            ("a large fleet", 24, 6, 2.0, 10.0),
            ("less than one a second", 24, 6, 0.3, 10.0),
            ("a high limit", 24, 6, 30.0, 10.0),
            ("nothing at all", 4, 3, 0.0, 10.0),
        ):
            for is_shared in (False, True):
                with self.subTest(name, is_shared=is_shared):
                    fleet = Fleet(gateways, batches)
                    fleet.use(
                        30.0, limit_per_s, wanted_per_s, is_shared=is_shared
                    )
                    most = fleet.count_most(100.0 + self.CONTACT_S)
                    self.assertLessEqual(
                        most, LASTS_S * limit_per_s * 1.5 + 5.0
                    )
                    used = sum(at > 110.0 for at in fleet.sent_at) / 20.0
                    if wanted_per_s >= 10.0:
                        fraction = 1.0 if batches or not is_shared else 0.75
                        self.assertGreaterEqual(
                            used, 0.8 * fraction * limit_per_s
                        )

    def test_items_have_a_part_only_if_all_endpoints_are_limited(self) -> None:
        for is_shared in (False, True):
            with self.subTest(is_shared=is_shared):
                fleet = Fleet(4, 3)
                fleet.use(20.0, 4.0, 10.0, is_shared=is_shared)
                items = [
                    at
                    for sent in fleet.sent_at_by_process[4:]
                    for at in sent
                    if at > 105.0
                ]
                self.assertEqual(bool(items), is_shared)

    def test_restarted_process_learns_of_a_limit(self) -> None:
        fleet = Fleet(4)
        fleet.use(5.0, 2.0, 10.0)
        fleet.processes[:3] = [fleet.create(one) for one in fleet.members[:3]]
        fleet.exchange()
        self.assertEqual(
            [one.get_limit("e") for one in fleet.processes], [2.0] * 4
        )

    def test_lifted_limit_is_forgotten_everywhere(self) -> None:
        fleet = Fleet(4)
        fleet.use(5.0, 2.0, 10.0)
        fleet.use(5.0, None, 10.0)
        self.assertEqual(
            [one.get_limit("e") for one in fleet.processes], [None] * 4
        )
        fleet.use(1.0, 3.0, 10.0)
        self.assertEqual(
            [one.get_limit("e") for one in fleet.processes], [3.0] * 4
        )

    def test_response_that_began_before_the_limit_does_not_lift_it(
        self,
    ) -> None:
        fleet = Fleet(1)
        process = fleet.processes[0]
        process.record_response("e", 2.0, 99.0)
        process.record_response("e", None, 99.9)
        self.assertEqual(process.get_limit("e"), 2.0)
        fleet.now += 1.0
        process.record_response("e", None, 100.5)
        self.assertIsNone(process.get_limit("e"))

    def test_limits_of_removed_endpoints_are_dropped(self) -> None:
        fleet = Fleet(2)
        fleet.processes[0].record_response("e", 2.0, 99.0)
        fleet.processes[1].retain_endpoints([])
        fleet.exchange()
        self.assertIsNone(fleet.processes[1].get_limit("e"))
        fleet.processes[0].retain_endpoints([])
        self.assertEqual(fleet.processes[0].list_limits(), {})
