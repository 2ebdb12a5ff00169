"""Reads the settings file that the platform writes for each process."""

import os
import pathlib
import tomllib
from typing import Annotated
from typing import Any
from typing import Final

import msgspec
from returns import result

from eelgrassgate import findings
from eelgrassgate import memory_budget
from eelgrassgate.gateway import settings

BOOT_FILE_VARIABLE: Final = "EELGRASSGATE_BOOT"
# Must match the port in the deploy file.
METRICS_PORT: Final = 9_090


class _Listen(msgspec.Struct, frozen=True):
    """Addresses to listen on; `front` is for callers."""

    front: str = ""
    ready: str = ""


class _Bounds(msgspec.Struct, frozen=True, rename="kebab"):
    grace_s: float


class _Limits(msgspec.Struct, frozen=True, rename="kebab"):
    """Limits of the process; `memory_mb` is in megabytes."""

    memory_mb: Annotated[float, msgspec.Meta(gt=0)] = (
        settings.DEFAULT_MEMORY_BYTES / memory_budget.BYTES_PER_MB
    )
    file_descriptors: Annotated[int, msgspec.Meta(gt=0)] = (
        settings.DEFAULT_FILE_DESCRIPTORS
    )


class _Platform(msgspec.Struct, frozen=True):
    """The key-value service."""

    address: str


class _Boot(msgspec.Struct, frozen=True, rename="kebab"):
    """The fields in use; all others are ignored.

    `internal_ports` are the first and last port reserved for internal use; load
    reports use the first one, and relays the one after it.
    """

    node_name: str
    zone: str
    region: str
    ip: str
    internal_ports: tuple[int, int]
    platform: _Platform
    bounds: _Bounds
    zones: dict[str, str]
    listen: _Listen = _Listen()
    limits: _Limits = _Limits()


def load(
    path: str | None = None,
) -> result.Result[settings.Node, findings.Report]:
    """Read and check the settings file.

    Args:
        path: Path of the file; by default it is taken from the environment.
    """
    report = findings.Report()
    path = path or os.environ.get(BOOT_FILE_VARIABLE, "")
    document: Any = None
    if not path:
        report.add(BOOT_FILE_VARIABLE, "environment", "is not set")
        return result.Failure(report)
    try:
        document = tomllib.loads(pathlib.Path(path).read_text("utf-8"))
    except OSError as error:
        report.add(path, "file", error.strerror or str(error))
    except (UnicodeDecodeError, tomllib.TOMLDecodeError) as error:
        report.add(path, "file", str(error))
    if report.has_findings():
        return result.Failure(report)
    _check_fields(path, document, report)
    if report.has_findings():
        return result.Failure(report)
    return result.Success(_to_node(msgspec.convert(document, _Boot)))


def _check_fields(
    path: str, document: dict[str, Any], report: findings.Report
) -> None:
    """Check each field separately, so that all findings are reported."""
    for field in msgspec.structs.fields(_Boot):
        name = field.encode_name
        if name not in document:
            if field.required:
                report.add(path, f"$.{name}", "is missing")
            continue
        try:
            msgspec.convert(document[name], field.type)
        except msgspec.ValidationError as error:
            message = str(error)
            location = f"$.{name}"
            if " - at `$" in message:
                message, _, inner = message.partition(" - at `$")
                location += inner.rstrip("`")
            report.add(path, location, message)


def _to_node(boot: _Boot) -> settings.Node:
    return settings.Node(
        boot.node_name,
        boot.zone,
        boot.region,
        boot.zones,
        boot.platform.address,
        f"{boot.ip}:{boot.internal_ports[0]}",
        f"{boot.ip}:{boot.internal_ports[0] + 1}",
        f"{boot.ip}:{METRICS_PORT}",
        boot.bounds.grace_s,
        boot.listen.front,
        boot.listen.ready,
        int(boot.limits.memory_mb * memory_budget.BYTES_PER_MB),
        boot.limits.file_descriptors,
    )
