import time
import unittest

from returns import result

from eelgrassgate import outcomes
from eelgrassgate.callers import idempotency
from eelgrassgate.store import base
from eelgrassgate.store import faulty
from eelgrassgate.store import memory

REPLAY = idempotency.Replay(200, "text/plain", b"booked")
LARGE = idempotency.Replay(200, "text/plain", b"x" * 100_000)


async def begin(
    calls: idempotency.Calls, workspace: str, key: str, call: str
) -> object:
    """Return what was decided: `begun`, a replay, or a refusal's truth."""
    decided = await calls.begin(workspace, key, call)
    if isinstance(decided, result.Failure):
        refusal: outcomes.Refusal = decided.failure()
        return refusal.code, refusal.ran
    decision = decided.unwrap()
    return "begun" if isinstance(decision, idempotency.Begun) else decision


def make_down() -> faulty.FaultyStore:
    store = faulty.create_faulty_store(memory.create_memory_store())
    store.faults.is_down = True
    return store


def make_losing_lease() -> faulty.FaultyStore:
    store = faulty.create_faulty_store(memory.create_memory_store())
    store.faults.lost_replies = 1
    return store


class LosingClaim(faulty.FaultyStore):
    """Loses the reply to each transaction."""

    def __init__(self) -> None:
        super().__init__(
            memory.create_memory_store(), faulty.Faults(), time.monotonic, 6.0
        )

    async def commit(
        self, transaction: base.Transaction
    ) -> result.Result[base.Commit, base.StoreError]:
        self.faults.lost_replies = 1
        return await super().commit(transaction)


CONFLICT = outcomes.Code.CONFLICT
# Name, how the first call ended, then workspace, key, call and decision.
RESENT = (
    ("answered", REPLAY, ("desk", "k", "c"), REPLAY),
    ("in hand or lost", None, ("desk", "k", "c"), (CONFLICT, "unknown")),
    ("answer too large", LARGE, ("desk", "k", "c"), (CONFLICT, "unknown")),
    ("other call", REPLAY, ("desk", "k", "d"), (CONFLICT, "not_run")),
    ("other key", REPLAY, ("desk", "l", "c"), "begun"),
    ("other workspace", REPLAY, ("parish", "k", "c"), "begun"),
)


class IdempotencyTest(unittest.IsolatedAsyncioTestCase):
    async def test_a_call_sent_again(self) -> None:
        for name, replay, again, expected in RESENT:
            with self.subTest(name):
                calls = idempotency.Calls(memory.create_memory_store())
                first = await calls.begin("desk", "k", "c")
                begun = first.unwrap()
                assert isinstance(begun, idempotency.Begun)
                if replay:
                    await calls.finish(begun, replay)
                found = await begin(calls, *again)
                if isinstance(found, tuple):
                    found = (found[0], found[1].value)
                self.assertEqual(found, expected)

    async def test_a_call_that_has_not_run_may_be_sent_again(self) -> None:
        calls = idempotency.Calls(memory.create_memory_store())
        begun = (await calls.begin("desk", "k", "c")).unwrap()
        assert isinstance(begun, idempotency.Begun)
        await calls.forget(begun)
        self.assertEqual(await begin(calls, "desk", "k", "c"), "begun")

    async def test_store_faults(self) -> None:
        refused = (outcomes.Code.STORE_UNAVAILABLE, outcomes.Ran.NOT_RUN)
        cases = (
            ("store down", make_down, refused),
            ("reply to the lease lost", make_losing_lease, refused),
            ("reply to the claim lost", LosingClaim, "begun"),
        )
        for name, make_store, expected in cases:
            with self.subTest(name):
                calls = idempotency.Calls(make_store())
                found = await begin(calls, "desk", "k", "c")
                self.assertEqual(found, expected)
