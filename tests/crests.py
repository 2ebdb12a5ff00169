"""Plays crests of online requests on the decisions of many gateways.

Endpoints admit in order of arrival; gateways tell each other what they have in
hand as late as they do in service. Time is played, nothing is sent.
"""

from collections.abc import Callable
import heapq
import itertools
import random
from typing import Final

import msgspec

from eelgrassgate import outcomes
from eelgrassgate.gateway import catalog
from eelgrassgate.gateway import placement as placement_lib
from eelgrassgate.gateway import refusals
from eelgrassgate.peering import failures
from eelgrassgate.peering import loads
from eelgrassgate.peering import reports

# As the grown sites have it: crests of 2.4 s in each 6 s.
CREST_S: Final = 2.4
LULL_S: Final = 3.6
LULL_PART: Final = 0.2
CRESTS: Final = 3
SLOTS: Final = 8
HOLD_S: Final = 0.86
OBJECTIVE_S: Final = 0.3
# From a free slot to the first byte.
FIRST_BYTE_S: Final = 0.06
# A caller honours a third of its 5 s, and comes back once.
MOST_RETURN_S: Final = 1.67
GATEWAYS: Final = 24
REGION_BY_ZONE: Final = {f"z{one}": f"r{one % 2}" for one in range(6)}
ZONES: Final = tuple(REGION_BY_ZONE)


class Outcome(msgspec.Struct):
    """What became of the callers of one play."""

    asked: int = 0
    in_time: int = 0
    in_time_later: int = 0
    late: int = 0
    lost: int = 0


class Play:
    """One play of crests at `rate_per_s` on some endpoints."""

    def __init__(self, seed: int, rate_per_s: float, endpoints: int) -> None:
        self.outcome = Outcome()
        self._random = random.Random(seed)
        self._rate_per_s = rate_per_s
        self._now = 0.0
        self._steps: list[tuple[float, int, Callable[[], None]]] = []
        self._numbers = itertools.count()
        self._endpoints = {
            f"e{one}": catalog.Endpoint(
                f"e{one}", "engine", f"e{one}:1", ZONES[one % 6], SLOTS
            )
            for one in range(endpoints)
        }
        self._busy = dict.fromkeys(self._endpoints, 0)
        self._queues: dict[str, list[Callable[[], None]]] = {
            name: [] for name in self._endpoints
        }
        self._tables = [loads.create_loads() for _ in range(GATEWAYS)]
        self._placements = [
            self._make_placement(number) for number in range(GATEWAYS)
        ]

    def _make_placement(self, number: int) -> placement_lib.Placement:
        placement = placement_lib.create_placement(
            self._tables[number],
            failures.create_failures(clock=self._get_now),
            ZONES[number % 6],
            REGION_BY_ZONE,
            self._get_now,
        )
        placement.set_endpoints(self._endpoints)
        return placement

    def _get_now(self) -> float:
        return self._now

    def _at(self, when: float, step: Callable[[], None]) -> None:
        heapq.heappush(self._steps, (when, next(self._numbers), step))

    def run(self) -> Outcome:
        for source, target in itertools.permutations(range(GATEWAYS), 2):
            self._at(
                self._random.random() * reports.OTHER_REGION_EVERY_S,
                self._make_report(source, target),
            )
        when = 0.0
        for _ in range(CRESTS):
            for length_s, part in ((LULL_S, LULL_PART), (CREST_S, 1.0)):
                until = when + length_s
                while when < until:
                    when += self._random.expovariate(self._rate_per_s * part)
                    self._at(when, self._arrive)
        while self._steps and self._now < when + 5.0:
            self._now, _, step = heapq.heappop(self._steps)
            step()
        return self.outcome

    def _make_report(self, source: int, target: int) -> Callable[[], None]:
        here, there = ZONES[source % 6], ZONES[target % 6]
        every_s, way_s = reports.OTHER_REGION_EVERY_S, 0.03
        if REGION_BY_ZONE[here] == REGION_BY_ZONE[there]:
            every_s, way_s = reports.SAME_REGION_EVERY_S, 0.0005
        if here == there:
            every_s, way_s = reports.SAME_ZONE_EVERY_S, 0.0002

        def tell() -> None:
            online, _ = self._tables[source].get_own()

            def take() -> None:
                self._tables[target].set_peer(f"g{source}", online, {})

            self._at(self._now + way_s, take)
            self._at(self._now + every_s, tell)

        return tell

    def _arrive(self, *, is_return: bool = False) -> None:
        gateway = self._random.randrange(GATEWAYS)
        self.outcome.asked += not is_return
        choice = self._placements[gateway].choose("engine")
        assert choice is not None
        return_s = refusals.decide(
            choice.wait_s, OBJECTIVE_S, self._random.random
        )
        if return_s is not None:
            if is_return:
                self.outcome.lost += 1
                return
            self._at(
                self._now + min(MOST_RETURN_S, return_s),
                lambda: self._arrive(is_return=True),
            )
            return
        self._send(gateway, choice.endpoint, is_return=is_return)

    def _send(
        self, gateway: int, endpoint: catalog.Endpoint, *, is_return: bool
    ) -> None:
        arrived = self._now
        held = self._tables[gateway].hold(
            endpoint.id, outcomes.RequestClass.ONLINE
        )
        held.__enter__()

        def begin() -> None:
            self._busy[endpoint.id] += 1
            if self._now - arrived + FIRST_BYTE_S > OBJECTIVE_S:
                self.outcome.late += 1
            elif is_return:
                self.outcome.in_time_later += 1
            else:
                self.outcome.in_time += 1
            self._at(self._now + HOLD_S * self._random.uniform(0.7, 1.3), end)

        def end() -> None:
            self._busy[endpoint.id] -= 1
            held.__exit__(None, None, None)
            self._placements[gateway].note_success(
                endpoint, self._now - arrived
            )
            if self._queues[endpoint.id]:
                self._queues[endpoint.id].pop(0)()

        if self._busy[endpoint.id] < SLOTS:
            begin()
        else:
            self._queues[endpoint.id].append(begin)
