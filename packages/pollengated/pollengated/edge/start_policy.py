"""Builds the order in which steps get workers, and the conditions on which tasks start."""

from collections.abc import Callable

from pollengate.accounts.fair_order import AccountOrder
from pollengate.accounts.limits import AccountLimits
from pollengate.accounts.start_filter import AccountStartFilter
from pollengate.workflow.job_service import NotAccepted
from pollengate.workflow.job_table import JobTable
from pollengate.workflow.ordering import DeadlineOrder, StepOrder
from pollengate.workflow.policy import SchedulingPolicy
from pollengate.workflow.progress import JobProgress
from pollengate.workflow.start_filter import StartFilter

from pollengated.edge.account_shares import AccountShares
from pollengated.edge.edge_metrics import EdgeMetrics
from pollengated.edge.overload_control import OverloadControl

__all__ = ["StartPolicy"]


class StartPolicy:
    """Order and conditions of starts during one ownership term.

    Args:
        job_table: the shard's jobs, runs and workers.
        policy: settings of scheduling decisions.
        account_shares: reads and writes the parts of accounts' limits.
        metrics: metrics of this process.
        is_settled: whether no unreported run of an earlier owner can exist any more.

    Attributes:
        order: decides which steps get workers first.
        start_filter: holds back tasks that may not start although a worker has room.
        account_limits: what client accounts may have running in the shard.
    """

    def __init__(
        self,
        job_table: JobTable,
        policy: SchedulingPolicy,
        account_shares: AccountShares,
        metrics: EdgeMetrics,
        is_settled: Callable[[], bool],
    ) -> None:
        shard, shards = account_shares.shard, account_shares.shards
        self._overload: OverloadControl | None = None
        order: StepOrder = DeadlineOrder()
        if policy.overload.is_enabled:
            self._overload = OverloadControl(
                shard, job_table, policy.overload, metrics, is_settled, shards > 1
            )
            order = self._overload.order
        self.account_limits = AccountLimits(shard, shards, job_table.account_usage)
        self._account_order = AccountOrder(order, job_table, self.account_limits.usage_of, shards)
        self.order: StepOrder = self._account_order
        self._account_filter = AccountStartFilter(
            job_table, self.account_limits, is_settled, account_shares.update
        )
        self.start_filter: StartFilter = self._account_filter
        self._account_shares = account_shares
        account_shares.limits = self.account_limits
        account_shares.is_settled = lambda: self._account_filter.has_settled

    def record_accepted(self, job: JobProgress, now: float) -> None:
        """Decides what the order has to know of a job that was just accepted."""
        self._account_order.record_accepted(job, now)

    def update(self, now: float) -> None:
        """Updates what depends on time and on the configuration; called every 0.1 s."""
        self._account_filter.update(now)
        self._account_shares.update()
        if self._overload is not None:
            self._overload.update(now)

    def find_refusal(self, job: JobProgress, now: float) -> NotAccepted | None:
        """Returns why a new job is refused, None if it is accepted."""
        return None if self._overload is None else self._overload.find_refusal(job, now)
