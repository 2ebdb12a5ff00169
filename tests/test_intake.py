"""Jobs that are submitted while the store is away."""

from collections.abc import AsyncIterator
import contextlib
from typing import Any
from typing import Final
import unittest
from unittest import mock

import anyio
from returns import result

from eelgrassgate import deadlines
from eelgrassgate.batches import intake as intake_lib
from eelgrassgate.batches import records
from eelgrassgate.platform import kv
from eelgrassgate.standins import kv as kv_standin
from eelgrassgate.store import base
from eelgrassgate.store import contact as contact_lib
from eelgrassgate.store import faulty
from eelgrassgate.store import memory
from tests import loopback
from tests import site as site_lib
from tests import test_decisions
from tests import test_forwarding

TIMEOUT_S: Final = 5.0
# Long enough for no call to be answered during a test.
SILENT_S: Final = 30.0
WRITE: Final = base.Transaction((), (base.Write("a", b"1"),))


class ContactTest(unittest.TestCase):
    def setUp(self) -> None:
        self.clock = test_decisions.Clock()
        self.contact = contact_lib.create_contact(self.clock)

    def test_store_is_lost_once_calls_are_unanswered_for_long(self) -> None:
        for name, steps, is_lost, silence_s in (
            ("no call yet", "wait", False, 0.0),
            ("a call is unanswered", "call wait", True, 2.0),
            ("answered", "call wait answer", False, 0.0),
            ("a later call is answered", "call call wait answer", False, 0.0),
            ("further calls extend nothing", "call wait call", True, 2.0),
            ("unanswered again", "call answer call wait", True, 2.0),
        ):
            with self.subTest(name):
                self.setUp()
                for step in steps.split():
                    if step == "wait":
                        self.clock.now += 2.0 * contact_lib.LOST_AFTER_S
                    elif step == "call":
                        self.contact.record_call()
                    else:
                        self.contact.record_answer()
                self.assertEqual(self.contact.is_lost(), is_lost)
                self.assertEqual(self.contact.get_silence_s(), silence_s)


class KvContactTest(unittest.IsolatedAsyncioTestCase):
    async def test_silence_counts_from_the_first_unanswered_call(self) -> None:
        for name, faults, is_answered in (
            ("answered", {}, True),
            ("rejected with 503", {"is_down": True}, False),
            ("silent", {"delay_s": SILENT_S}, False),
            ("a write is done and not answered", {"lost_replies": 1}, False),
        ):
            with self.subTest(name):
                backend = faulty.create_faulty_store(
                    memory.create_memory_store()
                )
                async with loopback.serve(
                    kv_standin.create_app(backend)
                ) as url:
                    store = kv.create_kv_store(url.removeprefix("http://"))
                    for field, value in faults.items():
                        setattr(backend.faults, field, value)
                    with anyio.move_on_after(0.1):
                        await store.commit(WRITE)
                    silence_s = store.contact.get_silence_s()
                    self.assertEqual(silence_s == 0.0, is_answered)
                    backend.faults.is_down = False
                    backend.faults.delay_s = 0.0
                    (await store.read("a")).unwrap()
                    self.assertEqual(store.contact.get_silence_s(), 0.0)
                    await store.close()

    async def test_unreachable_store_is_silent(self) -> None:
        store = kv.create_kv_store("127.0.0.1:9")
        (await store.read("a")).failure()
        self.assertGreater(store.contact.get_silence_s(), 0.0)
        await store.close()


class RetryDelayTest(unittest.TestCase):
    def test_delay_fits_the_outage_and_the_caller(self) -> None:
        for name, silence_s, remaining_s, draw, expected_s in (
            ("as long as the outage so far", 0.8, 6.0, 0.0, 0.8),
            ("spread", 0.8, 6.0, 1.0, 0.6),
            ("no longer than the maximum", 5.0, 60.0, 0.0, 1.0),
            ("callers wait for a third of their time", 5.0, 2.4, 0.0, 0.8),
            ("no shorter than the minimum", 0.0, 6.0, 0.0, 0.5),
        ):
            with self.subTest(name):
                delay_s = intake_lib.choose_retry_delay(
                    silence_s, remaining_s, draw
                )
                self.assertAlmostEqual(delay_s, expected_s)


class RecordingStore(faulty.FaultyStore):
    """A store whose reads tell a contact whether they were answered."""

    contact: contact_lib.Contact
    clock: test_decisions.Clock

    async def read(self, key: str) -> Any:
        self.contact.record_call()
        answer = await super().read(key)
        if isinstance(answer, result.Success):
            self.contact.record_answer()
        return answer

    def lose(self) -> None:
        """Let a call be unanswered for 2 s."""
        self.contact.record_call()
        self.clock.now += 2.0


def make_lost_store() -> RecordingStore:
    """Return a silent store without an answer for 2 s."""
    store: Any = faulty.create_faulty_store(memory.create_memory_store())
    store.__class__ = RecordingStore
    store.clock = test_decisions.Clock()
    store.contact = contact_lib.create_contact(store.clock)
    store.lose()
    store.faults.delay_s = SILENT_S
    made: RecordingStore = store
    return made


@contextlib.asynccontextmanager
async def open_site(store: RecordingStore) -> AsyncIterator[site_lib.Site]:
    async with site_lib.open_site() as site:
        site.batches.submissions = store
        site.batches.intake = intake_lib.create_intake(store, store.contact)
        yield site


class IntakeTest(unittest.IsolatedAsyncioTestCase):
    async def submit(
        self, site: site_lib.Site, remaining_ms: int = 5_000
    ) -> site_lib.Response:
        with anyio.fail_after(TIMEOUT_S):
            return await site_lib.call(
                site.address,
                "/batch/1",
                body=test_forwarding.BATCH_BODY,
                remaining_ms=remaining_ms,
            )

    async def test_jobs_are_refused_at_once_while_the_store_is_lost(
        self,
    ) -> None:
        store = make_lost_store()
        async with open_site(store) as site:
            started_at = deadlines.now()
            response = await self.submit(site)
            took_s = deadlines.now() - started_at
        self.assertEqual(response.status, 503)
        # Without the refusal, it would take until the caller's deadline.
        self.assertLess(took_s, 1.0)
        self.assertGreater(float(response.headers[b"retry-after"]), 0.0)
        self.assertEqual(store.counts.writes, 0)

    async def test_jobs_are_accepted_once_the_store_is_back(self) -> None:
        store = make_lost_store()
        store.faults.delay_s = 0.0
        async with open_site(store) as site:
            self.assertEqual((await self.submit(site)).status, 202)
        self.assertFalse(store.contact.is_lost())
        page = (await store.read_range(records.JOBS)).unwrap()
        self.assertEqual(len(page.records), 1)

    async def test_job_that_may_have_been_written_is_not_refused_as_not_run(
        self,
    ) -> None:
        for name, is_lost in (
            ("the store is lost by then", True),
            ("the store rejects the repeated write", False),
        ):
            with self.subTest(name):
                store = make_lost_store()
                store.contact.record_answer()
                store.faults.delay_s = 0.0
                async with open_site(store) as site:
                    # No outcome is known by the caller's deadline.
                    store.faults.lost_replies = 1_000
                    response = await self.submit(site, remaining_ms=600)
                    self.assertEqual(response.status, 504)
                    store.faults.lost_replies = 0
                    store.faults.is_down = True
                    if is_lost:
                        store.lose()
                    self.assertEqual((await self.submit(site)).status, 504)
                    store.faults.is_down = False
                    store.contact.record_answer()
                    # The repeated job meets its own record.
                    self.assertEqual((await self.submit(site)).status, 202)

    async def test_job_that_is_written_meanwhile_is_not_refused_as_not_run(
        self,
    ) -> None:
        async with open_site(make_lost_store()) as site:
            intake = site.batches.intake

            async def check(deadline: float) -> float | None:
                intake.record_write("r1")
                return 0.5

            with mock.patch.object(intake, "check", check):
                self.assertEqual((await self.submit(site)).status, 504)

    async def test_one_read_checks_the_store_for_all_callers(self) -> None:
        store = make_lost_store()
        intake = intake_lib.create_intake(store, store.contact)
        delays: list[float | None] = []

        async def check() -> None:
            delays.append(await intake.check(deadlines.after(TIMEOUT_S)))

        async with anyio.create_task_group() as tasks:
            for _ in range(20):
                tasks.start_soon(check)
        self.assertEqual(len(delays), 20)
        self.assertNotIn(None, delays)
        self.assertEqual(store.counts.reads, 1)
