"""A seeded soak of job placement: many jobs, with faults of the store, calls and owners."""

import asyncio
import random

from pollengate.workflow.job_service import Accepted, NoSuchJob, Undecided
from pollengate.workflow.keys import job_key, shard_of_job
from pollengate.workflow.model import Demand
from pollengate.workflow.progress import JobState

from tests.edge_cluster import EdgeCluster, EdgeNode, EdgeTestCase
from tests.faulty_store import Fault
from tests.utils import run_virtual
from tests.workflow_builders import REQUESTER, build_step, build_workflow

SEEDS = range(4)
SHARDS = 3
JOBS = 25
FILL_ID = next(f"{n:016x}" for n in range(99) if shard_of_job(f"{n:016x}", SHARDS) == 0)
SHORT_JOB = build_workflow(build_step(4, demand=Demand(2000, 100), estimate_ms=600))
FAULTS = [Fault.REPLY_LOST, Fault.LATE, Fault.NOT_SENT, None, None, None, None]


class Soak:
    """One run of the soak.

    Attributes:
        cluster: the cluster under test.
        responses_by_id: the decisive response to each job that got one: the first refusal, or what
            came after it; a refusal after an undecided response does not count.
    """

    def __init__(self, seed: int) -> None:
        self.random = random.Random(seed)
        self.cluster = EdgeCluster(workers=4 * SHARDS, shards=SHARDS)
        for worker in self.cluster.workers_by_id.values():
            worker.duration_of = lambda task: float("inf") if task.startswith(FILL_ID) else 0.6
        self.responses_by_id: dict[str, type] = {}

    async def run(self) -> None:
        """Submits jobs while owners, calls and writes of placements fail, until all have ended."""
        await self.cluster.open(nodes=3)
        step = build_step(4, is_long_running=True, demand=Demand(4000, 100))
        await self.cluster.submit(FILL_ID, build_workflow(step))
        await asyncio.sleep(1.5)
        for node in self.cluster.nodes_by_name.values():
            self.inject_faults(node)
        ids = [f"{self.random.getrandbits(64):016x}" for _ in range(JOBS)]
        await asyncio.gather(self.trouble(), *(self.submit(job_id) for job_id in ids))
        for node in self.cluster.nodes_by_name.values():
            node.store.choose_fault = lambda keys: None
            await node.store.release_delayed()
        for job_id, response in self.responses_by_id.items():
            if response is Accepted:
                await self.cluster.wait_for_state(job_id, JobState.COMPLETED, timeout_s=90.0)
        await asyncio.sleep(3.0)

    def inject_faults(self, node: EdgeNode) -> None:
        """Makes some of a process's writes of placements fail."""
        node.store.choose_fault = lambda keys: (
            self.random.choice(FAULTS) if any("placement/" in key for key in keys) else None
        )

    async def submit(self, job_id: str) -> None:
        """Submits a job until it is accepted or the client gives up."""
        await asyncio.sleep(self.random.uniform(0.0, 8.0))
        for _ in range(12):
            response = await self.cluster.submit(job_id, SHORT_JOB)
            if self.responses_by_id.get(job_id) is not Undecided or isinstance(response, Accepted):
                self.responses_by_id[job_id] = type(response)
            if isinstance(response, Accepted):
                term = await self.cluster.wait_for_term(shard=shard_of_job(job_id, SHARDS))
                shown = await term.request_handler.show(job_id, REQUESTER)
                assert not isinstance(shown, NoSuchJob), job_id
                return
            await asyncio.sleep(self.random.uniform(0.05, 1.0))

    async def trouble(self) -> None:
        """Kills, hands over and cuts off processes one after the other."""
        for number in range(4):
            await asyncio.sleep(self.random.uniform(0.2, 3.0))
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
                await asyncio.sleep(self.random.uniform(0.2, 2.0))
                self.cluster.loses_placement_replies = False
            else:
                node.store.is_silent = True
                await asyncio.sleep(self.random.uniform(0.5, 6.0))
                node.store.is_silent = False


class JobPlacementSoakTest(EdgeTestCase):
    """Guards against a job that runs twice, is lost, or runs although it was refused."""

    def test_jobs_run_once_or_were_refused_under_any_mix_of_faults(self) -> None:
        for seed in SEEDS:
            with self.subTest(seed=seed):
                run_virtual(self.check(seed))

    async def check(self, seed: int) -> None:
        """Runs the soak with a seed and checks what callers and workers saw."""
        soak = Soak(seed)
        await soak.run()
        self.check_single_execution(soak.cluster)
        started = {run.task.split(".")[0] for run in soak.cluster.history}
        placed = 0
        for job_id, response in soak.responses_by_id.items():
            holders = [
                shard
                for shard in range(SHARDS)
                if (await soak.cluster.store.get(job_key(shard, job_id))).unwrap() is not None
            ]
            self.assertLessEqual(len(holders), 1)
            placed += bool(holders) and holders != [shard_of_job(job_id, SHARDS)]
            self.assertTrue(job_id not in started or response in (Accepted, Undecided), job_id)
        self.assertGreater(placed, 0)
