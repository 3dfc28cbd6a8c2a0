"""Tests of owners that are frozen and lose the shard soon after they resume, on virtual time."""

import asyncio
import itertools
import random

from pollengate.workflow.clients import EndKind
from pollengate.workflow.progress import JobState

from tests.edge_cluster import EdgeTestCase
from tests.freezable_cluster import FreezableCluster, process_of
from tests.utils import run_virtual
from tests.workflow_builders import build_step, build_workflow

EARLIER_ID = "00000000000000aa"
JOB_ID = "00000000000000bb"
# Both longer than the tasks take; the owner's lease is 2.5 s, and it goes on for 2 s more.
FREEZES_S = (2.2, 2.6)
# A resumed owner sends renewals, and has not committed their results.
KILLED_AFTER_S = 0.02
PHASES = 10


class FrozenOwnerTest(EdgeTestCase):
    """Workers restarted under their ids shortly before their owner was frozen."""

    def test_resumed_owner_acknowledges_no_end_that_it_has_not_been_told_of(self) -> None:
        for freeze_s, phase in itertools.product(FREEZES_S, range(PHASES)):
            with self.subTest(freeze_s=freeze_s, phase=phase):
                run_virtual(self.check_resumption(freeze_s, 1.3 + 0.02 * phase))

    async def check_resumption(self, freeze_s: float, frozen_after_s: float) -> None:
        """Restarts the workers under their ids, and freezes the owner while renewals fail."""
        cluster = FreezableCluster(4, random.Random(1), counts_freezes=True)
        await cluster.open(nodes=3)
        await cluster.submit(EARLIER_ID, build_workflow(build_step(16)))
        await cluster.wait_for_state(EARLIER_ID, JobState.COMPLETED)
        await asyncio.sleep(0.3)
        for worker in cluster.workers_by_id.values():
            worker.crash()
        await cluster.submit(JOB_ID, build_workflow(build_step(8)))
        await asyncio.sleep(frozen_after_s)
        node = cluster.serving_node()
        process_of(node).freeze()
        await asyncio.sleep(freeze_s)
        process_of(node).resume()
        await asyncio.sleep(KILLED_AFTER_S)
        node.kill()
        await cluster.wait_for_state(JOB_ID, JobState.COMPLETED)
        noted = {
            end.task: end.began_at
            for worker in cluster.workers_by_id.values()
            for end in worker.noted_ends
            if end.end_kind is EndKind.DONE
        }
        again = [run for run in cluster.history if run.began_at > noted.get(run.task, float("inf"))]
        self.assertEqual(again, [])
