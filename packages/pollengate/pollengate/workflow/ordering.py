"""Order in which steps get workers.

If more work is due than the fleet can run, queues with a higher priority go first. Within a
priority, jobs that can still meet their latency objective go first, the earliest deadline at the
head. Jobs that have missed their objective follow, in the same order, so that none of them starves.
"""

import abc
from collections.abc import Callable, Iterable, Sequence
from typing import Any

from pollengate.workflow.model import Queue
from pollengate.workflow.progress import StepProgress

__all__ = ["LOWEST_PRIORITY", "DeadlineOrder", "StepOrder", "rank", "runs_again"]

LOWEST_PRIORITY = 1_000_000
# Before any clock time.
_RESTART_RANK = -1e12


def rank(step: StepProgress, queue: Queue | None, now: float) -> tuple[int, bool, float]:
    """Returns the sort key of a step; the step with the smallest key gets workers first.

    A long-running step has no deadline; the time at which it was opened takes its place. One with a
    task that has run before comes first, as its users miss that task; among these, the one with the
    largest tasks, as they fit on the fewest workers.
    """
    if queue is None:
        return LOWEST_PRIORITY, True, step.opened_at
    if step.spec.is_long_running:
        if runs_again(step):
            return queue.priority, False, _RESTART_RANK - step.spec.demand.cpu_millis
        return queue.priority, False, step.opened_at
    due_at = step.job.accepted_at + step.job.objective_s(queue)
    return queue.priority, now > due_at, due_at


def runs_again(step: StepProgress) -> bool:
    """Returns True if the first waiting task of a long-running step has run before."""
    first = step.waiting.first
    return step.spec.is_long_running and first is not None and first.has_run


class StepOrder(abc.ABC):
    """Decides which steps get workers first."""

    def arrange(
        self,
        steps: Sequence[StepProgress],
        queue_of: Callable[[StepProgress], Queue | None],
        now: float,
    ) -> Iterable[StepProgress]:
        """Returns steps in the order in which they get workers.

        An order may yield a step again, after others, while it still has waiting tasks.

        Args:
            steps: the steps with waiting tasks that take part in a plan.
            queue_of: returns the queue of a step.
            now: clock time.
        """
        return sorted(steps, key=lambda step: self.key(step, queue_of(step), now))

    def may_take(self, step: StepProgress) -> bool:
        """Returns False if the other steps come before the next task of the step that has its turn.

        The planner asks before each start, since the runs that it has added count.
        """
        return True

    @abc.abstractmethod
    def key(self, step: StepProgress, queue: Queue | None, now: float) -> tuple[Any, ...]:
        """Returns the sort key of a step; the step with the smallest key gets workers first.

        Asking has no effect, as explanations ask, too, also for jobs that were never submitted.

        Args:
            step: the step.
            queue: the queue of its job, None if it is no longer configured.
            now: clock time.
        """


class DeadlineOrder(StepOrder):
    """Orders steps by priority and deadline, see `rank`."""

    def key(self, step: StepProgress, queue: Queue | None, now: float) -> tuple[Any, ...]:
        """Returns the rank of a step."""
        return rank(step, queue, now)
