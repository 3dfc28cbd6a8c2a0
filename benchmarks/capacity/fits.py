"""Straight-line fits of measurements."""

import dataclasses
import statistics
from collections.abc import Sequence

__all__ = ["Fit", "Point", "fit_line"]


@dataclasses.dataclass(frozen=True, slots=True)
class Point:
    """One measurement: `value` at size `size`."""

    size: float
    value: float


@dataclasses.dataclass(frozen=True, slots=True)
class Fit:
    """A line through measurements.

    Attributes:
        base: value at size 0.
        slope: growth per unit of size.
        residual: largest distance of a point from the line, as a share of its value.
    """

    base: float
    slope: float
    residual: float

    def at(self, size: float) -> float:
        """Returns the value of the line at a size."""
        return self.base + self.slope * size


def fit_line(points: Sequence[Point]) -> Fit:
    """Fits a line by least squares.

    Args:
        points: at least two measurements at different sizes.
    """
    slope, base = statistics.linear_regression(
        [point.size for point in points], [point.value for point in points]
    )
    distances = [abs(base + slope * p.size - p.value) / abs(p.value or 1.0) for p in points]
    return Fit(base, slope, max(distances))
