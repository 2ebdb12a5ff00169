"""Collects findings about an input so that all are reported at once."""

from collections.abc import Iterator

import msgspec


class Finding(msgspec.Struct, frozen=True):
    """One error in an input.

    Attributes:
        file: The file or resource that contains the error.
        location: A line such as `line 3` or a path such as `$.workspaces.desk`.
        message: What is wrong and, where known, how to fix it.
    """

    file: str
    location: str
    message: str


class Report:
    """Collects findings in order."""

    def __init__(self) -> None:
        """Create an empty report."""
        self._findings: list[Finding] = []

    def add(self, file: str, location: str, message: str) -> None:
        """Add one finding."""
        self._findings.append(Finding(file, location, message))

    def has_findings(self) -> bool:
        """Return whether there is any finding."""
        return bool(self._findings)

    def get_findings(self) -> tuple[Finding, ...]:
        """Return all findings in the order in which they were added."""
        return tuple(self._findings)

    def render(self) -> Iterator[str]:
        """Yield one line of text for each finding."""
        for finding in self._findings:
            yield f"{finding.file}: {finding.location}: {finding.message}"
