import time
import unittest

from returns import result

from eelgrassgate import outcomes
from eelgrassgate.callers import idempotency
from eelgrassgate.store import base
from eelgrassgate.store import faulty
from eelgrassgate.store import memory

STORED_RESPONSE = idempotency.StoredResponse(200, "text/plain", b"booked")
LARGE_RESPONSE = idempotency.StoredResponse(200, "text/plain", b"x" * 100_000)


async def claim_call(
    idempotency_store: idempotency.IdempotencyStore,
    workspace: str,
    key: str,
    call: str,
) -> object:
    """Return `claimed`, the stored response, or a refusal's code and ran."""
    decided = await idempotency_store.claim(workspace, key, call)
    if isinstance(decided, result.Failure):
        refusal: outcomes.Refusal = decided.failure()
        return refusal.code, refusal.ran
    decision = decided.unwrap()
    return "claimed" if isinstance(decision, idempotency.Claim) else decision


def create_unreachable_store() -> faulty.FaultyStore:
    store = faulty.create_faulty_store(memory.create_memory_store())
    store.faults.is_down = True
    return store


def create_store_losing_lease_reply() -> faulty.FaultyStore:
    store = faulty.create_faulty_store(memory.create_memory_store())
    store.faults.lost_replies = 1
    return store


class ClaimReplyLosingStore(faulty.FaultyStore):
    """Loses the reply to every transaction."""

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
# Name, response to the first call, then workspace, key and call of the
# second one, and what it gets.
REPEATED_CALLS = (
    ("response stored", STORED_RESPONSE, ("desk", "k", "c"), STORED_RESPONSE),
    ("in flight or lost", None, ("desk", "k", "c"), (CONFLICT, "unknown")),
    (
        "response too large",
        LARGE_RESPONSE,
        ("desk", "k", "c"),
        (CONFLICT, "unknown"),
    ),
    ("other call", STORED_RESPONSE, ("desk", "k", "d"), (CONFLICT, "not_run")),
    ("other key", STORED_RESPONSE, ("desk", "l", "c"), "claimed"),
    ("other workspace", STORED_RESPONSE, ("parish", "k", "c"), "claimed"),
)


class IdempotencyTest(unittest.IsolatedAsyncioTestCase):
    async def test_repeated_call(self) -> None:
        for name, stored_response, again, expected in REPEATED_CALLS:
            with self.subTest(name):
                idempotency_store = idempotency.IdempotencyStore(
                    memory.create_memory_store()
                )
                first = await idempotency_store.claim("desk", "k", "c")
                claim = first.unwrap()
                assert isinstance(claim, idempotency.Claim)
                if stored_response:
                    await idempotency_store.record_response(
                        claim, stored_response
                    )
                found = await claim_call(idempotency_store, *again)
                if isinstance(found, tuple):
                    found = (found[0], found[1].value)
                self.assertEqual(found, expected)

    async def test_released_call_can_be_claimed_again(self) -> None:
        idempotency_store = idempotency.IdempotencyStore(
            memory.create_memory_store()
        )
        claim = (await idempotency_store.claim("desk", "k", "c")).unwrap()
        assert isinstance(claim, idempotency.Claim)
        await idempotency_store.release(claim)
        self.assertEqual(
            await claim_call(idempotency_store, "desk", "k", "c"), "claimed"
        )

    async def test_store_faults(self) -> None:
        refused = (outcomes.Code.STORE_UNAVAILABLE, outcomes.RunStatus.NOT_RUN)
        cases = (
            ("store down", create_unreachable_store, refused),
            (
                "reply to the lease lost",
                create_store_losing_lease_reply,
                refused,
            ),
            ("reply to the claim lost", ClaimReplyLosingStore, "claimed"),
        )
        for name, make_store, expected in cases:
            with self.subTest(name):
                idempotency_store = idempotency.IdempotencyStore(make_store())
                found = await claim_call(idempotency_store, "desk", "k", "c")
                self.assertEqual(found, expected)
