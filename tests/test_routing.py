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
from eelgrassgate.routing import holders
from eelgrassgate.routing import router as routing

ONLINE: Final = outcomes.RequestClass.ONLINE
BATCH: Final = outcomes.RequestClass.BATCH
PLACE: Final = settings.Place(instance="e1", zone="a", region="cornwall")
ENGINE: Final = messages.EndpointInfo("m", "engine", models=("tern",))
GOOD: Final = base.Outcome(is_whole=True, first_part_s=0.1)
ILL: Final = base.Outcome(is_whole=False, is_endpoint_ill=True)
NEUTRAL: Final = base.Outcome(is_whole=False)
PROMPT: Final = tuple(f"{index:02}0" for index in range(12))


def ask(**fields: object) -> base.Request:
    known = {"klass": ONLINE, "model": "tern"} | fields
    return base.Request(**known)  # type: ignore[arg-type]


def load(
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
            router.update(agent, ENGINE, zone, region)
            router.report(agent, load(0))
        return router

    def pick(self, request: base.Request, *tried: str) -> str:
        return self.router.choose(request, tried).unwrap().agent

    def pick_some(self, count: int, request: base.Request) -> set[str]:
        return {self.pick(request) for _ in range(count)}

    def test_zone_is_preferred_until_it_is_full(self) -> None:
        self.assertEqual(self.pick_some(20, ask()), {"a1", "a2"})
        self.assertEqual(self.pick_some(10, ask()), {"b1", "b2"})

    def test_link_is_crossed_only_for_a_longer_wait(self) -> None:
        for agent in ("a1", "a2", "b1", "b2"):
            self.router.report(agent, load(9, wait_ms=0))
        self.assertNotEqual(self.pick(ask()), "s1")
        for agent in ("a1", "a2", "b1", "b2"):
            self.router.report(agent, load(20, wait_ms=4000))
        self.assertEqual(self.pick(ask()), "s1")
        self.assertNotEqual(self.pick(ask(bytes_there=9_000_000)), "s1")

    def test_link_without_room_is_not_crossed(self) -> None:
        for agent in ("a1", "a2", "b1", "b2"):
            self.router.report(agent, load(20, wait_ms=4000))
        self.assertEqual(self.pick(ask(bytes_there=1_200_000)), "s1")
        self.assertNotEqual(self.pick(ask()), "s1")
        refused = self.router.choose(ask(), ("a1", "a2", "b1", "b2"))
        refusal = refused.failure()
        self.assertIs(refusal.ran, outcomes.RunStatus.NOT_RUN)
        assert refusal.retry_after_s is not None
        self.now += refusal.retry_after_s + 0.001
        self.assertEqual(self.pick(ask()), "s1")

    def test_link_is_divided_among_entries(self) -> None:
        large = ask(bytes_there=600_000)
        near = ("a1", "a2", "b1", "b2")
        self.router.configure(fleet.Link(), 4)
        self.assertEqual(self.pick(large, *near), "s1")
        for entries, expected in ((4, False), (1, True)):
            self.router.configure(fleet.Link(), entries)
            chosen = self.router.choose(large, near)
            self.assertIs(chosen.value_or(None) is not None, expected)

    def test_leaving_agents_get_nothing_new(self) -> None:
        self.router.leave("a1")
        self.router.report("a1", load(0))
        self.router.report("a2", load(0, is_leaving=True))
        self.router.take_listed_leaving({"b1"})
        self.assertEqual(self.pick_some(8, ask()), {"b2"})
        self.router.update("b1", ENGINE, "b", "cornwall")
        self.router.report("b2", load(0))
        self.assertEqual(self.pick_some(8, ask()), {"b2"})
        self.router.take_listed_leaving(())
        self.assertEqual(self.pick_some(10, ask()), {"b1", "b2"})

    def test_refused_when_nothing_is_left(self) -> None:
        everyone = ("a1", "a2", "b1", "b2", "s1")
        for request, tried in (
            (ask(), everyone),
            (ask(model="wren"), ()),
            (ask(model="", service="hours"), ()),
        ):
            refusal = self.router.choose(request, tried).failure()
            self.assertIs(refusal.code, outcomes.Code.OVERLOADED)
        self.assertIn(self.pick(ask(model="tern:knots")), everyone)

    def test_prefix_stays_until_its_agent_is_loaded(self) -> None:
        request = ask(digests=PROMPT)
        first = self.pick(request)
        self.assertEqual(self.pick_some(4, request), {first})
        self.router.report(first, load(30))
        other = self.pick(request)
        self.assertNotEqual(other, first)

    def test_entries_agree_on_a_prefix_they_have_not_seen(self) -> None:
        chosen = {
            self.create(seed).choose(ask(digests=PROMPT)).unwrap().agent
            for seed in range(8)
        }
        self.assertEqual(len(chosen), 1)

    def test_cache_events_correct_the_choice(self) -> None:
        request = ask(digests=PROMPT)
        first = self.pick(request)
        other = "b2" if first != "b2" else "b1"
        self.router.report(other, load(0, cached=PROMPT))
        self.router.report(first, load(0, evicted=PROMPT[4:]))
        self.assertEqual(self.pick(request), other)
        self.router.report(other, load(0, evicted=PROMPT))
        self.assertEqual(self.pick(request), first)

    def test_late_reports_raise_no_herd(self) -> None:
        """Entries that all saw one idle agent spread their requests."""
        counts = {"a1": 0, "a2": 0}
        for seed in range(100):
            router = self.create(seed)
            for agent in ("a2", "b1", "b2"):
                router.report(agent, load(3))
            for _ in range(10):
                counts[router.choose(ask()).unwrap().agent] += 1
        self.assertGreater(counts["a2"], 0.25 * sum(counts.values()))

    def test_sick_agent_is_left_and_tried_again(self) -> None:
        for _ in range(60):
            choice = self.router.choose(ask()).unwrap()
            self.router.finish(choice, ILL if choice.agent == "a1" else GOOD)
        self.assertEqual(list(self.router.list_out()), ["a1"])
        self.assertNotIn("a1", self.pick_some(9, ask()))
        self.now += health.FIRST_OUT_S
        once = ask(is_repeatable=False)
        self.assertNotIn("a1", self.pick_some(9, once))
        for _ in range(health.TRIALS_NEEDED):
            choice = self.router.choose(ask()).unwrap()
            self.assertEqual((choice.agent, choice.is_trial), ("a1", True))
            self.assertNotEqual(self.pick(ask()), "a1")
            self.router.finish(choice, GOOD)
        self.assertEqual(list(self.router.list_out()), [])

    def test_finishing_twice_counts_once(self) -> None:
        choice = self.router.choose(ask()).unwrap()
        for _ in range(20):
            self.router.finish(choice, ILL)
        self.assertEqual(list(self.router.list_out()), [])


LOST: Final = outcomes.Code.ENDPOINT_LOST
# Code, whether it has surely not run, repeatable, tries, expected.
RETRIES: Final = (
    (LOST, True, False, 1, True),
    (LOST, False, True, 1, True),
    (LOST, False, False, 1, False),
    (LOST, True, True, routing.MAX_TRIES, False),
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

    def test_rule(self) -> None:
        for code, has_not_run, is_repeatable, tries, expected in RETRIES:
            ran = (
                outcomes.RunStatus.NOT_RUN
                if has_not_run
                else outcomes.RunStatus.UNKNOWN
            )
            refusal = outcomes.Refusal(code, "", ran)
            request = ask(is_repeatable=is_repeatable)
            with self.subTest((code, has_not_run, is_repeatable, tries)):
                self.assertIs(
                    self.router.may_retry(request, refusal, tries), expected
                )

    def test_outage_is_not_amplified(self) -> None:
        refusal = outcomes.refuse(LOST, "")
        retries = 0
        for _ in range(1000):
            self.router.choose(ask())
            retries += self.router.may_retry(ask(), refusal, 1)
        self.assertLessEqual(retries, 1000 * 0.1 + budget.MAX_RETRIES)
        self.assertGreaterEqual(retries, 100)
        batch = ask(klass=BATCH)
        self.assertTrue(self.router.may_retry(batch, refusal, 1))

    def test_none_after_the_deadline(self) -> None:
        refusal = outcomes.refuse(LOST, "")
        self.assertFalse(self.router.may_retry(ask(deadline=0.0), refusal, 1))


class LinkTest(unittest.TestCase):
    def test_batch_leaves_room_for_online_and_both_for_control(self) -> None:
        link = fleet.Link()
        held = budget.LinkBudget(link, 1, 0.0)
        used = {ONLINE: 0, BATCH: 0}
        for step in range(10_000):
            for klass in (BATCH, ONLINE):
                if held.compute_wait_s(klass, step / 1000.0) == 0.0:
                    held.take(klass, 3000, 0)
                    used[klass] += 3000
        capacity = link.bits_per_second / 8.0 * 10.0
        total = (used[ONLINE] + used[BATCH]) / capacity
        bursts = (budget.LINK_BURST_S + budget.ONLINE_DEBT_S) / 10.0
        self.assertLess(total, (1.0 - link.control_part) * (1.0 + bursts))
        self.assertLess(used[BATCH] / capacity, 0.02)

    def test_large_batch_bodies_put_online_into_no_debt(self) -> None:
        held = budget.LinkBudget(fleet.Link(), 3, 0.0)
        held.take(BATCH, 4_000_000, 4_000_000)
        self.assertEqual(held.compute_wait_s(ONLINE, 0.0), 0.0)
        self.assertGreater(held.compute_wait_s(BATCH, 10.0), 0.0)
        held.take(ONLINE, 4_000_000, 0)
        self.assertGreater(held.compute_wait_s(ONLINE, 1.0), 0.0)

    def test_batch_alone_keeps_to_its_part(self) -> None:
        link = fleet.Link()
        held = budget.LinkBudget(link, 1, 0.0)
        used = 0
        for step in range(10_000):
            if held.compute_wait_s(BATCH, step / 1000.0) == 0.0:
                held.take(BATCH, 0, 3000)
                used += 3000
        part = used / (link.bits_per_second / 8.0 * 10.0)
        allowed = (1.0 - link.control_part) * link.batch_part
        self.assertAlmostEqual(part, allowed, delta=0.02)


# Name, outcomes of the agent, outcomes of its peers, whether it is put out.
SLOW: Final = base.Outcome(is_whole=True, first_part_s=2.0)
EVIDENCE: Final = (
    ("well", [GOOD] * 50, [GOOD] * 50, False),
    ("fails", [ILL] * 3, [GOOD] * 50, True),
    ("fails too seldom", [ILL] + [GOOD] * 9, [GOOD] * 50, False),
    ("fails at first", [ILL] * 2, [GOOD] * 50, False),
    ("fails as its peers do", [ILL] * 50, [ILL] * 50, False),
    ("slow", [SLOW] * 30, [GOOD] * 50, True),
    ("slow as its peers are", [SLOW] * 30, [SLOW] * 50, False),
    ("slow once", [SLOW] + [GOOD] * 30, [GOOD] * 50, False),
    ("cancelled calls", [NEUTRAL] * 50, [GOOD] * 50, False),
)


class HealthTest(unittest.TestCase):
    def test_evidence(self) -> None:
        for name, own, others, expected in EVIDENCE:
            held = health.Health()
            for agent in ("x", "y", "z"):
                held.add(agent, "g", 0.0)
            for outcome in others:
                held.take("y", False, outcome, 0.0)
                held.take("z", False, outcome, 0.0)
            for outcome in own:
                held.take("x", False, outcome, 0.0)
            with self.subTest(name):
                self.assertIs(not held.is_in("x"), expected)

    def test_most_of_a_group_stays_in(self) -> None:
        held = health.Health()
        agents = [f"x{index}" for index in range(12)]
        for agent in agents:
            held.add(agent, "g", 0.0)
            for _ in range(30):
                held.take(agent, False, GOOD, 0.0)
        for agent in agents[:9]:
            for _ in range(60):
                held.take(agent, False, ILL, 0.0)
        self.assertEqual(sum(not held.is_in(one) for one in agents), 4)
        held.add("single", "h", 0.0)
        for _ in range(9):
            held.take("single", False, ILL, 0.0)
        self.assertTrue(held.is_in("single"))

    def test_failed_trials_come_ever_later(self) -> None:
        held = health.Health()
        for agent in ("x", "y"):
            held.add(agent, "g", 0.0)
        held.take("y", False, GOOD, 0.0)
        for _ in range(3):
            held.take("x", False, ILL, 0.0)
        now, waits = 0.0, []
        for _ in range(9):
            begun = now
            while not held.is_due("x", now):
                now += 1.0
            waits.append(now - begun)
            held.begin_trial("x")
            self.assertFalse(held.is_due("x", now + 1e6))
            held.take("x", True, ILL, now)
        self.assertEqual(waits[:4], [5.0, 10.0, 20.0, 40.0])
        self.assertEqual(waits[-1], health.MAX_OUT_S)


class HoldersTest(unittest.TestCase):
    def test_bounded_and_least_used_first(self) -> None:
        held = holders.Holders(max_digests=4)
        held.note("x", ("a0", "b0", "c0", "d0", "e1"))
        held.note("y", ("a0",))
        held.note("y", ("f0",))
        self.assertEqual(held.find(("a0", "b0")), {"x": 1, "y": 1})
        self.assertEqual(held.find(("b0",)), {})
        self.assertEqual(held.find(("e1",)), {})

    def test_quarter_of_digests_is_noted(self) -> None:
        chance = random.Random(5)
        digests = [f"{chance.getrandbits(64):016x}" for _ in range(4000)]
        noted = sum(map(holders.is_sampled, digests))
        self.assertAlmostEqual(noted / 4000, 0.25, delta=0.03)
