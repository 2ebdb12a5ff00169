"""Client of the platform's key-value service (HTTP/1.1 and JSON)."""

from collections.abc import AsyncIterator
from collections.abc import Awaitable
from collections.abc import Callable
import functools
import math
from typing import Any
from typing import Final
from typing import TypeVar
import urllib.parse

import anyio
import msgspec
from returns import result

from eelgrassgate import deadlines
from eelgrassgate import decoding
from eelgrassgate import hedging
from eelgrassgate import logs
from eelgrassgate.http1 import upstream
from eelgrassgate.store import base
from eelgrassgate.store import causes
from eelgrassgate.store import contact as contact_lib

# Responses take 4 ms, and up to about 400 ms when the service is slow.
CALL_TIMEOUT_S: Final = 2.0
# Connecting takes one round trip, 60 ms between regions.
CONNECT_TIMEOUT_S: Final = 1.0
# Duration of one long poll of a watch. Each poll is a billed call, and two of
# them fit in the 20 s of history that the service keeps. TCP keep-alive probes
# detect a dead connection sooner.
LONG_POLL_S: Final = 10.0
# How long after the end of a long poll its response may still arrive.
LONG_POLL_GRACE_S: Final = 3.0
# Long polls through a relay are shorter, as a relay that loses the service
# reports so only a little later.
RELAYED_LONG_POLL_S: Final = 1.5
RELAYED_LONG_POLL_GRACE_S: Final = 1.0

MS_PER_S: Final = 1000.0
OK_STATUS: Final = 200
GONE_STATUS: Final = 410
NOT_FOUND_STATUS: Final = 404
PRECONDITION_FAILED_STATUS: Final = 412
MIN_SERVER_ERROR_STATUS: Final = 500
# Statuses of calls that had no effect.
NO_EFFECT_STATUSES: Final = frozenset({400, 403, 404, 413, 429, 503})
# Statuses of invalid calls, which get them whenever they are repeated.
REJECTED_STATUSES: Final = frozenset({400, 403, 413})

# Statuses by which the service rejects this instance; the service may still
# accept calls from other instances.
OVERLOADED_STATUSES: Final = frozenset({429, 503})
# A call without a response after this delay is also sent through a relay.
# Responses take 4 ms, and 64 ms between regions.
HEDGING_DELAY_S: Final = 0.25
# Relays to try for one call; the nearest ones may have lost the service too.
MAX_RELAY_ATTEMPTS: Final = 4
# How often a long poll checks that its relay still reaches the service.
RELAY_CHECK_INTERVAL_S: Final = 0.1
# How long a relay is not used after it failed.
RELAY_COOLDOWN_S: Final = 2.0
# After a direct call failed, calls go through relays only for this long.
DIRECT_RETRY_DELAY_S: Final = 1.0

_T = TypeVar("_T")
_Response = tuple[int, bytes]


class _Exchange(msgspec.Struct, frozen=True):
    """A call to the service.

    Attributes:
        request: The request.
        is_write: Whether it may change data.
        timeout_s: Timeout of the response.
    """

    request: upstream.Request
    is_write: bool
    timeout_s: float

    def is_long_poll(self) -> bool:
        """Return whether the response may take longer than that of a call."""
        return self.timeout_s > CALL_TIMEOUT_S


class _Item(msgspec.Struct, frozen=True):
    """A key-value pair; `value` is base64-encoded in JSON."""

    key: str
    revision: int
    value: bytes = b""
    lease: int = 0
    deleted: bool = False


class _ItemResponse(_Item, frozen=True):
    """The response to a read of one key."""

    store_revision: int = msgspec.field(name="store-revision", default=0)


class _RangeResponse(msgspec.Struct, frozen=True):
    items: list[_Item]
    store_revision: int = msgspec.field(name="store-revision")
    more_pages: bool = msgspec.field(name="more-pages", default=False)


class _WatchResponse(msgspec.Struct, frozen=True):
    events: list[_Item]
    store_revision: int = msgspec.field(name="store-revision")


class _CommitResponse(msgspec.Struct, frozen=True):
    revision: int


class _Conflict(msgspec.Struct, frozen=True):
    """The current state of the keys whose preconditions failed."""

    items: list[msgspec.Raw]


class _LeaseResponse(msgspec.Struct, frozen=True):
    """A lease; the response to a renewal holds only the time to live."""

    ttl_ms: decoding.Count = msgspec.field(name="ttl-ms")
    lease: int = 0


def _to_record(item: _Item) -> base.Record:
    return base.Record(item.key, item.value, item.revision, item.lease)


def _to_change(item: _Item) -> base.Change:
    value = None if item.deleted else item.value
    return base.Change(item.key, value, item.revision)


class _CallError(Exception):
    """A call that failed or got an error response."""

    def __init__(self, error: base.StoreError) -> None:
        super().__init__(error.message)
        self.error = error


class KvStore:
    """An implementation of `base.Store` over the platform's service.

    Attributes:
        contact: Whether the service answers, directly or through a relay.
        calls: Numbers of calls by cause; a watch counts once for each long
            poll, as that is what is billed.
    """

    def __init__(self, address: str, long_poll_s: float) -> None:
        """Create a client; see `create_kv_store`."""
        self.contact = contact_lib.create_contact()
        self.calls = causes.create_call_counts()
        self._long_poll_s = long_poll_s
        self._address = address
        self._host = address.encode()
        self._pool = upstream.create_pool(CONNECT_TIMEOUT_S)
        self._get_relays: Callable[[], tuple[str, ...]] = tuple
        self._direct_retry_at = 0.0
        self._failed_until_by_relay: dict[str, float] = {}
        self._is_direct = False
        self._direct_lost = anyio.Event()

    def is_directly_reachable(self) -> bool:
        """Return whether the service responds to direct calls."""
        return self._is_direct

    def set_relays(self, get_relays: Callable[[], tuple[str, ...]]) -> None:
        """Set the source of relay addresses, for calls that fail directly."""
        self._get_relays = get_relays

    async def read(
        self, key: str
    ) -> result.Result[base.Record | None, base.StoreError]:
        """Read one key; linearizable."""
        self.calls.count(causes.Operation.READ, key)
        target = _build_target("/kv-key", {"key": key})
        try:
            status, body = await self._call(b"GET", target, is_write=False)
            if status == NOT_FOUND_STATUS:
                return result.Success(None)
            _raise_for_status(status, body)
            item = _decode(body, _ItemResponse)
            return result.Success(_to_record(item))
        except _CallError as error:
            return result.Failure(error.error)

    async def read_range(
        self, prefix: str, *, after: str = "", limit: int = 0
    ) -> result.Result[base.Page, base.StoreError]:
        """Read a page of keys under `prefix`; the service sets its size."""
        self.calls.count(causes.Operation.READ, prefix)
        query = {"prefix": prefix}
        if after:
            query["after"] = after
        target = _build_target("/kv-range", query)
        try:
            status, body = await self._call(b"GET", target, is_write=False)
            _raise_for_status(status, body)
            page = _decode(body, _RangeResponse)
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
        """Apply changes if all preconditions hold."""
        self.calls.count(
            causes.Operation.WRITE, *(one.key for one in transaction.changes)
        )
        body = msgspec.json.encode(_encode_transaction(transaction))
        try:
            status, response_body = await self._call(
                b"POST", b"/kv-txn", body, is_write=True
            )
            if status == PRECONDITION_FAILED_STATUS:
                found = _decode_conflict(_decode(response_body, _Conflict))
                revision = max((item.revision for item in found), default=0)
                return result.Success(base.Commit(False, revision, found))
            _raise_for_status(status, response_body)
            revision = _decode(response_body, _CommitResponse).revision
            return result.Success(base.Commit(True, revision))
        except _CallError as error:
            return result.Failure(error.error)

    async def grant_lease(
        self, ttl_s: float
    ) -> result.Result[base.Lease, base.StoreError]:
        """Grant a lease."""
        self.calls.count(causes.Operation.LEASE)
        body = msgspec.json.encode({"ttl-ms": int(ttl_s * MS_PER_S)})
        try:
            status, response_body = await self._call(
                b"POST", b"/kv-lease", body, is_write=True
            )
            _raise_for_status(status, response_body)
            lease = _decode(response_body, _LeaseResponse)
        except _CallError as error:
            return result.Failure(error.error)
        return result.Success(base.Lease(lease.lease, lease.ttl_ms / MS_PER_S))

    async def renew_lease(
        self, lease: int
    ) -> result.Result[base.Lease | None, base.StoreError]:
        """Renew a lease; return None if it does not exist."""
        self.calls.count(causes.Operation.RENEWAL)
        target = f"/kv-keep/{lease}".encode()
        try:
            status, body = await self._call(b"POST", target, is_write=True)
            if status == NOT_FOUND_STATUS:
                return result.Success(None)
            _raise_for_status(status, body)
            renewed = _decode(body, _LeaseResponse)
        except _CallError as error:
            return result.Failure(error.error)
        return result.Success(base.Lease(lease, renewed.ttl_ms / MS_PER_S))

    async def revoke_lease(
        self, lease: int
    ) -> result.Result[None, base.StoreError]:
        """Revoke a lease and delete the keys attached to it."""
        self.calls.count(causes.Operation.LEASE)
        target = f"/kv-lease-end/{lease}".encode()
        try:
            status, body = await self._call(b"DELETE", target, is_write=True)
            if status != NOT_FOUND_STATUS:
                _raise_for_status(status, body)
        except _CallError as error:
            return result.Failure(error.error)
        return result.Success(None)

    async def watch(
        self,
        prefix: str,
        from_revision: int,
        *,
        max_wait_s: float | None = None,
    ) -> AsyncIterator[
        result.Result[base.Changes | base.Compacted, base.StoreError]
    ]:
        """Yield changes under `prefix` from `from_revision` on.

        Each step is one long poll, so a reader that pauses between steps gets
        more changes per step.
        """
        after = from_revision - 1
        seen = after
        while True:
            long_poll_s, grace_s = self._long_poll_s, LONG_POLL_GRACE_S
            if max_wait_s is not None:
                long_poll_s = min(long_poll_s, max_wait_s)
                grace_s = min(grace_s, long_poll_s)
            if not self._is_direct:
                long_poll_s = min(long_poll_s, RELAYED_LONG_POLL_S)
                grace_s = RELAYED_LONG_POLL_GRACE_S
            query = {
                "prefix": prefix,
                "after": str(after),
                "wait-ms": str(int(long_poll_s * MS_PER_S)),
            }
            self.calls.count(causes.Operation.WATCH, prefix)
            try:
                status, body = await self._call(
                    b"GET",
                    _build_target("/kv-watch", query),
                    is_write=False,
                    timeout_s=long_poll_s + grace_s,
                )
                if status == GONE_STATUS:
                    page = await self.read_range(prefix)
                    yield page.map(lambda found: base.Compacted(found.revision))
                    return
                _raise_for_status(status, body)
                response = _decode(body, _WatchResponse)
            except _CallError as error:
                yield result.Failure(error.error)
                return
            changes = tuple(_to_change(item) for item in response.events)
            # For up to a second before it drops history, the service may omit
            # changes. `after` therefore advances past an empty response only
            # one call later; if history was dropped, that call gets 410.
            after = max(after, response.store_revision if changes else seen)
            seen = max(seen, response.store_revision)
            yield result.Success(base.Changes(changes, seen))

    async def close(self) -> None:
        """Close all connections."""
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
        if relays and not deadlines.is_past(self._direct_retry_at):
            return await self._call_relays(exchange, relays)
        if exchange.is_long_poll():
            # A long poll can be aborted even if no relay is known yet: one may
            # be known by the time the service becomes unreachable.
            return await self._long_poll_directly(exchange)
        if not relays:
            return await self._call_directly(exchange)
        return await self._call_hedged(exchange, relays)

    def _list_relays(self) -> list[str]:
        """Return the nearest relays that have not failed recently."""
        found = [
            relay
            for relay in self._get_relays()
            if deadlines.is_past(self._failed_until_by_relay.get(relay, 0.0))
        ]
        return found[:MAX_RELAY_ATTEMPTS]

    async def _call_relays(
        self, exchange: _Exchange, relays: list[str]
    ) -> _Response:
        """Call the service through the first relay that responds.

        Raises:
            _CallError: All relays failed.
        """
        responses: list[_Response] = []
        failures: list[_CallError] = []

        async def call(relay: str) -> bool:
            try:
                responses.append(await self._call_relay(exchange, relay))
            except _CallError as error:
                failures.append(error)
                return False
            return True

        # Only a long poll may get no response for longer than the delay.
        delay_s = math.inf if exchange.is_long_poll() else HEDGING_DELAY_S
        calls = [functools.partial(call, relay) for relay in relays]
        if await hedging.run_hedged(calls, delay_s):
            return responses[0]
        raise _choose_failure(failures)

    async def _call_relay(self, exchange: _Exchange, relay: str) -> _Response:
        """Call the service through one relay.

        Raises:
            _CallError: There was no usable response.
        """
        started_at = deadlines.now()
        try:
            if exchange.is_long_poll():
                status, body = await self._run_until_lost(
                    lambda: self._send(relay, exchange),
                    lambda: self._wait_until_unlisted(relay),
                )
            else:
                status, body = await self._send(relay, exchange)
            if _is_failure(status):
                is_unknown = (
                    exchange.is_write and status not in OVERLOADED_STATUSES
                )
                raise _create_error(
                    is_unknown, f"status {status} from relay {relay}"
                )
        except _CallError as error:
            logs.log_message(
                "relay:failed", relay=relay, reason=error.error.message
            )
            self._avoid_relay(relay)
            raise
        except anyio.get_cancelled_exc_class():
            # Another path responded first.
            is_late = deadlines.is_past(started_at + HEDGING_DELAY_S)
            if is_late and not exchange.is_long_poll():
                self._avoid_relay(relay)
            raise
        return status, body

    def _avoid_relay(self, relay: str) -> None:
        self._failed_until_by_relay[relay] = deadlines.after(RELAY_COOLDOWN_S)

    async def _wait_until_unlisted(self, relay: str) -> None:
        """Wait until a relay reports no longer that it reaches the service."""
        while relay in self._get_relays():
            await anyio.sleep(RELAY_CHECK_INTERVAL_S)

    async def _call_directly(self, exchange: _Exchange) -> _Response:
        """Call the service directly and record whether it responds.

        Raises:
            _CallError: There was no response.
        """
        try:
            status, body = await self._send(self._address, exchange)
        except _CallError as error:
            self._record_direct_result(False, error.error.message)
            raise
        self._record_direct_result(
            status not in OVERLOADED_STATUSES, f"status {status}"
        )
        return status, body

    async def _long_poll_directly(self, exchange: _Exchange) -> _Response:
        """Run a long poll; abort it when the service becomes unreachable.

        Raises:
            _CallError: There was no response.
        """
        return await self._run_until_lost(
            lambda: self._call_directly(exchange), self._direct_lost.wait
        )

    async def _run_until_lost(
        self,
        call: Callable[[], Awaitable[_Response]],
        wait_until_lost: Callable[[], Awaitable[None]],
    ) -> _Response:
        """Run a call; abort it when its path is known to be lost.

        Raises:
            _CallError: There was no response.
        """
        found: list[_Response | _CallError] = []

        async def run() -> None:
            try:
                found.append(await call())
            except _CallError as error:
                found.append(error)
            tasks.cancel_scope.cancel()

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(run)
            await wait_until_lost()
            tasks.cancel_scope.cancel()
        if not found:
            raise _create_error(False, "the service is not reachable this way")
        if isinstance(found[0], _CallError):
            raise found[0]
        return found[0]

    async def _call_hedged(
        self, exchange: _Exchange, relays: list[str]
    ) -> _Response:
        """Call the service, and relays after the hedging delay or a failure.

        A transaction may take effect on the direct path while its preconditions
        fail on the relayed one because of its own changes; callers of `commit`
        must recognise this case.

        Raises:
            _CallError: Both paths failed.
        """
        responses: list[_Response] = []
        failures: list[_CallError] = []
        has_failed = anyio.Event()

        async def call(is_direct: bool) -> None:
            try:
                if is_direct:
                    response = await self._call_directly(exchange)
                else:
                    response = await self._call_relays(exchange, relays)
            except _CallError as error:
                failures.append(error)
                has_failed.set()
                return
            status = response[0]
            if _is_failure(status):
                is_unknown = (
                    exchange.is_write and status not in OVERLOADED_STATUSES
                )
                failures.append(_create_error(is_unknown, f"status {status}"))
                has_failed.set()
                return
            responses.append(response)
            if not is_direct:
                # Aborts long polls, which would not get a response either.
                self._record_direct_result(False, "a relay responded first")
            tasks.cancel_scope.cancel()

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(call, True)
            with anyio.move_on_after(HEDGING_DELAY_S) as scope:
                await has_failed.wait()
            if scope.cancelled_caught:
                # Meanwhile, keeps peers from using this instance as a relay.
                self._set_direct(
                    False, f"no response within {HEDGING_DELAY_S} s"
                )
            tasks.start_soon(call, False)
        if responses:
            return responses[0]
        raise _choose_failure(failures)

    async def _send(self, address: str, exchange: _Exchange) -> _Response:
        """Run one exchange with the service or a relay.

        Raises:
            _CallError: There was no response.
        """
        if not exchange.is_long_poll():
            self.contact.record_call()
        try:
            with anyio.fail_after(exchange.timeout_s):
                async with self._pool.use(address) as connection:
                    await connection.start(exchange.request, _accept_any_head)
                    body = await connection.read_body()
                    status = connection.head.status
        except upstream.ExchangeError as error:
            is_unknown = exchange.is_write and error.was_sent
            raise _create_error(is_unknown, str(error)) from error
        except TimeoutError as error:
            message = f"no response within {exchange.timeout_s} s"
            raise _create_error(exchange.is_write, message) from error
        if not _is_failure(status):
            self.contact.record_answer()
        return status, body

    def _record_direct_result(self, is_direct: bool, reason: str) -> None:
        """Record the result of a direct call; a failure aborts long polls."""
        if not is_direct:
            self._direct_retry_at = deadlines.after(DIRECT_RETRY_DELAY_S)
            direct_lost, self._direct_lost = self._direct_lost, anyio.Event()
            direct_lost.set()
        self._set_direct(is_direct, reason)

    def _set_direct(self, is_direct: bool, reason: str) -> None:
        if is_direct != self._is_direct:
            self._is_direct = is_direct
            logs.log_message("store:direct", is_direct=is_direct, reason=reason)


def _is_failure(status: int) -> bool:
    """Return whether the service, or a relay, could not handle a call."""
    return status >= MIN_SERVER_ERROR_STATUS or status in OVERLOADED_STATUSES


def _accept_any_head(head: upstream.Head) -> bool:
    return True


def _create_error(
    is_unknown: bool, message: str, *, is_rejected: bool = False
) -> _CallError:
    fault = base.Fault.UNKNOWN if is_unknown else base.Fault.NOT_DONE
    return _CallError(base.StoreError(fault, message, is_rejected))


def _choose_failure(failures: list[_CallError]) -> _CallError:
    """Return the failure that applies to all attempts together.

    If any attempt may have taken effect, the result is `UNKNOWN`.
    """
    for failure in failures:
        if failure.error.fault is base.Fault.UNKNOWN:
            return failure
    return failures[0]


def _raise_for_status(status: int, body: bytes) -> None:
    if status == OK_STATUS:
        return
    text = body[:100].decode("utf-8", "replace")
    raise _create_error(
        status not in NO_EFFECT_STATUSES,
        f"status {status}: {text}",
        is_rejected=status in REJECTED_STATUSES,
    )


def _decode(body: bytes, kind: type[_T]) -> _T:
    try:
        return decoding.decode(msgspec.json.Decoder(kind), body)
    except msgspec.MsgspecError as error:
        raise _create_error(True, f"invalid response: {error}") from error


def _build_target(path: str, query: dict[str, str]) -> bytes:
    return f"{path}?{urllib.parse.urlencode(query)}".encode()


def _encode_transaction(transaction: base.Transaction) -> dict[str, Any]:
    puts = []
    deletes = []
    for change in transaction.changes:
        if isinstance(change, base.Delete):
            deletes.append(change.key)
            continue
        # The encoder writes bytes as base64 text, without a copy of its own.
        put: dict[str, Any] = {"key": change.key, "value": change.value}
        if change.lease:
            put["lease"] = change.lease
        puts.append(put)
    return {
        "precondition": [
            {"key": precondition.key, "revision": precondition.revision}
            for precondition in transaction.preconditions
        ],
        "puts": puts,
        "deletes": deletes,
    }


def _decode_conflict(conflict: _Conflict) -> tuple[base.Record, ...]:
    """Return the existing records.

    Items of absent keys are skipped; they may lack the fields of a record.
    """
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
    address: str, *, long_poll_s: float = LONG_POLL_S
) -> KvStore:
    """Create a client of the service.

    Args:
        address: `host:port`.
        long_poll_s: Duration of one long poll of a watch in seconds.
    """
    return KvStore(address, long_poll_s)
