"""The base file with a site's overlay laid over it.

Overlays merge as JSON Merge Patch (RFC 7396): members are merged by name, an
array or scalar replaces what stands in the base, and null removes a member.
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
    """A merged document and the files that it comes from.

    Attributes:
        document: What the files say together.
        base_file: documents.Path of the base file.
        overlay_file: documents.Path of the overlay, empty for none.
        overlay: The overlay's own content.
    """

    document: Any
    base_file: str
    overlay_file: str = ""
    overlay: Any = None

    def find_file(self, path: documents.JsonPath) -> str:
        """Return the file that says what stands at `path`."""
        node = self.overlay
        if not self.overlay_file or not path:
            return self.base_file
        for part in path:
            if not isinstance(node, dict | list):
                return self.overlay_file
            if not _has(node, part):
                return self.base_file
            node = node[part]  # type: ignore[index]
        return self.overlay_file


def load(
    base_file: str, overlay_file: str, report: findings.Report
) -> Sources | None:
    """Read and merge the files; None if one of them can't be read."""
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
    """Find nulls of an overlay that remove nothing, as after a typing slip."""
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


def _has(node: Any, part: str | int) -> bool:
    if isinstance(node, dict):
        return part in node
    return isinstance(part, int) and part < len(node)
