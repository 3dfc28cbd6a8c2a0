"""Tests that a job of which nothing runs does not wait for long beside workers with room."""

import unittest

from pollengate.failure_evidence import FailureEvidence
from pollengate.interference.filler_placement import MAX_WITHHELD_S
from pollengate.interference.latency_model import LatencyModel
from pollengate.workflow.clients import EndKind
from pollengate.workflow.job_table import JobTable
from pollengate.workflow.model import Demand, Step
from pollengate.workflow.planner import Planner
from pollengate.workflow.progress import Run

from tests.utils import ManualClock
from tests.workflow_builders import (
    build_job,
    build_job_table,
    build_lease_worker,
    build_planner,
    build_step,
)

PLAN_INTERVAL_S = 0.1
# A job that could run and of which nothing runs for this long counts as lost.
LOST_AFTER_S = 3.0
CAPACITY = Demand(16_000, 64_000)


def build_filler_step(count: int, image: str = "f") -> Step:
    """Returns a step of fillers of two cores."""
    return build_step(
        count, demand=Demand(2000, 1000), image=image, is_filler=True, estimate_ms=60_000
    )


class IdleJobsTest(unittest.TestCase):
    """One or two workers of 16 cores."""

    job_table: JobTable
    planner: Planner

    def build(
        self, model: LatencyModel | None = None, workers: int = 1, max_attempts: int = 2
    ) -> None:
        """Creates the shard."""
        self.job_table = build_job_table(
            *(build_lease_worker(f"w{n}", capacity=CAPACITY) for n in range(workers)),
            max_attempts=max_attempts,
        )
        self.planner = build_planner(self.job_table, model)

    def start(self, job_id: str, step: Step, now: float) -> list[Run]:
        """Submits a job and starts what may start at once."""
        self.job_table.add(build_job(job_id, step), now, 0)
        return self.plan(now)

    def plan(self, now: float) -> list[Run]:
        """Plans once and confirms the starts."""
        runs = self.planner.plan(now)
        for run in runs:
            self.job_table.mark_started(run, now)
        return runs

    def plan_until(self, begin: float, end: float) -> list[Run]:
        """Plans at regular intervals; returns all runs."""
        runs = []
        for number in range(round((end - begin) / PLAN_INTERVAL_S)):
            runs += self.plan(begin + (number + 1) * PLAN_INTERVAL_S)
        return runs

    def test_job_starts_beside_serving_tasks_without_headroom(self) -> None:
        # Guards against a job that is withheld while most of its service is free.
        model = LatencyModel()
        model.load({"x": {"f": (60.0, 0.1)}})
        self.build(model)
        serving = build_step(is_long_running=True, target_ms=150, image="x")
        self.assertEqual(len(self.start("aa", serving, 0.0)), 1)
        self.assertEqual(self.start("bb", build_filler_step(3), 1.0), [])
        self.assertEqual(len(self.plan_until(1.0, 1.0 + LOST_AFTER_S)), 1)
        self.assertEqual(self.plan_until(4.0, MAX_WITHHELD_S), [])

    def test_job_starts_beside_fillers_that_stand_still(self) -> None:
        # Guards against slow fillers that keep the processors which they declare.
        self.build()
        runs = self.start("aa", build_filler_step(8), 0.0)
        self.assertEqual(self.start("bb", build_filler_step(3), 1.0), [])
        self.assertEqual(self.plan_until(1.0, 10.0), [])
        for run in runs:
            run.speed_percent = 0
        (started,) = self.plan_until(10.0, 10.0 + LOST_AFTER_S)
        self.assertEqual(started.task.step.job.job_id, "bb")

    def test_job_starts_where_fillers_are_blocked_if_they_are_blocked_everywhere(self) -> None:
        # Guards against serving tasks whose own load keeps all fillers away.
        self.build()
        (view,) = self.job_table.fleet.workers_by_id.values()
        view.fillers_blocked_until = 100.0
        self.assertEqual(self.start("bb", build_filler_step(3), 1.0), [])
        self.assertEqual(len(self.plan_until(1.0, 1.0 + LOST_AFTER_S)), 1)

    def start_beside_a_full_worker(self) -> list[Run]:
        """Starts a job of two tasks on the first of two workers, as the other is full."""
        self.build(workers=2)
        full = build_step(is_long_running=True, demand=CAPACITY)
        (blocker,) = self.start("aa", full, 0.0)
        step = build_step(2, demand=Demand(2000, 1000), saves_progress=True)
        runs = self.start("bb", step, 0.0)
        self.assertEqual([run.worker_id == blocker.worker_id for run in runs], [False, False])
        return runs

    def test_task_returns_to_a_worker_that_failed_it_while_all_others_are_full(self) -> None:
        # Guards against a task that waits until long-running tasks end on another worker.
        first, second = self.start_beside_a_full_worker()
        self.job_table.mark_ended(second, EndKind.DONE, "", 1.0, 0)
        self.job_table.mark_ended(first, EndKind.FAILED, "", 1.0, 0)
        self.assertEqual(self.plan(1.0), [])
        self.assertEqual(len(self.plan_until(1.0, 1.0 + LOST_AFTER_S)), 1)

    def play_failure_beside_full_workers(self, count: int, failures: int) -> list[float]:
        """Returns when a task starts again after failures on the only worker with room.

        Args:
            count: number of tasks of its job.
            failures: number of failures in a row.
        """
        clock = ManualClock()
        self.build(workers=12, max_attempts=failures + 1)
        self.job_table.evidence = FailureEvidence(clock)
        self.planner = build_planner(self.job_table)
        self.start("aa", build_step(11, is_long_running=True, demand=CAPACITY), 0.0)
        runs = self.start("bb", build_step(count, demand=Demand(2000, 1000)), 0.0)
        self.assertEqual(len(runs), count)
        waits: list[float] = []
        while len(waits) < failures:
            failed_at = clock.now
            self.job_table.mark_ended(runs[0], EndKind.FAILED, "", clock.now, 0)
            while not (runs := self.plan(clock.now)) and clock.now - failed_at < 60.0:
                clock.now += PLAN_INTERVAL_S
            self.assertEqual(len(runs), 1)
            waits.append(clock.now - failed_at)
        return waits

    def test_task_returns_to_a_worker_that_failed_it_while_others_that_admit_it_are_full(
        self,
    ) -> None:
        # Guards against a task that waits for workers full of long-running tasks (review/13).
        for count in (1, 2):  # with and without a run of another task of its job
            with self.subTest(count=count):
                (wait_s,) = self.play_failure_beside_full_workers(count, 1)
                self.assertLess(wait_s, LOST_AFTER_S)

    def test_task_does_not_use_up_its_attempts_on_a_worker_that_fails_for_seconds(self) -> None:
        first_s, second_s, third_s = self.play_failure_beside_full_workers(2, 3)
        self.assertGreater(second_s, first_s)
        self.assertGreater(first_s + second_s + third_s, 10.0)

    def test_long_running_task_runs_again_while_all_workers_are_quarantined(self) -> None:
        # Guards against a task that waits for a probe for 8 s; its users accept 6 s and 3 s.
        clock = ManualClock()
        self.build(workers=2)
        evidence = FailureEvidence(clock, first_probe_after_s=4.0, max_probe_after_s=8.0)
        self.job_table.evidence = evidence
        self.planner = build_planner(self.job_table)
        for clock.now in (0.0, 4.0):
            for number in range(3):
                for worker_id in self.job_table.fleet.workers_by_id:
                    evidence.record_rejection(f"c{number}", worker_id)
        step = build_step(is_long_running=True)
        self.assertEqual(self.start("aa", step, 4.0), [])
        clock.now = 8.0
        self.assertEqual(len(self.plan(8.0)), 1)

    def test_job_starts_while_most_workers_are_quarantined(self) -> None:
        # Guards against a job that waits for a probe while most of its service is free.
        self.build(workers=3)
        for number in range(3):
            for worker_id in ("w0", "w1"):
                self.job_table.evidence.record_rejection(f"c{number}", worker_id)
        full = build_step(is_long_running=True, demand=CAPACITY)
        self.assertEqual(len(self.start("aa", full, 0.0)), 1)
        self.assertEqual(self.start("bb", build_step(3), 1.0), [])
        self.assertGreater(len(self.plan_until(1.0, 1.0 + LOST_AFTER_S)), 0)

    def test_copy_does_not_hold_back_its_siblings(self) -> None:
        # Guards against a sibling that waits while the only worker with room runs the first task.
        self.build(workers=2)
        self.start("aa", build_step(is_long_running=True, demand=CAPACITY), 0.0)
        step = build_step(2, demand=Demand(8000, 1000), is_speculative=True)
        first, second = self.start("bb", step, 0.0)
        self.job_table.request_copy(first.task)
        self.job_table.mark_ended(second, EndKind.STOPPED, "", 1.0, 0)
        (run,) = self.plan(1.0)
        self.assertEqual(run.task.name, second.task.name)

    def test_task_that_failed_does_not_hold_back_its_siblings(self) -> None:
        # Guards against a sibling that waits for the worker which the first task needs.
        first, second = self.start_beside_a_full_worker()
        self.job_table.mark_ended(first, EndKind.FAILED, "", 1.0, 0)
        self.job_table.mark_ended(second, EndKind.STOPPED, "", 1.0, 0)
        (run,) = self.plan(1.0)
        self.assertIs(run.task, second.task)


if __name__ == "__main__":
    unittest.main()
