"""Entry point of the command line: `eelgrassgate COMMAND [flags]`."""

import importlib
import sys
from typing import Final

from eelgrassgate import signals
from eelgrassgate import standard_files

# Commands that run until SIGTERM.
DAEMONS: Final = frozenset({"entry", "agent", "local"})


def run() -> None:
    """Run the command line and exit."""
    is_daemon = DAEMONS.intersection(sys.argv[1:2])
    if is_daemon:
        # The imports of a daemon take most of its start.
        signals.receive()
    standard_files.open_closed_files()
    program = importlib.import_module("eelgrassgate.operators.command_line")
    exit_code = program.run(sys.argv[1:])
    if is_daemon:
        signals.ignore()
    sys.exit(exit_code)


if __name__ == "__main__":
    run()
