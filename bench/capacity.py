"""Measures the slopes of `docs/CAPACITY.md` and updates its tables.

Run `make capacity`; it takes about three minutes and a few processes.
"""

from collections.abc import Iterable
from collections.abc import Iterator
import pathlib
import re
import sys
import time
from typing import Final

from bench import capacity_jobs
from bench import capacity_limiter
from bench import capacity_links
from bench import capacity_members
from bench import capacity_processes
from bench import capacity_slopes as slopes
from bench import capacity_state
from bench import capacity_target

PAGE_PATH: Final = slopes.FOLDER_PATH.parent / "CAPACITY.md"
MODULES: Final = (
    capacity_links,
    capacity_state,
    capacity_members,
    capacity_jobs,
    capacity_processes,
    capacity_limiter,
)


def measure() -> Iterator[slopes.Slope]:
    """Measure the slopes of all modules; print the time of each to stderr."""
    for module in MODULES:
        started_at = time.monotonic()
        yield from module.run()
        seconds = time.monotonic() - started_at
        sys.stderr.write(f"{module.__name__}: {seconds:.0f} s\n")


def render_resident(
    resident_mb_by_name: Iterable[tuple[str, float]],
) -> Iterator[str]:
    """Yield the lines of the table of resident memory without load."""
    yield "| what is imported | resident, MB |"
    yield "| --- | --- |"
    for name, resident_mb in resident_mb_by_name:
        yield f"| {name} | {resident_mb:g} |"


def render_tables(measured: tuple[slopes.Slope, ...]) -> dict[str, str]:
    """Return the tables that are computed from the slopes, by name."""
    lines_by_name = {
        "slopes": slopes.render_table(measured),
        "target": capacity_target.render_rows(measured),
        "breaks": capacity_target.render_limits(measured),
    }
    return {name: "\n".join(lines) for name, lines in lines_by_name.items()}


def extract_table(page: str, name: str) -> str:
    """Return the table `name` of a page, or an empty string."""
    match = re.search(_make_pattern(name), page, re.DOTALL)
    return match.group(2) if match else ""


def replace_table(page: str, name: str, table: str) -> str:
    """Return the page with its table `name` replaced."""
    return re.sub(
        _make_pattern(name),
        lambda match: f"{match[1]}{table}{match[3]}",
        page,
        flags=re.DOTALL,
    )


def _make_pattern(name: str) -> str:
    return rf"(<!-- {name} -->\n\n)(.*?)(\n\n<!-- end -->)"


def update_page(path: pathlib.Path, tables_by_name: dict[str, str]) -> None:
    """Replace the tables of the page at `path`."""
    page = path.read_text(encoding="utf-8")
    for name, table in tables_by_name.items():
        page = replace_table(page, name, table)
    path.write_text(page, encoding="utf-8")


def main() -> int:
    """Measure; write the figures, plots and tables; return the exit code."""
    resident = "\n".join(render_resident(capacity_processes.measure_resident()))
    measured = tuple(measure())
    slopes.write_slopes(measured)
    tables_by_name = render_tables(measured) | {"resident": resident}
    for table in tables_by_name.values():
        sys.stdout.write(f"{table}\n\n")
    update_page(PAGE_PATH, tables_by_name)
    return 0


if __name__ == "__main__":
    sys.exit(main())
