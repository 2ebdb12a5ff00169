import itertools
import unittest

import anyio
import httpx

from eelgrassgate import messages
from eelgrassgate import outcomes
from eelgrassgate.link import base as link_base
from tests import fakes

CHAT = "/v1/chat/completions"
PROMPT = {"model": "matcher", "messages": [{"role": "user", "content": "x"}]}
PATIENCE_S = 10.0

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


def lose(peer: link_base.Peer, submit: messages.Submit) -> None:
    refusal = outcomes.refuse_unknown(outcomes.Code.ENDPOINT_LOST, "Lost.")
    refused = messages.Refused(
        attempt=submit.attempt, refusal=refusal, is_endpoint_ill=True
    )
    peer.send(refused)


def answer_twice(peer: link_base.Peer, submit: messages.Submit) -> None:
    fakes.answer(peer, submit)
    fakes.answer(peer, submit)


def answer_other_first(peer: link_base.Peer, submit: messages.Submit) -> None:
    """Send a part that belongs to another attempt before the answer."""
    crossed = messages.Data(attempt="other", sequence=0, data=b"crossed")
    peer.send(crossed)
    fakes.answer(peer, submit)


def skip_part(peer: link_base.Peer, submit: messages.Submit) -> None:
    head = messages.Head(
        attempt=submit.attempt, status=200, content_type="text/plain"
    )
    peer.send(head)
    late = messages.Data(attempt=submit.attempt, sequence=1, data=b"late")
    peer.send(late)
    peer.send(messages.End(attempt=submit.attempt, parts=2))


def stay_silent(peer: link_base.Peer, submit: messages.Submit) -> None:
    pass


def make_first_only(script: fakes.Script) -> fakes.Script:
    """Return a script that does `script` at first and then answers."""
    scripts = itertools.chain((script,), itertools.repeat(fakes.answer))

    def run(peer: link_base.Peer, submit: messages.Submit) -> None:
        next(scripts)(peer, submit)

    return run


# Name, script of the first attempt, path, status, ran, executions in all.
FAULTS = (
    ("answered", fakes.answer, CHAT, 200, None, 1),
    ("answered twice", answer_twice, CHAT, 200, None, 1),
    ("crossed part", answer_other_first, CHAT, 200, None, 1),
    ("part missing", skip_part, CHAT, 502, "unknown", 1),
    ("not run, tried elsewhere", refuse_not_run, CHAT, 200, None, 2),
    ("lost, repeatable", lose, CHAT, 200, None, 2),
    ("not run, not repeatable", refuse_not_run, "/ledger/hours", 200, None, 2),
    ("lost, not repeatable", lose, "/ledger/hours", 502, "unknown", 1),
)


class EntryTest(unittest.IsolatedAsyncioTestCase):
    async def test_bad_requests_get_one_clear_error(self) -> None:
        agent = fakes.FakeAgent("a1", fakes.answer)
        async with (
            fakes.run_entry(agent) as harness,
            httpx.AsyncClient(base_url=harness.url) as client,
        ):
            for name, path, body, status, code in BAD_REQUESTS:
                with self.subTest(name):
                    headers = {"authorization": "Bearer key-desk"}
                    answer = await client.post(
                        path, content=body, headers=headers
                    )
                    error = answer.json()["error"]
                    self.assertEqual(answer.status_code, status)
                    self.assertEqual(error["code"], code)
                    self.assertEqual(error["ran"], "not_run")
        self.assertEqual(agent.submits, [])

    async def test_no_key_no_service_but_on_open_routes(self) -> None:
        cases: tuple[tuple[str, str, dict[str, str], int], ...] = (
            ("no key", CHAT, {}, 401),
            ("unknown key", CHAT, {"authorization": "Bearer x"}, 401),
            ("closed route", "/ledger/hours", {}, 401),
            ("open route", "/notices/today", {}, 200),
        )
        agent = fakes.FakeAgent("a1", fakes.answer)
        async with (
            fakes.run_entry(agent) as harness,
            httpx.AsyncClient(base_url=harness.url) as client,
        ):
            for name, path, headers, status in cases:
                with self.subTest(name):
                    answer = await client.post(
                        path, json=PROMPT, headers=headers
                    )
                    self.assertEqual(answer.status_code, status)
        self.assertEqual(len(agent.submits), 1)

    async def test_faults_of_attempts(self) -> None:
        for name, script, path, status, ran, executions in FAULTS:
            with self.subTest(name):
                first_only = make_first_only(script)
                first = fakes.FakeAgent("a1", first_only)
                second = fakes.FakeAgent("a2", first_only)
                async with fakes.run_entry(first, second) as harness:
                    answer = await self.post(harness, path)
                self.assertEqual(answer.status_code, status)
                submits = len(first.submits) + len(second.submits)
                self.assertEqual(submits, executions)
                if ran:
                    self.assertEqual(answer.json()["error"]["ran"], ran)
                else:
                    self.assertIn("desk", answer.text)
                    self.assertNotIn("crossed", answer.text)

    async def post(self, harness: fakes.Harness, path: str) -> httpx.Response:
        async with httpx.AsyncClient(base_url=harness.url) as client:
            return await client.post(
                path,
                json=PROMPT,
                headers={"authorization": "Bearer key-desk"},
            )

    async def test_no_message_contains_the_key(self) -> None:
        agent = fakes.FakeAgent("a1", fakes.answer)
        async with fakes.run_entry(agent) as harness:
            await self.post(harness, CHAT)
            await self.post(harness, "/ledger/hours")
        for submit in agent.submits:
            self.assertNotIn(b"key-desk", messages.encode(submit))

    async def test_a_caller_that_leaves_cancels_its_work(self) -> None:
        agent = fakes.FakeAgent("a1", stay_silent)
        async with fakes.run_entry(agent) as harness:
            with anyio.move_on_after(0.3):
                await self.post(harness, CHAT)
            with anyio.fail_after(PATIENCE_S):
                await agent.cancelled.wait()
        self.assertEqual(agent.cancels, [agent.submits[0].attempt])

    async def test_a_withdrawn_key_cuts_a_request_in_hand(self) -> None:
        agent = fakes.FakeAgent("a1", stay_silent)
        async with (
            fakes.run_entry(agent) as harness,
            anyio.create_task_group() as tasks,
        ):
            answers: list[httpx.Response] = []

            async def post() -> None:
                answers.append(await self.post(harness, CHAT))

            tasks.start_soon(post)
            with anyio.fail_after(PATIENCE_S):
                await agent.submitted.wait()
                harness.keys.withdraw("key-desk")
                await agent.cancelled.wait()
        self.assertEqual(answers[0].status_code, 401)
        self.assertEqual(answers[0].json()["error"]["code"], "key_withdrawn")

    async def test_a_rate_refusal_comes_before_the_body(self) -> None:
        agent = fakes.FakeAgent("a1", fakes.answer)
        async with fakes.run_entry(agent) as harness:
            harness.rates.refusal = outcomes.refuse(
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
                with anyio.fail_after(PATIENCE_S):
                    answer = await stream.receive()
        self.assertIn(b" 429 ", answer.split(b"\r\n")[0])
        self.assertIn(b"retry-after: 3", answer.lower())

    async def test_a_shutdown_cuts_no_request(self) -> None:
        held: list[tuple[link_base.Peer, messages.Submit]] = []

        def keep(peer: link_base.Peer, submit: messages.Submit) -> None:
            held.append((peer, submit))

        agent = fakes.FakeAgent("a1", keep)
        async with (
            fakes.run_entry(agent) as harness,
            anyio.create_task_group() as tasks,
        ):
            answers: list[httpx.Response] = []

            async def post() -> None:
                answers.append(await self.post(harness, CHAT))

            tasks.start_soon(post)
            with anyio.fail_after(PATIENCE_S):
                await agent.submitted.wait()
                harness.stop.set()
                await anyio.sleep(0.5)
                fakes.answer(*held[0])
        self.assertEqual(answers[0].status_code, 200)
