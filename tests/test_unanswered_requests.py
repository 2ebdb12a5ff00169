"""Whole requests on kept connections get an answer or a refusal."""

import errno
import socket
from typing import Any
import unittest
from unittest import mock

import anyio
import anyio.abc
import h11

from eelgrassgate.gateway import catalog
from eelgrassgate.gateway import forwarding
from eelgrassgate.http1 import downstream
from eelgrassgate.http1 import sockets
from eelgrassgate.platform import dialect
from eelgrassgate.standins import endpoint
from tests import site as site_lib


def write_request(path: str = "/plain/a", headers: str = "") -> bytes:
    return (
        f"POST {path} HTTP/1.1\r\nHost: {site_lib.HOST}\r\nRequest-Id: r1\r\n"
        f"Authorization: Bearer {site_lib.KEY}\r\n{headers}"
        "Content-Length: 2\r\n\r\nhi"
    ).encode()


async def read_status(stream: anyio.abc.SocketStream) -> int:
    """Return the status of the next response; 0 if there is none."""
    client = h11.Connection(h11.CLIENT)
    client.send(h11.Request(method="GET", target="/", headers=[("Host", "a")]))
    client.send(h11.EndOfMessage())
    with anyio.fail_after(site_lib.TEST_TIMEOUT_S):
        while True:
            try:
                client.receive_data(await stream.receive())
            except (anyio.EndOfStream, anyio.BrokenResourceError):
                return 0
            event = client.next_event()
            if isinstance(event, h11.Response):
                return event.status_code


class InternalErrorTest(unittest.IsolatedAsyncioTestCase):
    async def test_request_is_answered_truthfully_after_an_internal_error(
        self,
    ) -> None:
        for name, attribute, status, runs in (
            ("before it is forwarded", "rates.admit", 500, 0),
            ("before it is sent", "placement.choose_endpoint", 503, 0),
            ("after it was sent", "endpoint_limits.record_response", 502, 1),
        ):
            with self.subTest(name):
                async with site_lib.open_site() as site:
                    owners: dict[str, Any] = {
                        "rates": site.rates,
                        "placement": site.placement,
                        "endpoint_limits": site.placement.endpoint_limits,
                    }
                    owner, _, method = attribute.partition(".")
                    with mock.patch.object(
                        owners[owner], method, side_effect=KeyError
                    ):
                        response = await site_lib.call(site.address, "/plain/a")
                    self.assertEqual(
                        (response.status, site.count_runs()), (status, runs)
                    )

    async def test_malformed_request_does_not_stop_the_process(self) -> None:
        for name, headers in (
            ("many digits", f"Time-Remaining: {'9' * 5000}\r\n"),
            ("a large number", f"Time-Remaining: {'9' * 400}\r\n"),
        ):
            with self.subTest(name):
                async with site_lib.open_site() as site:
                    host, _, port = site.address.rpartition(":")
                    async with await anyio.connect_tcp(
                        host, int(port)
                    ) as stream:
                        await stream.send(write_request(headers=headers))
                        self.assertEqual(await read_status(stream), 200)

    async def test_failure_of_one_connection_does_not_stop_the_process(
        self,
    ) -> None:
        async with site_lib.open_site() as site:
            for owner, method, status in (
                (dialect.PlatformDialect, "read_call", 500),
                (downstream.Connection, "_read_request", 0),
            ):
                with mock.patch.object(owner, method, side_effect=KeyError):
                    response = await site_lib.call(site.address, "/plain/a")
                    self.assertEqual(response.status, status)
            response = await site_lib.call(site.address, "/plain/a")
            self.assertEqual(response.status, 200)


class AcceptTest(unittest.IsolatedAsyncioTestCase):
    async def test_failure_to_accept_does_not_stop_the_process(self) -> None:
        errors = [OSError(errno.EMFILE, ""), OSError(errno.ECONNABORTED, "")]

        def accept(listening: Any) -> Any:
            if errors:
                raise errors.pop()
            return accept_one(listening)

        accept_one = sockets.accept
        async with site_lib.open_site() as site:
            with mock.patch.object(sockets, "accept", accept):
                for _ in range(3):
                    response = await site_lib.call(site.address, "/plain/a")
                    self.assertEqual(response.status, 200)
        self.assertEqual(errors, [])


class ResetTest(unittest.TestCase):
    def test_reset_connections_do_not_stop_the_process(self) -> None:
        for request in (b"", b"POST /stream/a HTTP/1.0\r\nHost: a\r\n\r\n"):
            with self.subTest(request):
                anyio.run(
                    self.reset_connections,
                    request.replace(b"a\r", site_lib.HOST.encode() + b"\r"),
                    backend_options={"use_uvloop": True},
                )

    async def reset_connections(self, request: bytes) -> None:
        async with site_lib.open_site() as site:
            site.catalog = site_lib.make_catalog(
                [
                    site_lib.make_route(
                        "/stream/", catalog.Kind.STREAM, is_open=True
                    ),
                    site_lib.make_route("/plain/", catalog.Kind.IDEMPOTENT),
                ]
            )
            for one in site.endpoints:
                one.behavior = endpoint.Behavior(event_delay_s=0.02)
            host, _, port = site.address.rpartition(":")
            for _ in range(20):
                with socket.create_connection((host, int(port))) as client:
                    client.send(request)
                    if request:
                        await anyio.sleep(0.04)
                    client.setsockopt(
                        socket.SOL_SOCKET, socket.SO_LINGER, sockets.NO_LINGER
                    )
                await anyio.sleep(0.005)
            response = await site_lib.call(site.address, "/plain/a")
            self.assertEqual(response.status, 200)


class CancelTest(unittest.IsolatedAsyncioTestCase):
    async def test_caller_that_does_not_read_does_not_hold_up_a_shutdown(
        self,
    ) -> None:
        async def handle(
            incoming: downstream.IncomingRequest,
            responder: downstream.Responder,
        ) -> None:
            await responder.reply(200, (), bytes(16_000_000))

        listener = downstream.Listener(downstream.Limits, handle, lambda: False)
        with socket.socket() as client:
            async with anyio.create_task_group() as tasks:
                await tasks.start(listener.run)
                port = await tasks.start(listener.serve, "127.0.0.1:0")
                client.connect(("127.0.0.1", port))
                client.send(write_request())
                await anyio.sleep(0.2)
                stopped_at = anyio.current_time()
                tasks.cancel_scope.cancel()
            self.assertLess(anyio.current_time(), stopped_at + 1.0)

    async def test_response_that_arrives_at_the_deadline_is_not_cut(
        self,
    ) -> None:
        write = downstream.Responder._write

        async def write_late(
            responder: downstream.Responder, data: bytes | None
        ) -> None:
            await anyio.sleep(0.2)
            await write(responder, data)

        for path in ("/plain/a", "/once/a", "/stream/a", "/resumable/a"):
            with self.subTest(path):
                async with site_lib.open_site("e1") as site:
                    site.endpoints[0].behavior = endpoint.Behavior(status=500)
                    with mock.patch.object(
                        downstream.Responder, "_write", write_late
                    ):
                        response = await site_lib.call(
                            site.address, path, remaining_ms=300
                        )
                    self.assertTrue(response.is_complete)
                    self.assertIn(response.status, {500, 504})

    async def test_response_without_its_end_is_replaced_at_the_deadline(
        self,
    ) -> None:
        head = b"HTTP/1.1 %d \r\nresponse-signature: 1\r\ncontent-length: 9"
        for path, status in (
            ("/plain/a", 504),
            ("/once/a", 200),
            ("/once/a", 504),
            ("/stream/a", 504),
            ("/resumable/a", 504),
        ):
            with self.subTest(path, status=status):
                async with site_lib.open_site() as site:
                    for one in site.endpoints:
                        one.behavior = endpoint.Behavior(
                            endless=(head % status + b"\r\n\r\nhalf", b""),
                            endless_delay_s=0.1,
                        )
                    response = await site_lib.call(
                        site.address, path, remaining_ms=300
                    )
                    self.assertEqual(
                        (response.status, response.is_complete), (504, True)
                    )
                    self.assertNotIn(b"response-signature", response.headers)

    async def test_refusal_that_is_cancelled_while_it_is_sent_arrives(
        self,
    ) -> None:
        async def handle(
            incoming: downstream.IncomingRequest,
            responder: downstream.Responder,
        ) -> None:
            with anyio.CancelScope() as scope:
                scope.cancel()
                await responder.reply(503)

        listener = downstream.Listener(downstream.Limits, handle, lambda: False)
        async with anyio.create_task_group() as tasks:
            await tasks.start(listener.run)
            port = await tasks.start(listener.serve, "127.0.0.1:0")
            async with await anyio.connect_tcp("127.0.0.1", port) as stream:
                await stream.send(write_request())
                self.assertEqual(await read_status(stream), 503)
            tasks.cancel_scope.cancel()


class IdleTimeoutTest(unittest.IsolatedAsyncioTestCase):
    async def test_caller_that_reads_slowly_gets_each_event_once(self) -> None:
        # The head and the first event are written without a delay.
        delays = [0.0, 0.0, forwarding.STREAM_IDLE_TIMEOUT_S + 0.3]

        async with site_lib.open_site() as site:
            handle = site.service.handle

            async def handle_slowly(incoming: Any, responder: Any) -> None:
                write = responder._write

                async def write_slowly(data: bytes | None) -> None:
                    await write(data)
                    await anyio.sleep(delays.pop(0) if delays else 0.0)

                responder._write = write_slowly
                await handle(incoming, responder)

            for one in site.endpoints:
                one.behavior = endpoint.Behavior(event_delay_s=0.05)
            with mock.patch.object(site.service, "handle", handle_slowly):
                response = await site_lib.call(site.address, "/resumable/a")
            self.assertEqual(response.body, endpoint.write_stream(4))
            self.assertEqual(site.count_runs(), 1)

    async def test_stream_goes_on_if_no_other_endpoint_takes_it(self) -> None:
        async with site_lib.open_site() as site:
            first, second = site.endpoints
            site.loads.set_peer_counts("other", {second.name: 4}, {})
            first.behavior = endpoint.Behavior(event_delay_s=0.1)
            second.behavior = endpoint.Behavior(is_overloaded=True)

            async def pause_once() -> None:
                while not first.runs:
                    await anyio.sleep(0.01)
                await anyio.sleep(0.15)
                first.behavior.event_delay_s = 9.0
                await anyio.sleep(0.2)
                first.behavior.event_delay_s = 0.0

            async with anyio.create_task_group() as tasks:
                tasks.start_soon(pause_once)
                response = await site_lib.call(site.address, "/resumable/a")
                tasks.cancel_scope.cancel()
            self.assertEqual(
                (response.body, response.is_complete),
                (endpoint.write_stream(4), True),
            )
