"""Chooses a worker for each task of a step.

Made for a fleet that is four fifths full of tasks of a second or two beside serving tasks that
stay: the emptiest worker wins, so that neighbours disturb each other least and wide tasks find
room; fillers go where most processor time is left and away from serving tasks.
"""

from collections.abc import Callable, Sequence

from pollengate.workflow.colocation import Colocation
from pollengate.workflow.fleet import WorkerView
from pollengate.workflow.progress import StepProgress, TaskProgress

__all__ = ["Placer"]

# Share of a filler's processors that must be unused, so that it runs at close to full speed.
FILLER_MIN_SHARE = 0.9
# Latency that fillers may add to a serving task's own, which alone comes close to its target at
# the peaks of its load.
MAX_SLOWDOWN = 1.35
# A worker counts as that much fuller for a filler, in millicores, for each time that a serving
# task's latency is expected to grow by its latency alone.
SLOWDOWN_PENALTY_MILLIS = 60_000
# A worker that is still warming up counts as that much fuller, in millicores.
COLD_PENALTY_MILLIS = 32_000
# A worker off the rack of the task's data counts as that much fuller, in millicores.
OTHER_RACK_PENALTY_MILLIS = 40_000


class Placer:
    """Scores workers for tasks.

    Args:
        admits: tells whether a worker may be tried for a task, given their names.
        colocation: what is known of fillers beside serving tasks.
    """

    def __init__(self, admits: Callable[[str, str], bool], colocation: Colocation) -> None:
        self._admits = admits
        self._colocation = colocation

    def choose(
        self, task: TaskProgress, workers: Sequence[WorkerView], now: float
    ) -> WorkerView | None:
        """Returns the best worker for a task, None if it fits nowhere."""
        step = task.step
        best = None
        best_score = float("-inf")
        for view in workers:
            if not self._may_run(step, view) or not self._admits(view.worker_id, task.name):
                continue
            score = self._score(step, view, now)
            if score is not None and score > best_score:
                best, best_score = view, score
        return best

    def _may_run(self, step: StepProgress, view: WorkerView) -> bool:
        spec = step.spec
        if not view.fits(spec.demand, spec.is_filler):
            return False
        if spec.required_label and spec.required_label not in view.info.labels:
            return False
        return not spec.max_per_worker or step.runs_on(view.worker_id) < spec.max_per_worker

    def _score(self, step: StepProgress, view: WorkerView, now: float) -> float | None:
        spec = step.spec
        score = view.unused_millis()
        if spec.is_filler:
            if now < view.fillers_blocked_until:
                return None
            if score < FILLER_MIN_SHARE * spec.demand.cpu_millis:
                return None
            slowdown = self._colocation.slowdown_with(view, step)
            if slowdown > MAX_SLOWDOWN:
                return None
            score -= SLOWDOWN_PENALTY_MILLIS * (slowdown - 1.0)
        if now < view.warm_at:
            score -= COLD_PENALTY_MILLIS
        if spec.data_rack and spec.data_rack != view.info.rack:
            score -= OTHER_RACK_PENALTY_MILLIS
        return score
