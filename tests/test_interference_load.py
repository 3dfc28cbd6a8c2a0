"""Plays batch jobs beside serving tasks whose load swings, and checks what both callers get."""

import statistics
import unittest

from tests.shared_workers import Outcome, Policy, SharedWorkers

SEEDS = (1, 2, 3)
# Time for which fillers may keep a serving task over its target.
LATENCY_MISS_S = 4.0
# Load: twelve workers that serving tasks nearly fill, and batch work for half of what they leave.
WORKERS = 12
JOBS_PER_S = 1.1
PLAYED_S = 25.0


class InterferenceLoadTest(unittest.TestCase):
    """Compares amounts with least loaded placement, and with a verdict for each pair of images."""

    outcomes: dict[Policy, list[Outcome]]

    @classmethod
    def setUpClass(cls) -> None:
        cls.outcomes = {
            policy: [SharedWorkers(n, WORKERS, JOBS_PER_S, policy).play(PLAYED_S) for n in SEEDS]
            for policy in Policy
        }

    def mean(self, policy: Policy, name: str) -> float:
        """Returns the mean of a figure over all seeds."""
        return statistics.mean(getattr(outcome, name) for outcome in self.outcomes[policy])

    def test_no_serving_task_is_kept_over_its_target_for_long(self) -> None:
        for outcome in self.outcomes[Policy.AMOUNTS]:
            self.assertLess(outcome.longest_over_s, LATENCY_MISS_S)

    def test_serving_tasks_are_over_their_target_for_less_time(self) -> None:
        # The verdict knows all pairs from the beginning; amounts have to be learned.
        over = {policy: self.mean(policy, "over_target") for policy in Policy}
        self.assertLess(over[Policy.AMOUNTS], over[Policy.NONE] / 3)
        self.assertLess(over[Policy.AMOUNTS], over[Policy.VERDICT])

    def test_batch_jobs_end_while_they_are_of_use(self) -> None:
        # Guards against fillers that wait for a worker without the images that they disturb.
        served = {p: self.mean(p, "in_time") + self.mean(p, "late") for p in Policy}
        self.assertGreaterEqual(served[Policy.AMOUNTS], served[Policy.VERDICT])
        self.assertGreater(served[Policy.AMOUNTS], 0.9)


if __name__ == "__main__":
    unittest.main()
