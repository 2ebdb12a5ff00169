"""Processes that are started with closed standard files."""

import itertools
import os
import subprocess
import sys
import textwrap
from typing import Final
import unittest

from tests import test_deploy

# Tells by its exit code whether a socket got a standard descriptor.
PROGRAM: Final = textwrap.dedent(
    """
    import socket, sys
    {start}
    print("a line", file=sys.stderr)
    sys.exit(10 + (socket.socket().fileno() < 3))
    """
)
STARTS: Final = {
    "platform": (
        "from eelgrassgate import signals\n"
        "from eelgrassgate.platform import process\n"
        "process.main([], signals.Receiver())"
    ),
    "own": (
        "from eelgrassgate import main; sys.argv[1:] = ['--help']\n"
        "try: main.run()\nexcept SystemExit: pass"
    ),
}


class StartTest(unittest.TestCase):
    def test_no_connection_gets_the_descriptor_of_a_closed_file(self) -> None:
        for name, start in STARTS.items():
            for count in (1, 2, 3):
                for closed in itertools.combinations(range(3), count):
                    with self.subTest(name, closed=closed):
                        code = self.run_program(start, closed)
                        self.assertEqual(code, 10)

    def run_program(self, start: str, closed: tuple[int, ...]) -> int:
        def close() -> None:
            for descriptor in closed:
                os.close(descriptor)

        return subprocess.run(
            [sys.executable, "-c", PROGRAM.format(start=start)],
            cwd=test_deploy.ROOT,
            preexec_fn=close,
            stdout=subprocess.DEVNULL,
            stderr=subprocess.DEVNULL,
            check=False,
        ).returncode
