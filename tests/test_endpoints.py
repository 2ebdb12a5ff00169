from collections.abc import AsyncIterator
import contextlib
from typing import Any
from typing import Final
import unittest

import anyio
from anyio import abc
import msgspec

from eelgrassgate import deadlines
from eelgrassgate import outcomes
from eelgrassgate.engine import assembly
from eelgrassgate.engine import base
from eelgrassgate.engine import http as engine_http
from eelgrassgate.service import http as service_http
from eelgrassgate.standins import engine
from eelgrassgate.standins import generation
from eelgrassgate.standins import hosting
from eelgrassgate.standins import service

NOT_RUN = outcomes.RunStatus.NOT_RUN
UNKNOWN = outcomes.RunStatus.UNKNOWN
Code = outcomes.Code
OPTIONS = generation.Options(speed=50.0, checks_fence=True)
BODY = {"model": "demo", "prompt": "hours", "max_tokens": 4}
CHUNKED = b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\ncontent-type: "
STREAM = CHUNKED + b"text/event-stream\r\n\r\n"
EVENT = b'data: {"choices": []}\n\n'
COUNTED = b"HTTP/1.1 200 OK\r\ncontent-length: 1\r\n\r\n%d"
FIRST = b"%x\r\n%s\r\n" % (len(EVENT), EVENT)


def make_call(**changes: Any) -> base.Call:
    call = base.Call(
        attempt="a",
        method="POST",
        path="/v1/completions",
        body=msgspec.json.encode(BODY),
        content_type="application/json",
        is_stream=False,
        deadline=deadlines.after(20.0),
    )
    return msgspec.structs.replace(call, **changes)


def write_body(**changes: Any) -> bytes:
    return msgspec.json.encode({**BODY, **changes})


# Covers connecting and the head of a response on a busy machine.
SILENT_DEADLINE_S: Final = 2.0


async def collect(endpoint: base.Endpoint, call: base.Call) -> list[base.Part]:
    return [part async for part in endpoint.call(call)]


def describe(parts: list[base.Part]) -> tuple[Any, ...]:
    """Return the status, if any, and how the response ended."""
    head = next((p.status for p in parts if isinstance(p, base.Head)), None)
    end = parts[-1]
    if isinstance(end, base.Failed):
        return head, end.refusal.code, end.refusal.ran
    return head, "end"


ENGINE_CASES: tuple[tuple[str, dict[str, Any], tuple[Any, ...]], ...] = (
    ("plain", {}, (200, "end")),
    (
        "streamed",
        {"is_stream": True, "body": write_body(stream=True)},
        (200, "end"),
    ),
    ("another host", {"path": "//127.0.0.1:1/v1/models"}, (404, "end")),
    ("another URL", {"path": "http://127.0.0.1:1/v1"}, (404, "end")),
    ("bad path", {"path": "/\u00e9"}, (None, Code.BAD_REQUEST, NOT_RUN)),
    ("bad type", {"content_type": "\u20ac"}, (None, Code.BAD_REQUEST, NOT_RUN)),
    ("bad method", {"method": "A B"}, (None, Code.BAD_REQUEST, NOT_RUN)),
    ("unknown model", {"body": write_body(model="no")}, (404, "end")),
    ("bad body", {"body": b"{"}, (400, "end")),
    ("newer fence", {"fence": 7}, (200, "end")),
    ("older fence", {"fence": 6}, (None, Code.STALE_FENCE, NOT_RUN)),
    (
        "unknown stream to resume",
        {"attempt": "never", "resume_from": 2},
        (None, Code.CONFLICT, NOT_RUN),
    ),
    (
        "expired",
        {"deadline": deadlines.now()},
        (None, Code.DEADLINE_EXCEEDED, NOT_RUN),
    ),
)
SERVICE_CASES: tuple[tuple[str, dict[str, Any], tuple[Any, ...]], ...] = (
    ("booked", {"body": b'{"member": "a", "hours": 1}'}, (200, "end")),
    ("read", {"path": "/hours/a", "method": "GET"}, (200, "end")),
    ("another host", {"path": "//127.0.0.1:1/hours"}, (404, "end")),
    ("bad path", {"path": "/\n"}, (None, Code.BAD_REQUEST, NOT_RUN)),
    ("bad body", {"body": b"{"}, (400, "end")),
    ("no such method", {"method": "DELETE"}, (405, "end")),
    (
        "newer fence",
        {"fence": 7, "body": b'{"member": "a", "hours": 1}'},
        (200, "end"),
    ),
    ("older fence", {"fence": 6}, (None, Code.STALE_FENCE, NOT_RUN)),
    (
        "expired",
        {"deadline": deadlines.now()},
        (None, Code.DEADLINE_EXCEEDED, NOT_RUN),
    ),
)
LOST = (Code.ENDPOINT_LOST, UNKNOWN)
FAULTS: tuple[tuple[str, bytes, bool, tuple[Any, ...]], ...] = (
    ("closes before the headers", b"", False, (None, *LOST)),
    ("closes after the headers", STREAM, False, (200, *LOST)),
    ("closes in the body", STREAM + FIRST, False, (200, *LOST)),
    ("ends without its last event", STREAM + FIRST + b"0\r\n\r\n", False, ()),
    ("silent before the headers", b"", True, (None, *LOST)),
    ("silent in the body", STREAM + FIRST, True, (200, *LOST)),
    (
        "overloaded",
        b"HTTP/1.1 503 No\r\ncontent-length: 0\r\n\r\n",
        False,
        (None, Code.OVERLOADED, NOT_RUN),
    ),
    (
        "internal error",
        b"HTTP/1.1 500 No\r\ncontent-length: 0\r\n\r\n",
        False,
        (None, Code.ENDPOINT_FAILED, UNKNOWN),
    ),
)


@contextlib.asynccontextmanager
async def serve_app(app: Any) -> AsyncIterator[str]:
    async with anyio.create_task_group() as tasks:
        port = await tasks.start(hosting.serve, app)
        yield f"http://127.0.0.1:{port}"
        tasks.cancel_scope.cancel()


@contextlib.asynccontextmanager
async def serve_response(
    response: bytes, is_silent: bool
) -> AsyncIterator[str]:
    """Send `response` to each request, then close or stay silent."""

    async def handle(stream: abc.SocketStream) -> None:
        async with stream:
            await stream.receive()
            if response:
                await stream.send(response)
            if is_silent:
                await anyio.sleep_forever()

    listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
    port = listener.extra(abc.SocketAttribute.local_port)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(listener.serve, handle)
        yield f"http://127.0.0.1:{port}"
        tasks.cancel_scope.cancel()
    await listener.aclose()


EVENTS: tuple[tuple[str, bytes, bool], ...] = (
    ("a token", b'{"choices": [{"text": "a"}]}', False),
    ("the end", b"[DONE]", False),
    ("an error", b'{"error": {"message": "no"}}', True),
    ("no JSON", b"{", True),
    ("unexpected type", b'{"choices": 5}', True),
)


class AssemblyTest(unittest.TestCase):
    def test_an_invalid_event_is_an_error(self) -> None:
        for name, data, has_error in EVENTS:
            with self.subTest(name):
                assembler = assembly.StreamAssembler()
                assembler.add(data)
                self.assertEqual(assembler.has_error, has_error)


class EndpointsTest(unittest.IsolatedAsyncioTestCase):
    async def test_second_copy_of_a_response_is_not_given_to_the_next_call(
        self,
    ) -> None:
        numbers = iter(range(9))

        async def handle(stream: abc.SocketStream) -> None:
            async with stream:
                while True:
                    try:
                        await stream.receive()
                    except (anyio.EndOfStream, anyio.BrokenResourceError):
                        return
                    response = COUNTED % next(numbers)
                    await stream.send(response + response)

        listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
        port = listener.extra(abc.SocketAttribute.local_port)
        endpoint = engine_http.create_engine(f"http://127.0.0.1:{port}")
        async with listener, anyio.create_task_group() as tasks:
            tasks.start_soon(listener.serve, handle)
            for number in range(3):
                parts = await collect(endpoint, make_call())
                self.assertIn(base.Data(b"%d" % number), parts)
            await endpoint.close()
            tasks.cancel_scope.cancel()

    async def test_engine_contract(self) -> None:
        async with serve_app(engine.create_app(OPTIONS)) as url:
            endpoint = engine_http.create_engine(url)
            for name, changes, expected in ENGINE_CASES:
                with self.subTest(name):
                    parts = await collect(endpoint, make_call(**changes))
                    self.assertEqual(describe(parts), expected)
            await endpoint.close()

    async def test_service_contract(self) -> None:
        app = service.create_app(service.Options(checks_fence=True))
        async with serve_app(app) as url:
            endpoint = service_http.create_service(url)
            for name, changes, expected in SERVICE_CASES:
                with self.subTest(name):
                    changed = {"path": "/hours", **changes}
                    parts = await collect(endpoint, make_call(**changed))
                    self.assertEqual(describe(parts), expected)
            await endpoint.close()

    async def test_faults_state_whether_the_call_ran(self) -> None:
        for name, response, is_silent, expected in FAULTS:
            with self.subTest(name):
                async with serve_response(response, is_silent) as url:
                    endpoint = engine_http.create_engine(
                        url, stream_idle_timeout_s=0.1
                    )
                    call = make_call(is_stream=True)
                    parts = await collect(endpoint, call)
                    await endpoint.close()
                self.assertEqual(describe(parts), expected or (200, *LOST))
                failed = parts[-1]
                assert isinstance(failed, base.Failed)
                self.assertTrue(failed.is_endpoint_fault)

    async def test_a_deadline_ends_a_silent_call(self) -> None:
        async with serve_response(STREAM + FIRST, True) as url:
            for create in (
                engine_http.create_engine,
                service_http.create_service,
            ):
                endpoint = create(url)
                call = make_call(deadline=deadlines.after(SILENT_DEADLINE_S))
                parts = await collect(endpoint, call)
                await endpoint.close()
                expected = (200, Code.DEADLINE_EXCEEDED, UNKNOWN)
                self.assertEqual(describe(parts), expected)

    async def test_an_unreachable_endpoint_has_not_run_the_call(self) -> None:
        async with serve_response(b"", False) as url:
            pass
        for create in (engine_http.create_engine, service_http.create_service):
            endpoint = create(url)
            parts = await collect(endpoint, make_call())
            await endpoint.close()
            expected = (None, Code.ENDPOINT_FAILED, NOT_RUN)
            self.assertEqual(describe(parts), expected)

    def test_a_caller_that_leaves_late_cancels_the_resumed_request(
        self,
    ) -> None:
        core = generation.SimulatedEngine(generation.Options())
        first = generation.GenerationRequest("a", "x", 9)
        core.start(first)
        core._admit()
        self.assertTrue(core.cancel("a"))
        core.start(msgspec.structs.replace(first, resume_from=2))
        core._admit()
        core.abandon(first)
        self.assertEqual(core.list_running(), ("a",))

    async def test_a_cancelled_stream_resumes(self) -> None:
        app = engine.create_app(generation.Options(speed=5.0))
        body = write_body(stream=True, max_tokens=20)
        call = make_call(is_stream=True, body=body)
        async with serve_app(app) as url:
            endpoint = engine_http.create_engine(url)
            whole = await collect(
                endpoint, msgspec.structs.replace(call, attempt="whole")
            )
            parts = endpoint.call(call)
            first = [await anext(parts) for _ in range(4)]
            self.assertTrue(await endpoint.cancel("a"))
            await parts.aclose()  # type: ignore[attr-defined]
            rest = await collect(
                endpoint, msgspec.structs.replace(call, resume_from=3)
            )
            await endpoint.close()
        words = [read_text(p) for p in (*first, *rest) if read_text(p)]
        self.assertEqual(words, [read_text(p) for p in whole if read_text(p)])


def read_text(part: base.Part) -> str:
    if not isinstance(part, base.Data) or part.data == b"[DONE]":
        return ""
    choice = msgspec.json.decode(part.data)["choices"][0]
    return str(choice["text"])


if __name__ == "__main__":
    unittest.main()
