"""Simulation of entries whose shares come from memberships in one store.

It runs in virtual time.
"""

from bench import limiter_fleet
from bench import windows
from eelgrassgate.limits import lending
from eelgrassgate.limits import limiter
from eelgrassgate.membership import members
from eelgrassgate.store import faulty
from eelgrassgate.store import memory

TIME_STEP_S = 0.5
SYNC_INTERVAL_S = 2.0
STAGGER_S = 0.7


class Site:
    """A simulated fleet whose members agree on shares through a store.

    Attributes:
        fleet: The limiters and their links.
        store_faults: Store faults by entry index.
        memberships: Memberships by entry index.
    """

    def __init__(
        self,
        regions: tuple[str, ...],
        rates: dict[str, tuple[float, float]],
        share_ttl_s: float,
        seed: int = 1,
        create: limiter_fleet.CreateLimiter = limiter.create_limiter,
    ) -> None:
        """Start one entry in each of `regions`."""
        self.fleet = limiter_fleet.Fleet(
            regions, rates, seed, share=lending.Share(), create=create
        )
        self._ttl_s = share_ttl_s
        self._store = memory.create_memory_store(lambda: self.fleet.now)
        self.store_faults = [faulty.Faults() for _ in regions]
        self._next_sync_at = [
            index * STAGGER_S for index, _ in enumerate(regions)
        ]
        self.memberships = [
            self._create(index, f"10.0.0.{index}:1")
            for index, _ in enumerate(regions)
        ]

    async def run_until(self, end: float) -> None:
        """Advance virtual time to `end`."""
        while self.fleet.now < end:
            for index, node in enumerate(self.fleet.nodes):
                if not node.is_dead and not node.is_paused:
                    await self._update_membership(index)
            self.fleet.run_until(self.fleet.now + TIME_STEP_S)

    def restart(self, index: int, address: str) -> None:
        """Restart an entry under its name, at `address`."""
        node = self.fleet.nodes[index]
        self.fleet.kill(node)
        self.fleet.restart(node)
        node.limiter.set_share(lending.Share(), 0, frozenset())
        self.memberships[index] = self._create(index, address)

    def set_store_down(self, is_down: bool, index: int | None = None) -> None:
        """Stop or start the store, for all entries or only one."""
        for number, faults in enumerate(self.store_faults):
            if index in (None, number):
                faults.is_down = is_down

    def list_active(self) -> list[str]:
        """Return the names of the active members, sorted."""
        active = self.memberships[0].get_roster().list_active()
        return sorted(member.name for member in active)

    def find_excess(self) -> dict[str, float]:
        """Return the tokens over the limit by bucket, for buckets with any."""
        excess_by_bucket = {
            bucket: windows.find_excess(self.fleet.admitted, bucket, *rate)
            for bucket, rate in self.fleet.rates_by_bucket.items()
        }
        return {b: excess for b, excess in excess_by_bucket.items() if excess}

    def compute_throughput(self, start: float, end: float) -> float:
        """Return the used fraction of the sum of all rates."""
        count = sum(start <= a.at < end for a in self.fleet.admitted)
        rates = sum(rate for rate, _ in self.fleet.rates_by_bucket.values())
        return count / (end - start) / rates

    def _create(self, index: int, address: str) -> members.Membership:
        node = self.fleet.nodes[index]
        store = faulty.create_faulty_store(
            self._store, self.store_faults[index], lambda: self.fleet.now
        )
        created = members.create_membership(
            node.hello, address, node.limiter, store, {}, self._ttl_s
        )
        node.listeners.append(created)
        for link in node.links_by_name.values():
            created.connect(link)
        return created

    async def _update_membership(self, index: int) -> None:
        self.memberships[index].refresh()
        if self._next_sync_at[index] <= self.fleet.now:
            self._next_sync_at[index] = self.fleet.now + SYNC_INTERVAL_S
            await self.memberships[index].sync()
