"""Tests that a job counts as begun only once one of its tasks has started on a worker."""

import asyncio
import unittest

from pollengate.workflow.clients import EndKind
from pollengate.workflow.job_service import WaitingCount
from pollengate.workflow.job_table import JobTable
from pollengate.workflow.ordering import runs_again
from pollengate.workflow.progress import MAX_IDLE_S, JobProgress, JobState, Run
from pollengate.workflow.records import (
    decode_job,
    decode_progress,
    encode_job,
    encode_progress,
    restore,
)

from tests.edge_cluster import EdgeCluster
from tests.utils import run_virtual
from tests.workflow_builders import (
    build_job,
    build_job_table,
    build_lease_worker,
    build_planner,
    build_step,
    build_workflow,
)

JOB_IDS = ("00000000000000a1", "00000000000000a2", "00000000000000a3")


class PlannedStartTest(unittest.TestCase):
    """One job on two workers of four cores."""

    def build(self, count: int = 1, **changes: object) -> tuple[JobTable, JobProgress]:
        """Adds a job of one step to a new job table."""
        job_table = build_job_table(build_lease_worker("w0"), build_lease_worker("w1"))
        job = build_job("aa", build_step(count, **changes))
        job_table.add(job, 0.0, 0)
        return job_table, job

    def plan_one(self, job_table: JobTable, now: float = 0.0) -> Run:
        """Plans the only run."""
        (run,) = build_planner(job_table).plan(now)
        return run

    def check_waits(self, job: JobProgress) -> None:
        """Asserts that a job has not begun, neither for clients nor for a successor."""
        self.assertIs(job.state, JobState.QUEUED)
        self.assertIs(job.visible_state, JobState.QUEUED)
        self.assertIs(decode_progress(encode_progress(job)).unwrap().state, JobState.QUEUED)

    def test_job_waits_while_its_starts_are_refused(self) -> None:
        # Guards against jobs that nobody counts because their starts were only planned.
        job_table, job = self.build()
        for _ in range(3):
            run = self.plan_one(job_table)
            self.check_waits(job)
            job_table.mark_rejected(run)
            self.check_waits(job)
        run = self.plan_one(job_table)
        job_table.mark_started(run, 0.0)
        self.assertIs(job.visible_state, JobState.RUNNING)

    def test_gang_waits_while_its_members_do_not_all_fit(self) -> None:
        job_table, job = self.build(9, is_gang=True)
        self.assertEqual(build_planner(job_table).plan(0.0), [])
        self.check_waits(job)

    def test_job_with_an_unanswered_start_begins_when_the_run_is_reported(self) -> None:
        job_table, job = self.build()
        run = self.plan_one(job_table)
        job_table.mark_unknown(run)
        self.check_waits(job)
        job_table.mark_seen(run)
        self.assertIs(job.visible_state, JobState.RUNNING)

    def test_job_whose_run_ended_before_its_start_was_confirmed_has_begun(self) -> None:
        job_table, job = self.build(2)
        run, _ = build_planner(job_table).plan(0.0)
        job_table.mark_ended(run, EndKind.DONE, "", 1.0, 0)
        self.assertIs(job.visible_state, JobState.RUNNING)

    def test_refused_starts_do_not_hide_that_a_job_has_nothing_running(self) -> None:
        # Guards against a job that never counts as idle, so that it is withheld for longer.
        job_table, job = self.build()
        for number in range(10):
            now = number * MAX_IDLE_S / 5
            job_table.mark_rejected(self.plan_one(job_table, now))
        self.assertTrue(job.is_overdue(MAX_IDLE_S))
        run = self.plan_one(job_table, MAX_IDLE_S)
        self.assertFalse(job.is_overdue(MAX_IDLE_S), "no sibling may be started urgently, too")
        job_table.mark_started(run, MAX_IDLE_S)
        self.assertFalse(job.is_overdue(10 * MAX_IDLE_S))

    def test_refused_task_is_not_started_ahead_of_those_that_have_run(self) -> None:
        # Guards against a task that never ran and takes the room of one whose users miss it.
        job_table, job = self.build(2, is_long_running=True)
        (step,) = job.occurrences_by_number[0].steps
        refused, other = step.tasks
        run, _ = build_planner(job_table).plan(0.0)
        job_table.mark_rejected(run)
        self.assertFalse(runs_again(step))
        (lost,) = other.runs_by_number.values()
        job_table.mark_started(lost, 0.0)
        job_table.mark_lost(lost)
        self.assertEqual(list(step.waiting), [other, refused])
        self.assertTrue(runs_again(step))
        stored = decode_job(encode_job(job)).unwrap()
        restored = restore(stored, decode_progress(encode_progress(job)).unwrap(), 0.0).unwrap()
        self.assertEqual([task.has_run for task in restored.tasks()], [False, True])
        self.assertEqual([task.last_run for task in restored.tasks()], [1, 1])


class WaitingCountTest(unittest.TestCase):
    """A cluster whose only worker refuses starts."""

    def test_jobs_with_refused_starts_are_counted_until_they_start(self) -> None:
        # Guards against a count of 0 while all accepted jobs wait.
        run_virtual(self._check_refused())

    async def _check_refused(self) -> None:
        cluster = EdgeCluster(workers=1, duration_s=5.0)
        await cluster.open(nodes=2)
        worker = cluster.workers_by_id["w0"]
        worker.is_unhealthy = True
        for job_id in JOB_IDS:
            await cluster.submit(job_id, build_workflow())
        for _ in range(60):
            await asyncio.sleep(0.1)
            term = await cluster.wait_for_term()
            count = await term.request_handler.count_waiting("queue")
            self.assertEqual(count, WaitingCount(len(JOB_IDS)))
        worker.is_unhealthy = False
        for job_id in JOB_IDS:
            await cluster.wait_for_state(job_id, "running")
        self.assertEqual(await term.request_handler.count_waiting("queue"), WaitingCount(0))


if __name__ == "__main__":
    unittest.main()
