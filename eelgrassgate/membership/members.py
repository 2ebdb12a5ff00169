"""This process's membership, and who else is there."""

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
from eelgrassgate.membership import promises
from eelgrassgate.membership import registry as registry_lib
from eelgrassgate.membership import roster as roster_lib
from eelgrassgate.membership import sweeping
from eelgrassgate.store import base as store_base

RIGHTS_TTL_S: Final = 900.0
STEP_S: Final = 5.0
JOINING_STEP_S: Final = 0.5
READS_PER_S: Final = 100.0
MEMBERS_PER_STEP: Final = 100
BEAT_S: Final = 1.0
LEAVE_TRIES: Final = 5

_LOG: Final[Any] = eliot.log_message


class Limiter(Protocol):
    """What membership needs of the limiter."""

    def set_share(
        self, share: lending.Share, epoch: int, joining: frozenset[str]
    ) -> None:
        """Set this process's right."""
        ...

    def get_settled_epoch(self, name: str) -> int:
        """Return the newest epoch that another member has settled."""
        ...

    def list_reachable(self) -> tuple[str, ...]:
        """Return the other entries that are heard."""
        ...

    def read_clock(self) -> float:
        """Return the present instant."""
        ...

    async def leave(self) -> None:
        """Give back all rights; return when none is in use."""
        ...


class Members:
    """Registers this process and tells the limiter its share."""

    def __init__(
        self,
        own: roster_lib.Member,
        limiter: Limiter,
        registry: registry_lib.Registry,
        listed_by_name: Mapping[str, instances_base.Instance],
        rights_ttl_s: float,
    ) -> None:
        """Create a membership; see `create_members`."""
        self._own = own
        self._limiter = limiter
        self._registry = registry
        self._listed_by_name = listed_by_name
        self._ttl_s = rights_ttl_s
        self._promises = promises.Promises(own.incarnation, rights_ttl_s)
        self._peers_by_name: dict[str, link_base.Peer] = {}
        self._seen: registry_lib.Seen | None = None
        self._store_confirmed = -math.inf
        self._usable_from = -math.inf
        self._sweeper = sweeping.Sweeper(
            own, registry, self._promises, limiter.read_clock, rights_ttl_s
        )
        self._ask_at = -math.inf
        self._met = anyio.Event()
        self._has_registered = False
        self._is_name_taken = False
        self._is_leaving = False
        self._random = random.Random(own.incarnation)

    async def run(self) -> None:
        """Keep the membership until cancelled."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._beat_always)
            while not self._is_leaving:
                await self.step()
                await self._wait_for_step()

    async def _wait_for_step(self) -> None:
        """Wait for the next step; a newcomer brings it forward."""
        step_s = self._compute_step() * self._random.uniform(0.75, 1.25)
        with anyio.move_on_after(step_s):
            await self._met.wait()
            # All members meet a newcomer at once; the store shall not.
            size = len(self.get_roster().members)
            spread_s = size / READS_PER_S
            await anyio.sleep(spread_s * self._random.random())
        self._met = anyio.Event()

    def is_active(self) -> bool:
        """Tell whether this incarnation is an active member."""
        member = self._find_self()
        return bool(member and member.is_active)

    def _compute_step(self) -> float:
        """Return the seconds to the next step; few while this one joins."""
        size = len(self.get_roster().members)
        step_s = STEP_S if self.is_active() else JOINING_STEP_S
        return step_s * max(1.0, size / MEMBERS_PER_STEP)

    async def leave(self) -> bool:
        """Give back all rights and leave the roster.

        Returns:
            Whether the store took it; if not, the right lapses.
        """
        self._is_leaving = True
        await self._limiter.leave()
        for _ in range(LEAVE_TRIES):
            seen = await self._registry.read()
            if seen and seen.roster.find(self._own.name) is None:
                await self._registry.withdraw()
                return True
            if seen:
                await self._registry.remove_self(seen, self._own.name)
            else:
                await anyio.sleep(BEAT_S)
        return False

    def get_live_by_name(self) -> dict[str, instances_base.Instance]:
        """Return the other entries that are heard and not leaving.

        The platform's list lags, so being heard counts for more; what the
        list calls leaving is left out.
        """
        live_by_name = {}
        for name in self._limiter.list_reachable():
            listed = self._listed_by_name.get(name)
            peer = self._peers_by_name.get(name)
            if listed is None and peer is not None:
                listed = _describe(peer.hello)
            if listed and listed.state is instances_base.State.LIVE:
                live_by_name[name] = listed
        return live_by_name

    def get_roster(self) -> roster_lib.Roster:
        """Return the newest roster read."""
        return self._seen.roster if self._seen else roster_lib.Roster()

    def get_confirmed_until(self) -> float:
        """Return until when no one can have removed this member."""
        # One that joins may have become active unseen, and then may remove.
        others = (
            member.name
            for member in self.get_roster().members
            if member.name != self._own.name
        )
        by_store = self._store_confirmed + timing.shorten_for_drift(self._ttl_s)
        return max(by_store, self._promises.compute_until(others))

    def connect(self, peer: link_base.Peer) -> None:
        """Take a connection to another entry."""
        if peer.hello.service == "entry" and peer.hello.lane == "control":
            self._peers_by_name[peer.hello.instance] = peer

    def disconnect(self, peer: link_base.Peer) -> None:
        """Take the loss of a connection."""
        if self._peers_by_name.get(peer.hello.instance) is peer:
            del self._peers_by_name[peer.hello.instance]

    def receive(
        self, peer: link_base.Peer, message: messages.AnyMessage
    ) -> None:
        """Take a message from another entry, on its newest connection."""
        name = peer.hello.instance
        if self._peers_by_name.get(name) is not peer:
            return
        match message:
            case messages.AskConfirmation():
                if self.get_roster().find(name) is None:
                    # It has registered since the roster was read.
                    self._met.set()
                if self._may_promise(name, message.nonce):
                    now = self._limiter.read_clock()
                    peer.send(self._promises.give(name, message, now))
            case messages.Confirmation():
                self._promises.take(name, message)
            case _:
                pass

    def beat(self) -> None:
        """Ask for promises when due and tell the limiter its share."""
        now = self._limiter.read_clock()
        if now >= self._ask_at:
            self._ask_at = now + self._ttl_s / sweeping.TIMES_PER_TTL
            question = self._promises.ask(now)
            for peer in self._peers_by_name.values():
                peer.send(question)
        self._set_share()

    async def step(self) -> None:
        """Confirm the registration, read the roster and act on it."""
        if self._registry.lease:
            await self._renew()
        if not self._registry.lease and not self._is_leaving:
            await self._register()
        seen = await self._registry.read()
        if seen is not None:
            self._take(seen)
        await self._activate()
        if self._seen is not None:
            after = await self._sweeper.sweep(self._seen)
            if after is not None:
                self._take(after)

    async def _beat_always(self) -> None:
        while True:
            self.beat()
            await anyio.sleep(BEAT_S)

    async def _register(self) -> None:
        before = self._limiter.read_clock()
        try:
            seen = await self._registry.register(self._own)
        except roster_lib.NameTakenError:
            if not self._is_name_taken:
                _LOG("membership:name_taken", name=self._own.name)
            self._is_name_taken = True
            return
        if seen is None:
            return
        if not self._has_registered:
            self._wait_for_earlier(seen.roster)
        self._has_registered = True
        self._ask_at = before
        self._store_confirmed = before
        self._take(seen)
        _LOG("membership:registered", epoch=seen.roster.epoch)

    def _wait_for_earlier(self, roster: roster_lib.Roster) -> None:
        """Let the loans of an earlier incarnation lapse, if there was one."""
        member = roster.find(self._own.name)
        if member and member.generation > member.since:
            loan_s = timing.compute_loan(2 * len(roster.members))
            now = self._limiter.read_clock()
            self._usable_from = now + timing.lengthen_for_drift(loan_s)

    async def _renew(self) -> None:
        before = self._limiter.read_clock()
        if await self._registry.renew():
            self._store_confirmed = before

    def _take(self, seen: registry_lib.Seen) -> None:
        """Act on a roster; an older one than known is ignored."""
        if self._seen and seen.revision < self._seen.revision:
            return
        self._seen = seen
        if self._find_self() is None:
            self._registry.lease = 0
        self._set_share()

    def _find_self(self) -> roster_lib.Member | None:
        """Return the own member if it is this incarnation's."""
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
        """Become active once all active members have settled the epoch."""
        member = self._find_self()
        if self._seen is None or member is None or member.is_active:
            return
        has_settled = all(
            self._limiter.get_settled_epoch(other.name) >= member.since
            for other in self._seen.roster.list_active()
        )
        if has_settled:
            seen = await self._registry.activate(self._seen, member.name)
            if seen is not None:
                self._take(seen)

    def _may_promise(self, name: str, incarnation: int) -> bool:
        """Tell whether this process may promise not to remove a member.

        It must be a member itself beyond doubt, for else it could have been
        removed, and with it the need for its promise.
        """
        if self._seen is None or self._find_self() is None:
            return False
        member = self._seen.roster.find(name)
        if member is None or member.incarnation != incarnation:
            return False
        if self._sweeper.is_removing(name, self._seen.revision):
            return False
        return self._limiter.read_clock() < self.get_confirmed_until()


def _describe(hello: messages.Hello) -> instances_base.Instance:
    return instances_base.Instance(
        hello.instance, hello.service, "", hello.zone, hello.region
    )


def create_members(
    hello: messages.Hello,
    address: str,
    limiter: Limiter,
    store: store_base.Store,
    listed_by_name: Mapping[str, instances_base.Instance],
    rights_ttl_s: float = RIGHTS_TTL_S,
) -> Members:
    """Create the membership of the entry that `hello` describes.

    Args:
        hello: Name, incarnation, zone and region.
        address: Its link address.
        limiter: Created with `lending.Share()`, so without rights so far.
        store: The store.
        listed_by_name: The platform's list of entries, kept up to date.
        rights_ttl_s: After how long a lapsed member's right is reissued; the
            same for all members.
    """
    own = roster_lib.Member(
        hello.instance, hello.incarnation, address, hello.zone, hello.region
    )
    registry = registry_lib.Registry(store)
    return Members(own, limiter, registry, listed_by_name, rights_ttl_s)
