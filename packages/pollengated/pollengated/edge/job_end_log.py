"""Logs and counts the ends of jobs."""

from pollengate.workflow.progress import JobProgress

from pollengated.edge.clocks import Clocks
from pollengated.edge.edge_metrics import EdgeMetrics
from pollengated.logs import Log

__all__ = ["JobEndLog"]


class JobEndLog:
    """Reports the jobs of one shard that end during an ownership term.

    Args:
        clocks: the process's clocks.
        metrics: metrics of this process.
    """

    def __init__(self, clocks: Clocks, metrics: EdgeMetrics) -> None:
        self._clocks = clocks
        self._metrics = metrics
        self._log = Log("owner")

    def record(self, job: JobProgress) -> None:
        """Reports a job that has just ended; a delegated task counts with its own job only."""
        if job.delegated_by is not None:
            self._log.info("delegated task ended", task=job.job_id, state=job.state.value)
            return
        took_s = self._clocks.monotonic_s() - job.accepted_at
        self._metrics.jobs_ended.labels(job.state.value).inc()
        self._metrics.job_seconds.labels(job.queue_name).observe(took_s)
        queue = job.queue
        self._log.info(
            "job ended",
            job=job.job_id,
            queue=job.queue_name,
            state=job.state.value,
            took_s=round(took_s, 3),
            objective_s=round(job.objective_s(queue), 3) if queue is not None else None,
        )
