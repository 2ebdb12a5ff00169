"""Cost of the rate limiter for an entry, in virtual time with seeded load."""

from typing import Final

from bench import capacity_slopes as slopes
from bench import limiter_fleet
from eelgrassgate import messages
from eelgrassgate.limits import timing

SEED: Final = 1
ENTRIES: Final = (16, 64, 128, 256)
WORKSPACES: Final = (100, 300, 600, 910)
FIXED_ENTRIES: Final = 8
FIXED_WORKSPACES: Final = 910
REQUESTS_PER_ENTRY: Final = 4000.0 / 370
RATE_PER_S: Final = 20.0
MEASURE_S: Final = 4.0


class _Meter:
    """Counts sent messages, except heartbeats, which `capacity_links` does."""

    def __init__(self, fleet: limiter_fleet.Fleet) -> None:
        self.bytes_sent = 0
        self.messages = 0
        self._fleet = fleet
        fleet.observe = self._observe

    def _observe(
        self, link: limiter_fleet.Link, message: messages.AnyMessage
    ) -> None:
        if not isinstance(message, messages.Heartbeat):
            self.bytes_sent += len(messages.encode(message))
            self.messages += 1

    def read(self) -> tuple[float, float, float]:
        """Return bytes, messages and processor ms, summed over all entries."""
        busy_ns = sum(node.busy_ns for node in self._fleet.nodes)
        return self.bytes_sent, self.messages, busy_ns / 1e6


def measure(entries: int, workspaces: int) -> dict[str, float]:
    """Return the cost per entry, per second, at the target's request rate."""
    rates = {f"w{n}": (RATE_PER_S, RATE_PER_S) for n in range(workspaces)}
    regions = tuple(f"region-{n % 2}" for n in range(entries))
    fleet = limiter_fleet.Fleet(regions, rates, SEED)
    for node in fleet.nodes:
        _add_load(fleet, node, workspaces)
    meter = _Meter(fleet)
    fleet.run_until(MEASURE_S)
    before = meter.read()
    fleet.run_until(2 * MEASURE_S)
    scale = 1.0 / MEASURE_S / entries
    names = ("bytes", "messages", "cpu_ms")
    return {
        name: (late - early) * scale
        for name, late, early in zip(names, meter.read(), before, strict=True)
    }


def _add_load(
    fleet: limiter_fleet.Fleet, node: limiter_fleet.Node, workspaces: int
) -> None:
    def arrive() -> None:
        fleet.send_request(node, f"w{fleet.random.randrange(workspaces)}")
        fleet.call_later(fleet.random.expovariate(REQUESTS_PER_ENTRY), arrive)

    fleet.call_later(timing.TICK_S, arrive)


def run() -> tuple[slopes.Slope, ...]:
    """Measure by number of entries, then by number of workspaces."""
    by_entries = {n: measure(n, FIXED_WORKSPACES) for n in ENTRIES}
    by_workspaces = {n: measure(FIXED_ENTRIES, n) for n in WORKSPACES}
    entry, workspace = "entry (910 workspaces)", "workspace (8 entries)"
    unit = "ms of core/s"
    return (
        slopes.create_slope(
            "limiter-cpu", entry, unit, by_entries, "cpu_ms", is_bounded=True
        ),
        slopes.create_slope(
            "limiter-bytes",
            entry,
            "B/s sent",
            by_entries,
            "bytes",
            is_bounded=True,
        ),
        slopes.create_slope(
            "limiter-messages",
            entry,
            "messages/s",
            by_entries,
            "messages",
            is_bounded=True,
        ),
        slopes.create_slope(
            "limiter-workspace-cpu", workspace, unit, by_workspaces, "cpu_ms"
        ),
        slopes.create_slope(
            "limiter-workspace-bytes",
            workspace,
            "B/s sent",
            by_workspaces,
            "bytes",
        ),
    )
