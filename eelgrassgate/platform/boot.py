"""Reads the settings file that the platform writes for each process."""

import os
import pathlib
import tomllib
from typing import Annotated
from typing import Any
from typing import Final

import msgspec
from returns import result

from eelgrassgate import addresses
from eelgrassgate import decoding
from eelgrassgate import findings
from eelgrassgate import memory_budget
from eelgrassgate.gateway import settings

BOOT_FILE_VARIABLE: Final = "EELGRASSGATE_BOOT"
# Must match the port in the deploy file.
METRICS_PORT: Final = 9_090
# The grace period of all deployments on the platform's pages.
DEFAULT_GRACE_S: Final = 8.0
MAX_GRACE_S: Final = 86_400.0
MAX_MEMORY_MB: Final = 1e9

_Port = Annotated[
    int, msgspec.Meta(ge=addresses.MIN_PORT, le=addresses.MAX_PORT)
]


class _Listen(msgspec.Struct, frozen=True):
    """Addresses to listen on; `front` is for callers."""

    front: str = ""
    ready: str = ""


class _Bounds(msgspec.Struct, frozen=True, rename="kebab"):
    grace_s: Annotated[float, msgspec.Meta(ge=0, le=MAX_GRACE_S)] = (
        DEFAULT_GRACE_S
    )
    cold_over: decoding.Amount = settings.DEFAULT_COLD_OVER
    cold_slack: decoding.Amount = settings.DEFAULT_COLD_SLACK


class _Limits(msgspec.Struct, frozen=True, rename="kebab"):
    """Limits of the process; `memory_mb` is in megabytes."""

    memory_mb: Annotated[float, msgspec.Meta(gt=0, le=MAX_MEMORY_MB)] = (
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
    internal_ports: tuple[_Port, _Port]
    platform: _Platform
    zones: dict[str, str]
    bounds: _Bounds = _Bounds()
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
    except RecursionError:
        report.add(path, "file", "is nested too deeply")
    except ValueError as error:
        # Not only invalid TOML, but also a number with too many digits.
        report.add(path, "file", str(error))
    if report.has_findings():
        return result.Failure(report)
    _check_fields(path, document, report)
    if report.has_findings():
        return result.Failure(report)
    boot = msgspec.convert(document, _Boot)
    _check_addresses(path, boot, report)
    if report.has_findings():
        return result.Failure(report)
    return result.Success(_to_node(boot))


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


def _check_addresses(path: str, boot: _Boot, report: findings.Report) -> None:
    """Check the addresses to listen on and to connect to."""
    if not addresses.is_ipv4(f"{boot.ip}:{METRICS_PORT}"):
        report.add(path, "$.ip", "is no IPv4 address")
    first, last = boot.internal_ports
    if last <= first:
        report.add(path, "$.internal-ports", "need to be two ports or more")
    if not addresses.is_valid(boot.platform.address):
        report.add(path, "$.platform.address", "is no address")
    for name, address in (
        ("front", boot.listen.front),
        ("ready", boot.listen.ready),
    ):
        if address and not addresses.is_valid(address):
            report.add(path, f"$.listen.{name}", "is no address")


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
        boot.bounds.cold_over,
        boot.bounds.cold_slack,
    )
