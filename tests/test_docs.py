"""Checks links and command examples in the documentation."""

from collections.abc import Iterator
import contextlib
import io
import os
import pathlib
import re
import shlex
import unittest
import unittest.mock

import anyio.to_thread
import msgspec

from eelgrassgate.operators import command_line
from eelgrassgate.operators import stores
from eelgrassgate.standins import store as standin
from eelgrassgate.store import memory
from tests import loopback

ROOT = pathlib.Path(__file__).parent.parent
LINK = re.compile(r"\[[^\]]*\]\(([^)\s]+)\)")
BLOCK = re.compile(r"^```console\n(.*?)^```$", re.MULTILINE | re.DOTALL)
CODE = re.compile(r"^```.*?^```$", re.MULTILINE | re.DOTALL)
HEADING = re.compile(r"^#+ (.+)$", re.MULTILINE)
# Values that differ between runs: keys, digests and times.
VOLATILE = re.compile(r"eg-[\w-]{43}|digest=\w+|granted_at=\d\S+")


class Example(msgspec.Struct, frozen=True):
    """A command in a document and the output below it."""

    command: str
    output: str


def list_documents() -> list[pathlib.Path]:
    found = [ROOT / "README.md", *(ROOT / "docs").rglob("*.md")]
    found.extend((ROOT / "examples").rglob("*.md"))
    return sorted(found)


def find_broken_links(document: pathlib.Path) -> Iterator[str]:
    text = CODE.sub("", document.read_text(encoding="utf-8"))
    for target in LINK.findall(text):
        if "://" in target:
            continue
        path, _, anchor = target.partition("#")
        file = document.parent / path if path else document
        if not file.exists() or (anchor and anchor not in list_anchors(file)):
            yield target


def list_anchors(file: pathlib.Path) -> list[str]:
    headings = HEADING.findall(file.read_text(encoding="utf-8"))
    plain = (re.sub(r"[^\w\s-]", "", heading.lower()) for heading in headings)
    return [heading.strip().replace(" ", "-") for heading in plain]


def list_examples(document: pathlib.Path) -> Iterator[Example]:
    for block in BLOCK.findall(document.read_text(encoding="utf-8")):
        for part in re.split(r"^\$ ", block, flags=re.MULTILINE)[1:]:
            command, _, output = part.partition("\n")
            yield Example(command, output)


def run(command: str) -> str:
    output = io.StringIO()
    with (
        contextlib.redirect_stdout(output),
        contextlib.redirect_stderr(output),
        contextlib.chdir(ROOT),
    ):
        command_line.main(shlex.split(command)[1:])
    return output.getvalue()


class DocsTest(unittest.IsolatedAsyncioTestCase):
    def test_links_resolve(self) -> None:
        for document in list_documents():
            with self.subTest(os.path.relpath(document, ROOT)):
                self.assertEqual(list(find_broken_links(document)), [])

    async def test_command_output_matches(self) -> None:
        count = 0
        for document in list_documents():
            app = standin.create_app(memory.create_memory_store())
            async with loopback.serve(app) as url:
                with unittest.mock.patch.object(stores, "DEFAULT_URL", url):
                    for example in list_examples(document):
                        count += 1
                        with self.subTest(example.command):
                            await self.check(example)
        self.assertGreater(count, 10)

    async def check(self, example: Example) -> None:
        printed = await anyio.to_thread.run_sync(run, example.command)
        self.assertEqual(
            VOLATILE.sub("*", printed), VOLATILE.sub("*", example.output)
        )
