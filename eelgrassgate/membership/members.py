"""This process's registration as a member, and its view of the others."""

from collections.abc import Mapping
import math
import random
from typing import Any
from typing import Final
from typing import Protocol

import anyio
import eliot

from eelgrassgate import messages
from eelgrassgate.instances import base as instances_base
from eelgrassgate.limits import lending
from eelgrassgate.limits import timing
from eelgrassgate.link import base as link_base
from eelgrassgate.membership import confirmations
from eelgrassgate.membership import registry as registry_lib
from eelgrassgate.membership import roster as roster_lib
from eelgrassgate.membership import sweeper
from eelgrassgate.store import base as store_base

SHARE_TTL_S: Final = 900.0
SYNC_INTERVAL_S: Final = 5.0
JOINING_SYNC_INTERVAL_S: Final = 0.5
MAX_READS_PER_S: Final = 100.0
MEMBERS_PER_SYNC_INTERVAL: Final = 100
REFRESH_INTERVAL_S: Final = 1.0
MAX_LEAVE_ATTEMPTS: Final = 5

_LOG: Final[Any] = eliot.log_message


class Limiter(Protocol):
    """The methods of the limiter that membership uses."""

    def set_share(
        self, share: lending.Share, epoch: int, joining: frozenset[str]
    ) -> None:
        """Set this process's share."""
        ...

    def get_settled_epoch(self, name: str) -> int:
        """Return the newest epoch that another member reported as settled."""
        ...

    def list_reachable(self) -> tuple[str, ...]:
        """Return the other entries that have sent a message recently."""
        ...

    def read_clock(self) -> float:
        """Return the current time."""
        ...

    async def leave(self) -> None:
        """Return all loans; finish when this process's share is not in use."""
        ...


class Membership:
    """Registers this process and sets the limiter's share."""

    def __init__(
        self,
        own: roster_lib.Member,
        limiter: Limiter,
        registry: registry_lib.Registry,
        listed_by_name: Mapping[str, instances_base.Instance],
        share_ttl_s: float,
    ) -> None:
        """Create a membership; see `create_membership`."""
        self._own = own
        self._limiter = limiter
        self._registry = registry
        self._listed_by_name = listed_by_name
        self._ttl_s = share_ttl_s
        self._confirmations = confirmations.Confirmations(
            own.incarnation, share_ttl_s
        )
        self._peers_by_name: dict[str, link_base.Peer] = {}
        self._snapshot: registry_lib.RosterSnapshot | None = None
        self._store_confirmed_at = -math.inf
        self._usable_from = -math.inf
        self._sweeper = sweeper.Sweeper(
            own, registry, self._confirmations, limiter.read_clock, share_ttl_s
        )
        self._next_request_at = -math.inf
        self._newcomer_event = anyio.Event()
        self._has_registered = False
        self._is_name_taken = False
        self._is_leaving = False
        self._random = random.Random(own.incarnation)

    async def run(self) -> None:
        """Maintain the membership until cancelled."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._refresh_forever)
            while not self._is_leaving:
                await self.sync()
                await self._wait_for_sync()

    async def _wait_for_sync(self) -> None:
        """Wait until the next synchronization; a newcomer ends the wait."""
        interval_s = self._compute_sync_interval() * self._random.uniform(
            0.75, 1.25
        )
        with anyio.move_on_after(interval_s):
            await self._newcomer_event.wait()
            # All members see a newcomer at the same time. A random delay
            # spreads their reads of the store.
            size = len(self.get_roster().members)
            spread_s = size / MAX_READS_PER_S
            await anyio.sleep(spread_s * self._random.random())
        self._newcomer_event = anyio.Event()

    def is_active(self) -> bool:
        """Return whether this incarnation is an active member."""
        member = self._find_self()
        return bool(member and member.is_active)

    def _compute_sync_interval(self) -> float:
        """Return the seconds between reads; fewer while this member joins."""
        size = len(self.get_roster().members)
        interval_s = (
            SYNC_INTERVAL_S if self.is_active() else JOINING_SYNC_INTERVAL_S
        )
        return interval_s * max(1.0, size / MEMBERS_PER_SYNC_INTERVAL)

    async def leave(self) -> bool:
        """Return all loans and remove this process from the roster.

        Returns:
            Whether the store confirmed the removal; otherwise the share
            expires.
        """
        self._is_leaving = True
        await self._limiter.leave()
        for _ in range(MAX_LEAVE_ATTEMPTS):
            snapshot = await self._registry.read()
            if snapshot and snapshot.roster.find(self._own.name) is None:
                await self._registry.unregister()
                return True
            if snapshot:
                await self._registry.remove_own(snapshot, self._own.name)
            else:
                await anyio.sleep(REFRESH_INTERVAL_S)
        return False

    def get_live_by_name(self) -> dict[str, instances_base.Instance]:
        """Return the other entries that are reachable and not leaving.

        The platform's instance list lags, so a reachable entry that it lacks
        is included. An entry that it lists as leaving is not.
        """
        live_by_name = {}
        for name in self._limiter.list_reachable():
            listed = self._listed_by_name.get(name)
            peer = self._peers_by_name.get(name)
            if listed is None and peer is not None:
                listed = _to_instance(peer.hello)
            if listed and listed.state is instances_base.State.LIVE:
                live_by_name[name] = listed
        return live_by_name

    def get_roster(self) -> roster_lib.Roster:
        """Return the newest known roster."""
        return self._snapshot.roster if self._snapshot else roster_lib.Roster()

    def get_confirmed_until(self) -> float:
        """Return the instant until which nobody can remove this member."""
        # Joining members count as well: they may have become active since the
        # roster was read, and an active member can remove others.
        others = (
            member.name
            for member in self.get_roster().members
            if member.name != self._own.name
        )
        by_store = self._store_confirmed_at + timing.shorten_for_drift(
            self._ttl_s
        )
        return max(by_store, self._confirmations.compute_expiry(others))

    def connect(self, peer: link_base.Peer) -> None:
        """Register a connection to another entry."""
        if peer.hello.service == "entry" and peer.hello.lane == "control":
            self._peers_by_name[peer.hello.instance] = peer

    def disconnect(self, peer: link_base.Peer) -> None:
        """Handle the loss of a connection."""
        if self._peers_by_name.get(peer.hello.instance) is peer:
            del self._peers_by_name[peer.hello.instance]

    def receive(
        self, peer: link_base.Peer, message: messages.AnyMessage
    ) -> None:
        """Handle a message from another entry, on its newest connection."""
        name = peer.hello.instance
        if self._peers_by_name.get(name) is not peer:
            return
        match message:
            case messages.AskConfirmation():
                if self.get_roster().find(name) is None:
                    # The peer registered after the roster was read.
                    self._newcomer_event.set()
                if self._can_confirm(name, message.nonce):
                    now = self._limiter.read_clock()
                    peer.send(self._confirmations.confirm(name, message, now))
            case messages.Confirmation():
                self._confirmations.record(name, message)
            case _:
                pass

    def refresh(self) -> None:
        """Request confirmations when due and set the limiter's share."""
        now = self._limiter.read_clock()
        if now >= self._next_request_at:
            self._next_request_at = now + self._ttl_s / sweeper.CHECKS_PER_TTL
            request = self._confirmations.create_request(now)
            for peer in self._peers_by_name.values():
                peer.send(request)
        self._set_share()

    async def sync(self) -> None:
        """Renew the registration, read the roster and act on it."""
        if self._registry.lease:
            await self._renew()
        if not self._registry.lease and not self._is_leaving:
            await self._register()
        snapshot = await self._registry.read()
        if snapshot is not None:
            self._apply(snapshot)
        await self._activate()
        if self._snapshot is not None:
            after = await self._sweeper.sweep(self._snapshot)
            if after is not None:
                self._apply(after)

    async def _refresh_forever(self) -> None:
        while True:
            self.refresh()
            await anyio.sleep(REFRESH_INTERVAL_S)

    async def _register(self) -> None:
        before = self._limiter.read_clock()
        try:
            snapshot = await self._registry.register(self._own)
        except roster_lib.NameTakenError:
            if not self._is_name_taken:
                _LOG("membership:name_taken", name=self._own.name)
            self._is_name_taken = True
            return
        if snapshot is None:
            return
        if not self._has_registered:
            self._delay_share_for_previous_loans(snapshot.roster)
        self._has_registered = True
        self._next_request_at = before
        self._store_confirmed_at = before
        self._apply(snapshot)
        _LOG("membership:registered", epoch=snapshot.roster.epoch)

    def _delay_share_for_previous_loans(
        self, roster: roster_lib.Roster
    ) -> None:
        """Delay the share until loans of an earlier incarnation expire."""
        member = roster.find(self._own.name)
        if member and member.generation > member.since:
            loan_s = timing.compute_loan(2 * len(roster.members))
            now = self._limiter.read_clock()
            self._usable_from = now + timing.lengthen_for_drift(loan_s)

    async def _renew(self) -> None:
        before = self._limiter.read_clock()
        if await self._registry.renew():
            self._store_confirmed_at = before

    def _apply(self, snapshot: registry_lib.RosterSnapshot) -> None:
        """Apply a roster; ignore one that is older than the known one."""
        if self._snapshot and snapshot.revision < self._snapshot.revision:
            return
        self._snapshot = snapshot
        if self._find_self() is None:
            self._registry.lease = 0
        self._set_share()

    def _find_self(self) -> roster_lib.Member | None:
        """Return this process's member, if it belongs to this incarnation."""
        member = self.get_roster().find(self._own.name)
        is_own = member and member.incarnation == self._own.incarnation
        return member if is_own else None

    def _set_share(self) -> None:
        if self._is_leaving:
            return
        roster = self.get_roster()
        member = self._find_self()
        share = lending.Share()
        if member and member.is_active:
            share = lending.Share(
                len(roster.members),
                self._usable_from,
                self.get_confirmed_until(),
            )
        self._limiter.set_share(share, roster.epoch, roster.list_joining())

    async def _activate(self) -> None:
        """Activate this member once all active ones have settled its epoch."""
        member = self._find_self()
        if self._snapshot is None or member is None or member.is_active:
            return
        has_settled = all(
            self._limiter.get_settled_epoch(other.name) >= member.since
            for other in self._snapshot.roster.list_active()
        )
        if has_settled:
            snapshot = await self._registry.activate(
                self._snapshot, member.name
            )
            if snapshot is not None:
                self._apply(snapshot)

    def _can_confirm(self, name: str, incarnation: int) -> bool:
        """Return whether this process may confirm another member.

        This process must certainly still be a member itself. The other member
        does not need the confirmation of a process that has been removed.
        """
        if self._snapshot is None or self._find_self() is None:
            return False
        member = self._snapshot.roster.find(name)
        if member is None or member.incarnation != incarnation:
            return False
        if self._sweeper.is_removing(name, self._snapshot.revision):
            return False
        return self._limiter.read_clock() < self.get_confirmed_until()


def _to_instance(hello: messages.Hello) -> instances_base.Instance:
    return instances_base.Instance(
        hello.instance, hello.service, "", hello.zone, hello.region
    )


def create_membership(
    hello: messages.Hello,
    address: str,
    limiter: Limiter,
    store: store_base.Store,
    listed_by_name: Mapping[str, instances_base.Instance],
    share_ttl_s: float = SHARE_TTL_S,
) -> Membership:
    """Create the membership of the entry that `hello` describes.

    Args:
        hello: The entry's name, incarnation, zone and region.
        address: The entry's link address.
        limiter: The limiter, created with `lending.Share()`, that is without
            a share.
        store: The store.
        listed_by_name: The platform's list of entries, kept up to date.
        share_ttl_s: The time after which an expired member's share goes to
            the others; the same for all members.
    """
    own = roster_lib.Member(
        hello.instance, hello.incarnation, address, hello.zone, hello.region
    )
    registry = registry_lib.Registry(store)
    return Membership(own, limiter, registry, listed_by_name, share_ttl_s)
