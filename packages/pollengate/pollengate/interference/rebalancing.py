"""Moves serving tasks so that those with the same interfering fillers share workers.

Serving tasks are placed before it is known which fillers interfere with them. A single sensitive
task among others then excludes up to half of the fillers from all unused processors of its worker.
A move costs a restart of a few hundred milliseconds.
"""

import collections
from collections.abc import Mapping

from pollengate.interference.latency_model import LatencyModel
from pollengate.interference.vacating import images_short_of_capacity, worker_to_vacate
from pollengate.workflow.fleet import Fleet, WorkerView
from pollengate.workflow.moves import is_in_touch, may_stop_to_move
from pollengate.workflow.placement import can_place
from pollengate.workflow.progress import Run

__all__ = ["Rebalancer"]

# Minimum time between two searches. A moved task is past its startup before the next one moves. The
# interval also applies after a search without a result, since a search compares all pairs of a
# shard's workers (3.4 ms for 70 workers).
MOVE_INTERVAL_S = 0.5
# A task that was moved is not moved again for this long.
MIN_STAY_S = 10.0


class Rebalancer:
    """Chooses serving tasks to move, one at a time.

    Args:
        fleet: the shard's workers.
        latency_model: what fillers take of the headroom of serving images.
    """

    def __init__(self, fleet: Fleet, latency_model: LatencyModel) -> None:
        self._fleet = fleet
        self._latency_model = latency_model
        self._searched_at = float("-inf")
        self._moved_at_by_task: dict[str, float] = {}
        self._vacating: WorkerView | None = None

    def choose(self, waiting_millis: Mapping[str, int], now: float) -> Run | None:
        """Returns the run whose move frees the most processors for fillers, None if none frees any.

        Args:
            waiting_millis: millicores that fillers wait for, by image.
            now: clock time.
        """
        if now - self._searched_at < MOVE_INTERVAL_S or not waiting_millis:
            return None
        self._searched_at = now
        run = self._next_to_vacate(waiting_millis, now) or self._most_sensitive(now)
        if run is not None:
            self._moved_at_by_task[run.task.name] = now
        return run

    def _next_to_vacate(self, waiting_millis: Mapping[str, int], now: float) -> Run | None:
        """Returns a run of the worker that is being vacated, or of the next one to vacate."""
        view = self._vacating
        if view is not None and not view.serving:
            view = None
        if view is not None and not self._fleet.is_schedulable(view, now):
            view.is_reserved = False
            view = None
        if view is None:
            short_images = images_short_of_capacity(
                self._fleet, self._latency_model, waiting_millis, now
            )
            if short_images:
                view = worker_to_vacate(
                    self._fleet,
                    self._latency_model,
                    short_images,
                    lambda r: self._may_move(r, now),
                    now,
                )
        self._vacating = view
        if view is None:
            return None
        view.is_reserved = True
        return next((run for run in view.serving if self._may_move(run, now)), None)

    def _most_sensitive(self, now: float) -> Run | None:
        """Returns the run whose move to another worker readmits the most fillers."""
        best: tuple[float, Run] | None = None
        for view in self._fleet.all_schedulable(now):
            for run in self._candidates(view, now):
                gain = self._gain(view, run, now)
                if gain > 0 and (best is None or gain > best[0]):
                    best = (gain, run)
        return best[1] if best is not None else None

    def _candidates(self, view: WorkerView, now: float) -> list[Run]:
        """Returns one movable run of each serving image on a worker."""
        by_image: dict[str, Run] = {}
        for run in view.serving:
            image = run.task.step.spec.image
            if image not in by_image and self._may_move(run, now):
                by_image[image] = run
        return list(by_image.values())

    def _may_move(self, run: Run, now: float) -> bool:
        moved_at = self._moved_at_by_task.get(run.task.name, float("-inf"))
        return (
            now - moved_at >= MIN_STAY_S
            and may_stop_to_move(run)
            and is_in_touch(run.task.step, self._fleet, now)
        )

    def _gain(self, view: WorkerView, run: Run, now: float) -> float:
        """Returns how much a move would free for fillers.

        Returns:
            The number of filler images that could use the worker again, times its millicores,
            divided by the number of tasks of the same image, all of which would have to move. 0 if
            the move frees nothing or the task has no destination.
        """
        image = run.task.step.spec.image
        counts = collections.Counter(r.task.step.spec.image for r in view.serving)
        others = [other for other in counts if other != image]
        freed = len(self._latency_model.excluded_images(counts)) - len(
            self._latency_model.excluded_images(others)
        )
        if not freed or not others or not self._has_destination(view, run, now):
            return 0.0
        return freed * view.info.capacity.cpu_millis / counts[image]

    def _has_destination(self, source: WorkerView, run: Run, now: float) -> bool:
        """Returns True if the task fits on another worker without excluding more fillers there."""
        step = run.task.step
        excluded_by_task = self._latency_model.excluded_images([step.spec.image])
        for view in self._fleet.schedulable_workers(source.info.service, now):
            if view is source or view.is_reserved or not can_place(step, view):
                continue
            present_images = view.serving_images
            if not present_images or excluded_by_task <= self._latency_model.excluded_images(
                present_images
            ):
                return True
        return False
