"""Deduplicates calls that are repeated with the same `Idempotency-Key`.

For a call that must run at most once, the key is written to the store before
the call is sent, and the response after it. A repeated call, at any entry,
receives the stored response, or a conflict if the outcome of the first call
is unknown. Repeatable calls are not recorded.
"""

import secrets
from typing import Final

import msgspec
from returns import result
import xxhash

from eelgrassgate import outcomes
from eelgrassgate.store import base as store_base

HEADER: Final = "idempotency-key"
KEY_PREFIX: Final = "/eelgrassgate/idempotency/"
RETENTION_S: Final = 86_400.0
MAX_RECORDED_BODY_BYTES: Final = 65_536
MAX_KEY_CHARS: Final = 255


class Record(msgspec.Struct, frozen=True):
    """A claimed idempotency key, with the response once there is one.

    Attributes:
        call: Digest of the call; a key may be used for one call only.
        token: Random token of the entry that claimed the key.
        status: HTTP status of the response, 0 while there is none.
        content_type: Media type of the response.
        body: Body of the response.
        is_kept: Whether the response was small enough to be stored.
    """

    call: str
    token: str
    status: int = 0
    content_type: str = ""
    body: bytes = b""
    is_kept: bool = True


class Claim(msgspec.Struct, frozen=True):
    """The right of this entry to send a call once."""

    key: str
    record: Record
    revision: int
    lease: int


class StoredResponse(msgspec.Struct, frozen=True):
    """The stored response to an earlier request of the same call."""

    status: int
    content_type: str
    body: bytes


Decision = Claim | StoredResponse


def compute_digest(method: str, path: str, body: bytes) -> str:
    """Return the digest of a call."""
    state = xxhash.xxh3_128()
    for part in (method.encode(), path.encode(), body):
        state.update(len(part).to_bytes(8))
        state.update(part)
    return state.hexdigest()


class IdempotencyStore:
    """Records calls that must run at most once."""

    def __init__(self, store: store_base.Store) -> None:
        """Keep the records in `store`."""
        self._store = store

    async def claim(
        self, workspace: str, key: str, call: str
    ) -> result.Result[Decision, outcomes.Refusal]:
        """Claim the right to send a call, or return its stored response.

        Args:
            workspace: The caller's workspace.
            key: The caller's `Idempotency-Key`.
            call: The digest of the call.
        """
        if len(key) > MAX_KEY_CHARS:
            return _fail(outcomes.Code.BAD_REQUEST, "The key is too long.")
        granted = await self._store.grant_lease(RETENTION_S)
        if isinstance(granted, result.Failure):
            return _fail_store()
        lease = granted.unwrap().lease
        digest = xxhash.xxh3_128_hexdigest(key.encode())
        name = f"{KEY_PREFIX}{workspace}/{digest}"
        record = Record(call, secrets.token_hex(8))
        decision = await self._write_claim(name, record, lease)
        is_claimed = isinstance(decision, result.Success) and isinstance(
            decision.unwrap(), Claim
        )
        if not is_claimed:
            await self._store.revoke_lease(lease)
        return decision

    async def record_response(
        self, claim: Claim, stored_response: StoredResponse
    ) -> None:
        """Store the response; if that fails, the outcome stays unknown."""
        is_kept = len(stored_response.body) <= MAX_RECORDED_BODY_BYTES
        record = msgspec.structs.replace(
            claim.record,
            status=stored_response.status,
            content_type=stored_response.content_type,
            body=stored_response.body if is_kept else b"",
            is_kept=is_kept,
        )
        write = store_base.Write(
            claim.key, msgspec.json.encode(record), claim.lease
        )
        precondition = store_base.Precondition(claim.key, claim.revision)
        await self._store.commit(
            store_base.Transaction((precondition,), (write,))
        )

    async def release(self, claim: Claim) -> None:
        """Drop the claim of a call that has not run, so it can be retried."""
        precondition = store_base.Precondition(claim.key, claim.revision)
        delete = store_base.Delete(claim.key)
        await self._store.commit(
            store_base.Transaction((precondition,), (delete,))
        )
        await self._store.revoke_lease(claim.lease)

    async def _write_claim(
        self, name: str, record: Record, lease: int
    ) -> result.Result[Decision, outcomes.Refusal]:
        write = store_base.Write(name, msgspec.json.encode(record), lease)
        precondition = store_base.Precondition(name, 0)
        committed = await self._store.commit(
            store_base.Transaction((precondition,), (write,))
        )
        if isinstance(committed, result.Failure):
            # The call has not been sent. If the claim cannot be read now, the
            # caller's retry determines whether it was written.
            error: store_base.StoreError = committed.failure()
            if error.fault is store_base.Fault.UNKNOWN:
                return await self._check_claim(name, record, lease)
            return _fail_store()
        commit = committed.unwrap()
        if commit.is_done:
            return result.Success(Claim(name, record, commit.revision, lease))
        return _resolve_duplicate(commit.found[0], record)

    async def _check_claim(
        self, name: str, record: Record, lease: int
    ) -> result.Result[Decision, outcomes.Refusal]:
        read = await self._store.read(name)
        if isinstance(read, result.Failure):
            return _fail_store()
        found = read.unwrap()
        if found is None:
            return _fail_store()
        stored = msgspec.json.decode(found.value, type=Record)
        if stored.token == record.token:
            return result.Success(Claim(name, record, found.revision, lease))
        return _resolve_duplicate(found, record)


def _resolve_duplicate(
    found: store_base.Record, record: Record
) -> result.Result[Decision, outcomes.Refusal]:
    stored = msgspec.json.decode(found.value, type=Record)
    if stored.call != record.call:
        return _fail(
            outcomes.Code.CONFLICT,
            "The Idempotency-Key was used for another call.",
        )
    if stored.status and stored.is_kept:
        return result.Success(
            StoredResponse(stored.status, stored.content_type, stored.body)
        )
    refusal = outcomes.refuse_unknown(
        outcomes.Code.CONFLICT,
        "The call was sent before and its outcome is unknown.",
    )
    return result.Failure(refusal)


def _fail(
    code: outcomes.Code, message: str
) -> result.Result[Decision, outcomes.Refusal]:
    return result.Failure(outcomes.refuse(code, message))


def _fail_store() -> result.Result[Decision, outcomes.Refusal]:
    refusal = outcomes.refuse(
        outcomes.Code.STORE_UNAVAILABLE,
        "The call cannot be recorded now, so it was not sent.",
        1.0,
    )
    return result.Failure(refusal)
