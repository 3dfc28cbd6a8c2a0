"""Picks workers to clear of serving tasks.

Made for fillers that harm serving tasks wherever these run: while every worker serves, such fillers
wait although half of the processors are unused. Serving tasks that can stay together elsewhere make
room for them, one worker at a time.
"""

import dataclasses
from collections.abc import Callable, Mapping

from pollengate.workflow.colocation import Colocation
from pollengate.workflow.fleet import Fleet, WorkerView
from pollengate.workflow.progress import Run

__all__ = ["starved_images", "worker_to_clear"]


@dataclasses.dataclass(slots=True)
class _Room:
    """What a worker could still take, and which fillers must stay off it."""

    view: WorkerView
    cpu_millis: int
    memory_mb: int
    kept_out: set[str]

    @classmethod
    def of(cls, view: WorkerView, colocation: Colocation) -> "_Room":
        capacity = view.info.capacity
        return cls(
            view,
            capacity.cpu_millis - view.firm_millis,
            capacity.memory_mb - view.memory_mb,
            colocation.kept_out(view.serving_images),
        )


def starved_images(
    fleet: Fleet, colocation: Colocation, waiting_millis: Mapping[str, int], now: float
) -> set[str]:
    """Returns the images of waiting fillers that want more than harmless workers leave unused."""
    unused = dict.fromkeys(waiting_millis, 0.0)
    for view in fleet.workers_by_id.values():
        if fleet.takes_starts(view, now):
            kept_out = colocation.kept_out(view.serving_images)
            for image in unused.keys() - kept_out:
                unused[image] += max(0.0, view.unused_millis())
    return {image for image, millis in waiting_millis.items() if millis > unused[image]}


def worker_to_clear(
    fleet: Fleet,
    colocation: Colocation,
    starved: set[str],
    may_move: Callable[[Run], bool],
    now: float,
) -> WorkerView | None:
    """Returns the worker that frees most processors a move, None if none can be cleared."""
    open_views = [view for view in fleet.workers_by_id.values() if fleet.takes_starts(view, now)]
    best: WorkerView | None = None
    best_gain = 0.0
    for view in open_views:
        if not view.serving or not starved & colocation.kept_out(view.serving_images):
            continue
        gain = view.info.capacity.cpu_millis / len(view.serving)
        if gain <= best_gain or not all(may_move(run) for run in view.serving):
            continue
        rooms = [
            _Room.of(other, colocation)
            for other in open_views
            if other is not view
            and other.serving
            and other.info.service == view.info.service
            and not other.is_reserved
        ]
        if _all_fit(view, rooms, colocation):
            best, best_gain = view, gain
    return best


def _all_fit(view: WorkerView, rooms: list[_Room], colocation: Colocation) -> bool:
    """Tells whether the other workers can take a worker's serving tasks and keep no more out."""
    runs = sorted(view.serving, key=lambda run: -run.task.step.spec.demand.cpu_millis)
    for run in runs:
        step = run.task.step
        wanted = colocation.kept_out([step.spec.image])
        for room in rooms:
            if (
                wanted <= room.kept_out
                and step.spec.demand.cpu_millis <= room.cpu_millis
                and step.spec.demand.memory_mb <= room.memory_mb
                and step.allows(room.view.info.labels, step.runs_on(room.view.worker_id))
            ):
                room.cpu_millis -= step.spec.demand.cpu_millis
                room.memory_mb -= step.spec.demand.memory_mb
                break
        else:
            return False
    return True
