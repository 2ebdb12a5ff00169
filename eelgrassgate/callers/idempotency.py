"""Calls that a caller sends again with the same `Idempotency-Key`.

For a call that may run only once, the key is recorded in the store before
the call is sent, and its answer after it. A call sent again, to whatever
entry, gets the recorded answer, or the truth that the first one's outcome is
not known. Repeatable calls need no record.
"""

import secrets
from typing import Final

import msgspec
from returns import result
import xxhash

from eelgrassgate import outcomes
from eelgrassgate.store import base as store_base

HEADER: Final = "idempotency-key"
PREFIX: Final = "/eelgrassgate/idempotency/"
KEPT_S: Final = 86_400.0
MAX_KEPT_BYTES: Final = 65_536
MAX_KEY_CHARACTERS: Final = 255


class Record(msgspec.Struct, frozen=True):
    """A call that was begun, and its answer once there is one.

    Attributes:
        call: Digest of what was called; the same key must mean the same.
        token: Drawn by the entry that began it.
        status: The answer's HTTP status, 0 before.
        content_type: The answer's media type.
        body: The answer's body.
        is_kept: Whether the answer was small enough to be kept.
    """

    call: str
    token: str
    status: int = 0
    content_type: str = ""
    body: bytes = b""
    is_kept: bool = True


class Begun(msgspec.Struct, frozen=True):
    """A call that this entry may now send, once."""

    key: str
    record: Record
    revision: int
    lease: int


class Replay(msgspec.Struct, frozen=True):
    """The answer that the same call got before."""

    status: int
    content_type: str
    body: bytes


Decision = Begun | Replay


def compute_digest(method: str, path: str, body: bytes) -> str:
    """Return the digest of what is called."""
    state = xxhash.xxh3_128()
    for part in (method.encode(), path.encode(), body):
        state.update(len(part).to_bytes(8))
        state.update(part)
    return state.hexdigest()


class Calls:
    """The record of calls that may run only once."""

    def __init__(self, store: store_base.Store) -> None:
        """Create the record in `store`."""
        self._store = store

    async def begin(
        self, workspace: str, key: str, call: str
    ) -> result.Result[Decision, outcomes.Refusal]:
        """Claim the right to send a call, or find how the first one went.

        Args:
            workspace: The caller's workspace.
            key: The caller's `Idempotency-Key`.
            call: The digest of what is called.
        """
        if len(key) > MAX_KEY_CHARACTERS:
            return _fail(outcomes.Code.BAD_REQUEST, "The key is too long.")
        granted = await self._store.grant_lease(KEPT_S)
        if isinstance(granted, result.Failure):
            return _fail_store()
        lease = granted.unwrap().lease
        digest = xxhash.xxh3_128_hexdigest(key.encode())
        name = f"{PREFIX}{workspace}/{digest}"
        record = Record(call, secrets.token_hex(8))
        decision = await self._claim(name, record, lease)
        is_begun = isinstance(decision, result.Success) and isinstance(
            decision.unwrap(), Begun
        )
        if not is_begun:
            await self._store.revoke_lease(lease)
        return decision

    async def finish(self, begun: Begun, replay: Replay) -> None:
        """Record a call's answer; what cannot be recorded stays unknown."""
        is_kept = len(replay.body) <= MAX_KEPT_BYTES
        record = msgspec.structs.replace(
            begun.record,
            status=replay.status,
            content_type=replay.content_type,
            body=replay.body if is_kept else b"",
            is_kept=is_kept,
        )
        write = store_base.Write(
            begun.key, msgspec.json.encode(record), begun.lease
        )
        expect = store_base.Precondition(begun.key, begun.revision)
        await self._store.commit(store_base.Transaction((expect,), (write,)))

    async def forget(self, begun: Begun) -> None:
        """Forget a call that has certainly not run, so that it may be sent."""
        expect = store_base.Precondition(begun.key, begun.revision)
        delete = store_base.Delete(begun.key)
        await self._store.commit(store_base.Transaction((expect,), (delete,)))
        await self._store.revoke_lease(begun.lease)

    async def _claim(
        self, name: str, record: Record, lease: int
    ) -> result.Result[Decision, outcomes.Refusal]:
        write = store_base.Write(name, msgspec.json.encode(record), lease)
        expect = store_base.Precondition(name, 0)
        committed = await self._store.commit(
            store_base.Transaction((expect,), (write,))
        )
        if isinstance(committed, result.Failure):
            # Whether the claim was made is found out when the caller asks
            # again; the call itself has not been sent.
            error: store_base.StoreError = committed.failure()
            if error.fault is store_base.Fault.UNKNOWN:
                return await self._reread(name, record, lease)
            return _fail_store()
        commit = committed.unwrap()
        if commit.is_done:
            return result.Success(Begun(name, record, commit.revision, lease))
        return _judge(commit.found[0], record)

    async def _reread(
        self, name: str, record: Record, lease: int
    ) -> result.Result[Decision, outcomes.Refusal]:
        read = await self._store.read(name)
        if isinstance(read, result.Failure):
            return _fail_store()
        found = read.unwrap()
        if found is None:
            return _fail_store()
        kept = msgspec.json.decode(found.value, type=Record)
        if kept.token == record.token:
            return result.Success(Begun(name, record, found.revision, lease))
        return _judge(found, record)


def _judge(
    found: store_base.Record, record: Record
) -> result.Result[Decision, outcomes.Refusal]:
    kept = msgspec.json.decode(found.value, type=Record)
    if kept.call != record.call:
        return _fail(
            outcomes.Code.CONFLICT,
            "The Idempotency-Key was used for another call.",
        )
    if kept.status and kept.is_kept:
        return result.Success(Replay(kept.status, kept.content_type, kept.body))
    refusal = outcomes.lose(
        outcomes.Code.CONFLICT,
        "The call was sent before; its outcome is not known here.",
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
