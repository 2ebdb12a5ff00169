from collections.abc import AsyncIterator
from collections.abc import Awaitable
from collections.abc import Callable
import contextlib
from typing import Any
import unittest

import anyio
import msgspec

from eelgrassgate import messages
from eelgrassgate import outcomes
from eelgrassgate import settings
from eelgrassgate.agent import daemon
from eelgrassgate.engine import base
from eelgrassgate.standins import direct
from eelgrassgate.standins import generation
from eelgrassgate.standins import virtual_time

ONLINE = outcomes.RequestClass.ONLINE
BATCH = outcomes.RequestClass.BATCH
NOT_RUN = outcomes.RunStatus.NOT_RUN
UNKNOWN = outcomes.RunStatus.UNKNOWN
Code = outcomes.Code
OPTIONS = generation.Options(max_running=4)


class FakePeer:
    """An entry's end of a connection, which stores the sent messages."""

    def __init__(self) -> None:
        self.hello = messages.Hello(
            instance="b", incarnation=1, service="entry", zone="z", region="r"
        )
        self.sent: list[messages.AnyMessage] = []

    def send(self, message: messages.AnyMessage) -> bool:
        self.sent.append(message)
        return True

    def list_for(self, attempt: str) -> list[messages.AnyMessage]:
        return [m for m in self.sent if getattr(m, "attempt", "") == attempt]

    def get_final(self, attempt: str) -> messages.AnyMessage | None:
        ends = messages.End | messages.Refused
        found = [m for m in self.list_for(attempt) if isinstance(m, ends)]
        assert len(found) < 2, "ended twice"
        return found[0] if found else None

    def get_refusal(self, attempt: str) -> tuple[Any, ...]:
        end = self.get_final(attempt)
        assert isinstance(end, messages.Refused), end
        return end.refusal.code, end.refusal.ran

    def join_body(self, attempt: str) -> bytes:
        data = (
            m.data
            for m in self.list_for(attempt)
            if isinstance(m, messages.Data)
        )
        return b"".join(data)


class LossyEndpoint(direct.DirectEndpoint):
    """Loses the response of every call once it has started."""

    async def call(self, call: base.Call) -> AsyncIterator[base.Part]:
        async for part in super().call(call):
            if isinstance(part, base.Data):
                break
        refusal = outcomes.refuse_unknown(Code.ENDPOINT_LOST, "Lost.")
        yield base.Failed(refusal, True)


class RaisingEndpoint(direct.DirectEndpoint):
    """Raises an unexpected error in calls that want one token."""

    async def call(self, call: base.Call) -> AsyncIterator[base.Part]:
        async for part in super().call(call):
            yield part
            if b'"max_tokens":1}' in call.body:
                raise RuntimeError("an injected error")


class AgentHarness:
    """An agent with a simulated engine."""

    def __init__(
        self,
        core: generation.SimulatedEngine,
        agent: daemon.Agent,
        peer: FakePeer,
    ) -> None:
        self.core = core
        self.agent = agent
        self.peer = peer

    def submit(self, attempt: str, **changes: Any) -> None:
        peer = changes.pop("peer", self.peer)
        tokens = changes.pop("tokens", 5)
        body = {"model": "m", "prompt": attempt, "max_tokens": tokens}
        submit = messages.Submit(
            attempt=attempt,
            workspace="w",
            klass=ONLINE,
            method="POST",
            path="/v1/completions",
            body=msgspec.json.encode(body),
            content_type="application/json",
            is_stream=True,
            remaining_ms=None,
            cost=10.0,
            weight=1.0,
        )
        submit = msgspec.structs.replace(submit, **changes)
        self.agent.link_handler.receive(peer, submit)

    def submit_item(self, attempt: str, item: str, **changes: Any) -> None:
        fields = {"owner": "slot", "fence": 1, "is_stream": False, **changes}
        self.submit(attempt, klass=BATCH, item=item, **fields)

    def receive(self, message: messages.AnyMessage) -> None:
        self.agent.link_handler.receive(self.peer, message)

    def inquire(self, fence: int) -> messages.Known:
        self.receive(messages.Inquire(owner="slot", fence=fence, job="j"))
        known = self.peer.sent[-1]
        assert isinstance(known, messages.Known)
        return known

    def list_reports(self) -> list[messages.LoadReport]:
        sent = self.peer.sent
        return [m for m in sent if isinstance(m, messages.LoadReport)]

    def count_runs(self) -> int:
        return self.core.executions_by_attempt.total()


def create_settings(window: int, *, can_resume: bool = True) -> settings.Agent:
    return settings.Agent(
        place=settings.Place(instance="a", zone="z", region="r"),
        endpoint="e",
        kind="engine",
        url="",
        link_listen="",
        can_resume=can_resume,
        window=window,
    )


@contextlib.asynccontextmanager
async def run_harness(
    create_endpoint: Callable[..., base.Endpoint] = direct.DirectEndpoint,
    *,
    can_resume: bool = True,
) -> AsyncIterator[AgentHarness]:
    core = generation.SimulatedEngine(OPTIONS, virtual_time.get_now)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(core.run)
        endpoint = create_endpoint(core, 0.001)
        config = create_settings(4, can_resume=can_resume)
        agent = daemon.Agent(config, endpoint, tasks, virtual_time.get_now)
        agent.start()
        harness = AgentHarness(core, agent, FakePeer())
        agent.link_handler.connect(harness.peer)
        yield harness
        tasks.cancel_scope.cancel()


class AgentTest(unittest.TestCase):
    def run_scenario(self, scenario: Callable[[], Awaitable[None]]) -> None:
        virtual_time.run(scenario)

    def test_a_duplicate_submit_runs_once(self) -> None:
        async def scenario() -> None:
            async with run_harness() as harness:
                harness.submit("a")
                harness.submit("a")
                await anyio.sleep(5)
                harness.submit("a")
                await anyio.sleep(5)
                self.assertEqual(harness.count_runs(), 1)
                self.assertIsInstance(harness.peer.get_final("a"), messages.End)

        self.run_scenario(scenario)

    def test_a_new_owner_receives_the_run_or_its_result(self) -> None:
        for name, pause_s, is_running in (
            ("run", 0.1, True),
            ("end", 9, False),
        ):

            async def scenario(
                pause_s: float = pause_s, is_running: bool = is_running
            ) -> None:
                async with run_harness() as harness:
                    harness.submit_item("a", "j/0", tokens=20)
                    await anyio.sleep(pause_s)
                    harness.agent.link_handler.disconnect(harness.peer)
                    states = harness.inquire(2).items
                    self.assertEqual(states[0].item, "j/0")
                    self.assertEqual(states[0].is_running, is_running)
                    other = FakePeer()
                    harness.submit_item("b", "j/0", fence=2, peer=other)
                    await anyio.sleep(9)
                    self.assertIsInstance(other.get_final("b"), messages.End)
                    self.assertIn(b'"total_tokens":21', other.join_body("b"))
                    self.assertEqual(harness.count_runs(), 1)
                    harness.receive(messages.Settled(items=("j/0",)))
                    self.assertEqual(harness.inquire(2).items, ())

            with self.subTest(name):
                self.run_scenario(scenario)

    def test_a_replaced_owner_is_refused(self) -> None:
        async def scenario() -> None:
            async with run_harness() as harness:
                for index in range(9):
                    harness.submit_item(f"a{index}", f"j/{index}", tokens=50)
                await anyio.sleep(0.5)
                self.assertFalse(harness.inquire(2).is_stale)
                self.assertTrue(harness.inquire(1).is_stale)
                harness.submit_item("late", "j/9")
                refused = (Code.STALE_FENCE, NOT_RUN)
                self.assertEqual(harness.peer.get_refusal("late"), refused)
                await anyio.sleep(30)
                self.assertEqual(harness.peer.get_refusal("a8"), refused)
                self.assertIsInstance(
                    harness.peer.get_final("a0"), messages.End
                )
                self.assertLess(harness.count_runs(), 9)

        self.run_scenario(scenario)

    def test_a_lost_connection_cancels_online_but_not_batch(self) -> None:
        async def scenario() -> None:
            async with run_harness() as harness:
                harness.submit("a", tokens=500)
                harness.submit_item("b", "j/0", tokens=50)
                await anyio.sleep(0.5)
                harness.agent.link_handler.disconnect(harness.peer)
                await anyio.sleep(0.5)
                self.assertEqual(harness.core.list_running(), ("b",))
                await anyio.sleep(9)
                self.assertEqual(harness.inquire(1).items[0].status, 200)

        self.run_scenario(scenario)

    def test_cancellation_states_whether_the_attempt_ran(self) -> None:
        cases = (
            ("running", 0, UNKNOWN),
            ("waiting", 8, NOT_RUN),
        )
        for name, index, ran in cases:

            async def scenario(
                attempt: str = f"a{index}", ran: outcomes.RunStatus = ran
            ) -> None:
                async with run_harness() as harness:
                    for each in range(9):
                        harness.submit(f"a{each}", tokens=50)
                    await anyio.sleep(0.2)
                    harness.receive(messages.Cancel(attempt=attempt))
                    harness.receive(messages.Cancel(attempt=attempt))
                    await anyio.sleep(0.2)
                    expected = (Code.CANCELLED, ran)
                    self.assertEqual(
                        harness.peer.get_refusal(attempt), expected
                    )
                    self.assertNotIn(attempt, harness.core.list_running())
                    await anyio.sleep(9)
                    harness.receive(messages.Cancel(attempt=attempt))
                    await anyio.sleep(1)
                    self.assertIsNotNone(harness.peer.get_final(attempt))

            with self.subTest(name):
                self.run_scenario(scenario)

    def test_an_expired_attempt_costs_no_engine_time(self) -> None:
        async def scenario() -> None:
            async with run_harness() as harness:
                for index in range(4):
                    harness.submit(f"a{index}", tokens=100)
                harness.submit("late", remaining_ms=500)
                await anyio.sleep(0.6)
                expected = (Code.DEADLINE_EXCEEDED, NOT_RUN)
                self.assertEqual(harness.peer.get_refusal("late"), expected)
                self.assertEqual(harness.count_runs(), 4)
                counted = {
                    (count.name, count.workspace): count.total
                    for count in harness.agent.recorder.snapshot().counts
                }
                name = f"refused.{Code.DEADLINE_EXCEEDED.value}"
                self.assertEqual(counted[name, "w"], 1)
                self.assertEqual(counted["attempts", ""], 5)

        self.run_scenario(scenario)

    def test_a_deadline_stops_a_running_attempt(self) -> None:
        cases = (("in the engine", 1000), ("at a slow reader", 1))
        for name, credit in cases:

            async def scenario(credit: int = credit) -> None:
                async with run_harness() as harness:
                    fields = {"credit": credit, "remaining_ms": 900}
                    harness.submit("a", tokens=500, **fields)
                    await anyio.sleep(1.0)
                    expected = (Code.DEADLINE_EXCEEDED, UNKNOWN)
                    self.assertEqual(harness.peer.get_refusal("a"), expected)
                    self.assertEqual(harness.core.list_running(), ())

            with self.subTest(name):
                self.run_scenario(scenario)

    def test_preempted_batch_resumes(self) -> None:
        async def scenario() -> None:
            async with run_harness() as harness:
                for index in range(4):
                    harness.submit_item(f"b{index}", f"j/{index}", tokens=100)
                await anyio.sleep(1.0)
                before = harness.core.tokens
                harness.submit("a", tokens=10)
                await anyio.sleep(0.1)
                self.assertIn("a", harness.core.list_running())
                self.assertEqual(harness.agent.scheduler.preempted, 1)
                await anyio.sleep(60)
                for index in range(4):
                    body = harness.peer.join_body(f"b{index}")
                    text = msgspec.json.decode(body)["choices"][0]["text"]
                    words = [
                        generation.choose_word(f"b{index}", each)
                        for each in range(100)
                    ]
                    self.assertEqual(text.split(), words)
                self.assertEqual(harness.count_runs(), 5)
                self.assertLess(harness.core.tokens, 400 + 10 + 4)
                self.assertGreater(before, 0)

        self.run_scenario(scenario)

    def test_batch_fills_idle_capacity_within_a_second(self) -> None:
        async def scenario() -> None:
            async with run_harness() as harness:
                for index in range(4):
                    harness.submit(f"a{index}", tokens=10)
                for index in range(8):
                    harness.submit_item(f"b{index}", f"j/{index}", tokens=200)
                await anyio.sleep(0.1)
                self.assertEqual(len(harness.core.list_running()), 4)
                while harness.peer.get_final("a3") is None:
                    await anyio.sleep(0.01)
                await anyio.sleep(1.0)
                running = [f"b{index}" for index in range(4)]
                self.assertEqual(sorted(harness.core.list_running()), running)

        self.run_scenario(scenario)

    def test_load_is_reported_on_change_and_each_second(self) -> None:
        async def scenario() -> None:
            async with run_harness() as harness:
                for _ in range(3):
                    await anyio.sleep(1.1)
                    reports = harness.list_reports()
                    self.assertTrue(reports)
                    self.assertEqual(reports[-1].online_running, 0)
                    harness.peer.sent.clear()
                for index in range(6):
                    harness.submit(f"a{index}", tokens=100)
                await anyio.sleep(0.2)
                report = harness.list_reports()[-1]
                self.assertEqual(report.online_running, 4)
                self.assertEqual(report.online_queued, 2)
                harness.agent.link_handler.leave()
                await anyio.sleep(0.2)
                self.assertTrue(harness.list_reports()[-1].is_leaving)

        self.run_scenario(scenario)

    def test_batch_that_is_not_repeatable_is_not_preempted(self) -> None:
        async def scenario() -> None:
            async with run_harness(can_resume=False) as harness:
                for index in range(4):
                    harness.submit_item(
                        f"b{index}",
                        f"j/{index}",
                        tokens=50,
                        is_repeatable=False,
                    )
                await anyio.sleep(0.5)
                self.assertEqual(len(harness.core.list_running()), 4)
                harness.submit("a")
                await anyio.sleep(30)
                self.assertEqual(harness.agent.scheduler.preempted, 0)
                self.assertEqual(harness.count_runs(), 5)
                self.assertIsInstance(harness.peer.get_final("a"), messages.End)

        self.run_scenario(scenario)

    def test_a_lost_item_runs_again_only_if_repeatable(self) -> None:
        for is_repeatable, runs in ((True, 2), (False, 1)):

            async def scenario(
                is_repeatable: bool = is_repeatable, runs: int = runs
            ) -> None:
                async with run_harness(LossyEndpoint) as harness:
                    for attempt in ("a", "b"):
                        harness.submit_item(
                            attempt, "j/0", is_repeatable=is_repeatable
                        )
                        await anyio.sleep(2)
                        refused = (Code.ENDPOINT_LOST, UNKNOWN)
                        self.assertEqual(
                            harness.peer.get_refusal(attempt), refused
                        )
                    self.assertEqual(harness.count_runs(), runs)

            with self.subTest(is_repeatable=is_repeatable):
                self.run_scenario(scenario)

    def test_error_in_one_attempt_stops_no_other(self) -> None:
        async def scenario() -> None:
            async with run_harness(RaisingEndpoint) as harness:
                harness.submit("a")
                harness.submit("b", tokens=1)
                await anyio.sleep(5)
                self.assertEqual(
                    harness.peer.get_refusal("b"),
                    (Code.ENDPOINT_FAILED, UNKNOWN),
                )
                self.assertIsInstance(harness.peer.get_final("a"), messages.End)
                harness.submit("c")
                await anyio.sleep(5)
                self.assertIsInstance(harness.peer.get_final("c"), messages.End)

        self.run_scenario(scenario)

    def test_a_slow_reader_delays_only_its_own_stream(self) -> None:
        async def scenario() -> None:
            async with run_harness() as harness:
                harness.submit("slow", credit=2)
                harness.submit("fast")
                await anyio.sleep(2)
                slow = harness.peer.list_for("slow")
                parts = sum(isinstance(m, messages.Data) for m in slow)
                self.assertEqual(parts, 2)
                self.assertIsInstance(
                    harness.peer.get_final("fast"), messages.End
                )
                harness.receive(messages.Credit(attempt="slow", parts=100))
                await anyio.sleep(2)
                self.assertIsInstance(
                    harness.peer.get_final("slow"), messages.End
                )

        self.run_scenario(scenario)

    def test_drain_finishes_running_attempts_and_refuses_new_ones(self) -> None:
        async def scenario() -> None:
            async with run_harness() as harness:
                harness.submit("a", tokens=50)
                for index in range(9):
                    harness.submit_item(f"b{index}", f"j/{index}", tokens=50)
                await anyio.sleep(0.5)
                async with anyio.create_task_group() as tasks:
                    tasks.start_soon(harness.agent.drain, anyio.Event())
                    await anyio.sleep(0.1)
                    harness.submit("c")
                refused = (Code.SHUTTING_DOWN, NOT_RUN)
                self.assertEqual(harness.peer.get_refusal("c"), refused)
                self.assertEqual(harness.peer.get_refusal("b8"), refused)
                for attempt in ("a", "b0"):
                    end = harness.peer.get_final(attempt)
                    self.assertIsInstance(end, messages.End)
                self.assertIn(messages.Leave(), harness.peer.sent)

        self.run_scenario(scenario)

    def test_a_forced_stop_states_whether_attempts_ran(self) -> None:
        async def scenario() -> None:
            async with run_harness() as harness:
                for index in range(9):
                    harness.submit(f"a{index}", tokens=500)
                await anyio.sleep(0.5)
                kill = anyio.Event()
                kill.set()
                await harness.agent.drain(kill)
                code = Code.SHUTTING_DOWN
                self.assertEqual(
                    harness.peer.get_refusal("a0"), (code, UNKNOWN)
                )
                self.assertEqual(
                    harness.peer.get_refusal("a8"), (code, NOT_RUN)
                )

        self.run_scenario(scenario)


if __name__ == "__main__":
    unittest.main()
