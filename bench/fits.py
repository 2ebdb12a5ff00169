"""Linear regression through measured points."""

from collections.abc import Sequence

import msgspec
import numpy


class Line(msgspec.Struct, frozen=True):
    """A fitted line `intercept + slope * x`.

    Attributes:
        intercept: The value at 0.
        slope: The change of y per unit of x.
        error: Root mean square of the residuals, in units of y.
    """

    intercept: float
    slope: float
    error: float

    def compute(self, x: float) -> float:
        """Return the line's value at `x`."""
        return self.intercept + self.slope * x


def fit(points: Sequence[tuple[float, float]]) -> Line:
    """Fit a line by least squares through at least two points."""
    x, y = (
        numpy.array(column, dtype=float) for column in zip(*points, strict=True)
    )
    slope, intercept = numpy.polyfit(x, y, 1)
    residuals = y - (intercept + slope * x)
    error = float(numpy.sqrt(numpy.mean(residuals**2)))
    return Line(float(intercept), float(slope), error)
