"""Commands that run a daemon until SIGTERM."""

import importlib
from typing import Any

from absl import flags
from returns import result

from eelgrassgate import settings
from eelgrassgate.operators import command
from eelgrassgate.operators import exit_codes


def _define_settings(values: flags.FlagValues) -> None:
    flags.DEFINE_string(
        "settings",
        None,
        "File with this process's settings, JSON with comments.",
        flag_values=values,
    )


def _run_entry(values: Any) -> int:
    loaded = settings.load_entry(values.settings)
    if isinstance(loaded, result.Failure):
        command.print_errors(loaded.failure().render())
        return exit_codes.FINDINGS
    return _run_module("eelgrassgate.entry.daemon", loaded.unwrap())


def _run_agent(values: Any) -> int:
    loaded = settings.load_agent(values.settings)
    if isinstance(loaded, result.Failure):
        command.print_errors(loaded.failure().render())
        return exit_codes.FINDINGS
    return _run_module("eelgrassgate.agent.daemon", loaded.unwrap())


def _define_local(values: flags.FlagValues) -> None:
    flags.DEFINE_integer(
        "port",
        0,
        "Port for callers on 127.0.0.1; 0 for any free one.",
        lower_bound=0,
        upper_bound=65535,
        flag_values=values,
    )


def _run_local(values: Any) -> int:
    return _run_module("eelgrassgate.local", values.port)


def _run_module(name: str, argument: settings.Settings | int) -> int:
    """Import `name` and run it; a late import keeps other commands fast."""
    return int(importlib.import_module(name).run(argument))


ENTRY = command.Command(
    words="entry",
    summary="Run an entry, which callers connect to.",
    details="""
Runs until SIGTERM, which finishes requests in flight and exits with 0.

Example: eelgrassgate entry --settings entry-1.json5
""",
    define=_define_settings,
    run=_run_entry,
    required=("settings",),
)
AGENT = command.Command(
    words="agent",
    summary="Run the agent beside one endpoint.",
    details="""
Runs until SIGTERM, which finishes requests in flight and exits with 0.

Example: eelgrassgate agent --settings agent-matcher-1.json5
""",
    define=_define_settings,
    run=_run_agent,
    required=("settings",),
)
LOCAL = command.Command(
    words="local",
    summary="Run the whole system in one process, in memory.",
    details="""
Prints one line of JSON with `url`, `key` and `key2` when ready; the keys
belong to two workspaces. Ends with Ctrl-C or SIGTERM.

Example: eelgrassgate local --port 8080
""",
    define=_define_local,
    run=_run_local,
)
