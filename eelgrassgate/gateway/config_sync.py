"""Keeps the configuration current, from the store or from other processes.

A few processes of each region watch the store. The others learn from load
reports that there is a newer version and fetch it, compressed, from the nearest
process that has it, so that few copies cross the link between regions.

The watchers follow all keys of the operators, and so learn of evacuated zones
from the same watch.
"""

from collections.abc import Callable
from collections.abc import Mapping
import contextlib
import functools
import random
from typing import Any
from typing import Final
from typing import Protocol
import zlib

import anyio
import msgspec
from returns import result

from eelgrassgate import deadlines
from eelgrassgate import hedging
from eelgrassgate import logs
from eelgrassgate.gateway import catalog as catalog_lib
from eelgrassgate.gateway import evacuations as evacuations_lib
from eelgrassgate.http1 import downstream
from eelgrassgate.http1 import upstream
from eelgrassgate.peering import registry
from eelgrassgate.peering import relay
from eelgrassgate.peering import reports
from eelgrassgate.peering import watchers
from eelgrassgate.store import base
from eelgrassgate.store import pages

# Longest wait of a watch for a change. Each answer confirms the configuration.
MAX_WATCH_WAIT_S: Final = 1.25
# A process whose configuration has not been confirmed for this long watches the
# store itself. Covers one watch and the interval of two reports.
MAX_CONFIRMATION_AGE_S: Final = 2.0
# Allowance for the time that a report travels, 30 ms between regions.
REPORT_TRANSIT_S: Final = 0.1
# A watch starts at a confirmed revision only while the store surely keeps the
# changes since then.
MAX_START_AGE_S: Final = 10.0
ROLE_CHECK_INTERVAL_S: Final = 0.2
MIN_BACKOFF_S: Final = 0.1
MAX_BACKOFF_S: Final = 0.8
# How long the watchers of this region may take to get a version before it is
# fetched from another region.
FAR_FETCH_DELAY_S: Final = 0.5
# After this delay without a response the next process is tried as well.
HEDGING_DELAY_S: Final = 0.3
FETCH_TIMEOUT_S: Final = 1.5
FAR_CHECK_INTERVAL_S: Final = 0.05
MAX_SOURCES: Final = 4
CONNECT_TIMEOUT_S: Final = 0.4
MAX_CONFIG_BYTES: Final = 4_194_304
COMPRESSION_LEVEL: Final = 1
OK: Final = 200
NOT_FOUND: Final = 404

Decode = Callable[[bytes], catalog_lib.Catalog | None]
Listener = Callable[[catalog_lib.Catalog], None]


class Peers(Protocol):
    """The other processes; implemented by `reports.Reports`."""

    def get_peers(self) -> Mapping[registry.Member, reports.Peer]:
        """Return the live processes that report, by their registration."""
        ...


class Orders(Protocol):
    """Keys that operators write; implemented by `discovery.Documents`.

    Attributes:
        operators_prefix: Prefix of all of them, also of the configuration.
    """

    operators_prefix: str

    def read_evacuated_zone(self, key: str) -> str | None:
        """Return the zone whose evacuation a key orders, if it does."""
        ...

    def check_evacuation(self, key: str, value: bytes) -> str:
        """Return what is wrong with an order to evacuate; empty if nothing."""
        ...


class _NoPeers:
    """An implementation of `Peers` without any."""

    def get_peers(self) -> Mapping[registry.Member, reports.Peer]:
        return {}


class Confirmation(msgspec.Struct, frozen=True):
    """The latest knowledge that a configuration was the newest.

    Attributes:
        at: Monotonic time at which the store had no newer version.
        revision: The store's revision at or before that time.
    """

    at: float = float("-inf")
    revision: int = 0


class ConfigSync(reports.ReportListener):
    """The configuration of this process.

    Attributes:
        catalog: The configuration; `catalog.EMPTY` before the first.
        evacuations: The evacuated zones; known whenever there is a
            configuration.
    """

    def __init__(
        self,
        store: base.Store,
        key: str,
        decode: Decode,
        own: registry.Member | None,
        peers: Peers,
        has_store: Callable[[], bool],
        orders: Orders | None,
        evacuations: evacuations_lib.Evacuations,
    ) -> None:
        """Initialize without a configuration; see `create_config_sync`."""
        self._store = store
        self._key = key
        self._decode = decode
        self._own = own
        self._peers = peers
        self._has_store = has_store
        self._orders = orders
        self._prefix = key if orders is None else orders.operators_prefix
        self.evacuations = evacuations
        # As this process's own watch tells; peers may know of a later state.
        self._watched_zones: set[str] = set()
        self._faulty_values_by_key: dict[str, bytes] = {}
        self._listeners: list[Listener] = []
        self._pool = upstream.create_pool(CONNECT_TIMEOUT_S)
        self._compressed = b""
        self._confirmation = Confirmation()
        self._must_load = True
        self._newer_reported = anyio.Event()
        self.catalog = catalog_lib.EMPTY

    def subscribe(self, listener: Listener) -> None:
        """Call `listener` with each new configuration."""
        self._listeners.append(listener)

    def get_status(self) -> reports.ConfigStatus:
        """Return what this process reports about its configuration."""
        version = self.catalog.version
        if not self._confirmation.revision:
            return reports.ConfigStatus(version)
        age_s = deadlines.now() - self._confirmation.at
        return reports.ConfigStatus(
            version, self._confirmation.revision, round(age_s, 2)
        )

    def get_confirmation(self) -> Confirmation:
        """Return the latest confirmation, by the store or by a peer."""
        found = self._confirmation
        for peer in self._peers.get_peers().values():
            status = peer.report.config
            if not status.revision or status.version != self.catalog.version:
                continue
            received_at = peer.alive_until - reports.PEER_TIMEOUT_S
            at = received_at - status.age_s - REPORT_TRANSIT_S
            if at > found.at:
                found = Confirmation(at, status.revision)
        return found

    def get_age_s(self) -> float:
        """Return the seconds since the configuration was last confirmed."""
        return deadlines.now() - self.get_confirmation().at

    def is_watcher(self) -> bool:
        """Return whether this process watches the store.

        The watchers are the first of the region's processes that reach the
        store, by a hash of their names. The others follow one by one while no
        confirmation arrives.
        """
        if not self.catalog.version or self._own is None:
            return True
        turn = watchers.compute_turn(
            self._own, self._peers.get_peers(), self._has_store()
        )
        if turn.is_selected:
            return True
        return self.get_age_s() > MAX_CONFIRMATION_AGE_S + turn.takeover_delay_s

    async def run(self) -> None:
        """Keep the configuration current until cancelled."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._watch_forever)
            tasks.start_soon(self._follow_forever)

    async def _watch_forever(self) -> None:
        backoff_s = MIN_BACKOFF_S
        while True:
            if not self.is_watcher():
                await anyio.sleep(ROLE_CHECK_INTERVAL_S)
                continue
            if await self._watch():
                backoff_s = MIN_BACKOFF_S
            await anyio.sleep(backoff_s)
            backoff_s = min(MAX_BACKOFF_S, 2.0 * backoff_s)

    async def _watch(self) -> bool:
        """Watch while this process is a watcher; return False on failure."""
        revision = await self._find_start()
        if revision is None:
            return False
        logs.log_message(
            "config:watching", version=self.catalog.version, revision=revision
        )
        watch: Any = self._store.watch(
            self._prefix, revision + 1, max_wait_s=MAX_WATCH_WAIT_S
        )
        async with contextlib.aclosing(watch):
            while self.is_watcher():
                started_at = deadlines.now()
                answer = await anext(watch, None)
                if answer is None:
                    return False
                if isinstance(answer, result.Failure):
                    logs.log_message(
                        "config:watch_failed", reason=answer.failure().message
                    )
                    return False
                changes = answer.unwrap()
                if isinstance(changes, base.Compacted):
                    logs.log_message("config:compacted", revision=revision)
                    self._must_load = True
                    return True
                if changes.changes:
                    self._apply_changes(changes.changes, changes.revision)
                # The store may omit changes for up to a second before it drops
                # its history, so an empty answer's revision counts only after
                # the next one.
                self._confirm(started_at, changes, revision)
                self._update_evacuations(self._confirmation.revision)
                revision = changes.revision
        return True

    def _confirm(
        self, started_at: float, changes: base.Changes, previous: int
    ) -> None:
        """Record the confirmation by one answer of a watch.

        Args:
            started_at: When the watch began to wait for the answer.
            changes: The answer.
            previous: Revision of the answer before.
        """
        now = deadlines.now()
        if changes.changes:
            # The store answers as soon as there is a change.
            self._confirmation = Confirmation(now, changes.revision)
            return
        # Without changes it answers after the whole wait, and the answer may
        # have been delayed since.
        at = min(now, started_at + MAX_WATCH_WAIT_S)
        self._confirmation = Confirmation(at, previous)

    async def _find_start(self) -> int | None:
        """Return the revision after which to watch; None on failure.

        Reads the operators' keys unless a recent confirmation tells the
        revision.
        """
        confirmation = self.get_confirmation()
        if (
            not self._must_load
            and not deadlines.is_past(confirmation.at + MAX_START_AGE_S)
            and self.evacuations.revision >= confirmation.revision
        ):
            self._watched_zones = set(self.evacuations.zones)
            return confirmation.revision
        started_at = deadlines.now()
        answer = await pages.read_all(self._store, self._prefix)
        if isinstance(answer, result.Failure):
            logs.log_message(
                "config:read_failed",
                version=self.catalog.version,
                reason=answer.failure().message,
            )
            return None
        page = answer.unwrap()
        self._watched_zones.clear()
        self._apply_changes(
            tuple(
                base.Change(one.key, one.value, one.revision)
                for one in page.records
            ),
            page.revision,
        )
        self._must_load = False
        self._confirmation = Confirmation(started_at, page.revision)
        return page.revision

    def _apply_changes(
        self, changes: tuple[base.Change, ...], revision: int
    ) -> None:
        """Apply changes of the operators' keys, the configuration last.

        Evacuations have to be known whenever there is a configuration.
        """
        for change in changes:
            self._apply_order(change)
        self._update_evacuations(revision)
        for change in changes:
            if change.key == self._key and change.value:
                self._apply(change.value, "store")

    def _apply_order(self, change: base.Change) -> None:
        """Apply a change of an order to evacuate a zone."""
        if self._orders is None:
            return
        zone = self._orders.read_evacuated_zone(change.key)
        if change.value is None:
            self._faulty_values_by_key.pop(change.key, None)
            if zone is not None:
                self._watched_zones.discard(zone)
            return
        if zone is not None:
            self._watched_zones.add(zone)
        reason = self._orders.check_evacuation(change.key, change.value)
        if not reason:
            self._faulty_values_by_key.pop(change.key, None)
        elif self._faulty_values_by_key.get(change.key) != change.value:
            self._faulty_values_by_key[change.key] = change.value
            logs.log_message(
                "evacuation:invalid",
                key=change.key,
                reason=reason,
                is_evacuated=zone is not None,
            )

    def _update_evacuations(self, revision: int) -> None:
        self.evacuations.update(
            self._watched_zones, revision, evacuations_lib.STORE
        )

    def _apply(self, value: bytes, source: str) -> None:
        """Apply a configuration unless it is invalid or not newer.

        Without knowledge of evacuations, requests must not be sent anywhere.
        """
        decoded = self._decode(value)
        if decoded is None or decoded.version <= self.catalog.version:
            return
        if not self.evacuations.is_known():
            logs.log_message("config:held_back", version=decoded.version)
            return
        age_s = self.get_age_s()
        previous, self.catalog = self.catalog.version, decoded
        self._compressed = zlib.compress(value, COMPRESSION_LEVEL)
        logs.log_message(
            "config:applied",
            version=decoded.version,
            previous=previous,
            source=source,
            confirmed_ms=deadlines.to_ms(age_s),
        )
        for listener in self._listeners:
            try:
                listener(decoded)
            except Exception:
                # The others need the configuration too.
                logs.log_exception(
                    "config:listener_failed", version=decoded.version
                )

    def handle_report(self, report: reports.Report) -> None:
        """Start fetching if a peer has a newer version."""
        if report.config.version > self.catalog.version:
            self._newer_reported.set()

    async def _follow_forever(self) -> None:
        while True:
            await self._newer_reported.wait()
            self._newer_reported = anyio.Event()
            far_at = deadlines.after(FAR_FETCH_DELAY_S)
            backoff_s = MIN_BACKOFF_S
            while sources := self._list_sources():
                if not deadlines.is_past(far_at):
                    sources = [one for one in sources if self._is_near(one)]
                if not sources:
                    await anyio.sleep(FAR_CHECK_INTERVAL_S)
                elif not await self._fetch_first(sources):
                    await anyio.sleep(backoff_s)
                    backoff_s = min(MAX_BACKOFF_S, 2.0 * backoff_s)

    def _list_sources(self) -> list[registry.Member]:
        """Return the peers that have a newer version, nearest first."""
        own = self._own
        if own is None:
            return []
        found = [
            member
            for member, peer in self._peers.get_peers().items()
            if peer.report.config.version > self.catalog.version
        ]
        found.sort(
            key=lambda one: (
                one.region != own.region,
                one.zone != own.zone,
                random.random(),
            )
        )
        return found

    def _is_near(self, source: registry.Member) -> bool:
        """Return whether to fetch from a peer without delay.

        A watcher expects new versions from the store.
        """
        assert self._own is not None
        return source.region == self._own.region and not self.is_watcher()

    async def _fetch_first(self, sources: list[registry.Member]) -> bool:
        """Fetch from the first source that responds; return whether one did."""
        calls = [
            functools.partial(self._fetch, source)
            for source in sources[:MAX_SOURCES]
        ]
        return await hedging.run_hedged(calls, HEDGING_DELAY_S)

    async def _fetch(self, source: registry.Member) -> bool:
        """Fetch from a peer; return whether a newer version was applied."""
        before = self.catalog.version
        headers = ((b"host", source.relay_address.encode()),)
        request = upstream.Request(b"GET", relay.CONFIG_PATH, headers, b"")
        try:
            with anyio.fail_after(FETCH_TIMEOUT_S):
                async with self._pool.use(source.relay_address) as connection:
                    await connection.start(request, lambda head: True)
                    body = await connection.read_body(MAX_CONFIG_BYTES)
                    status = connection.head.status
            if status != OK:
                raise upstream.ExchangeError(f"status {status}", True)
            value = _decompress(body)
        except (upstream.ExchangeError, TimeoutError, zlib.error) as error:
            logs.log_message(
                "config:fetch_failed", peer=source.name, reason=str(error)
            )
            return False
        self._apply(value, source.name)
        return self.catalog.version > before

    async def handle(
        self,
        incoming: downstream.IncomingRequest,
        responder: downstream.Responder,
    ) -> None:
        """Respond with the compressed configuration, for a peer."""
        if not self._compressed:
            await responder.reply(NOT_FOUND)
            return
        await responder.reply(OK, (), self._compressed)

    async def sweep(self) -> None:
        """Close idle connections that expired."""
        await self._pool.sweep()


def _decompress(data: bytes) -> bytes:
    """Decompress a configuration.

    Raises:
        zlib.error: The data is malformed or too large.
    """
    decompressor = zlib.decompressobj()
    value = decompressor.decompress(data, MAX_CONFIG_BYTES)
    if not decompressor.eof:
        raise zlib.error("configuration is truncated or too large")
    return value


def create_config_sync(
    store: base.Store,
    key: str,
    decode: Decode,
    own: registry.Member | None = None,
    peers: Peers | None = None,
    has_store: Callable[[], bool] = lambda: True,
    orders: Orders | None = None,
    evacuations: evacuations_lib.Evacuations | None = None,
) -> ConfigSync:
    """Create the configuration of this process.

    Args:
        store: The store.
        key: Key of the configuration.
        decode: Decodes its value; returns None for an invalid one.
        own: This process; None for one without peers.
        peers: The other processes.
        has_store: Returns whether this process reaches the store directly.
        orders: Keys of the operators' orders; None to follow only `key`.
        evacuations: The evacuated zones, which peers may know as well.
    """
    return ConfigSync(
        store,
        key,
        decode,
        own,
        peers or _NoPeers(),
        has_store,
        orders,
        evacuations or evacuations_lib.create_evacuations(),
    )
