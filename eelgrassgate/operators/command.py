"""Definition, flag parsing and help of commands."""

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Iterator
import sys
from typing import Any
from typing import Final

from absl import flags
import msgspec

from eelgrassgate.operators import exit_codes

PROGRAM: Final = "eelgrassgate"
_CREATE_FLAG_VALUES: Final[Any] = flags.FlagValues


class Command(msgspec.Struct, frozen=True):
    """A command of the command line.

    Attributes:
        words: Its name, such as `key grant`.
        summary: One-line description.
        details: Full description with an example.
        define: Defines its flags.
        run: Runs it with the parsed flags; returns the exit code.
        required: Names of the required flags.
    """

    words: str
    summary: str
    details: str
    define: Callable[[flags.FlagValues], None]
    run: Callable[[Any], int]
    required: tuple[str, ...] = ()


class UsageError(Exception):
    """The command line is invalid; the message says why."""


def parse(command: Command, arguments: list[str]) -> flags.FlagValues | None:
    """Parse a command's flags; None if `--help` was given.

    Raises:
        UsageError: The flags are invalid.
    """
    values: flags.FlagValues = _CREATE_FLAG_VALUES()
    flags.DEFINE_bool("help", False, "Show this help.", flag_values=values)
    command.define(values)
    try:
        rest = values([command.words, *arguments])[1:]
    except flags.Error as error:
        raise UsageError(str(error)) from error
    if values["help"].value:
        return None
    if rest:
        raise UsageError(f"unexpected argument `{rest[0]}`")
    for name in command.required:
        if values[name].value is None:
            raise UsageError(f"--{name} is missing")
    return values


def render_help(command: Command) -> Iterator[str]:
    """Yield the lines of a command's help."""
    values: flags.FlagValues = _CREATE_FLAG_VALUES()
    command.define(values)
    yield f"Usage: {PROGRAM} {command.words} [flags]"
    yield ""
    yield command.summary
    yield ""
    yield from command.details.strip().splitlines()
    yield ""
    yield "Flags:"
    for name in values:
        flag = values[name]
        note = "" if flag.default is None else f" (default: {flag.default})"
        if name in command.required:
            note = " (required)"
        yield f"  --{name}: {flag.help}{note}"
    yield ""
    yield from render_exit_codes()


def render_overview(commands: Iterable[Command]) -> Iterator[str]:
    """Yield the lines of the list of commands."""
    yield f"Usage: {PROGRAM} COMMAND [flags]"
    yield ""
    yield "Commands:"
    for command in commands:
        yield f"  {command.words:<14} {command.summary}"
    yield ""
    yield f"`{PROGRAM} COMMAND --help` shows details."
    yield ""
    yield from render_exit_codes()


def render_exit_codes() -> Iterator[str]:
    """Yield the lines of the table of exit codes."""
    yield "Exit codes:"
    for code, meaning in exit_codes.MEANINGS.items():
        yield f"  {code}  {meaning}"


def print_lines(lines: Iterable[str]) -> None:
    """Print lines to standard output."""
    for line in lines:
        print(line)


def print_errors(lines: Iterable[str]) -> None:
    """Print lines to standard error."""
    for line in lines:
        print(line, file=sys.stderr)
