"""Tests that the capacity page matches the measurements file and that counts are repeatable."""

import unittest

from benchmarks.capacity.fits import Point, fit_line
from benchmarks.capacity.measurements import read
from benchmarks.capacity.message_sizes import measure_message_sizes
from benchmarks.capacity.page import PAGE, extract_tables, render


class CapacityTest(unittest.TestCase):
    """The capacity page, the measurements file and the fit."""

    def test_page_shows_the_measurements(self) -> None:
        self.assertEqual(extract_tables(PAGE.read_text()), render(read()))

    def test_message_sizes_are_repeatable(self) -> None:
        self.assertEqual(measure_message_sizes(), read().messages)

    def test_fit_of_points_on_a_line_has_no_residual(self) -> None:
        fit = fit_line([Point(1, 5.0), Point(2, 7.0), Point(4, 11.0)])
        self.assertAlmostEqual(fit.base, 3.0)
        self.assertAlmostEqual(fit.slope, 2.0)
        self.assertAlmostEqual(fit.residual, 0.0)
