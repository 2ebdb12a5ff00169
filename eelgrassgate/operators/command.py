"""What every command of the command line has in common."""

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
_CREATE_VALUES: Final[Any] = flags.FlagValues


class Command(msgspec.Struct, frozen=True):
    """One command.

    Attributes:
        words: The words that name it, such as `key grant`.
        summary: One line on what it does.
        details: What a newcomer needs to know, with an example.
        define: Defines its flags.
        run: Runs it with its parsed flags; returns the exit code.
        required: Names of the flags that must be given.
    """

    words: str
    summary: str
    details: str
    define: Callable[[flags.FlagValues], None]
    run: Callable[[Any], int]
    required: tuple[str, ...] = ()


class UsageError(Exception):
    """The command line is wrong; the message says how."""


def parse(command: Command, arguments: list[str]) -> flags.FlagValues | None:
    """Parse a command's flags; None if its help was asked for.

    Raises:
        UsageError: The flags are wrong.
    """
    values: flags.FlagValues = _CREATE_VALUES()
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
    values: flags.FlagValues = _CREATE_VALUES()
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
    yield from render_exits()


def render_overview(commands: Iterable[Command]) -> Iterator[str]:
    """Yield the lines of the help on all commands."""
    yield f"Usage: {PROGRAM} COMMAND [flags]"
    yield ""
    yield "Commands:"
    for command in commands:
        yield f"  {command.words:<14} {command.summary}"
    yield ""
    yield f"`{PROGRAM} COMMAND --help` tells more."
    yield ""
    yield from render_exits()


def render_exits() -> Iterator[str]:
    """Yield the lines that tell the exit codes."""
    yield "Exit codes:"
    for code, meaning in exit_codes.MEANINGS.items():
        yield f"  {code}  {meaning}"


def print_lines(lines: Iterable[str]) -> None:
    """Print lines for the operator."""
    for line in lines:
        print(line)


def print_problems(lines: Iterable[str]) -> None:
    """Print lines on what went wrong."""
    for line in lines:
        print(line, file=sys.stderr)
