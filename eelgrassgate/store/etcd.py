"""The store as etcd v3, spoken through its published JSON gateway.

Each call has a deadline. After one that passed, calls use new connections,
since others of the pool may have gone silent together.

A watch that hears nothing for `SILENCE_S` ends in a failure. etcd sends
progress every 10 minutes unless its interval for progress notices is set
lower; set it to 2 s, else a quiet watch is opened anew every `SILENCE_S`.
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

from eelgrassgate.store import base
from eelgrassgate.store import etcd_messages

CALL_S: Final = 3.0
CONNECT_S: Final = 1.0
SILENCE_S: Final = 6.0
MAX_CONNECTIONS: Final = 32
CLIENT_ERROR: Final = 400
SERVER_ERROR: Final = 500

_T = TypeVar("_T")


class _Pool:
    """A client with the number of its calls in flight."""

    def __init__(self, client: httpx.AsyncClient) -> None:
        self.client = client
        self.calls = 0


class EtcdStore:
    """An implementation of `base.Store`."""

    def __init__(self, url: str, call_s: float, silence_s: float) -> None:
        """Prepare connections; see `create_etcd_store`."""
        self._url = url
        self._call_s = call_s
        self._silence_s = silence_s
        self._tls: ssl.SSLContext | bool = False
        if httpx.URL(url).scheme == "https":
            self._tls = httpx.create_ssl_context()
        self._pool = _Pool(_create_client(url, call_s, self._tls))
        self._watching = _create_client(url, silence_s, self._tls, kept=0)

    async def read(
        self, key: str
    ) -> result.Result[base.Record | None, base.StoreError]:
        """Read one key."""
        answer = await self._read(etcd_messages.RangeRequest(key.encode()))
        return answer.map(
            lambda found: _convert(found.kvs[0]) if found.kvs else None
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
                tuple(map(_convert, found.kvs)),
                int(found.header.revision),
                found.more,
            )
        )

    async def commit(
        self, transaction: base.Transaction
    ) -> result.Result[base.Commit, base.StoreError]:
        """Make changes if expectations hold."""
        for change in transaction.changes:
            if (
                isinstance(change, base.Write)
                and len(change.value) > base.MAX_VALUE_BYTES
            ):
                return _fail(
                    base.Fault.NOT_DONE,
                    f"the value of {change.key} is too large",
                )
        answer = await self._call(
            etcd_messages.TXN_PATH,
            _encode(transaction),
            etcd_messages.TxnResponse,
        )
        return answer.map(
            lambda done: base.Commit(
                done.succeeded,
                int(done.header.revision),
                () if done.succeeded else tuple(_find(done)),
            )
        )

    async def grant_lease(
        self, ttl_s: float
    ) -> result.Result[base.Lease, base.StoreError]:
        """Grant a lease of whole seconds, at least `ttl_s`."""
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
        """End a lease; one that is not known counts as ended."""
        answer = await self._call(
            etcd_messages.REVOKE_PATH,
            etcd_messages.LeaseRequest(str(lease)),
            etcd_messages.LeaseResponse,
            allowed=(httpx.codes.NOT_FOUND,),
        )
        return answer.map(lambda _: None)

    async def watch(
        self, prefix: str, from_revision: int
    ) -> AsyncIterator[
        result.Result[base.Changes | base.Compacted, base.StoreError]
    ]:
        """Yield changes under `prefix`."""
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
            async with self._watching.stream(
                "POST",
                etcd_messages.WATCH_PATH,
                content=msgspec.json.encode(request),
            ) as response:
                lines = response.aiter_lines()
                while True:
                    with anyio.fail_after(self._silence_s):
                        line = await anext(lines)
                    async for answer in _read_line(line):
                        yield answer
                        if not isinstance(answer.value_or(None), base.Changes):
                            return
        except StopAsyncIteration:
            yield _fail(base.Fault.NOT_DONE, "the watch ended")
        except TimeoutError:
            yield _fail(base.Fault.NOT_DONE, "the watch is silent")
        except (httpx.HTTPError, msgspec.DecodeError) as error:
            yield _fail(base.Fault.NOT_DONE, _describe(error))

    async def close(self) -> None:
        """Release connections."""
        await self._pool.client.aclose()
        await self._watching.aclose()

    async def _read(
        self, request: etcd_messages.RangeRequest
    ) -> result.Result[etcd_messages.RangeResponse, base.StoreError]:
        """Read; a failed read has taken no effect."""
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
        """Make a call; statuses in `allowed` count as an empty answer."""
        pool = self._pool
        pool.calls += 1
        try:
            with anyio.fail_after(self._call_s):
                response = await pool.client.post(
                    path, content=msgspec.json.encode(request)
                )
            if response.status_code in allowed:
                return result.Success(msgspec.json.decode(b"{}", type=kind))
            if response.status_code >= CLIENT_ERROR:
                return _refuse(response)
            return result.Success(
                msgspec.json.decode(response.content, type=kind)
            )
        except (httpx.ConnectError, httpx.ConnectTimeout) as error:
            return _fail(base.Fault.NOT_DONE, _describe(error))
        except httpx.PoolTimeout as error:
            self._renew(pool)
            return _fail(base.Fault.NOT_DONE, _describe(error))
        except (TimeoutError, httpx.HTTPError) as error:
            self._renew(pool)
            return _fail(base.Fault.UNKNOWN, _describe(error))
        except msgspec.DecodeError as error:
            return _fail(base.Fault.UNKNOWN, _describe(error))
        finally:
            await self._release(pool)

    def _renew(self, pool: _Pool) -> None:
        """Let later calls use new connections."""
        if pool is self._pool:
            self._pool = _Pool(
                _create_client(self._url, self._call_s, self._tls)
            )

    async def _release(self, pool: _Pool) -> None:
        pool.calls -= 1
        if pool is not self._pool and not pool.calls:
            with anyio.CancelScope(shield=True):
                await pool.client.aclose()


def _create_client(
    url: str,
    silence_s: float,
    tls: ssl.SSLContext | bool,
    kept: int | None = None,
) -> httpx.AsyncClient:
    """Create a client that keeps up to `kept` idle connections."""
    return httpx.AsyncClient(
        base_url=url,
        verify=tls,
        trust_env=False,
        timeout=httpx.Timeout(silence_s, connect=CONNECT_S),
        limits=httpx.Limits(
            max_connections=None if kept == 0 else MAX_CONNECTIONS,
            max_keepalive_connections=kept,
        ),
    )


def _encode(transaction: base.Transaction) -> etcd_messages.TxnRequest:
    return etcd_messages.TxnRequest(
        tuple(
            etcd_messages.Compare(
                expect.key.encode(),
                etcd_messages.MODIFIED,
                etcd_messages.EQUAL,
                str(expect.revision),
            )
            for expect in transaction.preconditions
        ),
        tuple(map(_encode_change, transaction.changes)),
        tuple(
            etcd_messages.RequestOp(
                etcd_messages.RangeRequest(expect.key.encode())
            )
            for expect in transaction.preconditions
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


def _convert(found: etcd_messages.KeyValue) -> base.Record:
    return base.Record(
        found.key.decode(),
        found.value,
        int(found.mod_revision),
        int(found.lease),
    )


def _find(done: etcd_messages.TxnResponse) -> Iterator[base.Record]:
    for step in done.responses:
        if step.response_range:
            yield from map(_convert, step.response_range.kvs)


async def _read_line(
    line: str,
) -> AsyncIterator[
    result.Result[base.Changes | base.Compacted, base.StoreError]
]:
    """Yield what one line of a watch tells, by revision."""
    step = msgspec.json.decode(line, type=etcd_messages.WatchLine)
    found = step.result
    if found is None:
        message = step.error.message if step.error else "an empty line"
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
            base.Changes(tuple(map(_convert_event, events)), revision)
        )


def _convert_event(event: etcd_messages.Event) -> base.Change:
    is_gone = event.type == etcd_messages.DELETE
    return base.Change(
        event.kv.key.decode(),
        None if is_gone else event.kv.value,
        int(event.kv.mod_revision),
    )


def _refuse(
    response: httpx.Response,
) -> result.Result[_T, base.StoreError]:
    """Read an error; the gateway refuses with 4xx before any effect."""
    message = f"status {response.status_code}"
    with contextlib.suppress(msgspec.DecodeError):
        error = msgspec.json.decode(response.content, type=etcd_messages.Error)
        message = error.message or message
    if response.status_code >= SERVER_ERROR:
        return _fail(base.Fault.UNKNOWN, message)
    return _fail(base.Fault.NOT_DONE, message)


def _fail(
    fault: base.Fault, message: str
) -> result.Result[_T, base.StoreError]:
    return result.Failure(base.StoreError(fault, message))


def _describe(error: Exception) -> str:
    return str(error) or type(error).__name__


def create_etcd_store(
    url: str, call_s: float = CALL_S, silence_s: float = SILENCE_S
) -> EtcdStore:
    """Create a store that speaks to the gateway at `url`.

    Args:
        url: The gateway's base URL.
        call_s: Longest time of one call in seconds.
        silence_s: Longest silence of a watch in seconds.
    """
    return EtcdStore(url, call_s, silence_s)
