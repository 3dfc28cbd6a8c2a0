"""Tests of the transfer of workers between shards, on virtual time."""

import asyncio
import unittest

from pollengate.workflow.keys import ASSIGNMENT_PREFIX, shard_of_job
from pollengate.workflow.model import Demand
from pollengate.workflow.progress import JobState

from tests.edge_cluster import EdgeCluster, EdgeTestCase
from tests.utils import run_virtual
from tests.workflow_builders import build_step, build_workflow

INFINITE_DURATION_S = float("inf")
LONG_RUNNING = build_workflow(
    build_step(2, is_long_running=True, demand=Demand(4000, 100), may_miss=1)
)
ONE_MORE = build_workflow(build_step(1, is_long_running=True, demand=Demand(3000, 100)))
# A long-running task starts within this time if there is capacity for it.
MAX_START_S = 6.0
# A long-running task that does not run this long after it could have counts as lost.
MAX_ABSENCE_S = 9.0


def job_ids(shard: int, count: int, shards: int = 2) -> list[str]:
    """Returns ids of jobs that belong to a shard."""
    found = (f"{number:016x}" for number in range(1000))
    return [job_id for job_id in found if shard_of_job(job_id, shards) == shard][:count]


def build_cluster(workers: int, shards: int, duration_s: float | None = None) -> EdgeCluster:
    """Returns a cluster in which jobs stay in their home shards, so that these need workers."""
    return EdgeCluster(workers, duration_s, shards, places_elsewhere=False)


class WorkerTransferTest(EdgeTestCase):
    """A shard that is full gets workers of a shard that has room."""

    def running_workers(self, cluster: EdgeCluster, job_id: str) -> list[str]:
        """Returns the workers on which tasks of a job run."""
        history = cluster.update_history()
        return [r.worker_id for r in history if r.task.startswith(job_id) and r.ended_at is None]

    async def open_full_shard(self) -> tuple[EdgeCluster, str]:
        """Returns a cluster whose shard 0 is full, and the id of a job that is one task too many.

        Workers w0 and w2 belong to shard 0, w1 and w3 to shard 1.
        """
        cluster = build_cluster(workers=4, duration_s=INFINITE_DURATION_S, shards=2)
        await cluster.open(nodes=3)
        first, second = job_ids(0, 2)
        await cluster.submit(first, LONG_RUNNING)
        await asyncio.sleep(2.0)
        self.assertEqual(["w0", "w2"], sorted(self.running_workers(cluster, first)))
        await cluster.submit(second, ONE_MORE)
        return cluster, second

    def test_long_running_task_of_a_full_shard_runs_on_a_worker_of_another_shard(self) -> None:
        async def main() -> None:
            cluster, job_id = await self.open_full_shard()
            await asyncio.sleep(MAX_ABSENCE_S)
            self.assertEqual(1, len(self.running_workers(cluster, job_id)))
            self.check_single_execution(cluster)

        run_virtual(main())

    def test_worker_is_released_although_every_worker_has_a_long_running_task(self) -> None:
        async def main() -> None:
            cluster = build_cluster(workers=4, duration_s=INFINITE_DURATION_S, shards=2)
            await cluster.open(nodes=3)
            others = job_ids(1, 2)
            for job_id in others:
                await cluster.submit(
                    job_id, build_workflow(build_step(1, is_long_running=True, may_miss=1))
                )
            first, second = job_ids(0, 2)
            await cluster.submit(first, LONG_RUNNING)
            await asyncio.sleep(2.0)
            used = [self.running_workers(cluster, job_id) for job_id in others]
            self.assertEqual([["w1"], ["w3"]], sorted(used))
            await cluster.submit(second, ONE_MORE)
            await asyncio.sleep(MAX_ABSENCE_S)
            for job_id in (second, *others):
                self.assertEqual(1, len(self.running_workers(cluster, job_id)))
            self.check_single_execution(cluster)

        run_virtual(main())

    def test_shard_keeps_a_worker_that_it_has_just_received(self) -> None:
        async def main() -> None:
            cluster = build_cluster(workers=9, duration_s=INFINITE_DURATION_S, shards=3)
            await cluster.open(nodes=3)
            full = build_workflow(build_step(3, is_long_running=True, demand=Demand(4000, 100)))
            ids_by_shard = {shard: job_ids(shard, 2, 3) for shard in (0, 2)}
            for first, _ in ids_by_shard.values():
                await cluster.submit(first, full)
            await asyncio.sleep(4.0)
            for _, second in ids_by_shard.values():
                await cluster.submit(second, ONE_MORE)
            await asyncio.sleep(MAX_ABSENCE_S)
            assignments = (await cluster.store.list(ASSIGNMENT_PREFIX)).unwrap().entries
            self.assertEqual(2, len(assignments))
            self.assertTrue(all(entry.revision == entry.created_revision for entry in assignments))
            for _, second in ids_by_shard.values():
                self.assertEqual(1, len(self.running_workers(cluster, second)))
            self.check_single_execution(cluster)

        run_virtual(main())

    def test_shard_that_lacks_several_workers_gets_them_together(self) -> None:
        async def main() -> None:
            cluster = build_cluster(workers=16, duration_s=INFINITE_DURATION_S, shards=2)
            await cluster.open(nodes=3)
            first, second = job_ids(0, 2)
            whole_worker = Demand(4000, 100)
            for job_id, tasks in ((first, 8), (second, 7)):
                step = build_step(tasks, is_long_running=True, demand=whole_worker, may_miss=1)
                await cluster.submit(job_id, build_workflow(step))
                await asyncio.sleep(MAX_START_S)
                self.assertEqual(tasks, len(self.running_workers(cluster, job_id)))
            self.check_single_execution(cluster)

        run_virtual(main())

    def test_successor_of_the_releasing_owner_leaves_a_transferred_worker_alone(self) -> None:
        async def main() -> None:
            cluster, job_id = await self.open_full_shard()
            await asyncio.sleep(MAX_ABSENCE_S)
            before = self.running_workers(cluster, job_id)
            self.assertEqual(1, len(before))
            owner = cluster.owner(shard=1)
            assert owner is not None
            owner.kill()
            await cluster.wait_for_term(owner.name, shard=1)
            await asyncio.sleep(MAX_ABSENCE_S)
            self.assertEqual(before, self.running_workers(cluster, job_id))
            self.check_single_execution(cluster)

        run_virtual(main())

    def test_successor_of_the_requesting_owner_adopts_runs_on_a_transferred_worker(self) -> None:
        async def main() -> None:
            cluster, job_id = await self.open_full_shard()
            await asyncio.sleep(MAX_ABSENCE_S)
            before = self.running_workers(cluster, job_id)
            self.assertEqual(1, len(before))
            owner = cluster.owner(shard=0)
            assert owner is not None
            owner.kill()
            await cluster.wait_for_term(owner.name, shard=0)
            await asyncio.sleep(MAX_ABSENCE_S)
            self.assertEqual(before, self.running_workers(cluster, job_id))
            self.check_single_execution(cluster)

        run_virtual(main())

    def test_worker_is_transferred_only_after_its_tasks_have_ended(self) -> None:
        async def main() -> None:
            cluster = build_cluster(workers=4, shards=2)
            for worker in cluster.workers_by_id.values():
                worker.duration_of = lambda task: INFINITE_DURATION_S if task[0] == "0" else 1.5
            await cluster.open(nodes=3)
            first, second = job_ids(0, 2)
            other = next(
                job_id
                for job_id in (f"a{number:015x}" for number in range(1000))
                if shard_of_job(job_id, 2) == 1
            )
            await cluster.submit(first, LONG_RUNNING)
            await asyncio.sleep(1.0)
            await cluster.submit(other, build_workflow(build_step(6)))
            await cluster.submit(second, ONE_MORE)
            await cluster.wait_for_state(other, JobState.COMPLETED)
            await asyncio.sleep(MAX_ABSENCE_S)
            self.assertEqual(1, len(self.running_workers(cluster, second)))
            self.assertEqual(9, len(cluster.history))
            self.check_single_execution(cluster)

        run_virtual(main())


if __name__ == "__main__":
    unittest.main()
