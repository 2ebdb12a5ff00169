"""What gateways that start together send before they know of each other."""

import asyncio
import contextlib
import heapq
import itertools
import pathlib
import tempfile
from typing import Final
import unittest

import anyio
import httpx
import msgspec

from bench import memory_load
from bench import ports
from bench import processes
from eelgrassgate import outcomes
from eelgrassgate.gateway import catalog
from eelgrassgate.gateway import draining
from eelgrassgate.gateway import placement as placement_lib
from eelgrassgate.gateway import start_share
from eelgrassgate.peering import failures
from eelgrassgate.peering import loads
from eelgrassgate.peering import registry
from eelgrassgate.peering import reports
from tests import load_peaks
from tests import site as site_lib
from tests.soak import daemons

KIND: Final = outcomes.RequestClass.ONLINE
# A fleet returns under the load of a peak, more than its endpoints can start.
ARRIVALS_S: Final = 1.3
RATE_PER_S: Final = 400.0
ENDPOINTS: Final = 28
SEEDS: Final = range(3)
# Gateways start within this time of each other.
MAX_SKEW_S: Final = 0.2
# The fleet of processes.
GATEWAYS: Final = 4
FLEET_ENDPOINTS: Final = 2
FLEET_SLOTS: Final = 4
CALLS: Final = 8
# Less than the idle timeout, after which requests are tried elsewhere.
WORK_S: Final = 0.3
OBJECTIVE_MS: Final = 300
TIMEOUT_S: Final = 30.0


def make_member(number: int) -> registry.Member:
    zone = load_peaks.ZONES[number % 6]
    return registry.Member(
        f"g{number}",
        registry.Role.GATEWAY,
        zone,
        load_peaks.REGION_BY_ZONE[zone],
        "127.0.0.1:1",
        "127.0.0.1:2",
        1,
    )


MEMBERS: Final = tuple(map(make_member, range(load_peaks.GATEWAY_COUNT)))


def make_report(number: int, uptime_s: float) -> reports.Report:
    return reports.Report(f"g{number}", 1, 1, uptime_s, {}, {}, {})


class FleetStart(load_peaks.Simulation):
    """A fleet whose gateways all start while callers send requests."""

    def __init__(self, seed: int, is_bounded: bool) -> None:
        self._is_bounded = is_bounded
        self._shares: list[start_share.StartShare] = []
        super().__init__(seed, RATE_PER_S, ENDPOINTS)

    def _make_placement(self, number: int) -> placement_lib.Placement:
        share = start_share.create_start_share(
            MEMBERS[number],
            lambda: MEMBERS,
            load_peaks.REGION_BY_ZONE,
            self._get_now,
        )
        self._shares.append(share)
        placement = placement_lib.create_placement(
            self._tables[number],
            failures.create_failures(clock=self._get_now),
            site_lib.make_endpoint_limits(clock=self._get_now),
            draining.create_draining_endpoints(self._get_now),
            load_peaks.ZONES[number % 6],
            load_peaks.REGION_BY_ZONE,
            self._get_now,
            start_share=share if self._is_bounded else None,
        )
        placement.set_endpoints(self._endpoints)
        return placement

    def run(self) -> load_peaks.Outcome:
        for source, target in itertools.permutations(range(len(MEMBERS)), 2):
            self._schedule(
                self._random.random() * MAX_SKEW_S,
                self._make_sender(source, target),
            )
            self._schedule_uptimes(source, target)
        when = 0.0
        while when < ARRIVALS_S:
            when += self._random.expovariate(self._rate_per_s)
            self._schedule(when, self._handle_arrival)
        while self._events and self._now < ARRIVALS_S + 5.0:
            self._now, _, event = heapq.heappop(self._events)
            event()
        return self.outcome

    def _schedule_uptimes(self, source: int, target: int) -> None:
        def report() -> None:
            sent = make_report(source, round(self._now, 1))
            self._shares[target].handle_report(sent)
            if self._now < start_share.MAX_START_S:
                self._schedule(
                    self._now + reports.OTHER_REGION_INTERVAL_S, report
                )

        self._schedule(self._random.random() * MAX_SKEW_S, report)


def simulate(is_bounded: bool) -> load_peaks.Outcome:
    total = load_peaks.Outcome()
    for seed in SEEDS:
        one = FleetStart(seed, is_bounded).run()
        for name in one.__struct_fields__:
            setattr(total, name, getattr(total, name) + getattr(one, name))
    return total


class DecisionTest(unittest.TestCase):
    def setUp(self) -> None:
        self.now = 0.0

    def make_share(self, number: int = 0) -> start_share.StartShare:
        return start_share.create_start_share(
            MEMBERS[number],
            lambda: MEMBERS,
            load_peaks.REGION_BY_ZONE,
            lambda: self.now,
        )

    def test_parts_of_a_region_add_up_to_the_slots(self) -> None:
        # Otherwise what the gateways send together queues at the endpoint.
        region = MEMBERS[0].region
        sharers = [
            number for number, one in enumerate(MEMBERS) if one.region == region
        ]
        for slots in (0, 1, 8, 50):
            endpoint = catalog.Endpoint("e", "engine", "e:1", "z0", slots)
            parts = [
                self.make_share(number).compute_slots(endpoint, slots)
                for number in sharers
            ]
            self.assertEqual(sum(parts), slots)
            self.assertLessEqual(max(parts) - min(parts), 1)

    def test_a_gateway_that_starts_alone_is_soon_not_bounded(self) -> None:
        # A replaced gateway has its usual load at once.
        share = self.make_share()
        endpoint = catalog.Endpoint("e", "engine", "e:1", "z0", 8)
        self.assertLess(share.compute_slots(endpoint, 8), 8)
        for number in range(1, len(MEMBERS)):
            share.handle_report(make_report(number, 60.0))
        self.now += start_share.CHECK_INTERVAL_S
        self.assertEqual(share.compute_slots(endpoint, 8), 8)

    def test_peers_that_stay_silent_bound_it_only_at_the_start(self) -> None:
        # Entries of stopped gateways last for seconds.
        share = self.make_share()
        self.assertFalse(share.is_over())
        self.now += start_share.MAX_START_S
        self.assertTrue(share.is_over())

    def test_unknown_members_are_not_taken_for_none(self) -> None:
        share = start_share.create_start_share(
            MEMBERS[0], tuple, load_peaks.REGION_BY_ZONE, lambda: 0.0
        )
        endpoint = catalog.Endpoint("e", "engine", "e:1", "z0", 8)
        self.assertEqual(share.compute_slots(endpoint, 8), 1)

    def test_only_settled_peers_are_told_apart(self) -> None:
        table = loads.create_loads()
        table.set_peer_counts("g1", {"e": 2}, {"e": 5})
        table.set_peer_counts("g2", {"e": 3}, {})
        with table.track("e", KIND):
            self.assertEqual(table.split_online("e", {"g1", "g9"}), (1, 3))

    def test_fewer_requests_are_late_after_a_common_start(self) -> None:
        before, after = simulate(False), simulate(True)
        self.assertLess(after.late, 0.85 * before.late)
        self.assertLess(after.rejected, 0.05 * after.requests)
        self.assertGreater(
            after.on_time + after.on_time_after_retry,
            1.05 * (before.on_time + before.on_time_after_retry),
        )


class SlotCounter:
    """An endpoint that counts the requests that it has at the same time."""

    def __init__(self) -> None:
        self.in_flight = 0
        self.peak = 0

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        with (
            contextlib.closing(writer),
            contextlib.suppress(OSError, asyncio.IncompleteReadError),
        ):
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
                fields = dict(
                    line.lower().split(": ", 1)
                    for line in head.split("\r\n")[1:]
                    if ": " in line
                )
                self.in_flight += 1
                self.peak = max(self.peak, self.in_flight)
                await asyncio.sleep(WORK_S)
                self.in_flight -= 1
                writer.write(
                    (
                        "HTTP/1.1 200 OK\r\n"
                        f"Request-Id: {fields['request-id']}\r\n"
                        "Response-Signature: 1.1\r\n"
                        "Content-Length: 1\r\n\r\nx"
                    ).encode()
                )


class FleetStartTest(unittest.IsolatedAsyncioTestCase):
    """Processes that start together; checks no times."""

    async def call(self, client: httpx.AsyncClient, url: str) -> int:
        response = await client.get(
            url,
            headers={
                "Host": memory_load.HOST,
                "Request-Id": url,
                "Authorization": f"Bearer {memory_load.KEYS[0]}",
                "Time-Remaining": "5000",
            },
        )
        if response.status_code == 503:
            self.assertGreater(float(response.headers["Retry-After"]), 0.0)
        return response.status_code

    async def call_gateway(
        self, gateway: daemons.Daemon, statuses: list[int]
    ) -> None:
        """Send requests at once as soon as a gateway is ready."""
        await processes.wait_until_ready(f"http://{gateway.ready_address}/")
        limits = httpx.Limits(max_connections=CALLS)
        async with httpx.AsyncClient(timeout=TIMEOUT_S, limits=limits) as one:
            statuses += await asyncio.gather(
                *(
                    self.call(
                        one, f"http://{gateway.callers_address}/small/{number}"
                    )
                    for number in range(CALLS)
                )
            )

    async def write_entries(
        self, url: str, gateways: list[daemons.Daemon], addresses: list[str]
    ) -> None:
        """Write what is in the store after a loss of power."""
        route = memory_load.make_route("/small/", "safe", "small")
        config = {
            "version": 1,
            "routes": [{**route, "target-latency-ms": OBJECTIVE_MS}],
            "services": [
                {"name": "small", "max-connections": 400, "engine": {}}
            ],
            "tenants": [{"name": "desk", "api-keys": memory_load.KEYS[:1]}],
        }
        await memory_load.write_document(url, "op/config", config)
        for number, address in enumerate(addresses):
            await memory_load.write_document(
                url,
                f"servers/i-{number}",
                memory_load.make_endpoint("small", address, FLEET_SLOTS),
            )
        for one in gateways:
            member = registry.Member(
                one.name,
                registry.Role.GATEWAY,
                one.zone,
                "r1",
                f"{one.ip}:7811",
                f"{one.ip}:7812",
                1,
            )
            await memory_load.write_document(
                url,
                f"{registry.MEMBERS_PREFIX}{one.name}",
                msgspec.to_builtins(member),
            )

    async def test_no_endpoint_gets_more_than_its_slots(self) -> None:
        # Each gateway filled the same endpoints alone, since no report of the
        # others had arrived, and what queued there was late.
        counters = [SlotCounter() for _ in range(FLEET_ENDPOINTS)]
        store_port = ports.pick_port()
        store = f"{ports.HOST}:{store_port}"
        statuses: list[int] = []
        async with contextlib.AsyncExitStack() as stack:
            name = stack.enter_context(tempfile.TemporaryDirectory())
            folder = pathlib.Path(name)
            running = await stack.enter_async_context(
                processes.run_processes(folder)
            )
            running.start(
                "store", "eelgrassgate.standins.kv", ["--port", str(store_port)]
            )
            await processes.wait_until_open(store_port)
            addresses = []
            for counter in counters:
                server = await asyncio.start_server(
                    counter.serve, ports.HOST, 0
                )
                await stack.enter_async_context(server)
                port = server.sockets[0].getsockname()[1]
                addresses.append(f"{ports.HOST}:{port}")
            gateways = [
                daemons.Daemon(
                    "gateway",
                    f"gateway{number}",
                    f"127.92.1.{number}",
                    "z1",
                    store,
                    folder,
                )
                for number in range(1, 1 + GATEWAYS)
            ]
            await self.write_entries(f"http://{store}", gateways, addresses)
            for one in gateways:
                one.start()
                stack.push_async_callback(one.kill)
            with anyio.fail_after(TIMEOUT_S):
                await asyncio.gather(
                    *(self.call_gateway(one, statuses) for one in gateways)
                )
        for counter in counters:
            self.assertLessEqual(counter.peak, FLEET_SLOTS, statuses)
        self.assertEqual(set(statuses), {200, 503})
        self.assertGreaterEqual(statuses.count(200), FLEET_SLOTS)
