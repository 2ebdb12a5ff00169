import contextlib
import functools
import io
import pathlib
import unittest

import anyio
import anyio.to_thread
import msgspec

from eelgrassgate import messages
from eelgrassgate import outcomes
from eelgrassgate.config import reports
from eelgrassgate.instances import base as instances
from eelgrassgate.jobs import keys
from eelgrassgate.jobs import records
from eelgrassgate.keys import digest
from eelgrassgate.metrics import recorder
from eelgrassgate.operators import api
from eelgrassgate.operators import command_line
from eelgrassgate.operators import exit_codes
from eelgrassgate.standins import store as store_server
from eelgrassgate.store import base
from eelgrassgate.store import memory
from tests import loopback

SITE = pathlib.Path(__file__).parent.parent / "examples" / "blue-mahoe"
FILES = (f"--base={SITE / 'base.json5'}", f"--overlay={SITE / 'site.json5'}")
USAGE_CASES = (
    ("no command", (), exit_codes.USAGE, "Commands:"),
    ("help", ("--help",), exit_codes.OK, "key withdraw"),
    ("help of one command", ("apply", "--help"), exit_codes.OK, "--expect"),
    ("unknown command", ("aply",), exit_codes.USAGE, "unknown command `aply`"),
    ("incomplete command", ("key",), exit_codes.USAGE, "unknown command `key`"),
    ("unknown flag", ("check", "--overly=x"), exit_codes.USAGE, "overlay"),
    (
        "missing flag",
        ("apply", *FILES),
        exit_codes.USAGE,
        "--expect is missing",
    ),
    ("unexpected argument", ("check", *FILES, "x"), exit_codes.USAGE, "`x`"),
    ("missing file", ("check", "--base=/no"), exit_codes.FINDINGS, "/no"),
    (
        "missing settings",
        ("entry", "--settings=/no"),
        exit_codes.FINDINGS,
        "/no: file",
    ),
)


def run(*arguments: str) -> tuple[int, str]:
    output = io.StringIO()
    with (
        contextlib.redirect_stdout(output),
        contextlib.redirect_stderr(output),
    ):
        code = command_line.main(arguments)
    return code, output.getvalue()


class CommandsTest(unittest.IsolatedAsyncioTestCase):
    def test_usage(self) -> None:
        for name, arguments, code, words in USAGE_CASES:
            with self.subTest(name):
                outcome = run(*arguments)
                self.assertEqual(outcome[0], code)
                self.assertIn(words, outcome[1])

    def test_every_command_has_help(self) -> None:
        for command in command_line.COMMANDS:
            with self.subTest(command.words):
                code, text = run(*command.words.split(), "--help")
                self.assertEqual(code, exit_codes.OK)
                self.assertIn(f"Example: eelgrassgate {command.words}", text)
                for name in command.required:
                    self.assertIn(f"--{name}: ", text)

    async def test_apply_and_key_lifecycle(self) -> None:
        store = memory.create_memory_store()
        async with loopback.serve(store_server.create_app(store)) as url:

            async def call(*arguments: str) -> tuple[int, str]:
                return await anyio.to_thread.run_sync(
                    lambda: run(*arguments, f"--store={url}")
                )

            code, text = await call("diff", *FILES)
            self.assertEqual((code, text[:11]), (exit_codes.OK, "revision 0\n"))
            applied = await call("apply", *FILES, "--expect=0")
            self.assertEqual(
                applied, (exit_codes.OK, "applied as revision 1\n")
            )
            self.assertEqual(
                await call("diff", *FILES), (exit_codes.OK, "revision 1\n")
            )
            changed = (f"--base={SITE / 'base.json5'}",)
            code, text = await call("apply", *changed, "--expect=0")
            self.assertEqual(code, exit_codes.STALE)
            self.assertIn("~ workspaces/parish-guildford", text)
            code, text = await call(
                "key", "grant", "--name=k", "--workspace=tutoring"
            )
            key = text.split()[-1]
            self.assertEqual((code, key[:3]), (exit_codes.OK, "eg-"))
            code, text = await call("key", "list")
            self.assertIn(digest.compute_digest(key)[:8], text)
            self.assertNotIn(key, text)
            await self.write_report(store, 2)
            withdraw = ("key", "withdraw", "--name=k", "--wait=0")
            code, text = await call(*withdraw)
            self.assertEqual(code, exit_codes.PENDING)
            self.assertIn("not yet: entry-1", text)
            code, text = await call(*withdraw)
            self.assertEqual(code, exit_codes.FINDINGS)
            code, text = await call("status")
            self.assertIn("zone a instances=1 behind=1", text)
            self.assertIn("entry-1 revision=2 behind", text)
            forget = ("zone", "forget", "--zone=a")
            self.assertEqual((await call(*forget))[0], exit_codes.OK)
            self.assertEqual((await call(*forget))[0], exit_codes.FINDINGS)
            code, text = await call("status")
            self.assertEqual(text, "configuration revision=3\n")
            code, text = await call("show")
            self.assertIn('"revision": 3', text)
            self.assertNotIn(digest.compute_digest(key), text)

    async def test_status_of_an_entry(self) -> None:
        figures = recorder.create_recorder("entry")
        for seconds in (0.01, 0.02, 0.3):
            figures.time("whole", "desk", outcomes.RequestClass.ONLINE, seconds)
        agent = instances.Instance("a1", "agent", "", "z", "r")
        info = messages.EndpointInfo(endpoint="matcher-1", kind="engine")
        load = messages.LoadReport(
            online_queued=2,
            online_running=3,
            batch_queued=0,
            batch_running=4,
            window=8,
        )

        def read() -> api.Status:
            endpoints = (
                api.describe_endpoint(agent, info, load, True),
                api.describe_endpoint(agent, None, None, False),
            )
            return api.Status(
                "e1", "z", 7, 1500, True, endpoints, figures.snapshot()
            )

        async with loopback.serve(api.create_app(read)) as url:
            code, text = await anyio.to_thread.run_sync(
                run, "status", f"--entry={url}"
            )
        self.assertEqual(code, exit_codes.OK)
        for words in (
            "e1 zone=z ready revision=7 confirmed=1.5s ago",
            "matcher-1 agent=a1 zone=z connected window=8",
            "online=3+2 batch=4+0",
            "? agent=a1 zone=z not connected",
            "desk online whole n=3 p50=20",
        ):
            self.assertIn(words, text)
        code, _ = run("status", f"--entry={url}")
        self.assertEqual(code, exit_codes.UNAVAILABLE)

    async def test_job_commands(self) -> None:
        store = memory.create_memory_store()
        job = records.Job(
            job="batch_1",
            workspace="desk",
            file="f",
            endpoint="/v1/completions",
            items=5,
            created=0,
            due=86_400,
            kept_until=0,
            is_repeatable=True,
            same="",
            content="",
        )
        for name in ("batch_1", "batch_2"):
            await self.put_job(store, msgspec.structs.replace(job, job=name))
        async with loopback.serve(store_server.create_app(store)) as url:
            for words, code, shown in (
                (
                    ("list", "--limit=1"),
                    exit_codes.OK,
                    "batch_1 state=completed",
                ),
                (("list", "--after=batch_1"), exit_codes.OK, "batch_2 state="),
                (("show", "--job=batch_2"), exit_codes.OK, '"items": 5'),
                (
                    ("show", "--job=batch_3"),
                    exit_codes.FINDINGS,
                    "no batch batch_3",
                ),
                (("cancel", "--job=batch_1"), exit_codes.OK, "state=completed"),
            ):
                with self.subTest(words):
                    arguments = ("jobs", *words, "--workspace=desk")
                    flag = f"--store={url}"
                    outcome = await anyio.to_thread.run_sync(
                        functools.partial(run, *arguments, flag)
                    )
                    self.assertEqual(outcome[0], code)
                    self.assertIn(shown, outcome[1])

    async def put_job(self, store: base.Store, job: records.Job) -> None:
        ended = msgspec.structs.replace(job, state=records.State.COMPLETED)
        key = keys.format_record(job.workspace, job.job)
        write = base.Write(key, records.encode(ended))
        await store.commit(base.Transaction((), (write,)))

    async def write_report(self, store: base.Store, revision: int) -> None:
        """Write the report of an instance that does not update any more."""
        row = reports.InstanceRevision(revision)
        found = reports.ZoneReport("a", "entry-1", {"entry-1": row}, {})
        write = reports.encode(found)
        await store.commit(base.Transaction((), (write,)))

    def test_unreachable_store(self) -> None:
        code, text = run("show", "--store=http://127.0.0.1:9")
        self.assertEqual(code, exit_codes.UNAVAILABLE)
        self.assertIn("store: ", text)
