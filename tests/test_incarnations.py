"""Tests of orders that reach another incarnation of a worker, on virtual time."""

import asyncio
import unittest

from pollengate.workflow.clients import EndedRun, EndKind, Report
from pollengate.workflow.end_acknowledgement import EndAcknowledgement
from pollengate.workflow.progress import JobState

from tests.edge_cluster import EdgeCluster, EdgeTestCase
from tests.utils import run_virtual
from tests.workflow_builders import build_step, build_workflow

FIRST_JOB_ID = "00000000000000aa"
SECOND_JOB_ID = "00000000000000bb"
ENDED = EndedRun(8, "task", 1, EndKind.DONE, "")


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


class EndAcknowledgementTest(unittest.TestCase):
    """What a renewal acknowledges after the report of 5.0 s, at which the clock is at 3 s."""

    def setUp(self) -> None:
        self.acknowledgement = EndAcknowledgement()
        self.assertTrue(self.acknowledgement.record_report(Report(3000, 1, (), (ENDED,)), 4.0, 5.0))

    def test_ends_are_kept_while_a_start_may_be_on_another_incarnation(self) -> None:
        for clock_ms, upto in ((3978, 8), (3977, 0), (None, 0)):
            with self.subTest(clock_ms=clock_ms):
                self.setUp()
                order = self.acknowledgement.begin_order(6.0, is_start=True)
                self.assertEqual([self.acknowledgement.upto(at) for at in (6.09, 6.2)], [8, 0])
                self.acknowledgement.record_response(order, clock_ms, 6.3)
                self.assertEqual(self.acknowledgement.upto(6.4), upto)

    def test_late_report_of_an_earlier_incarnation_is_not_applied(self) -> None:
        self.assertTrue(self.acknowledgement.record_report(Report(50, 2, (), (ENDED,)), 5.1, 5.2))
        self.assertFalse(self.acknowledgement.record_report(Report(3200, 1, (), ()), 5.1, 5.3))
        self.assertEqual(self.acknowledgement.upto(5.4), 0)
