"""Input files, submission, one owner, stalled jobs and retention."""

from collections.abc import AsyncIterator
import json
import unittest

import anyio
from returns import result

from eelgrassgate import outcomes
from eelgrassgate.config import fleet
from eelgrassgate.jobs import dispatch
from eelgrassgate.jobs import files
from eelgrassgate.jobs import owner
from eelgrassgate.jobs import records
from eelgrassgate.jobs import results
from eelgrassgate.jobs import retention
from eelgrassgate.jobs import submission
from eelgrassgate.store import memory
from tests.matrix import agents
from tests.matrix import virtual_time

LIMITS = fleet.Limits(file_bytes=2_000_000, job_items=5_000)
URL = "/v1/chat/completions"


def make_line(custom_id: str, url: str = URL, size: int = 1) -> bytes:
    return json.dumps(
        {
            "custom_id": custom_id,
            "method": "POST",
            "url": url,
            "body": {"model": "m", "text": "x" * size},
        }
    ).encode()


async def iterate(data: bytes, size: int = 1000) -> AsyncIterator[bytes]:
    for first in range(0, len(data), size):
        yield data[first : first + size]


async def collect(blocks: AsyncIterator[bytes]) -> list[dict[str, object]]:
    data = b"".join([block async for block in blocks])
    return [json.loads(line) for line in data.splitlines()]


GOOD = make_line("a")

BAD_FILES = {
    "broken line": (GOOD + b"\n{oops\n", "line 2"),
    "no custom_id": (b'{"method":"POST","url":"/x","body":{}}', "line 1"),
    "duplicate": (
        GOOD + b"\n\n" + GOOD,
        "line 3: custom_id 'a' is a duplicate",
    ),
    "long line": (GOOD + b"\n" + make_line("b", size=900_000), "line 2"),
    "too large": (make_line("b", size=700_000) + b"\n" * 1_500_000, "larger"),
    "too many": (
        b"\n".join(make_line(str(i)) for i in range(5_001)),
        "line 5001",
    ),
    "bad method": (GOOD.replace(b"POST", b"JUMP"), "line 1"),
    "no path": (GOOD.replace(b'"/v1', b'"v1'), "line 1"),
    "no object": (GOOD.replace(b'{"model"', b'[{"model"'), "line 1"),
    "not text": (b"\xff\xfe\x00", "line 1"),
    "empty": (b"\n\n", "no items"),
}


class FilesTest(unittest.TestCase):
    def test_invalid_files_are_refused_with_the_line(self) -> None:
        for name, (data, message) in BAD_FILES.items():
            with self.subTest(name):
                store = memory.create_memory_store()
                answer = virtual_time.run(
                    files.receive_file, store, "desk", iterate(data), LIMITS
                )
                refusal = answer.failure()
                self.assertIn(message, refusal.message)
                self.assertIs(refusal.ran, outcomes.RunStatus.NOT_RUN)

    def test_a_file_is_read_back_unchanged(self) -> None:
        data = b"\n".join(make_line(str(i), size=900) for i in range(1_500))

        async def check() -> None:
            store = memory.create_memory_store()
            answer = await files.receive_file(
                store, "desk", iterate(data), LIMITS
            )
            record = answer.unwrap()
            self.assertEqual(1_500, record.items)
            self.assertGreater(len(record.starts), 1)
            lines = await collect(files.read_file(store, record))
            self.assertEqual(
                [json.loads(line) for line in data.splitlines()], lines
            )

        virtual_time.run(check)


async def upload(store: memory.MemoryStore, data: bytes) -> records.FileRecord:
    answer = await files.receive_file(store, "desk", iterate(data), LIMITS)
    return answer.unwrap()


class SubmissionTest(unittest.TestCase):
    def test_repeated_requests_are_deduplicated(self) -> None:
        cases = {
            "same content": ("", "", True, 0.0),
            "same key": ("k", "k", True, 1e6),
            "other key": ("k", "l", False, 0.0),
            "after the window": (
                "",
                "",
                False,
                2 * submission.DEDUPLICATION_WINDOW_S,
            ),
        }
        for name, (first, second, is_same, wait_s) in cases.items():
            with self.subTest(name):
                jobs = virtual_time.run(self._send, first, second, wait_s)
                self.assertEqual(is_same, jobs[0].job == jobs[1].job)

    async def _send(
        self, first: str, second: str, wait_s: float
    ) -> list[records.Job]:
        runtime = virtual_time.create_runtime(1)
        store = memory.create_memory_store(anyio.current_time)
        jobs = []
        for key in (first, second):
            file = await upload(store, GOOD)
            request = submission.JobRequest(
                "desk", file.file, URL, idempotency_key=key
            )
            answer = await submission.create_job(
                store, request, LIMITS, runtime=runtime
            )
            jobs.append(answer.unwrap())
            await anyio.sleep(wait_s)
        return jobs

    def test_refusals(self) -> None:
        async def check() -> None:
            store = memory.create_memory_store()
            file = await upload(store, GOOD)
            for path, code in (
                ("/v1/chat", None),
                ("/v1/completions", outcomes.Code.BAD_REQUEST),
                ("/v1/cha", outcomes.Code.BAD_REQUEST),
            ):
                request = submission.JobRequest("desk", file.file, path)
                answer = await submission.create_job(store, request, LIMITS)
                self.assertEqual(code, _get_code(answer))
            other = submission.JobRequest("other", file.file, URL)
            answer = await submission.create_job(store, other, LIMITS)
            self.assertEqual(outcomes.Code.NOT_FOUND, _get_code(answer))

        virtual_time.run(check)

    def test_items_under_a_prefix_are_not_repeatable(self) -> None:
        cases = {
            "exact endpoint": (("/svc/a", "/svc/a?b=1"), "/svc/a", True),
            "a prefix": (("/svc/a",), "/svc", False),
            "several paths": (("/svc/a", "/svc/b"), "/svc", False),
        }
        for name, (paths, endpoint, is_repeatable) in cases.items():
            with self.subTest(name):
                job = virtual_time.run(self._create, paths, endpoint)
                self.assertEqual(is_repeatable, job.is_repeatable)

    async def _create(
        self, paths: tuple[str, ...], endpoint: str
    ) -> records.Job:
        store = memory.create_memory_store(anyio.current_time)
        lines = [make_line(path, path) for path in paths]
        file = await upload(store, b"\n".join(lines))
        request = submission.JobRequest("desk", file.file, endpoint)
        answer = await submission.create_job(store, request, LIMITS)
        return answer.unwrap()

    def test_a_key_used_for_another_request_is_a_conflict(self) -> None:
        async def check() -> None:
            store = memory.create_memory_store()
            codes = []
            for data in (GOOD, make_line("b")):
                file = await upload(store, data)
                request = submission.JobRequest(
                    "desk", file.file, URL, idempotency_key="k"
                )
                answer = await submission.create_job(store, request, LIMITS)
                codes.append(_get_code(answer))
            self.assertEqual([None, outcomes.Code.CONFLICT], codes)

        virtual_time.run(check)


def _get_code(
    answer: result.Result[records.Job, outcomes.Refusal],
) -> outcomes.Code | None:
    if isinstance(answer, result.Success):
        return None
    return answer.failure().code


class OwnerTest(unittest.TestCase):
    def test_a_job_runs_to_completion(self) -> None:
        for is_repeatable in (True, False):
            with self.subTest(is_repeatable=is_repeatable):
                virtual_time.run(self._run, is_repeatable)

    async def _run(self, is_repeatable: bool) -> None:
        runtime = virtual_time.create_runtime(1)
        store = memory.create_memory_store(anyio.current_time)
        async with anyio.create_task_group() as tasks:
            fleet_of_agents = agents.Fleet(tasks)
            worker = owner.create_owner(
                store,
                "e1",
                agents.Dispatcher(fleet_of_agents),
                lambda: LIMITS,
                runtime=runtime,
            )
            tasks.start_soon(worker.run)
            lines = [make_line(f"c{i}") for i in range(100)]
            file = await upload(store, b"\n".join(lines))
            request = submission.JobRequest(
                "desk", file.file, URL, is_repeatable=is_repeatable
            )
            job = (
                await submission.create_job(
                    store, request, LIMITS, runtime=runtime
                )
            ).unwrap()
            with anyio.fail_after(200):
                while True:
                    view = await submission.show_job(
                        store, "desk", job.job, runtime=runtime
                    )
                    if view.unwrap().state is records.State.COMPLETED:
                        break
                    await anyio.sleep(1)
            found = await collect(
                results.stream_results(store, job, runtime=runtime)
            )
            self.assertEqual(100, len({line["custom_id"] for line in found}))
            self.assertEqual(100, len(found))
            self.assertTrue(await worker.drain(anyio.current_time() + 10))
            tasks.cancel_scope.cancel()


class _FailingDispatcher(agents.Dispatcher):
    """A dispatcher for which one path always fails, one hangs, one raises."""

    async def run(self, item: dispatch.ItemCall) -> dispatch.ItemResult:
        if item.path == "/v1/failing":
            refusal = outcomes.refuse(outcomes.Code.ENDPOINT_FAILED, "failing")
            return dispatch.ItemResult("", 0, b"", refusal, True)
        if item.path == "/v1/raising":
            raise RuntimeError("an injected error")
        if item.path == "/v1/hanging":
            await anyio.sleep_forever()
        return await super().run(item)


class StallTest(unittest.TestCase):
    def test_jobs_at_failing_endpoints_do_not_block_others(self) -> None:
        for path in ("/v1/failing", "/v1/hanging", "/v1/raising"):
            with self.subTest(path):
                virtual_time.run(self._check, path)

    async def _check(self, bad: str) -> None:
        runtime = virtual_time.create_runtime(1)
        store = memory.create_memory_store(anyio.current_time)
        jobs = []
        for number in range(owner.MAX_ACTIVE_JOBS + 10):
            path = bad if number < owner.MAX_ACTIVE_JOBS else "/v1/healthy"
            file = await upload(store, make_line("a", path))
            request = submission.JobRequest(
                "desk",
                file.file,
                path,
                window_s=86_400.0 + number,
                idempotency_key=str(number),
            )
            answer = await submission.create_job(
                store, request, LIMITS, runtime=runtime
            )
            jobs.append(answer.unwrap())
        async with anyio.create_task_group() as tasks:
            worker = owner.create_owner(
                store,
                "e1",
                _FailingDispatcher(agents.Fleet(tasks)),
                lambda: LIMITS,
                runtime=runtime,
            )
            tasks.start_soon(worker.run)
            await anyio.sleep(150)
            tasks.cancel_scope.cancel()
        states = []
        for job in jobs:
            view = await submission.show_job(
                store, "desk", job.job, runtime=runtime
            )
            states.append(view.unwrap().state)
        done = [state is records.State.COMPLETED for state in states]
        self.assertEqual([False] * owner.MAX_ACTIVE_JOBS + [True] * 10, done)


class RetentionTest(unittest.TestCase):
    def test_exactly_what_has_expired_is_deleted(self) -> None:
        virtual_time.run(self._check)

    async def _check(self) -> None:
        runtime = virtual_time.create_runtime(1)
        store = memory.create_memory_store(anyio.current_time)
        sweeper = retention.create_sweeper(store, runtime, lambda: True)
        broken = files.receive_file(
            store, "desk", _abort_upload(), LIMITS, runtime=runtime
        )
        with self.assertRaises(ConnectionError):
            await broken
        file = await files.receive_file(
            store, "desk", iterate(GOOD), LIMITS, runtime=runtime
        )
        request = submission.JobRequest("desk", file.unwrap().file, URL)
        answer = await submission.create_job(
            store, request, LIMITS, runtime=runtime
        )
        job = answer.unwrap()
        async with anyio.create_task_group() as tasks:
            worker = owner.create_owner(
                store,
                "e1",
                agents.Dispatcher(agents.Fleet(tasks)),
                lambda: LIMITS,
                runtime=runtime,
            )
            tasks.start_soon(worker.run)
            await anyio.sleep(10)
            tasks.cancel_scope.cancel()
        for days, is_kept in ((6.9, True), (7.9, True), (8.1, False)):
            await anyio.sleep(days * 86_400 - anyio.current_time())
            for _ in range(3):
                await sweeper.sweep()
            view = await submission.show_job(
                store, "desk", job.job, runtime=runtime
            )
            self.assertEqual(is_kept, isinstance(view, result.Success))
            found = await store.read_range("jobs/input/")
            self.assertEqual(
                is_kept,
                any(
                    file.unwrap().file in r.key for r in found.unwrap().records
                ),
            )
        left = await store.read_range("jobs/")
        self.assertEqual((), left.unwrap().records)


async def _abort_upload() -> AsyncIterator[bytes]:
    for number in range(2_500):
        yield make_line(str(number)) + b"\n"
    raise ConnectionError


if __name__ == "__main__":
    unittest.main()
