import itertools
import unittest

import anyio

from bench import replicas
from eelgrassgate.config import apply
from eelgrassgate.config import fleet as fleet_lib
from eelgrassgate.config import reports
from eelgrassgate.config import store_sync
from eelgrassgate.keys import grants
from eelgrassgate.keys import rollout
from eelgrassgate.keys import staleness
from eelgrassgate.standins import virtual_time

COUNT = 12
ZONES = "abc"
IN_FORCE_S = 3.0
RATE = fleet_lib.Rate(per_second=1, burst=1)
FLEET = fleet_lib.Fleet(workspaces={"desk": fleet_lib.Workspace(rate=RATE)})
DIGEST = "a" * 64
EDITS = itertools.count()
State = staleness.State


async def set_up(mesh: replicas.Mesh) -> None:
    """Apply a configuration with one key; wait until all nodes have it."""
    (await apply.apply(mesh.memory, FLEET, 0, f"e{next(EDITS)}")).unwrap()
    await mesh.wait_for(1)
    await grant(mesh, "k", DIGEST)
    await mesh.wait_for(2)
    await anyio.sleep(5)


async def grant(mesh: replicas.Mesh, name: str, digest: str) -> None:
    done = await grants.grant(
        mesh.memory, name, "desk", digest, f"e{next(EDITS)}"
    )
    done.unwrap()


async def withdraw(mesh: replicas.Mesh) -> int:
    done = await grants.withdraw(mesh.memory, "k", f"e{next(EDITS)}")
    return done.unwrap().revision


def list_states(mesh: replicas.Mesh, zones: str = ZONES) -> set[State]:
    return {
        node.currency.decide().state
        for node in mesh.nodes
        if node.place.zone in zones
    }


class PropagationTest(unittest.TestCase):
    def run_mesh(self, name: str) -> None:
        async def run() -> None:
            mesh = replicas.Mesh(COUNT, ZONES, remote_links=COUNT)
            async with mesh.run():
                await set_up(mesh)
                await getattr(self, name)(mesh)

        virtual_time.run(run)

    def test_store_calls_and_delay_in_normal_operation(self) -> None:
        self.run_mesh("check_ordinary")

    async def check_ordinary(self, mesh: replicas.Mesh) -> None:
        self.assertEqual(mesh.count("watches_open"), 9)
        reads, writes = mesh.count("reads"), mesh.count("writes")
        await anyio.sleep(100)
        # 9 watchers read every 1.5 to 2 s, 3 followers every 15 to 30 s.
        self.assertLessEqual(mesh.count("reads") - reads, 100 * (6 + 0.2))
        self.assertEqual(mesh.count("writes"), writes)
        self.assertEqual(list_states(mesh), {State.CONFIRMED})
        for n in range(10):
            await grant(mesh, f"k{n}", f"{n}" * 64)
            self.assertLess(await mesh.wait_for(3 + n), IN_FORCE_S)
        await anyio.sleep(3)
        self.assertLessEqual(mesh.count("writes") - writes, 10 * 2 * 3)

    def test_a_key_withdrawn_during_a_region_partition(self) -> None:
        self.run_mesh("check_split")

    async def check_split(self, mesh: replicas.Mesh) -> None:
        mesh.partition("c")
        mesh.set_store_down("c", True)
        revision = await withdraw(mesh)
        committed_at = virtual_time.get_now()
        await anyio.sleep(IN_FORCE_S)
        for node in mesh.nodes:
            is_remote = node.place.zone == "c"
            self.assertEqual(node.replica.keys.has_digest(DIGEST), is_remote)
        found = (await reports.read_all(mesh.memory)).unwrap()
        limits = FLEET.limits
        status = rollout.compute_rollout(found, revision, limits, committed_at)
        remote = {n.place.instance for n in mesh.iterate_zone("c")}
        self.assertEqual(set(status.pending), remote)
        self.assertLess(
            status.stale_until - committed_at, limits.unconfirmed_serving_s + 2
        )
        self.assertEqual(list_states(mesh, "ab"), {State.CONFIRMED})
        await anyio.sleep(status.stale_until - virtual_time.get_now())
        self.assertEqual(list_states(mesh, "c"), {State.EXPIRED})
        mesh.heal()
        mesh.set_store_down("c", False)
        self.assertLess(await mesh.wait_for(revision), IN_FORCE_S + 8)
        await anyio.sleep(1)
        self.assertEqual(list_states(mesh), {State.CONFIRMED})

    def test_a_long_outage_stops_no_instance_and_ends_without_a_burst(
        self,
    ) -> None:
        self.run_mesh("check_outage")

    async def check_outage(self, mesh: replicas.Mesh) -> None:
        mesh.set_store_down(ZONES, True)
        asked = mesh.count("reads") + mesh.count("watches_opened")
        for _ in range(20):
            await anyio.sleep(5)
            self.assertNotIn(State.EXPIRED, list_states(mesh))
        calls = mesh.count("reads") + mesh.count("watches_opened") - asked
        self.assertLess(calls / 100, COUNT / 2)
        mesh.set_store_down(ZONES, False)
        asked = mesh.count("reads") + mesh.count("watches_opened")
        await anyio.sleep(10)
        calls = mesh.count("reads") + mesh.count("watches_opened") - asked
        self.assertLess(calls, 5 * COUNT)
        self.assertEqual(list_states(mesh), {State.CONFIRMED})
        self.assertEqual(mesh.count("watches_open"), 9)

    def test_a_silent_watch_causes_no_delay(self) -> None:
        self.run_mesh("check_silent")

    async def check_silent(self, mesh: replicas.Mesh) -> None:
        for store in mesh.stores_by_zone.values():
            store.faults.is_watch_silent = True
        revision = await withdraw(mesh)
        self.assertLess(await mesh.wait_for(revision), 4.0)

    def test_peers_update_a_zone_without_store_access(self) -> None:
        self.run_mesh("check_one_zone")

    async def check_one_zone(self, mesh: replicas.Mesh) -> None:
        mesh.set_store_down("c", True)
        await anyio.sleep(60)
        revision = await withdraw(mesh)
        self.assertLess(await mesh.wait_for(revision), IN_FORCE_S)
        self.assertEqual(list_states(mesh), {State.CONFIRMED})

    def test_a_new_instance_serves_only_after_confirmation(self) -> None:
        self.run_mesh("check_new")

    async def check_new(self, mesh: replicas.Mesh) -> None:
        old = mesh.nodes[0].replica.state.build_push(0)
        mesh.set_store_down("a", True)
        await withdraw(mesh)
        node = replicas.Node("a99", "a", mesh.stores_by_zone["a"], mesh)
        self.assertTrue(node.replica.state.apply_push(old))
        self.assertEqual(node.currency.decide().state, State.EXPIRED)
        with anyio.move_on_after(store_sync.MAX_BACKOFF_S):
            await node.replica.run()
        self.assertEqual(node.currency.decide().state, State.EXPIRED)
        mesh.set_store_down("a", False)
        with anyio.move_on_after(store_sync.MAX_BACKOFF_S):
            await node.replica.run()
        self.assertEqual(node.currency.decide().state, State.CONFIRMED)
        self.assertFalse(node.replica.keys.has_digest(DIGEST))
