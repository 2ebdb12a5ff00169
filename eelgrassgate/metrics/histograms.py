"""Histograms that take little memory while they have few values.

An HdrHistogram takes about 15 KB from its first value on. The first
`MAX_SAMPLES` values are therefore stored as an array of a few hundred bytes
and moved to an HdrHistogram when there are more.
"""

import array
from collections.abc import Iterator
import math
from typing import Any
from typing import Final

from hdrh import histogram as hdr_histogram
import msgspec

MIN_MS: Final = 1
MAX_MS: Final = 600_000
SIGNIFICANT_DIGITS: Final = 2
MAX_SAMPLES: Final = 64
MAX_SERIES: Final = 6_144
MAX_FULL_HISTOGRAMS: Final = 128
PERCENTILES: Final = (50.0, 95.0, 99.0)
_CREATE_HISTOGRAM: Final[Any] = hdr_histogram.HdrHistogram


class Key(msgspec.Struct, frozen=True):
    """Labels of a histogram."""

    workspace: str
    klass: str
    measure: str


class Summary(msgspec.Struct, frozen=True):
    """Count and percentiles of a histogram, in milliseconds.

    Attributes:
        workspace: The workspace, or `other` beyond the limits.
        klass: The request class.
        measure: The timer's name.
        count: Number of recorded values.
        p50_ms: The median.
        p95_ms: The 95th percentile.
        p99_ms: The 99th percentile.
        max_ms: The largest value.
    """

    workspace: str
    klass: str
    measure: str
    count: int
    p50_ms: int
    p95_ms: int
    p99_ms: int
    max_ms: int


class _Series:
    """The values of a key: samples at first, then an HdrHistogram."""

    def __init__(self) -> None:
        self.samples = array.array("I")
        self.histogram: Any = None

    def record(self, value_ms: int) -> None:
        if self.histogram is not None:
            self.histogram.record_value(value_ms)
        else:
            self.samples.append(value_ms)

    def has_max_samples(self) -> bool:
        return self.histogram is None and len(self.samples) >= MAX_SAMPLES

    def convert(self) -> None:
        self.histogram = _CREATE_HISTOGRAM(MIN_MS, MAX_MS, SIGNIFICANT_DIGITS)
        for value_ms in self.samples:
            self.histogram.record_value(value_ms)
        self.samples = array.array("I")

    def merge(self, other: "_Series") -> None:
        """Add all values of a series that has only samples."""
        if self.histogram is None:
            self.convert()
        for value_ms in other.samples:
            self.record(value_ms)

    def summarize(self, key: Key) -> Summary:
        if self.histogram is not None:
            values = self.histogram.get_percentile_to_value_dict(
                list(PERCENTILES)
            )
            p50, p95, p99 = (
                int(values[percentile]) for percentile in PERCENTILES
            )
            count = self.histogram.get_total_count()
            largest = int(self.histogram.get_max_value())
        else:
            ordered = sorted(self.samples)
            count = len(ordered)
            p50, p95, p99 = (
                ordered[math.ceil(percentile / 100.0 * count) - 1]
                for percentile in PERCENTILES
            )
            largest = ordered[-1]
        return Summary(
            key.workspace, key.klass, key.measure, count, p50, p95, p99, largest
        )


class Histograms:
    """A bounded number of histograms by workspace, class and measure.

    At most `max_series` keys have their own series, and at most
    `max_full_histograms` of them have more than `MAX_SAMPLES` values. Values
    beyond either limit are recorded for the workspace `other`.
    """

    def __init__(
        self,
        other: str,
        max_series: int = MAX_SERIES,
        max_full_histograms: int = MAX_FULL_HISTOGRAMS,
    ) -> None:
        """Create without series; `other` is the workspace for the excess."""
        self._other = other
        self._max_series = max_series
        self._max_full_histograms = max_full_histograms
        self._full_histograms = 0
        self._series_by_key: dict[Key, _Series] = {}
        self._merged_keys: set[Key] = set()

    def record(self, key: Key, seconds: float) -> None:
        """Record a duration."""
        value_ms = round(seconds * 1000.0)
        value_ms = min(MAX_MS, max(MIN_MS, value_ms))
        key = self._resolve(key)
        series = self._series_by_key.setdefault(key, _Series())
        series.record(value_ms)
        if series.has_max_samples():
            self._convert_or_merge(key, series)

    def summarize(self) -> Iterator[Summary]:
        """Yield a summary of each histogram."""
        for key, series in self._series_by_key.items():
            yield series.summarize(key)

    def _resolve(self, key: Key) -> Key:
        """Return the key under which a value of `key` is recorded."""
        if key in self._series_by_key:
            return key
        can_add_series = len(self._series_by_key) < self._max_series
        if can_add_series and key not in self._merged_keys:
            return key
        return Key(self._other, key.klass, key.measure)

    def _convert_or_merge(self, key: Key, series: _Series) -> None:
        if key.workspace == self._other:
            series.convert()
        elif self._full_histograms < self._max_full_histograms:
            self._full_histograms += 1
            series.convert()
        else:
            del self._series_by_key[key]
            self._merged_keys.add(key)
            other = self._resolve(key)
            self._series_by_key.setdefault(other, _Series()).merge(series)
