"""Tests that a gang starts again where the only workers for it are suspected of something."""

import unittest

from pollengate.failure_evidence import FailureEvidence
from pollengate.workflow.crashes import TRIAL_CRASHES
from pollengate.workflow.progress import JobProgress

from tests.workflow_builders import (
    build_job,
    build_job_table,
    build_lease_worker,
    build_planner,
    build_step,
)

LABEL = "special"
FIRST_PROBE_AFTER_S = 4.0
GANG = build_step(2, is_gang=True, required_label=LABEL)


class GangWaitTest(unittest.TestCase):
    """Guards against a gang that waits for ever, as its members exclude each other."""

    def setUp(self) -> None:
        others = [build_lease_worker(f"w{number}") for number in range(1, 8)]
        self.job_table = build_job_table(build_lease_worker("w0", labels=(LABEL,)), *others)
        self.job = self.add_job("00000000000000aa")

    def add_job(self, job_id: str) -> JobProgress:
        """Adds a job with one gang that only the first worker may run."""
        job = build_job(job_id, GANG)
        self.job_table.add(job, 0.0, 0)
        return job

    def plan(self, now: float = 0.0) -> list[tuple[str, str]]:
        """Returns the tasks that a plan starts, and their workers."""
        runs = build_planner(self.job_table).plan(now)
        return [(run.task.name, run.worker_id) for run in runs]

    def test_gang_is_tried_as_a_whole_after_two_crashes_of_its_only_worker(self) -> None:
        for task in self.job.tasks():
            task.crashes = TRIAL_CRASHES
        names = [task.name for task in self.job.tasks()]
        self.assertEqual([(name, "w0") for name in names], self.plan())
        # Nothing else starts beside the trial.
        self.add_job("00000000000000bb")
        self.assertEqual([], self.plan(1.0))

    def test_gang_probes_its_only_worker_as_a_whole_when_a_probe_is_due(self) -> None:
        now = 0.0
        evidence = FailureEvidence(lambda: now, FIRST_PROBE_AFTER_S, 2 * FIRST_PROBE_AFTER_S)
        self.job_table.evidence = evidence
        for job_id in ("j1", "j2", "j3"):
            evidence.record_rejection(job_id, "w0")
        names = [task.name for task in self.job.tasks()]
        self.assertEqual([], self.plan())
        now = FIRST_PROBE_AFTER_S
        self.assertEqual([(name, "w0") for name in names], self.plan(now))
        # Nothing else starts beside the probe.
        self.add_job("00000000000000bb")
        self.assertEqual([], self.plan(now))
        evidence.record_success(names[0], self.job.job_id, "w0")
        self.assertEqual(2, len(self.plan(now)))


if __name__ == "__main__":
    unittest.main()
