"""Batch jobs from submission to the last result, with injected faults."""

from collections.abc import AsyncIterator
from collections.abc import Callable
import contextlib
from typing import Any
from typing import Final
import unittest
from unittest import mock

import anyio
import msgspec

from eelgrassgate import deadlines
from eelgrassgate import memory_budget
from eelgrassgate.batches import job_memory
from eelgrassgate.batches import owner as owner_lib
from eelgrassgate.batches import owner_messages
from eelgrassgate.batches import ownership
from eelgrassgate.batches import records
from eelgrassgate.batches import results
from eelgrassgate.batches import scheduling
from eelgrassgate.batches import stored_items
from eelgrassgate.batches import submission
from eelgrassgate.gateway import calls
from eelgrassgate.gateway import catalog
from eelgrassgate.gateway import draining
from eelgrassgate.gateway import metrics as metrics_lib
from eelgrassgate.gateway import placement as placement_lib
from eelgrassgate.http1 import downstream
from eelgrassgate.http1 import upstream
from eelgrassgate.peering import failures
from eelgrassgate.peering import loads
from eelgrassgate.peering import registry
from eelgrassgate.platform import batch_calls
from eelgrassgate.platform import dialect
from eelgrassgate.quarantine import quarantine
from eelgrassgate.standins import endpoint
from eelgrassgate.store import base
from eelgrassgate.store import faulty
from eelgrassgate.store import memory
from eelgrassgate.store import mirror
from tests import site as site_lib

TIMEOUT_S: Final = 15.0
JOB: Final = "job-1"
# Limit of the users' protocol for a page of results.
MAX_PAGE_BYTES: Final = 1_000_000
ROUTE: Final = next(
    one for one in site_lib.ROUTES if one.kind is catalog.Kind.BATCH
)
TEXT: Final = "\n".join(f"word-{number}" for number in range(1, 5))


def make_call(job: str = JOB, remaining_s: float = 1.0) -> calls.Call:
    return calls.Call(
        job,
        b"POST",
        b"/batch/x",
        site_lib.HOST,
        "/batch/x",
        None,
        (),
        downstream.Body(b""),
        deadlines.after(remaining_s),
    )


def make_items(count: int) -> tuple[calls.BatchItem, ...]:
    return tuple(
        calls.BatchItem(f"i{number}", f"/batch/{number}", {"Model": "m"}, b"q")
        for number in range(count)
    )


def make_store() -> faulty.FaultyStore:
    return faulty.create_faulty_store(
        memory.create_memory_store(progress_interval_s=0.02)
    )


def split_items(
    items: tuple[calls.BatchItem, ...],
) -> stored_items.Splitter:
    splitter = stored_items.create_splitter()
    for item in items:
        splitter.add(item)
    return splitter


async def submit(
    store: base.Store,
    count: int = 3,
    workspace: str = site_lib.WORKSPACE,
    config_version: int = 1,
    items: tuple[calls.BatchItem, ...] | None = None,
    retention_s: float = ROUTE.retention_s,
) -> submission.Outcome:
    accepted = await submission.submit(
        store,
        make_call(),
        msgspec.structs.replace(ROUTE, retention_s=retention_s),
        workspace,
        split_items(make_items(count) if items is None else items),
        config_version,
    )
    return accepted.outcome


class SubmissionTest(unittest.IsolatedAsyncioTestCase):
    async def test_outcomes(self) -> None:
        done = submission.Outcome.DONE
        for name, script, before, outcome in (
            ("no fault", {}, 0, done),
            ("repeated", {}, 1, done),
            ("a lost reply", {"lost_replies": 1}, 0, done),
            ("two lost replies", {"lost_replies": 2}, 0, done),
            ("store down", {"is_down": True}, 0, submission.Outcome.NOT_DONE),
        ):
            with self.subTest(name):
                store = make_store()
                for _ in range(before):
                    await submit(store)
                for field, value in script.items():
                    setattr(store.faults, field, value)
                self.assertEqual(await submit(store), outcome)
                store.faults.is_down = False
                page = (await store.read_range(records.JOBS)).unwrap()
                self.assertEqual(len(page.records), int(outcome is done))

    async def test_another_workspace_can_not_take_an_id(self) -> None:
        store = make_store()
        await submit(store)
        self.assertEqual(
            await submit(store, workspace="other"), submission.Outcome.CONFLICT
        )

    async def test_a_large_job_is_stored_in_parts(self) -> None:
        store = make_store()
        accepted = await submission.submit(
            store,
            make_call(),
            ROUTE,
            site_lib.WORKSPACE,
            split_items(make_large_items(7)),
            1,
        )
        self.assertEqual(accepted.outcome, submission.Outcome.DONE)
        record = (await store.read(f"{records.JOBS}{JOB}")).unwrap()
        assert record is not None
        job = records.decode_job(record.value)
        self.assertEqual((job.total, job.parts), (7, 4))
        reader = make_reader(store)
        item = await reader.find_item(job, "i6")
        assert item is not None
        self.assertEqual(len(item), 300_000)

    async def test_an_item_larger_than_a_value_is_stored(self) -> None:
        # The store rejected the item's value, and the job was refused at every
        # try of its caller.
        store = make_store()
        sizes = (10, 1_500_000, 10, 699_990, 700_000, 20)
        items = tuple(
            calls.BatchItem(
                f"i{number}", "/batch/1", {}, bytes([number]) * size
            )
            for number, size in enumerate(sizes)
        )
        outcome = await submit(store, items=items)
        self.assertEqual(outcome, submission.Outcome.DONE)
        owned = await claim_job(store)
        loaded = tuple(one.item for one in owned.waiting)
        # Without a message, which would hold the bodies.
        self.assertTrue(loaded == items)
        reader = make_reader(store)
        for item in items:
            body = await reader.find_item(owned.job, item.id)
            self.assertTrue(body == item.body, item.id)
        self.assertIsNone(await reader.find_item(owned.job, "another"))


async def make_owned(store: base.Store) -> ownership.OwnedJob:
    record = (await store.read(f"{records.OPEN_JOBS}{JOB}")).unwrap()
    assert record is not None
    return ownership.create_owned_job(
        store,
        records.decode_job(record.value),
        record.revision,
        job_memory.create_job_memory(site_lib.make_budget()),
    )


def make_large_items(count: int) -> tuple[calls.BatchItem, ...]:
    """Return items of which two fill a value of the store."""
    return tuple(
        calls.BatchItem(f"i{number}", "/batch/1", {}, b"x" * 300_000)
        for number in range(count)
    )


async def claim_job(store: base.Store, owner: str = "a") -> ownership.OwnedJob:
    owned = await make_owned(store)
    lease = (await store.grant_lease(60.0)).unwrap().lease
    assert await owned.claim(owner, 1, lease)
    await owned.load()
    return owned


def complete_next(owned: ownership.OwnedJob) -> str:
    progress = owned.waiting.pop(0)
    progress.event_data.append(progress.item.id)
    owned.record_result(progress, records.COMPLETED, "")
    return progress.item.id


class OwnershipTest(unittest.IsolatedAsyncioTestCase):
    async def test_a_claim_excludes_others(self) -> None:
        store = make_store()
        await submit(store)
        owned = await claim_job(store)
        self.assertTrue(owned.is_claimed())
        other = await make_owned(store)
        lease = (await store.grant_lease(60.0)).unwrap().lease
        self.assertFalse(await other.claim("b", 1, lease))

    async def test_a_closed_job_is_not_claimed(self) -> None:
        store = make_store()
        await submit(store)
        owned = await make_owned(store)
        closing = base.Transaction((), ownership.build_closing_changes(JOB))
        await store.commit(closing)
        lease = (await store.grant_lease(60.0)).unwrap().lease
        self.assertFalse(await owned.claim("a", 1, lease))
        # Submitting the same job again succeeds but does not open it again.
        self.assertEqual(await submit(store), submission.Outcome.DONE)
        record = await store.read(f"{records.OPEN_JOBS}{JOB}")
        self.assertIsNone(record.unwrap())

    async def test_a_claim_whose_reply_was_lost_is_held(self) -> None:
        store = make_store()
        await submit(store)
        lease = (await store.grant_lease(60.0)).unwrap().lease
        owned = await make_owned(store)
        store.faults.lost_replies = 1
        with self.assertRaises(ownership.StoreFailedError):
            await owned.claim("a", 1, lease)
        self.assertTrue(await owned.claim("a", 1, lease))

    async def test_a_restarted_process_replaces_its_claim(self) -> None:
        store = make_store()
        await submit(store)
        first = await claim_job(store)
        record = (await store.read(f"{records.CLAIMS}{JOB}")).unwrap()
        assert record is not None
        self.assertEqual(ownership.parse_claim(record.value), ("a", 1))
        second = await make_owned(store)
        second.replace_claim(record.revision)
        lease = (await store.grant_lease(60.0)).unwrap().lease
        self.assertTrue(await second.claim("a", 2, lease))
        complete_next(first)
        with self.assertRaises(ownership.OwnershipLostError):
            await first.commit()

    async def test_results_are_committed_once_and_in_order(self) -> None:
        for name, lost_replies in (("no fault", 0), ("lost replies", 2)):
            with self.subTest(name):
                store = make_store()
                await submit(store)
                owned = await claim_job(store)
                ended = []
                while not owned.is_finished():
                    ended.append(complete_next(owned))
                    store.faults.lost_replies = lost_replies
                    for _ in range(lost_replies):
                        with self.assertRaises(ownership.StoreFailedError):
                            await owned.commit()
                    await owned.commit()
                    self.assertFalse(owned.has_uncommitted())
                self.assertFalse(owned.is_open())
                self.assertEqual(await read_ids(store, owned.job), ended)

    async def test_a_successor_resumes_after_the_committed_results(
        self,
    ) -> None:
        store = make_store()
        await submit(store)
        owned = await claim_job(store)
        first = complete_next(owned)
        await owned.commit()
        claim = base.Transaction((), (base.Delete(f"{records.CLAIMS}{JOB}"),))
        await store.commit(claim)
        successor = await claim_job(store, "b")
        self.assertEqual(
            [one.item.id for one in successor.waiting], ["i1", "i2"]
        )
        second = complete_next(successor)
        await successor.commit()
        # The former owner's commit fails, so it adds no results.
        complete_next(owned)
        with self.assertRaises(ownership.OwnershipLostError):
            await owned.commit()
        self.assertEqual(await read_ids(store, owned.job), [first, second])

    async def test_a_failed_load_offers_no_items(self) -> None:
        # Items were offered after each value that was read, and again by the
        # next load.
        store = make_store()
        await submit(store, items=make_large_items(3))
        owned = await make_owned(store)
        store.faults.failing_reads_by_key = {records.get_items_key(JOB, 1): 1}
        with self.assertRaises(ownership.StoreFailedError):
            await owned.load()
        self.assertEqual(len(owned.waiting), 0)
        await owned.load()
        self.assertEqual(
            [one.item.id for one in owned.waiting], ["i0", "i1", "i2"]
        )

    async def test_a_claim_is_not_acquired_again_after_results_of_another(
        self,
    ) -> None:
        # A process that had missed the work of another went on with its own
        # older list of results.
        store = make_store()
        await submit(store)
        owned = await claim_job(store)
        claim = base.Transaction((), (base.Delete(f"{records.CLAIMS}{JOB}"),))
        await store.commit(claim)
        successor = await claim_job(store, "b")
        complete_next(successor)
        await successor.commit()
        await store.commit(claim)
        owned.mark_claim_expired()
        lease = (await store.grant_lease(60.0)).unwrap().lease
        self.assertFalse(await owned.claim("a", 1, lease))

    async def test_an_expired_claim_is_acquired_again(self) -> None:
        store = make_store()
        await submit(store)
        owned = await claim_job(store)
        complete_next(owned)
        claim = base.Transaction((), (base.Delete(f"{records.CLAIMS}{JOB}"),))
        await store.commit(claim)
        await owned.commit()
        self.assertFalse(owned.is_claimed())
        lease = (await store.grant_lease(60.0)).unwrap().lease
        self.assertTrue(await owned.claim("a", 1, lease))
        await owned.commit()
        self.assertEqual(await read_ids(store, owned.job), ["i0"])

    async def test_a_commit_built_under_an_earlier_claim_is_built_again(
        self,
    ) -> None:
        store = make_store()
        await submit(store)
        owned = await claim_job(store)
        complete_next(owned)
        store.faults.is_down = True
        with self.assertRaises(ownership.StoreFailedError):
            await owned.commit()
        store.faults.is_down = False
        # The lease has expired in the meantime, and the claim with it.
        claim = base.Transaction((), (base.Delete(f"{records.CLAIMS}{JOB}"),))
        await store.commit(claim)
        owned.mark_claim_expired()
        lease = (await store.grant_lease(60.0)).unwrap().lease
        self.assertTrue(await owned.claim("a", 1, lease))
        while owned.has_uncommitted():
            await owned.commit()
        self.assertEqual(await read_ids(store, owned.job), ["i0"])


def complete_all(owned: ownership.OwnedJob, text: str) -> None:
    """Complete all items with the same output."""
    while owned.waiting:
        progress = owned.waiting.pop(0)
        progress.event_data.append(text)
        owned.record_result(progress, records.COMPLETED, "")


async def commit_all(owned: ownership.OwnedJob) -> int:
    """Commit until all results are committed; return the rejected commits."""
    rejections = 0
    with anyio.fail_after(TIMEOUT_S):
        while owned.has_uncommitted():
            try:
                await owned.commit()
            except ownership.StoreFailedError:
                rejections += 1
                await anyio.sleep(0.01)
    return rejections


class ResultSizeTest(unittest.IsolatedAsyncioTestCase):
    # By name: a character whose encodings are longer than one byte.
    CHARACTERS: Final = {"three bytes": "\u6280", "escaped in JSON": "\x01"}

    async def test_results_that_pile_up_fit_into_values_in_bytes(self) -> None:
        # Groups of results were bounded in characters. Their value exceeded
        # the store's limit, and the same commit was sent for ever.
        for name, character in self.CHARACTERS.items():
            with self.subTest(name):
                store = make_store()
                await submit(store, 12)
                owned = await claim_job(store)
                complete_all(owned, character * 100_000)
                self.assertEqual(await commit_all(owned), 0)
                self.assertFalse(owned.is_open())
                self.assertEqual(len(owned.committed), 12)

    async def test_a_rejected_commit_is_split(self) -> None:
        # A commit that the store rejects for its size was sent for ever.
        store = make_store()
        await submit(store, 6)
        owned = await claim_job(store)
        complete_all(owned, "x" * 1_000)
        with mock.patch.object(base, "MAX_VALUE_BYTES", 2_500):
            self.assertGreater(await commit_all(owned), 0)
        self.assertFalse(owned.is_open())
        states = [one.state for one in owned.committed]
        self.assertEqual(states, [records.COMPLETED] * 6)

    async def test_a_result_that_is_rejected_alone_becomes_a_dead_letter(
        self,
    ) -> None:
        # It held up the results after it for ever.
        store = make_store()
        await submit(store, 2)
        owned = await claim_job(store)
        for text in ("x" * 3_000, "y"):
            progress = owned.waiting.pop(0)
            progress.event_data.append(text)
            owned.record_result(progress, records.COMPLETED, "")
        with mock.patch.object(base, "MAX_VALUE_BYTES", 2_500):
            await commit_all(owned)
        self.assertEqual(
            [(one.state, one.text) for one in owned.committed],
            [(records.DEAD_LETTER, ""), (records.COMPLETED, "y")],
        )

    async def test_cached_results_are_bounded_in_memory(self) -> None:
        # They were counted in characters, which take up to four bytes.
        store = make_store()
        await submit(store, 12)
        owned = await claim_job(store)
        complete_all(owned, "\U0001f33f" * 50_000)
        await commit_all(owned)
        reader = make_reader(store)
        with mock.patch.object(results, "MAX_CACHE_BYTES", 1_000_000):
            after = 0
            while after < owned.job.total:
                listing = await reader.read_results(owned.job, after, 0.0)
                after = listing.following
        # Each text takes over 200,000 bytes, so that twelve don't fit.
        self.assertEqual(sum(map(len, reader._results_by_job.values())), 0)

    def test_a_page_is_bounded_as_it_is_sent(self) -> None:
        # Pages were bounded in characters, and longer than callers take.
        for name, character in self.CHARACTERS.items():
            with self.subTest(name):
                found = [
                    records.Result(
                        f"i{number}", records.COMPLETED, character * 50_000
                    )
                    for number in range(30)
                ]
                page = owner_messages.select_page(found, 0)
                listing = owner_messages.Listing(30, len(page), page)
                body = batch_calls.PlatformBatchDialect().write_listing(listing)
                self.assertGreater(len(page), 1)
                self.assertLessEqual(len(body), MAX_PAGE_BYTES)


def make_reader(store: base.Store) -> results.Reader:
    """Return a reader that reads only from the store."""
    directory = registry.create_directory(
        mirror.create_mirror(store, registry.MEMBERS_PREFIX)
    )
    return results.create_reader(
        store, directory, lambda name: False, site_lib.make_budget()
    )


async def read_ids(store: base.Store, job: records.Job) -> list[str]:
    reader = make_reader(store)
    listing = await reader.read_results(job, 0, 0.0)
    assert listing.following == len(listing.results)
    return [one.id for one in listing.results]


class LookupTest(unittest.IsolatedAsyncioTestCase):
    """Guards against a connection to the store for each unknown job."""

    async def test_lookups_at_the_same_time_are_bounded(self) -> None:
        store = make_store()
        read = store.read
        running = 0
        largest = 0

        async def read_slowly(key: str) -> Any:
            nonlocal running, largest
            running += 1
            largest = max(largest, running)
            await anyio.sleep(0.01)
            running -= 1
            return await read(key)

        with mock.patch.object(store, "read", read_slowly):
            reader = make_reader(store)
            async with anyio.create_task_group() as tasks:
                for number in range(3 * results.MAX_LOOKUPS):
                    tasks.start_soon(reader.find_job, f"j{number}", "w")
        self.assertEqual(largest, results.MAX_LOOKUPS)


class FakeRegistration:
    """A registration whose lease is set by the test."""

    def __init__(self) -> None:
        self.lease = 0

    def is_valid(self) -> bool:
        return bool(self.lease)


class Harness:
    """An owner with stand-in endpoints and a store in memory."""

    def __init__(
        self, names: str = "ef", budget: memory_budget.Budget | None = None
    ) -> None:
        self.store = make_store()
        self.catalog = site_lib.make_catalog()
        self.endpoints = [endpoint.create_endpoint(name) for name in names]
        self.loads = loads.create_loads()
        self.placement = placement_lib.create_placement(
            self.loads,
            failures.create_failures(),
            site_lib.make_endpoint_limits(registry.Role.BATCH),
            draining.create_draining_endpoints(),
            "z1",
            {"z1": "r1", "z3": "r2"},
        )
        self.pool = upstream.create_pool(0.5)
        self.quarantine = quarantine.create_quarantine()
        self.watched = mirror.create_mirror(
            self.store, records.OPEN, batch_delay_s=0.01
        )
        self.member = registry.Member(
            "a",
            registry.Role.BATCH,
            "z1",
            "r1",
            "127.0.0.1:1",
            "127.0.0.1:2",
            1,
        )
        self.directory = registry.create_directory(
            mirror.create_mirror(self.store, registry.MEMBERS_PREFIX)
        )
        self.directory.members_by_name["a"] = self.member
        self.registration = FakeRegistration()
        registration: Any = self.registration
        self.owner = owner_lib.create_owner(
            self.store,
            self.watched,
            self.member,
            self.directory,
            registration,
            dialect.PlatformDialect(),
            self.pool,
            self.placement,
            self.loads,
            self.quarantine,
            lambda: self.catalog,
            metrics_lib.create_metrics(),
            budget or site_lib.make_budget(),
        )
        self.reader = make_reader(self.store)

    async def wait(self, is_met: Callable[[], bool]) -> None:
        with anyio.fail_after(TIMEOUT_S):
            while not is_met():
                await anyio.sleep(0.01)

    async def read_all(self) -> dict[str, records.Result]:
        """Wait until the job is closed and return its results by item id."""
        with anyio.fail_after(TIMEOUT_S):
            while True:
                record = (
                    await self.store.read(f"{records.HEADS}{JOB}")
                ).value_or(None)
                if record and records.decode_head(record.value).is_closed:
                    break
                await anyio.sleep(0.02)
            record = (await self.store.read(f"{records.JOBS}{JOB}")).unwrap()
            assert record is not None
            job = records.decode_job(record.value)
            listing = await self.reader.read_results(job, 0, 0.0)
        return {one.id: one for one in listing.results}


@contextlib.asynccontextmanager
async def open_harness(
    *,
    slots: int = 8,
    names: str = "ef",
    budget: memory_budget.Budget | None = None,
) -> AsyncIterator[Harness]:
    harness = Harness(names, budget)
    async with anyio.create_task_group() as tasks:
        for one in harness.endpoints:
            await tasks.start(one.serve)
        harness.placement.set_endpoints(
            {
                one.name: catalog.Endpoint(
                    one.name, "engine", one.address, "z1", slots
                )
                for one in harness.endpoints
            }
        )
        lease = (await harness.store.grant_lease(60.0)).unwrap()
        harness.registration.lease = lease.lease
        tasks.start_soon(harness.watched.run)
        tasks.start_soon(harness.owner.run)
        try:
            yield harness
        finally:
            tasks.cancel_scope.cancel()
            await harness.pool.close()


class OwnerTest(unittest.IsolatedAsyncioTestCase):
    async def test_endpoint_faults(self) -> None:
        completed = records.COMPLETED
        for name, fault, state, text in (
            ("no fault", {}, completed, TEXT),
            ("cut inside an event", {"abort_after_events": 2}, completed, TEXT),
            ("full", {"is_overloaded": True}, completed, TEXT),
            ("unsigned", {"is_unsigned": True}, completed, TEXT),
            ("status 422", {"status": 422}, records.DEAD_LETTER, ""),
            ("status 500", {"status": 500}, records.DEAD_LETTER, ""),
            ("status 404", {"status": 404}, completed, TEXT),
        ):
            with self.subTest(name):
                async with open_harness() as harness:
                    for one in harness.endpoints:
                        one.behavior = endpoint.Behavior(**fault)
                    await submit(harness.store, 2)
                    if state == completed:
                        await anyio.sleep(0.3)
                        for one in harness.endpoints:
                            one.behavior = endpoint.Behavior()
                    found = await harness.read_all()
                    self.assertEqual(sorted(found), ["i0", "i1"])
                    for result in found.values():
                        self.assertEqual(
                            (result.state, result.text), (state, text)
                        )

    async def test_an_error_in_one_job_does_not_stop_the_others(self) -> None:
        load = ownership.OwnedJob.load

        async def fail(owned: ownership.OwnedJob) -> None:
            if owned.id == "broken":
                raise RuntimeError("injected")
            await load(owned)

        with mock.patch.object(ownership.OwnedJob, "load", fail):
            async with open_harness() as harness:
                await submission.submit(
                    harness.store,
                    make_call("broken"),
                    ROUTE,
                    site_lib.WORKSPACE,
                    split_items(make_large_items(1)),
                    1,
                )
                await submit(harness.store, 2)
                found = await harness.read_all()
        self.assertEqual(sorted(found), ["i0", "i1"])

    async def test_items_of_an_added_route_become_dead_letters(self) -> None:
        async with open_harness() as harness:
            harness.catalog = site_lib.make_catalog(
                [one for one in site_lib.ROUTES if one.prefix != "/batch/"]
            )
            await submit(harness.store, 2, config_version=2)
            await anyio.sleep(0.5)
            harness.catalog = site_lib.make_catalog(version=2)
            found = await harness.read_all()
            self.assertEqual(
                [one.state for one in found.values()], [records.COMPLETED] * 2
            )

    async def test_items_of_a_moved_route_run_at_the_old_service(self) -> None:
        async with open_harness() as harness:
            await submit(harness.store, 2, config_version=2)
            await anyio.sleep(0.5)
            self.assertEqual(sum(len(e.runs) for e in harness.endpoints), 0)
            harness.catalog = site_lib.make_catalog(version=2)
            await harness.read_all()

    async def test_a_failing_item_is_tried_max_attempts_times(self) -> None:
        async with open_harness() as harness:
            for one in harness.endpoints:
                one.behavior = endpoint.Behavior(status=500)
            await submit(harness.store, 1)
            await harness.read_all()
            runs = sum(len(one.runs) for one in harness.endpoints)
            self.assertEqual(runs, ROUTE.max_attempts)

    async def test_runs_of_an_item_share_no_connection(self) -> None:
        # A late copy of a failure on a connection that the item used again
        # counted as a further failure.
        async with open_harness(names="e") as harness:
            harness.endpoints[0].behavior = endpoint.Behavior(status=500)
            await submit(harness.store, 1)
            await harness.read_all()
            self.assertEqual(harness.pool.opened, ROUTE.max_attempts)

    async def test_one_failing_endpoint_causes_no_dead_letter(self) -> None:
        async with open_harness() as harness:
            harness.endpoints[0].behavior = endpoint.Behavior(status=500)
            await submit(harness.store, 6)
            found = await harness.read_all()
            states = {one.state for one in found.values()}
            self.assertEqual(states, {records.COMPLETED})

    async def test_items_of_a_job_whose_load_fails_are_listed_once(
        self,
    ) -> None:
        # Items that started while a load was under way, which then failed,
        # were loaded and listed a second time.
        async with open_harness() as harness:
            harness.store.faults.delay_s = 0.05
            harness.store.faults.failing_reads_by_key = {
                records.get_items_key(JOB, 3): 1
            }
            await submit(harness.store, items=make_large_items(7))
            with anyio.fail_after(TIMEOUT_S):
                await harness.read_all()
            self.assertEqual(await self.read_count(harness.store), 7)

    async def test_a_job_that_is_not_loaded_is_not_read_from_its_owner(
        self,
    ) -> None:
        # A process that had taken a job over answered reads of positions that
        # had been read before as empty, until it had read the results.
        async with open_harness() as harness:
            for one in harness.endpoints:
                one.behavior = endpoint.Behavior(event_delay_s=0.5)
            harness.store.faults.failing_reads_by_key = {
                records.get_items_key(JOB, 0): 3
            }
            await submit(harness.store)
            await harness.wait(lambda: bool(harness.owner.find_job(JOB)))
            found = harness.owner.find_job(JOB)
            assert found is not None
            # Only a job that is not loaded has no item that is left to run.
            self.assertFalse(found.is_finished())

    async def test_an_output_too_large_for_a_result_waits_for_its_retention(
        self,
    ) -> None:
        # Its result was rejected by the store, and it was given up at once.
        async with open_harness() as harness:
            for one in harness.endpoints:
                one.behavior = endpoint.Behavior(events=400)
            with (
                mock.patch.object(base, "MAX_VALUE_BYTES", 2_000),
                mock.patch.object(
                    records, "MAX_TEXT_BYTES", 1_000, create=True
                ),
            ):
                await submit(harness.store, 1, retention_s=3.0)
                await anyio.sleep(2.0)
                self.assertEqual(await self.read_count(harness.store), 0)
                (result,) = (await harness.read_all()).values()
            self.assertEqual(result.state, records.DEAD_LETTER)
            runs = sum(len(one.runs) for one in harness.endpoints)
            self.assertEqual(runs, ROUTE.max_attempts)

    async def test_an_endless_output_of_one_endpoint_costs_no_item(
        self,
    ) -> None:
        # The item was held until its retention ended, or its result began with
        # the endless output.
        async with open_harness() as harness:
            first, second = harness.endpoints
            first.behavior = endpoint.Behavior(
                endless=(
                    b"HTTP/1.1 200 OK\r\nresponse-signature: 1\r\n\r\n",
                    b"data: more\n\n" * 1_000,
                )
            )
            harness.loads.set_peer_counts("other", {second.name: 4}, {})
            await submit(harness.store, 1)
            await harness.wait(lambda: bool(first.endless_bytes))
            await harness.wait(lambda: not first.endless_calls)
            harness.loads.set_peer_counts("other", {first.name: 4}, {})
            (result,) = (await harness.read_all()).values()
            self.assertEqual(
                (result.state, result.text), (records.COMPLETED, TEXT)
            )

    async def read_count(self, store: base.Store) -> int:
        """Return the number of results in the store."""
        record = (await store.read(f"{records.HEADS}{JOB}")).unwrap()
        return records.decode_head(record.value).count() if record else 0

    async def test_a_preempted_item_resumes(self) -> None:
        async with open_harness(slots=4) as harness:
            for one in harness.endpoints:
                one.behavior = endpoint.Behavior(events=40, event_delay_s=0.02)
            await submit(harness.store, 4)
            await harness.wait(lambda: harness.owner.count_running() == 4)
            await anyio.sleep(0.2)
            # A burst of online requests fills every slot.
            harness.loads.set_peer_counts("front", {"e": 4, "f": 4}, {})
            await harness.wait(lambda: not harness.owner.count_running())
            harness.loads.set_peer_counts("front", {}, {})
            found = await harness.read_all()
            whole = "\n".join(f"word-{number}" for number in range(1, 41))
            self.assertEqual({one.text for one in found.values()}, {whole})
            firsts = [
                run.first for one in harness.endpoints for run in one.runs
            ]
            self.assertGreater(max(firsts), 1)

    async def test_an_own_stale_claim_is_replaced(self) -> None:
        async with open_harness() as harness:
            # The claim is held by this process, which no longer tracks the job.
            claim = base.Write(
                f"{records.CLAIMS}{JOB}", b"a 1", harness.registration.lease
            )
            await harness.store.commit(base.Transaction((), (claim,)))
            await submit(harness.store, 2)
            self.assertEqual(len(await harness.read_all()), 2)

    async def test_a_cancelled_job_stops(self) -> None:
        async with open_harness() as harness:
            for one in harness.endpoints:
                one.behavior = endpoint.Behavior(
                    events=1000, event_delay_s=0.02
                )
            await submit(harness.store, 3)
            await harness.wait(lambda: harness.owner.count_running() == 3)
            outcome = await submission.cancel(
                harness.store, make_call("end"), JOB
            )
            self.assertEqual(outcome, submission.Outcome.DONE)
            with anyio.fail_after(2.0):
                while harness.owner.count_running():
                    await anyio.sleep(0.01)
            self.assertFalse(
                any(
                    run.is_ended
                    for one in harness.endpoints
                    for run in one.runs
                )
            )

    async def test_a_cancelled_job_that_is_announced_again_stays_cancelled(
        self,
    ) -> None:
        async with open_harness() as harness:
            for one in harness.endpoints:
                one.behavior = endpoint.Behavior(
                    events=1000, event_delay_s=0.02
                )
            await submit(harness.store, 3)
            await harness.wait(lambda: harness.owner.count_running() == 3)
            record = (await harness.store.read(f"{records.JOBS}{JOB}")).unwrap()
            assert record is not None
            await submission.cancel(harness.store, make_call("end"), JOB)
            await harness.wait(lambda: not harness.owner.count_running())
            await anyio.sleep(0.5)
            runs = sum(len(one.runs) for one in harness.endpoints)
            harness.owner.add_job(
                records.decode_job(record.value), record.revision
            )
            await anyio.sleep(0.5)
            self.assertEqual(
                sum(len(one.runs) for one in harness.endpoints), runs
            )

    async def test_the_store_is_down_while_items_run(self) -> None:
        for name, field, value in (
            ("down", "is_down", True),
            ("losing replies", "lost_replies", 5),
        ):
            with self.subTest(name):
                async with open_harness() as harness:
                    for one in harness.endpoints:
                        one.behavior = endpoint.Behavior(event_delay_s=0.1)
                    await submit(harness.store, 3)
                    await harness.wait(
                        lambda: harness.owner.count_running() == 3
                    )
                    setattr(harness.store.faults, field, value)
                    await anyio.sleep(1.0)
                    harness.store.faults.is_down = False
                    found = await harness.read_all()
                    self.assertEqual(len(found), 3)
                    runs = sum(len(one.runs) for one in harness.endpoints)
                    self.assertEqual(runs, 3)

    async def test_a_drain_commits_running_items(self) -> None:
        async with open_harness() as harness:
            for one in harness.endpoints:
                one.behavior = endpoint.Behavior(event_delay_s=0.1)
            await submit(harness.store, 3)
            await harness.wait(lambda: harness.owner.count_running() == 3)
            await harness.owner.drain(deadlines.after(5.0))
            self.assertEqual(harness.owner.count_running(), 0)
            self.assertEqual(len(await harness.read_all()), 3)

    async def test_a_drained_process_releases_its_claims(self) -> None:
        async with open_harness() as harness:
            for one in harness.endpoints:
                one.behavior = endpoint.Behavior(
                    events=1000, event_delay_s=0.02
                )
            await submit(harness.store, 3)
            await harness.wait(lambda: harness.owner.count_running() == 3)
            await harness.owner.drain(deadlines.after(0.3))
            await harness.owner.release_claims()
            claim = await harness.store.read(f"{records.CLAIMS}{JOB}")
            self.assertIsNone(claim.unwrap())
            await harness.wait(lambda: not harness.owner.count_running())
            # The job stays open, so that another process can claim it.
            still = await harness.store.read(f"{records.OPEN_JOBS}{JOB}")
            self.assertIsNotNone(still.unwrap())


class SchedulingTest(unittest.TestCase):
    def test_items_that_can_be_on_time_are_ranked_first(self) -> None:
        now = 100.0
        late = scheduling.rank_item(103.0, 5.0, now)
        nearly_done = scheduling.rank_item(103.0, 1.0, now)
        early = scheduling.rank_item(110.0, 5.0, now)
        later = scheduling.rank_item(118.0, 5.0, now)
        self.assertEqual(
            sorted([late, later, early, nearly_done]),
            [nearly_done, early, later, late],
        )

    def test_items_leave_spare_slots(self) -> None:
        near = catalog.Endpoint("near", "engine", "a:1", "z1", 8)
        far = catalog.Endpoint("far", "engine", "a:2", "z2", 8)
        region = catalog.Endpoint("region", "engine", "a:3", "z3", 8)
        for name, used, wanted in (
            ("all idle", {}, "near"),
            ("near has one item", {"near": 1}, "near"),
            ("near is half full", {"near": 4}, "far"),
            ("near is full", {"near": 8}, "far"),
            ("the region is full", {"near": 8, "far": 8}, "region"),
            ("all full", {"near": 8, "far": 8, "region": 8}, None),
        ):
            with self.subTest(name):
                table = loads.create_loads()
                table.set_peer_counts("p", used, {})
                placement = placement_lib.create_placement(
                    table,
                    failures.create_failures(),
                    site_lib.make_endpoint_limits(registry.Role.BATCH),
                    draining.create_draining_endpoints(),
                    "z1",
                    {"z1": "r1", "z2": "r1", "z3": "r2"},
                )
                placement.set_endpoints(
                    {one.id: one for one in (near, far, region)}
                )
                found = scheduling.choose_endpoint(placement, table, "engine")
                self.assertEqual(found and found.id, wanted)

    def test_excess_items_are_counted(self) -> None:
        where = catalog.Endpoint("e", "engine", "a:1", "z1", 8)
        for online, batch, excess in (
            (0, 8, 0),
            (3, 5, 0),
            (4, 5, 1),
            (9, 2, 2),
            (9, 0, 0),
        ):
            table = loads.create_loads()
            table.set_peer_counts("p", {"e": online}, {"e": batch})
            self.assertEqual(scheduling.count_excess(table, where), excess)
