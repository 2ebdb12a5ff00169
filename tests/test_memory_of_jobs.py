"""Memory that jobs take while they are accepted, run and read."""

import asyncio
from collections import Counter
import contextlib
import pathlib
import tempfile
from typing import Any
from typing import Final
import unittest
from unittest import mock

import anyio
import msgspec
from returns import result

from bench import memory_load
from bench import ports
from bench import processes
from eelgrassgate import deadlines
from eelgrassgate import memory_budget
from eelgrassgate.batches import admission as admission_lib
from eelgrassgate.batches import items as items_lib
from eelgrassgate.batches import job_memory
from eelgrassgate.batches import owner_api
from eelgrassgate.batches import records
from eelgrassgate.batches import results
from eelgrassgate.batches import submission
from eelgrassgate.gateway import calls
from eelgrassgate.peering import registry
from eelgrassgate.platform import kv
from eelgrassgate.store import base
from eelgrassgate.store import faulty
from eelgrassgate.store import memory
from eelgrassgate.store import mirror
from tests import site as site_lib
from tests import test_batches
from tests import test_forwarding
from tests import test_peering
from tests import test_platform

TIMEOUT_S: Final = 10.0
MB: Final = memory_budget.BYTES_PER_MB
JOB: Final = memory_budget.Kind.JOB
# Budget in which one large submission fits into the reserve, and one holder's
# share has room for another.
LIMIT: Final = 100 * MB
LARGE: Final = 10 * MB
SMALL: Final = 10_000
# Items with outputs of this size.
OUTPUTS: Final = 60
OUTPUT_BYTES: Final = 600_000
# Jobs of 2.8 MB each, in values of one item.
COUNT: Final = 6
ITEMS: Final = 4
ITEM_BYTES: Final = 690_000
# Jobs of one item of 2.8 MB that wait for a process that starts.
STORED_JOBS: Final = 80
CONFIG: Final = {
    "version": 1,
    "routes": [
        {
            "name": "batch",
            "host": memory_load.HOST,
            "prefix": "/batch/",
            "kind": "batch",
            "service": "engine",
            "max-attempts": 2,
            "completion-target-ms": 18_000,
            "retention-s": 60,
        }
    ],
    "services": [{"name": "engine", "max-connections": 400, "engine": {}}],
    "tenants": [{"name": "desk", "api-keys": ["key"]}],
}
ENDPOINT: Final = {
    "service": "engine",
    "zone": "z1",
    "version": "v1",
    "slots": 400,
    "state": "ready",
    "cold-remaining-ms": 0,
    "sequence": 1,
    "born": 1_800_000_000_000,
}
# As many jobs of the largest size as half the memory holds the bodies of.
JOBS: Final = 24


def read_peak_mb(pid: int) -> int:
    """Return the peak of a process's resident memory."""
    status = pathlib.Path(f"/proc/{pid}/status").read_text("utf-8")
    fields = dict(line.split(":", 1) for line in status.splitlines())
    return int(fields["VmHWM"].split()[0]) * 1024 // MB


async def serve_items(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    """Answer items with one event; keeps nothing of their bodies."""
    with (
        contextlib.closing(writer),
        contextlib.suppress(OSError, asyncio.IncompleteReadError),
    ):
        while True:
            head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
            fields = dict(
                line.lower().split(": ", 1)
                for line in head.split("\r\n")[1:]
                if ": " in line
            )
            await reader.readexactly(int(fields.get("content-length", "0")))
            await asyncio.sleep(1.0)
            event = "id: 1\ndata: x\n\n"
            writer.write(
                (
                    "HTTP/1.1 200 OK\r\n"
                    f"Request-Id: {fields['request-id']}\r\n"
                    "Response-Signature: 1.1\r\n"
                    "Content-Type: text/event-stream\r\n"
                    f"Content-Length: {len(event)}\r\n\r\n{event}"
                ).encode()
            )


class AdmissionTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self) -> None:
        self.budget = memory_budget.Budget(LIMIT)
        self.admission = admission_lib.create_admission(
            self.budget, admission_lib.SUBMISSION_RESERVE_BYTES
        )
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
            site.batches.admission = admission_lib.create_admission(
                budget, admission_lib.SUBMISSION_RESERVE_BYTES
            )
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


class OwnerTest(unittest.IsolatedAsyncioTestCase):
    async def run_jobs(
        self, budget: memory_budget.Budget
    ) -> tuple[test_batches.Harness, int]:
        """Run jobs that are larger together than the budget's bodies.

        Returns:
            The harness and the most bytes of bodies that were held.
        """
        items = tuple(
            calls.BatchItem(f"i{number}", "/batch/1", {}, bytes(ITEM_BYTES))
            for number in range(ITEMS)
        )
        names = [f"job-{number}" for number in range(COUNT)]
        most = 0
        async with test_batches.open_harness(budget=budget) as harness:
            owner: Any = harness.owner
            for name in names:
                accepted = await submission.submit(
                    harness.store,
                    msgspec.structs.replace(test_batches.make_call(), id=name),
                    test_batches.ROUTE,
                    site_lib.WORKSPACE,
                    test_batches.split_items(items),
                    1,
                )
                self.assertEqual(accepted.outcome, submission.Outcome.DONE)
            with anyio.fail_after(20.0):
                while not await self.is_closed(harness, names):
                    most = max(
                        most,
                        sum(
                            len(progress.item.body)
                            for owned in owner._owned_by_id.values()
                            for progress in (
                                *owned.waiting,
                                *owned.running.values(),
                            )
                        ),
                    )
                    self.assertLessEqual(budget.held_bytes, budget.limit_bytes)
                    await anyio.sleep(0.01)
            for name in names:
                found = await self.read_listed(harness, name)
                self.assertEqual(sorted(found), [f"i{n}" for n in range(ITEMS)])
        return harness, most

    async def test_outputs_stay_within_the_memory_in_an_outage(self) -> None:
        budget = memory_budget.Budget(20 * MB)
        items = tuple(
            calls.BatchItem(f"i{number}", "/batch/1", {}, b"q")
            for number in range(OUTPUTS)
        )
        is_down = anyio.Event()

        async def run(*args: Any) -> tuple[items_lib.Outcome, str]:
            progress: items_lib.Progress = args[6]
            await is_down.wait()
            progress.event_data = ["x" * OUTPUT_BYTES]
            progress.output_bytes = OUTPUT_BYTES
            await anyio.sleep(0.1)
            return items_lib.Outcome.COMPLETE, ""

        most = 0
        with mock.patch.object(items_lib, "run", run):
            async with test_batches.open_harness(budget=budget) as harness:
                owner: Any = harness.owner
                await test_batches.submit(harness.store, items=items)
                await harness.wait(lambda: owner.count_running() > 3)
                harness.store.faults.is_down = True
                is_down.set()
                for _ in range(100):
                    held = sum(
                        owned.measure_outputs()
                        for owned in owner._owned_by_id.values()
                    ) + sum(run.progress.output_bytes for run in owner._runs)
                    most = max(most, held)
                    await anyio.sleep(0.02)
                harness.store.faults.is_down = False
                with anyio.fail_after(20.0):
                    while not await self.is_closed(harness, [test_batches.JOB]):
                        await anyio.sleep(0.02)
                found = await self.read_listed(harness, test_batches.JOB)
        self.assertEqual(
            sorted(found), sorted(f"i{number}" for number in range(OUTPUTS))
        )
        self.assertGreater(most, 5 * MB)
        # Half of the budget, and what runs when the limit is met.
        self.assertLess(most, 20 * MB)

    async def is_closed(
        self, harness: test_batches.Harness, names: list[str]
    ) -> bool:
        for name in names:
            key = f"{records.HEADS}{name}"
            record = (await harness.store.read(key)).unwrap()
            if record is None:
                return False
            if not records.decode_head(record.value).is_closed:
                return False
        return True

    async def read_listed(
        self, harness: test_batches.Harness, name: str
    ) -> list[str]:
        """Return the ids of all results of a job, as the store lists them."""
        prefix = f"{records.RESULTS}{name}/"
        page = (await harness.store.read_range(prefix)).unwrap()
        return [
            one.id
            for record in page.records
            for one in records.decode_results(record.value)
        ]

    async def test_jobs_that_don_t_fit_complete_from_parts(self) -> None:
        with mock.patch.object(admission_lib, "MAX_RESERVE_SHARE", 0.5):
            budget = memory_budget.Budget(20 * MB)
            _, most = await self.run_jobs(budget)
        self.assertLess(most, 8 * MB)
        self.assertGreater(most, MB)

    async def test_a_restart_of_the_owner_gives_its_memory_back(self) -> None:
        budget = memory_budget.Budget(200_000_000)
        harness = test_batches.Harness("", budget)
        reserved = budget.held_bytes
        harness.registration.lease = (
            (await harness.store.grant_lease(60.0)).unwrap().lease
        )
        await test_batches.submit(
            harness.store, items=test_batches.make_large_items(4)
        )
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(harness.watched.run)
            for number in range(2):
                with self.subTest(number), anyio.CancelScope() as scope:
                    async with anyio.create_task_group() as owner_tasks:
                        owner_tasks.start_soon(harness.owner.run)
                        await harness.wait(
                            lambda: budget.held_bytes > reserved + 1_000_000
                        )
                        scope.cancel()
                self.assertEqual(budget.held_bytes, reserved)
            tasks.cancel_scope.cancel()

    async def test_jobs_that_wait_for_memory_are_not_loaded_over_and_over(
        self,
    ) -> None:
        jobs = 60
        # Time runs ten times as fast as for a process in another region whose
        # store is slow.
        read_s = 0.015
        wait_s = job_memory.READ_WAIT_S / 10.0
        harness = test_batches.Harness("", memory_budget.Budget(100_000_000))
        harness.registration.lease = (
            (await harness.store.grant_lease(60.0)).unwrap().lease
        )
        items = tuple(
            calls.BatchItem(f"i{number}", "/batch/1", {}, bytes(600_000))
            for number in range(4)
        )
        for number in range(jobs):
            await submission.submit(
                harness.store,
                test_batches.make_call(f"job-{number}"),
                test_batches.ROUTE,
                site_lib.WORKSPACE,
                test_batches.split_items(items),
                1,
            )
        read = harness.store.read
        loads: Counter[str] = Counter()

        async def read_slowly(key: str) -> Any:
            if key.startswith(records.HEADS):
                loads[key] += 1
            await anyio.sleep(read_s)
            return await read(key)

        store: Any = harness.store
        store.read = read_slowly
        with mock.patch.object(job_memory, "READ_WAIT_S", wait_s):
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(harness.watched.run)
                tasks.start_soon(harness.owner.run)
                with anyio.fail_after(30.0):
                    while not all(
                        harness.owner.find_job(f"job-{number}")
                        for number in range(jobs)
                    ):
                        await anyio.sleep(read_s)
                tasks.cancel_scope.cancel()
        self.assertEqual(set(loads.values()), {1})

    async def test_bodies_are_read_once_while_memory_suffices(self) -> None:
        read: Counter[str] = Counter()
        store_read = faulty.FaultyStore.read

        async def count(store: faulty.FaultyStore, key: str) -> Any:
            read[key] += 1
            return await store_read(store, key)

        with mock.patch.object(faulty.FaultyStore, "read", count):
            await self.run_jobs(site_lib.make_budget())
        counts = {
            key: number
            for key, number in read.items()
            if key.startswith(records.ITEMS)
        }
        self.assertEqual(set(counts.values()), {1})
        self.assertEqual(len(counts), COUNT * 4)


class ReaderTest(unittest.IsolatedAsyncioTestCase):
    async def test_cached_records_of_jobs_with_long_paths_give_way(
        self,
    ) -> None:
        budget = memory_budget.Budget(4 * MB)
        store = test_batches.make_store()
        directory = registry.create_directory(
            mirror.create_mirror(store, registry.MEMBERS_PREFIX)
        )
        reader: Any = results.create_reader(
            store, directory, lambda name: False, budget
        )
        for number in range(1_000):
            path = f"/batch/{number}" + "x" * 16_000
            job = records.Job(f"j{number}", "w", "h", path, 1, 1, 1.0, 2.0)
            await reader.announce(job, 1)
        cached = sum(len(job.path) for job in reader._jobs_by_id.values())
        self.assertGreater(cached, MB)
        self.assertLessEqual(cached, budget.held_bytes)
        account = budget.open(JOB, "a")
        self.assertTrue(account.try_grow(2 * MB))
        account.close()
        while reader._evict_job():
            pass
        self.assertEqual(budget.held_bytes, 0)

    async def test_many_readers_at_once_stay_within_the_memory(self) -> None:
        budget = memory_budget.Budget(30 * MB)
        store = test_batches.make_store()
        item = calls.BatchItem("i", "/batch/1", {}, bytes(ITEM_BYTES))
        await test_batches.submit(store, items=(item,))
        text = "x" * 600_000
        owned = await test_batches.claim_job(store)
        for progress in owned.waiting:
            progress.event_data = [text]
            owned.record_result(progress, records.COMPLETED, "")
        owned.waiting = []
        await owned.commit()
        prefixes = (records.ITEMS, records.RESULTS)
        now = most = 0
        store_read = faulty.FaultyStore.read

        async def read(read_from: faulty.FaultyStore, key: str) -> Any:
            nonlocal now, most
            if not key.startswith(prefixes):
                return await store_read(read_from, key)
            now += 1
            most = max(most, now)
            try:
                await anyio.sleep(0.02)
                return await store_read(read_from, key)
            finally:
                now -= 1

        async def call(number: int) -> None:
            reader = test_batches.make_reader(store)
            with budget.open(memory_budget.Kind.RESULT, "w") as account:
                memory = results.CallMemory(account, deadlines.after(TIMEOUT_S))
                if number % 2:
                    body = await reader.find_item(owned.job, "i", memory)
                    self.assertEqual(len(body or b""), ITEM_BYTES)
                else:
                    listing = await reader.read_results(
                        owned.job, 0, 0.0, memory
                    )
                    self.assertEqual(listing.results[0].text, text)

        with mock.patch.object(faulty.FaultyStore, "read", read):
            async with anyio.create_task_group() as tasks:
                for number in range(40):
                    tasks.start_soon(call, number)
        # Each takes 2.8 MB, and the calls of one workspace half of the budget.
        self.assertLessEqual(most, 5)
        self.assertEqual(budget.held_bytes, 0)


class OwnerApiTest(unittest.IsolatedAsyncioTestCase):
    async def test_a_page_without_memory_is_left_to_the_store(self) -> None:
        for name, is_full, size, status in (
            ("large, memory suffices", False, 600_000, 200),
            ("large, memory is short", True, 600_000, 404),
            ("small, memory is short", True, 1_000, 200),
        ):
            with self.subTest(name):
                budget = memory_budget.Budget(LIMIT)
                for holder in "ab" if is_full else "":
                    account = budget.open(JOB, holder)
                    while account.try_grow(SMALL):
                        pass
                before = budget.held_bytes
                owner: Any = mock.Mock()
                owner.find_job.return_value.committed = [
                    records.Result("i", records.COMPLETED, "x" * size)
                ]
                owner.find_job.return_value.job.total = 1
                incoming: Any = mock.Mock(
                    method=b"GET", target=b"/jobs/j?after=0"
                )
                responder: Any = mock.AsyncMock()
                await owner_api.create_owner_api(owner, budget).handle(
                    incoming, responder
                )
                self.assertEqual(responder.reply.await_args.args[0], status)
                self.assertEqual(budget.held_bytes, before)


class RelayTest(unittest.IsolatedAsyncioTestCase):
    async def test_a_relayed_call_without_memory_is_not_sent(self) -> None:
        budget = memory_budget.Budget(LIMIT)
        async with test_peering.open_relay(budget) as setup:
            store = kv.create_kv_store(test_peering.UNUSED_ADDRESS)
            store.set_relays(lambda: (setup.relay_address,))
            for name, is_full, size, is_done in (
                ("large, memory suffices", False, 900_000, True),
                ("large, memory is short", True, 900_000, False),
                ("small, memory is short", True, 1_000, True),
            ):
                with self.subTest(name):
                    # The first call finds that the service is unreachable.
                    await store.read("x")
                    accounts = [budget.open(JOB, one) for one in "ab"]
                    for account in accounts if is_full else ():
                        while account.try_grow(SMALL):
                            pass
                    before = setup.backend.counts.writes
                    write = base.Write(name, bytes(size))
                    with anyio.fail_after(TIMEOUT_S):
                        answer = await store.commit(
                            base.Transaction((), (write,))
                        )
                    self.assertEqual(
                        isinstance(answer, result.Success), is_done
                    )
                    if not is_done:
                        fault = answer.failure().fault
                        self.assertIs(fault, base.Fault.NOT_DONE)
                    self.assertEqual(
                        setup.backend.counts.writes, before + is_done
                    )
                    for account in accounts:
                        account.close()
                    await anyio.sleep(kv.RELAY_COOLDOWN_S)
            self.assertEqual(budget.held_bytes, 0)
            await store.close()


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

    async def test_jobs_beyond_the_memory_complete(self) -> None:
        item = calls.BatchItem("i", "/batch/a", {}, bytes(2_800_000))
        async with contextlib.AsyncExitStack() as stack:
            folder = stack.enter_context(tempfile.TemporaryDirectory())
            server = await asyncio.start_server(serve_items, ports.HOST, 0)
            await stack.enter_async_context(server)
            running = await stack.enter_async_context(
                processes.run_processes(pathlib.Path(folder))
            )
            store_port = ports.pick_port()
            running.start(
                "store", "eelgrassgate.standins.kv", ["--port", str(store_port)]
            )
            await processes.wait_until_open(store_port)
            address = f"{ports.HOST}:{store_port}"
            endpoint_port = server.sockets[0].getsockname()[1]
            store = kv.create_kv_store(address)
            endpoint = {**ENDPOINT, "address": f"{ports.HOST}:{endpoint_port}"}
            await test_platform.put(store, "op/config", CONFIG)
            await test_platform.put(store, "servers/i-0", endpoint)
            for number in range(STORED_JOBS):
                accepted = await submission.submit(
                    store,
                    msgspec.structs.replace(
                        test_batches.make_call(remaining_s=TIMEOUT_S),
                        id=f"j{number}",
                        host=memory_load.HOST,
                    ),
                    test_batches.ROUTE,
                    site_lib.WORKSPACE,
                    test_batches.split_items((item,)),
                    1,
                )
                self.assertEqual(accepted.outcome, submission.Outcome.DONE)
            settings = memory_load.write_settings(
                pathlib.Path(folder), "batch", "127.93.7.3", address
            )
            batch = running.start(
                "batch",
                "eelgrassgate.platform",
                ["batch"],
                {"EELGRASSGATE_BOOT": str(settings), "PATH": ""},
            )
            with anyio.move_on_after(45.0):
                while await self.count_closed(store) < STORED_JOBS:
                    await anyio.sleep(0.5)
            self.assertTrue(batch.is_running())
            self.assertLess(read_peak_mb(batch.pid), memory_load.MEMORY_MB)
            self.assertEqual(await self.count_closed(store), STORED_JOBS)
            await store.close()

    async def count_closed(self, store: kv.KvStore) -> int:
        closed = 0
        after = ""
        while True:
            page = (await store.read_range(records.HEADS, after=after)).unwrap()
            closed += sum(
                records.decode_head(one.value).is_closed for one in page.records
            )
            if not page.has_more:
                return closed
            after = page.records[-1].key

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
