"""Tests of the interference model."""

import random
import unittest

from pollengate.interference.slowdowns import PRIOR_COEFFICIENT, InterferenceModel


class InterferenceModelTest(unittest.TestCase):
    """Learning of coefficients, priors, the effect of single samples, and bounds."""

    def test_unseen_pair_has_the_prior(self) -> None:
        self.assertEqual(InterferenceModel().coefficient("a", "b", 0), PRIOR_COEFFICIENT)

    def test_learns_asymmetric_coefficients_and_load_levels_from_noisy_measurements(self) -> None:
        model = InterferenceModel()
        generator = random.Random(3)
        for _ in range(400):
            share = generator.uniform(0.1, 0.5)
            noise = generator.gauss(0.0, 0.15)
            model.observe("service", {"noisy": share}, 0.9, 1.0 + 2.0 * share + noise)
            model.observe("service", {"noisy": share}, 0.3, 1.0 + noise)
            model.observe("noisy", {"service": share}, 0.9, 1.0 + noise)
        self.assertAlmostEqual(model.coefficient("service", "noisy", 3), 2.0, delta=0.4)
        self.assertLess(model.coefficient("service", "noisy", 0), 0.4)
        self.assertLess(model.coefficient("noisy", "service", 3), 0.4)

    def test_slowdown_is_attributed_to_the_neighbour_that_causes_it(self) -> None:
        model = InterferenceModel()
        generator = random.Random(4)
        for _ in range(400):
            shares = {"noisy": generator.uniform(0, 0.4), "quiet": generator.uniform(0, 0.4)}
            model.observe("service", shares, 0.9, 1.0 + 2.0 * shares["noisy"])
        self.assertGreater(model.coefficient("service", "noisy", 3), 1.5)
        self.assertLess(model.coefficient("service", "quiet", 3), 0.3)

    def test_one_sample_moves_an_estimate_only_part_of_the_way(self) -> None:
        model = InterferenceModel()
        model.observe("service", {"noisy": 0.2}, 0.9, 1.6)
        self.assertLess(model.coefficient("service", "noisy", 3), 1.5)
        self.assertGreater(model.coefficient("service", "noisy", 3), PRIOR_COEFFICIENT)

    def test_outlier_changes_an_estimate_with_many_samples_little(self) -> None:
        model = InterferenceModel()
        for _ in range(200):
            model.observe("service", {"quiet": 0.3}, 0.9, 1.0)
        model.observe("service", {"quiet": 0.3}, 0.9, 50.0)
        self.assertLess(model.coefficient("service", "quiet", 3), 0.3)

    def test_slowdown_out_of_range_does_not_raise(self) -> None:
        model = InterferenceModel()
        for slowdown in (1e200, float("inf")):
            model.observe("service", {"noisy": 0.3}, 0.9, slowdown)
        self.assertLess(model.coefficient("service", "noisy", 3), 0.3)

    def test_state_is_bounded(self) -> None:
        model = InterferenceModel(max_pairs=100)
        for number in range(1000):
            model.observe(f"class-{number}", {"noisy": 0.3}, 0.9, 1.5)
        self.assertEqual(len(model), 100)
