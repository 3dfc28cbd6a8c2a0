"""Assigns waiting tasks to workers."""

import dataclasses
from collections.abc import Callable

from pollengate.interference.filler_placement import FillerPlacement, may_withhold, must_start
from pollengate.workflow.cleared_workers import ClearedWorkers
from pollengate.workflow.crashes import may_try_alone
from pollengate.workflow.fleet import WorkerView
from pollengate.workflow.job_table import JobTable
from pollengate.workflow.model import Queue
from pollengate.workflow.ordering import DeadlineOrder, StepOrder, runs_again
from pollengate.workflow.placement import FILLER_MIN_UNUSED_SHARE, Placer, StepScores
from pollengate.workflow.progress import Run, StepProgress, TaskProgress
from pollengate.workflow.start_filter import NoStartFilter, StartFilter

__all__ = ["Planner"]

# Service, image and millicores of fillers, and whether one of them must start.
_FillerKey = tuple[str, str, int, bool]


@dataclasses.dataclass(slots=True)
class _LargestFree:
    """Largest free amount of each resource on any worker; a step that exceeds one fits nowhere."""

    workers: list[WorkerView]
    memory_mb: int
    free_millis: int
    unused_millis: float
    _fillers: FillerPlacement
    _idle_millis: float | None = None

    @classmethod
    def of(cls, workers: list[WorkerView], fillers: FillerPlacement) -> "_LargestFree":
        return cls(
            workers,
            max((v.info.capacity.memory_mb - v.memory_mb for v in workers), default=-1),
            max((v.info.capacity.cpu_millis - v.committed_millis for v in workers), default=-1),
            max((v.unused_millis() for v in workers), default=-1.0),
            fillers,
        )

    def can_place(self, step: StepProgress, now: float) -> bool:
        demand = step.spec.demand
        if demand.memory_mb > self.memory_mb:
            return False
        if step.spec.is_filler:
            wanted_millis = FILLER_MIN_UNUSED_SHARE * demand.cpu_millis
            if wanted_millis <= self.unused_millis:
                return True
            return must_start(step, now) and wanted_millis <= self._largest_idle(now)
        return demand.cpu_millis <= self.free_millis

    def _largest_idle(self, now: float) -> float:
        if self._idle_millis is None:
            self._fillers.refresh(self.workers, now)
            idle = (self._fillers.idle_millis(view, now) for view in self.workers)
            self._idle_millis = max(idle, default=-1.0)
        return self._idle_millis


class Planner:
    """Assigns waiting tasks to workers in order of rank.

    Args:
        job_table: the shard's jobs and runs.
        placer: chooses the worker of each task.
        is_settled: returns True once no unreported run of an earlier owner can exist any more;
            before that, only tasks of jobs that were accepted since the takeover are started, and
            those that have no such run for certain.
        order: decides which steps get workers first.
        start_filter: holds back tasks that may not start although a worker has room.

    Attributes:
        job_table: the same.
        placer: the same.
        is_settled: the same.
        order: the same.
        start_filter: the same.
    """

    def __init__(
        self,
        job_table: JobTable,
        placer: Placer,
        is_settled: Callable[[], bool],
        order: StepOrder | None = None,
        start_filter: StartFilter | None = None,
    ) -> None:
        self.job_table = job_table
        self.placer = placer
        self.is_settled = is_settled
        self.order = order or DeadlineOrder()
        self.start_filter = start_filter or NoStartFilter()

    def plan(self, now: float) -> list[Run]:
        """Adds and returns runs for the waiting tasks that fit on a worker, in order of rank."""
        job_table = self.job_table
        settled = self.is_settled()
        steps = [
            step
            for step in job_table.open_steps
            if step.waiting and (settled or _is_new(step) or self._has_known(step))
        ]
        for step in steps:
            if step.job.idle_since is None and not step.job.run_count:
                step.job.idle_since = now
        self.start_filter.begin_round()
        largest_free_by_service: dict[str, _LargestFree] = {}
        # While a plan is made, runs are only added, so that no further worker can get headroom.
        candidates_by_filler: dict[_FillerKey, list[WorkerView]] = {}
        cleared_by_service: dict[str, ClearedWorkers] = {}
        planned: list[Run] = []
        for step in self.order.arrange(steps, job_table.queue_of, now):
            queue = job_table.queue_of(step)
            if queue is None:
                continue
            largest_free = largest_free_by_service.get(queue.service)
            if largest_free is None:
                largest_free = _LargestFree.of(
                    job_table.fleet.schedulable_workers(queue.service, now), self.placer.fillers
                )
            if largest_free.can_place(step, now):
                placed = self._place_step(
                    step, queue, largest_free.workers, candidates_by_filler, now
                )
                planned += placed
                if placed:
                    largest_free = _LargestFree.of(largest_free.workers, self.placer.fillers)
            cleared = cleared_by_service.setdefault(queue.service, ClearedWorkers())
            if self._clear_workers(cleared, step, queue, largest_free.workers, now):
                # A worker that is kept clear is no candidate for the steps that follow.
                largest_free = _LargestFree.of(
                    [view for view in largest_free.workers if view not in cleared],
                    self.placer.fillers,
                )
                candidates_by_filler.clear()
            largest_free_by_service[queue.service] = largest_free
        return planned

    def ends_sooner_elsewhere(self, run: Run, now: float) -> bool:
        """Returns True if a slow filler is worth moving to another worker."""
        queue = self.job_table.queue_of(run.task.step)
        if queue is None:
            return False
        workers = self.job_table.fleet.schedulable_workers(queue.service, now)
        return self.placer.ends_sooner_elsewhere(run, workers, now)

    def _clear_workers(
        self,
        cleared: ClearedWorkers,
        step: StepProgress,
        queue: Queue,
        workers: list[WorkerView],
        now: float,
    ) -> bool:
        """Keeps workers clear for tasks of a step that run again and fit nowhere at present."""
        if not runs_again(step) or step.spec.is_gang:
            return False
        if not self.start_filter.count_startable(step):
            return False
        evidence = self.job_table.evidence
        possible = [
            view
            for view in workers
            if view.trial is None
            and not evidence.is_quarantined(view.worker_id)
            and (queue.advice is None or self.placer.has_ticket(step, view, now))
        ]
        return cleared.clear_for(step, possible)

    def _place_step(
        self,
        step: StepProgress,
        queue: Queue,
        workers: list[WorkerView],
        candidates_by_filler: dict[_FillerKey, list[WorkerView]],
        now: float,
    ) -> list[Run]:
        if step.spec.is_gang:
            return self._place_gang(step, queue, workers, now)
        runs = []
        scores = StepScores()
        is_urgent = must_start(step, now)
        candidates: list[WorkerView] | None = None
        if is_urgent or may_withhold(step, now):
            key = (queue.service, step.spec.image, step.spec.demand.cpu_millis, is_urgent)
            candidates = candidates_by_filler.get(key)
            if candidates is None:
                self.placer.fillers.refresh(workers, now)
                candidates = self.placer.filler_workers(step, workers, now)
                candidates_by_filler[key] = candidates
        for task in list(step.waiting):
            if not (self.order.may_take(step) and self.start_filter.startable(step)):
                break
            if not self.job_table.is_recorded(task) or self._may_run_unseen(task):
                continue
            view = self.placer.choose(
                task, workers, now, queue.advice is not None, scores, candidates
            )
            if view is None and (task.crashes or self.placer.evidence.has_failed(task.name)):
                continue  # its siblings may run where it may not
            if view is None:
                break
            runs.append(self._add_run(task, view, self.job_table.next_run_number(task), now))
            scores.forget(view)
            if step.spec.is_filler:
                self.placer.fillers.refresh((view,), now)
            if is_urgent:
                break  # its siblings wait for headroom
        return runs

    def _place_gang(
        self, step: StepProgress, queue: Queue, workers: list[WorkerView], now: float
    ) -> list[Run]:
        """Adds runs with the same number for all tasks of a gang, or for none of them."""
        if len(step.waiting) < step.spec.count:
            return []
        if not self.order.may_take(step):
            return []
        if self.start_filter.startable(step) < step.spec.count:
            return []
        if not all(self.job_table.is_recorded(task) for task in step.waiting):
            return []
        if any(self._may_run_unseen(task) for task in step.waiting):
            return []
        number = max(self.job_table.next_run_number(task) for task in step.tasks)
        runs: list[Run] = []
        for task in list(step.waiting):
            view = self.placer.choose(task, workers, now, queue.advice is not None)
            if view is None:
                for run in runs:
                    self.job_table.mark_rejected(run)
                return []
            runs.append(self._add_run(task, view, number, now))
        return runs

    def _has_known(self, step: StepProgress) -> bool:
        """Whether a waiting task of a restored step certainly has no run."""
        return not all(self.job_table.may_run_unseen(task) for task in step.waiting)

    def _may_run_unseen(self, task: TaskProgress) -> bool:
        """Whether a task may have a run of an earlier owner that is not known yet."""
        if _is_new(task.step) or self.is_settled():
            return False
        return self.job_table.may_run_unseen(task)

    def _add_run(self, task: TaskProgress, view: WorkerView, number: int, now: float) -> Run:
        self.job_table.evidence.record_placement(task.name, task.step.job.job_id, view.worker_id)
        run = self.job_table.add_run(task, view, number, now)
        if may_try_alone(task, self.job_table.fleet.workers_by_id.values()):
            view.trial = run
        return run


def _is_new(step: StepProgress) -> bool:
    return not step.job.is_restored
