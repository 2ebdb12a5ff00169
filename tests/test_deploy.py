"""The deploy file: when the build installs the requirements."""

import os
import pathlib
import subprocess
import tempfile
import tomllib
from typing import Final
import unittest

ROOT: Final = pathlib.Path(__file__).parent.parent
# Stands in for `python3`: names its version, installs one module, and records
# what it compiles.
PYTHON: Final = """#!/bin/sh
if [ "$1" = -c ]; then echo "${TEST_PYTHON:-cpython-311}"; exit; fi
if [ "$2" = compileall ]; then echo "$*" > compiled; exit; fi
mkdir -p target/deps/fresh
[ -z "$TEST_INTERRUPTED" ]
"""
UNAME: Final = '#!/bin/sh\necho "${TEST_MACHINE:-aarch64}"\n'


class BuildTest(unittest.TestCase):
    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = pathlib.Path(folder.name)
        (self.folder / "requirements.txt").write_text("a==1\n", "utf-8")
        (self.folder / "bin").mkdir()
        for name, text in (("python3", PYTHON), ("uname", UNAME)):
            program = self.folder / "bin" / name
            program.write_text(text, "utf-8")
            program.chmod(0o755)

    def build(self, **environment: str) -> bool:
        """Build; returns whether the requirements were installed anew."""
        fresh = self.folder / "target" / "deps" / "fresh"
        if fresh.exists():
            fresh.rmdir()
        text = (ROOT / "deploy" / "system.toml").read_text("utf-8")
        path = f"{self.folder / 'bin'}:{os.environ['PATH']}"
        subprocess.run(
            ["/bin/sh", "-c", tomllib.loads(text)["build"]],
            cwd=self.folder,
            env={"PATH": path, **environment},
            check="TEST_INTERRUPTED" not in environment,
        )
        return fresh.exists()

    def test_an_installation_is_kept(self) -> None:
        self.assertTrue(self.build())
        self.assertFalse(self.build())

    def test_the_program_is_compiled_at_each_build(self) -> None:
        # Otherwise each start compiles it where it may not write bytecode.
        compiled = self.folder / "compiled"
        for _ in range(2):
            self.build()
            self.assertIn("eelgrassgate", compiled.read_text("utf-8"))
            compiled.unlink()

    def test_changed_requirements_are_installed(self) -> None:
        self.build()
        old = self.folder / "requirements.txt"
        old.write_text("a==2\n", "utf-8")
        os.utime(old, (0, 0))
        self.assertTrue(self.build())

    def test_an_interrupted_installation_is_not_taken_for_whole(self) -> None:
        self.build(TEST_INTERRUPTED="1")
        self.assertTrue(self.build())

    def test_an_installation_for_another_machine_is_not_taken(self) -> None:
        self.build(TEST_MACHINE="x86_64")
        self.assertTrue(self.build(TEST_MACHINE="aarch64"))

    def test_an_installation_for_another_python_is_not_taken(self) -> None:
        self.build(TEST_PYTHON="cpython-312")
        self.assertTrue(self.build())

    def test_a_folder_of_unknown_origin_is_not_taken(self) -> None:
        (self.folder / "target" / "deps" / "other").mkdir(parents=True)
        self.assertTrue(self.build())
