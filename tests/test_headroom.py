"""Tests of the filter that tracks the headroom of a step."""

import math
import random
import unittest

from pollengate.interference.headroom import LEVEL_VARIANCE, HeadroomTrend, RunOffset

HORIZONS_S = (0.0, 0.2, 0.5, 1.0, 2.0, 3.0, 10.0, 1e6)
NOISE = 0.01


class HeadroomTrendTest(unittest.TestCase):
    """A negative variance has no root, so that the decision that needs the deviation fails."""

    def check_variances(self, trend: HeadroomTrend, at: float) -> None:
        """Asserts that every variance expected from `at` on is positive and below the limit."""
        for horizon_s in HORIZONS_S:
            estimate = trend.expect(at + horizon_s)
            self.assertTrue(math.isfinite(estimate.mean), horizon_s)
            self.assertGreater(estimate.variance, 0.0, horizon_s)
            self.assertLessEqual(estimate.variance, LEVEL_VARIANCE, horizon_s)

    def observe(self, trend: HeadroomTrend, at: float, error: float, noise: float = NOISE) -> None:
        """Moves a filter to a time and applies a measurement."""
        trend.advance(at)
        trend.correct(error, trend.expect(at).variance + noise)

    def test_variances_stay_positive_after_a_pause_in_the_reports(self) -> None:
        for pause_s in (2.0, 3.0, 4.0, 6.0, 10.0, 100.0):
            with self.subTest(pause_s=pause_s):
                trend = HeadroomTrend(1.0, 0.0)
                at = 0.0
                for _ in range(20):
                    at += 0.45
                    self.observe(trend, at, 0.02)
                at += pause_s
                self.observe(trend, at, 0.02)
                self.check_variances(trend, at)

    def test_variances_stay_positive_for_any_sequence_of_gaps(self) -> None:
        for seed in range(300):
            generator = random.Random(seed)
            trend = HeadroomTrend(generator.uniform(-1.0, 5.0), 0.0)
            at = 0.0
            for _ in range(generator.randint(1, 60)):
                at += generator.choice((0.0, 1e-9, 0.01, 0.45, 1.0, 4.0, 8.0, 600.0))
                noise = 10.0 ** generator.uniform(-12, 6)
                with self.subTest(seed=seed, at=at):
                    self.observe(trend, at, generator.gauss(0.0, 2.0), noise)
                    self.check_variances(trend, at)

    def test_expectation_does_not_depend_on_the_steps_by_which_time_passes(self) -> None:
        trend = HeadroomTrend(1.0, 0.0)
        for number in range(1, 40):
            self.observe(trend, 0.45 * number, 0.3 if number % 3 else -0.2, noise=0.001)
        at = 0.45 * 39
        whole = trend.expect(at + 0.9)
        for number in range(1, 10):
            trend.advance(at + 0.05 * number)
        parts = trend.expect(at + 0.9)
        self.assertLess(whole.variance, LEVEL_VARIANCE)
        self.assertAlmostEqual(whole.mean, parts.mean, places=9)
        self.assertAlmostEqual(whole.variance, parts.variance, places=9)


class RunOffsetTest(unittest.TestCase):
    """The offset of a run is corrected with the same variances."""

    def test_variance_stays_positive_if_the_measurement_has_no_variance_of_its_own(self) -> None:
        offset = RunOffset.unknown(0.0)
        for _ in range(100):
            offset.correct(0.1, offset.variance)
            self.assertGreater(offset.variance, 0.0)
            self.assertTrue(math.isfinite(offset.mean))
