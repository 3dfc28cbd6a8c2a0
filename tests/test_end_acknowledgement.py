"""Tests of which ends a renewal acknowledges to a worker that may have started again."""

import unittest

from pollengate.workflow.clients import EndedRun, EndKind, Report
from pollengate.workflow.end_acknowledgement import EndAcknowledgement

ENDED = EndedRun(8, "task", 1, EndKind.DONE, "")


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

    def test_response_with_a_clock_that_is_too_high_shows_another_incarnation(self) -> None:
        self.acknowledgement.record_report(build_report(9000), 5.0, 5.01)
        for clock_ms, is_other in ((9510, False), (9530, True), (7_000_000, True)):
            with self.subTest(clock_ms=clock_ms):
                order = self.acknowledgement.begin_order(5.45)
                shows_other = self.acknowledgement.record_response(order, clock_ms, 5.5)
                self.assertEqual(shows_other, is_other)
        self.assertEqual(self.acknowledgement.upto(5.6), 0)

    def test_late_response_to_an_order_of_before_does_not_show_another_incarnation(self) -> None:
        self.acknowledgement.record_report(build_report(9000), 5.0, 5.01)
        order = self.acknowledgement.begin_order(5.1)
        self.acknowledgement.record_report(build_report(200, born_ms=2, ends=1), 5.3, 5.31)
        self.assertFalse(self.acknowledgement.record_response(order, 180, 5.4))


class RestartedWorkerReportTest(unittest.TestCase):
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


class KeptEndTest(unittest.TestCase):
    """Guards against a second run of a task whose end was acknowledged while a start was due."""

    def upto(self, ended: tuple[EndedRun, ...], *may_start_again: str) -> int:
        """Returns the number up to which ends are acknowledged."""
        acknowledgement = EndAcknowledgement(lambda task: task in may_start_again)
        acknowledgement.record_report(Report(9000, 1, (), ended), 5.0, 5.01)
        return acknowledgement.upto(5.02)

    def test_end_of_a_task_that_an_order_may_start_and_later_ends_are_kept(self) -> None:
        ended = build_report(9000, ends=3).ended
        self.assertEqual(1, self.upto(ended, "aa.0.0.2"))
        self.assertEqual(0, self.upto(ended, "aa.0.0.1", "aa.0.0.3"))
        self.assertEqual(3, self.upto(ended, "bb.0.0.1"))

    def test_failure_is_kept_and_an_end_without_a_result_is_not(self) -> None:
        for how, upto in ((EndKind.FAILED, 0), (EndKind.STOPPED, 1), (EndKind.EXPIRED, 1)):
            with self.subTest(how=how):
                self.assertEqual(
                    upto, self.upto((EndedRun(1, "aa.0.0.1", 1, how, ""),), "aa.0.0.1")
                )

    def test_ends_are_acknowledged_once_no_order_may_arrive(self) -> None:
        may_start_again = {"aa.0.0.1"}
        acknowledgement = EndAcknowledgement(may_start_again.__contains__)
        acknowledgement.record_report(build_report(9000, ends=2), 5.0, 5.01)
        self.assertEqual(0, acknowledgement.upto(5.02))
        may_start_again.clear()
        self.assertEqual(2, acknowledgement.upto(5.03))
