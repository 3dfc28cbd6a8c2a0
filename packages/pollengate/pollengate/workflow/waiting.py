"""Explains why tasks wait for a start.

A task may wait because its shard is full, although workers of other shards have room, because runs
of an earlier owner may still exist, because its client account has reached its limit, or because no
worker may get it. The causes need different remedies, so each is named.
"""

import collections
import dataclasses
import enum
import functools
from collections.abc import Callable

from pollengate.workflow.fleet import WorkerView
from pollengate.workflow.job_table import JobTable
from pollengate.workflow.placement import can_place, fits_beside_long_running
from pollengate.workflow.progress import StepProgress, TaskProgress
from pollengate.workflow.start_filter import NoStartFilter, StartFilter

__all__ = [
    "OverdueRestart",
    "OverdueStep",
    "WaitCause",
    "WaitMonitor",
    "Withheld",
    "waiting_filler_millis",
]

# Plans are made within milliseconds of an event, so that a longer wait has another cause.
OVERDUE_AFTER_S = 2.0
REPEAT_AFTER_S = 5.0
# Long-running tasks that are reported at a time.
MAX_RESTARTS = 50


class WaitCause(enum.StrEnum):
    """Why the tasks of a step wait."""

    NO_QUEUE = "no_queue"
    UNSETTLED = "unsettled"
    NO_WORKER = "no_worker"
    NO_CAPACITY = "no_capacity"
    ACCOUNT_LIMIT = "account_limit"
    WITHHELD = "withheld"


class Withheld(enum.StrEnum):
    """Why a worker with room does not get a waiting task.

    Attributes:
        RUNS_THERE: a run of the task may exist there.
        NOT_RECORDED: crashes under the task are not durable yet.
        UNANSWERED_START: another worker may still carry out a start of the task.
        QUARANTINED: tasks of several jobs failed there, and no probe is due.
        FAILED_THERE: the task failed there.
        FILLERS: no headroom or processors for a filler, or fillers are blocked there.
        OTHER: none of these, for example a worker that is kept clear.
    """

    RUNS_THERE = "runs_there"
    NOT_RECORDED = "not_recorded"
    UNANSWERED_START = "unanswered_start"
    QUARANTINED = "quarantined"
    FAILED_THERE = "failed_there"
    FILLERS = "fillers"
    OTHER = "other"


@dataclasses.dataclass(frozen=True, slots=True)
class OverdueStep:
    """A step with tasks that have waited for long.

    Attributes:
        step: the step.
        waited_s: how long it has had waiting tasks without a break.
        cause: why they wait.
        workers: number of workers that may get tasks of its service.
        room: number of those that its next task fits on.
        withheld: number of these by the reason for which they do not get that task.
        on_trial: number of workers that get nothing beside a task that is tried alone.
    """

    step: StepProgress
    waited_s: float
    cause: WaitCause
    workers: int
    room: int
    withheld: dict[Withheld, int] = dataclasses.field(default_factory=dict)
    on_trial: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class OverdueRestart:
    """A long-running task that has run before and has waited for long to run again.

    Attributes:
        task: the task.
        waited_s: how long it has waited.
        cause: why it waits.
        room: number of workers that it fits on.
        room_beside_long_running: number of workers that it would fit on if all tasks there but the
            long-running ones had ended.
    """

    task: TaskProgress
    waited_s: float
    cause: WaitCause
    room: int
    room_beside_long_running: int


def waiting_filler_millis(job_table: JobTable, since: float) -> dict[str, int]:
    """Returns the millicores by image that fillers wait for in steps opened before `since`."""
    waiting: dict[str, int] = {}
    for step in job_table.open_steps:
        if step.spec.is_filler and step.waiting and step.opened_at < since:
            wanted = len(step.waiting) * step.spec.demand.cpu_millis
            waiting[step.spec.image] = waiting.get(step.spec.image, 0) + wanted
    return waiting


class WaitMonitor:
    """Finds the steps of a shard whose tasks wait for long.

    Args:
        job_table: the shard's jobs and runs.
        is_settled: whether no unreported run of an earlier owner can exist any more.
        start_filter: holds back tasks that may not start although a worker has room.
    """

    def __init__(
        self,
        job_table: JobTable,
        is_settled: Callable[[], bool],
        start_filter: StartFilter | None = None,
    ) -> None:
        self._job_table = job_table
        self._is_settled = is_settled
        self._start_filter = start_filter or NoStartFilter()
        self._waiting_since: dict[StepProgress, float] = {}
        self._reported_at: dict[StepProgress, float] = {}
        self._restart_since: dict[TaskProgress, float] = {}
        self._restart_reported_at: dict[TaskProgress, float] = {}

    def longest_restart_wait_s(self, now: float) -> float:
        """Returns how long a long-running task has waited to run again, 0 if none waits.

        It refers to the last call of `find_overdue_restarts`.
        """
        return max((now - since for since in self._restart_since.values()), default=0.0)

    def find_overdue_restarts(self, now: float) -> list[OverdueRestart]:
        """Returns long-running tasks that are overdue; each again after `REPEAT_AFTER_S`.

        They are at most `MAX_RESTARTS` at a time, each in its turn.
        """
        waiting = [
            task
            for step in self._job_table.open_steps
            if step.spec.is_long_running
            for task in step.waiting.kept()
            if task.has_run
        ]
        # A start that is under way may be refused, and the task has waited all the while.
        starting = [task for task in self._restart_since if task.is_starting]
        self._restart_since = {
            task: self._restart_since.get(task, now) for task in [*waiting, *starting]
        }
        self._restart_reported_at = {
            task: at
            for task, at in self._restart_reported_at.items()
            if task in self._restart_since
        }
        workers_of = functools.cache(
            lambda service: self._job_table.fleet.schedulable_workers(service, now)
        )
        explain = functools.cache(lambda step: self._explain_restart(step, now, workers_of))
        overdue: list[OverdueRestart] = []
        for task, since in self._restart_since.items():
            if now - since < OVERDUE_AFTER_S or task.is_starting:
                continue
            if now - self._restart_reported_at.get(task, float("-inf")) < REPEAT_AFTER_S:
                continue
            if len(overdue) == MAX_RESTARTS:
                break  # the others have their turn while these are not due again
            self._restart_reported_at[task] = now
            overdue.append(OverdueRestart(task, now - since, *explain(task.step)))
        return overdue

    def find_overdue(self, now: float) -> list[OverdueStep]:
        """Returns the steps that are overdue; each again after `REPEAT_AFTER_S`."""
        waiting = [step for step in self._job_table.open_steps if step.waiting]
        starting = [
            step
            for step in self._waiting_since
            if not step.waiting and any(task.is_starting for task in step.tasks.kept())
        ]
        self._waiting_since = {
            step: self._waiting_since.get(step, now) for step in [*waiting, *starting]
        }
        self._reported_at = {
            step: at for step, at in self._reported_at.items() if step in self._waiting_since
        }
        workers_of = functools.cache(
            lambda service: self._job_table.fleet.schedulable_workers(service, now)
        )
        overdue = []
        for step, since in self._waiting_since.items():
            if now - since < OVERDUE_AFTER_S or not step.waiting:
                continue
            if now - self._reported_at.get(step, float("-inf")) < REPEAT_AFTER_S:
                continue
            self._reported_at[step] = now
            overdue.append(self._explain(step, now, now - since, workers_of))
        return overdue

    def find_cause(self, step: StepProgress, now: float) -> WaitCause:
        """Returns why the waiting tasks of a step do not start at present."""
        fleet = self._job_table.fleet
        return self._explain(step, now, 0.0, lambda s: fleet.schedulable_workers(s, now)).cause

    def _explain_restart(
        self, step: StepProgress, now: float, workers_of: Callable[[str], list[WorkerView]]
    ) -> tuple[WaitCause, int, int]:
        """Returns cause and room, see `OverdueRestart`; they are the same for a step's tasks."""
        explained = self._explain(step, now, 0.0, workers_of)
        queue = self._job_table.queue_of(step)
        workers = [] if queue is None else workers_of(queue.service)
        beside = sum(fits_beside_long_running(step, view) for view in workers)
        return explained.cause, explained.room, beside

    def _explain(
        self,
        step: StepProgress,
        now: float,
        waited_s: float,
        workers_of: Callable[[str], list[WorkerView]],
    ) -> OverdueStep:
        queue = self._job_table.queue_of(step)
        if queue is None:
            return OverdueStep(step, waited_s, WaitCause.NO_QUEUE, 0, 0)
        workers = workers_of(queue.service)
        with_room = [view for view in workers if can_place(step, view)]
        room = len(with_room)
        is_restored = step.job.is_restored and not self._is_settled()
        if is_restored and self._job_table.may_only_run_unseen(step):
            cause = WaitCause.UNSETTLED
        elif not workers:
            cause = WaitCause.NO_WORKER
        elif not room:
            cause = WaitCause.NO_CAPACITY
        elif not self._start_filter.count_startable(step):
            cause = WaitCause.ACCOUNT_LIMIT
        else:
            cause = WaitCause.WITHHELD
        withheld: collections.Counter[Withheld] = collections.Counter()
        if cause is WaitCause.WITHHELD:
            withheld.update(self._withheld_by(step, view, now) for view in with_room)
        views = self._job_table.fleet.workers_by_id.values()
        on_trial = sum(view.trial is not None for view in views)
        return OverdueStep(step, waited_s, cause, len(workers), room, withheld, on_trial)

    def _withheld_by(self, step: StepProgress, view: WorkerView, now: float) -> Withheld:
        """Returns why the next task of a step does not get a worker with room."""
        evidence = self._job_table.evidence
        task = step.waiting.first or step.tasks.peek(0)
        if not self._job_table.is_recorded(task):
            return Withheld.NOT_RECORDED
        if view.worker_id in task.worker_ids:
            return Withheld.RUNS_THERE
        if not self._job_table.unanswered_starts.allowed(task, (view,), now):
            return Withheld.UNANSWERED_START
        if not evidence.admits(view.worker_id, task.name, task.probe_name):
            is_quarantined = evidence.is_quarantined(view.worker_id)
            return Withheld.QUARANTINED if is_quarantined else Withheld.FAILED_THERE
        return Withheld.FILLERS if step.spec.is_filler else Withheld.OTHER
