"""Contains the errors of single decisions, so that one that fails does not stop the others.

A decision reads the state of the shard and chooses. An error in it says nothing about the job
table, so that the owner goes on without it. An error while the table is changed may leave it
inconsistent: it is a broken invariant, which no guard contains.
"""

import contextlib
import dataclasses
import enum
from collections.abc import Callable, Hashable, Iterator

from pollengate.bounded import BoundedDict
from pollengate.errors import InvariantViolation

__all__ = ["Attempt", "DecisionGuard", "FailedDecision", "changing_job_table"]

# A decision that failed is left out for this long: its error may be gone after the next report.
PAUSE_S = 1.0
MAX_PAUSED = 4096


class Attempt(enum.Enum):
    """Outcome of an attempt to make a decision."""

    DONE = "done"
    FAILED = "failed"
    LEFT_OUT = "left_out"


@dataclasses.dataclass(frozen=True, slots=True)
class FailedDecision:
    """A decision that failed.

    Attributes:
        kind: kind of the decision.
        subject: what it was made for, for logs.
        at: clock time.
        error: the error.
    """

    kind: str
    subject: object
    at: float
    error: Exception


def _raise(failed: FailedDecision) -> None:
    raise failed.error


class DecisionGuard:
    """Makes decisions, contains their errors and leaves out for a while those that failed.

    Args:
        on_failure: called with each error, which is contained unless the call raises; by default,
            no error is contained.
    """

    def __init__(self, on_failure: Callable[[FailedDecision], None] = _raise) -> None:
        self._on_failure = on_failure
        self._paused_until: BoundedDict[tuple[str, Hashable], float] = BoundedDict(MAX_PAUSED)

    def attempt(
        self, kind: str, subject: Hashable, now: float, decide: Callable[[], None]
    ) -> Attempt:
        """Makes a decision unless the same one failed a short time ago.

        Args:
            kind: kind of the decision.
            subject: what it is made for; with the kind, it identifies the decision.
            now: clock time.
            decide: makes the decision.

        Raises:
            InvariantViolation: an invariant does not hold.
        """
        until = self._paused_until.get((kind, subject))
        if until is not None and now < until:
            return Attempt.LEFT_OUT
        try:
            decide()
        except InvariantViolation:
            raise
        except Exception as error:
            self._on_failure(FailedDecision(kind, subject, now, error))
            self._paused_until.put((kind, subject), now + PAUSE_S)
            return Attempt.FAILED
        if until is not None:
            self._paused_until.pop((kind, subject))
        return Attempt.DONE


@contextlib.contextmanager
def changing_job_table() -> Iterator[None]:
    """Marks a change of the job table within a decision.

    Raises:
        InvariantViolation: the change failed.
    """
    try:
        yield
    except InvariantViolation:
        raise
    except Exception as error:
        raise InvariantViolation("a change of the job table failed") from error
