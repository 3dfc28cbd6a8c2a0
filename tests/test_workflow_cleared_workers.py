"""Tests of the workers that are kept clear for long-running tasks that run again."""

import dataclasses
import unittest

from pollengate.workflow.cleared_workers import ClearedWorkers
from pollengate.workflow.clients import EndKind
from pollengate.workflow.job_table import JobTable
from pollengate.workflow.model import Demand, Deployment, Queue, Step
from pollengate.workflow.progress import JobProgress, Run, StepProgress
from pollengate.workflow.worker_room import WorkerRoom

from tests.workflow_builders import (
    build_job,
    build_job_table,
    build_lease_worker,
    build_planner,
    build_step,
    build_workflow,
    start_all,
)

SERVICES = ("first", "second")
WHOLE_WORKER = Demand(4000, 100)
LASTING = build_step(is_long_running=True, demand=Demand(3000, 100))


class ClearedWorkersTest(unittest.TestCase):
    """A worker is kept clear only if the tasks in the way end by themselves."""

    def cleared(self, workers: int, *beside: Step) -> list[str]:
        """Returns the workers kept clear for a task whose place these steps have taken."""
        job_table = build_job_table(*(build_lease_worker(f"w{n}") for n in range(workers)))
        job_table.add(build_job("00000000000000aa", LASTING), 0.0, 0)
        (run,) = start_all(job_table)
        job_table.mark_ended(run, EndKind.FAILED, "", 1.0, 1000)
        step: StepProgress = run.task.step
        step.waiting.clear()
        for number, other in enumerate(beside):
            job_table.add(build_job(f"{number:016x}", other), 1.0, 1000)
            start_all(job_table, 1.0)
        job_table.requeue(run.task)
        views = list(job_table.fleet.workers_by_id.values())
        cleared = ClearedWorkers()
        cleared.clear_for(step, views)
        return [view.worker_id for view in views if view in cleared]

    def test_worker_nearest_to_having_room_is_chosen(self) -> None:
        full = build_step(demand=Demand(4000, 100))
        nearly_free = build_step(demand=Demand(2000, 100))
        self.assertEqual(["w1"], self.cleared(2, full, nearly_free))

    def test_memory_of_fillers_counts_as_in_the_way(self) -> None:
        filler = build_step(is_filler=True, demand=Demand(1000, 950))
        self.assertEqual(["w1"], self.cleared(2, filler, build_step(demand=Demand(2000, 100))))

    def test_overcommitted_resource_that_a_task_does_not_need_raises_no_error(self) -> None:
        job_table = build_job_table(build_lease_worker("w0"), build_lease_worker("w1"))
        job_table.add(build_job("00000000000000aa", LASTING), 0.0, 0)
        job_table.add(build_job("00000000000000bb", build_step(2, demand=WHOLE_WORKER)), 0.0, 0)
        start_all(job_table)
        for view in job_table.fleet.workers_by_id.values():
            capacity = dataclasses.replace(view.info.capacity, memory_mb=50)
            view.info = dataclasses.replace(view.info, capacity=capacity)
            step = build_step(is_long_running=True, demand=Demand(1000, 0))
            job = build_job("00000000000000cc", step)
            job_table.add(job, 0.0, 0)
            waiting = job.occurrences_by_number[0].steps[0]
            self.assertGreater(WorkerRoom.of(view).shortfall(waiting), 0.0)

    def test_worker_full_of_long_running_tasks_is_not_kept_clear(self) -> None:
        lasting = build_step(is_long_running=True, demand=Demand(2000, 100))
        self.assertEqual([], self.cleared(1, lasting))

    def test_only_a_fifth_of_the_workers_is_kept_clear(self) -> None:
        job_table = build_job_table(*(build_lease_worker(f"w{n}") for n in range(10)))
        job_table.add(build_job("00000000000000aa", build_step(8)), 0.0, 0)
        job = build_job("00000000000000bb", build_step(6, is_long_running=True))
        job_table.add(job, 0.0, 0)
        (step,) = (s for s in job_table.open_steps if s.job is job)
        for task in step.waiting:
            task.has_run = True
        views = list(job_table.fleet.workers_by_id.values())
        for view in views:
            view.committed_millis = 3500
        cleared = ClearedWorkers()
        cleared.clear_for(step, views)
        self.assertEqual(2, sum(view in cleared for view in views))


class ClearedServicesTest(unittest.TestCase):
    """Two services, each with a queue of its name."""

    def open_job_table(self, workers: int) -> JobTable:
        """Returns a job table with as many workers of each service."""
        job_table = build_job_table(
            *(
                build_lease_worker(f"{service}{number}", service=service)
                for service in SERVICES
                for number in range(workers)
            )
        )
        queues = (Queue(s, "host", f"/{s}/", s, max_attempts=2) for s in SERVICES)
        job_table.deployment = Deployment(1, tuple(queues))
        return job_table

    def add_job(self, job_table: JobTable, job_id: str, queue: str, step: Step) -> None:
        """Adds a job of one step."""
        job_table.add(JobProgress(job_id, queue, build_workflow(step), 0, 0.0), 0.0, 0)

    def start(self, job_table: JobTable) -> list[Run]:
        """Plans once and confirms the starts."""
        runs = build_planner(job_table).plan(0.0)
        for run in runs:
            job_table.mark_started(run, 0.0)
        return runs

    def test_workers_that_one_service_keeps_clear_do_not_count_for_another(self) -> None:
        job_table = self.open_job_table(workers=5)
        lasting = build_step(is_long_running=True, demand=WHOLE_WORKER)
        short = build_step(5, demand=Demand(2000, 100), max_per_worker=1)
        for number, service in enumerate(SERVICES):
            self.add_job(job_table, f"a{number}", service, lasting)
        lost = self.start(job_table)
        for service in SERVICES:
            # One more task than the four other workers hold.
            self.add_job(job_table, f"b{service}", service, short)
        self.start(job_table)
        for run in lost:
            view = job_table.fleet.workers_by_id[run.worker_id]
            view.is_attached = False
            job_table.mark_lost(run)
        for service in SERVICES:
            self.add_job(job_table, f"c{service}", service, build_step(9, demand=Demand(2000, 100)))
        runs = self.start(job_table)
        used = [{run.worker_id for run in runs if run.worker_id.startswith(s)} for s in SERVICES]
        self.assertEqual([3, 3], [len(worker_ids) for worker_ids in used])


if __name__ == "__main__":
    unittest.main()
