"""Selects workers to vacate, that is, to move all serving tasks off.

Some fillers interfere with serving tasks on every worker. While every worker runs serving tasks,
such fillers wait although half of the processors are unused. Serving tasks that fit together on
other workers therefore make room for them, one worker at a time.
"""

import dataclasses
from collections.abc import Callable, Mapping

from pollengate.workflow.colocation import ColocationModel
from pollengate.workflow.fleet import Fleet, WorkerView
from pollengate.workflow.model import NO_DEMAND, Demand
from pollengate.workflow.placement import is_allowed
from pollengate.workflow.progress import Run, StepProgress

__all__ = ["images_short_of_capacity", "worker_to_vacate"]


@dataclasses.dataclass(slots=True)
class _Target:
    """A possible destination, with its excluded filler images and the demand planned for it."""

    view: WorkerView
    excluded_images: set[str]
    planned: Demand = NO_DEMAND

    def can_place(self, step: StepProgress) -> bool:
        """Returns True if a task fits next to the runs on the worker and the planned demand."""
        return self.view.fits(step.spec.demand + self.planned, False) and is_allowed(
            step, self.view
        )


def images_short_of_capacity(
    fleet: Fleet, colocation: ColocationModel, waiting_millis: Mapping[str, int], now: float
) -> set[str]:
    """Returns the images of waiting fillers that are short of capacity.

    These are the images whose fillers wait for more processors than are unused on the workers that
    do not exclude them.
    """
    unused = dict.fromkeys(waiting_millis, 0.0)
    for view in fleet.all_schedulable(now):
        for image in unused.keys() - colocation.excluded_images(view.serving_images):
            unused[image] += max(0.0, view.unused_millis())
    return {image for image, millis in waiting_millis.items() if millis > unused[image]}


def worker_to_vacate(
    fleet: Fleet,
    colocation: ColocationModel,
    short_images: set[str],
    may_move: Callable[[Run], bool],
    now: float,
) -> WorkerView | None:
    """Returns the worker that frees the most processors per move, None if none can be vacated."""
    excluded_by_view = {
        view: colocation.excluded_images(view.serving_images)
        for view in fleet.all_schedulable(now)
        if view.serving
    }
    best: WorkerView | None = None
    best_gain = 0.0
    for view, excluded_images in excluded_by_view.items():
        gain = view.info.capacity.cpu_millis / len(view.serving)
        if gain <= best_gain or not short_images & excluded_images:
            continue
        if not all(may_move(run) for run in view.serving):
            continue
        targets = [
            _Target(other, excluded_there)
            for other, excluded_there in excluded_by_view.items()
            if other is not view
            and other.info.service == view.info.service
            and not other.is_reserved
        ]
        if _others_can_take_all(view, targets, colocation):
            best, best_gain = view, gain
    return best


def _others_can_take_all(
    view: WorkerView, targets: list[_Target], colocation: ColocationModel
) -> bool:
    """Returns True if others can take all serving tasks without excluding more filler images."""
    for run in sorted(view.serving, key=lambda run: -run.task.step.spec.demand.cpu_millis):
        step = run.task.step
        excluded_by_task = colocation.excluded_images([step.spec.image])
        target = next(
            (t for t in targets if excluded_by_task <= t.excluded_images and t.can_place(step)),
            None,
        )
        if target is None:
            return False
        target.planned += step.spec.demand
    return True
