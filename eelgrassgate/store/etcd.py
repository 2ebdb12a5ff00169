"""Client of etcd v3 through its gRPC gateway (JSON).

Each call has a timeout. After a timeout, later calls use new connections, as
the pool's other connections may be dead as well.

A watch that receives nothing for `WATCH_TIMEOUT_S` fails. By default etcd sends
progress notifications every 10 minutes; set its progress notify interval to
2 s, otherwise an idle watch is reopened every `WATCH_TIMEOUT_S`.
"""

from collections.abc import AsyncIterator
from collections.abc import Iterator
import contextlib
import itertools
import math
import ssl
from typing import Final
from typing import TypeVar

import anyio
import httpx
import msgspec
from returns import result

from eelgrassgate import http_clients
from eelgrassgate import response_limits
from eelgrassgate.store import base
from eelgrassgate.store import etcd_messages

# Bound on one response of a watch, which holds several changes.
MAX_EVENT_BYTES: Final = 16_777_216
# Bound on any other response, such as all records of the configuration.
MAX_RESPONSE_BYTES: Final = 67_108_864
CALL_TIMEOUT_S: Final = 3.0
CONNECT_TIMEOUT_S: Final = 1.0
WATCH_TIMEOUT_S: Final = 6.0
MAX_CONNECTIONS: Final = 32
BAD_REQUEST_STATUS: Final = 400
MIN_ERROR_STATUS: Final = 400
MIN_SERVER_ERROR_STATUS: Final = 500

_T = TypeVar("_T")


class _Pool:
    """An HTTP client and the number of its calls in flight."""

    def __init__(self, client: httpx.AsyncClient) -> None:
        self.client = client
        self.calls = 0


class EtcdStore:
    """An implementation of `base.Store` over etcd."""

    def __init__(
        self, url: str, call_timeout_s: float, watch_timeout_s: float
    ) -> None:
        """Create the HTTP clients; see `create_etcd_store`."""
        self._url = url
        self._call_timeout_s = call_timeout_s
        self._watch_timeout_s = watch_timeout_s
        self._tls: ssl.SSLContext | None = None
        if httpx.URL(url).scheme == "https":
            self._tls = httpx.create_ssl_context()
        self._pool = _Pool(_create_client(url, call_timeout_s, self._tls))
        self._watch_client = _create_client(
            url, watch_timeout_s, self._tls, max_idle=0
        )

    async def read(
        self, key: str
    ) -> result.Result[base.Record | None, base.StoreError]:
        """Read one key."""
        answer = await self._read(etcd_messages.RangeRequest(key.encode()))
        return answer.map(
            lambda found: _to_record(found.kvs[0]) if found.kvs else None
        )

    async def read_range(
        self, prefix: str, *, after: str = "", limit: int = 0
    ) -> result.Result[base.Page, base.StoreError]:
        """Read keys under `prefix`."""
        start = prefix.encode() or b"\0"
        if after:
            start = max(start, after.encode() + b"\0")
        end = etcd_messages.compute_range_end(prefix.encode())
        answer = await self._read(
            etcd_messages.RangeRequest(start, end, limit=str(limit))
        )
        return answer.map(
            lambda found: base.Page(
                tuple(map(_to_record, found.kvs)),
                int(found.header.revision),
                found.more,
            )
        )

    async def commit(
        self, transaction: base.Transaction
    ) -> result.Result[base.Commit, base.StoreError]:
        """Apply changes if all preconditions hold."""
        for change in transaction.changes:
            if (
                isinstance(change, base.Write)
                and len(change.value) > base.MAX_VALUE_BYTES
            ):
                return _fail(
                    base.Fault.NOT_DONE,
                    f"the value of {change.key} exceeds the size limit",
                    is_rejected=True,
                )
        answer = await self._call(
            etcd_messages.TXN_PATH,
            _encode_transaction(transaction),
            etcd_messages.TxnResponse,
        )
        return answer.map(
            lambda done: base.Commit(
                done.succeeded,
                int(done.header.revision),
                () if done.succeeded else tuple(_iterate_records(done)),
            )
        )

    async def grant_lease(
        self, ttl_s: float
    ) -> result.Result[base.Lease, base.StoreError]:
        """Grant a lease; the time to live is rounded up to whole seconds."""
        answer = await self._call(
            etcd_messages.GRANT_PATH,
            etcd_messages.GrantRequest(str(math.ceil(ttl_s))),
            etcd_messages.LeaseResponse,
        )
        return answer.map(
            lambda found: base.Lease(int(found.id), float(found.ttl))
        )

    async def renew_lease(
        self, lease: int
    ) -> result.Result[base.Lease | None, base.StoreError]:
        """Renew a lease."""
        answer = await self._call(
            etcd_messages.KEEP_ALIVE_PATH,
            etcd_messages.LeaseRequest(str(lease)),
            etcd_messages.KeepAliveLine,
        )
        return answer.map(
            lambda line: (
                base.Lease(lease, float(line.result.ttl))
                if float(line.result.ttl) > 0
                else None
            )
        )

    async def revoke_lease(
        self, lease: int
    ) -> result.Result[None, base.StoreError]:
        """Revoke a lease; an unknown one counts as revoked."""
        answer = await self._call(
            etcd_messages.REVOKE_PATH,
            etcd_messages.LeaseRequest(str(lease)),
            etcd_messages.LeaseResponse,
            allowed=(httpx.codes.NOT_FOUND,),
        )
        return answer.map(lambda _: None)

    async def watch(
        self,
        prefix: str,
        from_revision: int,
        *,
        max_wait_s: float | None = None,
    ) -> AsyncIterator[
        result.Result[base.Changes | base.Compacted, base.StoreError]
    ]:
        """Yield changes under `prefix`; the server sets the longest wait."""
        start = prefix.encode()
        request = etcd_messages.WatchRequest(
            etcd_messages.WatchCreateRequest(
                start or b"\0",
                etcd_messages.compute_range_end(start),
                str(from_revision),
                progress_notify=True,
            )
        )
        try:
            async with self._watch_client.stream(
                "POST",
                etcd_messages.WATCH_PATH,
                content=msgspec.json.encode(request),
            ) as response:
                response_limits.limit_parts(response, max_bytes=MAX_EVENT_BYTES)
                lines = response.aiter_lines()
                while True:
                    with anyio.fail_after(self._watch_timeout_s):
                        line = await anext(lines)
                    async for answer in _decode_line(line):
                        yield answer
                        if not isinstance(answer.value_or(None), base.Changes):
                            return
        except StopAsyncIteration:
            yield _fail(base.Fault.NOT_DONE, "the watch stream was closed")
        except TimeoutError:
            yield _fail(base.Fault.NOT_DONE, "the watch timed out")
        except (httpx.HTTPError, msgspec.DecodeError) as error:
            yield _fail(base.Fault.NOT_DONE, _describe(error))

    async def close(self) -> None:
        """Close all connections."""
        await self._pool.client.aclose()
        await self._watch_client.aclose()

    async def _read(
        self, request: etcd_messages.RangeRequest
    ) -> result.Result[etcd_messages.RangeResponse, base.StoreError]:
        """Read a range; a failed read has no effect, so it is `NOT_DONE`."""
        answer = await self._call(
            etcd_messages.RANGE_PATH, request, etcd_messages.RangeResponse
        )
        return answer.alt(
            lambda error: base.StoreError(base.Fault.NOT_DONE, error.message)
        )

    async def _call(
        self,
        path: str,
        request: msgspec.Struct,
        kind: type[_T],
        allowed: tuple[int, ...] = (),
    ) -> result.Result[_T, base.StoreError]:
        """Make a call; statuses in `allowed` count as an empty response."""
        pool = self._pool
        pool.calls += 1
        try:
            with anyio.fail_after(self._call_timeout_s):
                async with pool.client.stream(
                    "POST", path, content=msgspec.json.encode(request)
                ) as response:
                    body = await response_limits.read_body(
                        response, MAX_RESPONSE_BYTES
                    )
            status = response.status_code
            if status in allowed:
                return result.Success(msgspec.json.decode(b"{}", type=kind))
            if status >= MIN_ERROR_STATUS:
                return _parse_error(status, body)
            return result.Success(msgspec.json.decode(body, type=kind))
        except (httpx.ConnectError, httpx.ConnectTimeout) as error:
            return _fail(base.Fault.NOT_DONE, _describe(error))
        except httpx.PoolTimeout as error:
            self._replace_pool(pool)
            return _fail(base.Fault.NOT_DONE, _describe(error))
        except (TimeoutError, httpx.HTTPError) as error:
            self._replace_pool(pool)
            return _fail(base.Fault.UNKNOWN, _describe(error))
        except msgspec.DecodeError as error:
            return _fail(base.Fault.UNKNOWN, _describe(error))
        finally:
            await self._release(pool)

    def _replace_pool(self, pool: _Pool) -> None:
        """Make later calls use new connections."""
        if pool is self._pool:
            self._pool = _Pool(
                _create_client(self._url, self._call_timeout_s, self._tls)
            )

    async def _release(self, pool: _Pool) -> None:
        pool.calls -= 1
        if pool is not self._pool and not pool.calls:
            with anyio.CancelScope(shield=True):
                await pool.client.aclose()


def _create_client(
    url: str,
    read_timeout_s: float,
    tls: ssl.SSLContext | None,
    max_idle: int | None = None,
) -> httpx.AsyncClient:
    """Create a client with at most `max_idle` idle connections.

    If `max_idle` is 0, as for watches, open connections are not limited.
    """
    return http_clients.create_client(
        url,
        tls=tls,
        timeout=httpx.Timeout(read_timeout_s, connect=CONNECT_TIMEOUT_S),
        limits=httpx.Limits(
            max_connections=None if max_idle == 0 else MAX_CONNECTIONS,
            max_keepalive_connections=max_idle,
        ),
    )


def _encode_transaction(
    transaction: base.Transaction,
) -> etcd_messages.TxnRequest:
    return etcd_messages.TxnRequest(
        tuple(
            etcd_messages.Compare(
                precondition.key.encode(),
                etcd_messages.MODIFIED,
                etcd_messages.EQUAL,
                str(precondition.revision),
            )
            for precondition in transaction.preconditions
        ),
        tuple(map(_encode_change, transaction.changes)),
        tuple(
            etcd_messages.RequestOp(
                etcd_messages.RangeRequest(precondition.key.encode())
            )
            for precondition in transaction.preconditions
        ),
    )


def _encode_change(change: base.Write | base.Delete) -> etcd_messages.RequestOp:
    key = change.key.encode()
    if isinstance(change, base.Delete):
        return etcd_messages.RequestOp(
            request_delete_range=etcd_messages.DeleteRequest(key)
        )
    return etcd_messages.RequestOp(
        request_put=etcd_messages.PutRequest(
            key, change.value, str(change.lease)
        )
    )


def _to_record(found: etcd_messages.KeyValue) -> base.Record:
    return base.Record(
        found.key.decode(),
        found.value,
        int(found.mod_revision),
        int(found.lease),
    )


def _iterate_records(done: etcd_messages.TxnResponse) -> Iterator[base.Record]:
    for operation in done.responses:
        if operation.response_range:
            yield from map(_to_record, operation.response_range.kvs)


async def _decode_line(
    line: str,
) -> AsyncIterator[
    result.Result[base.Changes | base.Compacted, base.StoreError]
]:
    """Yield the changes in one line of a watch, grouped by revision."""
    decoded = msgspec.json.decode(line, type=etcd_messages.WatchLine)
    found = decoded.result
    if found is None:
        message = (
            decoded.error.message if decoded.error else "empty watch response"
        )
        yield _fail(base.Fault.NOT_DONE, message)
        return
    if int(found.compact_revision):
        yield result.Success(base.Compacted(int(found.compact_revision)))
        return
    if found.canceled:
        yield _fail(base.Fault.NOT_DONE, found.cancel_reason)
        return
    if not found.events and not found.created:
        yield result.Success(base.Changes((), int(found.header.revision)))
    for revision, events in itertools.groupby(
        found.events, lambda event: int(event.kv.mod_revision)
    ):
        yield result.Success(
            base.Changes(tuple(map(_to_change, events)), revision)
        )


def _to_change(event: etcd_messages.Event) -> base.Change:
    is_deletion = event.type == etcd_messages.DELETE
    return base.Change(
        event.kv.key.decode(),
        None if is_deletion else event.kv.value,
        int(event.kv.mod_revision),
    )


def _parse_error(
    status: int, body: bytes
) -> result.Result[_T, base.StoreError]:
    """Decode an error; a status of 4xx means that there was no effect."""
    message = f"status {status}"
    with contextlib.suppress(msgspec.DecodeError):
        error = msgspec.json.decode(body, type=etcd_messages.Error)
        message = error.message or message
    if status >= MIN_SERVER_ERROR_STATUS:
        return _fail(base.Fault.UNKNOWN, message)
    is_rejected = status == BAD_REQUEST_STATUS
    return _fail(base.Fault.NOT_DONE, message, is_rejected=is_rejected)


def _fail(
    fault: base.Fault, message: str, *, is_rejected: bool = False
) -> result.Result[_T, base.StoreError]:
    return result.Failure(base.StoreError(fault, message, is_rejected))


def _describe(error: Exception) -> str:
    return str(error) or type(error).__name__


def create_etcd_store(
    url: str,
    call_timeout_s: float = CALL_TIMEOUT_S,
    watch_timeout_s: float = WATCH_TIMEOUT_S,
) -> EtcdStore:
    """Create a client of the gateway at `url`.

    Args:
        url: The gateway's base URL.
        call_timeout_s: Timeout of one call in seconds.
        watch_timeout_s: Seconds without a message after which a watch fails.
    """
    return EtcdStore(url, call_timeout_s, watch_timeout_s)
