"""Tests of the workers that a shard releases for long-running tasks that run again."""

import asyncio
import itertools
import json
import unittest

from pollengate.store import Delete, Put
from pollengate.workflow.clients import EndKind
from pollengate.workflow.keys import shard_of_job
from pollengate.workflow.leases import WORKER_LEASE_S
from pollengate.workflow.model import Demand, Step

from tests.edge_cluster import EdgeCluster, EdgeTestCase
from tests.utils import run_virtual
from tests.workflow_builders import build_step, build_workflow

# A long-running task that does not run this long after it could have counts as lost.
MAX_ABSENCE_S = 9.0
SETTLE_S = 3.0
# A task that has not been at work for this long counts as away.
ABSENCE_DETECTION_S = 4.5
CAPACITY = {"cpu": 4000, "memMb": 4000}


def long_running(count: int, millis: int, **changes: object) -> Step:
    """Returns a step of long-running tasks."""
    fields: dict[str, object] = {"is_long_running": True, "may_miss": 1}
    return build_step(count, demand=Demand(millis, 50), **(fields | changes))


class RestartTransferTest(EdgeTestCase):
    """Two shards; workers w0, w2, ... belong to shard 0, w1, w3, ... to shard 1."""

    def open_cluster(self, workers: int) -> EdgeCluster:
        """Returns a cluster whose tasks last."""
        self.numbers = itertools.count()
        return EdgeCluster(workers=workers, duration_s=float("inf"), shards=2)

    async def submit(
        self, cluster: EdgeCluster, shard: int, step: Step, queue: str = "queue"
    ) -> str:
        """Submits a job of one step to a shard and returns the job's id."""
        ids = (f"{number:016x}" for number in self.numbers)
        job_id = next(job_id for job_id in ids if shard_of_job(job_id, 2) == shard)
        term = await cluster.wait_for_term(shard=shard)
        await term.request_handler.submit(queue, job_id, build_workflow(step), "")
        await asyncio.sleep(SETTLE_S)
        return job_id

    async def label(self, cluster: EdgeCluster, worker_id: str, label: str) -> None:
        """Registers a worker with a label of its own."""
        rack = f"r{int(worker_id[1:]) % 2}"
        document = {
            "service": "service",
            "addr": f"{worker_id}:1",
            "zone": "a",
            "state": "ready",
            "capacity": CAPACITY,
            "labels": [label, rack],
        }
        put = Put(f"servers/{worker_id}", json.dumps(document).encode())
        await cluster.store.commit((), (put,))

    async def remove(self, cluster: EdgeCluster, worker_id: str) -> None:
        """Lets a worker drain for a second and leave."""
        await cluster.register(worker_id, "draining")
        await asyncio.sleep(1.0)
        await cluster.store.commit((), (Delete(f"servers/{worker_id}"),))
        cluster.workers_by_id[worker_id].crash()
        cluster.workers_by_id[worker_id].is_unreachable = True

    def running_workers(self, cluster: EdgeCluster, job_id: str) -> list[str]:
        """Returns the workers on which tasks of a job run."""
        history = cluster.update_history()
        return [r.worker_id for r in history if r.task.startswith(job_id) and r.ended_at is None]

    def test_task_that_none_of_its_workers_can_run_does_not_keep_a_shard_from_releasing_one(
        self,
    ) -> None:
        async def main() -> None:
            cluster = self.open_cluster(workers=8)
            await cluster.open()
            await self.label(cluster, "w7", "special")
            await self.submit(cluster, 1, long_running(1, 1000, required_label="special"))
            await self.submit(cluster, 0, long_running(3, 3500, max_per_worker=1))
            job_id = await self.submit(cluster, 0, long_running(1, 3000))
            (last,) = self.running_workers(cluster, job_id)
            await self.remove(cluster, "w7")
            await self.remove(cluster, last)
            await asyncio.sleep(MAX_ABSENCE_S)
            self.assertEqual(1, len(self.running_workers(cluster, job_id)))
            self.check_single_execution(cluster)

        run_virtual(main())

    def test_task_that_no_worker_can_run_does_not_hide_another_one_from_other_shards(self) -> None:
        async def main() -> None:
            cluster = self.open_cluster(workers=8)
            await cluster.open()
            await self.label(cluster, "w6", "special")
            await self.submit(cluster, 0, long_running(1, 3500, required_label="special"))
            await self.submit(cluster, 0, long_running(2, 3500, max_per_worker=1))
            job_id = await self.submit(cluster, 0, long_running(1, 3000))
            (last,) = self.running_workers(cluster, job_id)
            await self.remove(cluster, "w6")
            await self.remove(cluster, last)
            await asyncio.sleep(MAX_ABSENCE_S)
            self.assertEqual(1, len(self.running_workers(cluster, job_id)))
            self.check_single_execution(cluster)

        run_virtual(main())

    def test_restart_behind_a_task_of_a_higher_priority_gets_a_worker_of_a_busy_shard(self) -> None:
        async def main() -> None:
            cluster = self.open_cluster(workers=6)
            await cluster.open()
            routes = [
                {
                    "name": name,
                    "host": "host",
                    "prefix": f"/{name}/",
                    "service": "service",
                    "priority": priority,
                }
                for priority, name in enumerate(("urgent", "queue"))
            ]
            await cluster.configure(2, routes=routes)
            await self.submit(cluster, 0, long_running(2, 3500, max_per_worker=1))
            job_id = await self.submit(cluster, 0, long_running(1, 3000))
            await self.submit(cluster, 1, build_step(9, demand=Demand(500, 50), max_per_worker=1))
            too_large = long_running(1, 5000)
            await self.submit(cluster, 0, too_large, queue="urgent")
            (last,) = self.running_workers(cluster, job_id)
            await self.remove(cluster, last)
            await asyncio.sleep(MAX_ABSENCE_S)
            self.assertEqual(1, len(self.running_workers(cluster, job_id)))
            self.check_single_execution(cluster)

        run_virtual(main())

    def test_release_stops_no_task_while_another_of_its_step_is_on_a_silent_worker(self) -> None:
        async def main() -> None:
            cluster = self.open_cluster(workers=8)
            await cluster.open()
            other_id = await self.submit(cluster, 1, long_running(4, 500))
            self.assertEqual(4, len(set(self.running_workers(cluster, other_id))))
            await self.submit(cluster, 0, long_running(4, 3500, max_per_worker=1))
            for worker_id in ("w0", "w2"):
                cluster.workers_by_id[worker_id].is_unreachable = True
            await asyncio.sleep(WORKER_LEASE_S - ABSENCE_DETECTION_S + 1.0)
            silent = cluster.workers_by_id["w1"]
            silent.crash()
            silent.is_unreachable = True
            await asyncio.sleep(WORKER_LEASE_S)
            stopped = [
                record
                for record in cluster.update_history()
                if record.task.startswith(other_id) and record.end_kind is EndKind.STOPPED
            ]
            self.assertEqual([], stopped)

        run_virtual(main())

    def test_small_task_runs_again_in_a_shard_whose_workers_can_not_be_emptied(self) -> None:
        async def main() -> None:
            cluster = self.open_cluster(workers=6)
            await cluster.open()
            await self.submit(cluster, 1, long_running(3, 2500, max_per_worker=1))
            await self.submit(cluster, 0, long_running(2, 3500, max_per_worker=1))
            job_id = await self.submit(cluster, 0, long_running(1, 1000))
            (last,) = self.running_workers(cluster, job_id)
            await self.remove(cluster, last)
            await asyncio.sleep(MAX_ABSENCE_S)
            self.assertEqual(1, len(self.running_workers(cluster, job_id)))
            self.check_single_execution(cluster)

        run_virtual(main())

    def test_shard_does_not_release_the_only_worker_with_a_label_that_its_jobs_need(self) -> None:
        async def main() -> None:
            cluster = self.open_cluster(workers=6)
            await cluster.open()
            await self.label(cluster, "w5", "special")
            await self.submit(cluster, 1, long_running(2, 1000, required_label="k"))
            await self.submit(cluster, 0, long_running(2, 3500, max_per_worker=1))
            job_id = await self.submit(cluster, 0, long_running(1, 3000))
            for worker in cluster.workers_by_id.values():
                worker.duration_of = lambda task: (float("inf") if task.startswith(job_id) else 1.0)
            labelled = build_step(
                6, demand=Demand(4000, 50), required_label="special", estimate_ms=1000
            )
            labelled_id = await self.submit(cluster, 1, labelled)
            (last,) = self.running_workers(cluster, job_id)
            await self.remove(cluster, last)
            await asyncio.sleep(20.0)
            self.assertEqual(1, len(self.running_workers(cluster, job_id)))
            await cluster.wait_for_state(labelled_id, "completed", 20.0)

        run_virtual(main())


if __name__ == "__main__":
    unittest.main()
