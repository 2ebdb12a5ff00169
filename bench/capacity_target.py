"""What each role costs at the target's size, worked out from the slopes."""

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
LARGEST_JOB: Final = 100_000
CHANGES_PER_S: Final = 1_900 / DAY_S
LANES: Final = len(entry_agents.LANES)
CPU_MS: Final = 12.0
MEMORY_KB: Final = 32_000.0
BYTES_PER_S: Final = 23_000.0
STORE_READS: Final = 2_000.0
STORE_WRITES: Final = 300.0
LINK_MBIT: Final = 15.0
MBIT_BYTES: Final = 125_000.0


class Row(msgspec.Struct, frozen=True):
    """One cost of one role.

    Attributes:
        role: Who bears it.
        cost: What it is.
        mechanism: What in the design carries it.
        slopes: Names of the slopes that it follows from.
        value: The cost.
        unit: Its unit.
        limit: The most it may be; None where no limit is given.
    """

    role: str
    cost: str
    mechanism: str
    slopes: tuple[str, ...]
    value: float
    unit: str
    limit: float | None = None


class Size(msgspec.Struct, frozen=True):
    """A fleet's size."""

    entries: float = ENTRIES
    agents: float = AGENTS

    @property
    def entry_links(self) -> float:
        """Links that end at one entry."""
        return LANES * self.agents + self.entries - 1

    @property
    def agent_links(self) -> float:
        """Links that end at one agent."""
        return LANES * self.entries

    @property
    def crossing_links(self) -> float:
        """Links between two regions of equal size."""
        entries, agents = self.entries / REGIONS, self.agents / REGIONS
        return entries * entries + REGIONS * LANES * entries * agents


TARGET: Final = Size()
# A tenth of a percent of a fleet's size is near enough.
STEP: Final = 1.001
SMALLEST: Final = 0.001


def compute_reports_per_s(entries: float) -> float:
    """Return how often a busy agent reports its load to each of `entries`.

    Each start and each end is a change; a report waits for the next one, and
    for the pause that so many entries make.
    """
    changes_per_s = 2 * (REQUESTS_PER_S + ITEMS_PER_S) / AGENTS
    wait_s = 1.0 / changes_per_s
    return 1.0 / (reporting.compute_min_interval_s(int(entries)) + wait_s)


class Target:
    """The slopes by name, and what follows from them."""

    def __init__(self, found: Iterable[slopes.Slope]) -> None:
        """Take the slopes."""
        self._by_name = {one.name: one for one in found}

    def compute(self, name: str, size: float) -> float:
        """Return the cost at `size`."""
        return self._by_name[name].compute(size)

    def multiply(self, name: str, size: float) -> float:
        """Return what `size` adds to the cost at 0."""
        return self._by_name[name].line.slope * size

    def iterate_rows(self) -> Iterator[Row]:
        """Yield the costs of all roles."""
        yield from self._iterate_entry()
        yield from self._iterate_agent()
        yield from self._iterate_owner()
        yield from self._iterate_store()
        yield from self._iterate_region_link()

    def _iterate_entry(self) -> Iterator[Row]:
        links = TARGET.entry_links
        reports = AGENTS * compute_reports_per_s(ENTRIES)
        parts = (
            ("heartbeats", "link", links, "every entry to all, three lanes"),
            ("load reports", "report", reports, "every agent to all entries"),
        )
        for cost, name, size, mechanism in parts:
            yield from self._compute_link("entry", cost, name, size, mechanism)
        yield Row(
            "entry",
            "rates: processor",
            "limiter, with its 10.8 requests/s",
            ("limiter-cpu",),
            self.compute("limiter-cpu", ENTRIES),
            "ms/s",
            CPU_MS,
        )
        yield Row(
            "entry",
            "rates: sent",
            "limiter's loans and grants",
            ("limiter-bytes",),
            self.compute("limiter-bytes", ENTRIES),
            "B/s",
            BYTES_PER_S,
        )
        yield Row(
            "entry",
            "configuration: processor",
            "change pushed in the zone",
            ("change-cpu",),
            self.multiply("change-cpu", CHANGES_PER_S),
            "ms/s",
            CPU_MS,
        )
        yield Row(
            "entry",
            "configuration: sent",
            "change pushed in the zone",
            ("change-bytes",),
            self.multiply("change-bytes", CHANGES_PER_S),
            "B/s",
            BYTES_PER_S,
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
            yield Row(
                "entry",
                cost,
                mechanism,
                (name,),
                self.compute(name, size),
                "KB",
                MEMORY_KB,
            )
        attempts = (REQUESTS_PER_S + ITEMS_PER_S) / ENTRIES
        yield Row(
            "entry, work",
            "routing",
            "choice over all agents",
            ("router-cpu",),
            self.compute("router-cpu", AGENTS) / 1e3 * attempts,
            "ms/s",
        )
        yield self._compute_work("entry", ENTRIES)

    def _iterate_agent(self) -> Iterator[Row]:
        links = TARGET.agent_links
        reports = ENTRIES * compute_reports_per_s(ENTRIES)
        parts = (
            ("heartbeats", "link", links, "all entries, three lanes"),
            ("load reports", "report", reports, "to all entries"),
        )
        for cost, name, size, mechanism in parts:
            yield from self._compute_link("agent", cost, name, size, mechanism)
        yield Row(
            "agent",
            "links: memory",
            "a peer for each lane",
            ("link-memory",),
            self.compute("link-memory", links),
            "KB",
            MEMORY_KB,
        )
        yield self._compute_work("agent", AGENTS)

    def _compute_link(
        self, role: str, cost: str, name: str, size: float, mechanism: str
    ) -> Iterator[Row]:
        is_report = name == "report"
        way = "received" if is_report and role == "entry" else "sent"
        yield Row(
            role,
            f"{cost}: processor",
            mechanism,
            (f"{name}-cpu",),
            self.multiply(f"{name}-cpu", size),
            "ms/s",
            CPU_MS,
        )
        yield Row(
            role,
            f"{cost}: {way}",
            mechanism,
            (f"{name}-bytes",),
            self.multiply(f"{name}-bytes", size),
            "B/s",
            BYTES_PER_S,
        )

    def _compute_work(self, role: str, count: int) -> Row:
        name = f"{role}-token-cpu"
        begin = self.compute(name, 0) * REQUESTS_PER_S / count
        tokens = self.multiply(name, TOKENS_PER_S / count)
        return Row(
            f"{role}, work",
            "requests and tokens",
            "HTTP and the online lane",
            (name,),
            begin + tokens,
            "ms/s",
        )

    def _iterate_owner(self) -> Iterator[Row]:
        items = ITEMS_PER_S / ENTRIES
        yield Row(
            "job owner, work",
            "items: processor",
            "packing, commits, ledger",
            ("item-cpu",),
            self.multiply("item-cpu", items),
            "ms/s",
        )
        yield Row(
            "job owner, work",
            "largest job: memory",
            "what one owner holds, with the trial store's copy",
            ("item-memory",),
            self.compute("item-memory", LARGEST_JOB),
            "KB",
        )

    def _iterate_store(self) -> Iterator[Row]:
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
                jobs + self.multiply("item-writes", ITEMS_PER_S),
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
                + self.multiply("item-reads", ITEMS_PER_S),
                "chunks of items",
            ),
        )
        for cost, name, value, mechanism in writes:
            yield Row(
                "store", cost, mechanism, (name,), value, "/s", STORE_WRITES
            )
        yield _add("store", "writes: all", writes, "/s", STORE_WRITES)
        for cost, name, value, mechanism in reads:
            yield Row(
                "store", cost, mechanism, (name,), value, "/s", STORE_READS
            )
        yield _add("store", "reads: all", reads, "/s", STORE_READS)
        watches = (
            ("", "config-watches", self.compute("config-watches", ENTRIES), ""),
            ("", "owner-watches", self.compute("owner-watches", ENTRIES), ""),
        )
        yield _add("store", "watches waiting", watches, "open", None)
        yield Row(
            "store",
            "membership bytes read",
            "the whole roster at each step",
            ("member-read-bytes",),
            self.compute("member-read-bytes", ENTRIES),
            "KB/s",
        )
        written = self.multiply("item-written-bytes", ITEMS_PER_S)
        yield Row(
            "store",
            "batch bytes written",
            "items and results as values",
            ("item-written-bytes",),
            written,
            "KB/s",
        )
        yield Row(
            "store",
            "batch bytes kept",
            f"{RETENTION_DAYS} days' retention",
            ("item-written-bytes",),
            written * DAY_S * RETENTION_DAYS / 1e6,
            "GB",
        )

    def _iterate_region_link(self) -> Iterator[Row]:
        yield Row(
            "region link",
            "heartbeats, each way",
            "full mesh across regions",
            ("link-bytes",),
            self.compute_heartbeat_mbit(TARGET),
            "Mbit/s",
            LINK_MBIT,
        )
        yield Row(
            "region link",
            "load reports, each way",
            "every agent to all entries",
            ("report-bytes",),
            self.compute_report_mbit(TARGET),
            "Mbit/s",
            LINK_MBIT,
        )
        rates = self.compute("limiter-bytes", ENTRIES) * ENTRIES / REGIONS
        yield Row(
            "region link",
            "rates, each way, if all of it crosses",
            "limiter's loans and grants",
            ("limiter-bytes",),
            rates / MBIT_BYTES,
            "Mbit/s",
            LINK_MBIT,
        )

    def compute_heartbeat_mbit(self, size: Size) -> float:
        """Return what heartbeats send each way between two regions."""
        return self.multiply("link-bytes", size.crossing_links) / MBIT_BYTES

    def compute_report_mbit(self, size: Size) -> float:
        """Return what load reports send each way between two regions."""
        pairs = size.agents / REGIONS * size.entries / REGIONS
        reports = pairs * compute_reports_per_s(size.entries)
        return self.multiply("report-bytes", reports) / MBIT_BYTES

    def iterate_breaks(self) -> Iterator[tuple[str, str, Size]]:
        """Yield each limit with the size, of the target's shape, it takes.

        Each is the first of its kind to be passed, alone.
        """

        def heartbeat_cpu(size: Size) -> bool:
            return self.multiply("link-cpu", size.entry_links) > CPU_MS

        def report_cpu(size: Size) -> bool:
            reports = size.agents * compute_reports_per_s(size.entries)
            return self.multiply("report-cpu", reports) > CPU_MS

        def heartbeat_bytes(size: Size) -> bool:
            return self.multiply("link-bytes", size.entry_links) > BYTES_PER_S

        def link_memory(size: Size) -> bool:
            return self.compute("link-memory", size.entry_links) > MEMORY_KB

        def region(size: Size) -> bool:
            mbit = self.compute_heartbeat_mbit(size)
            return mbit + self.compute_report_mbit(size) > LINK_MBIT

        def leases(size: Size) -> bool:
            return self.compute("owner-writes", size.entries) > STORE_WRITES

        limits = (
            ("1.2% of a core in an entry", "heartbeats", heartbeat_cpu),
            ("1.2% of a core in an entry", "load reports", report_cpu),
            ("23 KB/s from an entry", "heartbeats", heartbeat_bytes),
            ("32 MB in an entry", "sockets", link_memory),
            ("15 Mbit/s between regions", "both", region),
            ("300 writes/s of the store", "owners' leases", leases),
        )
        for limit, cause, is_over in limits:
            scale = SMALLEST
            while not is_over(Size(ENTRIES * scale, AGENTS * scale)):
                scale *= STEP
            yield limit, cause, Size(ENTRIES * scale, AGENTS * scale)


def _add(
    role: str,
    cost: str,
    parts: tuple[tuple[str, str, float, str], ...],
    unit: str,
    limit: float | None,
) -> Row:
    total = math.fsum(value for _, _, value, _ in parts)
    found = tuple(name for _, name, _, _ in parts)
    return Row(role, cost, "sum", found, total, unit, limit)


def render_rows(found: Iterable[slopes.Slope]) -> Iterator[str]:
    """Yield the table of costs at the target."""
    yield "| role | cost | mechanism | slope | value | limit | of the limit |"
    yield "| --- | --- | --- | --- | --- | --- | --- |"
    for row in Target(found).iterate_rows():
        limit = "" if row.limit is None else f"{row.limit:g} {row.unit}"
        share = "" if row.limit is None else _write_share(row.value / row.limit)
        cells = (
            row.role,
            row.cost,
            row.mechanism,
            ", ".join(row.slopes),
            f"{_shorten(row.value)} {row.unit}",
            limit,
            share,
        )
        yield f"| {' | '.join(cells)} |"


def render_breaks(found: Iterable[slopes.Slope]) -> Iterator[str]:
    """Yield the table of sizes at which limits are passed."""
    yield "| limit | by | entries | agents |"
    yield "| --- | --- | --- | --- |"
    for limit, cause, size in Target(found).iterate_breaks():
        entries, agents = math.floor(size.entries), math.floor(size.agents)
        yield f"| {limit} | {cause} | {entries} | {agents} |"


def _shorten(value: float) -> str:
    rounded = float(f"{value:.3g}")
    return f"{rounded:,.0f}" if rounded >= 100 else f"{rounded:g}"


def _write_share(share: float) -> str:
    if share > 1:
        return f"**{_shorten(share)} times**"
    return f"{float(f'{share * 100:.2g}'):g}%"
