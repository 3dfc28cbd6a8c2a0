"""Order in which steps get workers.

Made for bursts in which more work is due than the fleet holds: queues of a higher priority go
first, then jobs that can still meet their objective, the most urgent before the others; jobs that
have missed it follow by age, so that none starves.
"""

from pollengate.workflow.model import Queue
from pollengate.workflow.progress import StepProgress

__all__ = ["rank"]

LOWEST_PRIORITY = 1_000_000


def rank(step: StepProgress, queue: Queue | None, now: float) -> tuple[int, bool, float]:
    """Returns the sort key of a step; the smallest goes first."""
    if queue is None:
        return LOWEST_PRIORITY, True, step.opened_at
    if step.spec.is_long_running:
        return queue.priority, False, step.opened_at
    due_at = step.job.accepted_at + step.job.objective_s(queue)
    return queue.priority, now > due_at, due_at
