"""Follows a service on the instance list through failures."""

from collections.abc import AsyncIterator
from typing import Final

import anyio

from eelgrassgate.instances import base

RELIST_DELAY_S: Final = 1.0


async def watch_forever(
    listed: base.InstanceList, service: str
) -> AsyncIterator[tuple[base.Instance, ...]]:
    """Yield the whole list of `service` at each change, for ever.

    What was yielded last stays in force while the list cannot be read.
    """
    while True:
        async for found in listed.watch(service):
            instances = found.value_or(None)
            if instances is not None:
                yield instances
        await anyio.sleep(RELIST_DELAY_S)
