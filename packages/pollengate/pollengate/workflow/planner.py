"""Assigns waiting tasks to workers."""

import dataclasses
import functools
import math
from collections.abc import Callable

from pollengate.errors import InvariantViolation
from pollengate.interference.filler_placement import FillerPlacement, may_withhold, must_start
from pollengate.workflow.cleared_workers import ClearedWorkers
from pollengate.workflow.crashes import may_try_alone
from pollengate.workflow.decision_guard import Attempt, DecisionGuard, changing_job_table
from pollengate.workflow.fleet import WorkerView
from pollengate.workflow.job_table import JobTable
from pollengate.workflow.model import Queue
from pollengate.workflow.ordering import DeadlineOrder, StepOrder, runs_again
from pollengate.workflow.placement import (
    FILLER_MIN_UNUSED_SHARE,
    Placer,
    StepScores,
    count_places,
)
from pollengate.workflow.progress import Run, StepProgress, TaskProgress
from pollengate.workflow.start_filter import NoStartFilter, StartFilter

__all__ = ["Planner"]

# Service, image and millicores of fillers, and whether one of them must start.
_FillerKey = tuple[str, str, int, bool]

# Kind of the decision where a step's tasks start.
START_DECISION = "start"
# If the steps of several jobs fail for this long and those of no other job succeed, the cause is
# not in one job, and a new owner, which begins without this one's estimates, may do better.
MAX_FAILING_S = 3.0


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


@dataclasses.dataclass(slots=True)
class _Round:
    """What one plan knows so far.

    Attributes:
        now: clock time.
        is_settled: whether no unreported run of an earlier owner can exist any more.
        max_runs: number of runs that it may add.
        runs: the runs that it has added.
        largest_free_by_service: free resources of each service's workers.
        candidates_by_filler: workers on which fillers may start. While a plan is made, runs are
            only added, so that no further worker can get headroom.
        cleared_by_service: workers that are kept clear.
        has_succeeded: whether a step was planned without an error.
        failed_job_ids: jobs of which a step was not.
    """

    now: float
    is_settled: bool
    max_runs: float = math.inf
    runs: list[Run] = dataclasses.field(default_factory=list)
    largest_free_by_service: dict[str, _LargestFree] = dataclasses.field(default_factory=dict)
    candidates_by_filler: dict[_FillerKey, list[WorkerView]] = dataclasses.field(
        default_factory=dict
    )
    cleared_by_service: dict[str, ClearedWorkers] = dataclasses.field(default_factory=dict)
    has_succeeded: bool = False
    failed_job_ids: set[str] = dataclasses.field(default_factory=set)

    @property
    def is_full(self) -> bool:
        """Whether it may add no more runs."""
        return len(self.runs) >= self.max_runs


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
        guard: contains the error of a step's decision, so that the other steps are planned; by
            default, no error is contained.

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
        guard: DecisionGuard | None = None,
    ) -> None:
        self.job_table = job_table
        self.placer = placer
        self.is_settled = is_settled
        self.order = order or DeadlineOrder()
        self.start_filter = start_filter or NoStartFilter()
        self._guard = guard or DecisionGuard()
        # Jobs whose steps failed since a step was last planned without an error.
        self._failed_job_ids: set[str] = set()
        self._failing_since = self._failed_at = float("-inf")

    def plan(self, now: float, max_runs: float = math.inf) -> list[Run]:
        """Adds and returns runs for the waiting tasks that fit on a worker, in order of rank.

        Args:
            now: clock time.
            max_runs: number of runs after which the plan ends; only a gang may exceed it.

        Raises:
            InvariantViolation: the job table could not be changed, or no step can be planned.
        """
        job_table = self.job_table
        settled = self.is_settled()
        steps = [
            step
            for step in job_table.open_steps
            if step.waiting
            and (settled or _is_new(step) or not job_table.may_only_run_unseen(step))
        ]
        for step in steps:
            if step.job.idle_since is None and not step.job.run_count:
                step.job.idle_since = now
        self.start_filter.begin_round()
        plan = _Round(now, settled, max_runs)
        for step in self.order.arrange(steps, job_table.queue_of, now):
            if plan.is_full:
                break
            queue = job_table.queue_of(step)
            if queue is None:
                continue
            attempt = self._guard.attempt(
                START_DECISION, step, now, functools.partial(self._plan_step, step, queue, plan)
            )
            if attempt is Attempt.FAILED:
                # It may have added runs before.
                plan.largest_free_by_service.pop(queue.service, None)
                plan.candidates_by_filler.clear()
                plan.failed_job_ids.add(step.job.job_id)
            elif attempt is Attempt.DONE:
                plan.has_succeeded = True
        self._check_failures(plan)
        return plan.runs

    def _plan_step(self, step: StepProgress, queue: Queue, plan: _Round) -> None:
        """Starts the tasks of a step that fit, and keeps workers clear for the others."""
        now, fillers = plan.now, self.placer.fillers
        largest_free = plan.largest_free_by_service.get(queue.service)
        cleared = plan.cleared_by_service.setdefault(queue.service, ClearedWorkers())
        if largest_free is None:
            workers = self.job_table.fleet.schedulable_workers(queue.service, now)
            largest_free = _LargestFree.of([v for v in workers if v not in cleared], fillers)
        if largest_free.can_place(step, now):
            added_before = len(plan.runs)
            self._place_step(step, queue, largest_free.workers, plan)
            if len(plan.runs) > added_before:
                largest_free = _LargestFree.of(largest_free.workers, fillers)
        if self._clear_workers(cleared, step, queue, largest_free.workers, now):
            # A worker that is kept clear is no candidate for the steps that follow.
            largest_free = _LargestFree.of(
                [view for view in largest_free.workers if view not in cleared], fillers
            )
            plan.candidates_by_filler.clear()
        plan.largest_free_by_service[queue.service] = largest_free

    def _check_failures(self, plan: _Round) -> None:
        if plan.has_succeeded or plan.now - self._failed_at > MAX_FAILING_S:
            self._failed_job_ids.clear()
        if plan.has_succeeded or not plan.failed_job_ids:
            return
        if not self._failed_job_ids:
            self._failing_since = plan.now
        self._failed_at = plan.now
        self._failed_job_ids |= plan.failed_job_ids
        failing_s = plan.now - self._failing_since
        if len(self._failed_job_ids) > 1 and failing_s >= MAX_FAILING_S:
            raise InvariantViolation(f"no step could be planned for {failing_s:.1f} s")

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
        plan: _Round,
    ) -> None:
        now = plan.now
        if step.spec.is_gang:
            plan.runs += self._place_gang(step, queue, workers, plan)
            return
        scores = StepScores()
        is_urgent = must_start(step, now)
        candidates: list[WorkerView] | None = None
        if is_urgent or may_withhold(step, now):
            key = (queue.service, step.spec.image, step.spec.demand.cpu_millis, is_urgent)
            candidates = plan.candidates_by_filler.get(key)
            if candidates is None:
                self.placer.fillers.refresh(workers, now)
                candidates = self.placer.filler_workers(step, workers, now)
                plan.candidates_by_filler[key] = candidates
        unanswered = self.job_table.unanswered_starts
        # Tasks that failed on the same workers may start on the same others.
        unplaced: set[frozenset[str]] = set()
        for task in step.waiting.walk():
            if plan.is_full or not self.order.may_take(step):
                break
            if not self.start_filter.startable(step):
                break
            if not self.job_table.is_recorded(task) or self._may_run_unseen(task, plan):
                continue
            failed_ids = self.placer.evidence.failed_worker_ids(task.name)
            is_held = unanswered.holds(task, now)
            is_ordinary = not (task.crashes or task.runs_by_number or is_held)
            if is_ordinary and failed_ids in unplaced:
                continue
            possible = workers if candidates is None else candidates
            allowed = unanswered.allowed(task, possible, now)
            view = self.placer.choose(task, workers, now, queue.advice is not None, scores, allowed)
            if view is None and (is_held or self._has_fewer_workers(task)):
                if is_ordinary:
                    unplaced.add(failed_ids)
                continue  # its siblings may run where it may not
            if view is None:
                break
            number = self.job_table.next_run_number(task)
            plan.runs.append(self._add_run(task, view, number, now))
            scores.forget(view)
            if step.spec.is_filler:
                self.placer.fillers.refresh((view,), now)
            if is_urgent:
                break  # its siblings wait for headroom

    def _has_fewer_workers(self, task: TaskProgress) -> bool:
        """Returns True if some worker may get a task's siblings, but not the task itself."""
        return bool(
            task.crashes or task.runs_by_number or self.placer.evidence.has_failed(task.name)
        )

    def _place_gang(
        self, step: StepProgress, queue: Queue, workers: list[WorkerView], plan: _Round
    ) -> list[Run]:
        """Adds runs with the same number for all tasks of a gang, or for none of them."""
        if len(step.waiting) < step.spec.count:
            return []
        if not self.order.may_take(step):
            return []
        if self.start_filter.startable(step) < step.spec.count:
            return []
        if sum(count_places(step, view) for view in workers) < step.spec.count:
            return []  # placing its members one by one would take far longer to find out
        if not all(self.job_table.is_recorded(task) for task in step.waiting):
            return []
        if any(self._may_run_unseen(task, plan) for task in step.waiting):
            return []
        now = plan.now
        number = max(self.job_table.next_run_number(task) for task in step.tasks)
        runs: list[Run] = []
        scores = StepScores()
        is_complete = False
        try:
            for task in list(step.waiting):
                allowed = self.job_table.unanswered_starts.allowed(task, workers, now)
                view = self.placer.choose(
                    task, workers, now, queue.advice is not None, scores, allowed
                )
                if view is None:
                    return []
                runs.append(self._add_run(task, view, number, now))
                scores.forget(view)
            is_complete = True
        finally:
            if not is_complete:
                with changing_job_table():
                    for run in runs:
                        self.job_table.mark_rejected(run)
        return runs

    def _may_run_unseen(self, task: TaskProgress, plan: _Round) -> bool:
        """Whether a task may have a run of an earlier owner that is not known yet."""
        if plan.is_settled or _is_new(task.step):
            return False
        return self.job_table.may_run_unseen(task)

    def _add_run(self, task: TaskProgress, view: WorkerView, number: int, now: float) -> Run:
        with changing_job_table():
            job_id = task.step.job.job_id
            self.job_table.evidence.record_placement(
                task.name, job_id, view.worker_id, task.probe_name
            )
            run = self.job_table.add_run(task, view, number, now)
            if may_try_alone(task, self.job_table.fleet.workers_by_id.values()):
                view.trial = run
            return run


def _is_new(step: StepProgress) -> bool:
    return not step.job.is_restored
