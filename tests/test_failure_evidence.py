"""Tests that faulty workers are distinguished from faulty tasks and jobs."""

import unittest

from pollengate.failure_evidence import FIRST_PROBE_AFTER_S, FailureEvidence, RetryDecision

from tests.utils import ManualClock

WORKERS = 10


class FailureEvidenceTest(unittest.TestCase):
    """Quarantine of workers, giving up tasks, and probes."""

    def setUp(self) -> None:
        self.clock = ManualClock()
        self.failures = FailureEvidence(self.clock)

    def fail(self, job_id: str, worker_id: str, index: int = 0) -> RetryDecision:
        """Records the failure of one task of a job on a worker."""
        return self.failures.record_failure(f"{job_id}.{index}", job_id, worker_id, WORKERS)

    def test_worker_that_fails_several_jobs_is_quarantined_and_the_jobs_are_retried(self) -> None:
        decisions = {self.fail(job_id, "bad") for job_id in ("a", "b", "c")}
        self.assertEqual(decisions, {RetryDecision.RETRY})
        self.assertTrue(self.failures.is_quarantined("bad"))
        self.assertFalse(self.failures.admits("bad", "d.0"))

    def test_task_that_fails_on_several_workers_is_given_up_and_they_are_not_quarantined(
        self,
    ) -> None:
        decisions = [self.fail("a", worker) for worker in ("w0", "w1", "w2")]
        self.assertEqual(
            decisions, [RetryDecision.RETRY, RetryDecision.RETRY, RetryDecision.GIVE_UP]
        )
        self.assertFalse(any(self.failures.is_quarantined(w) for w in ("w0", "w1", "w2")))

    def test_job_that_fails_on_every_worker_does_not_quarantine_workers(self) -> None:
        for index in range(12):
            for worker in range(4):
                self.fail("a", f"w{worker}", index)
        self.assertFalse(any(self.failures.is_quarantined(f"w{n}") for n in range(4)))
        self.assertTrue(self.failures.is_job_failing("a"))

    def test_faulty_job_and_faulty_worker_are_both_detected(self) -> None:
        for job_id in ("a", "b", "c"):
            self.fail(job_id, "bad")
        for job_id in ("a", "b", "c"):
            self.failures.record_success(f"{job_id}.0", job_id, "w5")
        decisions = [self.fail("x", worker) for worker in ("bad", "w1", "w2", "w3")]
        self.assertEqual(decisions[:3], [RetryDecision.RETRY] * 3)
        self.assertIs(decisions[3], RetryDecision.GIVE_UP)
        self.assertTrue(self.failures.is_quarantined("bad"))
        self.assertFalse(self.failures.is_quarantined("w1"))

    def test_many_faulty_jobs_do_not_quarantine_healthy_workers(self) -> None:
        for job in range(6):
            for worker in range(3):
                self.fail(f"j{job}", f"w{(job + worker) % 6}")
            self.failures.record_success("ok.0", "ok", f"w{job}")
        quarantined = [n for n in range(6) if self.failures.is_quarantined(f"w{n}")]
        self.assertEqual(quarantined, [])

    def test_successful_probe_ends_the_quarantine_and_a_failed_one_doubles_the_interval(
        self,
    ) -> None:
        for job_id in ("a", "b", "c"):
            self.fail(job_id, "bad")
        self.clock.now = FIRST_PROBE_AFTER_S
        self.assertTrue(self.failures.admits("bad", "d.0"))
        self.failures.record_placement("d.0", "d", "bad")
        self.assertFalse(self.failures.admits("bad", "e.0"))
        self.fail("d", "bad")
        self.clock.now += FIRST_PROBE_AFTER_S
        self.assertFalse(self.failures.admits("bad", "e.0"))
        self.clock.now += FIRST_PROBE_AFTER_S
        self.failures.record_placement("e.0", "e", "bad")
        self.failures.record_success("e.0", "e", "bad")
        self.assertFalse(self.failures.is_quarantined("bad"))

    def test_worker_whose_early_probe_failed_is_not_probed_again_at_once(self) -> None:
        for job_id in ("a", "b", "c"):
            self.fail(job_id, "bad")
        self.clock.now = FIRST_PROBE_AFTER_S
        self.failures.record_placement("d.0", "d", "bad")
        self.fail("d", "bad")
        self.clock.now += FIRST_PROBE_AFTER_S
        self.assertTrue(self.failures.may_probe_early("bad"))
        self.failures.record_placement("e.0", "e", "bad")
        self.fail("e", "bad")
        self.failures.record_departure("e.0", "bad")
        self.assertFalse(self.failures.may_probe_early("bad"))

    def test_failures_of_tasks_that_started_before_a_quarantine_do_not_prolong_it(self) -> None:
        # Guards against a worker that gets no task for an hour after it failed twelve at once.
        for index in range(12):
            self.fail(f"j{index}", "bad")
        self.clock.now = FIRST_PROBE_AFTER_S
        self.assertTrue(self.failures.admits("bad", "d.0"))

    def test_failures_of_a_task_that_is_given_up_are_no_evidence_against_its_workers(self) -> None:
        # Guards against sound workers that are withheld for jobs that can never be done.
        for number in range(3):
            for worker_id in ("w0", "w1"):
                self.fail(f"j{number}", worker_id)
        self.assertTrue(self.failures.is_quarantined("w0"))
        self.failures.record_given_up("j0.0", "j0")
        self.assertFalse(self.failures.is_quarantined("w0"))
        self.assertFalse(self.failures.is_quarantined("w1"))

    def test_interval_between_probes_is_bounded(self) -> None:
        # Guards against a worker that recovers and is withheld for as long as it was faulty.
        self.failures = FailureEvidence(self.clock, first_probe_after_s=4.0, max_probe_after_s=8.0)
        for job_id in ("a", "b", "c"):
            self.fail(job_id, "bad")
        for index in range(5):
            self.clock.now += 8.0
            self.assertTrue(self.failures.admits("bad", f"d.{index}"))
            self.fail("d", "bad", index)

    def test_failing_job_is_probed_by_one_task_at_a_time(self) -> None:
        for index in range(3):
            self.fail("a", f"w{index}", index)
        self.assertTrue(self.failures.is_job_failing("a"))
        self.clock.now = FIRST_PROBE_AFTER_S
        self.assertFalse(self.failures.is_job_failing("a"))
        self.failures.record_placement("a.7", "a", "w7")
        self.assertTrue(self.failures.is_job_failing("a"))
        self.failures.record_success("a.7", "a", "w7")
        self.assertFalse(self.failures.is_job_failing("a"))
