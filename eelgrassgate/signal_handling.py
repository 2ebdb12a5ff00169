"""Handles the signals of a process in its event loop."""

import asyncio
from collections.abc import Callable
import functools
from typing import NoReturn

import anyio

from eelgrassgate import signals


async def handle_forever(
    received: signals.Receiver, handle: Callable[[int], None]
) -> NoReturn:
    """Handle signals until cancelled, also those that came before."""
    loop = asyncio.get_running_loop()
    try:
        while True:
            arrived = anyio.Event()
            received.set_notify(
                functools.partial(loop.call_soon_threadsafe, arrived.set)
            )
            for number in received.take():
                handle(number)
            await arrived.wait()
    finally:
        received.set_notify()
