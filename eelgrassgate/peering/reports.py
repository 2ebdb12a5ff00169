"""What each process has in hand, told to the others by datagrams.

Each report is whole, so a lost one is made good by the next.
"""

from collections.abc import Callable
from typing import Final

import anyio
from anyio import abc
import msgspec
import xxhash

from eelgrassgate import deadlines
from eelgrassgate import logs
from eelgrassgate.peering import failures as failures_lib
from eelgrassgate.peering import loads
from eelgrassgate.peering import registry

# A change is told at most this often. Bytes between zones and regions are paid
# for, and work seldom goes there.
SAME_ZONE_EVERY_S: Final = 0.08
SAME_REGION_EVERY_S: Final = 0.15
OTHER_REGION_EVERY_S: Final = 0.3
# Without a change, often enough that one lost datagram is not a lost peer.
IDLE_EVERY_S: Final = 0.3
# A peer that is silent for three idle reports is not heard.
HEARD_S: Final = 0.9
# What a peer spends is known closely for so long after its report; the next
# one is due sooner even from another region.
RECENT_S: Final = 0.5
# What was admitted is told in each report for so long, as some are lost.
SPENT_TOLD_S: Final = 1.0
TICK_S: Final = 0.03
# Processes that pass a report on to one that misses it.
PASSED_BY: Final = 2
# Least time between two reports, however urgent.
LEAST_GAP_S: Final = 0.005


class Report(msgspec.Struct, frozen=True, array_like=True):
    """What one process has in hand.

    Attributes:
        name: The process's instance.
        incarnation: New at each start.
        number: Goes up with each report.
        uptime_s: Seconds since it started.
        online_by_endpoint: Online requests in hand.
        batch_by_endpoint: Batch items in hand.
        spent_by_workspace: Requests admitted since it started, of workspaces
            with some lately; for gateways only.
        has_store: Whether it reaches the store by itself.
        unheard: Processes that it knows and does not hear; who hears them
            passes their reports on.
        failures_by_endpoint: Failures and runs, both faded, of endpoints
            that somebody suspects.
        is_leaving: Whether it ends, so that others take its place.
    """

    name: str
    incarnation: int
    number: int
    uptime_s: float
    online_by_endpoint: dict[str, int]
    batch_by_endpoint: dict[str, int]
    spent_by_workspace: dict[str, float]
    has_store: bool = True
    unheard: tuple[str, ...] = ()
    failures_by_endpoint: dict[str, tuple[float, float]] = {}
    is_leaving: bool = False


class Peer(msgspec.Struct):
    """What was last heard of one process."""

    report: Report
    data: bytes
    heard_until: float


class _Sent(msgspec.Struct, frozen=True):
    """When a report was sent, and of which state."""

    at: float
    version: int


_DECODER: Final = msgspec.msgpack.Decoder(Report)
_ENCODER: Final = msgspec.msgpack.Encoder()


class Reports:
    """Sends this process's report and keeps those of the others.

    Attributes:
        is_leaving: Whether this process tells the others that it ends.
    """

    def __init__(
        self,
        member: registry.Member,
        directory: registry.Directory,
        table: loads.Loads,
        failures: failures_lib.Failures,
        read_has_store: Callable[[], bool],
    ) -> None:
        """Create without peers; see `create_reports`."""
        self.is_leaving = False
        self._read_has_store = read_has_store
        self._member = member
        self._directory = directory
        self._loads = table
        self._failures = failures
        self._started = deadlines.now()
        self._number = 0
        self._peers_by_name: dict[str, Peer] = {}
        self._direct_until_by_name: dict[str, float] = {}
        self._heard: list[HeardListener] = []
        self._spent_by_workspace: dict[str, float] = {}
        self._spent_at_by_workspace: dict[str, float] = {}

    def subscribe(self, listener: "HeardListener") -> None:
        """Call `listener.take` with each newer report."""
        self._heard.append(listener)

    def is_recent(self, name: str) -> bool:
        """Tell whether what a process has spent is known closely enough."""
        peer = self._peers_by_name.get(name)
        if peer is None:
            return False
        return not deadlines.is_past(peer.heard_until - HEARD_S + RECENT_S)

    def is_heard(self, name: str) -> bool:
        """Tell whether a process was heard lately."""
        peer = self._peers_by_name.get(name)
        return peer is not None and not deadlines.is_past(peer.heard_until)

    def is_heard_directly(self, name: str) -> bool:
        """Tell whether a process's own datagrams arrive here."""
        until = self._direct_until_by_name.get(name)
        return until is not None and not deadlines.is_past(until)

    def _is_staying(self, name: str) -> bool:
        """Tell whether a process is heard and does not end."""
        peer = self._peers_by_name.get(name)
        if peer is None or peer.report.is_leaving:
            return False
        return self.is_heard(name)

    async def run(self) -> None:
        """Send and receive until cancelled."""
        host, _, port = self._member.address.rpartition(":")
        socket = await anyio.create_udp_socket(
            local_host=host, local_port=int(port)
        )
        async with socket, anyio.create_task_group() as tasks:
            tasks.start_soon(self._receive, socket)
            await self._send_forever(socket)

    async def _receive(self, socket: abc.UDPSocket) -> None:
        while True:
            try:
                data, (host, port) = await socket.receive()
            except OSError as error:
                # An unreachable peer shows up as an error on the socket.
                logs.log_message("reports:receive", reason=str(error))
                continue
            try:
                report = _DECODER.decode(data)
            except msgspec.MsgspecError as error:
                logs.log_message("reports:unreadable", reason=str(error))
                continue
            member = self._directory.members_by_name.get(report.name)
            if member and member.address == f"{host}:{port}":
                self._direct_until_by_name[report.name] = deadlines.after(
                    HEARD_S
                )
            self.take(report, data)

    def take(self, report: Report, data: bytes) -> None:
        """Take a report of another process, and its bytes to pass on."""
        if report.name == self._member.name:
            return
        known = self._peers_by_name.get(report.name)
        earlier = None if known is None else known.report
        is_same = earlier and earlier.incarnation == report.incarnation
        if earlier and is_same and report.number <= earlier.number:
            return
        self._peers_by_name[report.name] = Peer(
            report, data, deadlines.after(HEARD_S)
        )
        self._loads.set_peer(
            report.name, report.online_by_endpoint, report.batch_by_endpoint
        )
        self._failures.set_peer(report.name, report.failures_by_endpoint)
        for listener in self._heard:
            listener.take(report)

    def get_relays(self) -> tuple[str, ...]:
        """Return where store calls may be sent, nearest first."""
        members = self._directory.members_by_name
        found = [
            members[name]
            for name, peer in self._peers_by_name.items()
            if peer.report.has_store
            and name in members
            and self.is_heard_directly(name)
        ]
        zone = self._member.zone
        found.sort(key=lambda one: (one.zone != zone, one.name))
        return tuple(one.relay_address for one in found)

    def forget_silent(self) -> None:
        """Count nothing as in hand at processes that are not heard."""
        for name in list(self._peers_by_name):
            if not self.is_heard(name):
                del self._peers_by_name[name]
                self._loads.set_peer(name, {}, {})
                self._failures.set_peer(name, {})
                logs.log_message("peer:silent", peer=name)

    async def _send_forever(self, socket: abc.UDPSocket) -> None:
        """Tell each process what is new, the near ones sooner."""
        last_by_every: dict[float, _Sent] = {}
        while True:
            if self._loads.pressed.is_set():
                self._loads.pressed = anyio.Event()
                await self._send_pressed(socket)
            await self._send_due(socket, last_by_every)
            self.forget_silent()
            self._directory.drop_lapsed(self._is_staying)
            await anyio.sleep(LEAST_GAP_S)
            with anyio.move_on_after(TICK_S - LEAST_GAP_S):
                await self._loads.pressed.wait()

    async def _send_pressed(self, socket: abc.UDPSocket) -> None:
        """Tell the batch processes of the region that items must give way."""
        data = self._encode({})
        for member in list(self._directory.members_by_name.values()):
            is_near = member.region == self._member.region
            if member.role is registry.Role.BATCH and is_near:
                await self._send(socket, member, data)

    async def _send_due(
        self, socket: abc.UDPSocket, last_by_every: dict[float, _Sent]
    ) -> None:
        now = deadlines.now()
        version = self._loads.version
        due: set[float] = set()
        for every_s in (
            SAME_ZONE_EVERY_S,
            SAME_REGION_EVERY_S,
            OTHER_REGION_EVERY_S,
        ):
            last = last_by_every.get(every_s)
            wait_s = every_s
            if last is not None and last.version == version:
                wait_s = IDLE_EVERY_S
            if last is None or now >= last.at + wait_s:
                due.add(every_s)
                last_by_every[every_s] = _Sent(now, version)
        if not due:
            return
        with_spent = self._encode(self._list_spent(now))
        without = self._encode({})
        for member in list(self._directory.members_by_name.values()):
            if member.name == self._member.name:
                continue
            if self._get_every(member) not in due:
                continue
            is_gateway = member.role is registry.Role.GATEWAY
            await self._send(
                socket, member, with_spent if is_gateway else without
            )
            for passed in self._list_unheard_by(member.name):
                await self._send(socket, member, passed)

    def _get_every(self, member: registry.Member) -> float:
        """Return how often changes are told to a process."""
        if member.zone == self._member.zone:
            return SAME_ZONE_EVERY_S
        if member.region == self._member.region:
            return SAME_REGION_EVERY_S
        return OTHER_REGION_EVERY_S

    def spend(self, workspace: str) -> None:
        """Count a request that was admitted."""
        spent = self._spent_by_workspace.get(workspace, 0.0)
        self._spent_by_workspace[workspace] = spent + 1.0
        self._spent_at_by_workspace[workspace] = deadlines.now()

    def _list_spent(self, now: float) -> dict[str, float]:
        """Return what was spent by workspaces that spent lately."""
        return {
            name: self._spent_by_workspace[name]
            for name, at in self._spent_at_by_workspace.items()
            if now < at + SPENT_TOLD_S
        }

    async def _send(
        self, socket: abc.UDPSocket, member: registry.Member, data: bytes
    ) -> None:
        host, _, port = member.address.rpartition(":")
        try:
            await socket.sendto(data, host, int(port))
        except OSError as error:
            logs.log_message(
                "reports:send", peer=member.name, reason=str(error)
            )

    def _list_unheard_by(self, name: str) -> list[bytes]:
        """Return the reports that a process does not get by itself."""
        peer = self._peers_by_name.get(name)
        if peer is None or not peer.report.unheard:
            return []
        return [
            self._peers_by_name[other].data
            for other in peer.report.unheard
            if self.is_heard_directly(other) and self._passes(other, name)
        ]

    def _passes(self, source: str, target: str) -> bool:
        """Tell whether this process passes a report on.

        All that hear both would; a few do, or a lossy link between regions
        would be filled by what makes good its losses.
        """
        names = [
            one for one in self._peers_by_name if self.is_heard_directly(one)
        ]
        names.append(self._member.name)
        names.sort(key=lambda name: _weigh(name, source, target))
        return self._member.name in names[:PASSED_BY]

    def _encode(self, spent_by_workspace: dict[str, float]) -> bytes:
        """Return this process's report as bytes."""
        self._number += 1
        online, batch = self._loads.get_own()
        report = Report(
            self._member.name,
            self._member.incarnation,
            self._number,
            round(deadlines.now() - self._started, 1),
            online,
            batch,
            spent_by_workspace,
            self._read_has_store(),
            tuple(
                name
                for name in self._directory.members_by_name
                if name != self._member.name
                and not self.is_heard_directly(name)
            ),
            self._failures.list_suspects(),
            self.is_leaving,
        )
        return _ENCODER.encode(report)


def _weigh(name: str, source: str, target: str) -> int:
    return int(xxhash.xxh32_intdigest(f"{name} {source} {target}".encode()))


class HeardListener:
    """Takes reports of other processes."""

    def take(self, report: Report) -> None:
        """Take a report."""
        raise NotImplementedError


def create_reports(
    member: registry.Member,
    directory: registry.Directory,
    table: loads.Loads,
    failures: failures_lib.Failures,
    read_has_store: Callable[[], bool],
) -> Reports:
    """Create the reports of this process.

    Args:
        member: This process.
        directory: Where reports are sent.
        table: What is in hand, here and elsewhere.
        failures: How often endpoints fail, here and elsewhere.
        read_has_store: Tells whether the store is reached from here.
    """
    return Reports(member, directory, table, failures, read_has_store)
