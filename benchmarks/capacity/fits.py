"""Straight-line fits of measurements."""

import dataclasses
import statistics
from collections.abc import Sequence

__all__ = ["Fit", "Point", "fit_line"]


@dataclasses.dataclass(frozen=True, slots=True)
class Point:
    """One measurement: the `value` found at a `size`."""

    size: float
    value: float


@dataclasses.dataclass(frozen=True, slots=True)
class Fit:
    """A line fitted to measurements.

    Attributes:
        base: value of the line at size 0.
        slope: increase of the value per unit of size.
        residual: largest difference between a point and the line, as a share of the point's
            value.
    """

    base: float
    slope: float
    residual: float

    def at(self, size: float) -> float:
        """Returns the value of the line at `size`."""
        return self.base + self.slope * size


def fit_line(points: Sequence[Point]) -> Fit:
    """Returns the least-squares line through the points.

    Args:
        points: at least two measurements at different sizes.
    """
    slope, base = statistics.linear_regression(
        [point.size for point in points], [point.value for point in points]
    )
    distances = [abs(base + slope * p.size - p.value) / abs(p.value or 1.0) for p in points]
    return Fit(base, slope, max(distances))
