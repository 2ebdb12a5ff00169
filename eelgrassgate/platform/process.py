"""The program of a process on the users' platform."""

import functools
import gc
import importlib
import signal
import sys
import time
from typing import Any

import anyio
from returns import result

from eelgrassgate import allocator
from eelgrassgate import deadlines
from eelgrassgate import findings as findings_lib
from eelgrassgate import logs
from eelgrassgate import signal_handling
from eelgrassgate import signals
from eelgrassgate import standard_files
from eelgrassgate import supervision
from eelgrassgate.gateway import node
from eelgrassgate.gateway import settings
from eelgrassgate.platform import batch_calls
from eelgrassgate.platform import boot
from eelgrassgate.platform import dialect
from eelgrassgate.platform import documents
from eelgrassgate.platform import kv

# The platform writes the settings at each start and on each change.
SETTINGS_TIMEOUT_S = 2.0
SETTINGS_RETRY_DELAY_S = 0.05
ROLES = ("gateway", "batch")
USAGE_EXIT_CODE = 64
INVALID_SETTINGS_EXIT_CODE = 2
# As EX_UNAVAILABLE and EX_SOFTWARE of sysexits.h.
ADDRESS_UNAVAILABLE_EXIT_CODE = 69
FAILED_EXIT_CODE = 70


def create_adapters(node_settings: settings.Node) -> node.PlatformAdapters:
    """Create the adapters of the platform."""
    return node.PlatformAdapters(
        kv.create_kv_store(node_settings.store_address),
        documents.PlatformDocuments(),
        dialect.PlatformDialect(),
        batch_calls.PlatformBatchDialect(),
    )


def _create_daemon(role: str, node_settings: settings.Node) -> Any:
    """Create the daemon; imports are lazy, so a role loads only its modules."""
    adapters = create_adapters(node_settings)
    if role == "gateway":
        module = importlib.import_module("eelgrassgate.gateway.daemon")
        return module.create_gateway(node_settings, adapters)
    module = importlib.import_module("eelgrassgate.batches.daemon")
    return module.create_batch_daemon(node_settings, adapters)


async def _run(
    role: str, node_settings: settings.Node, received: signals.Receiver
) -> None:
    stop = anyio.Event()
    daemon = _create_daemon(role, node_settings)
    # Modules and components last as long as the process, so collections skip
    # them.
    gc.freeze()
    gc.enable()
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(
            signal_handling.handle_forever,
            received,
            functools.partial(_handle_signal, stop),
        )
        await daemon.run(stop)
        tasks.cancel_scope.cancel()


def _handle_signal(stop: anyio.Event, number: int) -> None:
    if number in signals.STOP_SIGNALS:
        stop.set()
    elif number == signal.SIGHUP:
        _check_settings()
    else:
        logs.log_message("signal:ignored", signal=signals.get_name(number))


def _check_settings() -> None:
    """Validate the settings file again; changes apply at the next start."""
    try:
        loaded = boot.load()
    except Exception:
        # The running process doesn't depend on the file any more.
        logs.log_exception("settings:check_failed")
        return
    findings = ()
    if isinstance(loaded, result.Failure):
        findings = tuple(loaded.failure().render())
    logs.log_message("settings:checked", findings=findings)


def _load_settings(
    received: signals.Receiver,
) -> result.Result[settings.Node, findings_lib.Report]:
    """Load the settings; try again for a while, as they may be half written."""
    give_up_at = deadlines.after(SETTINGS_TIMEOUT_S)
    while True:
        loaded = boot.load()
        if isinstance(loaded, result.Success) or received.must_stop:
            return loaded
        if deadlines.is_past(give_up_at):
            return loaded
        time.sleep(SETTINGS_RETRY_DELAY_S)


def main(arguments: list[str], received: signals.Receiver) -> int:
    """Run one process until SIGTERM; return the exit code."""
    standard_files.open_closed_files()
    if len(arguments) != 1 or arguments[0] not in ROLES:
        sys.stderr.write(f"usage: python -m eelgrassgate.platform {ROLES}\n")
        return USAGE_EXIT_CODE
    loaded = _load_settings(received)
    if isinstance(loaded, result.Failure):
        if received.must_stop:
            return 0
        for line in loaded.failure().render():
            sys.stderr.write(f"{line}\n")
        return INVALID_SETTINGS_EXIT_CODE
    node_settings = loaded.unwrap()
    logs.start_logging(arguments[0], node_settings.instance)
    logs.log_message(
        "started", zone=node_settings.zone, region=node_settings.region
    )
    allocator.limit_retention()
    try:
        if not received.must_stop:
            anyio.run(
                _run,
                arguments[0],
                node_settings,
                received,
                backend_options={"use_uvloop": True},
            )
    except Exception as error:
        return _report_end(error)
    logs.log_message("stopped")
    return 0


def _report_end(error: Exception) -> int:
    """Log why the process ends by itself; return its exit code."""
    fatal = supervision.find_fatal(error)
    if fatal is None:
        logs.log_exception("ended")
        return FAILED_EXIT_CODE
    logs.log_message("ended", reason=f"address unavailable: {fatal}")
    return ADDRESS_UNAVAILABLE_EXIT_CODE
