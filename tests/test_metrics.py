import pathlib
import socket
from typing import Final
import unittest

from eelgrassgate import outcomes
from eelgrassgate import settings
from eelgrassgate.metrics import histograms
from eelgrassgate.metrics import names
from eelgrassgate.metrics import recorder

ROOT: Final = pathlib.Path(__file__).parent.parent
ONLINE: Final = outcomes.RequestClass.ONLINE
BATCH: Final = outcomes.RequestClass.BATCH


def make_key(workspace: str) -> histograms.Key:
    return histograms.Key(workspace, "online", "whole")


class NamesTest(unittest.TestCase):
    def test_documentation_has_the_table(self) -> None:
        page = (ROOT / "docs/METRICS.md").read_text(encoding="utf-8")
        rows = [line for line in page.splitlines() if line.startswith("|")]
        self.assertEqual(rows, list(names.render_table()))

    def test_every_metric_is_used(self) -> None:
        code = "".join(
            path.read_text(encoding="utf-8")
            for path in (ROOT / "eelgrassgate").rglob("*.py")
            if path.name != "names.py"
        )
        for name in names.METRICS_BY_NAME:
            prefix = f"{names.REFUSED}."
            used = f'"{name}"'
            if name.startswith(prefix):
                used = f'f"{prefix}{{'
            with self.subTest(name):
                self.assertIn(used, code)


class HistogramsTest(unittest.TestCase):
    def test_few_and_many_values(self) -> None:
        for count in (1, 10, 63, 64, 1000):
            recorded = histograms.Histograms("other")
            for value in range(1, count + 1):
                recorded.record(make_key("w"), value / 1000.0)
            (found,) = recorded.summarize()
            with self.subTest(count):
                self.assertEqual(found.count, count)
                self.assertAlmostEqual(found.max_ms, count, delta=count / 100)
                for part, seen in (
                    (0.5, found.p50_ms),
                    (0.95, found.p95_ms),
                    (0.99, found.p99_ms),
                ):
                    delta = max(1.0, 0.01 * count)
                    self.assertAlmostEqual(seen, part * count, delta=delta)

    def test_values_are_clamped_to_the_range(self) -> None:
        recorded = histograms.Histograms("other")
        for value in (-1.0, 0.0, 1e9):
            recorded.record(make_key("w"), value)
        (found,) = recorded.summarize()
        self.assertEqual((found.count, found.max_ms), (3, histograms.MAX_MS))

    def test_excess_series_are_merged_into_other(self) -> None:
        recorded = histograms.Histograms(
            "other", max_series=20, max_full_histograms=5
        )
        for _ in range(100):
            for index in range(50):
                recorded.record(make_key(f"w{index}"), 0.05)
        found = {one.workspace: one.count for one in recorded.summarize()}
        self.assertEqual(sum(found.values()), 5000)
        self.assertLessEqual(len(found), 21)
        rest = found.pop("other")
        large = [n for n in found.values() if n >= histograms.MAX_SAMPLES]
        self.assertEqual(len(large), 5)
        small = 15 * (histograms.MAX_SAMPLES - 1)
        self.assertGreaterEqual(rest, 5000 - 5 * 100 - small)


class RecorderTest(unittest.TestCase):
    def setUp(self) -> None:
        self.now = 0.0
        self.recorder = recorder.create_recorder(
            "entry", clock=lambda: self.now
        )

    def test_intervals(self) -> None:
        self.recorder.time("whole", "w", ONLINE, 0.1)
        self.now = recorder.INTERVAL_S
        self.recorder.time("whole", "w", BATCH, 0.2)
        seen = self.recorder.snapshot()
        self.assertEqual([one.klass for one in seen.present], ["batch"])
        self.assertEqual([one.p50_ms for one in seen.previous], [100])
        self.now = 9.0 * recorder.INTERVAL_S
        seen = self.recorder.snapshot()
        self.assertEqual((seen.present, seen.previous), ((), ()))

    def test_token_intervals_are_sampled(self) -> None:
        for _ in range(800):
            self.recorder.time("between_tokens", "w", ONLINE, 0.01)
        (found,) = self.recorder.snapshot().present
        self.assertEqual(found.count, 100)

    def test_counters_are_bounded(self) -> None:
        for index in range(recorder.MAX_COUNTERS + 10):
            self.recorder.count("refused.overloaded", f"w{index}")
        found = self.recorder.snapshot().counts
        self.assertEqual(len(found), recorder.MAX_COUNTERS + 1)
        self.assertEqual(found[-1].workspace, names.OTHER)
        self.assertEqual(found[-1].total, 10)

    def test_unknown_names(self) -> None:
        with self.assertRaises(KeyError):
            self.recorder.count("refusals", "w")
        with self.assertRaises(KeyError):
            self.recorder.time("hole", "w", ONLINE, 1.0)

    def test_statsd_lines(self) -> None:
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as listener:
            listener.bind(("127.0.0.1", 0))
            listener.settimeout(10.0)
            port = listener.getsockname()[1]
            target = settings.Statsd(host="127.0.0.1", port=port)
            sender = recorder.create_recorder("entry", target)
            sender.count("crossings")
            sender.count("crossings", amount=2)
            sender.count("refused.overloaded", "a.b:c")
            sender.time("whole", "w", BATCH, 0.25)
            sender.flush()
            lines = set(listener.recv(2000).decode().splitlines())
        self.assertEqual(
            lines,
            {
                "eelgrassgate.entry.crossings:3|c",
                "eelgrassgate.entry.refused.overloaded.a_b_c:1|c",
                "eelgrassgate.entry.whole.w.batch:250.000000|ms",
            },
        )
