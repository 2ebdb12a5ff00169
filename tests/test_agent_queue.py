from collections import Counter
import unittest

import hypothesis
from hypothesis import strategies

from eelgrassgate import outcomes
from eelgrassgate.agent import fair_queue
from eelgrassgate.agent import fences
from eelgrassgate.agent import queue
from eelgrassgate.agent import results

NEVER = float("inf")
BATCH = outcomes.RequestClass.BATCH
ONLINE = outcomes.RequestClass.ONLINE


def make_item(
    attempt_id: str,
    workspace: str,
    cost: float = 1.0,
    weight: float = 1.0,
    due: float = NEVER,
    deadline: float = NEVER,
    elsewhere: float = 0.0,
    size_bytes: int = 1,
) -> fair_queue.QueueItem:
    return fair_queue.QueueItem(
        attempt_id=attempt_id,
        workspace=workspace,
        weight=weight,
        cost=cost,
        deadline=deadline,
        due=due,
        size_bytes=size_bytes,
        elsewhere=elsewhere,
    )


def dispatch(waiting: fair_queue.FairQueue, count: int) -> Counter[str]:
    """Dispatch and finish `count` attempts; return the cost by workspace."""
    cost_by_workspace: Counter[str] = Counter()
    for _ in range(count):
        item = waiting.pop()
        if item is None:
            break
        cost_by_workspace[item.workspace] += int(item.cost)
        waiting.finish(item, item.cost)
    return cost_by_workspace


class FairQueueTest(unittest.TestCase):
    def test_dispatch_is_proportional_to_weight(self) -> None:
        cases = (
            ("equal", {"a": (1.0, 1.0), "b": (1.0, 1.0)}, {"a": 50, "b": 50}),
            ("weight", {"a": (1.0, 4.0), "b": (1.0, 1.0)}, {"a": 80, "b": 20}),
            ("huge", {"a": (9.0, 1.0), "b": (1.0, 1.0)}, {"a": 90, "b": 90}),
        )
        for name, kinds, expected in cases:
            with self.subTest(name):
                waiting = fair_queue.FairQueue()
                for workspace, (cost, weight) in kinds.items():
                    for index in range(200):
                        waiting.push(
                            make_item(
                                f"{workspace}{index}", workspace, cost, weight
                            )
                        )
                cost_by_workspace = dispatch(waiting, 100)
                self.assertEqual(set(cost_by_workspace), set(expected))
                for workspace, tokens in expected.items():
                    self.assertAlmostEqual(
                        cost_by_workspace[workspace], tokens, delta=9
                    )

    def test_idling_earns_no_credit(self) -> None:
        waiting = fair_queue.FairQueue()
        for index in range(100):
            waiting.push(make_item(f"a{index}", "a"))
        dispatch(waiting, 50)
        for index in range(100):
            waiting.push(make_item(f"b{index}", "b"))
        cost_by_workspace = dispatch(waiting, 20)
        self.assertAlmostEqual(
            cost_by_workspace["a"], cost_by_workspace["b"], delta=1
        )

    def test_cost_dispatched_elsewhere_counts(self) -> None:
        waiting = fair_queue.FairQueue()
        for index in range(100):
            waiting.push(make_item(f"a{index}", "a", elsewhere=3.0))
            waiting.push(make_item(f"b{index}", "b"))
        cost_by_workspace = dispatch(waiting, 50)
        self.assertAlmostEqual(
            cost_by_workspace["a"] * 4, cost_by_workspace["b"], delta=4
        )

    def test_cost_dispatched_elsewhere_does_not_starve(self) -> None:
        waiting = fair_queue.FairQueue()
        for index in range(1000):
            waiting.push(make_item(f"a{index}", "a", elsewhere=1000.0))
        for index in range(2000):
            waiting.push(make_item(f"b{index}", "b"))
        self.assertGreaterEqual(dispatch(waiting, 2000)["a"], 1)

    def test_earlier_due_goes_first_within_a_bound(self) -> None:
        waiting = fair_queue.FairQueue()
        cost = fair_queue.MAX_LEAD_TOKENS / 10
        for index in range(100):
            waiting.push(make_item(f"l{index}", "late", cost, due=900.0))
            waiting.push(make_item(f"s{index}", "soon", cost, due=10.0))
        cost_by_workspace = dispatch(waiting, 10)
        self.assertEqual(cost_by_workspace["late"], 0)
        cost_by_workspace += dispatch(waiting, 90)
        lead = cost_by_workspace["soon"] - cost_by_workspace["late"]
        self.assertLessEqual(lead, fair_queue.MAX_LEAD_TOKENS + 2 * cost)

    def test_earlier_due_goes_first_within_a_workspace(self) -> None:
        waiting = fair_queue.FairQueue()
        for attempt_id, due in (("b", 20.0), ("c", NEVER), ("a", 10.0)):
            waiting.push(make_item(attempt_id, "w", due=due))
        order = [item.attempt_id for item in iter(waiting.pop, None)]
        self.assertEqual(order, ["a", "b", "c"])

    def test_expired_attempts_are_dropped(self) -> None:
        waiting = fair_queue.FairQueue()
        waiting.push(make_item("a", "w", deadline=5.0))
        waiting.push(make_item("b", "w", deadline=9.0))
        dropped = [item.attempt_id for item in waiting.drop_expired(5.0)]
        self.assertEqual(dropped, ["a"])
        self.assertEqual(len(waiting), 1)

    def test_charged_cost_is_corrected(self) -> None:
        waiting = fair_queue.FairQueue()
        for index in range(100):
            waiting.push(make_item(f"a{index}", "a", 10.0))
            waiting.push(make_item(f"b{index}", "b", 10.0))
        counts: Counter[str] = Counter()
        for _ in range(60):
            item = waiting.pop()
            assert item
            counts[item.workspace] += 1
            actual_cost = 5.0 if item.workspace == "a" else 10.0
            waiting.finish(item, actual_cost)
        self.assertAlmostEqual(counts["a"], 40, delta=2)

    @hypothesis.settings(derandomize=True, max_examples=60, deadline=None)
    @hypothesis.given(
        strategies.lists(
            strategies.tuples(
                strategies.sampled_from(("a", "b", "c")),
                strategies.integers(1, 50),
            ),
            min_size=1,
            max_size=150,
        )
    )
    def test_backlogged_workspaces_stay_close(
        self, pushes: list[tuple[str, int]]
    ) -> None:
        weights = {"a": 1.0, "b": 2.0, "c": 5.0}
        waiting = fair_queue.FairQueue()
        left: Counter[str] = Counter()
        for index, (workspace, cost) in enumerate(pushes):
            weight = weights[workspace]
            waiting.push(make_item(str(index), workspace, cost, weight))
            left[workspace] += 1
        served = dict.fromkeys(weights, 0.0)
        started = set(left)
        while all(left[workspace] for workspace in started):
            item = waiting.pop()
            assert item
            left[item.workspace] -= 1
            served[item.workspace] += item.cost / item.weight
            values = [served[workspace] for workspace in started]
            self.assertLessEqual(max(values) - min(values), 50 / 1.0 + 50 / 2.0)


class QueueTest(unittest.TestCase):
    def test_a_full_queue_rejects_from_the_largest_workspace(self) -> None:
        cases = (
            ("by items", queue.Queue(max_items=4), 1),
            ("by bytes", queue.Queue(max_bytes=40), 10),
        )
        for name, waiting, size in cases:
            with self.subTest(name):
                for index in range(4):
                    item = make_item(f"a{index}", "a", size_bytes=size)
                    self.assertIsNone(waiting.push(BATCH, item).rejected)
                item = make_item("b", "b", size_bytes=size)
                pushed = waiting.push(BATCH, item)
                assert pushed.rejected
                self.assertEqual(pushed.rejected.attempt_id, "a3")
                self.assertEqual(waiting.count(BATCH), 4)
                self.assertEqual(waiting.count(ONLINE), 0)


class FencesTest(unittest.TestCase):
    def test_older_fences_are_refused_per_owner(self) -> None:
        seen = fences.Fences()
        cases = (
            ("slot-1", 3, True),
            ("slot-1", 3, True),
            ("slot-1", 2, False),
            ("slot-2", 2, True),
            ("", 0, True),
            ("slot-1", 4, True),
            ("slot-1", 3, False),
        )
        for owner, fence, expected in cases:
            with self.subTest(owner=owner, fence=fence):
                self.assertEqual(seen.admit(owner, fence), expected)


class ResultStoreTest(unittest.TestCase):
    def setUp(self) -> None:
        self.now = 0.0
        self.store = results.ResultStore(lambda: self.now, max_items=2)

    def test_results_are_stored_until_committed(self) -> None:
        for index in range(2):
            self.store.add(results.Result(f"j/{index}", "a", 200, "", b"x"))
        self.assertTrue(self.store.is_full())
        self.assertEqual(len(list(self.store.list_by_job("j"))), 2)
        self.assertEqual(len(list(self.store.list_by_job("j/0"))), 0)
        self.store.discard_committed(("j/0", "unknown"))
        self.assertFalse(self.store.is_full())
        self.assertIsNone(self.store.get("j/0"))
        self.assertIsNotNone(self.store.get("j/1"))

    def test_results_expire(self) -> None:
        self.store.add(results.Result("j/0", "a"))
        self.now = results.RETENTION_S
        self.assertFalse(self.store.is_full())
        self.assertEqual(len(self.store), 0)


if __name__ == "__main__":
    unittest.main()
