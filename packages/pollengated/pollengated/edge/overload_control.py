"""Orders and refuses jobs of a shard in a shortage, with log lines and metrics."""

from collections.abc import Callable

from pollengate.overload.admission import OverloadAdmission
from pollengate.overload.backlog import PoolState, ShardBacklog, Shortage
from pollengate.overload.cost import Use
from pollengate.overload.order import OverloadOrder
from pollengate.overload.room import Pool
from pollengate.workflow.job_service import NotAccepted
from pollengate.workflow.job_table import JobTable
from pollengate.workflow.policy import OverloadPolicy
from pollengate.workflow.progress import JobProgress

from pollengated.edge.edge_metrics import EdgeMetrics
from pollengated.logs import Log

__all__ = ["OverloadControl"]

METRICS_INTERVAL_S = 1.0


class OverloadControl:
    """Handles shortages of one shard during an ownership term.

    Args:
        shard: number of the shard.
        job_table: the shard's jobs, runs and workers.
        policy: settings.
        metrics: metrics of this process.
        is_settled: returns True once all runs of earlier owners are known.
        may_get_workers: whether other shards may release workers to this one.

    Attributes:
        order: decides which steps get workers first.
    """

    def __init__(
        self,
        shard: int,
        job_table: JobTable,
        policy: OverloadPolicy,
        metrics: EdgeMetrics,
        is_settled: Callable[[], bool],
        may_get_workers: bool,
    ) -> None:
        self._shard = shard
        self._job_table = job_table
        self._metrics = metrics
        self._backlog = ShardBacklog(job_table, policy, is_settled)
        self._admission = OverloadAdmission(self._backlog, policy, may_get_workers)
        self.order = OverloadOrder(self._backlog)
        self._metrics_at = float("-inf")
        self._log = Log("overload")

    def update(self, now: float) -> None:
        """Measures the shortages anew."""
        self._backlog.update(now)
        self.order.update(now)
        for pool, priority, shortage in self._backlog.changes:
            self._log_change(pool, priority, shortage)
        if now - self._metrics_at >= METRICS_INTERVAL_S:
            self._metrics_at = now
            for pool, state in self._backlog.states_by_pool.items():
                self._export(pool, state, now)

    def find_refusal(self, job: JobProgress, now: float) -> NotAccepted | None:
        """Returns why a new job is refused, None if it is accepted.

        With client accounts nothing is refused: the backlog is that of all accounts, and one that
        sends more than its share must not cost the others their jobs.
        """
        deployment = self._job_table.deployment
        queue = deployment.queue(job.queue_name)
        if queue is None or deployment.accounts_by_name is not None:
            return None
        refusal = self._admission.find_refusal(job, queue, now)
        if refusal is not None:
            self._metrics.overload_refusals.labels(queue.name, refusal.reason).inc()
            self._log.info(
                "job refused",
                shard=self._shard,
                job=job.job_id,
                queue=queue.name,
                priority=queue.priority,
                reason=refusal.reason,
                objective_s=round(job.objective_s(queue), 3),
                retry_after_s=round(refusal.retry_after_s, 3),
            )
        return refusal

    def _log_change(self, pool: Pool, priority: int, shortage: Shortage) -> None:
        state = self._backlog.states_by_pool[pool]
        self._log.info(
            "shortage ended" if shortage.since is None else "shortage began",
            shard=self._shard,
            service=pool.service,
            room=pool.room,
            priority=priority,
            factor=round(shortage.factor, 2),
            room_cores=round(state.room_cores, 1),
            waiting_jobs=len(state.jobs),
            waiting_core_s=round(state.waiting_core_s, 1),
        )

    def _export(self, pool: Pool, state: PoolState, now: float) -> None:
        labels = (str(self._shard), pool.service, pool.room)
        factors = [shortage.factor for shortage in state.shortages_by_priority.values()]
        self._metrics.shortage_factor.labels(*labels).set(max(factors, default=0.0))
        past_use = sum(cost.use(now) is Use.NONE for _, cost in state.jobs)
        self._metrics.jobs_past_use.labels(*labels).set(past_use)
