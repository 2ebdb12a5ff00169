from collections.abc import AsyncIterator
import itertools
import unittest
from unittest import mock

import anyio
import httpx
import msgspec

from eelgrassgate import messages
from eelgrassgate import outcomes
from eelgrassgate.entry import dispatch
from eelgrassgate.entry import exchanges
from eelgrassgate.link import base as link_base
from tests import fakes

CHAT = "/v1/chat/completions"
PROMPT = {"model": "matcher", "messages": [{"role": "user", "content": "x"}]}
TIMEOUT_S = 10.0

BAD_REQUESTS = (
    ("broken JSON", CHAT, b"{", 400, "bad_request"),
    ("no messages", CHAT, b'{"model": "matcher"}', 400, "bad_request"),
    ("no prompt", "/v1/completions", b'{"model": "m"}', 400, "bad_request"),
    (
        "unknown model",
        CHAT,
        b'{"model": "m", "messages": []}',
        404,
        "model_not_found",
    ),
    ("large body", CHAT, b" " * 200_000, 413, "body_too_large"),
    ("no such path", "/nothing", b"", 404, "not_found"),
)


def refuse_not_run(peer: link_base.Peer, submit: messages.Submit) -> None:
    refusal = outcomes.refuse(outcomes.Code.OVERLOADED, "Full.", 1.0)
    peer.send(messages.Refused(attempt=submit.attempt, refusal=refusal))


def lose_response(peer: link_base.Peer, submit: messages.Submit) -> None:
    refusal = outcomes.refuse_unknown(outcomes.Code.ENDPOINT_LOST, "Lost.")
    refused = messages.Refused(
        attempt=submit.attempt, refusal=refusal, is_endpoint_fault=True
    )
    peer.send(refused)


def respond_twice(peer: link_base.Peer, submit: messages.Submit) -> None:
    fakes.respond(peer, submit)
    fakes.respond(peer, submit)


def respond_to_other_first(
    peer: link_base.Peer, submit: messages.Submit
) -> None:
    """Send a part of another attempt before the response."""
    crossed = messages.Data(attempt="other", sequence=0, data=b"crossed")
    peer.send(crossed)
    fakes.respond(peer, submit)


def omit_part(peer: link_base.Peer, submit: messages.Submit) -> None:
    head = messages.Head(
        attempt=submit.attempt, status=200, content_type="text/plain"
    )
    peer.send(head)
    late = messages.Data(attempt=submit.attempt, sequence=1, data=b"late")
    peer.send(late)
    peer.send(messages.End(attempt=submit.attempt, parts=2))


def ignore(peer: link_base.Peer, submit: messages.Submit) -> None:
    pass


def flood(peer: link_base.Peer, submit: messages.Submit) -> None:
    """Send as many parts as the credit allows, all of them large."""
    head = messages.Head(
        attempt=submit.attempt, status=200, content_type="text/plain"
    )
    peer.send(head)
    for index in range(exchanges.CREDIT_PARTS):
        part = messages.Data(
            attempt=submit.attempt, sequence=index, data=b"x" * 400_000
        )
        peer.send(part)


def make_first_only(script: fakes.Script) -> fakes.Script:
    """Return a script that runs `script` once and then responds."""
    scripts = itertools.chain((script,), itertools.repeat(fakes.respond))

    def run(peer: link_base.Peer, submit: messages.Submit) -> None:
        next(scripts)(peer, submit)

    return run


# Name, script of the first attempt, path, status, ran, total attempts.
FAULTS = (
    ("response", fakes.respond, CHAT, 200, None, 1),
    ("duplicate response", respond_twice, CHAT, 200, None, 1),
    ("part of another attempt", respond_to_other_first, CHAT, 200, None, 1),
    ("part missing", omit_part, CHAT, 502, "unknown", 1),
    ("not run, repeatable", refuse_not_run, CHAT, 200, None, 2),
    ("lost, repeatable", lose_response, CHAT, 200, None, 2),
    ("not run, not repeatable", refuse_not_run, "/ledger/hours", 200, None, 2),
    ("lost, not repeatable", lose_response, "/ledger/hours", 502, "unknown", 1),
)


class EntryTest(unittest.IsolatedAsyncioTestCase):
    async def test_request_in_flight_at_the_end_of_a_drain_is_answered(
        self,
    ) -> None:
        # It got an error that did not tell whether it may have run.
        agent = fakes.FakeAgent("a1", ignore)
        async with (
            fakes.run_entry(agent) as harness,
            httpx.AsyncClient(
                base_url=harness.url, timeout=TIMEOUT_S
            ) as client,
            anyio.create_task_group() as tasks,
        ):

            async def stop() -> None:
                await agent.submitted.wait()
                harness.stop.set()

            tasks.start_soon(stop)
            response = await client.post(
                "/ledger/hours", headers={"authorization": "Bearer key-desk"}
            )
            self.assertEqual(response.status_code, 504)
            self.assertEqual(response.headers["x-request-ran"], "unknown")
            error = response.json()["error"]
            self.assertEqual(error["message"], "The entry shuts down.")

    async def test_bad_requests_get_an_error(self) -> None:
        agent = fakes.FakeAgent("a1", fakes.respond)
        async with (
            fakes.run_entry(agent) as harness,
            httpx.AsyncClient(base_url=harness.url) as client,
        ):
            for name, path, body, status, code in BAD_REQUESTS:
                with self.subTest(name):
                    headers = {"authorization": "Bearer key-desk"}
                    response = await client.post(
                        path, content=body, headers=headers
                    )
                    error = response.json()["error"]
                    self.assertEqual(response.status_code, status)
                    self.assertEqual(error["code"], code)
                    self.assertEqual(error["ran"], "not_run")
        self.assertEqual(agent.submits, [])

    async def test_only_open_routes_need_no_key(self) -> None:
        cases: tuple[tuple[str, str, dict[str, str], int], ...] = (
            ("no key", CHAT, {}, 401),
            ("unknown key", CHAT, {"authorization": "Bearer x"}, 401),
            ("closed route", "/ledger/hours", {}, 401),
            ("open route", "/notices/today", {}, 200),
        )
        agent = fakes.FakeAgent("a1", fakes.respond)
        async with (
            fakes.run_entry(agent) as harness,
            httpx.AsyncClient(base_url=harness.url) as client,
        ):
            for name, path, headers, status in cases:
                with self.subTest(name):
                    response = await client.post(
                        path, json=PROMPT, headers=headers
                    )
                    self.assertEqual(response.status_code, status)
        self.assertEqual(len(agent.submits), 1)

    async def test_attempt_faults(self) -> None:
        for name, script, path, status, ran, attempts in FAULTS:
            with self.subTest(name):
                first_only = make_first_only(script)
                first = fakes.FakeAgent("a1", first_only)
                second = fakes.FakeAgent("a2", first_only)
                async with fakes.run_entry(first, second) as harness:
                    response = await self.post(harness, path)
                self.assertEqual(response.status_code, status)
                submits = len(first.submits) + len(second.submits)
                self.assertEqual(submits, attempts)
                if ran:
                    self.assertEqual(response.json()["error"]["ran"], ran)
                else:
                    self.assertIn("desk", response.text)
                    self.assertNotIn("crossed", response.text)

    async def post(self, harness: fakes.Harness, path: str) -> httpx.Response:
        async with httpx.AsyncClient(base_url=harness.url) as client:
            return await client.post(
                path,
                json=PROMPT,
                headers={"authorization": "Bearer key-desk"},
            )

    async def test_no_message_contains_the_key(self) -> None:
        agent = fakes.FakeAgent("a1", fakes.respond)
        async with fakes.run_entry(agent) as harness:
            await self.post(harness, CHAT)
            await self.post(harness, "/ledger/hours")
        for submit in agent.submits:
            self.assertNotIn(b"key-desk", messages.encode(submit))

    async def test_a_disconnected_caller_cancels_its_attempt(self) -> None:
        agent = fakes.FakeAgent("a1", ignore)
        async with fakes.run_entry(agent) as harness:
            with anyio.fail_after(TIMEOUT_S):
                async with anyio.create_task_group() as tasks:
                    tasks.start_soon(self.post, harness, CHAT)
                    await agent.submitted.wait()
                    tasks.cancel_scope.cancel()
                await agent.cancelled.wait()
        self.assertEqual(agent.cancels, [agent.submits[0].attempt])

    async def test_a_withdrawn_key_aborts_a_request_in_flight(self) -> None:
        agent = fakes.FakeAgent("a1", ignore)
        async with (
            fakes.run_entry(agent) as harness,
            anyio.create_task_group() as tasks,
        ):
            responses: list[httpx.Response] = []

            async def post() -> None:
                responses.append(await self.post(harness, CHAT))

            tasks.start_soon(post)
            with anyio.fail_after(TIMEOUT_S):
                await agent.submitted.wait()
                harness.authenticator.withdraw("key-desk")
                await agent.cancelled.wait()
        self.assertEqual(responses[0].status_code, 401)
        self.assertEqual(responses[0].json()["error"]["code"], "key_withdrawn")

    async def test_a_key_withdrawn_while_the_body_is_read_runs_nothing(
        self,
    ) -> None:
        for path in (CHAT, "/ledger/hours"):
            agent = fakes.FakeAgent("a1", fakes.respond)
            async with fakes.run_entry(agent) as harness:

                async def send_body(
                    harness: fakes.Harness = harness,
                ) -> AsyncIterator[bytes]:
                    body = msgspec.json.encode(PROMPT)
                    yield body[:10]
                    await anyio.sleep(0.1)
                    harness.authenticator.withdraw("key-desk")
                    await anyio.sleep(0.1)
                    yield body[10:]

                async with httpx.AsyncClient(
                    base_url=harness.url, timeout=TIMEOUT_S
                ) as client:
                    response = await client.post(
                        path,
                        content=send_body(),
                        headers={"authorization": "Bearer key-desk"},
                    )
            with self.subTest(path):
                code = response.json()["error"]["code"]
                self.assertEqual(
                    (response.status_code, code, len(agent.submits)),
                    (401, "key_withdrawn", 0),
                )
                self.assertEqual(response.headers["x-request-ran"], "not_run")

    async def test_a_workspace_removed_while_the_body_is_read_is_refused(
        self,
    ) -> None:
        agent = fakes.FakeAgent("a1", fakes.respond)
        async with fakes.run_entry(agent) as harness:
            source = harness.source

            async def send_body() -> AsyncIterator[bytes]:
                body = msgspec.json.encode(PROMPT)
                yield body[:10]
                await anyio.sleep(0.1)
                source.fleet = msgspec.structs.replace(
                    source.fleet, workspaces={}
                )
                harness.authenticator.withdraw("key-desk")
                await anyio.sleep(0.1)
                yield body[10:]

            async with httpx.AsyncClient(
                base_url=harness.url, timeout=TIMEOUT_S
            ) as client:
                response = await client.post(
                    CHAT,
                    content=send_body(),
                    headers={"authorization": "Bearer key-desk"},
                )
        self.assertEqual(response.status_code, 401)

    async def test_a_caller_that_does_not_read_does_not_end_the_entry(
        self,
    ) -> None:
        agent = fakes.FakeAgent("a1", flood)
        async with fakes.run_entry(agent) as harness:
            body = msgspec.json.encode({**PROMPT, "stream": True})
            stream = await anyio.connect_tcp(
                "127.0.0.1", int(harness.url.rpartition(":")[2])
            )
            with mock.patch.object(
                exchanges, "DEADLINE_CHECK_INTERVAL_S", 0.01
            ):
                async with stream:
                    await stream.send(
                        b"POST /v1/chat/completions HTTP/1.1\r\nhost: e\r\n"
                        b"authorization: Bearer key-desk\r\n"
                        b"x-request-timeout: 0.1\r\n"
                        b"content-length: %d\r\n\r\n%s" % (len(body), body)
                    )
                    await agent.submitted.wait()
                    await anyio.sleep(dispatch.DEADLINE_GRACE_S + 1.0)
                    agent.script = fakes.respond
                    response = await self.post(harness, CHAT)
        self.assertEqual(response.status_code, 200)

    async def test_a_rate_refusal_comes_before_the_body(self) -> None:
        agent = fakes.FakeAgent("a1", fakes.respond)
        async with fakes.run_entry(agent) as harness:
            harness.limiter.refusal = outcomes.refuse(
                outcomes.Code.RATE_LIMITED, "Too many.", 2.5
            )
            stream = await anyio.connect_tcp(
                "127.0.0.1", int(harness.url.rpartition(":")[2])
            )
            async with stream:
                await stream.send(
                    b"POST /v1/chat/completions HTTP/1.1\r\nhost: e\r\n"
                    b"authorization: Bearer key-desk\r\n"
                    b"content-length: 90000\r\n\r\n"
                )
                with anyio.fail_after(TIMEOUT_S):
                    response = await stream.receive()
        self.assertIn(b" 429 ", response.split(b"\r\n")[0])
        self.assertIn(b"retry-after: 3", response.lower())

    async def test_a_shutdown_aborts_no_request(self) -> None:
        held: list[tuple[link_base.Peer, messages.Submit]] = []

        def keep(peer: link_base.Peer, submit: messages.Submit) -> None:
            held.append((peer, submit))

        agent = fakes.FakeAgent("a1", keep)
        async with (
            fakes.run_entry(agent) as harness,
            anyio.create_task_group() as tasks,
        ):
            responses: list[httpx.Response] = []

            async def post() -> None:
                responses.append(await self.post(harness, CHAT))

            tasks.start_soon(post)
            with anyio.fail_after(TIMEOUT_S):
                await agent.submitted.wait()
                harness.stop.set()
                await anyio.sleep(0.5)
                fakes.respond(*held[0])
        self.assertEqual(responses[0].status_code, 200)
