"""Reads JSON5 files and validates them, reporting every finding at once."""

from collections.abc import Iterable
from collections.abc import Iterator
import difflib
import pathlib
import re
from typing import Any
from typing import Final

import jsonschema
import msgspec
import pyjson5

from eelgrassgate import findings

_OFFSET: Final = re.compile(r"near (\d+)")
_BARE_NAME: Final = re.compile(r"[A-Za-z0-9_-]+")

JsonPath = tuple[str | int, ...]
Problem = tuple[JsonPath, str]


def read(file: str, report: findings.Report) -> Any:
    """Read one object from `file`; on failure add a finding, return None."""
    try:
        text = pathlib.Path(file).read_text(encoding="utf-8")
        document = pyjson5.loads(text)
    except OSError as error:
        report.add(file, "file", error.strerror or str(error))
        return None
    except UnicodeDecodeError as error:
        report.add(file, "file", f"is not UTF-8: {error.reason}")
        return None
    except pyjson5.Json5Exception as error:
        report.add(file, _find_line(text, error), str(error.args[0]))
        return None
    if not isinstance(document, dict):
        report.add(file, "$", "the file must hold one object")
        return None
    return document


def render_path(path: JsonPath) -> str:
    """Format a path as text, such as `$.keys.desk-1.digest`."""
    parts = ["$"]
    for part in path:
        if isinstance(part, str) and _BARE_NAME.fullmatch(part):
            parts.append(f".{part}")
        else:
            parts.append(f"[{part!r}]")
    return "".join(parts)


def suggest(name: str, known: Iterable[str]) -> str:
    """Return a hint with the known name closest to `name`, or no text."""
    close = difflib.get_close_matches(name, list(known), n=1)
    return f"; did you mean `{close[0]}`?" if close else ""


class SchemaValidator:
    """Validates documents against the JSON schema of a type."""

    def __init__(self, kind: type[msgspec.Struct]) -> None:
        """Derive the schema of `kind`."""
        schema = msgspec.json.schema(kind)
        self._validator = jsonschema.Draft202012Validator(schema)

    def check(self, document: Any) -> Iterator[Problem]:
        """Yield the path and description of each violation."""
        for error in self._validator.iter_errors(document):
            yield from _describe_error(error)


def _describe_error(error: jsonschema.ValidationError) -> Iterator[Problem]:
    path: JsonPath = tuple(error.absolute_path)
    if error.validator == "additionalProperties":
        yield from _describe_unknown_names(error, path)
    elif error.validator == "anyOf" and isinstance(error.instance, dict):
        for inner in error.context or ():
            if inner.validator_value != "null":
                yield from _describe_error(inner)
    elif error.validator == "pattern":
        yield path, f"does not match {error.validator_value}"
    else:
        yield path, error.message


def _describe_unknown_names(
    error: jsonschema.ValidationError, path: JsonPath
) -> Iterator[Problem]:
    schema = error.schema
    known = schema.get("properties", {}) if isinstance(schema, dict) else {}
    for name in error.instance if isinstance(error.instance, dict) else ():
        if name not in known:
            yield (*path, name), f"unknown name{suggest(name, known)}"


def _find_line(text: str, error: pyjson5.Json5Exception) -> str:
    found = _OFFSET.search(str(error.args[0]))
    if found is None:
        return "line 1"
    return f"line {text.count(chr(10), 0, int(found[1])) + 1}"
