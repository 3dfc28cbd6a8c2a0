"""Selects workers to vacate, that is, to move all serving tasks off.

Some fillers interfere with serving tasks on every worker. While every worker runs serving tasks,
such fillers wait although half of the processors are unused. Serving tasks that fit together on
other workers therefore make room for them, one worker at a time.
"""

import functools
from collections.abc import Callable, Mapping

from pollengate.interference.latency_model import LatencyModel
from pollengate.workflow.fleet import Fleet, WorkerView
from pollengate.workflow.moves import fit_together
from pollengate.workflow.progress import Run, StepProgress

__all__ = ["images_short_of_capacity", "worker_to_vacate"]


def images_short_of_capacity(
    fleet: Fleet, latency_model: LatencyModel, waiting_millis: Mapping[str, int], now: float
) -> set[str]:
    """Returns the images of waiting fillers that are short of capacity.

    These are the images whose fillers wait for more processors than are unused on the workers that
    do not exclude them.
    """
    unused = dict.fromkeys(waiting_millis, 0.0)
    for view in fleet.all_schedulable(now):
        for image in unused.keys() - latency_model.excluded_images(view.serving_images):
            unused[image] += max(0.0, view.unused_millis())
    return {image for image, millis in waiting_millis.items() if millis > unused[image]}


def worker_to_vacate(
    fleet: Fleet,
    latency_model: LatencyModel,
    short_images: set[str],
    may_move: Callable[[Run], bool],
    now: float,
) -> WorkerView | None:
    """Returns the worker that frees the most processors per move, None if none can be vacated."""
    excluded_by_view = {
        view: latency_model.excluded_images(view.serving_images)
        for view in fleet.all_schedulable(now)
        if view.serving
    }
    excluded_by_image = functools.cache(lambda image: latency_model.excluded_images([image]))

    def excludes_no_more(step: StepProgress, other: WorkerView) -> bool:
        return excluded_by_image(step.spec.image) <= excluded_by_view[other]

    best: WorkerView | None = None
    best_gain = 0.0
    for view, excluded_images in excluded_by_view.items():
        gain = view.info.capacity.cpu_millis / len(view.serving)
        if gain <= best_gain or not short_images & excluded_images:
            continue
        if not all(may_move(run) for run in view.serving):
            continue
        others = [
            other
            for other in excluded_by_view
            if other is not view
            and other.info.service == view.info.service
            and not other.is_reserved
        ]
        if fit_together(view.serving, others, excludes_no_more):
            best, best_gain = view, gain
    return best
