"""A small stand-in of the users' key-value service over a store in memory.

`python -m eelgrassgate.standins.kv --port 8408` runs it alone.
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

PORT: Final = 8408
MS_PER_S: Final = 1000.0
UNAVAILABLE: Final = 503
BROKEN: Final = 500
NOT_FOUND: Final = 404
BAD_REQUEST: Final = 400
GONE: Final = 410
CONDITION_FAILED: Final = 412


class _Kv:
    """Answers the service's calls from a store."""

    def __init__(self, store: base.Store) -> None:
        self._store = store

    async def read(self, request: requests.Request) -> responses.Response:
        key = request.query_params["key"]
        answer = await self._store.read(key)
        if isinstance(answer, result.Failure):
            return _refuse(answer.failure())
        record = answer.unwrap()
        if record is None:
            return responses.Response(status_code=NOT_FOUND)
        return _answer(_write_record(record))

    async def read_range(self, request: requests.Request) -> responses.Response:
        query = request.query_params
        answer = await self._store.read_range(
            query["prefix"], after=query.get("after", "")
        )
        if isinstance(answer, result.Failure):
            return _refuse(answer.failure())
        page = answer.unwrap()
        return _answer(
            {
                "items": [_write_record(one) for one in page.records],
                "more-pages": page.has_more,
                "store-revision": page.revision,
            }
        )

    async def watch(self, request: requests.Request) -> responses.Response:
        query = request.query_params
        after = int(query["after"])
        wait_s = int(query["wait-ms"]) / MS_PER_S
        events: list[dict[str, Any]] = []
        with anyio.move_on_after(wait_s):
            async for answer in self._store.watch(query["prefix"], after + 1):
                if isinstance(answer, result.Failure):
                    return _refuse(answer.failure())
                found = answer.unwrap()
                if isinstance(found, base.Compacted):
                    return responses.Response(status_code=GONE)
                after = max(after, found.revision)
                events.extend(_write_change(one) for one in found.changes)
                if events:
                    break
        return _answer({"events": events, "store-revision": after})

    async def commit(self, request: requests.Request) -> responses.Response:
        call = msgspec.json.decode(await request.body())
        preconditions = tuple(
            base.Precondition(one["key"], one["revision"])
            for one in call["precondition"]
        )
        changes: list[base.Write | base.Delete] = [
            base.Write(
                one["key"], base64.b64decode(one["value"]), one.get("lease", 0)
            )
            for one in call["puts"]
        ]
        changes.extend(base.Delete(key) for key in call["deletes"])
        answer = await self._store.commit(
            base.Transaction(preconditions, tuple(changes))
        )
        if isinstance(answer, result.Failure):
            return _refuse(answer.failure())
        commit = answer.unwrap()
        if commit.is_done:
            return _answer({"revision": commit.revision})
        by_key = {one.key: one for one in commit.found}
        items = [
            _write_record(by_key[one.key])
            if one.key in by_key
            else {"key": one.key, "revision": 0}
            for one in preconditions
        ]
        return _answer({"items": items}, CONDITION_FAILED)

    async def grant(self, request: requests.Request) -> responses.Response:
        call = msgspec.json.decode(await request.body())
        answer = await self._store.grant_lease(call["ttl-ms"] / MS_PER_S)
        if isinstance(answer, result.Failure):
            return _refuse(answer.failure())
        lease = answer.unwrap()
        return _answer(
            {"lease": lease.lease, "ttl-ms": int(lease.ttl_s * MS_PER_S)}
        )

    async def keep(self, request: requests.Request) -> responses.Response:
        lease = int(request.path_params["lease"])
        answer = await self._store.renew_lease(lease)
        if isinstance(answer, result.Failure):
            return _refuse(answer.failure())
        kept = answer.unwrap()
        if kept is None:
            return responses.Response(status_code=NOT_FOUND)
        return _answer({"ttl-ms": int(kept.ttl_s * MS_PER_S)})

    async def revoke(self, request: requests.Request) -> responses.Response:
        lease = int(request.path_params["lease"])
        answer = await self._store.revoke_lease(lease)
        if isinstance(answer, result.Failure):
            return _refuse(answer.failure())
        return _answer({})


def _write_record(record: base.Record) -> dict[str, Any]:
    return {
        "key": record.key,
        "value": base64.b64encode(record.value).decode(),
        "revision": record.revision,
        "create-revision": record.revision,
        "lease": record.lease,
    }


def _write_change(change: base.Change) -> dict[str, Any]:
    if change.value is None:
        return {
            "key": change.key,
            "revision": change.revision,
            "deleted": True,
        }
    return _write_record(base.Record(change.key, change.value, change.revision))


def _answer(document: dict[str, Any], status: int = 200) -> responses.Response:
    return responses.Response(
        msgspec.json.encode(document), status, media_type="application/json"
    )


def _refuse(error: base.StoreError) -> responses.Response:
    """Answer a failure: 503 promises that nothing was done."""
    if error.fault is base.Fault.UNKNOWN:
        return responses.Response(error.message, BROKEN)
    status = UNAVAILABLE
    return responses.Response(error.message, status)


def create_app(store: base.Store) -> applications.Starlette:
    """Create the application over `store`."""
    kv = _Kv(store)
    return applications.Starlette(
        routes=[
            routing.Route("/kv-key", kv.read),
            routing.Route("/kv-range", kv.read_range),
            routing.Route("/kv-watch", kv.watch),
            routing.Route("/kv-txn", kv.commit, methods=["POST"]),
            routing.Route("/kv-lease", kv.grant, methods=["POST"]),
            routing.Route("/kv-keep/{lease}", kv.keep, methods=["POST"]),
            routing.Route(
                "/kv-lease-end/{lease}", kv.revoke, methods=["DELETE"]
            ),
        ]
    )


if __name__ == "__main__":
    daemon.run(create_app(memory.create_memory_store()), PORT)
