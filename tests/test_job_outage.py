"""Active jobs during a store outage: bounded buffers, pause, no loss."""

import unittest
from unittest import mock

import anyio

from eelgrassgate.jobs import commits
from eelgrassgate.jobs import files
from eelgrassgate.jobs import membership
from eelgrassgate.jobs import owner
from eelgrassgate.jobs import records
from eelgrassgate.jobs import results
from eelgrassgate.jobs import submission
from eelgrassgate.store import faulty
from eelgrassgate.store import memory
from tests import test_jobs
from tests.matrix import agents
from tests.matrix import virtual_time

ITEMS = 1_200
DOWN_AT_S = 10.0
POLL_SLACK_S = 10.0
MAX_ITEMS_IN_FLIGHT = 64

# By name: bound on buffered bytes, outage in seconds, and the latest start of
# an item in seconds after the outage began.
CASES = {
    "buffered bytes": (20_000, 100.0, 60.0),
    "time": (32_000_000, 500.0, membership.MAX_OFFLINE_S + POLL_SLACK_S),
}


class OutageTest(unittest.TestCase):
    def test_jobs_continue_within_bounds_and_lose_nothing(self) -> None:
        for name, (held, down_s, last_s) in CASES.items():
            with (
                self.subTest(name),
                mock.patch.object(commits, "MAX_BUFFERED_BYTES", held),
            ):
                virtual_time.run(self._run, down_s, last_s)

    async def _run(self, down_s: float, last_s: float) -> None:
        runtime = virtual_time.create_runtime(1)
        store = faulty.create_faulty_store(
            memory.create_memory_store(anyio.current_time),
            clock=anyio.current_time,
        )
        lines = [test_jobs.make_line(f"c{i}") for i in range(ITEMS)]
        file = await files.receive_file(
            store,
            "desk",
            test_jobs.iterate(b"\n".join(lines), 100_000),
            test_jobs.LIMITS,
            runtime=runtime,
        )
        request = submission.JobRequest(
            "desk", file.unwrap().file, test_jobs.URL
        )
        answer = await submission.create_job(
            store, request, test_jobs.LIMITS, runtime=runtime
        )
        job = answer.unwrap()
        async with anyio.create_task_group() as tasks:
            fleet = agents.Fleet(tasks)
            worker = owner.create_owner(
                store,
                "e1",
                agents.Dispatcher(fleet),
                lambda: test_jobs.LIMITS,
                runtime=runtime,
            )
            tasks.start_soon(worker.run)
            await anyio.sleep(DOWN_AT_S)
            store.faults.is_down = True
            await anyio.sleep(down_s)
            self._check_starts(fleet, last_s)
            store.faults.is_down = False
            with anyio.fail_after(5_000):
                while True:
                    view = await submission.show_job(
                        store, "desk", job.job, runtime=runtime
                    )
                    if view.unwrap().record.state in records.ENDED:
                        break
                    await anyio.sleep(5)
            tasks.cancel_scope.cancel()
        found = await test_jobs.collect(
            results.stream_results(store, job, runtime=runtime)
        )
        names = [line["custom_id"] for line in found]
        self.assertEqual(ITEMS, len(names))
        self.assertEqual(ITEMS, len(set(names)))

    def _check_starts(self, fleet: agents.Fleet, last_s: float) -> None:
        during = [at for at, _ in fleet.starts if at > DOWN_AT_S + 1]
        self.assertGreater(len(during), MAX_ITEMS_IN_FLIGHT)
        # Items sent before the pause may still be queued at agents.
        sent_s = MAX_ITEMS_IN_FLIGHT / (agents.WINDOW * agents.AGENTS_PER_KIND)
        sent_s *= agents.ITEM_RUN_S
        self.assertLess(max(during), DOWN_AT_S + last_s + sent_s)
        self.assertLess(len(fleet.starts), ITEMS)


if __name__ == "__main__":
    unittest.main()
