"""Benchmark of histograms: memory and time, as a line of JSON per case.

Run `python -m bench.metrics`.
"""

from collections.abc import Callable
from collections.abc import Iterator
import itertools
import sys
import time
import tracemalloc
from typing import Any
from typing import Final

from hdrh import histogram
import msgspec

from eelgrassgate import outcomes
from eelgrassgate.metrics import histograms
from eelgrassgate.metrics import names
from eelgrassgate.metrics import recorder

WORKSPACES: Final = 910
COPIES: Final = 200
RECORDS: Final = 50_000
CREATE_HISTOGRAM: Final[Any] = histogram.HdrHistogram
LIBRARY_CASES: Final = (
    (histograms.MAX_MS, 1),
    (histograms.MAX_MS, 2),
    (histograms.MAX_MS, 3),
)
VALUES_PER_SERIES: Final = (1, 16, 63, 65)


class Memory(msgspec.Struct, frozen=True):
    """Memory of one histogram of the library."""

    case: str
    max_ms: int
    digits: int
    bytes_each: int
    bytes_at_target: int


class Bounded(msgspec.Struct, frozen=True):
    """Memory of a recorder with the target's number of workspaces.

    Attributes:
        bytes_recorder: Memory of the recorder.
        baseline: Memory of a library histogram for each series.
        other_values: Number of values counted under the workspace `other`.
    """

    case: str
    series: int
    values_each: int
    bytes_recorder: int
    baseline: int
    other_values: int


class Speed(msgspec.Struct, frozen=True):
    """Time to record one value and to take one snapshot."""

    case: str
    record_us: float
    gap_us: float
    snapshot_ms: float


def measure_bytes(create: Callable[[], object]) -> tuple[int, object]:
    """Return the bytes of memory that an object takes, and the object."""
    tracemalloc.start()
    created = create()
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return size, created


def measure_library() -> Iterator[Memory]:
    for max_ms, digits in LIBRARY_CASES:
        size, _ = measure_bytes(
            lambda a=max_ms, d=digits: [  # type: ignore[misc]
                CREATE_HISTOGRAM(histograms.MIN_MS, a, d) for _ in range(COPIES)
            ]
        )
        bytes_each = size // COPIES
        total = (
            bytes_each
            * WORKSPACES
            * len(outcomes.RequestClass)
            * len(names.TIMERS)
        )
        yield Memory("hdrhistogram", max_ms, digits, bytes_each, total)


def fill_recorder(values: int) -> recorder.Recorder:
    """Create a recorder with `values` values in each of the target's series."""
    filled = recorder.create_recorder("entry", clock=lambda: 0.0)
    series = itertools.product(
        range(WORKSPACES), outcomes.RequestClass, names.TIMERS
    )
    for index, klass, metric in series:
        repeated = values
        if metric.name == recorder.TOKEN_INTERVAL:
            repeated *= recorder.TOKEN_INTERVAL_SAMPLING
        for value in range(repeated):
            filled.time(metric.name, f"w{index}", klass, 0.05 + value / 1000.0)
    return filled


def measure_bounded() -> Iterator[Bounded]:
    series = WORKSPACES * len(outcomes.RequestClass) * len(names.TIMERS)
    library_bytes, _ = measure_bytes(
        lambda: [
            CREATE_HISTOGRAM(1, histograms.MAX_MS, 2) for _ in range(COPIES)
        ]
    )
    for values in VALUES_PER_SERIES:
        size, created = measure_bytes(lambda v=values: fill_recorder(v))  # type: ignore[misc]
        assert isinstance(created, recorder.Recorder)
        other_values = sum(
            series_values.count
            for series_values in created.snapshot().present
            if series_values.workspace == names.OTHER
        )
        yield Bounded(
            "bounded",
            series,
            values,
            size,
            library_bytes // COPIES * series,
            other_values,
        )


def measure_speed() -> Speed:
    filled = fill_recorder(1)
    started_at = time.perf_counter()
    for index in range(RECORDS):
        filled.time(
            "whole", "w1", outcomes.RequestClass.ONLINE, index / RECORDS
        )
    whole_at = time.perf_counter()
    for index in range(RECORDS):
        filled.time(
            recorder.TOKEN_INTERVAL,
            "w1",
            outcomes.RequestClass.ONLINE,
            index / RECORDS,
        )
    gaps_at = time.perf_counter()
    filled.snapshot()
    return Speed(
        "speed",
        round((whole_at - started_at) / RECORDS * 1e6, 2),
        round((gaps_at - whole_at) / RECORDS * 1e6, 2),
        round((time.perf_counter() - gaps_at) * 1e3, 1),
    )


def main() -> int:
    """Run the cases; return the exit code."""
    for case in itertools.chain(measure_library(), measure_bounded()):
        print(msgspec.json.encode(case).decode(), flush=True)
    print(msgspec.json.encode(measure_speed()).decode())
    return 0


if __name__ == "__main__":
    sys.exit(main())
