"""The command line: `eelgrassgate COMMAND [flags]`."""

from collections.abc import Sequence
import os
import sys
from typing import Final

from eelgrassgate.operators import command
from eelgrassgate.operators import configuring
from eelgrassgate.operators import daemons
from eelgrassgate.operators import exit_codes
from eelgrassgate.operators import explaining
from eelgrassgate.operators import jobbing
from eelgrassgate.operators import keying
from eelgrassgate.operators import settling
from eelgrassgate.operators import status

COMMANDS: Final = (
    daemons.ENTRY,
    daemons.AGENT,
    daemons.LOCAL,
    configuring.CHECK,
    configuring.DIFF,
    configuring.APPLY,
    configuring.SHOW,
    keying.GRANT,
    keying.WITHDRAW,
    keying.LIST,
    jobbing.LIST,
    jobbing.SHOW,
    jobbing.CANCEL,
    status.STATUS,
    status.FORGET,
    explaining.EXPLAIN,
    settling.SETTINGS,
)
HELP_WORDS: Final = ("help", "--help", "-h")


def main(arguments: Sequence[str]) -> int:
    """Run a command line; return the exit code."""
    if not arguments or arguments[0] in HELP_WORDS:
        command.print_lines(command.render_overview(COMMANDS))
        return exit_codes.OK if arguments else exit_codes.USAGE
    found = find_command(arguments)
    if found is None:
        return _report_usage_error(
            f"unknown command `{' '.join(arguments[:2])}`"
        )
    rest = list(arguments[len(found.words.split()) :])
    try:
        values = command.parse(found, rest)
    except command.UsageError as error:
        return _report_usage_error(f"{found.words}: {error}")
    if values is None:
        command.print_lines(command.render_help(found))
        return exit_codes.OK
    return found.run(values)


def find_command(arguments: Sequence[str]) -> command.Command | None:
    """Return the command that the first arguments name."""
    for candidate in COMMANDS:
        words = candidate.words.split()
        if list(arguments[: len(words)]) == words:
            return candidate
    return None


def _report_usage_error(message: str) -> int:
    command.print_problems(
        (
            f"{command.PROGRAM}: {message}",
            f"See `{command.PROGRAM} --help`.",
        )
    )
    return exit_codes.USAGE


def run() -> None:
    """Run the command line and exit."""
    try:
        code = main(sys.argv[1:])
        sys.stdout.flush()
    except BrokenPipeError:
        # A reader such as `head` closed the pipe. Standard output is
        # redirected so that the flush at exit can't fail.
        os.dup2(os.open(os.devnull, os.O_WRONLY), sys.stdout.fileno())
        code = exit_codes.OK
    sys.exit(code)


if __name__ == "__main__":
    run()
