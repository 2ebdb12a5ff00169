"""Load reports that processes exchange as UDP datagrams.

Each report holds the complete state, so the next one replaces a lost one.
"""

from collections.abc import Callable
from typing import Final

import anyio
import msgspec
import xxhash

from eelgrassgate import addresses
from eelgrassgate import deadlines
from eelgrassgate import decoding
from eelgrassgate import logs
from eelgrassgate.capacity import estimator
from eelgrassgate.peering import datagrams
from eelgrassgate.peering import failures as failures_lib
from eelgrassgate.peering import loads
from eelgrassgate.peering import registry
from eelgrassgate.quarantine import quarantine as quarantine_lib
from eelgrassgate.store import relay_regions

# Minimum intervals between reports of changes. Traffic to other zones and
# regions is billed, and few requests are sent to them.
SAME_ZONE_INTERVAL_S: Final = 0.08
SAME_REGION_INTERVAL_S: Final = 0.15
OTHER_REGION_INTERVAL_S: Final = 0.3
# Interval without changes; short enough that one lost datagram does not make a
# peer time out.
IDLE_INTERVAL_S: Final = 0.3
# A peer times out after three missed idle reports.
PEER_TIMEOUT_S: Final = 0.9
# Age up to which a peer's admissions count as known; the next report is due
# sooner even from another region.
FRESH_REPORT_S: Final = 0.5
# Admissions are repeated in each report for this long, since reports get lost.
ADMISSION_WINDOW_S: Final = 1.0
# How often to check which reports are due.
MAX_SEND_WAIT_S: Final = 0.03
# Number of processes that forward a report to a peer that does not receive it.
MAX_FORWARDERS: Final = 2
# Minimum time between reports, including urgent ones.
MIN_SEND_WAIT_S: Final = 0.005


class ConfigStatus(msgspec.Struct, frozen=True, array_like=True):
    """Which configuration a process has, and how recently it was confirmed.

    Attributes:
        version: Version of the configuration; 0 without one.
        revision: Revision of the store at which the process itself found
            that version to be the newest; 0 if it does not watch the store.
        age_s: Seconds since then.
    """

    version: decoding.Count = 0
    revision: decoding.Count = 0
    age_s: decoding.Amount = 0.0


class EvacuationStatus(msgspec.Struct, frozen=True, array_like=True):
    """Which zones a process knows to be evacuated.

    Attributes:
        revision: The store's revision at which they were read; 0 if it knows
            nothing of evacuations.
        zones: The zones.
    """

    revision: decoding.Count = 0
    zones: tuple[str, ...] = ()


class Report(msgspec.Struct, frozen=True, array_like=True):
    """Load report of one process.

    Attributes:
        name: Name of the process's instance.
        incarnation: Identifies one start of the process.
        number: Sequence number; increases with each report.
        uptime_s: Seconds since the process started.
        online_by_endpoint: Online requests in flight.
        batch_by_endpoint: Batch items in flight.
        admitted_by_workspace: Requests admitted since the start, only of
            workspaces with recent admissions; sent to gateways only.
        has_store: Whether it reaches the store directly.
        missing_peers: Known processes whose datagrams it does not receive;
            peers that receive them forward their reports.
        failures_by_endpoint: Failures and runs, both after decay, of
            suspected endpoints.
        is_leaving: Whether the process is shutting down; peers then remove it
            as soon as its entry expires.
        config: Its configuration.
        quarantine: What crashes endpoints, and evidence for it.
        limits_by_endpoint: Versions and limits in requests a second of
            endpoints that name one; None for a limit that was lifted.
        cold_by_endpoint: Versions and seconds left of endpoints that are cold.
        evacuations: The evacuated zones.
        capacity: How fast endpoints respond.
    """

    name: str
    incarnation: int
    number: int
    uptime_s: decoding.Amount
    online_by_endpoint: dict[str, decoding.Count]
    batch_by_endpoint: dict[str, decoding.Count]
    admitted_by_workspace: dict[str, decoding.Amount]
    has_store: bool = True
    missing_peers: tuple[str, ...] = ()
    failures_by_endpoint: dict[
        str, tuple[decoding.Amount, decoding.Amount]
    ] = {}
    is_leaving: bool = False
    config: ConfigStatus = ConfigStatus()
    quarantine: quarantine_lib.Report = quarantine_lib.Report()
    limits_by_endpoint: dict[
        str, tuple[decoding.Count, decoding.Amount | None]
    ] = {}
    cold_by_endpoint: dict[str, tuple[decoding.Count, decoding.Amount]] = {}
    evacuations: EvacuationStatus = EvacuationStatus()
    capacity: estimator.Report = estimator.Report()


class Peer(msgspec.Struct):
    """The last report of a process and when the process times out."""

    report: Report
    data: bytes
    alive_until: float


class _Sent(msgspec.Struct, frozen=True):
    """Time, load version and configuration version of the last report."""

    at: float
    load_version: int
    config_version: int


_DECODER: Final = msgspec.msgpack.Decoder(Report)
_ENCODER: Final = msgspec.msgpack.Encoder()


class Reports:
    """Sends this process's reports and keeps those of its peers.

    Attributes:
        is_leaving: Whether to report that this process is shutting down.
    """

    def __init__(
        self,
        member: registry.Member,
        directory: registry.Directory,
        load_table: loads.Loads,
        failures: failures_lib.Failures,
        quarantine: quarantine_lib.Quarantine,
        is_store_reachable: Callable[[], bool],
    ) -> None:
        """Initialize without peers; see `create_reports`."""
        self.is_leaving = False
        self._is_store_reachable = is_store_reachable
        self._member = member
        self._directory = directory
        self._loads = load_table
        self._failures = failures
        self._quarantine = quarantine
        self._started_at = deadlines.now()
        self._number = 0
        self._peers_by_name: dict[str, Peer] = {}
        self._direct_until_by_name: dict[str, float] = {}
        self._informed_incarnation_by_name: dict[str, int] = {}
        self._listeners: list[ReportListener] = []
        self._admitted_by_workspace: dict[str, float] = {}
        self._admitted_at_by_workspace: dict[str, float] = {}
        self._read_config_status: Callable[[], ConfigStatus] = ConfigStatus
        self._list_limits: Callable[[], dict[str, tuple[int, float | None]]] = (
            dict
        )
        self._list_colds: Callable[[], dict[str, tuple[int, float]]] = dict
        self._read_evacuations: Callable[[], EvacuationStatus] = (
            EvacuationStatus
        )
        self._build_capacity_report: Callable[[], estimator.Report] = (
            estimator.Report
        )

    def set_config_source(self, read: Callable[[], ConfigStatus]) -> None:
        """Set what the reports tell of this process's configuration."""
        self._read_config_status = read

    def set_limits_source(
        self, list_limits: Callable[[], dict[str, tuple[int, float | None]]]
    ) -> None:
        """Set what the reports tell of the limits of endpoints."""
        self._list_limits = list_limits

    def set_evacuations_source(
        self, read: Callable[[], EvacuationStatus]
    ) -> None:
        """Set what the reports tell of evacuated zones."""
        self._read_evacuations = read

    def set_colds_source(
        self, list_colds: Callable[[], dict[str, tuple[int, float]]]
    ) -> None:
        """Set what the reports tell of cold endpoints."""
        self._list_colds = list_colds

    def set_capacity_source(
        self, build_report: Callable[[], estimator.Report]
    ) -> None:
        """Set what the reports tell of the speed of endpoints."""
        self._build_capacity_report = build_report

    def get_peers(self) -> dict[registry.Member, Peer]:
        """Return the live processes that report, by their registration."""
        members = self._directory.members_by_name
        return {
            members[name]: peer
            for name, peer in self._peers_by_name.items()
            if name in members and self._is_active(name)
        }

    def subscribe(self, listener: "ReportListener") -> None:
        """Call `listener.handle_report` with each newer report."""
        self._listeners.append(listener)

    def has_fresh_report(self, name: str) -> bool:
        """Return whether a peer's last report is recent enough for rates."""
        peer = self._peers_by_name.get(name)
        if peer is None:
            return False
        return not deadlines.is_past(
            peer.alive_until - PEER_TIMEOUT_S + FRESH_REPORT_S
        )

    def has_left(self, name: str) -> bool:
        """Return whether a peer has reported that it is shutting down."""
        peer = self._peers_by_name.get(name)
        return peer is not None and peer.report.is_leaving

    def is_alive(self, name: str) -> bool:
        """Return whether a recent report arrived, directly or forwarded."""
        peer = self._peers_by_name.get(name)
        return peer is not None and not deadlines.is_past(peer.alive_until)

    def is_directly_reachable(self, name: str) -> bool:
        """Return whether a peer's own datagrams arrive here."""
        until = self._direct_until_by_name.get(name)
        return until is not None and not deadlines.is_past(until)

    def _is_active(self, name: str) -> bool:
        """Return whether a peer is alive and not shutting down."""
        peer = self._peers_by_name.get(name)
        if peer is None or peer.report.is_leaving:
            return False
        return self.is_alive(name)

    async def run(self, give_up_at: float = 0.0) -> None:
        """Send and receive until cancelled.

        Args:
            give_up_at: Monotonic time until which a taken address is tried.

        Raises:
            binding.AddressUnavailableError: The address is taken.
        """
        socket = await datagrams.open_datagram_socket(
            self._member.address, give_up_at
        )
        async with socket, anyio.create_task_group() as tasks:
            tasks.start_soon(self._receive, socket)
            await self._send_loop(socket)

    async def _receive(self, socket: datagrams.DatagramSocket) -> None:
        while True:
            try:
                batch = await socket.receive_batch()
            except OSError as error:
                # An unreachable peer causes an error on the socket.
                logs.log_message("reports:receive_failed", reason=str(error))
                continue
            try:
                for data, sender in batch:
                    self._handle_datagram(data, sender)
                for listener in self._listeners:
                    listener.finish_batch()
            except Exception:
                # Each report holds the complete state, so the next batch
                # replaces this one.
                logs.log_exception("reports:failed")

    def _handle_datagram(self, data: bytes, sender: str) -> None:
        try:
            report = decoding.decode(_DECODER, data)
        except msgspec.MsgspecError as error:
            logs.log_message("reports:invalid", reason=str(error))
            return
        member = self._directory.members_by_name.get(report.name)
        if member and member.address == sender:
            self._direct_until_by_name[report.name] = deadlines.after(
                PEER_TIMEOUT_S
            )
        self.handle_report(report, data)

    def handle_report(self, report: Report, data: bytes) -> None:
        """Process a peer's report; keeps its encoded form for forwarding."""
        if report.name == self._member.name:
            return
        known = self._peers_by_name.get(report.name)
        previous = None if known is None else known.report
        is_same_incarnation = (
            previous and previous.incarnation == report.incarnation
        )
        if (
            previous
            and is_same_incarnation
            and report.number <= previous.number
        ):
            return
        self._peers_by_name[report.name] = Peer(
            report, data, deadlines.after(PEER_TIMEOUT_S)
        )
        self._loads.set_peer_counts(
            report.name, report.online_by_endpoint, report.batch_by_endpoint
        )
        self._failures.set_peer_failures(
            report.name, report.failures_by_endpoint
        )
        self._quarantine.merge_report(report.quarantine)
        for listener in self._listeners:
            listener.handle_report(report)

    def get_relays(self) -> tuple[str, ...]:
        """Return addresses of peers that relay store calls, nearest first.

        Peers outside the regions that the current task's calls are restricted
        to are left out.
        """
        regions = relay_regions.get()
        members = self._directory.members_by_name
        found = [
            members[name]
            for name, peer in self._peers_by_name.items()
            if peer.report.has_store
            and name in members
            and self.is_directly_reachable(name)
            and (regions is None or members[name].region in regions)
        ]
        zone = self._member.zone
        found.sort(key=lambda one: (one.zone != zone, one.name))
        return tuple(one.relay_address for one in found)

    def remove_timed_out(self) -> None:
        """Remove peers that timed out, and their counts."""
        for name in list(self._peers_by_name):
            if not self.is_alive(name):
                del self._peers_by_name[name]
                self._informed_incarnation_by_name.pop(name, None)
                self._loads.set_peer_counts(name, {}, {})
                self._failures.set_peer_failures(name, {})
                logs.log_message("peer:timed_out", peer=name)

    async def _send_loop(self, socket: datagrams.DatagramSocket) -> None:
        """Send reports until cancelled, to nearer peers more often."""
        last_sent_by_interval: dict[float, _Sent] = {}
        while True:
            if self._loads.urgent_report_requested.is_set():
                self._loads.urgent_report_requested = anyio.Event()
                self._send_urgent(socket)
            self._send_due(socket, last_sent_by_interval)
            self.remove_timed_out()
            self._directory.remove_expired(self._is_active)
            await anyio.sleep(MIN_SEND_WAIT_S)
            with anyio.move_on_after(MAX_SEND_WAIT_S - MIN_SEND_WAIT_S):
                await self._loads.urgent_report_requested.wait()

    def _send_urgent(self, socket: datagrams.DatagramSocket) -> None:
        """Report to the region's batch processes, which preempt items."""
        data = self._encode({})
        for member in list(self._directory.members_by_name.values()):
            is_near = member.region == self._member.region
            if member.role is registry.Role.BATCH and is_near:
                self._send(socket, member, data)

    def _send_due(
        self,
        socket: datagrams.DatagramSocket,
        last_sent_by_interval: dict[float, _Sent],
    ) -> None:
        """Report to the members whose interval has passed and to new ones.

        Until all gateways have reported, a new one uses a part of each rate.
        """
        now = deadlines.now()
        load_version = self._loads.version
        config_version = self._read_config_status().version
        due: set[float] = set()
        for interval_s in (
            SAME_ZONE_INTERVAL_S,
            SAME_REGION_INTERVAL_S,
            OTHER_REGION_INTERVAL_S,
        ):
            last = last_sent_by_interval.get(interval_s)
            wait_s = interval_s
            if last is not None and (
                last.load_version == load_version
                and last.config_version == config_version
            ):
                wait_s = IDLE_INTERVAL_S
            if last is None or now >= last.at + wait_s:
                due.add(interval_s)
                last_sent_by_interval[interval_s] = _Sent(
                    now, load_version, config_version
                )
        members = [
            one
            for one in self._directory.members_by_name.values()
            if one.name != self._member.name
            and (self._get_interval(one) in due or self._is_new(one))
        ]
        if not members:
            return
        with_admissions = self._encode(self._list_recent_admissions(now))
        without_admissions = self._encode({})
        for member in members:
            self._informed_incarnation_by_name[member.name] = member.incarnation
            is_gateway = member.role is registry.Role.GATEWAY
            self._send(
                socket,
                member,
                with_admissions if is_gateway else without_admissions,
            )
            for forwarded in self._list_missing_reports(member.name):
                self._send(socket, member, forwarded)

    def _is_new(self, member: registry.Member) -> bool:
        """Return whether no report was sent to this start of a process."""
        informed = self._informed_incarnation_by_name.get(member.name)
        return informed != member.incarnation

    def _get_interval(self, member: registry.Member) -> float:
        """Return the interval at which changes are reported to a peer."""
        if member.zone == self._member.zone:
            return SAME_ZONE_INTERVAL_S
        if member.region == self._member.region:
            return SAME_REGION_INTERVAL_S
        return OTHER_REGION_INTERVAL_S

    def record_admission(self, workspace: str) -> None:
        """Count an admitted request."""
        admitted = self._admitted_by_workspace.get(workspace, 0.0)
        self._admitted_by_workspace[workspace] = admitted + 1.0
        self._admitted_at_by_workspace[workspace] = deadlines.now()

    def _list_recent_admissions(self, now: float) -> dict[str, float]:
        """Return total admissions of workspaces with recent ones."""
        return {
            name: self._admitted_by_workspace[name]
            for name, at in self._admitted_at_by_workspace.items()
            if now < at + ADMISSION_WINDOW_S
        }

    def _send(
        self,
        socket: datagrams.DatagramSocket,
        member: registry.Member,
        data: bytes,
    ) -> None:
        target = addresses.parse(member.address)
        try:
            socket.send(data, target.host, target.port)
        except OSError as error:
            logs.log_message(
                "reports:send_failed", peer=member.name, reason=str(error)
            )

    def _list_missing_reports(self, name: str) -> list[bytes]:
        """Return the reports to forward to a peer that misses them."""
        peer = self._peers_by_name.get(name)
        if peer is None or not peer.report.missing_peers:
            return []
        return [
            self._peers_by_name[other].data
            for other in peer.report.missing_peers
            if other in self._peers_by_name
            and self.is_directly_reachable(other)
            and self._is_forwarder(other, name)
        ]

    def _is_forwarder(self, source: str, target: str) -> bool:
        """Return whether this process forwards reports of `source` to `target`.

        Rendezvous hashing chooses `MAX_FORWARDERS` among this process and those
        whose datagrams arrive here. If all of them forwarded, the repeats could
        saturate a lossy link between regions.
        """
        names = [
            one
            for one in self._peers_by_name
            if self.is_directly_reachable(one)
        ]
        names.append(self._member.name)
        names.sort(key=lambda name: _compute_rank(name, source, target))
        return self._member.name in names[:MAX_FORWARDERS]

    def _encode(self, admitted_by_workspace: dict[str, float]) -> bytes:
        """Encode the next report of this process."""
        self._number += 1
        online, batch = self._loads.get_own_counts()
        report = Report(
            self._member.name,
            self._member.incarnation,
            self._number,
            round(deadlines.now() - self._started_at, 1),
            online,
            batch,
            admitted_by_workspace,
            self._is_store_reachable(),
            tuple(
                name
                for name in self._directory.members_by_name
                if name != self._member.name
                and not self.is_directly_reachable(name)
            ),
            self._failures.get_suspect_counts(),
            self.is_leaving,
            self._read_config_status(),
            self._quarantine.build_report(),
            self._list_limits(),
            self._list_colds(),
            self._read_evacuations(),
            self._build_capacity_report(),
        )
        return _ENCODER.encode(report)


def _compute_rank(name: str, source: str, target: str) -> int:
    return int(xxhash.xxh32_intdigest(f"{name} {source} {target}".encode()))


class ReportListener:
    """Receives the reports of peers."""

    def handle_report(self, report: Report) -> None:
        """Handle a report that is newer than the last one."""
        raise NotImplementedError

    def finish_batch(self) -> None:
        """Act on the reports that were read together; does nothing here."""


def create_reports(
    member: registry.Member,
    directory: registry.Directory,
    load_table: loads.Loads,
    failures: failures_lib.Failures,
    quarantine: quarantine_lib.Quarantine,
    is_store_reachable: Callable[[], bool],
) -> Reports:
    """Create the report exchange of this process.

    Args:
        member: This process.
        directory: The processes to send reports to.
        load_table: Requests in flight by endpoint.
        failures: Failure rates of endpoints.
        quarantine: What crashes endpoints.
        is_store_reachable: Returns whether the store is directly reachable.
    """
    return Reports(
        member,
        directory,
        load_table,
        failures,
        quarantine,
        is_store_reachable,
    )
