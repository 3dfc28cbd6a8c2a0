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
# The lowest variance: more measurements tell no more about load that changes all the time.
MIN_VARIANCE = 1e-6
# Variance of the change per second of a new level, and the highest one.
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

    The trend fades and changes at random (an Ornstein-Uhlenbeck process), and the level is its
    integral. The covariance matrix is kept factored (UD form): the variance of the level, the
    regression of the trend on the level, and the variance that the trend has beside it. It is
    positive definite for any values of these, so that no pause and no rounding makes a variance
    negative.

    Args:
        level: expected headroom.
        at: clock time.
    """

    def __init__(self, level: float, at: float) -> None:
        self._level = level
        self._trend = 0.0
        self._level_variance = LEVEL_VARIANCE
        self._regression = 0.0
        self._residual_variance = TREND_VARIANCE
        self._at = at

    def expect(self, at: float) -> Estimate:
        """Returns the headroom expected at a clock time."""
        elapsed_s = max(0.0, at - self._at)
        variance = min(self._uncapped_variance(elapsed_s), LEVEL_VARIANCE)
        return Estimate(self._level + self._trend * _fading_s(elapsed_s), variance)

    def advance(self, at: float) -> None:
        """Moves the state to a clock time; does nothing if that has passed."""
        elapsed_s = at - self._at
        if elapsed_s <= 0:
            return
        fading_s = _fading_s(elapsed_s)
        faded_share = fading_s / TREND_TIME_S
        fade = 1 - faded_share
        level_variance = self._uncapped_variance(elapsed_s)
        covariance = (
            fade * self._regression * self._level_variance * (1 + fading_s * self._regression)
            + fade * fading_s * self._residual_variance
            + TREND_DRIFT_VARIANCE * fading_s**2 / 2
        )
        trend_variance = (
            fade**2 * (self._residual_variance + self._regression**2 * self._level_variance)
            + TREND_DRIFT_VARIANCE * fading_s * (2 - faded_share) / 2
        )
        # Both scales apply to the covariance, too: limits of the variances alone would leave level
        # and trend correlated by more than 1.
        level_scale = math.sqrt(LEVEL_VARIANCE / max(level_variance, LEVEL_VARIANCE))
        trend_scale = math.sqrt(TREND_VARIANCE / max(trend_variance, TREND_VARIANCE))
        residual_variance = max(0.0, trend_variance - covariance**2 / level_variance)
        self._regression = covariance / level_variance * trend_scale / level_scale
        self._residual_variance = residual_variance * trend_scale**2
        self._level += self._trend * fading_s
        self._level_variance = level_variance * level_scale**2
        self._trend *= fade
        self._at = at

    def correct(self, error: float, total_variance: float) -> None:
        """Applies a measurement at the time of the state.

        Args:
            error: measured headroom less the expected one.
            total_variance: variance of the error, with that of the level.
        """
        other_variance = max(total_variance - self._level_variance, MIN_VARIANCE)
        total_variance = self._level_variance + other_variance
        level_change = self._level_variance / total_variance * error
        self._level += level_change
        self._trend += self._regression * level_change
        # A measurement of the level changes neither the regression nor what the trend has beside.
        self._level_variance = max(
            MIN_VARIANCE, self._level_variance * other_variance / total_variance
        )

    def _uncapped_variance(self, elapsed_s: float) -> float:
        """Returns the variance of the level after some time, as a sum of positive terms."""
        fading_s = _fading_s(elapsed_s)
        faded_share = fading_s / TREND_TIME_S
        # The difference loses all its digits for short times; the second value is its leading term
        # and a lower bound at all times.
        drift = max(elapsed_s / TREND_TIME_S - faded_share - faded_share**2 / 2, faded_share**3 / 3)
        variance = (
            self._level_variance * (1 + fading_s * self._regression) ** 2
            + self._residual_variance * fading_s**2
            + TREND_DRIFT_VARIANCE * TREND_TIME_S**3 * drift
        )
        return max(MIN_VARIANCE, variance)


def _fading_s(elapsed_s: float) -> float:
    """Returns the time for which a trend at its present value would change the level as much."""
    return -TREND_TIME_S * math.expm1(-elapsed_s / TREND_TIME_S)


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
        gain = self.variance / max(total_variance, self.variance + MIN_VARIANCE)
        self.mean += gain * error
        self.variance = max(MIN_VARIANCE, self.variance * (1 - gain))
