"""The memory budget: what is charged, refused, waits and is given back."""

import unittest

import anyio
import hypothesis
from hypothesis import strategies

from eelgrassgate import deadlines
from eelgrassgate import memory_budget

MB = memory_budget.BYTES_PER_MB
LIMIT = 10 * MB
LARGE = memory_budget.SMALL_BYTES + 1
REQUEST = memory_budget.Kind.REQUEST

_Step = tuple[str, int, int]
_STEPS = strategies.lists(
    strategies.tuples(
        strategies.sampled_from(
            ["try_grow", "grow", "shrink", "close", "cancel"]
        ),
        strategies.integers(0, 5),
        strategies.integers(0, 4 * MB),
    ),
    max_size=40,
)


class BudgetTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self) -> None:
        self.budget = memory_budget.Budget(LIMIT)

    def test_a_charge_beyond_the_limit_is_refused_whole(self) -> None:
        accounts = [self.budget.open(REQUEST, str(n)) for n in range(3)]
        charged = [one.try_grow(4 * MB) for one in accounts]
        self.assertEqual(charged, [True, True, False])
        self.assertEqual(self.budget.held_bytes, 8 * MB)
        self.assertEqual(self.budget.refused_by_kind[REQUEST], 1)

    def test_small_accounts_fit_while_large_ones_are_refused(self) -> None:
        while self.budget.open(REQUEST, "a").try_grow(LARGE):
            pass
        while self.budget.open(REQUEST, "b").try_grow(LARGE):
            pass
        self.assertTrue(self.budget.open(REQUEST, "a").try_grow(4_000))

    def test_one_holder_leaves_room_for_others(self) -> None:
        while self.budget.open(REQUEST, "a").try_grow(MB):
            pass
        self.assertTrue(self.budget.open(REQUEST, "b").try_grow(MB))

    def test_an_account_can_not_pass_the_share_of_its_holder(self) -> None:
        self.assertTrue(self.budget.can_ever_hold(5 * MB))
        self.assertFalse(self.budget.can_ever_hold(5 * MB + 1))

    async def test_a_charge_waits_until_memory_is_given_back(self) -> None:
        first = self.budget.open(REQUEST, "a")
        first.try_grow(5 * MB)
        second = self.budget.open(REQUEST, "a")
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(second.grow, MB, deadlines.after(5.0))
            await anyio.wait_all_tasks_blocked()
            self.assertEqual(second.held_bytes, 0)
            first.close()
        self.assertEqual(second.held_bytes, MB)

    async def test_a_small_charge_does_not_wait_behind_a_large_one(
        self,
    ) -> None:
        first = self.budget.open(REQUEST, "a")
        first.try_grow(5 * MB)
        waiting = self.budget.open(REQUEST, "a")
        small = self.budget.open(REQUEST, "a")
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(waiting.grow, MB, deadlines.after(5.0))
            await anyio.wait_all_tasks_blocked()
            self.assertTrue(await small.grow(4_000, deadlines.after(0.0)))
            tasks.cancel_scope.cancel()
        self.assertEqual(self.budget.count_waiting(), 0)

    async def test_a_holder_without_room_does_not_hold_up_others(self) -> None:
        self.budget.open(REQUEST, "a").try_grow(5 * MB)
        waiting = self.budget.open(REQUEST, "a")
        other = self.budget.open(REQUEST, "b")
        cache = self.budget.open(REQUEST, "cache")
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(waiting.grow, MB, deadlines.after(5.0))
            await anyio.wait_all_tasks_blocked()
            self.assertTrue(await other.grow(MB, deadlines.after(0.01)))
            self.assertTrue(cache.try_keep(MB))
            tasks.cancel_scope.cancel()

    async def test_a_charge_that_can_never_fit_is_refused_at_once(
        self,
    ) -> None:
        account = self.budget.open(REQUEST, "a")
        with anyio.fail_after(1.0):
            self.assertFalse(
                await account.grow(LIMIT + 1, deadlines.after(60.0))
            )

    async def test_a_charge_is_refused_at_its_deadline(self) -> None:
        self.budget.open(REQUEST, "a").try_grow(5 * MB)
        late = self.budget.open(REQUEST, "a")
        self.assertFalse(await late.grow(MB, deadlines.after(0.01)))
        self.assertEqual(self.budget.count_waiting(), 0)

    @hypothesis.settings(deadline=None, max_examples=60)
    @hypothesis.given(steps=_STEPS)
    def test_no_order_of_charges_leaks_or_passes_the_limit(
        self, steps: list[_Step]
    ) -> None:
        anyio.run(self.play, steps)

    async def play(self, steps: list[_Step]) -> None:
        budget = memory_budget.Budget(LIMIT)
        accounts = [budget.open(REQUEST, str(n % 3)) for n in range(6)]
        scopes: dict[int, anyio.CancelScope] = {}

        async def grow(number: int, size: int) -> None:
            with anyio.CancelScope() as scopes[number]:
                await accounts[number].grow(size, deadlines.after(60.0))

        async with anyio.create_task_group() as tasks:
            for action, number, size in steps:
                account = accounts[number]
                if action == "grow":
                    tasks.start_soon(grow, number, size)
                elif action == "try_grow":
                    account.try_grow(size)
                elif action == "shrink":
                    account.shrink(size)
                elif action == "close":
                    account.close()
                    accounts[number] = budget.open(REQUEST, account.holder)
                elif number in scopes:
                    scopes[number].cancel()
                await anyio.wait_all_tasks_blocked()
                self.assertLessEqual(budget.held_bytes, LIMIT)
            tasks.cancel_scope.cancel()
        for account in accounts:
            account.close()
        self.assertEqual(budget.held_bytes, 0)
        self.assertEqual(budget.count_waiting(), 0)
        self.assertEqual(set(budget.held_bytes_by_kind.values()), {0})
