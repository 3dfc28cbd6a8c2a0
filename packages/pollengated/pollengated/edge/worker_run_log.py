"""Logs and counts what the reports of a worker say of its runs."""

import dataclasses
from collections.abc import Iterable
from typing import TypeVar

from pollengate.workflow.clients import EndedRun, EndKind, OrderFailure, Report, RunningTask
from pollengate.workflow.crashes import WorkerCrash
from pollengate.workflow.fleet import WorkerView
from pollengate.workflow.progress import Run
from pollengate.workflow.reports import AppliedEnd, EndEffect
from pollengate.workflow.unanswered_starts import UnansweredStarts

from pollengated.edge.clocks import Clocks
from pollengated.edge.edge_metrics import EdgeMetrics
from pollengated.logs import Log

__all__ = ["WorkerRunLog"]

# In characters of up to six bytes; a record has the checkpoints of up to `TASKS_PER_RECORD` tasks.
MAX_CHECKPOINT_LENGTH = 512

_Row = TypeVar("_Row", RunningTask, EndedRun)


class WorkerRunLog:
    """Log and metrics of the ends of runs.

    Args:
        metrics: counts ends and crashes.
        clocks: the process's clocks.
    """

    def __init__(self, metrics: EdgeMetrics, clocks: Clocks) -> None:
        self._metrics = metrics
        self._clocks = clocks
        self._log = Log("worker")
        self._kept: tuple[str, int] | None = None

    def record_incarnation(self, view: WorkerView, report: Report) -> None:
        """Logs the first report of a worker's incarnation."""
        self._log.info(
            "first report of a worker incarnation",
            worker=view.worker_id,
            born_ms=report.born_ms,
            before_ms=view.born_ms,
            running=len(report.running),
            ended=len(report.ended),
        )

    def record_fence(self, view: WorkerView, token: int, now: float) -> None:
        """Logs that a worker rejects all orders that were meant for its earlier incarnation."""
        self._log.info(
            "orders to the earlier incarnation of a worker are fenced",
            worker=view.worker_id,
            born_ms=view.born_ms,
            token=token,
            leases_end_in_s=round(view.lease.expires_at() - now, 2),
        )

    def record_start(self, run: Run, token: int) -> None:
        """Logs and counts a start that its worker has confirmed."""
        self._metrics.starts.inc()
        self._log.info(
            "task started",
            task=run.task.name,
            run=run.number,
            worker=run.worker_id,
            token=token,
        )

    def record_failed_start(self, run: Run, failure: OrderFailure) -> None:
        """Logs and counts a start order that its worker has not confirmed."""
        self._metrics.failed_starts.labels(failure.kind.value).inc()
        self._log.info(
            "task not started",
            task=run.task.name,
            run=run.number,
            worker=run.worker_id,
            reason=failure.kind.value,
            cause=failure.detail,
        )

    def record_late_starts(
        self, view: WorkerView, report: Report, unanswered_starts: UnansweredStarts
    ) -> None:
        """Logs and counts the runs that are new in a report and began by an unanswered order."""
        starts = unanswered_starts.sent_to(view.worker_id)
        if not starts:
            return
        rows: tuple[RunningTask | EndedRun, ...] = (*report.running, *report.ended)
        listed = {(row.task, row.run) for row in rows}
        for start in starts:
            key = (start.task, start.run)
            run = view.runs.get(key)
            is_unanswered = run is not None and run.replied_at is None
            is_next = view.born_ms not in (0, report.born_ms)
            if key not in listed or not (is_unanswered or is_next):
                continue
            self._metrics.late_starts.inc()
            self._log.info(
                "a start order without a response was carried out",
                task=start.task,
                run=start.run,
                worker=view.worker_id,
                born_ms=report.born_ms,
                before_ms=view.born_ms,
            )

    def record_kept_end(self, worker_id: str, end: EndedRun | None) -> None:
        """Logs the first end that is kept for an order that may still arrive, once each."""
        key = None if end is None else (end.task, end.run)
        if end is None or key == self._kept:
            self._kept = key
            return
        self._kept = key
        self._metrics.kept_ends.inc()
        self._log.info(
            "not acknowledging an end while a start of its task may arrive",
            worker=worker_id,
            number=end.number,
            task=end.task,
            run=end.run,
        )

    def record_other_response(
        self, view: WorkerView, clock_ms: int | None, lowest_clock_ms: int
    ) -> None:
        """Logs a response that is not of the incarnation that has reported."""
        self._log.info(
            "another incarnation of a worker has responded",
            worker=view.worker_id,
            clock_ms=clock_ms,
            lowest_clock_ms=lowest_clock_ms,
        )

    def record_silence(self, view: WorkerView, cause: str) -> None:
        """Logs that a worker has left an order without a response."""
        self._log.warning(
            "worker did not reply; pausing starts", worker=view.worker_id, cause=cause
        )

    def record_lapse(self, view: WorkerView, runs: int) -> None:
        """Logs that runs were lost with the lease of a worker."""
        self._log.warning(
            "lease of an unreachable worker expired; its runs are lost",
            worker=view.worker_id,
            runs=runs,
            silent_s=round(self._clocks.monotonic_s() - view.lease.replied_at, 2),
        )

    def record_later_owner(self, view: WorkerView, token: int) -> None:
        """Logs that a worker rejected an order with the token of this owner."""
        self._log.warning(
            "worker knows a later owner and rejected an order; ending ownership",
            worker=view.worker_id,
            token=token,
        )

    def record_crash(self, crash: WorkerCrash) -> None:
        """Logs and counts a crash of a worker, and the tasks that are given up for it."""
        self._metrics.worker_crashes.labels(crash.cause.value).inc()
        self._log.warning(
            "worker crashed",
            worker=crash.worker_id,
            cause=crash.cause.value,
            silent_s=round(self._clocks.monotonic_s() - crash.silent_since, 2),
            suspects=len(crash.suspects),
            crashes=max((task.crashes for task in crash.suspects), default=0),
        )
        for task in crash.given_up:
            self._metrics.tasks_given_up.labels("worker_crashes").inc()
            self._log.warning(
                "giving up a task that crashes its workers; its job has failed",
                task=task.name,
                job=task.step.job.job_id,
                crashes=task.crashes,
                worker=crash.worker_id,
            )

    def limit_checkpoints(self, worker_id: str, report: Report) -> Report:
        """Returns a report without the checkpoints that are too long to be recorded.

        Their tasks resume from earlier ones.
        """
        rows: tuple[RunningTask | EndedRun, ...] = (*report.running, *report.ended)
        longest = max((len(row.checkpoint) for row in rows), default=0)
        if longest <= MAX_CHECKPOINT_LENGTH:
            return report
        self._log.warning(
            "checkpoints are too long and are not used",
            worker=worker_id,
            longest=longest,
            limit=MAX_CHECKPOINT_LENGTH,
        )
        return dataclasses.replace(
            report,
            running=tuple(_without_long_checkpoint(row) for row in report.running),
            ended=tuple(_without_long_checkpoint(row) for row in report.ended),
        )

    def record_ends(self, worker_id: str, new_ends: Iterable[AppliedEnd]) -> None:
        """Logs ended runs, and counts those that ended done without an effect."""
        for applied in new_ends:
            ended = applied.ended
            if ended.how is EndKind.DONE and applied.effect is not EndEffect.APPLIED:
                self._metrics.ineffective_ends.labels(applied.effect.value).inc()
            self._log.info(
                "run ended",
                task=ended.task,
                run=ended.run,
                worker=worker_id,
                number=ended.number,
                how=ended.how.value,
                effect=applied.effect.value,
            )


def _without_long_checkpoint(row: _Row) -> _Row:
    if len(row.checkpoint) <= MAX_CHECKPOINT_LENGTH:
        return row
    return dataclasses.replace(row, checkpoint="")
