"""Serves an ASGI application on a loopback port during a test."""

import asyncio
from collections.abc import AsyncIterator
import contextlib
import socket
from typing import Any

from hypercorn import asyncio as hypercorn_asyncio
from hypercorn import config as hypercorn_config

from bench import ports


@contextlib.asynccontextmanager
async def serve(app: Any) -> AsyncIterator[str]:
    """Serve `app` and yield its base URL."""
    listener = socket.socket()
    listener.bind(("127.0.0.1", 0))
    listener.listen()
    port = listener.getsockname()[1]
    config = hypercorn_config.Config()
    config.bind = [f"fd://{listener.detach()}"]
    config.graceful_timeout = 5.0
    config.errorlog = None
    stop = asyncio.Event()
    task = asyncio.create_task(
        hypercorn_asyncio.serve(
            app,
            config,
            shutdown_trigger=stop.wait,
        )
    )
    try:
        yield f"http://127.0.0.1:{port}"
    finally:
        stop.set()
        await task


def find_free_ports(count: int) -> list[int]:
    """Return ports that are free at the moment."""
    return [ports.pick_port() for _ in range(count)]
