"""Tests what is learned of the speed of endpoints, with a simulated clock."""

import random
from typing import Final
import unittest

import msgspec

from eelgrassgate.capacity import estimator as estimator_lib
from eelgrassgate.capacity import observer
from eelgrassgate.peering import reports
from tests import load_peaks
from tests import test_peering
from tests import test_quarantine

FIRST_S: Final = 0.04
INTERVAL_S: Final = 0.03
ENDPOINTS: Final = tuple(f"e{one}" for one in range(6))


class Fleet:
    """Processes that observe all endpoints and exchange reports."""

    def __init__(self, count: int) -> None:
        self.clock = test_quarantine.Clock()
        self.random = random.Random(1)
        self.factors = dict.fromkeys(ENDPOINTS, 1.0)
        self.processes = [self.add_process() for _ in range(count)]

    def add_process(self) -> estimator_lib.Estimator:
        one = estimator_lib.create_estimator(self.clock)
        one.set_endpoints(dict.fromkeys(ENDPOINTS, ("engine", 1)))
        return one

    def exchange_reports(self) -> None:
        built = [one.build_report() for one in self.processes]
        for number, report in enumerate(built):
            data = msgspec.msgpack.encode(report)
            report = msgspec.msgpack.decode(data, type=estimator_lib.Report)
            for other, process in enumerate(self.processes):
                if other != number:
                    process.set_peer_report(f"p{number}", report)

    def run(
        self, seconds: float, used: tuple[str, ...] = ENDPOINTS, level: int = 0
    ) -> None:
        """Each used endpoint gets four requests a second."""
        for _ in range(round(seconds / 0.25)):
            self.clock.now += 0.25
            for endpoint in used:
                process = self.random.choice(self.processes)
                factor = self.factors[endpoint] * self.random.uniform(0.7, 1.3)
                process.observe_first_event(
                    endpoint, FIRST_S * factor, level, is_stream=True
                )
                process.observe_pace(
                    endpoint, INTERVAL_S * factor, is_stream=True
                )
            self.exchange_reports()

    def get(self, endpoint: str, process: int = 0) -> estimator_lib.Estimate:
        one = self.processes[process]
        one.refresh()
        return one.get_estimate(endpoint, "engine")


class EstimatorTest(unittest.TestCase):
    def test_all_processes_learn_the_speed_of_endpoints(self) -> None:
        """Each process sees an endpoint once in five seconds."""
        fleet = Fleet(20)
        fleet.factors |= {"e1": 1.67, "e2": 0.6}
        fleet.run(20.0)
        for process in range(20):
            slow, fast = fleet.get("e1", process), fleet.get("e2", process)
            self.assertAlmostEqual(slow.pace, 1.67, delta=0.35)
            self.assertAlmostEqual(fast.pace, 0.6, delta=0.15)
            self.assertGreater(slow.difference_s_by_level[0], 0.01)
            self.assertLess(fast.difference_s_by_level[0], -0.005)

    def test_equal_endpoints_are_not_distinguished(self) -> None:
        fleet = Fleet(20)
        found = 0
        for _ in range(30):
            fleet.run(1.0)
            found += sum(not fleet.get(one).is_typical for one in ENDPOINTS)
        self.assertLessEqual(found, 0.1 * 30 * len(ENDPOINTS))

    def test_slow_period_is_seen_and_forgotten_within_seconds(self) -> None:
        fleet = Fleet(20)
        fleet.run(10.0)
        fleet.factors["e1"] = 5.0
        fleet.run(3.0)
        self.assertGreater(fleet.get("e1").pace, 2.0)
        fleet.run(3.0)
        # Nobody uses it any more, so that only time tells.
        fleet.run(6.0, used=tuple(one for one in ENDPOINTS if one != "e1"))
        self.assertLess(fleet.get("e1").pace, 1.8)
        fleet.factors["e1"] = 1.0
        fleet.run(3.0)
        self.assertLess(fleet.get("e1").pace, 1.4)

    def test_new_process_takes_what_others_learned(self) -> None:
        fleet = Fleet(5)
        fleet.factors["e1"] = 3.0
        fleet.run(10.0)
        fleet.processes.append(fleet.add_process())
        fleet.exchange_reports()
        fleet.clock.now += 0.3
        self.assertGreater(fleet.get("e1", 5).pace, 2.0)
        self.assertGreater(fleet.get("e1", 5).first_s_by_level[0], 2 * FIRST_S)

    def test_process_without_reports_uses_its_own_observations(self) -> None:
        fleet = Fleet(1)
        fleet.factors["e1"] = 3.0
        fleet.run(10.0)
        self.assertGreater(fleet.get("e1").pace, 2.0)
        self.assertEqual(fleet.get("e0").pace, 1.0)
        self.assertEqual(fleet.get("unknown").pace, 1.0)

    def test_restarted_endpoint_is_typical_despite_older_reports(self) -> None:
        fleet = Fleet(3)
        fleet.factors["e1"] = 3.0
        fleet.run(10.0)
        starts = dict.fromkeys(ENDPOINTS, ("engine", 1)) | {"e1": ("engine", 2)}
        fleet.processes[0].set_endpoints(starts)
        fleet.exchange_reports()
        fleet.clock.now += 0.3
        self.assertTrue(fleet.get("e1").is_typical)
        self.assertFalse(fleet.get("e1", 1).is_typical)

    def test_capacity_of_an_endpoint_that_slows_down_early(self) -> None:
        fleet = Fleet(5)
        for _ in range(40):
            fleet.factors["e1"] = 1.0
            fleet.run(0.25)
            fleet.factors["e1"] = 6.0
            fleet.run(0.25, level=estimator_lib.LEVELS - 1)
        self.assertLess(fleet.get("e1").count_capacity(9), 9)
        self.assertGreater(fleet.get("e1").count_capacity(9), 2)
        self.assertEqual(fleet.get("e0").count_capacity(9), 9)

    def test_reports_hold_only_endpoints_that_differ(self) -> None:
        fleet = Fleet(20)
        fleet.factors["e1"] = 3.0
        fleet.run(10.0)
        sizes = [
            len(one.build_report().ratios_by_endpoint)
            for one in fleet.processes
        ]
        self.assertLess(sum(sizes), 0.5 * 20 * len(ENDPOINTS))

    def test_absurd_reports_are_bounded(self) -> None:
        """A peer's figures move an estimate by a bounded factor only."""
        fleet = Fleet(2)
        fleet.run(5.0)
        many, large = 2**16, 2**24
        extreme = (many, large, many, large, many, large, many, large)
        report = estimator_lib.Report(
            ratios_by_endpoint={"e1": extreme, "gone": extreme}
        )
        fleet.processes[0].set_peer_report("p1", report)
        fleet.clock.now += 0.3
        self.assertLess(fleet.get("e1").pace, 25.0)
        decoder = msgspec.msgpack.Decoder(reports.Report)
        for values in ((-1, 0) * 4, (2**40, 0) * 4, (1, 2**40) * 4, (1, 1)):
            sent = test_peering.make_report("p")
            data = msgspec.to_builtins(sent)
            data[-1] = [{}, {"e1": list(values)}]
            with self.assertRaises(msgspec.ValidationError):
                decoder.decode(msgspec.msgpack.encode(data))

    def test_report_of_an_older_version_has_no_capacity(self) -> None:
        data = msgspec.to_builtins(test_peering.make_report("p"))[:-1]
        found = msgspec.msgpack.decode(
            msgspec.msgpack.encode(data), type=reports.Report
        )
        self.assertEqual(found.capacity, estimator_lib.Report())


class ObserverTest(unittest.TestCase):
    def test_time_that_a_caller_takes_to_read_does_not_count(self) -> None:
        clock = test_quarantine.Clock()
        fleet = Fleet(1)
        fleet.clock = clock
        one = fleet.processes[0] = fleet.add_process()
        for number in range(40):
            endpoint = ENDPOINTS[number % 2]
            seen = observer.create_observer(
                one, endpoint, 0, clock, is_stream=True
            )
            clock.now += FIRST_S
            for _ in range(30):
                seen.record_events(1)
                received_at = clock.now
                if endpoint == "e1":
                    clock.now += 0.1
                seen.record_sent(received_at)
                clock.now += INTERVAL_S
            one.refresh()
        self.assertEqual(fleet.get("e1").pace, 1.0)


class PeakTest(unittest.TestCase):
    """Load peaks on endpoints of differing speed; see `load_peaks`."""

    def simulate(
        self, slowness: load_peaks.Slowness, *, is_learning: bool
    ) -> load_peaks.Outcome:
        total = load_peaks.Outcome()
        for seed in range(2):
            one = load_peaks.Simulation(
                seed, 222.0, 26, slowness, is_learning=is_learning
            ).run()
            total.requests += one.requests
            total.late += one.late
            total.rejected += one.rejected
        return total

    def test_endpoints_that_slow_down_early_get_what_they_can_handle(
        self,
    ) -> None:
        """By slots alone a fifth of all requests is late."""
        plain = self.simulate(
            load_peaks.be_slow_when_half_full, is_learning=False
        )
        learned = self.simulate(
            load_peaks.be_slow_when_half_full, is_learning=True
        )
        self.assertLess(learned.late, 0.85 * plain.late)
        self.assertLess(learned.rejected, 0.02 * learned.requests)

    def test_mixed_speeds_cost_no_more_than_without_learning(self) -> None:
        learned = self.simulate(load_peaks.be_mixed, is_learning=True)
        self.assertLess(learned.late, 0.07 * learned.requests)
        self.assertEqual(learned.rejected, 0)
