"""Finds and runs the command that a command line names."""

from collections.abc import Sequence
import os
import sys
from typing import Final

from eelgrassgate.operators import command
from eelgrassgate.operators import config_commands
from eelgrassgate.operators import daemon_commands
from eelgrassgate.operators import exit_codes
from eelgrassgate.operators import explain_command
from eelgrassgate.operators import job_commands
from eelgrassgate.operators import key_commands
from eelgrassgate.operators import settings_command
from eelgrassgate.operators import status_commands

COMMANDS: Final = (
    daemon_commands.ENTRY,
    daemon_commands.AGENT,
    daemon_commands.LOCAL,
    config_commands.CHECK,
    config_commands.DIFF,
    config_commands.APPLY,
    config_commands.SHOW,
    key_commands.GRANT,
    key_commands.WITHDRAW,
    key_commands.LIST,
    job_commands.LIST,
    job_commands.SHOW,
    job_commands.CANCEL,
    status_commands.STATUS,
    status_commands.FORGET,
    explain_command.EXPLAIN,
    settings_command.SETTINGS,
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
    command.print_errors(
        (
            f"{command.PROGRAM}: {message}",
            f"See `{command.PROGRAM} --help`.",
        )
    )
    return exit_codes.USAGE


def run(arguments: Sequence[str]) -> int:
    """Run a command line whose output may be cut; return the exit code."""
    try:
        code = main(arguments)
        sys.stdout.flush()
    except BrokenPipeError:
        # A reader such as `head` closed the pipe. Standard output is
        # redirected so that the flush at exit can't fail.
        os.dup2(os.open(os.devnull, os.O_WRONLY), sys.stdout.fileno())
        code = exit_codes.OK
    return code
