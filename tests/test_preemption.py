import random
import unittest

import anyio

from eelgrassgate.agent import daemon
from eelgrassgate.agent import preemption
from eelgrassgate.agent import window
from eelgrassgate.engine import base
from eelgrassgate.standins import direct
from eelgrassgate.standins import generation
from eelgrassgate.standins import virtual_time
from tests import test_agent_work

NEVER = float("inf")
RUN_TIME_S = 40
QUEUE_LENGTH = 8


def make_running(
    attempt_id: str,
    has_first_token: bool = True,
    tokens: int = 10,
    due: float = NEVER,
    can_resume: bool = True,
    is_repeatable: bool = True,
) -> preemption.RunningBatch:
    return preemption.RunningBatch(
        attempt_id, has_first_token, tokens, due, can_resume, is_repeatable
    )


VICTIM_CASES = (
    ("none needed", (make_running("a"),), 0, ()),
    (
        "without a first token first",
        (make_running("a"), make_running("b", has_first_token=False)),
        1,
        ("b",),
    ),
    (
        "resumable before lost work",
        (make_running("a", can_resume=False), make_running("b")),
        1,
        ("b",),
    ),
    (
        "the least work lost",
        (
            make_running("a", can_resume=False, tokens=50),
            make_running("b", can_resume=False, tokens=5),
        ),
        1,
        ("b",),
    ),
    (
        "the latest due",
        (make_running("a", due=10.0), make_running("b", due=90.0)),
        1,
        ("b",),
    ),
    (
        "only preemptible attempts",
        (
            make_running("a", can_resume=False, is_repeatable=False),
            make_running("b", is_repeatable=False),
        ),
        2,
        ("b",),
    ),
)


class WithoutLoadReports(direct.DirectEndpoint):
    """An engine without load reports."""

    async def read_load(self) -> base.Load | None:
        return None


class PreemptionTest(unittest.TestCase):
    def test_victims(self) -> None:
        for name, running, needed, expected in VICTIM_CASES:
            with self.subTest(name):
                chosen = tuple(preemption.choose_victims(running, needed))
                self.assertEqual(chosen, expected)

    def test_reserve_follows_the_peak_burst(self) -> None:
        now = 100.0
        throttle = preemption.BatchThrottle(lambda: now)
        self.assertEqual(throttle.compute_reserve(16, 0), 0)
        for _ in range(3):
            throttle.record_arrival()
        cases = ((16, 0, 3), (16, 2, 1), (16, 9, 0), (4, 0, 2))
        for limit, lossless, expected in cases:
            with self.subTest(limit=limit, lossless=lossless):
                reserve = throttle.compute_reserve(limit, lossless)
                self.assertEqual(reserve, expected)
        now += preemption.PEAK_RETENTION_S * 2
        self.assertEqual(throttle.compute_reserve(16, 0), 0)


class WindowTest(unittest.TestCase):
    def test_finds_the_concurrency_limit(self) -> None:
        for max_running in (6, 16):
            for kind in (direct.DirectEndpoint, WithoutLoadReports):
                with self.subTest(max_running=max_running, kind=kind):
                    sustained = virtual_time.run(find_limit, max_running, kind)
                    self.assertAlmostEqual(sustained, max_running, delta=1)

    def test_slow_tokens_decrease_the_window(self) -> None:
        found = window.Window(8, lambda: 1.0)
        for gap_s in (0.02,) * 50 + (0.5,) * 50:
            found.observe_token_interval(gap_s)
        self.assertLess(found.sustained, 8)


async def find_limit(
    max_running: int, kind: type[direct.DirectEndpoint]
) -> int:
    """Keep an engine busy with batch attempts; return the limit found."""
    options = generation.Options(max_running=max_running)
    core = generation.SimulatedEngine(options, virtual_time.get_now)
    rng = random.Random(max_running)
    sustained = 0
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(core.run)
        endpoint = kind(core, 0.001)
        agent = daemon.Agent(
            test_agent_work.create_settings(64),
            endpoint,
            tasks,
            virtual_time.get_now,
        )
        agent.start()
        harness = test_agent_work.AgentHarness(
            core, agent, test_agent_work.FakePeer()
        )
        for turn in range(RUN_TIME_S * 10):
            waiting = agent.scheduler.count_waiting(test_agent_work.BATCH)
            for number in range(waiting, QUEUE_LENGTH):
                harness.submit(
                    f"{turn}-{number}",
                    klass=test_agent_work.BATCH,
                    is_stream=False,
                    tokens=rng.randint(20, 80),
                )
            await anyio.sleep(0.1)
        sustained = agent.window.sustained
        tasks.cancel_scope.cancel()
    return sustained


if __name__ == "__main__":
    unittest.main()
