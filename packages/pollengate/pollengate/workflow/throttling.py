"""Slows fillers down while a serving task beside them misses its latency target.

Made for pairs of images whose interference shows only in the tail latency that a worker reports
half a second late: cuts fast, since a target may be missed for a few seconds only, and gives back
slowly, so that the pair does not swing.
"""

import dataclasses

from pollengate.workflow.colocation import ColocationModel
from pollengate.workflow.fleet import WorkerView
from pollengate.workflow.progress import Run, RunState

__all__ = ["SpeedChange", "ThrottleController"]

# Share of the target above which fillers are slowed down.
THROTTLE_ABOVE_SHARE = 1.0
# Share of the target below which they get speed back.
RELEASE_BELOW_SHARE = 0.75
# Factor on the fillers' pace at a cut.
CUT_FACTOR = 0.4
# Paces below this are taken for a halt, in percent.
HALT_BELOW_PERCENT = 15
# Percent of pace given back at a time.
RAISE_STEP_PERCENT = 25
# Seconds from one change to the next, so that its effect is in the figures: pace takes 100 ms,
# figures cover half a second.
CHANGE_INTERVAL_S = 0.6
# Seconds without new fillers after a cut.
FILLER_BLOCK_S = 1.0
FULL_SPEED_PERCENT = 100
# A filler slower than that, in percent, gets on faster elsewhere.
SLOW_SPEED_PERCENT = 50
# A stop writes a checkpoint, and resuming takes a tenth to a quarter of a second.
RELOCATE_AFTER_S = 0.7


@dataclasses.dataclass(frozen=True, slots=True)
class SpeedChange:
    """A filler's new pace in percent."""

    run: Run
    percent: int

    def apply(self, now: float) -> None:
        """Books the change once the worker has confirmed it."""
        self.run.speed_percent = self.percent
        if self.percent >= SLOW_SPEED_PERCENT:
            self.run.slow_since = None
        elif self.run.slow_since is None:
            self.run.slow_since = now


@dataclasses.dataclass(slots=True)
class _WorkerSpeed:
    percent: int = FULL_SPEED_PERCENT
    changed_at: float = float("-inf")


class ThrottleController:
    """Decides the pace of each worker's fillers from the latency of its serving tasks.

    Args:
        colocation: tells which of the fillers do harm; where none is known to, all are slowed.
    """

    def __init__(self, colocation: ColocationModel) -> None:
        self._colocation = colocation
        self._speed_by_worker: dict[str, _WorkerSpeed] = {}

    def adjust(self, view: WorkerView, now: float) -> list[SpeedChange]:
        """Returns the changes that a worker's newest figures call for."""
        speed = self._speed_by_worker.setdefault(view.worker_id, _WorkerSpeed())
        latency_to_target = _latency_to_target(view)
        if now - speed.changed_at >= CHANGE_INTERVAL_S:
            percent = _next_percent(speed.percent, latency_to_target)
            if percent != speed.percent:
                speed.percent = percent
                speed.changed_at = now
        if latency_to_target > THROTTLE_ABOVE_SHARE:
            view.fillers_blocked_until = now + FILLER_BLOCK_S
        running = [run for run in view.fillers if run.state is RunState.RUNNING]
        interfering = [r for r in running if self._colocation.is_interfering(view, r)] or running
        percent_by_run = dict.fromkeys(running, FULL_SPEED_PERCENT) | dict.fromkeys(
            interfering, speed.percent
        )
        return [
            SpeedChange(run, percent)
            for run, percent in percent_by_run.items()
            if run.speed_percent != percent
        ]

    def runs_to_relocate(self, view: WorkerView, now: float) -> list[Run]:
        """Returns fillers that should leave: slow for a while, and able to resume elsewhere."""
        return [
            run
            for run in view.fillers
            if run.state is RunState.RUNNING
            and run.slow_since is not None
            and now - run.slow_since >= RELOCATE_AFTER_S
            and run.task.step.spec.saves_progress
        ]

    def forget(self, worker_id: str) -> None:
        """Drops what was decided for a worker, whose new incarnation starts at full pace."""
        self._speed_by_worker.pop(worker_id, None)


def _latency_to_target(view: WorkerView) -> float:
    """Returns the highest ratio of latency to target of the worker's serving tasks."""
    return max(
        (
            run.measurement / run.task.step.spec.target_ms
            for run in view.serving
            if run.measurement > 0
        ),
        default=0.0,
    )


def _next_percent(percent: int, latency_to_target: float) -> int:
    if latency_to_target > THROTTLE_ABOVE_SHARE:
        cut = int(percent * CUT_FACTOR)
        return cut if cut >= HALT_BELOW_PERCENT else 0
    if latency_to_target < RELEASE_BELOW_SHARE:
        return min(FULL_SPEED_PERCENT, percent + RAISE_STEP_PERCENT)
    return percent
