"""Explains why tasks wait for a start.

A task may wait because its shard is full, although workers of other shards have room, because runs
of an earlier owner may still exist, because its client account has reached its limit, or because no
worker may get it. The causes need different remedies, so each is named.
"""

import dataclasses
import enum
import functools
from collections.abc import Callable

from pollengate.workflow.fleet import WorkerView
from pollengate.workflow.job_table import JobTable
from pollengate.workflow.placement import can_place, fits_beside_long_running
from pollengate.workflow.progress import StepProgress, TaskProgress
from pollengate.workflow.start_filter import NoStartFilter, StartFilter

__all__ = ["OverdueRestart", "OverdueStep", "WaitCause", "WaitMonitor"]

# Plans are made within milliseconds of an event, so that a longer wait has another cause.
OVERDUE_AFTER_S = 2.0
REPEAT_AFTER_S = 5.0


class WaitCause(enum.StrEnum):
    """Why the tasks of a step wait."""

    NO_QUEUE = "no_queue"
    UNSETTLED = "unsettled"
    NO_WORKER = "no_worker"
    NO_CAPACITY = "no_capacity"
    ACCOUNT_LIMIT = "account_limit"
    WITHHELD = "withheld"


@dataclasses.dataclass(frozen=True, slots=True)
class OverdueStep:
    """A step with tasks that have waited for long.

    Attributes:
        step: the step.
        waited_s: how long it has had waiting tasks without a break.
        cause: why they wait.
        workers: number of workers that may get tasks of its service.
        room: number of those that its next task fits on.
    """

    step: StepProgress
    waited_s: float
    cause: WaitCause
    workers: int
    room: int


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
        """Returns the long-running tasks that are overdue; each again after `REPEAT_AFTER_S`."""
        waiting = [
            task
            for step in self._job_table.open_steps
            if step.spec.is_long_running
            for task in step.waiting
            if task.last_run
        ]
        self._restart_since = {task: self._restart_since.get(task, now) for task in waiting}
        self._restart_reported_at = {
            task: at
            for task, at in self._restart_reported_at.items()
            if task in self._restart_since
        }
        workers_of = functools.cache(
            lambda service: self._job_table.fleet.schedulable_workers(service, now)
        )
        overdue = []
        for task, since in self._restart_since.items():
            if now - since < OVERDUE_AFTER_S:
                continue
            if now - self._restart_reported_at.get(task, float("-inf")) < REPEAT_AFTER_S:
                continue
            self._restart_reported_at[task] = now
            overdue.append(self._explain_restart(task, now - since, workers_of))
        return overdue

    def find_overdue(self, now: float) -> list[OverdueStep]:
        """Returns the steps that are overdue; each again after `REPEAT_AFTER_S`."""
        waiting = [step for step in self._job_table.open_steps if step.waiting]
        self._waiting_since = {step: self._waiting_since.get(step, now) for step in waiting}
        self._reported_at = {
            step: at for step, at in self._reported_at.items() if step in self._waiting_since
        }
        workers_of = functools.cache(
            lambda service: self._job_table.fleet.schedulable_workers(service, now)
        )
        overdue = []
        for step, since in self._waiting_since.items():
            if now - since < OVERDUE_AFTER_S:
                continue
            if now - self._reported_at.get(step, float("-inf")) < REPEAT_AFTER_S:
                continue
            self._reported_at[step] = now
            overdue.append(self._explain(step, now - since, workers_of))
        return overdue

    def find_cause(self, step: StepProgress, now: float) -> WaitCause:
        """Returns why the waiting tasks of a step do not start at present."""
        fleet = self._job_table.fleet
        return self._explain(step, 0.0, lambda s: fleet.schedulable_workers(s, now)).cause

    def _explain_restart(
        self,
        task: TaskProgress,
        waited_s: float,
        workers_of: Callable[[str], list[WorkerView]],
    ) -> OverdueRestart:
        step = task.step
        explained = self._explain(step, waited_s, workers_of)
        queue = self._job_table.queue_of(step)
        workers = [] if queue is None else workers_of(queue.service)
        beside = sum(fits_beside_long_running(step, view) for view in workers)
        return OverdueRestart(task, waited_s, explained.cause, explained.room, beside)

    def _explain(
        self,
        step: StepProgress,
        waited_s: float,
        workers_of: Callable[[str], list[WorkerView]],
    ) -> OverdueStep:
        queue = self._job_table.queue_of(step)
        if queue is None:
            return OverdueStep(step, waited_s, WaitCause.NO_QUEUE, 0, 0)
        workers = workers_of(queue.service)
        room = sum(can_place(step, view) for view in workers)
        may_run_unseen = self._job_table.may_run_unseen
        is_restored = step.job.is_restored and not self._is_settled()
        if is_restored and all(may_run_unseen(task) for task in step.waiting):
            cause = WaitCause.UNSETTLED
        elif not workers:
            cause = WaitCause.NO_WORKER
        elif not room:
            cause = WaitCause.NO_CAPACITY
        elif not self._start_filter.count_startable(step):
            cause = WaitCause.ACCOUNT_LIMIT
        else:
            cause = WaitCause.WITHHELD
        return OverdueStep(step, waited_s, cause, len(workers), room)
