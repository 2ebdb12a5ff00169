import random
import unittest

import anyio

from eelgrassgate.agent import daemon
from eelgrassgate.agent import window
from eelgrassgate.agent import yielding
from eelgrassgate.engine import base
from eelgrassgate.standins import direct
from eelgrassgate.standins import generation
from eelgrassgate.standins import virtual_time
from tests import test_agent_work

NEVER = float("inf")
RUN_S = 40
WAITING = 8


def make_running(
    attempt: str,
    has_first: bool = True,
    tokens: int = 10,
    due: float = NEVER,
    can_resume: bool = True,
    is_repeatable: bool = True,
) -> yielding.Running:
    return yielding.Running(
        attempt, has_first, tokens, due, can_resume, is_repeatable
    )


CHOICES = (
    ("none needed", (make_running("a"),), 0, ()),
    (
        "without a first token first",
        (make_running("a"), make_running("b", has_first=False)),
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
        "never what would be lost for good",
        (
            make_running("a", can_resume=False, is_repeatable=False),
            make_running("b", is_repeatable=False),
        ),
        2,
        ("b",),
    ),
)


class Silent(direct.DirectEndpoint):
    """Reports no load."""

    async def read_load(self) -> base.Load | None:
        return None


class YieldingTest(unittest.TestCase):
    def test_choice(self) -> None:
        for name, running, needed, expected in CHOICES:
            with self.subTest(name):
                chosen = tuple(yielding.choose(running, needed))
                self.assertEqual(chosen, expected)

    def test_reserve_follows_what_came_together(self) -> None:
        now = 100.0
        pace = yielding.Pace(lambda: now)
        self.assertEqual(pace.compute_reserve(16, 0), 0)
        for _ in range(3):
            pace.note_arrival()
        cases = ((16, 0, 3), (16, 2, 1), (16, 9, 0), (4, 0, 2))
        for limit, cheap, expected in cases:
            with self.subTest(limit=limit, cheap=cheap):
                reserve = pace.compute_reserve(limit, cheap)
                self.assertEqual(reserve, expected)
        now += yielding.RECENT_S * 2
        self.assertEqual(pace.compute_reserve(16, 0), 0)


class WindowTest(unittest.TestCase):
    def test_finds_the_working_limit(self) -> None:
        for max_running in (6, 16):
            for kind in (direct.DirectEndpoint, Silent):
                with self.subTest(max_running=max_running, kind=kind):
                    proven = virtual_time.run(find_limit, max_running, kind)
                    self.assertAlmostEqual(proven, max_running, delta=1)

    def test_slow_tokens_take_the_proof_back(self) -> None:
        found = window.Window(8, lambda: 1.0)
        for gap_s in (0.02,) * 50 + (0.5,) * 50:
            found.observe_gap(gap_s)
        self.assertLess(found.proven, 8)


async def find_limit(
    max_running: int, kind: type[direct.DirectEndpoint]
) -> int:
    """Fill an engine with batch for a while; return the limit found."""
    options = generation.Options(max_running=max_running)
    core = generation.SimulatedEngine(options, virtual_time.get_now)
    chance = random.Random(max_running)
    proven = 0
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(core.run)
        endpoint = kind(core, 0.001)
        agent = daemon.Agent(
            test_agent_work.write_settings(64),
            endpoint,
            tasks,
            virtual_time.get_now,
        )
        agent.start()
        site = test_agent_work.Site(core, agent, test_agent_work.Peer())
        for turn in range(RUN_S * 10):
            waiting = agent.scheduler.count_waiting(test_agent_work.BATCH)
            for number in range(waiting, WAITING):
                site.submit(
                    f"{turn}-{number}",
                    klass=test_agent_work.BATCH,
                    is_stream=False,
                    tokens=chance.randint(20, 80),
                )
            await anyio.sleep(0.1)
        proven = agent.window.proven
        tasks.cancel_scope.cancel()
    return proven


if __name__ == "__main__":
    unittest.main()
