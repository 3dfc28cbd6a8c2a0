"""Bounds how long fillers are withheld because they may interfere everywhere.

A filler is doubtful on a worker if the probability that it interferes with the serving tasks there
is from 0.5 to a limit. Withholding it may cost its caller the latency objective; starting it may
slow down serving tasks until it is throttled. It is therefore withheld until it has to start to
meet its objective. Such starts are limited to a share of the shard's workers, and to one doubtful
image on a worker, so that a measured slowdown tells which image caused it.
"""

import copy
from collections.abc import Callable

from pollengate.workflow.colocation import ColocationModel
from pollengate.workflow.fleet import Fleet, WorkerView
from pollengate.workflow.model import Queue
from pollengate.workflow.policy import InterferencePolicy
from pollengate.workflow.progress import StepProgress

__all__ = ["DoubtfulStarts", "withheld_until"]

# Every step is withheld for this long, since tasks that end may free a better worker: tasks take a
# second or two, and a worker runs several at a time.
MIN_WAIT_S = 0.5
# Run time divided by estimate that is allowed for. The tasks of an image take up to 1.27 times
# their estimates in the mean (docs/design/worth.md).
ESTIMATE_MARGIN = 1.3
# The number of workers with doubtful fillers is counted anew after this time; starts are added at
# once, so that it is too high rather than too low in between.
RECOUNT_INTERVAL_S = 0.5


def withheld_until(step: StepProgress, queue: Queue) -> float:
    """Returns the clock time until which a step of fillers waits for a better worker.

    This is the time at which it must start to meet its objective, and for a job that can no longer
    meet it the end of the shortest wait.
    """
    job = step.job
    # The objective of a scheduled job counts from the time at which each occurrence was due.
    is_scheduled = job.workflow.repeat_count > 0
    began_at = step.occurrence.steps[0].opened_at if is_scheduled else job.accepted_at
    work_left_s = ESTIMATE_MARGIN * job.longest_chain_ms(step.number) / 1000
    latest_start = began_at + job.objective_s(queue) - work_left_s
    return max(step.opened_at + MIN_WAIT_S, latest_start)


class DoubtfulStarts:
    """Decides which doubtful fillers of a shard may start.

    Args:
        fleet: the shard's workers.
        colocation: learned odds of interference between fillers and serving images.
        policy: limits of doubtful starts.
        on_start: called for each doubtful start with the step, the worker and the probability.

    Attributes:
        certain_probability: probability of interference from which a filler counts as certain to
            interfere, and no longer as doubtful.
    """

    def __init__(
        self,
        fleet: Fleet,
        colocation: ColocationModel,
        policy: InterferencePolicy,
        on_start: Callable[[StepProgress, WorkerView, float], None] = lambda *_: None,
    ) -> None:
        self.certain_probability = policy.certain_probability
        self._fleet = fleet
        self._colocation = colocation
        self._max_share = policy.max_doubtful_share
        self._on_start = on_start
        self._images_by_worker: dict[str, set[str]] = {}
        self._max_workers = 0
        self._counted_at = float("-inf")

    def preview(self) -> "DoubtfulStarts":
        """Returns a copy that decides the same; what it counts is neither kept nor reported."""
        copied = copy.copy(self)
        copied._on_start = lambda *_: None
        copied._images_by_worker = {
            worker_id: set(images) for worker_id, images in self._images_by_worker.items()
        }
        return copied

    def is_due(self, step: StepProgress, queue: Queue, now: float) -> bool:
        """Returns True if a step is no longer withheld where its fillers are doubtful."""
        return step.spec.is_filler and now >= withheld_until(step, queue)

    def admits(self, step: StepProgress, view: WorkerView, now: float) -> bool:
        """Returns True if a doubtful start on a worker keeps within the limits."""
        if now - self._counted_at >= RECOUNT_INTERVAL_S:
            self._recount(now)
        images = self._images_by_worker.get(view.worker_id)
        if images is not None:
            return images == {step.spec.image}
        return len(self._images_by_worker) < self._max_workers

    def record(self, step: StepProgress, view: WorkerView, probability: float) -> None:
        """Counts a doubtful start that is about to be made."""
        self.count(step, view)
        self._on_start(step, view, probability)

    def count(self, step: StepProgress, view: WorkerView) -> None:
        """Counts the start of a filler that probably interferes on its worker."""
        self._images_by_worker.setdefault(view.worker_id, set()).add(step.spec.image)

    def _recount(self, now: float) -> None:
        """Finds the workers with fillers that probably interfere, also if they began as others."""
        self._counted_at = now
        self._max_workers = int(self._max_share * len(self._fleet.all_schedulable(now)))
        self._images_by_worker = {}
        for view in self._fleet.workers_by_id.values():
            if not view.fillers or not view.serving:
                continue
            excluded_images = self._colocation.excluded_images(view.serving_images)
            images = {run.task.step.spec.image for run in view.fillers} & excluded_images
            if images:
                self._images_by_worker[view.worker_id] = images
