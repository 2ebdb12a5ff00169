"""Shows what the logs tell of one request, job or item, in order."""

from collections.abc import Iterable
from collections.abc import Iterator
import pathlib
from typing import Any
from typing import Final

from absl import flags
import msgspec

from eelgrassgate.operators import command
from eelgrassgate.operators import exit_codes

# Fields that stand in each line and are shown in front.
_SHOWN_FIRST: Final = frozenset(
    {"timestamp", "instance", "role", "message_type"}
)


class Line(msgspec.Struct, frozen=True):
    """One line of a log.

    Attributes:
        timestamp: Wall-clock instant in seconds.
        instance: Who wrote it.
        kind: What it says was decided or has changed.
        fields: All else.
    """

    timestamp: float
    instance: str
    kind: str
    fields: dict[str, Any]


def read_lines(text: Iterable[str]) -> Iterator[Line]:
    """Yield the structured lines; what stands before the brace is dropped."""
    for raw in text:
        start = raw.find("{")
        if start < 0:
            continue
        try:
            fields = msgspec.json.decode(raw[start:])
        except msgspec.DecodeError:
            continue
        if not isinstance(fields, dict) or "message_type" not in fields:
            continue
        yield Line(
            float(fields.get("timestamp", 0.0)),
            str(fields.get("instance", "")),
            str(fields["message_type"]),
            {
                name: value
                for name, value in fields.items()
                if name not in _SHOWN_FIRST
            },
        )


def find(lines: Iterable[Line], wanted: str) -> list[Line]:
    """Return the lines that name an id, in order of time."""
    found = [
        line
        for line in lines
        if wanted in {line.fields.get("id"), line.fields.get("job")}
    ]
    return sorted(found, key=lambda line: line.timestamp)


def render(lines: list[Line]) -> Iterator[str]:
    """Yield a line of text for each, with times since the first."""
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
    lines: list[Line] = []
    for name in values.file:
        try:
            text = pathlib.Path(name).read_text("utf-8", "replace")
        except OSError as error:
            command.print_problems((f"{name}: {error.strerror}",))
            return exit_codes.FINDINGS
        lines.extend(read_lines(text.splitlines()))
    found = find(lines, values.id)
    if not found:
        command.print_problems((f"no line names {values.id}",))
        return exit_codes.FINDINGS
    command.print_lines(render(found))
    return exit_codes.OK


EXPLAIN = command.Command(
    words="explain",
    summary="Show what the logs tell of one request, job or item.",
    details="""
Reads logs of any number of processes and prints the lines that name the id, in
order of time.

Example: eelgrassgate explain --id 9c41d07be2a35f68 --file gateway-1.log
""",
    define=_define,
    run=_run,
    required=("id", "file"),
)
