"""A stand-in of the platform's metadata store (PROTOCOL.md)."""

import asyncio
import base64
import contextlib
import dataclasses
import itertools
import json
import time
from typing import Any
import urllib.parse

from harness import http

ANSWER_S = 0.004
VALUE_BYTES = 1_048_576
MIN_LEASE_MS = 1_000
MAX_LEASE_MS = 600_000
MAX_WATCH_MS = 30_000
PAGE_ITEMS = 500
PAGE_BYTES = 1_000_000
MAX_KEY_BYTES = 200
MAX_ENTRIES = 32
LEASE_CHECK_S = 0.05
JSON = {"Content-Type": "application/json"}


@dataclasses.dataclass(frozen=True)
class _Item:
    key: str
    value: bytes
    revision: int
    created: int
    lease: int

    def encode(self) -> dict[str, Any]:
        return {
            "key": self.key,
            "value": base64.b64encode(self.value).decode(),
            "revision": self.revision,
            "create-revision": self.created,
            "lease": self.lease,
        }


@dataclasses.dataclass
class _Lease:
    ttl_s: float
    expires_at: float


class Store:
    """The store; all state is in memory.

    Attributes:
        is_busy: Whether all calls are answered with 503, which means that
            nothing was done. Leases pause meanwhile.
        rejected: Transactions that were refused for the size of a value, as
            pairs of key and size.
    """

    def __init__(self) -> None:
        """Create an empty store."""
        self.is_busy = False
        self.rejected: list[tuple[str, int]] = []
        self._items_by_key: dict[str, _Item] = {}
        self._leases_by_id: dict[int, _Lease] = {}
        self._lease_ids = itertools.count(1_000)
        self._revision = 1
        self._events: list[tuple[int, str, dict[str, Any]]] = []
        self._changed = asyncio.Event()
        self._servers: list[asyncio.Server] = []
        self._tasks: list[asyncio.Task[None]] = []

    async def serve(self, transit_s: float) -> str:
        """Serve on a free port; each way takes `transit_s`."""

        async def handle(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            await self._serve_connection(reader, writer, transit_s)

        server = await asyncio.start_server(handle, "127.0.0.1", 0, limit=2**26)
        self._servers.append(server)
        if not self._tasks:
            self._tasks.append(asyncio.create_task(self._expire_leases()))
        return f"127.0.0.1:{server.sockets[0].getsockname()[1]}"

    def close(self) -> None:
        """Stop serving."""
        for server in self._servers:
            server.close()
        for task in self._tasks:
            task.cancel()

    def put(self, key: str, document: object) -> None:
        """Write as the operator or a worker does."""
        value = json.dumps(document).encode()
        self._apply({"puts": [(key, value, 0)], "deletes": []})

    def delete(self, key: str) -> None:
        """Delete as a worker's registration does."""
        self._apply({"puts": [], "deletes": [key]})

    def list_keys(self, prefix: str) -> list[str]:
        """Return the keys under a prefix."""
        return [one for one in self._items_by_key if one.startswith(prefix)]

    def get(self, key: str) -> bytes | None:
        """Return the value of a key."""
        item = self._items_by_key.get(key)
        return None if item is None else item.value

    async def _serve_connection(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        transit_s: float,
    ) -> None:
        try:
            while True:
                request = await http.read_request(reader)
                await asyncio.sleep(transit_s + ANSWER_S)
                answer = await self._answer(request)
                await asyncio.sleep(transit_s)
                writer.write(answer)
                await writer.drain()
        except (OSError, EOFError, ValueError, asyncio.CancelledError):
            return
        finally:
            writer.close()

    async def _answer(self, request: http.Request) -> bytes:
        if self.is_busy:
            return http.write_response(503, {})
        path, _, query = request.target.partition("?")
        fields = dict(urllib.parse.parse_qsl(query))
        body = json.loads(request.body) if request.body else {}
        status, document = 404, {}
        if path == "/kv-key":
            status, document = self._read(fields)
        elif path == "/kv-range":
            status, document = self._read_range(fields)
        elif path == "/kv-watch":
            status, document = await self._watch(fields)
        elif path == "/kv-txn":
            status, document = self._commit(body)
        elif path == "/kv-lease":
            status, document = self._grant(body)
        elif path.startswith("/kv-keep/"):
            status, document = self._renew(int(path.rpartition("/")[2]))
        elif path.startswith("/kv-lease-end/"):
            status, document = self._end_lease(int(path.rpartition("/")[2]))
        return http.write_response(status, JSON, json.dumps(document).encode())

    def _read(self, fields: dict[str, str]) -> tuple[int, dict[str, Any]]:
        item = self._items_by_key.get(fields["key"])
        if item is None:
            return 404, {}
        return 200, {**item.encode(), "store-revision": self._revision}

    def _read_range(self, fields: dict[str, str]) -> tuple[int, dict[str, Any]]:
        after = fields.get("after", "")
        keys = sorted(
            key
            for key in self._items_by_key
            if key.startswith(fields["prefix"]) and key > after
        )
        found: list[dict[str, Any]] = []
        size = 0
        for key in keys:
            item = self._items_by_key[key]
            size += len(item.value)
            if found and (size > PAGE_BYTES or len(found) == PAGE_ITEMS):
                break
            found.append(item.encode())
        return 200, {
            "items": found,
            "more-pages": len(found) < len(keys),
            "store-revision": self._revision,
        }

    async def _watch(
        self, fields: dict[str, str]
    ) -> tuple[int, dict[str, Any]]:
        after = int(fields["after"])
        wait_s = min(int(fields["wait-ms"]), MAX_WATCH_MS) / 1000
        deadline = time.monotonic() + wait_s
        while True:
            if self.is_busy:
                return 503, {}
            events = [
                event
                for revision, key, event in self._events
                if revision > after and key.startswith(fields["prefix"])
            ]
            left_s = deadline - time.monotonic()
            if events or left_s <= 0:
                break
            changed = self._changed
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(min(left_s, 0.25)):
                    await changed.wait()
        return 200, {"events": events, "store-revision": self._revision}

    def _commit(self, body: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        failed = False
        current = []
        for one in body["precondition"]:
            item = self._items_by_key.get(one["key"])
            failed |= (item.revision if item else 0) != one["revision"]
            current.append(
                item.encode() if item else {"key": one["key"], "revision": 0}
            )
        puts = [
            (one["key"], base64.b64decode(one["value"]), one.get("lease", 0))
            for one in body["puts"]
        ]
        deletes = body["deletes"]
        if len(puts) + len(deletes) + len(current) > MAX_ENTRIES:
            return 400, {"error": "too many entries"}
        for key, value, lease in puts:
            if len(key.encode()) > MAX_KEY_BYTES:
                return 400, {"error": "key too long"}
            if len(value) > VALUE_BYTES:
                self.rejected.append((key, len(value)))
                return 413, {"error": "value too large"}
            if lease and lease not in self._leases_by_id:
                return 404, {"error": "no such lease"}
        keys = [key for key, _, _ in puts] + deletes
        if any(key.startswith(("op/", "servers/")) for key in keys):
            return 403, {}
        if failed:
            return 412, {"items": current}
        self._apply({"puts": puts, "deletes": deletes})
        return 200, {"revision": self._revision}

    def _apply(self, change: dict[str, Any]) -> None:
        self._revision += 1
        for key, value, lease in change["puts"]:
            known = self._items_by_key.get(key)
            created = known.created if known else self._revision
            item = _Item(key, value, self._revision, created, lease)
            self._items_by_key[key] = item
            self._events.append((self._revision, key, item.encode()))
        for key in change["deletes"]:
            if self._items_by_key.pop(key, None) is None:
                continue
            event = {"key": key, "revision": self._revision, "deleted": True}
            self._events.append((self._revision, key, event))
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()

    def _grant(self, body: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        ttl_ms = min(max(body["ttl-ms"], MIN_LEASE_MS), MAX_LEASE_MS)
        lease = next(self._lease_ids)
        ttl_s = ttl_ms / 1000
        self._leases_by_id[lease] = _Lease(ttl_s, time.monotonic() + ttl_s)
        return 200, {"lease": lease, "ttl-ms": ttl_ms}

    def _renew(self, lease: int) -> tuple[int, dict[str, Any]]:
        known = self._leases_by_id.get(lease)
        if known is None:
            return 404, {}
        known.expires_at = time.monotonic() + known.ttl_s
        return 200, {"ttl-ms": int(known.ttl_s * 1000)}

    def _end_lease(self, lease: int) -> tuple[int, dict[str, Any]]:
        if self._leases_by_id.pop(lease, None) is None:
            return 404, {}
        keys = [
            key
            for key, item in self._items_by_key.items()
            if item.lease == lease
        ]
        if keys:
            self._apply({"puts": [], "deletes": keys})
        return 200, {}

    async def _expire_leases(self) -> None:
        while True:
            started_at = time.monotonic()
            await asyncio.sleep(LEASE_CHECK_S)
            now = time.monotonic()
            for lease, known in list(self._leases_by_id.items()):
                if self.is_busy:
                    known.expires_at += now - started_at
                elif known.expires_at <= now:
                    self._end_lease(lease)
