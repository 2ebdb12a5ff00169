"""Blaming prompt parts for the ends of endpoints."""

from collections.abc import Mapping
import heapq
import itertools
import random
from typing import Any
from typing import Final
import unittest
from unittest import mock

import anyio
import msgspec

from eelgrassgate.quarantine import evidence
from eelgrassgate.quarantine import quarantine as quarantine_lib
from eelgrassgate.quarantine import storage
from eelgrassgate.store import base
from eelgrassgate.store import faulty
from eelgrassgate.store import memory

TEST_TIMEOUT_S: Final = 5.0


class Seen(msgspec.Struct, frozen=True):
    """A part in flight at the end of an endpoint."""

    part: str
    request: int = 0
    lead_s: float = 0.1
    has_output: bool = False
    position: int = 0


def make_ends(*seen_by_end: tuple[float, tuple[Seen, ...]]) -> list[Any]:
    """Return ends of different endpoints, the request ids made different."""
    return [
        evidence.End(
            f"e{index}",
            at,
            {
                one.part: evidence.Exposure(
                    one.part,
                    one.position,
                    one.request or index + 1,
                    one.lead_s,
                    one.has_output,
                )
                for one in seen
            },
        )
        for index, (at, seen) in enumerate(seen_by_end)
    ]


def repeat(count: int, *seen: Seen, interval_s: float = 1.0) -> Any:
    return [(10.0 + index * interval_s, seen) for index in range(count)]


class Case(msgspec.Struct, frozen=True):
    """Ends of endpoints and the parts to blame for them.

    Attributes:
        name: Description of the case.
        ends: Times and the parts in flight.
        answered_at: Time of the last complete response by part.
        expected: The parts to blame.
        convicted: Parts that are blamed already.
    """

    name: str
    ends: list[tuple[float, tuple[Seen, ...]]]
    answered_at: Mapping[str, float]
    expected: list[str]
    convicted: tuple[str, ...] = ()


CASES: Final = (
    Case("three ends", repeat(3, Seen("p")), {}, []),
    Case("four ends", repeat(4, Seen("p")), {}, ["p"]),
    Case("five ends under one request", repeat(5, Seen("p", 7)), {}, []),
    Case("a part answered since", repeat(5, Seen("p")), {"p": 14.5}, []),
    Case("a part answered in between", repeat(5, Seen("p")), {"p": 11.5}, []),
    Case("a part answered before", repeat(5, Seen("p")), {"p": 9.0}, []),
    Case(
        "six ends of a part answered before",
        repeat(6, Seen("p")),
        {"p": 9.0},
        ["p"],
    ),
    Case(
        "all endpoints at once",
        repeat(9, Seen("p", lead_s=0.5), interval_s=0.01),
        {},
        [],
    ),
    Case(
        "a part that sound requests share",
        repeat(4, Seen("shared"), Seen("p", position=1)),
        {"shared": 9.0},
        ["p"],
    ),
    Case(
        "two new parts at four ends",
        repeat(4, Seen("q"), Seen("p", position=1)),
        {},
        [],
    ),
    Case(
        "two new parts at five ends",
        repeat(5, Seen("q"), Seen("p", position=1)),
        {},
        ["p"],
    ),
    Case(
        "a bystander at four of five ends",
        [*repeat(4, Seen("q", position=1), Seen("p")), (20.0, (Seen("p"),))],
        {},
        ["p"],
    ),
    Case(
        "a response that had begun",
        repeat(4, Seen("q", has_output=True), Seen("p")),
        {},
        ["p"],
    ),
    Case(
        "only responses that had begun",
        repeat(4, Seen("p", has_output=True)),
        {},
        ["p"],
    ),
    Case(
        "long responses of a known part in an outage",
        repeat(9, Seen("p", has_output=True)),
        {"p": 9.0},
        [],
    ),
    Case(
        "ends that a blamed part explains",
        repeat(6, Seen("q"), Seen("p")),
        {},
        [],
        ("p",),
    ),
    Case(
        "two parts at different endpoints",
        [
            *repeat(8, Seen("p")),
            *[(at + 0.5, seen) for at, seen in repeat(8, Seen("q"))],
        ],
        {},
        ["p", "q"],
    ),
    Case(
        "one request again and again",
        repeat(4, Seen("p"), Seen("request:f", position=1)),
        {},
        ["request:f"],
    ),
    Case(
        "three requests in turn",
        [
            (10.0 + number, (Seen("p"), Seen(f"request:{number % 3}")))
            for number in range(12)
        ],
        {"p": 9.0},
        ["request:0", "request:1", "request:2"],
    ),
    Case(
        "two requests at the same ends",
        repeat(4, Seen("request:f"), Seen("request:g", position=1)),
        {},
        [],
    ),
    Case(
        "a request that comes again with a crashing part",
        [*repeat(4, Seen("p"), Seen("request:f")), (20.0, (Seen("p"),))],
        {},
        ["p"],
    ),
    Case(
        "identical requests answered before",
        repeat(5, Seen("request:f")),
        {"request:f": 9.0},
        [],
    ),
    Case(
        "a part at half of the ends",
        [*repeat(4, Seen("p")), *[(at + 0.5, ()) for at, _ in repeat(4)]],
        {},
        [],
    ),
)


class EvidenceTest(unittest.TestCase):
    def test_culprits(self) -> None:
        for case in CASES:
            with self.subTest(case.name):
                found = evidence.find_culprits(
                    sorted(make_ends(*case.ends), key=lambda end: end.at),
                    case.answered_at,
                    case.convicted,
                )
                self.assertEqual(sorted(found), case.expected)


class Clock:
    def __init__(self) -> None:
        self.now = 100.0

    def __call__(self) -> float:
        return self.now


class Fleet:
    """Quarantines of several processes with one clock."""

    def __init__(self, count: int) -> None:
        self.clock = Clock()
        self.processes = [self.create() for _ in range(count)]

    def create(self) -> quarantine_lib.Quarantine:
        return quarantine_lib.create_quarantine(self.clock)

    def exchange(self) -> None:
        """Send a report of each process to all others."""
        for source in self.processes:
            data = msgspec.msgpack.encode(source.build_report())
            report = msgspec.msgpack.decode(data, type=quarantine_lib.Report)
            for target in self.processes:
                if target is not source:
                    target.merge_report(report)

    def end(
        self, process: int, endpoint: str, *parts: str, request: str = ""
    ) -> None:
        """Let an endpoint end under a request that was sent 0.1 s before."""
        self.clock.now += 0.2
        self.processes[process].record_end(
            endpoint,
            quarantine_lib.Run(
                request or endpoint, parts, self.clock.now - 0.1, False
            ),
        )

    def convict(self, part: str = "p") -> None:
        for number in range(4):
            self.end(number % len(self.processes), f"e{number}", part)
            self.exchange()

    def find(self, part: str = "p") -> list[bool]:
        return [
            one.find_quarantined((part,)) is not None for one in self.processes
        ]


class QuarantineTest(unittest.TestCase):
    def test_ends_at_different_gateways_are_counted_together(self) -> None:
        fleet = Fleet(3)
        fleet.convict()
        self.assertEqual(fleet.find(), [True] * 3)

    def test_one_end_seen_by_all_gateways_counts_once(self) -> None:
        fleet = Fleet(4)
        for process in range(4):
            fleet.end(process, "e1", "p", request=f"r{process}")
            fleet.exchange()
        self.assertEqual(fleet.find(), [False] * 4)

    def test_restarted_process_learns_of_a_quarantine(self) -> None:
        fleet = Fleet(3)
        fleet.convict()
        fleet.clock.now += 400.0
        fleet.processes[:2] = [fleet.create(), fleet.create()]
        fleet.exchange()
        self.assertEqual(fleet.find(), [True] * 3)

    def test_quarantine_ends_everywhere(self) -> None:
        fleet = Fleet(2)
        fleet.convict()
        fleet.clock.now += quarantine_lib.QUARANTINE_S - 1.0
        fleet.exchange()
        self.assertEqual(fleet.find(), [True] * 2)
        fleet.clock.now += 1.5
        fleet.exchange()
        self.assertEqual(fleet.find(), [False] * 2)

    def test_complete_response_releases_a_part_everywhere(self) -> None:
        fleet = Fleet(3)
        fleet.convict()
        fleet.clock.now += 1.0
        fleet.processes[1].record_answer(("p",))
        fleet.exchange()
        fleet.exchange()
        self.assertEqual(fleet.find(), [False] * 3)

    def test_process_without_memory_blames_no_part_that_others_answered(
        self,
    ) -> None:
        fleet = Fleet(3)
        fleet.processes[1].record_answer(("p",))
        for number in range(4):
            fleet.end(0, f"e{number}", "p")
        fleet.exchange()
        fleet.exchange()
        self.assertEqual(fleet.find(), [False] * 3)

    def test_suspected_request_is_not_sent_again(self) -> None:
        fleet = Fleet(1)
        process = fleet.processes[0]
        fleet.end(0, "e1", "p")
        self.assertFalse(process.is_suspect(("p",)))
        fleet.end(0, "e2", "p")
        self.assertTrue(process.is_suspect(("p",)))
        process.record_answer(("p",))
        self.assertFalse(process.is_suspect(("p",)))

    def test_memory_is_bounded(self) -> None:
        fleet = Fleet(2)
        for number in range(300):
            for repeated in range(4):
                fleet.end(0, f"e{number}-{repeated}", f"p{number}")
            fleet.processes[0].record_answer((f"a{number}",))
        fleet.exchange()
        size = len(msgspec.msgpack.encode(fleet.processes[0].build_report()))
        self.assertLess(size, 4_000)
        for one in fleet.processes:
            self.assertLessEqual(
                len(one.until_by_suspect), quarantine_lib.MAX_QUARANTINED
            )


class StorageTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self) -> None:
        self.store = faulty.create_faulty_store(memory.create_memory_store())

    def create(self, tasks: Any) -> quarantine_lib.Quarantine:
        process = quarantine_lib.create_quarantine()
        tasks.start_soon(storage.create_storage(self.store, process).run)
        return process

    def convict(
        self, process: quarantine_lib.Quarantine, part: str = "p"
    ) -> None:
        for number in range(4):
            sent_at = anyio.current_time()
            process.record_end(
                f"{part}-e{number}",
                quarantine_lib.Run(
                    f"{part}-r{number}", (part,), sent_at, False
                ),
            )

    async def count_stored(self) -> int:
        page = (await self.store.read_range(storage.PREFIX)).unwrap()
        return len(page.records)

    async def wait_for_stored(self, count: int) -> None:
        with anyio.fail_after(TEST_TIMEOUT_S):
            while await self.count_stored() != count:
                await anyio.sleep(0.01)

    async def test_quarantine_survives_a_restart_of_all_processes(
        self,
    ) -> None:
        for name, faults in (("no fault", {}), ("lost", {"lost_replies": 1})):
            with self.subTest(name):
                self.setUp()
                async with anyio.create_task_group() as tasks:
                    processes = [self.create(tasks) for _ in range(2)]
                    await anyio.sleep(0.05)
                    for field, value in faults.items():
                        setattr(self.store.faults, field, value)
                    for one in processes:
                        self.convict(one)
                    await self.wait_for_stored(1)
                    tasks.cancel_scope.cancel()
                async with anyio.create_task_group() as tasks:
                    restarted = self.create(tasks)
                    with anyio.fail_after(TEST_TIMEOUT_S):
                        while not restarted.find_quarantined(("p",)):
                            await anyio.sleep(0.01)
                    self.assertAlmostEqual(
                        restarted.compute_remaining("p"),
                        quarantine_lib.QUARANTINE_S,
                        delta=5.0,
                    )
                    tasks.cancel_scope.cancel()

    async def test_part_that_is_long_when_quoted_does_not_hold_up_others(
        self,
    ) -> None:
        # The store rejected its key; the write was sent for ever, and the
        # parts after it were not stored.
        self.store.faults.max_key_bytes = base.MAX_KEY_BYTES
        long_part = "\u00e9" * 60
        async with anyio.create_task_group() as tasks:
            process = self.create(tasks)
            self.convict(process, long_part)
            self.convict(process, "q")
            await self.wait_for_stored(2)
            process.record_answer((long_part,))
            await self.wait_for_stored(1)
            tasks.cancel_scope.cancel()

    async def test_rejected_write_does_not_hold_up_others(self) -> None:
        # Likewise if the store rejects a write for another reason.
        self.store.faults.max_key_bytes = len(storage.PREFIX) + 3
        async with anyio.create_task_group() as tasks:
            process = self.create(tasks)
            self.convict(process, "rejected")
            self.convict(process, "q")
            await self.wait_for_stored(1)
            tasks.cancel_scope.cancel()

    async def test_entry_survives_a_copy_of_its_write_that_answers_first(
        self,
    ) -> None:
        commit = self.store.commit

        async def commit_twice(transaction: base.Transaction) -> Any:
            await commit(transaction)
            return await commit(transaction)

        async with anyio.create_task_group() as tasks:
            process = self.create(tasks)
            await anyio.sleep(0.05)
            with mock.patch.object(self.store, "commit", commit_twice):
                self.convict(process)
                await self.wait_for_stored(1)
                await anyio.sleep(0.1)
            self.assertEqual(await self.count_stored(), 1)
            tasks.cancel_scope.cancel()

    async def test_lease_of_a_process_that_writes_second_is_returned(
        self,
    ) -> None:
        async with anyio.create_task_group() as tasks:
            processes = [self.create(tasks) for _ in range(2)]
            await anyio.sleep(0.05)
            with mock.patch.object(
                self.store, "revoke_lease", wraps=self.store.revoke_lease
            ) as revoke_lease:
                for one in processes:
                    self.convict(one)
                await self.wait_for_stored(1)
                with anyio.fail_after(TEST_TIMEOUT_S):
                    while not revoke_lease.called:
                        await anyio.sleep(0.01)
            self.assertEqual(await self.count_stored(), 1)
            tasks.cancel_scope.cancel()

    async def test_all_pages_are_read_at_start(self) -> None:
        # Only the first page was read; the endpoints that later parts crash
        # had to crash again.
        parts = [f"p{number}" for number in range(5)]
        async with anyio.create_task_group() as tasks:
            process = self.create(tasks)
            for part in parts:
                self.convict(process, part)
            await self.wait_for_stored(5)
            tasks.cancel_scope.cancel()
        self.store.faults.max_page_records = 2
        async with anyio.create_task_group() as tasks:
            restarted = self.create(tasks)
            with anyio.fail_after(TEST_TIMEOUT_S):
                for part in parts:
                    while not restarted.find_quarantined((part,)):
                        await anyio.sleep(0.01)
            tasks.cancel_scope.cancel()

    async def test_released_part_is_deleted(self) -> None:
        async with anyio.create_task_group() as tasks:
            process = self.create(tasks)
            self.convict(process)
            await self.wait_for_stored(1)
            process.record_answer(("p",))
            await self.wait_for_stored(0)
            tasks.cancel_scope.cancel()


class Request(msgspec.Struct):
    """A simulated request.

    Attributes:
        id: The request id.
        gateway: Index of its gateway.
        parts: Ids of the shared parts of its prompt.
        attempts: Number of attempts left.
        fingerprint: What identical requests share.
        returns: How often the caller still sends it again if it is lost.
        sent_at: Time of the current attempt.
    """

    id: str
    gateway: int
    parts: tuple[str, ...]
    attempts: int
    fingerprint: str
    returns: int = 3
    sent_at: float = 0.0

    def list_suspects(self) -> tuple[str, ...]:
        return evidence.list_suspects(self.parts, self.fingerprint)


class Simulation:
    """Gateways and endpoints under load; endpoints end at given times.

    A third of the requests share one part and one of 84 further ones, the
    others one of 20 and one of 119; each tenth is one of three that are the
    same each time. Callers send a lost request again. A response begins after
    `BEGIN_S` and is complete after `RUN_S`. Reports take up to `REPORT_S`.
    """

    GATEWAYS: Final = 4
    ENDPOINTS: Final = 9
    PER_S: Final = 40.0
    BEGIN_S: Final = 0.15
    RUN_S: Final = 0.6
    REPORT_S: Final = 0.3
    DOWN_S: Final = 4.0
    LASTS_S: Final = 30.0
    CRASHING_PART: Final = "p"
    RETURN_S: Final = 0.5

    def __init__(
        self, seed: int, crashing_per_s: float = 0.0, crashing_requests: int = 0
    ) -> None:
        self._random = random.Random(seed)
        self._crashing_per_s = crashing_per_s
        self._crashing = {
            f"{evidence.REQUEST_PREFIX}x{number}"
            for number in range(crashing_requests)
        } or {self.CRASHING_PART}
        self.fleet = Fleet(self.GATEWAYS)
        self.started_at = self.fleet.clock.now
        self._events: list[tuple[float, int, Any]] = []
        self._numbers = itertools.count()
        self._down_until = [0.0] * self.ENDPOINTS
        self._incarnations = [0] * self.ENDPOINTS
        self._running: list[dict[str, Request]] = [
            {} for _ in range(self.ENDPOINTS)
        ]
        self.crashes_by_suspect: dict[str, list[float]] = {
            suspect: [] for suspect in self._crashing
        }
        self.refused: dict[str, int] = {}
        self.served = 0

    def schedule(self, at: float, action: Any) -> None:
        heapq.heappush(self._events, (at, next(self._numbers), action))

    def run(self, *outages: tuple[float, float]) -> None:
        """Play the load; each outage is a time and the share of endpoints."""
        until = self.started_at + self.LASTS_S
        self.schedule(self.started_at, self.arrive)
        self.schedule(self.started_at, self.exchange)
        if self._crashing_per_s:
            self.schedule(self.started_at + 8.0, self.arrive_crashing)
        for at, share in outages:
            for endpoint in range(self.ENDPOINTS):
                if self._random.random() < share:
                    self.schedule(self.started_at + at, self.make_end(endpoint))
        while self._events and self._events[0][0] < until:
            at, _, action = heapq.heappop(self._events)
            self.fleet.clock.now = at
            action()

    def exchange(self) -> None:
        self.fleet.exchange()
        self.schedule(self.fleet.clock.now + self.REPORT_S, self.exchange)

    def arrive(self) -> None:
        now = self.fleet.clock.now
        draw = self._random
        number = next(self._numbers)
        parts: tuple[str, ...]
        if draw.random() < 1 / 3:
            parts = ("a", f"b{draw.randrange(84)}")
            attempts = 1
        else:
            parts = (f"c{draw.randrange(20)}", f"d{draw.randrange(119)}")
            attempts = 2
        fingerprint = str(number)
        if number % 10 == 0:
            parts, fingerprint = ("e",), f"poll{draw.randrange(3)}"
        gateway = draw.randrange(self.GATEWAYS)
        self.send(Request(f"r{number}", gateway, parts, attempts, fingerprint))
        self.schedule(now + draw.expovariate(self.PER_S), self.arrive)

    def arrive_crashing(self) -> None:
        draw = self._random
        number = next(self._numbers)
        parts = (f"c{draw.randrange(20)}", self.CRASHING_PART)
        fingerprint = f"{self.CRASHING_PART}{number}"
        if self.CRASHING_PART not in self._crashing:
            index = draw.randrange(len(self._crashing))
            parts = (f"c{index}", f"d{index}")
            fingerprint = f"x{index}"
        gateway = draw.randrange(self.GATEWAYS)
        self.send(Request(f"x{number}", gateway, parts, 2, fingerprint))
        self.schedule(
            self.fleet.clock.now + draw.expovariate(self._crashing_per_s),
            self.arrive_crashing,
        )

    def send(self, request: Request) -> None:
        now = self.fleet.clock.now
        quarantine = self.fleet.processes[request.gateway]
        suspect = quarantine.find_quarantined(request.list_suspects())
        if suspect is not None:
            self.refused[suspect] = self.refused.get(suspect, 0) + 1
            return
        up = [
            one for one in range(self.ENDPOINTS) if self._down_until[one] <= now
        ]
        if not up or not request.attempts:
            self.send_again(request)
            return
        endpoint = self._random.choice(up)
        request.attempts -= 1
        request.sent_at = now
        self._running[endpoint][request.id] = request
        incarnation = self._incarnations[endpoint]
        causes = self._crashing.intersection(request.list_suspects())
        if causes:
            end = self.make_end(endpoint, incarnation, *causes)
            self.schedule(now + self.BEGIN_S, end)
        else:
            self.schedule(
                now + self.RUN_S,
                lambda: self.complete(endpoint, incarnation, request),
            )

    def send_again(self, request: Request) -> None:
        """Let the caller of a lost request send it to any gateway."""
        if not request.returns:
            return
        returned = Request(
            f"{request.id}-{request.returns}",
            self._random.randrange(self.GATEWAYS),
            request.parts,
            2,
            request.fingerprint,
            request.returns - 1,
        )
        self.schedule(
            self.fleet.clock.now + self.RETURN_S, lambda: self.send(returned)
        )

    def complete(
        self, endpoint: int, incarnation: int, request: Request
    ) -> None:
        if self._incarnations[endpoint] != incarnation:
            return
        if self._running[endpoint].pop(request.id, None):
            self.served += 1
            quarantine = self.fleet.processes[request.gateway]
            quarantine.record_answer(request.list_suspects())

    def make_end(
        self, endpoint: int, incarnation: int | None = None, cause: str = ""
    ) -> Any:
        def end() -> None:
            now = self.fleet.clock.now
            if self._down_until[endpoint] > now or incarnation not in {
                None,
                self._incarnations[endpoint],
            }:
                return
            if cause:
                self.crashes_by_suspect[cause].append(now)
            name = f"e{endpoint}-{self._incarnations[endpoint]}"
            self._incarnations[endpoint] += 1
            self._down_until[endpoint] = now + self.DOWN_S
            lost, self._running[endpoint] = self._running[endpoint], {}
            for request in lost.values():
                quarantine = self.fleet.processes[request.gateway]
                run = quarantine_lib.Run(
                    request.id,
                    request.parts,
                    request.sent_at,
                    now > request.sent_at + self.BEGIN_S,
                    request.fingerprint,
                )
                quarantine.record_end(name, run)
                if quarantine.is_suspect(request.list_suspects()):
                    self.send_again(request)
                else:
                    self.send(request)

        return end


class SimulationTest(unittest.TestCase):
    SEEDS: Final = range(5)
    # No more endpoints may end later than this after the fifth end under a
    # part, or the third under one request.
    CONTACT_S: Final = 4.0
    MAX_LATE_RUNS: Final = 3

    def test_outages_convict_no_part(self) -> None:
        for name, outages in (
            ("all at once", [(8.0, 1.0)]),
            ("all, again and again", [(t, 1.0) for t in (1.0, 8.0, 14.0)]),
            ("one after the other", [(5.0 + n * 0.2, 0.2) for n in range(40)]),
            ("a few all the time", [(n * 0.5, 0.15) for n in range(60)]),
            ("flapping", [(n * 4.3, 0.6) for n in range(7)]),
        ):
            for seed in self.SEEDS:
                with self.subTest(name, seed=seed):
                    simulation = Simulation(seed)
                    simulation.run(*outages)
                    self.assertEqual(simulation.refused, {})
                    self.assertGreater(simulation.served, 100)

    def test_only_what_crashes_endpoints_is_blamed(self) -> None:
        outage = [(9.0 + n * 0.5, 0.2) for n in range(9)]
        for name, per_s, requests, outages in (
            ("rare", 0.3, 0, []),
            ("as in the incident", 2.5, 0, []),
            ("frequent", 8.0, 0, []),
            ("beside an outage", 2.5, 0, outage),
            ("one request", 0.6, 1, []),
            ("three requests", 1.5, 3, []),
            ("two requests beside an outage", 2.5, 2, outage),
        ):
            for seed in self.SEEDS:
                with self.subTest(name, seed=seed):
                    simulation = Simulation(seed, per_s, requests)
                    simulation.run(*outages)
                    # Each request with the crashing part crashes endpoints.
                    blamed = {
                        suspect
                        for suspect in simulation.refused
                        if not suspect.startswith("request:p")
                    }
                    self.assertLessEqual(
                        blamed, set(simulation.crashes_by_suspect)
                    )
                    first = 3 if requests else 5
                    for crashes in simulation.crashes_by_suspect.values():
                        late = [
                            at
                            for at in crashes[first:]
                            if at > crashes[first - 1] + self.CONTACT_S
                        ]
                        self.assertLessEqual(len(late), self.MAX_LATE_RUNS)
