"""Runs the fault matrix and renders the results as a page."""

from collections.abc import Iterator
from concurrent import futures
import itertools
import multiprocessing

import msgspec

from tests.matrix import agents
from tests.matrix import cells
from tests.matrix import simulation

WORKER_COUNT = 4

PAGE_HEADER = """# Fault matrix of batch jobs

Written by `python -m tests.matrix`; a test checks that it is current.

Each cell runs the job code of three entries, in virtual time and with a fixed
seed, against the in-memory store, {agents} stand-in agents of the agents'
contract and a caller with two jobs of {items} items each: one whose items may
be repeated (one of them always fails) and one whose items may not. A cell is
`ok` with the number of its runs (before and after the step took effect, and
for each kind of job where that matters) if in all of them

- both jobs end, and each item is in the results or errors exactly once,
- the answer to an item is its own, and an item that is answered has run,
- an item that may not be repeated ran at most once,
- whatever was said not to have run has not run,
- sending a job again gives the same job,
- nothing of a job starts after its cancel was acknowledged.

Faults last {pause:.0f} s (pause), {down:.0f} s (store down), {slow:.0f} s
(store slow, {delay} s a call), {gone:.0f} s (endpoint gone); the lease lasts
{lease:.0f} s. A killed entry is replaced after {replaced:.0f} s. A lost, late
or silent message is found by the sender after {timeout:.0f} s, and a late one
arrives nevertheless; a crossed one is overtaken by others, or holds what was
meant for another job. No endpoint checks a fence: an old owner is stopped by
the agents and by the store alone.
"""


class CellResult(msgspec.Struct, frozen=True):
    """Result of one cell or of one pair of faults."""

    row: str
    column: str
    runs: int
    failures: tuple[str, ...]

    def render(self) -> str:
        return (
            f"RED {len(self.failures)}" if self.failures else f"ok {self.runs}"
        )


def run_cell(cell: tuple[str, str]) -> CellResult:
    """Run the cases of one cell."""
    step, fault = cell
    runs = list(cells.iterate_cases(step, fault))
    failures = [
        f"{case.describe()}: {text}"
        for case in runs
        for text in cells.run_case(case)
    ]
    return CellResult(fault, step, len(runs), tuple(failures))


def run_pair(pair: tuple[str, str]) -> CellResult:
    """Run cases of one pair of faults."""
    cases = list(itertools.islice(cells.run_pair(*pair), cells.PAIR_RUNS))
    failures = [
        f"{case.describe()}: {text}"
        for case, failures_ in cases
        for text in failures_
    ]
    return CellResult(pair[0], pair[1], len(cases), tuple(failures))


def run_fixed_pair(number: int) -> CellResult:
    """Run one of the fixed pairs."""
    case = list(cells.iterate_fixed_pairs())[number]
    return CellResult(case.describe(), "", 1, tuple(cells.run_case(case)))


class Matrix(msgspec.Struct, frozen=True):
    """Results of the whole matrix."""

    cells: tuple[CellResult, ...]
    pairs: tuple[CellResult, ...]
    fixed_pairs: tuple[CellResult, ...]

    def iterate_failures(self) -> Iterator[str]:
        for cell in self.cells + self.pairs + self.fixed_pairs:
            for text in cell.failures:
                yield f"{cell.row} at {cell.column}: {text}"


def run_all() -> Matrix:
    """Run the matrix in a pool of worker processes."""
    context = multiprocessing.get_context("spawn")
    with futures.ProcessPoolExecutor(WORKER_COUNT, mp_context=context) as pool:
        single = pool.map(run_cell, cells.iterate_cells(), chunksize=4)
        pairs = pool.map(
            run_pair, itertools.combinations(cells.FAULTS, 2), chunksize=4
        )
        fixed_pairs = pool.map(
            run_fixed_pair, range(len(list(cells.iterate_fixed_pairs())))
        )
        return Matrix(tuple(single), tuple(pairs), tuple(fixed_pairs))


def _get_title(fault: str) -> str:
    return cells.TITLES.get(fault, fault)


def _render_table(
    rows: tuple[str, ...],
    columns: tuple[str, ...],
    text: dict[tuple[str, str], str],
) -> Iterator[str]:
    yield "| fault | " + " | ".join(columns) + " |"
    yield "| --- |" + " --- |" * len(columns)
    for row in rows:
        line = " | ".join(text.get((row, column), "") for column in columns)
        yield f"| {_get_title(row)} | {line} |"


def render(matrix: Matrix) -> Iterator[str]:
    """Yield the page's lines."""
    yield PAGE_HEADER.format(
        timeout=agents.PEER_TIMEOUT_S,
        agents=2 * agents.AGENTS_PER_KIND,
        items=cells.ONCE_ITEMS,
        pause=simulation.PAUSE_S,
        down=simulation.STORE_OUTAGE_S,
        slow=simulation.SLOW_STORE_S,
        delay=simulation.STORE_DELAY_S,
        gone=simulation.AGENT_REPLACEMENT_S,
        lease=simulation.LEASE_TTL_S,
        replaced=simulation.ENTRY_REPLACEMENT_S,
    )
    yield "## One fault\n"
    text = {(cell.row, cell.column): cell.render() for cell in matrix.cells}
    reasons: dict[str, str] = {}
    for fault, step in itertools.product(cells.FAULTS, cells.STEPS):
        reason = cells.explain_inapplicable(step, fault)
        if reason:
            letter = reasons.setdefault(reason, chr(ord("a") + len(reasons)))
            text[fault, step] = f"n/a ({letter})"
    yield from _render_table(cells.FAULTS, cells.STEPS, text)
    yield "\nNot applicable:\n"
    for reason, letter in reasons.items():
        yield f"- ({letter}) {reason}"
    yield "\n## Two faults\n"
    yield f"Runs of each pair, at steps chosen by seed {cells.SEED}.\n"
    text = {(cell.row, cell.column): cell.render() for cell in matrix.pairs}
    yield from _render_table(cells.FAULTS[:-1], cells.FAULTS[1:], text)
    yield "\nPairs that belong together:\n"
    for cell in matrix.fixed_pairs:
        yield f"- {cell.row}: {cell.render()}"
    runs = sum(c.runs for c in matrix.cells + matrix.pairs + matrix.fixed_pairs)
    red = sum(
        bool(c.failures)
        for c in matrix.cells + matrix.pairs + matrix.fixed_pairs
    )
    yield f"\n{runs} runs, {red} red."
