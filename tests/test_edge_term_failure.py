"""Tests of ownership terms that end by an internal error, on virtual time."""

import asyncio
import unittest
from unittest import mock

from pollengate.workflow.job_service import Accepted
from pollengate.workflow.planner import Planner
from pollengate.workflow.progress import JobState

from tests.edge_cluster import EdgeCluster
from tests.utils import run_virtual
from tests.workflow_builders import build_workflow

JOB_ID = "00000000000000aa"


class TermFailureTest(unittest.TestCase):
    """A process whose term failed may own the shard again."""

    def test_shard_has_an_owner_again_after_an_error_in_planning(self) -> None:
        async def main() -> None:
            cluster = EdgeCluster()
            await cluster.open(nodes=1)
            failed_term = await cluster.wait_for_term()
            with mock.patch.object(Planner, "plan", side_effect=ArithmeticError):
                self.assertEqual(await cluster.submit(JOB_ID, build_workflow()), Accepted())
                await asyncio.sleep(0.1)
                self.assertFalse(failed_term.is_serving)
            self.assertIsNot(await cluster.wait_for_term(), failed_term)
            await cluster.wait_for_state(JOB_ID, JobState.COMPLETED)

        run_virtual(main())
