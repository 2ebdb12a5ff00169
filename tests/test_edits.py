from collections.abc import Awaitable
from collections.abc import Callable
import itertools
from typing import Any
import unittest
import unittest.mock

import anyio
from returns import result

from eelgrassgate.config import apply
from eelgrassgate.config import edit
from eelgrassgate.config import fleet as fleet_lib
from eelgrassgate.config import snapshot as snapshot_lib
from eelgrassgate.keys import grants
from eelgrassgate.store import base
from eelgrassgate.store import faulty
from eelgrassgate.store import memory

RATE = fleet_lib.Rate(per_second=1, burst=1)
RefusalKind = edit.RefusalKind


def create_fleet(
    *names: str, weight: float = 1.0, digest: str = ""
) -> fleet_lib.Fleet:
    keys = {}
    if digest:
        keys["file-key"] = fleet_lib.Key(digest=digest, workspace=names[0])
    return fleet_lib.Fleet(
        workspaces={
            name: fleet_lib.Workspace(rate=RATE, weight=weight)
            for name in names
        },
        keys=keys,
    )


class EditsTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self) -> None:
        self.memory = memory.create_memory_store()
        self.store = faulty.create_faulty_store(self.memory)
        self.ids = (f"edit-{n}" for n in itertools.count())

    async def apply(
        self, fleet: fleet_lib.Fleet, expected: int
    ) -> result.Result[edit.EditResult, edit.Refusal]:
        return await apply.apply(self.store, fleet, expected, next(self.ids))

    async def grant(
        self, name: str, workspace: str = "desk", digest: str = ""
    ) -> result.Result[edit.EditResult, edit.Refusal]:
        return await grants.grant(
            self.store, name, workspace, digest or "a" * 64, next(self.ids)
        )

    async def withdraw(
        self, name: str
    ) -> result.Result[edit.EditResult, edit.Refusal]:
        return await grants.withdraw(self.store, name, next(self.ids))

    async def read(self) -> snapshot_lib.Snapshot:
        return (await snapshot_lib.read(self.memory)).unwrap()

    async def test_stale_apply_reports_the_difference(self) -> None:
        (await self.apply(create_fleet("desk"), 0)).unwrap()
        (await self.apply(create_fleet("desk", weight=2.0), 1)).unwrap()
        refusal = (
            await self.apply(create_fleet("desk", weight=3.0), 1)
        ).failure()
        self.assertEqual(refusal.kind, RefusalKind.STALE)
        self.assertIn('"weight":2.0', refusal.findings[1].message)
        self.assertIn('"weight":3.0', refusal.findings[1].message)
        self.assertEqual((await self.read()).head.revision, 2)

    async def test_apply_keeps_keys_granted_after_its_revision(self) -> None:
        (await self.apply(create_fleet("desk"), 0)).unwrap()
        (await self.grant("k")).unwrap()
        (await self.apply(create_fleet("desk", "lab"), 1)).unwrap()
        fleet = (await self.read()).build_fleet()
        self.assertEqual(set(fleet.keys), {"k"})
        self.assertEqual(set(fleet.workspaces), {"desk", "lab"})

    async def test_refusals(self) -> None:
        (await self.apply(create_fleet("desk", digest="b" * 64), 0)).unwrap()
        (await self.grant("k")).unwrap()
        (await self.withdraw("file-key")).unwrap()
        cases: tuple[tuple[str, Callable[[], object], str], ...] = (
            ("unknown key", lambda: self.withdraw("kk"), "did you mean `k`"),
            ("name in use", lambda: self.grant("k"), "in use"),
            (
                "unknown workspace",
                lambda: self.grant("j", "dsk"),
                "did you mean `desk`",
            ),
            (
                "workspace with keys",
                lambda: self.apply(create_fleet("lab"), 3),
                "withdraw the key first",
            ),
            (
                "withdrawn key is applied again",
                lambda: self.apply(create_fleet("desk", digest="b" * 64), 3),
                "was withdrawn",
            ),
            (
                "revision that does not exist yet",
                lambda: self.apply(create_fleet("desk", "lab"), 9),
                "expected 9",
            ),
        )
        before = await self.read()
        for name, act, words in cases:
            with self.subTest(name):
                answer = await act()  # type: ignore[misc]
                messages = [f.message for f in answer.failure().findings]
                self.assertIn(words, " ".join(messages))
                self.assertEqual(await self.read(), before)

    async def test_concurrent_grants_are_all_kept(self) -> None:
        (await self.apply(create_fleet("desk"), 0)).unwrap()
        async with anyio.create_task_group() as tasks:
            for n in range(6):
                tasks.start_soon(self.grant, f"k{n}", "desk", f"{n}" * 64)
        self.assertEqual(len((await self.read()).build_fleet().keys), 6)
        self.assertEqual((await self.read()).head.revision, 7)

    async def test_only_one_of_two_concurrent_applies_succeeds(self) -> None:
        (await self.apply(create_fleet("desk"), 0)).unwrap()
        answers = []

        async def run(weight: float) -> None:
            fleet = create_fleet("desk", weight=weight)
            answers.append(await self.apply(fleet, 1))

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(run, 2.0)
            tasks.start_soon(run, 3.0)
        succeeded = [a for a in answers if isinstance(a, result.Success)]
        refusals = [a.failure().kind for a in answers if a not in succeeded]
        self.assertEqual((len(succeeded), refusals), (1, [RefusalKind.STALE]))

    async def test_edits_survive_lost_replies(self) -> None:
        """Each edit is applied exactly once when replies are lost."""
        steps: tuple[tuple[str, Callable[[], Any]], ...] = (
            ("first apply", lambda: self.apply(create_fleet("desk"), 0)),
            ("grant", lambda: self.grant("k")),
            ("apply", lambda: self.apply(create_fleet("desk", "lab"), 2)),
            ("withdraw", lambda: self.withdraw("k")),
        )
        for lost in range(3):
            self.setUp()
            for number, (name, act) in enumerate(steps, 1):
                with self.subTest(name, lost=lost):
                    self.store.faults.lost_replies = lost
                    done = (await act()).unwrap()
                    self.store.faults.lost_replies = 0
                    self.assertEqual(
                        done, edit.EditResult(number, is_changed=True)
                    )
                    head = (await self.read()).head
                    self.assertEqual(head.revision, number)

    async def test_edit_by_another_after_a_lost_reply_is_kept(self) -> None:
        """Another edit is committed between an attempt and its retry."""
        (await self.apply(create_fleet("desk"), 0)).unwrap()
        interleaving = InterleavingStore(
            self.memory, lambda: self.grant("other")
        )
        done = await grants.grant(interleaving, "k", "desk", "c" * 64, "own")
        self.assertEqual(done.unwrap().revision, 2)
        fleet = (await self.read()).build_fleet()
        self.assertEqual(set(fleet.keys), {"k", "other"})
        self.assertEqual((await self.read()).head.revision, 3)

    async def test_delayed_commit_is_not_repeated(self) -> None:
        """A commit with a lost reply takes effect after the next read."""
        delaying = DelayingStore(self.memory)
        done = await apply.apply(delaying, create_fleet("desk"), 0, "own")
        self.assertEqual(done.unwrap().revision, 1)
        self.assertEqual((await self.read()).head.revision, 1)
        self.assertEqual(len(delaying.delayed), 0)

    async def test_unavailable_store_is_reported(self) -> None:
        self.store.faults.is_down = True
        with unittest.mock.patch.object(edit, "MAX_BACKOFF_S", 0.001):
            answer = await self.apply(create_fleet("desk"), 0)
        self.assertEqual(answer.failure().kind, RefusalKind.UNAVAILABLE)


class InterleavingStore(faulty.FaultyStore):
    """Loses the reply of the first commit and then runs another action."""

    def __init__(
        self, inner: base.Store, act: Callable[[], Awaitable[object]]
    ) -> None:
        super().__init__(inner, faulty.Faults(), lambda: 0.0, 1.0)
        self.faults.lost_replies = 1
        self.act = act

    async def commit(
        self, transaction: base.Transaction
    ) -> result.Result[base.Commit, base.StoreError]:
        answer = await super().commit(transaction)
        if isinstance(answer, result.Failure):
            await self.act()
        return answer


class DelayingStore(faulty.FaultyStore):
    """Delays the first commit until the next one arrives."""

    def __init__(self, inner: base.Store) -> None:
        super().__init__(inner, faulty.Faults(), lambda: 0.0, 1.0)
        self.inner = inner
        self.delayed: list[base.Transaction] = []
        self.is_first = True

    async def commit(
        self, transaction: base.Transaction
    ) -> result.Result[base.Commit, base.StoreError]:
        if self.is_first:
            self.is_first = False
            self.delayed.append(transaction)
            return result.Failure(
                base.StoreError(base.Fault.UNKNOWN, "timed out")
            )
        while self.delayed:
            await self.inner.commit(self.delayed.pop())
        return await self.inner.commit(transaction)
