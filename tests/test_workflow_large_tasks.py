"""Tests of the workers that are kept free for large tasks."""

import unittest
from unittest import mock

from pollengate.workflow.clients import EndKind
from pollengate.workflow.job_table import JobTable
from pollengate.workflow.large_tasks import IDLE_RESERVE_S, MAX_RESERVED_SHARE, LargeTaskReserve
from pollengate.workflow.model import Demand, Step
from pollengate.workflow.progress import JobProgress, JobState, Run

from tests.workflow_builders import (
    build_job,
    build_job_table,
    build_lease_worker,
    build_planner,
    build_step,
)

WORKERS = 24
CAPACITY = Demand(64_000, 250_000)
SERVING = Demand(13_000, 1_000)
LARGE = Demand(60_000, 1_000)
TICK_S = 0.1
LARGE_DURATION_S = 0.64
STARTUP_S = 0.8
CANCELLED_JOBS = 5


class Shard:
    """Plays a shard in steps of `TICK_S`: runs start, work and end without delays of messages.

    Args:
        cancelled_jobs: number of jobs of six long-running tasks that are cancelled after 16 of them
            have filled all workers, four tasks on each.
    """

    def __init__(self, cancelled_jobs: int) -> None:
        workers = [build_lease_worker(f"w{n:02}", capacity=CAPACITY) for n in range(WORKERS)]
        self.job_table: JobTable = build_job_table(*workers, stretch=2.0)
        self.reserve = LargeTaskReserve(self.job_table)
        self.now = 0.0
        self.stopped: list[Run] = []
        self.worker_ids_at_stops: list[set[str]] = []
        self.silent_worker_ids: set[str] = set()
        self._jobs = 0
        serving = [
            self.submit(
                build_step(
                    6,
                    demand=SERVING,
                    is_long_running=True,
                    target_ms=100,
                    image=f"image{self._jobs % 5}",
                    may_miss=1,
                    max_per_worker=1,
                )
            )
            for _ in range(16)
        ]
        self.advance(5.0)
        for job in serving[::3][:cancelled_jobs]:
            self.job_table.cancel(job, 0)
        self.advance(3.0)

    def submit(self, *steps: Step) -> JobProgress:
        """Accepts a job."""
        self._jobs += 1
        job = build_job(f"{self._jobs:016x}", *steps)
        job.accepted_at = self.now
        self.job_table.add(job, self.now, 0)
        return job

    def advance(self, seconds: float) -> None:
        """Plays the shard for some time."""
        end = self.now + seconds
        while self.now < end:
            self.now += TICK_S
            self._progress()
            for run in self.reserve.update(self.now):
                self.stopped.append(run)
                step = run.task.step
                self.worker_ids_at_stops.append({w for t in step.tasks for w in t.worker_ids})
                self.job_table.stop(run)
            for run in build_planner(self.job_table).plan(self.now):
                self.job_table.mark_started(run, self.now)

    def _progress(self) -> None:
        for view in self.job_table.fleet.workers_by_id.values():
            if view.worker_id not in self.silent_worker_ids:
                view.lease.record_reply(round(self.now * 1000), self.now)
            for run in list(view.runs.values()):
                age_s = self.now - run.ordered_at
                if run.is_stop_wanted:
                    self.job_table.mark_ended(run, EndKind.STOPPED, "", self.now, 0)
                elif run.task.step.spec.is_long_running:
                    run.percent = 100.0 if age_s >= STARTUP_S else 10.0
                elif age_s >= LARGE_DURATION_S:
                    self.job_table.mark_ended(run, EndKind.DONE, "", self.now, 0)


class LargeTaskReserveTest(unittest.TestCase):
    """A shard whose workers all hold long-running tasks."""

    def test_large_tasks_end_although_every_worker_holds_long_running_tasks(self) -> None:
        # 66 tasks of 13 cores are 56 % of the fleet; a task of 60 cores fits on no worker of them.
        shard = Shard(CANCELLED_JOBS)
        jobs = []
        for _ in range(20):
            jobs.append(shard.submit(build_step(4, demand=LARGE, estimate_ms=640)))
            shard.advance(2.0)
        shard.advance(3.0)
        completed = [job for job in jobs if job.state is JobState.COMPLETED]
        self.assertEqual(len(jobs), len(completed))

    def test_no_worker_is_reserved_for_a_task_that_may_not_start(self) -> None:
        """Guards against moves for a task that the limit of its client account holds back."""
        held = mock.Mock(**{"count_startable.return_value": 0})
        shard = Shard(CANCELLED_JOBS)
        shard.reserve = LargeTaskReserve(shard.job_table, held)
        shard.submit(build_step(4, demand=LARGE, estimate_ms=640))
        shard.advance(5.0)
        self.assertEqual(shard.stopped, [])

    def test_one_task_of_a_step_is_away_at_a_time(self) -> None:
        shard = Shard(CANCELLED_JOBS)
        shard.submit(build_step(4, demand=LARGE, estimate_ms=640))
        for _ in range(100):
            shard.advance(TICK_S)
            for job in shard.job_table.jobs_by_id.values():
                if job.is_ended:
                    continue
                for step in job.occurrences_by_number[0].steps:
                    if step.spec.is_long_running:
                        away = sum(not task.is_past_startup for task in step.tasks)
                        self.assertLessEqual(away, 1)
        self.assertTrue(shard.stopped)

    def test_no_task_stops_while_another_of_its_step_is_on_a_silent_worker(self) -> None:
        shard = Shard(CANCELLED_JOBS)
        shard.silent_worker_ids = set(list(shard.job_table.fleet.workers_by_id)[::2])
        shard.advance(2.0)
        shard.submit(build_step(4, demand=LARGE, estimate_ms=640))
        shard.advance(5.0)
        for worker_ids in shard.worker_ids_at_stops:
            self.assertFalse(worker_ids & shard.silent_worker_ids)

    def test_small_tasks_leave_reserved_workers_free(self) -> None:
        shard = Shard(CANCELLED_JOBS)
        shard.submit(build_step(4, demand=LARGE, estimate_ms=640))
        shard.advance(6.0)
        reserved = {
            view.worker_id
            for view in shard.job_table.fleet.workers_by_id.values()
            if view.is_reserved
        }
        self.assertTrue(reserved)
        small = shard.submit(build_step(8, demand=Demand(2_000, 100)))
        runs = build_planner(shard.job_table).plan(shard.now)
        self.assertEqual(8, len(runs))
        self.assertFalse(reserved & {run.worker_id for run in runs})
        self.assertIs(small, runs[0].task.step.job)

    def test_idle_reserve_is_returned(self) -> None:
        shard = Shard(CANCELLED_JOBS)
        shard.submit(build_step(4, demand=LARGE, estimate_ms=640))
        shard.advance(IDLE_RESERVE_S + 10.0)
        views = shard.job_table.fleet.workers_by_id.values()
        self.assertFalse([view for view in views if view.is_reserved])

    def test_reserve_is_limited_and_takes_no_worker_whose_tasks_fit_nowhere_else(self) -> None:
        shard = Shard(CANCELLED_JOBS)
        shard.submit(build_step(40, demand=LARGE, estimate_ms=640))
        shard.advance(1.0)
        views = shard.job_table.fleet.workers_by_id.values()
        reserved = [view for view in views if view.is_reserved]
        self.assertLessEqual(len(reserved), MAX_RESERVED_SHARE * WORKERS + 1)
        full = Shard(0)
        full.submit(build_step(4, demand=LARGE, estimate_ms=640))
        full.advance(5.0)
        self.assertEqual([], full.stopped)

    def test_no_worker_is_reserved_while_all_tasks_find_room(self) -> None:
        shard = Shard(8)
        for _ in range(10):
            shard.submit(build_step(6, demand=Demand(8_000, 100), estimate_ms=640))
            shard.advance(1.0)
        views = shard.job_table.fleet.workers_by_id.values()
        self.assertFalse([view for view in views if view.is_reserved])
        self.assertEqual([], shard.stopped)


if __name__ == "__main__":
    unittest.main()
