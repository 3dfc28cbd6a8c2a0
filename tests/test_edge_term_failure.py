"""Tests of ownership terms that end by an internal error, on virtual time."""

import asyncio
import unittest
from unittest import mock

from pollengate.workflow.job_service import Accepted
from pollengate.workflow.planner import Planner
from pollengate.workflow.progress import JobState
from pollengated.edge.shard_elector import CANDIDATE_DELAY_S

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

    def test_terms_that_fail_at_once_do_not_follow_each_other_without_a_pause(self) -> None:
        async def main() -> None:
            cluster = EdgeCluster()
            await cluster.open(nodes=2)
            await asyncio.sleep(1.0)
            watched_s = 10.0
            with mock.patch.object(Planner, "plan", side_effect=ArithmeticError):
                before = (await cluster.store.list("")).unwrap().revision
                await asyncio.sleep(watched_s)
                after = (await cluster.store.list("")).unwrap().revision
            # Each term writes its owner key and removes it.
            self.assertLessEqual(after - before, 2 * 2 * watched_s / CANDIDATE_DELAY_S)
            await cluster.submit(JOB_ID, build_workflow())
            await cluster.wait_for_state(JOB_ID, JobState.COMPLETED)

        run_virtual(main())
