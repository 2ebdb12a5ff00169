"""Run the benchmarks; print lines of JSON, then a table.

The lines are also written to `out/bench.jsonl`. Arguments are the names of the
suites to run; the default is all.
"""

from collections.abc import Callable
from collections.abc import Iterable
import pathlib
import sys
from typing import Any
from typing import Final

import msgspec

from bench import jobs
from bench import limits
from bench import path
from bench import routing
from bench import sharing

OUTPUT: Final = pathlib.Path("out") / "bench.jsonl"
SUITES: Final[dict[str, Callable[[], Iterable[Any]]]] = {
    "path": path.run,
    "sharing": sharing.run,
    "limits": limits.run,
    "routing": routing.run,
    "jobs": jobs.run,
}


def main(names: list[str]) -> int:
    """Run the suites `names`, by default all; return the exit code."""
    unknown = sorted(set(names) - SUITES.keys())
    if unknown:
        sys.stderr.write(
            f"unknown suite: {', '.join(unknown)}; known: {', '.join(SUITES)}\n"
        )
        return 2
    OUTPUT.parent.mkdir(exist_ok=True)
    results: list[tuple[str, dict[str, Any]]] = []
    with OUTPUT.open("wb") as output:
        for name in names or SUITES:
            for case in SUITES[name]():
                figures = msgspec.to_builtins(case)
                line = msgspec.json.encode({"suite": name, **figures}) + b"\n"
                output.write(line)
                sys.stdout.write(line.decode())
                sys.stdout.flush()
                results.append((name, figures))
    for name, figures in results:
        sys.stdout.write("".join(render(name, figures)))
    return 0


def render(suite: str, figures: dict[str, Any]) -> Iterable[str]:
    """Yield the lines of the table of one case."""
    yield f"\n{suite}: {figures.get('case', '')}\n"
    for key, value in figures.items():
        if key != "case":
            yield f"  {key:<32} {value}\n"


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
