"""Tracks the headroom that serving tasks would have without fillers beside them.

Headroom is the latency target divided by the latency, less 1: it is 0 at the target and negative
above it. The latency of a queue is inversely proportional to the service capacity that its load
leaves over, so that headroom falls linearly with a task's own load and with what its neighbours
take.

The load of the users of a step is spread evenly over its tasks, so that one level and one trend are
tracked for all of them, and a small offset for each run. This tells load from interference: load
changes the headroom of all tasks of a step, a neighbour that of one.
"""

import dataclasses
import math

from pollengate.interference.coefficients import Estimate

__all__ = ["HeadroomTrend", "RunOffset"]

# Variance of a level about which nothing is known, and the highest one.
LEVEL_VARIANCE = 1.0
# Variance of the change per second of a new level.
TREND_VARIANCE = 0.2**2
# Variance that the trend gains per second.
TREND_DRIFT_VARIANCE = 0.04
# Time constant with which a trend fades: load swings, and does not rise for ever.
TREND_TIME_S = 4.0
# Variance of a new offset, the same per second that passes, and the highest one.
OFFSET_VARIANCE = 0.02
OFFSET_DRIFT_VARIANCE = 0.01
MAX_OFFSET_VARIANCE = 1.0
# Time constant with which an offset fades.
OFFSET_TIME_S = 10.0


class HeadroomTrend:
    """Level and trend of the headroom of a step's tasks, by a Kalman filter.

    Args:
        level: expected headroom.
        at: clock time.
    """

    def __init__(self, level: float, at: float) -> None:
        self._level = level
        self._trend = 0.0
        self._level_variance = LEVEL_VARIANCE
        self._covariance = 0.0
        self._trend_variance = TREND_VARIANCE
        self._at = at

    def expect(self, at: float) -> Estimate:
        """Returns the headroom expected at a clock time."""
        elapsed_s = max(0.0, at - self._at)
        fading_s = TREND_TIME_S * (1 - math.exp(-elapsed_s / TREND_TIME_S))
        variance = (
            self._level_variance
            + 2 * elapsed_s * self._covariance
            + elapsed_s**2 * self._trend_variance
            + TREND_DRIFT_VARIANCE * elapsed_s**3 / 3
        )
        return Estimate(self._level + self._trend * fading_s, min(variance, LEVEL_VARIANCE))

    def advance(self, at: float) -> None:
        """Moves the state to a clock time; does nothing if that has passed."""
        elapsed_s = at - self._at
        if elapsed_s <= 0:
            return
        expected = self.expect(at)
        fade = math.exp(-elapsed_s / TREND_TIME_S)
        self._covariance = (
            fade * (self._covariance + elapsed_s * self._trend_variance)
            + TREND_DRIFT_VARIANCE * elapsed_s**2 / 2
        )
        self._trend_variance = min(
            fade**2 * self._trend_variance + TREND_DRIFT_VARIANCE * elapsed_s, TREND_VARIANCE
        )
        self._level, self._level_variance = expected.mean, expected.variance
        self._trend *= fade
        self._at = at

    def correct(self, error: float, total_variance: float) -> None:
        """Applies a measurement at the time of the state.

        Args:
            error: measured headroom less the expected one.
            total_variance: variance of the error, with that of the level.
        """
        level_gain = self._level_variance / total_variance
        trend_gain = self._covariance / total_variance
        self._level += level_gain * error
        self._trend += trend_gain * error
        self._trend_variance -= trend_gain * self._covariance
        self._covariance -= trend_gain * self._level_variance
        self._level_variance -= level_gain * self._level_variance


@dataclasses.dataclass(slots=True)
class RunOffset:
    """How much the headroom of one run differs from that of its step.

    A worker may be slow, or serve a larger part of a step's users than the others.

    Attributes:
        mean: expected offset.
        variance: its variance.
        at: clock time of the state.
    """

    mean: float
    variance: float
    at: float

    @classmethod
    def unknown(cls, at: float) -> "RunOffset":
        """Returns the offset of a run without measurements."""
        return cls(0.0, OFFSET_VARIANCE, at)

    def advance(self, at: float) -> None:
        """Moves the state to a clock time; does nothing if that has passed."""
        elapsed_s = max(0.0, at - self.at)
        fade = math.exp(-elapsed_s / OFFSET_TIME_S)
        self.mean *= fade
        self.variance = min(
            fade**2 * self.variance + OFFSET_DRIFT_VARIANCE * elapsed_s, MAX_OFFSET_VARIANCE
        )
        self.at = max(at, self.at)

    def correct(self, error: float, total_variance: float) -> None:
        """Applies a measurement; the arguments are those of `HeadroomTrend.correct`."""
        gain = self.variance / total_variance
        self.mean += gain * error
        self.variance *= 1 - gain
