"""Serves a simulated server's application on loopback."""

from collections.abc import Callable
import socket
from typing import Any
from typing import Final

import anyio
from anyio import abc
from hypercorn import asyncio as hypercorn_asyncio
from hypercorn import config as hypercorn_config

HOST: Final = "127.0.0.1"


async def serve(
    app: Callable[..., Any],
    port: int = 0,
    *,
    task_status: abc.TaskStatus[int] = anyio.TASK_STATUS_IGNORED,
) -> None:
    """Serve `app` until cancelled.

    Args:
        app: An ASGI application.
        port: The port, 0 for any.
        task_status: Receives the port once connections are accepted.
    """
    listener = socket.socket()
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listener.bind((HOST, port))
    listener.listen(1024)
    bound = int(listener.getsockname()[1])
    config = hypercorn_config.Config()
    config.bind = [f"fd://{listener.detach()}"]
    config.graceful_timeout = 0.2
    config.keep_alive_timeout = 30.0
    config.accesslog = None
    config.errorlog = None
    stop = anyio.Event()
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(_serve_until_stopped, app, config, stop)
        task_status.started(bound)
        try:
            await anyio.sleep_forever()
        finally:
            stop.set()


async def _serve_until_stopped(
    app: Callable[..., Any],
    config: hypercorn_config.Config,
    stop: anyio.Event,
) -> None:
    with anyio.CancelScope(shield=True):
        await hypercorn_asyncio.serve(app, config, shutdown_trigger=stop.wait)
