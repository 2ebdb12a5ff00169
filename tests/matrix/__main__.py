"""Runs the matrix, prints the page and writes `docs/FAULT-MATRIX.md`."""

import pathlib
import sys
from typing import Final

from tests.matrix import report

PAGE: Final = pathlib.Path(__file__).parents[2] / "docs" / "FAULT-MATRIX.md"


def main() -> int:
    """Run the matrix; return 1 if any check failed."""
    matrix = report.run_all()
    page = "\n".join(report.render(matrix)) + "\n"
    print(page)
    PAGE.write_text(page, encoding="utf-8")
    failures = list(matrix.iterate_failures())
    for text in failures:
        print(text, file=sys.stderr)
    return 1 if failures else 0


if __name__ == "__main__":
    sys.exit(main())
