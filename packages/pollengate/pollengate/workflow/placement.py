"""Chooses a worker for each task of a step.

A typical fleet is four fifths full: tasks of one or two seconds share it with long-running serving
tasks. The emptiest worker is preferred, since this keeps interference between tasks low and leaves
room for tasks with a high demand. Fillers go to the workers with the most unused processor time
whose serving tasks they take little headroom from.
"""

import dataclasses
import itertools
from collections.abc import Callable, Iterable, Sequence

from pollengate.failure_evidence import FailureEvidence
from pollengate.interference.filler_placement import (
    MAX_START_STRAIN,
    FillerPlacement,
    may_withhold,
    must_start,
)
from pollengate.interference.latency_model import LatencyModel
from pollengate.workflow.crashes import TRIAL_CRASHES
from pollengate.workflow.fleet import WorkerView
from pollengate.workflow.model import Demand
from pollengate.workflow.progress import Run, StepProgress, TaskProgress
from pollengate.workflow.tickets import TicketCache
from pollengate.workflow.worker_room import WorkerRoom

__all__ = [
    "Placer",
    "StepScores",
    "can_place",
    "count_fitting",
    "count_places",
    "fits_beside_long_running",
    "has_unused_processors",
    "is_allowed",
]

# A filler is placed only where at least this share of its declared processors is unused, so that it
# runs at close to full speed.
FILLER_MIN_UNUSED_SHARE = 0.9
# The penalties below are millicores that are subtracted from a worker's score.
# Penalty for a filler, multiplied by the part of the spare headroom there that it would take.
STRAIN_PENALTY_MILLIS = 20_000
MAX_STRAIN = 10.0
# Penalty for a filler that must start, on a worker on which fillers are blocked.
BLOCKED_PENALTY_MILLIS = 200_000
# Penalty for a serving task, for each other serving image on the worker: the fewer images share a
# worker, the more fillers can run there without interference.
OTHER_IMAGE_PENALTY_MILLIS = 100_000
# Penalty for a serving task, for each filler image that it would newly exclude from the worker.
EXCLUDED_IMAGE_PENALTY_MILLIS = 100_000
# Penalty for any task but a filler on a reserved worker, used only if no other worker has room.
RESERVED_PENALTY_MILLIS = 1_000_000
# Penalty for a serving task, for each task of the same step on the worker.
SAME_STEP_PENALTY_MILLIS = 4_000
# Serving tasks leave this many millicores of a worker free, unless they fit nowhere else.
SERVING_HEADROOM_MILLIS = 8_000
# Penalty for a worker that is still warming up.
COLD_PENALTY_MILLIS = 32_000
# Penalty for a worker on another rack than the task's data.
OTHER_RACK_PENALTY_MILLIS = 40_000


class StepScores:
    """Scores of workers for one step, kept while tasks of the step are placed one after the other.

    A worker's score depends only on the step and the runs on the worker.
    """

    def __init__(self) -> None:
        self._score_by_view: dict[WorkerView, float | None] = {}

    def get(self, view: WorkerView, compute: Callable[[WorkerView], float | None]) -> float | None:
        """Returns a worker's score, None if the step's tasks can't run there."""
        if view not in self._score_by_view:
            self._score_by_view[view] = compute(view)
        return self._score_by_view[view]

    def forget(self, view: WorkerView) -> None:
        """Forgets the score of a worker whose runs have changed."""
        self._score_by_view.pop(view, None)


class Placer:
    """Scores workers for tasks.

    Args:
        evidence: record of which tasks failed on which workers.
        latency_model: expected headroom of serving tasks.
        tickets: tickets for steps of queues that use the advice service.

    Attributes:
        evidence: the same.
        fillers: decides where fillers may start.
    """

    def __init__(
        self, evidence: FailureEvidence, latency_model: LatencyModel, tickets: TicketCache
    ) -> None:
        self.evidence = evidence
        self.fillers = FillerPlacement(latency_model)
        self._tickets = tickets
        self._latency_model = latency_model

    def choose(
        self,
        task: TaskProgress,
        workers: Sequence[WorkerView],
        now: float,
        needs_ticket: bool = False,
        scores: StepScores | None = None,
        candidates: Sequence[WorkerView] | None = None,
    ) -> WorkerView | None:
        """Returns the best worker for a task, None if it fits nowhere.

        Workers on which the task failed come last. A long-running task returns to one of them if
        no other worker has room, any other task only after a while (see `may_return`), or sooner if
        there is no other worker at all, or if they are few and its job has had no run for too
        long. A quarantined worker gets a
        long-running task, which may fail any number of times, sooner than others if no other worker
        has room; while most workers are quarantined, also a task whose job has had no run for too
        long.

        Args:
            task: the task.
            workers: the possible workers.
            now: clock time.
            needs_ticket: whether only workers with a ticket may run it.
            scores: scores for its step, if several tasks of the step are placed.
            candidates: the workers among them that may get it, None for all; see `filler_workers`
                and `UnansweredStarts.allowed`.
        """
        scores = scores or StepScores()
        if candidates is None:
            candidates = workers
        if needs_ticket:
            workers = [v for v in workers if self._tickets.ticket(task.step, v, now)]
            candidates = [v for v in candidates if self._tickets.ticket(task.step, v, now)]
        # The planner does not list workers anew while it plans.
        candidates = [v for v in candidates if v.trial is None or _is_same_gang(v.trial, task)]
        admitted = [
            v for v in candidates if self.evidence.admits(v.worker_id, task.name, task.probe_name)
        ]
        best_of = self._best_worker_for_suspect if task.crashes else self._best_worker
        best = best_of(task, admitted, now, scores)
        if best is None and (
            task.step.spec.is_long_running
            or self.evidence.may_return(task.probe_name)
            or (task.step.job.is_overdue(now) and self._has_failed_on_most(task, workers))
            or not (admitted or self._admits_any(task, workers))
        ):
            healthy = [v for v in candidates if not self.evidence.is_quarantined(v.worker_id)]
            best = best_of(task, healthy, now, scores)
        if best is None and task.step.spec.is_long_running:
            probes = [v for v in candidates if self.evidence.may_probe_early(v.worker_id)]
            best = best_of(task, probes, now, scores)
        if best is None and task.step.job.is_overdue(now) and self._are_most_quarantined(workers):
            untried = [
                v for v in candidates if not self.evidence.has_failed_on(v.worker_id, task.name)
            ]
            best = best_of(task, untried, now, scores)
        return best

    def filler_workers(
        self, step: StepProgress, workers: Sequence[WorkerView], now: float
    ) -> list[WorkerView]:
        """Returns the workers on which a step's fillers may start, whatever other tasks they run.

        They are the same for steps of the same image and demand. Under load most steps of fillers
        wait, and scoring every worker for each of them took 40 ms a plan for 100 steps.
        """
        return [
            view
            for view in workers
            if self._has_processors(step, view, now) and self.fillers.may_start(step, view, now)
        ]

    def _has_processors(self, step: StepProgress, view: WorkerView, now: float) -> bool:
        """Returns True if a worker has processors for a filler of a step."""
        if has_unused_processors(step, view, now):
            return True
        wanted_millis = FILLER_MIN_UNUSED_SHARE * step.spec.demand.cpu_millis
        return must_start(step, now) and self.fillers.idle_millis(view, now) >= wanted_millis

    def has_ticket(self, step: StepProgress, view: WorkerView, now: float) -> bool:
        """Returns True if the advice service allows a step's tasks on a worker."""
        return bool(self._tickets.ticket(step, view, now))

    def ends_sooner_elsewhere(self, run: Run, workers: Sequence[WorkerView], now: float) -> bool:
        """Returns True if a slow filler is worth moving to one of the workers."""
        task = run.task
        used_worker_ids = task.worker_ids
        others = [
            view
            for view in workers
            if view.worker_id not in used_worker_ids
            and can_place(task.step, view)
            and has_unused_processors(task.step, view, now)
            and self.evidence.admits(view.worker_id, task.name, task.probe_name)
        ]
        return self.fillers.ends_sooner_elsewhere(run, others, now)

    def _admits_any(self, task: TaskProgress, workers: Sequence[WorkerView]) -> bool:
        return any(
            self.evidence.admits(view.worker_id, task.name, task.probe_name) for view in workers
        )

    def _are_most_quarantined(self, workers: Sequence[WorkerView]) -> bool:
        """Whether most workers are quarantined, so that tasks are more likely at fault."""
        return 2 * sum(self.evidence.is_quarantined(v.worker_id) for v in workers) > len(workers)

    def _has_failed_on_most(self, task: TaskProgress, workers: Sequence[WorkerView]) -> bool:
        """Whether a task may not return to at least half of the workers on which it is allowed.

        With more of the others, one of them soon has room, and another failure may cost the job.
        """
        allowed = [view for view in workers if is_allowed(task.step, view)]
        admitted = sum(
            self.evidence.admits(view.worker_id, task.name, task.probe_name) for view in allowed
        )
        return 2 * admitted <= len(allowed)

    def _best_worker(
        self, task: TaskProgress, workers: Sequence[WorkerView], now: float, scores: StepScores
    ) -> WorkerView | None:
        step = task.step
        used_worker_ids = task.worker_ids

        def compute(view: WorkerView) -> float | None:
            return self._score(step, view, now) if can_place(step, view) else None

        best = None
        best_score = float("-inf")
        for view in workers:
            if view.worker_id in used_worker_ids:
                continue
            score = scores.get(view, compute)
            if score is not None and score > best_score:
                best, best_score = view, score
        return best

    def _best_worker_for_suspect(
        self, task: TaskProgress, workers: Sequence[WorkerView], now: float, scores: StepScores
    ) -> WorkerView | None:
        """Returns a worker for a task under which workers have crashed, None if there is none.

        It starts beside no other such task if there is a choice, and is tried alone where a crash
        would end the fewest runs.
        """
        apart = [v for v in workers if not any(run.task.crashes for run in v.runs.values())]
        if task.crashes >= TRIAL_CRASHES:
            apart.sort(key=lambda view: len(view.runs))
            groups: Iterable[Sequence[WorkerView]] = ([view] for view in apart)
        else:
            groups = (apart,)
        for group in itertools.chain(groups, (workers,)):
            view = self._best_worker(task, group, now, scores)
            if view is not None:
                return view
        return None

    def _score(self, step: StepProgress, view: WorkerView, now: float) -> float | None:
        spec = step.spec
        score = view.unused_millis()
        if spec.is_filler:
            if not self._has_processors(step, view, now):
                return None
            strain = self.fillers.strain(step, view, now)
            if strain > MAX_START_STRAIN and may_withhold(step, now):
                return None
            score -= STRAIN_PENALTY_MILLIS * min(strain, MAX_STRAIN)
            if now < view.fillers_blocked_until:
                score -= BLOCKED_PENALTY_MILLIS
        else:
            if spec.target_ms:
                score = self._serving_score(step, view)
            if view.is_reserved:
                score -= RESERVED_PENALTY_MILLIS
        if now < view.warm_at:
            score -= COLD_PENALTY_MILLIS
        if spec.data_rack and spec.data_rack != view.info.rack:
            score -= OTHER_RACK_PENALTY_MILLIS
        return score

    def _serving_score(self, step: StepProgress, view: WorkerView) -> float:
        """Scores workers that serve the same image highest, the fullest first, then empty ones."""
        spec = step.spec
        present_images = view.serving_images.keys()
        excluded_images = self._latency_model.excluded_images(present_images)
        newly_excluded = (
            self._latency_model.excluded_images([spec.image]) - excluded_images
            if present_images
            else ()
        )
        free_millis = view.info.capacity.cpu_millis - view.committed_millis - spec.demand.cpu_millis
        score = -float(free_millis) - EXCLUDED_IMAGE_PENALTY_MILLIS * len(newly_excluded)
        score -= OTHER_IMAGE_PENALTY_MILLIS * len(present_images - {spec.image})
        score -= SAME_STEP_PENALTY_MILLIS * step.runs_on(view.worker_id)
        if free_millis < SERVING_HEADROOM_MILLIS:
            score -= OTHER_IMAGE_PENALTY_MILLIS / 2
        return score


def _is_same_gang(run: Run, task: TaskProgress) -> bool:
    """Whether a task is in the gang of a run; the members of a gang are tried together."""
    return task.step.spec.is_gang and run.task.step is task.step


def can_place(step: StepProgress, view: WorkerView) -> bool:
    """Returns True if one more task of a step fits on a worker and is allowed there."""
    return view.fits(step.spec.demand, step.spec.is_filler) and is_allowed(step, view)


def count_places(step: StepProgress, view: WorkerView) -> int:
    """Returns how many more tasks of a step fit on a worker at most; see `can_place`."""
    if not is_allowed(step, view):
        return 0
    spec, capacity = step.spec, view.info.capacity
    free = Demand(
        capacity.cpu_millis - view.committed_millis,
        capacity.memory_mb - view.memory_mb,
        capacity.accelerators - view.accelerators,
    )
    limit = spec.count
    if spec.max_per_worker:
        limit = spec.max_per_worker - step.runs_on(view.worker_id)
    demand = dataclasses.replace(spec.demand, cpu_millis=0) if spec.is_filler else spec.demand
    return max(0, count_fitting(demand, free, limit))


def count_fitting(demand: Demand, free: Demand, limit: int) -> int:
    """Returns how many tasks of a demand find room in free resources, at most the given limit."""
    pairs = (
        (free.cpu_millis, demand.cpu_millis),
        (free.memory_mb, demand.memory_mb),
        (free.accelerators, demand.accelerators),
    )
    return min((limit, *(available // each for available, each in pairs if each)))


def fits_beside_long_running(step: StepProgress, view: WorkerView) -> bool:
    """Returns True if one more task of a step would fit beside a worker's long-running tasks only.

    All other tasks end by themselves within seconds.
    """
    return is_allowed(step, view) and WorkerRoom.of(view).can_hold_later(step)


def is_allowed(step: StepProgress, view: WorkerView) -> bool:
    """Checks the required label and the limit per worker for one more task, but not capacity."""
    spec = step.spec
    if spec.required_label and spec.required_label not in view.info.labels:
        return False
    return not spec.max_per_worker or step.runs_on(view.worker_id) < spec.max_per_worker


def has_unused_processors(step: StepProgress, view: WorkerView, now: float) -> bool:
    """Returns True if a worker has processors for a filler and fillers are not blocked there."""
    wanted_millis = FILLER_MIN_UNUSED_SHARE * step.spec.demand.cpu_millis
    return now >= view.fillers_blocked_until and view.unused_millis() >= wanted_millis
