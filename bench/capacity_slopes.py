"""Costs by size with fitted lines, their table and their plots."""

from collections.abc import Iterable
from collections.abc import Iterator
from collections.abc import Mapping
import pathlib
from typing import Final

from matplotlib import figure
import msgspec

from bench import fits

FOLDER_PATH: Final = pathlib.Path(__file__).parent.parent / "docs" / "capacity"
FIGURES_PATH: Final = FOLDER_PATH / "slopes.json"
PLOT_SIZE_INCHES: Final = (4.0, 2.6)
PLOT_DPI: Final = 60
SIGNIFICANT_DIGITS: Final = 4
MIN_POINTS: Final = 4
ROUNDING_TOLERANCE: Final = 1e-12


class Slope(msgspec.Struct, frozen=True):
    """A cost measured at several sizes, with a fitted line.

    Attributes:
        name: Unique name.
        per: Meaning of one unit of the size.
        unit: Unit of the cost.
        points: Sizes with the measured costs.
        line: The line fitted through the points.
        is_bounded: Whether the mechanism bounds the cost, so that the largest
            measured cost is used and not the line.
    """

    name: str
    per: str
    unit: str
    points: tuple[tuple[float, float], ...]
    line: fits.Line
    is_bounded: bool = False

    def compute(self, size: float) -> float:
        """Return the cost at `size`, extrapolated unless it is bounded."""
        if self.is_bounded:
            return max(cost for _, cost in self.points)
        return self.line.compute(size)


def create_slope(
    name: str,
    per: str,
    unit: str,
    costs_by_size: Mapping[int, Mapping[str, float]],
    cost: str,
    *,
    is_bounded: bool = False,
) -> Slope:
    """Create the slope of one of the costs that were measured at each size.

    Raises:
        ValueError: There are fewer than `MIN_POINTS` sizes.
    """
    points = tuple(
        (float(size), _round(costs[cost]))
        for size, costs in costs_by_size.items()
    )
    if len(points) < MIN_POINTS:
        raise ValueError(f"{name} has only {len(points)} points")
    line = fits.fit(points)
    tolerance = ROUNDING_TOLERANCE * max(abs(cost) for _, cost in points)
    rounded = fits.Line(
        *(
            _round(value) if abs(value) > tolerance else 0.0
            for value in (line.intercept, line.slope, line.error)
        )
    )
    return Slope(name, per, unit, points, rounded, is_bounded)


def _round(value: float) -> float:
    return float(f"{value:.{SIGNIFICANT_DIGITS}g}")


def render_table(slopes: Iterable[Slope]) -> Iterator[str]:
    """Yield the lines of the table for `docs/CAPACITY.md`."""
    yield "| name | for each | unit | slope | at 0 | error | sizes | taken |"
    yield "| --- | --- | --- | --- | --- | --- | --- | --- |"
    for slope in slopes:
        sizes = ", ".join(f"{size:g}" for size, _ in slope.points)
        cells = (
            f"[{slope.name}](capacity/{slope.name}.png)",
            slope.per,
            slope.unit,
            f"{slope.line.slope:g}",
            f"{slope.line.intercept:g}",
            f"{slope.line.error:g}",
            sizes,
            "largest measured" if slope.is_bounded else "line",
        )
        yield f"| {' | '.join(cells)} |"


def write_slopes(slopes: tuple[Slope, ...]) -> None:
    """Write the figures and a plot of each slope to `FOLDER_PATH`."""
    FOLDER_PATH.mkdir(exist_ok=True)
    text = msgspec.json.format(msgspec.json.encode(slopes), indent=1)
    FIGURES_PATH.write_bytes(text + b"\n")
    for slope in slopes:
        _plot(slope)


def read_slopes() -> tuple[Slope, ...]:
    """Read the figures that were last written."""
    return msgspec.json.decode(
        FIGURES_PATH.read_bytes(), type=tuple[Slope, ...]
    )


def _plot(slope: Slope) -> None:
    plot = figure.Figure(figsize=PLOT_SIZE_INCHES, layout="constrained")
    axes = plot.subplots()
    sizes = [size for size, _ in slope.points]
    axes.plot(sizes, [cost for _, cost in slope.points], "o")
    ends = (0.0, max(sizes))
    axes.plot(ends, [slope.line.compute(end) for end in ends], "-")
    axes.set_xlabel(slope.per)
    axes.set_ylabel(slope.unit)
    axes.set_title(slope.name)
    plot.savefig(
        FOLDER_PATH / f"{slope.name}.png",
        dpi=PLOT_DPI,
        metadata={"Software": None},
    )
