"""Tests of orders that reach another incarnation of a worker, on virtual time."""

import asyncio

from pollengate.workflow.progress import JobState

from tests.edge_cluster import EdgeCluster, EdgeTestCase
from tests.utils import run_virtual
from tests.workflow_builders import build_step, build_workflow

FIRST_JOB_ID = "00000000000000aa"
SECOND_JOB_ID = "00000000000000bb"


class RestartedWorkerTest(EdgeTestCase):
    """A worker that crashes and starts again under its id before its owner notices."""

    def test_end_of_a_new_incarnation_is_not_forgotten_by_an_earlier_acknowledgement(self) -> None:
        async def main() -> None:
            cluster = EdgeCluster(workers=1, duration_s=0.3)
            await cluster.open()
            await cluster.submit(FIRST_JOB_ID, build_workflow(build_step(3)))
            await cluster.wait_for_state(FIRST_JOB_ID, JobState.COMPLETED)
            await asyncio.sleep(0.2)  # the next renewal waits for an end
            cluster.workers_by_id["w0"].crash_for(0.1)
            await asyncio.sleep(0.15)
            await cluster.submit(SECOND_JOB_ID, build_workflow(build_step(1)))
            await cluster.wait_for_state(SECOND_JOB_ID, JobState.COMPLETED)
            self.check_single_execution(cluster)

        run_virtual(main())
