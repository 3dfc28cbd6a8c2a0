"""Chooses a worker for each task of a step.

A typical fleet is four fifths full: tasks of one or two seconds share it with long-running serving
tasks. The emptiest worker is preferred, since this keeps interference between tasks low and leaves
room for tasks with a high demand. Fillers go to the workers with the most unused processor time,
away from serving tasks that they interfere with.
"""

import itertools
from collections.abc import Callable, Iterable, Sequence

from pollengate.failure_evidence import FailureEvidence
from pollengate.learning.doubtful_starts import DoubtfulStarts
from pollengate.workflow.colocation import INTERFERING_PROBABILITY, ColocationModel
from pollengate.workflow.crashes import TRIAL_CRASHES
from pollengate.workflow.fleet import WorkerView
from pollengate.workflow.model import Queue
from pollengate.workflow.progress import StepProgress, TaskProgress
from pollengate.workflow.tickets import TicketCache

__all__ = ["Placer", "StepScores", "can_place", "gives_full_speed", "is_allowed", "may_withhold"]

# A filler is placed only where at least this share of its declared processors is unused, so that it
# runs at close to full speed.
FILLER_MIN_UNUSED_SHARE = 0.9
# The penalties below are millicores that are subtracted from a worker's score.
# Penalty for a filler, multiplied by the probability that it interferes with serving tasks there.
INTERFERENCE_PENALTY_MILLIS = 60_000
# If a step's fillers probably interfere on every worker, the step waits this long for a better one,
# or less if doubtful starts are allowed. After that it runs, throttled if need be, where
# interference is least likely; this also tests whether the learned probability is still right.
INTERFERENCE_FREE_WAIT_S = 20.0
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

    Args:
        doubtful_below: probability of interference below which the step's fillers may start now
            although they would be withheld otherwise, 0 if they may not.

    Attributes:
        doubtful_below: the same.
        doubtful_by_view: workers on which only a doubtful start is possible, with the negated
            probability of interference and the score.
    """

    def __init__(self, doubtful_below: float = 0.0) -> None:
        self.doubtful_below = doubtful_below
        self.doubtful_by_view: dict[WorkerView, tuple[float, float]] = {}
        self._score_by_view: dict[WorkerView, float | None] = {}

    def get(self, view: WorkerView, compute: Callable[[WorkerView], float | None]) -> float | None:
        """Returns a worker's score, None if the step's tasks can't run there."""
        if view not in self._score_by_view:
            self._score_by_view[view] = compute(view)
        return self._score_by_view[view]

    def forget(self, view: WorkerView) -> None:
        """Forgets the score of a worker whose runs have changed."""
        self._score_by_view.pop(view, None)
        self.doubtful_by_view.pop(view, None)


class Placer:
    """Scores workers for tasks.

    Args:
        evidence: record of which tasks failed on which workers.
        colocation: learned odds of interference between fillers and serving tasks.
        tickets: tickets for steps of queues that use the advice service.
        doubtful_starts: decides which doubtful fillers may start, None if all of them wait for
            `INTERFERENCE_FREE_WAIT_S`.

    Attributes:
        evidence: the same.
    """

    def __init__(
        self,
        evidence: FailureEvidence,
        colocation: ColocationModel,
        tickets: TicketCache,
        doubtful_starts: DoubtfulStarts | None = None,
    ) -> None:
        self.evidence = evidence
        self._tickets = tickets
        self._colocation = colocation
        self._doubtful_starts = doubtful_starts

    def preview(self) -> "Placer":
        """Returns a placer that chooses the same workers now and counts no doubtful start."""
        starts = self._doubtful_starts
        return Placer(
            self.evidence, self._colocation, self._tickets, starts.preview() if starts else None
        )

    def doubtful_below(self, step: StepProgress, queue: Queue, now: float) -> float:
        """Returns the argument of the same name of a step's scores."""
        starts = self._doubtful_starts
        if starts is None or not starts.is_due(step, queue, now):
            return 0.0
        return starts.certain_probability

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
        no other worker has room, any other task only if there is no other worker at all.

        Args:
            task: the task.
            workers: the possible workers.
            now: clock time.
            needs_ticket: whether only workers with a ticket may run it.
            scores: scores for its step, if several tasks of the step are placed.
            candidates: the workers among them that may score, None for all; see
                `interference_free_workers`.
        """
        scores = scores or StepScores()
        if candidates is None:
            candidates = workers
        if needs_ticket:
            workers = [v for v in workers if self._tickets.ticket(task.step, v, now)]
            candidates = [v for v in candidates if self._tickets.ticket(task.step, v, now)]
        # The planner does not list workers anew while it plans.
        candidates = [v for v in candidates if v.trial is None]
        admitted = [v for v in candidates if self.evidence.admits(v.worker_id, task.name)]
        best_of = self._best_worker_for_suspect if task.crashes else self._best_worker
        best = best_of(task, admitted, now, scores)
        if best is None and (
            task.step.spec.is_long_running or not (admitted or self._admits_any(task, workers))
        ):
            healthy = [v for v in candidates if not self.evidence.is_quarantined(v.worker_id)]
            best = best_of(task, healthy, now, scores)
        if self._doubtful_starts is None or not task.step.spec.is_filler:
            return best
        if best is None:
            return self._best_doubtful_worker(task, admitted, now, scores)
        if self._colocation.interference_probability(best, task.step) >= INTERFERING_PROBABILITY:
            self._doubtful_starts.count(task.step, best)
        return best

    def interference_free_workers(
        self, step: StepProgress, workers: Sequence[WorkerView], below: float, now: float
    ) -> list[WorkerView]:
        """Returns the workers on which a step's fillers are not withheld; the same for its image.

        Args:
            step: the step.
            workers: the possible workers.
            below: probability of interference from which they are withheld.
            now: clock time.

        In a shortage of them most steps of fillers wait, and scoring every worker for each of these
        steps took 40 ms a plan for 100 steps on 66 workers.
        """
        return [
            view
            for view in workers
            if now >= view.fillers_blocked_until
            and view.unused_millis() >= 0
            and self._colocation.interference_probability(view, step) < below
        ]

    def withholds(self, step: StepProgress, view: WorkerView, now: float) -> bool:
        """Returns True while a step's fillers wait because they probably interfere on a worker."""
        return (
            may_withhold(step, now)
            and self._colocation.interference_probability(view, step) >= INTERFERING_PROBABILITY
        )

    def has_ticket(self, step: StepProgress, view: WorkerView, now: float) -> bool:
        """Returns True if the advice service allows a step's tasks on a worker."""
        return bool(self._tickets.ticket(step, view, now))

    def has_interference_free_worker(
        self, task: TaskProgress, workers: Sequence[WorkerView], now: float
    ) -> bool:
        """Returns True if another worker could run a filler at full speed without interference."""
        step = task.step
        used_worker_ids = task.worker_ids
        return any(
            view.worker_id not in used_worker_ids
            and can_place(step, view)
            and gives_full_speed(step, view, now)
            and self._colocation.interference_probability(view, step) < INTERFERING_PROBABILITY
            and self.evidence.admits(view.worker_id, task.name)
            for view in workers
        )

    def _admits_any(self, task: TaskProgress, workers: Sequence[WorkerView]) -> bool:
        return any(self.evidence.admits(view.worker_id, task.name) for view in workers)

    def _best_worker(
        self, task: TaskProgress, workers: Sequence[WorkerView], now: float, scores: StepScores
    ) -> WorkerView | None:
        step = task.step
        used_worker_ids = task.worker_ids

        def compute(view: WorkerView) -> float | None:
            return self._score(step, view, now, scores) if can_place(step, view) else None

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

    def _best_doubtful_worker(
        self, task: TaskProgress, workers: Sequence[WorkerView], now: float, scores: StepScores
    ) -> WorkerView | None:
        """Returns the worker where a doubtful filler interferes least, None if it is withheld."""
        starts = self._doubtful_starts
        if starts is None or not scores.doubtful_by_view:
            return None
        used_worker_ids = task.worker_ids
        best = None
        best_key = (float("-inf"), float("-inf"))
        for view in workers:
            key = scores.doubtful_by_view.get(view)
            if key is None or key <= best_key or view.worker_id in used_worker_ids:
                continue
            if starts.admits(task.step, view, now):
                best, best_key = view, key
        if best is not None:
            starts.record(task.step, best, -best_key[0])
        return best

    def _score(
        self, step: StepProgress, view: WorkerView, now: float, scores: StepScores
    ) -> float | None:
        spec = step.spec
        score = view.unused_millis()
        is_withheld = False
        interference = 0.0
        if spec.is_filler:
            if not gives_full_speed(step, view, now):
                return None
            interference = self._colocation.interference_probability(view, step)
            is_withheld = interference >= INTERFERING_PROBABILITY and may_withhold(step, now)
            if is_withheld and interference >= scores.doubtful_below:
                return None
            score -= INTERFERENCE_PENALTY_MILLIS * interference
        else:
            if spec.target_ms:
                score = self._serving_score(step, view)
            if view.is_reserved:
                score -= RESERVED_PENALTY_MILLIS
        if now < view.warm_at:
            score -= COLD_PENALTY_MILLIS
        if spec.data_rack and spec.data_rack != view.info.rack:
            score -= OTHER_RACK_PENALTY_MILLIS
        if is_withheld:
            scores.doubtful_by_view[view] = (-interference, score)
            return None
        return score

    def _serving_score(self, step: StepProgress, view: WorkerView) -> float:
        """Scores workers that serve the same image highest, the fullest first, then empty ones."""
        spec = step.spec
        present_images = view.serving_images.keys()
        excluded_images = self._colocation.excluded_images(present_images)
        newly_excluded = (
            self._colocation.excluded_images([spec.image]) - excluded_images
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


def may_withhold(step: StepProgress, now: float) -> bool:
    """Returns True while a step of fillers waits for a worker without interference."""
    return step.spec.is_filler and now - step.opened_at < INTERFERENCE_FREE_WAIT_S


def can_place(step: StepProgress, view: WorkerView) -> bool:
    """Returns True if one more task of a step fits on a worker and is allowed there."""
    return view.fits(step.spec.demand, step.spec.is_filler) and is_allowed(step, view)


def is_allowed(step: StepProgress, view: WorkerView) -> bool:
    """Checks the required label and the limit per worker for one more task, but not capacity."""
    spec = step.spec
    if spec.required_label and spec.required_label not in view.info.labels:
        return False
    return not spec.max_per_worker or step.runs_on(view.worker_id) < spec.max_per_worker


def gives_full_speed(step: StepProgress, view: WorkerView, now: float) -> bool:
    """Returns True if a worker has processors for a filler and fillers are not blocked there."""
    wanted_millis = FILLER_MIN_UNUSED_SHARE * step.spec.demand.cpu_millis
    return now >= view.fillers_blocked_until and view.unused_millis() >= wanted_millis
