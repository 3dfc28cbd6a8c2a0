"""Tests that the error of one decision does not stop the others that a plan makes."""

import unittest
from unittest import mock

from pollengate.errors import InvariantViolation
from pollengate.workflow.decision_guard import PAUSE_S, DecisionGuard, FailedDecision
from pollengate.workflow.job_table import JobTable
from pollengate.workflow.placement import Placer
from pollengate.workflow.planner import MAX_FAILING_S

from tests.workflow_builders import (
    build_job,
    build_job_table,
    build_lease_worker,
    build_planner,
    build_step,
    fail_for,
)

BAD_ID, GOOD_ID = "00000000000000aa", "00000000000000bb"


class GuardedPlanTest(unittest.TestCase):
    """A planner of two workers, with an error in the placement of one job."""

    def setUp(self) -> None:
        self.failed: list[FailedDecision] = []
        self.job_table = build_job_table(build_lease_worker("w0"), build_lease_worker("w1"))
        self.planner = build_planner(self.job_table, guard=DecisionGuard(self.failed.append))

    def plan(self, now: float, after: int = 0) -> list[str]:
        """Plans with an error for the bad job and returns the names of the tasks that start."""
        with mock.patch.object(Placer, "choose", fail_for(BAD_ID, Placer.choose, after)):
            return [run.task.name for run in self.planner.plan(now)]

    def test_runs_that_were_added_before_the_error_are_started(self) -> None:
        self.job_table.add(build_job(BAD_ID, build_step(4)), 0.0, 0)
        self.job_table.add(build_job(GOOD_ID, build_step(2)), 0.0, 0)
        started = self.plan(0.0, after=2)
        self.assertEqual(sum(BAD_ID in name for name in started), 2)
        self.assertEqual(sum(GOOD_ID in name for name in started), 2)
        jobs = self.job_table.jobs_by_id.values()
        self.assertEqual(len(started), sum(job.run_count for job in jobs))

    def test_gang_that_is_half_placed_is_taken_back(self) -> None:
        self.job_table.add(build_job(BAD_ID, build_step(3, is_gang=True)), 0.0, 0)
        self.job_table.add(build_job(GOOD_ID, build_step(8)), 0.0, 0)
        self.assertEqual(sum(GOOD_ID in name for name in self.plan(0.0, after=2)), 8)
        bad = self.job_table.jobs_by_id[BAD_ID]
        (step,) = bad.occurrences_by_number[0].steps
        self.assertEqual((bad.run_count, len(step.waiting)), (0, 3))

    def test_step_is_tried_again_after_a_pause(self) -> None:
        self.job_table.add(build_job(BAD_ID), 0.0, 0)
        self.plan(0.0)
        self.assertEqual(self.planner.plan(PAUSE_S / 2), [])
        self.assertEqual(len(self.planner.plan(PAUSE_S)), 1)
        self.assertEqual(len(self.failed), 1)

    def test_error_in_a_change_of_the_job_table_is_not_contained(self) -> None:
        self.job_table.add(build_job(GOOD_ID), 0.0, 0)
        with mock.patch.object(JobTable, "add_run", side_effect=KeyError):
            self.assertRaises(InvariantViolation, self.planner.plan, 0.0)

    def test_planner_that_plans_no_job_at_all_raises(self) -> None:
        for job_id in (BAD_ID, GOOD_ID):
            self.job_table.add(build_job(job_id), 0.0, 0)
        with mock.patch.object(Placer, "choose", side_effect=ArithmeticError):
            now = 0.0
            while now < MAX_FAILING_S:
                self.assertEqual(self.planner.plan(now), [])
                now += PAUSE_S / 4
            self.assertRaises(InvariantViolation, self.planner.plan, now)

    def test_single_job_that_always_fails_does_not_raise(self) -> None:
        self.job_table.add(build_job(BAD_ID), 0.0, 0)
        for second in range(20):
            self.assertEqual(self.plan(float(second)), [])
        self.assertEqual(len(self.failed), 20)
