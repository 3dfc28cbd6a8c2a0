"""A model of how much tasks of one class slow down tasks of another on the same worker.

The slowdown of a task beyond 1 is modelled as a sum over the classes of its neighbours: the share
of the worker's processors that the class uses, times a coefficient that depends on the pair of
classes and on the load level. The coefficients are estimated by a Kalman filter with a diagonal
covariance, so that the estimate of a pair with few samples stays near its prior and that of a
pair with many samples changes slowly. The state is bounded and may be lost at any time; pairs
without state have their prior.
"""

import dataclasses
from collections.abc import Mapping

from pollengate.bounded import BoundedDict

__all__ = ["InterferenceModel"]

# Used shares of a worker's processors at which the next load level begins.
LOAD_LEVEL_BOUNDS = (0.4, 0.6, 0.8)
MAX_PAIRS = 16_384
MAX_CLASSES = 4096
PRIOR_COEFFICIENT = 0.1
PRIOR_VARIANCE = 1.0
DRIFT_VARIANCE = 0.0005
# The standard deviation of a measurement is MIN_NOISE + NOISE_PER_SLOWDOWN * slowdown.
NOISE_PER_SLOWDOWN = 0.2
MIN_NOISE = 0.1
# Limits on one measurement, so that an outlier changes the estimates little.
MAX_EXCESS_SLOWDOWN = 4.0
MAX_ERROR_DEVIATIONS = 3.0
MEAN_SMOOTHING_WEIGHT = 0.05
MIN_SHARE = 0.005


@dataclasses.dataclass(slots=True)
class _Estimate:
    coefficient: float
    variance: float


_PairKey = tuple[str, str, int]


class InterferenceModel:
    """Interference coefficients by victim class, aggressor class and load level.

    The victim is the task that is slowed down, the aggressor the neighbour that slows it down.
    """

    def __init__(self, max_pairs: int = MAX_PAIRS) -> None:
        self._estimates_by_pair: BoundedDict[_PairKey, _Estimate] = BoundedDict(max_pairs)
        self._mean_by_aggressor: BoundedDict[str, float] = BoundedDict(MAX_CLASSES)

    def __len__(self) -> int:
        return len(self._estimates_by_pair)

    def observe(
        self, victim: str, shares: Mapping[str, float], load: float, slowdown: float
    ) -> None:
        """Updates the coefficients with one measurement.

        Args:
            victim: class of the task that was measured.
            shares: shares of the worker's processors that its neighbours use, by class.
            load: share of the worker's processors that all tasks use.
            slowdown: measured slowdown; 1 means none.
        """
        level = self.level_of(load)
        neighbours = [
            (self._estimate((victim, aggressor, level)), aggressor, share)
            for aggressor, share in shares.items()
            if share >= MIN_SHARE
        ]
        noise = (MIN_NOISE + NOISE_PER_SLOWDOWN * slowdown) ** 2
        innovation_variance = noise + sum(e.variance * share * share for e, _, share in neighbours)
        innovation = min(slowdown - 1.0, MAX_EXCESS_SLOWDOWN) - sum(
            e.coefficient * used_share for e, _, used_share in neighbours
        )
        bound = MAX_ERROR_DEVIATIONS * innovation_variance**0.5
        innovation = min(max(innovation, -bound), bound)
        for estimate, aggressor, share in neighbours:
            gain = estimate.variance * share / innovation_variance
            estimate.coefficient = max(estimate.coefficient + gain * innovation, 0.0)
            estimate.variance *= 1.0 - gain * share
            estimate.variance = min(estimate.variance + DRIFT_VARIANCE, PRIOR_VARIANCE)
            self._update_mean(aggressor, estimate.coefficient)

    def level_of(self, load: float) -> int:
        """Returns the load level for a used share of a worker's processors."""
        return sum(load >= bound for bound in LOAD_LEVEL_BOUNDS)

    def coefficient(self, victim: str, aggressor: str, level: int) -> float:
        """Returns the slowdown beyond 1 if the aggressor used all of the worker's processors."""
        estimate = self._estimates_by_pair.get((victim, aggressor, level))
        return self._prior(victim, aggressor, level) if estimate is None else estimate.coefficient

    def slowdown(self, victim: str, shares: Mapping[str, float], load: float) -> float:
        """Returns the expected slowdown of a task beside the given neighbours."""
        level = self.level_of(load)
        return 1.0 + sum(self.coefficient(victim, a, level) * share for a, share in shares.items())

    def _prior(self, victim: str, aggressor: str, level: int) -> float:
        """Returns the estimate of an adjacent load level, else the mean of the aggressor."""
        for adjacent in (level - 1, level + 1):
            estimate = self._estimates_by_pair.get((victim, aggressor, adjacent))
            if estimate is not None:
                return estimate.coefficient
        return self._mean(aggressor)

    def _estimate(self, key: _PairKey) -> _Estimate:
        estimate = self._estimates_by_pair.get(key) or _Estimate(self._prior(*key), PRIOR_VARIANCE)
        self._estimates_by_pair.put(key, estimate)
        return estimate

    def _mean(self, aggressor: str) -> float:
        mean = self._mean_by_aggressor.get(aggressor)
        return PRIOR_COEFFICIENT if mean is None else mean

    def _update_mean(self, aggressor: str, coefficient: float) -> None:
        mean = self._mean(aggressor)
        self._mean_by_aggressor.put(aggressor, mean + MEAN_SMOOTHING_WEIGHT * (coefficient - mean))
