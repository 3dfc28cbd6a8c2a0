"""Tests of the transfers that give every shard room for short tasks, on virtual time."""

import asyncio
import unittest

from pollengate.workflow.keys import shard_of_job
from pollengate.workflow.model import Demand, Workflow

from tests.edge_cluster import EdgeCluster, EdgeTestCase
from tests.utils import run_virtual
from tests.workflow_builders import build_step, build_workflow

SHORT_S = 0.6
# Twice the estimated run time, as the queue's stretch is 2.
OBJECTIVE_S = 2 * SHORT_S
SETTLE_S = 12.0


def short_job(count: int) -> Workflow:
    """Returns a job of some short tasks, two of which fill a worker."""
    step = build_step(count, demand=Demand(2000, 100), estimate_ms=round(SHORT_S * 1000))
    return build_workflow(step)


def job_ids(shard: int, count: int, shards: int = 2) -> list[str]:
    """Returns ids of jobs that belong to a shard."""
    found = (f"{number:016x}" for number in range(1000))
    return [job_id for job_id in found if shard_of_job(job_id, shards) == shard][:count]


class ShardBalanceTest(EdgeTestCase):
    """Two shards of eight workers with four cores; long-running tasks nearly fill shard 0."""

    async def open_uneven_shards(self, settle_s: float = SETTLE_S) -> tuple[EdgeCluster, list[str]]:
        """Returns the cluster, and ids of jobs of shard 0 that were not submitted."""
        cluster = EdgeCluster(workers=16, shards=2)
        long_running, *short = job_ids(0, 6)
        (other,) = job_ids(1, 1)
        for worker in cluster.workers_by_id.values():
            worker.duration_of = lambda task: (
                float("inf") if task.startswith((long_running, other)) else SHORT_S
            )
        await cluster.open(nodes=3)
        for job_id, millis in ((long_running, 3000), (other, 1000)):
            step = build_step(8, is_long_running=True, demand=Demand(millis, 100), may_miss=1)
            await cluster.submit(job_id, build_workflow(step))
        await asyncio.sleep(settle_s)
        return cluster, short

    async def check_short_jobs(self, cluster: EdgeCluster, ids: list[str], tasks: int) -> None:
        """Submits jobs one after the other and asserts that each meets its objective."""
        for job_id in ids:
            await cluster.submit(job_id, short_job(tasks))
            took_s = await cluster.wait_for_state(job_id, "completed")
            self.assertLessEqual(took_s, OBJECTIVE_S)
        self.check_single_execution(cluster)

    def test_short_tasks_meet_their_objective_in_a_shard_full_of_long_running_tasks(self) -> None:
        async def main() -> None:
            cluster, short = await self.open_uneven_shards()
            await self.check_short_jobs(cluster, short, tasks=4)

        run_virtual(main())


if __name__ == "__main__":
    unittest.main()
