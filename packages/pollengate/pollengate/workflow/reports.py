"""Reconciles the job table with the reports of workers."""

import dataclasses
import enum
import math
from collections.abc import Callable

from pollengate.workflow.clients import EndedRun, EndKind, Report, RunningTask
from pollengate.workflow.crashes import WorkerCrash, is_cleared, is_trial_over
from pollengate.workflow.fleet import WorkerView
from pollengate.workflow.job_table import JobTable
from pollengate.workflow.model import WorkerCondition
from pollengate.workflow.placement import can_place
from pollengate.workflow.progress import PAST_STARTUP_PERCENT, Run, RunState, TaskProgress
from pollengate.workflow.unclaimed_ends import UnclaimedEnd
from pollengate.workflow.worker_need import WorkerNeed

__all__ = ["AppliedEnd", "EndEffect", "ReportReconciler"]

# Maximum number of ended runs in one report.
MAX_ENDS_PER_REPORT = 500


class EndEffect(enum.StrEnum):
    """What an ended run changed in the job table, or why it changed nothing.

    `LEASE_EXPIRED`: its result does not count, as the lease had expired before it was reported and
    another shard may have started the task since.
    `NEWER_RUN`: its result does not count, as the task has a newer run.
    """

    APPLIED = "applied"
    LEASE_EXPIRED = "lease_expired"
    NEWER_RUN = "newer_run"
    TASK_DONE = "task_done"
    JOB_ENDED = "job_ended"
    UNKNOWN_TASK = "unknown_task"


@dataclasses.dataclass(frozen=True, slots=True)
class AppliedEnd:
    """An ended run that no earlier report listed, and its effect."""

    ended: EndedRun
    effect: EndEffect


class ReportReconciler:
    """Applies the reports of one worker, over all of its incarnations, to the job table.

    Args:
        job_table: the shard's jobs, runs and workers.
        view: the worker.
        on_crash: called with each crash of the worker.
    """

    def __init__(
        self,
        job_table: JobTable,
        view: WorkerView,
        on_crash: Callable[[WorkerCrash], None] = lambda crash: None,
    ) -> None:
        self._job_table = job_table
        self._view = view
        self._on_crash = on_crash
        self.last_end_number = 0
        self._has_reported = view.born_ms != 0 or view.order_tokens.effective >= 0

    def apply(
        self, report: Report, sent_at: float, now: float, now_ms: int, fenced_token: int = 0
    ) -> tuple[AppliedEnd, ...]:
        """Applies a report.

        Args:
            report: the worker's report.
            sent_at: clock time at which the order that requested it was sent.
            now: clock time.
            now_ms: Unix time.
            fenced_token: the worker rejects all orders with a lower token since it has written the
                report, among them all that were meant for an earlier incarnation; 0 if it may
                accept some of those.

        Returns:
            The ended runs that no earlier report listed, with their effects.
        """
        view = self._view
        if view.born_ms != report.born_ms:
            self.reset(now, now_ms, report, sent_at)
            view.born_ms = report.born_ms
            # The first order to a worker has a higher token than those of earlier owners.
            view.is_fenced = not self._has_reported
            self._has_reported = True
        if fenced_token:
            view.is_fenced = True
            view.lease.end_misdirection(now)
        self._forget_lapsed()
        late_s = view.lease.read_late_s(report.worker_clock_ms, now)
        had_expired = view.lease.record_reply(report.worker_clock_ms, now)
        is_complete = len(report.ended) < MAX_ENDS_PER_REPORT
        # Until all ends are listed, a task without a known run may have one that is done. Until
        # orders to an earlier incarnation are fenced, they may start further runs.
        view.is_attached = view.is_attached or (is_complete and view.is_fenced)
        view.is_paging = not view.is_attached
        new_ends = tuple(ended for ended in report.ended if ended.number > self.last_end_number)
        applied: list[AppliedEnd] = []
        for ended in new_ends:
            self.last_end_number = ended.number
            applied.append(AppliedEnd(ended, self._apply_end(ended, had_expired, now, now_ms)))
        for row in report.running:
            self._apply_running(row, now, late_s)
        if is_complete:
            self._mark_absent_lost(report, sent_at, fenced_token)
        return tuple(applied)

    def reset(
        self, now: float, now_ms: int, report: Report | None = None, sent_at: float = math.inf
    ) -> None:
        """Detaches the worker's incarnation, which is gone, and marks its runs as lost.

        The next incarnation may have carried out start orders that were meant for this one, and may
        still receive those without a response.

        Args:
            now: clock time.
            now_ms: Unix time.
            report: first report of the worker's next incarnation; None if another worker replied.
            sent_at: clock time at which the order that requested the report was sent; a run that
                was confirmed since may be missing in it.
        """
        view = self._view
        listed: set[tuple[str, int]] = set()
        if report is not None:
            listed.update((row.task, row.run) for row in report.running)
            listed.update((ended.task, ended.run) for ended in report.ended)
            listed.update(key for key, run in view.runs.items() if _is_confirmed(run, sent_at))
        crash = self._job_table.record_crash(view, now, now_ms, listed)
        if crash is not None:
            self._on_crash(crash)
        self._forget_lapsed()
        view.has_drained = view.info.condition is WorkerCondition.DRAINING
        self._view.is_attached = self._view.is_paging = False
        if report is None:
            view.lease.reset()
        else:
            view.lease.begin_incarnation(now)
            self._settle_previous_leases(report.born_ms)
        self.last_end_number = 0
        for key, run in list(view.runs.items()):
            is_unanswered = report is not None and run.replied_at is None
            if key not in listed and not is_unanswered:
                self._job_table.mark_lost(run)

    def _settle_previous_leases(self, born_ms: int) -> None:
        leases = self._view.previous_leases
        if leases is not None and leases.is_settled(self._view.worker_id, born_ms):
            self._view.lease.settle_previous(leases.settled_expire_at)

    def mark_all_lost(self) -> None:
        """Marks all runs on the worker as lost."""
        for run in list(self._view.runs.values()):
            self._job_table.mark_lost(run)

    def mark_lapsed(self, now: float) -> int:
        """Marks the runs as lost whose lease has expired by clock time `now`; returns their number.

        The next report tells whether the worker has crashed.
        """
        view = self._view
        trial = view.trial
        lapsed = [run for run in view.runs.values() if run.may_outlast_until <= now]
        view.lapsed_runs += lapsed
        for run in lapsed:
            self._job_table.mark_lost(run)
        view.trial = trial
        return len(lapsed)

    def _forget_lapsed(self) -> None:
        if self._view.lapsed_runs:
            self._view.lapsed_runs.clear()
            self._view.trial = None

    def _apply_end(self, ended: EndedRun, had_expired: bool, now: float, now_ms: int) -> EndEffect:
        # A task that is done has no other run, so it counts also if the lease has expired since. It
        # must not start again: its end may have been listed in a report that came too late.
        end_kind = ended.how
        view = self._view
        if end_kind is EndKind.FAILED:
            self._job_table.unanswered_starts.release(ended.task, view.worker_id)
        run = view.runs.get((ended.task, ended.run))
        if run is not None:
            if run.replied_at is None:
                self._settle_start(run)
                run.replied_at = now
            self._job_table.mark_ended(run, end_kind, ended.checkpoint, now, now_ms)
            return EndEffect.APPLIED
        task = self._job_table.find_started_task(ended.task, now)
        if task is None and self._job_table.has_ended_job(ended.task):
            return EndEffect.JOB_ENDED
        if task is None:
            if end_kind is EndKind.DONE:
                end = UnclaimedEnd(ended.task, ended.run, view.worker_id)
                self._job_table.unclaimed_ends.keep(end)
            return EndEffect.UNKNOWN_TASK
        if task.is_done:
            return EndEffect.TASK_DONE
        if task.step.job.is_ended:
            return EndEffect.JOB_ENDED
        if had_expired and end_kind is EndKind.DONE and task.is_delegated:
            return EndEffect.LEASE_EXPIRED
        is_newest = ended.run >= task.last_run and not task.runs_by_number
        # If copies are allowed, any run may complete the task. Otherwise a later run exists only if
        # this one was taken for lost, and its result does not count.
        is_copy_done = end_kind is EndKind.DONE and task.step.spec.is_speculative
        if end_kind is EndKind.FAILED or is_newest or is_copy_done:
            self._job_table.apply_result(
                task, ended.run, view.worker_id, end_kind, ended.checkpoint, now, now_ms
            )
            return EndEffect.APPLIED
        return EndEffect.NEWER_RUN

    def _apply_running(self, row: RunningTask, now: float, late_s: float) -> None:
        view = self._view
        run = view.runs.get((row.task, row.run))
        if run is None:
            task = self._job_table.find_started_task(row.task, now)
            if task is None or not _may_adopt(task):
                self._job_table.outbox.orphans.append((view.worker_id, row.task, row.run))
                return
            run = self._job_table.adopt(task, row.run, view, now)
        elif run.state in (RunState.STARTING, RunState.UNSETTLED):
            self._settle_start(run)
            self._job_table.mark_seen(run)
            run.replied_at = now
            if run.is_stop_wanted:
                self._job_table.outbox.stops.append(run)
        if run.task.crashes:
            self._clear_suspicion(run, now)
        if row.percent <= run.percent:
            # Time in which the owner has not read the report is no time without progress.
            run.progressed_at = min(now, run.progressed_at + late_s)
        else:
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
            run.task.keep_checkpoint(row.checkpoint)

    def _settle_start(self, run: Run) -> None:
        """Records that one of the unanswered orders for a run was carried out.

        Not if another order waits for its response, which may be the one that was.
        """
        if not run.is_being_ordered:
            starts = self._job_table.unanswered_starts
            starts.settle(run.task.name, run.worker_id, run.number)

    def _clear_suspicion(self, run: Run, now: float) -> None:
        """Ends the trial of a run, and clears its task, once it has run for long enough."""
        if self._view.trial is run and (
            is_trial_over(run, now)
            or (is_trial_over(run, now, is_worker_needed=True) and self._is_only_worker())
        ):
            self._view.trial = None
        if is_cleared(run, now):
            self._job_table.clear_crashes(run.task)

    def _is_only_worker(self) -> bool:
        """Whether tasks wait that fit here and could run on no other worker, even an empty one."""
        others = [
            other
            for other in self._job_table.fleet.workers_by_id.values()
            if other is not self._view and other.is_registered
        ]
        for step in self._job_table.open_steps:
            queue = self._job_table.queue_of(step)
            if queue is None or not step.waiting or not can_place(step, self._view):
                continue
            need = WorkerNeed.of(step, queue)
            if need.is_met_by(self._view) and not any(map(need.is_met_by, others)):
                return True
        return False

    def _mark_absent_lost(self, report: Report, sent_at: float, fenced_token: int) -> None:
        present = {(row.task, row.run) for row in report.running}
        for key, run in list(self._view.runs.items()):
            if key in present:
                continue
            # An order without a response is sent again to the incarnation that it was meant for.
            is_repeated = run.state is RunState.STARTING and run.order_born_ms == self._view.born_ms
            is_rejected = 0 < run.order_token < fenced_token and not is_repeated
            if is_rejected or (run.replied_at is not None and run.replied_at < sent_at):
                self._job_table.mark_lost(run)


def _is_confirmed(run: Run, since: float) -> bool:
    return run.replied_at is not None and run.replied_at >= since


def _may_adopt(task: TaskProgress) -> bool:
    # The step need not be open: the results of the steps before it may be on workers that have not
    # reported yet.
    step = task.step
    return (
        not task.is_done
        and not task.is_delegated
        and not step.job.is_ended
        and (not task.runs_by_number or step.spec.is_speculative)
    )
