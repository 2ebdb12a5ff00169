"""Memory and time of histograms, one line of JSON for each case.

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
CREATE: Final[Any] = histogram.HdrHistogram
LIBRARY_CASES: Final = (
    (histograms.MAX_MS, 1),
    (histograms.MAX_MS, 2),
    (histograms.MAX_MS, 3),
)
VALUES_PER_SERIES: Final = (1, 16, 63, 65)


class Memory(msgspec.Struct, frozen=True):
    """Memory of one library histogram."""

    case: str
    max_ms: int
    digits: int
    bytes_each: int
    bytes_at_target: int


class Bounded(msgspec.Struct, frozen=True):
    """Memory of a recorder at the target's number of workspaces."""

    case: str
    series: int
    values_each: int
    bytes_recorder: int
    baseline: int
    other_values: int


class Speed(msgspec.Struct, frozen=True):
    """Time of one record and of one snapshot."""

    case: str
    record_us: float
    gap_us: float
    snapshot_ms: float


def measure_bytes(make: Callable[[], object]) -> tuple[int, object]:
    """Return how many bytes `make` keeps, with what it made."""
    tracemalloc.start()
    made = make()
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return size, made


def measure_library() -> Iterator[Memory]:
    for max_ms, digits in LIBRARY_CASES:
        size, _ = measure_bytes(
            lambda a=max_ms, d=digits: [  # type: ignore[misc]
                CREATE(histograms.MIN_MS, a, d) for _ in range(COPIES)
            ]
        )
        each = size // COPIES
        total = (
            each * WORKSPACES * len(outcomes.RequestClass) * len(names.TIMERS)
        )
        yield Memory("hdrhistogram", max_ms, digits, each, total)


def fill(values: int) -> recorder.Recorder:
    """Record `values` times in every series of the target."""
    held = recorder.create_recorder("entry", clock=lambda: 0.0)
    series = itertools.product(
        range(WORKSPACES), outcomes.RequestClass, names.TIMERS
    )
    for index, klass, metric in series:
        repeated = values
        if metric.name == recorder.TOKEN_INTERVAL:
            repeated *= recorder.TOKEN_INTERVAL_SAMPLING
        for value in range(repeated):
            held.time(metric.name, f"w{index}", klass, 0.05 + value / 1000.0)
    return held


def measure_bounded() -> Iterator[Bounded]:
    series = WORKSPACES * len(outcomes.RequestClass) * len(names.TIMERS)
    plain, _ = measure_bytes(
        lambda: [CREATE(1, histograms.MAX_MS, 2) for _ in range(COPIES)]
    )
    for values in VALUES_PER_SERIES:
        size, made = measure_bytes(lambda v=values: fill(v))  # type: ignore[misc]
        assert isinstance(made, recorder.Recorder)
        rest = sum(
            one.count
            for one in made.snapshot().present
            if one.workspace == names.OTHER
        )
        yield Bounded(
            "bounded", series, values, size, plain // COPIES * series, rest
        )


def measure_speed() -> Speed:
    held = fill(1)
    begun = time.perf_counter()
    for index in range(RECORDS):
        held.time("whole", "w1", outcomes.RequestClass.ONLINE, index / RECORDS)
    whole = time.perf_counter()
    for index in range(RECORDS):
        held.time(
            recorder.TOKEN_INTERVAL,
            "w1",
            outcomes.RequestClass.ONLINE,
            index / RECORDS,
        )
    gaps = time.perf_counter()
    held.snapshot()
    return Speed(
        "speed",
        round((whole - begun) / RECORDS * 1e6, 2),
        round((gaps - whole) / RECORDS * 1e6, 2),
        round((time.perf_counter() - gaps) * 1e3, 1),
    )


def main() -> int:
    """Run the cases; return the exit code."""
    for case in itertools.chain(measure_library(), measure_bounded()):
        print(msgspec.json.encode(case).decode(), flush=True)
    print(msgspec.json.encode(measure_speed()).decode())
    return 0


if __name__ == "__main__":
    sys.exit(main())
