"""Tests of requests to an owner whose store fails for a time, on virtual time."""

import asyncio
import unittest

from pollengate.workflow.job_service import Accepted, Found
from pollengate.workflow.progress import JobState

from tests.edge_cluster import EdgeCluster
from tests.utils import run_virtual
from tests.workflow_builders import REQUESTER, build_workflow

JOB_ID = "00000000000000aa"


class RepeatedSubmissionTest(unittest.TestCase):
    """Several requests submit one job at the same time."""

    def test_job_is_stored_if_a_later_request_for_it_is_accepted(self) -> None:
        # The commit of another job's record fails until the first request for the job gives up.
        async def main() -> None:
            cluster = EdgeCluster()
            await cluster.open(nodes=1)
            store = cluster.serving_node().store
            store.is_down = True
            other = asyncio.create_task(cluster.submit(f"{JOB_ID}1", build_workflow()))
            await asyncio.sleep(0.1)
            first = asyncio.create_task(cluster.submit(JOB_ID, build_workflow()))
            await asyncio.sleep(0.5)
            second = asyncio.create_task(cluster.submit(JOB_ID, build_workflow()))
            await asyncio.sleep(0.4)
            store.is_down = False
            await asyncio.gather(other, first)
            self.assertEqual(await second, Accepted())
            term = await cluster.wait_for_term()
            self.assertIsInstance(await term.request_handler.show(JOB_ID, REQUESTER), Found)
            await cluster.wait_for_state(JOB_ID, JobState.COMPLETED)

        run_virtual(main())
