"""Where fillers may start beside serving tasks, and whether a slow one would end sooner elsewhere.

A filler that takes little headroom may start anywhere. Any other may start on a worker while the
load of the serving tasks there leaves as much as it takes. A job without any run gets one soon, on
the worker where it disturbs least, so that no job stands still beside unused processors.
"""

import dataclasses
import math
from collections.abc import Iterable

from pollengate.interference.latency_model import NEGLIGIBLE_HEADROOM, LatencyModel, Pair
from pollengate.workflow.fleet import WorkerView
from pollengate.workflow.progress import Run, StepProgress

__all__ = ["MAX_START_STRAIN", "FillerPlacement", "may_withhold", "must_start"]

# A filler starts only where it takes at most this part of each serving task's spare headroom.
MAX_START_STRAIN = 1.05
# If no worker allows that, a step waits this long; after that it starts all the same.
MAX_WITHHELD_S = 20.0
# Speeds are expected for the load after these times, as tasks take a second or two.
HORIZONS_S = (0.3, 1.5)
# A move costs a stop, a checkpoint, a new start and 0.1 to 0.25 s to resume.
MOVE_COST_S = 0.6
# A filler moves only if it ends this much sooner.
MIN_GAIN_S = 1.5
MIN_SPEED = 0.05
# Largest number of workers on which fillers of an unknown pair of images run at the same time.
MAX_TRIAL_WORKERS = 2
# Spare headroom is computed again after this time, or once the runs on a worker have changed.
MAX_AGE_S = 0.2


@dataclasses.dataclass(frozen=True, slots=True)
class _Spare:
    """Spare headroom of one worker, when it was computed and for which amounts of work.

    Attributes:
        headroom_by_image: the least of each serving image.
        idle_millis: millicores that no task uses at the present speeds of the fillers.
        at: clock time at which it was computed.
        committed_millis: millicores declared by tasks other than fillers.
        filler_millis: millicores declared by fillers.
    """

    headroom_by_image: dict[str, float]
    idle_millis: float
    at: float
    committed_millis: int
    filler_millis: int

    def is_current(self, view: WorkerView, now: float) -> bool:
        """Returns True while the worker has the same load and the amounts are recent."""
        return (
            now - self.at < MAX_AGE_S
            and self.committed_millis == view.committed_millis
            and self.filler_millis == view.filler_millis
        )


class FillerPlacement:
    """Where fillers may start, and whether they would end sooner elsewhere.

    Args:
        model: expected headroom of serving tasks and what fillers take of it.
    """

    def __init__(self, model: LatencyModel) -> None:
        self._model = model
        self._spare_by_view: dict[WorkerView, _Spare] = {}
        self._trials_by_pair: dict[Pair, set[WorkerView]] = {}

    def refresh(self, views: Iterable[WorkerView], now: float) -> None:
        """Keeps the spare headroom of workers for the decisions that follow."""
        for view in views:
            known = self._spare_by_view.get(view)
            if known is None or not known.is_current(view, now):
                self._spare_by_view[view] = self._compute_spare(view, now)
                self._count_trials(view)

    def forget(self, view: WorkerView) -> None:
        """Forgets a worker that has left."""
        self._spare_by_view.pop(view, None)
        for views in self._trials_by_pair.values():
            views.discard(view)

    def strain(self, step: StepProgress, view: WorkerView, now: float) -> float:
        """Returns the largest part of a serving task's spare headroom that a filler would take.

        At most one filler image about which little is known runs on a worker, so that a measured
        latency tells which one raised it, and a pair about which little is known runs on a few
        workers only, so that it can do little harm until more is known. Beyond that, the strain is
        infinite.

        Returns:
            0 beside no serving task, above 1 if a latency would exceed its target.
        """
        if not view.serving:
            return 0.0
        spec = step.spec
        if not self._may_try(view, spec.image):
            return math.inf
        share = spec.demand.cpu_millis / max(1, view.info.capacity.cpu_millis)
        strain = 0.0
        for serving, headroom in self._spare(view, now).headroom_by_image.items():
            taken = self._model.cost(serving, spec.image) * share
            if taken > NEGLIGIBLE_HEADROOM:
                strain = max(strain, taken / headroom if headroom > 0 else math.inf)
        return strain

    def idle_millis(self, view: WorkerView, now: float) -> float:
        """Returns the millicores that no task uses at the present speeds of a worker's fillers."""
        return self._spare(view, now).idle_millis

    def speed(self, step: StepProgress, view: WorkerView, now: float) -> float:
        """Returns the share of full speed that one more filler of a step may have on a worker."""
        return 1 / max(1.0, self.strain(step, view, now))

    def may_start(self, step: StepProgress, view: WorkerView, now: float) -> bool:
        """Returns True unless a step's fillers wait for a worker with more headroom."""
        return not may_withhold(step, now) or self.strain(step, view, now) <= MAX_START_STRAIN

    def ends_sooner_elsewhere(self, run: Run, workers: Iterable[WorkerView], now: float) -> bool:
        """Returns True if a filler is worth moving to one of the other workers."""
        step = run.task.step
        left_s = step.spec.estimate_ms / 1000 * max(0.0, 1 - run.percent / 100)
        stays_s = left_s / max(MIN_SPEED, run.speed_percent / 100)
        if stays_s - left_s < MOVE_COST_S + MIN_GAIN_S:
            return False
        speed = max((self.speed(step, view, now) for view in workers), default=0.0)
        moves_s = MOVE_COST_S + left_s / max(MIN_SPEED, speed)
        return stays_s - moves_s >= MIN_GAIN_S

    def _spare(self, view: WorkerView, now: float) -> _Spare:
        known = self._spare_by_view.get(view)
        is_current = known is not None and known.is_current(view, now)
        return known if known is not None and is_current else self._compute_spare(view, now)

    def _compute_spare(self, view: WorkerView, now: float) -> _Spare:
        headroom = self._model.spare_headroom(view, [now + horizon for horizon in HORIZONS_S])
        slowed_millis = sum(
            run.task.step.spec.demand.cpu_millis * (1 - run.speed_percent / 100)
            for run in view.fillers
        )
        idle_millis = view.unused_millis() + slowed_millis
        return _Spare(headroom, idle_millis, now, view.committed_millis, view.filler_millis)

    def _may_try(self, view: WorkerView, image: str) -> bool:
        """Returns True if a filler image is known beside a worker's images, or may be tried."""
        unknown = [s for s in view.serving_images if self._model.is_unknown((s, image))]
        if not unknown:
            return True
        for serving in unknown:
            views = self._trials_by_pair.get((serving, image), set()) - {view}
            # Workers that may get no tasks are not refreshed.
            if sum(image in _filler_images(other) for other in views) >= MAX_TRIAL_WORKERS:
                return False
        others = _filler_images(view) - {image}
        return not any(
            self._model.is_unknown((s, other)) for s in view.serving_images for other in others
        )

    def _count_trials(self, view: WorkerView) -> None:
        """Updates on which workers unknown pairs of images run."""
        fillers = _filler_images(view)
        present = {(serving, filler) for serving in view.serving_images for filler in fillers}
        trials = {pair for pair in present if self._model.is_unknown(pair)}
        for pair, views in list(self._trials_by_pair.items()):
            if pair not in trials:
                views.discard(view)
            if not views:
                del self._trials_by_pair[pair]
        for pair in trials:
            self._trials_by_pair.setdefault(pair, set()).add(view)


def _filler_images(view: WorkerView) -> set[str]:
    return {run.task.step.spec.image for run in view.fillers}


def may_withhold(step: StepProgress, now: float) -> bool:
    """Returns True while a step of fillers may wait for a worker with more headroom."""
    is_young = now - step.opened_at < MAX_WITHHELD_S
    return step.spec.is_filler and is_young and not must_start(step, now)


def must_start(step: StepProgress, now: float) -> bool:
    """Returns True if a filler of a step starts without headroom.

    Its job has had no run for too long. The speed of fillers protects the serving tasks beside it.
    """
    return step.spec.is_filler and step.job.is_overdue(now)
