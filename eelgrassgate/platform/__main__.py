"""Starts one process on the users' platform: `gateway` or `batch`."""

import importlib
import signal
import sys
from typing import Any

import anyio
from returns import result

from eelgrassgate import logs
from eelgrassgate.gateway import node
from eelgrassgate.gateway import settings
from eelgrassgate.platform import batch_calls
from eelgrassgate.platform import boot
from eelgrassgate.platform import dialect
from eelgrassgate.platform import documents
from eelgrassgate.platform import kv

ROLES = ("gateway", "batch")
USAGE_CODE = 64
FINDINGS_CODE = 2


def create_outside(own: settings.Node) -> node.Outside:
    """Create the adapters of the platform."""
    return node.Outside(
        kv.create_kv_store(own.store_address),
        documents.PlatformDocuments(),
        dialect.PlatformDialect(),
        batch_calls.PlatformBatchDialect(),
    )


def _create(role: str, own: settings.Node) -> Any:
    """Import late, so that a role loads only what it uses."""
    outside = create_outside(own)
    if role == "gateway":
        module = importlib.import_module("eelgrassgate.gateway.daemon")
        return module.create_gateway(own, outside)
    module = importlib.import_module("eelgrassgate.batches.daemon")
    return module.create_batch(own, outside)


async def _run(role: str, own: settings.Node) -> None:
    stop = anyio.Event()
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(_watch_signals, stop)
        await _create(role, own).run(stop)
        tasks.cancel_scope.cancel()


async def _watch_signals(stop: anyio.Event) -> None:
    with anyio.open_signal_receiver(
        signal.SIGTERM, signal.SIGINT, signal.SIGHUP
    ) as received:
        async for number in received:
            if number == signal.SIGHUP:
                _reload()
            else:
                stop.set()


def _reload() -> None:
    """Read the settings again; addresses hold until the next start."""
    loaded = boot.load()
    findings = ()
    if isinstance(loaded, result.Failure):
        findings = tuple(loaded.failure().render())
    logs.log_message("settings:read", findings=findings)


def main(arguments: list[str]) -> int:
    """Run one process until SIGTERM; return the exit code."""
    if len(arguments) != 1 or arguments[0] not in ROLES:
        sys.stderr.write(f"usage: python -m eelgrassgate.platform {ROLES}\n")
        return USAGE_CODE
    loaded = boot.load()
    if isinstance(loaded, result.Failure):
        for line in loaded.failure().render():
            sys.stderr.write(f"{line}\n")
        return FINDINGS_CODE
    own = loaded.unwrap()
    logs.start_logging(arguments[0], own.instance)
    logs.log_message("started", zone=own.zone, region=own.region)
    anyio.run(_run, arguments[0], own, backend_options={"use_uvloop": True})
    logs.log_message("stopped")
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
