"""Jobs and tasks of one shard, and all state transitions of the tasks."""

from collections.abc import Iterable

from pollengate.failure_evidence import RetryDecision
from pollengate.job_entry import ChangeLog, JobEntry
from pollengate.jobs import ENDED_STATES, ON_WORKER_STATES, JobSpec, Task, TaskState
from pollengate.placement import Placement, request_for
from pollengate.task_outcomes import TaskEnd, TaskOutcomeListener
from pollengate.task_queue import TaskQueue
from pollengate.worker import OrderReply, ReportState, TaskOrder, TaskRef, TaskReport
from pollengate.worker_entry import StopOrder
from pollengate.worker_table import WorkerTable

__all__ = ["TaskTable"]

_OUTCOME_UNKNOWN_DETAIL = "the worker was lost after the start order may have been sent"

# Rejections that are no evidence against the worker. A withdrawn order has an empty reason.
_TRANSIENT_REJECTIONS = frozenset({"", "already_running", "epoch_too_low", "no_lease"})

_EVENT_BY_REPORT = {
    ReportState.RUNNING: "reported_running",
    ReportState.FINISHED: "reported_finished",
    ReportState.FAILED: "reported_failed",
    ReportState.STOPPED: "reported_stopped",
    ReportState.CHECKPOINTED: "reported_checkpointed",
}


class TaskTable:
    """Table of a shard's jobs and tasks.

    Each state transition of a task also updates the queue, the placement, the worker table and
    the changes that the ledger has yet to record.

    Attributes:
        jobs_by_id: jobs that the ledger has recorded.
        changes: changes that the ledger has not recorded yet.
    """

    def __init__(
        self,
        epoch: int,
        placement: Placement,
        queue: TaskQueue,
        workers: WorkerTable,
        outcomes: TaskOutcomeListener,
    ) -> None:
        self.jobs_by_id: dict[str, JobEntry] = {}
        self.changes = ChangeLog()
        self._epoch = epoch
        self._placement = placement
        self._queue = queue
        self._workers = workers
        self._outcomes = outcomes
        self._departed_task_ids: list[str] = []
        self._ended_jobs: list[JobEntry] = []

    def add(self, spec: JobSpec) -> JobEntry:
        """Adds a job without queuing its tasks."""
        job = JobEntry(spec)
        self.jobs_by_id[spec.job_id] = job
        return job

    def find(self, task_id: str) -> tuple[JobEntry, Task] | None:
        """Returns a task and its job, None if the job is unknown or was compacted."""
        job = self.jobs_by_id.get(task_id.rpartition(".")[0])
        task = job.tasks_by_id.get(task_id) if job is not None else None
        return (job, task) if job is not None and task is not None else None

    def get(self, task_id: str) -> tuple[JobEntry, Task]:
        """Returns a task and its job; the task must be in the table.

        Raises:
            KeyError: the table has no such task.
        """
        job = self.jobs_by_id[task_id.rpartition(".")[0]]
        return job, job.tasks_by_id[task_id]

    def enqueue(self, task: Task) -> None:
        """Adds a task to the queue of tasks that are waiting for a worker."""
        self._queue.push(request_for(task.task_id, task.spec, resumed=bool(task.checkpoint)))

    def assign(self, task_id: str, worker_id: str) -> TaskOrder:
        """Assigns a task to the worker that placement chose, and returns the start order."""
        job, task = self.get(task_id)
        job.transition(task, "assigned")
        task.attempt = task.attempt + 1 if task.epoch == self._epoch else 1
        task.epoch = self._epoch
        task.worker_id = worker_id
        self._workers.add_task(task_id, worker_id)
        if not task.spec.idempotent:
            task.has_intent = True
            self.changes.record_task(task)
        return _order_for(task)

    def adopt(self, task: Task, worker_id: str, epoch: int, attempt: int) -> None:
        """Records an assignment from the previous owner: the task may run on the worker."""
        self.jobs_by_id[task.spec.job_id].transition(task, "handed_over")
        task.epoch, task.attempt = epoch, attempt
        self._place_on_worker(task, worker_id)

    def apply_start_reply(self, reply: OrderReply) -> None:
        """Applies a worker's reply to one start order; replies to older attempts are ignored."""
        found = self._find_current_attempt(reply.ref)
        if found is None or found[1].state not in ON_WORKER_STATES:
            return
        job, task = found
        if not reply.accepted:
            if task.state is not TaskState.RUNNING:
                if reply.reason not in _TRANSIENT_REJECTIONS:
                    self._outcomes.on_ended(task.task_id, TaskEnd.REJECTED)
                self._remove_from_worker(job, task, "start_refused")
        elif task.state is TaskState.STARTING:
            job.transition(task, "start_accepted")
            self._outcomes.on_started(task.task_id)

    def is_newest(self, ref: TaskRef) -> bool:
        """Whether the task is known and has no attempt that is newer than the given one."""
        found = self.find(ref.task_id)
        return found is not None and ref.sort_key >= (found[1].epoch, found[1].attempt)

    def apply_report(self, worker_id: str, report: TaskReport) -> bool:
        """Applies a worker's report on one attempt.

        Returns:
            Whether the worker must stop the attempt.
        """
        is_running = report.state is ReportState.RUNNING
        found = self.find(report.ref.task_id)
        if found is None or found[1].state in ENDED_STATES:
            return is_running
        job, task = found
        if report.ref.sort_key < (task.epoch, task.attempt):
            return is_running
        if is_running and task.worker_id not in ("", worker_id):
            return True
        task.epoch, task.attempt = report.ref.sort_key
        if is_running:
            self._apply_running(job, task, worker_id, report.checkpoint)
        else:
            self._apply_end(job, task, report)
        return False

    def mark_absent(self, job: JobEntry, task: Task) -> None:
        """Ends or requeues a task that certainly no longer runs and whose end was not reported.

        A non-idempotent task whose start order may have been sent ends as `unknown`.
        """
        if task.state in ENDED_STATES:
            return
        if not task.spec.idempotent and task.has_intent:
            task.detail = _OUTCOME_UNKNOWN_DETAIL
            self._remove_from_worker(job, task, "outcome_unknown")
        else:
            self._remove_from_worker(job, task, "absent")

    def cancel(self, job: JobEntry) -> None:
        """Cancels every task of a job.

        Tasks that may be running count against capacity until they have stopped.
        """
        for task in list(job.tasks_by_id.values()):
            self.cancel_task(job, task)

    def cancel_task(self, job: JobEntry, task: Task) -> None:
        """Cancels a queued task at once, or orders the worker to stop it."""
        if task.state in ENDED_STATES or task.state is TaskState.STOPPING:
            return
        if task.state is TaskState.QUEUED:
            self._remove_from_worker(job, task, "cancel_requested")
            return
        job.transition(task, "cancel_requested")
        self.add_stop_order(task, checkpoint=False)

    def evict(self, task_id: str, checkpoint: bool) -> bool:
        """Orders the worker of a task to stop it; the task is then requeued.

        Returns:
            False if the task is not on a worker or is already being stopped.
        """
        found = self.find(task_id)
        if found is None or found[1].state not in ON_WORKER_STATES:
            return False
        job, task = found
        if task.state is TaskState.STOPPING:
            return False
        job.transition(task, "evict_requested")
        self.add_stop_order(task, checkpoint)
        return True

    def add_stop_order(self, task: Task, checkpoint: bool) -> None:
        """Adds a stop order for the worker of a task, if it has a worker."""
        if task.worker_id:
            order = StopOrder(ref_of(task), checkpoint)
            self._workers.add_stop_order(task.task_id, task.worker_id, order)

    def may_acknowledge(self, report: TaskReport) -> bool:
        """Whether the end of an attempt is durable, so that the worker may forget the attempt."""
        if report.state is ReportState.RUNNING:
            return False
        return self.changes.is_recorded(report.ref.task_id)

    def pop_departed_tasks(self) -> list[str]:
        """Returns the ids of the tasks that have left their workers since the last call."""
        departed, self._departed_task_ids = self._departed_task_ids, []
        return departed

    def record_end(self, job: JobEntry) -> None:
        """Adds a job to the result of `pop_ended_jobs` if every task has ended."""
        if job.has_ended:
            self._ended_jobs.append(job)

    def pop_ended_jobs(self) -> list[JobEntry]:
        """Returns the jobs that have ended since the last call."""
        ended, self._ended_jobs = self._ended_jobs, []
        return ended

    def suspend(self, job: JobEntry) -> None:
        """Removes the tasks of a job from the queue while it is transferred to another shard."""
        job.is_transferring = True
        for task_id in job.tasks_by_id:
            self._queue.discard(task_id)

    def resume(self, job: JobEntry) -> None:
        """Requeues the tasks of a suspended job, which was not transferred."""
        job.is_transferring = False
        for task in job.tasks_by_id.values():
            if task.state is TaskState.QUEUED:
                self.enqueue(task)

    def forget(self, job_id: str) -> None:
        """Removes a job that has ended or has been transferred to another shard."""
        job = self.jobs_by_id.pop(job_id)
        for task_id in job.tasks_by_id:
            self._queue.discard(task_id)

    def _find_current_attempt(self, ref: TaskRef) -> tuple[JobEntry, Task] | None:
        found = self.find(ref.task_id)
        if found is None or (found[1].epoch, found[1].attempt) != ref.sort_key:
            return None
        return found

    def _apply_running(self, job: JobEntry, task: Task, worker_id: str, resumed_from: str) -> None:
        self._queue.discard(task.task_id)
        job.transition(task, "reported_running")
        if resumed_from and not task.checkpoint:
            task.checkpoint = resumed_from
            self.changes.record_task(task)
        if not task.worker_id:
            self._place_on_worker(task, worker_id)
            if task.state is TaskState.STOPPING:
                self.add_stop_order(task, checkpoint=False)

    def _apply_end(self, job: JobEntry, task: Task, report: TaskReport) -> None:
        if report.state is ReportState.STOPPED and task.state is not TaskState.STOPPING:
            if task.state is not TaskState.LOST:
                self._end_stopped(job, task)
            return
        if report.state is ReportState.CHECKPOINTED:
            task.checkpoint = report.checkpoint
            task.has_intent = False
        task.detail = report.detail
        self._remove_from_worker(job, task, self._event_for_end(task, report.state))
        if report.state is ReportState.CHECKPOINTED and task.state not in ENDED_STATES:
            self.changes.record_task(task)

    def _event_for_end(self, task: Task, state: ReportState) -> str:
        """Returns the chart event for a reported end; a failed idempotent task may be retried.

        Notifies the outcome listener if the task finished or failed.
        """
        if state is ReportState.FINISHED:
            self._outcomes.on_ended(task.task_id, TaskEnd.FINISHED)
        elif state is ReportState.FAILED:
            decision = self._outcomes.on_ended(task.task_id, TaskEnd.FAILED)
            if task.spec.idempotent and decision is RetryDecision.RETRY:
                return "reported_failed_retry"
        return _EVENT_BY_REPORT[state]

    def _end_stopped(self, job: JobEntry, task: Task) -> None:
        """Ends or requeues a task that its worker has stopped without a checkpoint."""
        if not task.spec.idempotent and task.has_intent:
            self.mark_absent(job, task)
        else:
            self._remove_from_worker(job, task, "reported_stopped")

    def _place_on_worker(self, task: Task, worker_id: str) -> None:
        self._placement.assign(request_for(task.task_id, task.spec), worker_id)
        task.worker_id = worker_id
        self._workers.add_task(task.task_id, worker_id)

    def _remove_from_worker(self, job: JobEntry, task: Task, event: str) -> None:
        was_on_worker = bool(task.worker_id)
        self._workers.remove_task(task.task_id, task.worker_id)
        self._outcomes.on_ended(task.task_id, TaskEnd.LEFT)
        self._placement.release(task.task_id)
        task.worker_id = ""
        state = job.transition(task, event)
        if was_on_worker:
            self._departed_task_ids.append(task.task_id)
        if state is TaskState.QUEUED:
            self._withdraw_intent(task, event)
            self.enqueue(task)
        elif state in ENDED_STATES:
            self._end_task(job, task)

    def _withdraw_intent(self, task: Task, event: str) -> None:
        if event == "start_refused" and task.has_intent:
            task.has_intent = False
            self.changes.record_task(task)

    def _end_task(self, job: JobEntry, task: Task) -> None:
        self._queue.discard(task.task_id)
        self.changes.record_task(task)
        self.record_end(job)


def ref_of(task: Task) -> TaskRef:
    """Returns a reference to the newest attempt at a task."""
    return TaskRef(task.task_id, task.attempt, task.epoch)


def _order_for(task: Task) -> TaskOrder:
    return TaskOrder(
        ref_of(task),
        task.spec.resources,
        task.spec.duration_ms,
        task.spec.task_class,
        task.checkpoint,
    )


def tasks_of(jobs: Iterable[JobEntry]) -> list[tuple[JobEntry, Task]]:
    """Returns every task with its job; compacted jobs have none."""
    return [(job, task) for job in jobs for task in job.tasks_by_id.values()]
