"""Contract tests of `store.base.Store`, run against every implementation."""

from collections import Counter
from collections.abc import AsyncIterator
from collections.abc import Awaitable
from collections.abc import Callable
import contextlib
from typing import Any
from typing import Final
import unittest

import anyio

from eelgrassgate.platform import kv
from eelgrassgate.standins import kv as kv_standin
from eelgrassgate.standins import store as standin
from eelgrassgate.store import base
from eelgrassgate.store import causes
from eelgrassgate.store import counted
from eelgrassgate.store import etcd
from eelgrassgate.store import faulty
from eelgrassgate.store import memory
from tests import loopback

PROGRESS_INTERVAL_S: Final = 0.02
TIMEOUT_S: Final = 10.0


class Clock:
    def __init__(self) -> None:
        self.now = 0.0

    def __call__(self) -> float:
        return self.now


class Fixture:
    """One implementation and the memory store that backs it."""

    def __init__(self) -> None:
        self.clock = Clock()
        self.memory = memory.create_memory_store(
            self.clock, PROGRESS_INTERVAL_S
        )
        self.backend = faulty.create_faulty_store(self.memory)
        self.store: base.Store = self.backend


@contextlib.asynccontextmanager
async def open_memory() -> AsyncIterator[Fixture]:
    yield Fixture()


@contextlib.asynccontextmanager
async def open_etcd() -> AsyncIterator[Fixture]:
    fixture = Fixture()
    async with loopback.serve(standin.create_app(fixture.backend)) as url:
        fixture.store = etcd.create_etcd_store(url)
        try:
            yield fixture
        finally:
            await fixture.store.close()


@contextlib.asynccontextmanager
async def open_kv() -> AsyncIterator[Fixture]:
    fixture = Fixture()
    async with loopback.serve(kv_standin.create_app(fixture.backend)) as url:
        store = kv.create_kv_store(
            url.removeprefix("http://"), long_poll_s=PROGRESS_INTERVAL_S
        )
        fixture.store = store
        try:
            yield fixture
        finally:
            await store.close()


async def put(store: base.Store, key: str, value: bytes, lease: int = 0) -> int:
    transaction = base.Transaction((), (base.Write(key, value, lease),))
    return (await store.commit(transaction)).unwrap().revision


async def collect(
    store: base.Store, prefix: str, revision: int, count: int
) -> list[base.Change]:
    """Return at least the first `count` changes of a watch."""
    seen: list[base.Change] = []
    watch: Any = store.watch(prefix, revision)
    with anyio.fail_after(TIMEOUT_S):
        async with contextlib.aclosing(watch):
            async for answer in watch:
                seen.extend(answer.unwrap().changes)
                if len(seen) >= count:
                    break
    return seen


async def check_absent(fixture: Fixture) -> None:
    assert (await fixture.store.read("a")).unwrap() is None


async def check_read_back(fixture: Fixture) -> None:
    first = await put(fixture.store, "a", b"\x00\xff")
    second = await put(fixture.store, "é", b"")
    assert second == first + 1
    record = (await fixture.store.read("a")).unwrap()
    assert record == base.Record("a", b"\x00\xff", first)
    empty = (await fixture.store.read("é")).unwrap()
    assert empty == base.Record("é", b"", second)


async def check_range(fixture: Fixture) -> None:
    for key in ("b/2", "a/1", "b/1", "b0", "b/3"):
        await put(fixture.store, key, key.encode())
    page = (await fixture.store.read_range("b/")).unwrap()
    assert [r.key for r in page.records] == ["b/1", "b/2", "b/3"]
    assert page.revision == fixture.memory.revision and not page.has_more
    page = (await fixture.store.read_range("b/", limit=2)).unwrap()
    assert len(page.records) == 2 and page.has_more
    page = (await fixture.store.read_range("b/", after="b/2")).unwrap()
    assert [r.key for r in page.records] == ["b/3"] and not page.has_more
    everything = (await fixture.store.read_range("")).unwrap()
    assert len(everything.records) == 5


async def check_compare_and_swap(fixture: Fixture) -> None:
    create = base.Transaction(
        (base.Precondition("a", 0),), (base.Write("a", b"1"),)
    )
    first = (await fixture.store.commit(create)).unwrap()
    assert first.is_done
    again = (await fixture.store.commit(create)).unwrap()
    assert not again.is_done and again.revision == first.revision
    assert again.found == (base.Record("a", b"1", first.revision),)
    swap = base.Transaction(
        (base.Precondition("a", first.revision), base.Precondition("b", 0)),
        (base.Write("a", b"2"), base.Write("b", b"3")),
    )
    assert (await fixture.store.commit(swap)).unwrap().is_done
    assert not (await fixture.store.commit(swap)).unwrap().is_done
    both = (await fixture.store.read_range("")).unwrap().records
    assert [r.value for r in both] == [b"2", b"3"]
    assert both[0].revision == both[1].revision


async def check_delete(fixture: Fixture) -> None:
    await put(fixture.store, "a", b"1")
    remove = base.Transaction((), (base.Delete("a"),))
    revision = (await fixture.store.commit(remove)).unwrap().revision
    again = (await fixture.store.commit(remove)).unwrap()
    assert again.is_done and again.revision == revision
    assert (await fixture.store.read("a")).unwrap() is None


async def check_lease(fixture: Fixture) -> None:
    lease = (await fixture.store.grant_lease(5.0)).unwrap()
    assert lease.ttl_s >= 5.0
    await put(fixture.store, "a", b"1", lease.lease)
    record = (await fixture.store.read("a")).unwrap()
    assert record is not None and record.lease == lease.lease
    fixture.clock.now = 4.0
    assert (await fixture.store.renew_lease(lease.lease)).unwrap() == lease
    fixture.clock.now = 8.0
    assert (await fixture.store.read("a")).unwrap() is not None
    fixture.clock.now = 9.5
    assert (await fixture.store.read("a")).unwrap() is None
    assert (await fixture.store.renew_lease(lease.lease)).unwrap() is None


async def check_revoke(fixture: Fixture) -> None:
    lease = (await fixture.store.grant_lease(5.0)).unwrap().lease
    await put(fixture.store, "a", b"1", lease)
    await put(fixture.store, "b", b"1", lease)
    await put(fixture.store, "b", b"2")
    (await fixture.store.revoke_lease(lease)).unwrap()
    page = (await fixture.store.read_range("")).unwrap()
    assert [r.key for r in page.records] == ["b"]


async def check_refused(fixture: Fixture) -> None:
    """Invalid transactions fail with `NOT_DONE` and have no effect.

    Those that fail whenever they are repeated are rejected.
    """
    large = b"x" * (base.MAX_VALUE_BYTES + 1)
    for changes, is_rejected in (
        ((base.Write("a", b"1"), base.Write("a", b"2")), True),
        ((base.Write("a", b"1", 77),), False),
        ((base.Write("a", large),), True),
    ):
        answer = await fixture.store.commit(base.Transaction((), changes))
        error = answer.failure()
        assert error.fault is base.Fault.NOT_DONE, error
        assert error.is_rejected is is_rejected, error
    assert (await fixture.store.read("a")).unwrap() is None


async def check_watch(fixture: Fixture) -> None:
    first = await put(fixture.store, "w/a", b"1")
    await put(fixture.store, "x", b"1")
    await fixture.store.commit(
        base.Transaction((), (base.Write("w/b", b""), base.Delete("w/a")))
    )
    past = await collect(fixture.store, "w/", first, 3)
    assert [(c.key, c.value) for c in past] == [
        ("w/a", b"1"),
        ("w/b", b""),
        ("w/a", None),
    ]
    assert [c.revision for c in past] == [first, first + 2, first + 2]
    later: list[base.Change] = []

    async def watch_later() -> None:
        later.extend(await collect(fixture.store, "w/", first + 3, 1))

    async with anyio.create_task_group() as group:
        group.start_soon(watch_later)
        await anyio.wait_all_tasks_blocked()
        await put(fixture.store, "w/c", b"2")
    assert [c.key for c in later] == ["w/c"]


async def check_watch_expiry(fixture: Fixture) -> None:
    lease = (await fixture.store.grant_lease(5.0)).unwrap().lease
    revision = await put(fixture.store, "a", b"1", lease)
    fixture.clock.now = 6.0
    seen = await collect(fixture.store, "", revision + 1, 1)
    assert seen == [base.Change("a", None, revision + 1)]


async def check_progress(fixture: Fixture) -> None:
    revision = await put(fixture.store, "a", b"1")
    watch: Any = fixture.store.watch("b", revision)
    with anyio.fail_after(TIMEOUT_S):
        async with contextlib.aclosing(watch):
            answer = (await anext(watch)).unwrap()
    assert answer == base.Changes((), revision)


async def check_compacted(fixture: Fixture) -> None:
    for value in (b"1", b"2", b"3"):
        revision = await put(fixture.store, "a", value)
    fixture.memory.compact(revision)
    watch: Any = fixture.store.watch("a", revision - 1)
    answers = [answer.unwrap() async for answer in watch]
    assert answers == [base.Compacted(revision)]
    assert len(await collect(fixture.store, "a", revision, 1)) == 1


async def check_down(fixture: Fixture) -> None:
    lease = (await fixture.store.grant_lease(5.0)).unwrap().lease
    fixture.backend.faults.is_down = True
    write = base.Transaction((), (base.Write("a", b"1"),))
    for answer in (
        await fixture.store.read("a"),
        await fixture.store.read_range(""),
        await fixture.store.commit(write),
        await fixture.store.grant_lease(5.0),
        await fixture.store.renew_lease(lease),
    ):
        assert answer.failure().fault in base.Fault
    watch: Any = fixture.store.watch("", 1)
    with anyio.fail_after(TIMEOUT_S):
        answers = [answer async for answer in watch]
    answers[-1].failure()
    fixture.backend.faults.is_down = False
    assert (await fixture.store.read("a")).unwrap() is None


async def check_lost_reply(fixture: Fixture) -> None:
    fixture.backend.faults.lost_replies = 1
    write = base.Transaction((), (base.Write("a", b"1"),))
    answer = await fixture.store.commit(write)
    assert answer.failure().fault is base.Fault.UNKNOWN
    record = (await fixture.store.read("a")).unwrap()
    assert record is not None and record.value == b"1"


Case = Callable[[Fixture], Awaitable[None]]
CASES: Final[tuple[Case, ...]] = (
    check_absent,
    check_read_back,
    check_range,
    check_compare_and_swap,
    check_delete,
    check_lease,
    check_revoke,
    check_refused,
    check_watch,
    check_watch_expiry,
    check_progress,
    check_compacted,
    check_down,
    check_lost_reply,
)


class ContractTest(unittest.IsolatedAsyncioTestCase):
    async def test_memory(self) -> None:
        await self.run_cases(open_memory)

    async def test_etcd(self) -> None:
        await self.run_cases(open_etcd)

    async def test_kv(self) -> None:
        await self.run_cases(open_kv)

    async def run_cases(self, open_fixture: Any) -> None:
        for case in CASES:
            with self.subTest(case.__name__):
                async with open_fixture() as fixture:
                    await case(fixture)


class MemoryTest(unittest.IsolatedAsyncioTestCase):
    async def test_history_is_bounded(self) -> None:
        store = memory.create_memory_store(
            progress_interval_s=PROGRESS_INTERVAL_S, min_kept_revisions=10
        )
        for index in range(100):
            await put(store, "a", str(index).encode())
        past: Any = store.watch("", 2)
        answers = [answer.unwrap() async for answer in past]
        (found,) = answers
        assert isinstance(found, base.Compacted)
        self.assertGreaterEqual(found.revision, store.revision - 20)
        count = store.revision - found.revision + 1
        kept = await collect(store, "", found.revision, count)
        self.assertEqual(kept[-1].value, b"99")


class FaultyTest(unittest.IsolatedAsyncioTestCase):
    async def test_silent_watch_times_out(self) -> None:
        clock = Clock()
        inner = memory.create_memory_store(
            progress_interval_s=PROGRESS_INTERVAL_S
        )
        store = faulty.create_faulty_store(
            inner, clock=clock, watch_timeout_s=3.0
        )
        watch: Any = store.watch("", 1)
        (await anext(watch)).unwrap()
        store.faults.is_watch_silent = True
        clock.now = 4.0
        answers = [answer async for answer in watch]
        self.assertEqual(len(answers), 1)
        answers[0].failure()
        self.assertEqual(store.counts.watches_open, 0)

    async def test_calls_and_bytes_are_counted(self) -> None:
        inner = memory.create_memory_store(
            progress_interval_s=PROGRESS_INTERVAL_S
        )
        store = faulty.create_faulty_store(inner)
        await put(store, "ab", b"123")
        await store.read("ab")
        await store.read_range("a")
        await collect(store, "a", 1, 1)
        counts = store.counts
        self.assertEqual((counts.reads, counts.writes), (2, 1))
        self.assertEqual((counts.bytes_written, counts.bytes_read), (5, 15))
        self.assertEqual((counts.watches_opened, counts.changes), (1, 1))


class FakeCounter:
    """Counts by name."""

    def __init__(self) -> None:
        self.by_name: Counter[str] = Counter()

    def count(self, name: str, workspace: str = "", amount: int = 1) -> None:
        self.by_name[name] += amount


class CountedTest(unittest.IsolatedAsyncioTestCase):
    async def test_calls_are_counted_and_forwarded(self) -> None:
        counter = FakeCounter()
        inner = memory.create_memory_store(
            progress_interval_s=PROGRESS_INTERVAL_S
        )
        store = counted.create_counted_store(inner, counter)
        lease = (await store.grant_lease(60.0)).unwrap().lease
        await put(store, "ab", b"123")
        found = (await store.read("ab")).unwrap()
        assert found is not None
        self.assertEqual(found.value, b"123")
        page = (await store.read_range("a")).unwrap()
        self.assertEqual(len(page.records), 1)
        await store.renew_lease(lease)
        await store.revoke_lease(lease)
        await collect(store, "a", 1, 1)
        expected = {"store_reads": 2, "store_writes": 4, "store_watches": 1}
        self.assertEqual(counter.by_name, expected)


class CausesTest(unittest.IsolatedAsyncioTestCase):
    async def test_each_long_poll_is_counted_by_its_prefix(self) -> None:
        """Guards against a watch that counts as one call, or not at all."""
        async with open_kv() as fixture:
            store: Any = fixture.store
            lease = (await store.grant_lease(60.0)).unwrap().lease
            await store.renew_lease(lease)
            await put(store, "eelgrassgate/members/a", b"1", lease)
            await store.read_range("eelgrassgate/members/")
            watch = store.watch("servers/", 2)
            async with contextlib.aclosing(watch):
                for _ in range(3):
                    await anext(watch)
        expected = {
            (causes.Operation.LEASE, "none"): 1,
            (causes.Operation.RENEWAL, "none"): 1,
            (causes.Operation.WRITE, "members"): 1,
            (causes.Operation.READ, "members"): 1,
            (causes.Operation.WATCH, "servers"): 3,
        }
        self.assertEqual(store.calls.by_cause, expected)

    async def test_one_poll_brings_all_changes_up_to_now(self) -> None:
        """Guards against a stand-in that sends each revision by itself.

        Readers that pause between polls then fall further and further behind.
        """
        async with open_kv() as fixture:
            store: Any = fixture.store
            revisions = [await put(store, "a", b"%d" % one) for one in range(3)]
            watch = store.watch("a", revisions[0])
            async with contextlib.aclosing(watch):
                found = (await anext(watch)).unwrap()
        self.assertEqual([one.revision for one in found.changes], revisions)
        self.assertEqual(found.revision, revisions[-1])
