"""Memory that jobs take while they are accepted, run and read."""

import contextlib
import pathlib
import tempfile
from typing import Any
from typing import Final
import unittest
from unittest import mock

import anyio

from bench import memory_load
from eelgrassgate import deadlines
from eelgrassgate import memory_budget
from eelgrassgate.batches import admission as admission_lib
from eelgrassgate.batches import records
from eelgrassgate.store import memory
from tests import site as site_lib
from tests import test_forwarding

TIMEOUT_S: Final = 10.0
MB: Final = memory_budget.BYTES_PER_MB
JOB: Final = memory_budget.Kind.JOB
# Budget in which one large submission fits into the reserve, and one holder's
# share has room for another.
LIMIT: Final = 100 * MB
LARGE: Final = 10 * MB
SMALL: Final = 10_000
# As many jobs of the largest size as half the memory holds the bodies of.
JOBS: Final = 24


class AdmissionTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self) -> None:
        self.budget = memory_budget.Budget(LIMIT)
        self.admission = admission_lib.create_admission(self.budget)
        self.at_rest = self.budget.held_bytes
        self.started: list[str] = []
        self.ended = anyio.Event()

    def fill(self, *holders: str) -> list[memory_budget.Account]:
        """Take all that large accounts of these holders may take."""
        accounts = []
        for holder in holders:
            account = self.budget.open(memory_budget.Kind.REQUEST, holder)
            while account.try_grow(MB // 4):
                pass
            accounts.append(account)
        return accounts

    async def hold(
        self, name: str, size: int, remaining_s: float = TIMEOUT_S
    ) -> None:
        deadline = deadlines.after(remaining_s)
        async with self.admission.admit(name, size, deadline) as is_admitted:
            self.started.append(name if is_admitted else f"{name} refused")
            if is_admitted:
                await self.ended.wait()

    async def settle(self) -> None:
        for _ in range(20):
            await anyio.lowlevel.checkpoint()

    async def test_jobs_take_turns_while_memory_is_short(self) -> None:
        accounts = self.fill("x", "y")
        async with anyio.create_task_group() as tasks:
            for name in ("a", "b", "c"):
                tasks.start_soon(self.hold, name, LARGE)
                await self.settle()
            self.assertEqual(self.started, ["a"])
            tasks.start_soon(self.hold, "small", SMALL)
            await self.settle()
            self.assertEqual(self.started, ["a", "small"])
            for _ in ("b", "c"):
                ended, self.ended = self.ended, anyio.Event()
                ended.set()
                await self.settle()
            self.assertEqual(self.started, ["a", "small", "b", "c"])
            self.ended.set()
        for account in accounts:
            account.close()
        self.assertEqual(self.budget.held_bytes, self.at_rest)

    async def test_jobs_don_t_wait_while_memory_suffices(self) -> None:
        async with anyio.create_task_group() as tasks:
            for name in ("a", "b", "c", "d"):
                tasks.start_soon(self.hold, name, LARGE)
            await self.settle()
            self.assertEqual(self.started, ["a", "b", "c", "d"])
            self.assertLessEqual(self.budget.held_bytes, LIMIT)
            self.ended.set()
        self.assertEqual(self.budget.held_bytes, self.at_rest)

    async def test_a_job_is_refused_with_time_left_to_try_elsewhere(
        self,
    ) -> None:
        self.fill("x", "y")
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self.hold, "a", LARGE)
            await self.settle()
            started_at = deadlines.now()
            await self.hold("b", LARGE, 0.4)
            self.assertLess(deadlines.now() - started_at, 0.35)
            self.assertEqual(self.started, ["a", "b refused"])
            self.ended.set()

    async def test_a_job_that_never_fits_is_refused_at_once(self) -> None:
        started_at = deadlines.now()
        await self.hold("a", LIMIT)
        self.assertLess(deadlines.now() - started_at, 1.0)
        self.assertEqual(self.started, ["a refused"])

    async def test_cancelled_submissions_give_back_everything(self) -> None:
        accounts = self.fill("x", "y")
        for count in range(1, 5):
            with self.subTest(count):
                async with anyio.create_task_group() as tasks:
                    for number in range(count):
                        tasks.start_soon(self.hold, str(number), LARGE)
                    await self.settle()
                    tasks.cancel_scope.cancel()
        self.started.clear()
        self.ended.set()
        await self.hold("a", LARGE)
        self.assertEqual(self.started, ["a"])
        for account in accounts:
            account.close()
        self.assertEqual(self.budget.held_bytes, self.at_rest)

    async def test_many_headers_count_as_what_they_take(self) -> None:
        self.assertGreater(
            admission_lib.measure_submission(b'"":"",' * 100_000), 10 * MB
        )


class ShortMemoryTest(unittest.IsolatedAsyncioTestCase):
    async def test_a_job_without_memory_is_refused_unwritten(self) -> None:
        budget = memory_budget.Budget(LIMIT)
        store = memory.create_memory_store()
        async with site_lib.open_site() as site:
            site.batches.submissions = store
            site.batches.admission = admission_lib.create_admission(budget)
            while budget.open(JOB).try_grow(SMALL):
                pass
            for is_unconfirmed, status in ((False, 503), (True, 504)):
                with (
                    self.subTest(is_unconfirmed=is_unconfirmed),
                    mock.patch.object(
                        site.batches.intake,
                        "is_unconfirmed",
                        return_value=is_unconfirmed,
                    ),
                    anyio.fail_after(TIMEOUT_S),
                ):
                    response = await site_lib.call(
                        site.address,
                        "/batch/1",
                        body=test_forwarding.BATCH_BODY,
                        remaining_ms=400,
                    )
                self.assertEqual(response.status, status)
                self.assertEqual(
                    b"retry-after" in response.headers, not is_unconfirmed
                )
        page = (await store.read_range(records.JOBS)).unwrap()
        self.assertEqual(page.records, ())


class ProcessTest(unittest.IsolatedAsyncioTestCase):
    async def run_load(self, load: memory_load.Load) -> memory_load.Row:
        with contextlib.ExitStack() as stack:
            folder = stack.enter_context(tempfile.TemporaryDirectory())
            for name, ip in (
                ("GATEWAY_IP", "127.93.7.1"),
                ("BATCH_IP", "127.93.7.2"),
            ):
                stack.enter_context(mock.patch.object(memory_load, name, ip))
            with anyio.fail_after(60.0):
                return await memory_load.run_load(load, pathlib.Path(folder))

    async def test_large_jobs_at_once_stay_within_the_memory(self) -> None:
        async def send_job(number: int) -> str:
            send: Any = memory_load._send_job
            return str(await send(number, 140, 20_000))

        row = await self.run_load(memory_load.Load("jobs", JOBS, send_job))
        self.assertEqual(row.ended, ())
        self.assertEqual(set(row.answers), {"202"})
        self.assertLess(row.gateway_peak_mb, memory_load.MEMORY_MB)
        self.assertLess(row.batch_peak_mb, memory_load.MEMORY_MB)
        self.assertEqual(set(row.small_answers), {"200"})
