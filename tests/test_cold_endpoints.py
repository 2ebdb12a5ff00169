"""Endpoints that are cold get no more requests than they can take."""

import pathlib
import tempfile
import time
from typing import Any
from typing import Final
import unittest

import anyio
import msgspec

from eelgrassgate.gateway import catalog
from eelgrassgate.gateway import discovery as discovery_lib
from eelgrassgate.gateway import endpoint_limits
from eelgrassgate.gateway import placement as placement_lib
from eelgrassgate.platform import documents
from eelgrassgate.standins import endpoint
from eelgrassgate.store import base
from eelgrassgate.store import memory
from tests import site as site_lib
from tests import test_batches
from tests import test_config_sync
from tests import test_endpoint_limits
from tests import test_evacuations
from tests import test_peering
from tests import test_platform
from tests.soak import environment as environment_lib

PER_S: Final = 6.5
START_S: Final = 6.0
# What a cold endpoint takes in one second: 1.5 times its rate, and 5 requests.
MAX_IN_A_SECOND: Final = 14.75
CATALOG: Final = msgspec.structs.replace(
    site_lib.make_catalog(),
    services_by_name={
        "engine": catalog.Service("engine", 100, True, START_S, PER_S)
    },
)


class Fleet(test_endpoint_limits.Fleet):
    """Processes that want to use an endpoint, which is cold by its entry."""

    def create(self, member: Any) -> Any:
        created = super().create(member)
        created.set_services(CATALOG)
        created.record_entry(self.endpoint)
        return created

    def exchange(self) -> None:
        for source, member in zip(self.processes, self.members, strict=True):
            report = test_peering.make_report(
                member.name, cold_by_endpoint=source.list_colds()
            )
            for target in self.processes:
                if target is not source:
                    target.handle_report(report)

    def write_entry(self, cold_s: float, started: int = 0) -> None:
        self.endpoint = msgspec.structs.replace(
            self.endpoint, cold_remaining_s=cold_s, started=started
        )
        for one in self.processes:
            one.record_entry(self.endpoint)

    def count_in_a_second(self) -> int:
        return max(
            sum(start <= at < start + 1.0 for at in self.sent_at)
            for start in self.sent_at
        )

    def are_cold(self) -> list[bool]:
        return [one.is_cold("e") for one in self.processes]


class FleetTest(unittest.TestCase):
    def test_no_second_exceeds_the_bound(self) -> None:
        for name, gateways, batches, wanted_per_s in (
            ("one gateway", 1, 0, 50.0),
            ("four gateways", 4, 3, 50.0),
            ("a large fleet", 58, 10, 20.0),
            ("tokens saved up, then a peak", 24, 6, 0.5),
        ):
            for is_shared in (False, True):
                with self.subTest(name, is_shared=is_shared):
                    fleet = Fleet(gateways, batches)
                    fleet.write_entry(START_S, started=1)
                    for wanted in (wanted_per_s, 50.0, wanted_per_s, 50.0):
                        fleet.use(1.4, None, wanted, is_shared=is_shared)
                    self.assertLessEqual(
                        fleet.count_in_a_second(), MAX_IN_A_SECOND
                    )
                    if wanted_per_s >= 20.0:
                        self.assertGreater(
                            len(fleet.sent_at), 0.6 * 5.6 * PER_S
                        )

    def test_the_bound_holds_while_processes_disagree(self) -> None:
        """Some know all endpoints as cold; one process restarts."""
        fleet = Fleet(24, 6)
        fleet.write_entry(START_S, started=1)
        for step in range(280):
            fleet.now += fleet.STEP_S
            if step % 40 == 39:
                index = (step // 40) % 8
                fleet.processes[index] = fleet.create(fleet.members[index])
            for number, process in enumerate(fleet.processes):
                is_shared = number >= 24
                if not process.compute_wait(
                    fleet.endpoint, is_shared=is_shared
                ):
                    process.take_token(fleet.endpoint, is_shared=is_shared)
                    fleet.sent_at.append(fleet.now)
        self.assertLessEqual(fleet.count_in_a_second(), MAX_IN_A_SECOND)

    def test_the_bound_holds_for_both_sides_of_a_partition(self) -> None:
        """The users go on without the store and the others, who outlive them.

        Without the parts of the lost ones the others would choose new users.
        """
        fleet = Fleet(24, 6)
        fleet.write_entry(2.0 * START_S, started=1)
        members = list(fleet.members)
        lost = {one.name for one in members if one.zone == fleet.endpoint.zone}
        left = [one for one in members if one.name not in lost]
        for process, member in zip(fleet.processes, members, strict=True):
            if member.name not in lost:
                process._list_members = lambda: left
        for is_shared in (False, True):
            fleet.use(3.0, None, 50.0, is_shared=is_shared)
        self.assertLessEqual(fleet.count_in_a_second(), MAX_IN_A_SECOND)


class StateTest(unittest.TestCase):
    def test_entries_tell_whether_an_endpoint_is_cold(self) -> None:
        for name, cold_s, after_s, next_cold_s, expected in (
            ("warm", 0.0, 0.0, 0.0, False),
            ("cold", 2.0, 1.9, None, True),
            ("over", 2.0, 2.1, None, False),
            ("warm earlier than it said", 2.0, 1.0, 0.0, False),
            ("cold again", 0.0, 5.0, 3.0, True),
        ):
            with self.subTest(name):
                fleet = Fleet(1)
                fleet.write_entry(cold_s, started=1)
                fleet.now += after_s
                if next_cold_s is not None:
                    fleet.write_entry(next_cold_s, started=1)
                self.assertEqual(fleet.are_cold(), [expected])

    def test_an_endpoint_that_can_be_reached_again_is_cold(self) -> None:
        """An entry from before the failure must not end it."""
        fleet = Fleet(1)
        process = fleet.processes[0]
        process.record_unreachable(fleet.endpoint)
        fleet.now += 1.0
        fleet.write_entry(0.0)
        self.assertEqual(fleet.are_cold(), [True])
        fleet.now += 25.0
        self.assertEqual(fleet.are_cold(), [True])
        process.record_response("e", None, fleet.now)
        fleet.now += START_S - 0.1
        self.assertEqual(fleet.are_cold(), [True])
        fleet.now += 0.2
        self.assertEqual(fleet.are_cold(), [False])

    def test_it_is_tried_again_although_nothing_tells_that_it_is_back(
        self,
    ) -> None:
        """While the store is away, who is no user would never use it again."""
        fleet = Fleet(1)
        fleet.processes[0].record_unreachable(fleet.endpoint)
        fleet.now += endpoint_limits.MAX_UNREACHED_S + START_S + 0.1
        self.assertEqual(fleet.are_cold(), [False])

    def test_a_later_entry_of_the_same_start_ends_it(self) -> None:
        fleet = Fleet(1)
        fleet.processes[0].record_unreachable(fleet.endpoint)
        fleet.now += 1.9
        fleet.write_entry(0.0)
        self.assertEqual(fleet.are_cold(), [False])

    def test_a_new_start_is_as_cold_as_its_entry_says(self) -> None:
        fleet = Fleet(1)
        fleet.processes[0].record_unreachable(fleet.endpoint)
        fleet.write_entry(0.0, started=1)
        self.assertEqual(fleet.are_cold(), [False])

    def test_peers_learn_of_an_end_but_not_of_a_partition(self) -> None:
        for has_ended in (True, False):
            with self.subTest(has_ended=has_ended):
                fleet = Fleet(3)
                fleet.processes[0].record_unreachable(
                    fleet.endpoint, has_ended=has_ended
                )
                fleet.exchange()
                self.assertEqual(fleet.are_cold(), [True, has_ended, has_ended])
                # A long outage: they are told again.
                for _ in range(20):
                    fleet.now += 1.0
                    fleet.exchange()
                self.assertEqual(fleet.are_cold(), [True, has_ended, has_ended])
                # Who has read an entry does not adopt the same again.
                fleet.processes[1].record_entry(fleet.endpoint)
                fleet.exchange()
                self.assertEqual(fleet.are_cold(), [True, False, has_ended])

    def test_a_new_process_learns_from_peers(self) -> None:
        """While the store is unavailable nothing else tells it."""
        fleet = Fleet(2)
        fleet.write_entry(START_S, started=1)
        fleet.endpoint = msgspec.structs.replace(
            fleet.endpoint, cold_remaining_s=0.0
        )
        fleet.processes[1] = fleet.create(fleet.members[1])
        self.assertEqual(fleet.are_cold(), [True, False])
        fleet.exchange()
        self.assertEqual(fleet.are_cold(), [True, True])

    def test_responses_do_not_prolong_what_a_peer_has_told(self) -> None:
        """Else processes would tell each other of it for ever."""
        fleet = Fleet(2)
        fleet.processes[0].record_entry(
            msgspec.structs.replace(
                fleet.endpoint, cold_remaining_s=2.0, started=1
            )
        )
        for _ in range(21):
            fleet.exchange()
            for process in fleet.processes:
                process.record_response("e", None, fleet.now)
            fleet.now += 0.1
        self.assertEqual(fleet.are_cold(), [False, False])

    def test_services_without_a_rate_have_no_cold_endpoints(self) -> None:
        fleet = Fleet(1)
        fleet.processes[0].set_services(site_lib.make_catalog())
        fleet.processes[0].record_unreachable(fleet.endpoint, has_ended=True)
        fleet.write_entry(START_S, started=1)
        self.assertEqual(fleet.are_cold(), [False])
        self.assertEqual(fleet.processes[0].list_colds(), {})

    def test_a_lower_limit_of_the_endpoint_applies(self) -> None:
        for named_per_s, expected in ((2.0, 2.0), (20.0, PER_S), (None, PER_S)):
            with self.subTest(named_per_s):
                fleet = Fleet(1)
                fleet.write_entry(START_S, started=1)
                process = fleet.processes[0]
                process.record_response("e", named_per_s, fleet.now)
                self.assertEqual(process.get_limit("e"), expected)

    def test_documents(self) -> None:
        entry = {**test_platform.ENTRY, "cold-remaining-ms": 1500}
        found = documents.decode_endpoint(
            "servers/e", msgspec.json.encode(entry)
        )
        assert found is not None
        self.assertEqual(found.cold_remaining_s, 1.5)
        service = {
            **test_platform.CONFIG["services"][0],
            "cold-start-s": 6,
            "cold-per-s": 6.5,
        }
        config = documents.decode_config(
            msgspec.json.encode({**test_platform.CONFIG, "services": [service]})
        )
        assert config is not None
        known = config.services_by_name["engine"]
        self.assertEqual((known.cold_start_s, known.cold_per_s), (6.0, 6.5))


def prepare(placement: placement_lib.Placement) -> None:
    """Let the endpoints of a placement have a limit while they are cold."""
    placement.endpoint_limits.set_services(CATALOG)
    for one in placement.get_endpoints("engine"):
        placement.endpoint_limits.record_entry(one)


class PathTest(unittest.IsolatedAsyncioTestCase):
    async def test_faulty_responses_are_no_restarts(self) -> None:
        """Otherwise each fault would take an endpoint's capacity away."""
        for fault in (
            {"abort_after_events": 1},
            {"is_unsigned": True},
            {"is_unresponsive": True},
            {"is_overloaded": True},
            {"status": 500},
            {},
        ):
            with self.subTest(fault, kind="online"):
                async with site_lib.open_site("e1") as site:
                    prepare(site.placement)
                    site.endpoints[0].behavior = endpoint.Behavior(**fault)
                    await site_lib.call(
                        site.address, "/plain/a", remaining_ms=900
                    )
                    limits = site.placement.endpoint_limits
                    self.assertFalse(limits.is_cold("e1"))
            with self.subTest(fault, kind="item"):
                async with test_batches.open_harness(names="e") as harness:
                    prepare(harness.placement)
                    harness.endpoints[0].behavior = endpoint.Behavior(**fault)
                    await test_batches.submit(harness.store, 1)
                    await anyio.sleep(0.4)
                    limits = harness.placement.endpoint_limits
                    self.assertFalse(limits.is_cold("e"))

    async def test_ended_endpoints_may_be_restarting(self) -> None:
        """Otherwise they would get their full load as soon as they return."""
        async with site_lib.open_site("e1") as site:
            prepare(site.placement)
            site.endpoints[0].behavior = endpoint.Behavior(
                crashing_body=b"crash"
            )
            await site_lib.call(
                site.address, "/plain/a", body=b"crash", remaining_ms=900
            )
            self.assertTrue(site.placement.endpoint_limits.is_cold("e1"))

    async def test_repeated_entries_are_passed_on(self) -> None:
        """An entry that only counts down is no change of the endpoint."""
        store = memory.create_memory_store()
        discovery = discovery_lib.create_discovery(
            store, documents.PlatformDocuments()
        )
        seen: list[float] = []
        changes: list[int] = []
        discovery.subscribe_to_entries(
            lambda found: seen.append(found.cold_remaining_s)
        )
        discovery.subscribe_to_endpoints(lambda found: changes.append(1))
        for sequence in range(3):
            entry = {
                **test_platform.ENTRY,
                "sequence": sequence,
                "cold-remaining-ms": 2000 - 1000 * sequence,
            }
            change = base.Change("servers/e", msgspec.json.encode(entry), 1)
            discovery._apply_endpoints((change,))
        self.assertEqual((seen, changes), ([2.0, 1.0, 0.0], [1]))


class ProcessTest(unittest.IsolatedAsyncioTestCase):
    SECONDS: Final = 4.0
    # About six times what the four endpoints take.
    PER_S: Final = 160.0

    async def test_real_gateways_respect_the_bound(self) -> None:
        """All endpoints are cold, and callers want more than they take."""
        with tempfile.TemporaryDirectory() as folder:
            async with environment_lib.run_environment(
                pathlib.Path(folder), 84
            ) as site:
                for number, one in enumerate(site.endpoints):
                    await test_evacuations.register(
                        site, number, "z1", cold_ms=60_000
                    )
                    one.behavior = endpoint.Behavior(events=1)
                service = {
                    "name": "engine",
                    "max-connections": 300,
                    "engine": {},
                    "cold-start-s": START_S,
                    "cold-per-s": PER_S,
                }
                key = {"name": "desk", "api-keys": [site_lib.KEY]}
                await site.write_document(
                    documents.CONFIG_KEY,
                    {
                        "version": 9,
                        "routes": environment_lib.ROUTES,
                        "services": [service],
                        "tenants": [key],
                    },
                )
                gateways = site.get_gateways()
                for gateway in gateways:
                    await test_evacuations.wait_until_ready(gateway)
                await anyio.sleep(test_config_sync.MAX_DELAY_S)
                statuses: list[int] = []
                seen: list[tuple[float, list[int]]] = []

                async def send(number: int) -> None:
                    response = await site_lib.call(
                        gateways[number % 2].callers_address,
                        "/plain/a",
                        request_id=f"r{number}",
                    )
                    statuses.append(response.status)

                async with anyio.create_task_group() as tasks:
                    for number in range(round(self.PER_S * self.SECONDS)):
                        tasks.start_soon(send, number)
                        await anyio.sleep(1.0 / self.PER_S)
                        counts = [len(one.runs) for one in site.endpoints]
                        seen.append((time.monotonic(), counts))
                self.assertEqual(set(statuses), {200, 503})
                for index in range(len(site.endpoints)):
                    most = max(
                        later[index] - earlier[index]
                        for at, earlier in seen
                        for later_at, later in seen
                        if at <= later_at < at + 1.0
                    )
                    self.assertLessEqual(most, MAX_IN_A_SECOND)
                    got = seen[-1][1][index] - seen[0][1][index]
                    self.assertGreater(got, PER_S)
