"""Costs of each role at the target's size, computed from the slopes."""

from collections.abc import Iterable
from collections.abc import Iterator
import math
from typing import Final

import msgspec

from bench import capacity_slopes as slopes
from eelgrassgate.agent import reporting
from eelgrassgate.entry import agents as entry_agents
from eelgrassgate.metrics import names
from eelgrassgate.outcomes import RequestClass

DAY_S: Final = 86_400.0
RETENTION_DAYS: Final = 7
ENTRIES: Final = 370
AGENTS: Final = 600
REGIONS: Final = 2
WORKSPACES: Final = 910
REQUESTS_PER_S: Final = 4_000.0
TOKENS_PER_S: Final = 930_000.0
ITEMS_PER_S: Final = 150_000_000 / DAY_S
JOBS_PER_S: Final = 60_000 / DAY_S
MAX_JOB_ITEMS: Final = 100_000
CHANGES_PER_S: Final = 1_900 / DAY_S
LANES: Final = len(entry_agents.LANES)
MAX_CPU_MS_PER_S: Final = 12.0
MAX_MEMORY_KB: Final = 32_000.0
MAX_BYTES_PER_S: Final = 23_000.0
MAX_STORE_READS_PER_S: Final = 2_000.0
MAX_STORE_WRITES_PER_S: Final = 300.0
MAX_LINK_MBIT_PER_S: Final = 15.0
BYTES_PER_MBIT: Final = 125_000.0


class CostRow(msgspec.Struct, frozen=True):
    """One cost of one role.

    Attributes:
        role: The role that has the cost.
        cost: Name of the cost.
        mechanism: The part of the design that causes it.
        slopes: Names of the slopes that it is computed from.
        value: The value of the cost.
        unit: Unit of the value.
        limit: Maximum value; None if the cost has no limit.
    """

    role: str
    cost: str
    mechanism: str
    slopes: tuple[str, ...]
    value: float
    unit: str
    limit: float | None = None


class FleetSize(msgspec.Struct, frozen=True):
    """The number of entries and agents of a fleet."""

    entries: float = ENTRIES
    agents: float = AGENTS

    @property
    def entry_links(self) -> float:
        """Number of links of one entry."""
        return LANES * self.agents + self.entries - 1

    @property
    def agent_links(self) -> float:
        """Number of links of one agent."""
        return LANES * self.entries

    @property
    def cross_region_links(self) -> float:
        """Number of links between two regions of equal size."""
        entries, agents = self.entries / REGIONS, self.agents / REGIONS
        return entries * entries + REGIONS * LANES * entries * agents


TARGET: Final = FleetSize()
# Sizes at which a limit is exceeded are accurate to a tenth of a percent.
SCALE_STEP: Final = 1.001
MIN_SCALE: Final = 0.001


def compute_reports_per_s(entries: float) -> float:
    """Return the rate of load reports from a busy agent to each of `entries`.

    Each start and each end of a request changes the load. A report is sent on
    the first change after the minimum interval for this number of entries.
    """
    changes_per_s = 2 * (REQUESTS_PER_S + ITEMS_PER_S) / AGENTS
    wait_s = 1.0 / changes_per_s
    return 1.0 / (reporting.compute_min_interval_s(int(entries)) + wait_s)


class TargetCosts:
    """The costs at the target's size that are computed from the slopes."""

    def __init__(self, measured: Iterable[slopes.Slope]) -> None:
        """Create from all slopes."""
        self._by_name = {slope.name: slope for slope in measured}

    def compute(self, name: str, size: float) -> float:
        """Return the cost `name` at `size`."""
        return self._by_name[name].compute(size)

    def compute_increase(self, name: str, size: float) -> float:
        """Return the increase of the cost `name` from size 0 to `size`."""
        return self._by_name[name].line.slope * size

    def iterate_rows(self) -> Iterator[CostRow]:
        """Yield the rows of all roles."""
        yield from self._iterate_entry()
        yield from self._iterate_agent()
        yield from self._iterate_owner()
        yield from self._iterate_store()
        yield from self._iterate_region_link()

    def _iterate_entry(self) -> Iterator[CostRow]:
        links = TARGET.entry_links
        reports = AGENTS * compute_reports_per_s(ENTRIES)
        parts = (
            ("heartbeats", "link", links, "every entry to all, three lanes"),
            ("load reports", "report", reports, "every agent to all entries"),
        )
        for cost, name, size, mechanism in parts:
            yield from self._compute_link("entry", cost, name, size, mechanism)
        yield CostRow(
            "entry",
            "rates: processor",
            "limiter, with its 10.8 requests/s",
            ("limiter-cpu",),
            self.compute("limiter-cpu", ENTRIES),
            "ms/s",
            MAX_CPU_MS_PER_S,
        )
        yield CostRow(
            "entry",
            "rates: sent",
            "limiter's loans and grants",
            ("limiter-bytes",),
            self.compute("limiter-bytes", ENTRIES),
            "B/s",
            MAX_BYTES_PER_S,
        )
        yield CostRow(
            "entry",
            "configuration: processor",
            "change pushed in the zone",
            ("change-cpu",),
            self.compute_increase("change-cpu", CHANGES_PER_S),
            "ms/s",
            MAX_CPU_MS_PER_S,
        )
        yield CostRow(
            "entry",
            "configuration: sent",
            "change pushed in the zone",
            ("change-bytes",),
            self.compute_increase("change-bytes", CHANGES_PER_S),
            "B/s",
            MAX_BYTES_PER_S,
        )
        series = WORKSPACES * len(RequestClass) * len(names.TIMERS)
        memory = (
            ("links: memory", "link-memory", links, "a socket for each lane"),
            (
                "configuration: memory",
                "replica-memory",
                WORKSPACES,
                "whole replica",
            ),
            (
                "histograms: memory",
                "histogram-memory",
                series,
                "one value in each series of one interval",
            ),
            ("routing: memory", "router-memory", AGENTS, "every agent's load"),
        )
        for cost, name, size, mechanism in memory:
            yield CostRow(
                "entry",
                cost,
                mechanism,
                (name,),
                self.compute(name, size),
                "KB",
                MAX_MEMORY_KB,
            )
        attempts = (REQUESTS_PER_S + ITEMS_PER_S) / ENTRIES
        yield CostRow(
            "entry, work",
            "routing",
            "choice over all agents",
            ("router-cpu",),
            self.compute("router-cpu", AGENTS) / 1e3 * attempts,
            "ms/s",
        )
        yield self._compute_work("entry", ENTRIES)

    def _iterate_agent(self) -> Iterator[CostRow]:
        links = TARGET.agent_links
        reports = ENTRIES * compute_reports_per_s(ENTRIES)
        parts = (
            ("heartbeats", "link", links, "all entries, three lanes"),
            ("load reports", "report", reports, "to all entries"),
        )
        for cost, name, size, mechanism in parts:
            yield from self._compute_link("agent", cost, name, size, mechanism)
        yield CostRow(
            "agent",
            "links: memory",
            "a peer for each lane",
            ("link-memory",),
            self.compute("link-memory", links),
            "KB",
            MAX_MEMORY_KB,
        )
        yield self._compute_work("agent", AGENTS)

    def _compute_link(
        self, role: str, cost: str, name: str, size: float, mechanism: str
    ) -> Iterator[CostRow]:
        is_report = name == "report"
        direction = "received" if is_report and role == "entry" else "sent"
        yield CostRow(
            role,
            f"{cost}: processor",
            mechanism,
            (f"{name}-cpu",),
            self.compute_increase(f"{name}-cpu", size),
            "ms/s",
            MAX_CPU_MS_PER_S,
        )
        yield CostRow(
            role,
            f"{cost}: {direction}",
            mechanism,
            (f"{name}-bytes",),
            self.compute_increase(f"{name}-bytes", size),
            "B/s",
            MAX_BYTES_PER_S,
        )

    def _compute_work(self, role: str, count: int) -> CostRow:
        name = f"{role}-token-cpu"
        base_cost = self.compute(name, 0) * REQUESTS_PER_S / count
        tokens = self.compute_increase(name, TOKENS_PER_S / count)
        return CostRow(
            f"{role}, work",
            "requests and tokens",
            "HTTP and the online lane",
            (name,),
            base_cost + tokens,
            "ms/s",
        )

    def _iterate_owner(self) -> Iterator[CostRow]:
        items = ITEMS_PER_S / ENTRIES
        yield CostRow(
            "job owner, work",
            "items: processor",
            "packing, commits, ledger",
            ("item-cpu",),
            self.compute_increase("item-cpu", items),
            "ms/s",
        )
        yield CostRow(
            "job owner, work",
            "largest job: memory",
            "what one owner holds, with the trial store's copy",
            ("item-memory",),
            self.compute("item-memory", MAX_JOB_ITEMS),
            "KB",
        )

    def _iterate_store(self) -> Iterator[CostRow]:
        jobs = self.compute("item-writes", 0) * JOBS_PER_S
        writes = (
            (
                "writes: leases of owners",
                "owner-writes",
                self.compute("owner-writes", ENTRIES),
                "renewal each 2 s by every entry",
            ),
            (
                "writes: membership",
                "member-writes",
                self.compute("member-writes", ENTRIES),
                "renewals, at most 20 steps/s in all",
            ),
            (
                "writes: jobs and items",
                "item-writes",
                jobs + self.compute_increase("item-writes", ITEMS_PER_S),
                "a group commit a second and owner",
            ),
        )
        reads = (
            (
                "reads: configuration",
                "config-reads",
                self.compute("config-reads", ENTRIES),
                "watchers each 2 s, others each 30 s",
            ),
            (
                "reads: membership",
                "member-reads",
                self.compute("member-reads", ENTRIES),
                "roster, at most 20 steps/s in all",
            ),
            (
                "reads: jobs and items",
                "item-reads",
                self.compute("item-reads", 0) * JOBS_PER_S
                + self.compute_increase("item-reads", ITEMS_PER_S),
                "chunks of items",
            ),
        )
        for cost, name, value, mechanism in writes:
            yield CostRow(
                "store",
                cost,
                mechanism,
                (name,),
                value,
                "/s",
                MAX_STORE_WRITES_PER_S,
            )
        yield _sum_costs(
            "store", "writes: all", writes, "/s", MAX_STORE_WRITES_PER_S
        )
        for cost, name, value, mechanism in reads:
            yield CostRow(
                "store",
                cost,
                mechanism,
                (name,),
                value,
                "/s",
                MAX_STORE_READS_PER_S,
            )
        yield _sum_costs(
            "store", "reads: all", reads, "/s", MAX_STORE_READS_PER_S
        )
        watches = (
            ("", "config-watches", self.compute("config-watches", ENTRIES), ""),
            ("", "owner-watches", self.compute("owner-watches", ENTRIES), ""),
        )
        yield _sum_costs("store", "watches waiting", watches, "open", None)
        yield CostRow(
            "store",
            "membership bytes read",
            "the whole roster at each step",
            ("member-read-bytes",),
            self.compute("member-read-bytes", ENTRIES),
            "KB/s",
        )
        written = self.compute_increase("item-written-bytes", ITEMS_PER_S)
        yield CostRow(
            "store",
            "batch bytes written",
            "items and results as values",
            ("item-written-bytes",),
            written,
            "KB/s",
        )
        yield CostRow(
            "store",
            "batch bytes kept",
            f"{RETENTION_DAYS} days' retention",
            ("item-written-bytes",),
            written * DAY_S * RETENTION_DAYS / 1e6,
            "GB",
        )

    def _iterate_region_link(self) -> Iterator[CostRow]:
        yield CostRow(
            "region link",
            "heartbeats, each way",
            "full mesh across regions",
            ("link-bytes",),
            self.compute_heartbeat_mbit(TARGET),
            "Mbit/s",
            MAX_LINK_MBIT_PER_S,
        )
        yield CostRow(
            "region link",
            "load reports, each way",
            "every agent to all entries",
            ("report-bytes",),
            self.compute_report_mbit(TARGET),
            "Mbit/s",
            MAX_LINK_MBIT_PER_S,
        )
        rates = self.compute("limiter-bytes", ENTRIES) * ENTRIES / REGIONS
        yield CostRow(
            "region link",
            "rates, each way, if all of it crosses",
            "limiter's loans and grants",
            ("limiter-bytes",),
            rates / BYTES_PER_MBIT,
            "Mbit/s",
            MAX_LINK_MBIT_PER_S,
        )

    def compute_heartbeat_mbit(self, size: FleetSize) -> float:
        """Return the Mbit/s of heartbeats in each direction."""
        return (
            self.compute_increase("link-bytes", size.cross_region_links)
            / BYTES_PER_MBIT
        )

    def compute_report_mbit(self, size: FleetSize) -> float:
        """Return the Mbit/s of load reports in each direction."""
        pairs = size.agents / REGIONS * size.entries / REGIONS
        reports = pairs * compute_reports_per_s(size.entries)
        return self.compute_increase("report-bytes", reports) / BYTES_PER_MBIT

    def iterate_limits(self) -> Iterator[tuple[str, str, FleetSize]]:
        """Yield each limit with its cause and the fleet size that exceeds it.

        Sizes have the target's ratio of entries to agents. Each limit is
        checked separately.
        """

        def heartbeat_cpu(size: FleetSize) -> bool:
            return (
                self.compute_increase("link-cpu", size.entry_links)
                > MAX_CPU_MS_PER_S
            )

        def report_cpu(size: FleetSize) -> bool:
            reports = size.agents * compute_reports_per_s(size.entries)
            return (
                self.compute_increase("report-cpu", reports) > MAX_CPU_MS_PER_S
            )

        def heartbeat_bytes(size: FleetSize) -> bool:
            return (
                self.compute_increase("link-bytes", size.entry_links)
                > MAX_BYTES_PER_S
            )

        def link_memory(size: FleetSize) -> bool:
            return self.compute("link-memory", size.entry_links) > MAX_MEMORY_KB

        def region(size: FleetSize) -> bool:
            mbit = self.compute_heartbeat_mbit(size)
            return mbit + self.compute_report_mbit(size) > MAX_LINK_MBIT_PER_S

        def leases(size: FleetSize) -> bool:
            return (
                self.compute("owner-writes", size.entries)
                > MAX_STORE_WRITES_PER_S
            )

        limits = (
            ("1.2% of a core in an entry", "heartbeats", heartbeat_cpu),
            ("1.2% of a core in an entry", "load reports", report_cpu),
            ("23 KB/s from an entry", "heartbeats", heartbeat_bytes),
            ("32 MB in an entry", "sockets", link_memory),
            ("15 Mbit/s between regions", "both", region),
            ("300 writes/s of the store", "owners' leases", leases),
        )
        for limit, cause, is_over in limits:
            scale = MIN_SCALE
            while not is_over(FleetSize(ENTRIES * scale, AGENTS * scale)):
                scale *= SCALE_STEP
            yield limit, cause, FleetSize(ENTRIES * scale, AGENTS * scale)


def _sum_costs(
    role: str,
    cost: str,
    parts: tuple[tuple[str, str, float, str], ...],
    unit: str,
    limit: float | None,
) -> CostRow:
    total = math.fsum(value for _, _, value, _ in parts)
    slope_names = tuple(name for _, name, _, _ in parts)
    return CostRow(role, cost, "sum", slope_names, total, unit, limit)


def render_rows(measured: Iterable[slopes.Slope]) -> Iterator[str]:
    """Yield the lines of the table of costs at the target's size."""
    yield "| role | cost | mechanism | slope | value | limit | of the limit |"
    yield "| --- | --- | --- | --- | --- | --- | --- |"
    for row in TargetCosts(measured).iterate_rows():
        limit = "" if row.limit is None else f"{row.limit:g} {row.unit}"
        fraction = (
            "" if row.limit is None else _format_fraction(row.value / row.limit)
        )
        cells = (
            row.role,
            row.cost,
            row.mechanism,
            ", ".join(row.slopes),
            f"{_format_value(row.value)} {row.unit}",
            limit,
            fraction,
        )
        yield f"| {' | '.join(cells)} |"


def render_limits(measured: Iterable[slopes.Slope]) -> Iterator[str]:
    """Yield the lines of the table of sizes that exceed the limits."""
    yield "| limit | by | entries | agents |"
    yield "| --- | --- | --- | --- |"
    for limit, cause, size in TargetCosts(measured).iterate_limits():
        entries, agents = math.floor(size.entries), math.floor(size.agents)
        yield f"| {limit} | {cause} | {entries} | {agents} |"


def _format_value(value: float) -> str:
    rounded = float(f"{value:.3g}")
    return f"{rounded:,.0f}" if rounded >= 100 else f"{rounded:g}"


def _format_fraction(fraction: float) -> str:
    if fraction > 1:
        return f"**{_format_value(fraction)} times**"
    return f"{float(f'{fraction * 100:.2g}'):g}%"
