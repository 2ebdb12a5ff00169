"""Complete batch processes on loopback, with a store in memory."""

from collections.abc import AsyncIterator
from collections.abc import Callable
import contextlib
from typing import Any
from typing import Final
import unittest

import anyio
import msgspec

from eelgrassgate.batches import daemon
from eelgrassgate.batches import results
from eelgrassgate.gateway import node
from eelgrassgate.gateway import settings
from eelgrassgate.peering import registry
from eelgrassgate.platform import batch_calls
from eelgrassgate.platform import dialect
from eelgrassgate.platform import documents
from eelgrassgate.store import base
from eelgrassgate.store import causes
from eelgrassgate.store import contact
from eelgrassgate.store import faulty
from eelgrassgate.store import memory
from eelgrassgate.store import mirror
from tests import loopback
from tests import site as site_lib
from tests import test_batches

TIMEOUT_S: Final = 10.0
# Time within which an unwanted report would be written.
QUIET_S: Final = 1.5


class DirectStore(faulty.FaultyStore):
    """A store that every process reaches directly, without relays."""

    contact = contact.create_contact()
    calls = causes.create_call_counts()

    def is_directly_reachable(self) -> bool:
        return True

    def set_relays(self, get_relays: Callable[[], tuple[str, ...]]) -> None:
        """Ignore relays; calls go to the store directly."""


def make_store() -> Any:
    made = faulty.create_faulty_store(
        memory.create_memory_store(progress_interval_s=0.02)
    )
    made.__class__ = DirectStore
    return made


def make_batch(store: Any, name: str) -> daemon.BatchDaemon:
    ports = loopback.find_free_ports(3)
    reports, relay, metrics = (f"127.0.0.1:{one}" for one in ports)
    own = settings.Node(
        name, "z1", "r1", {"z1": "r1"}, "", reports, relay, metrics, 2.0
    )
    adapters = node.PlatformAdapters(
        store,
        documents.PlatformDocuments(),
        dialect.PlatformDialect(),
        batch_calls.PlatformBatchDialect(),
    )
    return daemon.create_batch_daemon(own, adapters)


@contextlib.asynccontextmanager
async def open_batches(store: Any, *names: str) -> AsyncIterator[None]:
    stop = anyio.Event()
    async with anyio.create_task_group() as tasks:
        for name in names:
            tasks.start_soon(make_batch(store, name).run, stop)
        yield
        tasks.cancel_scope.cancel()


async def read_state(store: base.Store, instance: str) -> str:
    record = (await store.read(f"status/retire/{instance}")).unwrap()
    if record is None:
        return ""
    state: str = msgspec.json.decode(record.value)["state"]
    return state


class RetirementTest(unittest.IsolatedAsyncioTestCase):
    async def test_retirement_of_instances_with_and_without_a_process(
        self,
    ) -> None:
        store = make_store()
        async with open_batches(store, "a", "b"):
            with anyio.fail_after(TIMEOUT_S):
                for instance in ("a", "none"):
                    order = base.Write(
                        f"op/retire/{instance}",
                        msgspec.json.encode({"duration-s": 3.0}),
                    )
                    await store.commit(base.Transaction((), (order,)))
                for instance in ("a", "none"):
                    while await read_state(store, instance) != "completed":
                        await anyio.sleep(0.02)
            # No retirement of b was ordered, so none is reported.
            self.assertEqual(await read_state(store, "b"), "")

    async def test_a_process_without_a_complete_member_list_reports_no_other(
        self,
    ) -> None:
        store = make_store()
        order = base.Write(
            "op/retire/none", msgspec.json.encode({"duration-s": 3.0})
        )
        await store.commit(base.Transaction((), (order,)))
        one = make_batch(store, "a")
        async with anyio.create_task_group() as tasks:
            # The process is not registered, so its member list is empty.
            tasks.start_soon(one._node.discovery.run)
            tasks.start_soon(one._report_other_retirements)
            await anyio.sleep(QUIET_S)
            self.assertEqual(await read_state(store, "none"), "")
            tasks.cancel_scope.cancel()


class RecordTest(unittest.IsolatedAsyncioTestCase):
    async def test_the_record_of_an_open_job_is_read_from_its_owner(
        self,
    ) -> None:
        store = make_store()
        async with open_batches(store, "a"):
            watched = mirror.create_mirror(store, registry.MEMBERS_PREFIX)
            directory = registry.create_directory(watched)
            reader = results.create_reader(
                store, directory, lambda name: True, site_lib.make_budget()
            )
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(watched.run)
                await test_batches.submit(store, 1)
                with anyio.fail_after(TIMEOUT_S):
                    while not directory.members_by_name:
                        await anyio.sleep(0.02)
                    while True:
                        before = store.counts.reads
                        job = await reader.find_job(
                            test_batches.JOB, site_lib.WORKSPACE
                        )
                        if store.counts.reads == before:
                            break
                        # Retry until the batch process has seen the job.
                        reader = results.create_reader(
                            store,
                            directory,
                            lambda name: True,
                            site_lib.make_budget(),
                        )
                        await anyio.sleep(0.05)
                assert job is not None
                self.assertEqual(job.id, test_batches.JOB)
                # A cached job is visible only to its own workspace.
                self.assertIsNone(
                    await reader.find_job(test_batches.JOB, "another")
                )
                tasks.cancel_scope.cancel()
