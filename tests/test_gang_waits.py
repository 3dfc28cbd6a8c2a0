"""Tests that a gang starts again where the only workers for it are suspected of something."""

import unittest

from pollengate.failure_evidence import FailureEvidence
from pollengate.workflow.clients import EndKind
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
# A gang may return to the workers that failed it this long after its second failure.
SECOND_RETURN_S = 4.0
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

    def test_gang_starts_again_after_each_member_has_failed_on_the_same_worker(self) -> None:
        # Guards against a last member that finds no worker, as the others have just been placed.
        now = 0.0
        self.job_table = build_job_table(
            *(build_lease_worker(f"w{number}", labels=(LABEL,)) for number in range(2)),
            max_attempts=4,
        )
        self.job_table.evidence = FailureEvidence(lambda: now)
        gang = build_step(2, is_gang=True, required_label=LABEL, max_per_worker=1)
        job = build_job("00000000000000cc", gang)
        self.job_table.add(job, 0.0, 0)
        for failed in job.tasks():
            runs = build_planner(self.job_table).plan(now)
            self.assertEqual(2, len(runs))
            for run in runs:
                self.job_table.mark_started(run, now)
            (on_first,) = (run for run in runs if run.worker_id == "w0")
            self.assertIs(failed, on_first.task)
            self.job_table.mark_ended(on_first, EndKind.FAILED, "", now, 0)
            for run in runs:
                if run is not on_first:
                    self.job_table.mark_ended(run, EndKind.STOPPED, "", now, 0)
        self.assertEqual([], self.plan(now))
        now = SECOND_RETURN_S - 0.1
        self.assertEqual([], self.plan(now), "the failures of all members count")
        now = SECOND_RETURN_S
        self.assertEqual(2, len(self.plan(now)))


if __name__ == "__main__":
    unittest.main()
