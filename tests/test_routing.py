import random
from typing import Final
import unittest

from eelgrassgate import messages
from eelgrassgate import outcomes
from eelgrassgate import settings
from eelgrassgate.config import fleet
from eelgrassgate.routing import base
from eelgrassgate.routing import budget
from eelgrassgate.routing import health
from eelgrassgate.routing import prefix_index
from eelgrassgate.routing import router as routing

ONLINE: Final = outcomes.RequestClass.ONLINE
BATCH: Final = outcomes.RequestClass.BATCH
PLACE: Final = settings.Place(instance="e1", zone="a", region="cornwall")
ENGINE: Final = messages.EndpointInfo("m", "engine", models=("tern",))
SUCCESS: Final = base.Outcome(is_complete=True, first_part_s=0.1)
FAILURE: Final = base.Outcome(is_complete=False, is_endpoint_fault=True)
CANCELLED: Final = base.Outcome(is_complete=False)
PROMPT_DIGESTS: Final = tuple(f"{index:02}0" for index in range(12))


def make_request(**fields: object) -> base.Request:
    known = {"klass": ONLINE, "model": "tern"} | fields
    return base.Request(**known)  # type: ignore[arg-type]


def make_report(
    running: int, window: int = 10, **fields: object
) -> messages.LoadReport:
    return messages.LoadReport(
        online_queued=0,
        online_running=running,
        batch_queued=0,
        batch_running=0,
        window=window,
        **fields,  # type: ignore[arg-type]
    )


class RouterTest(unittest.TestCase):
    def setUp(self) -> None:
        self.now = 100.0
        self.router = self.create(1)

    def create(self, seed: int) -> routing.Router:
        router = routing.create_router(PLACE, lambda: self.now, seed)
        for agent, zone, region in (
            ("a1", "a", "cornwall"),
            ("a2", "a", "cornwall"),
            ("b1", "b", "cornwall"),
            ("b2", "b", "cornwall"),
            ("s1", "s", "surrey"),
        ):
            router.add(agent, ENGINE, zone, region)
            router.handle_report(agent, make_report(0))
        return router

    def choose(self, request: base.Request, *tried: str) -> str:
        return self.router.choose(request, tried).unwrap().agent

    def choose_many(self, count: int, request: base.Request) -> set[str]:
        return {self.choose(request) for _ in range(count)}

    def test_own_zone_is_preferred_until_full(self) -> None:
        self.assertEqual(self.choose_many(20, make_request()), {"a1", "a2"})
        self.assertEqual(self.choose_many(10, make_request()), {"b1", "b2"})

    def test_link_is_crossed_only_for_a_longer_wait(self) -> None:
        for agent in ("a1", "a2", "b1", "b2"):
            self.router.handle_report(agent, make_report(9, wait_ms=0))
        self.assertNotEqual(self.choose(make_request()), "s1")
        for agent in ("a1", "a2", "b1", "b2"):
            self.router.handle_report(agent, make_report(20, wait_ms=4000))
        self.assertEqual(self.choose(make_request()), "s1")
        self.assertNotEqual(
            self.choose(make_request(request_bytes=9_000_000)), "s1"
        )

    def test_link_is_not_used_beyond_its_budget(self) -> None:
        for agent in ("a1", "a2", "b1", "b2"):
            self.router.handle_report(agent, make_report(20, wait_ms=4000))
        self.assertEqual(
            self.choose(make_request(request_bytes=1_200_000)), "s1"
        )
        self.assertNotEqual(self.choose(make_request()), "s1")
        refused = self.router.choose(make_request(), ("a1", "a2", "b1", "b2"))
        refusal = refused.failure()
        self.assertIs(refusal.ran, outcomes.RunStatus.NOT_RUN)
        assert refusal.retry_after_s is not None
        self.now += refusal.retry_after_s + 0.001
        self.assertEqual(self.choose(make_request()), "s1")

    def test_link_is_divided_among_entries(self) -> None:
        large = make_request(request_bytes=600_000)
        local = ("a1", "a2", "b1", "b2")
        self.router.configure(fleet.Link(), 4)
        self.assertEqual(self.choose(large, *local), "s1")
        for entries, expected in ((4, False), (1, True)):
            self.router.configure(fleet.Link(), entries)
            chosen = self.router.choose(large, local)
            self.assertIs(chosen.value_or(None) is not None, expected)

    def test_leaving_agents_get_no_new_requests(self) -> None:
        self.router.mark_leaving("a1")
        self.router.handle_report("a1", make_report(0))
        self.router.handle_report("a2", make_report(0, is_leaving=True))
        self.router.set_listed_leaving({"b1"})
        self.assertEqual(self.choose_many(8, make_request()), {"b2"})
        self.router.add("b1", ENGINE, "b", "cornwall")
        self.router.handle_report("b2", make_report(0))
        self.assertEqual(self.choose_many(8, make_request()), {"b2"})
        self.router.set_listed_leaving(())
        self.assertEqual(self.choose_many(10, make_request()), {"b1", "b2"})

    def test_refused_when_no_agent_remains(self) -> None:
        everyone = ("a1", "a2", "b1", "b2", "s1")
        for request, tried in (
            (make_request(), everyone),
            (make_request(model="wren"), ()),
            (make_request(model="", service="hours"), ()),
        ):
            refusal = self.router.choose(request, tried).failure()
            self.assertIs(refusal.code, outcomes.Code.OVERLOADED)
        self.assertIn(self.choose(make_request(model="tern:knots")), everyone)

    def test_prefix_affinity_lasts_until_its_agent_is_loaded(self) -> None:
        request = make_request(digests=PROMPT_DIGESTS)
        first = self.choose(request)
        self.assertEqual(self.choose_many(4, request), {first})
        self.router.handle_report(first, make_report(30))
        other = self.choose(request)
        self.assertNotEqual(other, first)

    def test_entries_agree_on_an_unseen_prefix(self) -> None:
        chosen = {
            self.create(seed)
            .choose(make_request(digests=PROMPT_DIGESTS))
            .unwrap()
            .agent
            for seed in range(8)
        }
        self.assertEqual(len(chosen), 1)

    def test_cache_events_correct_the_choice(self) -> None:
        request = make_request(digests=PROMPT_DIGESTS)
        first = self.choose(request)
        other = "b2" if first != "b2" else "b1"
        self.router.handle_report(other, make_report(0, cached=PROMPT_DIGESTS))
        self.router.handle_report(
            first, make_report(0, evicted=PROMPT_DIGESTS[4:])
        )
        self.assertEqual(self.choose(request), other)
        self.router.handle_report(other, make_report(0, evicted=PROMPT_DIGESTS))
        self.assertEqual(self.choose(request), first)

    def test_stale_reports_cause_no_thundering_herd(self) -> None:
        """Entries whose last reports show the same idle agent spread load."""
        counts = {"a1": 0, "a2": 0}
        for seed in range(100):
            router = self.create(seed)
            for agent in ("a2", "b1", "b2"):
                router.handle_report(agent, make_report(3))
            for _ in range(10):
                counts[router.choose(make_request()).unwrap().agent] += 1
        self.assertGreater(counts["a2"], 0.25 * sum(counts.values()))

    def test_failing_agent_is_ejected_and_probed(self) -> None:
        for _ in range(60):
            choice = self.router.choose(make_request()).unwrap()
            self.router.finish(
                choice, FAILURE if choice.agent == "a1" else SUCCESS
            )
        self.assertEqual(list(self.router.list_ejected()), ["a1"])
        self.assertNotIn("a1", self.choose_many(9, make_request()))
        self.now += health.BASE_EJECTION_S
        once = make_request(is_repeatable=False)
        self.assertNotIn("a1", self.choose_many(9, once))
        for _ in range(health.PROBES_REQUIRED):
            choice = self.router.choose(make_request()).unwrap()
            self.assertEqual((choice.agent, choice.is_probe), ("a1", True))
            self.assertNotEqual(self.choose(make_request()), "a1")
            self.router.finish(choice, SUCCESS)
        self.assertEqual(list(self.router.list_ejected()), [])

    def test_finishing_twice_counts_once(self) -> None:
        choice = self.router.choose(make_request()).unwrap()
        for _ in range(20):
            self.router.finish(choice, FAILURE)
        self.assertEqual(list(self.router.list_ejected()), [])


ENDPOINT_LOST: Final = outcomes.Code.ENDPOINT_LOST
# Code, whether it certainly did not run, is repeatable, attempts, expected.
RETRY_CASES: Final = (
    (ENDPOINT_LOST, True, False, 1, True),
    (ENDPOINT_LOST, False, True, 1, True),
    (ENDPOINT_LOST, False, False, 1, False),
    (ENDPOINT_LOST, True, True, routing.MAX_ATTEMPTS, False),
    (outcomes.Code.OVERLOADED, True, False, 1, True),
    (outcomes.Code.SHUTTING_DOWN, True, False, 1, True),
    (outcomes.Code.CANCELLED, True, True, 1, False),
    (outcomes.Code.BAD_REQUEST, True, True, 1, False),
    (outcomes.Code.STALE_FENCE, True, True, 1, False),
    (outcomes.Code.DEADLINE_EXCEEDED, True, True, 1, False),
)


class RetryTest(unittest.TestCase):
    def setUp(self) -> None:
        self.router = routing.create_router(PLACE, lambda: 0.0, 1)

    def test_retry_rules(self) -> None:
        for code, has_not_run, is_repeatable, attempts, expected in RETRY_CASES:
            ran = (
                outcomes.RunStatus.NOT_RUN
                if has_not_run
                else outcomes.RunStatus.UNKNOWN
            )
            refusal = outcomes.Refusal(code, "", ran)
            request = make_request(is_repeatable=is_repeatable)
            with self.subTest((code, has_not_run, is_repeatable, attempts)):
                self.assertIs(
                    self.router.acquire_retry(request, refusal, attempts),
                    expected,
                )

    def test_retries_are_bounded_in_an_outage(self) -> None:
        refusal = outcomes.refuse(ENDPOINT_LOST, "")
        retries = 0
        for _ in range(1000):
            self.router.choose(make_request())
            retries += self.router.acquire_retry(make_request(), refusal, 1)
        self.assertLessEqual(retries, 1000 * 0.1 + budget.MAX_RETRY_TOKENS)
        self.assertGreaterEqual(retries, 100)
        batch = make_request(klass=BATCH)
        self.assertTrue(self.router.acquire_retry(batch, refusal, 1))

    def test_no_retry_after_the_deadline(self) -> None:
        refusal = outcomes.refuse(ENDPOINT_LOST, "")
        self.assertFalse(
            self.router.acquire_retry(make_request(deadline=0.0), refusal, 1)
        )


class LinkBudgetTest(unittest.TestCase):
    def test_batch_reserves_bandwidth_for_online_and_control(self) -> None:
        link = fleet.Link()
        link_budget = budget.LinkBudget(link, 1, 0.0)
        used = {ONLINE: 0, BATCH: 0}
        for step in range(10_000):
            for klass in (BATCH, ONLINE):
                if link_budget.compute_wait_s(klass, step / 1000.0) == 0.0:
                    link_budget.take(klass, 3000, 0)
                    used[klass] += 3000
        capacity = link.bits_per_second / 8.0 * 10.0
        total = (used[ONLINE] + used[BATCH]) / capacity
        bursts = (budget.LINK_BURST_S + budget.MAX_ONLINE_DEBT_S) / 10.0
        self.assertLess(total, (1.0 - link.control_part) * (1.0 + bursts))
        self.assertLess(used[BATCH] / capacity, 0.02)

    def test_large_batch_bodies_do_not_put_online_into_debt(self) -> None:
        link_budget = budget.LinkBudget(fleet.Link(), 3, 0.0)
        link_budget.take(BATCH, 4_000_000, 4_000_000)
        self.assertEqual(link_budget.compute_wait_s(ONLINE, 0.0), 0.0)
        self.assertGreater(link_budget.compute_wait_s(BATCH, 10.0), 0.0)
        link_budget.take(ONLINE, 4_000_000, 0)
        self.assertGreater(link_budget.compute_wait_s(ONLINE, 1.0), 0.0)

    def test_batch_alone_stays_within_its_fraction(self) -> None:
        link = fleet.Link()
        link_budget = budget.LinkBudget(link, 1, 0.0)
        used = 0
        for step in range(10_000):
            if link_budget.compute_wait_s(BATCH, step / 1000.0) == 0.0:
                link_budget.take(BATCH, 0, 3000)
                used += 3000
        part = used / (link.bits_per_second / 8.0 * 10.0)
        allowed = (1.0 - link.control_part) * link.batch_part
        self.assertAlmostEqual(part, allowed, delta=0.02)


# Name, outcomes of the agent, outcomes of its peers, whether it is ejected.
SLOW: Final = base.Outcome(is_complete=True, first_part_s=2.0)
OUTLIER_CASES: Final = (
    ("healthy", [SUCCESS] * 50, [SUCCESS] * 50, False),
    ("fails", [FAILURE] * 3, [SUCCESS] * 50, True),
    ("fails too rarely", [FAILURE] + [SUCCESS] * 9, [SUCCESS] * 50, False),
    ("too few failures", [FAILURE] * 2, [SUCCESS] * 50, False),
    ("fails like its peers", [FAILURE] * 50, [FAILURE] * 50, False),
    ("slow", [SLOW] * 30, [SUCCESS] * 50, True),
    ("slow like its peers", [SLOW] * 30, [SLOW] * 50, False),
    ("slow once", [SLOW] + [SUCCESS] * 30, [SUCCESS] * 50, False),
    ("cancelled calls", [CANCELLED] * 50, [SUCCESS] * 50, False),
)


class OutlierDetectorTest(unittest.TestCase):
    def test_outlier_detection(self) -> None:
        for name, own, others, expected in OUTLIER_CASES:
            detector = health.OutlierDetector()
            for agent in ("x", "y", "z"):
                detector.add(agent, "g", 0.0)
            for outcome in others:
                detector.record_outcome("y", False, outcome, 0.0)
                detector.record_outcome("z", False, outcome, 0.0)
            for outcome in own:
                detector.record_outcome("x", False, outcome, 0.0)
            with self.subTest(name):
                self.assertIs(not detector.is_active("x"), expected)

    def test_most_of_a_group_is_not_ejected(self) -> None:
        detector = health.OutlierDetector()
        agents = [f"x{index}" for index in range(12)]
        for agent in agents:
            detector.add(agent, "g", 0.0)
            for _ in range(30):
                detector.record_outcome(agent, False, SUCCESS, 0.0)
        for agent in agents[:9]:
            for _ in range(60):
                detector.record_outcome(agent, False, FAILURE, 0.0)
        self.assertEqual(
            sum(not detector.is_active(agent) for agent in agents), 4
        )
        detector.add("single", "h", 0.0)
        for _ in range(9):
            detector.record_outcome("single", False, FAILURE, 0.0)
        self.assertTrue(detector.is_active("single"))

    def test_failed_probes_back_off(self) -> None:
        detector = health.OutlierDetector()
        for agent in ("x", "y"):
            detector.add(agent, "g", 0.0)
        detector.record_outcome("y", False, SUCCESS, 0.0)
        for _ in range(3):
            detector.record_outcome("x", False, FAILURE, 0.0)
        now, waits = 0.0, []
        for _ in range(9):
            begun = now
            while not detector.is_probe_due("x", now):
                now += 1.0
            waits.append(now - begun)
            detector.begin_probe("x")
            self.assertFalse(detector.is_probe_due("x", now + 1e6))
            detector.record_outcome("x", True, FAILURE, now)
        self.assertEqual(waits[:4], [5.0, 10.0, 20.0, 40.0])
        self.assertEqual(waits[-1], health.MAX_EJECTION_S)


class PrefixIndexTest(unittest.TestCase):
    def test_evicts_least_recently_used_digests(self) -> None:
        index = prefix_index.PrefixIndex(max_digests=4)
        index.add("x", ("a0", "b0", "c0", "d0", "e1"))
        index.add("y", ("a0",))
        index.add("y", ("f0",))
        self.assertEqual(index.find(("a0", "b0")), {"x": 1, "y": 1})
        self.assertEqual(index.find(("b0",)), {})
        self.assertEqual(index.find(("e1",)), {})

    def test_a_quarter_of_digests_is_sampled(self) -> None:
        rng = random.Random(5)
        digests = [f"{rng.getrandbits(64):016x}" for _ in range(4000)]
        sampled = sum(map(prefix_index.is_sampled, digests))
        self.assertAlmostEqual(sampled / 4000, 0.25, delta=0.03)
