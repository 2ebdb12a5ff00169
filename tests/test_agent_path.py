from collections.abc import AsyncIterator
from collections.abc import Awaitable
from collections.abc import Callable
import contextlib
import functools
from typing import Any
import unittest

import anyio
import msgspec
import zmq
import zmq.asyncio

from eelgrassgate import messages
from eelgrassgate import outcomes
from eelgrassgate import settings
from eelgrassgate.agent import daemon
from eelgrassgate.link import base
from eelgrassgate.link import client
from eelgrassgate.standins import engine
from eelgrassgate.standins import generation
from eelgrassgate.standins import hosting
from eelgrassgate.standins import service

TIMEOUT_S = 10.0
FAST_OPTIONS = generation.Options(speed=20.0, load_lag_s=0.1, event_lag_s=0.1)


class FakeEntry:
    """An entry's end of a link, which stores the received messages."""

    def __init__(self) -> None:
        self.peer: base.Peer | None = None
        self.received: list[messages.AnyMessage] = []
        self.changed = anyio.Event()
        self.link = anyio.CancelScope()

    async def run_link(self, connect: Callable[[], Awaitable[None]]) -> None:
        with self.link:
            await connect()

    def connect(self, peer: base.Peer) -> None:
        self.peer = peer
        self.notify()

    def receive(self, peer: base.Peer, message: messages.AnyMessage) -> None:
        self.received.append(message)
        self.notify()

    def disconnect(self, peer: base.Peer) -> None:
        self.peer = None
        self.notify()

    def notify(self) -> None:
        self.changed.set()
        self.changed = anyio.Event()

    def send(self, message: messages.AnyMessage) -> None:
        assert self.peer
        self.peer.send(message)

    def list_for(self, attempt: str) -> list[messages.AnyMessage]:
        return [
            each
            for each in self.received
            if getattr(each, "attempt", "") == attempt
        ]

    async def wait_until(self, condition: Callable[[], bool]) -> None:
        with anyio.fail_after(TIMEOUT_S):
            while not condition():
                with anyio.move_on_after(0.05):
                    await self.changed.wait()

    async def wait_for_end(self, attempt: str) -> messages.AnyMessage:
        def has_ended() -> bool:
            found = self.list_for(attempt)
            ends = messages.End | messages.Refused
            return bool(found) and isinstance(found[-1], ends)

        await self.wait_until(has_ended)
        return self.list_for(attempt)[-1]

    def join_body(self, attempt: str) -> bytes:
        parts = (
            each.data
            for each in self.list_for(attempt)
            if isinstance(each, messages.Data)
        )
        return b"".join(parts)


def make_submit(attempt: str, **changes: Any) -> messages.Submit:
    body = {
        "model": "demo",
        "prompt": "offer carpentry",
        "max_tokens": 5,
        "stream": changes.get("is_stream", False),
    }
    submit = messages.Submit(
        attempt=attempt,
        workspace="desk",
        klass=outcomes.RequestClass.ONLINE,
        method="POST",
        path="/v1/completions",
        body=msgspec.json.encode(body),
        content_type="application/json",
        is_stream=False,
        remaining_ms=10_000,
        cost=10.0,
        weight=1.0,
    )
    return msgspec.structs.replace(submit, **changes)


@contextlib.asynccontextmanager
async def run_agent(
    app: Any, stop: anyio.Event | None = None, **changes: Any
) -> AsyncIterator[FakeEntry]:
    """Run an agent for `app`, and yield an entry connected to it."""
    entry = FakeEntry()
    async with anyio.create_task_group() as tasks:
        port = await tasks.start(hosting.serve, app)
        config = settings.Agent(
            place=settings.Place(instance="a", zone="z", region="r"),
            endpoint="e",
            kind="engine",
            url=f"http://127.0.0.1:{port}",
            link_listen="127.0.0.1:0",
            drain_s=5.0,
        )
        config = msgspec.structs.replace(config, **changes)
        serve = functools.partial(
            daemon.serve, config, stop=stop or anyio.Event()
        )
        address = await tasks.start(serve)
        hello = messages.Hello(
            instance="b", incarnation=1, service="entry", zone="z", region="r"
        )
        context = zmq.asyncio.Context()
        connect = functools.partial(
            client.connect, address, "a", hello, entry, context=context
        )
        tasks.start_soon(entry.run_link, connect)
        await entry.wait_until(lambda: entry.peer is not None)
        yield entry
        tasks.cancel_scope.cancel()
    context.destroy(linger=0)


class AgentLinkTest(unittest.IsolatedAsyncioTestCase):
    async def test_online_and_batch_responses_are_complete(self) -> None:
        cases: tuple[tuple[str, dict[str, Any], bytes], ...] = (
            ("plain", {}, b'"finish_reason":"length"'),
            ("streamed", {"is_stream": True}, b"[DONE]"),
            (
                "batch",
                {"klass": outcomes.RequestClass.BATCH},
                b'"finish_reason"',
            ),
        )
        app = engine.create_app(FAST_OPTIONS)
        async with run_agent(app) as entry:
            for name, changes, expected in cases:
                with self.subTest(name):
                    entry.send(make_submit(name, **changes))
                    end = await entry.wait_for_end(name)
                    self.assertIsInstance(end, messages.End)
                    self.assertIn(expected, entry.join_body(name))
        counts = app.state.engine.recorder.executions_by_attempt
        self.assertEqual(set(counts.values()), {1})

    async def test_a_duplicate_submit_to_a_service_runs_once(self) -> None:
        app = service.create_app(service.Options())
        async with run_agent(app, kind="service") as entry:
            submit = make_submit(
                "book",
                path="/hours",
                body=b'{"member": "ana", "hours": 2}',
                is_repeatable=False,
            )
            entry.send(submit)
            entry.send(submit)
            await entry.wait_for_end("book")
            entry.send(make_submit("read", path="/hours/ana", method="GET"))
            await entry.wait_for_end("read")
        self.assertIn(b'"hours":2.0', entry.join_body("read"))

    async def test_a_lost_entry_cancels_its_online_attempts(
        self,
    ) -> None:
        app = engine.create_app(generation.Options())
        core = app.state.engine.core
        async with run_agent(app) as entry:
            body = {"model": "demo", "prompt": "x", "max_tokens": 5000}
            for attempt, is_stream in (("plain", False), ("streamed", True)):
                data = msgspec.json.encode({**body, "stream": is_stream})
                submit = make_submit(attempt, is_stream=is_stream, body=data)
                entry.send(submit)
            await entry.wait_until(lambda: len(core.list_running()) == 2)
            entry.link.cancel()
            await entry.wait_until(lambda: not core.list_running())
        self.assertLess(core.tokens, 5000)

    async def test_preempted_batch_resumes_over_http(self) -> None:
        options = generation.Options(max_running=2, speed=5.0)
        app = engine.create_app(options)
        core = app.state.engine.core
        async with run_agent(app, can_resume=True, window=2) as entry:
            body = {"model": "demo", "prompt": "x", "max_tokens": 100}
            for attempt in ("b0", "b1"):
                submit = make_submit(
                    attempt,
                    klass=outcomes.RequestClass.BATCH,
                    body=msgspec.json.encode(body),
                )
                entry.send(submit)
            await entry.wait_until(lambda: core.tokens >= 20)
            entry.send(make_submit("a", is_stream=True))
            for attempt in ("a", "b0", "b1"):
                end = await entry.wait_for_end(attempt)
                self.assertIsInstance(end, messages.End)
        words = [generation.choose_word("x", index) for index in range(100)]
        for attempt in ("b0", "b1"):
            response = msgspec.json.decode(entry.join_body(attempt))
            self.assertEqual(response["choices"][0]["text"].split(), words)
        recorder = app.state.engine.recorder
        resumed = [
            each
            for each in recorder.received
            if any(name == "x-resume-from" for name, _ in each.headers)
        ]
        self.assertTrue(resumed)
        counts = recorder.executions_by_attempt
        self.assertEqual(set(counts.values()), {1})


if __name__ == "__main__":
    unittest.main()
