"""Soak of delegated tasks under random faults, with fixed seeds on virtual time."""

import asyncio
import random
import unittest

from pollengate.workflow.job_service import Cancelled, NoSuchJob, PlacedElsewhere
from pollengate.workflow.keys import shard_of_job
from pollengate.workflow.model import Demand

from tests.edge_cluster import EdgeCluster, EdgeNode, EdgeTestCase
from tests.faulty_store import Fault
from tests.utils import run_virtual
from tests.workflow_builders import REQUESTER, build_step, build_workflow

SEEDS = range(3)
SHARDS = 3
JOBS = 14
TROUBLE_S = 40.0
# After the last fault: the leases of silent workers and owners, and the wait for the own shard.
CALM_S = 25.0
# A cancelled task has to be gone after this time in calm.
CANCEL_S = 1.0
CAPACITY_MILLIS = 4000
FAULTS = [Fault.REPLY_LOST, Fault.LATE, Fault.NOT_SENT, None, None, None]


class Soak:
    """One run of the soak.

    Attributes:
        cluster: the cluster under test.
        steps_by_id: the only step of each job.
        cancelled_at_by_id: loop time at which the cancellation of a job was acknowledged.
        absent: workers that have left and not returned.
    """

    def __init__(self, seed: int) -> None:
        self.random = random.Random(seed)
        self.cluster = EdgeCluster(workers=4 * SHARDS, duration_s=float("inf"), shards=SHARDS)
        self.steps_by_id = {
            f"{self.random.getrandbits(64):016x}": build_step(
                self.random.choice((1, 2, 3)),
                demand=Demand(self.random.choice((500, 1000, 1500, 2500)), 50),
                is_long_running=True,
                may_miss=1,
                max_per_worker=self.random.choice((0, 1)),
            )
            for _ in range(JOBS)
        }
        self.cancelled_at_by_id: dict[str, float] = {}
        self.absent: set[str] = set()

    async def run(self) -> None:
        """Lets workers leave while owners, calls and writes of placements fail, then waits."""
        await self.cluster.open(nodes=4)
        for job_id, step in self.steps_by_id.items():
            await self.cluster.submit(job_id, build_workflow(step))
        await asyncio.sleep(3.0)
        for node in self.cluster.nodes_by_name.values():
            self.inject_faults(node)
        await asyncio.gather(self.move_workers(), self.trouble(), self.cancel_some())
        for node in self.cluster.nodes_by_name.values():
            node.store.choose_fault = lambda keys: None
            await node.store.release_delayed()
        await asyncio.sleep(CALM_S)

    def inject_faults(self, node: EdgeNode) -> None:
        """Makes some of a process's writes of placements fail."""
        node.store.choose_fault = lambda keys: (
            self.random.choice(FAULTS) if any("placement/" in key for key in keys) else None
        )

    async def move_workers(self) -> None:
        """Lets workers leave and return one after the other."""
        ends_at = asyncio.get_running_loop().time() + TROUBLE_S
        while asyncio.get_running_loop().time() < ends_at:
            await asyncio.sleep(self.random.uniform(0.5, 3.0))
            if self.absent and (len(self.absent) > 3 or self.random.random() < 0.3):
                worker_id = self.random.choice(sorted(self.absent))
                self.absent.discard(worker_id)
                self.cluster.workers_by_id[worker_id].is_unreachable = False
                await self.cluster.register(worker_id)
                continue
            present = sorted(self.cluster.workers_by_id.keys() - self.absent)
            worker_id = self.random.choice(present)
            self.absent.add(worker_id)
            await self.cluster.drain_worker(worker_id)

    async def trouble(self) -> None:
        """Kills, hands over and cuts off processes one after the other."""
        for number in range(6):
            await asyncio.sleep(self.random.uniform(1.0, 6.0))
            node = self.random.choice([n for n in self.cluster.nodes_by_name.values() if n.tasks])
            kind = self.random.choice(("kill", "hand over", "lose replies", "silence"))
            if kind in ("kill", "hand over"):
                self.inject_faults(self.cluster.start_node(f"m{number}"))
                if kind == "hand over":
                    await asyncio.gather(*(elector.hand_over() for elector in node.electors))
                node.kill()
                node.tasks.clear()
            elif kind == "lose replies":
                self.cluster.loses_placement_replies = True
                await asyncio.sleep(self.random.uniform(0.2, 3.0))
                self.cluster.loses_placement_replies = False
            else:
                node.store.is_silent = True
                await asyncio.sleep(self.random.uniform(0.5, 6.0))
                node.store.is_silent = False

    async def cancel_some(self) -> None:
        """Cancels a few jobs at random times, like clients that try again."""
        for _ in range(4):
            await asyncio.sleep(self.random.uniform(2.0, 14.0))
            job_id = self.random.choice(self.delegated_jobs() or sorted(self.steps_by_id))
            shard = shard_of_job(job_id, SHARDS)
            while job_id not in self.cancelled_at_by_id:
                term = await self.cluster.wait_for_term(shard=shard)
                response = await term.request_handler.cancel(job_id, REQUESTER)
                if isinstance(response, PlacedElsewhere):
                    shard = response.shard
                if isinstance(response, Cancelled | NoSuchJob):
                    self.cancelled_at_by_id[job_id] = asyncio.get_running_loop().time()
                await asyncio.sleep(0.1)

    def delegated_jobs(self) -> list[str]:
        """Returns the jobs of which another shard has a task, unless they are cancelled."""
        terms = [self.cluster.term(shard) for shard in range(SHARDS)]
        ids = {name for term in terms if term for name in term.job_table.jobs_by_id if "." in name}
        return sorted({name.split(".")[0] for name in ids} - self.cancelled_at_by_id.keys())

    def lost_tasks(self) -> list[str]:
        """Returns the tasks without a run although two workers have room for them."""
        running = [run for run in self.cluster.update_history() if run.ended_at is None]
        used = dict.fromkeys(self.cluster.workers_by_id.keys() - self.absent, 0)
        for run in running:
            step = self.steps_by_id[run.task.split(".")[0]]
            used[run.worker_id] += step.demand.cpu_millis
        lost = []
        for job_id, step in self.steps_by_id.items():
            for index in range(step.count):
                name = f"{job_id}.0.0.{index}"
                if job_id in self.cancelled_at_by_id or any(r.task == name for r in running):
                    continue
                siblings = {r.worker_id for r in running if r.task.startswith(job_id)}
                fitting = [
                    worker_id
                    for worker_id, millis in used.items()
                    if millis + step.demand.cpu_millis <= CAPACITY_MILLIS
                    and not (step.max_per_worker and worker_id in siblings)
                ]
                if len(fitting) > 1:
                    lost.append(name)
        return lost


class TaskDelegationSoakTest(EdgeTestCase):
    """Guards against a task that runs twice, after a cancellation, or not although it could."""

    def test_tasks_run_once_and_run_again_under_any_mix_of_faults(self) -> None:
        delegated = 0
        for seed in SEEDS:
            with self.subTest(seed=seed):
                delegated += run_virtual(self.check(seed))
        self.assertGreater(delegated, 0)

    async def check(self, seed: int) -> int:
        """Runs the soak with a seed; returns the number of tasks that another shard has."""
        soak = Soak(seed)
        await soak.run()
        self.check_single_execution(soak.cluster)
        for run in soak.cluster.history:
            cancelled_at = soak.cancelled_at_by_id.get(run.task.split(".")[0])
            if cancelled_at is not None:
                self.assertLess(run.began_at, cancelled_at + CANCEL_S, run)
                self.assertIsNotNone(run.ended_at, run)
        for job_id in soak.steps_by_id:
            for index in range(3):
                name = f"{job_id}.0.0.{index}"
                numbers = [run.run for run in soak.cluster.history if run.task == name]
                self.assertEqual(numbers, sorted(set(numbers)), name)
        self.assertEqual(soak.lost_tasks(), [])
        terms = [await soak.cluster.wait_for_term(shard=shard) for shard in range(SHARDS)]
        return sum("." in job_id for term in terms for job_id in term.job_table.jobs_by_id)


if __name__ == "__main__":
    unittest.main()
