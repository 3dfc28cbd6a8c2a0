"""Tests of tasks that crash their workers."""

import asyncio
import unittest
from collections.abc import Collection

from pollengate.workflow.model import Demand, Workflow

from tests.edge_cluster import EdgeCluster, EdgeTestCase
from tests.utils import run_virtual
from tests.workflow_builders import build_step, build_workflow

DEADLY = f"{0xDEAD:016x}"
OTHER_DEADLY = f"{0xDEAE:016x}"
# After three crashes, a third further start breaks the rule.
MAX_STARTS = 5


def small_tasks(count: int) -> Workflow:
    """Returns a job of tasks, four of which fit on a worker."""
    return build_workflow(build_step(count, demand=Demand(1000, 100)))


def starts_of(cluster: EdgeCluster, task: str) -> int:
    """Returns how often a task was started."""
    return sum(record.task == task for record in cluster.update_history())


class DeadlyTaskTest(EdgeTestCase):
    """A job whose first task crashes each worker that starts it."""

    async def open_cluster(
        self, workers: int = 8, deadly: Collection[str] = (f"{DEADLY}.0.0.0",)
    ) -> EdgeCluster:
        """Returns a cluster in which some tasks crash their worker."""
        cluster = EdgeCluster(workers=workers)
        for worker in cluster.workers_by_id.values():
            worker.crashes_under = lambda task: task in deadly
        await cluster.open(nodes=3)
        return cluster

    async def check_given_up(self, cluster: EdgeCluster, job_id: str = DEADLY) -> None:
        """Asserts that a job fails after few enough starts of its first task."""
        await cluster.wait_for_state(job_id, "failed")
        await asyncio.sleep(10.0)
        self.assertLessEqual(starts_of(cluster, f"{job_id}.0.0.0"), MAX_STARTS)
        self.check_no_overlap(cluster)

    def test_task_that_crashes_its_workers_is_given_up(self) -> None:
        async def main() -> None:
            cluster = await self.open_cluster()
            await cluster.submit(DEADLY, small_tasks(1))
            await self.check_given_up(cluster)
            self.assertEqual(3, starts_of(cluster, f"{DEADLY}.0.0.0"))

        run_virtual(main())

    def test_jobs_beside_a_deadly_task_are_completed(self) -> None:
        async def main() -> None:
            cluster = await self.open_cluster()
            await cluster.submit(DEADLY, small_tasks(4))
            others = [f"{number:016x}" for number in range(1, 13)]
            for job_id in others:
                await cluster.submit(job_id, small_tasks(4))
                await asyncio.sleep(0.3)
            await self.check_given_up(cluster)
            for job_id in others:
                await cluster.wait_for_state(job_id, "completed")

        run_virtual(main())

    def test_two_deadly_tasks_that_start_together_are_both_given_up(self) -> None:
        async def main() -> None:
            deadly = (f"{DEADLY}.0.0.0", f"{OTHER_DEADLY}.0.0.0")
            cluster = await self.open_cluster(workers=4, deadly=deadly)
            await cluster.submit(DEADLY, small_tasks(1))
            await cluster.submit(OTHER_DEADLY, small_tasks(1))
            await self.check_given_up(cluster)
            await self.check_given_up(cluster, OTHER_DEADLY)

        run_virtual(main())

    def test_step_whose_tasks_all_crash_their_workers_is_given_up(self) -> None:
        async def main() -> None:
            deadly = [f"{DEADLY}.0.0.{index}" for index in range(12)]
            cluster = await self.open_cluster(workers=16, deadly=deadly)
            await cluster.submit(DEADLY, small_tasks(12))
            await self.check_given_up(cluster)

        run_virtual(main())

    def test_long_running_task_that_crashes_its_workers_is_given_up(self) -> None:
        async def main() -> None:
            cluster = await self.open_cluster()
            step = build_step(1, is_long_running=True, demand=Demand(1000, 100))
            await cluster.submit(DEADLY, build_workflow(step))
            await self.check_given_up(cluster)

        run_virtual(main())

    def test_successors_know_the_crashes(self) -> None:
        async def main() -> None:
            cluster = await self.open_cluster()
            await cluster.submit(DEADLY, small_tasks(1))
            for starts in (2, 3):
                for _ in range(300):
                    if starts_of(cluster, f"{DEADLY}.0.0.0") >= starts:
                        break
                    await asyncio.sleep(0.1)
                owner = cluster.owner()
                if owner is None:
                    continue
                owner.kill()
                await cluster.wait_for_term(owner.name)
            await self.check_given_up(cluster)

        run_virtual(main())

    def test_crashes_outlive_a_restart_of_all_processes(self) -> None:
        async def main() -> None:
            cluster = await self.open_cluster()
            await cluster.submit(DEADLY, small_tasks(1))
            await asyncio.sleep(5.0)
            for node in list(cluster.nodes_by_name.values()):
                node.kill()
            for name in ("n3", "n4"):
                cluster.start_node(name)
            await cluster.wait_for_term()
            await self.check_given_up(cluster)

        run_virtual(main())

    def test_outage_of_the_store_adds_no_starts(self) -> None:
        async def main() -> None:
            cluster = await self.open_cluster()
            await cluster.submit(DEADLY, small_tasks(1))
            await asyncio.sleep(1.0)
            await cluster.pause_store(12.0)
            await self.check_given_up(cluster)

        run_virtual(main())


if __name__ == "__main__":
    unittest.main()
