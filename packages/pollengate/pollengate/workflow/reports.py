"""Reconciles the job table with the reports of workers."""

from pollengate.workflow.clients import EndedRun, EndKind, Report, RunningTask
from pollengate.workflow.fleet import WorkerView
from pollengate.workflow.job_table import JobTable
from pollengate.workflow.progress import PAST_STARTUP_PERCENT, RunState, TaskProgress

__all__ = ["ReportReconciler"]

# Maximum number of ended runs in one report.
MAX_ENDS_PER_REPORT = 500


class ReportReconciler:
    """Applies the reports of one worker, over all of its incarnations, to the job table."""

    def __init__(self, job_table: JobTable, view: WorkerView) -> None:
        self._job_table = job_table
        self._view = view
        self.last_end_number = 0

    def apply(
        self, report: Report, sent_at: float, now: float, now_ms: int
    ) -> tuple[EndedRun, ...]:
        """Applies a report.

        Args:
            report: the worker's report.
            sent_at: clock time at which the order that requested it was sent.
            now: clock time.
            now_ms: Unix time.

        Returns:
            The ended runs that no earlier report listed.
        """
        view = self._view
        if view.born_ms != report.born_ms:
            self.reset()
            view.born_ms = report.born_ms
        had_expired = view.lease.record_reply(report.worker_clock_ms, now)
        view.is_attached = True
        new_ends = tuple(ended for ended in report.ended if ended.number > self.last_end_number)
        for ended in new_ends:
            self.last_end_number = ended.number
            self._apply_end(ended, had_expired, now, now_ms)
        for row in report.running:
            self._apply_running(row, now)
        if len(report.ended) < MAX_ENDS_PER_REPORT:
            self._mark_absent_lost(report, sent_at)
        return new_ends

    def reset(self) -> None:
        """Detaches the worker's incarnation, which is gone, and marks all of its runs as lost."""
        self._view.is_attached = False
        self._view.lease.reset()
        self.last_end_number = 0
        self.mark_all_lost()

    def mark_all_lost(self) -> None:
        """Marks all runs on the worker as lost."""
        for run in list(self._view.runs.values()):
            self._job_table.mark_lost(run)

    def _apply_end(self, ended: EndedRun, had_expired: bool, now: float, now_ms: int) -> None:
        # Once the lease has expired a result does not count: the task may already run elsewhere.
        end_kind = EndKind.EXPIRED if had_expired and ended.how is EndKind.DONE else ended.how
        run = self._view.runs.get((ended.task, ended.run))
        if run is not None:
            self._job_table.mark_ended(run, end_kind, ended.checkpoint, now, now_ms)
            return
        task = self._job_table.find_task(ended.task)
        if task is None or task.is_done or task.step.job.is_ended:
            return
        is_newest = ended.run >= task.last_run and not task.runs_by_number
        # If copies are allowed, any run may complete the task. Otherwise a later run exists only if
        # this one was taken for lost, and its result does not count.
        is_copy_done = end_kind is EndKind.DONE and task.step.spec.is_speculative
        if end_kind is EndKind.FAILED or is_newest or is_copy_done:
            self._job_table.apply_result(
                task, ended.run, self._view.worker_id, end_kind, ended.checkpoint, now, now_ms
            )

    def _apply_running(self, row: RunningTask, now: float) -> None:
        view = self._view
        run = view.runs.get((row.task, row.run))
        if run is None:
            task = self._job_table.find_task(row.task)
            if task is None or not _may_adopt(task):
                self._job_table.outbox.orphans.append((view.worker_id, row.task, row.run))
                return
            run = self._job_table.adopt(task, row.run, view, now)
        elif run.state is RunState.STARTING:
            run.apply_event("seen")
            run.replied_at = now
        elif run.state is RunState.UNSETTLED:
            run.apply_event("seen")
            self._job_table.outbox.stops.append(run)
        if row.percent > run.percent:
            run.progressed_at = now
            if row.percent >= PAST_STARTUP_PERCENT:
                self._job_table.mark_past_startup(run)
        if run.initial_percent < 0:
            run.initial_percent = row.percent
            run.progressed_at = now
        run.percent = row.percent
        run.measurement_change = row.measurement - run.measurement
        run.measurement = row.measurement
        if row.checkpoint:
            run.task.checkpoint = row.checkpoint

    def _mark_absent_lost(self, report: Report, sent_at: float) -> None:
        present = {(row.task, row.run) for row in report.running}
        for key, run in list(self._view.runs.items()):
            if key not in present and run.replied_at is not None and run.replied_at < sent_at:
                self._job_table.mark_lost(run)


def _may_adopt(task: TaskProgress) -> bool:
    # The step need not be open: the results of the steps before it may be on workers that have not
    # reported yet.
    step = task.step
    return (
        not task.is_done
        and not step.job.is_ended
        and (not task.runs_by_number or step.spec.is_speculative)
    )
