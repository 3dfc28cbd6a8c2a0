"""Tests of long-running tasks that run again in another shard, under failures, on virtual time."""

import asyncio
import unittest
from collections.abc import Awaitable, Callable

import logbook
from pollengate.workflow.keys import shard_of_job
from pollengate.workflow.model import Demand

from tests.edge_cluster import EdgeCluster, EdgeTestCase
from tests.utils import run_virtual
from tests.workflow_builders import build_step, build_workflow

HOME, OTHER = 0, 1
IDS = [f"{n:016x}" for n in range(400) if shard_of_job(f"{n:016x}", 2) == HOME]
OTHER_IDS = [f"{n:016x}" for n in range(400) if shard_of_job(f"{n:016x}", 2) == OTHER]
FILL_ID, JOB_ID = IDS[:2]
OTHER_FILL_ID = OTHER_IDS[0]
# A long-running task with room elsewhere runs again within 6 s of its last run.
MAX_ABSENCE_S = 6.0
SETTLE_S = 3.0


async def open_pieces(other_millis: int = 2500, nodes: int = 4) -> EdgeCluster:
    """Returns a cluster of two shards of three workers, none of which can be emptied.

    The job's task of one core is on a worker of the home shard by itself.
    """
    cluster = EdgeCluster(workers=6, duration_s=float("inf"), shards=2)
    await cluster.open(nodes=nodes)
    jobs = (
        (OTHER_FILL_ID, 3, other_millis, 1),
        (FILL_ID, 2, 3500, 1),
        (JOB_ID, 1, 1000, 0),
    )
    for job_id, count, millis, max_per_worker in jobs:
        step = build_step(
            count,
            demand=Demand(millis, 50),
            is_long_running=True,
            may_miss=1,
            max_per_worker=max_per_worker,
        )
        await cluster.submit(job_id, build_workflow(step))
        await asyncio.sleep(SETTLE_S)
    return cluster


def running_workers(cluster: EdgeCluster) -> list[str]:
    """Returns the workers on which the job's tasks run."""
    history = cluster.update_history()
    return [r.worker_id for r in history if r.task.startswith(JOB_ID) and r.ended_at is None]


class TaskDelegationTest(EdgeTestCase):
    """A task without room in its shard while another shard has room in pieces."""

    def run_scenario(
        self, scenario: Callable[[EdgeCluster], Awaitable[None]], other_millis: int = 2500
    ) -> None:
        """Runs a scenario in a cluster in which the task has just lost its worker."""

        async def main() -> None:
            cluster = await open_pieces(other_millis)
            await cluster.drain_worker(*running_workers(cluster))
            await scenario(cluster)
            self.check_single_execution(cluster)

        with logbook.TestHandler() as self.log:
            run_virtual(main())

    def logged(self, message: str) -> list[dict[str, object]]:
        """Returns the fields of all lines with a message."""
        return [record.extra for record in self.log.records if record.message == message]

    def test_log_tells_that_other_shards_have_room_for_a_task_that_waits(self) -> None:
        async def scenario(cluster: EdgeCluster) -> None:
            await asyncio.sleep(MAX_ABSENCE_S)

        for millis, shards in ((2500, 1), (3500, 0)):
            self.run_scenario(scenario, millis)
            waits = self.logged("long-running task waits to run again")
            self.assertEqual(waits[0]["shards_with_room"], shards)


if __name__ == "__main__":
    unittest.main()
