"""Reports in the store of the revision in force on each instance.

One instance of each zone writes one report for its zone, based on heartbeats.
A change of the configuration thus costs a few writes per zone instead of one
per instance.
"""

from collections.abc import Callable
from typing import Final

import anyio
import msgspec
from returns import result

from eelgrassgate import settings
from eelgrassgate.config import peers as peers_lib
from eelgrassgate.config import state as state_lib
from eelgrassgate.instances import base as instances
from eelgrassgate.store import base

PREFIX: Final = "/eelgrassgate/instances/"
WRITE_INTERVAL_S: Final = 1.0


class InstanceRevision(msgspec.Struct, frozen=True):
    """The newest revision known to be in force on an instance."""

    revision: int
    incarnation: int = 0


class ZoneReport(msgspec.Struct, frozen=True):
    """The report of one zone.

    Attributes:
        zone: The zone.
        writer: The instance that wrote the report.
        rows_by_name: The revisions of the zone's instances.
        zones_by_member: The zone of each instance of the fleet that the writer
            knows.
    """

    zone: str
    writer: str
    rows_by_name: dict[str, InstanceRevision]
    zones_by_member: dict[str, str]


_DECODER: Final = msgspec.json.Decoder(ZoneReport)


class Reporter:
    """Writes this zone's report while this instance ranks first in the zone."""

    def __init__(
        self,
        store: base.Store,
        place: settings.Place,
        incarnation: int,
        peers: peers_lib.Peers,
        state: state_lib.ConfigState,
        list_instances: Callable[[], tuple[instances.Instance, ...]],
    ) -> None:
        """Create a reporter."""
        self._store = store
        self._place = place
        self._incarnation = incarnation
        self._peers = peers
        self._state = state
        self._list_instances = list_instances
        self._stored_report: ZoneReport | None = None
        self._store_revision = 0

    async def run(self) -> None:
        """Write the report when it changes, until cancelled."""
        while True:
            await anyio.sleep(WRITE_INTERVAL_S)
            if self._peers.rank_in_zone() == 0:
                await self.write()
            else:
                self._stored_report = None

    async def write(self) -> None:
        """Write the report if it differs from what the store holds."""
        if self._stored_report is None and not await self._read():
            return
        report = self._build()
        if report == self._stored_report:
            return
        write = encode(report)
        answer = await self._store.commit(
            base.Transaction(
                preconditions=(
                    base.Precondition(write.key, self._store_revision),
                ),
                changes=(write,),
            )
        )
        self._stored_report = None
        if isinstance(answer, result.Success):
            commit = answer.unwrap()
            if commit.is_done:
                self._stored_report = report
                self._store_revision = commit.revision

    async def _read(self) -> bool:
        answer = await self._store.read(PREFIX + self._place.zone)
        if isinstance(answer, result.Failure):
            return False
        record = answer.unwrap()
        self._store_revision = 0
        self._stored_report = ZoneReport(self._place.zone, "", {}, {})
        if record is not None:
            self._store_revision = record.revision
            self._stored_report = _DECODER.decode(record.value)
        return True

    def _build(self) -> ZoneReport:
        """Combine the connected peers and the instance list."""
        zone = self._place.zone
        own = self._place.instance
        zones = {own: zone}
        for instance in self._list_instances():
            zones[instance.name] = instance.zone
        for peer_state in self._peers.list_all():
            zones[peer_state.peer.hello.instance] = peer_state.peer.hello.zone
        rows: dict[str, InstanceRevision] = {}
        for name in sorted(zones):
            if zones[name] == zone:
                rows[name] = self._build_row(name)
        rows[own] = InstanceRevision(self._state.revision, self._incarnation)
        return ZoneReport(zone, own, rows, dict(sorted(zones.items())))

    def _build_row(self, name: str) -> InstanceRevision:
        known = InstanceRevision(0)
        if self._stored_report is not None:
            known = self._stored_report.rows_by_name.get(name, known)
        peer_state = self._peers.find(name)
        if peer_state is None:
            return known
        incarnation = peer_state.peer.hello.incarnation
        if incarnation != known.incarnation:
            return InstanceRevision(peer_state.revision, incarnation)
        return InstanceRevision(
            max(known.revision, peer_state.revision), incarnation
        )


def encode(report: ZoneReport) -> base.Write:
    """Return the write that stores a zone's report."""
    return base.Write(PREFIX + report.zone, msgspec.json.encode(report))


async def read_all(
    store: base.Store,
) -> result.Result[tuple[ZoneReport, ...], base.StoreError]:
    """Read the reports of all zones in one call."""
    answer = await store.read_range(PREFIX)
    return answer.map(
        lambda page: tuple(
            _DECODER.decode(record.value) for record in page.records
        )
    )


async def forget(
    store: base.Store, zone: str
) -> result.Result[bool, base.StoreError]:
    """Delete a zone's report; return whether there was one.

    If the zone still has an instance, it writes the report again within
    seconds.
    """
    key = PREFIX + zone
    found = await store.read(key)
    if isinstance(found, result.Failure):
        return result.Failure(found.failure())
    if found.unwrap() is None:
        return result.Success(False)
    change = base.Transaction((), (base.Delete(key),))
    return (await store.commit(change)).map(lambda _: True)
