"""Batch jobs from their acceptance to their last result, under faults."""

from collections.abc import AsyncIterator
from collections.abc import Callable
import contextlib
from typing import Any
from typing import Final
import unittest

import anyio

from eelgrassgate import deadlines
from eelgrassgate.batches import owner as owner_lib
from eelgrassgate.batches import ownership
from eelgrassgate.batches import records
from eelgrassgate.batches import results
from eelgrassgate.batches import scheduling
from eelgrassgate.batches import submission
from eelgrassgate.gateway import calls
from eelgrassgate.gateway import catalog
from eelgrassgate.gateway import metrics as metrics_lib
from eelgrassgate.gateway import placement as placement_lib
from eelgrassgate.http1 import upstream
from eelgrassgate.peering import failures
from eelgrassgate.peering import loads
from eelgrassgate.peering import registry
from eelgrassgate.platform import dialect
from eelgrassgate.standins import endpoint
from eelgrassgate.store import base
from eelgrassgate.store import faulty
from eelgrassgate.store import memory
from eelgrassgate.store import mirror
from tests import site as site_lib

PATIENCE_S: Final = 15.0
JOB: Final = "job-1"
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
        b"",
        deadlines.after(remaining_s),
    )


def make_items(count: int) -> tuple[calls.BatchItem, ...]:
    return tuple(
        calls.BatchItem(f"i{number}", f"/batch/{number}", {"Model": "m"}, b"q")
        for number in range(count)
    )


def make_store() -> faulty.FaultyStore:
    return faulty.create_faulty_store(
        memory.create_memory_store(progress_s=0.02)
    )


async def submit(
    store: base.Store, count: int = 3, workspace: str = site_lib.WORKSPACE
) -> submission.Outcome:
    accepted = await submission.submit(
        store, make_call(), ROUTE, workspace, make_items(count)
    )
    return accepted.outcome


class SubmissionTest(unittest.IsolatedAsyncioTestCase):
    async def test_outcomes(self) -> None:
        done = submission.Outcome.DONE
        for name, script, before, outcome in (
            ("calm", {}, 0, done),
            ("again", {}, 1, done),
            ("a lost answer", {"lost_replies": 1}, 0, done),
            ("two lost answers", {"lost_replies": 2}, 0, done),
            ("down", {"is_down": True}, 0, submission.Outcome.NOT_DONE),
        ):
            with self.subTest(name):
                store = make_store()
                for _ in range(before):
                    await submit(store)
                for field, value in script.items():
                    setattr(store.script, field, value)
                self.assertEqual(await submit(store), outcome)
                store.script.is_down = False
                page = (await store.read_range(records.JOBS)).unwrap()
                self.assertEqual(len(page.records), int(outcome is done))

    async def test_another_workspace_can_not_take_an_id(self) -> None:
        store = make_store()
        await submit(store)
        self.assertEqual(
            await submit(store, workspace="other"), submission.Outcome.CONFLICT
        )

    async def test_a_large_job_is_kept_in_parts(self) -> None:
        store = make_store()
        large = tuple(
            calls.BatchItem(f"i{number}", "/batch/1", {}, b"x" * 300_000)
            for number in range(7)
        )
        accepted = await submission.submit(
            store, make_call(), ROUTE, site_lib.WORKSPACE, large
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


async def make_owned(store: base.Store) -> ownership.OwnedJob:
    record = (await store.read(f"{records.OPEN_JOBS}{JOB}")).unwrap()
    assert record is not None
    return ownership.create_owned_job(
        store, records.decode_job(record.value), record.revision
    )


async def claim_job(store: base.Store, owner: str = "a") -> ownership.OwnedJob:
    owned = await make_owned(store)
    lease = (await store.grant_lease(60.0)).unwrap().lease
    assert await owned.claim(owner, 1, lease)
    await owned.load()
    return owned


def end_one(owned: ownership.OwnedJob) -> str:
    progress = owned.waiting.pop(0)
    progress.texts.append(progress.item.id)
    owned.end(progress, records.COMPLETED, "")
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

    async def test_an_ended_job_is_not_claimed(self) -> None:
        store = make_store()
        await submit(store)
        owned = await make_owned(store)
        closing = base.Transaction((), ownership.make_closing(JOB))
        await store.commit(closing)
        lease = (await store.grant_lease(60.0)).unwrap().lease
        self.assertFalse(await owned.claim("a", 1, lease))
        # The same job sent again is accepted again, but not opened again.
        self.assertEqual(await submit(store), submission.Outcome.DONE)
        record = await store.read(f"{records.OPEN_JOBS}{JOB}")
        self.assertIsNone(record.unwrap())

    async def test_a_claim_whose_answer_was_lost_holds(self) -> None:
        store = make_store()
        await submit(store)
        lease = (await store.grant_lease(60.0)).unwrap().lease
        owned = await make_owned(store)
        store.script.lost_replies = 1
        with self.assertRaises(ownership.StoreFailedError):
            await owned.claim("a", 1, lease)
        self.assertTrue(await owned.claim("a", 1, lease))

    async def test_a_restarted_process_replaces_its_claim(self) -> None:
        store = make_store()
        await submit(store)
        first = await claim_job(store)
        record = (await store.read(f"{records.CLAIMS}{JOB}")).unwrap()
        assert record is not None
        self.assertEqual(ownership.read_claim(record.value), ("a", 1))
        second = await make_owned(store)
        second.replace_claim(record.revision)
        lease = (await store.grant_lease(60.0)).unwrap().lease
        self.assertTrue(await second.claim("a", 2, lease))
        end_one(first)
        with self.assertRaises(ownership.LostError):
            await first.commit()

    async def test_results_stand_once_and_in_order(self) -> None:
        for name, lost in (("calm", 0), ("lost answers", 2)):
            with self.subTest(name):
                store = make_store()
                await submit(store)
                owned = await claim_job(store)
                ended = []
                while not owned.is_whole():
                    ended.append(end_one(owned))
                    store.script.lost_replies = lost
                    for _ in range(lost):
                        with self.assertRaises(ownership.StoreFailedError):
                            await owned.commit()
                    await owned.commit()
                    self.assertFalse(owned.has_news())
                self.assertFalse(owned.has_work_left())
                self.assertEqual(await read_ids(store, owned.job), ended)

    async def test_a_successor_goes_on_where_results_end(self) -> None:
        store = make_store()
        await submit(store)
        owned = await claim_job(store)
        first = end_one(owned)
        await owned.commit()
        claim = base.Transaction((), (base.Delete(f"{records.CLAIMS}{JOB}"),))
        await store.commit(claim)
        successor = await claim_job(store, "b")
        self.assertEqual(
            [one.item.id for one in successor.waiting], ["i1", "i2"]
        )
        second = end_one(successor)
        await successor.commit()
        # The former owner finds out before it lists anything.
        end_one(owned)
        with self.assertRaises(ownership.LostError):
            await owned.commit()
        self.assertEqual(await read_ids(store, owned.job), [first, second])

    async def test_a_lapsed_claim_is_made_anew(self) -> None:
        store = make_store()
        await submit(store)
        owned = await claim_job(store)
        end_one(owned)
        claim = base.Transaction((), (base.Delete(f"{records.CLAIMS}{JOB}"),))
        await store.commit(claim)
        await owned.commit()
        self.assertFalse(owned.is_claimed())
        lease = (await store.grant_lease(60.0)).unwrap().lease
        self.assertTrue(await owned.claim("a", 1, lease))
        await owned.commit()
        self.assertEqual(await read_ids(store, owned.job), ["i0"])

    async def test_a_commit_made_under_an_earlier_claim_is_made_anew(
        self,
    ) -> None:
        store = make_store()
        await submit(store)
        owned = await claim_job(store)
        end_one(owned)
        store.script.is_down = True
        with self.assertRaises(ownership.StoreFailedError):
            await owned.commit()
        store.script.is_down = False
        # The lease ended meanwhile, and the claim with it.
        claim = base.Transaction((), (base.Delete(f"{records.CLAIMS}{JOB}"),))
        await store.commit(claim)
        owned.forget_claim()
        lease = (await store.grant_lease(60.0)).unwrap().lease
        self.assertTrue(await owned.claim("a", 1, lease))
        while owned.has_news():
            await owned.commit()
        self.assertEqual(await read_ids(store, owned.job), ["i0"])


def make_reader(store: base.Store) -> results.Reader:
    """Return a reader that knows no owner to ask."""
    directory = registry.create_directory(
        mirror.create_mirror(store, registry.MEMBERS)
    )
    return results.create_reader(store, directory, lambda name: False)


async def read_ids(store: base.Store, job: records.Job) -> list[str]:
    reader = make_reader(store)
    listing = await reader.read_results(job, 0, 0.0)
    assert listing.following == len(listing.results)
    return [one.id for one in listing.results]


class Lease:
    """A registration whose lease a test sets."""

    def __init__(self) -> None:
        self.lease = 0


class World:
    """An owner with two endpoints and a store."""

    def __init__(self) -> None:
        self.store = make_store()
        self.endpoints = [endpoint.create_endpoint(name) for name in "ef"]
        self.loads = loads.create_loads()
        self.placement = placement_lib.create_placement(
            self.loads, failures.create_failures(), "z1", {"z1": "r1"}
        )
        self.pool = upstream.create_pool(0.5)
        self.watched = mirror.create_mirror(
            self.store, records.OPEN, gap_s=0.01
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
            mirror.create_mirror(self.store, registry.MEMBERS)
        )
        self.directory.members_by_name["a"] = self.member
        self.registration = Lease()
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
            site_lib.make_catalog,
            metrics_lib.create_metrics(),
        )
        self.reader = make_reader(self.store)

    async def wait(self, is_so: Callable[[], bool]) -> None:
        with anyio.fail_after(PATIENCE_S):
            while not is_so():
                await anyio.sleep(0.01)

    async def read_all(self) -> dict[str, records.Result]:
        """Wait until the job is closed and return its results by item."""
        with anyio.fail_after(PATIENCE_S):
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
async def open_world(*, slots: int = 8) -> AsyncIterator[World]:
    world = World()
    async with anyio.create_task_group() as tasks:
        for one in world.endpoints:
            await tasks.start(one.serve)
        world.placement.set_endpoints(
            {
                one.name: catalog.Endpoint(
                    one.name, "engine", one.address, "z1", slots
                )
                for one in world.endpoints
            }
        )
        lease = (await world.store.grant_lease(60.0)).unwrap()
        world.registration.lease = lease.lease
        tasks.start_soon(world.watched.run)
        tasks.start_soon(world.owner.run)
        try:
            yield world
        finally:
            tasks.cancel_scope.cancel()
            await world.pool.close()


class OwnerTest(unittest.IsolatedAsyncioTestCase):
    async def test_endpoints_fail(self) -> None:
        completed = records.COMPLETED
        for name, fault, state, text in (
            ("calm", {}, completed, TEXT),
            ("cut in an event", {"abort_after_events": 2}, completed, TEXT),
            ("full", {"is_overloaded": True}, completed, TEXT),
            ("unsigned", {"is_unsigned": True}, completed, TEXT),
            ("impossible", {"status": 422}, records.DEAD_LETTER, ""),
            ("failing", {"status": 500}, records.DEAD_LETTER, ""),
            ("refusing oddly", {"status": 404}, completed, TEXT),
        ):
            with self.subTest(name):
                async with open_world() as world:
                    for one in world.endpoints:
                        one.behavior = endpoint.Behavior(**fault)
                    await submit(world.store, 2)
                    if state == completed:
                        await anyio.sleep(0.3)
                        for one in world.endpoints:
                            one.behavior = endpoint.Behavior()
                    found = await world.read_all()
                    self.assertEqual(sorted(found), ["i0", "i1"])
                    for result in found.values():
                        self.assertEqual(
                            (result.state, result.text), (state, text)
                        )

    async def test_an_item_that_fails_is_tried_so_often(self) -> None:
        async with open_world() as world:
            for one in world.endpoints:
                one.behavior = endpoint.Behavior(status=500)
            await submit(world.store, 1)
            await world.read_all()
            runs = sum(len(one.runs) for one in world.endpoints)
            self.assertEqual(runs, ROUTE.max_attempts)

    async def test_one_failing_endpoint_ends_no_item(self) -> None:
        async with open_world() as world:
            world.endpoints[0].behavior = endpoint.Behavior(status=500)
            await submit(world.store, 6)
            found = await world.read_all()
            states = {one.state for one in found.values()}
            self.assertEqual(states, {records.COMPLETED})

    async def test_an_item_gives_way_and_goes_on(self) -> None:
        async with open_world(slots=4) as world:
            for one in world.endpoints:
                one.behavior = endpoint.Behavior(events=40, event_delay_s=0.02)
            await submit(world.store, 4)
            await world.wait(lambda: world.owner.count_running() == 4)
            await anyio.sleep(0.2)
            # A wave of online requests fills every slot.
            world.loads.set_peer("front", {"e": 4, "f": 4}, {})
            await world.wait(lambda: not world.owner.count_running())
            world.loads.set_peer("front", {}, {})
            found = await world.read_all()
            whole = "\n".join(f"word-{number}" for number in range(1, 41))
            self.assertEqual({one.text for one in found.values()}, {whole})
            firsts = [run.first for one in world.endpoints for run in one.runs]
            self.assertGreater(max(firsts), 1)

    async def test_a_claim_that_was_let_go_of_is_taken_up(self) -> None:
        async with open_world() as world:
            # This very process made it, and does not know of it any more.
            claim = base.Write(
                f"{records.CLAIMS}{JOB}", b"a 1", world.registration.lease
            )
            await world.store.commit(base.Transaction((), (claim,)))
            await submit(world.store, 2)
            self.assertEqual(len(await world.read_all()), 2)

    async def test_an_ended_job_stops(self) -> None:
        async with open_world() as world:
            for one in world.endpoints:
                one.behavior = endpoint.Behavior(
                    events=1000, event_delay_s=0.02
                )
            await submit(world.store, 3)
            await world.wait(lambda: world.owner.count_running() == 3)
            outcome = await submission.end(world.store, make_call("end"), JOB)
            self.assertEqual(outcome, submission.Outcome.DONE)
            with anyio.fail_after(2.0):
                while world.owner.count_running():
                    await anyio.sleep(0.01)
            self.assertFalse(
                any(run.is_ended for one in world.endpoints for run in one.runs)
            )

    async def test_an_ended_job_that_is_offered_again_stays_ended(
        self,
    ) -> None:
        async with open_world() as world:
            for one in world.endpoints:
                one.behavior = endpoint.Behavior(
                    events=1000, event_delay_s=0.02
                )
            await submit(world.store, 3)
            await world.wait(lambda: world.owner.count_running() == 3)
            record = (await world.store.read(f"{records.JOBS}{JOB}")).unwrap()
            assert record is not None
            await submission.end(world.store, make_call("end"), JOB)
            await world.wait(lambda: not world.owner.count_running())
            await anyio.sleep(0.5)
            runs = sum(len(one.runs) for one in world.endpoints)
            world.owner.offer(records.decode_job(record.value), record.revision)
            await anyio.sleep(0.5)
            self.assertEqual(
                sum(len(one.runs) for one in world.endpoints), runs
            )

    async def test_the_store_is_away_while_items_run(self) -> None:
        for name, field, value in (
            ("down", "is_down", True),
            ("losing answers", "lost_replies", 5),
        ):
            with self.subTest(name):
                async with open_world() as world:
                    for one in world.endpoints:
                        one.behavior = endpoint.Behavior(event_delay_s=0.1)
                    await submit(world.store, 3)
                    await world.wait(lambda: world.owner.count_running() == 3)
                    setattr(world.store.script, field, value)
                    await anyio.sleep(1.0)
                    world.store.script.is_down = False
                    found = await world.read_all()
                    self.assertEqual(len(found), 3)
                    runs = sum(len(one.runs) for one in world.endpoints)
                    self.assertEqual(runs, 3)

    async def test_a_drain_lists_what_runs(self) -> None:
        async with open_world() as world:
            for one in world.endpoints:
                one.behavior = endpoint.Behavior(event_delay_s=0.1)
            await submit(world.store, 3)
            await world.wait(lambda: world.owner.count_running() == 3)
            await world.owner.drain(deadlines.after(5.0))
            self.assertEqual(world.owner.count_running(), 0)
            self.assertEqual(len(await world.read_all()), 3)

    async def test_a_retired_process_gives_its_jobs_back(self) -> None:
        async with open_world() as world:
            for one in world.endpoints:
                one.behavior = endpoint.Behavior(
                    events=1000, event_delay_s=0.02
                )
            await submit(world.store, 3)
            await world.wait(lambda: world.owner.count_running() == 3)
            await world.owner.drain(deadlines.after(0.3))
            await world.owner.give_back()
            claim = await world.store.read(f"{records.CLAIMS}{JOB}")
            self.assertIsNone(claim.unwrap())
            await world.wait(lambda: not world.owner.count_running())
            # The job is open, so that another process takes it on.
            still = await world.store.read(f"{records.OPEN_JOBS}{JOB}")
            self.assertIsNotNone(still.unwrap())


class SchedulingTest(unittest.TestCase):
    def test_those_that_can_be_in_time_go_first(self) -> None:
        now = 100.0
        late = scheduling.rank(103.0, 5.0, now)
        nearly_done = scheduling.rank(103.0, 1.0, now)
        early = scheduling.rank(110.0, 5.0, now)
        later = scheduling.rank(118.0, 5.0, now)
        self.assertEqual(
            sorted([late, later, early, nearly_done]),
            [nearly_done, early, later, late],
        )

    def test_items_leave_room(self) -> None:
        near = catalog.Endpoint("near", "engine", "a:1", "z1", 8)
        far = catalog.Endpoint("far", "engine", "a:2", "z2", 8)
        region = catalog.Endpoint("region", "engine", "a:3", "z3", 8)
        for name, used, wanted in (
            ("all free", {}, "near"),
            ("a little busy but near", {"near": 1}, "near"),
            ("half full", {"near": 4}, "far"),
            ("near is full", {"near": 8}, "far"),
            ("one region is full", {"near": 8, "far": 8}, "region"),
            ("all full", {"near": 8, "far": 8, "region": 8}, None),
        ):
            with self.subTest(name):
                table = loads.create_loads()
                table.set_peer("p", used, {})
                placement = placement_lib.create_placement(
                    table,
                    failures.create_failures(),
                    "z1",
                    {"z1": "r1", "z2": "r1", "z3": "r2"},
                )
                placement.set_endpoints(
                    {one.id: one for one in (near, far, region)}
                )
                found = scheduling.find_room(placement, table, "engine")
                self.assertEqual(found and found.id, wanted)

    def test_as_many_give_way_as_are_too_many(self) -> None:
        where = catalog.Endpoint("e", "engine", "a:1", "z1", 8)
        for online, batch, excess in (
            (0, 8, 0),
            (3, 5, 0),
            (4, 5, 1),
            (9, 2, 2),
            (9, 0, 0),
        ):
            table = loads.create_loads()
            table.set_peer("p", {"e": online}, {"e": batch})
            self.assertEqual(scheduling.count_excess(table, where), excess)
