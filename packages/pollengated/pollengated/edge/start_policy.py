"""Builds the order in which steps get workers, and the conditions on which tasks start."""

from collections.abc import Callable

from pollengate.workflow.job_service import NotAccepted
from pollengate.workflow.job_table import JobTable
from pollengate.workflow.ordering import DeadlineOrder, StepOrder
from pollengate.workflow.policy import SchedulingPolicy
from pollengate.workflow.progress import JobProgress
from pollengate.workflow.start_filter import NoStartFilter, StartFilter

from pollengated.edge.edge_metrics import EdgeMetrics
from pollengated.edge.overload_control import OverloadControl

__all__ = ["StartPolicy"]


class StartPolicy:
    """Order and conditions of starts during one ownership term.

    Args:
        shard: number of the shard.
        job_table: the shard's jobs, runs and workers.
        policy: settings of scheduling decisions.
        metrics: metrics of this process.
        is_settled: returns True once all runs of earlier owners are known.

    Attributes:
        order: decides which steps get workers first.
        start_filter: holds back tasks that may not start although a worker has room.
    """

    def __init__(
        self,
        shard: int,
        job_table: JobTable,
        policy: SchedulingPolicy,
        metrics: EdgeMetrics,
        is_settled: Callable[[], bool],
    ) -> None:
        self.order: StepOrder = DeadlineOrder()
        self.start_filter: StartFilter = NoStartFilter()
        self._overload: OverloadControl | None = None
        if policy.overload.is_enabled:
            self._overload = OverloadControl(shard, job_table, policy.overload, metrics, is_settled)
            self.order = self._overload.order

    def update(self, now: float) -> None:
        """Updates what depends on time and on the configuration; called every 0.1 s."""
        if self._overload is not None:
            self._overload.update(now)

    def find_refusal(self, job: JobProgress, now: float) -> NotAccepted | None:
        """Returns why a new job is refused, None if it is accepted."""
        return None if self._overload is None else self._overload.find_refusal(job, now)
