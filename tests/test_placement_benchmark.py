"""Runs a small part of the placement benchmark in virtual time with fixed seeds."""

import statistics
import unittest

from benchmarks.placement import Case, run_case

SEEDS = range(2)
MAX_LATENCY_SHARE = 0.7
MIN_WORK_SHARE = 0.97


class PlacementBenchmarkTest(unittest.TestCase):
    """Guards against a policy that no longer beats the baseline `least-loaded`.

    Many noisy batch tasks are submitted; the policy has to lower the latency of services and may
    lose little batch work.
    """

    def test_policy_lowers_latency_and_keeps_work_under_noisy_tasks(self) -> None:
        results = {
            policy: [run_case(Case("league", "noise-wave", policy, seed)) for seed in SEEDS]
            for policy in ("least-loaded", "policy")
        }
        p99 = {p: statistics.median(r.p99 for r in rs) for p, rs in results.items()}
        work = {p: statistics.median(r.work for r in rs) for p, rs in results.items()}
        self.assertLessEqual(p99["policy"], MAX_LATENCY_SHARE * p99["least-loaded"])
        self.assertGreaterEqual(work["policy"], MIN_WORK_SHARE * work["least-loaded"])
