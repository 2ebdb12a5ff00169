"""Property tests of a job's ledger under commits, losses and takeovers."""

import unittest

import anyio
from hypothesis import given
from hypothesis import settings
from hypothesis import strategies
from returns import result

from eelgrassgate.jobs import active_jobs
from eelgrassgate.jobs import chunk_stores
from eelgrassgate.jobs import commits
from eelgrassgate.jobs import keys
from eelgrassgate.jobs import ledgers
from eelgrassgate.jobs import packing
from eelgrassgate.jobs import records
from eelgrassgate.jobs import slots
from eelgrassgate.store import base
from eelgrassgate.store import faulty
from eelgrassgate.store import memory
from tests.matrix import virtual_time

ITEMS = 12

ACTIONS = strategies.one_of(
    strategies.tuples(
        strategies.just("add"),
        strategies.integers(0, 2),
        strategies.integers(0, ITEMS - 1),
    ),
    strategies.tuples(
        strategies.sampled_from(
            ["commit", "lose reply", "take over", "intend"]
        ),
        strategies.integers(0, 2),
        strategies.integers(0, ITEMS - 1),
    ),
    strategies.tuples(
        strategies.just("outage"), strategies.just(0), strategies.just(0)
    ),
)


class _Owner:
    """An instance with a committer and, after a claim, an active job."""

    def __init__(self, name: str, store: base.Store, seed: int) -> None:
        self.name = name
        self.store = store
        self.settled: set[str] = set()
        self.runtime = virtual_time.create_runtime(seed)
        self.committer = commits.create_committer(
            store,
            chunk_stores.create_chunk_store(store),
            self.runtime,
            self.settled.update,
            lambda: 1.0,
        )
        self.active_job: active_jobs.ActiveJob | None = None


class LedgerTest(unittest.TestCase):
    @settings(derandomize=True, max_examples=60, deadline=None)
    @given(strategies.lists(ACTIONS, max_size=40))
    def test_any_order_keeps_the_invariants(
        self, actions: list[tuple[str, int, int]]
    ) -> None:
        virtual_time.run(self._run, actions)

    async def _run(self, actions: list[tuple[str, int, int]]) -> None:
        inner = memory.create_memory_store(anyio.current_time)
        store = faulty.create_faulty_store(inner, clock=anyio.current_time)
        job = records.Job(
            "j", "w", "f", "/", ITEMS, 0.0, 0.0, 0.0, False, "s", "c"
        )
        owners = [_Owner(f"e{n}", store, n) for n in range(3)]
        seen: dict[int, records.Outcome] = {}
        started: set[int] = set()
        async with anyio.create_task_group() as tasks:
            for owner in owners:
                tasks.start_soon(owner.committer.run)
            await self._take_over(store, owners[0], job)
            for action, who, index in actions:
                await self._act(store, owners[who], job, action, index)
                await self._check(inner, owners, seen, started)
            store.faults.is_down = False
            await anyio.sleep(10)
            await self._check(inner, owners, seen, started)
            for owner in owners:
                if owner.active_job and not owner.active_job.slot.is_lost:
                    self.assertTrue(owner.active_job.is_flushed)
            tasks.cancel_scope.cancel()

    async def _act(
        self,
        store: faulty.FaultyStore,
        owner: _Owner,
        job: records.Job,
        action: str,
        index: int,
    ) -> None:
        if action == "take over":
            await self._take_over(store, owner, job)
        elif action == "lose reply":
            store.faults.lost_replies += 1
        elif action == "outage":
            store.faults.is_down = not store.faults.is_down
        elif action == "commit":
            await anyio.sleep(1.5)
        elif owner.active_job and action == "intend":
            owner.active_job.request_start((index,))
        elif owner.active_job:
            outcome = records.Outcome(
                index, f"c{index}", 200, owner.name.encode()
            )
            owner.committer.add_outcome(owner.active_job, outcome)

    async def _take_over(
        self, store: faulty.FaultyStore, owner: _Owner, job: records.Job
    ) -> None:
        """Claim the slot; the former owner is not notified."""
        if store.faults.is_down:
            return
        key = keys.format_owner(0)
        answer = await store.commit(
            base.Transaction((), (base.Write(key, owner.name.encode()),))
        )
        if not isinstance(answer, result.Success):
            return
        if owner.active_job:
            owner.active_job.slot.mark_lost()
            owner.committer.remove_job(owner.active_job)
        kept = (await store.read(keys.format_ledger("w", "j"))).unwrap()
        owner.active_job = active_jobs.ActiveJob(
            slots.Slot(0, answer.unwrap().revision, 0.0),
            job,
            0,
            records.decode(kept.value, records.LedgerRecord) if kept else None,
            kept.revision if kept else 0,
        )
        owner.committer.add_job(owner.active_job)

    async def _check(
        self,
        inner: memory.MemoryStore,
        owners: list[_Owner],
        seen: dict[int, records.Outcome],
        started: set[int],
    ) -> None:
        """Check that the store has lost, duplicated or changed nothing."""
        holder = (await inner.read(keys.format_owner(0))).unwrap()
        for owner in owners:
            if holder and owner.active_job:
                slot = owner.active_job.slot
                is_holder = slot.fence == holder.revision
                self.assertFalse(is_holder and slot.is_lost)
        kept = (await inner.read(keys.format_ledger("w", "j"))).unwrap()
        if kept is None:
            self.assertEqual({}, seen)
            return
        record = records.decode(kept.value, records.LedgerRecord)
        ledger = ledgers.create_ledger(ITEMS, record)
        found: list[records.Outcome] = []
        for chunk in range(record.chunks):
            data = await inner.read(keys.format_result("w", "j", chunk))
            result_chunk = data.unwrap()
            assert result_chunk is not None
            found.extend(packing.unpack_outcomes(result_chunk.value))
        by_index = {outcome.index: outcome for outcome in found}
        self.assertEqual(len(found), len(by_index))
        self.assertEqual(record.done, len(found))
        self.assertEqual(
            set(by_index), set(filter(ledger.is_done, range(ITEMS)))
        )
        for index, outcome in seen.items():
            self.assertEqual(outcome, by_index[index])
        seen.update(by_index)
        now_started = set(filter(ledger.is_started, range(ITEMS)))
        self.assertLessEqual(started, now_started)
        started.update(now_started)
        settled = set().union(*(owner.settled for owner in owners))
        self.assertLessEqual(settled, {f"j/{index}" for index in seen})


if __name__ == "__main__":
    unittest.main()
