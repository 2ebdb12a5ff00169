"""Runs the fault matrix and compares it with the committed page."""

import unittest

from tests.matrix import __main__ as main
from tests.matrix import report


class FaultMatrixTest(unittest.TestCase):
    def test_no_cell_is_red_and_the_page_is_current(self) -> None:
        matrix = report.run_all()
        self.assertEqual([], list(matrix.iterate_failures()))
        page = "\n".join(report.render(matrix)) + "\n"
        self.assertEqual(main.PAGE.read_text(encoding="utf-8"), page)


if __name__ == "__main__":
    unittest.main()
