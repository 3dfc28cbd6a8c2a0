"""A model of how much tasks of one class slow down tasks of another on the same worker.

The slowdown of a task beyond 1 is modelled as a sum over the classes of its neighbours: the share
of the worker's processors that the class uses, times a coefficient that depends on the pair of
classes and on the load level. The state is bounded and may be lost at any time; pairs without state
have their prior.
"""

from collections.abc import Mapping

from pollengate.bounded import BoundedDict
from pollengate.interference.coefficients import Coefficients

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
# Limit on one measurement, so that an outlier changes the estimates little.
MAX_EXCESS_SLOWDOWN = 4.0
# Keeps the variance of a measurement in range, whatever a worker reports.
MAX_SLOWDOWN = 1e6
MEAN_SMOOTHING_WEIGHT = 0.05
MIN_SHARE = 0.005


_PairKey = tuple[str, str, int]


class InterferenceModel:
    """Interference coefficients by victim class, aggressor class and load level.

    The victim is the task that is slowed down, the aggressor the neighbour that slows it down.
    """

    def __init__(self, max_pairs: int = MAX_PAIRS) -> None:
        self._coefficients: Coefficients[_PairKey] = Coefficients(
            self._prior, PRIOR_VARIANCE, DRIFT_VARIANCE, max_pairs
        )
        self._mean_by_aggressor: BoundedDict[str, float] = BoundedDict(MAX_CLASSES)

    def __len__(self) -> int:
        return len(self._coefficients)

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
        share_by_key = {
            (victim, aggressor, level): share
            for aggressor, share in shares.items()
            if share >= MIN_SHARE
        }
        noise = (MIN_NOISE + NOISE_PER_SLOWDOWN * min(slowdown, MAX_SLOWDOWN)) ** 2
        excess = min(slowdown - 1.0, MAX_EXCESS_SLOWDOWN)
        self._coefficients.observe(share_by_key, excess, noise)
        for key in share_by_key:
            self._update_mean(key[1], self._coefficients.get(key).mean)

    def level_of(self, load: float) -> int:
        """Returns the load level for a used share of a worker's processors."""
        return sum(load >= bound for bound in LOAD_LEVEL_BOUNDS)

    def coefficient(self, victim: str, aggressor: str, level: int) -> float:
        """Returns the slowdown beyond 1 if the aggressor used all of the worker's processors."""
        return self._coefficients.get((victim, aggressor, level)).mean

    def slowdown(self, victim: str, shares: Mapping[str, float], load: float) -> float:
        """Returns the expected slowdown of a task beside the given neighbours."""
        level = self.level_of(load)
        return 1.0 + sum(self.coefficient(victim, a, level) * share for a, share in shares.items())

    def _prior(self, key: _PairKey) -> float:
        """Returns the estimate of an adjacent load level, else the mean of the aggressor."""
        victim, aggressor, level = key
        for adjacent in (level - 1, level + 1):
            adjacent_key = (victim, aggressor, adjacent)
            if self._coefficients.has_own(adjacent_key):
                return self._coefficients.get(adjacent_key).mean
        return self._mean(aggressor)

    def _mean(self, aggressor: str) -> float:
        mean = self._mean_by_aggressor.get(aggressor)
        return PRIOR_COEFFICIENT if mean is None else mean

    def _update_mean(self, aggressor: str, coefficient: float) -> None:
        mean = self._mean(aggressor)
        self._mean_by_aggressor.put(aggressor, mean + MEAN_SMOOTHING_WEIGHT * (coefficient - mean))
