"""How a new configuration reaches every process of a fleet."""

from collections.abc import AsyncIterator
from collections.abc import Callable
from collections.abc import Iterator
from collections.abc import Mapping
import contextlib
from typing import Any
from typing import Final
import unittest
import zlib

import anyio
import msgspec

from eelgrassgate import deadlines
from eelgrassgate.gateway import config_sync
from eelgrassgate.gateway import metrics as metrics_lib
from eelgrassgate.gateway import node as node_lib
from eelgrassgate.gateway import settings
from eelgrassgate.peering import registry
from eelgrassgate.peering import reports
from eelgrassgate.peering import watchers
from eelgrassgate.platform import batch_calls
from eelgrassgate.platform import dialect
from eelgrassgate.platform import documents
from eelgrassgate.store import base
from eelgrassgate.store import causes
from eelgrassgate.store import contact
from eelgrassgate.store import faulty
from eelgrassgate.store import memory
from tests import loopback

TIMEOUT_S: Final = 15.0
# A confirmed configuration must be in force everywhere within this time.
MAX_DELAY_S: Final = 3.0
# The link between two regions, shared by all processes of one of them.
LINK_BYTES_PER_S: Final = 15e6 / 8
ROUTES: Final = 1400
REGION_BY_ZONE: Final = {"z1": "r1", "z2": "r2"}


class _Link:
    """A link that carries one answer of the store after the other."""

    def __init__(self) -> None:
        self._lock = anyio.Lock()

    async def carry(self, size: int) -> None:
        async with self._lock:
            await anyio.sleep(size / LINK_BYTES_PER_S)


class _Store(faulty.FaultyStore):
    """One process's access to the store, across a link if there is one."""

    link: _Link | None = None
    contact = contact.create_contact()
    calls = causes.create_call_counts()

    def is_directly_reachable(self) -> bool:
        return not self.faults.is_down

    def set_relays(self, get_relays: Callable[[], tuple[str, ...]]) -> None:
        """Ignore relays; calls go to the store directly."""

    async def read_range(self, *args: Any, **kwargs: Any) -> Any:
        answer = await super().read_range(*args, **kwargs)
        page = answer.value_or(None)
        if page and self.link:
            await self.link.carry(sum(len(one.value) for one in page.records))
        return answer

    async def watch(self, *args: Any, **kwargs: Any) -> AsyncIterator[Any]:
        async for answer in super().watch(*args, **kwargs):
            changes = answer.value_or(None)
            if isinstance(changes, base.Changes) and self.link:
                await self.link.carry(
                    sum(len(one.value or b"") for one in changes.changes)
                )
            yield answer


def make_store(backend: base.Store, link: _Link | None = None) -> Any:
    made = faulty.create_faulty_store(backend)
    made.__class__ = _Store
    made.link = link  # type: ignore[attr-defined]
    return made


def make_nodes(zones_and_stores: list[tuple[str, Any]]) -> list[node_lib.Node]:
    # Found at once, so that no two nodes get the same port.
    ports = iter(loopback.find_free_ports(3 * len(zones_and_stores)))
    return [
        make_node(f"gateway-{number}", zone, store, ports)
        for number, (zone, store) in enumerate(zones_and_stores)
    ]


def make_node(
    name: str, zone: str, store: Any, ports: Iterator[int]
) -> node_lib.Node:
    reports_address, relay, metrics = (
        f"127.0.0.1:{next(ports)}" for _ in range(3)
    )
    return node_lib.create_node(
        settings.Node(
            name,
            zone,
            REGION_BY_ZONE[zone],
            REGION_BY_ZONE,
            "",
            reports_address,
            relay,
            metrics,
            2.0,
        ),
        registry.Role.GATEWAY,
        node_lib.PlatformAdapters(
            store,
            documents.PlatformDocuments(),
            dialect.PlatformDialect(),
            batch_calls.PlatformBatchDialect(),
        ),
    )


async def write_config(
    store: base.Store, version: int, routes: int = 1
) -> None:
    config = {
        "version": version,
        "routes": [
            {
                "name": f"r-{version}-{number}",
                "host": f"host{number * 7919 % 100_003}.example",
                "prefix": f"/path{number * 104_729 % 1_000_003}/",
                "kind": "streaming",
                "timeout-ms": 5000,
                "target-latency-ms": 300,
                "service": "engine",
                "max-attempts": 2,
                "allow-resume": True,
                "sticky-sessions": True,
                "gap-target-ms": 600,
            }
            for number in range(routes)
        ],
    }
    value = msgspec.json.encode(config)
    write = base.Write(documents.CONFIG_KEY, value)
    (await store.commit(base.Transaction((), (write,)))).unwrap()


async def wait_for_version(
    nodes: list[node_lib.Node], version: int, timeout_s: float
) -> list[str]:
    """Return the names of the nodes that lack a version after a timeout."""
    until = deadlines.after(timeout_s)
    while True:
        late = [
            one.member.name
            for one in nodes
            if one.discovery.get_catalog().version < version
        ]
        if not late or deadlines.is_past(until):
            return late
        await anyio.sleep(0.02)


@contextlib.asynccontextmanager
async def run_nodes(nodes: list[node_lib.Node]) -> AsyncIterator[None]:
    """Run nodes that all have version 1 and hear each other."""
    async with anyio.create_task_group() as tasks:
        for one in nodes:
            tasks.start_soon(one.run)
        names = {one.member.name for one in nodes}
        with anyio.fail_after(TIMEOUT_S):
            while any(
                one.discovery.get_catalog().version < 1
                or len(names) > 1 + len(one.reports.get_relays())
                for one in nodes
            ):
                await anyio.sleep(0.02)
        # Until then all of them watch the store.
        await anyio.sleep(1.5)
        yield
        tasks.cancel_scope.cancel()


class FleetTest(unittest.IsolatedAsyncioTestCase):
    async def test_large_configuration_is_late_behind_a_slow_link(
        self,
    ) -> None:
        backend = memory.create_memory_store()
        link = _Link()
        nodes = make_nodes([("z2", make_store(backend, link))] * 10)
        await write_config(backend, 1)
        async with run_nodes(nodes):
            for version in (2, 3, 4):
                await write_config(backend, version, ROUTES)
                written_at = deadlines.now()
                await anyio.sleep(0.4)
            left_s = written_at + MAX_DELAY_S - deadlines.now()
            late = await wait_for_version(nodes, 4, left_s)
        self.assertEqual(late, [])

    async def test_change_is_missed_by_a_silent_watch(self) -> None:
        backend = memory.create_memory_store()
        stores = [make_store(backend) for _ in range(3)]
        # The first two are the only processes of their region.
        nodes = make_nodes(list(zip(("z2", "z2", "z1"), stores, strict=True)))
        await write_config(backend, 1)
        async with run_nodes(nodes):
            for store in stores[:2]:
                store.faults.is_watch_silent = True
            await write_config(backend, 2)
            late = await wait_for_version(nodes, 2, MAX_DELAY_S)
        self.assertEqual(late, [])

    async def test_unconfirmed_processes_watch_the_store_themselves(
        self,
    ) -> None:
        backend = memory.create_memory_store()
        stores = [make_store(backend) for _ in range(4)]
        nodes = make_nodes([("z1", store) for store in stores])
        await write_config(backend, 1)
        async with run_nodes(nodes):
            is_watcher = [one.discovery.config.is_watcher() for one in nodes]
            for one, store in zip(is_watcher, stores, strict=True):
                store.faults.is_watch_silent = one
            # The watchers don't notice that nothing reaches them.
            await anyio.sleep(config_sync.MAX_CONFIRMATION_AGE_S + 0.5)
            await write_config(backend, 2)
            late = await wait_for_version(nodes, 2, MAX_DELAY_S)
        self.assertEqual(sum(is_watcher), watchers.WATCHERS_PER_REGION)
        self.assertEqual(late, [])


def make_member(name: str, region: str = "r1") -> registry.Member:
    return registry.Member(
        name, registry.Role.GATEWAY, "z1", region, "h:1", "h:2", 1
    )


class _FakePeers:
    """Peers with given configurations."""

    def __init__(
        self,
        status_by_member: Mapping[registry.Member, reports.ConfigStatus],
        has_store: bool = True,
    ) -> None:
        self._status_by_member = status_by_member
        self._has_store = has_store

    def get_peers(self) -> Mapping[registry.Member, reports.Peer]:
        return {
            member: reports.Peer(
                reports.Report(
                    member.name,
                    1,
                    1,
                    9.0,
                    {},
                    {},
                    {},
                    has_store=self._has_store,
                    config=status,
                ),
                b"",
                deadlines.after(reports.PEER_TIMEOUT_S),
            )
            for member, status in self._status_by_member.items()
        }


class ConfigSyncTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.store = memory.create_memory_store(progress_interval_s=0.02)

    async def load(self, peers: _FakePeers) -> config_sync.ConfigSync:
        await write_config(self.store, 5)
        sync = config_sync.create_config_sync(
            self.store,
            documents.CONFIG_KEY,
            documents.decode_config,
            make_member("own"),
            peers,
        )
        await sync._find_start()
        return sync

    async def test_watchers(self) -> None:
        own_rank = watchers.hash_name("own")
        pool = [f"peer-{number}" for number in range(64)]
        ahead = [one for one in pool if watchers.hash_name(one) < own_rank][
            : watchers.WATCHERS_PER_REGION
        ]
        behind = [one for one in pool if watchers.hash_name(one) > own_rank][:1]
        self.assertEqual((len(ahead), len(behind)), (2, 1))
        fresh = reports.ConfigStatus(5, 7, 0.5)
        for name, members, has_store, is_watcher in (
            ("alone", [], True, True),
            ("ranked last", [*ahead, *behind], True, False),
            ("one ranked before", [ahead[0], *behind], True, True),
            ("no peer reaches the store", ahead, False, True),
            ("many are ranked before", pool, True, False),
        ):
            with self.subTest(name):
                peers = _FakePeers(
                    {make_member(one): fresh for one in members}, has_store
                )
                sync = await self.load(peers)
                self.assertEqual(sync.is_watcher(), is_watcher)
        with self.subTest("peers of another region don't count"):
            peers = _FakePeers({make_member(one, "r2"): fresh for one in ahead})
            self.assertTrue((await self.load(peers)).is_watcher())

    async def test_confirmation_by_peers(self) -> None:
        old = deadlines.now() - 60.0
        for name, status, is_confirmed in (
            ("the same version, found at the store", (5, 9, 0.5), True),
            ("a process that does not watch", (5, 0, 0.0), False),
            ("an older version", (4, 9, 0.5), False),
            ("a newer version", (6, 9, 0.5), False),
            ("found long ago", (5, 9, 30.0), False),
        ):
            with self.subTest(name):
                peers = _FakePeers(
                    {make_member("a"): reports.ConfigStatus(*status)}
                )
                sync = await self.load(peers)
                sync._confirmation = config_sync.Confirmation(old, 1)
                age_s = sync.get_age_s()
                self.assertEqual(
                    age_s < config_sync.MAX_CONFIRMATION_AGE_S,
                    is_confirmed,
                    age_s,
                )

    async def test_all_processes_take_over_at_once(self) -> None:
        """Changes for all at once would fill the link between regions."""
        own_rank = watchers.hash_name("own")
        pool = [f"peer-{number}" for number in range(64)]
        ahead = [one for one in pool if watchers.hash_name(one) < own_rank]
        for count in (0, 1, 2, 3, len(ahead)):
            peers = _FakePeers(
                {
                    make_member(one): reports.ConfigStatus(5)
                    for one in ahead[:count]
                }
            )
            sync = await self.load(peers)
            turn_s = config_sync.MAX_CONFIRMATION_AGE_S + min(
                watchers.MAX_TAKEOVER_DELAY_S,
                count * watchers.TAKEOVER_INTERVAL_S,
            )
            for age_s, is_watcher in (
                (turn_s - 0.1, count < watchers.WATCHERS_PER_REGION),
                (turn_s + 0.1, True),
            ):
                with self.subTest(count=count, age_s=age_s):
                    at = deadlines.now() - age_s
                    sync._confirmation = config_sync.Confirmation(at, 1)
                    self.assertEqual(sync.is_watcher(), is_watcher)

    async def test_answers_confirm_the_configuration(self) -> None:
        now = deadlines.now()
        some = (base.Change("op/config", b"{}", 9),)
        for name, started_at, changes, expected in (
            ("a change counts at once", now - 1.0, some, (now, 9)),
            ("an empty answer in time", now - 1.25, (), (now, 4)),
            ("a delayed empty answer", now - 5.0, (), (now - 3.75, 4)),
        ):
            with self.subTest(name):
                sync = await self.load(_FakePeers({}))
                sync._confirm(started_at, base.Changes(changes, 9), 4)
                found = sync.get_confirmation()
                self.assertAlmostEqual(found.at, expected[0], delta=0.2)
                self.assertEqual(found.revision, expected[1])

    async def test_older_and_invalid_configurations_of_peers_are_ignored(
        self,
    ) -> None:
        sync = await self.load(_FakePeers({}))
        for value in (b'{"version": 4}', b'{"version": 5}', b"broken", b""):
            sync._apply(value, "peer")
            self.assertEqual(sync.catalog.version, 5, value)
        sync._apply(b'{"version": 6}', "peer")
        self.assertEqual(sync.catalog.version, 6)

    async def test_peer_without_a_usable_version_is_asked_without_pause(
        self,
    ) -> None:
        newer = reports.ConfigStatus(6, 9, 0.5)
        sync = await self.load(_FakePeers({make_member("a", "r2"): newer}))
        calls: list[registry.Member] = []

        async def fetch(source: registry.Member) -> bool:
            calls.append(source)
            return False

        sync._fetch = fetch  # type: ignore[method-assign]
        sync._newer_reported.set()
        with anyio.move_on_after(config_sync.FAR_FETCH_DELAY_S + 1.5):
            await sync._follow_forever()
        # After pauses of 0.1, 0.2, 0.4 and 0.8 s.
        self.assertIn(len(calls), range(1, 6))

    def test_compressed_size_is_bounded(self) -> None:
        bound = config_sync.MAX_CONFIG_BYTES
        whole = zlib.compress(b" " * bound)
        self.assertEqual(len(config_sync._decompress(whole)), bound)
        for name, data in (
            ("too large", zlib.compress(b" " * (bound + 1))),
            ("truncated", whole[:-1]),
            ("not compressed", b"{}"),
        ):
            with self.subTest(name), self.assertRaises(zlib.error):
                config_sync._decompress(data)


class MetricsTest(unittest.TestCase):
    def test_version_and_age_are_shown(self) -> None:
        metrics = metrics_lib.create_metrics()
        metrics.observe_config(lambda: 7, lambda: 1.5)
        text = metrics.render().decode()
        self.assertIn("eelgrassgate_config_version 7.0", text)
        self.assertIn("eelgrassgate_config_age_seconds 1.5", text)
