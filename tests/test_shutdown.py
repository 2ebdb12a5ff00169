"""Planned shutdowns of a complete gateway, seen by its callers."""

from collections.abc import AsyncIterator
from collections.abc import Callable
import contextlib
from typing import Any
from typing import Final
import unittest

import anyio
from anyio import abc
import h11
import msgspec

from eelgrassgate import deadlines
from eelgrassgate.gateway import daemon
from eelgrassgate.gateway import node
from eelgrassgate.gateway import settings
from eelgrassgate.platform import batch_calls
from eelgrassgate.platform import dialect
from eelgrassgate.platform import documents
from eelgrassgate.standins import endpoint
from eelgrassgate.store import base
from tests import loopback
from tests import site as site_lib
from tests import test_batch_daemon

TIMEOUT_S: Final = 10.0
GRACE_S: Final = 3.0
# When the gateway has stopped accepting, for that grace period.
LATE_S: Final = 1.7
# Times of a request that an endpoint works on for longer than the grace period.
LONG_S: Final = 8.0
PATHS: Final = ("/plain/a", "/twice/a", "/stream/a")


def make_config() -> dict[str, Any]:
    """Return a configuration with a route for each kind."""
    kinds = {
        "plain": "safe",
        "twice": "unsafe",
        "stream": "streaming",
        "jobs": "batch",
    }
    return {
        "version": 1,
        "routes": [
            {
                "name": name,
                "host": site_lib.HOST,
                "prefix": f"/{name}/",
                "kind": kind,
                "timeout-ms": 9_000,
                "target-latency-ms": 300,
                "max-attempts": 2,
                "completion-target-ms": 18_000,
                "retention-s": 60,
                "service": "engine",
            }
            for name, kind in kinds.items()
        ],
        "services": [{"name": "engine", "max-connections": 300}],
        "limits": {
            "max-header-bytes": 16_384,
            "max-body-bytes": 4_194_304,
            "header-timeout-ms": 3_000,
            "idle-timeout-ms": 15_000,
        },
        "tenants": [
            {"name": site_lib.WORKSPACE, "api-keys": [site_lib.KEY]},
        ],
    }


def make_request(path: str, name: str, body: bytes = b"q") -> bytes:
    """Return the bytes of a request."""
    client = h11.Connection(h11.CLIENT)
    request = h11.Request(
        method="POST",
        target=path,
        headers=[
            ("Host", site_lib.HOST),
            ("Request-Id", name),
            ("Time-Remaining", str(int(1_000 * LONG_S))),
            ("Authorization", f"Bearer {site_lib.KEY}"),
            ("Content-Length", str(len(body))),
        ],
    )
    data = client.send(request) or b""
    return data + (client.send(h11.Data(data=body)) or b"")


class Caller:
    """A connection to the gateway and the responses that came on it."""

    def __init__(self, stream: abc.SocketStream) -> None:
        self._stream = stream
        self._received = b""

    async def send(self, data: bytes) -> None:
        await self._stream.send(data)

    async def read_response(self) -> site_lib.Response:
        """Read the next response; its status is 0 if there is none."""
        client = h11.Connection(h11.CLIENT)
        client.send(
            h11.Request(method="GET", target="/", headers=[("Host", "a")])
        )
        client.send(h11.EndOfMessage())
        if self._received:
            client.receive_data(self._received)
        response = site_lib.Response()
        with anyio.fail_after(TIMEOUT_S):
            await site_lib.read_response(client, self._stream, response)
        self._received = client.trailing_data[0]
        return response


class Fixture:
    """A gateway, its store and two endpoints."""

    def __init__(self) -> None:
        self.store = test_batch_daemon.make_store()
        self.endpoints = [endpoint.create_endpoint(one) for one in "ef"]
        reports, relay, metrics, callers, ready = (
            f"127.0.0.1:{one}" for one in loopback.find_free_ports(5)
        )
        self.address = callers
        self.stop = anyio.Event()
        self.has_ended = False
        self.stopped_at = 0.0
        own = settings.Node(
            "a",
            "z1",
            "r1",
            {"z1": "r1"},
            "",
            reports,
            relay,
            metrics,
            GRACE_S,
            callers,
            ready,
        )
        self.gateway = daemon.create_gateway(
            own,
            node.PlatformAdapters(
                self.store,
                documents.PlatformDocuments(),
                dialect.PlatformDialect(),
                batch_calls.PlatformBatchDialect(),
            ),
        )

    def set_behavior(self, **fields: Any) -> None:
        for one in self.endpoints:
            one.behavior = endpoint.Behavior(**fields)

    def list_runs(self) -> list[str]:
        return [run.id for one in self.endpoints for run in one.runs]

    async def register(self) -> None:
        """Write the configuration and the entries of the endpoints."""
        entries = {
            f"servers/{one.name}": {
                "service": "engine",
                "address": one.address,
                "zone": "z1",
                "version": "1",
                "slots": 8,
                "state": "ready",
                "cold-remaining-ms": 0,
                "sequence": 1,
                "born": 1,
            }
            for one in self.endpoints
        }
        changes = [
            base.Write(key, msgspec.json.encode(value))
            for key, value in {"op/config": make_config(), **entries}.items()
        ]
        await self.store.commit(base.Transaction((), tuple(changes)))

    async def run(self) -> None:
        await self.gateway.run(self.stop)
        self.has_ended = True

    def begin_shutdown(self) -> None:
        self.stopped_at = deadlines.now()
        self.stop.set()

    async def wait_since_stop(self, seconds: float) -> None:
        await anyio.sleep(
            deadlines.compute_remaining(self.stopped_at + seconds)
        )

    async def wait(self, is_met: Callable[[], bool]) -> None:
        with anyio.fail_after(TIMEOUT_S):
            while not is_met():
                await anyio.sleep(0.01)

    async def wait_for_listener(self) -> None:
        with anyio.fail_after(TIMEOUT_S):
            while True:
                try:
                    async with self.connect():
                        return
                except OSError:
                    await anyio.sleep(0.01)

    @contextlib.asynccontextmanager
    async def connect(self) -> AsyncIterator[Caller]:
        host, _, port = self.address.rpartition(":")
        async with await anyio.connect_tcp(host, int(port)) as stream:
            yield Caller(stream)


@contextlib.asynccontextmanager
async def open_gateway() -> AsyncIterator[Fixture]:
    fixture = Fixture()
    async with anyio.create_task_group() as tasks:
        for one in fixture.endpoints:
            await tasks.start(one.serve)
        await fixture.register()
        tasks.start_soon(fixture.run)
        await fixture.wait(fixture.gateway.is_ready)
        await fixture.wait_for_listener()
        yield fixture
        tasks.cancel_scope.cancel()


class ShutdownTest(unittest.IsolatedAsyncioTestCase):
    async def test_late_request_on_a_kept_connection_is_refused(self) -> None:
        # It was passed on, and cut without an answer when the grace period
        # ended.
        for path in PATHS:
            with self.subTest(path):
                async with open_gateway() as fixture, fixture.connect() as one:
                    # The first response lasts until accepting has ended.
                    fixture.set_behavior(events=20, event_delay_s=0.1)
                    await one.send(make_request("/stream/a", "first"))
                    await fixture.wait(lambda: bool(fixture.list_runs()))
                    await anyio.sleep(0.2)
                    fixture.begin_shutdown()
                    fixture.set_behavior(is_unresponsive=True)
                    await one.send(make_request(path, "late"))
                    first = await one.read_response()
                    self.assertTrue(first.is_complete)
                    late = await one.read_response()
                    self.assertEqual(
                        (late.status, late.is_complete), (503, True)
                    )
                    self.assertEqual(late.headers[b"retry-after"], b"0.000")
                    self.assertNotIn("late", fixture.list_runs())

    async def test_request_whose_body_arrives_late_is_refused(self) -> None:
        # Likewise.
        async with open_gateway() as fixture, fixture.connect() as one:
            fixture.set_behavior(is_unresponsive=True)
            data = make_request("/twice/a", "late")
            await one.send(data[:-1])
            await anyio.sleep(0.1)
            fixture.begin_shutdown()
            await fixture.wait_since_stop(LATE_S)
            await one.send(data[-1:])
            late = await one.read_response()
            self.assertEqual((late.status, late.is_complete), (503, True))
            self.assertEqual(fixture.list_runs(), [])

    async def test_request_in_flight_at_the_end_is_answered(self) -> None:
        # It was cut without an answer.
        for path in PATHS:
            with self.subTest(path):
                async with open_gateway() as fixture, fixture.connect() as one:
                    fixture.set_behavior(is_unresponsive=True)
                    await one.send(make_request(path, "early"))
                    await fixture.wait(lambda: bool(fixture.list_runs()))
                    fixture.begin_shutdown()
                    response = await one.read_response()
                    took_s = deadlines.now() - fixture.stopped_at
                    self.assertEqual(
                        (response.status, response.is_complete), (502, True)
                    )
                    self.assertEqual(response.headers[b"connection"], b"close")
                    self.assertGreater(took_s, 0.6 * GRACE_S)
                    self.assertLess(took_s, GRACE_S)

    async def test_job_call_in_flight_at_the_end_is_answered(self) -> None:
        # It was cut without an answer.
        body = msgspec.json.encode(
            {"items": [{"id": "i1", "path": "/jobs/1", "tokens": 1}]}
        )
        async with open_gateway() as fixture, fixture.connect() as one:
            fixture.store.faults.delay_s = LONG_S
            await one.send(make_request("/jobs/a", "job", body))
            await anyio.sleep(0.2)
            fixture.begin_shutdown()
            response = await one.read_response()
            self.assertEqual(
                (response.status, response.is_complete), (504, True)
            )

    async def test_response_that_begins_in_a_shutdown_announces_the_close(
        self,
    ) -> None:
        # The caller used the connection again, and its request crossed the
        # close.
        async with open_gateway() as fixture, fixture.connect() as one:
            fixture.set_behavior(events=4, event_delay_s=0.2)
            await one.send(make_request("/stream/a", "early"))
            await fixture.wait(lambda: bool(fixture.list_runs()))
            fixture.begin_shutdown()
            response = await one.read_response()
            self.assertTrue(response.is_complete)
            self.assertEqual(response.headers[b"connection"], b"close")

    async def test_stream_that_can_end_is_not_cut(self) -> None:
        async with open_gateway() as fixture, fixture.connect() as one:
            fixture.set_behavior(events=20, event_delay_s=0.1)
            fixture.begin_shutdown()
            await one.send(make_request("/stream/a", "early"))
            response = await one.read_response()
            self.assertEqual(
                (response.body, response.is_complete),
                (endpoint.write_stream(20), True),
            )
            await fixture.wait(lambda: fixture.has_ended)
            self.assertLess(deadlines.now() - fixture.stopped_at, GRACE_S)
