"""Endpoints of evacuated zones get no new requests."""

import contextlib
import pathlib
import tempfile
import time
from typing import Any
from typing import Final
import unittest
from unittest import mock

import anyio
import msgspec

from eelgrassgate import logs
from eelgrassgate.gateway import catalog
from eelgrassgate.gateway import config_sync
from eelgrassgate.gateway import eligibility
from eelgrassgate.gateway import evacuations as evacuations_lib
from eelgrassgate.http1 import sockets
from eelgrassgate.peering import reports
from eelgrassgate.peering import watchers
from eelgrassgate.platform import documents
from eelgrassgate.standins import endpoint
from eelgrassgate.store import base
from eelgrassgate.store import memory
from tests import site as site_lib
from tests import test_batches
from tests import test_config_sync
from tests import test_draining
from tests import test_peering
from tests.soak import environment as environment_lib

TIMEOUT_S: Final = 20.0
# `evacuation-ms` of the settings file.
EVACUATION_S: Final = 5.0
KEY: Final = "op/evacuate/z1"
Z1: Final = frozenset({"z1"})


async def write(store: base.Store, key: str, value: bytes | None) -> None:
    change: base.Write | base.Delete = base.Delete(key)
    if value is not None:
        change = base.Write(key, value)
    (await store.commit(base.Transaction((), (change,)))).unwrap()


async def register(site: Any, number: int, zone: str, cold_ms: int = 0) -> None:
    """Write the entry of an endpoint of a site of real processes."""
    await site.write_document(
        f"servers/{site.endpoints[number].name}",
        {
            "service": "engine",
            "address": site.endpoint_proxies[number].address,
            "zone": zone,
            "version": "v1",
            "slots": 8,
            "state": "ready",
            "cold-remaining-ms": cold_ms,
            "sequence": 2,
            "born": 1_800_000_000_000,
        },
    )


async def wait_until_ready(daemon: Any) -> None:
    with anyio.fail_after(TIMEOUT_S):
        while True:
            with contextlib.suppress(OSError):
                response = await site_lib.call(
                    daemon.ready_address, "/", method="GET", body=b""
                )
                if response.status == 200:
                    return
            await anyio.sleep(0.05)


class StateTest(unittest.TestCase):
    def test_the_higher_revision_wins(self) -> None:
        evacuations = evacuations_lib.create_evacuations()
        seen: list[frozenset[str]] = []
        evacuations.subscribe(seen.append)
        self.assertFalse(evacuations.is_known())
        for revision, zones, expected in (
            (0, ["z2"], []),
            (5, ["z1"], ["z1"]),
            (4, [], ["z1"]),
            (5, ["z2"], ["z1"]),
            (6, [], []),
        ):
            evacuations.handle_report(
                test_peering.make_report(
                    "p",
                    evacuations=reports.EvacuationStatus(
                        revision, tuple(zones)
                    ),
                )
            )
            self.assertEqual(sorted(evacuations.zones), expected)
        self.assertEqual(seen, [Z1, frozenset()])
        self.assertEqual(evacuations.get_status().revision, 6)

    def test_keys_and_values(self) -> None:
        """A value that can't be read still evacuates the zone of its key."""
        for key, value, zone, is_sound in (
            (KEY, b"{}", "z1", True),
            (KEY, b'{"later": 1}', "z1", True),
            (KEY, b"", "z1", False),
            (KEY, b"[1", "z1", False),
            ("op/evacuate/", b"{}", None, False),
            ("op/evacuate/z1/x", b"{}", None, False),
            ("op/config", b"", None, True),
            ("op/retire/a", b"", None, True),
        ):
            with self.subTest(key, value=value):
                self.assertEqual(documents.read_evacuated_zone(key), zone)
                reason = documents.check_evacuation(key, value)
                self.assertEqual(not reason, is_sound)


class ConfigSyncTest(unittest.IsolatedAsyncioTestCase):
    def make_sync(self) -> config_sync.ConfigSync:
        return config_sync.create_config_sync(
            memory.create_memory_store(),
            documents.CONFIG_KEY,
            documents.decode_config,
            orders=documents.PlatformDocuments(),
        )

    def test_malformed_orders_are_logged_once(self) -> None:
        sync = self.make_sync()
        with mock.patch.object(logs, "log_message") as log:
            for revision in (1, 2, 3):
                changes = (
                    base.Change(KEY, b"?", revision),
                    base.Change("op/evacuate/", b"{}", revision),
                )
                sync._apply_changes(changes, revision)
        invalid = [
            one.kwargs["key"]
            for one in log.call_args_list
            if one.args == ("evacuation:invalid",)
        ]
        self.assertEqual(invalid, [KEY, "op/evacuate/"])
        self.assertEqual(sync.evacuations.zones, Z1)
        sync._apply_changes((base.Change(KEY, None, 4),), 4)
        self.assertEqual(sync.evacuations.zones, frozenset())

    def test_no_configuration_without_knowledge_of_evacuations(self) -> None:
        """A configuration that a peer sends may arrive before any report."""
        sync = self.make_sync()
        value = msgspec.json.encode({"version": 3})
        sync._apply(value, "peer")
        self.assertEqual(sync.catalog.version, 0)
        sync.evacuations.update(Z1, 7, "peer")
        sync._apply(value, "peer")
        self.assertEqual(sync.catalog.version, 3)

    async def test_a_watch_does_not_start_after_what_is_known(self) -> None:
        """Else it would miss an order between the two revisions."""
        sync = self.make_sync()
        await test_config_sync.write_config(sync._store, 1)
        await sync._find_start()
        known = sync.evacuations.revision
        await write(sync._store, KEY, b"{}")
        await write(sync._store, "op/other", b"{}")
        later = config_sync.Confirmation(sync._confirmation.at, known + 2)
        with mock.patch.object(sync, "get_confirmation", lambda: later):
            await sync._find_start()
        self.assertEqual(sync.evacuations.zones, Z1)


class PathTest(unittest.IsolatedAsyncioTestCase):
    async def test_all_requests_leave_an_evacuated_zone(self) -> None:
        async with site_lib.open_site("e1", "e2") as site:
            site.placement.set_endpoints(
                {
                    one.name: catalog.Endpoint(
                        one.name, "engine", one.address, zone, 8
                    )
                    for one, zone in zip(
                        site.endpoints, ("z1", "z2"), strict=True
                    )
                }
            )
            first, second = site.endpoints
            draining = site.placement.draining
            draining.set_evacuated_zones(Z1)
            for path in test_draining.KINDS:
                second.behavior = endpoint.Behavior()
                response = await site_lib.call(site.address, path)
                self.assertEqual((path, response.status), (path, 200))
                # A retry does not go there either.
                second.behavior = endpoint.Behavior(is_overloaded=True)
                response = await site_lib.call(site.address, path)
                self.assertEqual((path, response.status), (path, 503))
            self.assertEqual(first.runs, [])
            # All zones: refused at once, and not run.
            draining.set_evacuated_zones(frozenset({"z1", "z2"}))
            runs = site.count_runs()
            with anyio.fail_after(0.3):
                response = await site_lib.call(site.address, "/plain/a")
            self.assertEqual(response.status, 503)
            self.assertIn(b"retry-after", response.headers)
            self.assertEqual(site.count_runs(), runs)
            self.assertIs(
                site.placement.explain_absence("engine", None),
                eligibility.Reason.EVACUATED,
            )
            draining.set_evacuated_zones(frozenset())
            response = await site_lib.call(site.address, "/plain/a")
            self.assertEqual(response.status, 200)

    async def test_what_runs_there_ends_normally(self) -> None:
        async with site_lib.open_site("e1") as site:
            first = site.endpoints[0]
            first.behavior = endpoint.Behavior(events=4, event_delay_s=0.1)
            responses: list[site_lib.Response] = []

            async def send() -> None:
                responses.append(await site_lib.call(site.address, "/stream/a"))

            async with anyio.create_task_group() as tasks:
                tasks.start_soon(send)
                await test_draining.wait(lambda: bool(first.runs))
                site.placement.draining.set_evacuated_zones(Z1)
                self.assertEqual(site.placement.count_evacuated_in_flight(), 1)
            self.assertEqual(responses[0].status, 200)
            self.assertTrue(responses[0].is_complete)

    async def test_connecting_requests_go_elsewhere(self) -> None:
        async with site_lib.open_site("e1", "e2") as site:
            first, second = site.endpoints
            delayed = test_draining.DelayedConnect(first.address)
            entries = {
                one.name: catalog.Endpoint(
                    one.name, "engine", one.address, zone, 8
                )
                for one, zone in zip(site.endpoints, ("z1", "z2"), strict=True)
            }
            site.placement.set_endpoints(entries)
            responses: list[site_lib.Response] = []

            async def send() -> None:
                responses.append(await site_lib.call(site.address, "/once/a"))

            with mock.patch.object(sockets, "connect", delayed.connect):
                async with anyio.create_task_group() as tasks:
                    tasks.start_soon(send)
                    await delayed.is_connecting.wait()
                    started_at = time.monotonic()
                    site.placement.draining.set_evacuated_zones(Z1)
            took_s = time.monotonic() - started_at
            self.assertLess(took_s, test_draining.CONNECT_S / 2)
            self.assertEqual([one.status for one in responses], [200])
            self.assertEqual((len(first.runs), len(second.runs)), (0, 1))

    async def test_items_wait_while_all_zones_are_evacuated(self) -> None:
        async with test_batches.open_harness() as harness:
            draining = harness.placement.draining
            draining.set_evacuated_zones(Z1)
            await test_batches.submit(harness.store, 2)
            await anyio.sleep(0.4)
            self.assertEqual([one.runs for one in harness.endpoints], [[], []])
            reasons = harness.owner._wait_reasons_by_job
            self.assertEqual(reasons, {test_batches.JOB: "evacuated"})
            draining.set_evacuated_zones(frozenset())
            self.assertEqual(len(await harness.read_all()), 2)
            await harness.wait(lambda: not reasons)


class FleetTest(unittest.IsolatedAsyncioTestCase):
    async def wait_for_zones(self, nodes: Any, zones: frozenset[str]) -> None:
        with anyio.fail_after(EVACUATION_S):
            while any(
                one.discovery.config.evacuations.zones != zones for one in nodes
            ):
                await anyio.sleep(0.02)

    async def test_all_processes_learn_in_time(self) -> None:
        """Also without the watchers, and when the store is lost after."""
        backend = memory.create_memory_store()
        stores = [test_config_sync.make_store(backend) for _ in range(5)]
        zones = ("z1", "z1", "z1", "z1", "z2")
        nodes = test_config_sync.make_nodes(
            list(zip(zones, stores, strict=True))
        )
        await test_config_sync.write_config(backend, 1)
        async with test_config_sync.run_nodes(nodes):
            watching = sum(
                one.discovery.config.is_watcher() for one in nodes[:4]
            )
            self.assertEqual(watching, watchers.WATCHERS_PER_REGION)
            await write(backend, KEY, b"{}")
            await self.wait_for_zones(nodes, Z1)
            for one, store in zip(nodes[:4], stores[:4], strict=True):
                store.faults.is_watch_silent = one.discovery.config.is_watcher()
            await write(backend, KEY, None)
            await self.wait_for_zones(nodes, frozenset())
            await write(backend, KEY, b"{}")
            await self.wait_for_zones(nodes, Z1)
            for store in stores:
                store.faults.is_down = True
            await anyio.sleep(1.0)
            await self.wait_for_zones(nodes, Z1)

    async def test_a_restarted_process_sends_nothing_there(self) -> None:
        """Real processes; it may be ready only once it has read the orders."""
        with tempfile.TemporaryDirectory() as folder:
            async with environment_lib.run_environment(
                pathlib.Path(folder), 83
            ) as site:
                first = site.daemons_by_name["front-1"]
                await register(site, 1, "z2")
                await wait_until_ready(first)
                await write(site.store, KEY, b"{}")
                await anyio.sleep(EVACUATION_S)
                evacuated = [site.endpoints[0], *site.endpoints[2:]]
                runs = [len(one.runs) for one in evacuated]
                for is_lost in (False, True):
                    site.store.faults.is_down = is_lost
                    if not is_lost:
                        await first.kill()
                        first.start()
                        await wait_until_ready(first)
                    for number in range(20):
                        response = await site_lib.call(
                            first.callers_address,
                            "/plain/a",
                            request_id=f"{is_lost}-{number}",
                        )
                        self.assertEqual(response.status, 200)
                self.assertEqual([len(one.runs) for one in evacuated], runs)
