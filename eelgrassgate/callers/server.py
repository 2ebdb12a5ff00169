"""The HTTP server of the public API."""

from collections.abc import Callable
import socket
from typing import Any
from typing import Final

import anyio
import anyio.abc
from hypercorn import asyncio as hypercorn_asyncio
from hypercorn import config as hypercorn_config

from eelgrassgate import binding

BACKLOG: Final = 1024
MAX_HEADER_BYTES: Final = 65_536
KEEP_ALIVE_TIMEOUT_S: Final = 75.0


async def serve(
    app: Any,
    listen: str,
    stop: anyio.Event,
    get_drain_s: Callable[[], float],
    give_up_at: float = 0.0,
    *,
    task_status: anyio.abc.TaskStatus[str] = anyio.TASK_STATUS_IGNORED,
) -> None:
    """Serve `app` at `listen` (`host:port`) until `stop`, then drain.

    Args:
        app: The ASGI application.
        listen: The address.
        stop: Set to end serving.
        get_drain_s: Returns how long requests in flight may take to finish.
        give_up_at: Monotonic time until which a taken address is tried again.
        task_status: Receives the bound address.

    Raises:
        binding.AddressUnavailableError: The address is taken.
    """

    async def bind() -> socket.socket:
        return _bind(listen)

    bound = await binding.open_socket(bind, listen, give_up_at)
    host, port = bound.getsockname()[:2]
    task_status.started(f"{host}:{port}")
    config = _configure(bound)
    shutdown = anyio.Event()
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(_serve_until, app, config, shutdown)
        try:
            await stop.wait()
        finally:
            config.graceful_timeout = get_drain_s()
            shutdown.set()


async def _serve_until(
    app: Any, config: hypercorn_config.Config, shutdown: anyio.Event
) -> None:
    # Hypercorn does not handle cancellation; it stops by `shutdown_trigger`.
    with anyio.CancelScope(shield=True):
        await hypercorn_asyncio.serve(
            app, config, shutdown_trigger=shutdown.wait, mode="asgi"
        )


def _bind(listen: str) -> socket.socket:
    host, _, port = listen.rpartition(":")
    bound = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    bound.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    try:
        bound.bind((host, int(port)))
        bound.listen(BACKLOG)
    except OSError:
        bound.close()
        raise
    bound.setblocking(False)
    return bound


def _configure(bound: socket.socket) -> hypercorn_config.Config:
    config = hypercorn_config.Config()
    config.bind = [f"fd://{bound.detach()}"]
    config.backlog = BACKLOG
    config.keep_alive_timeout = KEEP_ALIVE_TIMEOUT_S
    config.h11_max_incomplete_size = MAX_HEADER_BYTES
    config.include_server_header = False
    config.accesslog = None
    config.errorlog = None
    return config
