"""Watches the instance list and resumes after failures."""

from collections.abc import AsyncIterator
from typing import Final

import anyio

from eelgrassgate.instances import base

RELIST_DELAY_S: Final = 1.0


async def watch_forever(
    instance_list: base.InstanceList, service: str
) -> AsyncIterator[tuple[base.Instance, ...]]:
    """Yield the whole list of `service` at each change, without end.

    While the list can't be read, nothing is yielded and the latest list stays
    in force.
    """
    while True:
        async for found in instance_list.watch(service):
            instances = found.value_or(None)
            if instances is not None:
                yield instances
        await anyio.sleep(RELIST_DELAY_S)
