"""Decides which ends of runs a renewal may acknowledge to a worker that may start again.

Each incarnation of a worker numbers its ends from 1, and an order names the worker but not the
incarnation. An acknowledgement that is meant for the incarnation before makes a worker forget ends
that no report has listed, and their tasks run a second time. So a renewal acknowledges only the
ends that the newest report lists, and only if no run may have ended since on another incarnation:
the incarnation of that report has responded to every start order, and no renewal has failed.
An end that is not acknowledged is listed again.

The end of a task that an order may still start is kept, and with it those that follow, as
acknowledgements name the last of a row of ends.

A worker's steady clock starts anew with an incarnation, at any value, and its responses to orders
contain it.
"""

import dataclasses
import math
from collections.abc import Callable

from pollengate.clock_drift import MAX_CLOCK_DRIFT_RATIO
from pollengate.workflow.clients import EndedRun, EndKind, Report

__all__ = ["EndAcknowledgement", "SentOrder"]

# A run does not end sooner after its start order was sent. Workers respond to a start at once, so
# that on ordinary days no acknowledgement waits for a response.
MIN_RUN_S = 0.1
# Two clocks are read in whole milliseconds.
CLOCK_ROUNDING_MS = 2
# Ends after which a task may not start again, or not as often as it may fail.
_FINAL_ENDS = (EndKind.DONE, EndKind.FAILED)


@dataclasses.dataclass(frozen=True, slots=True, eq=False)
class SentOrder:
    """An order that waits for its response.

    Attributes:
        sent_at: clock time at which it was sent.
        lowest_clock_ms: lowest clock that the incarnation of the newest report can respond with.
        is_start: whether it starts a run.
        born_ms: start of that incarnation, None if there is no report.
        report_sent_at: clock time at which the renewal was sent that the report responds to.
    """

    sent_at: float
    lowest_clock_ms: int
    is_start: bool
    born_ms: int | None
    report_sent_at: float


class EndAcknowledgement:
    """Tracks the reports and responses of one worker over its incarnations.

    Args:
        may_start_again: returns whether an order without a response may still start a task or,
            if it is a member of a gang, another one of the gang.

    Attributes:
        listed_upto: highest number of the ends in the newest report, 0 if there is none.
    """

    def __init__(self, may_start_again: Callable[[str], bool] = lambda task: False) -> None:
        self._may_start_again = may_start_again
        self.listed_upto = 0
        self._ends: tuple[EndedRun, ...] = ()
        self._born_ms: int | None = None
        self._clock_ms = 0
        self._report_sent_at = 0.0
        self._reported_at = 0.0
        self._starts_in_flight: set[SentOrder] = set()
        self._doubted_at = -math.inf
        self._replaced_at = -math.inf

    def upto(self, now: float) -> int:
        """Returns the number up to which a renewal at clock time `now` acknowledges, 0 for none."""
        is_unanswered = any(now - order.sent_at >= MIN_RUN_S for order in self._starts_in_flight)
        if is_unanswered or self._doubted_at > self._report_sent_at:
            return 0
        kept = self.find_kept()
        return self.listed_upto if kept is None else kept.number - 1

    def find_kept(self) -> EndedRun | None:
        """Returns the first end in the newest report whose task an order may still start."""
        for end in self._ends:
            if end.how in _FINAL_ENDS and self._may_start_again(end.task):
                return end
        return None

    def begin_order(self, now: float, is_start: bool = False) -> SentOrder:
        """Records an order that is about to be sent; `record_response` has to follow.

        Args:
            now: clock time.
            is_start: whether it starts a run.
        """
        # A clock that has advanced by less than this since the report has started anew.
        elapsed_ms = int((now - self._reported_at) * (1 - MAX_CLOCK_DRIFT_RATIO) * 1000)
        lowest_clock_ms = self._clock_ms + elapsed_ms - CLOCK_ROUNDING_MS
        order = SentOrder(
            now,
            lowest_clock_ms if self._born_ms is not None else 0,
            is_start,
            self._born_ms,
            self._report_sent_at,
        )
        if is_start:
            self._starts_in_flight.add(order)
        return order

    def record_response(self, order: SentOrder, clock_ms: int | None, now: float) -> bool:
        """Records the response to an order, or that it has failed.

        Args:
            order: the order.
            clock_ms: the worker's clock in the response; None if that is not known.
            now: clock time.

        Returns:
            True if another incarnation than that of the newest report has responded.
        """
        self._starts_in_flight.discard(order)
        if clock_ms is None:
            if order.is_start:
                self._doubted_at = now
            return False
        if order.born_ms != self._born_ms:
            # It may be the response of either incarnation.
            self._doubted_at = now
            return False
        if not order.lowest_clock_ms <= clock_ms <= self._highest_clock_ms(now):
            self._doubted_at = self._replaced_at = now
            return True
        if order.is_start and self._may_be_younger(order, clock_ms, now):
            self._doubted_at = now
        return False

    def _highest_clock_ms(self, now: float) -> float:
        """Highest clock with which the incarnation of the newest report can respond by `now`."""
        if self._born_ms is None:
            return math.inf
        elapsed_ms = (now - self._report_sent_at) * (1 + MAX_CLOCK_DRIFT_RATIO) * 1000
        return self._clock_ms + elapsed_ms + CLOCK_ROUNDING_MS

    def _may_be_younger(self, order: SentOrder, clock_ms: int, now: float) -> bool:
        """Whether an incarnation that was born after the report could respond with a clock."""
        return clock_ms <= (now - order.report_sent_at) * 1000 + CLOCK_ROUNDING_MS

    def record_failed_renewal(self, now: float) -> None:
        """Records a renewal without a report, at clock time `now`."""
        self._doubted_at = now

    def record_report(self, report: Report, sent_at: float, now: float) -> bool:
        """Records a report.

        Args:
            report: the report.
            sent_at: clock time at which the renewal that it responds to was sent.
            now: clock time.

        Returns:
            False if the report must not be applied: a newer one was, or another incarnation has
            responded since the renewal was sent.
        """
        if report.born_ms == self._born_ms:
            if report.worker_clock_ms < self._clock_ms or sent_at < self._replaced_at:
                return False
        elif self._born_ms is not None and sent_at < self._reported_at:
            # Which of the two incarnations is the later one shows in the next report.
            self._doubted_at = now
            return False
        self._born_ms, self._clock_ms = report.born_ms, report.worker_clock_ms
        self._report_sent_at, self._reported_at = sent_at, now
        self._ends = report.ended
        self.listed_upto = max((ended.number for ended in report.ended), default=0)
        return True
