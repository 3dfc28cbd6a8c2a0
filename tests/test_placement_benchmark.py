"""Runs a small, seeded part of the placement benchmark in virtual time."""

import statistics
import unittest

from benchmarks.placement import Case, run_case

SEEDS = range(2)
MAX_LATENCY_SHARE = 0.7
MIN_WORK_SHARE = 0.97


class PlacementBenchmarkTest(unittest.TestCase):
    """The aims of the league in the noise wave, against the plain baseline."""

    def test_lower_latency_at_no_less_work_in_the_noise_wave(self) -> None:
        results = {
            policy: [run_case(Case("league", "noise-wave", policy, seed)) for seed in SEEDS]
            for policy in ("least-loaded", "policy")
        }
        p99 = {p: statistics.median(r.p99 for r in rs) for p, rs in results.items()}
        work = {p: statistics.median(r.work for r in rs) for p, rs in results.items()}
        self.assertLessEqual(p99["policy"], MAX_LATENCY_SHARE * p99["least-loaded"])
        self.assertGreaterEqual(work["policy"], MIN_WORK_SHARE * work["least-loaded"])
