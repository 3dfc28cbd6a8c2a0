"""Estimates of the coefficients of a sum, each with its uncertainty.

A measurement is modelled as a sum over causes: a known share times an unknown coefficient that is
not negative. The coefficients are estimated by a Kalman filter with a diagonal covariance, so that
a coefficient with few samples stays near its prior and one with many samples changes slowly.

Estimates of other processes for the same causes may be added. Evidence is the precision beyond the
prior and the mean that it implies. It adds up, as long as each sample counts once: a process keeps
and exports only what it has measured itself.
"""

import dataclasses
import math
from collections.abc import Callable, Hashable, Iterable, Iterator, Mapping
from typing import Generic, TypeVar

from pollengate.bounded import BoundedDict

__all__ = ["Coefficients", "Estimate"]

K = TypeVar("K", bound=Hashable)

# Limits the effect of an outlier, in standard deviations of the expected measurement.
MAX_ERROR_DEVIATIONS = 5.0
# The lowest variance; its inverse is the highest precision.
MIN_VARIANCE = 1e-9


@dataclasses.dataclass(frozen=True, slots=True)
class Estimate:
    """Mean and variance of a quantity."""

    mean: float
    variance: float

    @property
    def deviation(self) -> float:
        """Standard deviation."""
        return math.sqrt(self.variance)


@dataclasses.dataclass(frozen=True, slots=True)
class _Evidence:
    """What samples add to a prior: precision, and precision times mean."""

    precision: float = 0.0
    weighted_mean: float = 0.0

    def __add__(self, other: "_Evidence") -> "_Evidence":
        return _Evidence(self.precision + other.precision, self.weighted_mean + other.weighted_mean)


class Coefficients(Generic[K]):
    """Coefficients by key.

    Args:
        prior_mean: returns the mean of a coefficient without samples.
        prior_variance: its variance, which is also the highest variance of any coefficient.
        drift_variance: added to the variance of a coefficient with each sample, since coefficients
            change over time.
        max_keys: maximum number of keys; the least recently changed ones are forgotten.
    """

    def __init__(
        self,
        prior_mean: Callable[[K], float],
        prior_variance: float,
        drift_variance: float,
        max_keys: int,
    ) -> None:
        self._prior_mean = prior_mean
        self._prior_variance = prior_variance
        self._drift_variance = drift_variance
        self._min_variance = max(drift_variance, MIN_VARIANCE)
        self._own_by_key: BoundedDict[K, Estimate] = BoundedDict(max_keys)
        self._others_by_key: dict[K, _Evidence] = {}

    def __len__(self) -> int:
        return len(self._own_by_key)

    def get(self, key: K) -> Estimate:
        """Returns a coefficient from all evidence, its prior if there is none."""
        own = self._own_by_key.get(key) or self._prior(key)
        others = self._others_by_key.get(key)
        if others is None:
            return own
        precision = 1 / own.variance + others.precision
        mean = (own.mean / own.variance + others.weighted_mean) / precision
        return Estimate(max(0.0, mean), 1 / precision)

    def has_own(self, key: K) -> bool:
        """Returns True if there are own samples of a coefficient, or loaded ones."""
        return key in self._own_by_key

    def expect(self, shares: Mapping[K, float]) -> Estimate:
        """Returns the expected sum of coefficients times shares."""
        estimates = [(self.get(key), share) for key, share in shares.items()]
        return Estimate(
            sum(estimate.mean * share for estimate, share in estimates),
            sum(estimate.variance * share * share for estimate, share in estimates),
        )

    def observe(self, shares: Mapping[K, float], measured: float, noise_variance: float) -> float:
        """Updates the coefficients with one measurement of the sum.

        Args:
            shares: share of each cause.
            measured: the measured sum.
            noise_variance: variance of the measurement's error.

        Returns:
            The difference between measured and expected sum, limited for outliers; 0 for a
            measurement that is out of range, which changes nothing.
        """
        expected = self.expect(shares)
        total_variance = expected.variance + noise_variance
        if not (math.isfinite(total_variance) and math.isfinite(measured)):
            return 0.0
        bound = MAX_ERROR_DEVIATIONS * math.sqrt(total_variance)
        error = min(max(measured - expected.mean, -bound), bound)
        for key, share in shares.items():
            merged = self.get(key)
            own = self._own_by_key.get(key) or self._prior(key)
            # The difference loses its digits if the share of this cause is large.
            other_variance = max(
                total_variance - merged.variance * share * share, noise_variance, MIN_VARIANCE
            )
            gain = own.variance * share / (own.variance * share * share + other_variance)
            own_error = error + (merged.mean - own.mean) * share
            variance = own.variance * (1 - gain * share) + self._drift_variance
            self.set_own(key, Estimate(own.mean + gain * own_error, variance))
        return error

    def own_items(self) -> Iterator[tuple[K, Estimate]]:
        """Yields the coefficients from own samples alone."""
        return self._own_by_key.items()

    def set_own(self, key: K, estimate: Estimate) -> None:
        """Replaces the own estimate of a coefficient."""
        mean = max(0.0, estimate.mean)
        self._own_by_key.put(key, Estimate(mean, self._limited_variance(estimate)))

    def replace_others(self, records: Iterable[Mapping[K, Estimate]]) -> set[K]:
        """Replaces the evidence of all other processes.

        Args:
            records: own estimates of each other process.

        Returns:
            The keys whose coefficients may have changed.
        """
        summed: dict[K, _Evidence] = {}
        for record in records:
            for key, estimate in record.items():
                summed[key] = summed.get(key, _Evidence()) + self._evidence(key, estimate)
        affected = set(self._others_by_key.keys() | summed.keys())
        self._others_by_key = summed
        return affected

    def _evidence(self, key: K, estimate: Estimate) -> _Evidence:
        variance = self._limited_variance(estimate)
        precision = max(0.0, 1 / variance - 1 / self._prior_variance)
        weighted_mean = estimate.mean / variance - self._prior_mean(key) / self._prior_variance
        return _Evidence(precision, weighted_mean if precision else 0.0)

    def _limited_variance(self, estimate: Estimate) -> float:
        return min(max(estimate.variance, self._min_variance), self._prior_variance)

    def _prior(self, key: K) -> Estimate:
        return Estimate(self._prior_mean(key), self._prior_variance)
