"""Logs and exports the load of an owned shard and the tasks that wait for long."""

from collections.abc import Callable

from pollengate.workflow.job_placement import rank_restart_shards
from pollengate.workflow.job_table import JobTable
from pollengate.workflow.progress import JobState, StepProgress
from pollengate.workflow.start_filter import StartFilter
from pollengate.workflow.stragglers import SILENT_AFTER_S
from pollengate.workflow.waiting import WaitMonitor

from pollengated.edge.edge_metrics import EdgeMetrics
from pollengated.edge.other_shards import OtherShards
from pollengated.logs import Log

__all__ = ["ShardLoadLog"]

CHECK_INTERVAL_S = 1.0
LOG_INTERVAL_S = 5.0


class ShardLoadLog:
    """Reports the load of one shard during an ownership term.

    Args:
        shard: number of the shard.
        job_table: the shard's jobs, runs and workers.
        is_settled: whether no unreported run of an earlier owner can exist any more.
        start_filter: holds back tasks that may not start although a worker has room.
        metrics: metrics of this process.
        other_shards: knows the room in other shards.
    """

    def __init__(
        self,
        shard: int,
        job_table: JobTable,
        is_settled: Callable[[], bool],
        start_filter: StartFilter,
        metrics: EdgeMetrics,
        other_shards: OtherShards,
    ) -> None:
        self._shard = shard
        self._other_shards = other_shards
        self._job_table = job_table
        self._start_filter = start_filter
        self._monitor = WaitMonitor(job_table, is_settled, start_filter)
        self._metrics = metrics
        self._checked_at = float("-inf")
        self._logged_at = float("-inf")
        self._log = Log("load")

    def update(self, now: float) -> None:
        """Updates the metrics and logs if the last time is long enough ago."""
        if now - self._checked_at < CHECK_INTERVAL_S:
            return
        lag_s = now - self._checked_at - CHECK_INTERVAL_S
        self._checked_at = now
        waiting = sum(len(step.waiting) for step in self._job_table.open_steps)
        self._metrics.waiting_tasks.set(waiting)
        jobs = self._job_table.jobs_by_id.values()
        waiting_jobs = sum(job.state is JobState.QUEUED for job in jobs)
        self._metrics.waiting_jobs.labels(str(self._shard)).set(waiting_jobs)
        views = self._job_table.fleet.all_schedulable(now)
        capacity = sum(view.info.capacity.cpu_millis for view in views)
        committed = sum(view.committed_millis for view in views)
        spare = sum(not view.long_running for view in views)
        free = [view.info.capacity.cpu_millis - view.committed_millis for view in views]
        largest_free = max(free, default=0)
        label = str(self._shard)
        self._metrics.shard_capacity.labels(label).set(capacity)
        self._metrics.shard_committed.labels(label).set(committed)
        self._metrics.shard_largest_free.labels(label).set(largest_free)
        self._metrics.accounts.update(self._shard, self._job_table, self._start_filter, now)
        if now - self._logged_at >= LOG_INTERVAL_S:
            self._logged_at = now
            self._log.info(
                "load of the shard",
                shard=self._shard,
                workers=len(self._job_table.fleet.workers_by_id),
                schedulable=len(views),
                without_long_running=spare,
                capacity_millis=capacity,
                committed_millis=committed,
                long_running_millis=sum(
                    run.task.step.spec.demand.cpu_millis for v in views for run in v.long_running
                ),
                largest_free_millis=largest_free,
                silent_workers_with_runs=sum(
                    bool(view.runs) and now - view.lease.replied_at > SILENT_AFTER_S
                    for view in self._job_table.fleet.workers_by_id.values()
                ),
                waiting=waiting,
                waiting_jobs=waiting_jobs,
                lag_s=round(lag_s, 2) if lag_s < float("inf") else None,
            )
        self._log_overdue_restarts(now)
        for overdue in self._monitor.find_overdue(now):
            step = overdue.step
            self._log.info(
                "tasks wait for a start",
                shard=self._shard,
                job=step.job.job_id,
                queue=step.job.queue_name,
                step=step.number,
                **({"account": step.job.account} if step.job.account else {}),
                waiting=len(step.waiting),
                waited_s=round(overdue.waited_s, 1),
                cause=overdue.cause.value,
                long_running=step.spec.is_long_running,
                filler=step.spec.is_filler,
                image=step.spec.image,
                cpu_millis=step.spec.demand.cpu_millis,
                schedulable=overdue.workers,
                with_room=overdue.room,
                on_trial=overdue.on_trial,
                **{f"withheld_{reason}": count for reason, count in overdue.withheld.items()},
            )

    def _log_overdue_restarts(self, now: float) -> None:
        for overdue in self._monitor.find_overdue_restarts(now):
            step = overdue.task.step
            self._log.info(
                "long-running task waits to run again",
                shard=self._shard,
                task=overdue.task.name,
                run=overdue.task.last_run,
                waited_s=round(overdue.waited_s, 1),
                cause=overdue.cause.value,
                cpu_millis=step.spec.demand.cpu_millis,
                with_room=overdue.room,
                with_room_beside_long_running=overdue.room_beside_long_running,
                shards_with_room=self._count_shards_with_room(step),
            )
        longest_s = self._monitor.longest_restart_wait_s(now)
        self._metrics.longest_restart_wait.labels(str(self._shard)).set(longest_s)

    def _count_shards_with_room(self, step: StepProgress) -> int:
        """Returns the number of other shards in which a task of a step would find room at once."""
        queue = self._job_table.queue_of(step)
        if queue is None:
            return 0
        summaries = dict(self._other_shards.summaries_by_shard(queue.service))
        summaries.pop(self._shard, None)
        return len(rank_restart_shards(step.spec, summaries))

    def close(self) -> None:
        """Removes the metrics by client account of a shard whose ownership has ended."""
        self._metrics.accounts.forget(self._shard)
