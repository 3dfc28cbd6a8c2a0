"""Builds the order in which steps get workers, and the conditions on which tasks start."""

from pollengate.workflow.job_table import JobTable
from pollengate.workflow.ordering import DeadlineOrder, StepOrder
from pollengate.workflow.policy import SchedulingPolicy
from pollengate.workflow.start_filter import NoStartFilter, StartFilter

__all__ = ["StartPolicy"]


class StartPolicy:
    """Order and conditions of starts during one ownership term.

    Args:
        shard: number of the shard.
        job_table: the shard's jobs, runs and workers.
        policy: settings of scheduling decisions.

    Attributes:
        order: decides which steps get workers first.
        start_filter: holds back tasks that may not start although a worker has room.
    """

    def __init__(self, shard: int, job_table: JobTable, policy: SchedulingPolicy) -> None:
        self.order: StepOrder = DeadlineOrder()
        self.start_filter: StartFilter = NoStartFilter()
        self._shard = shard
        self._job_table = job_table
        self._policy = policy

    def update(self, now: float) -> None:
        """Updates what depends on time and on the configuration; called every 0.1 s."""
