"""Counts and times of one process, sent by statsd and kept for `status`.

Histograms cover an interval of `INTERVAL_S`; the one before is kept as well.
"""

from collections.abc import Callable
import time
from typing import Any
from typing import Final
from typing import Protocol

import anyio
import msgspec
import statsd

from eelgrassgate import outcomes
from eelgrassgate import settings
from eelgrassgate.metrics import histograms
from eelgrassgate.metrics import names

FLUSH_S: Final = 1.0
INTERVAL_S: Final = 300.0
MAX_COUNTERS: Final = 4_096
MAX_PENDING: Final = 10_000
TOKEN_INTERVAL: Final = "between_tokens"
TOKEN_INTERVAL_SAMPLING: Final = 8
MS_PER_S: Final = 1000.0
_UNSAFE: Final = str.maketrans(".:|@ #", "______")


class Pipeline(Protocol):
    """The part of a statsd client that is used."""

    def incr(self, name: str, amount: int) -> None:
        """Add a counter."""
        ...

    def timing(self, name: str, value_ms: float) -> None:
        """Add a time."""
        ...

    def gauge(self, name: str, value: float) -> None:
        """Add a gauge."""
        ...

    def send(self) -> None:
        """Send what was added."""
        ...


class Count(msgspec.Struct, frozen=True):
    """A counter since the process began."""

    name: str
    workspace: str
    total: int


class Snapshot(msgspec.Struct, frozen=True):
    """What a process has counted and timed.

    Attributes:
        interval_s: How long the present interval has run.
        present: Histograms of the present interval.
        previous: Histograms of the last whole interval.
        counts: Counters since the process began.
    """

    interval_s: float
    present: tuple[histograms.Summary, ...]
    previous: tuple[histograms.Summary, ...]
    counts: tuple[Count, ...]


class Recorder:
    """Takes what is counted and timed; names are those of the table."""

    def __init__(
        self, role: str, pipeline: Pipeline | None, clock: Callable[[], float]
    ) -> None:
        """Create a recorder; see `create_recorder`."""
        self._prefix = f"{names.PREFIX}.{role}"
        self._pipeline = pipeline
        self._clock = clock
        self._begun = clock()
        self._present = histograms.Histograms(names.OTHER)
        self._previous = histograms.Histograms(names.OTHER)
        self._totals: dict[tuple[str, str], int] = {}
        self._unsent: dict[tuple[str, str], int] = {}
        self._pending = 0
        self._gaps = 0

    def count(self, name: str, workspace: str = "", amount: int = 1) -> None:
        """Count events; `workspace` is empty for counters without one.

        Raises:
            KeyError: The name is not in the table.
        """
        key = (names.METRICS_BY_NAME[name].name, workspace)
        if key not in self._totals and len(self._totals) >= MAX_COUNTERS:
            key = (name, names.OTHER)
        self._totals[key] = self._totals.get(key, 0) + amount
        if self._pipeline is not None:
            self._unsent[key] = self._unsent.get(key, 0) + amount

    def time(
        self,
        name: str,
        workspace: str,
        klass: outcomes.RequestClass,
        seconds: float,
    ) -> None:
        """Record a time; of gaps between tokens only a part is kept.

        Raises:
            KeyError: The name is not in the table.
        """
        if name == TOKEN_INTERVAL:
            self._gaps += 1
            if self._gaps % TOKEN_INTERVAL_SAMPLING:
                return
        metric = names.METRICS_BY_NAME[name]
        self._rotate()
        key = histograms.Key(workspace, klass.value, metric.name)
        self._present.record(key, seconds)
        if self._pipeline is not None and self._pending < MAX_PENDING:
            self._pending += 1
            self._pipeline.timing(
                self._join(name, workspace, klass.value), seconds * MS_PER_S
            )

    def flush(self) -> None:
        """Send what has gathered."""
        if self._pipeline is None:
            return
        for (name, workspace), amount in self._unsent.items():
            self._pipeline.incr(self._join(name, workspace), amount)
        is_any = bool(self._unsent or self._pending)
        self._unsent.clear()
        self._pending = 0
        if is_any:
            self._pipeline.send()

    async def run(self) -> None:
        """Send each second until cancelled."""
        while True:
            await anyio.sleep(FLUSH_S)
            self.flush()

    def snapshot(self) -> Snapshot:
        """Return all figures; takes about 0.3 ms for each histogram."""
        self._rotate()
        return Snapshot(
            self._clock() - self._begun,
            tuple(self._present.summarize()),
            tuple(self._previous.summarize()),
            tuple(
                Count(name, workspace, total)
                for (name, workspace), total in self._totals.items()
            ),
        )

    def _rotate(self) -> None:
        """Begin a new interval when the present one is over."""
        now = self._clock()
        if now < self._begun + INTERVAL_S:
            return
        is_next = now < self._begun + 2.0 * INTERVAL_S
        empty = histograms.Histograms(names.OTHER)
        self._previous = self._present if is_next else empty
        self._present = histograms.Histograms(names.OTHER)
        self._begun = now

    def _join(self, *labels: str) -> str:
        """Join a name with its labels; labels lose what statsd reserves."""
        name, *rest = labels
        safe = (each.translate(_UNSAFE) for each in rest if each)
        return ".".join((self._prefix, name, *safe))


def create_recorder(
    role: str,
    target: settings.Statsd | None = None,
    clock: Callable[[], float] = time.monotonic,
) -> Recorder:
    """Create the recorder of a process.

    Args:
        role: `entry` or `agent`.
        target: Where statsd listens, if anywhere.
        clock: Tells the time in seconds.
    """
    pipeline: Any = None
    if target is not None:
        create_client: Any = statsd.StatsClient
        pipeline = create_client(target.host, target.port).pipeline()
    return Recorder(role, pipeline, clock)
