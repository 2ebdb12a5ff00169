"""A simulated JSON gateway of etcd, over a store in this process.

To run it as a process: `python -m eelgrassgate.standins.store --port 2379`.
"""

from collections.abc import AsyncIterator
import contextlib
from typing import Any
from typing import Final
from typing import TypeVar

import msgspec
from starlette import applications
from starlette import requests
from starlette import responses
from starlette import routing

from eelgrassgate.standins import daemon
from eelgrassgate.store import base
from eelgrassgate.store import etcd_messages
from eelgrassgate.store import memory

UNAVAILABLE_STATUS: Final = 503
UNAVAILABLE_CODE: Final = 14
NOT_FOUND_STATUS: Final = 404
NOT_FOUND_CODE: Final = 5
INVALID_STATUS: Final = 400
INVALID_CODE: Final = 3
MAX_BODY_BYTES: Final = 2_097_152
JSON_TYPE: Final = "application/json"
DEFAULT_PORT: Final = 2379

_T = TypeVar("_T")


class _BadRequestError(Exception):
    """A request body is malformed or too large."""


class _GatewayServer:
    """Handles the gateway's requests on a store."""

    def __init__(self, store: base.Store) -> None:
        self._store = store

    async def read(self, request: requests.Request) -> responses.Response:
        call = await _decode(request, etcd_messages.RangeRequest)
        key = call.key.decode()
        if not call.range_end:
            return (
                (await self._store.read(key))
                .map(_encode_one)
                .value_or(_respond_unavailable())
            )
        prefix, after = _parse_range(call)
        response = await self._store.read_range(
            prefix, after=after, limit=int(call.limit)
        )
        return response.map(_encode_page).value_or(_respond_unavailable())

    async def commit(self, request: requests.Request) -> responses.Response:
        call = await _decode(request, etcd_messages.TxnRequest)
        transaction = base.Transaction(
            tuple(
                base.Precondition(
                    compare.key.decode(), int(compare.mod_revision)
                )
                for compare in call.compare
            ),
            tuple(map(_decode_change, call.success)),
        )
        response = await self._store.commit(transaction)
        committed = response.value_or(None)
        if committed is None:
            error = response.failure()
            if error.fault is base.Fault.NOT_DONE and not error.is_rejected:
                # Of what a transaction needs, only a lease can be missing.
                return _respond_with_error(
                    NOT_FOUND_STATUS, NOT_FOUND_CODE, error.message
                )
            if error.fault is base.Fault.NOT_DONE:
                return _respond_with_error(
                    INVALID_STATUS, INVALID_CODE, error.message
                )
            return _respond_unavailable()
        return _respond(_encode_commit(call, committed))

    async def grant(self, request: requests.Request) -> responses.Response:
        call = await _decode(request, etcd_messages.GrantRequest)
        response = await self._store.grant_lease(float(call.ttl))
        return response.map(
            lambda lease: _respond(_encode_lease(lease))
        ).value_or(_respond_unavailable())

    async def renew(self, request: requests.Request) -> responses.Response:
        call = await _decode(request, etcd_messages.LeaseRequest)
        response = await self._store.renew_lease(int(call.id))
        unknown = etcd_messages.LeaseResponse(call.id)
        return response.map(
            lambda lease: _respond(
                etcd_messages.KeepAliveLine(
                    _encode_lease(lease) if lease else unknown
                )
            )
        ).value_or(_respond_unavailable())

    async def revoke(self, request: requests.Request) -> responses.Response:
        call = await _decode(request, etcd_messages.LeaseRequest)
        response = await self._store.revoke_lease(int(call.id))
        return response.map(
            lambda _: _respond(etcd_messages.LeaseResponse())
        ).value_or(_respond_unavailable())

    async def watch(self, request: requests.Request) -> responses.Response:
        call = await _decode(request, etcd_messages.WatchRequest)
        return responses.StreamingResponse(
            self._stream(call.create_request), media_type=JSON_TYPE
        )

    async def _stream(
        self, call: etcd_messages.WatchCreateRequest
    ) -> AsyncIterator[bytes]:
        yield _encode_line(etcd_messages.WatchResponse(created=True))
        prefix, _ = _parse_range(call)
        watch: Any = self._store.watch(prefix, int(call.start_revision))
        async with contextlib.aclosing(watch):
            async for response in watch:
                change = response.value_or(None)
                if change is None:
                    return
                yield _encode_line(_encode_change(change))


def _parse_range(
    call: etcd_messages.RangeRequest | etcd_messages.WatchCreateRequest,
) -> tuple[str, str]:
    """Return the prefix of a range and the key to start after."""
    key = call.key.decode()
    if call.range_end == b"\0":
        return "", key.removesuffix("\0")
    prefix = (call.range_end[:-1] + bytes((call.range_end[-1] - 1,))).decode()
    return prefix, "" if key == prefix else key.removesuffix("\0")


def _decode_change(
    operation: etcd_messages.RequestOp,
) -> base.Write | base.Delete:
    if operation.request_put:
        put = operation.request_put
        return base.Write(put.key.decode(), put.value, int(put.lease))
    if operation.request_delete_range:
        return base.Delete(operation.request_delete_range.key.decode())
    raise _BadRequestError("an operation of the transaction is empty")


def _encode_record(record: base.Record) -> etcd_messages.KeyValue:
    return etcd_messages.KeyValue(
        record.key.encode(),
        record.value,
        str(record.revision),
        str(record.lease),
    )


def _encode_one(record: base.Record | None) -> responses.Response:
    kvs = (_encode_record(record),) if record else ()
    return _respond(etcd_messages.RangeResponse(kvs=kvs))


def _encode_page(page: base.Page) -> responses.Response:
    return _respond(
        etcd_messages.RangeResponse(
            etcd_messages.Header(str(page.revision)),
            tuple(map(_encode_record, page.records)),
            page.has_more,
        )
    )


def _encode_commit(
    call: etcd_messages.TxnRequest, committed: base.Commit
) -> etcd_messages.TxnResponse:
    records_by_key = {record.key.encode(): record for record in committed.found}
    operations = () if committed.is_done else call.failure
    return etcd_messages.TxnResponse(
        etcd_messages.Header(str(committed.revision)),
        committed.is_done,
        tuple(
            etcd_messages.ResponseOp(
                etcd_messages.RangeResponse(
                    kvs=(_encode_record(records_by_key[operation.key]),)
                    if operation.key in records_by_key
                    else ()
                )
            )
            for operation in (
                operation.request_range for operation in operations
            )
            if operation
        ),
    )


def _encode_lease(lease: base.Lease) -> etcd_messages.LeaseResponse:
    return etcd_messages.LeaseResponse(str(lease.lease), str(int(lease.ttl_s)))


def _encode_change(
    change: base.Changes | base.Compacted,
) -> etcd_messages.WatchResponse:
    if isinstance(change, base.Compacted):
        return etcd_messages.WatchResponse(
            canceled=True, compact_revision=str(change.revision)
        )
    return etcd_messages.WatchResponse(
        etcd_messages.Header(str(change.revision)),
        events=tuple(
            etcd_messages.Event(
                etcd_messages.KeyValue(
                    one.key.encode(), one.value or b"", str(one.revision)
                ),
                etcd_messages.DELETE
                if one.value is None
                else etcd_messages.PUT,
            )
            for one in change.changes
        ),
    )


def _encode_line(response: etcd_messages.WatchResponse) -> bytes:
    return msgspec.json.encode(etcd_messages.WatchLine(response)) + b"\n"


async def _decode(request: requests.Request, kind: type[_T]) -> _T:
    body = bytearray()
    async for part in request.stream():
        body += part
        if len(body) > MAX_BODY_BYTES:
            raise _BadRequestError("etcdserver: request is too large")
    try:
        return msgspec.json.decode(bytes(body), type=kind)
    except msgspec.DecodeError as error:
        raise _BadRequestError(str(error)) from error


def _respond(message: msgspec.Struct) -> responses.Response:
    return responses.Response(
        msgspec.json.encode(message), media_type=JSON_TYPE
    )


def _respond_with_error(
    status: int, code: int, message: str
) -> responses.Response:
    error = etcd_messages.Error(code, message)
    return responses.Response(
        msgspec.json.encode(error), status, None, JSON_TYPE
    )


def _respond_unavailable() -> responses.Response:
    return _respond_with_error(
        UNAVAILABLE_STATUS, UNAVAILABLE_CODE, "etcdserver: request timed out"
    )


async def _handle_bad_request(
    request: requests.Request, error: Exception
) -> responses.Response:
    return _respond_with_error(INVALID_STATUS, INVALID_CODE, str(error))


def create_app(store: base.Store) -> applications.Starlette:
    """Create the ASGI application that serves `store`."""
    server = _GatewayServer(store)
    endpoints_by_path = {
        etcd_messages.RANGE_PATH: server.read,
        etcd_messages.TXN_PATH: server.commit,
        etcd_messages.GRANT_PATH: server.grant,
        etcd_messages.KEEP_ALIVE_PATH: server.renew,
        etcd_messages.REVOKE_PATH: server.revoke,
        etcd_messages.WATCH_PATH: server.watch,
    }
    return applications.Starlette(
        routes=[
            routing.Route(path, endpoint, methods=["POST"])
            for path, endpoint in endpoints_by_path.items()
        ],
        exception_handlers={_BadRequestError: _handle_bad_request},
    )


if __name__ == "__main__":
    daemon.run(create_app(memory.create_memory_store()), DEFAULT_PORT)
