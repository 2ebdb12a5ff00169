import math
import unittest

from returns import result

from eelgrassgate import outcomes
from eelgrassgate.limits import admission
from eelgrassgate.limits import limiter
from eelgrassgate.limits import timing


class Clock:
    def __init__(self) -> None:
        self.now = 100.0

    def __call__(self) -> float:
        return self.now


def start(subject: limiter.Limiter) -> admission.Outcome | None:
    return subject.start("desk", math.inf).outcome


class SingleInstanceTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self) -> None:
        self.clock = Clock()
        self.limiter = limiter.create_limiter("a", 1, clock=self.clock)
        self.limiter.set_rate("desk", 10.0, 5.0)

    def count_admitted(self, tries: int) -> int:
        decided = [start(self.limiter) for _ in range(tries)]
        return sum(isinstance(o, result.Success) for o in decided)

    def test_starts_empty_and_fills_to_its_burst(self) -> None:
        self.assertEqual(self.count_admitted(3), 0)
        self.clock.now += 100.0
        self.limiter.tick()
        self.assertEqual(self.count_admitted(8), 5)

    def test_admits_after_a_short_wait(self) -> None:
        pending = self.limiter.start("desk", math.inf)
        self.assertIsNone(pending.outcome)
        self.clock.now += 0.11
        self.limiter.tick()
        self.assertEqual(pending.outcome, result.Success(None))

    def test_refusal_has_the_retry_delay(self) -> None:
        waiting = [self.limiter.start("desk", math.inf) for _ in range(2)]
        self.assertIsNone(waiting[0].outcome)
        refused = waiting[1].outcome
        assert refused is not None
        refusal = refused.failure()
        self.assertEqual(refusal.code, outcomes.Code.RATE_LIMITED)
        self.assertEqual(refusal.ran, outcomes.RunStatus.NOT_RUN)
        assert refusal.retry_after_s is not None
        self.clock.now += refusal.retry_after_s / 2
        self.limiter.tick()
        self.assertEqual(waiting[0].outcome, result.Success(None))
        self.clock.now += refusal.retry_after_s / 2
        self.assertEqual(start(self.limiter), result.Success(None))

    def test_expired_deadline_is_refused(self) -> None:
        pending = self.limiter.start("desk", 0.0)
        self.assertIsInstance(pending.outcome, result.Failure)

    def test_unknown_bucket_is_refused(self) -> None:
        pending = self.limiter.start("nobody", math.inf)
        self.assertIsInstance(pending.outcome, result.Failure)

    def test_lower_burst_cuts_the_level(self) -> None:
        self.clock.now += 100.0
        self.limiter.set_rate("desk", 10.0, 2.0)
        self.assertEqual(self.count_admitted(8), 2)

    def test_higher_burst_adds_no_tokens_at_once(self) -> None:
        self.clock.now += 100.0
        self.limiter.set_rate("desk", 10.0, 50.0)
        self.assertEqual(self.count_admitted(8), 5)

    def test_removed_rate_refuses_waiting_requests(self) -> None:
        pending = self.limiter.start("desk", math.inf)
        self.limiter.remove_rate("desk")
        self.assertIsInstance(pending.outcome, result.Failure)

    async def test_admit_awaits_the_outcome(self) -> None:
        self.clock.now += 1.0
        outcome = await self.limiter.admit("desk", math.inf)
        self.assertEqual(outcome, result.Success(None))

    async def test_admit_times_out(self) -> None:
        self.clock.now += timing.TICK_S
        outcome = await self.limiter.admit("desk", math.inf)
        self.assertIsInstance(outcome, result.Failure)
