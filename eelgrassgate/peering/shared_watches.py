"""Keeps mirrors current from the mirrors of the region's watchers.

A few processes of each region watch the store. The others get the changes of
all their mirrors from one of them, in one long poll. A mirror that no watcher
confirms watches the store itself.
"""

from collections.abc import Callable
from collections.abc import Mapping
import functools
from typing import Final
from typing import Protocol
import zlib

import anyio
import msgspec

from eelgrassgate import deadlines
from eelgrassgate import decoding
from eelgrassgate import logs
from eelgrassgate.http1 import downstream
from eelgrassgate.http1 import upstream
from eelgrassgate.peering import registry
from eelgrassgate.peering import relay
from eelgrassgate.peering import reports
from eelgrassgate.peering import watchers
from eelgrassgate.store import base
from eelgrassgate.store import mirror as mirror_lib

# How long a watcher holds a poll without an update. Its own confirmations are
# updates, so this bounds only how long it takes to notice that a watcher is
# silent.
HOLD_S: Final = 1.0
# How much longer a response may take before the next watcher is asked.
POLL_GRACE_S: Final = 0.3
CONNECT_TIMEOUT_S: Final = 0.4
# How long a watcher is not asked after it failed or confirmed too little.
COOLDOWN_S: Final = 1.0
# Interval of the polls that tell whether a watcher confirms the records again.
PROBE_INTERVAL_S: Final = 0.5
ROLE_CHECK_INTERVAL_S: Final = 0.1
# 4,000 endpoints of 1 kB each.
MAX_RESPONSE_BYTES: Final = 4_194_304
MAX_CHANGES_BYTES: Final = 16_777_216
COMPRESSION_LEVEL: Final = 1
# Encoded changes that are kept for the other processes that ask for the same.
MAX_CACHED: Final = 16
MAX_PREFIXES: Final = 16
OK: Final = 200
BAD_REQUEST: Final = 400


class Peers(Protocol):
    """The other processes; implemented by `reports.Reports`."""

    def get_peers(self) -> Mapping[registry.Member, reports.Peer]:
        """Return the live processes that report, by their registration."""
        ...


class Position(msgspec.Struct, frozen=True, array_like=True):
    """How far a process has followed a mirror.

    Attributes:
        prefix: The mirror's prefix.
        incarnation: That of the watcher whose mirror it followed; 0 if none.
        version: Version of that mirror.
        changed_revision: Revision of the latest change that the process knows;
            it has no use for older records.
    """

    prefix: str
    incarnation: decoding.Count
    version: decoding.Count
    changed_revision: decoding.Count


class EncodedUpdate(msgspec.Struct, frozen=True, array_like=True):
    """An update of one mirror; durations are those at `waited_s`.

    Attributes:
        prefix: The mirror's prefix.
        version: Its version.
        packed: Its compressed changes since the position, as `_Change`.
        is_complete: Whether they are all records.
        revision: As in `mirror.Update`.
        changed_revision: As in `mirror.Update`.
        settled_revision: As in `mirror.Update`.
        is_connected: As in `mirror.Update`.
        connected_s: Seconds since the mirror was connected.
        age_s: Seconds since the store confirmed its records.
    """

    prefix: str
    version: decoding.Count
    packed: bytes
    is_complete: bool
    revision: decoding.Count
    changed_revision: decoding.Count
    settled_revision: decoding.Count
    is_connected: bool
    connected_s: decoding.Amount
    age_s: decoding.Amount


class Response(msgspec.Struct, frozen=True, array_like=True):
    """The response to a poll.

    Attributes:
        incarnation: That of the process that sends it.
        waited_s: Seconds since it received the poll.
        updates: The updates.
    """

    incarnation: decoding.Count
    waited_s: decoding.Amount
    updates: tuple[EncodedUpdate, ...]


class _Change(msgspec.Struct, frozen=True, array_like=True):
    key: str
    value: bytes | None
    revision: decoding.Count


class InvalidResponseError(Exception):
    """A response that is malformed or too large."""


_POSITIONS_DECODER: Final = msgspec.msgpack.Decoder(list[Position])
_RESPONSE_DECODER: Final = msgspec.msgpack.Decoder(Response)
_CHANGES_DECODER: Final = msgspec.msgpack.Decoder(list[_Change])
_ENCODER: Final = msgspec.msgpack.Encoder()


class SharedWatches:
    """The shared mirrors of this process; an implementation of `Sharing`."""

    def __init__(
        self, own: registry.Member, peers: Peers, has_store: Callable[[], bool]
    ) -> None:
        """Initialize without mirrors; see `create_shared_watches`."""
        self._own = own
        self._peers = peers
        self._has_store = has_store
        self._pool = upstream.create_pool(CONNECT_TIMEOUT_S)
        self._mirrors_by_prefix: dict[str, mirror_lib.Mirror] = {}
        self._following: dict[str, mirror_lib.Mirror] = {}
        # Mirrors that watch the store until a watcher confirms them again.
        self._unconfirmed: dict[str, mirror_lib.Mirror] = {}
        self._positions_by_prefix: dict[str, Position] = {}
        self._failed_until_by_watcher: dict[str, float] = {}
        self._has_followers = anyio.Event()
        self._updated = anyio.Event()
        self._packed_by_range: dict[tuple[str, int, int], bytes] = {}
        self._turn = watchers.Turn(True, False, 0.0)
        self._turn_until = 0.0

    def add(self, mirror: mirror_lib.Mirror) -> None:
        """Let peers follow a mirror; those of all processes must be alike."""
        self._mirrors_by_prefix[mirror.prefix] = mirror
        mirror.subscribe_to_updates(self._handle_update)

    def _handle_update(self) -> None:
        updated, self._updated = self._updated, anyio.Event()
        updated.set()

    def count_following(self) -> int:
        """Return how many mirrors follow a peer."""
        return len(self._following)

    def list_ages_s(self) -> dict[str, Callable[[], float]]:
        """Return for each mirror how to get its confirmation's age."""
        return {
            prefix: functools.partial(_compute_age_s, one)
            for prefix, one in self._mirrors_by_prefix.items()
        }

    def is_watcher(self, mirror: mirror_lib.Mirror) -> bool:
        """Return whether a mirror watches the store itself.

        Those of the region's watchers do, and one that nothing has confirmed
        for too long.
        """
        if not mirror.revision:
            return True
        turn = self._compute_turn()
        if turn.is_selected or not turn.has_watcher:
            return True
        if mirror.prefix in self._unconfirmed:
            return True
        limit_s = compute_max_age_s(mirror) + turn.takeover_delay_s
        return deadlines.is_past(mirror.confirmed_at + limit_s)

    def _compute_turn(self) -> watchers.Turn:
        """Return this process's turn, computed at most every 0.1 s."""
        if deadlines.is_past(self._turn_until):
            self._turn = watchers.compute_turn(
                self._own,
                self._peers.get_peers(),
                self._has_store(),
            )
            self._turn_until = deadlines.after(ROLE_CHECK_INTERVAL_S)
        return self._turn

    async def follow(self, mirror: mirror_lib.Mirror) -> None:
        """Pass updates of peers to a mirror until it is a watcher."""
        logs.log_message("mirror:following", prefix=mirror.prefix)
        self._positions_by_prefix.pop(mirror.prefix, None)
        self._following[mirror.prefix] = mirror
        self._has_followers.set()
        try:
            while not self.is_watcher(mirror):
                await anyio.sleep(ROLE_CHECK_INTERVAL_S)
        finally:
            del self._following[mirror.prefix]
        age_s = _compute_age_s(mirror)
        logs.log_message(
            "mirror:watching",
            prefix=mirror.prefix,
            confirmed_ms=deadlines.to_ms(age_s),
        )
        if age_s > compute_max_age_s(mirror):
            self._unconfirmed[mirror.prefix] = mirror
            # The store may have been away, and entries may have expired
            # meanwhile.
            mirror.mark_disconnected("no watcher confirms the records")

    async def run(self) -> None:
        """Poll watchers for the mirrors that follow, until cancelled."""
        while True:
            if self._compute_turn().is_selected:
                self._unconfirmed.clear()
            if not self._following and not self._unconfirmed:
                self._has_followers = anyio.Event()
            await self._has_followers.wait()
            source = self._choose_watcher()
            if source is None:
                await anyio.sleep(PROBE_INTERVAL_S)
                continue
            if not await self._poll(source):
                until = deadlines.after(COOLDOWN_S)
                self._failed_until_by_watcher[source.name] = until
            if not self._following:
                await anyio.sleep(PROBE_INTERVAL_S)
            elif self._is_cooling_down(self._choose_watcher()):
                await anyio.sleep(ROLE_CHECK_INTERVAL_S)

    def _choose_watcher(self) -> registry.Member | None:
        """Return the nearest watcher, preferably one that has not failed."""
        found = watchers.list_watchers(self._own, self._peers.get_peers())
        return min(found, key=self._get_cooldown, default=None)

    def _get_cooldown(self, watcher: registry.Member) -> float:
        """Return the end of a watcher's cool-down; 0 if there is none."""
        until = self._failed_until_by_watcher.get(watcher.name, 0.0)
        return 0.0 if deadlines.is_past(until) else until

    def _is_cooling_down(self, watcher: registry.Member | None) -> bool:
        return watcher is not None and self._get_cooldown(watcher) > 0.0

    async def _poll(self, source: registry.Member) -> bool:
        """Poll a watcher once; return whether it confirmed all mirrors."""
        followed = {**self._unconfirmed, **self._following}
        positions = [self._find_position(one) for one in followed.values()]
        body = _ENCODER.encode(positions)
        headers = (
            (b"host", source.relay_address.encode()),
            (b"content-length", b"%d" % len(body)),
        )
        request = upstream.Request(b"POST", relay.MIRRORS_PATH, headers, body)
        sent_at = deadlines.now()
        try:
            with anyio.fail_after(HOLD_S + POLL_GRACE_S):
                async with self._pool.use(source.relay_address) as connection:
                    await connection.start(request, lambda head: True)
                    data = await connection.read_body(MAX_RESPONSE_BYTES)
                    status = connection.head.status
            if status != OK:
                raise InvalidResponseError(f"status {status}")
            response = decoding.decode(_RESPONSE_DECODER, data)
            updates = {
                one.prefix: _read_update(one, sent_at + response.waited_s)
                for one in response.updates
            }
        except (
            upstream.ExchangeError,
            TimeoutError,
            msgspec.MsgspecError,
            InvalidResponseError,
        ) as error:
            reason = str(error) or type(error).__name__
            logs.log_message(
                "mirror:poll_failed", peer=source.name, reason=reason
            )
            return False
        for one in response.updates:
            if one.prefix in followed:
                self._apply(one, updates[one.prefix], response.incarnation)
        return self._check_confirmed(source)

    def _apply(
        self,
        encoded: EncodedUpdate,
        update: mirror_lib.Update,
        incarnation: int,
    ) -> None:
        """Apply the update of one mirror."""
        prefix = encoded.prefix
        mirror = self._following.get(prefix)
        if mirror is not None:
            if not mirror.apply_update(update):
                return
        elif prefix in self._unconfirmed:
            # The mirror watches the store, and once it follows again, it
            # starts from all records.
            max_age_s = compute_max_age_s(self._unconfirmed[prefix])
            if update.is_connected and not deadlines.is_past(
                update.confirmed_at + max_age_s
            ):
                del self._unconfirmed[prefix]
        self._positions_by_prefix[prefix] = Position(
            prefix, incarnation, encoded.version, 0
        )

    def _check_confirmed(self, source: registry.Member) -> bool:
        """Return whether all mirrors that follow are confirmed.

        Another watcher may have got more recent answers.
        """
        late = [
            prefix
            for prefix, one in self._following.items()
            if not one.is_connected
            or deadlines.is_past(one.confirmed_at + compute_max_age_s(one))
        ]
        if late:
            logs.log_message(
                "mirror:unconfirmed", peer=source.name, prefixes=late
            )
        return not late

    def _find_position(self, mirror: mirror_lib.Mirror) -> Position:
        known = self._positions_by_prefix.get(mirror.prefix)
        return Position(
            mirror.prefix,
            known.incarnation if known else 0,
            known.version if known else 0,
            mirror.changed_revision,
        )

    async def handle(
        self,
        incoming: downstream.IncomingRequest,
        responder: downstream.Responder,
    ) -> None:
        """Respond to the poll of a peer once there is an update for it."""
        received_at = deadlines.now()
        try:
            positions = decoding.decode(_POSITIONS_DECODER, incoming.body)
        except msgspec.MsgspecError:
            await responder.reply(BAD_REQUEST)
            return
        positions = positions[:MAX_PREFIXES]
        with anyio.move_on_after(HOLD_S):
            while not any(map(self._has_update, positions)):
                await self._updated.wait()
        now = deadlines.now()
        updates = tuple(
            self._build_update(one, now)
            for one in positions
            if self._is_useful(one)
        )
        response = Response(self._own.incarnation, now - received_at, updates)
        await responder.reply(OK, (), _ENCODER.encode(response))

    def _is_useful(self, position: Position) -> bool:
        """Return whether a mirror has something to tell at a position."""
        mirror = self._mirrors_by_prefix.get(position.prefix)
        if mirror is None or not mirror.revision:
            return False
        return (
            not mirror.is_connected
            or mirror.revision >= position.changed_revision
        )

    def _has_update(self, position: Position) -> bool:
        """Return whether a mirror has changed since a position."""
        if not self._is_useful(position):
            return False
        version = self._mirrors_by_prefix[position.prefix].version
        return not self._is_same(position) or position.version < version

    def _is_same(self, position: Position) -> bool:
        """Return whether a position is one in a mirror of this process."""
        return position.incarnation == self._own.incarnation

    def _build_update(self, position: Position, now: float) -> EncodedUpdate:
        mirror = self._mirrors_by_prefix[position.prefix]
        changes: tuple[base.Change, ...] | None = None
        if not mirror.is_connected:
            changes = ()
        elif self._is_same(position):
            changes = mirror.list_changes(position.version)
        is_complete = changes is None
        after = -1 if is_complete else position.version
        if changes is None:
            changes = mirror.list_all()
        return EncodedUpdate(
            mirror.prefix,
            mirror.version,
            self._pack((mirror.prefix, after, mirror.version), changes),
            is_complete,
            mirror.revision,
            mirror.changed_revision,
            mirror.settled_revision,
            mirror.is_connected,
            max(0.0, now - mirror.connected_since),
            max(0.0, now - mirror.confirmed_at),
        )

    def _pack(
        self, span: tuple[str, int, int], changes: tuple[base.Change, ...]
    ) -> bytes:
        """Encode changes; several processes ask for the same ones."""
        found = self._packed_by_range.get(span)
        if found is None:
            encoded = _ENCODER.encode(
                [_Change(one.key, one.value, one.revision) for one in changes]
            )
            found = zlib.compress(encoded, COMPRESSION_LEVEL)
            if len(self._packed_by_range) >= MAX_CACHED:
                self._packed_by_range.clear()
            self._packed_by_range[span] = found
        return found

    async def sweep(self) -> None:
        """Close idle connections that expired."""
        await self._pool.sweep()


def _compute_age_s(mirror: mirror_lib.Mirror) -> float:
    return deadlines.now() - mirror.confirmed_at


def compute_max_age_s(mirror: mirror_lib.Mirror) -> float:
    """Return the age of a confirmation beyond which it doesn't count."""
    return (mirror.max_wait_s or 0.0) + mirror_lib.WATCH_MARGIN_S


def _read_update(encoded: EncodedUpdate, sent_at: float) -> mirror_lib.Update:
    """Convert the update of a peer.

    Args:
        encoded: The update.
        sent_at: Instant at which the peer sent it, or earlier.

    Raises:
        InvalidResponseError: It is malformed or too large.
        msgspec.MsgspecError: It is malformed.
    """
    decompressor = zlib.decompressobj()
    try:
        unpacked = decompressor.decompress(encoded.packed, MAX_CHANGES_BYTES)
    except zlib.error as error:
        raise InvalidResponseError(str(error)) from error
    if not decompressor.eof:
        raise InvalidResponseError("changes are truncated or too large")
    changes = tuple(
        base.Change(one.key, one.value, one.revision)
        for one in decoding.decode(_CHANGES_DECODER, unpacked)
    )
    if not all(one.key.startswith(encoded.prefix) for one in changes):
        raise InvalidResponseError("a key of another prefix")
    now = deadlines.now()
    return mirror_lib.Update(
        changes,
        encoded.is_complete,
        encoded.revision,
        encoded.changed_revision,
        encoded.settled_revision,
        encoded.is_connected,
        now - encoded.connected_s,
        min(now, sent_at) - encoded.age_s,
    )


def create_shared_watches(
    own: registry.Member, peers: Peers, has_store: Callable[[], bool]
) -> SharedWatches:
    """Create the shared watches of a process.

    Args:
        own: This process.
        peers: The other processes.
        has_store: Returns whether this process reaches the store directly.
    """
    return SharedWatches(own, peers, has_store)
