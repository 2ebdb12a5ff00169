"""Tests of an entry with real agents and simulated endpoints."""

from typing import Any
import unittest

import anyio
import anyio.abc
import httpx
import httpx_sse

from eelgrassgate import settings
from eelgrassgate.agent import daemon
from eelgrassgate.instances import base as instances_base
from eelgrassgate.standins import engine
from eelgrassgate.standins import generation
from eelgrassgate.standins import hosting
from eelgrassgate.standins import service
from tests import fakes

CHAT = "/v1/chat/completions"
TIMEOUT_S = 20.0
HEADERS = {"authorization": "Bearer key-desk"}
LONG_TOKENS = 400


def make_body(tokens: int, *, is_stream: bool = False) -> dict[str, Any]:
    return {
        "model": "matcher",
        "max_tokens": tokens,
        "stream": is_stream,
        "messages": [{"role": "user", "content": "Who can tutor?"}],
    }


class RealAgent:
    """An agent with a simulated endpoint."""

    def __init__(self, app: Any, kind: str) -> None:
        self.app = app
        self.kind = kind
        self.address = ""

    async def run(self, *, task_status: anyio.abc.TaskStatus[None]) -> None:
        async with anyio.create_task_group() as tasks:
            port = await tasks.start(hosting.serve, self.app)
            own = self.make_settings(port)

            async def serve(*, task_status: anyio.abc.TaskStatus[str]) -> None:
                await daemon.serve(
                    own, stop=anyio.Event(), task_status=task_status
                )

            self.address = await tasks.start(serve)
            task_status.started()

    def make_settings(self, port: int) -> settings.Agent:
        is_engine = self.kind == "engine"
        return settings.Agent(
            place=settings.Place(instance=self.kind, zone="z1", region="r1"),
            endpoint=self.kind,
            kind="engine" if is_engine else "service",
            url=f"http://127.0.0.1:{port}",
            link_listen="127.0.0.1:0",
            models=("matcher",) if is_engine else (),
            service="" if is_engine else "ledger",
        )

    def list(self) -> instances_base.Instance:
        return instances_base.Instance(
            name=self.kind,
            service="agent",
            address=self.address,
            zone="z1",
            region="r1",
        )


def make_engine(speed: float) -> RealAgent:
    options = generation.Options(models=("matcher",), speed=speed)
    return RealAgent(engine.create_app(options), "engine")


class PathTest(unittest.IsolatedAsyncioTestCase):
    async def test_no_endpoint_sees_a_callers_key(self) -> None:
        model = make_engine(20.0)
        ledger = RealAgent(service.create_app(service.Options()), "service")
        async with (
            fakes.run_entry(model, ledger) as harness,
            httpx.AsyncClient(base_url=harness.url, headers=HEADERS) as client,
        ):
            chat = await client.post(CHAT, json=make_body(3))
            booked = await client.post(
                "/ledger/hours", json={"member": "Alva", "hours": 1.0}
            )
        self.assertEqual((chat.status_code, booked.status_code), (200, 200))
        recorders = (
            model.app.state.engine.recorder,
            ledger.app.state.ledger.recorder,
        )
        for recorder in recorders:
            self.assertTrue(recorder.received)
            self.assertFalse(recorder.contains("key-desk"))

    async def test_a_slow_reader_delays_only_its_own_stream(self) -> None:
        async with (
            fakes.run_entry(make_engine(100.0)) as harness,
            httpx.AsyncClient(base_url=harness.url, headers=HEADERS) as client,
            httpx_sse.aconnect_sse(
                client, "POST", CHAT, json=make_body(2000, is_stream=True)
            ) as unread,
        ):
            # The first stream is never read while others are served.
            with anyio.fail_after(TIMEOUT_S):
                for _ in range(3):
                    other = await client.post(CHAT, json=make_body(5))
                    self.assertEqual(other.status_code, 200)
            self.assertEqual(unread.response.status_code, 200)

    async def test_a_stream_is_complete_and_in_order(self) -> None:
        async with (
            fakes.run_entry(make_engine(100.0)) as harness,
            httpx.AsyncClient(base_url=harness.url, headers=HEADERS) as client,
        ):
            body = make_body(LONG_TOKENS, is_stream=True)
            async with httpx_sse.aconnect_sse(
                client, "POST", CHAT, json=body
            ) as source:
                events = [event async for event in source.aiter_sse()]
            plain = await client.post(CHAT, json=make_body(LONG_TOKENS))
        self.assertEqual(events[-1].data, "[DONE]")
        words = "".join(
            choice["delta"].get("content", "")
            for event in events[:-1]
            for choice in event.json()["choices"]
        )
        whole = plain.json()["choices"][0]["message"]["content"]
        self.assertEqual(words, whole)
