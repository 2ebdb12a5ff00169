"""Tests `eelgrassgate local` with OpenAI's client library."""

import json
import pathlib
import signal
import tempfile
import time
from typing import Final
import unittest

import httpx
import openai

from bench import processes

ITEMS = 60
BATCH_TIMEOUT_S = 60.0
CHAT: Final = "/v1/chat/completions"


def make_line(number: int, model: str = "demo") -> str:
    body = {
        "model": model,
        "max_tokens": 3,
        "messages": [{"role": "user", "content": f"match {number}"}],
    }
    line = {"method": "POST", "url": CHAT, "body": body}
    return json.dumps({"custom_id": f"m-{number}", **line}) + "\n"


class LocalTest(unittest.TestCase):
    process: processes.Process
    client: openai.OpenAI
    other: openai.OpenAI
    started: processes.Processes
    folder: tempfile.TemporaryDirectory[str]
    url: str

    @classmethod
    def setUpClass(cls) -> None:
        cls.folder = tempfile.TemporaryDirectory()
        cls.started = processes.Processes(pathlib.Path(cls.folder.name))
        cls.process = cls.started.start("local", "eelgrassgate.main", ["local"])
        ready = json.loads(cls.started.wait_for_line("local"))
        cls.url = ready["url"]
        cls.client, cls.other = (
            openai.OpenAI(
                base_url=f"{cls.url}/v1", api_key=ready[key], max_retries=0
            )
            for key in ("key", "key2")
        )

    @classmethod
    def tearDownClass(cls) -> None:
        cls.process.send(signal.SIGTERM)
        code = cls.process.wait()
        cls.folder.cleanup()
        if code != 0:
            raise AssertionError(f"exit code {code}")

    def test_buffered_and_streamed_chat_are_equal(self) -> None:
        conversation: list[openai.types.chat.ChatCompletionMessageParam] = [
            {"role": "user", "content": "Who can tutor?"}
        ]
        plain = self.client.chat.completions.create(
            model="demo", messages=conversation, max_tokens=5
        )
        stream = self.client.chat.completions.create(
            model="demo", messages=conversation, max_tokens=5, stream=True
        )
        words = [
            chunk.choices[0].delta.content or ""
            for chunk in stream
            if chunk.choices
        ]
        self.assertEqual("".join(words), plain.choices[0].message.content)
        self.assertEqual(plain.usage and plain.usage.completion_tokens, 5)

    def test_list_models_and_unknown_model(self) -> None:
        self.assertEqual([m.id for m in self.client.models.list()], ["demo"])
        with self.assertRaises(openai.NotFoundError) as caught:
            self.client.completions.create(model="none", prompt="x")
        self.assertEqual(caught.exception.code, "model_not_found")

    def test_batch_results_are_complete_and_private(self) -> None:
        lines = "".join(make_line(number) for number in range(ITEMS))
        lines += make_line(ITEMS, model="none")
        file = self.client.files.create(
            file=("list.jsonl", lines.encode()), purpose="batch"
        )
        first, again = (
            self.client.batches.create(
                input_file_id=file.id,
                endpoint=CHAT,
                completion_window="24h",
                extra_headers={"Idempotency-Key": "list-1"},
            )
            for _ in range(2)
        )
        self.assertEqual(first.id, again.id)
        batch = self.wait_for(first.id)
        self.assertEqual(batch.status, "completed")
        results = self.client.files.content(batch.output_file_id or "").text
        ids = [json.loads(line)["custom_id"] for line in results.splitlines()]
        expected = [f"m-{number}" for number in range(ITEMS)]
        self.assertEqual(sorted(ids), sorted(expected))
        failed = self.client.files.content(batch.error_file_id or "").text
        self.assertEqual(json.loads(failed)["custom_id"], f"m-{ITEMS}")
        with self.assertRaises(openai.NotFoundError):
            self.other.batches.retrieve(batch.id)
        with self.assertRaises(openai.NotFoundError):
            self.other.files.content(batch.output_file_id or "")

    def wait_for(self, batch: str) -> openai.types.Batch:
        deadline = time.monotonic() + BATCH_TIMEOUT_S
        found = self.client.batches.retrieve(batch)
        while found.status not in ("completed", "cancelled", "failed"):
            self.assertLess(time.monotonic(), deadline)
            time.sleep(0.1)
            found = self.client.batches.retrieve(batch)
        return found

    def test_invalid_line_is_named(self) -> None:
        lines = make_line(0) + "{broken\n" + make_line(2)
        with self.assertRaises(openai.BadRequestError) as caught:
            self.client.files.create(
                file=("list.jsonl", lines.encode()), purpose="batch"
            )
        self.assertIn("line 2", str(caught.exception))

    def test_cancel_batch(self) -> None:
        lines = "".join(make_line(number) for number in range(2000))
        file = self.client.files.create(
            file=("list.jsonl", lines.encode()), purpose="batch"
        )
        batch = self.client.batches.create(
            input_file_id=file.id, endpoint=CHAT, completion_window="24h"
        )
        cancelled = self.client.batches.cancel(batch.id)
        self.assertEqual(cancelled.status, "cancelled")

    def test_malformed_uploads(self) -> None:
        cases = (
            ("no form", b"{}", "application/json"),
            ("no file", b"--b\r\n\r\n--b--\r\n", "multipart/form-data"),
            (
                "truncated form",
                b'--b\r\ncontent-disposition: form-data; name="file"\r\n\r\nx',
                "multipart/form-data; boundary=b",
            ),
        )
        headers = {"authorization": f"Bearer {self.client.api_key}"}
        for name, body, kind in cases:
            with self.subTest(name):
                response = httpx.post(
                    f"{self.url}/v1/files",
                    content=body,
                    headers={**headers, "content-type": kind},
                )
                self.assertEqual(response.status_code, 400)
                self.assertEqual(response.json()["error"]["ran"], "not_run")
