"""Chooses a worker for each task of a step.

Made for a fleet that is four fifths full of tasks of a second or two beside serving tasks that
stay: the emptiest worker wins, so that neighbours disturb each other least and wide tasks find
room; fillers go where most processor time is left and away from serving tasks.
"""

from collections.abc import Sequence

from pollengate.failure_evidence import FailureEvidence
from pollengate.workflow.colocation import INTERFERING_PROBABILITY, ColocationModel
from pollengate.workflow.fleet import WorkerView
from pollengate.workflow.progress import StepProgress, TaskProgress
from pollengate.workflow.tickets import TicketCache

__all__ = ["Placer", "is_allowed", "can_place"]

# Share of a filler's processors that must be unused, so that it runs at close to full speed.
FILLER_MIN_UNUSED_SHARE = 0.9
# A worker counts as that much fuller for a filler that is sure to harm a serving task there, in
# millicores, and in proportion for one that may.
INTERFERENCE_PENALTY_MILLIS = 60_000
# A step whose fillers would do harm everywhere waits that long for a better worker; then it runs,
# paced, where harm is least likely, which also shows whether the belief still holds.
INTERFERENCE_FREE_WAIT_S = 20.0
# A worker counts as that much fuller for a serving task, in millicores, for each other image that
# serves there: the fewer serve together, the more fillers harm none of them.
OTHER_IMAGE_PENALTY_MILLIS = 100_000
# The same for each image of fillers that would have to stay away from there besides.
EXCLUDED_IMAGE_PENALTY_MILLIS = 100_000
# A worker that was cleared of serving tasks takes one again only where no other has room.
RESERVED_PENALTY_MILLIS = 1_000_000
# A worker counts as that much fuller, in millicores, for each task of the same step there.
SAME_STEP_PENALTY_MILLIS = 4_000
# Serving tasks leave that much for others, in millicores, unless they fit nowhere else.
SERVING_HEADROOM_MILLIS = 8_000
# A worker that is still warming up counts as that much fuller, in millicores.
COLD_PENALTY_MILLIS = 32_000
# A worker off the rack of the task's data counts as that much fuller, in millicores.
OTHER_RACK_PENALTY_MILLIS = 40_000


class Placer:
    """Scores workers for tasks.

    Args:
        evidence: which workers fail what.
        colocation: what is known of fillers beside serving tasks.
        tickets: where steps of queues with advice may run.
    """

    def __init__(
        self, evidence: FailureEvidence, colocation: ColocationModel, tickets: TicketCache
    ) -> None:
        self._evidence = evidence
        self._tickets = tickets
        self._colocation = colocation

    def choose(
        self,
        task: TaskProgress,
        workers: Sequence[WorkerView],
        now: float,
        needs_ticket: bool = False,
    ) -> WorkerView | None:
        """Returns the best worker for a task, None if it fits nowhere.

        Workers that failed the task come last: they get a task that lasts again when no other has
        room, any other task only when no other worker is left.
        """
        if needs_ticket:
            workers = [v for v in workers if self._tickets.ticket(task.step, v, now)]
        admitted = [v for v in workers if self._evidence.admits(v.worker_id, task.name)]
        best = self._best(task, admitted, now)
        if best is None and (task.step.spec.is_long_running or not admitted):
            healthy = [v for v in workers if not self._evidence.is_quarantined(v.worker_id)]
            best = self._best(task, healthy, now)
        return best

    def has_interference_free_worker(
        self, task: TaskProgress, workers: Sequence[WorkerView], now: float
    ) -> bool:
        """Tells whether a filler could run at full speed on another worker."""
        step = task.step
        used_worker_ids = task.worker_ids
        return any(
            view.worker_id not in used_worker_ids
            and can_place(step, view)
            and _gives_full_speed(step, view, now)
            and self._colocation.interference_probability(view, step) < INTERFERING_PROBABILITY
            and self._evidence.admits(view.worker_id, task.name)
            for view in workers
        )

    def _best(
        self, task: TaskProgress, workers: Sequence[WorkerView], now: float
    ) -> WorkerView | None:
        step = task.step
        used_worker_ids = task.worker_ids
        best = None
        best_score = float("-inf")
        for view in workers:
            if view.worker_id in used_worker_ids or not can_place(step, view):
                continue
            score = self._score(step, view, now)
            if score is not None and score > best_score:
                best, best_score = view, score
        return best

    def _score(self, step: StepProgress, view: WorkerView, now: float) -> float | None:
        spec = step.spec
        score = view.unused_millis()
        if spec.is_filler:
            if not _gives_full_speed(step, view, now):
                return None
            interference = self._colocation.interference_probability(view, step)
            if (
                interference >= INTERFERING_PROBABILITY
                and now - step.opened_at < INTERFERENCE_FREE_WAIT_S
            ):
                return None
            score -= INTERFERENCE_PENALTY_MILLIS * interference
        elif spec.target_ms:
            score = self._serving_score(step, view)
        if now < view.warm_at:
            score -= COLD_PENALTY_MILLIS
        if spec.data_rack and spec.data_rack != view.info.rack:
            score -= OTHER_RACK_PENALTY_MILLIS
        return score

    def _serving_score(self, step: StepProgress, view: WorkerView) -> float:
        """Prefers workers that serve the same image, the fullest first, then empty ones."""
        spec = step.spec
        present = view.serving_images
        excluded_images = self._colocation.excluded_images(present)
        added = self._colocation.excluded_images([spec.image]) - excluded_images if present else ()
        left = view.info.capacity.cpu_millis - view.committed_millis - spec.demand.cpu_millis
        score = -float(left) - EXCLUDED_IMAGE_PENALTY_MILLIS * len(added)
        score -= OTHER_IMAGE_PENALTY_MILLIS * len(present - {spec.image})
        if view.is_reserved:
            score -= RESERVED_PENALTY_MILLIS
        score -= SAME_STEP_PENALTY_MILLIS * step.runs_on(view.worker_id)
        if left < SERVING_HEADROOM_MILLIS:
            score -= OTHER_IMAGE_PENALTY_MILLIS / 2
        return score


def can_place(step: StepProgress, view: WorkerView) -> bool:
    """Tells whether one more task of a step fits on a worker and is allowed there."""
    return view.fits(step.spec.demand, step.spec.is_filler) and is_allowed(step, view)


def is_allowed(step: StepProgress, view: WorkerView) -> bool:
    """Tells whether a worker's label and its tasks of a step allow one more, room aside."""
    spec = step.spec
    if spec.required_label and spec.required_label not in view.info.labels:
        return False
    return not spec.max_per_worker or step.runs_on(view.worker_id) < spec.max_per_worker


def _gives_full_speed(step: StepProgress, view: WorkerView, now: float) -> bool:
    """Tells whether a filler finds enough unused processors on a worker, and none was just cut."""
    wanted_millis = FILLER_MIN_UNUSED_SHARE * step.spec.demand.cpu_millis
    return now >= view.fillers_blocked_until and view.unused_millis() >= wanted_millis
