"""The command that checks a process's settings file."""

from typing import Any

from absl import flags
import msgspec
from returns import result

from eelgrassgate.operators import command
from eelgrassgate.operators import exit_codes
from eelgrassgate.platform import boot


def _define(values: flags.FlagValues) -> None:
    flags.DEFINE_string(
        "file",
        None,
        "The settings file, TOML; by default the one that the environment"
        " names.",
        flag_values=values,
    )


def _run(values: Any) -> int:
    loaded = boot.load(values.file)
    if isinstance(loaded, result.Failure):
        command.print_errors(loaded.failure().render())
        return exit_codes.FINDINGS
    rendered = msgspec.json.format(msgspec.json.encode(loaded.unwrap()))
    command.print_lines((rendered.decode(),))
    return exit_codes.OK


SETTINGS = command.Command(
    words="settings",
    summary="Check a process's settings, and show what it would run with.",
    details="""
Prints all findings at once, or the settings as JSON.

Example: eelgrassgate settings --file /etc/eelgrassgate/local.toml
""",
    define=_define,
    run=_run,
)
