"""Keeps workers free of long-running tasks for tasks that need most of a worker.

Long-running tasks keep their processors until their job is cancelled. A fleet that is two thirds
full of them has some on every worker, so that a large task finds no room although a third of all
processors are free. Reserved workers get other tasks only if these fit nowhere else, and their
long-running tasks move away. The number of reserved workers follows the tasks that found no room.
"""

import dataclasses
import math

from pollengate.workflow.fleet import WorkerView
from pollengate.workflow.job_table import JobTable
from pollengate.workflow.moves import fit_together, is_in_touch, may_stop_to_move
from pollengate.workflow.placement import can_place, is_allowed
from pollengate.workflow.progress import Run, StepProgress
from pollengate.workflow.start_filter import NoStartFilter, StartFilter

__all__ = ["LargeTaskReserve"]

UPDATE_INTERVAL_S = 0.25
# A reserved worker that no large task has needed for this long is returned.
IDLE_RESERVE_S = 20.0
# Largest share of a shard's workers that is reserved.
MAX_RESERVED_SHARE = 0.2
# A task that was moved is not moved again for this long.
MIN_STAY_S = 10.0


@dataclasses.dataclass(slots=True)
class _Reserved:
    """A reserved worker.

    Attributes:
        view: the worker.
        needed_at: clock time at which it last had a task other than long-running ones and fillers,
            or was reserved.
    """

    view: WorkerView
    needed_at: float


class LargeTaskReserve:
    """Reserves workers of one shard for large tasks.

    Args:
        job_table: the shard's jobs, runs and workers.
        start_filter: holds back tasks that room would not help to start.
    """

    def __init__(self, job_table: JobTable, start_filter: StartFilter | None = None) -> None:
        self._job_table = job_table
        self._start_filter = start_filter or NoStartFilter()
        self._updated_at = float("-inf")
        self._reserved_by_id: dict[str, _Reserved] = {}
        self._moved_at_by_task: dict[str, float] = {}
        # Kept for one update, as the answer is the same for all blocked steps.
        self._fits_elsewhere_by_view: dict[WorkerView, bool] = {}

    def update(self, now: float) -> list[Run]:
        """Adapts the reserve; returns long-running runs to stop so that they move off it."""
        if now - self._updated_at < UPDATE_INTERVAL_S:
            return []
        self._updated_at = now
        self._return_idle(now)
        self._fits_elsewhere_by_view.clear()
        for step in self._blocked_steps(now):
            self._reserve_for(step, now)
        return self._runs_to_move(now)

    def _return_idle(self, now: float) -> None:
        for worker_id, reserved in list(self._reserved_by_id.items()):
            view = reserved.view
            if any(_needs_reserve(run.task.step) for run in view.runs.values()):
                reserved.needed_at = now
            is_gone = self._job_table.fleet.workers_by_id.get(worker_id) is not view
            if is_gone or now - reserved.needed_at > IDLE_RESERVE_S:
                view.is_reserved = False
                del self._reserved_by_id[worker_id]

    def _blocked_steps(self, now: float) -> list[StepProgress]:
        """Returns the steps with a waiting task that fits on no worker."""
        blocked = []
        for step in self._job_table.open_steps:
            if step.waiting and _needs_reserve(step) and self._start_filter.count_startable(step):
                workers = self._workers(step, now)
                if not any(can_place(step, view) for view in workers):
                    blocked.append(step)
        return blocked

    def _reserve_for(self, step: StepProgress, now: float) -> None:
        """Reserves workers for the waiting tasks of a step, within the limit."""
        workers = self._workers(step, now)
        demand_millis = max(1, step.spec.demand.cpu_millis)
        being_vacated = [v for v in workers if v.is_reserved and v.long_running]
        unplaced = len(step.waiting) - sum(_places(v, demand_millis) for v in being_vacated)
        limit = math.ceil(MAX_RESERVED_SHARE * len(workers))
        candidates = [v for v in workers if not v.is_reserved and _may_vacate(v, step)]
        candidates.sort(key=lambda view: (view.committed_millis, view.worker_id))
        for view in candidates:
            if unplaced <= 0 or len(self._reserved_by_id) >= limit:
                return
            if not self._fits_elsewhere(view, workers):
                continue
            view.is_reserved = True
            self._fits_elsewhere_by_view.clear()
            self._reserved_by_id[view.worker_id] = _Reserved(view, now)
            unplaced -= _places(view, demand_millis)

    def _runs_to_move(self, now: float) -> list[Run]:
        """Returns the long-running runs on reserved workers that may stop and fit elsewhere."""
        runs = []
        stopped_steps: set[StepProgress] = set()
        for reserved in self._reserved_by_id.values():
            workers = self._job_table.fleet.schedulable_workers(reserved.view.info.service, now)
            for run in reserved.view.long_running:
                step = run.task.step
                moved_at = self._moved_at_by_task.get(run.task.name, float("-inf"))
                if step in stopped_steps or now - moved_at < MIN_STAY_S:
                    continue
                if (
                    may_stop_to_move(run)
                    and is_in_touch(step, self._job_table.fleet, now)
                    and any(not view.is_reserved and can_place(step, view) for view in workers)
                ):
                    stopped_steps.add(step)
                    self._moved_at_by_task[run.task.name] = now
                    runs.append(run)
        return runs

    def _workers(self, step: StepProgress, now: float) -> list[WorkerView]:
        queue = self._job_table.queue_of(step)
        if queue is None:
            return []
        return self._job_table.fleet.schedulable_workers(queue.service, now)

    def _fits_elsewhere(self, view: WorkerView, workers: list[WorkerView]) -> bool:
        known = self._fits_elsewhere_by_view.get(view)
        if known is None:
            others = [other for other in workers if other is not view and not other.is_reserved]
            known = fit_together(view.long_running, others, lambda step, other: True)
            self._fits_elsewhere_by_view[view] = known
        return known


def _needs_reserve(step: StepProgress) -> bool:
    """Whether tasks of a step may need a reserved worker: they end soon and count as load."""
    return not step.spec.is_long_running and not step.spec.is_filler


def _may_vacate(view: WorkerView, step: StepProgress) -> bool:
    """Whether a task of a step would fit on a worker without its long-running tasks."""
    demand, capacity = step.spec.demand, view.info.capacity
    return (
        bool(view.long_running)
        and is_allowed(step, view)
        and demand.cpu_millis <= capacity.cpu_millis
        and demand.memory_mb <= capacity.memory_mb
        and demand.accelerators <= capacity.accelerators
    )


def _places(view: WorkerView, demand_millis: int) -> int:
    """Returns how many tasks of a demand an empty worker holds."""
    return view.info.capacity.cpu_millis // demand_millis
