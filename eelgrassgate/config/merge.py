"""Merges a site's overlay into the base file.

Overlays follow JSON Merge Patch (RFC 7396): members are merged by name, an
array or scalar replaces the value of the base, and null removes a member.
"""

import copy
from typing import Any
from typing import Final

import json_merge_patch
import msgspec

from eelgrassgate import documents
from eelgrassgate import findings

_MERGE: Final[Any] = vars(json_merge_patch)["merge"]


class Sources(msgspec.Struct, frozen=True):
    """A merged document and its source files.

    Attributes:
        document: The merged document.
        base_file: Path of the base file.
        overlay_file: Path of the overlay file, empty for none.
        overlay: The content of the overlay file.
    """

    document: Any
    base_file: str
    overlay_file: str = ""
    overlay: Any = None

    def find_file(self, path: documents.JsonPath) -> str:
        """Return the file that defines the value at `path`."""
        node = self.overlay
        if not self.overlay_file or not path:
            return self.base_file
        for part in path:
            if not isinstance(node, dict | list):
                return self.overlay_file
            if not _has_part(node, part):
                return self.base_file
            node = node[part]  # type: ignore[index]
        return self.overlay_file


def load(
    base_file: str, overlay_file: str, report: findings.Report
) -> Sources | None:
    """Read and merge the files; return None if one can't be read."""
    base = documents.read(base_file, report)
    overlay: Any = {}
    if overlay_file:
        overlay = documents.read(overlay_file, report)
    if report.has_findings():
        return None
    _check_removals(base, overlay, (), overlay_file, report)
    merged = _MERGE(copy.deepcopy(base), copy.deepcopy(overlay))
    return Sources(merged, base_file, overlay_file, overlay)


def _check_removals(
    base: Any,
    overlay: Any,
    path: documents.JsonPath,
    file: str,
    report: findings.Report,
) -> None:
    """Report nulls that remove nothing, such as those of misspelt names."""
    if not isinstance(overlay, dict):
        return
    members = base if isinstance(base, dict) else {}
    for name, value in overlay.items():
        inner = (*path, name)
        if value is None and name not in members:
            report.add(
                file,
                documents.render_path(inner),
                "null removes nothing: the base file has no such name",
            )
        _check_removals(members.get(name), value, inner, file, report)


def _has_part(node: Any, part: str | int) -> bool:
    if isinstance(node, dict):
        return part in node
    return isinstance(part, int) and part < len(node)
