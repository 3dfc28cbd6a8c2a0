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
from pollengate.workflow.placement import can_place
from pollengate.workflow.progress import StepProgress
from pollengate.workflow.start_filter import NoStartFilter, StartFilter

__all__ = ["OverdueStep", "WaitCause", "WaitMonitor"]

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
        if step.job.is_restored and not self._is_settled():
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
