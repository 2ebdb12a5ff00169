"""Tests of the fitted lines and of the tables on the capacity page."""

import unittest

from bench import capacity
from bench import capacity_slopes as slopes
from bench import fits

LINES = {
    "flat": (3.0, 0.0),
    "rising": (2.0, 0.5),
    "falling": (-1.0, -4.0),
}
# Residuals of 1, -1, -1 and 1 from the line 1 + 2x.
NOISY = ((0.0, 2.0), (1.0, 2.0), (2.0, 4.0), (3.0, 8.0))


class FitsTest(unittest.TestCase):
    def test_points_on_a_line_give_the_line(self) -> None:
        for name, (intercept, slope) in LINES.items():
            with self.subTest(name):
                sizes = (1.0, 4.0, 9.0, 16.0)
                line = fits.fit([(x, intercept + slope * x) for x in sizes])
                self.assertAlmostEqual(intercept, line.intercept)
                self.assertAlmostEqual(slope, line.slope)
                self.assertAlmostEqual(0.0, line.error)
                self.assertAlmostEqual(
                    intercept + slope * 100, line.compute(100)
                )

    def test_the_error_is_that_of_the_residuals(self) -> None:
        line = fits.fit(NOISY)
        self.assertAlmostEqual(1.0, line.intercept)
        self.assertAlmostEqual(2.0, line.slope)
        self.assertAlmostEqual(1.0, line.error)


class SlopesTest(unittest.TestCase):
    def test_three_points_are_too_few(self) -> None:
        costs = {n: {"ms": 1.0 * n} for n in (1, 2, 3)}
        with self.assertRaises(ValueError):
            slopes.create_slope("few", "thing", "ms", costs, "ms")

    def test_a_bounded_cost_is_not_extrapolated(self) -> None:
        costs = {n: {"ms": 1.0 * n} for n in (1, 2, 3, 4)}
        for is_bounded, expected in ((True, 4.0), (False, 100.0)):
            with self.subTest(is_bounded=is_bounded):
                created = slopes.create_slope(
                    "one", "thing", "ms", costs, "ms", is_bounded=is_bounded
                )
                self.assertAlmostEqual(expected, created.compute(100))


class PageTest(unittest.TestCase):
    def test_the_page_shows_the_tables_of_the_figures(self) -> None:
        page = capacity.PAGE_PATH.read_text(encoding="utf-8")
        for name, table in capacity.render_tables(slopes.read_slopes()).items():
            with self.subTest(name):
                self.assertEqual(table, capacity.extract_table(page, name))

    def test_the_stored_lines_fit_the_stored_points(self) -> None:
        for one in slopes.read_slopes():
            with self.subTest(one.name):
                line = fits.fit(one.points)
                tolerance = 1e-3 * max(1.0, abs(line.slope))
                self.assertAlmostEqual(
                    line.slope, one.line.slope, delta=tolerance
                )
                self.assertTrue(
                    (slopes.FOLDER_PATH / f"{one.name}.png").exists()
                )


if __name__ == "__main__":
    unittest.main()
