"""Tests that shards which lack each other's workers do not wait for each other, on virtual time."""

import asyncio
from collections.abc import Mapping

from pollengate.workflow.job_service import Accepted
from pollengate.workflow.keys import ASSIGNMENT_PREFIX
from pollengate.workflow.model import Demand, Step

from tests.edge_cluster import EdgeCluster, EdgeTestCase
from tests.test_worker_transfers import job_ids
from tests.utils import run_virtual
from tests.workflow_builders import build_step, build_workflow

# A job with a task whose turn has come and nothing running counts as lost after this time.
LOST_AFTER_S = 3.0
MANY_CORES = Demand(8000, 1000)
MUCH_MEMORY = Demand(2000, 8000)
ACCELERATED = Demand(2000, 1000, 1)
SMALL = Demand(1000, 100)


class MutualShortageTest(EdgeTestCase):
    """Two shards whose workers differ, each with jobs that only the other one's workers can run.

    Workers w0, w2 and so on belong to shard 0, on rack r0; the others to shard 1, on rack r1.
    """

    async def open(
        self, capacities: tuple[Demand, Demand], workers: int = 8, duration_s: float = 0.5
    ) -> EdgeCluster:
        """Returns a cluster.

        Args:
            capacities: capacities of the workers of each shard.
            workers: number of workers of both shards.
            duration_s: duration of each task that is not long-running.
        """
        cluster = EdgeCluster(workers, None, 2, places_elsewhere=False)
        for name in cluster.workers_by_id:
            cluster.capacity_by_worker[name] = capacities[int(name[1:]) % 2]
        self.lasting_ids: set[str] = set()
        for worker in cluster.workers_by_id.values():
            worker.duration_of = lambda task: (
                float("inf") if task.partition(".")[0] in self.lasting_ids else duration_s
            )
        await cluster.open(nodes=3)
        await asyncio.sleep(3.0)
        return cluster

    async def submit(self, cluster: EdgeCluster, steps_by_id: Mapping[str, Step]) -> None:
        """Submits jobs of one step each at once."""
        for job_id, step in steps_by_id.items():
            if step.is_long_running:
                self.lasting_ids.add(job_id)
            await cluster.submit(job_id, build_workflow(step))

    def waiting(self, cluster: EdgeCluster, steps_by_id: Mapping[str, Step]) -> list[str]:
        """Returns the jobs that have no run yet."""
        started = {record.task.partition(".")[0] for record in cluster.update_history()}
        return [job_id for job_id in steps_by_id if job_id not in started]

    def check_started(
        self, capacities: tuple[Demand, Demand], steps: tuple[Step, Step], jobs: int = 2
    ) -> None:
        """Checks that jobs of both shards start in time.

        Args:
            capacities: capacities of the workers of each shard.
            steps: the step of the jobs of each shard.
            jobs: number of jobs of each shard.
        """

        async def main() -> None:
            cluster = await self.open(capacities)
            steps_by_id = {
                job_id: steps[shard]
                for pair in zip(job_ids(0, jobs), job_ids(1, jobs), strict=True)
                for shard, job_id in enumerate(pair)
            }
            await self.submit(cluster, steps_by_id)
            await asyncio.sleep(LOST_AFTER_S)
            self.assertEqual([], self.waiting(cluster, steps_by_id))
            await asyncio.sleep(10.0)
            self.check_single_execution(cluster)
            entries = (await cluster.store.list(ASSIGNMENT_PREFIX)).unwrap().entries
            moves = [entry.revision == entry.created_revision for entry in entries]
            self.assertTrue(all(moves), "a worker went back and forth")

        run_virtual(main())

    def test_shards_that_need_labels_of_each_other(self) -> None:
        # Guards against accepted jobs that never start while all workers are idle (review/12).
        for changes in ({}, {"is_long_running": True}, {"is_gang": True}, {"max_per_worker": 1}):
            with self.subTest(changes=changes):
                steps = (
                    build_step(2, required_label="r1", **changes),
                    build_step(2, required_label="r0", **changes),
                )
                self.check_started((MANY_CORES, MANY_CORES), steps)

    def test_shards_that_need_sizes_of_each_other(self) -> None:
        # Guards against the same with accelerators on one side, and memory or cores on the other.
        memory, cores = Demand(1000, 5000), Demand(5000, 500)
        accelerator = Demand(1000, 500, 1)
        cells = (
            ((MUCH_MEMORY, MANY_CORES), (cores, memory)),
            ((MUCH_MEMORY, ACCELERATED), (accelerator, memory)),
            ((ACCELERATED, MANY_CORES), (cores, accelerator)),
        )
        for capacities, (first, second) in cells:
            with self.subTest(capacities=capacities):
                steps = build_step(demand=first), build_step(demand=second)
                self.check_started(capacities, steps)

    def test_shard_whose_need_is_met_by_one_that_is_not_short(self) -> None:
        # Guards against an answer to mutual shortages that serves no others.
        async def main() -> None:
            cluster = await self.open((MANY_CORES, MANY_CORES))
            steps_by_id = {job_id: build_step(required_label="r1") for job_id in job_ids(0, 2)}
            await self.submit(cluster, steps_by_id)
            await asyncio.sleep(LOST_AFTER_S)
            self.assertEqual([], self.waiting(cluster, steps_by_id))

        run_virtual(main())

    def test_shards_that_need_the_workers_of_services_of_each_other(self) -> None:
        # Guards against the same where the workers of each service are in one shard.
        async def main() -> None:
            cluster = EdgeCluster(8, 0.5, 2, places_elsewhere=False)
            for name in cluster.workers_by_id:
                cluster.service_by_worker[name] = ("service", "other")[int(name[1:]) % 2]
            await cluster.open(nodes=3)
            await cluster.configure(2, {"queue": "service", "others": "other"})
            await asyncio.sleep(3.0)
            ids_by_queue = {"others": job_ids(0, 2), "queue": job_ids(1, 2)}
            for queue, ids in ids_by_queue.items():
                for job_id in ids:
                    response = await cluster.submit(job_id, build_workflow(), queue=queue)
                    self.assertEqual(Accepted(), response)
            await asyncio.sleep(LOST_AFTER_S)
            started = {record.task.partition(".")[0] for record in cluster.update_history()}
            self.assertEqual(set(sum(ids_by_queue.values(), [])), started)
            self.check_single_execution(cluster)

        run_virtual(main())

    def test_shards_that_need_labels_of_each_other_for_later_steps_and_retries(self) -> None:
        # Guards against jobs that stop after a step, or after a failure, beside idle workers.
        async def main() -> None:
            cluster = await self.open((MANY_CORES, MANY_CORES))
            failed: set[str] = set()

            def fails(task: str) -> bool:
                is_first = task.split(".")[2] == "1" and task not in failed
                failed.add(task)
                return is_first

            for worker in cluster.workers_by_id.values():
                worker.fails = fails
            ids = [(shard, job_id) for shard in range(2) for job_id in job_ids(shard, 2)]
            for shard, job_id in ids:
                first = build_step(required_label=f"r{shard}")
                later = build_step(required_label=f"r{1 - shard}", after=(0,))
                await cluster.submit(job_id, build_workflow(first, later))
            # Each of three starts may wait for as long as that, and each run takes 0.5 s.
            for _, job_id in ids:
                await cluster.wait_for_state(job_id, "completed", 3 * (LOST_AFTER_S + 0.5))
            self.check_single_execution(cluster)

        run_virtual(main())

    def test_shard_that_needs_what_nobody_has_gets_what_another_one_has(self) -> None:
        # Guards against jobs behind others whose need is met by no worker at all.
        async def main() -> None:
            cluster = await self.open((MANY_CORES, MANY_CORES))
            ids = job_ids(0, 4)
            hopeless = {
                job_id: build_step(required_label=label, is_long_running=True)
                for job_id, label in zip(ids, ("x", "y"), strict=False)
            }
            steps_by_id = {job_id: build_step(required_label="r1") for job_id in ids[2:]}
            await self.submit(cluster, hopeless | steps_by_id)
            await asyncio.sleep(2 * LOST_AFTER_S)
            self.assertEqual([], self.waiting(cluster, steps_by_id))

        run_virtual(main())

    def check_started_beside_pieces(self, max_per_worker: int) -> None:
        """Checks that jobs start whose tasks fit beside lasting tasks of the other shard only."""

        async def main() -> None:
            cluster = await self.open((MANY_CORES, MANY_CORES))
            lasting = {
                job_ids(shard, 1)[0]: build_step(
                    4,
                    is_long_running=True,
                    demand=Demand(millis, 50),
                    max_per_worker=max_per_worker,
                    may_miss=1,
                )
                for shard, millis in enumerate((4200, 2400))
            }
            await self.submit(cluster, lasting)
            await asyncio.sleep(5.0)
            steps_by_id = {
                job_id: build_step(demand=Demand(5000, 100)) for job_id in job_ids(0, 3)[1:]
            }
            await self.submit(cluster, steps_by_id)
            await asyncio.sleep(20.0)
            self.assertEqual([], self.waiting(cluster, steps_by_id))
            self.check_single_execution(cluster)

        run_virtual(main())

    def test_short_tasks_get_a_worker_whose_lasting_tasks_can_move(self) -> None:
        # Guards against jobs that wait beside lasting tasks which take less than half of the cores.
        self.check_started_beside_pieces(max_per_worker=0)

    def test_short_tasks_get_room_in_pieces_on_workers_that_cannot_be_emptied(self) -> None:
        # Guards against the same where a limit per worker keeps the lasting tasks apart.
        self.check_started_beside_pieces(max_per_worker=1)
