"""Tests of the workers that are kept clear for long-running tasks that run again."""

import unittest

from pollengate.workflow.job_table import JobTable
from pollengate.workflow.model import Demand, Deployment, Queue, Step
from pollengate.workflow.progress import JobProgress, Run

from tests.workflow_builders import (
    build_job_table,
    build_lease_worker,
    build_planner,
    build_step,
    build_workflow,
)

SERVICES = ("first", "second")
WHOLE_WORKER = Demand(4000, 100)


class ClearedWorkersTest(unittest.TestCase):
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
