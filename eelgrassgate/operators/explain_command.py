"""The command that shows the log lines of a request, job or item."""

from collections.abc import Iterable
from collections.abc import Iterator
import pathlib
from typing import Any
from typing import Final

from absl import flags
import msgspec

from eelgrassgate.operators import command
from eelgrassgate.operators import exit_codes

# Fields that every line has; they are printed first or omitted.
_PREFIX_FIELDS: Final = frozenset(
    {"timestamp", "instance", "role", "message_type"}
)


class LogLine(msgspec.Struct, frozen=True):
    """A structured log line.

    Attributes:
        timestamp: Unix time in seconds.
        instance: The instance that wrote it.
        kind: The message type.
        fields: All other fields.
    """

    timestamp: float
    instance: str
    kind: str
    fields: dict[str, Any]


def parse_lines(text: Iterable[str]) -> Iterator[LogLine]:
    """Yield the structured lines, without any text before the JSON."""
    for line in text:
        start = line.find("{")
        if start < 0:
            continue
        try:
            fields = msgspec.json.decode(line[start:])
        except msgspec.DecodeError:
            continue
        if not isinstance(fields, dict) or "message_type" not in fields:
            continue
        yield LogLine(
            float(fields.get("timestamp", 0.0)),
            str(fields.get("instance", "")),
            str(fields["message_type"]),
            {
                name: value
                for name, value in fields.items()
                if name not in _PREFIX_FIELDS
            },
        )


def find_lines(lines: Iterable[LogLine], wanted_id: str) -> list[LogLine]:
    """Return the lines with the id in `id` or `job`, sorted by time."""
    found = [
        line
        for line in lines
        if wanted_id in {line.fields.get("id"), line.fields.get("job")}
    ]
    return sorted(found, key=lambda line: line.timestamp)


def render(lines: list[LogLine]) -> Iterator[str]:
    """Yield a line of text for each, with the time since the first."""
    for line in lines:
        since_s = line.timestamp - lines[0].timestamp
        rest = " ".join(
            f"{name}={value}" for name, value in line.fields.items()
        )
        yield f"{since_s:9.3f} s  {line.instance}  {line.kind}: {rest}"


def _define(values: flags.FlagValues) -> None:
    flags.DEFINE_string(
        "id", None, "The request's, job's or item's id.", flag_values=values
    )
    flags.DEFINE_multi_string(
        "file", None, "A log; may be given more than once.", flag_values=values
    )


def _run(values: Any) -> int:
    lines: list[LogLine] = []
    for name in values.file:
        try:
            text = pathlib.Path(name).read_text("utf-8", "replace")
        except OSError as error:
            command.print_errors((f"{name}: {error.strerror}",))
            return exit_codes.FINDINGS
        lines.extend(parse_lines(text.splitlines()))
    found = find_lines(lines, values.id)
    if not found:
        command.print_errors((f"no log line has the id {values.id}",))
        return exit_codes.FINDINGS
    command.print_lines(render(found))
    return exit_codes.OK


EXPLAIN = command.Command(
    words="explain",
    summary="Show the log lines of a request, job or item.",
    details="""
Reads logs of any number of processes and prints the lines that name the id, in
order of time.

Example: eelgrassgate explain --id 9c41d07be2a35f68 --file gateway-1.log
""",
    define=_define,
    run=_run,
    required=("id", "file"),
)
