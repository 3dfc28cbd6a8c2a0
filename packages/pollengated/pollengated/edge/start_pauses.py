"""Pauses in the starts on one worker after orders that failed."""

from pollengate.workflow.clients import OrderRejection
from pollengate.workflow.fleet import WorkerView

__all__ = ["NO_REPLY_PAUSE_S", "StartPauses"]

# A worker gets no starts for this long after an order without a reply.
NO_REPLY_PAUSE_S = 1.0
# A worker that rejects a start for lack of room has runs that are not known here; it gets no starts
# for this long.
NO_ROOM_PAUSE_S = 0.3
# The same if the ends that are kept there, and those of its runs, do not fit into one report.
KEPT_ENDS_PAUSE_S = 0.3
# A worker that fails its health check gets no starts for this long.
UNHEALTHY_PAUSE_S = 2.0
_PAUSES_S = {
    OrderRejection.NO_ANSWER: NO_REPLY_PAUSE_S,
    OrderRejection.NOT_SENT: NO_REPLY_PAUSE_S,
    OrderRejection.NO_ROOM: NO_ROOM_PAUSE_S,
    OrderRejection.UNHEALTHY: UNHEALTHY_PAUSE_S,
}


class StartPauses:
    """Keeps a worker from getting starts for some time.

    Args:
        view: state of the worker.
        report_timeout_s: time after which a report that is not complete counts as late; after one
            starts pause for as long again, as the lease may not be extended before the next one.
    """

    def __init__(self, view: WorkerView, report_timeout_s: float) -> None:
        self._view = view
        self._late_report_pause_s = report_timeout_s + NO_REPLY_PAUSE_S
        self._late_report_at: float | None = None

    def record_failure(self, kind: OrderRejection, now: float) -> None:
        """Pauses the starts after an order that failed at clock time `now`."""
        if kind in _PAUSES_S:
            self._pause(now + _PAUSES_S[kind])

    def record_kept_ends(self, now: float) -> None:
        """Pauses the starts of a worker whose list of ends is full at clock time `now`."""
        self._pause(now + KEPT_ENDS_PAUSE_S)

    def record_late_report(self, now: float) -> None:
        """Pauses the starts after a report that is not complete at clock time `now`."""
        self._late_report_at = now
        self._pause(now + self._late_report_pause_s)

    def record_report(self) -> None:
        """Shortens the pause after a late report, unless another reason prolonged it."""
        late_at, self._late_report_at = self._late_report_at, None
        if late_at is None or self._view.unavailable_until != late_at + self._late_report_pause_s:
            return
        self._view.unavailable_until = late_at + NO_REPLY_PAUSE_S

    def _pause(self, until: float) -> None:
        self._view.unavailable_until = max(self._view.unavailable_until, until)
