"""Validates the configuration files and reports all findings at once."""

from collections.abc import Iterator
from typing import Any
from typing import Final

import msgspec
from returns import result

from eelgrassgate import documents
from eelgrassgate import findings
from eelgrassgate.config import fleet as fleet_lib
from eelgrassgate.config import merge
from eelgrassgate.config import references

_CHECKER: Final = documents.SchemaValidator(fleet_lib.Fleet)


def check(
    base_file: str, overlay_file: str = ""
) -> result.Result[fleet_lib.Fleet, findings.Report]:
    """Read, merge and check the files.

    Args:
        base_file: Path of the base file.
        overlay_file: Path of the site's overlay file, empty for none.

    Returns:
        The configuration, or all findings with their files and paths.
    """
    report = findings.Report()
    sources = merge.load(base_file, overlay_file, report)
    if sources is None:
        return result.Failure(report)
    for path, message in _iterate_problems(sources.document):
        report.add(
            sources.find_file(path), documents.render_path(path), message
        )
    if report.has_findings():
        return result.Failure(report)
    return result.Success(msgspec.convert(sources.document, fleet_lib.Fleet))


def _iterate_problems(document: Any) -> Iterator[documents.Problem]:
    yield from _CHECKER.check(document)
    yield from references.check(document)
