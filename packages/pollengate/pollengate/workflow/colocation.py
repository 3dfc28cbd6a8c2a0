"""Learns which fillers harm which serving tasks, from the latencies that workers report.

Made for fleets on which most workers hold serving tasks, some images of which suffer from some
images of fillers: a filler goes where its image is not known to hurt anybody, and an unknown pair
is tried.
"""

import collections
from collections.abc import Mapping

from pollengate.interference import InterferenceModel
from pollengate.workflow.fleet import WorkerView
from pollengate.workflow.progress import Run, RunState, StepProgress

__all__ = ["SLOWDOWN_AT_TARGET", "Colocation"]

# Latency relative to that of a serving task without fillers, at its target. Alone, tasks swing
# between a quarter of their target and nine tenths.
SLOWDOWN_AT_TARGET = 2.0
# The model's unit of use: so much of a worker's processors.
SHARE_UNIT = 0.1
# What one filler has to add to be slowed before others.
HARMFUL_SLOWDOWN = 1.15
# All pairs are of one load level: the load of serving tasks is not reported.
LOAD = 0.0


class Colocation:
    """Expected slowdown of serving tasks by the fillers beside them."""

    def __init__(self) -> None:
        self._model = InterferenceModel()

    def observe(self, view: WorkerView) -> None:
        """Takes in a worker's newest figures."""
        shares = filler_shares(view)
        if not shares:
            return
        for run in view.serving:
            if run.state is RunState.RUNNING and run.reading > 0:
                spec = run.task.step.spec
                slowdown = SLOWDOWN_AT_TARGET * run.reading / spec.target_ms
                self._model.observe(spec.image, shares, LOAD, max(1.0, slowdown))

    def slowdown_with(self, view: WorkerView, step: StepProgress) -> float:
        """Returns the worst expected slowdown on a worker if a filler of a step joins it."""
        if not view.serving:
            return 1.0
        shares = filler_shares(view)
        image = step.spec.image
        joining = step.spec.demand.cpu_millis / view.info.capacity.cpu_millis / SHARE_UNIT
        shares[image] = shares.get(image, 0.0) + joining
        return self._worst(view, shares)

    def is_harmful(self, view: WorkerView, run: Run) -> bool:
        """Tells whether a filler at full speed is known to slow a serving task beside it."""
        share = run.task.step.spec.demand.cpu_millis / view.info.capacity.cpu_millis / SHARE_UNIT
        return self._worst(view, {run.task.step.spec.image: share}) > HARMFUL_SLOWDOWN

    def _worst(self, view: WorkerView, shares: Mapping[str, float]) -> float:
        images = {run.task.step.spec.image for run in view.serving}
        return max((self._model.slowdown(image, shares, LOAD) for image in images), default=1.0)


def filler_shares(view: WorkerView) -> dict[str, float]:
    """Returns the use of processors by the fillers of a worker, by image, in `SHARE_UNIT`."""
    use: collections.defaultdict[str, float] = collections.defaultdict(float)
    for run in view.fillers:
        use[run.task.step.spec.image] += _use_millis(run)
    unit = view.info.capacity.cpu_millis * SHARE_UNIT
    return {image: millis / unit for image, millis in use.items()}


def _use_millis(run: Run) -> float:
    """Returns what a filler uses, or will use once it is past its start."""
    if run.reading > 0:
        return run.reading
    return run.task.step.spec.demand.cpu_millis * run.pace / 100
