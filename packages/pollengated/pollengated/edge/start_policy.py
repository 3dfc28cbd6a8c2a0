"""Builds the order in which steps get workers, and the conditions on which tasks start."""

from pollengate.accounts.fair_order import AccountOrder
from pollengate.workflow.job_table import JobTable
from pollengate.workflow.ordering import DeadlineOrder, StepOrder
from pollengate.workflow.policy import SchedulingPolicy
from pollengate.workflow.progress import JobProgress
from pollengate.workflow.start_filter import NoStartFilter, StartFilter

__all__ = ["StartPolicy"]


class StartPolicy:
    """Order and conditions of starts during one ownership term.

    Args:
        shard: number of the shard.
        shards: number of shards of the deployment.
        job_table: the shard's jobs, runs and workers.
        policy: settings of scheduling decisions.

    Attributes:
        order: decides which steps get workers first.
        start_filter: holds back tasks that may not start although a worker has room.
    """

    def __init__(
        self, shard: int, shards: int, job_table: JobTable, policy: SchedulingPolicy
    ) -> None:
        self._account_order = AccountOrder(
            DeadlineOrder(), job_table, job_table.usage.usage_of, shards
        )
        self.order: StepOrder = self._account_order
        self.start_filter: StartFilter = NoStartFilter()
        self._shard = shard
        self._job_table = job_table
        self._policy = policy

    def record_accepted(self, job: JobProgress, now: float) -> None:
        """Decides what the order has to know of a job that was just accepted."""
        self._account_order.record_accepted(job, now)

    def update(self, now: float) -> None:
        """Updates what depends on time and on the configuration; called every 0.1 s."""
