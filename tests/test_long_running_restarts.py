"""Tests that long-running tasks that lost their worker run again, on virtual time."""

import asyncio
import itertools
import unittest
from collections.abc import Iterator

from pollengate.store import Delete
from pollengate.workflow.keys import shard_of_job
from pollengate.workflow.leases import WORKER_LEASE_S
from pollengate.workflow.model import Demand, Step
from pollengated.edge.start_pauses import NO_REPLY_PAUSE_S
from pollengated.edge.worker_controller import RENEW_TIMEOUT_S, RENEW_WAIT_S

from tests.edge_cluster import EdgeCluster, EdgeTestCase
from tests.utils import run_virtual
from tests.workflow_builders import build_step, build_workflow

# A long-running task that does not run this long after it could have counts as lost.
MAX_ABSENCE_S = 9.0
SETTLE_S = 3.0
# After a loss the other machines count as in touch again; a task without a run after as many calm
# seconds counts as lost.
IN_TOUCH_S = 3.0
CALM_S = 7.0
SHORT_S = 1.0


def job_ids(shard: int, shards: int) -> Iterator[str]:
    """Yields ids of jobs that belong to a shard."""
    found = (f"{number:016x}" for number in itertools.count())
    return (job_id for job_id in found if shard_of_job(job_id, shards) == shard)


def long_running(count: int, millis: int, **changes: object) -> Step:
    """Returns a step of long-running tasks."""
    fields: dict[str, object] = {"is_long_running": True, "may_miss": 1}
    return build_step(count, demand=Demand(millis, 100), **(fields | changes))


class LongRunningRestartTest(EdgeTestCase):
    """Workers have four cores; one that leaves, or is cut off, has a long-running task."""

    def open_cluster(self, workers: int, shards: int) -> EdgeCluster:
        """Returns a cluster on which tasks of jobs in `self.long_running_ids` last."""
        cluster = EdgeCluster(workers=workers, shards=shards)
        self.long_running_ids: set[str] = set()
        self.ids_by_shard = {shard: job_ids(shard, shards) for shard in range(shards)}
        for worker in cluster.workers_by_id.values():
            worker.duration_of = lambda task: (
                float("inf") if task.partition(".")[0] in self.long_running_ids else SHORT_S
            )
        return cluster

    async def submit(self, cluster: EdgeCluster, shard: int, step: Step) -> str:
        """Submits a job of one step to a shard and returns the job's id."""
        job_id = next(self.ids_by_shard[shard])
        if step.is_long_running:
            self.long_running_ids.add(job_id)
        await cluster.submit(job_id, build_workflow(step))
        return job_id

    def running_workers(self, cluster: EdgeCluster, job_id: str) -> list[str]:
        """Returns the workers on which tasks of a job run."""
        history = cluster.update_history()
        return [r.worker_id for r in history if r.task.startswith(job_id) and r.ended_at is None]

    async def remove(self, cluster: EdgeCluster, worker_id: str) -> None:
        """Lets a worker drain for a second and leave."""
        await cluster.register(worker_id, "draining")
        await asyncio.sleep(1.0)
        await cluster.store.commit((), (Delete(f"servers/{worker_id}"),))
        cluster.workers_by_id[worker_id].crash()
        cluster.workers_by_id[worker_id].is_unreachable = True

    def test_short_tasks_do_not_keep_a_long_running_task_from_running_again(self) -> None:
        async def main() -> None:
            cluster = self.open_cluster(workers=5, shards=1)
            await cluster.open()
            job_id = await self.submit(cluster, 0, long_running(4, 3000))
            await asyncio.sleep(SETTLE_S)
            before = self.running_workers(cluster, job_id)
            self.assertEqual(4, len(set(before)))
            small = build_step(demand=Demand(1000, 100))

            async def submit_small() -> None:
                while True:  # a tenth more than the workers can run
                    await self.submit(cluster, 0, small)
                    await asyncio.sleep(SHORT_S / 9)

            load = asyncio.create_task(submit_small())
            await asyncio.sleep(SETTLE_S)
            await self.remove(cluster, before[0])
            await asyncio.sleep(MAX_ABSENCE_S)
            load.cancel()
            self.assertEqual(4, len(self.running_workers(cluster, job_id)))
            self.check_single_execution(cluster)

        run_virtual(main())

    def test_shard_with_waiting_batch_tasks_gives_its_room_to_a_task_that_runs_again(self) -> None:
        async def main() -> None:
            cluster = self.open_cluster(workers=6, shards=2)
            await cluster.open()
            job_id = await self.submit(cluster, 0, long_running(3, 3000))
            other_id = await self.submit(cluster, 1, long_running(3, 1000))
            await asyncio.sleep(SETTLE_S)
            await self.submit(cluster, 1, build_step(100, demand=Demand(500), max_per_worker=1))
            await asyncio.sleep(SETTLE_S)
            await self.remove(cluster, self.running_workers(cluster, job_id)[0])
            await asyncio.sleep(MAX_ABSENCE_S)
            for long_running_id in (job_id, other_id):
                self.assertEqual(3, len(self.running_workers(cluster, long_running_id)))
            self.check_single_execution(cluster)

        run_virtual(main())

    def test_free_cores_in_pieces_do_not_keep_a_long_running_task_from_running_again(self) -> None:
        async def main() -> None:
            cluster = self.open_cluster(workers=4, shards=1)
            await cluster.open()
            large_id = await self.submit(cluster, 0, long_running(2, 3000, max_per_worker=1))
            await asyncio.sleep(SETTLE_S)
            small_id = await self.submit(cluster, 0, long_running(2, 2000))
            await asyncio.sleep(SETTLE_S)
            small = self.running_workers(cluster, small_id)
            self.assertEqual(2, len(set(small)))  # two cores are left on each
            await self.remove(cluster, self.running_workers(cluster, large_id)[0])
            await asyncio.sleep(MAX_ABSENCE_S)
            for job_id in (large_id, small_id):
                self.assertEqual(2, len(self.running_workers(cluster, job_id)))
            self.check_single_execution(cluster)

        run_virtual(main())

    def test_worker_that_never_completes_a_report_does_not_keep_its_tasks(self) -> None:
        async def main() -> None:
            cluster = self.open_cluster(workers=3, shards=1)
            await cluster.open()
            job_id = await self.submit(cluster, 0, long_running(2, 3000))
            await asyncio.sleep(SETTLE_S)
            worker_id = self.running_workers(cluster, job_id)[0]
            cluster.workers_by_id[worker_id].completes_reports = False
            await asyncio.sleep(WORKER_LEASE_S + MAX_ABSENCE_S)
            after = self.running_workers(cluster, job_id)
            self.assertEqual(2, len(after))
            self.assertNotIn(worker_id, after)
            self.check_single_execution(cluster)

        run_virtual(main())

    def test_worker_whose_report_was_late_once_gets_tasks_soon_after_the_next_one(self) -> None:
        async def main() -> None:
            cluster = self.open_cluster(workers=1, shards=1)
            await cluster.open()
            worker = cluster.workers_by_id["w0"]
            worker.completes_reports = False
            await asyncio.sleep(RENEW_WAIT_S + RENEW_TIMEOUT_S)
            worker.completes_reports = True
            await asyncio.sleep(RENEW_TIMEOUT_S)
            job_id = await self.submit(cluster, 0, build_step())
            await cluster.wait_for_state(job_id, "completed", SHORT_S + NO_REPLY_PAUSE_S)

        run_virtual(main())

    def test_task_that_loses_its_worker_and_its_owner_together_runs_again_in_time(self) -> None:
        async def main() -> None:
            cluster = self.open_cluster(workers=4, shards=1)
            await cluster.open(nodes=3)
            job_id = await self.submit(cluster, 0, long_running(2, 1000))
            await asyncio.sleep(SETTLE_S)
            worker_id = self.running_workers(cluster, job_id)[0]
            worker = cluster.workers_by_id[worker_id]
            worker.crash()
            worker.is_unreachable = True
            await cluster.store.commit((), (Delete(f"servers/{worker_id}"),))
            cluster.serving_node().kill()
            await asyncio.sleep(IN_TOUCH_S + CALM_S)
            self.assertEqual(2, len(self.running_workers(cluster, job_id)))

        run_virtual(main())


if __name__ == "__main__":
    unittest.main()
