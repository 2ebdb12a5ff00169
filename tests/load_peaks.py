"""Simulates load peaks of online requests on many gateways.

Endpoints start requests in order of arrival, and gateways exchange load reports
with realistic delays. Time is simulated and no network is used.
"""

from collections.abc import Callable
import heapq
import itertools
import random
from typing import Final

import msgspec

from eelgrassgate import outcomes
from eelgrassgate.gateway import catalog
from eelgrassgate.gateway import draining
from eelgrassgate.gateway import load_shedding
from eelgrassgate.gateway import placement as placement_lib
from eelgrassgate.peering import failures
from eelgrassgate.peering import loads
from eelgrassgate.peering import reports
from tests import site as site_lib

# The load of large sites: peaks of 2.4 s every 6 s.
PEAK_S: Final = 2.4
OFF_PEAK_S: Final = 3.6
OFF_PEAK_FRACTION: Final = 0.2
PEAK_COUNT: Final = 3
SLOTS: Final = 8
REQUEST_DURATION_S: Final = 0.86
OBJECTIVE_S: Final = 0.3
# Time from the start of a request to its first byte.
FIRST_BYTE_DELAY_S: Final = 0.06
# Callers wait at most a third of their timeout and retry once.
TIMEOUT_S: Final = 5.0
MAX_RETRY_DELAY_S: Final = 1.67
GATEWAY_COUNT: Final = 24
# Events of a response, and how many arrive between two samples of its pace.
EVENT_INTERVAL_S: Final = 0.04
EVENTS_PER_SAMPLE: Final = 4
REGION_BY_ZONE: Final = {f"z{one}": f"r{one % 2}" for one in range(6)}
ZONES: Final = tuple(REGION_BY_ZONE)


class Outcome(msgspec.Struct):
    """Counts of requests by outcome.

    Attributes:
        requests: All requests, without retries.
        on_time: Requests that met the objective at the first try.
        on_time_after_retry: Requests that met the objective when retried.
        late: Requests that were accepted and missed the objective.
        rejected: Requests that were refused twice.
    """

    requests: int = 0
    on_time: int = 0
    on_time_after_retry: int = 0
    late: int = 0
    rejected: int = 0


# Returns by which factor an endpoint is slower than a typical one, from its
# number, the time and the part of its slots in use.
Slowness = Callable[[int, float, float], float]


def be_typical(endpoint: int, now: float, utilization: float) -> float:
    """All endpoints have the same speed."""
    return 1.0


def be_mixed(endpoint: int, now: float, utilization: float) -> float:
    """Endpoints have the speeds that were observed: 0.6, 1 and 1.6."""
    return (1.0 / 0.6, 1.0, 1.0 / 1.6)[endpoint // 6 % 3]


def be_slow_in_turn(endpoint: int, now: float, utilization: float) -> float:
    """A sixth of the endpoints is five times slower for 6 s, in turn."""
    is_slow = int(now / 6.0) % 6 == (endpoint + endpoint // 6) % 6
    return 5.0 if is_slow else be_mixed(endpoint, now, utilization)


def be_slow_when_half_full(
    endpoint: int, now: float, utilization: float
) -> float:
    """A third of the endpoints slows down long before it is full."""
    if endpoint // 6 % 3:
        return 1.0
    return 1.0 + 8.0 * max(0.0, utilization - 0.5)


class Simulation:
    """One simulation of peaks at `rate_per_s` on a number of endpoints."""

    def __init__(
        self,
        seed: int,
        rate_per_s: float,
        endpoints: int,
        slowness: Slowness = be_typical,
        *,
        is_learning: bool = True,
    ) -> None:
        self.outcome = Outcome()
        self._slowness = slowness
        self._is_learning = is_learning
        self.sent_by_endpoint: dict[str, int] = {}
        self._random = random.Random(seed)
        self._rate_per_s = rate_per_s
        self._now = 0.0
        self._events: list[tuple[float, int, Callable[[], None]]] = []
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
        self._return_places = [
            load_shedding.create_return_places(self._random.random)
            for _ in range(GATEWAY_COUNT)
        ]
        self._tables = [loads.create_loads() for _ in range(GATEWAY_COUNT)]
        self._placements = [
            self._make_placement(number) for number in range(GATEWAY_COUNT)
        ]

    def _make_placement(self, number: int) -> placement_lib.Placement:
        placement = placement_lib.create_placement(
            self._tables[number],
            failures.create_failures(clock=self._get_now),
            site_lib.make_endpoint_limits(clock=self._get_now),
            draining.create_draining_endpoints(self._get_now),
            ZONES[number % 6],
            REGION_BY_ZONE,
            self._get_now,
        )
        placement.set_endpoints(self._endpoints)
        return placement

    def _get_now(self) -> float:
        return self._now

    def _schedule(self, when: float, event: Callable[[], None]) -> None:
        heapq.heappush(self._events, (when, next(self._numbers), event))

    def run(self) -> Outcome:
        for source, target in itertools.permutations(range(GATEWAY_COUNT), 2):
            self._schedule(
                self._random.random() * reports.OTHER_REGION_INTERVAL_S,
                self._make_sender(source, target),
            )
        when = 0.0
        for _ in range(PEAK_COUNT):
            for length_s, load_fraction in (
                (OFF_PEAK_S, OFF_PEAK_FRACTION),
                (PEAK_S, 1.0),
            ):
                until = when + length_s
                while when < until:
                    when += self._random.expovariate(
                        self._rate_per_s * load_fraction
                    )
                    self._schedule(when, self._handle_arrival)
        while self._events and self._now < when + 5.0:
            self._now, _, event = heapq.heappop(self._events)
            event()
        return self.outcome

    def _make_sender(self, source: int, target: int) -> Callable[[], None]:
        here, there = ZONES[source % 6], ZONES[target % 6]
        interval_s, latency_s = reports.OTHER_REGION_INTERVAL_S, 0.03
        if REGION_BY_ZONE[here] == REGION_BY_ZONE[there]:
            interval_s, latency_s = reports.SAME_REGION_INTERVAL_S, 0.0005
        if here == there:
            interval_s, latency_s = reports.SAME_ZONE_INTERVAL_S, 0.0002

        def send_report() -> None:
            online, _ = self._tables[source].get_own_counts()
            capacity = self._placements[source].capacity.build_report()

            def receive_report() -> None:
                self._tables[target].set_peer_counts(f"g{source}", online, {})
                self._placements[target].capacity.set_peer_report(
                    f"g{source}", capacity
                )

            self._schedule(self._now + latency_s, receive_report)
            self._schedule(self._now + interval_s, send_report)

        return send_report

    def _handle_arrival(self, *, is_retry: bool = False) -> None:
        gateway = self._random.randrange(GATEWAY_COUNT)
        self.outcome.requests += not is_retry
        choice = self._placements[gateway].choose_endpoint("engine")
        assert choice is not None
        retry_after_s = load_shedding.compute_retry_delay(
            choice.wait_s,
            choice.limit_wait_s,
            OBJECTIVE_S,
            TIMEOUT_S,
            self._return_places[gateway],
        )
        if retry_after_s is not None:
            if is_retry:
                self.outcome.rejected += 1
                return
            self._schedule(
                self._now + min(MAX_RETRY_DELAY_S, retry_after_s),
                lambda: self._handle_arrival(is_retry=True),
            )
            return
        self._send(gateway, choice.endpoint, is_retry=is_retry)

    def _send(
        self, gateway: int, endpoint: catalog.Endpoint, *, is_retry: bool
    ) -> None:
        arrived = self._now
        tracking = self._tables[gateway].track(
            endpoint.id, outcomes.RequestClass.ONLINE
        )
        tracking.__enter__()
        placement = self._placements[gateway]
        observer = placement.observe_response(endpoint, is_stream=True)
        sent = self.sent_by_endpoint
        sent[endpoint.id] = sent.get(endpoint.id, 0) + 1

        def begin() -> None:
            self._busy[endpoint.id] += 1
            factor = self._slowness(
                int(endpoint.id[1:]),
                self._now,
                self._busy[endpoint.id] / SLOTS,
            )
            first_s = factor * FIRST_BYTE_DELAY_S
            if self._now - arrived + first_s > OBJECTIVE_S:
                self.outcome.late += 1
            elif is_retry:
                self.outcome.on_time_after_retry += 1
            else:
                self.outcome.on_time += 1
            duration_s = REQUEST_DURATION_S * self._random.uniform(0.7, 1.3)
            ends_at = self._now + factor * duration_s
            self._schedule(ends_at, end)
            if not self._is_learning:
                return
            # Prompts differ, and so does the time to the first event.
            first_s *= self._random.uniform(0.6, 1.4)
            self._schedule(
                self._now + first_s, lambda: observer.record_events(1)
            )
            sample_s = factor * EVENT_INTERVAL_S * EVENTS_PER_SAMPLE
            when = self._now + first_s + sample_s
            while when < ends_at:
                self._schedule(
                    when, lambda: observer.record_events(EVENTS_PER_SAMPLE)
                )
                when += sample_s

        def end() -> None:
            self._busy[endpoint.id] -= 1
            tracking.__exit__(None, None, None)
            self._placements[gateway].record_success(
                endpoint, self._now - arrived
            )
            if self._queues[endpoint.id]:
                self._queues[endpoint.id].pop(0)()

        if self._busy[endpoint.id] < SLOTS:
            begin()
        else:
            self._queues[endpoint.id].append(begin)
