"""Polls the endpoint's load and prefix cache events."""

from typing import Final

import anyio

from eelgrassgate.agent import window as window_lib
from eelgrassgate.engine import base

POLL_INTERVAL_S: Final = 1.0
MAX_DIGESTS: Final = 2000


class EndpointPoller:
    """Polls one endpoint and buffers cache changes for the next report."""

    def __init__(
        self, endpoint: base.Endpoint, window: window_lib.Window
    ) -> None:
        """Create a poller that has read nothing yet."""
        self._endpoint = endpoint
        self._window = window
        self._next_event = 0
        self._stored: list[str] = []
        self._evicted: list[str] = []

    def take_stored(self) -> tuple[str, ...]:
        """Return and clear the digests of newly cached blocks."""
        taken = tuple(self._stored)
        self._stored.clear()
        return taken

    def take_evicted(self) -> tuple[str, ...]:
        """Return and clear the digests of evicted blocks."""
        taken = tuple(self._evicted)
        self._evicted.clear()
        return taken

    async def run(self) -> None:
        """Poll until cancelled."""
        while True:
            load = await self._endpoint.read_load()
            if load:
                self._window.observe_load_report(load.running, load.waiting)
            events = await self._endpoint.read_cache_events(self._next_event)
            if events:
                self._apply_events(events)
            await anyio.sleep(POLL_INTERVAL_S)

    def _apply_events(self, events: base.CacheEvents) -> None:
        count = len(events.stored) + len(events.evicted)
        self._next_event = max(self._next_event, events.first + count)
        self._stored.extend(events.stored)
        self._evicted.extend(events.evicted)
        del self._stored[:-MAX_DIGESTS]
        del self._evicted[:-MAX_DIGESTS]
