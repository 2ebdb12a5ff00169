"""Runs the tests, tolerates known failures and prints a summary."""

import pathlib
import sys
from typing import Any
from typing import Final

from nose2 import main as nose2_main
import nose2.events

ROOT: Final = pathlib.Path(__file__).parent.parent
KNOWN_RED_FILE: Final = ROOT / "KNOWN-RED.txt"


def read_known_failures() -> frozenset[str]:
    """Read the ids of the tests that `KNOWN-RED.txt` lists."""
    lines = KNOWN_RED_FILE.read_text(encoding="utf-8").splitlines()
    return frozenset(
        line.removeprefix("test:").strip()
        for line in lines
        if line.startswith("test:")
    )


class OutcomeRecorder(nose2.events.Plugin):
    """Records the ids of the tests that ran and of those that failed."""

    def __init__(self) -> None:
        """Create a recorder without outcomes."""
        self.failed: set[str] = set()
        self.ran: set[str] = set()

    def testOutcome(self, event: Any) -> None:
        """Record an outcome; subtests with a message count for their test."""
        name = event.test.id().split("\n")[0].split(" [")[0]
        self.ran.add(name)
        if event.exc_info and event.outcome != "skipped":
            self.failed.add(name)


def main() -> int:
    """Run the tests; return the exit code."""
    known_failures = read_known_failures()
    recorder = OutcomeRecorder()
    argv = ["nose2", "-s", str(ROOT), "-t", str(ROOT), *sys.argv[1:]]
    if len(sys.argv) == 1:
        argv.append("tests")
    nose2_main(
        module=None,
        argv=argv,
        exit=False,
        extraHooks=[("testOutcome", recorder)],
    )
    for name in sorted(known_failures & recorder.failed):
        print(f"known red: {name}")
    for name in sorted(known_failures & (recorder.ran - recorder.failed)):
        print(f"listed as red but passes: {name}")
    failed = recorder.failed - known_failures
    for name in sorted(failed):
        print(f"failed: {name}")
    passed = len(recorder.ran) - len(recorder.failed)
    print(f"{passed} passed, {len(failed)} failed")
    return 1 if failed or not passed else 0


if __name__ == "__main__":
    sys.exit(main())
