"""Tests that the time which an owner needs for a large job grows with its tasks only."""

import unittest
from typing import Any
from unittest import mock

from pollengate.workflow.clients import EndKind
from pollengate.workflow.job_table import JobTable
from pollengate.workflow.model import Demand
from pollengate.workflow.progress import JobProgress, JobState, TaskProgress
from pollengate.workflow.task_queue import TaskQueue

from tests.workflow_builders import (
    build_job,
    build_job_table,
    build_lease_worker,
    build_step,
    start_all,
)

TASKS = 2_000
# A look-up in a hash table rarely compares two different tasks; a search compares half of them.
COMPARISONS_PER_TASK = 4


class LargeJobTest(unittest.TestCase):
    """One job of many tasks on workers of 64 cores."""

    comparisons = 0

    def setUp(self) -> None:
        """Counts comparisons of tasks."""

        def compare(task: TaskProgress, other: object) -> bool:
            self.comparisons += 1
            return task is other

        patched = mock.patch.object(TaskProgress, "__eq__", compare)
        patched.start()
        self.addCleanup(patched.stop)

    def build(self, **changes: Any) -> tuple[JobTable, JobProgress]:
        """Adds a job of one step to a new job table."""
        workers = (build_lease_worker(f"w{n}", capacity=Demand(64_000, 250_000)) for n in range(4))
        job_table = build_job_table(*workers)
        job = build_job("aa", build_step(TASKS, **changes))
        job_table.add(job, 0.0, 0)
        return job_table, job

    def test_a_large_job_is_opened_in_linear_time(self) -> None:
        # Guards against one request that holds the loop of each owner for longer than its lease.
        job_table, _ = self.build()
        (step,) = job_table.open_steps
        self.assertEqual(len(step.waiting), TASKS)
        self.assertLessEqual(self.comparisons, COMPARISONS_PER_TASK * TASKS)

    def test_the_tasks_of_a_large_job_run_in_linear_time(self) -> None:
        # Guards against ends and lost runs that search the tasks which wait.
        job_table, job = self.build()
        now = 0.0
        while not job.is_ended:
            now += 1.0
            runs = start_all(job_table, now)
            if len(runs) > 1:
                job_table.mark_lost(runs.pop())
            for run in runs:
                job_table.mark_ended(run, EndKind.DONE, "", now, 0)
        self.assertIs(job.state, JobState.COMPLETED)
        self.assertLessEqual(self.comparisons, COMPARISONS_PER_TASK * TASKS)

    def test_runs_of_an_earlier_owner_are_adopted_in_linear_time(self) -> None:
        # Guards against a takeover that searches the waiting tasks for each run on a worker.
        job_table, job = self.build()
        view = job_table.fleet.workers_by_id["w0"]
        tasks = job.occurrences_by_number[0].steps[0].tasks
        for task in tasks[TASKS // 2 :]:
            job_table.adopt(task, 1, view, 0.0)
        self.assertLessEqual(self.comparisons, COMPARISONS_PER_TASK * TASKS)


class TaskQueueTest(unittest.TestCase):
    """Order of tasks that wait."""

    def test_tasks_keep_their_order_and_are_queued_once(self) -> None:
        queue = TaskQueue[str]()
        for task in ("b", "c", "b"):
            queue.append(task)
        queue.append_first("a")
        queue.append_first("c")
        self.assertEqual((list(queue), queue.first, len(queue)), (["a", "b", "c"], "a", 3))
        queue.discard("a")
        queue.discard("a")
        self.assertEqual((list(queue), "a" in queue), (["b", "c"], False))
        queue.clear()
        self.assertIsNone(queue.first)

    def test_tasks_may_be_removed_while_the_queue_is_walked(self) -> None:
        queue = TaskQueue[int]()
        for number in range(500):
            queue.append(number)
        walked = []
        for number in queue.walk():
            walked.append(number)
            if number % 3:
                queue.discard(number)
        self.assertEqual(walked, list(range(500)))
        self.assertEqual(list(queue), list(range(0, 500, 3)))


if __name__ == "__main__":
    unittest.main()
