"""Long-lived tasks that fail, alone and in complete processes."""

from collections.abc import Awaitable
from collections.abc import Callable
from typing import Any
from typing import Final
import unittest
import unittest.mock

import anyio
import msgspec

from eelgrassgate import messages
from eelgrassgate import supervision
from eelgrassgate.agent import daemon as agent_lib
from eelgrassgate.batches import daemon
from eelgrassgate.entry import daemon as entry_lib
from eelgrassgate.gateway import node as node_lib
from eelgrassgate.standins import virtual_time
from eelgrassgate.store import base
from eelgrassgate.store import memory
from eelgrassgate.store import mirror
from tests import fakes
from tests import test_agent_work
from tests import test_batch_daemon
from tests import test_shutdown

TIMEOUT_S: Final = 10.0
MANY_FAILURES: Final = 20
# Long-lived tasks of a node by name, and the objects that run them.
NODE_TASKS: Final[dict[str, Callable[[node_lib.Node], Any]]] = {
    "discovery": lambda node: node.discovery,
    "members": lambda node: node._members,
    "shared watches": lambda node: node.shared_watches,
    "registration": lambda node: node.registration,
    "quarantine": lambda node: node._quarantine_storage,
    "reports": lambda node: node.reports,
    "relay": lambda node: node.relay,
    "metrics": lambda node: node.metrics,
}
BATCH_TASKS: Final[dict[str, Callable[[daemon.BatchDaemon], Any]]] = {
    "open jobs": lambda batch: batch._open_mirror,
    "jobs": lambda batch: batch._owner,
}


class InjectedError(Exception):
    """A bug in a task."""


def fail_once(owner: Any, name: str) -> Any:
    """Make an asynchronous method fail at its first call."""
    original: Callable[..., Awaitable[Any]] = getattr(owner, name)
    calls = []

    async def call(*arguments: Any, **named: Any) -> Any:
        calls.append(arguments)
        if len(calls) == 1:
            raise InjectedError
        return await original(*arguments, **named)

    return unittest.mock.patch.object(owner, name, call)


def read_failures(node: node_lib.Node, task: str) -> bool:
    line = f'eelgrassgate_task_failures_total{{task="{task}"}} 1.0'
    return line in node.metrics.render().decode()


async def wait(is_met: Callable[[], bool]) -> None:
    with anyio.fail_after(TIMEOUT_S):
        while not is_met():
            await anyio.sleep(0.01)


class RestartsTest(unittest.TestCase):
    def test_delays_between_starts_grow_until_a_task_recovers(self) -> None:
        recovered_s = supervision.RECOVERY_S
        for name, runs, expected in (
            ("first failure", (0.0,), (0.1,)),
            ("growing", (0.0, 1.0, 0.0), (0.1, 0.2, 0.4)),
            ("recovered", (0.0, 0.0, recovered_s, 0.0), (0.1, 0.2, 0.1, 0.2)),
            ("nearly", (0.0, recovered_s - 1.0), (0.1, 0.2)),
        ):
            with self.subTest(name):
                restarts = supervision.Restarts()
                found = tuple(map(restarts.record_failure, runs))
                self.assertEqual(found, expected)
        restarts = supervision.Restarts()
        delays = [restarts.record_failure(0.0) for _ in range(MANY_FAILURES)]
        self.assertEqual(delays[-1], supervision.MAX_DELAY_S)


class SupervisorTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self) -> None:
        self.failures: list[str] = []
        self.supervisor = supervision.create_supervisor(self.failures.append)

    async def test_failed_task_is_started_again(self) -> None:
        for is_needed in (False, True):
            for error in (
                InjectedError(),
                ExceptionGroup("", [InjectedError()]),
                MemoryError(),
            ):
                with self.subTest(error, is_needed=is_needed):
                    self.setUp()
                    done = anyio.Event()
                    call = unittest.mock.AsyncMock(
                        side_effect=[error, error, None]
                    )

                    async def run(
                        call: Any = call,
                        done: anyio.Event = done,
                        is_needed: bool = is_needed,
                    ) -> None:
                        await self.supervisor.run(
                            "a", call, 1, is_needed=is_needed
                        )
                        done.set()

                    async with anyio.create_task_group() as tasks:
                        self.assertTrue(self.supervisor.is_sound())
                        tasks.start_soon(run)
                        await wait(lambda: bool(self.failures))
                        self.assertEqual(
                            self.supervisor.is_sound(), not is_needed
                        )
                        await done.wait()
                    self.assertEqual(self.failures, ["a", "a"])
                    self.assertEqual(call.await_args_list, [((1,),)] * 3)

    async def test_fatal_error_is_passed_on(self) -> None:
        fatal = supervision.FatalError()
        for error in (
            fatal,
            ExceptionGroup("", [InjectedError(), ExceptionGroup("", [fatal])]),
        ):
            call = unittest.mock.AsyncMock(side_effect=error)
            with self.assertRaises(type(error)):
                await self.supervisor.run("a", call)
        self.assertEqual(self.failures, [])

    async def test_cancellation_is_no_failure(self) -> None:
        async with anyio.create_task_group() as tasks:
            self.supervisor.start(tasks, "a", anyio.sleep_forever)
            await anyio.sleep(0.0)
            tasks.cancel_scope.cancel()
        self.assertEqual(self.failures, [])


class ProcessTest(unittest.IsolatedAsyncioTestCase):
    async def test_gateway_survives_the_failure_of_each_task(self) -> None:
        async def run(name: str) -> None:
            fixture = test_shutdown.Fixture()
            node = fixture.gateway._node
            async with anyio.create_task_group() as tasks:
                for one in fixture.endpoints:
                    await tasks.start(one.serve)
                await fixture.register()
                with fail_once(NODE_TASKS[name](node), "run"):
                    tasks.start_soon(fixture.run)
                    await wait(lambda: read_failures(node, name))
                    await wait(fixture.gateway.is_ready)
                async with fixture.connect() as caller:
                    await caller.send(
                        test_shutdown.make_request("/plain/a", "r1")
                    )
                    response = await caller.read_response()
                    self.assertEqual(response.status, 200)
                self.assertFalse(fixture.has_ended)
                tasks.cancel_scope.cancel()

        async with anyio.create_task_group() as tasks:
            for name in NODE_TASKS:
                tasks.start_soon(run, name)

    async def test_gateway_survives_a_failure_of_its_listeners(self) -> None:
        for name in ("_listener", "_readiness_listener"):
            fixture = test_shutdown.Fixture()
            async with anyio.create_task_group() as tasks:
                await fixture.register()
                with fail_once(getattr(fixture.gateway, name), "serve"):
                    tasks.start_soon(fixture.run)
                    await wait(fixture.gateway.is_ready)
                await fixture.wait_for_listener()
                tasks.cancel_scope.cancel()

    async def test_batch_process_survives_the_failure_of_each_task(
        self,
    ) -> None:
        async def run(name: str, owner: Any, batch: daemon.BatchDaemon) -> None:
            node = batch._node
            async with anyio.create_task_group() as tasks:
                with fail_once(owner, "run"):
                    tasks.start_soon(batch.run, anyio.Event())
                    await wait(lambda: read_failures(node, name))
                await wait(lambda: bool(node.registration.lease))
                tasks.cancel_scope.cancel()

        async with anyio.create_task_group() as tasks:
            for name in (*NODE_TASKS, *BATCH_TASKS):
                batch = test_batch_daemon.make_batch(
                    test_batch_daemon.make_store(), "a"
                )
                if name in BATCH_TASKS:
                    owner = BATCH_TASKS[name](batch)
                else:
                    owner = NODE_TASKS[name](batch._node)
                tasks.start_soon(run, name, owner, batch)


class OwnDaemonsTest(unittest.IsolatedAsyncioTestCase):
    async def test_entry_survives_the_failure_of_each_task(self) -> None:
        cases: tuple[tuple[Callable[[entry_lib.Entry], Any], str], ...] = (
            (lambda entry: entry._exchanges, "run"),
            (lambda entry: entry, "_update_link_budget"),
        )
        for find, method in cases:
            with self.subTest(method):
                harness = fakes.Harness()
                counts = harness.recorder.counts
                async with anyio.create_task_group() as tasks:
                    with fail_once(find(harness.entry), method):
                        await tasks.start(harness.entry.run, harness.stop)
                        while ("task_failures", "") not in counts:
                            await anyio.sleep(0.01)
                    await anyio.sleep(2.0 * supervision.MIN_DELAY_S)
                    self.assertEqual(counts.count(("task_failures", "")), 1)
                    tasks.cancel_scope.cancel()

    def test_agent_survives_the_failure_of_each_task(self) -> None:
        for name in ("_reporter", "_poller"):
            with self.subTest(name):
                virtual_time.run(self._check_agent, name)

    async def _check_agent(self, name: str) -> None:
        original = agent_lib.Agent.start

        def start(agent: agent_lib.Agent) -> None:
            fail = fail_once(getattr(agent, name), "run")
            fail.start()
            original(agent)

        with unittest.mock.patch.object(agent_lib.Agent, "start", start):
            async with test_agent_work.run_harness() as harness:
                harness.submit("a")
                await anyio.sleep(5)
                self.assertIsInstance(harness.peer.get_final("a"), messages.End)
                counts = harness.agent.recorder.snapshot().counts
                self.assertIn("task_failures", [one.name for one in counts])


class MirrorTest(unittest.IsolatedAsyncioTestCase):
    async def test_record_that_a_listener_fails_on_holds_up_no_other(
        self,
    ) -> None:
        store = memory.create_memory_store(progress_interval_s=0.02)
        watched = mirror.create_mirror(store, "p/", batch_delay_s=0.0)
        seen: list[str] = []
        others: list[str] = []

        def listen(changes: tuple[base.Change, ...]) -> None:
            for change in changes:
                if change.value == b"odd":
                    raise InjectedError
                seen.append(change.key)

        watched.subscribe(listen)
        watched.subscribe(
            lambda changes: others.extend(one.key for one in changes)
        )
        writes = tuple(
            base.Write(f"p/{name}", b"odd" if name == "b" else b"")
            for name in "abc"
        )
        await store.commit(base.Transaction((), writes))
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(watched.run)
            await wait(lambda: len(others) == len(writes))
            await store.commit(base.Transaction((), (base.Write("p/d", b""),)))
            await wait(lambda: "p/d" in seen)
            tasks.cancel_scope.cancel()
        self.assertEqual(set(seen), {"p/a", "p/c", "p/d"})


class ConfigTest(unittest.IsolatedAsyncioTestCase):
    async def test_config_that_a_listener_fails_on_reaches_the_others(
        self,
    ) -> None:
        fixture = test_shutdown.Fixture()
        config = fixture.gateway._node.discovery.config
        # No configuration is applied before evacuations are known.
        config.evacuations.update(frozenset(), 1, "store")
        seen: list[int] = []
        config._listeners.insert(0, unittest.mock.Mock(side_effect=OSError))
        config._listeners.append(lambda one: seen.append(one.version))
        config._apply(msgspec.json.encode(test_shutdown.make_config()), "store")
        self.assertEqual(seen, [1])
