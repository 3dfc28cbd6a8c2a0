"""Tests of which ends a renewal acknowledges to a worker that may have started again."""

import asyncio
import unittest

from pollengate.workflow.clients import EndedRun, EndKind, Report
from pollengate.workflow.end_acknowledgement import EndAcknowledgement

from tests.edge_cluster import EdgeCluster, EdgeTestCase
from tests.utils import run_virtual
from tests.workflow_builders import build_step, build_workflow

JOB_ID = "00000000000000aa"


def build_report(clock_ms: int, born_ms: int = 1, ends: int = 8) -> Report:
    """Returns a report that lists ends from 1 on."""
    ended = (EndedRun(n, f"aa.0.0.{n}", 1, EndKind.DONE, "") for n in range(1, ends + 1))
    return Report(clock_ms, born_ms, (), tuple(ended))


class EndAcknowledgementTest(unittest.TestCase):
    """The worker of a report crashes, and its next incarnation counts ends from 1."""

    def setUp(self) -> None:
        self.acknowledgement = EndAcknowledgement()

    def test_nothing_is_acknowledged_after_a_failed_renewal_until_the_next_report(self) -> None:
        self.acknowledgement.record_report(build_report(9000), 5.0, 5.01)
        self.assertEqual(self.acknowledgement.upto(5.02), 8)
        self.acknowledgement.record_failed_renewal(5.5)
        self.assertEqual(self.acknowledgement.upto(5.6), 0)
        self.acknowledgement.record_report(build_report(9700), 5.7, 5.71)
        self.assertEqual(self.acknowledgement.upto(5.72), 8)

    def test_start_that_a_younger_incarnation_may_have_confirmed_stops_acknowledgements(
        self,
    ) -> None:
        # The first incarnation is 0.3 s old, so that its clock does not tell it from the next one.
        self.acknowledgement.record_report(build_report(300), 4.99, 5.0)
        order = self.acknowledgement.begin_order(5.05, is_start=True)
        self.assertFalse(self.acknowledgement.record_response(order, 530, 5.56))
        self.assertEqual(self.acknowledgement.upto(5.57), 0)

    def test_late_response_to_an_order_of_before_does_not_show_another_incarnation(self) -> None:
        self.acknowledgement.record_report(build_report(9000), 5.0, 5.01)
        order = self.acknowledgement.begin_order(5.1)
        self.acknowledgement.record_report(build_report(200, born_ms=2, ends=1), 5.3, 5.31)
        self.assertFalse(self.acknowledgement.record_response(order, 180, 5.4))


class RestartedWorkerTest(EdgeTestCase):
    """A worker starts again while a renewal waits at its earlier incarnation."""

    def test_response_with_a_clock_that_started_anew_brings_a_report_at_once(self) -> None:
        async def main() -> None:
            cluster = EdgeCluster(workers=1, duration_s=float("inf"))
            await cluster.open()
            await asyncio.sleep(2.2)
            (worker,) = cluster.workers_by_id.values()
            worker.crash()
            await cluster.submit(JOB_ID, build_workflow(build_step(1, is_long_running=True)))
            await asyncio.sleep(0.1)
            term = await cluster.wait_for_term()
            (view,) = term.fleet.workers_by_id.values()
            self.assertEqual((view.born_ms, view.is_attached), (worker.born_ms, True))

        run_virtual(main())
