"""Tests of workers on which many jobs fail that can never be done."""

import asyncio

from pollengate.workflow.model import Demand

from tests.edge_cluster import EdgeCluster, EdgeTestCase
from tests.utils import run_virtual
from tests.workflow_builders import build_step, build_workflow

HOPELESS = "bad"
GOOD = f"{0x600D:016x}"
# A job that could run and of which nothing runs for this long counts as lost.
LOST_AFTER_S = 3.0
CAPACITY = Demand(16_000, 62_500)


class HopelessJobsTest(EdgeTestCase):
    """Jobs of one task that fails wherever it runs, on 24 workers that are sound."""

    def test_jobs_that_fail_everywhere_do_not_quarantine_all_workers(self) -> None:
        # Guards against jobs that stand still while all workers are free but quarantined.
        async def main() -> None:
            cluster = EdgeCluster(workers=24, capacity=CAPACITY, duration_s=0.5)
            for worker in cluster.workers_by_id.values():
                worker.fails = lambda task: task.startswith(HOPELESS)
            await cluster.open()
            hopeless = build_workflow(build_step())
            async with asyncio.TaskGroup() as group:
                for number in range(60):
                    job_id = f"{HOPELESS}{number:013x}"
                    group.create_task(cluster.submit(job_id, hopeless))
                    await asyncio.sleep(0.02)
            await asyncio.sleep(1.0)
            await cluster.submit(GOOD, build_workflow(build_step(4)))
            await cluster.wait_for_state(GOOD, "completed", LOST_AFTER_S)

        run_virtual(main())
