"""What is known about a request whose exchange with a backend server failed."""

import dataclasses
import enum

from pollengate.refusals import Outcome, Reason

__all__ = ["FailurePoint", "FailureClass", "Sent", "classify_failure", "worse_outcome"]


class FailurePoint(enum.StrEnum):
    """Where an exchange failed."""

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
    """How much of a request may have left this process."""

    NOTHING = 0
    PART = 1
    WHOLE = 2


@dataclasses.dataclass(frozen=True, slots=True)
class FailureClass:
    """What follows from a failed exchange.

    Attributes:
        may_retry: whether another backend server may be sent the request.
        outcome: what this exchange says about the effect of the request.
        reason: why the caller is refused if the request is not sent again.
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
    """Judges one failed exchange.

    Args:
        point: where it failed.
        sent: how much may have left by then.
        is_idempotent: whether running the request twice is harmless.
    """
    is_not_run = sent is Sent.NOTHING or point is FailurePoint.REFUSED_BY_BACKEND
    outcome = Outcome.NOT_RUN if is_not_run else Outcome.UNKNOWN
    may_retry = point not in _FINAL_POINTS and (is_not_run or is_idempotent)
    return FailureClass(may_retry, outcome, _REASON_BY_POINT[point])


def worse_outcome(first: Outcome, second: Outcome) -> Outcome:
    """Returns the outcome of two exchanges together: NOT_RUN only if both are."""
    if first is Outcome.NOT_RUN:
        return second
    return first
