"""Classification of failed exchanges with backend servers: retry or refuse, and why."""

import dataclasses
import enum

from pollengate.refusals import Outcome, Reason

__all__ = ["FailurePoint", "FailureClass", "Sent", "classify_failure", "worse_outcome"]


class FailurePoint(enum.StrEnum):
    """Point at which an exchange failed."""

    CONNECT_FAILED = "connect_failed"
    REFUSED_BY_BACKEND = "refused_by_backend"
    CONNECTION_LOST = "connection_lost"
    SILENT = "silent"
    ANSWER_CUT_SHORT = "answer_cut_short"
    ANSWER_MALFORMED = "answer_malformed"
    ANSWER_TO_ANOTHER_REQUEST = "answer_to_another_request"
    DEADLINE = "deadline"
    CALLER_GONE = "caller_gone"


class Sent(enum.IntEnum):
    """How much of a request this process may have sent."""

    NOTHING = 0
    PART = 1
    WHOLE = 2


@dataclasses.dataclass(frozen=True, slots=True)
class FailureClass:
    """Consequences of a failed exchange.

    Attributes:
        may_retry: whether the request may be sent to another backend server.
        outcome: what is known about the effect of the request after this exchange.
        reason: the reason given to the caller if the request is not retried.
    """

    may_retry: bool
    outcome: Outcome
    reason: Reason


_REASON_BY_POINT = {
    FailurePoint.CONNECT_FAILED: Reason.NO_BACKEND,
    FailurePoint.REFUSED_BY_BACKEND: Reason.NO_BACKEND,
    FailurePoint.CONNECTION_LOST: Reason.BACKEND_FAILED,
    FailurePoint.SILENT: Reason.UPSTREAM_TIMEOUT,
    FailurePoint.ANSWER_CUT_SHORT: Reason.BACKEND_FAILED,
    FailurePoint.ANSWER_MALFORMED: Reason.BACKEND_FAILED,
    FailurePoint.ANSWER_TO_ANOTHER_REQUEST: Reason.BACKEND_FAILED,
    FailurePoint.DEADLINE: Reason.UPSTREAM_TIMEOUT,
    FailurePoint.CALLER_GONE: Reason.CALLER_GONE,
}
_FINAL_POINTS = frozenset({FailurePoint.DEADLINE, FailurePoint.CALLER_GONE})


def classify_failure(point: FailurePoint, sent: Sent, is_idempotent: bool) -> FailureClass:
    """Classifies one failed exchange.

    Args:
        point: where the exchange failed.
        sent: how much of the request may have been sent before the failure.
        is_idempotent: whether the request may safely run twice.
    """
    is_not_run = sent is Sent.NOTHING or point is FailurePoint.REFUSED_BY_BACKEND
    outcome = Outcome.NOT_RUN if is_not_run else Outcome.UNKNOWN
    may_retry = point not in _FINAL_POINTS and (is_not_run or is_idempotent)
    return FailureClass(may_retry, outcome, _REASON_BY_POINT[point])


def worse_outcome(first: Outcome, second: Outcome) -> Outcome:
    """Combines the outcomes of two exchanges of one request: NOT_RUN only if both are."""
    if first is Outcome.NOT_RUN:
        return second
    return first
