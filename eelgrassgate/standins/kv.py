"""A simulated key-value service of the platform, over an in-memory store.

To run it as a process: `python -m eelgrassgate.standins.kv --port 8408`.
"""

import base64
from typing import Any
from typing import Final

import anyio
import msgspec
from returns import result
from starlette import applications
from starlette import requests
from starlette import responses
from starlette import routing

from eelgrassgate.standins import daemon
from eelgrassgate.store import base
from eelgrassgate.store import memory

DEFAULT_PORT: Final = 8408
MS_PER_S: Final = 1000.0
TOO_LARGE_STATUS: Final = 413
UNAVAILABLE_STATUS: Final = 503
INTERNAL_SERVER_ERROR_STATUS: Final = 500
NOT_FOUND_STATUS: Final = 404
BAD_REQUEST_STATUS: Final = 400
GONE_STATUS: Final = 410
PRECONDITION_FAILED_STATUS: Final = 412


class _KvServer:
    """Handles the service's requests on a store."""

    def __init__(self, store: base.Store) -> None:
        self._store = store

    async def read(self, request: requests.Request) -> responses.Response:
        key = request.query_params["key"]
        response = await self._store.read(key)
        if isinstance(response, result.Failure):
            return _respond_with_error(response.failure())
        record = response.unwrap()
        if record is None:
            return responses.Response(status_code=NOT_FOUND_STATUS)
        return _respond(_encode_record(record))

    async def read_range(self, request: requests.Request) -> responses.Response:
        query = request.query_params
        response = await self._store.read_range(
            query["prefix"], after=query.get("after", "")
        )
        if isinstance(response, result.Failure):
            return _respond_with_error(response.failure())
        page = response.unwrap()
        return _respond(
            {
                "items": [_encode_record(one) for one in page.records],
                "more-pages": page.has_more,
                "store-revision": page.revision,
            }
        )

    async def watch(self, request: requests.Request) -> responses.Response:
        query = request.query_params
        after = int(query["after"])
        wait_s = int(query["wait-ms"]) / MS_PER_S
        events: list[dict[str, Any]] = []
        with anyio.move_on_after(wait_s) as scope:
            async for response in self._store.watch(query["prefix"], after + 1):
                if isinstance(response, result.Failure):
                    return _respond_with_error(response.failure())
                found = response.unwrap()
                if isinstance(found, base.Compacted):
                    return responses.Response(status_code=GONE_STATUS)
                after = max(after, found.revision)
                events.extend(_encode_change(one) for one in found.changes)
                if events:
                    # The response has all changes up to now, so the poll ends
                    # as soon as the watch has to wait.
                    scope.deadline = anyio.current_time()
        return _respond({"events": events, "store-revision": after})

    async def commit(self, request: requests.Request) -> responses.Response:
        body = msgspec.json.decode(await request.body())
        preconditions = tuple(
            base.Precondition(one["key"], one["revision"])
            for one in body["precondition"]
        )
        changes: list[base.Write | base.Delete] = [
            base.Write(
                one["key"], base64.b64decode(one["value"]), one.get("lease", 0)
            )
            for one in body["puts"]
        ]
        changes.extend(base.Delete(key) for key in body["deletes"])
        response = await self._store.commit(
            base.Transaction(preconditions, tuple(changes))
        )
        if isinstance(response, result.Failure):
            return _respond_with_error(response.failure())
        commit = response.unwrap()
        if commit.is_done:
            return _respond({"revision": commit.revision})
        records_by_key = {one.key: one for one in commit.found}
        items = [
            _encode_record(records_by_key[one.key])
            if one.key in records_by_key
            else {"key": one.key, "revision": 0}
            for one in preconditions
        ]
        return _respond({"items": items}, PRECONDITION_FAILED_STATUS)

    async def grant(self, request: requests.Request) -> responses.Response:
        body = msgspec.json.decode(await request.body())
        response = await self._store.grant_lease(body["ttl-ms"] / MS_PER_S)
        if isinstance(response, result.Failure):
            return _respond_with_error(response.failure())
        lease = response.unwrap()
        return _respond(
            {"lease": lease.lease, "ttl-ms": int(lease.ttl_s * MS_PER_S)}
        )

    async def renew(self, request: requests.Request) -> responses.Response:
        lease = int(request.path_params["lease"])
        response = await self._store.renew_lease(lease)
        if isinstance(response, result.Failure):
            return _respond_with_error(response.failure())
        renewed = response.unwrap()
        if renewed is None:
            return responses.Response(status_code=NOT_FOUND_STATUS)
        return _respond({"ttl-ms": int(renewed.ttl_s * MS_PER_S)})

    async def revoke(self, request: requests.Request) -> responses.Response:
        lease = int(request.path_params["lease"])
        response = await self._store.revoke_lease(lease)
        if isinstance(response, result.Failure):
            return _respond_with_error(response.failure())
        return _respond({})


def _encode_record(record: base.Record) -> dict[str, Any]:
    return {
        "key": record.key,
        "value": base64.b64encode(record.value).decode(),
        "revision": record.revision,
        "create-revision": record.revision,
        "lease": record.lease,
    }


def _encode_change(change: base.Change) -> dict[str, Any]:
    if change.value is None:
        return {
            "key": change.key,
            "revision": change.revision,
            "deleted": True,
        }
    return _encode_record(
        base.Record(change.key, change.value, change.revision)
    )


def _respond(document: dict[str, Any], status: int = 200) -> responses.Response:
    return responses.Response(
        msgspec.json.encode(document), status, media_type="application/json"
    )


def _respond_with_error(error: base.StoreError) -> responses.Response:
    """Return the error response; 503 means that nothing was changed."""
    if error.fault is base.Fault.UNKNOWN:
        return responses.Response(error.message, INTERNAL_SERVER_ERROR_STATUS)
    status = TOO_LARGE_STATUS if error.is_rejected else UNAVAILABLE_STATUS
    return responses.Response(error.message, status)


def create_app(store: base.Store) -> applications.Starlette:
    """Create the ASGI application that serves `store`."""
    kv = _KvServer(store)
    return applications.Starlette(
        routes=[
            routing.Route("/kv-key", kv.read),
            routing.Route("/kv-range", kv.read_range),
            routing.Route("/kv-watch", kv.watch),
            routing.Route("/kv-txn", kv.commit, methods=["POST"]),
            routing.Route("/kv-lease", kv.grant, methods=["POST"]),
            routing.Route("/kv-keep/{lease}", kv.renew, methods=["POST"]),
            routing.Route(
                "/kv-lease-end/{lease}", kv.revoke, methods=["DELETE"]
            ),
        ]
    )


if __name__ == "__main__":
    daemon.run(create_app(memory.create_memory_store()), DEFAULT_PORT)
