"""Tests that the time which an owner needs for a large job grows with its tasks only."""

import random
import tracemalloc
import unittest
from typing import Any
from unittest import mock

from pollengate.workflow.clients import EndKind
from pollengate.workflow.job_table import JobTable
from pollengate.workflow.model import Demand
from pollengate.workflow.progress import JobProgress, JobState, TaskProgress
from pollengate.workflow.task_queue import TaskQueue
from pollengated.edge.accepted_work import memory_bytes

from tests.test_job_records import restored
from tests.workflow_builders import (
    build_job,
    build_job_table,
    build_lease_worker,
    build_step,
    build_workflow,
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


class MemoryTest(unittest.TestCase):
    """Guards against accepted work that takes more memory than a process has (review/14)."""

    def build(self, tasks: int) -> tuple[JobTable, JobProgress]:
        """Adds a job of one step to a new job table."""
        job_table = build_job_table(build_lease_worker(capacity=Demand(64_000, 250_000)))
        job = build_job("aa", build_step(tasks))
        job_table.add(job, 0.0, 0)
        return job_table, job

    def test_tasks_are_kept_from_their_turn_until_they_are_done(self) -> None:
        job_table, job = self.build(TASKS)
        (step,) = job.occurrences_by_number[0].steps
        self.assertEqual(step.tasks.kept(), [])
        most = 0
        while not job.is_ended:
            for run in start_all(job_table, 1.0):
                job_table.mark_ended(run, EndKind.DONE, "", 1.0, 0)
                most = max(most, len(step.tasks.kept()))
        self.assertLess(most, 200)
        self.assertEqual(step.tasks.kept(), [])
        self.assertEqual(step.done, TASKS)

    def test_a_waiting_task_takes_a_few_bytes(self) -> None:
        # Ten jobs of the largest size leave nine tenths of a process of 300 MB to all else.
        tracemalloc.start()
        self.addCleanup(tracemalloc.stop)
        before, _ = tracemalloc.get_traced_memory()
        job_table, _ = self.build(50_000)
        start_all(job_table, 1.0)
        after, _ = tracemalloc.get_traced_memory()
        self.assertLess(after - before, 3_000_000)
        self.assertLess(
            after - before - 64 * 10_000, memory_bytes(build_workflow(build_step(50_000)))
        )

    def test_tasks_run_in_order_once_each_whatever_happens_to_others(self) -> None:
        for seed in range(20):
            with self.subTest(seed=seed):
                self.play_ends(random.Random(seed))

    def play_ends(self, draw: random.Random) -> None:
        """Plays ends, losses and late reports of the tasks of one job, and takeovers."""
        job_table, job = self.build(400)
        done: list[str] = []
        for _ in range(3_000):
            (step,) = job.occurrences_by_number[0].steps
            if job.is_ended:
                break
            for run in start_all(job_table, 1.0):
                chance = draw.random()
                if chance < 0.6:
                    job_table.mark_ended(run, EndKind.DONE, "", 1.0, 0)
                    done.append(run.task.name)
                elif chance < 0.8:
                    job_table.mark_lost(run)
                else:
                    job_table.mark_ended(run, EndKind.STOPPED, str(len(done)), 1.0, 0)
            late = step.tasks[draw.randrange(400)]
            if not late.is_done:
                job_table.apply_result(late, late.last_run + 1, "w0", EndKind.DONE, "", 1.0, 0)
                done.append(late.name)
            if draw.random() < 0.05 and not job.is_ended:
                job_table, job = self.take_over(job_table, job)
        self.assertIs(job.state, JobState.COMPLETED)
        self.assertEqual(len(done), len(set(done)))
        self.assertEqual(len(done), 400)

    def take_over(self, job_table: JobTable, job: JobProgress) -> tuple[JobTable, JobProgress]:
        """Returns what a successor restores of a job."""
        job.stored_parts |= job.changed_parts
        found = restored(job)
        successor = build_job_table(build_lease_worker(capacity=Demand(64_000, 250_000)))
        successor.add(found, 0.0, 0)
        done = [task.index for task in job.tasks() if task.is_done]
        self.assertEqual(done, [task.index for task in found.tasks() if task.is_done])
        (step,), (before,) = (j.occurrences_by_number[0].steps for j in (found, job))
        self.assertEqual(len(step.waiting), len(before.waiting))
        return successor, found


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
