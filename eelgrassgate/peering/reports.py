"""What each process has in hand, told to the others by datagrams.

Each report is whole, so a lost one is made good by the next.
"""

from typing import Final

import anyio
from anyio import abc
import msgspec

from eelgrassgate import deadlines
from eelgrassgate import logs
from eelgrassgate.peering import loads
from eelgrassgate.peering import registry

# A change is told at most this often; bytes between zones are paid for.
CHANGED_EVERY_S: Final = 0.08
# Without a change, often enough that one lost datagram is not a lost peer.
IDLE_EVERY_S: Final = 0.25
# A peer that is silent for three idle reports is not heard.
HEARD_S: Final = 0.8


class Report(msgspec.Struct, frozen=True, array_like=True):
    """What one process has in hand.

    Attributes:
        name: The process's instance.
        incarnation: New at each start.
        number: Goes up with each report.
        uptime_s: Seconds since it started.
        online_by_endpoint: Online requests in hand.
        batch_by_endpoint: Batch items in hand.
        spent_by_workspace: Requests admitted since it started.
    """

    name: str
    incarnation: int
    number: int
    uptime_s: float
    online_by_endpoint: dict[str, int]
    batch_by_endpoint: dict[str, int]
    spent_by_workspace: dict[str, float]


class Peer(msgspec.Struct):
    """What was last heard of one process."""

    report: Report
    heard_until: float


_DECODER: Final = msgspec.msgpack.Decoder(Report)
_ENCODER: Final = msgspec.msgpack.Encoder()


class Reports:
    """Sends this process's report and keeps those of the others."""

    def __init__(
        self,
        member: registry.Member,
        directory: registry.Directory,
        table: loads.Loads,
    ) -> None:
        """Create without peers; see `create_reports`."""
        self._member = member
        self._directory = directory
        self._loads = table
        self._started = deadlines.now()
        self._number = 0
        self._peers_by_name: dict[str, Peer] = {}
        self._heard: list[HeardListener] = []
        self.spent_by_workspace: dict[str, float] = {}

    def subscribe(self, listener: "HeardListener") -> None:
        """Call `listener.take(report, earlier)` with each newer report."""
        self._heard.append(listener)

    def is_heard(self, name: str) -> bool:
        """Tell whether a process was heard lately."""
        peer = self._peers_by_name.get(name)
        return peer is not None and not deadlines.is_past(peer.heard_until)

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
                data, _ = await socket.receive()
            except OSError as error:
                # An unreachable peer shows up as an error on the socket.
                logs.say("reports:receive", reason=str(error))
                continue
            try:
                report = _DECODER.decode(data)
            except msgspec.MsgspecError as error:
                logs.say("reports:unreadable", reason=str(error))
                continue
            self.take(report)

    def take(self, report: Report) -> None:
        """Take a report of another process."""
        known = self._peers_by_name.get(report.name)
        earlier = None if known is None else known.report
        is_same = earlier and earlier.incarnation == report.incarnation
        if earlier and is_same and report.number <= earlier.number:
            return
        self._peers_by_name[report.name] = Peer(
            report, deadlines.after(HEARD_S)
        )
        self._loads.set_peer(
            report.name, report.online_by_endpoint, report.batch_by_endpoint
        )
        for listener in self._heard:
            listener.take(report, earlier)

    def forget_silent(self) -> None:
        """Count nothing as in hand at processes that are not heard."""
        for name in list(self._peers_by_name):
            if not self.is_heard(name):
                del self._peers_by_name[name]
                self._loads.set_peer(name, {}, {})
                logs.say("peer:silent", peer=name)

    async def _send_forever(self, socket: abc.UDPSocket) -> None:
        while True:
            report = self._create_report()
            data = _ENCODER.encode(report)
            for member in list(self._directory.members_by_name.values()):
                if member.name == self._member.name:
                    continue
                host, _, port = member.address.rpartition(":")
                try:
                    await socket.sendto(data, host, int(port))
                except OSError as error:
                    logs.say(
                        "reports:send", peer=member.name, reason=str(error)
                    )
            self.forget_silent()
            self._loads.is_changed = False
            await anyio.sleep(CHANGED_EVERY_S)
            with anyio.move_on_after(IDLE_EVERY_S - CHANGED_EVERY_S):
                await self._loads.wait_changed()

    def _create_report(self) -> Report:
        self._number += 1
        online, batch = self._loads.get_own()
        return Report(
            self._member.name,
            self._member.incarnation,
            self._number,
            deadlines.now() - self._started,
            online,
            batch,
            dict(self.spent_by_workspace),
        )


class HeardListener:
    """Takes reports of other processes."""

    def take(self, report: Report, earlier: Report | None) -> None:
        """Take a report and the one before it, if any was heard."""
        raise NotImplementedError


def create_reports(
    member: registry.Member,
    directory: registry.Directory,
    table: loads.Loads,
) -> Reports:
    """Create the reports of this process.

    Args:
        member: This process.
        directory: Where reports are sent.
        table: What is in hand, here and elsewhere.
    """
    return Reports(member, directory, table)
