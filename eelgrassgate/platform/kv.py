"""The platform's key-value service over HTTP/1.1 and JSON."""

import base64
from collections.abc import AsyncIterator
from collections.abc import Callable
from typing import Any
from typing import Final
from typing import TypeVar
import urllib.parse

import anyio
import msgspec
from returns import result

from eelgrassgate import deadlines
from eelgrassgate import logs
from eelgrassgate.http1 import upstream
from eelgrassgate.store import base

# Answers take 4 ms, and up to about 400 ms where the service is slow.
CALL_TIMEOUT_S: Final = 2.0
# A connection needs one round trip, 60 ms between regions.
CONNECT_TIMEOUT_S: Final = 1.0
# A watch that hears nothing is renewed; each renewal is a priced call. Two
# waits lie within the 20 s of history that the service keeps. A silent
# connection is found sooner, by keep-alive probes.
WATCH_WAIT_S: Final = 10.0
# How much later than asked the answer to a waiting watch may come.
WATCH_SLACK_S: Final = 3.0
# Through a peer a watch waits less: when that peer loses the service, nothing
# tells the process that waits, and a configuration is due within 3 s.
RELAYED_WAIT_S: Final = 1.5
RELAYED_SLACK_S: Final = 1.0

MS_PER_S: Final = 1000.0
OK: Final = 200
GONE: Final = 410
NOT_FOUND: Final = 404
CONDITION_FAILED: Final = 412
SERVER_ERROR: Final = 500
# Answers which say that the call took no effect.
REFUSED: Final = frozenset({400, 403, 404, 413, 429, 503})

# Answers by which the service turns this instance away, though it may serve
# others.
TURNED_AWAY: Final = frozenset({429, 503})
# A call without an answer is sent through a peer as well; answers take 4 ms,
# between regions 64 ms.
HEDGE_S: Final = 0.25
# Peers that are asked for one call; those near by may be cut off as well.
RELAYS_TRIED: Final = 4
# A relay that failed is left alone for so long.
RELAY_REST_S: Final = 2.0
# After the service was lost, calls go through a peer for so long.
DIRECT_AGAIN_S: Final = 1.0

_T = TypeVar("_T")
_Answer = tuple[int, bytes]


class _Exchange(msgspec.Struct, frozen=True):
    """A call to send.

    Attributes:
        request: The request.
        is_write: Whether it may change something.
        timeout_s: Longest that its answer may take.
    """

    request: upstream.Request
    is_write: bool
    timeout_s: float


class _Item(msgspec.Struct, frozen=True):
    """A key as the service writes it; `value` is base64 text."""

    key: str
    revision: int
    value: str = ""
    lease: int = 0
    deleted: bool = False


class _ItemAnswer(_Item, frozen=True):
    """The answer to a read of one key."""

    store_revision: int = msgspec.field(name="store-revision", default=0)


class _RangeAnswer(msgspec.Struct, frozen=True):
    items: list[_Item]
    store_revision: int = msgspec.field(name="store-revision")
    more_pages: bool = msgspec.field(name="more-pages", default=False)


class _WatchAnswer(msgspec.Struct, frozen=True):
    events: list[_Item]
    store_revision: int = msgspec.field(name="store-revision")


class _CommitAnswer(msgspec.Struct, frozen=True):
    revision: int


class _Conflict(msgspec.Struct, frozen=True):
    """Present state of a failed condition's keys."""

    items: list[msgspec.Raw]


class _LeaseAnswer(msgspec.Struct, frozen=True):
    """A lease; the answer to a renewal names only the time to live."""

    ttl_ms: int = msgspec.field(name="ttl-ms")
    lease: int = 0


def _to_record(item: _Item) -> base.Record:
    value = base64.b64decode(item.value)
    return base.Record(item.key, value, item.revision, item.lease)


def _to_change(item: _Item) -> base.Change:
    value = None if item.deleted else base64.b64decode(item.value)
    return base.Change(item.key, value, item.revision)


class _CallError(Exception):
    """A call without the answer that was asked for."""

    def __init__(self, error: base.StoreError) -> None:
        super().__init__(error.message)
        self.error = error


class KvStore:
    """An implementation of `base.Store`."""

    def __init__(self, address: str, watch_wait_s: float) -> None:
        """Create a client; see `create_kv_store`."""
        self._watch_wait_s = watch_wait_s
        self._address = address
        self._host = address.encode()
        self._pool = upstream.create_pool(CONNECT_TIMEOUT_S)
        self._get_relays: Callable[[], tuple[str, ...]] = tuple
        self._direct_again_at = 0.0
        self._failed_until_by_relay: dict[str, float] = {}
        self._is_direct = False
        self._lost = anyio.Event()

    def has_answered(self) -> bool:
        """Tell whether the service answers calls straight from here."""
        return self._is_direct

    def set_relays(self, get_relays: Callable[[], tuple[str, ...]]) -> None:
        """Set where calls may go that get no answer by themselves."""
        self._get_relays = get_relays

    async def read(
        self, key: str
    ) -> result.Result[base.Record | None, base.StoreError]:
        """Read one key; linearizable."""
        target = _write_target("/kv-key", {"key": key})
        try:
            status, body = await self._call(b"GET", target, is_write=False)
            if status == NOT_FOUND:
                return result.Success(None)
            _check(status, body)
            item = _decode(body, _ItemAnswer)
            return result.Success(_to_record(item))
        except _CallError as error:
            return result.Failure(error.error)

    async def read_range(
        self, prefix: str, *, after: str = "", limit: int = 0
    ) -> result.Result[base.Page, base.StoreError]:
        """Read one page of keys under `prefix`; the service sets its size."""
        query = {"prefix": prefix}
        if after:
            query["after"] = after
        target = _write_target("/kv-range", query)
        try:
            status, body = await self._call(b"GET", target, is_write=False)
            _check(status, body)
            page = _decode(body, _RangeAnswer)
        except _CallError as error:
            return result.Failure(error.error)
        records = tuple(_to_record(item) for item in page.items)
        has_more = page.more_pages
        if limit and len(records) > limit:
            records, has_more = records[:limit], True
        return result.Success(base.Page(records, page.store_revision, has_more))

    async def commit(
        self, transaction: base.Transaction
    ) -> result.Result[base.Commit, base.StoreError]:
        """Make changes if expectations hold."""
        body = msgspec.json.encode(_write_transaction(transaction))
        try:
            status, answer = await self._call(
                b"POST", b"/kv-txn", body, is_write=True
            )
            if status == CONDITION_FAILED:
                found = _read_conflict(_decode(answer, _Conflict))
                revision = max((one.revision for one in found), default=0)
                return result.Success(base.Commit(False, revision, found))
            _check(status, answer)
            revision = _decode(answer, _CommitAnswer).revision
            return result.Success(base.Commit(True, revision))
        except _CallError as error:
            return result.Failure(error.error)

    async def grant_lease(
        self, ttl_s: float
    ) -> result.Result[base.Lease, base.StoreError]:
        """Grant a lease."""
        body = msgspec.json.encode({"ttl-ms": int(ttl_s * MS_PER_S)})
        try:
            status, answer = await self._call(
                b"POST", b"/kv-lease", body, is_write=True
            )
            _check(status, answer)
            lease = _decode(answer, _LeaseAnswer)
        except _CallError as error:
            return result.Failure(error.error)
        return result.Success(base.Lease(lease.lease, lease.ttl_ms / MS_PER_S))

    async def keep_lease(
        self, lease: int
    ) -> result.Result[base.Lease | None, base.StoreError]:
        """Renew a lease; None if the store no longer knows it."""
        target = f"/kv-keep/{lease}".encode()
        try:
            status, answer = await self._call(b"POST", target, is_write=True)
            if status == NOT_FOUND:
                return result.Success(None)
            _check(status, answer)
            kept = _decode(answer, _LeaseAnswer)
        except _CallError as error:
            return result.Failure(error.error)
        return result.Success(base.Lease(lease, kept.ttl_ms / MS_PER_S))

    async def revoke_lease(
        self, lease: int
    ) -> result.Result[None, base.StoreError]:
        """End a lease and delete the keys bound to it."""
        target = f"/kv-lease-end/{lease}".encode()
        try:
            status, answer = await self._call(b"DELETE", target, is_write=True)
            if status != NOT_FOUND:
                _check(status, answer)
        except _CallError as error:
            return result.Failure(error.error)
        return result.Success(None)

    async def watch(
        self, prefix: str, from_revision: int
    ) -> AsyncIterator[
        result.Result[base.Changes | base.Compacted, base.StoreError]
    ]:
        """Yield changes under `prefix` from `from_revision` on.

        Each step is one call, so a reader that pauses between steps gets
        more changes at once.
        """
        after = from_revision - 1
        seen = after
        while True:
            wait_s, slack_s = self._watch_wait_s, WATCH_SLACK_S
            if not self._is_direct:
                wait_s = min(wait_s, RELAYED_WAIT_S)
                slack_s = RELAYED_SLACK_S
            query = {
                "prefix": prefix,
                "after": str(after),
                "wait-ms": str(int(wait_s * MS_PER_S)),
            }
            try:
                status, body = await self._call(
                    b"GET",
                    _write_target("/kv-watch", query),
                    is_write=False,
                    timeout_s=wait_s + slack_s,
                )
                if status == GONE:
                    page = await self.read_range(prefix)
                    yield page.map(lambda one: base.Compacted(one.revision))
                    return
                _check(status, body)
                answer = _decode(body, _WatchAnswer)
            except _CallError as error:
                yield result.Failure(error.error)
                return
            changes = tuple(_to_change(item) for item in answer.events)
            # Before it drops history the service may tell of no change for a
            # second. An answer without any is trusted one call later, so that
            # the next one finds the history gone.
            after = max(after, answer.store_revision if changes else seen)
            seen = max(seen, answer.store_revision)
            yield result.Success(base.Changes(changes, seen))

    async def close(self) -> None:
        """Release connections."""
        await self._pool.close()

    async def _call(
        self,
        method: bytes,
        target: bytes,
        body: bytes = b"",
        *,
        is_write: bool,
        timeout_s: float = CALL_TIMEOUT_S,
    ) -> tuple[int, bytes]:
        headers = [(b"host", self._host)]
        if method != b"GET":
            headers.append((b"content-length", b"%d" % len(body)))
            headers.append((b"content-type", b"application/json"))
        request = upstream.Request(method, target, tuple(headers), body)
        exchange = _Exchange(request, is_write, timeout_s)
        relays = self._list_relays()
        if relays and not deadlines.is_past(self._direct_again_at):
            return await self._call_relays(exchange, relays)
        if timeout_s > CALL_TIMEOUT_S:
            # Also without a relay: one may be known by the time that the
            # service is lost.
            return await self._wait_directly(exchange)
        if not relays:
            return await self._call_directly(exchange)
        return await self._call_both(exchange, relays)

    def _list_relays(self) -> list[str]:
        """Return the nearest relays that have not failed lately."""
        found = [
            relay
            for relay in self._get_relays()
            if deadlines.is_past(self._failed_until_by_relay.get(relay, 0.0))
        ]
        return found[:RELAYS_TRIED]

    async def _call_relays(
        self, exchange: _Exchange, relays: list[str]
    ) -> _Answer:
        """Call the service through the first relay that passes it on.

        Raises:
            _CallError: None gave an answer.
        """
        failures: list[_CallError] = []
        for relay in relays:
            try:
                return await self._call_relay(exchange, relay)
            except _CallError as error:
                failures.append(error)
        raise _choose_failure(failures)

    async def _call_relay(self, exchange: _Exchange, relay: str) -> _Answer:
        """Call the service through a relay.

        Raises:
            _CallError: There was no answer.
        """
        try:
            status, body = await self._send(relay, exchange)
            if status >= SERVER_ERROR or status in TURNED_AWAY:
                is_unknown = exchange.is_write and status not in TURNED_AWAY
                raise _fail(is_unknown, f"status {status} through {relay}")
        except _CallError as error:
            logs.log_message(
                "relay:unusable", relay=relay, reason=error.error.message
            )
            self._failed_until_by_relay[relay] = deadlines.after(RELAY_REST_S)
            raise
        return status, body

    async def _call_directly(self, exchange: _Exchange) -> _Answer:
        """Call the service, and note whether it answers.

        Raises:
            _CallError: It gave no answer.
        """
        try:
            status, body = await self._send(self._address, exchange)
        except _CallError as error:
            self._note_direct(False, error.error.message)
            raise
        self._note_direct(status not in TURNED_AWAY, f"status {status}")
        return status, body

    async def _wait_directly(self, exchange: _Exchange) -> _Answer:
        """Wait for a change at the service until it is known to be lost.

        Raises:
            _CallError: It gave no answer.
        """
        found: list[_Answer | _CallError] = []

        async def wait() -> None:
            try:
                found.append(await self._call_directly(exchange))
            except _CallError as error:
                found.append(error)
            tasks.cancel_scope.cancel()

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(wait)
            await self._lost.wait()
            tasks.cancel_scope.cancel()
        if not found:
            raise _fail(False, "the service is not reached from here")
        if isinstance(found[0], _CallError):
            raise found[0]
        return found[0]

    async def _call_both(
        self, exchange: _Exchange, relays: list[str]
    ) -> _Answer:
        """Call the service, and relays too if it does not answer soon.

        A transaction may take effect by the first way and meet its own trace
        by the second; who commits tells the two apart.

        Raises:
            _CallError: Neither gave an answer.
        """
        answers: list[_Answer] = []
        failures: list[_CallError] = []
        has_failed = anyio.Event()

        async def call(directly: bool) -> None:
            try:
                if directly:
                    answer = await self._call_directly(exchange)
                else:
                    answer = await self._call_relays(exchange, relays)
            except _CallError as error:
                failures.append(error)
                has_failed.set()
                return
            status = answer[0]
            if status >= SERVER_ERROR or status in TURNED_AWAY:
                is_unknown = exchange.is_write and status not in TURNED_AWAY
                failures.append(_fail(is_unknown, f"status {status}"))
                has_failed.set()
                return
            answers.append(answer)
            if not directly:
                # Calls that wait for a change would wait on in vain.
                self._note_direct(False, "a relay answered first")
            tasks.cancel_scope.cancel()

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(call, True)
            with anyio.move_on_after(HEDGE_S) as scope:
                await has_failed.wait()
            if scope.cancelled_caught:
                # Others are not to send their calls this way meanwhile.
                self._set_direct(False, f"no answer in {HEDGE_S} s")
            tasks.start_soon(call, False)
        if answers:
            return answers[0]
        raise _choose_failure(failures)

    async def _send(self, address: str, exchange: _Exchange) -> _Answer:
        """Run one exchange with the service or a relay.

        Raises:
            _CallError: There was no answer.
        """
        try:
            with anyio.fail_after(exchange.timeout_s):
                async with self._pool.use(address) as connection:
                    await connection.start(exchange.request, _always)
                    parts = [part async for part in connection.iterate()]
                    return connection.head.status, b"".join(parts)
        except upstream.ExchangeError as error:
            is_unknown = exchange.is_write and error.was_sent
            raise _fail(is_unknown, str(error)) from error
        except TimeoutError as error:
            message = f"no answer in {exchange.timeout_s} s"
            raise _fail(exchange.is_write, message) from error

    def _note_direct(self, is_direct: bool, reason: str) -> None:
        """Note whether the service answers calls straight from here."""
        if not is_direct:
            self._direct_again_at = deadlines.after(DIRECT_AGAIN_S)
            lost, self._lost = self._lost, anyio.Event()
            lost.set()
        self._set_direct(is_direct, reason)

    def _set_direct(self, is_direct: bool, reason: str) -> None:
        if is_direct != self._is_direct:
            self._is_direct = is_direct
            logs.log_message("store:direct", is_direct=is_direct, reason=reason)


def _always(head: upstream.Head) -> bool:
    return True


def _fail(is_unknown: bool, message: str) -> _CallError:
    fault = base.Fault.UNKNOWN if is_unknown else base.Fault.NOT_DONE
    return _CallError(base.StoreError(fault, message))


def _choose_failure(failures: list[_CallError]) -> _CallError:
    """Return a failure that says no more than all of them together."""
    for failure in failures:
        if failure.error.fault is base.Fault.UNKNOWN:
            return failure
    return failures[0]


def _check(status: int, body: bytes) -> None:
    if status == OK:
        return
    text = body[:100].decode("utf-8", "replace")
    raise _fail(status not in REFUSED, f"status {status}: {text}")


def _decode(body: bytes, kind: type[_T]) -> _T:
    try:
        return msgspec.json.decode(body, type=kind)
    except msgspec.MsgspecError as error:
        raise _fail(True, f"unreadable answer: {error}") from error


def _write_target(path: str, query: dict[str, str]) -> bytes:
    return f"{path}?{urllib.parse.urlencode(query)}".encode()


def _write_transaction(transaction: base.Transaction) -> dict[str, Any]:
    puts = []
    deletes = []
    for change in transaction.changes:
        if isinstance(change, base.Delete):
            deletes.append(change.key)
            continue
        put: dict[str, Any] = {
            "key": change.key,
            "value": base64.b64encode(change.value).decode(),
        }
        if change.lease:
            put["lease"] = change.lease
        puts.append(put)
    return {
        "precondition": [
            {"key": expect.key, "revision": expect.revision}
            for expect in transaction.expects
        ],
        "puts": puts,
        "deletes": deletes,
    }


def _read_conflict(conflict: _Conflict) -> tuple[base.Record, ...]:
    """Return the records that exist; absent keys have no readable record."""
    found = []
    for raw in conflict.items:
        try:
            item = msgspec.json.decode(raw, type=_Item)
        except msgspec.MsgspecError:
            continue
        if item.revision and not item.deleted:
            found.append(_to_record(item))
    return tuple(found)


def create_kv_store(
    address: str, *, watch_wait_s: float = WATCH_WAIT_S
) -> KvStore:
    """Create a client of the service.

    Args:
        address: `host:port`.
        watch_wait_s: How long in seconds a watch waits for a change.
    """
    return KvStore(address, watch_wait_s)
