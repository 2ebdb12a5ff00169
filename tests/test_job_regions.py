"""Jobs stay within the regions that their route and workspace allow."""

from collections.abc import Callable
from typing import Any
from typing import Final
import unittest

import anyio
import msgspec

from eelgrassgate.batches import job_regions
from eelgrassgate.batches import records
from eelgrassgate.batches import results
from eelgrassgate.batches import submission
from eelgrassgate.gateway import catalog
from eelgrassgate.peering import registry
from eelgrassgate.store import base
from eelgrassgate.store import mirror
from eelgrassgate.store import relay_regions
from tests import site as site_lib
from tests import test_batches
from tests import test_regions

R1: Final = test_regions.R1
R2: Final = test_regions.R2
QUIET_S: Final = 0.4
CLAIM_KEY: Final = f"{records.CLAIMS}{test_batches.JOB}"


def make_job(region: str, config_version: int = 1) -> records.Job:
    return records.Job(
        test_batches.JOB,
        site_lib.WORKSPACE,
        site_lib.HOST,
        "/batch/x",
        1,
        1,
        0.0,
        0.0,
        config_version,
        region,
    )


def make_member(name: str, region: str) -> registry.Member:
    return registry.Member(
        name,
        registry.Role.BATCH,
        "z1",
        region,
        "127.0.0.1:1",
        f"127.0.0.1:{len(name)}",
        1,
    )


async def submit(store: base.Store, region: str) -> None:
    await submission.submit(
        store,
        test_batches.make_call(),
        test_batches.ROUTE,
        site_lib.WORKSPACE,
        test_batches.split_items(test_batches.make_items(2)),
        1,
        region,
    )


async def is_claimed(harness: test_batches.Harness) -> bool:
    return (await harness.store.read(CLAIM_KEY)).unwrap() is not None


class DecisionTest(unittest.TestCase):
    def test_who_may_hold_a_job(self) -> None:
        """The accepting region may; without a configuration no other may."""
        for allowed, own, accepted, version, expected in (
            (None, "r1", "r2", 1, True),
            (R1, "r1", "r2", 1, True),
            (R1, "r2", "r2", 1, True),
            (R1, "r2", "r1", 1, False),
            (R1, "r2", "", 1, False),
            (frozenset(), "r1", "r2", 1, False),
            (None, "r1", "r2", 9, False),
            (None, "r2", "r2", 9, True),
        ):
            with self.subTest(allowed=allowed, own=own, accepted=accepted):
                found = test_regions.restrict_routes(allowed)
                regions = job_regions.create_job_regions(
                    lambda found=found: found,  # type: ignore[misc]
                    own,
                )
                self.assertIs(
                    regions.may_hold(make_job(accepted, version)), expected
                )

    def test_old_records_name_no_region(self) -> None:
        value = msgspec.json.decode(msgspec.json.encode(make_job("r1")))
        del value["region"]
        found = records.decode_job(msgspec.json.encode(value))
        self.assertEqual(found.region, "")


class OwnerTest(unittest.IsolatedAsyncioTestCase):
    """The process is in `r1`; endpoint `e` is in `r1` and `f` in `r2`."""

    def spread(self, harness: test_batches.Harness) -> None:
        harness.placement.set_endpoints(
            {
                one.name: catalog.Endpoint(
                    one.name, "engine", one.address, zone, 8
                )
                for one, zone in zip(
                    harness.endpoints, ("z1", "z3"), strict=True
                )
            }
        )

    async def test_items_run_in_allowed_regions(self) -> None:
        for allowed, unused in ((R1, 1), (R2, 0)):
            with self.subTest(allowed=allowed):
                async with test_batches.open_harness() as harness:
                    self.spread(harness)
                    harness.catalog = test_regions.restrict_routes(allowed)
                    await submit(harness.store, "r1")
                    found = await harness.read_all()
                    self.assertEqual(len(found), 2)
                    self.assertEqual(harness.endpoints[unused].runs, [])

    async def test_items_wait_for_an_allowed_endpoint(self) -> None:
        async with test_batches.open_harness() as harness:
            harness.catalog = test_regions.restrict_routes(R2)
            await submit(harness.store, "r1")
            await anyio.sleep(QUIET_S)
            self.assertEqual([one.runs for one in harness.endpoints], [[], []])
            self.spread(harness)
            self.assertEqual(len(await harness.read_all()), 2)

    async def test_a_process_elsewhere_does_not_claim(self) -> None:
        async with test_batches.open_harness() as harness:
            self.spread(harness)
            harness.catalog = test_regions.restrict_routes(R2)
            await submit(harness.store, "r2")
            await anyio.sleep(QUIET_S)
            self.assertFalse(await is_claimed(harness))
            self.assertEqual(harness.endpoints[1].runs, [])

    async def test_claims_do_not_wait_for_processes_elsewhere(self) -> None:
        """A process of lower rank would wait 1.7 s for each before it."""
        async with test_batches.open_harness() as harness:
            for number in range(20):
                member = make_member(f"b{number}", "r2")
                harness.directory.members_by_name[member.name] = member
            harness.catalog = test_regions.restrict_routes(R1)
            await submit(harness.store, "r1")
            with anyio.fail_after(1.5):
                while not await is_claimed(harness):
                    await anyio.sleep(0.02)

    async def test_a_change_makes_the_owner_give_the_job_up(self) -> None:
        async with test_batches.open_harness() as harness:
            for one in harness.endpoints:
                one.behavior.is_unresponsive = True
            await submit(harness.store, "r2")
            with anyio.fail_after(test_batches.TIMEOUT_S):
                while not await is_claimed(harness):
                    await anyio.sleep(0.02)
                harness.catalog = test_regions.restrict_routes(R2)
                while await is_claimed(harness):
                    await anyio.sleep(0.02)
            await anyio.sleep(QUIET_S)
            self.assertFalse(await is_claimed(harness))
            self.assertEqual(harness.owner.count_running(), 0)


class ReaderTest(unittest.IsolatedAsyncioTestCase):
    def make_reader(
        self,
        store: base.Store,
        read_catalog: Callable[[], catalog.Catalog],
        own_region: str,
    ) -> Any:
        directory = registry.create_directory(
            mirror.create_mirror(store, registry.MEMBERS_PREFIX)
        )
        for name, region in (("a", "r1"), ("bb", "r2")):
            directory.members_by_name[name] = make_member(name, region)
        return results.create_reader(
            store,
            directory,
            lambda name: True,
            site_lib.make_budget(),
            job_regions.create_job_regions(read_catalog, own_region),
        )

    def test_only_allowed_processes_are_asked(self) -> None:
        store = test_batches.make_store()
        for allowed, accepted, expected in (
            (None, "r1", {"a", "bb"}),
            (R1, "r1", {"a"}),
            (R1, "r2", {"a", "bb"}),
            (R2, "", {"bb"}),
        ):
            with self.subTest(allowed=allowed, accepted=accepted):
                found = test_regions.restrict_routes(allowed)
                reader = self.make_reader(
                    store,
                    lambda found=found: found,  # type: ignore[misc]
                    "r1",
                )
                job = make_job(accepted)
                owners = reader._rank_owners(job.id, job)
                self.assertEqual({one.name for one in owners}, expected)

    async def test_only_allowed_processes_cache(self) -> None:
        """A gateway elsewhere passes bodies on without keeping them."""
        for own, is_kept in (("r1", True), ("r2", False)):
            with self.subTest(own):
                store = test_batches.make_store()
                await submit(store, "r1")
                reader = self.make_reader(
                    store, lambda: test_regions.restrict_routes(R1), own
                )
                reader._directory.members_by_name.clear()
                job = await reader.find_job(
                    test_batches.JOB, site_lib.WORKSPACE
                )
                self.assertEqual(await reader.find_item(job, "i0"), b"q")
                self.assertEqual(bool(reader._values_by_key), is_kept)

    async def test_a_change_drops_what_may_not_be_kept(self) -> None:
        store = test_batches.make_store()
        await submit(store, "r1")
        current = test_regions.restrict_routes(None)
        reader = self.make_reader(store, lambda: current, "r2")
        reader._directory.members_by_name.clear()
        job = await reader.find_job(test_batches.JOB, site_lib.WORKSPACE)
        await reader.find_item(job, "i0")
        reader._results_by_job[job.id] = []
        reader.drop_disallowed()
        self.assertTrue(
            reader._values_by_key and job.id in reader._results_by_job
        )
        current = test_regions.restrict_routes(R1)
        reader.drop_disallowed()
        self.assertFalse(reader._values_by_key or reader._results_by_job)


class RelayTest(unittest.IsolatedAsyncioTestCase):
    async def test_store_calls_with_bodies_are_restricted(self) -> None:
        """A relay holds the bodies that pass through it."""
        seen: list[tuple[str, frozenset[str] | None]] = []

        async def record_read(key: str) -> Any:
            seen.append((key.rpartition("/")[0], relay_regions.get()))
            return await read(key)

        async def record_commit(transaction: Any) -> Any:
            name = transaction.changes[0].key.rpartition("/")[0]
            seen.append((name, relay_regions.get()))
            return await commit(transaction)

        async with test_batches.open_harness() as harness:
            harness.catalog = test_regions.restrict_routes(R1)
            store: Any = harness.store
            read, commit = store.read, store.commit
            store.read, store.commit = record_read, record_commit
            await submit(store, "r2")
            await harness.wait(
                lambda: sum("heads" in name for name, _ in seen) > 1
            )
        expected = frozenset({"r1", "r2"})
        owned = [
            regions
            for name, regions in seen
            if "/items/" in name or "/heads" in name
        ][1:]
        self.assertTrue(owned)
        self.assertEqual(set(owned), {expected})
        self.assertIsNone(relay_regions.get())
