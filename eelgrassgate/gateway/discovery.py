"""Follows the configuration and the endpoints in the store."""

from collections.abc import Callable
from typing import Final
from typing import Protocol

import anyio
import msgspec

from eelgrassgate import deadlines
from eelgrassgate import logs
from eelgrassgate.gateway import catalog
from eelgrassgate.gateway import config_sync
from eelgrassgate.peering import shared_watches
from eelgrassgate.store import base
from eelgrassgate.store import mirror

# Entries that expired while the store was unreachable are written again within
# about two seconds after it is reachable again; missing ones are removed then.
ENTRY_EXPIRY_GRACE_S: Final = 2.2
# Endpoints rewrite their entries every 1.2 s and each watch response is billed,
# so changes are batched. The delay must stay below the 3 s for which a draining
# endpoint may still get work, with the time in which processes that follow this
# one learn that it is silent.
ENDPOINTS_BATCH_DELAY_S: Final = 1.2
# Longest wait of the watch for a change. Each answer confirms the endpoints for
# this process and those that follow it.
ENDPOINTS_MAX_WAIT_S: Final = 1.25
RETIREMENTS_BATCH_DELAY_S: Final = 0.1
EXPIRY_CHECK_INTERVAL_S: Final = 0.2
# A starting process loads the configuration and the endpoints within 0.3 s;
# requests that arrive earlier wait briefly instead of being refused.
MAX_LOAD_WAIT_S: Final = 0.5


class Retirement(msgspec.Struct, frozen=True):
    """A request by the operators to drain an instance.

    Attributes:
        instance: The instance to drain.
        deadline: Monotonic time by which it must be drained.
    """

    instance: str
    deadline: float


class Documents(Protocol):
    """Store keys and decoders of the configuration and the endpoints.

    Attributes:
        retirements_prefix: Prefix of the operators' requests to drain
            instances.
        config_key: Key of the configuration.
        operators_prefix: Prefix of all keys that operators write.
        endpoints_prefix: Prefix of the endpoints' keys.
    """

    retirements_prefix: str
    config_key: str
    operators_prefix: str
    endpoints_prefix: str

    def decode_retirement(self, key: str, value: bytes) -> Retirement | None:
        """Decode a retirement; None if the key or value is not one."""
        ...

    def read_evacuated_zone(self, key: str) -> str | None:
        """Return the zone whose evacuation a key orders, if it does."""
        ...

    def check_evacuation(self, key: str, value: bytes) -> str:
        """Return what is wrong with an order to evacuate; empty if nothing."""
        ...

    def encode_retirement_status(
        self, instance: str, is_complete: bool
    ) -> tuple[str, bytes]:
        """Return the key and value that report a retirement's state."""
        ...

    def decode_config(self, value: bytes) -> catalog.Catalog | None:
        """Decode the configuration; None if it is invalid."""
        ...

    def decode_endpoint(
        self, key: str, value: bytes
    ) -> catalog.Endpoint | None:
        """Decode an endpoint; None if the entry holds no usable one."""
        ...


class Discovery:
    """Follows the configuration and the endpoints in the store.

    Attributes:
        config: The configuration and its source.
        endpoints_by_id: The registered endpoints.
    """

    def __init__(
        self,
        store: base.Store,
        documents: Documents,
        config: config_sync.ConfigSync,
        shared: shared_watches.SharedWatches | None,
    ) -> None:
        """Initialize without a configuration; see `create_discovery`."""
        self._documents = documents
        self.config = config
        self._retirements = mirror.create_mirror(
            store,
            documents.retirements_prefix,
            batch_delay_s=RETIREMENTS_BATCH_DELAY_S,
        )
        self._endpoints = mirror.create_mirror(
            store,
            documents.endpoints_prefix,
            batch_delay_s=ENDPOINTS_BATCH_DELAY_S,
            max_wait_s=ENDPOINTS_MAX_WAIT_S,
            sharing=shared,
        )
        if shared is not None:
            shared.add(self._endpoints)
        self.config.subscribe(lambda _: self._signal_if_loaded())
        self._retirements.subscribe(self._apply_retirements)
        self._endpoints.subscribe(self._apply_endpoints)
        self._expires_at_by_id: dict[str, float] = {}
        self._ignored_ids: set[str] = set()
        self._loaded = anyio.Event()
        self._endpoints_listeners: list[
            Callable[[dict[str, catalog.Endpoint]], None]
        ] = []
        self._retirement_listeners: list[Callable[[Retirement], None]] = []
        self._entry_listeners: list[Callable[[catalog.Endpoint], None]] = []
        self.endpoints_by_id: dict[str, catalog.Endpoint] = {}

    def subscribe_to_catalog(
        self, listener: Callable[[catalog.Catalog], None]
    ) -> None:
        """Call `listener` with each new configuration."""
        self.config.subscribe(listener)

    def subscribe_to_endpoints(
        self, listener: Callable[[dict[str, catalog.Endpoint]], None]
    ) -> None:
        """Call `listener` with all endpoints whenever any of them changes."""
        self._endpoints_listeners.append(listener)

    def subscribe_to_entries(
        self, listener: Callable[[catalog.Endpoint], None]
    ) -> None:
        """Call `listener` with each entry, also with one that is repeated."""
        self._entry_listeners.append(listener)

    def subscribe_to_retirements(
        self, listener: Callable[[Retirement], None]
    ) -> None:
        """Call `listener` with each retirement."""
        self._retirement_listeners.append(listener)

    def get_catalog(self) -> catalog.Catalog:
        """Return the current configuration."""
        return self.config.catalog

    def is_loaded(self) -> bool:
        """Return whether all that requests need has been loaded.

        That is the configuration, the endpoints and the evacuated zones.
        """
        return bool(
            self.config.catalog.version
            and self._endpoints.revision
            and self.config.evacuations.is_known()
        )

    async def wait_until_loaded(self) -> None:
        """Wait until loaded, at most `MAX_LOAD_WAIT_S`."""
        if self._loaded.is_set():
            return
        with anyio.move_on_after(MAX_LOAD_WAIT_S):
            await self._loaded.wait()

    def _signal_if_loaded(self) -> None:
        if self.is_loaded():
            self._loaded.set()

    async def run(self) -> None:
        """Follow the store until cancelled."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self.config.run)
            if self._retirement_listeners:
                tasks.start_soon(self._retirements.run)
            tasks.start_soon(self._endpoints.run)
            while True:
                await anyio.sleep(EXPIRY_CHECK_INTERVAL_S)
                self._remove_expired()

    def _apply_retirements(self, changes: tuple[base.Change, ...]) -> None:
        for change in changes:
            if not change.value:
                continue
            retirement = self._documents.decode_retirement(
                change.key, change.value
            )
            if retirement is not None:
                for listener in self._retirement_listeners:
                    listener(retirement)

    def _apply_endpoints(self, changes: tuple[base.Change, ...]) -> None:
        prefix = self._documents.endpoints_prefix
        is_changed = False
        for change in changes:
            name = change.key.removeprefix(prefix)
            known = self.endpoints_by_id.get(name)
            found = None
            if change.value is not None:
                found = self._documents.decode_endpoint(
                    change.key, change.value
                )
            self._record_ignored(
                name, is_ignored=found is None and change.value is not None
            )
            if found is not None:
                self._expires_at_by_id.pop(name, None)
                for listener in self._entry_listeners:
                    listener(found)
                # Counts down in each entry.
                found = msgspec.structs.replace(found, cold_remaining_s=0.0)
                if found != known:
                    self.endpoints_by_id[name] = found
                    is_changed = True
                    _log_endpoint(found)
            elif known is not None and name not in self._expires_at_by_id:
                self._expires_at_by_id[name] = self._compute_expiry()
        if is_changed:
            self._notify_endpoints()
        self._remove_expired()
        self._signal_if_loaded()

    def _record_ignored(self, name: str, *, is_ignored: bool) -> None:
        """Log an unusable entry once, as its writer may repeat it for ever."""
        if not is_ignored:
            self._ignored_ids.discard(name)
        elif name not in self._ignored_ids:
            self._ignored_ids.add(name)
            logs.log_message("endpoint:ignored", endpoint=name)

    def _compute_expiry(self) -> float:
        """Return when to remove an endpoint whose entry is missing.

        Entries of live endpoints may expire while the store is unreachable.
        """
        if not self._endpoints.is_connected:
            return deadlines.after(ENTRY_EXPIRY_GRACE_S)
        return self._endpoints.connected_since + ENTRY_EXPIRY_GRACE_S

    def _remove_expired(self) -> None:
        if not self._endpoints.is_connected:
            return
        expired = [
            name
            for name, expires_at in self._expires_at_by_id.items()
            if deadlines.is_past(expires_at)
        ]
        for name in expired:
            del self._expires_at_by_id[name]
            if self.endpoints_by_id.pop(name, None):
                logs.log_message("endpoint:removed", endpoint=name)
        if expired:
            self._notify_endpoints()

    def _notify_endpoints(self) -> None:
        for listener in self._endpoints_listeners:
            listener(self.endpoints_by_id)


def _log_endpoint(endpoint: catalog.Endpoint) -> None:
    logs.log_message(
        "endpoint:changed",
        endpoint=endpoint.id,
        service=endpoint.service,
        address=endpoint.address,
        zone=endpoint.zone,
        is_draining=endpoint.is_draining,
    )


def create_discovery(
    store: base.Store,
    documents: Documents,
    config: config_sync.ConfigSync | None = None,
    shared: shared_watches.SharedWatches | None = None,
) -> Discovery:
    """Create the discovery of configuration and endpoints.

    Args:
        store: The store.
        documents: Store keys and decoders.
        config: The configuration; by default it only follows the store.
        shared: The watches shared with peers; by default there are none.
    """
    if config is None:
        config = config_sync.create_config_sync(
            store,
            documents.config_key,
            documents.decode_config,
            orders=documents,
        )
    return Discovery(store, documents, config, shared)
