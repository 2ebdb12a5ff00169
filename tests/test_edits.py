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
Kind = edit.Kind


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
    ) -> result.Result[edit.Done, edit.Refusal]:
        return await apply.apply(self.store, fleet, expected, next(self.ids))

    async def grant(
        self, name: str, workspace: str = "desk", digest: str = ""
    ) -> result.Result[edit.Done, edit.Refusal]:
        return await grants.grant(
            self.store, name, workspace, digest or "a" * 64, next(self.ids)
        )

    async def withdraw(
        self, name: str
    ) -> result.Result[edit.Done, edit.Refusal]:
        return await grants.withdraw(self.store, name, next(self.ids))

    async def read(self) -> snapshot_lib.Snapshot:
        return (await snapshot_lib.read(self.memory)).unwrap()

    async def test_a_stale_apply_shows_the_difference(self) -> None:
        (await self.apply(create_fleet("desk"), 0)).unwrap()
        (await self.apply(create_fleet("desk", weight=2.0), 1)).unwrap()
        refusal = (
            await self.apply(create_fleet("desk", weight=3.0), 1)
        ).failure()
        self.assertEqual(refusal.kind, Kind.STALE)
        self.assertIn('"weight":2.0', refusal.findings[1].message)
        self.assertIn('"weight":3.0', refusal.findings[1].message)
        self.assertEqual((await self.read()).head.revision, 2)

    async def test_keys_granted_meanwhile_stay(self) -> None:
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
                "withdrawn key comes back",
                lambda: self.apply(create_fleet("desk", digest="b" * 64), 3),
                "was withdrawn",
            ),
            (
                "revision never seen",
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

    async def test_racing_operators_lose_nothing(self) -> None:
        (await self.apply(create_fleet("desk"), 0)).unwrap()
        async with anyio.create_task_group() as tasks:
            for n in range(6):
                tasks.start_soon(self.grant, f"k{n}", "desk", f"{n}" * 64)
        self.assertEqual(len((await self.read()).build_fleet().keys), 6)
        self.assertEqual((await self.read()).head.revision, 7)

    async def test_two_applies_of_one_revision_make_one(self) -> None:
        (await self.apply(create_fleet("desk"), 0)).unwrap()
        answers = []

        async def run(weight: float) -> None:
            fleet = create_fleet("desk", weight=weight)
            answers.append(await self.apply(fleet, 1))

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(run, 2.0)
            tasks.start_soon(run, 3.0)
        won = [a for a in answers if isinstance(a, result.Success)]
        lost = [a.failure().kind for a in answers if a not in won]
        self.assertEqual((len(won), lost), (1, [Kind.STALE]))

    async def test_lost_replies_are_recognised_in_every_edit(self) -> None:
        """Each edit is made once, whatever happens to its replies."""
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
                    self.store.script.lost_replies = lost
                    done = (await act()).unwrap()
                    self.store.script.lost_replies = 0
                    self.assertEqual(done, edit.Done(number, is_changed=True))
                    head = (await self.read()).head
                    self.assertEqual(head.revision, number)

    async def test_others_edits_after_a_lost_reply_stay(self) -> None:
        """Someone else's change comes between the edit and its repetition."""
        (await self.apply(create_fleet("desk"), 0)).unwrap()
        busy = BusyStore(self.memory, lambda: self.grant("other"))
        done = await grants.grant(busy, "k", "desk", "c" * 64, "own")
        self.assertEqual(done.unwrap().revision, 2)
        fleet = (await self.read()).build_fleet()
        self.assertEqual(set(fleet.keys), {"k", "other"})
        self.assertEqual((await self.read()).head.revision, 3)

    async def test_a_late_change_is_not_made_twice(self) -> None:
        """The reply is lost, and the change takes effect while it is asked."""
        late = LateStore(self.memory)
        done = await apply.apply(late, create_fleet("desk"), 0, "own")
        self.assertEqual(done.unwrap().revision, 1)
        self.assertEqual((await self.read()).head.revision, 1)
        self.assertEqual(len(late.held_up), 0)

    async def test_a_store_that_is_down_changes_nothing(self) -> None:
        self.store.script.is_down = True
        with unittest.mock.patch.object(edit, "MAX_PAUSE_S", 0.001):
            answer = await self.apply(create_fleet("desk"), 0)
        self.assertEqual(answer.failure().kind, Kind.UNAVAILABLE)


class BusyStore(faulty.FaultyStore):
    """Loses the first commit's reply and lets someone else act then."""

    def __init__(
        self, inner: base.Store, act: Callable[[], Awaitable[object]]
    ) -> None:
        super().__init__(inner, faulty.Script(), lambda: 0.0, 1.0)
        self.script.lost_replies = 1
        self.act = act

    async def commit(
        self, transaction: base.Transaction
    ) -> result.Result[base.Commit, base.StoreError]:
        answer = await super().commit(transaction)
        if isinstance(answer, result.Failure):
            await self.act()
        return answer


class LateStore(faulty.FaultyStore):
    """Holds up the first commit until the next one arrives."""

    def __init__(self, inner: base.Store) -> None:
        super().__init__(inner, faulty.Script(), lambda: 0.0, 1.0)
        self.inner = inner
        self.held_up: list[base.Transaction] = []
        self.is_first = True

    async def commit(
        self, transaction: base.Transaction
    ) -> result.Result[base.Commit, base.StoreError]:
        if self.is_first:
            self.is_first = False
            self.held_up.append(transaction)
            return result.Failure(
                base.StoreError(base.Fault.UNKNOWN, "timed out")
            )
        while self.held_up:
            await self.inner.commit(self.held_up.pop())
        return await self.inner.commit(transaction)
