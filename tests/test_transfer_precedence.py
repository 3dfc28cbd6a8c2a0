"""Tests of which shard gets a worker first if several are short, on virtual time."""

import asyncio
import functools
import unittest
from collections.abc import Callable

from pollengate.workflow.keys import ASSIGNMENT_PREFIX
from pollengate.workflow.model import Demand, Step

from tests.edge_cluster import EdgeCluster, EdgeTestCase
from tests.test_worker_transfers import job_ids
from tests.utils import run_virtual
from tests.workflow_builders import build_step, build_workflow

SHARDS = 3
# The shards of these tests: two are short, the third one has workers to release.
MODEST, LARGE, DONOR = range(SHARDS)
# Time in which an owner that may release a worker does so.
RELEASE_S = 3.0
WHOLE_WORKER = Demand(4000, 100)
INFINITE_DURATION_S = float("inf")


def lasting(count: int, **changes: object) -> Step:
    """Returns a step of long-running tasks that need a worker each."""
    fields: dict[str, object] = {"is_long_running": True, "may_miss": 1, "demand": WHOLE_WORKER}
    return build_step(count, **(fields | changes))


class TransferPrecedenceTest(EdgeTestCase):
    """Three shards with the same number of workers each; jobs stay in their home shards."""

    def setUp(self) -> None:
        """Prepares ids of jobs of each shard."""
        super().setUp()
        self.full_ids_by_shard: dict[int, str] = {}
        self.ids_by_shard = {shard: job_ids(shard, 20, SHARDS) for shard in range(SHARDS)}

    async def open_cluster(
        self, workers_per_shard: int, duration_of: Callable[[str], float]
    ) -> EdgeCluster:
        """Returns a cluster whose shards MODEST and LARGE are full.

        Args:
            workers_per_shard: number of workers of each shard.
            duration_of: duration in seconds of a task of shard DONOR, by its worker's id.
        """
        cluster = EdgeCluster(workers_per_shard * SHARDS, None, SHARDS, places_elsewhere=False)
        donor_ids = set(self.ids_by_shard[DONOR])

        def duration(worker_id: str, task: str) -> float:
            is_donors = task.partition(".")[0] in donor_ids
            return duration_of(worker_id) if is_donors else INFINITE_DURATION_S

        for worker_id, worker in cluster.workers_by_id.items():
            worker.duration_of = functools.partial(duration, worker_id)
        await cluster.open(nodes=3)
        for shard in (MODEST, LARGE):
            job_id = await self.submit(cluster, shard, lasting(workers_per_shard))
            self.full_ids_by_shard[shard] = job_id
        await asyncio.sleep(2.0)
        return cluster

    async def submit(self, cluster: EdgeCluster, shard: int, step: Step) -> str:
        """Submits a job of one step to a shard and returns the job's id."""
        job_id = self.ids_by_shard[shard].pop(0)
        await cluster.submit(job_id, build_workflow(step))
        return job_id

    def running(self, cluster: EdgeCluster, job_id: str) -> int:
        """Returns the number of tasks of a job that run."""
        history = cluster.update_history()
        return sum(r.task.startswith(job_id) and r.ended_at is None for r in history)

    async def check_transferred_once(self, cluster: EdgeCluster) -> None:
        """Checks that no worker went on to a further shard, or back."""
        entries = (await cluster.store.list(ASSIGNMENT_PREFIX)).unwrap().entries
        self.assertTrue(entries)
        self.assertTrue(all(entry.revision == entry.created_revision for entry in entries))

    def test_shard_that_asks_for_one_worker_is_not_served_after_all_of_one_that_asks_for_many(
        self,
    ) -> None:
        # The time between the first requests decides whose newest one is due first.
        for gap_s in (0.2, 0.5, 0.8, 1.1, 1.4, 1.7, 2.0, 2.3):
            with self.subTest(gap_s=gap_s):
                self.setUp()
                run_virtual(self.ask_for_one_after_many(gap_s))

    async def ask_for_one_after_many(self, gap_s: float) -> None:
        """Lets two shards ask while a third one can release nothing, as its own tasks wait."""
        cluster = await self.open_cluster(3, lambda worker_id: 3.0)
        donor_id = await self.submit(cluster, DONOR, build_step(9, demand=WHOLE_WORKER))
        large_id = await self.submit(cluster, LARGE, lasting(8))
        await asyncio.sleep(gap_s)
        modest_id = await self.submit(cluster, MODEST, lasting(1))
        await cluster.wait_for_state(donor_id, "completed", 30.0)
        await asyncio.sleep(RELEASE_S)
        self.assertEqual(1, self.running(cluster, modest_id))
        self.assertEqual(2, self.running(cluster, large_id))
        await self.check_transferred_once(cluster)
        self.check_single_execution(cluster)

    def test_worker_that_is_free_is_not_kept_while_another_one_is_emptied(self) -> None:
        async def main() -> None:
            cluster = await self.open_cluster(3, lambda worker_id: 5.5 if worker_id == "w2" else 2)
            await self.submit(cluster, DONOR, build_step(3, demand=WHOLE_WORKER))
            large_id = await self.submit(cluster, LARGE, lasting(1))
            await asyncio.sleep(1.2)
            modest_id = await self.submit(cluster, MODEST, lasting(1))
            await asyncio.sleep(RELEASE_S)
            self.assertEqual(1, self.running(cluster, modest_id))
            await asyncio.sleep(RELEASE_S)
            self.assertEqual(1, self.running(cluster, large_id))
            await self.check_transferred_once(cluster)
            self.check_single_execution(cluster)

        run_virtual(main())

    def test_restarts_do_not_wait_for_the_first_starts_of_a_shard_that_asked_before(self) -> None:
        # The time between the first requests decides whose newest one is due first.
        for gap_s in (1.0, 1.25, 1.5, 1.75):
            with self.subTest(gap_s=gap_s):
                self.setUp()
                run_virtual(self.ask_for_restarts_after_first_starts(gap_s))

    async def ask_for_restarts_after_first_starts(self, gap_s: float) -> None:
        """Lets two shards ask while a gang keeps a third one from emptying any worker."""
        cluster = await self.open_cluster(3, lambda worker_id: 9.0)
        gang = build_step(3, is_gang=True, demand=WHOLE_WORKER)
        gang_id = await self.submit(cluster, DONOR, gang)
        large_id = await self.submit(cluster, LARGE, lasting(8))
        await asyncio.sleep(gap_s)
        for worker_id in (f"w{MODEST}", f"w{MODEST + SHARDS}"):
            await cluster.drain_worker(worker_id)
        await cluster.wait_for_state(gang_id, "completed", 30.0)
        await asyncio.sleep(RELEASE_S)
        self.assertEqual(3, self.running(cluster, self.full_ids_by_shard[MODEST]))
        self.assertEqual(1, self.running(cluster, large_id))
        await self.check_transferred_once(cluster)
        self.check_single_execution(cluster)


if __name__ == "__main__":
    unittest.main()
